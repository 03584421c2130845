// Evidence of zones: this node's own reports, and what all reports together say of a target.
#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "node/zones/zones.h"

namespace pearreach::zones {
namespace {

constexpr int kMinJobs = 8;  // that a zone's share of failures and its time rest on

std::uint8_t Part(double share) {
  return static_cast<std::uint8_t>(std::lround(std::clamp(share, 0.0, 1.0) * 255));
}

}  // namespace

// This node's own reports. A zone where much fails, or all takes much longer than in the others, is
// bad in all that was tried.
void ZoneFailover::UpdateReports(Micros now, bool alone) {
  std::vector<ZoneSum> sums = SumByZone(now);
  int others = 0, others_bad = 0;
  for (std::size_t z = 0; z < sums.size(); ++z) {
    ZoneSum& s = sums[z];
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
  // All other zones bad at once and no node of them heard: this one is the one that is away.
  away_ = alone && others >= 2 && others_bad == others;
  for (std::size_t z = 0; z < sums.size(); ++z) WriteReport(now, z, sums[z]);
}

// A worker counts as tried if a job went there of late.
std::vector<ZoneFailover::ZoneSum> ZoneFailover::SumByZone(Micros now) const {
  std::vector<ZoneSum> sums(seen_.size());
  for (const auto& [key, w] : workers_) {
    if (!w.in_service) continue;
    ZoneSum& s = sums[static_cast<std::size_t>(w.zone)];
    s.all += w.weight;
    if (w.sent == 0 || now - w.sent > options_.evidence_ttl) continue;
    s.tried += w.weight;
    // What was seen before a pause may be over: it is the jobs since then that count.
    if (w.cause == Cause::kNone || w.seen < w.since) continue;
    s.bad += w.weight;
    s.causes[w.cause] += w.weight;
  }
  return sums;
}

// Against the others: a failure of all zones is no zone's.
bool ZoneFailover::IsFailing(std::size_t zone) const {
  double failures = 0;
  int zones = 0;
  for (std::size_t other = 0; other < seen_.size(); ++other) {
    if (other == zone || seen_[other].jobs < kMinJobs) continue;
    failures += seen_[other].failures;
    ++zones;
  }
  const ZoneSeen& mine = seen_[zone];
  return zones > 0 && mine.jobs >= kMinJobs && mine.failures > options_.failure_threshold &&
         mine.failures > 2 * failures / zones;
}

// Jobs of some class take much longer there than in the other zones.
bool ZoneFailover::IsSlow(std::size_t zone) const {
  for (const auto& [cls, run] : seen_[zone].runs) {
    double usual = 0;
    int of = 0;
    for (std::size_t other = 0; other < seen_.size(); ++other) {
      if (other == zone) continue;
      const auto it = seen_[other].runs.find(cls);
      if (it == seen_[other].runs.end() || it->second.jobs < kMinJobs) continue;
      usual += it->second.mean;
      ++of;
    }
    if (of > 0 && run.jobs >= kMinJobs && run.mean >= options_.slowness_factor * usual / of)
      return true;
  }
  return false;
}

void ZoneFailover::WriteReport(Micros now, std::size_t zone, const ZoneSum& sum) {
  Report r;
  r.target = KeyOf(targets_[zone].name);
  r.reporter = options_.self;
  r.reporter_zone = options_.zone;
  r.reporter_process = process_;
  r.reported_at = now / 1000 * 1000;
  r.overloaded = pressed_;
  const bool quiet = away_ && !without_.isolation_check && static_cast<int>(zone) != options_.zone;
  if (sum.all > 0 && !quiet) {
    r.tried = Part(sum.tried / sum.all);
    r.bad = std::min(r.tried, Part(sum.bad / sum.all));
    double most = 0;
    for (const auto& [cause, weight] : sum.causes)
      if (weight >= most) most = weight, r.cause = cause;
  }
  r.decision_number = seen_[zone].about;
  r.succeeded = seen_[zone].good;
  r.failed = seen_[zone].failed;
  if (r.tried == 0 && r.succeeded == 0 && r.failed == 0) {
    reports_.erase({r.target, options_.self});
    return;
  }
  r.sequence = ++number_;
  reports_[{r.target, options_.self}] = {r, 0};
}

bool ZoneFailover::IsWell(int zone) const {
  const auto it =
      reports_.find({KeyOf(targets_[static_cast<std::size_t>(zone)].name), options_.self});
  return it != reports_.end() && it->second.report.tried > 0 &&
         it->second.report.bad < options_.bad_fraction * it->second.report.tried;
}

bool ZoneFailover::IsBad(int zone) const {
  const auto it =
      reports_.find({KeyOf(targets_[static_cast<std::size_t>(zone)].name), options_.self});
  return it != reports_.end() && it->second.report.tried > 0 && !IsWell(zone);
}

// What is known of a target by zones of nodes: each decides by most of its nodes that have tried,
// of two at least where it has two.
ZoneFailover::Evidence ZoneFailover::EvidenceOf(Micros now, const Target& target) const {
  Evidence e;
  std::map<int, int> nodes;  // by zone
  for (const auto& [node, zone] : zone_of_) ++nodes[zone];
  ++nodes[options_.zone];
  for (std::size_t i = 0; i < target.zones.size(); ++i) {
    const std::set<int> here = ZonesAgainst(now, target, target.zones[i], &nodes, &e);
    if (i == 0) {
      e.bad = here;
      continue;
    }
    std::set<int> both;
    std::set_intersection(e.bad.begin(), e.bad.end(), here.begin(), here.end(),
                          std::inserter(both, both.begin()));
    e.bad = std::move(both);
  }
  std::sort(e.witnesses.begin(), e.witnesses.end());
  e.witnesses.erase(std::unique(e.witnesses.begin(), e.witnesses.end()), e.witnesses.end());
  return e;
}

// The zones whose nodes say that this one of the target's is bad; counts the reports into `e`.
std::set<int> ZoneFailover::ZonesAgainst(Micros now, const Target& target, int zone,
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
    e->outside += Covers(target, r.reporter_zone) ? 0 : 1;
    e->pressed += r.overloaded ? 1 : 0;
    Votes& v = votes[r.reporter_zone];
    ++v.reporters;
    if (r.bad < options_.bad_fraction * r.tried) continue;
    ++v.bad;
    e->witnesses.push_back(r.reporter);
    e->cause = std::max(e->cause, r.cause);
  }
  const bool enough = tried >= options_.min_coverage * 255 && bad >= options_.bad_fraction * tried;
  std::set<int> here;
  for (const auto& [viewer, v] : votes) {
    const bool says = v.bad * 2 > v.reporters && v.bad >= std::min(2, (*nodes)[viewer]);
    if (says && enough)
      here.insert(viewer);
    else if (!says && v.bad * 2 <= v.reporters && !Covers(target, viewer))
      e->well.insert(viewer);  // those inside may be cut off with it
  }
  return here;
}

bool ZoneFailover::OnlyInside(const Target& target, const Evidence& e) const {
  return e.outside == 0 && !e.bad.empty() &&
         std::all_of(e.bad.begin(), e.bad.end(), [&](int z) { return Covers(target, z); });
}

// Jobs that were sent there since the verdict.
ZoneFailover::Tries ZoneFailover::TriesOf(const Target& target, const Decision& v) const {
  Tries all;
  for (const int zone : target.zones) {
    const TargetKey key = KeyOf(targets_[static_cast<std::size_t>(zone)].name);
    for (auto it = reports_.lower_bound({key, 0}); it != reports_.end() && it->first.first == key;
         ++it) {
      const Report& r = it->second.report;
      if (r.decision_number != v.number || (v.for_zone >= 0 && r.reporter_zone != v.for_zone))
        continue;
      all.good += r.succeeded;
      all.failed += r.failed;
    }
  }
  return all;
}

double ZoneFailover::Weight(int zone) const {
  double sum = 0;
  for (const auto& [key, w] : workers_)
    if (w.in_service && w.zone == zone) sum += w.weight;
  return sum;
}

// What a zone is worth: its weight without the share that is bad by all that was tried.
double ZoneFailover::Worth(Micros now, int zone) const {
  double tried = 0, bad = 0;
  const TargetKey key = KeyOf(targets_[static_cast<std::size_t>(zone)].name);
  for (auto it = reports_.lower_bound({key, 0}); it != reports_.end() && it->first.first == key;
       ++it) {
    const Report& r = it->second.report;
    if (r.reported_at < now - options_.evidence_ttl) continue;
    tried += r.tried;
    bad += r.bad;
  }
  return Weight(zone) * (tried > 0 ? 1 - bad / tried : 1);
}

bool ZoneFailover::IsLeft(int zone, int whose) const {
  for (const auto& [key, v] : verdicts_) {
    if (v.step == kInUse || (v.for_zone >= 0 && v.for_zone != whose)) continue;
    const Target* t = Find(v.target);
    if (t != nullptr && Covers(*t, zone)) return true;
  }
  for (const auto& [key, o] : orders_) {
    const Target* t = Find(key);
    if (o.action == Order::Action::kLeave && t != nullptr && Covers(*t, zone)) return true;
  }
  return false;
}

// The rest must bear it: of a zone that is worth something, by what is left as weighed worth, and
// not where nodes turn jobs away. One zone at least stays, and one that is well.
bool ZoneFailover::MayLeave(Micros now, const Target& target, int whose, const Evidence& e) {
  if (without_.capacity_check) return true;
  double all = 0, rest = 0, weight = 0, worth = 0;
  bool one_well = false;
  for (std::size_t z = 0; z < seen_.size(); ++z) {
    const int zone = static_cast<int>(z);
    const double of = Weight(zone), is = Worth(now, zone);
    all += of;
    if (Covers(target, zone)) {
      weight += of;
      // Failing and slow zones serve what they serve.
      worth += e.cause >= Cause::kSilent ? is : std::max(is, of / 3);
    } else if (!IsLeft(zone, whose)) {
      rest += is;
      one_well = one_well || (of > 0 && is > of * (1 - options_.bad_fraction));
    }
  }
  const bool dead = worth <= options_.negligible_capacity * weight || weight <= 0;
  const bool pressed = e.reporters > 0 && 2 * e.pressed > e.reporters;
  const bool may =
      one_well && (dead || (rest >= options_.min_remaining_capacity * all && !pressed));
  figures_.blocked_by_capacity += may ? 0 : 1;
  return may;
}

}  // namespace pearreach::zones
