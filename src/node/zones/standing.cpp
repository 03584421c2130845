// How each zone is in use at this node by the verdicts and orders that it holds, and which workers
// of a zone that is left are tried here.
#include <algorithm>
#include <cmath>
#include <utility>

#include "node/zones/mix.h"
#include "node/zones/zones.h"

namespace pearreach::zones {
namespace {

double Unit(std::uint64_t x) { return static_cast<double>(x >> 11) * 0x1p-53; }

}  // namespace

double ZoneFailover::OpenFraction(std::uint8_t step) {
  constexpr double kShares[] = {1, 0, 0.125, 0.25, 0.5};
  return kShares[std::min<std::uint8_t>(step, kLastStep)];
}

// The verdict that decides of a zone at this node: the strictest of those that are for it.
const Decision* ZoneFailover::Governing(int zone) const {
  const Decision* most = nullptr;
  for (const auto& [key, v] : verdicts_) {
    if (v.step == kInUse || (v.for_zone >= 0 && v.for_zone != options_.zone)) continue;
    const Target* t = Find(v.target);
    if (t == nullptr || !Covers(*t, zone)) continue;
    if (most == nullptr || v.step < most->step) most = &v;
  }
  return most;
}

void ZoneFailover::UpdateStandings(Micros now) {
  for (std::size_t z = 0; z < seen_.size(); ++z) {
    const int zone = static_cast<int>(z);
    const Decision* verdict = Governing(zone);
    ZoneStatus s{.zone = zone};
    if (verdict != nullptr) FollowVerdict(now, *verdict, &s);
    if (const Order* order = OrderFor(zone)) {
      s.by_operator = true;
      s.served_from_inside = false;
      s.for_zone = -1;
      s.number = order->number;
      s.step = order->action == Order::Action::kLeave ? kEjected : kInUse;
    }
    // Those who serve it from inside say nothing of how others may use it.
    const std::uint64_t about = verdict == nullptr || s.served_from_inside ? 0 : verdict->number;
    if (seen_[z].about != about) {
      seen_[z].about = about;
      seen_[z].good = seen_[z].failed = 0;
      if (verdict == nullptr || verdict->step == kEjected) {
        // What it did before says nothing of how it comes back.
        seen_[z].failures = 0;
        seen_[z].jobs = 0;
        seen_[z].runs.clear();
      }
    }
    ZoneStatus& held = standing_[z];
    if (held.step == s.step && held.number == s.number) s.reporters = held.reporters;
    held = std::move(s);
  }
}

// The operators' order that decides of a zone: of its own and its region's, leaving is the
// stricter.
const Order* ZoneFailover::OrderFor(int zone) const {
  const Order* order = nullptr;
  for (const auto& [key, o] : orders_) {
    const Target* t = Find(key);
    if (o.action == Order::Action::kNone || t == nullptr || !Covers(*t, zone)) continue;
    if (order == nullptr || o.action == Order::Action::kLeave) order = &o;
  }
  return order;
}

void ZoneFailover::FollowVerdict(Micros now, const Decision& verdict, ZoneStatus* s) const {
  s->step = verdict.step;
  s->cause = verdict.cause;
  s->number = verdict.number;
  s->for_zone = verdict.for_zone;
  // Who is inside and finds it well when the others leave it goes on, until its own evidence is
  // bad. Who has left comes back with all.
  const ZoneStatus& was = standing_[static_cast<std::size_t>(s->zone)];
  const bool mine = s->zone == options_.zone && verdict.cause >= Cause::kSilent;
  s->served_from_inside = mine && ((was.served_from_inside && !IsBad(s->zone)) ||
                                   (was.step == kInUse && IsWell(s->zone)));
  if (s->served_from_inside) s->step = kInUse;
  if (const Target* t = Find(verdict.target)) s->reporters = EvidenceOf(now, *t).witnesses;
  if (s->reporters.empty() && was.number > 0) s->reporters = was.reporters;
}

std::vector<ZoneStatus> ZoneFailover::TakeChanges() {
  std::vector<ZoneStatus> changed;
  for (std::size_t z = 0; z < standing_.size(); ++z) {
    const ZoneStatus &a = standing_[z], &b = told_[z];
    if (a.step != b.step || a.number != b.number || a.by_operator != b.by_operator ||
        a.served_from_inside != b.served_from_inside)
      changed.push_back(a);
  }
  told_ = standing_;
  return changed;
}

bool ZoneFailover::KindElsewhere(int kind) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const Worker& w = entry.second;
    return w.in_service && w.kind == kind &&
           standing_[static_cast<std::size_t>(w.zone)].step != kEjected;
  });
}

