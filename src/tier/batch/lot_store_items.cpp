#include "tier/batch/lot_store_items.h"

#include <algorithm>
#include <utility>

#include "tier/batch/lot_age.h"
#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr std::int64_t kLongestWaitMs = 30'000;
// Edge nodes renew about every second: those that run an item for an earlier primary have told so.
constexpr Micros kHoldBack = 1500 * kMs;
constexpr Micros kTakerSpan = 3 * kSecond;  // a node that asked counts as a taker this long

std::string Empty() { return {}; }

}  // namespace

LotItems::LotItems(StoreContext* context, LotListener changed, LotListener counted)
    : context_(context),
      changed_(std::move(changed)),
      counted_(std::move(counted)),
      leases_((context->Random() >> 1) | 1) {}

// ---------------------------------------------------------------- lots

void LotItems::AddLot(const std::string& lot_id, const Lot& lot, Micros held_until) {
  if (!lot.Open()) return;
  std::vector<std::uint32_t> open;
  for (std::uint32_t i = 0; i < lot.items.size(); ++i) {
    if (!lot.items[i].done) open.push_back(i);
  }
  const std::int64_t due =
      lot.header.created_wall_ms + static_cast<std::int64_t>(lot.header.due_ms);
  leases_.AddLot(lot_id, lot.header.route, due, lot.items.size(), open, held_until);
}

void LotItems::OnAccepted(const std::string& lot_id) {
  PartitionReplica* replica = context_->ActiveReplica(lot_id);
  const Lot* lot = replica == nullptr ? nullptr : replica->lots().Find(lot_id);
  if (lot == nullptr) return;
  AddLot(lot_id, *lot, 0);
  ServeParked();
}

void LotItems::OnEnded(const std::string& lot_id) { leases_.DropLot(lot_id); }

void LotItems::OnActive(std::uint32_t partition) {
  const Micros held_until = context_->Now() + kHoldBack;
  for (const auto& [lot_id, lot] : context_->Replica(partition).lots().lots()) {
    AddLot(lot_id, lot, held_until);
  }
  ArmExpiry();
}

void LotItems::OnInactive(std::uint32_t partition) {
  for (const auto& [lot_id, lot] : context_->Replica(partition).lots().lots()) {
    leases_.DropLot(lot_id);
  }
}

void LotItems::DropNodes(const std::function<bool(const std::string& node)>& is_gone) {
  for (const std::string& node : leases_.HoldingNodes()) {
    if (is_gone(node)) leases_.DropNode(node);
  }
  ServeParked();
}

// ---------------------------------------------------------------- taking

void LotItems::NoteTaker(const std::string& node) {
  const Micros now = context_->Now();
  takers_[node] = now;
  std::erase_if(takers_, [&](const auto& entry) { return now - entry.second > kTakerSpan; });
}

// Room by route, no more than the node's part of what waits.
std::map<std::string, int> LotItems::Shares(const std::map<std::string, int>& room) const {
  std::map<std::string, int> shares;
  const std::size_t takers = std::max({std::size_t{1}, takers_.size(), parked_.size()});
  for (const auto& [route, places] : room) {
    const std::size_t waiting = leases_.Waiting(route);
    if (waiting == 0) continue;
    const auto share = static_cast<int>((waiting + takers - 1) / takers);
    shares[route] = std::min(places, share);
  }
  return shares;
}

void LotItems::OnTake(TakeItems take, rpc::Respond respond) {
  if (!leases_.Hello(take.node, take.process)) {
    respond(codec::Encode(TakeItemsAnswer{}));
    return;
  }
  NoteTaker(take.node);
  Unpark(take.node);
  TakeItemsAnswer answer = Give(take);
  if (answer.items.empty() && take.wait_ms > 0) {
    Park(std::move(take), std::move(respond));
    return;
  }
  respond(codec::Encode(answer));
}

