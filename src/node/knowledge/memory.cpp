#include "node/knowledge/memory.h"

#include <algorithm>
#include <cmath>

namespace pearreach::knowledge {
namespace {

using dispatch::IndexOf;

double Weight(Micros age, Micros half) {
  return std::exp2(-static_cast<double>(std::max<Micros>(age, 0)) / static_cast<double>(half));
}
// Between `neutral` (weight 0) and `value` (weight 1), by their ratio: twice as slow fades like
// twice as fast.
double Towards(double neutral, double value, double weight) {
  return neutral > 0 && value > 0 ? neutral * std::pow(value / neutral, weight) : value;
}

}  // namespace

std::uint64_t SiteMark(const dispatch::Site& site) {
  std::string text;
  for (const dispatch::Names* names : {&site.kinds, &site.classes, &site.tenants, &site.zones}) {
    for (const std::string& name : *names) text.append(name).append(1, '\0');
    text.append(1, '\1');
  }
  return dispatch::HashName(text);
}

Memory Collect(const dispatch::Knowledge& learned, Micros now, const dispatch::Site& site,
               const std::vector<std::string>& names, const std::vector<std::int64_t>& started_ms,
               const std::string& node, UnixMicros unix_now) {
  Memory m;
  m.node = node;
  m.site = SiteMark(site);
  m.nodes = site.settings.balancers;
  m.written = unix_now;
  for (const dispatch::PoolKnowledge& p : learned.pools)
    m.pools.push_back({site.kinds.at(static_cast<std::size_t>(p.pool)), p});
  for (dispatch::WorkerKnowledge w : learned.workers) {
    if (w.worker >= names.size() || w.worker >= started_ms.size()) continue;
    if (w.died_at != 0) w.died_at = std::max<Micros>(1, now - w.died_at);
    for (auto& [at, work] : w.cold_sends) at = std::max<Micros>(0, now - at);
    m.workers.push_back({names[w.worker], started_ms[w.worker], std::move(w)});
  }
  for (const dispatch::ClassKnowledge& c : learned.classes)
    m.classes.push_back({site.classes.at(static_cast<std::size_t>(c.cls)), c});
  for (const dispatch::TenantKnowledge& t : learned.tenants)
    m.tenants.push_back({site.tenants.at(static_cast<std::size_t>(t.tenant)), t});
  return m;
}

Age AgeOf(UnixMicros written, UnixMicros now) {
  if (now < written - kClockSlack) return {kUnknownAge, true};
  return {std::max<Micros>(0, now - written), false};
}

Memory Aged(const Memory& memory, const dispatch::Site& site, const Age& age) {
  Memory m = memory;
  if (age.age >= kForgetAfter) {
    m.pools.clear(), m.workers.clear(), m.classes.clear(), m.tenants.clear();
    return m;
  }
  const double speed = Weight(age.age, kSpeedHalf);
  for (Memory::Pool& p : m.pools) {
    const double limit = Weight(age.age, kLimitHalf);
    p.what.limit *= limit;
    p.what.proven_limit *= limit;
    p.what.mean_running = Towards(p.what.mean_work, p.what.mean_running, speed);
  }
  for (Memory::Class& c : m.classes) {
    const int cls = IndexOf(site.classes, c.name);
    // The module begins with the aim for the work.
    if (cls >= 0)
      c.what.work =
          Towards(static_cast<double>(std::max<Micros>(
                      site.settings.classes[static_cast<std::size_t>(cls)].latency_target, 1000)),
                  c.what.work, speed);
  }
  for (Memory::Worker& w : m.workers) {
    w.what.slowness = Towards(1, w.what.slowness, Weight(age.age, kSlownessHalf));
    w.what.failures *= Weight(age.age, kFailuresHalf);
    w.what.silent = w.what.silent && age.age < kSilentFor;
    // Of an unknown age: as if it were all of this moment, which forbids most.
    const Micros passed = age.unknown ? 0 : age.age;
    if (w.what.died_at != 0) w.what.died_at = age.unknown ? 1 : w.what.died_at + passed;
    if (w.what.died_at > site.settings.cold_time) w.what.died_at = 0;
    for (auto& [ago, work] : w.what.cold_sends) ago = age.unknown ? 0 : ago + passed;
    std::erase_if(w.what.cold_sends,
                  [&](const auto& s) { return s.first > site.settings.overload_time; });
  }
  for (Memory::Tenant& t : m.tenants) {
    const int tenant = IndexOf(site.tenants, t.name);
    if (tenant < 0) continue;
    const double rate = site.settings.tenants[static_cast<std::size_t>(tenant)].quota_per_s /
                        std::max(1, site.settings.balancers);
    t.what.tokens += rate * static_cast<double>(age.age) / 1e6;
  }
  return m;
}

std::optional<Recall> ForNode(const Memory& memory, const dispatch::Site& site,
                              const std::string& node, UnixMicros unix_now, std::string* why) {
  if (memory.node != node) return *why = "it is of node " + memory.node, std::nullopt;
  if (memory.site != SiteMark(site)) return *why = "it is of another site", std::nullopt;
  const Age age = AgeOf(memory.written, unix_now);
  if (age.age >= kForgetAfter) return *why = "it is older than a day", std::nullopt;
  const Memory m = Aged(memory, site, age);
  Recall r;
  // Its limits were shares for so many nodes.
  const double share = static_cast<double>(std::max(1, m.nodes)) /
                       static_cast<double>(std::max(1, site.settings.balancers));
  for (Memory::Pool p : m.pools) {
    p.what.pool = IndexOf(site.kinds, p.kind);
    p.what.limit *= share;
    p.what.proven_limit *= share;
    if (p.what.pool >= 0) r.common.pools.push_back(p.what);
  }
  for (Memory::Class c : m.classes)
    if ((c.what.cls = IndexOf(site.classes, c.name)) >= 0) r.common.classes.push_back(c.what);
  for (Memory::Tenant t : m.tenants)
    if ((t.what.tenant = IndexOf(site.tenants, t.name)) >= 0) r.common.tenants.push_back(t.what);
  for (const Memory::Worker& w : m.workers) r.workers.emplace(w.id, w);
  return r;
}

dispatch::WorkerKnowledge ForModule(const Memory::Worker& worker, dispatch::WorkerId id,
                                    Micros now) {
  dispatch::WorkerKnowledge w = worker.what;
  w.worker = id;
  if (w.died_at != 0) w.died_at = std::max<Micros>(1, now - w.died_at);
  for (auto& [at, work] : w.cold_sends) at = now - at;
  return w;
}

}  // namespace pearreach::knowledge
