#include "tier/quota/grant_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "tier/control/member_directory.h"
#include "tier/logging/log.h"
#include "tier/quota/quota_timing.h"

namespace pearreach::quota {
namespace {

constexpr char kModule[] = "quota";
constexpr Micros kGrantTimeout = 300 * kMs;
// An allocator that has not responded by then is left aside for another one; what it grants late is
// taken all the same.
constexpr Micros kSlowResponse = 25 * kMs;
// Tenants that are idle are forgotten at most this often.
constexpr Micros kSweepPeriod = 10 * kSecond;

}  // namespace

GrantClient::GrantClient(std::unique_ptr<control::TimeSource> time, rpc::Transport* transport,
                         control::ControlClient* control, std::string zone, std::uint64_t seed)
    : time_(std::move(time)),
      transport_(transport),
      control_(control),
      zone_(std::move(zone)),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      deadline_timer_(time_.get(), [this] { OnDeadline(); }) {
  control_->OnChange(callbacks_.Bind([this] { OnControlChange(); }));
  OnControlChange();
}

GrantClient::~GrantClient() = default;

bool GrantClient::TenantState::AwaitsPromptResponse() const {
  return std::any_of(calls.begin(), calls.end(),
                     [](const auto& entry) { return !entry.second.slow; });
}

void GrantClient::OnControlChange() {
  const auto snapshot = control_->Current();
  if (snapshot->map == nullptr) return;
  const auto entry = snapshot->map->find(kShareTableKey);
  if (entry == snapshot->map->end() || entry->second.revision == shares_revision_) return;
  shares_revision_ = entry->second.revision;
  auto table = DecodeShareTable(entry->second.value);
  if (!table.ok()) {
    logging::Error(kModule, "share table is unreadable",
                   {logging::F("revision", shares_revision_),
                    logging::F("why", std::string(table.status().message()))});
  }
  shares_ = table.ok() ? *std::move(table) : ShareTable();
}

std::vector<Allocator> GrantClient::AllocatorsOf(const std::string& tenant) const {
  std::vector<Allocator> allocators;
  if (shares_.shards.empty()) return allocators;
  const auto& members = control_->members();
  for (const auto& [name, share] : shares_.shards[ShardOf(tenant)]) {
    const auto member = members.find(name);
    if (member == members.end() || !control::IsLive(member->second)) continue;
    allocators.push_back({name, member->second.info.address, member->second.info.zone});
  }
  return allocators;
}

AcquisitionId GrantClient::Acquire(const routing::Tenant& tenant, Micros deadline, Done done) {
  const Micros now = time_->Now();
  TenantState& state = tenants_[tenant.name];
  if (state.pool.TakeOne(now)) {
    ++counts_.granted;
    done({Verdict::kGranted});
    return kDecided;
  }
  const AcquisitionId id = ++last_id_;
  tenant_of_[id] = tenant.name;
  state.pool.Wait({id, deadline, std::move(done)});
  deadline_timer_.Set(deadline);
  Pursue(tenant.name, &state);
  return tenant_of_.contains(id) ? id : kDecided;
}

void GrantClient::Cancel(AcquisitionId acquisition) {
  const auto tenant = tenant_of_.find(acquisition);
  if (tenant == tenant_of_.end()) return;
  tenants_[tenant->second].pool.Withdraw(acquisition);
  tenant_of_.erase(tenant);
}

void GrantClient::Pursue(const std::string& tenant, TenantState* state) {
  if (state->pool.waiting() == 0 || state->AwaitsPromptResponse()) return;
  const Micros now = time_->Now();
  const std::vector<Allocator> allocators = AllocatorsOf(tenant);
  std::vector<Allocator> without_call;
  std::copy_if(allocators.begin(), allocators.end(), std::back_inserter(without_call),
               [&](const Allocator& one) { return !state->calls.contains(one.name); });
  const auto chosen =
      ChooseAllocator(without_call, zone_, state->empty, unresponsive_, now, &random_);
  if (chosen.has_value()) return Ask(tenant, state, *chosen);
  if (!state->calls.empty()) return;  // one that is slow may still respond in time
  Decide(state->pool.TakeAll(), DecideWithoutAllocator(allocators, state->empty, now));
}

void GrantClient::Ask(const std::string& tenant, TenantState* state, const Allocator& allocator) {
  const Micros now = time_->Now();
  const GrantRequest request{tenant, state->pool.WantedGrants(now)};
  state->calls[allocator.name] = {now};
  ++counts_.calls;
  transport_->Call(allocator.address, rpc::MessageType::kTenantGrant, codec::Encode(request),
                   kGrantTimeout,
                   callbacks_.Bind([this, tenant, name = allocator.name, wanted = request.count,
                                    now](const absl::StatusOr<std::string>& response) {
                     OnResponse(tenant, name, wanted, now, response);
                   }));
  time_->After(kSlowResponse, callbacks_.Bind([this, tenant, name = allocator.name, now] {
    OnSlow(tenant, name, now);
  }));
}

void GrantClient::OnSlow(const std::string& tenant, const std::string& allocator, Micros sent_at) {
  const auto state = tenants_.find(tenant);
  if (state == tenants_.end()) return;
  const auto call = state->second.calls.find(allocator);
  const bool is_pending = call != state->second.calls.end() && call->second.sent_at == sent_at;
  if (!is_pending) return;
  call->second.slow = true;
  Pursue(tenant, &state->second);
}

void GrantClient::OnResponse(const std::string& tenant, const std::string& allocator,
                             std::uint32_t wanted, Micros sent_at,
                             const absl::StatusOr<std::string>& response) {
  const Micros now = time_->Now();
  TenantState& state = tenants_[tenant];
  state.calls.erase(allocator);
  const auto grant = response.ok() ? codec::Decode<GrantResponse>(*response) : response.status();
  if (grant.ok()) {
    unresponsive_.OnResponse(allocator);
    state.pool.AddGrant(grant->granted, sent_at + kGrantLifetime);
    if (grant->granted < wanted) state.empty.OnEmpty(allocator, grant->retry_after_us, now);
  } else if (absl::IsFailedPrecondition(grant.status())) {
    // It has no share of this tenant's limit, while the share table moves: others may have one.
    state.empty.OnEmpty(allocator, 0, now);
  } else {
    ++counts_.failed_calls;
    unresponsive_.OnFailure(allocator, now);
  }
  Decide(state.pool.TakeCovered(now), {Verdict::kGranted});
  Pursue(tenant, &state);
}

void GrantClient::Decide(const std::vector<GrantPool::Waiting>& waiting, const Decision& decision) {
  const std::size_t count = waiting.size();
  switch (decision.verdict) {
    case Verdict::kGranted:
      counts_.granted += count;
      break;
    case Verdict::kOverLimit:
      counts_.over_limit += count;
      break;
    case Verdict::kUnavailable:
      counts_.unavailable += count;
      break;
  }
  for (const GrantPool::Waiting& one : waiting) tenant_of_.erase(one.id);
  for (const GrantPool::Waiting& one : waiting) one.done(decision);
}

void GrantClient::OnDeadline() {
  const Micros now = time_->Now();
  Micros earliest = control::kNoTick;
  for (auto& [name, state] : tenants_) {
    Decide(state.pool.TakeExpired(now), {});
    earliest = std::min(earliest, state.pool.NextDeadline().value_or(control::kNoTick));
  }
  ForgetIdleTenants(now);
  deadline_timer_.Set(earliest);
}

void GrantClient::ForgetIdleTenants(Micros now) {
  if (now - swept_at_ < kSweepPeriod) return;
  swept_at_ = now;
  std::erase_if(tenants_, [now](const auto& entry) {
    return entry.second.calls.empty() && entry.second.pool.IsIdle(now);
  });
}

}  // namespace pearreach::quota
