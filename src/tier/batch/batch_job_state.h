// The batch jobs of one partition as every replica has them: small records on disk, and in memory
// what must be known of them. Item bodies and results stay on disk. Client changes, replication,
// repair and the load at start all go through the same records, so that a batch job's state has one
// origin.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_STATE_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/event_loop/io.h"
#include "tier/batch/batch_job_records.h"
#include "tier/storage/table_store.h"

namespace pearreach::batch {

struct ItemState {
  bool done = false;                         // it has a result, be it acknowledged or not yet
  std::vector<std::uint64_t> failed_leases;  // each counts one answer of 500
};

struct BatchJob {
  BatchJobHeader header;
  std::string tenant;  // empty: none
  std::vector<ItemState> items;
  bool ended = false;
  std::uint32_t results = 0;          // positions taken
  std::uint64_t digest = 0;           // over all records but the items'
  std::optional<Micros> known_since;  // when this process first had it; see batch_job_age.h
  // Of the primary: what all replicas hold and may be seen.
  bool accepted = false;
  std::uint32_t visible_results = 0;

  bool AllDone() const { return results >= items.size(); }
  bool Open() const { return !ended && !AllDone(); }
  double WaitingTokens() const;  // of items without a result; 0 once ended
  std::optional<std::uint32_t> FindItem(std::string_view item_id) const;
};

// Adds to `operation` that the lease `lease` of the item ended with a failed run.
void AddFailure(const BatchJob& batch_job, std::uint32_t item, std::uint64_t lease,
                Operation* operation);

constexpr std::uint32_t kDigestBuckets = 32;

// The state of one partition. Owned by PartitionReplica.
// Not thread-safe: all calls and callbacks run on the event loop.
class BatchJobTable {
 public:
  explicit BatchJobTable(std::uint32_t partition) : partition_(partition) {}

  // Reads all of the partition from disk in place of what is in memory.
  void Load(const storage::TableStore& disk);
  // Changes memory and returns what is to be written for it.
  std::vector<storage::Write> Apply(const Operation& operation);
  // The whole batch job as it is on disk, in place of whatever another replica has of it.
  Operation ReadSnapshot(const storage::TableStore& disk, const std::string& batch_job_id) const;

  BatchJob* Find(const std::string& batch_job_id);
  const std::map<std::string, BatchJob>& batch_jobs() const { return batch_jobs_; }
  // By batch job, for routes of this partition.
  std::map<std::string, QuotaReservation> Reservations() const;
  void MakeAllVisible();
  // Batch jobs that were not stamped before are known since `now`, of the steady clock.
  void StampNew(Micros now);

  static std::uint32_t BucketOf(std::string_view batch_job_id);
  std::vector<std::uint64_t> BucketDigests() const;
  std::vector<std::pair<std::string, std::uint64_t>> BatchJobDigests(
      const std::vector<std::uint32_t>& buckets) const;

 private:
  struct StoredReservation {
    QuotaReservation reservation;
    std::uint64_t digest = 0;
  };

  void ApplyRecord(const std::string& batch_job_id, const Record& record);
  void ApplyReservation(const std::string& batch_job_id, const Record& record);
  void ApplyToBatchJob(BatchJob* batch_job, const Record& record);
  void EraseKeys(const std::string& batch_job_id,
                 std::map<std::string, storage::Write>* writes) const;

  std::uint32_t partition_;
  std::map<std::string, BatchJob> batch_jobs_;
  std::map<std::string, StoredReservation> reservations_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_STATE_H_
