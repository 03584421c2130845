// Messages between edge nodes and stores, and the table that places batch jobs on stores. The order
// of the fields is the wire format.
#ifndef PEARREACH_SRC_TIER_BATCH_MESSAGES_H_
#define PEARREACH_SRC_TIER_BATCH_MESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tier/codec/archive.h"
#include "tier/control/disk_use.h"

namespace pearreach::batch {

// ---------------------------------------------------------------- placement

// A store: node name and identity of its disk's contents (coordination::ReplicaId).
struct StoreId {
  std::string name, disk_id;
  auto operator<=>(const StoreId&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& name& disk_id;
  }
};

struct Partition {
  std::uint64_t epoch = 0;        // rises with each change of this partition
  std::vector<StoreId> replicas;  // the first is the primary; each holds all that was acknowledged
  std::vector<StoreId> joining;   // gets all new writes and is being filled; not counted yet
  // Former replicas whose disks are lost and that no other replica has replaced yet: another disk
  // stands at their place. Encoded by PlacementTable, as earlier builds have no such field here.
  std::vector<StoreId> lost = {};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& epoch& replicas& joining;
  }
};

struct PlacementTable {
  std::uint64_t epoch = 0;
  std::vector<Partition> partitions;  // a batch job belongs to PartitionOf(its id)
  std::vector<std::string> retiring;  // node names that are to be emptied
  std::vector<std::string> retired;   // emptied: they hold nothing that is needed
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& epoch& partitions& retiring& retired;
    SerializeLost(archive);
  }

 private:
  // The field is last, and left out where it is empty: earlier builds pass over it and write tables
  // without it.
  template <class Archive>
  void SerializeLost(Archive& archive) {
    std::vector<std::vector<StoreId>> lost;  // by partition
    if constexpr (Archive::is_saving::value) {
      bool is_empty = true;
      for (const Partition& partition : partitions) {
        lost.push_back(partition.lost);
        is_empty = is_empty && partition.lost.empty();
      }
      if (!is_empty) archive& lost;
    } else {
      if (archive.at_end()) return;
      archive& lost;
      for (std::size_t at = 0; at < lost.size() && at < partitions.size(); ++at)
        partitions[at].lost = lost[at];
    }
  }
};

constexpr std::uint32_t kPartitions = 32;
std::uint32_t PartitionOf(std::string_view batch_job_id);  // FNV-1a, the same on every node

// ---------------------------------------------------------------- batch jobs

struct ItemSpec {
  std::string item_id;  // the client's `worker_id` of the entry
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;  // decoded
  double tokens = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& item_id& path& headers& body& tokens;
  }
};

struct BatchJobSpec {
  std::string batch_job_id, route, host;
  // Of the whole submission; equal when the same batch job is submitted again.
  std::uint64_t fingerprint = 0;
  double token_cap = 0, quota_excess = 0;
  int attempts = 1;
  double due_ms = 0, retain_s = 0, status_s = 0;
  std::vector<ItemSpec> items;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& batch_job_id& route& host& fingerprint& token_cap& quota_excess& attempts& due_ms&
        retain_s& status_s& items;
  }
};

// Every call to a store carries the placement epoch that the caller knows. A store that is not the
// active primary of the batch job's partition answers FAILED_PRECONDITION or UNAVAILABLE: ask
// again. A store whose epoch of the partition is another one refuses a CreateBatchJob: one that is
// late cannot come into force once the partition has changed.
struct CreateBatchJob {
  std::uint64_t placement_epoch = 0, partition_epoch = 0;
  BatchJobSpec batch_job;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& placement_epoch& partition_epoch& batch_job;
  }
};

// Asked before a batch job's items are sent: whether they could be kept now. It changes nothing, so
// an answer that does not come leaves nothing in doubt.
struct OfferBatchJob {
  std::uint64_t placement_epoch = 0;
  std::string batch_job_id;
  std::uint64_t disk_bytes = 0;  // that the batch job takes at most (BatchJobBytes)
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& placement_epoch& batch_job_id& disk_bytes;
  }
};
enum class OfferVerdict : std::uint8_t {
  kWelcome,  // not known here; all stores that would have to keep it have just answered
  kKnown,    // submitted before, or being submitted
  kInsufficientCapacity,  // on the disk of a replica
};
struct OfferBatchJobResponse {
  OfferVerdict verdict = OfferVerdict::kWelcome;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& verdict;
  }
};
enum class CreateStatus : std::uint8_t {
  kAccepted,  // also when repeated
  kOverQuota,
  kInsufficientCapacity,  // on the disk of a replica
};
struct CreateBatchJobResponse {
  CreateStatus status = CreateStatus::kAccepted;
  std::int64_t retry_after_ms = 0;  // of a refusal; 0: not known
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& status& retry_after_ms;
  }
};

