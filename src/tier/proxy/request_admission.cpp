#include "tier/proxy/request_admission.h"

#include <algorithm>
#include <utility>

#include "tier/proxy/active_request.h"

namespace pearreach::proxy {
namespace {

constexpr Micros kBulkCheckPeriod = 25 * kMs;  // between two looks for capacity for an item
constexpr Micros kBulkQueueTime = 400 * kMs;   // an item goes back then: another node may have room
// A request that has not been offered to a worker by this fraction of its latency target is better
// refused: its client may go elsewhere. While the limit still grows from its start, the wait for it
// is short, and it pays to hold on longer.
constexpr double kQueueTargetFraction = 0.25;
constexpr double kGrowingQueueTargetFraction = 0.5;
constexpr Micros kQueueMargin = 5 * kMs;
constexpr Micros kMinQueueTime = 20 * kMs;
constexpr Micros kRetryQueueTime = kSecond;  // one that may have run can't be refused: it may wait

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
      started_(Now()) {}

RequestAdmission::Verdict RequestAdmission::Admit(bool was_sent) {
  if (!spec_->bulk || in_gate_) return Verdict::kAdmitted;
  if (!was_sent && !HasBulkCapacity()) {
    if (Now() >= started_ + kBulkQueueTime) return Verdict::kNoCapacity;
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
  in_gate_ = pool_->bulk_gate.Enter(request_, [this] {
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
      pool_->dispatcher.limit_grows() ? kGrowingQueueTargetFraction : kQueueTargetFraction;
  const auto target = static_cast<Micros>(fraction * spec_->target_ms * static_cast<double>(kMs));
  const Micros hold = std::max(target - kQueueMargin, kMinQueueTime);
  // After a start of all nodes no other one knows more workers than this one: waiting serves the
  // client better than a refusal, which would be its last.
  const Micros learned = host_->WarmUpDeadline(now);
  return std::min(spec_->deadline, std::max({started_ + hold, now + kMinQueueTime, learned}));
}

}  // namespace pearreach::proxy
