// When and how views change: who proposes, the messages of the agreement, and how a replica takes a
// decided view over.
#include <algorithm>
#include <utility>

#include "tier/coordination/chain_replica.h"

namespace pearreach::coordination {
namespace {

// Live members after the first wait this many retry intervals each before they propose themselves.
constexpr int kStaggerRetries = 6;
// A pending change that is not committed for this many call timeouts calls for another view.
constexpr int kStalledTimeouts = 2;
// The longest back-off between ballots is the stagger doubled this many times.
constexpr int kMaxBackoffDoublings = 1;

}  // namespace

const std::vector<ReplicaId>& ChainReplica::Impl::Acceptors() const {
  return state_.view().epoch == 0 ? founders_ : state_.view().members;
}

bool ChainReplica::Impl::IsAcceptor() const {
  if (state_.view().epoch == 0 && !founder_) return false;
  return chain::Contains(Acceptors(), options_.self);
}

void ChainReplica::Impl::RequestView(Micros now, const chain::Header& header) {
  if (header.epoch > requested_epoch_) view_request_timer_.Restart();
  requested_epoch_ = std::max(requested_epoch_, header.epoch);
  if (!view_request_timer_.Due(now)) return;
  chain::ViewRequest request;
  request.have = {Version{}, state_.committed().version, state_.latest().version};
  Send(header.from.name, std::move(request));
}

void ChainReplica::Impl::ReplyToOlderEpoch(const chain::Header& header, const chain::Body& body) {
  const auto* request = std::get_if<chain::ViewRequest>(&body);
  if (!request) {
    const bool is_reply = std::holds_alternative<chain::ViewResponse>(body) ||
                          std::holds_alternative<chain::ViewNotice>(body);
    if (!is_reply) Send(header.from.name, chain::ViewNotice{});
    return;
  }
  chain::ViewResponse response;
  response.start.view = state_.view();
  response.start.base = state_.base();
  response.committed = state_.started();
  const chain::State& state = response.committed ? state_.committed() : state_.latest();
  response.version = state.version;
  const auto& have = request->have;
  const bool receiver_has_map =
      !response.committed && std::find(have.begin(), have.end(), state_.base()) != have.end();
  if (!receiver_has_map) response.start.map.map = state.map;
  Send(header.from.name, std::move(response));
}

void ChainReplica::Impl::OnViewResponse(Micros now, const chain::ViewResponse& response) {
  const View& view = response.start.view;
  if (view.epoch <= state_.view().epoch || response.version.epoch != view.epoch) return;
  if (!response.committed) {
    Install(now, response.start);
    return;
  }
  // A view is committed to only when all of its members have it, so this can't be one of them.
  if (chain::Contains(view.members, options_.self) || !response.start.map.map) return;
  Sync(state_.Adopt(view, response.start.base, response.version, response.start.map.map));
  out_->committed.push_back({state_.committed().version, state_.committed().map});
  AfterInstall(now);
}

void ChainReplica::Impl::Install(Micros now, const chain::Proposal& proposal) {
  auto map = proposal.map.map ? proposal.map.map : state_.MapAt(proposal.base);
  if (!map || proposal.view.epoch <= state_.view().epoch) return;
  Sync(state_.Install(proposal.view, proposal.base, std::move(map)));
  AfterInstall(now);
}

void ChainReplica::Impl::AfterInstall(Micros now) {
  acceptor_ = chain::Acceptor(state_.view().epoch, {});
  proposer_.reset();
  reason_since_.reset();
  backoff_until_ = 0;
  greatest_round_ = 0;
  view_confirmation_.reset();
  tail_reads_.clear();
  pending_token_ = last_token_;
  pending_since_ = now;
  predecessors_have_start_ = IsHead();
  append_timer_.Restart();
  for (PendingRead& read : pending_reads_) read.retransmit.Restart();
  if (!IsMember()) ResolveAfterViewChange();
  if (IsHead()) return;
  for (const QueuedChange& change : std::exchange(queued_, {})) {
    FinishChange(change, ChangeStatus::kNotHead, CommittedRevision(change.key));
  }
}

// The node answers for the disk that its name had before, whatever view it knows.
void ChainReplica::Impl::ReplyIfReplaced(const chain::Header& header,
                                         const chain::Prepare& prepare) {
  const auto replaced = [&](const ReplicaId& acceptor) {
    return acceptor.name == options_.self.name && acceptor.disk_id != options_.self.disk_id;
  };
  const auto& acceptors = prepare.acceptors;
  if (std::any_of(acceptors.begin(), acceptors.end(), replaced)) {
    Send(header.from.name, chain::AcceptorGone{prepare.proposal_number});
  }
}

void ChainReplica::Impl::On(Micros now, const chain::Header& header,
                            const chain::Prepare& prepare) {
  if (!IsAcceptor() || prepare.acceptors != Acceptors()) return;
  greatest_round_ = std::max(greatest_round_, prepare.proposal_number.round);
  const chain::ProposalNumber before = acceptor_.promised();
  if (!acceptor_.Promise(prepare.proposal_number)) {
    Send(header.from.name, chain::Reject{before});
    return;
  }
  const chain::State& latest = state_.latest();
  if (before != prepare.proposal_number) Sync(acceptor_.Save(latest.version));
  if (header.from != options_.self) DeferOwnProposal(now);
  if (proposer_ && proposer_->proposal_number() < prepare.proposal_number) AbandonProposal(now);
  chain::Promise promise{prepare.proposal_number,
                         latest.version,
                         {},
                         acceptor_.accepted_number(),
                         acceptor_.accepted()};
  if (latest.version > prepare.have) promise.map.map = latest.map;
  const Version& base = promise.accepted.base;
  const bool receiver_has_map = base == prepare.have || base == latest.version;
  if (receiver_has_map)
    promise.accepted.map = {};
  else if (promise.accepted_number.round > 0 && !promise.accepted.map.map) {
    promise.accepted.map.map = state_.MapAt(base);
  }
  Send(header.from.name, std::move(promise));
}

void ChainReplica::Impl::On(Micros, const chain::Header& header, const chain::Promise& promise) {
  if (proposer_) proposer_->OnPromise(header.from, promise);
}

void ChainReplica::Impl::On(Micros now, const chain::Header& header, const chain::Reject& reject) {
  if (!chain::Contains(Acceptors(), header.from)) return;
  greatest_round_ = std::max(greatest_round_, reject.promised.round);
  if (proposer_ && proposer_->proposal_number() < reject.promised) AbandonProposal(now);
}

void ChainReplica::Impl::On(Micros, const chain::Header& header, const chain::AcceptorGone& gone) {
  if (proposer_) proposer_->OnAcceptorGone(header.from, gone.proposal_number);
}

void ChainReplica::Impl::On(Micros now, const chain::Header& header, const chain::Accept& accept) {
  if (!IsAcceptor() || accept.proposal.view.epoch != state_.view().epoch + 1) return;
  chain::Proposal proposal = accept.proposal;
  if (!proposal.map.map) proposal.map.map = state_.MapAt(proposal.base);
  if (!proposal.map.map) return;
  greatest_round_ = std::max(greatest_round_, accept.proposal_number.round);
  const bool known = acceptor_.accepted_number() == accept.proposal_number;
  if (!acceptor_.Accept(accept.proposal_number, proposal)) {
    Send(header.from.name, chain::Reject{acceptor_.promised()});
    return;
  }
  if (!known) Sync(acceptor_.Save(state_.latest().version));
  if (header.from != options_.self) DeferOwnProposal(now);
  Send(header.from.name, chain::Accepted{accept.proposal_number});
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

// Whether enough acceptors are there as far as membership knows.
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

// The order of proposers: live acceptors as the view has them.
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
  // A link that is cut between two neighbours does no harm in another order.
  if (stalled) std::shuffle(members.begin(), members.end(), random_);
  return members;
}

// An acceptor that would be dropped is given time to show that it is there.
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
  proposer_timer_.Restart();
}

