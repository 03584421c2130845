#include "tier/storage/writer_thread.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>
#include <utility>

namespace pearreach::storage {
namespace {

// Size of one transaction's batches at most (a single larger batch is taken as it is): bounds the
// memory for its pages and how long the first batch waits for the last.
constexpr std::size_t kTransactionBytes = 4 << 20;

std::size_t BytesOf(const std::vector<Write>& batch) {
  std::size_t bytes = 0;
  for (const storage::Write& write : batch) bytes += write.key.size() + write.value.size();
  return bytes;
}

}  // namespace

WriterThread::WriterThread(Environment* environment) : environment_(environment) {}

absl::Status WriterThread::Start() {
  result_event_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (result_event_ < 0) return absl::ErrnoToStatus(errno, "eventfd");
  const bool watched = Poller::Default().Set(result_event_, EPOLLIN, this);
  if (!watched) return absl::ResourceExhaustedError("no more descriptors can be watched");
  try {
    thread_ = std::thread([this] { Run(); });
  } catch (const std::system_error& error) {
    return absl::ResourceExhaustedError(error.what());
  }
  return absl::OkStatus();
}

WriterThread::~WriterThread() {
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  if (thread_.joinable()) thread_.join();
  if (result_event_ < 0) return;
  Poller::Default().Remove(result_event_);
  close(result_event_);
}

void WriterThread::Enqueue(std::vector<storage::Write> batch, Done done) {
  const absl::MutexLock lock(&mutex_);
  pending_.push_back({std::move(batch), std::move(done)});
}

void WriterThread::Run() {
  for (std::vector<PendingBatch> pending = TakePending(); !pending.empty();
       pending = TakePending()) {
    Write(std::move(pending));
  }
}

std::vector<WriterThread::PendingBatch> WriterThread::TakePending() {
  const absl::MutexLock lock(&mutex_, absl::Condition(this, &WriterThread::HasWorkOrStops));
  std::vector<PendingBatch> taken;
  std::size_t bytes = 0;
  while (!pending_.empty()) {
    bytes += BytesOf(pending_.front().batch);
    if (!taken.empty() && bytes > kTransactionBytes) break;
    taken.push_back(std::move(pending_.front()));
    pending_.pop_front();
  }
  return taken;
}

void WriterThread::Write(std::vector<PendingBatch> pending) {
  std::vector<std::vector<storage::Write>> batches;
  batches.reserve(pending.size());
  for (PendingBatch& pending_batch : pending) batches.push_back(std::move(pending_batch.batch));
  const std::vector<absl::Status> statuses = environment_->Commit(batches);
  {
    const absl::MutexLock lock(&mutex_);
    for (std::size_t i = 0; i < pending.size(); ++i) {
      results_.push_back({std::move(pending[i].done), statuses[i]});
    }
  }
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(result_event_, &one, sizeof(one));
}

void WriterThread::OnReady(std::uint32_t) {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t taken = read(result_event_, &count, sizeof(count));
  std::vector<Result> results;
  {
    const absl::MutexLock lock(&mutex_);
    results.swap(results_);
  }
  // A callback may destroy the store: nothing of this object is used from here on.
  for (Result& result : results) {
    if (result.done) result.done(std::move(result.status));
  }
}

}  // namespace pearreach::storage
