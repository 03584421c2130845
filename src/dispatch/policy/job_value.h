// What a job is: its work, the last moment at which a start is still in time, what a slot is worth
// to it, and the price of a pool's slots after a worthy job has missed its time there.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_JOB_VALUE_H_
#define PEARREACH_SRC_DISPATCH_POLICY_JOB_VALUE_H_

#include <algorithm>

#include "dispatch/policy/bookkeeping.h"

namespace pearreach::dispatch {

constexpr Micros kFirstTry = 50 * kMs;  // estimates refuse nothing sooner than this
constexpr double kPriceJobs = 40;  // the price fades over so many arrivals at this node, within
constexpr Micros kPriceFirst = 2000 * kMs;   // these bounds: a node of few jobs is told seldom that
constexpr Micros kPriceLast = 16'000 * kMs;  // slots are short
constexpr double kPriceShare = 0.4;          // jobs worth less than this share of it are not sent
constexpr Micros kServiceMemory = 8000 * kMs;  // served shares of classes fade over this
constexpr double kWorstGap = 0.1;  // a class this far behind gets the full worst-class weight

class JobValue : public Bookkeeping {
 protected:
  double Work(const Request& r) const {
    return r.hint ? static_cast<double>(std::max<Micros>(*r.hint, kMs)) : classes_[r.cls].work;
  }

  Micros AimAt(const Request& r) const {
    const ClassSettings& c = s_.classes[r.cls];
    return std::min(r.due, r.arrived + c.latency_target +
                               static_cast<Micros>(c.latency_target_stretch * Work(r)));
  }

  // After this a start can no longer end in time, at a worker so much slower than standard.
  Micros LatestStart(const Request& r, double slowdown) const {
    return std::max(AimAt(r) - static_cast<Micros>(Work(r) * slowdown), r.arrived + kFirstTry);
  }
  Micros LatestStart(const Request& r) const {
    return LatestStart(r, FastestSlowdown(s_.classes[r.cls].kind));
  }

  bool Hopeless(const Request& r) const {
    return s_.classes[r.cls].late_value <= 0 && now_ > LatestStart(r);
  }

  // Worth gained by a slot-second spent on this request.
  double Value(const Request& r) const {
    const ClassSettings& c = s_.classes[r.cls];
    double v = c.value * classes_[r.cls].weight;
    if (!s_.value_by_work) v /= Work(r) * r.slots;
    if (r.over_share) v *= s_.over_quota_value;
    if (r.late) v *= c.late_value;
    return v;
  }

  bool MayRunOn(const Request& r, const Pool& p) const {
    const int kind = s_.classes[r.cls].kind;
    return kind < 0 || &p - pools_.data() == kind;
  }

  // A job has missed its time for want of a slot: for a while its pools' slots are not spent on
  // jobs worth a small part of it, which would hold them long after the next worthy one has come.
  void SetPrice(const Request& r) {
    for (Pool& p : pools_)
      if (MayRunOn(r, p)) p.price.Raise(Value(r), now_, PriceFade());
  }

  bool TooDear(const Request& r, const Pool& p) const {
    return Value(r) < kPriceShare * p.price.Now(now_, PriceFade());
  }

  // Counts an ended request for the service of its class.
  void CountService(const Request& r, bool in_time) {
    const double worth = s_.classes[r.cls].value * (s_.value_by_work ? Work(r) : 1.0);
    classes_[r.cls].asked.Add(worth, now_, kServiceMemory);
    if (in_time) classes_[r.cls].good.Add(worth, now_, kServiceMemory);
  }

  // The goal's worst-class part as a lift of the class that is served worst: a unit of its worth
  // moves that part by more the rarer the class is.
  void WeighClasses() {
    double asked = 0, good = 0, least = 2, worst_asked = 0;
    ClassState* worst = nullptr;
    for (ClassState& c : classes_) {
      c.weight = 1;
      const double a = c.asked.Now(now_, kServiceMemory), g = c.good.Now(now_, kServiceMemory);
      asked += a;
      good += g;
      if (a <= 0 || g / a >= least) continue;
      worst = &c;
      least = g / a;
      worst_asked = a;
    }
    if (worst == nullptr || s_.objective_total <= 0) return;
    const double gap = std::clamp((good / asked - least) / kWorstGap, 0.0, 1.0);
    worst->weight += gap * s_.objective_worst_class / s_.objective_total * asked / worst_asked;
  }

 private:
  Micros PriceFade() const {
    return std::clamp(static_cast<Micros>(kPriceJobs * gap_.mean), kPriceFirst, kPriceLast);
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_JOB_VALUE_H_
