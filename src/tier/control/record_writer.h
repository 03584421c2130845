// Writes the records of this node's chain replica to disk in the order in which the replica gave
// them. A write that fails (a full disk) is tried again until it is on disk: the replica goes no
// further without it, and nothing later may be on disk before it. What is given meanwhile goes
// along with the next try. Each write also records how far the disk has been used (disk_use.h).
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
  // The replica's tokens of what is on disk now, in order.
  using SyncedCallback = std::function<void(const std::vector<std::uint64_t>& tokens)>;

  // `instance`: a random name of this process. Writes at once that it has started.
  RecordWriter(TimeSource* time, storage::TableStore* store, std::uint64_t instance,
               SyncedCallback synced_callback);
  ~RecordWriter();
  RecordWriter(const RecordWriter&) = delete;
  RecordWriter& operator=(const RecordWriter&) = delete;

  void Write(coordination::Persist&& persist);

  const DiskUse& found() const { return found_; }  // when this process started
  const DiskUse& synced() const {
    return synced_;
  }  // by this process; nothing before its first write

 private:
  // Records that go to disk as a whole; a later value of a key takes an earlier one's place.
  struct Batch {
    std::map<std::string, std::string> records;
    std::vector<std::uint64_t> tokens;
  };

  void CommitNext();
  void OnCommitted(const absl::Status& status);

  TimeSource* time_;
  storage::TableStore* store_;
  const SyncedCallback synced_callback_;
  Batch pending_;
  Batch committing_;
  bool is_committing_ = false;
  const DiskUse found_;
  DiskUse use_, synced_;
  Timers::Id retry_timer_ = 0;
  bool failing_ = false;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_RECORD_WRITER_H_
