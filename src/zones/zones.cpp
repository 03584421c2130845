#include "zones/zones.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace pearreach::zones {
namespace {

constexpr double kLearn = 0.1;          // weight of one job's end in what a zone does
constexpr int kLeastJobs = 8;           // that a zone's share of failures and its time rest on
constexpr int kQuiet = 4;               // words are so much rarer while all is well
constexpr Micros kActive = 10'000'000;  // after a change words go on as often as in trouble
constexpr int kAsks = 20;               // times that a process which has just begun asks
constexpr int kPatience = 10;           // holds, after which a step needs no more than no failure

std::uint64_t Mix(std::uint64_t x) {  // splitmix64
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}
double Unit(std::uint64_t x) { return static_cast<double>(x >> 11) * 0x1p-53; }
std::uint8_t Part(double share) {
  return static_cast<std::uint8_t>(std::clamp(share, 0.0, 1.0) * 255 + 0.5);
}

}  // namespace

TargetKey KeyOf(const std::string& name) { return XXH32(name.data(), name.size(), 0x5a4f4e45); }

double Zones::Share(std::uint8_t step) {
  constexpr double kShares[] = {1, 0, 0.125, 0.25, 0.5};
  return kShares[std::min<std::uint8_t>(step, kLastStep)];
}

Zones::Zones(Options options, std::uint64_t process, Micros now)
    : options_(std::move(options)), process_(process), began_(now), next_(now) {
  for (std::size_t z = 0; z < options_.zones.size(); ++z)
    targets_.push_back({options_.zones[z], {static_cast<int>(z)}});
  for (const Target& region : options_.regions) targets_.push_back(region);
  for (std::size_t t = 0; t < targets_.size(); ++t) by_key_[KeyOf(targets_[t].name)] = t;
  seen_.resize(options_.zones.size());
  for (std::size_t z = 0; z < options_.zones.size(); ++z)
    standing_.push_back({.zone = static_cast<int>(z)});
  told_ = standing_;
}

const Target* Zones::Find(TargetKey key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : &targets_[it->second];
}
const std::string& Zones::name(TargetKey key) const {
  static const std::string kUnknown = "?";
  const Target* t = Find(key);
  return t == nullptr ? kUnknown : t->name;
}
bool Zones::Covers(const Target& target, int zone) const {
  return std::find(target.zones.begin(), target.zones.end(), zone) != target.zones.end();
}

// ---------------------------------------------------------------- what this node sees

void Zones::Listed(WorkerKey key, int zone, int kind, double weight, Micros started,
                   bool in_service) {
  if (zone < 0 || zone >= static_cast<int>(seen_.size())) return;
  Worker& w = workers_[key];
  w.zone = zone;
  w.kind = kind;
  w.weight = std::max(weight, 1e-6);
  w.started = started;
  w.in_service = in_service;
}

void Zones::Unlisted(WorkerKey key) { workers_.erase(key); }

void Zones::Sent(Micros now, WorkerKey key) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  if (it->second.sent < now - options_.fresh) it->second.since = now;
  it->second.sent = now;
  ++it->second.out;
}

void Zones::Seen(WorkerKey key, Cause cause, Micros at) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  it->second.cause = cause;
  it->second.seen = at;
}

void Zones::Ended(Micros, WorkerKey key, End end, int cls, Micros run) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  Worker& w = it->second;
  w.out = std::max(0, w.out - 1);
  ZoneSeen& z = seen_[static_cast<std::size_t>(w.zone)];
  ++z.jobs;
  z.failures += kLearn * ((end == End::kServed ? 0 : 1) - z.failures);
  if (end == End::kServed && run > 0) {
    Run& r = z.runs[cls];
    r.mean += (r.jobs == 0 ? 1 : kLearn) * (static_cast<double>(run) - r.mean);
    ++r.jobs;
  }
  if (w.before > 0)
    --w.before;
  else if (z.about > 0)
    ++(end == End::kServed ? z.good : z.failed);
}

