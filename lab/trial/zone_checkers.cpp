#include "lab/trial/zone_checkers.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "lab/trial/fault.h"

namespace pearreach::lab {
namespace {

constexpr Micros kEvidence = 8'000'000;  // a fault shows and is held against a zone so long after
constexpr Micros kSettled = 3'000'000;   // before a fault that is to be noticed all was quiet

struct FaultSeen {
  std::size_t line = 0;
  Micros at = 0, until = 0;
  std::string kind, from, to;
};
std::vector<FaultSeen> FaultsOf(const History& history) {
  std::vector<FaultSeen> all;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.who == "trial" && m.what == "fault")
      all.push_back(
          {i, m.at, m.at + m.Number("length_us"), m.Of("kind"), m.Of("from"), m.Of("to")});
  }
  return all;
}

struct Plan {
  int nodes = 0, zones = 1, workers = 12;
  bool has_zones = false;  // nodes say how they use zones
};
Plan PlanOf(const History& history) {
  Plan p;
  for (const Moment& m : history) {
    if (m.who == "trial" && m.what == "plan") {
      p.nodes = static_cast<int>(m.Number("nodes"));
      p.zones = static_cast<int>(m.Number("zones"));
      p.has_zones = m.Of("leaves_zones") == "1";
      if (!m.Of("workers").empty()) p.workers = static_cast<int>(m.Number("workers"));
    }
  }
  return p;
}

bool TouchesWorkers(const std::string& kind) {
  return kind == "silence" || kind == "die" || kind == "fail" || kind == "slow" ||
         kind == "cut-tcp" || kind == "hold-tcp" || kind == "drain";
}
bool TouchesNodes(const std::string& kind) { return !TouchesWorkers(kind) && kind != "late-list"; }

// How a node uses a zone, from one line on.
struct Use {
  Micros at = 0, until = 0;
  int step = 0;
  bool by_hand = false, own = false, one_sided = false;
  std::size_t line = 0;
};
// By node and zone, in order; the first is whole. A new process begins with whole.
std::map<std::string, std::map<std::string, std::vector<Use>>> UsesOf(const History& history) {
  std::map<std::string, std::map<std::string, std::vector<Use>>> all;
  const Micros end = history.empty() ? 0 : history.back().at;
  const auto add = [&](const std::string& node, const std::string& zone, Use use) {
    auto& uses = all[node][zone];
    if (!uses.empty()) uses.back().until = use.at;
    use.until = end;
    uses.push_back(use);
  };
  std::set<std::string> there;
  const int zones = PlanOf(history).zones;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.what == "zone" && !m.Of("zone").empty())
      add(m.who, m.Of("zone"),
          {m.at, end, static_cast<int>(m.Number("step")), m.Of("by_hand") == "1",
           m.Of("own") == "1", m.Of("whose") != "all" && !m.Of("whose").empty(), i});
    if (m.what == "serving")
      for (int z = 0; z < zones; ++z)
        add(m.who, "z" + std::to_string(z), {m.at, end, 0, false, false, false, i});
    // One that is not there holds nothing.
    if (m.who == "trial" && (m.what == "ended" || m.what == "ending" || m.what == "twin_ended"))
      for (auto& [zone, uses] : all[m.Of("node") + (m.what == "twin_ended" ? "t" : "")])
        if (!uses.empty() && uses.back().until == end) uses.back().until = m.at;
  }
  return all;
}

}  // namespace

// From the last fault on: words that were late, evidence that fades, and each step at its shortest
// and once again, after the longest wait that a trial's flapping makes.
Micros ZonesWholeWithin() { return 30'000'000; }

std::vector<Micros> LeftAt(const History& history, const std::string& zone, Micros from) {
  std::map<std::string, Micros> first;
  for (const Moment& m : history)
    if (m.what == "zone" && m.Of("zone") == zone && m.Number("step") == 1 && m.at >= from)
      first.emplace(m.who, m.at);
  std::vector<Micros> all;
  for (const auto& [node, at] : first) all.push_back(at);
  std::sort(all.begin(), all.end());
  return all;
}

// No node leaves all zones, but by hand.
std::vector<Violation> ZonesNeverAll(const History& history) {
  std::vector<Violation> wrong;
  const Plan plan = PlanOf(history);
  std::map<std::string, std::set<std::string>> left;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.what == "serving") left[m.who].clear();
    if (m.what != "zone" || m.Of("zone").empty()) continue;
    if (m.Number("step") == 1 && m.Of("by_hand") != "1")
      left[m.who].insert(m.Of("zone"));
    else
      left[m.who].erase(m.Of("zone"));
    if (static_cast<int>(left[m.who].size()) >= plan.zones)
      wrong.push_back({"zones-never-all", m.at, m.who + " has left all zones", {i}});
  }
  return wrong;
}