void ChainReplica::Impl::AdvanceProposer(Micros now) {
  if (proposer_->MayPropose() && MayChooseMembers(now)) {
    proposer_->Choose(state_.view().epoch + 1, NextMembers(now));
    proposer_timer_.Restart();
  }
  if (proposer_->IsDecided()) {
    OnDecided(now);
    return;
  }
  if (IsSynced() && proposer_timer_.Due(now)) {
    for (const ReplicaId& acceptor : proposer_->Unanswered()) {
      if (const chain::Proposal* proposal = proposer_->proposal()) {
        chain::Accept accept{proposer_->proposal_number(), *proposal};
        const bool own = acceptor == options_.self;
        if (proposer_->HasMap(acceptor) && !own) accept.proposal.map = {};
        Send(acceptor.name, std::move(accept));
      } else {
        Send(acceptor.name,
             chain::Prepare{proposer_->proposal_number(), Acceptors(), proposer_->own()});
      }
    }
  }
  if (IsSynced()) ScheduleTick(proposer_timer_.at());
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

// Another proposer is at work.
void ChainReplica::Impl::DeferOwnProposal(Micros now) {
  const Micros stagger = kStaggerRetries * options_.retry;
  backoff_until_ = std::max(backoff_until_, now + stagger + ProposalDelay());
}

// Another ballot is greater: gives its proposer time, more after each failure.
void ChainReplica::Impl::AbandonProposal(Micros now) {
  proposer_.reset();
  failed_proposals_ = std::min(failed_proposals_ + 1, kMaxBackoffDoublings);
  const Micros most = (kStaggerRetries * options_.retry) << failed_proposals_;
  std::uniform_int_distribution<Micros> wait(options_.retry, most);
  backoff_until_ = std::max(backoff_until_, now + wait(random_));
}

}  // namespace pearreach::coordination
