// The records that make up a batch job on disk and in replication: their kinds, keys, encodings and
// digests, and the operations that a primary makes of them.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_RECORDS_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_RECORDS_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tier/batch/messages.h"

namespace pearreach::batch {

// Kinds of records; the header sorts first within its batch job.
enum class RecordKind : char {
  kHeader = 'a',
  kEnded = 'e',        // the client has ended the batch job
  kFailures = 'f',     // of one item: the leases that ended with a 500
  kItem = 'i',         // an ItemSpec; erased with the item's result
  kReservation = 'q',  // a QuotaReservation, in the partition of the route, not of the batch job
  kResult = 'r',       // by position
  kTenant = 't',       // the name of the batch job's tenant; absent if it has none
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

// A change of one batch job, made durable as a whole. Applying it twice comes to the same as once.
struct Operation {
  std::string batch_job_id;
  bool erase_first =
      false;  // what is there of the batch job goes: with no records, it is forgotten
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

// Tokens that were granted to a batch job under its route's cap, kept by the partition of the route
// until the batch job's partition has shown that they wait no longer.
struct QuotaReservation {
  std::string route;
  double tokens = 0;
  // Of the primary that asked: its partition's epoch, its process and how far its reports were. A
  // later report of it names the batch job as long as it may still be taken.
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
void AddResult(std::uint32_t position, const ResultRecord& result, Operation* operation);

std::string RecordKey(std::uint32_t partition, std::string_view batch_job_id, RecordKind kind,
                      std::uint32_t index);
std::string PartitionPrefix(std::uint32_t partition);
std::string BatchJobPrefix(std::uint32_t partition, std::string_view batch_job_id);

constexpr std::size_t kRecordKeySuffixBytes = 6;  // a zero byte, the kind, four hexadecimal digits

// The kind and index that the last kRecordKeySuffixBytes of a record's key name; none if malformed.
std::optional<Record> ParseRecordKeySuffix(std::string_view suffix);
Record MakeRecord(RecordKind kind, std::uint32_t index, std::string value);

// The value of a kFailures record: lease numbers, eight bytes each in the machine's byte order.
std::string PackLeases(const std::vector<std::uint64_t>& leases);
std::vector<std::uint64_t> UnpackLeases(std::string_view bytes);

// Hashes for the digests by which replicas compare their state; the same on every store.
std::uint64_t MixHash(std::uint64_t value);
std::uint64_t HashBytes(std::string_view bytes);
std::uint64_t RecordHash(char kind, std::uint32_t index, std::string_view value);

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_RECORDS_H_
