#include "tier/batch/replication.h"

#include <algorithm>
#include <utility>

#include "tier/batch/repair_digest.h"
#include "tier/codec/archive.h"
#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr Micros kConfirmTimeout = 700 * kMs;
constexpr Micros kConfirmRetry = 300 * kMs;

bool Contains(const std::vector<StoreId>& stores, const StoreId& store) {
  return std::find(stores.begin(), stores.end(), store) != stores.end();
}

}  // namespace

PartitionReplica::PartitionReplica(std::uint32_t partition, StoreId self,
                                   ReplicationEnvironment* environment)
    : partition_(partition),
      self_(std::move(self)),
      environment_(environment),
      batch_jobs_(partition),
      commits_([environment](std::vector<storage::Write> batch, CommitQueue::Done done) {
        environment->Commit(std::move(batch), std::move(done));
      }),
      filled_joiners_(ReadFilledJoiners(environment->Disk(), partition)) {
  batch_jobs_.Load(environment_->Disk());
}

PartitionReplica::~PartitionReplica() { environment_->Cancel(&confirm_timer_); }

// ---------------------------------------------------------------- role in the replica set

void PartitionReplica::SetTable(const Partition& table) {
  if (table.epoch <= table_.epoch) return;
  table_ = table;
  epoch_confirmed_ = false;
  const bool primary = !table_.replicas.empty() && table_.replicas.front() == self_;
  if (!primary) {
    if (primary_) StepDown();
    return;
  }
  if (!primary_) BecomePrimary();
  UpdateLinks();
  CheckActive();
  Advance();
}

void PartitionReplica::BecomePrimary() {
  primary_ = true;
  active_ = false;
  barrier_done_ = false;
  confirming_epoch_ = false;
  recording_filled_joiners_ = false;
  backup_stream_.Close();
  ++term_;
  const std::uint64_t term = term_;
  commits_.Commit({}, [this, term](const absl::Status& status) {
    if (term != term_) return;
    if (!status.ok()) {
      OnDiskFailure(status);
      return;
    }
    barrier_done_ = true;
    CheckActive();
    RecordFilledJoiners();
  });
}

void PartitionReplica::StepDown() {
  const bool was_active = active_;
  primary_ = false;
  active_ = false;
  backup_stream_.Close();
  ++term_;
  links_.clear();
  FailPending();
  if (was_active) environment_->OnInactive(partition_);
}

void PartitionReplica::UpdateLinks() {
  std::erase_if(links_, [this](const auto& entry) {
    return !Contains(table_.replicas, entry.first) && !Contains(table_.joining, entry.first);
  });
  const auto connect = [this](const StoreId& peer, bool is_replica) {
    if (peer == self_) return;
    auto& link = links_[peer];
    const bool fresh = link == nullptr;
    if (fresh) link = std::make_shared<ReplicaLink>(peer, this, environment_);
    link->is_replica = is_replica;
    UpdateRequired(link.get());
    if (fresh) link->Synchronise();
  };
  for (const StoreId& peer : table_.replicas) connect(peer, true);
  for (const StoreId& peer : table_.joining) {
    if (!Contains(table_.replicas, peer)) connect(peer, false);
  }
  RecordFilledJoiners();
}

void PartitionReplica::CheckActive() {
  if (!primary_ || active_ || !barrier_done_) return;
  // What is shown must outlast the same losses as what is acknowledged.
  if (!HasRequiredReplicas()) return;
  if (!environment_->IsDiskChecked(table_.replicas)) return;
  for (const auto& [peer, link] : links_) {
    if (MayTakeOver(peer, *link) && !link->streaming()) return;
  }
  const bool is_sole = table_.replicas.size() == 1;
  if (is_sole && !epoch_confirmed_) {
    ConfirmEpoch();
    return;
  }
  Activate();
}

// A joiner that was reported, be it by an earlier process on this disk, may become a replica at any
// moment: it must have what is shown and acknowledged from then on.
bool PartitionReplica::MayTakeOver(const StoreId& peer, const ReplicaLink& link) const {
  return link.is_replica || filled_joiners_.Names(peer, table_.epoch);
}

void PartitionReplica::OnEnvironmentChanged() {
  CheckActive();
  RecordFilledJoiners();
  Advance();
}