// This node's own reports. A worker counts as tried if a job went there of late. A zone where much
// fails, or all takes much longer than in the others, is bad in all that was tried.
void Zones::Note(Micros now, bool alone) {
  struct Sum {
    double all = 0, tried = 0, bad = 0;
    std::map<Cause, double> causes;
  };
  std::vector<Sum> sums(seen_.size());
  for (const auto& [key, w] : workers_) {
    if (!w.in_service) continue;
    Sum& s = sums[static_cast<std::size_t>(w.zone)];
    s.all += w.weight;
    if (w.sent == 0 || now - w.sent > options_.fresh) continue;
    s.tried += w.weight;
    // What was seen before a pause may be over: it is the jobs since then that count.
    if (w.cause == Cause::kNone || w.seen < w.since) continue;
    s.bad += w.weight;
    s.causes[w.cause] += w.weight;
  }
  int others = 0, others_bad = 0;
  for (std::size_t z = 0; z < sums.size(); ++z) {
    Sum& s = sums[z];
    const ZoneSeen& mine = seen_[z];
    if (s.tried <= 0) continue;
    double failures = 0;
    int zones = 0;
    for (std::size_t o = 0; o < sums.size(); ++o) {
      if (o == z || seen_[o].jobs < kLeastJobs) continue;
      failures += seen_[o].failures;
      ++zones;
    }
    // Against the others: a failure of all zones is no zone's.
    if (zones > 0 && mine.jobs >= kLeastJobs && mine.failures > options_.failing &&
        mine.failures > 2 * failures / zones && s.bad < s.tried) {
      s.bad = s.tried;
      s.causes[Cause::kFailing] += s.tried;
    }
    for (const auto& [cls, run] : mine.runs) {
      double usual = 0;
      int of = 0;
      for (std::size_t o = 0; o < sums.size(); ++o) {
        if (o == z) continue;
        const auto it = seen_[o].runs.find(cls);
        if (it == seen_[o].runs.end() || it->second.jobs < kLeastJobs) continue;
        usual += it->second.mean;
        ++of;
      }
      if (of == 0 || run.jobs < kLeastJobs || run.mean < options_.slow * usual / of) continue;
      s.bad = s.tried;
      s.causes[Cause::kSlow] += s.tried;
      break;
    }
    if (static_cast<int>(z) == options_.zone) continue;
    ++others;
    others_bad += s.bad >= options_.bad * s.tried ? 1 : 0;
  }
  // All other zones bad at once and no node of them heard: this one is the one that is away.
  away_ = alone && others >= 2 && others_bad == others;
  for (std::size_t z = 0; z < sums.size(); ++z) {
    const Sum& s = sums[z];
    Report r;
    r.target = KeyOf(targets_[z].name);
    r.witness = options_.self;
    r.zone = options_.zone;
    r.process = process_;
    r.at = now / 1000 * 1000;
    r.pressed = pressed_;
    const bool quiet = away_ && !without_.away && static_cast<int>(z) != options_.zone;
    if (s.all > 0 && !quiet) {
      r.tried = Part(s.tried / s.all);
      r.bad = std::min(r.tried, Part(s.bad / s.all));
      double most = 0;
      for (const auto& [cause, weight] : s.causes)
        if (weight >= most) most = weight, r.cause = cause;
    }
    r.about = seen_[z].about;
    r.good = seen_[z].good;
    r.failed = seen_[z].failed;
    Held& held = reports_[{r.target, options_.self}];
    if (r.tried == 0 && r.good == 0 && r.failed == 0) {
      reports_.erase({r.target, options_.self});
      continue;
    }
    r.number = ++number_;
    held.report = r;
    held.said = 0;
  }
}

bool Zones::IsWell(int zone) const {
  const auto it =
      reports_.find({KeyOf(targets_[static_cast<std::size_t>(zone)].name), options_.self});
  return it != reports_.end() && it->second.report.tried > 0 &&
         it->second.report.bad < options_.bad * it->second.report.tried;
}

bool Zones::IsBad(int zone) const {
  const auto it =
      reports_.find({KeyOf(targets_[static_cast<std::size_t>(zone)].name), options_.self});
  return it != reports_.end() && it->second.report.tried > 0 && !IsWell(zone);
}

// ---------------------------------------------------------------- evidence

