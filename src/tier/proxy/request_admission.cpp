#include "tier/proxy/request_admission.h"

#include <algorithm>
#include <utility>

#include "tier/proxy/active_request.h"

namespace pearreach::proxy {
namespace {

// Period at which a waiting batch item checks for capacity.
constexpr Micros kBulkCheckPeriod = 25 * kMs;
// After this a batch item is returned, since another node may have capacity.
constexpr Micros kBulkQueueTime = 400 * kMs;
// A live request that gets no worker within this fraction of its latency target is refused, so that
// its client has time to try another node. While the concurrency limit is still growing after a
// start, capacity becomes available soon, so the request waits longer.
constexpr double kQueueTargetFraction = 0.25;
constexpr double kGrowingQueueTargetFraction = 0.5;
constexpr Micros kQueueMargin = 5 * kMs;
constexpr Micros kMinQueueTime = 20 * kMs;
// A request that may have run cannot be refused, so it waits longer.
constexpr Micros kRetryQueueTime = kSecond;

}  // namespace

RequestAdmission::RequestAdmission(std::uint64_t request, const RequestSpec* spec, Timers* timers,
                                   ServicePool* pool, ActiveRequestHost* host,
                                   std::function<void()> admitted)
    : request_(request),
      spec_(spec),
      timers_(timers),
      pool_(pool),
      host_(host),
      admitted_(std::move(admitted)),
      started_at_(Now()) {}

RequestAdmission::Verdict RequestAdmission::Admit(bool was_sent) {
  if (!spec_->bulk || in_gate_) return Verdict::kAdmitted;
  if (!was_sent && !HasBulkCapacity()) {
    if (Now() >= started_at_ + kBulkQueueTime) return Verdict::kNoCapacity;
    AwaitBulkCapacity();
    return Verdict::kWaiting;
  }
  return EnterGate() ? Verdict::kAdmitted : Verdict::kWaiting;
}

bool RequestAdmission::HasBulkCapacity() const { return host_->BulkCapacity(spec_->service) > 0; }

void RequestAdmission::AwaitBulkCapacity() {
  ++pool_->bulk_waiting;
  capacity_timer_ = timers_->After(kBulkCheckPeriod, [this] {
    capacity_timer_ = 0;
    --pool_->bulk_waiting;
    const auto admitted = admitted_;  // the request may end inside
    admitted();
  });
}

void RequestAdmission::StopAwaitingBulkCapacity() {
  if (capacity_timer_ == 0) return;
  timers_->Cancel(&capacity_timer_);
  --pool_->bulk_waiting;
}

bool RequestAdmission::EnterGate() {
  in_gate_ = pool_->bulk_gate.Acquire(request_, [this] {
    in_gate_ = true;
    const auto admitted = admitted_;  // the request may end inside
    admitted();
  });
  return in_gate_;
}

void RequestAdmission::LeaveGate() {
  if (std::exchange(in_gate_, false)) pool_->bulk_gate.Release();
}

void RequestAdmission::Withdraw() {
  StopAwaitingBulkCapacity();
  if (spec_->bulk) pool_->bulk_gate.Withdraw(request_);
  LeaveGate();
}

Micros RequestAdmission::PlacementDeadline(Micros now, bool may_have_run) const {
  if (spec_->bulk) return std::min(spec_->deadline, now + kBulkQueueTime);
  if (may_have_run) return std::min(spec_->deadline, now + kRetryQueueTime);
  const double fraction =
      pool_->dispatcher.IsLimitGrowing() ? kGrowingQueueTargetFraction : kQueueTargetFraction;
  const auto target = static_cast<Micros>(fraction * spec_->target_ms * static_cast<double>(kMs));
  const Micros queue_time = std::max(target - kQueueMargin, kMinQueueTime);
  // After a restart of all nodes no other node has discovered more workers than this one, so
  // waiting is better for the client than a refusal.
  const Micros warm_up_deadline = host_->WarmUpDeadline(now);
  return std::min(spec_->deadline,
                  std::max({started_at_ + queue_time, now + kMinQueueTime, warm_up_deadline}));
}

}  // namespace pearreach::proxy