// Where not all other replicas can say whether the table still stands, the control state can.
void PartitionReplica::ConfirmEpoch() {
  if (confirming_epoch_) return;
  confirming_epoch_ = true;
  const std::uint64_t term = term_, epoch = table_.epoch;
  const Micros requested_at = environment_->Now();
  environment_->ConfirmEpoch(partition_, epoch, [this, term, epoch, requested_at](bool stands) {
    if (term != term_) return;
    confirming_epoch_ = false;
    if (stands && epoch == table_.epoch) {
      epoch_confirmed_ = true;
      epoch_confirmed_at_ = requested_at;
      CheckActive();
      CheckConfirmations();
      return;
    }
    environment_->After(kConfirmRetry, [this, term] {
      if (term == term_) CheckActive();
    });
  });
}

void PartitionReplica::Activate() {
  active_ = true;
  batch_jobs_.MakeAllVisible();
  environment_->OnActive(partition_);
  RecordFilledJoiners();
}

// A primary need not be active: one that waits for a replica that is away is served by the joiner
// in its place. What it has must be on its disk, and be all that its disk ever had.
bool PartitionReplica::IsFilled(const ReplicaLink& link) const {
  const bool is_joined = !link.is_replica && link.required && link.streaming() &&
                         link.acknowledged() >= link.catch_up_sequence;
  if (!is_joined || active_) return is_joined;
  return primary_ && barrier_done_ && environment_->IsDiskChecked(table_.replicas);
}

std::vector<StoreId> PartitionReplica::FilledJoiners() const {
  std::vector<StoreId> filled;
  for (const auto& [peer, link] : links_) {
    if (IsFilled(*link) && filled_joiners_.Names(peer, table_.epoch)) filled.push_back(peer);
  }
  return filled;
}

void PartitionReplica::RecordFilledJoiners() {
  FilledJoinersRecord record = filled_joiners_;
  if (record.epoch != table_.epoch) record = {table_.epoch, {}};
  const std::size_t recorded = record.joiners.size();
  for (const auto& [peer, link] : links_) {
    if (IsFilled(*link) && !record.Names(peer, table_.epoch)) record.joiners.push_back(peer);
  }
  if (record.joiners.size() == recorded) {
    if (!FilledJoiners().empty()) environment_->OnFilled(partition_);
    return;
  }
  if (std::exchange(recording_filled_joiners_, true)) return;
  const std::uint64_t term = term_;
  // Beside the queue of changes: a write that a full disk refuses must not fail those behind it.
  environment_->CommitRecord(WriteFilledJoiners(partition_, record),
                             [this, term, record](const absl::Status& status) {
                               OnFilledJoinersRecorded(term, record, status);
                             });
}

void PartitionReplica::OnFilledJoinersRecorded(std::uint64_t term,
                                               const FilledJoinersRecord& record,
                                               const absl::Status& status) {
  if (status.ok()) filled_joiners_ = record;
  if (term != term_) return;
  recording_filled_joiners_ = false;
  if (status.ok()) return RecordFilledJoiners();
  environment_->After(kConfirmRetry, [this, term] {
    if (term == term_) RecordFilledJoiners();
  });
}

ReplicaScope PartitionReplica::Scope(const StoreId& to) const {
  return {self_, to, partition_, table_.epoch, 0, 0};
}

// A joiner that has been reported to hold everything may count at any moment until the epoch
// changes: no change may be acknowledged without it from before it is reported.
void PartitionReplica::UpdateRequired(ReplicaLink* link) const {
  const bool required = link->is_replica || link->streaming();
  if (required && !link->required) link->catch_up_sequence = last_sequence_;
  link->required = required;
}

bool PartitionReplica::AnyReplicaUnreachable() const {
  return std::any_of(links_.begin(), links_.end(), [](const auto& entry) {
    return entry.second->is_replica && !entry.second->reachable();
  });
}

void PartitionReplica::OnLinkAdvanced() {
  for (const auto& [peer, link] : links_) {
    if (!link->required) UpdateRequired(link.get());
  }
  CheckActive();
  RecordFilledJoiners();
  CheckConfirmations();
  Advance();
}

// ---------------------------------------------------------------- changes

