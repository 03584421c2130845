// The messages that control nodes exchange. The order of the fields in `serialize` is the format.
#ifndef PEARREACH_SRC_TIER_CONTROL_MESSAGES_H_
#define PEARREACH_SRC_TIER_CONTROL_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tier/codec/optional.h"
#include "tier/control/control_client.h"
#include "tier/control/disk_use.h"
#include "tier/coordination/chain_messages.h"
#include "tier/coordination/change_history.h"

namespace pearreach::control {

// Revision of each key that the client has; a response omits entries of the same revision.
using Revisions = std::map<std::string, std::uint64_t>;

// kControlPoll: requests a state newer than `version`, and waits for it if `wait_for_update` is
// set.
struct PollRequest {
  coordination::Version version;
  Revisions revisions;
  bool wait_for_update = true;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& version.epoch& version.sequence& revisions& wait_for_update;
  }
};

// kControlRead: a linearizable read. `timeout` is in microseconds.
struct ReadRequest {
  Revisions revisions;
  std::int64_t timeout = 0;
  std::optional<coordination::ChangeId> change_id;  // whose status in the change history is wanted
  bool forwarded = false;  // by an isolated quorum member, to a node outside the quorum
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& revisions& timeout& change_id& forwarded;
  }
};

struct StateEntry {
  std::string key, value;
  std::uint64_t revision = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& key& value& revision;
  }
};

// The response to both. `present` is false if there is nothing newer, or no confirmed state.
struct StateUpdate {
  bool present = false;
  coordination::Version version;
  std::vector<StateEntry> entries;  // those whose revision differs from the client's
  // Of the requested change id.
  coordination::ChangeHistoryStatus history_status = coordination::ChangeHistoryStatus::kForgotten;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& present& version.epoch& version.sequence& entries& history_status;
  }
};

// kControlWrite: a change that is forwarded to the head. `timeout` is in microseconds.
struct WriteRequest {
  ControlChange change;
  std::int64_t timeout = 0;
  std::uint32_t hops = 0;  // nodes that have forwarded it
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& change.key& change.value& change.expected_revision& timeout& hops;
    archive& change.fencing_token.key& change.fencing_token.revision& change.change_id;
  }
};

struct WriteResponse {
  std::uint8_t status = 0;  // coordination::ChangeStatus
  std::uint64_t revision = 0;
  std::string hint;  // name of the head, if known
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& status& revision& hint;
  }
};

// kChain: a message between chain replicas, or a heartbeat; `from` is the sender's name.
struct ChainEnvelope {
  std::string from, bytes{};
  bool is_heartbeat = false;  // the response is a HeartbeatResponse
  bool draining = false;      // of a heartbeat: the view should do without the sender
  std::string disk_id;        // the sender's disk; earlier builds send it with heartbeats only
  DiskUse use;                // as far as that is synced; covers all that `bytes` rests on
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& from& bytes& is_heartbeat& draining& disk_id& use;
  }
};

struct HeartbeatResponse {
  std::string name;                            // of the responding node
  std::vector<std::string> reachable_members;  // quorum members with which it had contact lately
  bool draining = false;                       // the view should do without it
  std::uint64_t epoch = 0;                     // of the view that it is in
  bool agreeing = false;                       // it takes part in an agreement on the next one
  std::string disk_id;                         // its disk
  DiskUse use;                                 // as far as that is synced
  DiskUse requester_disk_use;                  // what was known of the sender's disk before
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& name& reachable_members& draining& epoch& agreeing& disk_id& use& requester_disk_use;
  }
};

// kWitnessVote: asks for a vote, and responds with the store's latest one. Also the store's record.
struct WitnessVote {
  std::uint64_t epoch = 0;            // of the view that goes on without lost members; 0: none
  coordination::ReplicaId candidate;  // the member that may go on
  bool operator==(const WitnessVote&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& epoch& candidate;
  }
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_MESSAGES_H_