// Some workers of a zone that is left are tried, each by one node, drawn alike at all of them.
bool ZoneFailover::IsTrier(Micros now, WorkerKey key, const Worker& w, const Decision& v) const {
  if (now < v.decided_at + WaitOf(v, w.started > v.decided_at) || !w.in_service) return false;
  const Target* target = Find(v.target);
  const auto epoch = static_cast<std::uint64_t>(now / options_.probe_interval);
  const auto rank = [&](std::uint64_t x) { return Mix(Mix(x) ^ Mix(epoch ^ (v.number << 40))); };
  // Nodes inside before others, as it is they who want it, but for those who find it well all the
  // time. Where there are none, all that it is for.
  const auto wants = [&](int node, int zone) {
    if (target == nullptr || v.for_zone >= 0 || !Covers(*target, zone)) return false;
    if (node == options_.self) return !standing_[static_cast<std::size_t>(zone)].served_from_inside;
    const auto it = reports_.find({KeyOf(targets_[static_cast<std::size_t>(zone)].name), node});
    return it == reports_.end() || it->second.report.tried == 0 ||
           it->second.report.decision_number != 0 ||
           it->second.report.bad >= options_.bad_fraction * it->second.report.tried;
  };
  const bool inside =
      wants(options_.self, options_.zone) || std::any_of(alive_.begin(), alive_.end(), [&](int n) {
        const auto it = zone_of_.find(n);
        return it != zone_of_.end() && wants(n, it->second);
      });
  const auto may = [&](int node, int zone) {
    return inside ? wants(node, zone) : v.for_zone < 0 || zone == v.for_zone;
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
  return before < options_.concurrent_probes;
}

Use ZoneFailover::use(Micros now, WorkerKey key) const {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return Use::kOpen;
  const Worker& w = it->second;
  const ZoneStatus& s = standing_[static_cast<std::size_t>(w.zone)];
  if (s.step == kInUse) return Use::kOpen;
  if (s.by_operator) return KindElsewhere(w.kind) ? Use::kClosed : Use::kOpen;
  const Decision* v = Governing(w.zone);
  if (v == nullptr) return Use::kOpen;
  // A bad zone is better than none.
  if (s.step == kEjected && !KindElsewhere(w.kind)) return Use::kOpen;
  if (s.step != kEjected) {
    const std::uint64_t pair =
        Mix(Mix(key) ^ Mix(static_cast<std::uint64_t>(options_.self) + 0x70616972));
    // Each pair opens at a moment of its own within half of the step, so that connections are made
    // one after another.
    const auto since = since_.find({v->target, v->for_zone});
    const double delay = Unit(Mix(pair)) * static_cast<double>(options_.min_step_duration) / 2;
    const bool was = Unit(pair) < OpenFraction(static_cast<std::uint8_t>(s.step - 1));
    if (Unit(pair) < OpenFraction(s.step) &&
        (was || since == since_.end() || static_cast<double>(now - since->second) >= delay))
      return Use::kOpen;
  }
  return IsTrier(now, key, w, *v) ? Use::kProbe : Use::kClosed;
}

}  // namespace pearreach::zones