void PartitionReplica::Submit(Operation operation, ChangeDone done) {
  if (!active_) {
    environment_->After(
        0, [done = std::move(done)] { done(absl::FailedPreconditionError("not active")); });
    return;
  }
  const std::uint64_t sequence = ++last_sequence_;
  auto shared = std::make_shared<const Operation>(std::move(operation));
  std::vector<storage::Write> batch = batch_jobs_.Apply(*shared);
  pending_.push_back({sequence, shared, false, std::move(done)});
  const std::uint64_t term = term_;
  commits_.Commit(std::move(batch), [this, term, sequence](const absl::Status& status) {
    OnCommitted(term, sequence, status);
  });
  for (const auto& [peer, link] : links_) link->Enqueue(sequence, shared);
}

void PartitionReplica::OnCommitted(std::uint64_t term, std::uint64_t sequence,
                                   const absl::Status& status) {
  if (term != term_) return;
  if (!status.ok()) {
    OnDiskFailure(status);
    return;
  }
  for (Pending& pending : pending_) {
    if (pending.sequence != sequence) continue;
    pending.committed = true;
    break;
  }
  Advance();
}

// A change is acknowledged once it is on so many disks that it outlasts all losses that may come at
// once. A joiner does not count, as the table does not name it as a holder yet.
void PartitionReplica::Advance() {
  if (!active_ || !HasRequiredReplicas()) return;
  std::uint64_t acknowledged_by_all = last_sequence_;
  for (const auto& [peer, link] : links_) {
    if (link->required) acknowledged_by_all = std::min(acknowledged_by_all, link->acknowledged());
  }
  const std::uint64_t term = term_;
  while (term == term_ && !pending_.empty() && pending_.front().committed &&
         pending_.front().sequence <= acknowledged_by_all) {
    const Pending pending = std::move(pending_.front());
    pending_.pop_front();
    Complete(pending);
  }
}

void PartitionReplica::Complete(const Pending& pending) {
  BatchJob* batch_job = batch_jobs_.Find(pending.operation->batch_job_id);
  if (batch_job != nullptr) {
    for (const Record& record : pending.operation->records) {
      const auto kind = static_cast<RecordKind>(record.kind);
      if (kind == RecordKind::kHeader) batch_job->accepted = true;
      if (kind == RecordKind::kResult) {
        batch_job->visible_results = std::max(batch_job->visible_results, record.index + 1);
      }
    }
  }
  pending.done(absl::OkStatus());
}

void PartitionReplica::FailPending() {
  std::deque<Pending> pending = std::move(pending_);
  pending_.clear();
  for (const Pending& one : pending) one.done(absl::UnavailableError("may have been carried out"));
  for (const Confirmation& confirmation : confirmations_.RemoveAll()) confirmation.done(false);
}

// What is on disk is the truth again: start over from it.
void PartitionReplica::OnDiskFailure(const absl::Status& status) {
  logging::Error("batch", "change could not be written to disk",
                 {logging::F("partition", partition_), logging::F("error", status.ToString())});
  if (!primary_) return;
  StepDown();
  batch_jobs_.Load(environment_->Disk());
  const std::uint64_t term = term_;
  environment_->After(kSecond, [this, term] {
    if (term != term_ || table_.replicas.empty() || table_.replicas.front() != self_) return;
    batch_jobs_.Load(environment_->Disk());
    BecomePrimary();
    UpdateLinks();
    CheckActive();
  });
}

// ---------------------------------------------------------------- confirmation

bool PartitionReplica::ConfirmedSince(Micros since, bool all_required) const {
  if (!active_) return false;
  if (all_required && !HasRequiredReplicas()) return false;
  if (!all_required && epoch_confirmed_ && epoch_confirmed_at_ >= since) return true;
  const bool is_sole = table_.replicas.size() == 1;
  if (!all_required && is_sole) return false;
  return std::all_of(links_.begin(), links_.end(), [&](const auto& entry) {
    return !MustConfirm(*entry.second, all_required) || entry.second->confirmed_at() >= since;
  });
}

void PartitionReplica::Confirm(std::function<void(bool)> done) {
  const Micros now = environment_->Now();
  AwaitConfirmation({now - kConfirmSpan, now + kConfirmTimeout, false, std::move(done)});
}

void PartitionReplica::ConfirmAllRequired(Micros span, Micros timeout,
                                          std::function<void(bool)> done) {
  const Micros now = environment_->Now();
  AwaitConfirmation({now - span, now + timeout, true, std::move(done)});
}

