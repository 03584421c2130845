#include "control/record_writer.h"

#include <utility>

#include "logging/log.h"

namespace pearreach::control {
namespace {

constexpr char kModule[] = "control";
constexpr Micros kRetryPeriod = 100 * kMs;  // between two tries of a write that fails

}  // namespace

RecordWriter::RecordWriter(TimeSource* time, disk::TableStore* store, Written written)
    : time_(time), store_(store), written_(std::move(written)) {}

RecordWriter::~RecordWriter() { time_->Cancel(&retry_timer_); }

void RecordWriter::Write(coordination::Persist persist) {
  for (auto& [key, value] : persist.records) waiting_.records[key] = std::move(value);
  waiting_.tokens.push_back(persist.token);
  if (committing_.tokens.empty() && retry_timer_ == 0) CommitNext();
}

void RecordWriter::CommitNext() {
  committing_ = std::exchange(waiting_, {});
  std::vector<disk::Write> writes;
  for (const auto& [key, value] : committing_.records) writes.push_back({key, value, false});
  store_->Commit(std::move(writes),
                 callbacks_.Bind([this](const absl::Status& status) { Committed(status); }));
}

void RecordWriter::Committed(const absl::Status& status) {
  Batch batch = std::exchange(committing_, {});
  if (status.ok()) {
    if (std::exchange(failing_, false)) logging::Info(kModule, "records can be written again", {});
    written_(batch.tokens);
    if (!waiting_.tokens.empty() && committing_.tokens.empty()) CommitNext();
    return;
  }
  if (!std::exchange(failing_, true)) {
    logging::Error(kModule, "records cannot be written, trying again",
                   {logging::F("error", status.ToString())});
  }
  for (auto& [key, value] : waiting_.records) batch.records[key] = std::move(value);
  batch.tokens.insert(batch.tokens.end(), waiting_.tokens.begin(), waiting_.tokens.end());
  waiting_ = std::move(batch);
  retry_timer_ = time_->After(kRetryPeriod, [this] {
    retry_timer_ = 0;
    CommitNext();
  });
}

}  // namespace pearreach::control
