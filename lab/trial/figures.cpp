#include "lab/trial/figures.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "lab/stats/stats.h"
#include "lab/trial/checkers.h"
#include "lab/trial/zone_checkers.h"

namespace pearreach::lab {
namespace {

constexpr Micros kAfterDeath = 60'000'000;

struct Deaths {
  std::vector<double> first, all;
  int unnoticed = 0;
};

void Note(Deaths* d, Micros died, std::vector<Micros> knew, std::size_t of) {
  if (knew.size() < of) {
    ++d->unnoticed;
    if (knew.empty()) return;
  }
  std::sort(knew.begin(), knew.end());
  d->first.push_back(static_cast<double>(knew.front() - died) / 1e6);
  if (knew.size() >= of) d->all.push_back(static_cast<double>(knew.back() - died) / 1e6);
}

// The program's machine.
void MeasureMembers(const FiguresOptions& o, WayFigures* w, Deaths* deaths) {
  double hours = 0, seconds = 0;
  for (int i = 0; i < o.deaths; ++i) {
    VirtualOptions v;
    v.plan.nodes = o.nodes;
    v.plan.zones = 1;
    v.plan.seed = o.seed + static_cast<std::uint64_t>(i);
    v.plan.period = o.period;
    v.plan.length = o.calm + kAfterDeath;
    v.members.lifeguard = o.way == "lifeguard";
    v.lost = o.lost;
    v.views = false;
    v.extra = 1;
    const int dies = static_cast<int>(v.plan.seed % static_cast<std::uint64_t>(o.nodes));
    Fault f;
    f.what = Fault::What::kKill;
    f.from = "n" + std::to_string(dies);
    f.at = o.calm;
    f.length = kAfterDeath;
    v.plan.faults = {f};
    const VirtualResult r = RunVirtual(v);
    seconds += static_cast<double>(r.length) / 1e6 * o.nodes;
    hours += static_cast<double>(r.length) / 3600e6 * o.nodes;
    w->words += static_cast<double>(r.words);
    w->bytes += static_cast<double>(r.bytes);
    w->suspicions += static_cast<double>(r.false_suspicions);
    w->unreachable += static_cast<double>(r.false_unreachable);
    // The last word of each about it by the end.
    std::map<std::string, Micros> knew;
    for (const Moment& m : r.history)
      if (m.what == "member" && m.at >= o.calm && m.Of("peer") == std::to_string(dies) &&
          m.at < o.calm + kAfterDeath) {
        if (m.Of("status") == "unreachable")
          knew.emplace(m.who, m.at);
        else if (m.Of("status") == "alive")
          knew.erase(m.who);
      }
    std::vector<Micros> at;
    for (const auto& [who, when] : knew) at.push_back(when);
    Note(deaths, o.calm, std::move(at), static_cast<std::size_t>(o.nodes) - 1);
  }
  w->words /= seconds;
  w->bytes /= seconds;
  w->suspicions /= hours;
  w->unreachable /= hours;
}

// Heartbeats from all to all, each judged by its receiver alone: after five that did not come, or
// by phi: how unlikely so long a silence is, by the intervals seen (Hayashibara and others 2004).
void MeasureHeartbeats(const FiguresOptions& o, WayFigures* w, Deaths* deaths) {
  constexpr double kBytes = 22 + 6, kMissed = 5, kPhi = 8;
  const auto n = static_cast<std::size_t>(o.nodes);
  const double period = static_cast<double>(o.period);
  double hours = 0;
  for (int i = 0; i < o.deaths; ++i) {
    Chance chance(SeedOf(o.seed + static_cast<std::uint64_t>(i), 40, 0));
    const std::size_t dies = i % n;
    std::vector<Micros> knew;
    for (std::size_t to = 0; to < n; ++to)
      for (std::size_t from = 0; from < n; ++from) {
        if (from == to) continue;
        const double phase = chance.Uniform() * period;
        const bool dead = from == dies;
        const double until = static_cast<double>(o.calm);
        double last = phase, mean = period, square = period * period / 16;
        const auto patience = [&] {
          if (o.way == "heartbeat") return kMissed * period;
          // P(later) = 10^-phi of a normal with the mean and deviation seen, a tenth of the mean
          // at least; the quantile by its tail's asymptote.
          const double deviation = std::max(std::sqrt(square), mean / 10);
          return mean + deviation * std::sqrt(2 * std::log(std::pow(10, kPhi) / 4));
        };
        for (double at = phase; at < until; at += period) {
          if (chance.Uniform() < o.lost) continue;
          const double came = at + 500 + chance.Uniform() * 17'500, gap = came - last;
          if (gap > patience()) {
            w->suspicions += 1;
            w->unreachable += 1;
          }
          mean += 0.01 * (gap - mean);
          square += 0.01 * ((gap - mean) * (gap - mean) - square);
          last = came;
        }
        if (dead && to != dies) knew.push_back(static_cast<Micros>(last + patience()));
      }
    hours += static_cast<double>(o.calm) / 3600e6 * o.nodes;
    for (Micros& at : knew) at = std::max(at, o.calm);
    Note(deaths, o.calm, std::move(knew), n - 1);
  }
  w->words = static_cast<double>(n - 1) * 1e6 / period;
  w->bytes = w->words * kBytes;
  w->suspicions /= hours;
  w->unreachable /= hours;
}

double MeanOrNought(const std::vector<double>& v) { return v.empty() ? 0 : MeanOf(v).mean; }
double Most(const std::vector<double>& v) {
  return v.empty() ? 0 : *std::max_element(v.begin(), v.end());
}

}  // namespace

WayFigures Measure(const FiguresOptions& o) {
  WayFigures w;
  w.way = o.way;
  w.nodes = o.nodes;
  w.lost = o.lost;
  w.deaths = o.deaths;
  Deaths deaths;
  if (o.way == "lifeguard" || o.way == "swim")
    MeasureMembers(o, &w, &deaths);
  else
    MeasureHeartbeats(o, &w, &deaths);
  w.unnoticed = deaths.unnoticed;
  w.first_mean = MeanOrNought(deaths.first);
  w.first_most = Most(deaths.first);
  w.all_mean = MeanOrNought(deaths.all);
  w.all_most = Most(deaths.all);
  return w;
}

SharedFigures Measure(const SharedCase& c) {
  SharedLoad load;
  load.options.quotas = {70, 40, 20};
  load.asked = {60, 30, 10};
  load.flood_from = 4'000'000;
  load.flood_until = 14'000'000;
  if (!c.lends) load.options.floor = 1;
  if (!c.judges) load.options.health.min_reporters = 1'000'000;
  load.sends = std::min(4.0, 400.0 / c.nodes);
  VirtualOptions o;
  o.plan.nodes = c.nodes;
  o.plan.zones = 3;
  o.plan.workers = 12;
  o.plan.length = 20'000'000;
  o.plan.seed = c.seed;
  Fault silence;
  silence.what = Fault::What::kSilence;
  silence.at = 5'000'000;
  silence.length = 8'000'000;
  silence.from = "s-1";
  o.plan.faults.push_back(silence);
  if (c.cut_off) {
    Fault cut;
    cut.at = 6'000'000;
    cut.length = 10'000'000;
    cut.from = "z1";
    o.plan.faults.push_back(cut);
  }
  o.lost = c.lost;
  o.extra = 5'000'000;
  o.views = false;
  o.shared = &load;
  const VirtualResult r = RunVirtual(o);
  SharedFigures f;
  const double seconds = static_cast<double>(r.length) / 1e6;
  const double node_seconds = seconds * c.nodes;
  f.words = static_cast<double>(r.shared_words) / node_seconds;
  f.bytes = static_cast<double>(r.shared_bytes) / node_seconds;
  f.width = r.width / static_cast<double>(std::max<std::uint64_t>(1, r.settled));
  f.off = r.off / static_cast<double>(std::max<std::uint64_t>(1, r.settled));
  // The shares allow the flood 70 a second while it lasts, and all else that was asked.
  const double flood = 10;
  const double allowed = 70 * flood + 60 * (seconds - flood) + 40 * seconds;
  f.in_share = static_cast<double>(r.in_share) / allowed;
  f.over_ceiling =
      static_cast<double>(r.over_ceiling) / static_cast<double>(std::max<std::uint64_t>(1, r.jobs));
  f.sends_lost = static_cast<double>(r.sends_lost) / c.nodes;
  f.most_parts = r.most_parts;
  for (const Violation& v : CheckAll(r.history))
    if (v.rule == "budget-sum" || v.rule == "count-bound" || v.rule == "hearsay") {
      if (f.violations++ == 0) f.first = v.rule + ": " + v.what;
    }
  return f;
}

ZoneFigures Measure(const ZoneCase& c) {
  constexpr Micros kLost = 5'000'000, kFor = 10'000'000;
  SharedLoad load;
  load.options.quotas = {70};
  load.asked = {30};
  load.sends = std::min(4.0, 400.0 / c.nodes);
  ZoneLoad zones;
  VirtualOptions o;
  o.plan.nodes = c.nodes;
  o.plan.zones = 3;
  o.plan.workers = c.workers;
  o.plan.length = 30'000'000;
  o.plan.seed = c.seed;
  Fault fault;
  fault.what = c.fails ? Fault::What::kDie : Fault::What::kSilence;
  fault.at = kLost;
  fault.length = kFor;
  fault.from = "z1";
  if (c.fails) o.plan.faults.push_back(fault);
  for (int w = 0; !c.fails && w < c.workers / 5; ++w) {
    fault.from = "s-" + std::to_string(w);
    o.plan.faults.push_back(fault);
  }
  o.lost = c.lost;
  o.extra = ZonesWholeWithin() + 1'000'000;
  o.views = false;
  o.shared = &load;
  o.zones = c.fleet ? &zones : nullptr;
  const VirtualResult r = RunVirtual(o);
  ZoneFigures f;
  const auto seconds = [](Micros at, Micros from) { return static_cast<double>(at - from) / 1e6; };
  const std::vector<Micros> left = LeftAt(r.history, "z1", kLost);
  f.left = static_cast<int>(left.size());
  if (!left.empty()) {
    f.first = seconds(left.front(), kLost);
    f.last = seconds(left.back(), kLost);
  }
  Micros whole = 0;
  std::map<std::string, bool> out;
  for (const Moment& m : r.history)
    if (m.what == "zone") {
      out[m.who] = m.Number("step") != 0;
      whole = m.at;
    }
  const bool all = std::none_of(out.begin(), out.end(), [](const auto& n) { return n.second; });
  if (all && whole > kLost + kFor) f.whole = seconds(whole, kLost + kFor);
  f.sends_lost = static_cast<double>(r.sends_lost) / c.nodes;
  f.most_cold = r.most_cold;
  f.bytes = static_cast<double>(r.zone_bytes) / c.nodes / seconds(r.length, 0);
  for (const Violation& v : CheckAll(r.history)) f.violations += v.rule.starts_with("zones-");
  return f;
}

}  // namespace pearreach::lab
