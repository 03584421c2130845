#include "tier/batch/batch_job_items.h"

#include <algorithm>
#include <utility>

#include "tier/batch/batch_job_age.h"
#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr std::int64_t kMaxWaitMs = 30'000;
// Edge nodes renew about every second: those that run an item for an earlier primary have told so.
constexpr Micros kHoldBack = 1500 * kMs;
constexpr Micros kTakerSpan = 3 * kSecond;  // a node that asked counts as a taker this long

std::string Empty() { return {}; }

}  // namespace

BatchJobItems::BatchJobItems(StoreContext* context, BatchJobListener changed,
                             BatchJobListener counted)
    : context_(context),
      changed_(std::move(changed)),
      counted_(std::move(counted)),
      leases_((context->Random() >> 1) | 1) {}

// ---------------------------------------------------------------- lots

void BatchJobItems::AddBatchJob(const std::string& batch_job_id, const BatchJob& batch_job,
                                Micros held_until) {
  if (!batch_job.Open()) return;
  std::vector<std::uint32_t> open;
  for (std::uint32_t i = 0; i < batch_job.items.size(); ++i) {
    if (!batch_job.items[i].done) open.push_back(i);
  }
  const std::int64_t due =
      batch_job.header.created_wall_ms + static_cast<std::int64_t>(batch_job.header.due_ms);
  leases_.AddBatchJob(batch_job_id, batch_job.header.route, due, batch_job.items.size(), open,
                      held_until);
}

void BatchJobItems::OnAccepted(const std::string& batch_job_id) {
  PartitionReplica* replica = context_->ActiveReplica(batch_job_id);
  const BatchJob* batch_job =
      replica == nullptr ? nullptr : replica->batch_jobs().Find(batch_job_id);
  if (batch_job == nullptr) return;
  AddBatchJob(batch_job_id, *batch_job, 0);
  ServeParked();
}

void BatchJobItems::OnEnded(const std::string& batch_job_id) { leases_.DropBatchJob(batch_job_id); }

void BatchJobItems::OnActive(std::uint32_t partition) {
  const Micros held_until = context_->Now() + kHoldBack;
  for (const auto& [batch_job_id, batch_job] :
       context_->Replica(partition).batch_jobs().batch_jobs()) {
    AddBatchJob(batch_job_id, batch_job, held_until);
  }
  ArmExpiry();
}

void BatchJobItems::OnInactive(std::uint32_t partition) {
  for (const auto& [batch_job_id, batch_job] :
       context_->Replica(partition).batch_jobs().batch_jobs()) {
    leases_.DropBatchJob(batch_job_id);
  }
}

void BatchJobItems::DropNodes(const std::function<bool(const std::string& node)>& is_gone) {
  for (const std::string& node : leases_.HoldingNodes()) {
    if (is_gone(node)) leases_.DropNode(node);
  }
  ServeParked();
}

// ---------------------------------------------------------------- taking

void BatchJobItems::NoteTaker(const std::string& node) {
  const Micros now = context_->Now();
  takers_[node] = now;
  std::erase_if(takers_, [&](const auto& entry) { return now - entry.second > kTakerSpan; });
}

// Room by route, no more than the node's part of what waits.
std::map<std::string, int> BatchJobItems::Shares(const std::map<std::string, int>& capacity) const {
  std::map<std::string, int> shares;
  const std::size_t takers = std::max({std::size_t{1}, takers_.size(), parked_.size()});
  for (const auto& [route, places] : capacity) {
    const std::size_t waiting = leases_.Waiting(route);
    if (waiting == 0) continue;
    const auto share = static_cast<int>((waiting + takers - 1) / takers);
    shares[route] = std::min(places, share);
  }
  return shares;
}

void BatchJobItems::OnTake(PullItems take, rpc::Respond respond) {
  if (!leases_.Hello(take.node, take.process)) {
    respond(codec::Encode(PullItemsResponse{}));
    return;
  }
  NoteTaker(take.node);
  Unpark(take.node);
  PullItemsResponse answer = Give(take);
  if (answer.items.empty() && take.wait_ms > 0) {
    Park(std::move(take), std::move(respond));
    return;
  }
  respond(codec::Encode(answer));
}

PullItemsResponse BatchJobItems::Give(const PullItems& take) {
  PullItemsResponse answer;
  const std::map<std::string, int> shares = Shares(take.capacity);
  if (shares.empty()) return answer;
  for (const ItemLease& taken :
       leases_.Take(take.node, shares, kMaxItemsPerPull, context_->Now())) {
    LeasedItem item;
    if (Describe(taken, &item)) answer.items.push_back(std::move(item));
  }
  ArmExpiry();
  return answer;
}

