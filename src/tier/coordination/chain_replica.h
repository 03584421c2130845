// The implementation of ChainReplica: one object that ties the durable state, the replication along
// the chain, the agreement on views and the strict reads together. Not thread-safe. By file:
//   chain_replica.cpp      the public calls, sending, and the messages that wait for disk writes
//   chain_replication.cpp  changes along the chain and their commit
//   chain_views.cpp        the acceptor's side of an agreement, and taking over a decided view
//   chain_proposals.cpp    when to propose a view, and the proposer's side
//   chain_reads.cpp        strict reads
//
// Every message waits until all that was handed to the disk before it is synced, so that nothing is
// acknowledged which a loss of power could undo. Persist effects must reach the disk in their
// order.
#ifndef PEARREACH_SRC_TIER_COORDINATION_CHAIN_REPLICA_H_
#define PEARREACH_SRC_TIER_COORDINATION_CHAIN_REPLICA_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "tier/coordination/chain.h"
#include "tier/coordination/chain_messages.h"
#include "tier/coordination/chain_state.h"
#include "tier/coordination/retransmit_timer.h"
#include "tier/coordination/view_agreement.h"
#include "tier/coordination/view_target.h"

namespace pearreach::coordination {

class ChainReplica::Impl {
 public:
  Impl(ChainOptions options, const chain::Records& records, std::uint64_t seed, Micros now);

  void SetPeers(Micros now, const std::vector<Peer>& peers, Effects* out);
  void SetFounders(Micros now, std::vector<ReplicaId> founders, Effects* out);
  void Receive(Micros now, const std::string& from, std::string_view bytes, Effects* out);
  void OnPersisted(Micros now, std::uint64_t token, Effects* out);
  void Forget(Micros now, const ReplicaId& lost, Effects* out);
  void Tick(Micros now, Effects* out) { Run(now, out); }
  void Change(Micros now, ChangeRequest request, Effects* out);
  void Read(Micros now, std::uint64_t ticket, Effects* out);

  Micros NextTick() const { return next_tick_; }
  const chain::DurableState& state() const { return state_; }
  bool IsHead() const;
  bool IsAgreeing() const { return acceptor_.sealed() || proposer_.has_value(); }

 private:
  struct QueuedChange : ChangeRequest {
    Micros deadline = 0;
    bool confirmed_newest =
        false;  // a strict read has confirmed since that this head's state is the newest
  };
  struct PendingRead {
    std::uint64_t ticket = 0;
    Micros deadline = 0;
    RetransmitTimer retransmit;
    bool is_own = false;  // asked by this head about its queued changes; `ticket` is a number drawn
  };
  // A read that waits at the tail for the confirmation of the view.
  struct TailRead {
    std::string requester;
    chain::ReadRequest request;
    auto Key() const { return std::tie(requester, request.instance, request.ticket); }
  };
  // One request to all members, for all reads that waited when it was sent.
  struct ViewConfirmation {
    std::uint64_t nonce = 0;
    Micros deadline = 0;
    RetransmitTimer retransmit;
    std::set<ReplicaId> confirmed;
    std::vector<TailRead> reads;
  };
  struct DeferredMessage {
    std::uint64_t token = 0;  // of the last disk write before it
    std::string to;
    chain::Envelope envelope;
  };

  // chain_replica.cpp
  void Run(Micros now, Effects* out);
  void ReleaseMessages();
  void Dispatch(Micros now, const chain::Envelope& envelope);
  void Send(const std::string& to, chain::Body body);
  void Sync(chain::Records records);
  // Nothing is retransmitted while the disk is busy: it would only wait as well.
  bool IsSynced() const { return synced_token_ == last_token_; }
  void ScheduleTick(Micros at) { next_tick_ = std::min(next_tick_, at); }
  bool IsMember() const { return chain::Contains(state_.view().members, options_.self); }
  bool IsTail() const;
  // In force here: a member that has not promised a next view.
  bool IsServing() const { return IsMember() && !acceptor_.sealed(); }
  const ReplicaId* Neighbour(int step) const;  // in the view; null: none

  // chain_replication.cpp
  void AdvanceReplication(Micros now);
  void AppendQueued(Micros now);
  void AddChange(const QueuedChange& change, std::uint64_t revision,
                 std::vector<chain::KeyChange>* changes) const;
  void StartPending(Micros now);
  void ExpireChanges(Micros now);
  void ConfirmNewestState(Micros now);
  void OnNewestStateConfirmed(const Version& newest);
  void Commit();
  void ResolveAfterViewChange();
  void FinishChange(const QueuedChange& change, ChangeStatus status, std::uint64_t revision);
  std::uint64_t CommittedRevision(const std::string& key) const;
  bool IsFenced(const QueuedChange& change) const;
  // It expects a later revision than this head knows, which may be out of date.
  bool IsUnconfirmed(const QueuedChange& change) const;
  void On(Micros now, const chain::Header& header, const chain::Append& append);
  void On(Micros now, const chain::Header& header, const chain::CommitNotice& notice);
  void On(Micros now, const chain::Header& header, const chain::ViewProbe& probe);

