#include "tier/control/snapshot_store.h"

#include <string>
#include <utility>

#include "tier/logging/log.h"

namespace pearreach::control {
namespace {

constexpr unsigned kSequenceBits = 32;

void SetConfig(const coordination::Map& map, const ControlSnapshot& previous,
               ControlSnapshot* next) {
  const auto found = map.find(kConfigKey);
  if (found == map.end() || found->second.revision == 0) return;
  next->config_json = found->second.value;
  next->config_revision = found->second.revision;
  next->routes = previous.routes;
  if (next->config_revision == previous.config_revision) return;
  auto parsed = routing::RouteTable::Parse(next->config_json);
  if (parsed.ok()) {
    next->routes = *std::move(parsed);
  } else {
    logging::Error("control", "the committed configuration cannot be read",
                   {logging::F("error", parsed.status().ToString())});
  }
}

void SetStores(const coordination::Map& map, ControlSnapshot* next) {
  const auto found = map.find(kStoresKey);
  if (found == map.end()) return;
  next->stores = found->second.value;
  next->stores_revision = found->second.revision;
}

}  // namespace

SnapshotStore::SnapshotStore() : current_(std::make_shared<ControlSnapshot>()) {}

bool SnapshotStore::Swap(coordination::Version version,
                         std::shared_ptr<const coordination::Map> map) {
  if (map == nullptr || version <= current_->version) return false;
  auto next = std::make_shared<ControlSnapshot>();
  next->version = version;
  SetConfig(*map, *current_, next.get());
  SetStores(*map, next.get());
  next->map = std::move(map);
  current_ = std::move(next);
  for (std::size_t i = 0; i < listeners_.size(); ++i) listeners_[i]();
  return true;
}

bool SnapshotStore::Apply(coordination::Version version,
                          std::shared_ptr<const coordination::Map> map) {
  if (known()) return Swap(version, std::move(map));
  if (version > early_version_) {
    early_version_ = version;
    early_map_ = std::move(map);
  }
  return false;
}

bool SnapshotStore::Apply(StateUpdate update) {
  if (!known() || !update.present || update.version <= current_->version) return false;
  return Swap(update.version, Merged(std::move(update.entries)));
}

bool SnapshotStore::ApplyConfirmed(coordination::Version version,
                                   std::shared_ptr<const coordination::Map> map) {
  const bool swapped = Swap(version, std::move(map));
  if (early_map_ != nullptr && known()) {
    Swap(early_version_, std::exchange(early_map_, nullptr));
  }
  return swapped;
}

bool SnapshotStore::ApplyConfirmed(StateUpdate update) {
  if (!update.present || update.version <= current_->version) return false;
  return ApplyConfirmed(update.version, Merged(std::move(update.entries)));
}

// Revisions only increase, so entries that an update omits are the same in the current map.
std::shared_ptr<const coordination::Map> SnapshotStore::Merged(
    std::vector<StateEntry> entries) const {
  auto map = current_->map == nullptr ? std::make_shared<coordination::Map>()
                                      : std::make_shared<coordination::Map>(*current_->map);
  for (StateEntry& entry : entries) {
    (*map)[entry.key] = coordination::Entry{std::move(entry.value), entry.revision};
  }
  return map;
}

Revisions RevisionsOf(const ControlSnapshot& snapshot) {
  Revisions revisions;
  if (snapshot.map == nullptr) return revisions;
  for (const auto& [key, entry] : *snapshot.map) {
    if (!coordination::IsChangeHistoryKey(key)) revisions[key] = entry.revision;
  }
  return revisions;
}

StateUpdate UpdateFor(const Revisions& known, coordination::Version version,
                      const coordination::Map& map) {
  StateUpdate update;
  update.present = true;
  update.version = version;
  for (const auto& [key, entry] : map) {
    if (coordination::IsChangeHistoryKey(key)) continue;
    const auto found = known.find(key);
    if (found != known.end() && found->second == entry.revision) continue;
    update.entries.push_back({key, entry.value, entry.revision});
  }
  return update;
}

std::uint64_t Packed(coordination::Version version) {
  return (version.epoch << kSequenceBits) | (version.sequence & 0xffffffffU);
}

}  // namespace pearreach::control
