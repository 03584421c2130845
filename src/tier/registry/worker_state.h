// What one node knows of all workers: merges heartbeats and the records of other nodes, expires
// workers without heartbeats, keeps digests for the comparison with other nodes and builds the
// immutable table. No I/O, no clock.
//
// Nodes exchange records with a version. Of two records of one worker the later phase and the
// higher version win (a lost one before a live one, then by the heartbeat receiver's name), so that
// all nodes converge whatever the order of messages. Heartbeats that change nothing stay with the
// node that receives them.
#ifndef PEARREACH_SRC_TIER_REGISTRY_WORKER_STATE_H_
#define PEARREACH_SRC_TIER_REGISTRY_WORKER_STATE_H_

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/event_loop/io.h"
#include "tier/registry/worker_digests.h"
#include "tier/registry/worker_messages.h"
#include "tier/registry/worker_table.h"

namespace pearreach::registry {

struct WorkerStateOptions {
  // A worker without a heartbeat for so long leaves the table.
  Micros expiry = 6 * kSecond;
  Micros departed_retention = kDepartedRetention;
  // The name of this node as a heartbeat receiver.
  std::string self = {};
  // Whether the node of that name is a live member; null: none is.
  std::function<bool(const std::string& node)> receiver_is_live = {};
};

// Owned by a WorkerRegistry; not thread-safe. `now` is of one steady clock in all calls.
class WorkerState {
 public:
  explicit WorkerState(WorkerStateOptions options) : options_(std::move(options)) {}

  // Merges a heartbeat or departure that came to this node or was forwarded to it `heartbeat_age`
  // ago. Returns whether it changed what other nodes must know (a new worker, a later phase,
  // another address or heartbeat receiver). Phases never go back within an incarnation.
  bool Merge(Micros now, const WorkerRecord& record, Micros heartbeat_age);
  bool Depart(Micros now, const std::string& worker_id);
  // Takes over a record that an earlier process has kept (DepartureLog). The worker is not listed
  // until it calls.
  void Restore(Micros now, const WorkerRecord& record);
  // Makes this node the worker's heartbeat receiver.
  void TakeOver(Micros now, const std::string& worker_id);
  // Merges a record of another node; whether it changed anything here.
  bool Adopt(Micros now, const WorkerUpdate::Item& item);
  // Removes what has expired; whether the table changed.
  bool Expire(Micros now);
  // Workers with this node as their receiver that have expired since the last call, for the other
  // nodes to learn of.
  std::vector<std::string> TakeLost();

  // Null: not known. Valid until the next call that changes the state.
  const WorkerRecord* Find(const std::string& worker_id) const;
  std::vector<WorkerUpdate::Item> Export(Micros now) const;
  // REQUIRES: the worker is known.
  WorkerUpdate::Item ExportOne(Micros now, const std::string& worker_id) const;
  // Shards that have not changed are shared with the previous table.
  std::shared_ptr<const WorkerTable> BuildTable();
  std::size_t size() const;

  std::uint64_t Digest() const { return digests_.Total(); }
  std::vector<std::uint64_t> ShardDigests() const { return digests_.Shards(); }
  std::vector<DigestEntry> Entries(std::size_t shard) const;
  // Adds to `response` what differs between the other's entries and this shard, up to `most`
  // records.
  void Compare(Micros now, const RepairRequest::Shard& other, std::size_t max_count,
               RepairResponse* response) const;
  // Records of the workers whose ids hash to these.
  std::vector<WorkerUpdate::Item> ExportHashed(Micros now,
                                               const std::vector<std::uint64_t>& workers) const;

 private:
  struct Entry {
    WorkerRecord record;
    Micros last_heartbeat = 0;   // the newest that is known here, on this clock
    Micros orphaned_since = 0;   // its receiver has not been a live member since; 0: it is one
    std::uint64_t last_seq = 0;  // of its heartbeats
    bool listed = false;         // in the table
    bool in_digest = false;      // in the digest
  };
  using Shard = std::unordered_map<std::string, Entry>;

  Entry* FindEntry(const std::string& worker_id);
  void RemoveFromDigest(Entry* entry);
  void AddToDigest(Entry* entry);
  void SetListed(Entry* entry, bool listed);
  // Lists no other worker under the entry's address; unless `always`, the one with the newer
  // heartbeat keeps it.
  void ClaimAddress(Entry* entry, bool always);
  bool Add(const WorkerRecord& record, Micros last_heartbeat, bool listed);
  // From when on the age of a worker that has ended counts.
  Micros ExpiryBase(const Entry& entry) const;
  bool ExpireOne(Micros now, Entry* entry);
  bool ReceiverIsLive(const std::string& receiver);
  WorkerUpdate::Item ExportEntry(Micros now, const Entry& entry) const;

  WorkerStateOptions options_;
  std::array<Shard, WorkerTable::kShards> shards_;
  WorkerDigests digests_;
  std::array<bool, WorkerTable::kShards> dirty_{};
  std::unordered_map<std::string, std::string>
      address_owners_;  // by address: the worker listed there
  std::shared_ptr<const WorkerTable> table_ = std::make_shared<WorkerTable>();
  std::vector<std::string> lost_;
  std::unordered_map<std::string, bool> live_receivers_;  // by node, within one Expire
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_WORKER_STATE_H_
