// The lots of one partition as every replica holds them: small records on disk and what must be
// known of them in memory. Item bodies and results stay on disk. Disk, replication and repair all
// pass through the same records, so that there is one way in which a lot's state comes about.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_STATE_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_STATE_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/event_loop/io.h"
#include "tier/batch/messages.h"
#include "tier/storage/table_store.h"

namespace pearreach::batch {

// Kinds of records; the header sorts first within its lot.
enum class RecordKind : char {
  kHeader = 'a',
  kEnded = 'e',        // the client has ended the lot
  kFailures = 'f',     // of one item: the leases that ended with a 500
  kItem = 'i',         // an ItemSpec; erased with the item's result
  kReservation = 'q',  // a QuotaReservation, in the partition of the route, not of the lot
  kResult = 'r',       // by position
};

struct Record {
  char kind = 0;
  std::uint32_t index = 0;  // of the item, or the position of the result
  std::string value;
  bool erase = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& kind& index& value& erase;
  }
};

// A change of one lot, made durable as a whole. Applying it twice comes to the same as once.
struct Operation {
  std::string batch_job_id;
  bool erase_first = false;  // what is there of the lot goes: with no records, it is forgotten
  std::vector<Record> records;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& batch_job_id& erase_first& records;
  }
  std::size_t Bytes() const;
};

struct ItemSummary {
  std::string item_id;
  double tokens = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& item_id& tokens;
  }
};

struct BatchJobHeader {
  std::string route, host;
  std::uint64_t fingerprint = 0;
  double token_cap = 0;
  int attempts = 1;
  double due_ms = 0, retain_s = 0, status_s = 0;
  std::int64_t created_wall_ms = 0;  // time of day at the primary that took it
  std::vector<ItemSummary> items;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& route& host& fingerprint& token_cap& attempts& due_ms& retain_s& status_s&
        created_wall_ms& items;
  }
};

struct ItemState {
  bool done = false;                         // it has a result, be it acknowledged or not yet
  std::vector<std::uint64_t> failed_leases;  // each counts one answer of 500
};

struct BatchJob {
  BatchJobHeader header;
  std::vector<ItemState> items;
  bool ended = false;
  std::uint32_t results = 0;          // positions taken
  std::uint64_t digest = 0;           // over all records but the items'
  std::optional<Micros> known_since;  // when this process first had it; see lot_age.h
  // Of the primary: what all replicas hold and may be seen.
  bool accepted = false;
  std::uint32_t visible_results = 0;

  bool AllDone() const { return results >= items.size(); }
  bool Open() const { return !ended && !AllDone(); }
  double WaitingTokens() const;  // of items without a result; 0 once ended
  std::optional<std::uint32_t> FindItem(std::string_view item_id) const;
};

// Tokens that were granted to a lot under its route's cap, kept by the partition of the route until
// the lot's partition has shown that they wait no longer.
struct QuotaReservation {
  std::string route;
  double tokens = 0;
  // Of the primary that asked: its partition's epoch, its process and how far its reports were. A
  // later report of it names the lot as long as it may still be taken.
  std::uint64_t epoch = 0, process = 0, sequence = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& route& tokens& epoch& process& sequence;
  }
};

struct ResultRecord {
  std::uint32_t item = 0;
  ItemPhase phase = ItemPhase::kComplete;
  std::string content;
};

std::string PackResult(const ResultRecord& result);
absl::StatusOr<ResultRecord> UnpackResult(std::string_view bytes);

// Operations, as the primary makes them.
Operation MakeCreate(const BatchJobSpec& spec, std::int64_t created_wall_ms);
Operation MakeEnd(const std::string& batch_job_id);
Operation MakeErase(const std::string& batch_job_id);
Operation MakeResult(const std::string& batch_job_id, std::uint32_t position,
                     const ResultRecord& result);
Operation MakeReservation(const std::string& batch_job_id, const QuotaReservation& reservation);
Operation MakeRelease(const std::string& batch_job_id);  // of a reservation
void AddFailure(const BatchJob& batch_job, std::uint32_t item, std::uint64_t lease,
                Operation* operation);
void AddResult(std::uint32_t position, const ResultRecord& result, Operation* operation);

std::string RecordKey(std::uint32_t partition, std::string_view batch_job_id, RecordKind kind,
                      std::uint32_t index);
std::string PartitionPrefix(std::uint32_t partition);
std::string BatchJobPrefix(std::uint32_t partition, std::string_view batch_job_id);

constexpr std::uint32_t kDigestBuckets = 32;

class BatchJobTable {
 public:
  explicit BatchJobTable(std::uint32_t partition) : partition_(partition) {}

  // Reads all of the partition from disk in place of what is in memory.
  void Load(const storage::TableStore& disk);
  // Changes memory and returns what is to be written for it.
  std::vector<storage::Write> Apply(const Operation& operation);
  // The whole lot as it is on disk, in place of whatever another replica has of it.
  Operation ReadSnapshot(const storage::TableStore& disk, const std::string& batch_job_id) const;

  BatchJob* Find(const std::string& batch_job_id);
  const std::map<std::string, BatchJob>& batch_jobs() const { return batch_jobs_; }
  // By lot, for routes of this partition.
  std::map<std::string, QuotaReservation> Reservations() const;
  void MakeAllVisible();
  // Lots that were not stamped before are known since `now`, of the steady clock.
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