  // chain_views.cpp
  const std::vector<ReplicaId>& Acceptors() const;
  bool IsAcceptor() const;
  void RequestView(Micros now, const chain::Header& header);
  void ReplyToOlderEpoch(const chain::Header& header, const chain::Body& body);
  void OnViewResponse(Micros now, const chain::ViewResponse& response);
  void Install(Micros now, const chain::Proposal& proposal);
  void AfterInstall(Micros now);
  void ReplyIfReplaced(const chain::Header& header, const chain::Prepare& prepare);
  chain::Promise ResponseToPrepare(const chain::Prepare& prepare) const;
  void On(Micros now, const chain::Header& header, const chain::Prepare& prepare);
  void On(Micros now, const chain::Header& header, const chain::Accept& accept);
  // Of the own epoch these mean nothing.
  void On(Micros, const chain::Header&, const chain::ViewNotice&) {}
  void On(Micros, const chain::Header&, const chain::ViewRequest&) {}
  void On(Micros, const chain::Header&, const chain::ViewResponse&) {}

  // chain_proposals.cpp
  void AdvanceViews(Micros now);
  bool CanReachQuorum() const;
  bool IsCommitStalled(Micros now);
  bool NeedsNewView(Micros now);
  std::vector<ReplicaId> NextMembers(Micros now);
  bool MayChooseMembers(Micros now);
  Micros ProposalDelay() const;
  void Propose();
  void AdvanceProposer(Micros now);
  void SendToUnanswered();
  void OnDecided(Micros now);
  void DeferOwnProposal(Micros now);
  void AbandonProposal(Micros now);
  void On(Micros now, const chain::Header& header, const chain::Promise& response);
  void On(Micros now, const chain::Header& header, const chain::Reject& reject);
  void On(Micros now, const chain::Header& header, const chain::AcceptorGone& gone);
  void On(Micros now, const chain::Header& header, const chain::Accepted& accepted);

  // chain_reads.cpp
  void AdvanceReads(Micros now);
  void AdvancePendingReads(Micros now);
  void AdvanceViewConfirmation(Micros now);
  void RespondToReads();
  void On(Micros now, const chain::Header& header, const chain::ReadRequest& request);
  void On(Micros now, const chain::Header& header, const chain::ConfirmRequest& request);
  void On(Micros now, const chain::Header& header, const chain::ConfirmResponse& confirm);
  void On(Micros now, const chain::Header& header, const chain::ReadResponse& response);

  const ChainOptions options_;
  std::mt19937_64 random_;
  chain::DurableState state_;
  chain::Acceptor acceptor_;
  chain::ViewTarget target_;
  Effects* out_ = nullptr;  // set while a call runs
  Micros next_tick_ = 0;

  // Disk writes: tokens count from 1 and are done in order.
  std::uint64_t last_token_ = 0, synced_token_ = 0;
  std::set<std::uint64_t> synced_out_of_order_;
  std::deque<DeferredMessage> deferred_messages_;
  std::vector<chain::Envelope> loopback_;

  // Replication. The pending state may be passed on once it is synced and, at a view's start, once
  // all predecessors are known to have the view.
  std::uint64_t pending_token_ = 0;
  bool predecessors_have_start_ = false;
  Micros pending_since_ = 0;
  RetransmitTimer append_timer_;
  std::deque<QueuedChange> queued_;
  std::vector<QueuedChange> in_flight_;
  std::vector<std::uint64_t>
      unconfirmed_tickets_;  // tickets that the head's own strict read is about

  // Views.
  std::vector<ReplicaId> founders_;
  bool founder_ = false;           // may take part in forming the first view
  std::set<ReplicaId> forgotten_;  // members that count as gone by an operator's order
  std::optional<chain::Proposer> proposer_;
  std::optional<Micros> quorum_promised_since_;  // when the proposer had a quorum of promises
  RetransmitTimer proposer_timer_;
  std::uint64_t greatest_round_ = 0;
  std::optional<Micros> reason_since_;
  Micros backoff_until_ = 0;  // no proposal before this time, in favour of another proposer's
  int failed_proposals_ = 0;
  std::uint64_t requested_epoch_ = 0;
  RetransmitTimer view_request_timer_;

  // Reads.
  std::uint64_t instance_;
  std::vector<PendingRead> pending_reads_;
  std::vector<TailRead> tail_reads_;  // wait for the next round
  std::optional<ViewConfirmation> view_confirmation_;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_CHAIN_REPLICA_H_
