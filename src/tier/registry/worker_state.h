// What one node knows of all workers: merges of what workers and other nodes say, expiry of those
// that nobody hears any more, digests to compare it with other nodes' and the immutable table made
// of it. No I/O.
//
// What nodes tell one another is a record with a version. Of two records of one worker the later
// phase and the higher version stand (a lost one before a live one, then by the taker's name), so
// that all nodes come to the same whatever the order of messages. Heartbeats that change nothing
// stay with the node that takes them.
#ifndef PEARREACH_SRC_TIER_REGISTRY_WORKER_STATE_H_
#define PEARREACH_SRC_TIER_REGISTRY_WORKER_STATE_H_

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/event_loop/io.h"
#include "tier/registry/worker_messages.h"
#include "tier/registry/worker_table.h"

namespace pearreach::registry {

struct WorkerStateOptions {
  Micros expiry = 6 * kSecond;  // a worker that nobody has heard for so long leaves the table
  Micros departed_retention =
      120 * kSecond;      // departed ones are remembered, so that late calls do no harm
  std::string self = {};  // name of this node, as a taker of heartbeats
  // Whether that node is a live member; null: none is.
  std::function<bool(const std::string& node)> receiver_is_live = {};
};

class WorkerState {
 public:
  explicit WorkerState(WorkerStateOptions options) : options_(std::move(options)) {}

  // A heartbeat or departure that came to this node or was passed on to it, `unheard` since then.
  // Returns whether it changed what others must know (a new worker, a later phase, another address
  // or taker). Phases never go back within an incarnation.
  bool Merge(Micros now, const WorkerRecord& record, Micros heartbeat_age);
  bool Depart(Micros now, const std::string& worker_id);
  // This node takes the worker's heartbeats from now on.
  void TakeOver(Micros now, const std::string& worker_id);
  // A record as another node has it; true if something is new here.
  bool Adopt(Micros now, const WorkerUpdate::Item& item);
  // Drops what has expired; true if the table changed.
  bool Expire(Micros now);
  // Workers of this node that have expired since the last call: others must know.
  std::vector<std::string> TakeLost();

  const WorkerRecord* Find(const std::string& worker_id) const;
  std::vector<WorkerUpdate::Item> Export(Micros now) const;
  WorkerUpdate::Item ExportOne(Micros now, const std::string& worker_id) const;
  // Shards that have not changed are shared with the table before.
  std::shared_ptr<const WorkerTable> BuildTable();
  std::size_t size() const;

  std::uint64_t Digest() const;
  std::vector<std::uint64_t> ShardDigests() const { return {digests_.begin(), digests_.end()}; }
  std::vector<DigestEntry> Entries(std::size_t shard) const;
  // Adds to `answer` what differs between the other's entries and this shard, up to `most` records.
  void Compare(Micros now, const RepairRequest::Shard& other, std::size_t most,
               RepairResponse* response) const;
  // Records of the workers whose ids hash to these.
  std::vector<WorkerUpdate::Item> ExportHashed(Micros now,
                                               const std::vector<std::uint64_t>& workers) const;

 private:
  struct Entry {
    WorkerRecord record;
    Micros heard = 0;            // the worker's last sign that is known here, on this clock
    Micros orphaned = 0;         // its taker is no live member since then; 0: it is
    std::uint64_t last_seq = 0;  // of its heartbeats
    bool listed = false;         // in the table
    bool in_digest = false;      // in the digest
  };
  using Shard = std::unordered_map<std::string, Entry>;

  Entry* FindEntry(const std::string& worker_id);
  void RemoveFromDigest(Entry* entry);
  void AddToDigest(Entry* entry);
  void SetListed(Entry* entry, bool listed);
  void ClaimAddress(Entry* entry, bool always);
  bool Add(const WorkerRecord& record, Micros heard, bool listed);
  Micros ExpiryBase(const Entry& entry) const;
  bool ExpireOne(Micros now, Entry* entry);
  bool ReceiverIsLive(const std::string& receiver);
  WorkerUpdate::Item ExportEntry(Micros now, const Entry& entry) const;
  static std::uint64_t StateHash(const WorkerRecord& record);

  WorkerStateOptions options_;
  std::array<Shard, WorkerTable::kShards> shards_;
  std::array<std::uint64_t, WorkerTable::kShards> digests_{};  // sums of StateHash
  std::array<bool, WorkerTable::kShards> dirty_{};
  std::unordered_map<std::string, std::string>
      address_owners_;  // address -> the worker listed there
  std::shared_ptr<const WorkerTable> table_ = std::make_shared<WorkerTable>();
  std::vector<std::string> lost_;
  std::unordered_map<std::string, bool> live_receivers_;  // as they were asked for in this Expire
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_WORKER_STATE_H_