// What is known of a target by zones of nodes: each decides by most of its nodes that have tried,
// of two at least where it has two.
Zones::Evidence Zones::Look(Micros now, const Target& target) const {
  Evidence e;

  for (std::size_t i = 0; i < target.zones.size(); ++i) {
    const int zone = target.zones[i];
    struct Votes {
      int reporters = 0, bad = 0;
    };
    std::map<int, Votes> votes;
    std::map<int, int> nodes;
    for (const auto& [node, z] : zone_of_) ++nodes[z];
    ++nodes[options_.zone];
    double tried = 0, bad = 0;
    const TargetKey key = KeyOf(targets_[static_cast<std::size_t>(zone)].name);
    for (auto it = reports_.lower_bound({key, 0}); it != reports_.end() && it->first.first == key;
         ++it) {
      const Report& r = it->second.report;
      if (r.tried == 0 || r.at < now - options_.fresh) continue;
      tried += r.tried;
      bad += r.bad;
      ++e.reporters;
      e.outside += Covers(target, r.zone) ? 0 : 1;
      e.pressed += r.pressed ? 1 : 0;
      Votes& v = votes[r.zone];
      ++v.reporters;
      if (r.bad < options_.bad * r.tried) continue;
      ++v.bad;
      e.witnesses.push_back(r.witness);
      e.cause = std::max(e.cause, r.cause);
    }
    const bool enough = tried >= options_.covered * 255 && bad >= options_.bad * tried;
    std::set<int> here;
    for (const auto& [viewer, v] : votes) {
      const bool says = v.bad * 2 > v.reporters && v.bad >= std::min(2, nodes[viewer]);
      if (says && enough)
        here.insert(viewer);
      else if (!says && v.bad * 2 <= v.reporters && !Covers(target, viewer))
        e.well.insert(viewer);  // those inside may be cut off with it
    }
    if (i == 0) {
      e.bad = here;
    } else {
      std::set<int> both;
      std::set_intersection(e.bad.begin(), e.bad.end(), here.begin(), here.end(),
                            std::inserter(both, both.begin()));
      e.bad = std::move(both);
    }
  }
  std::sort(e.witnesses.begin(), e.witnesses.end());
  e.witnesses.erase(std::unique(e.witnesses.begin(), e.witnesses.end()), e.witnesses.end());
  return e;
}

double Zones::Weight(int zone) const {
  double sum = 0;
  for (const auto& [key, w] : workers_)
    if (w.in_service && w.zone == zone) sum += w.weight;
  return sum;
}

// What a zone is worth: its weight without the share that is bad by all that was tried.
double Zones::Worth(Micros now, int zone) const {
  double tried = 0, bad = 0;
  const TargetKey key = KeyOf(targets_[static_cast<std::size_t>(zone)].name);
  for (auto it = reports_.lower_bound({key, 0}); it != reports_.end() && it->first.first == key;
       ++it) {
    const Report& r = it->second.report;
    if (r.at < now - options_.fresh) continue;
    tried += r.tried;
    bad += r.bad;
  }
  return Weight(zone) * (tried > 0 ? 1 - bad / tried : 1);
}

bool Zones::IsLeft(int zone, int whose) const {
  for (const auto& [key, v] : verdicts_) {
    if (v.step == kWhole || (v.whose >= 0 && v.whose != whose)) continue;
    const Target* t = Find(v.target);
    if (t != nullptr && Covers(*t, zone)) return true;
  }
  for (const auto& [key, o] : orders_) {
    const Target* t = Find(key);
    if (o.what == Order::What::kLeave && t != nullptr && Covers(*t, zone)) return true;
  }
  return false;
}

// The rest must bear it: of a zone that is worth something, by what is left as weighed worth, and
// not where nodes turn jobs away. One zone at least stays, and one that is well.
bool Zones::MayLeave(Micros now, const Target& target, int whose, const Evidence& e) {
  if (without_.rest) return true;
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
      one_well = one_well || (of > 0 && is > of * (1 - options_.bad));
    }
  }
  const bool dead = worth <= options_.dead * weight || weight <= 0;
  const bool pressed = e.reporters > 0 && 2 * e.pressed > e.reporters;
  const bool may = one_well && (dead || (rest >= options_.least_left * all && !pressed));
  figures_.held_back += may ? 0 : 1;
  return may;
}

// ---------------------------------------------------------------- verdicts

// Where the list names processes that began after it was left, it is tried after two waits at the
// latest: that is no proof that they are well, but that something has changed.
Micros Zones::WaitOf(const Verdict& v, bool anew) const {
  Micros wait = options_.trial_wait;
  const Micros most = anew ? 2 * options_.trial_wait : options_.most_wait;
  for (int i = 1; i < v.leaves && wait < most; ++i) wait *= 2;
  return std::min(wait, most);
}

bool Zones::Anew(const Target& target, const Verdict& v) const {
  int all = 0, anew = 0;
  for (const auto& [key, w] : workers_)
    if (w.in_service && Covers(target, w.zone)) {
      ++all;
      anew += w.started > v.at ? 1 : 0;
    }
  return 2 * anew > all;
}

