#include "tier/batch/placement_duty.h"

#include <algorithm>
#include <utility>

#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

// How often the stores are looked at: while something is under way, in calm, and without the duty.
constexpr Micros kBusyPeriod = 200 * kMs;
constexpr Micros kCalmPeriod = 500 * kMs;
constexpr Micros kOffDutyPeriod = 1 * kSecond;
// The first table waits until no further store has shown up for this long.
constexpr Micros kSettleTime = 1 * kSecond;
// A store that went away has this long to come back before another takes its place.
constexpr Micros kReturnTime = 3 * kSecond;
// A store of the table that a new holder of the duty has not heard of is gone after this.
constexpr Micros kUnknownTime = 10 * kSecond;
constexpr Micros kChangeTimeout = 2 * kSecond;
// A store that has not answered somebody for a quarter of a second and the duty for this time more
// has been silent for over half a second: longer than any way takes that is not in trouble.
constexpr Micros kPingTime = 350 * kMs;
constexpr char kDutyName[] = "placement";

}  // namespace

PlacementDuty::PlacementDuty(Timers* timers, rpc::Mesh* mesh, control::ControlClient* control,
                             std::string self, PlacementSpread spread, Micros silent_after,
                             bool asks_silent)
    : timers_(timers),
      mesh_(mesh),
      control_(control),
      duty_(control, kDutyName, std::move(self), [this] { LookLater(0); }),
      spread_(std::move(spread)),
      asks_silent_(asks_silent),
      presence_(silent_after) {
  mesh->Handle(rpc::MessageType::kStoreStatus,
               [this, alive = alive_](const std::string&, std::string_view body,
                                      const rpc::Respond& respond) {
                 if (*alive) OnStatus(body, respond);
               });
  control->OnChange([this, alive = alive_] {
    if (*alive) Look();
  });
  LookLater(0);
}

PlacementDuty::~PlacementDuty() {
  *alive_ = false;
  timers_->Cancel(&timer_);
}

void PlacementDuty::LookLater(Micros delay) {
  timers_->Cancel(&timer_);
  timer_ = timers_->After(delay, [this] {
    timer_ = 0;
    Look();
  });
}

void PlacementDuty::OnStatus(std::string_view body, const rpc::Respond& respond) {
  auto status = codec::Decode<StoreStatus>(body);
  if (!status.ok()) {
    respond(status.status());
    return;
  }
  if (!duty_.Update(Now())) {
    respond(absl::FailedPreconditionError("this node does not place partitions"));
    return;
  }
  for (const auto& [partition, epoch] : status->filled) {
    filled_.insert({status->store, partition, epoch});
  }
  respond(std::string());
  for (const StoreId& store : status->silent) AskSilent(store);
  if (!status->filled.empty()) Look();
}

// A report is no more than a hint: its sender may be the one that is cut off.
void PlacementDuty::AskSilent(const StoreId& store) {
  const auto member = control_->members().find(store.name);
  const bool known = asks_silent_ && member != control_->members().end() &&
                     member->second.info.disk_id == store.disk_id && !asking_.contains(store);
  if (!known) return;
  asking_.insert(store);
  mesh_->Call(member->second.info.address, rpc::MessageType::kStorePing, {}, kPingTime,
              [this, alive = alive_, store](const absl::StatusOr<std::string>& answer) {
                if (!*alive) return;
                asking_.erase(store);
                if (answer.ok())
                  presence_.MarkHeard(Now(), store);
                else if (on_duty_)
                  presence_.MarkSilent(Now(), store);
                LookLater(0);
              });
}

void PlacementDuty::BeginDuty(Micros now) {
  on_duty_ = true;
  duty_since_ = now;
  presence_.Reset(now);
}

void PlacementDuty::EndDuty() {
  on_duty_ = false;
  filled_.clear();
  table_.reset();
  revision_ = 0;
}

// False: there is a table that cannot be read, nothing may be done.
bool PlacementDuty::LoadTable() {
  const auto snapshot = control_->Current();
  if (snapshot->stores.empty()) {
    table_.reset();
    revision_ = snapshot->stores_revision;
    return true;
  }
  if (table_ != nullptr && revision_ == snapshot->stores_revision) return true;
  auto table = codec::Decode<PlacementTable>(snapshot->stores);
  if (!table.ok() || table->partitions.size() != kPartitions) {
    logging::Error("batch", "placement table does not read",
                   {logging::F("revision", snapshot->stores_revision)});
    return false;
  }
  table_ = std::make_unique<PlacementTable>(*std::move(table));
  revision_ = snapshot->stores_revision;
  ForgetOldReports();
  return true;
}

void PlacementDuty::ForgetOldReports() {
  std::erase_if(filled_, [this](const FilledReport& report) {
    if (report.partition >= table_->partitions.size()) return true;
    return report.epoch < table_->partitions[report.partition].epoch;
  });
}

PlacementInput PlacementDuty::Gather(Micros now) {
  PlacementInput input;
  input.stores = presence_.Look(now, control_->members());
  input.spread = spread_;
  input.filled = filled_;
  if (table_ != nullptr && now - duty_since_ >= kUnknownTime) {
    for (const Partition& partition : table_->partitions) {
      for (const StoreId& store : partition.replicas)
        presence_.AddUnheard(now, store, &input.stores);
    }
  }
  input.allow_first = now - presence_.changed() >= kSettleTime;
  input.allow_joining = !presence_.AwaitsReturn(now, kReturnTime);
  return input;
}

void PlacementDuty::Look() {
  const Micros now = Now();
  if (!duty_.Update(now)) {
    if (on_duty_) EndDuty();
    LookLater(control_->IsDutyHolder() ? kBusyPeriod : kOffDutyPeriod);
    return;
  }
  if (!on_duty_) BeginDuty(now);
  if (proposing_ || !LoadTable()) {
    LookLater(kBusyPeriod);
    return;
  }
  for (const auto& [store, since] : presence_.silent()) AskSilent(store);
  const PlacementInput input = Gather(now);
  auto next = NextPlacement(table_.get(), input);
  if (next.has_value()) Propose(*std::move(next), revision_);
  const bool calm = !proposing_ && table_ != nullptr && IsSettled(*table_, spread_.replicas);
  const bool calm_stores = presence_.silent().empty();
  Micros next_look = calm && calm_stores ? kCalmPeriod : kBusyPeriod;
  if (const Micros silence = presence_.NextSilence(); silence > now)
    next_look = std::min(next_look, silence - now);
  LookLater(next_look);
}

void PlacementDuty::Propose(PlacementTable table, std::uint64_t revision) {
  proposing_ = true;
  logging::Info("batch", "placement proposed",
                {logging::F("epoch", table.epoch), logging::F("revision", revision)});
  control_->Change({control::kStoresKey, revision, codec::Encode(table), duty_.fence()},
                   kChangeTimeout, [this, alive = alive_](const control::ChangeOutcome&) {
                     if (!*alive) return;
                     proposing_ = false;
                     LookLater(0);
                   });
}

}  // namespace pearreach::batch
