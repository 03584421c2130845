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

double Zones::Share(std::uint8_t step) {
  constexpr double kShares[] = {1, 0, 0.125, 0.25, 0.5};
  return kShares[std::min<std::uint8_t>(step, kLastStep)];
}

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

void Zones::UpdateStandings(Micros now) {
  for (std::size_t z = 0; z < seen_.size(); ++z) {
    const int zone = static_cast<int>(z);
    const Verdict* verdict = Governing(zone);
    Standing s{.zone = zone};
    if (verdict != nullptr) FollowVerdict(now, *verdict, &s);
    if (const Order* order = OrderFor(zone)) {
      s.by_hand = true;
      s.own = false;
      s.whose = -1;
      s.number = order->number;
      s.step = order->what == Order::What::kLeave ? kLeft : kWhole;
    }
    // Those who serve it from inside say nothing of how others may use it.
    const std::uint64_t about = verdict == nullptr || s.own ? 0 : verdict->number;
    if (seen_[z].about != about) {
      seen_[z].about = about;
      seen_[z].good = seen_[z].failed = 0;
      if (verdict == nullptr || verdict->step == kLeft) {
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

// The operators' order that decides of a zone: of its own and its region's, leaving is the
// stricter.
const Order* Zones::OrderFor(int zone) const {
  const Order* order = nullptr;
  for (const auto& [key, o] : orders_) {
    const Target* t = Find(key);
    if (o.what == Order::What::kNone || t == nullptr || !Covers(*t, zone)) continue;
    if (order == nullptr || o.what == Order::What::kLeave) order = &o;
  }
  return order;
}

void Zones::FollowVerdict(Micros now, const Verdict& verdict, Standing* s) const {
  s->step = verdict.step;
  s->cause = verdict.cause;
  s->number = verdict.number;
  s->whose = verdict.whose;
  // Who is inside and finds it well when the others leave it goes on, until its own evidence is
  // bad. Who has left comes back with all.
  const Standing& was = standing_[static_cast<std::size_t>(s->zone)];
  const bool mine = s->zone == options_.zone && verdict.cause >= Cause::kSilent;
  s->own = mine && ((was.own && !IsBad(s->zone)) || (was.step == kWhole && IsWell(s->zone)));
  if (s->own) s->step = kWhole;
  if (const Target* t = Find(verdict.target)) s->witnesses = EvidenceOf(now, *t).witnesses;
  if (s->witnesses.empty() && was.number > 0) s->witnesses = was.witnesses;
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

}  // namespace pearreach::zones
