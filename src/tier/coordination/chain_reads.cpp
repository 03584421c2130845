// Strict reads: the asker asks the tail, the tail asks a majority of the members whether the view
// is still in force with them. Whatever next view there is was promised by a quorum that has a
// member in common with this majority, so nothing was committed there before that member's answer;
// and all that is committed in this view, the tail has.
#include <algorithm>
#include <utility>

#include "tier/coordination/chain_replica.h"

namespace pearreach::coordination {

void ChainReplica::Impl::Read(Micros now, std::uint64_t ticket, Effects* out) {
  asked_.push_back({ticket, now + options_.call_timeout, Resender(options_.retry), false});
  Run(now, out);
}

void ChainReplica::Impl::AdvanceReads(Micros now) {
  AdvanceAskedReads(now);
  AdvanceConfirmRound(now);
}

void ChainReplica::Impl::AdvanceAskedReads(Micros now) {
  const auto expired = [&](const AskedRead& read) {
    if (read.deadline > now) return false;
    if (read.is_own) {
      unsure_.clear();
    } else {
      out_->reads.push_back({read.ticket, false, nullptr, {}});
    }
    return true;
  };
  asked_.erase(std::remove_if(asked_.begin(), asked_.end(), expired), asked_.end());
  const auto& members = state_.view().members;
  for (AskedRead& read : asked_) {
    WakeAt(read.deadline);
    if (members.empty()) continue;
    if (read.resend.Due(now)) {
      Send(members.back().name,
           chain::ReadRequest{instance_, read.ticket, state_.committed().version});
    }
    WakeAt(read.resend.at());
  }
}

void ChainReplica::Impl::On(Micros now, const chain::Header& header,
                            const chain::ReadRequest& ask) {
  (void)now;
  if (!IsServing() || !IsTail() || !state_.started()) return;
  TailRead read{header.from.name, ask};
  const auto same = [&](const TailRead& other) { return other.Key() == read.Key(); };
  if (std::any_of(tail_reads_.begin(), tail_reads_.end(), same)) return;
  if (round_ && std::any_of(round_->reads.begin(), round_->reads.end(), same)) return;
  tail_reads_.push_back(std::move(read));
}

void ChainReplica::Impl::AdvanceConfirmRound(Micros now) {
  if (!IsServing() || !IsTail()) {
    round_.reset();
    tail_reads_.clear();
    return;
  }
  const auto& members = state_.view().members;
  if (round_ && round_->confirmed.size() >= chain::MajorityOf(members.size())) AnswerReads();
  if (round_ && round_->deadline <= now) round_.reset();
  if (!round_ && !tail_reads_.empty()) {
    round_ = ConfirmRound{random_(),
                          now + options_.call_timeout,
                          Resender(options_.retry),
                          {options_.self},
                          std::exchange(tail_reads_, {})};
    if (members.size() == 1) AnswerReads();
  }
  if (!round_) return;
  if (round_->resend.Due(now)) {
    for (const ReplicaId& member : members) {
      if (round_->confirmed.count(member) == 0)
        Send(member.name, chain::ConfirmRequest{round_->nonce});
    }
  }
  WakeAt(std::min(round_->resend.at(), round_->deadline));
}

void ChainReplica::Impl::AnswerReads() {
  const chain::State& newest = state_.committed();
  for (const TailRead& read : round_->reads) {
    chain::ReadResponse answer{read.ask.instance, read.ask.ticket, newest.version, {}};
    if (read.ask.have != newest.version) answer.map.map = newest.map;
    Send(read.asker, std::move(answer));
  }
  round_.reset();
}

void ChainReplica::Impl::On(Micros, const chain::Header& header, const chain::ConfirmRequest& ask) {
  const auto& members = state_.view().members;
  if (!IsServing() || members.empty() || header.from != members.back()) return;
  Send(header.from.name, chain::ConfirmResponse{ask.nonce});
}

void ChainReplica::Impl::On(Micros, const chain::Header& header,
                            const chain::ConfirmResponse& confirm) {
  if (!round_ || round_->nonce != confirm.nonce) return;
  if (chain::Contains(state_.view().members, header.from)) round_->confirmed.insert(header.from);
}

void ChainReplica::Impl::On(Micros, const chain::Header&, const chain::ReadResponse& answer) {
  if (answer.instance != instance_) return;
  const auto read = std::find_if(asked_.begin(), asked_.end(), [&](const AskedRead& asked) {
    return asked.ticket == answer.ticket;
  });
  if (read == asked_.end()) return;
  if (read->is_own) {
    asked_.erase(read);
    OnMadeSure(answer.version);
    return;
  }
  ReadResult result{answer.ticket, true, answer.map.map, answer.version};
  const chain::State& own = state_.committed();
  if (own.version >= answer.version) {  // a newer committed map answers as well
    result.map = own.map;
    result.version = own.version;
  }
  if (!result.map) return;
  out_->reads.push_back(std::move(result));
  asked_.erase(read);
}

}  // namespace pearreach::coordination
