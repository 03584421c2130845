// For how long the disks that the placement table names as lost make up for missing replicas: from
// when this store first saw the loss, kept on its disk, so that a restart does not begin it anew.
#ifndef PEARREACH_SRC_TIER_BATCH_LOST_DISKS_H_
#define PEARREACH_SRC_TIER_BATCH_LOST_DISKS_H_

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/storage/table_store.h"

namespace pearreach::batch {

// When a store first saw that a disk is lost.
struct LostDiskSighting {
  StoreId disk;
  std::string boot_id;            // of the boot of the machine that the clock belongs to
  std::int64_t seen_at_us = 0;    // by the clock of Now()
  std::uint64_t table_epoch = 0;  // of the table that named it
  auto operator<=>(const LostDiskSighting&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& disk& boot_id& seen_at_us& table_epoch;
  }
};

// What the loss of a disk means for the partitions that it was a replica of.
enum class LossState : std::uint8_t {
  kUnrecorded,  // will count once it is on this store's disk
  kCounts,      // one of the losses that `tolerance` allows
  kOver,        // another disk may be lost from now on
};

struct LostDisksRecord {
  std::vector<LostDiskSighting> sightings;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& sightings;
  }
};

// Owned by StoreServer. No clock: the caller passes the time. Not thread-safe: all calls and
// callbacks run on the event loop.
class LostDisks {
 public:
  using Commit = std::function<void(storage::Write, std::function<void(absl::Status)>)>;

  // `boot_id`: of the machine; empty if it is not known. `commit` writes to `disk`. `recorded` is
  // called when further losses have begun to count.
  LostDisks(const storage::TableStore& disk, std::string boot_id, Micros window, Commit commit,
            std::function<void()> recorded);

  // The disks that a table of this epoch names as lost beside replicas of this store. To be called
  // also periodically: it repeats a write that has failed.
  void Update(std::uint64_t table_epoch, const std::set<StoreId>& lost, Micros now);
  // It counts once it is on record here, until the window after its first sight is over.
  LossState StateOf(const StoreId& disk, Micros now) const;

 private:
  struct Loss {
    LostDiskSighting sighting;
    bool is_clock_known = true;  // the sighting is of this boot
    bool is_durable = false;
  };

  void WriteRecord();
  void OnWritten(const LostDisksRecord& record, const absl::Status& status);

  const std::string boot_id_;
  const Micros window_;
  const Commit commit_;
  const std::function<void()> recorded_;
  std::map<StoreId, Loss> losses_;
  bool writing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for late completions
};

// A lost disk is one of the losses that `tolerance` allows until its store has been back for
// `sync_s`. The window ends before that, as the table names the loss only after the store is back.
Micros LossWindow(double sync_s);
// The id of the present boot of this machine; empty if the system does not tell.
std::string BootId();

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_LOST_DISKS_H_