void PartitionReplica::AwaitConfirmation(Confirmation confirmation) {
  const Micros since = confirmation.since;
  const bool all_required = confirmation.all_required;
  const bool confirmed = ConfirmedSince(since, all_required);
  if (confirmed || !active_) {
    confirmation.done(confirmed);
    return;
  }
  confirmations_.Add(std::move(confirmation));
  ArmConfirmTimer();
  const bool is_sole = table_.replicas.size() == 1;
  if (!all_required && (is_sole || AnyReplicaUnreachable())) ConfirmEpoch();
  for (const auto& [peer, link] : links_) {
    if (MustConfirm(*link, all_required) && link->confirmed_at() < since)
      link->RequestConfirmation();
  }
}

void PartitionReplica::ArmConfirmTimer() {
  if (confirmations_.empty()) return;
  const Micros delay = std::max<Micros>(1, confirmations_.NextDeadline() - environment_->Now());
  environment_->Cancel(&confirm_timer_);
  confirm_timer_ = environment_->After(delay, [this] {
    confirm_timer_ = 0;
    CheckConfirmations();
  });
}

void PartitionReplica::ReportUnresponsive(Micros since) {
  for (const auto& [peer, link] : links_)
    if (link->required && link->confirmed_at() < since) environment_->OnUnresponsive(peer);
}

void PartitionReplica::CheckConfirmations() {
  if (confirmations_.empty()) return;
  const Micros now = environment_->Now();
  const std::vector<Confirmation> finished =
      confirmations_.RemoveFinished(now, [this](const Confirmation& confirmation) {
        return ConfirmedSince(confirmation.since, confirmation.all_required);
      });
  ArmConfirmTimer();
  for (const Confirmation& one : finished) {
    if (one.all_required) ReportUnresponsive(one.since);
    one.done(ConfirmedSince(one.since, one.all_required));
  }
}

// ---------------------------------------------------------------- as a backup

ReplicaVerdict PartitionReplica::CheckScope(const ReplicaScope& scope, bool starts_attempt) {
  if (scope.epoch > table_.epoch) {
    environment_->RefreshTable();
    return ReplicaVerdict::kBehind;
  }
  if (scope.epoch < table_.epoch || scope.to != self_ || table_.replicas.empty() ||
      table_.replicas.front() != scope.from) {
    return ReplicaVerdict::kStale;
  }
  return backup_stream_.CheckAttempt(scope, starts_attempt);
}

ReplicaVerdict PartitionReplica::CheckReplicate(const Replicate& message) {
  const ReplicaVerdict verdict = CheckScope(message.scope, false);
  if (verdict != ReplicaVerdict::kAccepted) return verdict;
  return backup_stream_.Accepts(message) ? ReplicaVerdict::kAccepted
                                         : ReplicaVerdict::kUnsynchronised;
}

void PartitionReplica::OnReplicate(const Replicate& message, const rpc::Respond& respond) {
  ReplicateResponse response;
  response.verdict = CheckReplicate(message);
  if (response.verdict != ReplicaVerdict::kAccepted) {
    respond(codec::Encode(response));
    return;
  }
  std::vector<storage::Write> batch;
  std::uint64_t sequence = message.first;
  for (const Operation& operation : message.operations) {
    const bool known = !message.fill && sequence++ < backup_stream_.next_sequence();
    if (known) continue;
    std::vector<storage::Write> writes = batch_jobs_.Apply(operation);
    std::move(writes.begin(), writes.end(), std::back_inserter(batch));
  }
  if (!message.fill) backup_stream_.Advance(sequence);
  if (message.begin) backup_stream_.Open(message.first);
  if (batch.empty() && commits_.idle()) {  // nothing to wait for
    response.available_bytes = environment_->AvailableDiskBytes();
    respond(codec::Encode(response));
    return;
  }
  commits_.Commit(std::move(batch), [this, response, respond](const absl::Status& status) mutable {
    if (status.ok()) {
      response.available_bytes = environment_->AvailableDiskBytes();
      respond(codec::Encode(response));
      return;
    }
    backup_stream_.Close();
    if (!primary_) batch_jobs_.Load(environment_->Disk());
    respond(status);
  });
}

void PartitionReplica::OnRepairDigest(const RepairDigest& message, const rpc::Respond& respond) {
  RepairDigestResponse response;
  const ReplicaVerdict verdict = CheckScope(message.scope, !message.buckets.empty());
  if (verdict == ReplicaVerdict::kAccepted) response = CompareDigests(batch_jobs_, message);
  response.verdict = verdict;
  respond(codec::Encode(response));
}

}  // namespace pearreach::batch
