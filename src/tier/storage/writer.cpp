#include "tier/storage/writer.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>
#include <utility>

namespace pearreach::storage {
namespace {

// What one transaction takes at most (a single larger batch is taken whole): bounds the memory for
// its pages and how long the first batch waits for the last.
constexpr std::size_t kTransactionBytes = 4 << 20;

std::size_t BytesOf(const std::vector<Write>& batch) {
  std::size_t bytes = 0;
  for (const storage::Write& write : batch) bytes += write.key.size() + write.value.size();
  return bytes;
}

}  // namespace

Writer::Writer(Environment* environment) : environment_(environment) {}

absl::Status Writer::Start() {
  event_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (event_ < 0) return absl::ErrnoToStatus(errno, "eventfd");
  const bool watched = Poller::Default().Set(event_, EPOLLIN, this);
  if (!watched) return absl::ResourceExhaustedError("no more descriptors can be watched");
  try {
    thread_ = std::thread([this] { Run(); });
  } catch (const std::system_error& error) {
    return absl::ResourceExhaustedError(error.what());
  }
  return absl::OkStatus();
}

Writer::~Writer() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ending_ = true;
  }
  queued_.notify_one();
  if (thread_.joinable()) thread_.join();
  if (event_ < 0) return;
  Poller::Default().Remove(event_);
  close(event_);
}

void Writer::Queue(std::vector<storage::Write> batch, Done done) {
  bool first = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    first = jobs_.empty();
    jobs_.push_back({std::move(batch), std::move(done)});
  }
  if (first) queued_.notify_one();
}

void Writer::Run() {
  for (std::vector<Job> jobs = TakeJobs(); !jobs.empty(); jobs = TakeJobs()) {
    Write(std::move(jobs));
  }
}

std::vector<Writer::Job> Writer::TakeJobs() {
  std::unique_lock<std::mutex> lock(mutex_);
  queued_.wait(lock, [this] { return !jobs_.empty() || ending_; });
  std::vector<Job> taken;
  std::size_t bytes = 0;
  while (!jobs_.empty()) {
    bytes += BytesOf(jobs_.front().batch);
    if (!taken.empty() && bytes > kTransactionBytes) break;
    taken.push_back(std::move(jobs_.front()));
    jobs_.pop_front();
  }
  return taken;
}

void Writer::Write(std::vector<Job> jobs) {
  std::vector<std::vector<storage::Write>> batches;
  batches.reserve(jobs.size());
  for (Job& job : jobs) batches.push_back(std::move(job.batch));
  const std::vector<absl::Status> statuses = environment_->Commit(batches);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      results_.push_back({std::move(jobs[i].done), statuses[i]});
    }
  }
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(event_, &one, sizeof(one));
}

void Writer::OnReady(std::uint32_t) {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t taken = read(event_, &count, sizeof(count));
  std::vector<Result> results;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    results.swap(results_);
  }
  // A call may destroy the store: nothing of this object is used from here on.
  for (Result& result : results) {
    if (result.done) result.done(std::move(result.status));
  }
}

}  // namespace pearreach::storage
