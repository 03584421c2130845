#include "tier/registry/departure_log.h"

#include <cstdlib>
#include <utility>

#include "tier/codec/archive.h"
#include "tier/logging/log.h"

namespace pearreach::registry {
namespace {

constexpr char kModule[] = "registry";
constexpr std::string_view kKeyPrefix = "registry/departed/";
// A process that starts again remembers what it finds for the whole retention, as the time of day
// may have stepped meanwhile. This bounds what processes that restart often may keep.
constexpr std::int64_t kMaxRestoredAgeMs = 600'000;

std::string KeyOf(const std::string& worker_id) { return std::string(kKeyPrefix) + worker_id; }

}  // namespace

DepartureLog::DepartureLog(control::TimeSource* time, storage::TableStore* store,
                           std::function<std::int64_t()> wall_ms)
    : time_(time), store_(store), wall_ms_(std::move(wall_ms)) {
  std::vector<storage::Write> removals;
  store_->ForEach(kKeyPrefix, [&](std::string_view key, std::string_view value) {
    if (!key.starts_with(kKeyPrefix)) return;
    const auto record = codec::Decode<DepartureRecord>(value);
    const bool is_recent =
        record.ok() && std::abs(wall_ms_() - record->recorded_ms) <= kMaxRestoredAgeMs;
    if (is_recent) {
      Restore(std::string(key.substr(kKeyPrefix.size())), *record);
    } else {
      removals.push_back({std::string(key), "", true});
    }
  });
  if (!removals.empty()) store_->Commit(std::move(removals), [](const absl::Status&) {});
}

void DepartureLog::Restore(const std::string& worker_id, const DepartureRecord& record) {
  Entry& entry = entries_[worker_id];
  entry.phase = record.phase;
  entry.is_synced = true;
  entry.kept_since = time_->Now();
  WorkerRecord worker;
  worker.worker_id = worker_id;
  worker.phase = record.phase;
  worker.call_seq = record.call_seq;
  worker.version = record.version;
  restored_.push_back(std::move(worker));
}

void DepartureLog::Record(const WorkerRecord& record, Done done) {
  Entry& entry = entries_[record.worker_id];
  const bool is_new = entry.kept_since == 0 || entry.phase < record.phase;
  if (!is_new && entry.is_synced) {
    if (done) done(true);
    return;
  }
  if (done) entry.waiting.push_back(std::move(done));
  if (!is_new) return;
  entry.phase = record.phase;
  entry.is_synced = false;
  entry.kept_since = time_->Now();
  const DepartureRecord value{record.phase, record.call_seq, record.version, wall_ms_()};
  store_->Commit(
      {{KeyOf(record.worker_id), codec::Encode(value), false}},
      callbacks_.Bind(
          [this, id = record.worker_id, phase = record.phase](const absl::Status& status) {
            if (!status.ok())
              logging::Warning(kModule, "departure not recorded",
                               {logging::F("worker", id), logging::F("error", status.ToString())});
            OnSynced(id, phase, status.ok());
          }));
}

void DepartureLog::OnSynced(const std::string& worker_id, WorkerPhase phase, bool synced) {
  const auto found = entries_.find(worker_id);
  // A record of a later phase is on its way: that one answers.
  if (found == entries_.end() || found->second.phase != phase) return;
  const std::vector<Done> waiting = std::exchange(found->second.waiting, {});
  if (synced) {
    found->second.is_synced = true;
  } else {
    entries_.erase(found);
  }
  for (const Done& done : waiting) done(synced);
}

void DepartureLog::RemoveExpired() {
  std::vector<storage::Write> removals;
  const Micros now = time_->Now();
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool is_expired =
        it->second.is_synced && now - it->second.kept_since >= kDepartedRetention;
    if (is_expired) removals.push_back({KeyOf(it->first), "", true});
    it = is_expired ? entries_.erase(it) : std::next(it);
  }
  // A record that can't be removed now is found, and is too old, at a later start.
  if (!removals.empty()) store_->Commit(std::move(removals), [](const absl::Status&) {});
}

}  // namespace pearreach::registry
