#include "lab/trial/rules_checkers.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "lab/trial/fault.h"

namespace pearreach::lab {
namespace {

constexpr Micros kLog = 5'000;  // the log's times are cut, and a line is not written at once
constexpr Micros kDrained = 1'050'000;  // after a ban, as after a drain by a list
constexpr Micros kTurn = 500'000;       // of a machine that is busy with all these processes

// What a node acts on, from one line on.
struct Acts {
  std::size_t line = 0;
  Micros from = 0, until = 0;
  std::string node, basis;
  std::pair<std::int64_t, std::int64_t> head;  // epoch and number
  std::set<std::string> versions, bans;
};

std::set<std::string> Set(const std::string& text, char between) {
  std::set<std::string> all;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t end = std::min(text.find(between, at), text.size());
    if (end > at) all.insert(text.substr(at, end - at));
    at = end + 1;
  }
  return all;
}

struct Seen {
  Micros within = 0;  // T; 0: rules are off
  Micros quiet = -1, ending = -1, slack = 0;
  std::vector<Acts> acts;
  std::map<std::string, std::vector<std::pair<Micros, Micros>>> stopped;
};
Seen Read(const History& history) {
  Seen seen;
  std::map<std::string, std::size_t> open;  // node: its acts
  std::map<std::string, Micros> stalled;
  const auto close = [&](const std::string& node, Micros at) {
    const auto it = open.find(node);
    if (it == open.end()) return;
    seen.acts[it->second].until = at;
    open.erase(it);
  };
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.what == "rules") {
      close(m.who, m.at);
      open[m.who] = seen.acts.size();
      seen.acts.push_back({i,
                           m.at,
                           history.back().at,
                           m.who,
                           m.Of("basis"),
                           {m.Number("epoch"), m.Number("number")},
                           Set(m.Of("versions"), '+'),
                           Set(m.Of("bans"), ' ')});
    }
    if (m.who != "trial") continue;
    const std::string& node = m.Of("node");
    if (m.what == "plan") seen.within = m.Number("rules_within_us");
    if (m.what == "turn") seen.slack = std::max(seen.slack, Micros{m.Number("late_us")});
    if (m.what == "ended" || m.what == "ending" || m.what == "started") close(node, m.at);
    if (m.what == "twin_ended") close(node + "t", m.at);
    if (m.what == "stalled") stalled.emplace(node, m.at);
    if (m.what == "resumed" || m.what == "ended")
      if (const auto it = stalled.find(node); it != stalled.end()) {
        seen.stopped[node].push_back({it->second, m.at});
        stalled.erase(it);
      }
    if (m.what == "quiet") seen.quiet = m.at;
    if (m.what == "ending" && seen.quiet >= 0 && seen.ending < 0) seen.ending = m.at;
  }
  return seen;
}

// The last moment in [from, until] at which the node was not stopped; less than `from`: none.
Micros LastActive(const Seen& seen, const std::string& node, Micros from, Micros until) {
  const auto it = seen.stopped.find(node);
  if (it == seen.stopped.end()) return until;
  for (auto span = it->second.rbegin(); span != it->second.rend(); ++span)
    if (span->first <= until && span->second >= until) until = span->first;
  return until >= from ? until : from - 1;
}

}  // namespace

Contradiction LongestContradiction(const History& history) {
  const Seen seen = Read(history);
  std::map<std::pair<std::int64_t, std::int64_t>, Micros> in_force;
  for (const Acts& a : seen.acts)
    if (a.basis != "floor") in_force.try_emplace(a.head, a.from);
  Contradiction most;
  for (const Acts& x : seen.acts)
    for (const Acts& y : seen.acts) {
      if (x.basis == "floor" || y.basis == "floor" || !(x.head < y.head)) continue;
      const Micros from = std::max(x.from, y.from);
      Micros until = std::min(x.until, y.until) - kLog;
      if (until <= from) continue;
      // Of one epoch: whoever still acts on the older one too contradicts nobody.
      if (x.head.first == y.head.first &&
          std::any_of(x.versions.begin(), x.versions.end(),
                      [&](const std::string& v) { return y.versions.count(v) > 0; }))
        continue;
      // Both must run at one moment.
      for (Micros before = -1; before != until;) {
        before = until;
        until = LastActive(seen, x.node, from, until);
        until = LastActive(seen, y.node, from, until);
      }
      if (until <= from) continue;
      const Micros since = until - in_force.at(y.head);
      if (since <= most.longest) continue;
      most = {since,
              until,
              x.node + " acted on version " + std::to_string(x.head.second) + " " +
                  std::to_string(since / 1000) + " ms after version " +
                  std::to_string(y.head.second) + " was in force, when " + y.node +
                  " acted on that",
              {x.line, y.line}};
    }
  return most;
}

