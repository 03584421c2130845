#include "node/shared_state/counts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pearreach::shared_state {
namespace {

constexpr double kDemandDecayMicros = 1e6;  // decay time of the demand
constexpr double kMinBurst = 4;             // uses that a node may always count at once
constexpr double kCeilingPerDemand = 2;     // ceiling relative to the demand

double Seconds(Micros span) { return static_cast<double>(std::max<Micros>(0, span)) / 1e6; }

}  // namespace

// Keeps the latest sample and the earliest of each slot. The result does not depend on the order or
// the number of updates.
bool UsageCounters::Series::Add(const Sample& s, Micros slot) {
  bool fresh = false;
  if (s.at > latest.at) {
    latest = s;
    fresh = true;
  }
  const auto of = [&](const Sample& a) { return a.at / slot; };
  const auto at = std::lower_bound(slot_samples.begin(), slot_samples.end(), s,
                                   [&](const Sample& a, const Sample& b) { return of(a) < of(b); });
  if (at == slot_samples.end() || of(*at) != of(s))
    slot_samples.insert(at, s);
  else if (s.at < at->at)
    *at = s;
  else
    return fresh;
  // Two more slots than the window: one lies before it, and one has just begun.
  if (slot_samples.size() > kSlots + 2) slot_samples.erase(slot_samples.begin());
  return true;
}

UsageCounters::UsageCounters(UsageOptions options, std::uint64_t process, Micros now)
    : options_(std::move(options)), process_(process), local_(options_.quotas.size()) {
  remote_.resize(static_cast<std::size_t>(options_.nodes) * local_.size());
  for (int k = 0; k < accounts(); ++k) {
    LocalUsage& o = local_[static_cast<std::size_t>(k)];
    o.rate = min_ceiling(k);
    o.tokens = BurstTokens(o.rate);
    o.updated_at = o.demand_at = now;
    o.series.process = process;
    o.series.Add({now, 0, o.rate}, slot());
  }
}

double UsageCounters::min_ceiling(int account) const {
  return std::max(2.0, options_.min_ceiling_factor *
                           options_.quotas[static_cast<std::size_t>(account)] /
                           std::max(1, options_.nodes));
}
double UsageCounters::max_ceiling(int account) const {
  return std::max(min_ceiling(account),
                  options_.max_ceiling_factor * options_.quotas[static_cast<std::size_t>(account)]);
}
// At least kMinBurst at any ceiling: jobs arrive in bursts even where a node sees one per second.
double UsageCounters::BurstTokens(double ceiling) const {
  return std::max(kMinBurst, options_.burst * ceiling);
}

double UsageCounters::TargetCeiling(Micros now, const LocalUsage& own, int account) const {
  const double demand =
      own.demand * std::exp(-static_cast<double>(now - own.demand_at) / kDemandDecayMicros);
  return std::clamp(kCeilingPerDemand * demand, min_ceiling(account), max_ceiling(account));
}

double UsageCounters::ceiling(Micros now, int account) const {
  const LocalUsage& o = local_[static_cast<std::size_t>(account)];
  double least = TargetCeiling(now, o, account);
  for (const SentCeiling& s : o.sent_ceilings)
    if (s.sent_at > now - options_.lease) least = std::min(least, s.ceiling);
  return least;
}

// Refills the elapsed time at the previous ceiling: a higher ceiling does not apply in retrospect.
void UsageCounters::Refill(Micros now, int account) {
  LocalUsage& o = local_[static_cast<std::size_t>(account)];
  o.tokens = std::min(BurstTokens(o.rate), o.tokens + o.rate * Seconds(now - o.updated_at));
  o.updated_at = std::max(o.updated_at, now);
  while (!o.sent_ceilings.empty() && o.sent_ceilings.front().sent_at <= now - options_.lease)
    o.sent_ceilings.pop_front();
  o.rate = ceiling(now, account);
  o.tokens = std::min(BurstTokens(o.rate), o.tokens);
}

bool UsageCounters::TryCount(Micros now, int account, Micros* wait) {
  if (account < 0 || account >= accounts()) return true;
  LocalUsage& o = local_[static_cast<std::size_t>(account)];
  o.demand = o.demand * std::exp(-static_cast<double>(now - o.demand_at) / kDemandDecayMicros) +
             1e6 / kDemandDecayMicros;
  o.demand_at = now;
  Refill(now, account);
  if (o.tokens < 1) {
    if (wait != nullptr) *wait = static_cast<Micros>((1 - o.tokens) / o.rate * 1e6) + 1;
    return false;
  }
  o.series.Add({now, o.value, o.rate}, slot());
  o.tokens -= 1;
  ++o.value;
  return true;
}

UsageUpdate UsageCounters::MakeUpdate(Micros now, int account) {
  LocalUsage& o = local_[static_cast<std::size_t>(account)];
  Refill(now, account);
  const double target = TargetCeiling(now, o, account);
  o.series.Add({now, o.value, o.rate}, slot());
  o.sent_ceilings.push_back({now, target});
  o.rate = std::min(o.rate, target);
  o.tokens = std::min(o.tokens, BurstTokens(o.rate));
  return {options_.self, account, process_, now, o.value, target};
}