TakeItemsAnswer LotItems::Give(const TakeItems& take) {
  TakeItemsAnswer answer;
  const std::map<std::string, int> shares = Shares(take.room);
  if (shares.empty()) return answer;
  for (const TakenItem& taken : leases_.Take(take.node, shares, kMostTaken, context_->Now())) {
    LeasedItem item;
    if (Describe(taken, &item)) answer.items.push_back(std::move(item));
  }
  ArmExpiry();
  return answer;
}

bool LotItems::Describe(const TakenItem& taken, LeasedItem* item) {
  const std::uint32_t partition = PartitionOf(taken.lot_id);
  const Lot* lot = context_->Replica(partition).lots().Find(taken.lot_id);
  if (lot == nullptr) return false;
  const auto record =
      context_->Disk().Get(RecordKey(partition, taken.lot_id, RecordKind::kItem, taken.item));
  auto spec =
      record.ok() ? codec::Decode<ItemSpec>(*record) : absl::StatusOr<ItemSpec>(record.status());
  if (!spec.ok()) {
    logging::Error("batch", "an item cannot be read", {logging::F("lot", taken.lot_id)});
    return false;
  }
  const LotHeader& header = lot->header;
  item->lot_id = taken.lot_id;
  item->route = header.route;
  item->host = header.host;
  item->lease = taken.lease;
  item->expires_ms = kLeaseSpan / kMs;
  item->failures = static_cast<std::uint32_t>(lot->items[taken.item].failed_leases.size());
  item->tries = header.tries;
  item->retain_left_ms = RunLeftMs(*lot, context_->Now());
  item->item = *std::move(spec);
  return true;
}

void LotItems::Park(TakeItems take, rpc::Respond respond) {
  const std::uint64_t id = ++last_parked_;
  const Micros wait = std::min(take.wait_ms, kLongestWaitMs) * kMs;
  parked_.push_back({std::move(take), std::move(respond), 0, id});
  parked_.back().timer = context_->After(wait, [this, id] { OnWaited(id); });
}

// A node asks by one call at a time: an earlier one of it is over.
void LotItems::Unpark(const std::string& node) {
  for (auto at = parked_.begin(); at != parked_.end(); ++at) {
    if (at->take.node != node) continue;
    Parked parked = std::move(*at);
    parked_.erase(at);
    context_->Cancel(&parked.timer);
    parked.respond(codec::Encode(TakeItemsAnswer{}));
    return;
  }
}

void LotItems::OnWaited(std::uint64_t id) {
  for (auto at = parked_.begin(); at != parked_.end(); ++at) {
    if (at->id != id) continue;
    const Parked parked = std::move(*at);
    parked_.erase(at);
    takers_[parked.take.node] = context_->Now();
    parked.respond(codec::Encode(TakeItemsAnswer{}));
    return;
  }
}

