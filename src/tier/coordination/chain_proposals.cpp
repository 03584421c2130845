// When a replica proposes the next view, which members that has, and the proposer's messages.
#include <algorithm>
#include <utility>

#include "tier/coordination/chain_replica.h"

namespace pearreach::coordination {
namespace {

// Proposers take turns: each live acceptor waits for this many retry intervals for every live one
// before it, so that proposals rarely compete.
constexpr int kStaggerRetries = 6;
// A pending change that is not committed for this many call timeouts is reason for another view.
constexpr int kStalledTimeouts = 2;
// The longest backoff after a proposal that failed is the stagger doubled this many times.
constexpr int kMaxBackoffDoublings = 1;

}  // namespace

void ChainReplica::Impl::On(Micros, const chain::Header& header, const chain::Promise& response) {
  if (proposer_) proposer_->OnPromise(header.from, response);
}

void ChainReplica::Impl::On(Micros now, const chain::Header& header, const chain::Reject& reject) {
  if (!chain::Contains(Acceptors(), header.from)) return;
  greatest_round_ = std::max(greatest_round_, reject.promised.round);
  if (proposer_ && proposer_->proposal_number() < reject.promised) AbandonProposal(now);
}

void ChainReplica::Impl::On(Micros, const chain::Header& header, const chain::AcceptorGone& gone) {
  if (proposer_) proposer_->OnAcceptorGone(header.from, gone.proposal_number);
}

void ChainReplica::Impl::On(Micros, const chain::Header& header, const chain::Accepted& accepted) {
  if (proposer_) proposer_->OnAccepted(header.from, accepted.proposal_number);
}

void ChainReplica::Impl::AdvanceViews(Micros now) {
  if (proposer_) {
    AdvanceProposer(now);
    return;
  }
  if (!IsAcceptor() || !NeedsNewView(now) || !CanReachQuorum()) {
    reason_since_.reset();
    return;
  }
  if (!reason_since_) reason_since_ = now;
  const Micros due = std::max(*reason_since_ + ProposalDelay(), backoff_until_);
  if (due > now) {
    ScheduleTick(due);
    return;
  }
  Propose();
  AdvanceProposer(now);
}

// Whether enough acceptors are live, as far as membership knows.
bool ChainReplica::Impl::CanReachQuorum() const {
  if (!target_.known()) return false;
  std::set<ReplicaId> alive, gone;
  for (const ReplicaId& acceptor : Acceptors()) {
    if (target_.IsAlive(acceptor)) alive.insert(acceptor);
    if (target_.IsReplaced(acceptor)) gone.insert(acceptor);
  }
  return chain::IsQuorum(Acceptors(), alive, gone, target_.MaxSimultaneousLosses(Acceptors()));
}

bool ChainReplica::Impl::IsCommitStalled(Micros now) {
  if (!IsMember() || !state_.pending()) return false;
  for (const ReplicaId& member : state_.view().members) {
    if (!target_.IsAlive(member)) return false;
  }
  const Micros due = pending_since_ + kStalledTimeouts * options_.call_timeout;
  if (due > now) ScheduleTick(due);
  return due <= now;
}

bool ChainReplica::Impl::NeedsNewView(Micros now) {
  if (state_.view().epoch == 0 || acceptor_.sealed()) return true;
  const chain::Target target = target_.Compute(now, state_.view().members);
  if (target.members != state_.view().members) return true;
  ScheduleTick(target.next_change);
  return IsCommitStalled(now);
}

// Live acceptors propose in the order of the view.
Micros ChainReplica::Impl::ProposalDelay() const {
  Micros turn = 0;
  for (const ReplicaId& acceptor : Acceptors()) {
    if (acceptor == options_.self) break;
    if (target_.IsAlive(acceptor)) turn += kStaggerRetries * options_.retry;
  }
  return turn;
}

std::vector<ReplicaId> ChainReplica::Impl::NextMembers(Micros now) {
  const bool stalled = state_.view().epoch > 0 && IsCommitStalled(now);
  std::vector<ReplicaId> members = target_.Compute(now, Acceptors()).members;
  // A failed link between two neighbours does no harm in another order.
  if (stalled) std::shuffle(members.begin(), members.end(), random_);
  return members;
}

// An acceptor that would be removed gets one more retry interval to respond.
bool ChainReplica::Impl::MayChooseMembers(Micros now) {
  if (!quorum_promised_since_) quorum_promised_since_ = now;
  const Micros due = *quorum_promised_since_ + options_.retry;
  if (due <= now) return true;
  const auto members = target_.Compute(now, Acceptors()).members;
  for (const ReplicaId& acceptor : proposer_->Unanswered()) {
    if (chain::Contains(members, acceptor)) continue;
    ScheduleTick(due);
    return false;
  }
  return true;
}

void ChainReplica::Impl::Propose() {
  quorum_promised_since_.reset();
  greatest_round_ = std::max(greatest_round_, acceptor_.promised().round) + 1;
  const chain::State& latest = state_.latest();
  proposer_.emplace(chain::ProposalNumber{greatest_round_, options_.self}, Acceptors(),
                    target_.MaxSimultaneousLosses(Acceptors()), latest.version,
                    state_.MapAt(latest.version));
  for (const ReplicaId& lost : forgotten_) proposer_->AssumeGone(lost);
  proposer_timer_.Restart();
}

void ChainReplica::Impl::AdvanceProposer(Micros now) {
  if (proposer_->MayPropose() && MayChooseMembers(now)) {
    proposer_->Choose(state_.view().epoch + 1, NextMembers(now), state_.committed());
    proposer_timer_.Restart();
  }
  if (proposer_->IsDecided()) {
    OnDecided(now);
    return;
  }
  if (!IsSynced()) return;
  if (proposer_timer_.Due(now)) SendToUnanswered();
  ScheduleTick(proposer_timer_.at());
}

void ChainReplica::Impl::SendToUnanswered() {
  const chain::ProposalNumber& number = proposer_->proposal_number();
  for (const ReplicaId& acceptor : proposer_->Unanswered()) {
    if (const chain::Proposal* proposal = proposer_->proposal()) {
      chain::Accept accept{number, *proposal};
      const bool own = acceptor == options_.self;
      if (proposer_->HasMap(acceptor) && !own) accept.proposal.map = {};
      Send(acceptor.name, std::move(accept));
    } else {
      Send(acceptor.name, chain::Prepare{number, Acceptors(), proposer_->own()});
    }
  }
}

void ChainReplica::Impl::OnDecided(Micros now) {
  const chain::Proposal proposal = *proposer_->proposal();
  std::set<std::string> names;
  for (const ReplicaId& member : Acceptors()) names.insert(member.name);
  for (const ReplicaId& member : proposal.view.members) names.insert(member.name);
  names.erase(options_.self.name);
  Install(now, proposal);
  for (const std::string& name : names) Send(name, chain::ViewNotice{});
}

// Another proposer is active.
void ChainReplica::Impl::DeferOwnProposal(Micros now) {
  const Micros stagger = kStaggerRetries * options_.retry;
  backoff_until_ = std::max(backoff_until_, now + stagger + ProposalDelay());
}

// There is a greater proposal number: backs off, for longer after each failure.
void ChainReplica::Impl::AbandonProposal(Micros now) {
  proposer_.reset();
  failed_proposals_ = std::min(failed_proposals_ + 1, kMaxBackoffDoublings);
  const Micros max_wait = (kStaggerRetries * options_.retry) << failed_proposals_;
  std::uniform_int_distribution<Micros> wait(options_.retry, max_wait);
  backoff_until_ = std::max(backoff_until_, now + wait(random_));
}

}  // namespace pearreach::coordination
