// How a replica takes part in a change of the view: as an acceptor of proposals, and by taking over
// a view that has been decided, its own or that of another replica. chain_proposals.cpp is the
// proposer's side.
#include <algorithm>
#include <utility>

#include "tier/coordination/chain_replica.h"

namespace pearreach::coordination {

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
  forgotten_.clear();
  target_.SetForgotten(forgotten_);
  reason_since_.reset();
  backoff_until_ = 0;
  greatest_round_ = 0;
  view_confirmation_.reset();
  tail_reads_.clear();
  StartPending(now);
  predecessors_have_start_ = IsHead();
  for (PendingRead& read : pending_reads_) read.retransmit.Restart();
  if (!IsMember()) ResolveAfterViewChange();
  if (IsHead()) return;
  for (const QueuedChange& change : std::exchange(queued_, {})) {
    FinishChange(change, ChangeStatus::kNotHead, CommittedRevision(change.key));
  }
}

// The node responds on behalf of the disk that its name had before, whatever view it knows.
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
  if (before != prepare.proposal_number) Sync(acceptor_.Save(state_.latest().version));
  if (header.from != options_.self) DeferOwnProposal(now);
  if (proposer_ && proposer_->proposal_number() < prepare.proposal_number) AbandonProposal(now);
  Send(header.from.name, ResponseToPrepare(prepare));
}

// Maps that the proposer has, or gets with this promise, are left out.
chain::Promise ChainReplica::Impl::ResponseToPrepare(const chain::Prepare& prepare) const {
  const chain::State& latest = state_.latest();
  chain::Promise response{prepare.proposal_number,
                          latest.version,
                          {},
                          acceptor_.accepted_number(),
                          acceptor_.accepted()};
  if (latest.version > prepare.have) response.map.map = latest.map;
  const Version& base = response.accepted.base;
  const bool receiver_has_map = base == prepare.have || base == latest.version;
  if (receiver_has_map) {
    response.accepted.map = {};
  } else if (response.accepted_number.round > 0 && !response.accepted.map.map) {
    response.accepted.map.map = state_.MapAt(base);
  }
  return response;
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

}  // namespace pearreach::coordination
