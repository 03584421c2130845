#include "tier/batch/store_disk_guard.h"

#include <algorithm>
#include <utility>

#include "tier/codec/archive.h"
#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr char kUseKey[] = "store/use";
constexpr char kPeerDisksKey[] = "store/peer_disks";

template <class Record>
Record ReadRecord(const storage::TableStore& disk, const char* key) {
  const auto bytes = disk.Get(key);
  auto record = bytes.ok() ? codec::Decode<Record>(*bytes) : bytes.status();
  return record.ok() ? *std::move(record) : Record();
}

}  // namespace

StoreDiskGuard::StoreDiskGuard(StoreId self, const storage::TableStore& disk,
                               std::uint64_t instance, Send send)
    : self_(std::move(self)),
      send_(std::move(send)),
      found_(ReadRecord<control::DiskUse>(disk, kUseKey)),
      use_{found_.starts + 1, instance, found_.writes},
      known_disks_(ReadRecord<control::PeerDisks>(disk, kPeerDisksKey)) {}

void StoreDiskGuard::SetListeners(std::function<void()> checked,
                                  std::function<void()> rolled_back) {
  on_checked_ = std::move(checked);
  on_rolled_back_ = std::move(rolled_back);
}

control::DiskUse StoreDiskGuard::Stamp(std::vector<storage::Write>* batch) {
  const bool puts = std::any_of(batch->begin(), batch->end(),
                                [](const storage::Write& write) { return !write.erase; });
  if (!puts && use_.writes > found_.writes) return {};
  ++use_.writes;
  batch->push_back({kUseKey, codec::Encode(use_), false});
  if (std::exchange(known_disks_changed_, false))
    batch->push_back({kPeerDisksKey, codec::Encode(known_disks_), false});
  return use_;
}

void StoreDiskGuard::OnSynced(const control::DiskUse& use) {
  if (use.writes <= synced_.writes) return;
  const bool first = synced_.starts == 0;
  synced_ = use;
  if (first) Tick();
}

void StoreDiskGuard::SetPeers(std::set<StoreId> peers) {
  peers.erase(self_);
  if (peers == peers_) return;
  peers_ = std::move(peers);
  Tick();
}

void StoreDiskGuard::Tick() {
  if (synced_.starts == 0) return;
  for (const StoreId& peer : peers_) {
    const auto reported = reported_.find(peer);
    if (reported == reported_.end() || reported->second != synced_) Report(peer);
  }
}

void StoreDiskGuard::Report(const StoreId& peer) {
  if (!in_flight_.insert(peer).second) return;
  send_(peer, codec::Encode(StoreDiskReport{self_, synced_}),
        [this, peer, sent = synced_,
         alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<std::string>& response) {
          if (!alive.expired()) OnResponse(peer, sent, response);
        });
}

// A store of an earlier build knows nothing.
void StoreDiskGuard::OnResponse(const StoreId& peer, const control::DiskUse& sent,
                                const absl::StatusOr<std::string>& response) {
  in_flight_.erase(peer);
  if (!response.ok() && !absl::IsUnimplemented(response.status())) return;
  const auto known = response.ok() ? codec::Decode<control::DiskUse>(*response)
                                   : absl::StatusOr<control::DiskUse>(control::DiskUse());
  if (!known.ok()) return;
  reported_[peer] = sent;
  if (control::IsRolledBack(found_, synced_, *known)) {
    if (std::exchange(is_rolled_back_, true)) return;
    logging::Error(
        "batch", "the disk was rolled back to an earlier state",
        {logging::F("reported_by", peer.name), logging::F("reported_writes", known->writes),
         logging::F("found_writes", found_.writes)});
    if (on_rolled_back_) on_rolled_back_();
    return;
  }
  if (known->starts > 0) known_by_other_ = true;
  if (checked_.insert(peer).second && on_checked_) on_checked_();
}

void StoreDiskGuard::OnReport(const StoreDiskReport& report, const rpc::Respond& respond) {
  control::PeerDisk& known = known_disks_[report.store.name];
  const control::PeerDisk before =
      known.disk_id == report.store.disk_id ? known : control::PeerDisk{report.store.disk_id, {}};
  known = {report.store.disk_id, control::MergeDiskUse(before.use, report.use)};
  known_disks_changed_ = known_disks_changed_ || known != before;
  respond(codec::Encode(before.use));
}

bool StoreDiskGuard::IsChecked(const std::vector<StoreId>& replicas,
                               const std::function<bool(const StoreId&)>& is_away) const {
  return !is_rolled_back_ &&
         std::all_of(replicas.begin(), replicas.end(), [&](const StoreId& replica) {
           const bool has_responded = replica == self_ || checked_.count(replica) > 0;
           return has_responded || (known_by_other_ && is_away(replica));
         });
}

}  // namespace pearreach::batch