enum class ItemPhase : std::uint8_t { kComplete, kAbandoned };
struct ItemOutput {
  std::string item_id;
  ItemPhase phase = ItemPhase::kComplete;
  std::string content;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& item_id& phase& content;
  }
};

struct ReadBatchJob {
  std::uint64_t placement_epoch = 0;
  std::string batch_job_id;
  std::uint64_t start_after = 0;
  std::int64_t wait_ms = 0;  // hold the answer this long where nothing is there yet
  std::uint64_t max_bytes = 1'000'000;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& placement_epoch& batch_job_id& start_after& wait_ms& max_bytes;
  }
};
struct ReadBatchJobResponse {
  bool found = false;  // false only where it is sure that no such batch job was accepted
  std::uint64_t total = 0;
  std::vector<ItemOutput> outputs;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& found& total& outputs;
  }
};

struct ReadItemBody {
  std::uint64_t placement_epoch = 0;
  std::string batch_job_id, item_id;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& placement_epoch& batch_job_id& item_id;
  }
};
struct ReadItemBodyResponse {
  bool found = false;
  std::string body;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& found& body;
  }
};

struct CancelBatchJob {
  std::uint64_t placement_epoch = 0;
  std::string batch_job_id;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& placement_epoch& batch_job_id;
  }
};
struct CancelBatchJobResponse {
  bool found = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& found;
  }
};

// ---------------------------------------------------------------- leases of items

struct PullItems {
  std::string node;           // name of the edge node
  std::uint64_t process = 0;  // of its process: leases of an earlier one are void
  std::uint64_t placement_epoch = 0;
  std::map<std::string, int> capacity;  // by route name: how many items it would run now
  std::int64_t wait_ms = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& node& process& placement_epoch& capacity& wait_ms;
  }
};
struct LeasedItem {
  std::string batch_job_id, route, host;
  std::uint64_t lease = 0;      // unique at its store process; results and renewals name it
  std::int64_t expires_ms = 0;  // from now: give the item up by then unless renewed
  std::uint32_t failures = 0;   // answers of 500 so far
  int attempts = 1;
  double retain_left_ms = 0;
  ItemSpec item;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& batch_job_id& route& host& lease& expires_ms& failures& attempts& retain_left_ms& item;
  }
};
struct PullItemsResponse {
  std::vector<LeasedItem> items;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& items;
  }
};

enum class RunOutcome : std::uint8_t {
  kComplete,    // `content` is the whole output
  kFailed,      // a worker answered 500: counts towards `tries`
  kImpossible,  // a worker answered 422
  kReturned,    // not run, or nothing known: run it again
};
struct ItemResult {
  std::string batch_job_id, item_id;
  std::uint64_t lease = 0;
  RunOutcome outcome = RunOutcome::kReturned;
  std::string content;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& batch_job_id& item_id& lease& outcome& content;
  }
};
// The answer to an ItemResult is empty: it has been made durable or is of no more use. The edge
// keeps a complete result and sends it again, also to a new primary, until it is acknowledged.
struct RenewLeases {
  std::string node;
  std::uint64_t process = 0;
  std::vector<std::pair<std::string, std::string>> leased_items;  // batch job and item
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& node& process& leased_items;
  }
};
struct RenewLeasesResponse {
  // Batch job and item, of ended batch jobs or done: the edge node cancels these.
  std::vector<std::pair<std::string, std::string>> stop;
  // Leases that the store neither renews nor ends, as it is not the active primary. All leases that
  // are in neither list are renewed.
  std::vector<std::pair<std::string, std::string>> undecided = {};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& stop;
    SerializeUndecided(archive);
  }

 private:
  // The field is last, and left out where it is empty: earlier builds pass over it and answer
  // without it.
  template <class Archive>
  void SerializeUndecided(Archive& archive) {
    if constexpr (Archive::is_saving::value) {
      if (!undecided.empty()) archive& undecided;
    } else {
      if (!archive.at_end()) archive& undecided;
    }
  }
};

// kStoreDiskReport: how far the sender's disk has been used, as far as that is synced. The response
// is the control::DiskUse that the receiver knew of that disk before.
struct StoreDiskReport {
  StoreId store;
  control::DiskUse use;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& store& use;
  }
};

// To the placement controller (kStoreStatus): a joiner holds all of these partitions now; these
// stores did not answer the sender.
struct StoreStatus {
  StoreId store;                                                // the joiner
  std::vector<std::pair<std::uint32_t, std::uint64_t>> filled;  // partition, its epoch
  std::vector<StoreId> unresponsive{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& store& filled& unresponsive;
  }
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_MESSAGES_H_
