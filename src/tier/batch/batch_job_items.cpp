#include "tier/batch/batch_job_items.h"

#include <algorithm>
#include <utility>

#include "tier/batch/batch_job_age.h"
#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr std::int64_t kMaxWaitMs = 30'000;
// Edge nodes renew about every second: those that run an item for an earlier primary have renewed
// by then.
constexpr Micros kLeaseAdoptionPeriod = 1500 * kMs;
constexpr Micros kPullerActivePeriod =
    3 * kSecond;  // a node that pulled counts as a puller this long

std::string Acknowledgement() { return {}; }

}  // namespace

BatchJobItems::BatchJobItems(StoreContext* context, BatchJobListener changed,
                             BatchJobListener counted)
    : context_(context),
      changed_(std::move(changed)),
      counted_(std::move(counted)),
      leases_((context->Random() >> 1) | 1) {}

// ---------------------------------------------------------------- batch jobs

void BatchJobItems::AddBatchJob(const std::string& batch_job_id, const BatchJob& batch_job,
                                Micros reserved_until) {
  if (!batch_job.Open()) return;
  std::vector<std::uint32_t> open;
  for (std::uint32_t i = 0; i < batch_job.items.size(); ++i) {
    if (!batch_job.items[i].done) open.push_back(i);
  }
  const std::int64_t due =
      batch_job.header.created_wall_ms + static_cast<std::int64_t>(batch_job.header.due_ms);
  leases_.AddBatchJob(batch_job_id, batch_job.header.route, due, batch_job.items.size(), open,
                      reserved_until);
}

void BatchJobItems::OnAccepted(const std::string& batch_job_id) {
  PartitionReplica* replica = context_->ActiveReplica(batch_job_id);
  const BatchJob* batch_job =
      replica == nullptr ? nullptr : replica->batch_jobs().Find(batch_job_id);
  if (batch_job == nullptr) return;
  AddBatchJob(batch_job_id, *batch_job, 0);
  ServePendingPulls();
}

void BatchJobItems::OnEnded(const std::string& batch_job_id) { leases_.DropBatchJob(batch_job_id); }

void BatchJobItems::OnActive(std::uint32_t partition) {
  const Micros reserved_until = context_->Now() + kLeaseAdoptionPeriod;
  for (const auto& [batch_job_id, batch_job] :
       context_->Replica(partition).batch_jobs().batch_jobs()) {
    AddBatchJob(batch_job_id, batch_job, reserved_until);
  }
  ScheduleExpiry();
}

void BatchJobItems::OnInactive(std::uint32_t partition) {
  for (const auto& [batch_job_id, batch_job] :
       context_->Replica(partition).batch_jobs().batch_jobs()) {
    leases_.DropBatchJob(batch_job_id);
  }
}

void BatchJobItems::DropNodes(const std::function<bool(const std::string& node)>& is_gone) {
  for (const std::string& node : leases_.LeaseOwners()) {
    if (is_gone(node)) leases_.DropNode(node);
  }
  ServePendingPulls();
}

// ---------------------------------------------------------------- taking

void BatchJobItems::RecordPuller(const std::string& node) {
  const Micros now = context_->Now();
  pullers_[node] = now;
  std::erase_if(pullers_,
                [&](const auto& entry) { return now - entry.second > kPullerActivePeriod; });
}

// Capacity by route, no more than the node's fair share of what waits.
std::map<std::string, int> BatchJobItems::LimitToFairShare(
    const std::map<std::string, int>& capacity) const {
  std::map<std::string, int> limits;
  const std::size_t pullers = std::max({std::size_t{1}, pullers_.size(), pending_pulls_.size()});
  for (const auto& [route, route_limit] : capacity) {
    const std::size_t waiting = leases_.CountWaiting(route);
    if (waiting == 0) continue;
    const auto share = static_cast<int>((waiting + pullers - 1) / pullers);
    limits[route] = std::min(route_limit, share);
  }
  return limits;
}

void BatchJobItems::OnPullItems(PullItems pull, rpc::Respond respond) {
  if (!leases_.RegisterProcess(pull.node, pull.process)) {
    respond(codec::Encode(PullItemsResponse{}));
    return;
  }
  RecordPuller(pull.node);
  EndPendingPull(pull.node);
  PullItemsResponse response = LeaseItems(pull);
  if (response.items.empty() && pull.wait_ms > 0) {
    AddPendingPull(std::move(pull), std::move(respond));
    return;
  }
  respond(codec::Encode(response));
}

PullItemsResponse BatchJobItems::LeaseItems(const PullItems& pull) {
  PullItemsResponse response;
  const std::map<std::string, int> limits = LimitToFairShare(pull.capacity);
  if (limits.empty()) return response;
  for (const ItemLease& lease :
       leases_.Acquire(pull.node, limits, kMaxItemsPerPull, context_->Now())) {
    absl::StatusOr<LeasedItem> item = ReadLeasedItem(lease);
    if (item.ok()) response.items.push_back(*std::move(item));
  }
  ScheduleExpiry();
  return response;
}

