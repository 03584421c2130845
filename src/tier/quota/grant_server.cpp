#include "tier/quota/grant_server.h"

#include <utility>

#include "tier/logging/log.h"

namespace pearreach::quota {
namespace {

constexpr char kModule[] = "quota";
constexpr Micros kConfirmTimeout = kSecond;

}  // namespace

GrantServer::GrantServer(std::unique_ptr<control::TimeSource> time, rpc::Transport* transport,
                         control::ControlClient* control, const std::string& self,
                         LimitBounds bounds, std::uint64_t seed)
    : time_(std::move(time)), control_(control), self_(self), issuer_(self, bounds, seed) {
  transport->Handle(
      rpc::MessageType::kTenantGrant,
      callbacks_.Bind([this](const std::string&, std::string_view body,
                             const rpc::Respond& respond) { OnGrantRequest(body, respond); }));
  control_->OnChange(callbacks_.Bind([this] { OnControlChange(); }));
  OnControlChange();
}

GrantServer::~GrantServer() { time_->Cancel(&confirm_timer_); }

bool GrantServer::HasLease() const {
  return confirmed_at_ != 0 && time_->Now() - confirmed_at_ < kShareLease;
}

bool GrantServer::HasShare() const {
  for (const ShardShares& shard : shares_.shards) {
    if (shard.contains(self_)) return true;
  }
  return false;
}

void GrantServer::OnGrantRequest(std::string_view body, const rpc::Respond& respond) {
  const auto request = codec::Decode<GrantRequest>(body);
  if (!request.ok()) return respond(request.status());
  if (ShareOf(shares_, request->tenant, self_) <= 0)
    return respond(absl::FailedPreconditionError("no share of this tenant's limit here"));
  if (!HasLease())
    return respond(absl::UnavailableError("the share table has not been confirmed of late"));
  respond(codec::Encode(issuer_.Issue(*request, time_->Now())));
}

void GrantServer::OnControlChange() {
  const auto snapshot = control_->Current();
  if (snapshot->map == nullptr || snapshot->routes == nullptr) return;
  const auto entry = snapshot->map->find(kShareTableKey);
  if (entry == snapshot->map->end()) return;
  const bool same =
      entry->second.revision == shares_revision_ && snapshot->config_revision == config_revision_;
  if (same) return;
  if (entry->second.revision != shares_revision_) {
    auto table = DecodeShareTable(entry->second.value);
    if (!table.ok()) {
      logging::Error(kModule, "share table is unreadable",
                     {logging::F("revision", entry->second.revision),
                      logging::F("why", std::string(table.status().message()))});
      table = ShareTable();
    }
    shares_ = *std::move(table);
    shares_revision_ = entry->second.revision;
  }
  config_revision_ = snapshot->config_revision;
  issuer_.Configure(snapshot->routes, shares_, time_->Now());
  if (HasShare() && confirm_timer_ == 0 && !confirming_) Confirm();
}

void GrantServer::Confirm() {
  confirming_ = true;
  const Micros sent_at = time_->Now();
  const bool had_lease = HasLease();
  control_->LinearizableRead(
      kConfirmTimeout,
      callbacks_.Bind(
          [this, sent_at, had_lease](
              const absl::StatusOr<std::shared_ptr<const control::ControlSnapshot>>& snapshot) {
            confirming_ = false;
            if (snapshot.ok()) {
              if (!HasLease()) issuer_.EmptyBuckets(time_->Now());
              confirmed_at_ = sent_at;
              OnControlChange();
            }
            if (had_lease && !HasLease())
              logging::Warning(kModule, "share lease lost, grants stop", {});
            ScheduleConfirm();
          }));
}

void GrantServer::ScheduleConfirm() {
  if (!HasShare() || confirming_ || confirm_timer_ != 0) return;
  confirm_timer_ = time_->After(kShareConfirmPeriod, [this] {
    confirm_timer_ = 0;
    Confirm();
  });
}

}  // namespace pearreach::quota
