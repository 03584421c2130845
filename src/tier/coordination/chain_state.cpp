#include "tier/coordination/chain_state.h"

#include <utility>

namespace pearreach::coordination::chain {
namespace {

constexpr char kViewKey[] = "chain/view";
constexpr char kIndexKey[] = "chain/index";

using Slots = std::map<std::string, std::uint8_t>;

struct ViewRecord {
  View view;
  Version base;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& view& base;
  }
};

struct IndexRecord {
  Version committed;
  Slots committed_slots;
  bool has_pending = false;
  Version pending;
  Slots pending_slots;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& committed& committed_slots& has_pending& pending& pending_slots;
  }
};

std::string SlotKey(std::uint8_t slot, const std::string& key) {
  return "chain/slot/" + std::to_string(slot) + "/" + key;
}

// Nothing where a record is missing: batches are atomic, so that means a foreign or corrupt disk.
std::optional<State> LoadState(const Records& records, const Version& version, const Slots& slots) {
  auto map = std::make_shared<Map>();
  for (const auto& [key, slot] : slots) {
    const auto found = records.find(SlotKey(slot, key));
    if (found == records.end()) return std::nullopt;
    auto entry = codec::Decode<Entry>(found->second);
    if (!entry.ok()) return std::nullopt;
    (*map)[key] = std::move(*entry);
  }
  return State{version, std::move(map), slots};
}

bool IsSameEntry(const Entry& left, const Entry& right) {
  return left.revision == right.revision && left.value == right.value;
}

}  // namespace

DurableState::DurableState(const Records& records) {
  const auto view = records.find(kViewKey);
  const auto index = records.find(kIndexKey);
  if (view == records.end() || index == records.end()) return;
  auto view_record = codec::Decode<ViewRecord>(view->second);
  auto index_record = codec::Decode<IndexRecord>(index->second);
  if (!view_record.ok() || !index_record.ok()) return;
  std::optional<State> committed, pending;
  if (index_record->committed.epoch > 0) {
    committed = LoadState(records, index_record->committed, index_record->committed_slots);
    if (!committed) return;
  }
  if (index_record->has_pending) {
    pending = LoadState(records, index_record->pending, index_record->pending_slots);
    if (!pending) return;
  }
  view_ = std::move(view_record->view);
  base_ = view_record->base;
  if (committed) committed_ = std::move(*committed);
  pending_ = std::move(pending);
}

std::shared_ptr<const Map> DurableState::MapAt(const Version& version) const {
  static const auto kEmpty = std::make_shared<const Map>();
  if (version == Version{}) return kEmpty;
  if (pending_ && pending_->version == version) return pending_->map;
  if (committed_.version == version) return committed_.map;
  return nullptr;
}

std::vector<KeyChange> DurableState::PendingChanges() const {
  std::vector<KeyChange> changes;
  if (!pending_ || pending_->version.sequence == 0) return changes;
  for (const auto& [key, slot] : pending_->slots) {
    const auto before = committed_.slots.find(key);
    if (before != committed_.slots.end() && before->second == slot) continue;
    changes.push_back({key, pending_->map->at(key)});
  }
  return changes;
}

State DurableState::AssignSlots(const Version& version, std::shared_ptr<const Map> map,
                                Records* records) const {
  State state{version, std::move(map), {}};
  const auto holds = [](const State& other, const std::string& key, const Entry& entry) {
    const auto slot = other.slots.find(key);
    return slot != other.slots.end() && IsSameEntry(other.map->at(key), entry);
  };
  for (const auto& [key, entry] : *state.map) {
    if (holds(committed_, key, entry)) {
      state.slots[key] = committed_.slots.at(key);
      continue;
    }
    if (pending_ && holds(*pending_, key, entry)) {
      state.slots[key] = pending_->slots.at(key);
      continue;
    }
    const auto used = committed_.slots.find(key);
    const std::uint8_t slot = used == committed_.slots.end() ? 0 : 1 - used->second;
    state.slots[key] = slot;
    (*records)[SlotKey(slot, key)] = codec::Encode(entry);
  }
  return state;
}

void DurableState::SaveView(Records* records) const {
  (*records)[kViewKey] = codec::Encode(ViewRecord{view_, base_});
}

void DurableState::SaveIndex(Records* records) const {
  IndexRecord index{committed_.version, committed_.slots, pending_.has_value(), {}, {}};
  if (pending_) {
    index.pending = pending_->version;
    index.pending_slots = pending_->slots;
  }
  (*records)[kIndexKey] = codec::Encode(index);
}

Records DurableState::Append(const std::vector<KeyChange>& changes) {
  Records records;
  State next = committed_;
  ++next.version.sequence;
  auto map = std::make_shared<Map>(*committed_.map);
  for (const KeyChange& change : changes) {
    const auto used = next.slots.find(change.key);
    const std::uint8_t slot = used == next.slots.end() ? 0 : 1 - used->second;
    next.slots[change.key] = slot;
    records[SlotKey(slot, change.key)] = codec::Encode(change.entry);
    (*map)[change.key] = change.entry;
  }
  next.map = std::move(map);
  pending_ = std::move(next);
  SaveIndex(&records);
  return records;
}

Records DurableState::CommitPending() {
  Records records;
  committed_ = std::move(*pending_);
  pending_.reset();
  SaveIndex(&records);
  return records;
}

Records DurableState::Install(View view, const Version& base, std::shared_ptr<const Map> map) {
  Records records;
  State start = AssignSlots({view.epoch, 0}, std::move(map), &records);
  view_ = std::move(view);
  base_ = base;
  pending_ = std::move(start);
  SaveView(&records);
  SaveIndex(&records);
  return records;
}

Records DurableState::Adopt(View view, const Version& base, const Version& version,
                            std::shared_ptr<const Map> map) {
  Records records;
  State state = AssignSlots(version, std::move(map), &records);
  view_ = std::move(view);
  base_ = base;
  committed_ = std::move(state);
  pending_.reset();
  SaveView(&records);
  SaveIndex(&records);
  return records;
}

}  // namespace pearreach::coordination::chain
