#include "tier/batch/commit_queue.h"

#include <iterator>
#include <utility>

namespace pearreach::batch {
namespace {

// About, of one write to disk; a single batch may be larger.
constexpr std::size_t kWriteBytes = 1 << 20;

std::size_t BytesOf(const std::vector<storage::Write>& batch) {
  std::size_t bytes = 0;
  for (const storage::Write& write : batch) bytes += write.key.size() + write.value.size();
  return bytes;
}

}  // namespace

void CommitQueue::Commit(std::vector<storage::Write> batch, Done done) {
  waiting_.push_back({std::move(batch), std::move(done)});
  if (writing_.empty()) WriteNext();
}

void CommitQueue::WriteNext() {
  std::vector<storage::Write> together;
  std::size_t bytes = 0;
  while (!waiting_.empty() && bytes < kWriteBytes) {
    Job job = std::move(waiting_.front());
    waiting_.pop_front();
    bytes += BytesOf(job.batch);
    std::move(job.batch.begin(), job.batch.end(), std::back_inserter(together));
    writing_.push_back(std::move(job));
  }
  if (writing_.empty()) return;
  write_(std::move(together),
         [this, alive = std::weak_ptr<bool>(alive_)](const absl::Status& status) {
           if (!alive.expired()) OnWritten(status);
         });
}

// A call may hand in further batches; those are not touched by a failure of earlier ones.
void CommitQueue::OnWritten(const absl::Status& status) {
  std::vector<Job> finished = std::move(writing_);
  writing_.clear();
  if (!status.ok()) {
    std::move(waiting_.begin(), waiting_.end(), std::back_inserter(finished));
    waiting_.clear();
  }
  WriteNext();
  const std::weak_ptr<bool> alive = alive_;
  for (const Job& job : finished) {
    job.done(status);
    if (alive.expired()) return;
  }
}

}  // namespace pearreach::batch
