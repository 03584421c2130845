// The thread that writes: takes what is queued in one go, commits it as one transaction and hands
// the results back to the main loop. It sleeps while nothing is queued.
#ifndef PEARREACH_SRC_TIER_STORAGE_WRITER_H_
#define PEARREACH_SRC_TIER_STORAGE_WRITER_H_

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

class Writer final : private Poller::Client {
 public:
  using Done = std::function<void(absl::Status)>;

  explicit Writer(Environment* environment);
  // Waits until all that is queued has been written; the calls that are left are not made.
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  absl::Status Start();
  void Queue(std::vector<Write> batch, Done done);

 private:
  struct Job {
    std::vector<Write> batch;
    Done done;
  };
  struct Result {
    Done done;
    absl::Status status;
  };

  void Run();
  std::vector<Job> TakeJobs();  // empty: the end
  void Write(std::vector<Job> jobs);
  void OnReady(std::uint32_t events) override;

  Environment* const environment_;
  int event_ = -1;  // readable: results wait
  std::thread thread_;
  std::mutex mutex_;
  std::condition_variable queued_;
  // Guarded by mutex_:
  std::deque<Job> jobs_;
  std::vector<Result> results_;
  bool ending_ = false;
};

}  // namespace pearreach::storage

#endif  // PEARREACH_SRC_TIER_STORAGE_WRITER_H_
