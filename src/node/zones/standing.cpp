// Derives from the decisions and orders how this node uses each zone, and which workers of an
// ejected zone it probes.
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
  constexpr double kFractions[] = {1, 0, 0.125, 0.25, 0.5};
  return kFractions[std::min<std::uint8_t>(step, kLastStep)];
}

// The decision that applies to a zone at this node: the strictest of those made for this node.
const Decision* ZoneFailover::GoverningDecision(int zone) const {
  const Decision* most = nullptr;
  for (const auto& [key, v] : decisions_) {
    if (v.step == kInUse || (v.for_zone >= 0 && v.for_zone != options_.zone)) continue;
    const Target* t = FindTarget(v.target);
    if (t == nullptr || !Contains(*t, zone)) continue;
    if (most == nullptr || v.step < most->step) most = &v;
  }
  return most;
}

void ZoneFailover::UpdateStatuses(Micros now) {
  for (std::size_t z = 0; z < observations_.size(); ++z) {
    const int zone = static_cast<int>(z);
    const Decision* decision = GoverningDecision(zone);
    ZoneStatus s{.zone = zone};
    if (decision != nullptr) ApplyDecision(now, *decision, &s);
    if (const Order* order = OrderFor(zone)) {
      s.by_operator = true;
      s.served_from_inside = false;
      s.for_zone = -1;
      s.number = order->number;
      s.step = order->action == Order::Action::kLeave ? kEjected : kInUse;
    }
    // Results of a node that serves the zone from inside do not show whether others can use it.
    const std::uint64_t decision_number =
        decision == nullptr || s.served_from_inside ? 0 : decision->number;
    if (observations_[z].decision_number != decision_number) {
      observations_[z].decision_number = decision_number;
      observations_[z].succeeded = observations_[z].failed = 0;
      if (decision == nullptr || decision->step == kEjected) {
        // Earlier results do not count for the return.
        observations_[z].failure_rate = 0;
        observations_[z].jobs = 0;
        observations_[z].run_times.clear();
      }
    }
    ZoneStatus& known = statuses_[z];
    if (known.step == s.step && known.number == s.number) s.reporters = known.reporters;
    known = std::move(s);
  }
}

// The operators' order that applies to a zone. Of the orders for the zone and for its region, one
// to leave takes precedence.
const Order* ZoneFailover::OrderFor(int zone) const {
  const Order* order = nullptr;
  for (const auto& [key, o] : orders_) {
    const Target* t = FindTarget(key);
    if (o.action == Order::Action::kNone || t == nullptr || !Contains(*t, zone)) continue;
    if (order == nullptr || o.action == Order::Action::kLeave) order = &o;
  }
  return order;
}

void ZoneFailover::ApplyDecision(Micros now, const Decision& decision, ZoneStatus* s) const {
  s->step = decision.step;
  s->cause = decision.cause;
  s->number = decision.number;
  s->for_zone = decision.for_zone;
  // A node inside the zone that finds it healthy keeps using it when the others eject it, until its
  // own evidence is bad. Once it has ejected the zone, it returns to it with all other nodes.
  const ZoneStatus& was = statuses_[static_cast<std::size_t>(s->zone)];
  const bool own_zone = s->zone == options_.zone && decision.cause >= Cause::kSilent;
  s->served_from_inside = own_zone && ((was.served_from_inside && !IsBad(s->zone)) ||
                                       (was.step == kInUse && IsHealthy(s->zone)));
  if (s->served_from_inside) s->step = kInUse;
  if (const Target* t = FindTarget(decision.target))
    s->reporters = CollectEvidence(now, *t).bad_reporters;
  if (s->reporters.empty() && was.number > 0) s->reporters = was.reporters;
}

std::vector<ZoneStatus> ZoneFailover::TakeChanges() {
  std::vector<ZoneStatus> changed;
  for (std::size_t z = 0; z < statuses_.size(); ++z) {
    const ZoneStatus &a = statuses_[z], &b = reported_statuses_[z];
    if (a.step != b.step || a.number != b.number || a.by_operator != b.by_operator ||
        a.served_from_inside != b.served_from_inside)
      changed.push_back(a);
  }
  reported_statuses_ = statuses_;
  return changed;
}

