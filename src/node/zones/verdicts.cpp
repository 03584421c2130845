// Verdicts and operators' orders: which are raised here, and which of those heard are held.
#include <algorithm>

#include "node/zones/zones.h"

namespace pearreach::zones {
namespace {

constexpr int kPatience = 10;  // holds, after which a step needs no more than no failure

}  // namespace

// Where the list names processes that began after it was left, it is tried after two waits at the
// latest: that is no proof that they are well, but that something has changed.
Micros ZoneFailover::WaitOf(const Decision& v, bool anew) const {
  Micros wait = options_.probe_delay;
  const Micros most = anew ? 2 * options_.probe_delay : options_.max_probe_delay;
  for (int i = 1; i < v.ejections && wait < most; ++i) wait *= 2;
  return std::min(wait, most);
}

bool ZoneFailover::Anew(const Target& target, const Decision& v) const {
  int all = 0, anew = 0;
  for (const auto& [key, w] : workers_)
    if (w.in_service && Covers(target, w.zone)) {
      ++all;
      anew += w.started > v.decided_at ? 1 : 0;
    }
  return 2 * anew > all;
}

void ZoneFailover::Raise(Micros now, const Target& target, int whose, std::uint8_t step,
                         Cause cause, std::uint8_t leaves) {
  const Key key{KeyOf(target.name), whose};
  Decision v;
  v.target = key.target;
  v.for_zone = whose;
  v.number = verdicts_[key].number + 1;
  if (const auto it = pending_.find(key); it != pending_.end())
    v.number = std::max(v.number, it->second.verdict.number + 1);
  v.step = step;
  v.cause = cause;
  v.decided_by = options_.self;
  v.decided_at = now / 1000 * 1000;
  v.ejections = leaves;
  ++figures_.decided;
  Adopt(v);
  since_[key] = now;
}

void ZoneFailover::Adopt(const Decision& v) {
  const Key key{v.target, v.for_zone};
  Decision& held = verdicts_[key];
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
bool ZoneFailover::Supported(Micros now, const Decision& v) const {
  const Target* t = Find(v.target);
  if (t == nullptr || v.step != kEjected) return false;
  const Evidence e = EvidenceOf(now, *t);
  if (v.for_zone >= 0) return e.bad.contains(v.for_zone);
  return e.bad.size() >= 2 || OnlyInside(*t, e);
}

void ZoneFailover::Judge(Micros now) {
  if (options_.zones.size() < 2 || doubts_) return;
  // Regions first: what is left with its region needs no verdict of its own.
  for (std::size_t i = targets_.size(); i-- > 0;) {
    const Target& t = targets_[i];
    const TargetKey key = KeyOf(t.name);
    bool held = false, fleet = false;
    for (const int whose : {-1, options_.zone})
      if (const auto it = verdicts_.find({key, whose});
          it != verdicts_.end() && it->second.step != kInUse) {
        fleet = fleet || whose < 0;
        held = true;
        const Decision v = it->second;
        // Nobody believes this node: it takes back what it said.
        if (v.decided_by == options_.self && v.step == kEjected && !alive_.empty() &&
            now > v.decided_at + options_.one_sided_delay + options_.evidence_ttl &&
            !others_hold_.contains({key, whose}))
          Raise(now, t, whose, kInUse, v.cause, v.ejections);
        else
          JudgeReturn(now, t, v);
      }
    if (fleet || std::all_of(t.zones.begin(), t.zones.end(), [&](int z) { return IsLeft(z, -1); }))
      continue;
    const Evidence e = EvidenceOf(now, t);
    // Seen from two zones and denied by none it has failed for all. If that lasts, what nodes of
    // one zone see holds for them; and for all where they are the zone's own and nobody else has
    // tried: that is the only evidence there can be.
    const bool two = e.bad.size() >= 2 && e.well.empty();
    const bool one_sided = !two && !e.bad.empty() && !held;
    if (!one_sided) one_sided_.erase(key);
    if (!two && !one_sided) continue;
    if (one_sided &&
        now - one_sided_.try_emplace(key, now).first->second < options_.one_sided_delay)
      continue;
    const bool for_all = two || OnlyInside(t, e);
    if (!for_all && !e.bad.contains(options_.zone)) continue;
    const int whose = for_all ? -1 : options_.zone;
    if (!MayLeave(now, t, whose, e)) continue;
    const Decision& last = verdicts_[{key, whose}];
    const bool again = last.number > 0 && now - last.decided_at < options_.history_ttl;
    const int leaves = again ? std::min(250, last.ejections + 1) : 1;
    Raise(now, t, whose, kEjected, e.cause, static_cast<std::uint8_t>(leaves));
  }
}

void ZoneFailover::JudgeReturn(Micros now, const Target& target, const Decision& v) {
  const Tries tries = TriesOf(target, v);
  const Micros held = now - v.decided_at;
  const auto need = static_cast<std::uint32_t>(options_.successes_per_step);
  if (tries.failed >= 3 && tries.failed > tries.good) {
    // Not yet, or not any more: back, and a longer wait before it is tried again.
    if (v.step == kEjected && held < WaitOf(v, false)) return;
    return Raise(now, target, v.for_zone, kEjected, v.cause,
                 static_cast<std::uint8_t>(std::min(250, v.ejections + 1)));
  }
  const Micros least = v.step == kEjected ? WaitOf(v, Anew(target, v)) : options_.min_step_duration;
  const bool shown = tries.good >= need && tries.failed * 4 <= tries.good;
  // Where hardly a job comes there is hardly a job to be hurt.
  const bool idle = tries.failed == 0 && held >= kPatience * options_.min_step_duration +
                                                     (v.step == kEjected ? 3 * least : 0);
  if (held < least || !(shown || idle)) return;
  const bool last = without_.gradual_return || v.step == kLastStep;
  Raise(now, target, v.for_zone, last ? kInUse : static_cast<std::uint8_t>(v.step + 1), v.cause,
        v.ejections);
}

void ZoneFailover::HearVerdict(Micros now, int from, const Decision& v) {
  if (Find(v.target) == nullptr || v.number == 0 ||
      v.for_zone >= static_cast<int>(options_.zones.size()))
    return;
  const Key key{v.target, v.for_zone};
  const auto it = verdicts_.find(key);
  if (it != verdicts_.end() && v.number >= it->second.number) others_hold_.insert(key);
  if (it != verdicts_.end() && !without_.decision_order && !Later(v, it->second)) return;
  if (it != verdicts_.end() && it->second == v) return;
  // Only that a zone in use is to be left is doubted. How far one that was left may be used again
  // is taken from whoever says so: it is left or whole by the same evidence, and a part of the
  // fleet that stayed behind would be the greater harm.
  const bool in_use = it == verdicts_.end() || it->second.step == kInUse;
  const bool for_me = v.for_zone < 0 || v.for_zone == options_.zone;
  if (!in_use || !for_me || v.step == kInUse || without_.confirmation || Supported(now, v)) {
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
  const bool alone =
      options_.nodes <= 2 || (alive_.size() <= 1 && now > began_ + options_.evidence_ttl);
  if (p.holders.size() < (alone ? 1 : 2)) {
    ++figures_.unconfirmed;
    return;
  }
  ++figures_.adopted;
  Adopt(Decision(p.verdict));
}

bool ZoneFailover::Command(Micros now, const std::string& name, Order::Action what) {
  const TargetKey key = KeyOf(name);
  if (Find(key) == nullptr) return false;
  Order o;
  o.target = key;
  o.number = orders_[key].number + 1;
  o.action = what;
  o.issued_by = options_.self;
  o.issued_at = now / 1000 * 1000;
  HearOrder(o);
  UpdateStandings(now);
  return true;
}

void ZoneFailover::RestoreOrder(const Order& order) { HearOrder(order); }

void ZoneFailover::HearOrder(const Order& o) {
  if (Find(o.target) == nullptr || o.number == 0) return;
  Order& held = orders_[o.target];
  if (held == o) return;
  // Of two that contradict both are kept to be shown; one decides.
  const bool later = Later(o, held);
  const Order& loser = later ? held : o;
  if (loser.action != Order::Action::kNone && (!later || loser.action != o.action)) {
    Order& shown = overruled_[o.target];
    if (shown.number == 0 || Later(loser, shown)) shown = loser;
  }
  if (!later) return;
  held = o;
  urgent_ = true;
}

}  // namespace pearreach::zones
