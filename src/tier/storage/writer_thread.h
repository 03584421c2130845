// The thread that writes to an Environment: takes the queued batches, commits them in one
// transaction and passes the results back to the main loop through an eventfd. It blocks while
// nothing is queued. Owned by the table store.
//
// Thread safety: constructed, started, used and destroyed on the loop thread; `mutex_` guards what
// the loop thread and the writer thread share.
#ifndef PEARREACH_SRC_TIER_STORAGE_WRITER_THREAD_H_
#define PEARREACH_SRC_TIER_STORAGE_WRITER_THREAD_H_

#include <absl/base/thread_annotations.h>
#include <absl/status/status.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "common/event_loop/poller.h"
#include "tier/storage/environment.h"
#include "tier/storage/table_store.h"

namespace pearreach::storage {

class WriterThread final : private Poller::Client {
 public:
  using Done = std::function<void(absl::Status)>;

  explicit WriterThread(Environment* environment);
  // Blocks until all queued batches have been written. Callbacks that are still due are dropped.
  ~WriterThread();
  WriterThread(const WriterThread&) = delete;
  WriterThread& operator=(const WriterThread&) = delete;

  // RESOURCE_EXHAUSTED or the code of errno if the eventfd or the thread cannot be made.
  // REQUIRES: called once, before Enqueue.
  absl::Status Start();
  // `done` is called on the loop thread once the batch is synced or has failed, in the order of the
  // calls. It may destroy this object.
  void Enqueue(std::vector<Write> batch, Done done);

 private:
  struct PendingBatch {
    std::vector<Write> batch;
    Done done;
  };
  struct Result {
    Done done;
    absl::Status status;
  };

  void Run();  // the thread's function
  // Blocks until a batch is queued; empty: stopping and nothing is left.
  std::vector<PendingBatch> TakePending() ABSL_LOCKS_EXCLUDED(mutex_);
  bool HasWorkOrStops() const ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
    return !pending_.empty() || stopping_;
  }
  void Write(std::vector<PendingBatch> pending) ABSL_LOCKS_EXCLUDED(mutex_);
  void OnReady(std::uint32_t events) override;

  Environment* const environment_;
  int result_event_ = -1;  // eventfd, readable while results wait; owned
  std::thread thread_;
  absl::Mutex mutex_;
  std::deque<PendingBatch> pending_ ABSL_GUARDED_BY(mutex_);
  std::vector<Result> results_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace pearreach::storage

#endif  // PEARREACH_SRC_TIER_STORAGE_WRITER_THREAD_H_
