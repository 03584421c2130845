// The messages that edge nodes exchange about workers. The order of the fields in `serialize` is
// the wire format.
#ifndef PEARREACH_SRC_TIER_REGISTRY_WORKER_MESSAGES_H_
#define PEARREACH_SRC_TIER_REGISTRY_WORKER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tier/codec/archive.h"
#include "tier/registry/worker_table.h"

namespace pearreach::registry {

// Records of workers. Times are spans, as clocks differ.
struct WorkerUpdate {
  struct Item {
    WorkerRecord record;  // its warm_at is meaningless to others
    std::int64_t warm_left_ms = 0;
    std::int64_t heartbeat_age_ms =
        0;                  // since the worker's last heartbeat that the sender knows of
    bool orphaned = false;  // heartbeat_age_ms counts from the end of its receiver instead
    template <class Archive>
    void serialize(Archive& archive, unsigned) {
      archive& record& warm_left_ms& heartbeat_age_ms& orphaned;
    }
  };
  std::vector<Item> items;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& items;
  }
};

// kWorkerUpdate: records for the addressee and, through it, for all edge nodes whose key is
// from `first` to `last`.
struct DisseminateRequest {
  std::string first, last;     // EdgeNode::key; empty: the addressee alone
  std::int64_t budget_ms = 0;  // the response is due within it
  bool confirm = false;        // respond only once the others have it, naming them
  std::string update;          // WorkerUpdate, encoded once for all
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& first& last& budget_ms& confirm& update;
  }
};

struct DisseminateResponse {
  std::vector<std::uint64_t> reached;  // HashOf the names of the nodes that have it
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& reached;
  }
};

// A digest of one record in a shard of a table.
struct DigestEntry {
  std::uint64_t worker = 0;  // HashOf the worker's id
  std::uint64_t state = 0;   // of its record
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& state;
  }
};

// kWorkerDigest: asks whether both tables are equal. If not, the response has the digest of each
// shard.
struct DigestRequest {
  std::uint64_t total = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& total;
  }
};

struct DigestResponse {
  std::vector<std::uint64_t> shards;  // empty: the same
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& shards;
  }
};

// kWorkerRepair: the sender's entries in the shards that differ. The response has the records that
// the sender lacks or has otherwise, and names those that the addressee lacks or has otherwise.
struct RepairRequest {
  struct Shard {
    std::uint32_t index = 0;
    std::vector<DigestEntry> entries;
    template <class Archive>
    void serialize(Archive& archive, unsigned) {
      archive& index& entries;
    }
  };
  std::vector<Shard> shards;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& shards;
  }
};

struct RepairResponse {
  WorkerUpdate update;
  std::vector<std::uint64_t> wanted;  // DigestEntry::worker
  bool more = false;                  // the update was cut at its largest size
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& update& wanted& more;
  }
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_WORKER_MESSAGES_H_