absl::StatusOr<LeasedItem> BatchJobItems::ReadLeasedItem(const ItemLease& lease) {
  const std::uint32_t partition = PartitionOf(lease.batch_job_id);
  const BatchJob* batch_job = context_->Replica(partition).batch_jobs().Find(lease.batch_job_id);
  if (batch_job == nullptr) {
    return absl::NotFoundError("no batch job " + lease.batch_job_id);
  }
  const auto record =
      context_->Disk().Get(RecordKey(partition, lease.batch_job_id, RecordKind::kItem, lease.item));
  auto spec =
      record.ok() ? codec::Decode<ItemSpec>(*record) : absl::StatusOr<ItemSpec>(record.status());
  if (!spec.ok()) {
    logging::Error("batch", "item record is unreadable",
                   {logging::F("batch_job_id", lease.batch_job_id)});
    return spec.status();
  }
  const BatchJobHeader& header = batch_job->header;
  LeasedItem item;
  item.batch_job_id = lease.batch_job_id;
  item.route = header.route;
  item.host = header.host;
  item.lease = lease.lease;
  item.expires_ms = kLeaseDuration / kMs;
  item.failures = static_cast<std::uint32_t>(batch_job->items[lease.item].failed_leases.size());
  item.attempts = header.attempts;
  item.retain_left_ms = RunLeftMs(*batch_job, context_->Now());
  item.item = *std::move(spec);
  return item;
}

void BatchJobItems::AddPendingPull(PullItems pull, rpc::Respond respond) {
  const std::uint64_t id = ++last_pending_pull_;
  const Micros wait = std::min(pull.wait_ms, kMaxWaitMs) * kMs;
  pending_pulls_.push_back({std::move(pull), std::move(respond), 0, id});
  pending_pulls_.back().timer = context_->After(wait, [this, id] { OnPullTimeout(id); });
}

// A node asks by one call at a time: an earlier one of it is over.
void BatchJobItems::EndPendingPull(const std::string& node) {
  for (auto at = pending_pulls_.begin(); at != pending_pulls_.end(); ++at) {
    if (at->pull.node != node) continue;
    PendingPull pending = std::move(*at);
    pending_pulls_.erase(at);
    context_->Cancel(&pending.timer);
    pending.respond(codec::Encode(PullItemsResponse{}));
    return;
  }
}

void BatchJobItems::OnPullTimeout(std::uint64_t id) {
  for (auto at = pending_pulls_.begin(); at != pending_pulls_.end(); ++at) {
    if (at->id != id) continue;
    const PendingPull pending = std::move(*at);
    pending_pulls_.erase(at);
    pullers_[pending.pull.node] = context_->Now();
    pending.respond(codec::Encode(PullItemsResponse{}));
    return;
  }
}

void BatchJobItems::ServePendingPulls() {
  for (auto at = pending_pulls_.begin(); at != pending_pulls_.end() && leases_.HasWaitingItems();) {
    pullers_[at->pull.node] = context_->Now();
    PullItemsResponse response = LeaseItems(at->pull);
    if (response.items.empty()) {
      ++at;
      continue;
    }
    context_->Cancel(&at->timer);
    const rpc::Respond respond = std::move(at->respond);
    at = pending_pulls_.erase(at);
    respond(codec::Encode(response));
  }
}

void BatchJobItems::ScheduleExpiry() {
  const Micros next = leases_.NextExpiry();
  if (next == 0 || (expiry_timer_ != 0 && expiry_at_ <= next)) return;
  context_->Cancel(&expiry_timer_);
  expiry_at_ = next;
  const Micros delay = std::max<Micros>(0, next - context_->Now()) + kMs;
  expiry_timer_ = context_->After(delay, [this] { OnExpiry(); });
}

void BatchJobItems::OnExpiry() {
  expiry_timer_ = 0;
  leases_.Expire(context_->Now());
  ServePendingPulls();
  ScheduleExpiry();
}

// ---------------------------------------------------------------- results

