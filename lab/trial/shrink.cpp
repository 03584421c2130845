#include "lab/trial/shrink.h"

#include <algorithm>

namespace pearreach::lab {

TrialPlan Shrink(TrialPlan plan, const std::function<bool(const TrialPlan&)>& fails, int most) {
  constexpr Micros kLeast = 100'000;
  const auto smaller = [&](const TrialPlan& candidate) {
    if (most-- <= 0 || !fails(candidate)) return false;
    plan = candidate;
    return true;
  };
  // Parts of all sizes, the large ones first (Zeller's delta debugging).
  for (std::size_t part = plan.faults.size(); part >= 1; part /= 2)
    for (std::size_t at = 0; at < plan.faults.size() && most > 0;) {
      TrialPlan candidate = plan;
      const auto from = candidate.faults.begin() + static_cast<std::ptrdiff_t>(at);
      candidate.faults.erase(
          from, from + static_cast<std::ptrdiff_t>(std::min(part, candidate.faults.size() - at)));
      if (!smaller(candidate)) at += part;
    }
  for (std::size_t i = 0; i < plan.faults.size(); ++i)
    while (plan.faults[i].length >= 2 * kLeast && most > 0) {
      TrialPlan candidate = plan;
      candidate.faults[i].length /= 2;
      if (!smaller(candidate)) break;
    }
  // No load is needed beyond the last fault.
  Micros end = 1'000'000;
  for (const Fault& f : plan.faults) end = std::max(end, f.at + f.length);
  if (TrialPlan candidate = plan; end < plan.length) {
    candidate.length = end;
    smaller(candidate);
  }
  return plan;
}

}  // namespace pearreach::lab