void Zones::Raise(Micros now, const Target& target, int whose, std::uint8_t step, Cause cause,
                  std::uint8_t leaves) {
  const Key key{KeyOf(target.name), whose};
  Verdict v;
  v.target = key.target;
  v.whose = whose;
  v.number = verdicts_[key].number + 1;
  if (const auto it = pending_.find(key); it != pending_.end())
    v.number = std::max(v.number, it->second.verdict.number + 1);
  v.step = step;
  v.cause = cause;
  v.by = options_.self;
  v.at = now / 1000 * 1000;
  v.leaves = leaves;
  ++figures_.raised;
  Adopt(v);
  since_[key] = now;
}

void Zones::Adopt(const Verdict& v) {
  const Key key{v.target, v.whose};
  Verdict& held = verdicts_[key];
  held = v;
  since_[key] = next_;
  pending_.erase(key);
  others_hold_.erase(key);
  urgent_ = true;
  const Target* t = Find(v.target);
  if (t == nullptr) return;
  // What was sent before says nothing of this verdict's time.
  for (auto& [worker, w] : workers_)
    if (Covers(*t, w.zone)) w.before = w.out;
}

// Whether this node's own knowledge is what that verdict rests on.
bool Zones::Supported(Micros now, const Verdict& v) const {
  const Target* t = Find(v.target);
  if (t == nullptr || v.step != kLeft) return false;
  const Evidence e = Look(now, *t);
  if (v.whose >= 0) return e.bad.contains(v.whose);
  return e.bad.size() >= 2 || OnlyInside(*t, e);
}

bool Zones::OnlyInside(const Target& target, const Evidence& e) const {
  return e.outside == 0 && !e.bad.empty() &&
         std::all_of(e.bad.begin(), e.bad.end(), [&](int z) { return Covers(target, z); });
}

void Zones::Judge(Micros now) {
  if (options_.zones.size() < 2 || doubts_) return;
  // Regions first: what is left with its region needs no verdict of its own.
  for (std::size_t i = targets_.size(); i-- > 0;) {
    const Target& t = targets_[i];
    const TargetKey key = KeyOf(t.name);
    bool held = false, fleet = false;
    for (const int whose : {-1, options_.zone})
      if (const auto it = verdicts_.find({key, whose});
          it != verdicts_.end() && it->second.step != kWhole) {
        fleet = fleet || whose < 0;
        held = true;
        const Verdict v = it->second;
        // Nobody believes this node: it takes back what it said.
        if (v.by == options_.self && v.step == kLeft && !alive_.empty() &&
            now > v.at + options_.one_sided + options_.fresh &&
            !others_hold_.contains({key, whose}))
          Raise(now, t, whose, kWhole, v.cause, v.leaves);
        else
          JudgeReturn(now, t, v);
      }
    if (fleet || std::all_of(t.zones.begin(), t.zones.end(), [&](int z) { return IsLeft(z, -1); }))
      continue;
    const Evidence e = Look(now, t);
    // Seen from two zones and denied by none it has failed for all. If that lasts, what nodes of
    // one zone see holds for them; and for all where they are the zone's own and nobody else has
    // tried: that is the only evidence there can be.
    const bool two = e.bad.size() >= 2 && e.well.empty();
    const bool one_sided = !two && !e.bad.empty() && !held;
    if (!one_sided) one_sided_.erase(key);
    if (!two && !one_sided) continue;
    if (one_sided && now - one_sided_.try_emplace(key, now).first->second < options_.one_sided)
      continue;
    const bool for_all = two || OnlyInside(t, e);
    if (!for_all && !e.bad.contains(options_.zone)) continue;
    const int whose = for_all ? -1 : options_.zone;
    if (!MayLeave(now, t, whose, e)) continue;
    const Verdict& last = verdicts_[{key, whose}];
    const bool again = last.number > 0 && now - last.at < options_.forget;
    const int leaves = again ? std::min(250, last.leaves + 1) : 1;
    Raise(now, t, whose, kLeft, e.cause, static_cast<std::uint8_t>(leaves));
  }
}