void BatchJobItems::OnResult(const ItemResult& result, const rpc::Respond& respond) {
  PartitionReplica* replica = context_->ActiveReplica(result.batch_job_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  const BatchJob* batch_job = replica->batch_jobs().Find(result.batch_job_id);
  const auto item = batch_job == nullptr ? std::nullopt : batch_job->FindItem(result.item_id);
  const bool is_unfinished = item.has_value() && !batch_job->ended && !batch_job->items[*item].done;
  if (!is_unfinished) {
    respond(Acknowledgement());
    return;
  }
  switch (result.outcome) {
    case RunOutcome::kComplete:
    case RunOutcome::kImpossible:
      Append(replica, *batch_job, result, *item, respond);
      return;
    case RunOutcome::kFailed:
      CountFailure(replica, *batch_job, result, *item, respond);
      return;
    case RunOutcome::kReturned:
      leases_.Return(result.batch_job_id, *item, result.lease);
      respond(Acknowledgement());
      ServePendingPulls();
      return;
  }
  respond(absl::InvalidArgumentError("no such outcome"));
}

void BatchJobItems::Append(PartitionReplica* replica, const BatchJob& batch_job,
                           const ItemResult& result, std::uint32_t item,
                           const rpc::Respond& respond) {
  const bool complete = result.outcome == RunOutcome::kComplete;
  ResultRecord record;
  record.item = item;
  record.phase = complete ? ItemPhase::kComplete : ItemPhase::kAbandoned;
  if (complete) record.content = result.content;
  leases_.Finish(result.batch_job_id, item);
  Submit(replica, MakeResult(result.batch_job_id, batch_job.results, record), respond);
}

// A failure is counted once for each lease: the edge node may report it several times.
void BatchJobItems::CountFailure(PartitionReplica* replica, const BatchJob& batch_job,
                                 const ItemResult& result, std::uint32_t item,
                                 const rpc::Respond& respond) {
  const auto& counted = batch_job.items[item].failed_leases;
  if (std::find(counted.begin(), counted.end(), result.lease) != counted.end()) {
    respond(Acknowledgement());
    return;
  }
  Operation operation{result.batch_job_id, false, {}};
  AddFailure(batch_job, item, result.lease, &operation);
  const bool last = static_cast<int>(counted.size()) + 1 >= batch_job.header.attempts;
  if (last) {
    AddResult(batch_job.results, {item, ItemPhase::kAbandoned, {}}, &operation);
    leases_.Finish(result.batch_job_id, item);
  }
  Submit(replica, std::move(operation), respond);
  if (last) return;
  leases_.Return(result.batch_job_id, item, result.lease);
  ServePendingPulls();
}

void BatchJobItems::Submit(PartitionReplica* replica, Operation operation,
                           const rpc::Respond& respond) {
  const std::string batch_job_id = operation.batch_job_id;
  replica->Submit(std::move(operation), [this, batch_job_id, respond](const absl::Status& status) {
    if (!status.ok()) {
      respond(status);
      return;
    }
    respond(Acknowledgement());
    changed_(batch_job_id);
  });
  counted_(batch_job_id);
  const BatchJob* batch_job = replica->batch_jobs().Find(batch_job_id);
  if (batch_job != nullptr && batch_job->AllDone()) leases_.DropBatchJob(batch_job_id);
}

void BatchJobItems::Abandon(PartitionReplica* replica, const std::string& batch_job_id) {
  const BatchJob* batch_job = replica->batch_jobs().Find(batch_job_id);
  if (batch_job == nullptr || !batch_job->Open()) return;
  Operation operation{batch_job_id, false, {}};
  std::uint32_t position = batch_job->results;
  for (std::uint32_t i = 0; i < batch_job->items.size(); ++i) {
    if (!batch_job->items[i].done)
      AddResult(position++, {i, ItemPhase::kAbandoned, {}}, &operation);
  }
  leases_.DropBatchJob(batch_job_id);
  Submit(replica, std::move(operation), [](const absl::StatusOr<std::string>&) {});
}

// ---------------------------------------------------------------- renewal

void BatchJobItems::OnRenew(const RenewLeases& renew, const rpc::Respond& respond) {
  RenewLeasesResponse response;
  const bool current = leases_.RegisterProcess(renew.node, renew.process);
  const Micros now = context_->Now();
  for (const auto& [batch_job_id, item_id] : renew.leased_items) {
    PartitionReplica* replica = context_->ActiveReplica(batch_job_id);
    if (replica == nullptr) {
      const bool ended = HasRecordedEnd(batch_job_id);
      (ended ? response.stop : response.undecided).emplace_back(batch_job_id, item_id);
      continue;
    }
    const BatchJob* batch_job = replica->batch_jobs().Find(batch_job_id);
    const auto item = batch_job == nullptr ? std::nullopt : batch_job->FindItem(item_id);
    const bool open = item.has_value() && !batch_job->ended && !batch_job->items[*item].done;
    const bool leased = open && current && leases_.Renew(renew.node, batch_job_id, *item, now);
    if (!leased) response.stop.emplace_back(batch_job_id, item_id);
  }
  ScheduleExpiry();
  respond(codec::Encode(response));
}

// A replica that is not the active primary may say so as well: a client has asked for that end.
bool BatchJobItems::HasRecordedEnd(const std::string& batch_job_id) {
  PartitionReplica& replica = context_->Replica(PartitionOf(batch_job_id));
  const BatchJob* batch_job = replica.batch_jobs().Find(batch_job_id);
  return batch_job != nullptr && batch_job->ended;
}

}  // namespace pearreach::batch
