#include "tier/control/record_writer.h"

#include <utility>

#include "tier/codec/archive.h"
#include "tier/logging/log.h"

namespace pearreach::control {
namespace {

constexpr char kModule[] = "control";
constexpr char kUseKey[] = "chain/use";  // of the DiskUse among the records
constexpr char kPeerDisksKey[] = "chain/peer_disks";
constexpr Micros kRetryPeriod = 100 * kMs;  // between two tries of a write that fails
// A single failure may pass; a member whose writes fail for longer is better left out.
constexpr int kFailuresBeforeUnusable = 2;

DiskUse ReadDiskUse(const storage::TableStore& store) {
  const auto record = store.Get(kUseKey);
  const auto use = record.ok() ? codec::Decode<DiskUse>(*record) : record.status();
  return use.ok() ? *use : DiskUse();
}

PeerDisks ReadPeerDisks(const storage::TableStore& store) {
  const auto record = store.Get(kPeerDisksKey);
  auto disks = record.ok() ? codec::Decode<PeerDisks>(*record) : record.status();
  return disks.ok() ? *std::move(disks) : PeerDisks();
}

}  // namespace

RecordWriter::RecordWriter(TimeSource* time, storage::TableStore* store, std::uint64_t instance,
                           Micros stall_timeout, SyncedCallback synced_callback)
    : time_(time),
      store_(store),
      stall_timeout_(stall_timeout),
      synced_callback_(std::move(synced_callback)),
      found_(ReadDiskUse(*store)),
      found_peer_disks_(ReadPeerDisks(*store)),
      peer_disks_(found_peer_disks_),
      use_{found_.starts + 1, instance, found_.writes} {
  CommitNext();
}

RecordWriter::~RecordWriter() { time_->Cancel(&retry_timer_); }

void RecordWriter::Write(coordination::Persist&& persist) {
  for (auto& [key, value] : persist.records) pending_.records[key] = std::move(value);
  pending_.tokens.push_back(persist.token);
  if (!is_committing_ && retry_timer_ == 0) CommitNext();
}

void RecordWriter::CommitNext() {
  is_committing_ = true;
  committing_since_ = time_->Now();
  committing_ = std::exchange(pending_, {});
  ++use_.writes;
  committing_.records[kUseKey] = codec::Encode(use_);
  committing_.records[kPeerDisksKey] = codec::Encode(peer_disks_);
  std::vector<storage::Write> writes;
  for (const auto& [key, value] : committing_.records) writes.push_back({key, value, false});
  store_->Commit(std::move(writes),
                 callbacks_.Bind([this](const absl::Status& status) { OnCommitted(status); }));
}

bool RecordWriter::TakesWrites() const {
  const Micros now = time_->Now();
  const bool stalled = is_committing_ && now - committing_since_ > stall_timeout_;
  return !stalled && failures_ < kFailuresBeforeUnusable && now >= unusable_until_;
}

void RecordWriter::OnCommitted(const absl::Status& status) {
  const bool stalled = time_->Now() - committing_since_ > stall_timeout_;
  const bool keeps_failing = !status.ok() && failures_ + 1 >= kFailuresBeforeUnusable;
  if (stalled || keeps_failing) unusable_until_ = time_->Now() + stall_timeout_;
  is_committing_ = false;
  Batch batch = std::exchange(committing_, {});
  if (status.ok()) {
    if (failures_ > 0) logging::Info(kModule, "records are written again", {});
    failures_ = 0;
    synced_ = use_;
    synced_callback_(batch.tokens);
    if (!pending_.tokens.empty() && !is_committing_) CommitNext();
    return;
  }
  if (failures_++ == 0) {
    logging::Error(kModule, "writing records failed, retrying",
                   {logging::F("error", status.ToString())});
  }
  for (auto& [key, value] : pending_.records) batch.records[key] = std::move(value);
  batch.tokens.insert(batch.tokens.end(), pending_.tokens.begin(), pending_.tokens.end());
  pending_ = std::move(batch);
  retry_timer_ = time_->After(kRetryPeriod, [this] {
    retry_timer_ = 0;
    CommitNext();
  });
}

}  // namespace pearreach::control