void LotItems::ServeParked() {
  for (auto at = parked_.begin(); at != parked_.end() && leases_.AnyWaiting();) {
    takers_[at->take.node] = context_->Now();
    TakeItemsAnswer answer = Give(at->take);
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

void LotItems::ArmExpiry() {
  const Micros next = leases_.NextExpiry();
  if (next == 0 || (expiry_timer_ != 0 && expiry_at_ <= next)) return;
  context_->Cancel(&expiry_timer_);
  expiry_at_ = next;
  const Micros delay = std::max<Micros>(0, next - context_->Now()) + kMs;
  expiry_timer_ = context_->After(delay, [this] { OnExpiry(); });
}

void LotItems::OnExpiry() {
  expiry_timer_ = 0;
  leases_.Expire(context_->Now());
  ServeParked();
  ArmExpiry();
}

// ---------------------------------------------------------------- results

void LotItems::OnResult(ItemResult result, rpc::Respond respond) {
  PartitionReplica* replica = context_->ActiveReplica(result.lot_id);
  if (replica == nullptr) {
    respond(NotPrimary());
    return;
  }
  const Lot* lot = replica->lots().Find(result.lot_id);
  const auto item = lot == nullptr ? std::nullopt : lot->FindItem(result.item_id);
  const bool wanted = item.has_value() && !lot->ended && !lot->items[*item].done;
  if (!wanted) {
    respond(Empty());
    return;
  }
  switch (result.outcome) {
    case RunOutcome::kComplete:
    case RunOutcome::kImpossible:
      Append(replica, *lot, result, *item, respond);
      return;
    case RunOutcome::kFailed:
      CountFailure(replica, *lot, result, *item, respond);
      return;
    case RunOutcome::kReturned:
      leases_.Return(result.lot_id, *item, result.lease);
      respond(Empty());
      ServeParked();
      return;
  }
  respond(absl::InvalidArgumentError("no such outcome"));
}

void LotItems::Append(PartitionReplica* replica, const Lot& lot, const ItemResult& result,
                      std::uint32_t item, const rpc::Respond& respond) {
  const bool complete = result.outcome == RunOutcome::kComplete;
  ResultRecord record;
  record.item = item;
  record.phase = complete ? ItemPhase::kComplete : ItemPhase::kAbandoned;
  if (complete) record.content = result.content;
  leases_.Finish(result.lot_id, item);
  Submit(replica, MakeResult(result.lot_id, lot.results, record), respond);
}

// A failure is counted once for each lease: the edge node may tell it several times.
void LotItems::CountFailure(PartitionReplica* replica, const Lot& lot, const ItemResult& result,
                            std::uint32_t item, const rpc::Respond& respond) {
  const auto& counted = lot.items[item].failed_leases;
  if (std::find(counted.begin(), counted.end(), result.lease) != counted.end()) {
    respond(Empty());
    return;
  }
  Operation operation{result.lot_id, false, {}};
  AddFailure(lot, item, result.lease, &operation);
  const bool last = static_cast<int>(counted.size()) + 1 >= lot.header.tries;
  if (last) {
    AddResult(lot.results, {item, ItemPhase::kAbandoned, {}}, &operation);
    leases_.Finish(result.lot_id, item);
  }
  Submit(replica, std::move(operation), respond);
  if (last) return;
  leases_.Return(result.lot_id, item, result.lease);
  ServeParked();
}

void LotItems::Submit(PartitionReplica* replica, Operation operation, const rpc::Respond& respond) {
  const std::string lot_id = operation.lot_id;
  replica->Submit(std::move(operation), [this, lot_id, respond](const absl::Status& status) {
    if (!status.ok()) {
      respond(status);
      return;
    }
    respond(Empty());
    changed_(lot_id);
  });
  counted_(lot_id);
  const Lot* lot = replica->lots().Find(lot_id);
  if (lot != nullptr && lot->AllDone()) leases_.DropLot(lot_id);
}

void LotItems::Abandon(PartitionReplica* replica, const std::string& lot_id) {
  const Lot* lot = replica->lots().Find(lot_id);
  if (lot == nullptr || !lot->Open()) return;
  Operation operation{lot_id, false, {}};
  std::uint32_t position = lot->results;
  for (std::uint32_t i = 0; i < lot->items.size(); ++i) {
    if (!lot->items[i].done) AddResult(position++, {i, ItemPhase::kAbandoned, {}}, &operation);
  }
  leases_.DropLot(lot_id);
  Submit(replica, std::move(operation), [](const absl::StatusOr<std::string>&) {});
}

// ---------------------------------------------------------------- renewal

void LotItems::OnRenew(const RenewLeases& renew, const rpc::Respond& respond) {
  RenewLeasesAnswer answer;
  const bool current = leases_.Hello(renew.node, renew.process);
  const Micros now = context_->Now();
  for (const auto& [lot_id, item_id] : renew.held) {
    PartitionReplica* replica = context_->ActiveReplica(lot_id);
    if (replica == nullptr) continue;  // its primary will tell
    const Lot* lot = replica->lots().Find(lot_id);
    const auto item = lot == nullptr ? std::nullopt : lot->FindItem(item_id);
    const bool open = item.has_value() && !lot->ended && !lot->items[*item].done;
    const bool held = open && current && leases_.Renew(renew.node, lot_id, *item, now);
    if (!held) answer.stop.emplace_back(lot_id, item_id);
  }
  ArmExpiry();
  respond(codec::Encode(answer));
}

}  // namespace pearreach::batch