// Jobs that were sent there since the verdict.
Zones::Tries Zones::TriesOf(const Target& target, const Verdict& v) const {
  Tries all;
  for (const int zone : target.zones) {
    const TargetKey key = KeyOf(targets_[static_cast<std::size_t>(zone)].name);
    for (auto it = reports_.lower_bound({key, 0}); it != reports_.end() && it->first.first == key;
         ++it) {
      const Report& r = it->second.report;
      if (r.about != v.number || (v.whose >= 0 && r.zone != v.whose)) continue;
      all.good += r.good;
      all.failed += r.failed;
    }
  }
  return all;
}

void Zones::JudgeReturn(Micros now, const Target& target, const Verdict& v) {
  const Tries tries = TriesOf(target, v);
  const Micros held = now - v.at;
  const auto need = static_cast<std::uint32_t>(options_.need);
  if (tries.failed >= 3 && tries.failed > tries.good) {
    // Not yet, or not any more: back, and a longer wait before it is tried again.
    if (v.step == kLeft && held < WaitOf(v, false)) return;
    return Raise(now, target, v.whose, kLeft, v.cause,
                 static_cast<std::uint8_t>(std::min(250, v.leaves + 1)));
  }
  const Micros least = v.step == kLeft ? WaitOf(v, Anew(target, v)) : options_.hold;
  const bool shown = tries.good >= need && tries.failed * 4 <= tries.good;
  // Where hardly a job comes there is hardly a job to be hurt.
  const bool idle =
      tries.failed == 0 && held >= kPatience * options_.hold + (v.step == kLeft ? 3 * least : 0);
  if (held < least || !(shown || idle)) return;
  const bool last = without_.steps || v.step == kLastStep;
  Raise(now, target, v.whose, last ? kWhole : static_cast<std::uint8_t>(v.step + 1), v.cause,
        v.leaves);
}

// ---------------------------------------------------------------- operators

bool Zones::Command(Micros now, const std::string& name, Order::What what) {
  const TargetKey key = KeyOf(name);
  if (Find(key) == nullptr) return false;
  Order o;
  o.target = key;
  o.number = orders_[key].number + 1;
  o.what = what;
  o.by = options_.self;
  o.at = now / 1000 * 1000;
  HearOrder(o);
  Settle(now);
  return true;
}

void Zones::Recall(const Order& order) { HearOrder(order); }

void Zones::HearOrder(const Order& o) {
  if (Find(o.target) == nullptr || o.number == 0) return;
  Order& held = orders_[o.target];
  if (held == o) return;
  // Of two that contradict both are kept to be shown; one decides.
  const bool later = Later(o, held);
  const Order& loser = later ? held : o;
  if (loser.what != Order::What::kNone && (!later || loser.what != o.what)) {
    Order& shown = overruled_[o.target];
    if (shown.number == 0 || Later(loser, shown)) shown = loser;
  }
  if (!later) return;
  held = o;
  urgent_ = true;
}

// ---------------------------------------------------------------- words

void Zones::HearVerdict(Micros now, int from, const Verdict& v) {
  if (Find(v.target) == nullptr || v.number == 0 ||
      v.whose >= static_cast<int>(options_.zones.size()))
    return;
  const Key key{v.target, v.whose};
  const auto it = verdicts_.find(key);
  if (it != verdicts_.end() && v.number >= it->second.number) others_hold_.insert(key);
  if (it != verdicts_.end() && !without_.number && !Later(v, it->second)) return;
  if (it != verdicts_.end() && it->second == v) return;
  // Only that a zone in use is to be left is doubted. How far one that was left may be used again
  // is taken from whoever says so: it is left or whole by the same evidence, and a part of the
  // fleet that stayed behind would be the greater harm.
  const bool in_use = it == verdicts_.end() || it->second.step == kWhole;
  const bool for_me = v.whose < 0 || v.whose == options_.zone;
  if (!in_use || !for_me || v.step == kWhole || without_.doubt || Supported(now, v)) {
    ++figures_.adopted;
    return Adopt(v);
  }
  // From one node alone it may be that node that is wrong: it wants a second one that holds it, or
  // evidence of one's own. Where nobody else is there, one is all that can be had.
  Pending& p = pending_[key];
  const bool same = p.verdict.number == v.number && p.verdict.step == v.step;
  if (!same && !Later(v, p.verdict)) return;
  if (!same) p.holders.clear();
  if (!same || Later(v, p.verdict)) p.verdict = v;
  p.holders.insert(from);
  const bool alone = options_.nodes <= 2 || (alive_.size() <= 1 && now > began_ + options_.fresh);
  if (p.holders.size() < (alone ? 1 : 2)) {
    ++figures_.doubted;
    return;
  }
  ++figures_.adopted;
  Adopt(Verdict(p.verdict));
}

