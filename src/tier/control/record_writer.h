// Writes the records of this node's chain replica to disk in the order in which the replica
// produced them. A write that fails (a full disk) is retried until it succeeds: the replica takes
// no further step without it, and nothing later may be on disk before it. Records that arrive
// meanwhile join the next attempt. Each write also records how far the disk has been used
// (disk_use.h) and what is known of the use of the peers' disks, so that a peer's disk that is
// rolled back is found out also after this process has been restarted. Owned by the replica
// driver. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_RECORD_WRITER_H_
#define PEARREACH_SRC_TIER_CONTROL_RECORD_WRITER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "tier/control/disk_use.h"
#include "tier/control/time_source.h"
#include "tier/coordination/chain.h"
#include "tier/storage/table_store.h"

namespace pearreach::control {

class RecordWriter {
 public:
  // Called with the replica's tokens of the writes that are synced now, in their order.
  using SyncedCallback = std::function<void(const std::vector<std::uint64_t>& tokens)>;

  // `instance`: a random id of this process. `stall_timeout`: microseconds after which a write that
  // has not ended counts as stalled. Records the start of the process at once.
  RecordWriter(TimeSource* time, storage::TableStore* store, std::uint64_t instance,
               Micros stall_timeout, SyncedCallback synced_callback);
  ~RecordWriter();
  RecordWriter(const RecordWriter&) = delete;
  RecordWriter& operator=(const RecordWriter&) = delete;

  void Write(coordination::Persist&& persist);
  // Recorded with the next write.
  void SetPeerDisks(PeerDisks disks) { peer_disks_ = std::move(disks); }

  // False while writes fail or a write is stalled, and for `stall_timeout` after that.
  bool TakesWrites() const;
  const DiskUse& found() const { return found_; }  // when this process started
  const PeerDisks& found_peer_disks() const { return found_peer_disks_; }
  const DiskUse& synced() const {
    return synced_;
  }  // by this process; nothing before its first write

 private:
  // Records that are written atomically; a later value of a key replaces an earlier one.
  struct Batch {
    std::map<std::string, std::string> records;
    std::vector<std::uint64_t> tokens;
  };

  void CommitNext();
  void OnCommitted(const absl::Status& status);

  TimeSource* time_;
  storage::TableStore* store_;
  const Micros stall_timeout_;
  const SyncedCallback synced_callback_;
  Batch pending_;
  Batch committing_;
  bool is_committing_ = false;
  Micros committing_since_ = 0;  // the write that is under way
  Micros unusable_until_ = 0;
  const DiskUse found_;
  const PeerDisks found_peer_disks_;
  PeerDisks peer_disks_;
  DiskUse use_, synced_;
  Timers::Id retry_timer_ = 0;
  int failures_ = 0;  // of the present write, in a row
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_RECORD_WRITER_H_
