// The workers that drain or have departed, on this node's disk, so that what was acknowledged to
// them outlasts the end of all processes. Heartbeats of workers that are ready are never written.
#ifndef PEARREACH_SRC_TIER_REGISTRY_DEPARTURE_LOG_H_
#define PEARREACH_SRC_TIER_REGISTRY_DEPARTURE_LOG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "tier/control/time_source.h"
#include "tier/registry/worker_table.h"
#include "tier/storage/table_store.h"

namespace pearreach::registry {

// The value of a record; its key has the worker's id. The order of the fields is the format.
struct DepartureRecord {
  WorkerPhase phase = WorkerPhase::kGone;   // or kDraining
  std::uint64_t call_seq = 0, version = 0;  // of the worker's WorkerRecord
  std::int64_t recorded_ms = 0;             // since 1970
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& phase& call_seq& version& recorded_ms;
  }
};

// Owned by a WorkerRegistry; used on the event loop's thread only.
class DepartureLog {
 public:
  // `synced`: the record, or one of a later phase, is on the disk.
  using Done = std::function<void(bool synced)>;

  // Reads what an earlier process has left and removes what is too old. `wall_ms`: milliseconds
  // since 1970. The pointers outlive this.
  DepartureLog(control::TimeSource* time, storage::TableStore* store,
               std::function<std::int64_t()> wall_ms);

  // What was found at the start: id, phase, call_seq and version. May be called once.
  std::vector<WorkerRecord> TakeRestored() { return std::move(restored_); }
  // REQUIRES: the worker drains or has departed. `done` may be null; it may be called from inside.
  void Record(const WorkerRecord& record, Done done);
  // Removes the records that have been kept for kDepartedRetention.
  void RemoveExpired();

 private:
  struct Entry {
    WorkerPhase phase = WorkerPhase::kDraining;
    bool is_synced = false;
    Micros kept_since = 0;
    std::vector<Done> waiting;
  };

  void Restore(const std::string& worker_id, const DepartureRecord& record);
  void OnSynced(const std::string& worker_id, WorkerPhase phase, bool synced);

  control::TimeSource* const time_;
  storage::TableStore* const store_;
  const std::function<std::int64_t()> wall_ms_;
  std::map<std::string, Entry> entries_;  // by worker
  std::vector<WorkerRecord> restored_;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_DEPARTURE_LOG_H_
