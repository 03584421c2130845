#include "node/shared_state/counts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pearreach::shared_state {
namespace {

constexpr double kDemandMemory = 1e6;  // microseconds over which tries fade
constexpr double kBunch = 4;           // uses that a node may always count at once
constexpr double kAhead = 2;           // a ceiling is so many times what is tried

double Seconds(Micros span) { return static_cast<double>(std::max<Micros>(0, span)) / 1e6; }

}  // namespace

// The merge: the latest of all, and the earliest of each slot. Both are the same whatever the order
// or number of words.
bool UsageCounters::Series::Add(const Sample& s, Micros slot) {
  bool fresh = false;
  if (s.at > latest.at) {
    latest = s;
    fresh = true;
  }
  const auto of = [&](const Sample& a) { return a.at / slot; };
  const auto at = std::lower_bound(firsts.begin(), firsts.end(), s,
                                   [&](const Sample& a, const Sample& b) { return of(a) < of(b); });
  if (at == firsts.end() || of(*at) != of(s))
    firsts.insert(at, s);
  else if (s.at < at->at)
    *at = s;
  else
    return fresh;
  // Two more than a window has: one lies before it, and one has just begun.
  if (firsts.size() > kSlots + 2) firsts.erase(firsts.begin());
  return true;
}

UsageCounters::UsageCounters(UsageOptions options, std::uint64_t process, Micros now)
    : options_(std::move(options)), process_(process), own_(options_.quotas.size()) {
  others_.resize(static_cast<std::size_t>(options_.nodes) * own_.size());
  for (int k = 0; k < accounts(); ++k) {
    Own& o = own_[static_cast<std::size_t>(k)];
    o.rate = min_ceiling(k);
    o.tokens = Cap(o.rate);
    o.at = o.demand_at = now;
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
// A few at once whatever the ceiling: jobs come in bunches where a node sees one a second.
double UsageCounters::Cap(double ceiling) const {
  return std::max(kBunch, options_.burst * ceiling);
}

double UsageCounters::Target(Micros now, const Own& own, int account) const {
  const double demand =
      own.demand * std::exp(-static_cast<double>(now - own.demand_at) / kDemandMemory);
  return std::clamp(kAhead * demand, min_ceiling(account), max_ceiling(account));
}

double UsageCounters::ceiling(Micros now, int account) const {
  const Own& o = own_[static_cast<std::size_t>(account)];
  double least = Target(now, o, account);
  for (const Said& s : o.said)
    if (s.at > now - options_.lease) least = std::min(least, s.ceiling);
  return least;
}

// What has passed is filled by the ceiling that was in force before: a rise never counts backwards.
void UsageCounters::Settle(Micros now, int account) {
  Own& o = own_[static_cast<std::size_t>(account)];
  o.tokens = std::min(Cap(o.rate), o.tokens + o.rate * Seconds(now - o.at));
  o.at = std::max(o.at, now);
  while (!o.said.empty() && o.said.front().at <= now - options_.lease) o.said.pop_front();
  o.rate = ceiling(now, account);
  o.tokens = std::min(Cap(o.rate), o.tokens);
}

bool UsageCounters::TryCount(Micros now, int account, Micros* wait) {
  if (account < 0 || account >= accounts()) return true;
  Own& o = own_[static_cast<std::size_t>(account)];
  o.demand = o.demand * std::exp(-static_cast<double>(now - o.demand_at) / kDemandMemory) +
             1e6 / kDemandMemory;
  o.demand_at = now;
  Settle(now, account);
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
  Own& o = own_[static_cast<std::size_t>(account)];
  Settle(now, account);
  const double target = Target(now, o, account);
  o.series.Add({now, o.value, o.rate}, slot());
  o.said.push_back({now, target});
  o.rate = std::min(o.rate, target);
  o.tokens = std::min(o.tokens, Cap(o.rate));
  return {options_.self, account, process_, now, o.value, target};
}

bool UsageCounters::Merge(Micros now, const UsageUpdate& w) {
  if (w.node < 0 || w.node >= options_.nodes || w.node == options_.self || w.account < 0 ||
      w.account >= accounts() || w.process == 0 || w.at > now + options_.skew ||
      !(w.ceiling >= 0 && w.ceiling <= 1e12))
    return false;
  Other& o = At(w.node, w.account);
  if (w.process > o.now.process) o.before = std::exchange(o.now, Series{.process = w.process});
  // Words of a process in between are its use, not its successor's.
  if (w.process < o.now.process && w.process > o.before.process)
    o.before = Series{.process = w.process};
  Series* to = w.process == o.now.process      ? &o.now
               : w.process == o.before.process ? &o.before
                                               : nullptr;
  return to != nullptr && to->Add({w.at, w.value, w.ceiling}, slot());
}

std::optional<UsageUpdate> UsageCounters::latest(int node, int account) const {
  const Series& s = At(node, account).now;
  if (s.process == 0) return std::nullopt;
  return UsageUpdate{node, account, s.process, s.latest.at, s.latest.value, s.latest.ceiling};
}

// A process's use between the window's begin and `until`, its end at the latest. `after`: what it
// may have counted a second once its ceiling's lease was over.
void UsageCounters::AddSeries(Micros now, const Series& s, Micros until, double after,
                              UsageEstimate* to) const {
  const Micros from = now - options_.window;
  const Micros began = static_cast<Micros>(s.process) * 1000;
  if (until <= from) return;
  const double value = static_cast<double>(s.latest.value);
  const double age = Seconds(until - s.latest.at + options_.skew);
  const double leased = std::min(age, Seconds(options_.lease));
  const double grown =
      Cap(std::max(s.latest.ceiling, 1.0)) + s.latest.ceiling * leased + after * (age - leased);
  // The value at the window's begin lies between that of the last sample before and the first
  // after.
  double before = s.latest.at <= from - options_.skew ? value : 0;
  double by = began >= from + options_.skew ? 0 : value;
  for (const Sample& f : s.firsts) {
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
  const double most = max_ceiling(account), gap_burst = 2 * Cap(most);
  for (int n = 0; n < options_.nodes; ++n) {
    if (n == options_.self) continue;
    const Other& o = At(n, account);
    if (o.now.process == 0) {
      ++r.unknown_nodes;
      r.upper += most * Seconds(options_.window) + gap_burst;
      continue;
    }
    AddSeries(now, o.now, now, most, &r);
    r.oldest_age = std::max(r.oldest_age, now - o.now.latest.at);
    // What processes before it may have counted that nobody heard of.
    const Micros began = static_cast<Micros>(o.now.process) * 1000 + options_.skew;
    if (began <= from) continue;
    if (o.before.process == 0) {
      r.upper += most * Seconds(began - from) + gap_burst;
      continue;
    }
    UsageEstimate old;
    AddSeries(now, o.before, o.before.latest.at, 0, &old);
    r.lower += old.lower;
    r.upper += old.upper + most * Seconds(began - std::max(from, o.before.latest.at)) + gap_burst;
    r.estimate += old.estimate;
  }
  // Its own is known to the last one, but for what lies in the slot in which the window begins.
  const Own& o = own_[static_cast<std::size_t>(account)];
  double before = o.series.latest.at <= from ? static_cast<double>(o.series.latest.value) : 0;
  double by = static_cast<double>(o.value);
  for (const Sample& f : o.series.firsts) {
    if (f.at <= from) before = std::max(before, static_cast<double>(f.value));
    if (f.at > from) by = std::min(by, static_cast<double>(f.value));
  }
  const double value = static_cast<double>(o.value);
  r.lower += value - by;
  r.upper += value - before;
  r.estimate += value - (before + by) / 2;
  // This node's process before this one, if it had one.
  const Micros began = static_cast<Micros>(process_) * 1000 + options_.skew;
  if (began > from) r.upper += most * Seconds(began - from) + gap_burst;
  r.estimate = std::clamp(r.estimate, r.lower, r.upper);
  return r;
}

std::size_t UsageCounters::bytes() const {
  std::size_t sum =
      own_.size() * (sizeof(Own) + (kSlots + 2) * sizeof(Sample)) + others_.size() * sizeof(Other);
  for (const Other& o : others_)
    sum += (o.now.firsts.capacity() + o.before.firsts.capacity()) * sizeof(Sample);
  return sum;
}

}  // namespace pearreach::shared_state
