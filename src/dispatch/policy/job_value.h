// Estimates for a job: its work, its latest start in time, its value per slot, and the price of a
// pool's slots after a valuable job has missed its target there.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_JOB_VALUE_H_
#define PEARREACH_SRC_DISPATCH_POLICY_JOB_VALUE_H_

#include <algorithm>

#include "dispatch/policy/bookkeeping.h"

namespace pearreach::dispatch {

// An estimate causes no refusal before this time in the queue.
constexpr Micros kMinQueueTime = 50 * kMs;
// The price decays over the time of this many arrivals at this node, within the two bounds: a node
// with few jobs rarely observes that slots are short.
constexpr double kPriceFadeJobs = 40;
constexpr Micros kPriceFadeMin = 2000 * kMs;
constexpr Micros kPriceFadeMax = 16'000 * kMs;
constexpr double kPriceShare = 0.4;  // jobs of less value than this share of the price are not sent
constexpr Micros kServiceMemory = 8000 * kMs;  // time constant of the served shares of the classes
constexpr double kFullWeightGap = 0.1;  // a class this far below the average gets the full weight

class JobValue : public Bookkeeping {
 protected:
  // Expected work, in microseconds on a standard core.
  double Work(const Request& r) const {
    return r.hint ? static_cast<double>(std::max<Micros>(*r.hint, kMs)) : classes_[r.cls].work;
  }

  // The time by which an answer earns the full value.
  Micros LatencyTargetAt(const Request& r) const {
    const ClassSettings& c = s_.classes[r.cls];
    return std::min(r.due, r.arrived + c.latency_target +
                               static_cast<Micros>(c.latency_target_stretch * Work(r)));
  }

  // The latest start that can meet the latency target on a worker slower than standard by the
  // factor `slowdown`.
  Micros LatestStart(const Request& r, double slowdown) const {
    return std::max(LatencyTargetAt(r) - static_cast<Micros>(Work(r) * slowdown),
                    r.arrived + kMinQueueTime);
  }
  Micros LatestStart(const Request& r) const {
    return LatestStart(r, FastestSlowdown(s_.classes[r.cls].kind));
  }

  // Whether the job can no longer be in time and a late answer has no value.
  bool CannotEarnValue(const Request& r) const {
    return s_.classes[r.cls].late_value <= 0 && now_ > LatestStart(r);
  }

  // Value gained per slot-second spent on this request.
  double Value(const Request& r) const {
    const ClassSettings& c = s_.classes[r.cls];
    double v = c.value * classes_[r.cls].weight;
    if (!s_.value_by_work) v /= Work(r) * r.slots;
    if (r.over_quota) v *= s_.over_quota_value;
    if (r.late) v *= c.late_value;
    return v;
  }

  bool MayRunOn(const Request& r, const Pool& p) const {
    const int kind = s_.classes[r.cls].kind;
    return kind < 0 || &p - pools_.data() == kind;
  }

  // Called when a job has missed its target for lack of a slot. For a while the slots of its pools
  // are not given to jobs of much less value, which would still occupy them when the next valuable
  // job arrives.
  void RaisePrice(const Request& r) {
    for (Pool& p : pools_)
      if (MayRunOn(r, p)) p.price.RaiseTo(Value(r), now_, PriceFadeTime());
  }

  bool BelowPrice(const Request& r, const Pool& p) const {
    return Value(r) < kPriceShare * p.price.ValueAt(now_, PriceFadeTime());
  }

  // Counts an ended request in the service level of its class.
  void CountService(const Request& r, bool in_time) {
    const double value = s_.classes[r.cls].value * (s_.value_by_work ? Work(r) : 1.0);
    classes_[r.cls].offered_value.Add(value, now_, kServiceMemory);
    if (in_time) classes_[r.cls].in_time_value.Add(value, now_, kServiceMemory);
  }

  // Applies the worst-class part of the objective as an extra weight of the worst-served class. The
  // rarer the class, the more one unit of its value moves that part.
  void UpdateClassWeights() {
    double offered = 0, in_time = 0, least_share = 2, worst_offered = 0;
    ClassState* worst = nullptr;
    for (ClassState& c : classes_) {
      c.weight = 1;
      const double class_offered = c.offered_value.ValueAt(now_, kServiceMemory),
                   class_in_time = c.in_time_value.ValueAt(now_, kServiceMemory);
      offered += class_offered;
      in_time += class_in_time;
      if (class_offered <= 0 || class_in_time / class_offered >= least_share) continue;
      worst = &c;
      least_share = class_in_time / class_offered;
      worst_offered = class_offered;
    }
    if (worst == nullptr || s_.objective_total <= 0) return;
    const double gap = std::clamp((in_time / offered - least_share) / kFullWeightGap, 0.0, 1.0);
    worst->weight += gap * s_.objective_worst_class / s_.objective_total * offered / worst_offered;
  }

 private:
  Micros PriceFadeTime() const {
    return std::clamp(static_cast<Micros>(kPriceFadeJobs * arrival_interval_.mean), kPriceFadeMin,
                      kPriceFadeMax);
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_JOB_VALUE_H_