void Zones::Say(Micros now, int to, std::vector<Out>* out) {
  Word w;
  w.zone = options_.zone;
  w.at = now / 1000 * 1000;
  w.asks = asks_ && asked_ < kAsks;
  for (const auto& [key, o] : orders_)
    if (o.number > 0) w.orders.push_back(o);
  // In another order each time: where there is no room for all, each has its turn.
  for (const auto& [key, v] : verdicts_)
    if (v.number > 0) w.verdicts.push_back(v);
  if (!w.verdicts.empty())
    std::rotate(w.verdicts.begin(),
                w.verdicts.begin() + static_cast<std::ptrdiff_t>(ring_ % w.verdicts.size()),
                w.verdicts.end());
  // What this node sees, then what others saw: what is bad, and what was said least, first.
  std::vector<Held*> held;
  for (auto& [key, h] : reports_) {
    const Report& r = h.report;
    if (r.witness == options_.self) held.insert(held.begin(), &h);
    if (r.witness == options_.self || r.witness == to) continue;
    if (r.at >= now - options_.fresh || r.about > 0) held.push_back(&h);
  }
  const auto rank = [&](const Held* h) {
    const Report& r = h->report;
    const bool bad = r.tried > 0 && r.bad >= options_.bad * r.tried;
    return std::tuple(r.witness != options_.self, !bad, h->said);
  };
  std::stable_sort(held.begin(), held.end(),
                   [&](const Held* a, const Held* b) { return rank(a) < rank(b); });
  for (const Held* h : held) w.reports.push_back(h->report);
  int left = 0;
  out->push_back({to, Encode(w, options_.bytes, &left)});
  if (out->back().section.empty()) return out->pop_back();
  const std::size_t said =
      w.orders.size() + w.verdicts.size() + w.reports.size() - static_cast<std::size_t>(left);
  const std::size_t before = w.orders.size() + w.verdicts.size();
  for (std::size_t i = 0; before + i < said; ++i) ++held[i]->said;
  ++figures_.words;
  figures_.left_out += static_cast<std::uint64_t>(left);
}

void Zones::Tick(Micros now, const std::vector<int>& alive, bool doubts, std::vector<Out>* out) {
  if (now < next_) return;
  next_ = now + options_.every;
  alive_ = alive;
  doubts_ = doubts;
  bool others = options_.nodes > 1, heard = false;
  for (const int n : alive)
    if (const auto it = zone_of_.find(n); it != zone_of_.end() && it->second != options_.zone)
      heard = true;
  Note(now, others && !heard);
  // Reports of nodes long gone say nothing.
  for (auto it = reports_.begin(); it != reports_.end();)
    it = it->first.second != options_.self && it->second.report.at < now - options_.fresh - kActive
             ? reports_.erase(it)
             : std::next(it);
  Judge(now);
  Settle(now);
  bool trouble = false;
  for (const auto& [key, h] : reports_)
    trouble = trouble || (h.report.at >= now - options_.fresh &&
                          h.report.bad >= options_.bad * h.report.tried && h.report.tried > 0);
  for (const auto& [key, v] : verdicts_) trouble = trouble || v.step != kWhole;
  if (trouble || urgent_) active_until_ = now + kActive;
  const bool active = now < active_until_ || asks_;
  if (alive.empty() || (!active && now < said_ + kQuiet * options_.every)) return;
  said_ = now;
  const auto many = static_cast<std::size_t>(active ? options_.fanout + (urgent_ ? 1 : 0) : 1);
  urgent_ = false;
  // Drawn by each node for itself: in one order for all, all would tell the same few.
  std::vector<int> others_now = alive;
  for (std::size_t i = 0; i < std::min(alive.size(), many); ++i) {
    const std::uint64_t draw = Mix((static_cast<std::uint64_t>(options_.self) << 40) + ++ring_);
    std::swap(others_now[i], others_now[i + draw % (others_now.size() - i)]);
    Say(now, others_now[i], out);
  }
  if (asks_ && ++asked_ >= kAsks) asks_ = false;
}

