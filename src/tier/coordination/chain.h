// A small durable map of named values, replicated over a chain of nodes with disks: a change enters
// at the head, is synced to disk by each replica in turn and is committed when the tail has it.
// When a replica fails the chain is repaired by a new view (epoch and members), which a majority of
// the old view's members agrees on; the view carries the whole map, so that nothing else need be
// copied. There is no replicated log and no elected leader: the head is the first member of the
// view.
//
// A pure machine: no socket, no clock, no thread, no disk. The caller delivers messages, ticks and
// the completion of disk writes, and carries out the effects in order. Guarantees, for as long as
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

using Micros = std::int64_t;

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

// What a change or read came to.
enum class ChangeStatus {
  kCommitted,
  kConflict,     // the key's revision is another one: nothing was changed
  kUnavailable,  // nothing is promised: it may come into force or not
  kNotHead,      // nothing was changed; `hint` names the head as far as known
  kFenced,       // the fence's key has a later revision: nothing was changed
};

// Refuses a change once `key` has a later revision than this one: what was decided while `revision`
// was the newest does not come into force after it.
struct FencingToken {
  std::string key;  // empty: none
  std::uint64_t revision = 0;
};

// What stands for a change in the record of its key's changes (change_marks.h): the number that its
// author gave it, which rises from change to change, and a digest of its content.
struct ChangeId {
  std::uint64_t number = 0;
  std::uint64_t digest_high = 0, digest_low = 0;
  auto operator<=>(const ChangeId&) const = default;
};

// Sets `key` to `value` where its revision is `expected` and the fence stands.
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
  bool ok = false;  // false: it could not be made sure in time that the map is the newest
  std::shared_ptr<const Map> map;
  Version version;
};

// What the caller must do, in order.
struct SendMessage {
  std::string to;  // node name
  std::string bytes;
};
struct Persist {  // sync these to disk as a whole, then call Persisted(token)
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
  bool bootstrap = false;  // the whole system starts for the first time
  Tolerance tolerance;
  Micros call_timeout = 1'000'000;
  Micros retry = 100'000;
};

// The nodes that this one believes to be live quorum members, each with its present disk identity:
// input from membership.
struct Peer {
  ReplicaId id;
  bool alive = false;
  std::string zone, region;  // empty: not known
  bool draining = false;     // it ends soon, perhaps for good: the next view does without it
};

class ChainReplica {
 public:
  // `records`: what Persist effects left on disk (all keys of this machine), empty on a new disk.
  ChainReplica(ChainOptions options, const std::map<std::string, std::string>& records,
               std::uint64_t seed, Micros now);
  ~ChainReplica();

  // What membership says. The duty to repair the view falls to the first live member of the view in
  // its order (at bootstrap: the first by name), never to one that is not sure of a majority.
  void SetPeers(Micros now, const std::vector<Peer>& peers, Effects* out);
  // At bootstrap: those whose majority forms the first view, the same set at all founders. Another
  // set may be given until this node has taken part in an agreement; then the first one holds. Of
  // no effect once there is a view.
  void SetFounders(Micros now, std::vector<ReplicaId> founders, Effects* out);
  void Receive(Micros now, const std::string& from, std::string_view bytes, Effects* out);
  void OnPersisted(Micros now, std::uint64_t token, Effects* out);
  Micros NextTick() const;
  void Tick(Micros now, Effects* out);

  // At the head only. The result comes as an effect.
  void Change(Micros now, ChangeRequest request, Effects* out);
  // Answered from the tail once a majority confirms that the view still stands.
  void Read(Micros now, std::uint64_t ticket, Effects* out);

  const View& view() const;
  bool is_head() const;
  // It takes part in an agreement on the next view.
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
