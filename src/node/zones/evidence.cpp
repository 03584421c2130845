// Evidence about zones: this node's own reports, and the evaluation of all reports of a target.
#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "node/zones/zones.h"

namespace pearreach::zones {
namespace {

constexpr int kMinJobs = 8;  // needed to evaluate a zone's failure rate and running times

std::uint8_t ToByte(double share) {
  return static_cast<std::uint8_t>(std::lround(std::clamp(share, 0.0, 1.0) * 255));
}

}  // namespace

// Updates this node's own reports. If a zone's failure rate or running times are far above those of
// the other zones, all of its tried weight counts as bad.
void ZoneFailover::UpdateReports(Micros now, bool alone) {
  std::vector<ZoneWeights> sums = WeightsByZone(now);
  int others = 0, others_bad = 0;
  for (std::size_t z = 0; z < sums.size(); ++z) {
    ZoneWeights& s = sums[z];
    if (s.tried <= 0) continue;
    if (IsFailing(z) && s.bad < s.tried) {
      s.bad = s.tried;
      s.causes[Cause::kFailing] += s.tried;
    }
    if (IsSlow(z)) {
      s.bad = s.tried;
      s.causes[Cause::kSlow] += s.tried;
    }
    if (static_cast<int>(z) == options_.zone) continue;
    ++others;
    others_bad += s.bad >= options_.bad_fraction * s.tried ? 1 : 0;
  }
  // If all other zones fail at once and none of their nodes is alive, this node itself is isolated
  // from them.
  isolated_ = alone && others >= 2 && others_bad == others;
  for (std::size_t z = 0; z < sums.size(); ++z) WriteReport(now, z, sums[z]);
}

// A worker counts as tried if a job was sent to it within the lifetime of evidence.
std::vector<ZoneFailover::ZoneWeights> ZoneFailover::WeightsByZone(Micros now) const {
  std::vector<ZoneWeights> sums(observations_.size());
  for (const auto& [key, w] : workers_) {
    if (!w.in_service) continue;
    ZoneWeights& s = sums[static_cast<std::size_t>(w.zone)];
    s.total += w.weight;
    if (w.last_sent_at == 0 || now - w.last_sent_at > options_.evidence_ttl) continue;
    s.tried += w.weight;
    // A cause observed before a pause may be over: only the jobs since then count.
    if (w.cause == Cause::kNone || w.cause_at < w.active_since) continue;
    s.bad += w.weight;
    s.causes[w.cause] += w.weight;
  }
  return sums;
}

// Compares with the other zones: a failure of all zones is not a fault of one of them.
bool ZoneFailover::IsFailing(std::size_t zone) const {
  double failures = 0;
  int zones = 0;
  for (std::size_t other = 0; other < observations_.size(); ++other) {
    if (other == zone || observations_[other].jobs < kMinJobs) continue;
    failures += observations_[other].failure_rate;
    ++zones;
  }
  const ZoneObservations& mine = observations_[zone];
  return zones > 0 && mine.jobs >= kMinJobs && mine.failure_rate > options_.failure_threshold &&
         mine.failure_rate > 2 * failures / zones;
}

// Whether jobs of any class take much longer than in the other zones.
bool ZoneFailover::IsSlow(std::size_t zone) const {
  for (const auto& [cls, run] : observations_[zone].run_times) {
    double usual = 0;
    int compared = 0;
    for (std::size_t other = 0; other < observations_.size(); ++other) {
      if (other == zone) continue;
      const auto it = observations_[other].run_times.find(cls);
      if (it == observations_[other].run_times.end() || it->second.jobs < kMinJobs) continue;
      usual += it->second.mean;
      ++compared;
    }
    if (compared > 0 && run.jobs >= kMinJobs &&
        run.mean >= options_.slowness_factor * usual / compared)
      return true;
  }
  return false;
}

void ZoneFailover::WriteReport(Micros now, std::size_t zone, const ZoneWeights& sum) {
  Report r;
  r.target = KeyOf(targets_[zone].name);
  r.reporter = options_.self;
  r.reporter_zone = options_.zone;
  r.reporter_process = process_;
  r.reported_at = now / 1000 * 1000;
  r.overloaded = overloaded_;
  const bool quiet =
      isolated_ && !disabled_.isolation_check && static_cast<int>(zone) != options_.zone;
  if (sum.total > 0 && !quiet) {
    r.tried = ToByte(sum.tried / sum.total);
    r.bad = std::min(r.tried, ToByte(sum.bad / sum.total));
    double most = 0;
    for (const auto& [cause, weight] : sum.causes)
      if (weight >= most) most = weight, r.cause = cause;
  }
  r.decision_number = observations_[zone].decision_number;
  r.succeeded = observations_[zone].succeeded;
  r.failed = observations_[zone].failed;
  if (r.tried == 0 && r.succeeded == 0 && r.failed == 0) {
    reports_.erase({r.target, options_.self});
    return;
  }
  r.sequence = ++last_sequence_;
  reports_[{r.target, options_.self}] = {r, 0};
}

bool ZoneFailover::IsHealthy(int zone) const {
  const auto it =
      reports_.find({KeyOf(targets_[static_cast<std::size_t>(zone)].name), options_.self});
  return it != reports_.end() && it->second.report.tried > 0 &&
         it->second.report.bad < options_.bad_fraction * it->second.report.tried;
}

bool ZoneFailover::IsBad(int zone) const {
  const auto it =
      reports_.find({KeyOf(targets_[static_cast<std::size_t>(zone)].name), options_.self});
  return it != reports_.end() && it->second.report.tried > 0 && !IsHealthy(zone);
}

// Combines the reports about a target by the reporters' zones. A zone reports the target as bad if
// the majority of its nodes that tried it do, and at least two of them if it has two.
ZoneFailover::Evidence ZoneFailover::CollectEvidence(Micros now, const Target& target) const {
  Evidence e;
  std::map<int, int> nodes;  // by zone
  for (const auto& [node, zone] : peer_zones_) ++nodes[zone];
  ++nodes[options_.zone];
  for (std::size_t i = 0; i < target.zones.size(); ++i) {
    const std::set<int> here = ZonesReportingBad(now, target, target.zones[i], &nodes, &e);
    if (i == 0) {
      e.bad_for = here;
      continue;
    }
    std::set<int> both;
    std::set_intersection(e.bad_for.begin(), e.bad_for.end(), here.begin(), here.end(),
                          std::inserter(both, both.begin()));
    e.bad_for = std::move(both);
  }
  std::sort(e.bad_reporters.begin(), e.bad_reporters.end());
  e.bad_reporters.erase(std::unique(e.bad_reporters.begin(), e.bad_reporters.end()),
                        e.bad_reporters.end());
  return e;
}

// The zones whose nodes report `zone`, one of the target's, as bad. Adds the reports to `e`.
std::set<int> ZoneFailover::ZonesReportingBad(Micros now, const Target& target, int zone,
                                              std::map<int, int>* nodes, Evidence* e) const {
  struct Votes {
    int reporters = 0, bad = 0;
  };
  std::map<int, Votes> votes;
  double tried = 0, bad = 0;
  const TargetKey key = KeyOf(targets_[static_cast<std::size_t>(zone)].name);
  for (auto it = reports_.lower_bound({key, 0}); it != reports_.end() && it->first.first == key;
       ++it) {
    const Report& r = it->second.report;
    if (r.tried == 0 || r.reported_at < now - options_.evidence_ttl) continue;
    tried += r.tried;
    bad += r.bad;
    ++e->reporters;
    e->outside += Contains(target, r.reporter_zone) ? 0 : 1;
    e->overloaded += r.overloaded ? 1 : 0;
    Votes& v = votes[r.reporter_zone];
    ++v.reporters;
    if (r.bad < options_.bad_fraction * r.tried) continue;
    ++v.bad;
    e->bad_reporters.push_back(r.reporter);
    e->cause = std::max(e->cause, r.cause);
  }
  const bool enough = tried >= options_.min_coverage * 255 && bad >= options_.bad_fraction * tried;
  std::set<int> here;
  for (const auto& [viewer, v] : votes) {
    const bool reports_bad = v.bad * 2 > v.reporters && v.bad >= std::min(2, (*nodes)[viewer]);
    if (reports_bad && enough)
      here.insert(viewer);
    else if (!reports_bad && v.bad * 2 <= v.reporters && !Contains(target, viewer))
      e->healthy_for.insert(viewer);  // nodes inside may be cut off with it
  }
  return here;
}

bool ZoneFailover::OnlyInsideReports(const Target& target, const Evidence& e) const {
  return e.outside == 0 && !e.bad_for.empty() &&
         std::all_of(e.bad_for.begin(), e.bad_for.end(),
                     [&](int z) { return Contains(target, z); });
}

// Results of the jobs sent to the target since the decision.
ZoneFailover::ProbeResults ZoneFailover::ProbeResultsOf(const Target& target,
                                                        const Decision& v) const {
  ProbeResults all;
  for (const int zone : target.zones) {
    const TargetKey key = KeyOf(targets_[static_cast<std::size_t>(zone)].name);
    for (auto it = reports_.lower_bound({key, 0}); it != reports_.end() && it->first.first == key;
         ++it) {
      const Report& r = it->second.report;
      if (r.decision_number != v.number || (v.for_zone >= 0 && r.reporter_zone != v.for_zone))
        continue;
      all.succeeded += r.succeeded;
      all.failed += r.failed;
    }
  }
  return all;
}

double ZoneFailover::WeightOf(int zone) const {
  double sum = 0;
  for (const auto& [key, w] : workers_)
    if (w.in_service && w.zone == zone) sum += w.weight;
  return sum;
}

// A zone's weight without the fraction of the tried weight that all reports call bad.
double ZoneFailover::HealthyWeightOf(Micros now, int zone) const {
  double tried = 0, bad = 0;
  const TargetKey key = KeyOf(targets_[static_cast<std::size_t>(zone)].name);
  for (auto it = reports_.lower_bound({key, 0}); it != reports_.end() && it->first.first == key;
       ++it) {
    const Report& r = it->second.report;
    if (r.reported_at < now - options_.evidence_ttl) continue;
    tried += r.tried;
    bad += r.bad;
  }
  return WeightOf(zone) * (tried > 0 ? 1 - bad / tried : 1);
}

bool ZoneFailover::IsEjected(int zone, int for_zone) const {
  for (const auto& [key, v] : decisions_) {
    if (v.step == kInUse || (v.for_zone >= 0 && v.for_zone != for_zone)) continue;
    const Target* t = FindTarget(v.target);
    if (t != nullptr && Contains(*t, zone)) return true;
  }
  for (const auto& [key, o] : orders_) {
    const Target* t = FindTarget(key);
    if (o.action == Order::Action::kLeave && t != nullptr && Contains(*t, zone)) return true;
  }
  return false;
}

// Whether the other zones can carry the load. An ejection needs at least one other zone that is in
// use and healthy. If the target still has more than negligible capacity, enough healthy weight
// must remain outside, and most reporters must not be overloaded.
bool ZoneFailover::MayEject(Micros now, const Target& target, int for_zone, const Evidence& e) {
  if (disabled_.capacity_check) return true;
  double all = 0, rest = 0, weight = 0, remaining = 0;
  bool one_healthy = false;
  for (std::size_t z = 0; z < observations_.size(); ++z) {
    const int zone = static_cast<int>(z);
    const double total = WeightOf(zone), healthy = HealthyWeightOf(now, zone);
    all += total;
    if (Contains(target, zone)) {
      weight += total;
      // Failing and slow zones still serve a part of their jobs.
      remaining += e.cause >= Cause::kSilent ? healthy : std::max(healthy, total / 3);
    } else if (!IsEjected(zone, for_zone)) {
      rest += healthy;
      one_healthy = one_healthy || (total > 0 && healthy > total * (1 - options_.bad_fraction));
    }
  }
  const bool negligible = remaining <= options_.negligible_capacity * weight || weight <= 0;
  const bool overloaded = e.reporters > 0 && 2 * e.overloaded > e.reporters;
  const bool may =
      one_healthy && (negligible || (rest >= options_.min_remaining_capacity * all && !overloaded));
  stats_.blocked_by_capacity += may ? 0 : 1;
  return may;
}

}  // namespace pearreach::zones