void Zones::Hear(Micros now, int from, std::uint64_t process, std::string_view section,
                 std::vector<Out>* out) {
  const auto w = Decode(section);
  if (!w || from < 0 || from >= options_.nodes || from == options_.self) {
    ++figures_.malformed;
    return;
  }
  // What lay in the socket of a process that was stopped is no news.
  if (w->at < now - options_.fresh) {
    ++figures_.old;
    return;
  }
  zone_of_[from] = w->zone;
  for (const Report& r : w->reports) {
    const Target* t = Find(r.target);
    if (t == nullptr || t->zones.size() != 1 || r.witness == options_.self || r.witness < 0 ||
        r.witness >= options_.nodes || r.at > now + options_.fresh)
      continue;
    // A node speaks for itself under its own process only.
    if (r.witness == from && r.process != process) continue;
    Held& held = reports_[{r.target, r.witness}];
    if (held.report.number > 0 && !Later(r, held.report)) continue;
    held = {r, 0};
    zone_of_[r.witness] = r.zone;
  }
  for (const Order& o : w->orders) HearOrder(o);
  for (const Verdict& v : w->verdicts) HearVerdict(now, from, v);
  if (!w->asks) asks_ = false;
  Settle(now);
  const bool knows = !orders_.empty() || !verdicts_.empty();
  if (w->asks && knows) Say(now, from, out);
}

// ---------------------------------------------------------------- what holds

// The verdict that decides of a zone at this node: the strictest of those that are for it.
const Verdict* Zones::Governing(int zone) const {
  const Verdict* most = nullptr;
  for (const auto& [key, v] : verdicts_) {
    if (v.step == kWhole || (v.whose >= 0 && v.whose != options_.zone)) continue;
    const Target* t = Find(v.target);
    if (t == nullptr || !Covers(*t, zone)) continue;
    if (most == nullptr || v.step < most->step) most = &v;
  }
  return most;
}

void Zones::Settle(Micros now) {
  for (std::size_t z = 0; z < seen_.size(); ++z) {
    const int zone = static_cast<int>(z);
    Standing s{.zone = zone};
    const Order* order = nullptr;
    for (const auto& [key, o] : orders_) {
      const Target* t = Find(key);
      if (o.what == Order::What::kNone || t == nullptr || !Covers(*t, zone)) continue;
      // A zone's and its region's: leaving is the stricter.
      if (order == nullptr || o.what == Order::What::kLeave) order = &o;
    }
    const Verdict* v = Governing(zone);
    if (v != nullptr) {
      s.step = v->step;
      s.cause = v->cause;
      s.number = v->number;
      s.whose = v->whose;
      // Who is inside and finds it well when the others leave it goes on, until its own evidence is
      // bad. Who has left comes back with all.
      const Standing& was = standing_[z];
      const bool mine = zone == options_.zone && v->cause >= Cause::kSilent;
      s.own = mine && ((was.own && !IsBad(zone)) || (was.step == kWhole && IsWell(zone)));
      if (s.own) s.step = kWhole;
      if (const Target* t = Find(v->target)) s.witnesses = Look(now, *t).witnesses;
      if (s.witnesses.empty() && was.number > 0) s.witnesses = was.witnesses;
    }
    if (order != nullptr) {
      s.by_hand = true;
      s.own = false;
      s.whose = -1;
      s.number = order->number;
      s.step = order->what == Order::What::kLeave ? kLeft : kWhole;
    }
    // Those who serve it from inside say nothing of how others may use it.
    const std::uint64_t about = v == nullptr || s.own ? 0 : v->number;
    if (seen_[z].about != about) {
      seen_[z].about = about;
      seen_[z].good = seen_[z].failed = 0;
      if (v == nullptr || v->step == kLeft) {
        // What it did before says nothing of how it comes back.
        seen_[z].failures = 0;
        seen_[z].jobs = 0;
        seen_[z].runs.clear();
      }
    }
    Standing& held = standing_[z];
    if (held.step == s.step && held.number == s.number) s.witnesses = held.witnesses;
    held = std::move(s);
  }
}

std::vector<Standing> Zones::TakeChanges() {
  std::vector<Standing> changed;
  for (std::size_t z = 0; z < standing_.size(); ++z) {
    const Standing &a = standing_[z], &b = told_[z];
    if (a.step != b.step || a.number != b.number || a.by_hand != b.by_hand || a.own != b.own)
      changed.push_back(a);
  }
  told_ = standing_;
  return changed;
}

bool Zones::KindElsewhere(int kind) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const Worker& w = entry.second;
    return w.in_service && w.kind == kind &&
           standing_[static_cast<std::size_t>(w.zone)].step != kLeft;
  });
}

