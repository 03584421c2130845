// The messages between chain replicas and their encoding (Boost.Serialization). The order of the
// serialized fields is part of the wire format and of the records on disk: never change it.
#ifndef PEARREACH_SRC_TIER_COORDINATION_CHAIN_MESSAGES_H_
#define PEARREACH_SRC_TIER_COORDINATION_CHAIN_MESSAGES_H_

#include <absl/status/statusor.h>

#include <boost/serialization/split_member.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tier/codec/archive.h"
#include "tier/coordination/chain.h"

namespace pearreach::coordination {

template <class Archive>
void serialize(Archive& archive, ReplicaId& id, unsigned) {
  archive& id.name& id.disk_id;
}
template <class Archive>
void serialize(Archive& archive, Version& version, unsigned) {
  archive& version.epoch& version.sequence;
}
template <class Archive>
void serialize(Archive& archive, Entry& entry, unsigned) {
  archive& entry.value& entry.revision;
}
template <class Archive>
void serialize(Archive& archive, ChangeId& change_id, unsigned) {
  archive& change_id.number& change_id.digest_high& change_id.digest_low;
}
template <class Archive>
void serialize(Archive& archive, View& view, unsigned) {
  archive& view.epoch& view.members;
}

namespace chain {

// Orders the proposals for one view.
struct ProposalNumber {
  std::uint64_t round = 0;  // 0: none
  ReplicaId proposer;
  auto operator<=>(const ProposalNumber&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& round& proposer;
  }
};

// A complete map that is shared in memory and left out (null) where the receiver has it.
struct MapRef {
  std::shared_ptr<const Map> map;
  template <class Archive>
  void save(Archive& archive, unsigned) const {
    const bool present = map != nullptr;
    archive& present;
    if (present) archive&* map;
  }
  template <class Archive>
  void load(Archive& archive, unsigned) {
    bool present = false;
    archive& present;
    if (!present) return;
    auto loaded = std::make_shared<Map>();
    archive&* loaded;
    map = std::move(loaded);
  }
  BOOST_SERIALIZATION_SPLIT_MEMBER()
};

// What an agreement decides: a view and the map that it starts from, which is that of version
// `base` in the view before.
struct Proposal {
  View view;
  Version base;
  MapRef map;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& view& base& map;
  }
};

struct KeyChange {
  std::string key;
  Entry entry;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& key& entry;
  }
};

// Predecessor -> successor: persist these. Sequence 0 has no changes: the predecessors have the
// view.
struct Append {
  std::uint64_t sequence = 0;
  std::vector<KeyChange> changes;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& sequence& changes;
  }
};

// All members of the view have this sequence on disk.
struct CommitNotice {
  std::uint64_t sequence = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& sequence;
  }
};

// Successor -> predecessor: this member has the view and does not know whether the predecessor has.
struct ViewProbe {
  template <class Archive>
  void serialize(Archive&, unsigned) {}
};

// There is a view of the header's epoch.
struct ViewNotice {
  template <class Archive>
  void serialize(Archive&, unsigned) {}
};

struct ViewRequest {
  std::vector<Version> have;  // versions whose maps need not be sent
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& have;
  }
};

struct ViewResponse {
  Proposal start;
  bool committed = false;  // the map is the committed one of `version`, no longer the start
  Version version;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& start& committed& version;
  }
};

// Agreement on the view after the header's epoch.
struct Prepare {
  ProposalNumber proposal_number;
  std::vector<ReplicaId> acceptors;
  Version have;  // the proposer's own newest state
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& proposal_number& acceptors& have;
  }
};

struct Promise {
  ProposalNumber proposal_number;
  Version latest;  // newest state on this acceptor's disk
  MapRef map;      // of `latest`, where it is newer than the proposer's
  ProposalNumber accepted_number;
  Proposal accepted;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& proposal_number& latest& map& accepted_number& accepted;
  }
};

// A greater proposal number is promised.
struct Reject {
  ProposalNumber promised;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& promised;
  }
};

// The acceptor of the sender's name is permanently lost: the sender runs on another disk.
struct AcceptorGone {
  ProposalNumber proposal_number;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& proposal_number;
  }
};

struct Accept {
  ProposalNumber proposal_number;
  Proposal proposal;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& proposal_number& proposal;
  }
};

struct Accepted {
  ProposalNumber proposal_number;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& proposal_number;
  }
};

// Any replica -> tail.
struct ReadRequest {
  std::uint64_t instance = 0;  // of the asking process
  std::uint64_t ticket = 0;
  Version have;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& instance& ticket& have;
  }
};

// Tail -> members: a request to confirm that the view is still in force with the receiver.
struct ConfirmRequest {
  std::uint64_t nonce = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& nonce;
  }
};

struct ConfirmResponse {
  std::uint64_t nonce = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& nonce;
  }
};

struct ReadResponse {
  std::uint64_t instance = 0, ticket = 0;
  Version version;
  MapRef map;  // null: the requester has this version
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& instance& ticket& version& map;
  }
};

// The position in this list is the kind's value on the wire.
using Body = std::variant<Append, CommitNotice, ViewProbe, ViewNotice, ViewRequest, ViewResponse,
                          Prepare, Promise, Reject, AcceptorGone, Accept, Accepted, ReadRequest,
                          ConfirmRequest, ConfirmResponse, ReadResponse>;

struct Header {
  ReplicaId from;
  std::uint64_t epoch = 0;  // of the view that the sender is in
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& from& epoch;
  }
};

struct Envelope {
  Header header;
  Body body;
};

// One byte for the kind, the archive, and a checksum.
std::string EncodeEnvelope(const Envelope& envelope);
// InvalidArgument: too short, a wrong checksum, an unknown kind or an archive that cannot be read.
absl::StatusOr<Envelope> DecodeEnvelope(std::string_view bytes);

}  // namespace chain
}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_CHAIN_MESSAGES_H_
