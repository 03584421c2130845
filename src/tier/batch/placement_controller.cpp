#include "tier/batch/placement_controller.h"

#include <algorithm>
#include <utility>

#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

// The period of Reconcile: while something is under way, when settled, and without the role.
constexpr Micros kBusyPeriod = 200 * kMs;
constexpr Micros kSettledPeriod = 500 * kMs;
constexpr Micros kStandbyPeriod = 1 * kSecond;
// The first table waits until no further store has shown up for this long.
constexpr Micros kFirstTableDelay = 1 * kSecond;
// A store that went away has this long to come back before partitions are moved for balance.
constexpr Micros kReturnTime = 3 * kSecond;
// A store of the table that a new owner of the role has not heard of is gone after this.
constexpr Micros kUnknownTime = 10 * kSecond;
constexpr Micros kChangeTimeout = 2 * kSecond;
// A store that has not answered somebody for a quarter of a second and the controller for this time
// more has been unresponsive for over half a second: longer than any path without a fault takes.
constexpr Micros kPingTime = 350 * kMs;
constexpr char kRoleName[] = "placement";

}  // namespace

PlacementController::PlacementController(Timers* timers, rpc::Transport* transport,
                                         control::ControlClient* control, std::string self,
                                         PlacementSpread spread, Micros suspect_timeout,
                                         bool pings_unresponsive)
    : timers_(timers),
      transport_(transport),
      control_(control),
      role_(control, kRoleName, std::move(self), [this] { ScheduleReconcile(0); }),
      spread_(std::move(spread)),
      pings_unresponsive_(pings_unresponsive),
      liveness_(suspect_timeout) {
  transport->Handle(rpc::MessageType::kStoreStatus,
                    [this, alive = alive_](const std::string&, std::string_view body,
                                           const rpc::Respond& respond) {
                      if (*alive) OnStatus(body, respond);
                    });
  control->OnChange([this, alive = alive_] {
    if (*alive) Reconcile();
  });
  ScheduleReconcile(0);
}

PlacementController::~PlacementController() {
  *alive_ = false;
  timers_->Cancel(&timer_);
}

void PlacementController::ScheduleReconcile(Micros delay) {
  timers_->Cancel(&timer_);
  timer_ = timers_->After(delay, [this] {
    timer_ = 0;
    Reconcile();
  });
}

void PlacementController::OnStatus(std::string_view body, const rpc::Respond& respond) {
  auto status = codec::Decode<StoreStatus>(body);
  if (!status.ok()) {
    respond(status.status());
    return;
  }
  if (!role_.Update(Now())) {
    respond(absl::FailedPreconditionError("this node does not place partitions"));
    return;
  }
  for (const auto& [partition, epoch] : status->filled) {
    filled_.insert({status->store, partition, epoch});
  }
  respond(std::string());
  for (const StoreId& store : status->unresponsive) PingUnresponsive(store);
  if (!status->filled.empty()) Reconcile();
}

// A report is no more than a hint: its sender may be the one that is cut off.
void PlacementController::PingUnresponsive(const StoreId& store) {
  const auto member = control_->members().find(store.name);
  const bool known = pings_unresponsive_ && member != control_->members().end() &&
                     member->second.info.disk_id == store.disk_id && !pinging_.contains(store);
  if (!known) return;
  pinging_.insert(store);
  transport_->Call(member->second.info.address, rpc::MessageType::kStorePing, {}, kPingTime,
                   [this, alive = alive_, store](const absl::StatusOr<std::string>& answer) {
                     if (!*alive) return;
                     pinging_.erase(store);
                     if (answer.ok())
                       liveness_.MarkResponsive(Now(), store);
                     else if (has_role_)
                       liveness_.MarkUnresponsive(Now(), store);
                     ScheduleReconcile(0);
                   });
}

void PlacementController::OnRoleAcquired(Micros now) {
  has_role_ = true;
  role_since_ = now;
  liveness_.Reset(now);
}

void PlacementController::OnRoleLost() {
  has_role_ = false;
  filled_.clear();
  table_.reset();
  revision_ = 0;
}

// False: there is a table that cannot be read, nothing may be done.
bool PlacementController::LoadTable() {
  const auto snapshot = control_->Current();
  if (snapshot->stores.empty()) {
    table_.reset();
    revision_ = snapshot->stores_revision;
    return true;
  }
  if (table_ != nullptr && revision_ == snapshot->stores_revision) return true;
  auto table = codec::Decode<PlacementTable>(snapshot->stores);
  if (!table.ok() || table->partitions.size() != kPartitions) {
    logging::Error("batch", "placement table is unreadable",
                   {logging::F("revision", snapshot->stores_revision)});
    return false;
  }
  table_ = std::make_unique<PlacementTable>(*std::move(table));
  revision_ = snapshot->stores_revision;
  DropStaleReports();
  return true;
}

void PlacementController::DropStaleReports() {
  std::erase_if(filled_, [this](const FilledReport& report) {
    if (report.partition >= table_->partitions.size()) return true;
    return report.epoch < table_->partitions[report.partition].epoch;
  });
}

PlacementInput PlacementController::MakeInput(Micros now) {
  PlacementInput input;
  input.stores = liveness_.Update(now, control_->members());
  input.spread = spread_;
  input.filled = filled_;
  if (table_ != nullptr && now - role_since_ >= kUnknownTime) {
    for (const Partition& partition : table_->partitions) {
      for (const StoreId& store : partition.replicas)
        liveness_.AddUnknown(now, store, &input.stores);
    }
  }
  input.allow_first = now - liveness_.changed() >= kFirstTableDelay;
  input.allow_moves = !liveness_.MayReturn(now, kReturnTime);
  return input;
}

void PlacementController::Reconcile() {
  const Micros now = Now();
  if (!role_.Update(now)) {
    if (has_role_) OnRoleLost();
    ScheduleReconcile(control_->IsSingletonRoleCandidate() ? kBusyPeriod : kStandbyPeriod);
    return;
  }
  if (!has_role_) OnRoleAcquired(now);
  if (proposing_ || !LoadTable()) {
    ScheduleReconcile(kBusyPeriod);
    return;
  }
  for (const auto& [store, since] : liveness_.unresponsive()) PingUnresponsive(store);
  const PlacementInput input = MakeInput(now);
  auto next = NextPlacement(table_.get(), input);
  if (next.has_value()) Propose(*next, revision_);
  const bool is_settled = !proposing_ && table_ != nullptr && IsSettled(*table_, spread_.replicas);
  const bool all_responsive = liveness_.unresponsive().empty();
  Micros next_delay = is_settled && all_responsive ? kSettledPeriod : kBusyPeriod;
  if (const Micros timeout = liveness_.NextSuspectTimeout(); timeout > now)
    next_delay = std::min(next_delay, timeout - now);
  ScheduleReconcile(next_delay);
}

void PlacementController::Propose(const PlacementTable& table, std::uint64_t revision) {
  proposing_ = true;
  logging::Info("batch", "placement proposed",
                {logging::F("epoch", table.epoch), logging::F("revision", revision)});
  control_->Change({control::kStoresKey, revision, codec::Encode(table), role_.fencing_token()},
                   kChangeTimeout, [this, alive = alive_](const control::ChangeOutcome&) {
                     if (!*alive) return;
                     proposing_ = false;
                     ScheduleReconcile(0);
                   });
}

}  // namespace pearreach::batch