// Some workers of a zone that is left are tried, each by one node, drawn alike at all of them.
bool Zones::IsTrier(Micros now, WorkerKey key, const Worker& w, const Verdict& v) const {
  if (now < v.at + WaitOf(v, w.started > v.at) || !w.in_service) return false;
  const Target* target = Find(v.target);
  const auto epoch = static_cast<std::uint64_t>(now / options_.trial_every);
  const auto rank = [&](std::uint64_t x) { return Mix(Mix(x) ^ Mix(epoch ^ (v.number << 40))); };
  // Nodes inside before others, as it is they who want it, but for those who find it well all the
  // time. Where there are none, all that it is for.
  const auto wants = [&](int node, int zone) {
    if (target == nullptr || v.whose >= 0 || !Covers(*target, zone)) return false;
    if (node == options_.self) return !standing_[static_cast<std::size_t>(zone)].own;
    const auto it = reports_.find({KeyOf(targets_[static_cast<std::size_t>(zone)].name), node});
    return it == reports_.end() || it->second.report.tried == 0 || it->second.report.about != 0 ||
           it->second.report.bad >= options_.bad * it->second.report.tried;
  };
  const bool inside =
      wants(options_.self, options_.zone) || std::any_of(alive_.begin(), alive_.end(), [&](int n) {
        const auto it = zone_of_.find(n);
        return it != zone_of_.end() && wants(n, it->second);
      });
  const auto may = [&](int node, int zone) {
    return inside ? wants(node, zone) : v.whose < 0 || zone == v.whose;
  };
  const auto node_rank = [&](int node) {
    return rank((std::uint64_t{key} << 32) ^ static_cast<std::uint64_t>(node + 1));
  };
  if (!may(options_.self, options_.zone)) return false;
  for (const int n : alive_) {
    const auto it = zone_of_.find(n);
    if (it != zone_of_.end() && may(n, it->second) && node_rank(n) > node_rank(options_.self))
      return false;
  }
  int before = 0;
  for (const auto& [other, o] : workers_)
    if (other != key && o.in_service && target != nullptr && Covers(*target, o.zone) &&
        rank(other) > rank(key))
      ++before;
  return before < options_.trials;
}

Use Zones::use(Micros now, WorkerKey key) const {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return Use::kOpen;
  const Worker& w = it->second;
  const Standing& s = standing_[static_cast<std::size_t>(w.zone)];
  if (s.step == kWhole) return Use::kOpen;
  if (s.by_hand) return KindElsewhere(w.kind) ? Use::kShut : Use::kOpen;
  const Verdict* v = Governing(w.zone);
  if (v == nullptr) return Use::kOpen;
  // A bad zone is better than none.
  if (s.step == kLeft && !KindElsewhere(w.kind)) return Use::kOpen;
  if (s.step != kLeft) {
    const std::uint64_t pair =
        Mix(Mix(key) ^ Mix(static_cast<std::uint64_t>(options_.self) + 0x70616972));
    // Each pair opens at a moment of its own within half of the step, so that connections are made
    // one after another.
    const auto since = since_.find({v->target, v->whose});
    const double delay = Unit(Mix(pair)) * static_cast<double>(options_.hold) / 2;
    const bool was = Unit(pair) < Share(static_cast<std::uint8_t>(s.step - 1));
    if (Unit(pair) < Share(s.step) &&
        (was || since == since_.end() || static_cast<double>(now - since->second) >= delay))
      return Use::kOpen;
  }
  return IsTrier(now, key, w, *v) ? Use::kTrial : Use::kShut;
}

std::vector<Verdict> Zones::verdicts() const {
  std::vector<Verdict> all;
  for (const auto& [key, v] : verdicts_)
    if (v.number > 0) all.push_back(v);
  return all;
}
std::vector<Order> Zones::orders() const {
  std::vector<Order> all;
  for (const auto& [key, o] : orders_)
    if (o.number > 0) all.push_back(o);
  return all;
}
std::vector<Order> Zones::overruled() const {
  std::vector<Order> all;
  for (const auto& [key, o] : overruled_) all.push_back(o);
  return all;
}
std::vector<Report> Zones::reports() const {
  std::vector<Report> all;
  for (const auto& [key, h] : reports_) all.push_back(h.report);
  return all;
}

}  // namespace pearreach::zones