bool UsageCounters::Merge(Micros now, const UsageUpdate& w) {
  if (w.node < 0 || w.node >= options_.nodes || w.node == options_.self || w.account < 0 ||
      w.account >= accounts() || w.process == 0 || w.at > now + options_.skew ||
      !(w.ceiling >= 0 && w.ceiling <= 1e12))
    return false;
  RemoteUsage& o = At(w.node, w.account);
  if (w.process > o.current.process)
    o.previous = std::exchange(o.current, Series{.process = w.process});
  // An update of a process between the two known ones must not be added to its successor's usage.
  if (w.process < o.current.process && w.process > o.previous.process)
    o.previous = Series{.process = w.process};
  Series* to = w.process == o.current.process    ? &o.current
               : w.process == o.previous.process ? &o.previous
                                                 : nullptr;
  return to != nullptr && to->Add({w.at, w.value, w.ceiling}, slot());
}

std::optional<UsageUpdate> UsageCounters::latest(int node, int account) const {
  const Series& s = At(node, account).current;
  if (s.process == 0) return std::nullopt;
  return UsageUpdate{node, account, s.process, s.latest.at, s.latest.value, s.latest.ceiling};
}

// Adds a process's usage between the start of the window and `until`, the latest time at which it
// ended. `after`: the rate that it may have reached after the lease of its last ceiling.
void UsageCounters::AddProcessUsage(Micros now, const Series& s, Micros until, double after,
                                    UsageEstimate* to) const {
  const Micros from = now - options_.window;
  const Micros began = static_cast<Micros>(s.process) * 1000;
  if (until <= from) return;
  const double value = static_cast<double>(s.latest.value);
  const double age = Seconds(until - s.latest.at + options_.skew);
  const double leased = std::min(age, Seconds(options_.lease));
  const double grown = BurstTokens(std::max(s.latest.ceiling, 1.0)) + s.latest.ceiling * leased +
                       after * (age - leased);
  // The value at the start of the window lies between that of the last sample before and that of
  // the first sample after it.
  double before = s.latest.at <= from - options_.skew ? value : 0;
  double by = began >= from + options_.skew ? 0 : value;
  for (const Sample& f : s.slot_samples) {
    if (f.at <= from - options_.skew) before = std::max(before, static_cast<double>(f.value));
    if (f.at >= from + options_.skew) by = std::min(by, static_cast<double>(f.value));
  }
  to->lower += std::max(0.0, value - by);
  to->upper += std::max(0.0, value + grown - before);
  const double span = Seconds(s.latest.at - std::max(from, began));
  const double rate = span > 0 ? std::max(0.0, value - by) / span : 0;
  to->estimate += std::max(0.0, value - by) + rate * std::min(age, Seconds(options_.window));
}

UsageEstimate UsageCounters::Estimate(Micros now, int account) const {
  UsageEstimate r;
  const Micros from = now - options_.window;
  const double most = max_ceiling(account), gap_burst = 2 * BurstTokens(most);
  for (int n = 0; n < options_.nodes; ++n) {
    if (n == options_.self) continue;
    const RemoteUsage& o = At(n, account);
    if (o.current.process == 0) {
      ++r.unknown_nodes;
      r.upper += most * Seconds(options_.window) + gap_burst;
      continue;
    }
    AddProcessUsage(now, o.current, now, most, &r);
    r.oldest_age = std::max(r.oldest_age, now - o.current.latest.at);
    // Usage of earlier processes that no update has reported.
    const Micros began = static_cast<Micros>(o.current.process) * 1000 + options_.skew;
    if (began <= from) continue;
    if (o.previous.process == 0) {
      r.upper += most * Seconds(began - from) + gap_burst;
      continue;
    }
    UsageEstimate old;
    AddProcessUsage(now, o.previous, o.previous.latest.at, 0, &old);
    r.lower += old.lower;
    r.upper += old.upper + most * Seconds(began - std::max(from, o.previous.latest.at)) + gap_burst;
    r.estimate += old.estimate;
  }
  // This node's own usage is exact, except within the slot in which the window starts.
  const LocalUsage& o = local_[static_cast<std::size_t>(account)];
  double before = o.series.latest.at <= from ? static_cast<double>(o.series.latest.value) : 0;
  double by = static_cast<double>(o.value);
  for (const Sample& f : o.series.slot_samples) {
    if (f.at <= from) before = std::max(before, static_cast<double>(f.value));
    if (f.at > from) by = std::min(by, static_cast<double>(f.value));
  }
  const double value = static_cast<double>(o.value);
  r.lower += value - by;
  r.upper += value - before;
  r.estimate += value - (before + by) / 2;
  // A possible earlier process of this node.
  const Micros began = static_cast<Micros>(process_) * 1000 + options_.skew;
  if (began > from) r.upper += most * Seconds(began - from) + gap_burst;
  r.estimate = std::clamp(r.estimate, r.lower, r.upper);
  return r;
}

std::size_t UsageCounters::bytes() const {
  std::size_t sum = local_.size() * (sizeof(LocalUsage) + (kSlots + 2) * sizeof(Sample)) +
                    remote_.size() * sizeof(RemoteUsage);
  for (const RemoteUsage& o : remote_)
    sum +=
        (o.current.slot_samples.capacity() + o.previous.slot_samples.capacity()) * sizeof(Sample);
  return sum;
}

}  // namespace pearreach::shared_state
