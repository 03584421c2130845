// The control state: a small durable map of named values, replicated by chain replication over
// nodes with disks. A change enters at the head, is synced to disk by each replica in turn and is
// committed when the tail has it. When a replica fails, the chain is repaired by a new view (epoch
// and members) on which a quorum of the old view's members agrees (view_agreement.h); the view
// carries the complete map, so that nothing else need be copied. There is no replicated log and no
// elected leader: the head is the first member of the view.
//
// A deterministic state machine without socket, clock, thread or disk: the caller delivers
// messages, ticks and the completion of disk writes, and carries out the effects in order. Not
// thread-safe; one object per process, owned by control::ReplicaDriver. Guarantees, for as long as
// no more than `tolerance` is lost at once:
//   - a committed change is never lost, also when power fails everywhere right after;
//   - of two changes with the same expected version at most one commits;
//   - the committed version of a replica, and of a client that takes the greatest, never goes back;
//   - a replica whose disk was lost takes no part in agreement under its old identity.
#ifndef PEARREACH_SRC_TIER_COORDINATION_CHAIN_H_
#define PEARREACH_SRC_TIER_COORDINATION_CHAIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::coordination {

using Micros = std::int64_t;  // microseconds on the caller's steady clock

// A replica: the node's name and the identity of its disk's contents. A wiped disk is another
// identity of the same node.
struct ReplicaId {
  std::string name, disk_id;
  auto operator<=>(const ReplicaId&) const = default;
};

// Totally ordered; rises with each committed change and each view.
struct Version {
  std::uint64_t epoch = 0, sequence = 0;
  auto operator<=>(const Version&) const = default;
};

struct Entry {
  std::string value;
  std::uint64_t revision = 0;  // rises by one with each change of this key; 0: never set
};
using Map = std::map<std::string, Entry>;

struct View {
  std::uint64_t epoch = 0;         // 0: none yet
  std::vector<ReplicaId> members;  // head first, tail last
};

// The outcome of a change.
enum class ChangeStatus {
  kCommitted,
  kConflict,     // the key's revision is another one: nothing was changed
  kUnavailable,  // the outcome is unknown: it may be committed or not
  kNotHead,      // nothing was changed; `hint` is the head as far as known
  kFenced,       // the fencing token is out of date: nothing was changed
};

// The change is rejected once `key` has a later revision than this one: what was decided while
// `revision` was the newest does not come into force after it.
struct FencingToken {
  std::string key;  // empty: none
  std::uint64_t revision = 0;
};

// Identifies a change in the history of its key (change_history.h): the number that its author gave
// it, which rises from change to change, and a digest of its content.
struct ChangeId {
  std::uint64_t number = 0;
  std::uint64_t digest_high = 0, digest_low = 0;
  auto operator<=>(const ChangeId&) const = default;
};

// Compare and set: sets `key` to `value` where its revision is `expected` and the fencing token is
// not out of date.
struct ChangeRequest {
  std::uint64_t ticket = 0;
  std::string key;
  std::uint64_t expected = 0;
  std::string value;
  FencingToken fencing_token;
  std::optional<ChangeId> change_id{};  // recorded in the same commit
};

struct ChangeResult {
  std::uint64_t ticket = 0;
  ChangeStatus status = ChangeStatus::kUnavailable;
  std::uint64_t revision = 0;  // of the key now
  std::string hint;
};

struct ReadResult {
  std::uint64_t ticket = 0;
  bool ok = false;  // false: it could not be confirmed in time that the map is the newest
  std::shared_ptr<const Map> map;
  Version version;
};

// What the caller must do, each list in its order: sync the persists, send the messages, and pass
// on the results. A message may be lost, duplicated, delayed or reordered.
struct SendMessage {
  std::string to;  // node name
  std::string bytes;
};
struct Persist {  // sync these to disk atomically, then call OnPersisted(token)
  std::uint64_t token = 0;
  std::map<std::string, std::string> records;
};
struct Committed {  // a newer committed map
  Version version;
  std::shared_ptr<const Map> map;
};
struct Effects {
  std::vector<Persist> persists;
  std::vector<SendMessage> messages;
  std::vector<ChangeResult> changes;
  std::vector<ReadResult> reads;
  std::vector<Committed> committed;
};

// What may be lost at once: so many disks, or all disks of so many zones or regions.
struct Tolerance {
  int machines = 1, zones = 0, regions = 0;
};

struct ChainOptions {
  ReplicaId self;
  bool bootstrap = false;  // the cluster starts for the first time
  Tolerance tolerance;
  Micros call_timeout = 1'000'000;  // of a change or a read
  Micros retry = 100'000;           // interval of retransmissions
};

// A quorum member as membership sees it, with its present disk identity.
struct Peer {
  ReplicaId id;
  bool alive = false;
  std::string zone, region;  // empty: not known
  bool draining = false;     // it shuts down soon: the next view is formed without it
};

class ChainReplica {
 public:
  // `records`: what Persist effects left on disk (all keys of this machine), empty on a new disk.
  // `seed` of the random choices: equal seeds and inputs give equal effects.
  ChainReplica(ChainOptions options, const std::map<std::string, std::string>& records,
               std::uint64_t seed, Micros now);
  ~ChainReplica();

  // The members as membership sees them. The first live member of the view in its order (at
  // bootstrap: the first by name) repairs the view, never one that cannot reach a quorum.
  void SetPeers(Micros now, const std::vector<Peer>& peers, Effects* out);
  // At bootstrap: those whose majority forms the first view, the same set at all founders. The set
  // may be replaced until this node has taken part in an agreement. No effect once there is a view.
  void SetFounders(Micros now, std::vector<ReplicaId> founders, Effects* out);
  // `from`: the sender's node name; empty: not checked against the message. Malformed bytes are
  // ignored.
  void Receive(Micros now, const std::string& from, std::string_view bytes, Effects* out);
  // The records of Persist `token` are synced. Tokens may be reported in any order.
  void OnPersisted(Micros now, std::uint64_t token, Effects* out);
  // An operator's order: `lost` is permanently lost and counts as gone in the agreement on the next
  // view, though its machine has not said so from another disk. Lapses once there is a next view or
  // the replica is live again. No effect unless it is a member of the view, apart from this one.
  // REQUIRES: no other replica is told to do without this one (control/quorum_recovery.h).
  void Forget(Micros now, const ReplicaId& lost, Effects* out);
  // When Tick must be called next, at the latest.
  Micros NextTick() const;
  void Tick(Micros now, Effects* out);

  // At the head only. The result comes as an effect, within `call_timeout`.
  void Change(Micros now, ChangeRequest request, Effects* out);
  // A linearizable read: the tail responds once a majority has confirmed that the view is still in
  // force. The result comes as an effect, within `call_timeout`.
  void Read(Micros now, std::uint64_t ticket, Effects* out);

  const View& view() const;
  bool is_head() const;
  // This replica takes part in an agreement on the next view, and commits nothing meanwhile.
  bool is_changing_view() const;
  // The newest map that is known to be committed; null: none yet.
  std::shared_ptr<const Map> committed() const;
  Version committed_version() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_CHAIN_H_
