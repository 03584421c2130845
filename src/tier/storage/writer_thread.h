// The thread that writes: takes what is queued in one go, commits it as one transaction and hands
// the results back to the main loop. It sleeps while nothing is queued.
#ifndef PEARREACH_SRC_TIER_STORAGE_WRITER_THREAD_H_
#define PEARREACH_SRC_TIER_STORAGE_WRITER_THREAD_H_

#include <absl/status/status.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
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
  // Waits until all that is queued has been written; the calls that are left are not made.
  ~WriterThread();
  WriterThread(const WriterThread&) = delete;
  WriterThread& operator=(const WriterThread&) = delete;

  absl::Status Start();
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

  void Run();
  std::vector<PendingBatch> TakePending();  // empty: the end
  void Write(std::vector<PendingBatch> pending);
  void OnReady(std::uint32_t events) override;

  Environment* const environment_;
  int result_event_ = -1;  // readable: results wait
  std::thread thread_;
  std::mutex mutex_;
  std::condition_variable queued_;
  // Guarded by mutex_:
  std::deque<PendingBatch> pending_;
  std::vector<Result> results_;
  bool stopping_ = false;
};

}  // namespace pearreach::storage

#endif  // PEARREACH_SRC_TIER_STORAGE_WRITER_THREAD_H_
