// Changes along the chain: one batch at a time is pending; it is committed once the tail has it on
// disk, because then all members have.
#include <algorithm>
#include <utility>

#include "tier/coordination/chain_replica.h"
#include "tier/coordination/change_history.h"

namespace pearreach::coordination {

void ChainReplica::Impl::Change(Micros now, ChangeRequest request, Effects* out) {
  out_ = out;
  QueuedChange change{std::move(request), now + options_.call_timeout};
  if (IsHead()) {
    queued_.push_back(std::move(change));
  } else {
    FinishChange(change, ChangeStatus::kNotHead, CommittedRevision(change.key));
  }
  Run(now, out);
}

std::uint64_t ChainReplica::Impl::CommittedRevision(const std::string& key) const {
  const auto& map = state_.committed().map;
  if (!map) return 0;
  const auto found = map->find(key);
  return found == map->end() ? 0 : found->second.revision;
}

bool ChainReplica::Impl::IsUnconfirmed(const QueuedChange& change) const {
  return CommittedRevision(change.key) < change.expected && !change.confirmed_newest;
}

bool ChainReplica::Impl::IsFenced(const QueuedChange& change) const {
  return !change.fencing_token.key.empty() &&
         CommittedRevision(change.fencing_token.key) > change.fencing_token.revision;
}

void ChainReplica::Impl::FinishChange(const QueuedChange& change, ChangeStatus status,
                                      std::uint64_t revision) {
  ChangeResult result{change.ticket, status, revision, {}};
  const auto& members = state_.view().members;
  if (status == ChangeStatus::kNotHead && !members.empty()) result.hint = members.front().name;
  out_->changes.push_back(std::move(result));
}

void ChainReplica::Impl::AdvanceReplication(Micros now) {
  ExpireChanges(now);
  if (!IsServing()) return;
  if (state_.pending() && synced_token_ >= pending_token_ && IsSynced()) {
    const Version version = state_.pending()->version;
    if (!predecessors_have_start_) {
      if (append_timer_.Due(now)) Send(Neighbour(-1)->name, chain::ViewProbe{});
    } else if (IsTail()) {
      Commit();
    } else if (append_timer_.Due(now)) {
      Send(Neighbour(1)->name, chain::Append{version.sequence, state_.PendingChanges()});
    }
    if (state_.pending()) ScheduleTick(append_timer_.at());
  }
  if (IsHead()) AppendQueued(now);
}

// The pending state was handed to the disk just now.
void ChainReplica::Impl::StartPending(Micros now) {
  pending_token_ = last_token_;
  pending_since_ = now;
  append_timer_.Restart();
}

void ChainReplica::Impl::ExpireChanges(Micros now) {
  const auto expired = [&](const QueuedChange& change) {
    if (change.deadline > now) return false;
    FinishChange(change, ChangeStatus::kUnavailable, CommittedRevision(change.key));
    return true;
  };
  queued_.erase(std::remove_if(queued_.begin(), queued_.end(), expired), queued_.end());
  in_flight_.erase(std::remove_if(in_flight_.begin(), in_flight_.end(), expired), in_flight_.end());
  for (const QueuedChange& change : queued_) ScheduleTick(change.deadline);
  for (const QueuedChange& change : in_flight_) ScheduleTick(change.deadline);
}

// A change on top of one that is not committed yet stays in the queue, and is judged by what has
// been committed in this view only. A key and the fence on it never change together.
void ChainReplica::Impl::AppendQueued(Micros now) {
  if (queued_.empty() || state_.pending() || !state_.started()) return;
  // Else the next view has more members, and it takes the changes.
  if (!target_.IsSufficientlyReplicated(state_.view().members)) return;
  std::vector<chain::KeyChange> changes;
  std::set<std::string> keys, fences;
  std::deque<QueuedChange> later;
  for (QueuedChange& change : queued_) {
    const std::uint64_t revision = CommittedRevision(change.key);
    if (IsUnconfirmed(change)) {
      later.push_back(std::move(change));
    } else if (revision != change.expected) {
      FinishChange(change, ChangeStatus::kConflict, revision);
    } else if (IsFenced(change)) {
      FinishChange(change, ChangeStatus::kFenced, revision);
    } else if (keys.contains(change.key) || keys.contains(change.fencing_token.key) ||
               fences.contains(change.key)) {
      later.push_back(std::move(change));
    } else {
      keys.insert(change.key);
      if (!change.fencing_token.key.empty()) fences.insert(change.fencing_token.key);
      AddChange(change, revision + 1, &changes);
      in_flight_.push_back(std::move(change));
    }
  }
  queued_ = std::move(later);
  ConfirmNewestState(now);
  if (changes.empty()) return;
  Sync(state_.Append(changes));
  StartPending(now);
}

// Adds the change and, where it has an identity, the page of the key's history that records it:
// they are committed together or not at all.
void ChainReplica::Impl::AddChange(const QueuedChange& change, std::uint64_t revision,
                                   std::vector<chain::KeyChange>* changes) const {
  changes->push_back({change.key, {change.value, revision}});
  if (!change.change_id) return;
  auto [key, page] =
      ChangeHistoryPageWith(*state_.committed().map, change.key, revision, *change.change_id);
  changes->push_back({std::move(key), std::move(page)});
}

// A change that expects a later revision than this head knows: either this head is out of date, and
// then it must not report a conflict, or the change is wrong.
void ChainReplica::Impl::ConfirmNewestState(Micros now) {
  if (!unconfirmed_tickets_.empty()) return;
  for (const QueuedChange& change : queued_) {
    if (IsUnconfirmed(change)) unconfirmed_tickets_.push_back(change.ticket);
  }
  if (unconfirmed_tickets_.empty()) return;
  pending_reads_.push_back(
      {random_(), now + options_.call_timeout, RetransmitTimer(options_.retry), true});
}

void ChainReplica::Impl::OnNewestStateConfirmed(const Version& newest) {
  const auto tickets = std::exchange(unconfirmed_tickets_, {});
  if (state_.committed().version < newest) return;
  for (QueuedChange& change : queued_) {
    const bool confirmed =
        std::find(tickets.begin(), tickets.end(), change.ticket) != tickets.end();
    change.confirmed_newest = change.confirmed_newest || confirmed;
  }
}

// The pending state is on the disks of all members.
void ChainReplica::Impl::Commit() {
  const std::uint64_t sequence = state_.pending()->version.sequence;
  if (const ReplicaId* predecessor = Neighbour(-1)) {
    Send(predecessor->name, chain::CommitNotice{sequence});
  }
  Sync(state_.CommitPending());  // no message waits for this but later ones
  out_->committed.push_back({state_.committed().version, state_.committed().map});
  failed_proposals_ = 0;
  if (sequence == 0) {
    ResolveAfterViewChange();
    return;
  }
  for (const QueuedChange& change : std::exchange(in_flight_, {})) {
    FinishChange(change, ChangeStatus::kCommitted, CommittedRevision(change.key));
  }
}

// What was in flight in an earlier view is in the map of this one or will never be.
void ChainReplica::Impl::ResolveAfterViewChange() {
  const Map& map = *state_.latest().map;
  const bool decided_only = state_.pending().has_value();
  for (QueuedChange& change : std::exchange(in_flight_, {})) {
    const auto found = map.find(change.key);
    const Entry entry = found == map.end() ? Entry{} : found->second;
    if (entry.revision == change.expected) {
      if (IsHead()) {
        queued_.push_front(std::move(change));
      } else {
        FinishChange(change, ChangeStatus::kNotHead, entry.revision);
      }
    } else if (entry.revision != change.expected + 1) {
      FinishChange(change, ChangeStatus::kUnavailable, entry.revision);
    } else if (entry.value != change.value) {
      FinishChange(change, ChangeStatus::kConflict, entry.revision);
    } else {
      FinishChange(change, decided_only ? ChangeStatus::kUnavailable : ChangeStatus::kCommitted,
                   entry.revision);
    }
  }
}

void ChainReplica::Impl::On(Micros now, const chain::Header& header, const chain::Append& append) {
  const ReplicaId* predecessor = Neighbour(-1);
  if (!IsServing() || !predecessor || header.from != *predecessor) return;
  if (state_.started() && append.sequence <= state_.committed().version.sequence) {
    Send(header.from.name, chain::CommitNotice{state_.committed().version.sequence});
    return;
  }
  if (state_.pending() && append.sequence == state_.pending()->version.sequence) {
    if (!predecessors_have_start_) append_timer_.Restart();
    predecessors_have_start_ = true;
    return;
  }
  // The predecessors begin a change only once they know that the one before is committed.
  if (state_.pending() && append.sequence == state_.pending()->version.sequence + 1) {
    predecessors_have_start_ = true;
    Commit();
  }
  const bool next = state_.started() && !state_.pending() &&
                    append.sequence == state_.committed().version.sequence + 1;
  if (!next || append.changes.empty()) return;
  Sync(state_.Append(append.changes));
  StartPending(now);
}

void ChainReplica::Impl::On(Micros, const chain::Header& header,
                            const chain::CommitNotice& notice) {
  if (!IsMember() || !chain::Contains(state_.view().members, header.from)) return;
  if (!state_.pending() || state_.pending()->version.sequence != notice.sequence) return;
  predecessors_have_start_ = true;
  Commit();
}

void ChainReplica::Impl::On(Micros, const chain::Header& header, const chain::ViewProbe&) {
  const ReplicaId* successor = Neighbour(1);
  if (!IsServing() || !successor || header.from != *successor) return;
  if (state_.started()) {
    Send(header.from.name, chain::CommitNotice{state_.committed().version.sequence});
  }
  if (predecessors_have_start_)
    append_timer_.Restart();  // the successor is ready for what is pending
}

}  // namespace pearreach::coordination
