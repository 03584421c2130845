// Messages between the replicas of one partition.
#ifndef PEARREACH_SRC_TIER_BATCH_REPLICATION_MESSAGES_H_
#define PEARREACH_SRC_TIER_BATCH_REPLICATION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "tier/batch/batch_job_state.h"
#include "tier/batch/messages.h"

namespace pearreach::batch {

// What every message between replicas names: both ends and the partition as the sender knows it.
struct ReplicaScope {
  StoreId from, to;
  std::uint32_t partition = 0;
  std::uint64_t epoch = 0;
  std::uint64_t process = 0;  // of the sender's link, at random
  std::uint64_t attempt = 0;  // the synchronisation that this belongs to; rises within a process
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& from& to& partition& epoch& process& attempt;
  }
};

enum class ReplicaVerdict : std::uint8_t {
  kAccepted,        // durable here
  kUnsynchronised,  // not the next of a stream that this replica knows: synchronise first
  kStale,           // the sender's table is an earlier one
  kSuperseded,      // the sender's process or attempt is an earlier one, it seems
  kBehind,          // this replica has yet to learn of the sender's table
};

// Changes from the primary: next ones of a stream, or whole batch jobs of a synchronisation.
struct Replicate {
  ReplicaScope scope;
  std::uint64_t first = 0;  // sequence of the first operation; with `begin`: of the next to come
  bool fill = false;        // part of a synchronisation: operations have no sequence
  bool begin = false;       // ends a synchronisation: the stream is open from `first` on
  std::vector<Operation> operations;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& scope& first& fill& begin& operations;
  }
};

struct ReplicateResponse {
  ReplicaVerdict verdict = ReplicaVerdict::kAccepted;
  // What the replica's disk has for further batch jobs; only with kAccepted.
  std::uint64_t available_bytes = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& verdict& available_bytes;
  }
};

// First with `buckets` alone, then with the batch jobs of the buckets that differ.
struct RepairDigest {
  ReplicaScope scope;
  std::vector<std::uint64_t> buckets;
  std::vector<std::uint32_t> listed;  // buckets of which `batch jobs` holds all
  std::vector<std::pair<std::string, std::uint64_t>> batch_jobs;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& scope& buckets& listed& batch_jobs;
  }
};

struct RepairDigestResponse {
  ReplicaVerdict verdict = ReplicaVerdict::kAccepted;
  std::vector<std::uint32_t> differing;  // buckets
  std::vector<std::string> wanted;       // batch jobs that differ or are missing
  std::vector<std::string> surplus;      // batch jobs that the primary did not list
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& verdict& differing& wanted& surplus;
  }
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_REPLICATION_MESSAGES_H_