// A zone is left by a verdict only where faults touched half of its workers at least, or the ways
// to them.
std::vector<Violation> ZonesFounded(const History& history) {
  std::vector<Violation> wrong;
  const Plan plan = PlanOf(history);
  const std::vector<FaultSeen> faults = FaultsOf(history);
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.what != "zone" || m.Of("zone").empty() || m.Number("step") != 1 || m.Of("by_hand") == "1")
      continue;
    int touched = 0, all = 0;
    for (int w = 0; w < plan.workers; ++w) {
      const std::string worker = "s-" + std::to_string(w);
      if (!Selects(m.Of("zone"), worker, plan.zones)) continue;
      ++all;
      touched += std::any_of(faults.begin(), faults.end(), [&](const FaultSeen& f) {
        if (!TouchesWorkers(f.kind) || f.at > m.at || f.until + kEvidence < m.at) return false;
        const bool link = f.kind == "cut-tcp" || f.kind == "hold-tcp";
        return Selects(link ? f.to : f.from, worker, plan.zones);
      });
    }
    if (2 * touched < all)
      wrong.push_back({"zones-founded",
                       m.at,
                       m.who + " leaves " + m.Of("zone") + ", of whose " + std::to_string(all) +
                           " workers faults touched " + std::to_string(touched),
                       {i}});
  }
  return wrong;
}

// A zone that falls silent as a whole, and nothing else is at fault: all nodes know in time.
std::vector<Violation> ZonesInTime(const History& history) {
  std::vector<Violation> wrong;
  const Plan plan = PlanOf(history);
  if (!plan.has_zones || plan.zones < 3) return wrong;
  const std::vector<FaultSeen> faults = FaultsOf(history);
  const auto uses = UsesOf(history);
  for (const FaultSeen& f : faults) {
    if ((f.kind != "silence" && f.kind != "die") || f.from[0] != 'z' ||
        f.until < f.at + kZoneLeft || f.at < kSettled)
      continue;
    const bool alone = std::none_of(faults.begin(), faults.end(), [&](const FaultSeen& o) {
      return o.line != f.line && o.at < f.at + kZoneLeft && o.until + kSettled > f.at;
    });
    if (!alone) continue;
    for (int n = 0; n < plan.nodes; ++n) {
      const std::string node = "n" + std::to_string(n);
      const auto it = uses.find(node);
      bool left = false;
      if (it != uses.end() && it->second.contains(f.from))
        for (const Use& u : it->second.at(f.from))
          left = left || (u.step == 1 && u.at <= f.at + kZoneLeft && u.until >= f.at);
      if (!left)
        wrong.push_back({"zones-in-time",
                         f.at + kZoneLeft,
                         node + " has not left " + f.from + ", which is gone",
                         {f.line}});
    }
  }
  return wrong;
}

// Two nodes that no fault touches do not use one zone differently for long; nor do any two once no
// fault is at work. What a node inside a zone serves by itself, and what nodes of one zone leave
// because they cannot reach it, is meant to differ.
std::vector<Violation> ZonesAgreed(const History& history) {
  std::vector<Violation> wrong;
  const Plan plan = PlanOf(history);
  const std::vector<FaultSeen> faults = FaultsOf(history);
  const auto uses = UsesOf(history);
  Micros quiet = history.empty() ? 0 : history.back().at;
  for (const Moment& m : history)
    if (m.who == "trial" && m.what == "quiet") quiet = m.at;
  const auto touched = [&](const std::string& node, Micros from, Micros until) {
    return std::any_of(faults.begin(), faults.end(), [&](const FaultSeen& f) {
      return TouchesNodes(f.kind) && f.at <= until && f.until + kZonesAgree >= from &&
             (Selects(f.from, node, plan.zones) || Selects(f.to, node, plan.zones));
    });
  };
  for (auto a = uses.begin(); a != uses.end(); ++a)
    for (auto b = std::next(a); b != uses.end(); ++b)
      for (const auto& [zone, mine] : a->second) {
        const auto it = b->second.find(zone);
        if (it == b->second.end()) continue;
        for (const Use& u : mine)
          for (const Use& v : it->second) {
            if (u.own || v.own || u.one_sided || v.one_sided || (u.step == 1) == (v.step == 1))
              continue;
            const Micros from = std::max(u.at, v.at), until = std::min(u.until, v.until);
            if (until - from <= kZonesAgree) continue;
            const bool by_hand = u.by_hand || v.by_hand;
            if (from < quiet &&
                (by_hand || touched(a->first, from, until) || touched(b->first, from, until)))
              continue;
            wrong.push_back({"zones-agreed",
                             from + kZonesAgree,
                             a->first + " and " + b->first + " use " + zone + " differently for " +
                                 std::to_string((until - from) / 1000) + " ms",
                             {u.line, v.line}});
          }
      }
  return wrong;
}

// Long after the last fault all zones are whole at all nodes. Judged where the history is that
// long.
std::vector<Violation> ZonesWhole(const History& history) {
  std::vector<Violation> wrong;
  Micros quiet = -1, end = -1;
  for (const Moment& m : history) {
    if (m.who != "trial") continue;
    if (m.what == "quiet") quiet = m.at;
    if (m.what == "ending" && quiet >= 0 && end < 0) end = m.at;
  }
  if (quiet < 0 || end < quiet + ZonesWholeWithin()) return wrong;
  for (const auto& [node, zones] : UsesOf(history))
    for (const auto& [zone, uses] : zones)
      for (const Use& u : uses)
        if (u.step != 0 && u.at < quiet + ZonesWholeWithin() && u.until >= end)
          wrong.push_back({"zones-whole",
                           quiet + ZonesWholeWithin(),
                           node + " has " + zone + " at step " + std::to_string(u.step) +
                               " though all faults are over",
                           {u.line}});
  return wrong;
}

}  // namespace pearreach::lab
