// Single-decree Paxos that decides the view after a given one, without I/O: the acceptor's durable
// state, the proposer's count of responses and what makes a quorum. Not thread-safe.
//
// A quorum is a majority of the acceptors, or all acceptors but those that are certainly lost,
// where these are at most `tolerance` and at most half of the acceptors. An acceptor is certainly
// lost when the node of its name has responded to this very proposal number from another disk: the
// old disk's process had ended before, and its identity can never respond again. Why any two
// quorums that matter have an acceptor in common:
//   - a majority has more than half, the gone at most half, so a majority meets every set of
//     survivors, and two majorities meet;
//   - two sets of survivors without a common acceptor would each consist of acceptors that the
//     other takes for gone, its proposer among them; of two proposers that have each seen the
//     other gone, one had to decide after its own end.
// A proposer with survivors needs all of them in both phases. One survivor is enough for the map:
// a change is committed only once all members of the view have it on disk.
//
// For the same reason a change that a promising acceptor does not have is not committed, and never
// will be, as that acceptor takes no more changes of this view. The next view starts without it, so
// that a change without a known outcome ends with the view in which it was appended.
#ifndef PEARREACH_SRC_TIER_COORDINATION_VIEW_AGREEMENT_H_
#define PEARREACH_SRC_TIER_COORDINATION_VIEW_AGREEMENT_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "tier/coordination/chain_messages.h"
#include "tier/coordination/chain_state.h"

namespace pearreach::coordination::chain {

bool Contains(const std::vector<ReplicaId>& members, const ReplicaId& id);

std::size_t MajorityOf(std::size_t members);
// The most acceptors that may be gone for good in a quorum of survivors.
std::size_t MaxGoneAcceptors(std::size_t acceptors, int tolerance);
bool IsQuorum(const std::vector<ReplicaId>& acceptors, const std::set<ReplicaId>& answered,
              const std::set<ReplicaId>& gone, int tolerance);

// What an acceptor has promised and accepted for the view after `epoch`.
class Acceptor {
 public:
  // Records of an agreement after another epoch are ignored.
  Acceptor(std::uint64_t epoch, const Records& records);

  bool sealed() const { return promised_.round > 0; }
  const ProposalNumber& promised() const { return promised_; }
  const ProposalNumber& accepted_number() const { return accepted_number_; }
  const Proposal& accepted() const { return accepted_; }

  // False: a greater proposal number is promised.
  bool Promise(const ProposalNumber& proposal_number);
  bool Accept(const ProposalNumber& proposal_number, const Proposal& proposal);
  // `held`: the version whose map this replica holds anyway, so that it is not written again.
  Records Save(const Version& available) const;

 private:
  std::uint64_t epoch_;
  ProposalNumber promised_, accepted_number_;
  Proposal accepted_;
};

// One proposer's attempt with one proposal number.
class Proposer {
 public:
  // `own`: the proposer's newest state.
  Proposer(ProposalNumber proposal_number, std::vector<ReplicaId> acceptors, int tolerance,
           const Version& own, std::shared_ptr<const Map> own_map);

  const ProposalNumber& proposal_number() const { return proposal_number_; }
  const Version& own() const { return own_; }
  const std::vector<ReplicaId>& acceptors() const { return acceptors_; }
  // Null before the accept phase.
  const Proposal* proposal() const { return proposal_ ? &*proposal_ : nullptr; }

  void OnPromise(const ReplicaId& from, const Promise& response);
  void OnAcceptorGone(const ReplicaId& from, const ProposalNumber& proposal_number);
  void OnAccepted(const ReplicaId& from, const ProposalNumber& proposal_number);

  bool MayPropose() const;
  bool IsDecided() const;
  // Enters the accept phase. The proposal is what a lower proposal number may have decided, else
  // `members` with the oldest state of all promises. `committed`: of the proposer; a promise of an
  // earlier state than that comes from a disk that was rolled back, and does not count.
  // REQUIRES: MayPropose().
  void Choose(std::uint64_t epoch, std::vector<ReplicaId> members, const State& committed);
  std::vector<ReplicaId> Unanswered() const;
  // That acceptor has the proposal's map already.
  bool HasMap(const ReplicaId& acceptor) const;
  // From now on `acceptor` counts as permanently lost (ChainReplica::Forget).
  void AssumeGone(const ReplicaId& acceptor);

 private:
  Proposal StartOf(View view, const State& committed) const;

  const ProposalNumber proposal_number_;
  const std::vector<ReplicaId> acceptors_;
  const int tolerance_;
  const Version own_;
  const std::shared_ptr<const Map> own_map_;
  std::map<ReplicaId, Version> promised_;               // with its newest state
  std::map<Version, std::shared_ptr<const Map>> maps_;  // the proposer's and those of promises
  std::set<ReplicaId> answered_, accepted_, gone_;
  ProposalNumber former_number_;
  Proposal former_;
  std::optional<Proposal> proposal_;
};

}  // namespace pearreach::coordination::chain

#endif  // PEARREACH_SRC_TIER_COORDINATION_VIEW_AGREEMENT_H_