std::vector<Violation> RulesWithin(const History& history) {
  const Seen seen = Read(history);
  const Contradiction most = LongestContradiction(history);
  if (seen.within == 0 || most.longest <= seen.within) return {};
  return {{"rules-within", most.at, most.what, most.lines}};
}

// A version has one text, whoever acts on it.
std::vector<Violation> RulesOne(const History& history) {
  std::vector<Violation> wrong;
  std::map<std::pair<std::int64_t, std::int64_t>, std::size_t> first;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.what != "rules" || m.Of("has") != "1") continue;
    const auto [it, fresh] = first.emplace(std::pair(m.Number("epoch"), m.Number("number")), i);
    if (fresh || history[it->second].Of("hash") == m.Of("hash")) continue;
    wrong.push_back(
        {"rules-one",
         m.at,
         m.who + " and " + history[it->second].who + " have different versions " + m.Of("number"),
         {it->second, i}});
  }
  return wrong;
}

// Who says that it acts on rules that ban a worker sends it nothing new.
std::vector<Violation> RulesBans(const History& history) {
  const Seen seen = Read(history);
  std::vector<Violation> wrong;
  std::map<std::pair<std::string, std::string>, std::vector<std::size_t>> took;
  // What comes when a held connection is let go was sent before.
  std::vector<const Moment*> holds;
  int zones = 1;
  const auto was_held = [&](const Moment& m) {
    return std::any_of(holds.begin(), holds.end(), [&](const Moment* hold) {
      return m.at >= hold->at && m.at <= hold->at + hold->Number("length_us") + kTurn &&
             Selects(hold->Of("from"), m.Of("node"), zones) &&
             Selects(hold->Of("to"), m.who, zones);
    });
  };
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.who == "trial" && m.what == "plan") zones = std::max<int>(1, m.Number("zones"));
    if (m.who == "trial" && m.what == "fault" && m.Of("kind") == "hold-tcp") holds.push_back(&m);
    if (m.what == "took" && !was_held(m)) took[{m.Of("node"), m.who}].push_back(i);
  }
  std::map<std::pair<std::string, std::string>, Micros> banned;  // since
  for (const Acts& a : seen.acts) {
    // A ban goes on from one line to the next that has it too.
    for (auto it = banned.begin(); it != banned.end();)
      it = it->first.first == a.node && a.bans.count(it->first.second) == 0 ? banned.erase(it)
                                                                            : std::next(it);
    for (const std::string& worker : a.bans) {
      const Micros since = banned.try_emplace({a.node, worker}, a.from).first->second;
      const auto it = took.find({a.node, worker});
      if (it == took.end()) continue;
      for (const std::size_t i : it->second) {
        const Micros at = history[i].at;
        if (at <= a.from || at >= a.until - kLog || at <= since + kDrained + kTurn + seen.slack)
          continue;
        if (LastActive(seen, a.node, since, at) != at) continue;
        wrong.push_back({"rules-bans",
                         at,
                         a.node + " sent to " + worker + " " + std::to_string((at - since) / 1000) +
                             " ms after it acted on a version that bans it",
                         {a.line, i}});
        break;
      }
    }
  }
  return wrong;
}

std::vector<Violation> RulesSettle(const History& history) {
  const Seen seen = Read(history);
  if (seen.within == 0 || seen.quiet < 0 || seen.ending < seen.quiet + kRulesSettled) return {};
  std::map<std::string, const Acts*> last;
  for (const Acts& a : seen.acts)
    if (a.from <= seen.quiet + kRulesSettled && a.until >= seen.quiet + kRulesSettled)
      last[a.node] = &a;
  const Acts* highest = nullptr;
  for (const auto& [node, a] : last)
    if (highest == nullptr || highest->head < a->head) highest = a;
  std::vector<Violation> wrong;
  for (const auto& [node, a] : last)
    if (a->head != highest->head || a->basis != "version")
      wrong.push_back({"rules-settle",
                       seen.quiet + kRulesSettled,
                       node + " acts on " + a->basis + " of version " +
                           std::to_string(a->head.second) + ", " + highest->node + " on version " +
                           std::to_string(highest->head.second),
                       {a->line, highest->line}});
  return wrong;
}

}  // namespace pearreach::lab