bool BatchJobItems::Describe(const ItemLease& taken, LeasedItem* item) {
  const std::uint32_t partition = PartitionOf(taken.batch_job_id);
  const BatchJob* batch_job = context_->Replica(partition).batch_jobs().Find(taken.batch_job_id);
  if (batch_job == nullptr) return false;
  const auto record =
      context_->Disk().Get(RecordKey(partition, taken.batch_job_id, RecordKind::kItem, taken.item));
  auto spec =
      record.ok() ? codec::Decode<ItemSpec>(*record) : absl::StatusOr<ItemSpec>(record.status());
  if (!spec.ok()) {
    logging::Error("batch", "an item cannot be read", {logging::F("lot", taken.batch_job_id)});
    return false;
  }
  const BatchJobHeader& header = batch_job->header;
  item->batch_job_id = taken.batch_job_id;
  item->route = header.route;
  item->host = header.host;
  item->lease = taken.lease;
  item->expires_ms = kLeaseSpan / kMs;
  item->failures = static_cast<std::uint32_t>(batch_job->items[taken.item].failed_leases.size());
  item->attempts = header.attempts;
  item->retain_left_ms = RunLeftMs(*batch_job, context_->Now());
  item->item = *std::move(spec);
  return true;
}

void BatchJobItems::Park(PullItems take, rpc::Respond respond) {
  const std::uint64_t id = ++last_parked_;
  const Micros wait = std::min(take.wait_ms, kMaxWaitMs) * kMs;
  parked_.push_back({std::move(take), std::move(respond), 0, id});
  parked_.back().timer = context_->After(wait, [this, id] { OnWaited(id); });
}

// A node asks by one call at a time: an earlier one of it is over.
void BatchJobItems::Unpark(const std::string& node) {
  for (auto at = parked_.begin(); at != parked_.end(); ++at) {
    if (at->take.node != node) continue;
    Parked parked = std::move(*at);
    parked_.erase(at);
    context_->Cancel(&parked.timer);
    parked.respond(codec::Encode(PullItemsResponse{}));
    return;
  }
}

void BatchJobItems::OnWaited(std::uint64_t id) {
  for (auto at = parked_.begin(); at != parked_.end(); ++at) {
    if (at->id != id) continue;
    const Parked parked = std::move(*at);
    parked_.erase(at);
    takers_[parked.take.node] = context_->Now();
    parked.respond(codec::Encode(PullItemsResponse{}));
    return;
  }
}

void BatchJobItems::ServeParked() {
  for (auto at = parked_.begin(); at != parked_.end() && leases_.AnyWaiting();) {
    takers_[at->take.node] = context_->Now();
    PullItemsResponse answer = Give(at->take);
    if (answer.items.empty()) {
      ++at;
      continue;
    }
    context_->Cancel(&at->timer);
    const rpc::Respond respond = std::move(at->respond);
    at = parked_.erase(at);
    respond(codec::Encode(answer));
  }
}

void BatchJobItems::ArmExpiry() {
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
  ServeParked();
  ArmExpiry();
}

// ---------------------------------------------------------------- results

void BatchJobItems::OnResult(ItemResult result, rpc::Respond respond) {
  PartitionReplica* replica = context_->ActiveReplica(result.batch_job_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  const BatchJob* batch_job = replica->batch_jobs().Find(result.batch_job_id);
  const auto item = batch_job == nullptr ? std::nullopt : batch_job->FindItem(result.item_id);
  const bool wanted = item.has_value() && !batch_job->ended && !batch_job->items[*item].done;
  if (!wanted) {
    respond(Empty());
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
      respond(Empty());
      ServeParked();
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

// A failure is counted once for each lease: the edge node may tell it several times.
void BatchJobItems::CountFailure(PartitionReplica* replica, const BatchJob& batch_job,
                                 const ItemResult& result, std::uint32_t item,
                                 const rpc::Respond& respond) {
  const auto& counted = batch_job.items[item].failed_leases;
  if (std::find(counted.begin(), counted.end(), result.lease) != counted.end()) {
    respond(Empty());
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
  ServeParked();
}

void BatchJobItems::Submit(PartitionReplica* replica, Operation operation,
                           const rpc::Respond& respond) {
  const std::string batch_job_id = operation.batch_job_id;
  replica->Submit(std::move(operation), [this, batch_job_id, respond](const absl::Status& status) {
    if (!status.ok()) {
      respond(status);
      return;
    }
    respond(Empty());
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
  RenewLeasesResponse answer;
  const bool current = leases_.Hello(renew.node, renew.process);
  const Micros now = context_->Now();
  for (const auto& [batch_job_id, item_id] : renew.leased_items) {
    PartitionReplica* replica = context_->ActiveReplica(batch_job_id);
    if (replica == nullptr) continue;  // its primary will tell
    const BatchJob* batch_job = replica->batch_jobs().Find(batch_job_id);
    const auto item = batch_job == nullptr ? std::nullopt : batch_job->FindItem(item_id);
    const bool open = item.has_value() && !batch_job->ended && !batch_job->items[*item].done;
    const bool held = open && current && leases_.Renew(renew.node, batch_job_id, *item, now);
    if (!held) answer.stop.emplace_back(batch_job_id, item_id);
  }
  ArmExpiry();
  respond(codec::Encode(answer));
}

}  // namespace pearreach::batch