bool ZoneFailover::KindElsewhere(int kind) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const Worker& w = entry.second;
    return w.in_service && w.kind == kind &&
           statuses_[static_cast<std::size_t>(w.zone)].step != kEjected;
  });
}

// A few workers of an ejected zone are probed, each by one node; a hash that is the same at all
// nodes selects both.
bool ZoneFailover::IsProber(Micros now, WorkerKey key, const Worker& w, const Decision& v) const {
  if (now < v.decided_at + ProbeDelayOf(v, w.started_at > v.decided_at) || !w.in_service)
    return false;
  const Target* target = FindTarget(v.target);
  const auto epoch = static_cast<std::uint64_t>(now / options_.probe_interval);
  const auto rank = [&](std::uint64_t x) { return Mix(Mix(x) ^ Mix(epoch ^ (v.number << 40))); };
  // Nodes inside the target probe first, as they need it most, except those that found it healthy
  // throughout. If there are none, all nodes to which the decision applies may probe.
  const auto wants = [&](int node, int zone) {
    if (target == nullptr || v.for_zone >= 0 || !Contains(*target, zone)) return false;
    if (node == options_.self) return !statuses_[static_cast<std::size_t>(zone)].served_from_inside;
    const auto it = reports_.find({KeyOf(targets_[static_cast<std::size_t>(zone)].name), node});
    return it == reports_.end() || it->second.report.tried == 0 ||
           it->second.report.decision_number != 0 ||
           it->second.report.bad >= options_.bad_fraction * it->second.report.tried;
  };
  const bool inside =
      wants(options_.self, options_.zone) || std::any_of(alive_.begin(), alive_.end(), [&](int n) {
        const auto it = peer_zones_.find(n);
        return it != peer_zones_.end() && wants(n, it->second);
      });
  const auto may = [&](int node, int zone) {
    return inside ? wants(node, zone) : v.for_zone < 0 || zone == v.for_zone;
  };
  const auto node_rank = [&](int node) {
    return rank((std::uint64_t{key} << 32) ^ static_cast<std::uint64_t>(node + 1));
  };
  if (!may(options_.self, options_.zone)) return false;
  for (const int n : alive_) {
    const auto it = peer_zones_.find(n);
    if (it != peer_zones_.end() && may(n, it->second) && node_rank(n) > node_rank(options_.self))
      return false;
  }
  int before = 0;
  for (const auto& [other, o] : workers_)
    if (other != key && o.in_service && target != nullptr && Contains(*target, o.zone) &&
        rank(other) > rank(key))
      ++before;
  return before < options_.concurrent_probes;
}

Use ZoneFailover::use(Micros now, WorkerKey key) const {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return Use::kOpen;
  const Worker& w = it->second;
  const ZoneStatus& s = statuses_[static_cast<std::size_t>(w.zone)];
  if (s.step == kInUse) return Use::kOpen;
  if (s.by_operator) return KindElsewhere(w.kind) ? Use::kClosed : Use::kOpen;
  const Decision* v = GoverningDecision(w.zone);
  if (v == nullptr) return Use::kOpen;
  // A kind of worker that exists nowhere else stays in use in a bad zone.
  if (s.step == kEjected && !KindElsewhere(w.kind)) return Use::kOpen;
  if (s.step != kEjected) {
    const std::uint64_t pair =
        Mix(Mix(key) ^ Mix(static_cast<std::uint64_t>(options_.self) + 0x70616972));
    // Each pair opens at its own time within the first half of the step, which spreads the new
    // connections.
    const auto since = adopted_at_.find({v->target, v->for_zone});
    const double delay = Unit(Mix(pair)) * static_cast<double>(options_.min_step_duration) / 2;
    const bool was_open = Unit(pair) < OpenFraction(static_cast<std::uint8_t>(s.step - 1));
    if (Unit(pair) < OpenFraction(s.step) && (was_open || since == adopted_at_.end() ||
                                              static_cast<double>(now - since->second) >= delay))
      return Use::kOpen;
  }
  return IsProber(now, key, w, *v) ? Use::kProbe : Use::kClosed;
}

}  // namespace pearreach::zones
