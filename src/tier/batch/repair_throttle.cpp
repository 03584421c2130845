#include "tier/batch/repair_throttle.h"

#include <algorithm>
#include <utility>

#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

constexpr int kMaxInFlight = 4;
constexpr double kBytesPerMbit = 125'000;
constexpr double kUnknownLinkMbps = 100;
constexpr double kMinLinkFraction = 0.25, kMaxLinkFraction = 0.75;
constexpr Micros kLogPeriod = 1 * kSecond;

}  // namespace

double RepairRate(double link_mbps, std::uint64_t used_bytes, double sync_s) {
  const double link = (link_mbps > 0 ? link_mbps : kUnknownLinkMbps) * kBytesPerMbit;
  const double needed = static_cast<double>(used_bytes) / (std::max(sync_s, 1.0) / 2);
  return std::clamp(needed, link * kMinLinkFraction, link * kMaxLinkFraction);
}

void RepairThrottle::Schedule(bool urgent, Send send) {
  (urgent ? urgent_ : waiting_).push_back(std::move(send));
  ScheduleRun(0);
}

RepairThrottle::Slot RepairThrottle::NewSlot() {
  ++in_flight_;
  return Slot(nullptr, [this, alive = std::weak_ptr<bool>(alive_)](void*) {
    if (alive.expired()) return;
    --in_flight_;
    if (!waiting_.empty()) ScheduleRun(0);
  });
}

void RepairThrottle::ScheduleRun(Micros delay) {
  const Micros at = environment_.now() + delay;
  if (run_at_ != 0 && run_at_ <= at) return;
  run_at_ = at;
  environment_.after(delay, [this, at] {
    if (run_at_ != at) return;  // an earlier one was set
    run_at_ = 0;
    RunNext();
  });
}

void RepairThrottle::RunNext() {
  const Micros now = environment_.now();
  const bool is_free = now >= free_at_ && in_flight_ < kMaxInFlight;
  if (urgent_.empty() && (waiting_.empty() || !is_free)) {
    if (!waiting_.empty() && now < free_at_) ScheduleRun(free_at_ - now);
    return;
  }
  std::deque<Send>& queue = urgent_.empty() ? waiting_ : urgent_;
  const Send send = std::move(queue.front());
  queue.pop_front();
  const std::size_t bytes = send(NewSlot());
  const double time_s = static_cast<double>(bytes) / rate_;
  free_at_ = std::max(free_at_, now) + static_cast<Micros>(time_s * static_cast<double>(kSecond));
  LogSent(now, bytes);
  if (!urgent_.empty() || !waiting_.empty()) ScheduleRun(0);
}

void RepairThrottle::LogSent(Micros now, std::size_t bytes) {
  sent_ += bytes;
  if (sent_ == 0 || (logged_at_ != 0 && now - logged_at_ < kLogPeriod)) return;
  logging::Info("batch", "repair sent batch jobs",
                {logging::F("bytes", sent_), logging::F("partitions_waiting", waiting_.size())});
  logged_at_ = now;
  sent_ = 0;
}

}  // namespace pearreach::batch
