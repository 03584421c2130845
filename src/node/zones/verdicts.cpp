// Decisions and operators' orders: makes them, and merges those of other nodes.
#include <algorithm>

#include "node/zones/zones.h"

namespace pearreach::zones {
namespace {

// After this many minimum step durations, a step without a failure needs no successful job.
constexpr int kIdleSteps = 10;

}  // namespace

// A restarted target is probed after twice the initial delay at the latest: a restart does not
// prove that the workers are healthy, but that something has changed.
Micros ZoneFailover::ProbeDelayOf(const Decision& v, bool restarted) const {
  Micros wait = options_.probe_delay;
  const Micros most = restarted ? 2 * options_.probe_delay : options_.max_probe_delay;
  for (int i = 1; i < v.ejections && wait < most; ++i) wait *= 2;
  return std::min(wait, most);
}

bool ZoneFailover::MostlyRestarted(const Target& target, const Decision& v) const {
  int all = 0, restarted = 0;
  for (const auto& [key, w] : workers_)
    if (w.in_service && Contains(target, w.zone)) {
      ++all;
      restarted += w.started_at > v.decided_at ? 1 : 0;
    }
  return 2 * restarted > all;
}

void ZoneFailover::Decide(Micros now, const Target& target, int for_zone, std::uint8_t step,
                          Cause cause, std::uint8_t ejections) {
  const Key key{KeyOf(target.name), for_zone};
  Decision v;
  v.target = key.target;
  v.for_zone = for_zone;
  v.number = decisions_[key].number + 1;
  if (const auto it = pending_.find(key); it != pending_.end())
    v.number = std::max(v.number, it->second.decision.number + 1);
  v.step = step;
  v.cause = cause;
  v.decided_by = options_.self;
  v.decided_at = now / 1000 * 1000;
  v.ejections = ejections;
  ++stats_.decided;
  Adopt(v);
  adopted_at_[key] = now;
}

void ZoneFailover::Adopt(const Decision& v) {
  const Key key{v.target, v.for_zone};
  Decision& known = decisions_[key];
  known = v;
  adopted_at_[key] = next_tick_;
  pending_.erase(key);
  confirmed_by_peers_.erase(key);
  urgent_ = true;
  const Target* t = FindTarget(v.target);
  if (t == nullptr) return;
  // Jobs already in flight do not count as results under the new decision.
  for (auto& [worker, w] : workers_)
    if (Contains(*t, w.zone)) w.sent_before_decision = w.in_flight;
}

// Whether the evidence known to this node is sufficient for the decision.
bool ZoneFailover::IsSupported(Micros now, const Decision& v) const {
  const Target* t = FindTarget(v.target);
  if (t == nullptr || v.step != kEjected) return false;
  const Evidence e = CollectEvidence(now, *t);
  if (v.for_zone >= 0) return e.bad_for.contains(v.for_zone);
  return e.bad_for.size() >= 2 || OnlyInsideReports(*t, e);
}

void ZoneFailover::Evaluate(Micros now) {
  if (options_.zones.size() < 2 || doubts_) return;
  // Regions first: a zone that is ejected with its region needs no decision of its own.
  for (std::size_t i = targets_.size(); i-- > 0;) {
    const Target& t = targets_[i];
    const TargetKey key = KeyOf(t.name);
    bool ejected = false, ejected_for_all = false;
    for (const int for_zone : {-1, options_.zone})
      if (const auto it = decisions_.find({key, for_zone});
          it != decisions_.end() && it->second.step != kInUse) {
        ejected_for_all = ejected_for_all || for_zone < 0;
        ejected = true;
        const Decision v = it->second;
        // No other node has confirmed this node's decision: it withdraws it.
        if (v.decided_by == options_.self && v.step == kEjected && !alive_.empty() &&
            now > v.decided_at + options_.one_sided_delay + options_.evidence_ttl &&
            !confirmed_by_peers_.contains({key, for_zone}))
          Decide(now, t, for_zone, kInUse, v.cause, v.ejections);
        else
          EvaluateReturn(now, t, v);
      }
    if (ejected_for_all ||
        std::all_of(t.zones.begin(), t.zones.end(), [&](int z) { return IsEjected(z, -1); }))
      continue;
    const Evidence e = CollectEvidence(now, t);
    // Reported as bad from two zones and as healthy from none, the target has failed for all nodes.
    // A failure that only nodes of one zone report applies, once it has lasted, to these nodes. It
    // applies to all nodes if the reporters are inside the target and no node outside has tried it,
    // as there can be no other evidence then.
    const bool two = e.bad_for.size() >= 2 && e.healthy_for.empty();
    const bool one_sided = !two && !e.bad_for.empty() && !ejected;
    if (!one_sided) one_sided_since_.erase(key);
    if (!two && !one_sided) continue;
    if (one_sided &&
        now - one_sided_since_.try_emplace(key, now).first->second < options_.one_sided_delay)
      continue;
    const bool for_all = two || OnlyInsideReports(t, e);
    if (!for_all && !e.bad_for.contains(options_.zone)) continue;
    const int for_zone = for_all ? -1 : options_.zone;
    if (!MayEject(now, t, for_zone, e)) continue;
    const Decision& last = decisions_[{key, for_zone}];
    const bool again = last.number > 0 && now - last.decided_at < options_.history_ttl;
    const int ejections = again ? std::min(250, last.ejections + 1) : 1;
    Decide(now, t, for_zone, kEjected, e.cause, static_cast<std::uint8_t>(ejections));
  }
}

void ZoneFailover::EvaluateReturn(Micros now, const Target& target, const Decision& v) {
  const ProbeResults results = ProbeResultsOf(target, v);
  const Micros elapsed = now - v.decided_at;
  const auto need = static_cast<std::uint32_t>(options_.successes_per_step);
  if (results.failed >= 3 && results.failed > results.succeeded) {
    // Still failing, or failing again: ejects the target with a longer delay before the next probe.
    if (v.step == kEjected && elapsed < ProbeDelayOf(v, false)) return;
    return Decide(now, target, v.for_zone, kEjected, v.cause,
                  static_cast<std::uint8_t>(std::min(250, v.ejections + 1)));
  }
  const Micros least =
      v.step == kEjected ? ProbeDelayOf(v, MostlyRestarted(target, v)) : options_.min_step_duration;
  const bool shown = results.succeeded >= need && results.failed * 4 <= results.succeeded;
  // With hardly any traffic, a return puts hardly any job at risk.
  const bool idle = results.failed == 0 && elapsed >= kIdleSteps * options_.min_step_duration +
                                                          (v.step == kEjected ? 3 * least : 0);
  if (elapsed < least || !(shown || idle)) return;
  const bool last = disabled_.gradual_return || v.step == kLastStep;
  Decide(now, target, v.for_zone, last ? kInUse : static_cast<std::uint8_t>(v.step + 1), v.cause,
         v.ejections);
}

void ZoneFailover::MergeDecision(Micros now, int from, const Decision& v) {
  if (FindTarget(v.target) == nullptr || v.number == 0 ||
      v.for_zone >= static_cast<int>(options_.zones.size()))
    return;
  const Key key{v.target, v.for_zone};
  const auto it = decisions_.find(key);
  if (it != decisions_.end() && v.number >= it->second.number) confirmed_by_peers_.insert(key);
  if (it != decisions_.end() && !disabled_.decision_order && !Supersedes(v, it->second)) return;
  if (it != decisions_.end() && it->second == v) return;
  // Only the ejection of a zone in use needs confirmation. The steps of a return are adopted from
  // any node: they rest on the same evidence, and a part of the fleet that stays at an earlier step
  // would do more harm.
  const bool in_use = it == decisions_.end() || it->second.step == kInUse;
  const bool for_me = v.for_zone < 0 || v.for_zone == options_.zone;
  if (!in_use || !for_me || v.step == kInUse || disabled_.confirmation || IsSupported(now, v)) {
    ++stats_.adopted;
    return Adopt(v);
  }
  // A single sender may be the one that is wrong: adoption needs a second node with the same
  // decision, or sufficient evidence here. If only one other node is alive, it is enough.
  Pending& p = pending_[key];
  const bool same = p.decision.number == v.number && p.decision.step == v.step;
  if (!same && !Supersedes(v, p.decision)) return;
  if (!same) p.holders.clear();
  if (!same || Supersedes(v, p.decision)) p.decision = v;
  p.holders.insert(from);
  const bool alone =
      options_.nodes <= 2 || (alive_.size() <= 1 && now > started_at_ + options_.evidence_ttl);
  if (p.holders.size() < (alone ? 1 : 2)) {
    ++stats_.unconfirmed;
    return;
  }
  ++stats_.adopted;
  Adopt(Decision(p.decision));
}

bool ZoneFailover::Command(Micros now, const std::string& name, Order::Action action) {
  const TargetKey key = KeyOf(name);
  if (FindTarget(key) == nullptr) return false;
  Order o;
  o.target = key;
  o.number = orders_[key].number + 1;
  o.action = action;
  o.issued_by = options_.self;
  o.issued_at = now / 1000 * 1000;
  MergeOrder(o);
  UpdateStatuses(now);
  return true;
}

void ZoneFailover::RestoreOrder(const Order& order) { MergeOrder(order); }

void ZoneFailover::MergeOrder(const Order& o) {
  if (FindTarget(o.target) == nullptr || o.number == 0) return;
  Order& known = orders_[o.target];
  if (known == o) return;
  // Of two contradicting orders one applies; the other is kept for display.
  const bool later = Supersedes(o, known);
  const Order& loser = later ? known : o;
  if (loser.action != Order::Action::kNone && (!later || loser.action != o.action)) {
    Order& shown = overruled_[o.target];
    if (shown.number == 0 || Supersedes(loser, shown)) shown = loser;
  }
  if (!later) return;
  known = o;
  urgent_ = true;
}

}  // namespace pearreach::zones
