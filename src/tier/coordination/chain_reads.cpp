// Strict reads: a replica sends a request to the tail, and the tail asks a majority of the members
// to confirm that the view is still in force with them. Whatever next view there is was promised by
// a quorum that has a member in common with this majority, so nothing was committed there before
// that member's response; and all that is committed in this view, the tail has.
#include <algorithm>
#include <utility>

#include "tier/coordination/chain_replica.h"

namespace pearreach::coordination {

void ChainReplica::Impl::Read(Micros now, std::uint64_t ticket, Effects* out) {
  pending_reads_.push_back(
      {ticket, now + options_.call_timeout, RetransmitTimer(options_.retry), false});
  Run(now, out);
}

void ChainReplica::Impl::AdvanceReads(Micros now) {
  AdvancePendingReads(now);
  AdvanceViewConfirmation(now);
}

void ChainReplica::Impl::AdvancePendingReads(Micros now) {
  const auto expired = [&](const PendingRead& read) {
    if (read.deadline > now) return false;
    if (read.is_own) {
      unconfirmed_tickets_.clear();
    } else {
      out_->reads.push_back({read.ticket, false, nullptr, {}});
    }
    return true;
  };
  pending_reads_.erase(std::remove_if(pending_reads_.begin(), pending_reads_.end(), expired),
                       pending_reads_.end());
  const auto& members = state_.view().members;
  for (PendingRead& read : pending_reads_) {
    ScheduleTick(read.deadline);
    if (members.empty()) continue;
    if (read.retransmit.Due(now)) {
      Send(members.back().name,
           chain::ReadRequest{instance_, read.ticket, state_.committed().version});
    }
    ScheduleTick(read.retransmit.at());
  }
}

void ChainReplica::Impl::On(Micros, const chain::Header& header,
                            const chain::ReadRequest& request) {
  if (!IsServing() || !IsTail() || !state_.started()) return;
  TailRead read{header.from.name, request};
  const auto same = [&](const TailRead& other) { return other.Key() == read.Key(); };
  if (std::any_of(tail_reads_.begin(), tail_reads_.end(), same)) return;
  if (view_confirmation_ &&
      std::any_of(view_confirmation_->reads.begin(), view_confirmation_->reads.end(), same))
    return;
  tail_reads_.push_back(std::move(read));
}

void ChainReplica::Impl::AdvanceViewConfirmation(Micros now) {
  if (!IsServing() || !IsTail()) {
    view_confirmation_.reset();
    tail_reads_.clear();
    return;
  }
  const auto& members = state_.view().members;
  if (view_confirmation_ &&
      view_confirmation_->confirmed.size() >= chain::MajorityOf(members.size()))
    RespondToReads();
  if (view_confirmation_ && view_confirmation_->deadline <= now) view_confirmation_.reset();
  if (!view_confirmation_ && !tail_reads_.empty()) {
    view_confirmation_ = ViewConfirmation{random_(),
                                          now + options_.call_timeout,
                                          RetransmitTimer(options_.retry),
                                          {options_.self},
                                          std::exchange(tail_reads_, {})};
    if (members.size() == 1) RespondToReads();
  }
  if (!view_confirmation_) return;
  if (view_confirmation_->retransmit.Due(now)) {
    for (const ReplicaId& member : members) {
      if (view_confirmation_->confirmed.count(member) == 0)
        Send(member.name, chain::ConfirmRequest{view_confirmation_->nonce});
    }
  }
  ScheduleTick(std::min(view_confirmation_->retransmit.at(), view_confirmation_->deadline));
}

void ChainReplica::Impl::RespondToReads() {
  const chain::State& newest = state_.committed();
  for (const TailRead& read : view_confirmation_->reads) {
    chain::ReadResponse response{read.request.instance, read.request.ticket, newest.version, {}};
    if (read.request.have != newest.version) response.map.map = newest.map;
    Send(read.requester, std::move(response));
  }
  view_confirmation_.reset();
}

void ChainReplica::Impl::On(Micros, const chain::Header& header,
                            const chain::ConfirmRequest& request) {
  const auto& members = state_.view().members;
  if (!IsServing() || members.empty() || header.from != members.back()) return;
  Send(header.from.name, chain::ConfirmResponse{request.nonce});
}

void ChainReplica::Impl::On(Micros, const chain::Header& header,
                            const chain::ConfirmResponse& confirm) {
  if (!view_confirmation_ || view_confirmation_->nonce != confirm.nonce) return;
  if (chain::Contains(state_.view().members, header.from))
    view_confirmation_->confirmed.insert(header.from);
}

void ChainReplica::Impl::On(Micros, const chain::Header&, const chain::ReadResponse& response) {
  if (response.instance != instance_) return;
  const auto read =
      std::find_if(pending_reads_.begin(), pending_reads_.end(),
                   [&](const PendingRead& pending) { return pending.ticket == response.ticket; });
  if (read == pending_reads_.end()) return;
  if (read->is_own) {
    pending_reads_.erase(read);
    OnNewestStateConfirmed(response.version);
    return;
  }
  ReadResult result{response.ticket, true, response.map.map, response.version};
  const chain::State& own = state_.committed();
  if (own.version >= response.version) {  // a newer committed map is as good
    result.map = own.map;
    result.version = own.version;
  }
  if (!result.map) return;
  out_->reads.push_back(std::move(result));
  pending_reads_.erase(read);
}

}  // namespace pearreach::coordination
