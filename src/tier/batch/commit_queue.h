// Writes of one partition to disk, in order. What was queued behind a failed write fails with it,
// so that no change is on disk without those before it.
#ifndef PEARREACH_SRC_TIER_BATCH_COMMIT_QUEUE_H_
#define PEARREACH_SRC_TIER_BATCH_COMMIT_QUEUE_H_

#include <absl/status/status.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "tier/storage/table_store.h"

namespace pearreach::batch {

// Owned by PartitionReplica. Not thread-safe: all calls and callbacks run on the event loop.
class CommitQueue {
 public:
  using Done = std::function<void(absl::Status)>;
  // Makes a batch durable as a whole or not at all; never calls back from inside the call.
  using Write = std::function<void(std::vector<storage::Write> batch, Done done)>;

  explicit CommitQueue(Write write) : write_(std::move(write)) {}

  // One write is under way at a time; what comes meanwhile goes together in the next. `done` is
  // called in the order of the calls. An empty batch waits for those before it.
  void Commit(std::vector<storage::Write> batch, Done done);
  // Everything that was submitted is durable or has failed.
  bool idle() const { return writing_.empty() && waiting_.empty(); }

 private:
  struct Job {
    std::vector<storage::Write> batch;
    Done done;
  };

  void WriteNext();
  void OnWritten(const absl::Status& status);

  const Write write_;
  std::vector<Job> writing_;  // their batches have been handed over
  std::deque<Job> waiting_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_COMMIT_QUEUE_H_
