#include "lab/trial/checkers.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "dispatch/settings/settings_reader.h"
#include "lab/trial/fault.h"
#include "lab/trial/links.h"
#include "lab/trial/rules_checkers.h"
#include "lab/trial/zone_checkers.h"
#include "node/membership/members.h"

namespace pearreach::lab {
namespace {

// Beyond its due time an answer is on its way so long at most: the platform's slack, and what a
// busy machine adds between a node's write and the client's turn, which the trial measures.
constexpr Micros kSlack = 100'000;

constexpr Micros kLogClock = 2'000;  // the log's times are cut to milliseconds

struct Span {
  Micros from = 0, until = 0;
};

// When each node could not answer: it was stopped, or its process was not there, or it did not
// listen yet.
using Spans = std::map<std::string, std::vector<Span>>;

Spans Away(const History& history, bool stalls, bool deaths) {
  Spans away;
  std::map<std::string, Micros> stalled, dead;
  const Micros end = history.empty() ? 0 : history.back().at;
  const auto close = [&](std::map<std::string, Micros>* open, const std::string& node, Micros at) {
    const auto it = open->find(node);
    if (it == open->end()) return;
    away[node].push_back({it->second, at});
    open->erase(it);
  };
  for (const Moment& m : history) {
    if (m.what == "serving") close(&dead, m.who, m.at + kLogClock);
    if (m.who != "trial") continue;
    const std::string& node = m.Of("node");
    if (stalls && m.what == "stalled") stalled.emplace(node, m.at);
    if (stalls && m.what == "resumed") close(&stalled, node, m.at);
    if (deaths && m.what == "ended") dead.emplace(node, m.at);
    if (m.what == "started") close(&stalled, node, m.at);
  }
  for (auto* open : {&stalled, &dead})
    for (const auto& [node, at] : std::map<std::string, Micros>(*open)) close(open, node, end);
  return away;
}

bool Overlaps(const Spans& spans, const std::string& node, Micros from, Micros until) {
  const auto it = spans.find(node);
  return it != spans.end() && std::any_of(it->second.begin(), it->second.end(), [&](const Span& s) {
           return s.from <= until && s.until >= from;
         });
}

// How late the trial's own loop was at most: a client's clock is no better than that.
Micros LatestTurn(const History& history) {
  Micros late = 0;
  for (const Moment& m : history)
    if (m.who == "trial" && m.what == "turn") late = std::max(late, Micros{m.Number("late_us")});
  return late;
}

// ---------------------------------------------------------------- the platform's rules

// From when each node was told to end: what is sent from then on may cross the end of its
// connection unread, which a client may not take amiss.
Spans Ending(const History& history) {
  constexpr Micros kCrossing = 5'000;
  Spans ending;
  for (const Moment& m : history) {
    if (m.who == "trial" && m.what == "ending")
      ending[m.Of("node")].push_back({m.at - kCrossing, history.back().at});
    if (m.what == "serving" && ending.contains(m.who)) ending[m.who].back().until = m.at;
  }
  return ending;
}

// What a node has taken gets one final answer by its due time, unless its process was stopped or
// ended meanwhile; and never a second one.
std::vector<Violation> OneAnswer(const History& history) {
  struct Job {
    std::size_t sent = 0;
    std::string node;
    Micros due = 0;
    std::optional<std::size_t> ended;
  };
  std::vector<Violation> wrong;
  std::unordered_map<std::string, Job> jobs;
  const Spans away = Away(history, true, true), ending = Ending(history);
  const Micros slack = kSlack + LatestTurn(history);
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.who != "client") continue;
    const std::string& id = m.Of("job");
    if (m.what == "sent") {
      jobs[id] = {i, m.Of("node"), m.at + m.Number("left_us"), {}};
      continue;
    }
    const auto it = jobs.find(id);
    if (it == jobs.end()) {
      wrong.push_back({"one-answer", m.at, "an answer to nothing that was sent: job " + id, {i}});
      continue;
    }
    Job& job = it->second;
    const Micros sent = history[job.sent].at;
    if (m.what == "answered") {
      if (job.ended)
        wrong.push_back({"one-answer",
                         m.at,
                         "job " + id + " at " + job.node + " had its end already",
                         {job.sent, *job.ended, i}});
      else if (m.at > job.due + slack && !Overlaps(away, job.node, sent, m.at))
        wrong.push_back({"one-answer",
                         m.at,
                         "job " + id + " at " + job.node + " was answered " +
                             std::to_string((m.at - job.due) / 1000) + " ms after its time",
                         {job.sent, i}});
    } else if ((m.what == "broken" || m.what == "gave_up") && !job.ended &&
               !Overlaps(away, job.node, sent, m.at) &&
               !(m.what == "broken" && Overlaps(ending, job.node, sent, sent))) {
      wrong.push_back({"one-answer",
                       m.at,
                       "job " + id + " at " + job.node +
                           (m.what == "broken" ? ": its connection ended without an answer"
                                               : ": no answer by its time"),
                       {job.sent, i}});
    }
    if (!job.ended) job.ended = i;
  }
  for (const auto& [id, job] : jobs)
    if (!job.ended)
      wrong.push_back({"one-answer",
                       history[job.sent].at,
                       "job " + id + " at " + job.node + " has no end in the history",
                       {job.sent}});
  return wrong;
}

// An effect that may not be repeated is taken on by one worker once; a keyed one again only within
// its window, which is longer than any deadline here.
std::vector<Violation> NoDuplicate(const History& history) {
  std::vector<Violation> wrong;
  std::map<std::string, std::string> effects;
  std::map<std::string, std::size_t> taken;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    const std::string& id = m.Of("job");
    if (m.who == "client" && m.what == "sent") effects[id] = m.Of("effect");
    if (m.what != "took" || effects[id] != "once") continue;
    const auto [it, fresh] = taken.emplace(id, i);
    if (!fresh)
      wrong.push_back({"no-duplicate",
                       m.at,
                       "job " + id + " may not be repeated, and " + m.who + " took it after " +
                           history[it->second].who,
                       {it->second, i}});
  }
  return wrong;
}

// When the link from each node to its discovery was cut or held by the trial: what the agent wrote
// meanwhile had not reached the node.
Spans WithoutDiscovery(const History& history) {
  Spans spans;
  int zones = 1;
  std::vector<std::string> nodes;
  std::map<std::string, std::vector<std::pair<std::string, std::size_t>>> open;
  const Micros end = history.empty() ? 0 : history.back().at;
  for (const Moment& m : history) {
    if (m.who != "trial") continue;
    if (m.what == "plan") {
      zones = std::max<int>(1, static_cast<int>(m.Number("zones")));
      for (int n = 0; n < m.Number("nodes"); ++n) nodes.push_back("n" + std::to_string(n));
    }
    if (m.what == "mended")
      for (const auto& [node, at] : open[m.Of("number")]) spans[node][at].until = m.at;
    const bool tcp = m.Of("kind") == NameOf(Fault::What::kCutTcp) ||
                     m.Of("kind") == NameOf(Fault::What::kHoldTcp);
    if (m.what != "fault" || !tcp || (m.Of("to") != "discovery" && m.Of("to") != "*")) continue;
    for (const std::string& node : nodes) {
      if (!Selects(m.Of("from"), node, zones)) continue;
      open[m.Of("number")].push_back({node, spans[node].size()});
      spans[node].push_back({m.at, end});
    }
  }
  return spans;
}

// Nothing new goes to a worker later than a second after the node was told that it drains; a
// process that was stopped meanwhile has a turn more.
std::vector<Violation> Drains(const History& history) {
  constexpr Micros kGrace = 1'050'000;
  std::vector<Violation> wrong;
  std::map<std::pair<std::string, std::string>, std::size_t> told;  // node, worker
  const Spans away = Away(history, true, true), without = WithoutDiscovery(history);
  const Micros slack = kSlack + LatestTurn(history);
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.who == "discovery" && m.what == "told") {
      const std::pair key(m.Of("node"), m.Of("worker"));
      if (m.Of("state") == "draining")
        told.emplace(key, i);
      else
        told.erase(key);
    }
    if (m.what == "serving")
      std::erase_if(told, [&](const auto& t) { return t.first.first == m.who; });
    if (m.what != "took") continue;
    const auto it = told.find({m.Of("node"), m.who});
    if (it == told.end()) continue;
    const Micros since = history[it->second].at;
    if (m.at > since + kGrace + slack && !Overlaps(away, m.Of("node"), since, m.at) &&
        !Overlaps(without, m.Of("node"), since, m.at - kGrace))
      wrong.push_back({"drains",
                       m.at,
                       m.Of("node") + " sent to " + m.who + " " +
                           std::to_string((m.at - since) / 1000) +
                           " ms after it was told that it drains",
                       {it->second, i}});
  }
  return wrong;
}

// A cold worker that falls was not pushed over by nodes that knew of its start: less than two
// thirds of what came in the second before, from its start on, was theirs.
std::vector<Violation> ColdWorkers(const History& history) {
  std::vector<Violation> wrong;
  std::map<std::pair<std::string, std::string>, Micros> told;  // node, worker: of this start
  std::map<std::string, Micros> started;
  std::map<std::string, std::vector<std::size_t>> came;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.who == "discovery" && m.what == "told" && m.Number("started_ms") != 0)
      told[{m.Of("node"), m.Of("worker")}] = m.at;
    if (m.what == "started" && m.who != "trial") {
      started[m.who] = m.at;
      came[m.who].clear();
      std::erase_if(told, [&](const auto& t) { return t.first.second == m.who; });
    }
    if ((m.what == "took" || m.what == "full") && started.contains(m.who)) came[m.who].push_back(i);
    if (m.what != "fell") continue;
    std::size_t all = 0, knew = 0;
    for (const std::size_t k : came[m.who]) {
      if (history[k].at < m.at - 1'000'000) continue;
      const auto it = told.find({history[k].Of("node"), m.who});
      ++all;
      knew += it != told.end() && it->second <= history[k].at ? 1 : 0;
    }
    if (3 * knew > 2 * all)
      wrong.push_back({"cold-workers",
                       m.at,
                       m.who + " fell: " + std::to_string(knew) + " of " + std::to_string(all) +
                           " jobs in its last second came from nodes that knew of its start",
                       {i}});
  }
  return wrong;
}

// No process ends but by the trial.
std::vector<Violation> NoCrash(const History& history) {
  std::vector<Violation> wrong;
  for (std::size_t i = 0; i < history.size(); ++i)
    if (history[i].what == "ended" && history[i].Of("how") == "itself")
      wrong.push_back({"no-crash", history[i].at, history[i].Of("node") + " ended by itself", {i}});
  return wrong;
}

// ---------------------------------------------------------------- membership

int NumberOf(const std::string& node) { return std::atoi(node.c_str() + 1); }

// Once a node has said that a later process of another has its place, it believes none before it.
std::vector<Violation> NoRevival(const History& history) {
  std::vector<Violation> wrong;
  // By who says it, and of whom: where the latest process was said.
  std::map<std::pair<std::string, std::string>, std::size_t> latest;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.what == "peers_open")  // a new process of the one who says it
      std::erase_if(latest, [&](const auto& l) { return l.first.first == m.who; });
    if (m.what != "member") continue;
    const auto [it, fresh] = latest.emplace(std::pair(m.who, m.Of("peer")), i);
    if (fresh) continue;
    if (m.Number("process") < history[it->second].Number("process"))
      wrong.push_back({"no-revival",
                       m.at,
                       m.who + " believes a process of n" + m.Of("peer") + " that was replaced",
                       {it->second, i}});
    else
      it->second = i;
  }
  return wrong;
}

struct LinkFault {
  Fault fault;
  Micros from = 0, until = 0;
};

// The faults of words, as they were at work.
std::vector<LinkFault> LinkFaults(const History& history) {
  std::vector<LinkFault> all;
  std::map<std::string, std::size_t> open;
  const Micros end = history.empty() ? 0 : history.back().at;
  for (const Moment& m : history) {
    if (m.who != "trial") continue;
    if (m.what == "mended" && open.contains(m.Of("number"))) all[open[m.Of("number")]].until = m.at;
    if (m.what != "fault") continue;
    for (const auto what :
         {Fault::What::kLose, Fault::What::kLate, Fault::What::kDouble, Fault::What::kDamage})
      if (m.Of("kind") == NameOf(what)) {
        Fault f;
        f.what = what;
        f.from = m.Of("from");
        f.to = m.Of("to");
        open[m.Of("number")] = all.size();
        all.push_back({f, m.at, end});
      }
  }
  return all;
}

struct Fleet {
  int nodes = 0, zones = 1;
  Micros period = 0;
};
std::optional<Fleet> FleetOf(const History& history) {
  for (const Moment& m : history)
    if (m.who == "trial" && m.what == "plan" && m.Number("period_us") > 0)
      return Fleet{static_cast<int>(m.Number("nodes")), static_cast<int>(m.Number("zones")),
                   m.Number("period_us")};
  return std::nullopt;
}

// Whether any word from or to the node may have been touched in that time.
bool Touched(const std::vector<LinkFault>& faults, const Fleet& fleet, int node, Micros from,
             Micros until) {
  for (const LinkFault& f : faults) {
    if (f.from > until || f.until < from) continue;
    for (int other = 0; other < fleet.nodes; ++other)
      if (other != node && (Touches(f.fault, node, other, fleet.zones) ||
                            Touches(f.fault, other, node, fleet.zones)))
        return true;
  }
  return false;
}

// When the machine itself stood still for the trial, all processes may have.
bool MachineStood(const History& history, Micros from, Micros until, Micros most) {
  return std::any_of(history.begin(), history.end(), [&](const Moment& m) {
    return m.who == "trial" && m.what == "turn" && m.at >= from && m.at <= until &&
           m.Number("late_us") > most;
  });
}

// Nobody says first hand that another is unreachable who ran, heard and was heard all the while.
std::vector<Violation> Unfounded(const History& history) {
  std::vector<Violation> wrong;
  const auto fleet = FleetOf(history);
  if (!fleet) return wrong;
  const std::vector<LinkFault> faults = LinkFaults(history);
  const Spans away = Away(history, true, true);
  const Micros window = NoticeWithin(fleet->nodes, fleet->period);
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.what != "member" || m.Of("status") != "unreachable" || "n" + m.Of("by") != m.who)
      continue;
    const std::string peer = "n" + m.Of("peer");
    const Micros from = m.at - window;
    if (from < 0 || Overlaps(away, peer, from, m.at) || Overlaps(away, m.who, from, m.at) ||
        Touched(faults, *fleet, NumberOf(peer), from, m.at) ||
        Touched(faults, *fleet, NumberOf(m.who), from, m.at) ||
        MachineStood(history, from, m.at, fleet->period / 2))
      continue;
    wrong.push_back({"unfounded",
                     m.at,
                     m.who + " says that " + peer + " is unreachable, and no fault touched either",
                     {i}});
  }
  return wrong;
}

// What a view says of a node: its status and process.
struct Said {
  std::string status;
  std::int64_t process = 0;
};
std::vector<Said> EntriesOf(const Moment& view) {
  std::vector<Said> all;
  const std::string entries = view.Of("entries");
  for (const dispatch::Text entry : dispatch::Split(entries, ' ')) {
    const auto parts = dispatch::Split(entry, ':');
    if (parts.size() < 3) continue;
    all.push_back({std::string(parts[1]), std::atoll(std::string(parts[2]).c_str())});
  }
  return all;
}

// A process that is gone is known as such, in the stated time, by all that no fault touched.
std::vector<Violation> Noticed(const History& history) {
  std::vector<Violation> wrong;
  const auto fleet = FleetOf(history);
  if (!fleet) return wrong;
  const std::vector<LinkFault> faults = LinkFaults(history);
  const Spans deaths = Away(history, false, true), away = Away(history, true, true);
  const Micros within = NoticeWithin(fleet->nodes, fleet->period);
  for (const auto& [node, spans] : deaths) {
    if (NumberOf(node) >= fleet->nodes) continue;
    for (const Span& s : spans) {
      const Micros by = s.from + within;
      if (s.until < by || MachineStood(history, s.from, by, fleet->period / 2)) continue;
      for (std::size_t i = 0; i < history.size(); ++i) {
        const Moment& m = history[i];
        if (m.what != "view" || m.at < by || m.at > s.until) continue;
        if (Overlaps(away, m.who, s.from - within, m.at) ||
            Touched(faults, *fleet, NumberOf(m.who), s.from - within, m.at))
          continue;
        const std::vector<Said> said = EntriesOf(m);
        const auto number = static_cast<std::size_t>(NumberOf(node));
        if (number < said.size() &&
            (said[number].status == "alive" || said[number].status == "suspect")) {
          wrong.push_back({"noticed",
                           m.at,
                           m.who + " takes " + node + " for " + said[number].status + " " +
                               std::to_string((m.at - s.from) / 1000) + " ms after its end",
                           {i}});
          break;
        }
      }
    }
  }
  return wrong;
}

// A process that was stopped for two periods and more suspects nobody before somebody answers it.
std::vector<Violation> StoppedFirst(const History& history) {
  std::vector<Violation> wrong;
  const auto fleet = FleetOf(history);
  if (!fleet) return wrong;
  constexpr Micros kAtOnce = 20'000;  // clocks of the log are milliseconds
  std::map<std::string, Micros> stopped, trusts;
  std::map<std::string, std::size_t> woke;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    const std::string& node = m.Of("node");
    if (m.who == "trial" && m.what == "stalled") stopped[node] = m.at;
    if (m.who == "trial" && m.what == "resumed" && stopped.contains(node) &&
        m.at - stopped[node] > 2 * fleet->period + 200'000 &&
        !(trusts.contains(node) && trusts[node] > m.at - kAtOnce))
      woke[node] = i;
    if (m.what == "trusts_itself") trusts[m.who] = m.at;
    if (m.what == "peers_open" || m.what == "trusts_itself") woke.erase(m.who);
    if (m.what != "member" || !woke.contains(m.who) || "n" + m.Of("by") != m.who) continue;
    const Micros since = history[woke[m.who]].at;
    if (m.at < since - kAtOnce) continue;
    if (m.Of("status") == "suspect" || m.Of("status") == "unreachable")
      wrong.push_back({"stopped-first",
                       m.at,
                       m.who + " woke from a stop and says first hand that n" + m.Of("peer") +
                           " is " + m.Of("status"),
                       {woke[m.who], i}});
  }
  return wrong;
}

// Once no fault is at work, all agree within the stated time, and on the truth: every node is
// alive, as the process that has its address.
std::vector<Violation> Agreement(const History& history) {
  std::vector<Violation> wrong;
  const auto fleet = FleetOf(history);
  if (!fleet) return wrong;
  Micros quiet = -1;
  std::map<int, std::int64_t> processes;
  std::map<std::string, std::size_t> last, before;  // views; the one before the last
  std::set<std::string> ending;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.who == "trial" && m.what == "quiet") quiet = m.at;
    if (m.who == "trial" && m.what == "ending" && quiet >= 0) {
      // A line that seems to come just before may have come after.
      const std::string& node = m.Of("node");
      if (last.contains(node) && before.contains(node) && history[last[node]].at > m.at - kLogClock)
        last[node] = before[node];
      ending.insert(node);
    }
    if (m.what == "peers_open") processes[NumberOf(m.who)] = m.Number("process");
    // A process may have to be later than its clock says; it tells so of itself.
    if (m.what == "member" && m.Of("peer") == std::to_string(NumberOf(m.who)))
      processes[NumberOf(m.who)] = m.Number("process");
    if (m.what == "view" && !ending.contains(m.who)) {
      if (last.contains(m.who)) before[m.who] = last[m.who];
      last[m.who] = i;
    }
  }
  if (quiet < 0) return wrong;
  const Micros by = quiet + AgreementWithin(fleet->nodes, fleet->period);
  for (int n = 0; n < fleet->nodes; ++n) {
    const std::string name = "n" + std::to_string(n);
    const auto it = last.find(name);
    if (it == last.end() || history[it->second].at < by) {
      wrong.push_back({"agreement", by, name + " says nothing after the stated time", {}});
      continue;
    }
    const Moment& m = history[it->second];
    const std::vector<Said> said = EntriesOf(m);
    for (int other = 0; other < fleet->nodes; ++other) {
      const auto at = static_cast<std::size_t>(other);
      if (at < said.size() && said[at].status == "alive" && said[at].process == processes[other])
        continue;
      wrong.push_back({"agreement",
                       m.at,
                       name + " does not agree on n" + std::to_string(other) + ": " +
                           (at < said.size() ? said[at].status + " as process " +
                                                   std::to_string(said[at].process)
                                             : "nothing said") +
                           ", and it is process " + std::to_string(processes[other]),
                       {it->second}});
    }
  }
  return wrong;
}

// ---------------------------------------------------------------- what nodes share

constexpr Micros kSecondOfTruth = 1'000'000;

struct Share {
  double whole = 0, burst = 0;
  Micros window = 0;
};
std::vector<Share> SharesOf(const History& history) {
  std::vector<Share> shares;
  for (const Moment& m : history)
    if (m.who == "trial" && m.what == "share")
      shares.push_back({std::atof(m.Of("whole").c_str()), std::atof(m.Of("burst").c_str()),
                        m.Number("window_us")});
  return shares;
}

// What processes said of one account, each of its own.
struct Figures {
  Micros at = 0;
  double counted = 0, spent = 0, least = 0, most = 0;
  std::size_t line = 0;
};
struct Process {
  std::string node;
  Micros began = 0;
  std::vector<Figures> lines;  // by time
};
std::vector<Process> ProcessesOf(const History& history, std::size_t account) {
  std::vector<Process> all;
  std::map<std::string, std::size_t> at;  // by node and process
  std::map<std::string, Micros> began;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.what == "peers_open") began[m.who] = m.at;
    if (m.what != "shared" || m.Of("accounts").empty()) continue;
    const auto [it, fresh] = at.emplace(m.who + " " + m.Of("process"), all.size());
    if (fresh) all.push_back({m.who, began.contains(m.who) ? began[m.who] : m.at, {}});
    const std::string accounts = m.Of("accounts");
    for (const dispatch::Text entry : dispatch::Split(accounts, ' ')) {
      const auto parts = dispatch::Split(entry, ':');
      if (parts.size() < 7 || std::string(parts[0]) != std::to_string(account)) continue;
      const auto number = [&](std::size_t k) { return std::atof(std::string(parts[k]).c_str()); };
      all[it->second].lines.push_back({m.at, number(1), number(2), number(4), number(5), i});
    }
  }
  return all;
}

// In any second, and in any four, what all processes say that they spent of a budget within its
// share is no more than that share of the time and what may have been saved up.
std::vector<Violation> BudgetSpent(const History& history) {
  std::vector<Violation> wrong;
  const std::vector<Share> shares = SharesOf(history);
  for (std::size_t k = 0; k < shares.size(); ++k) {
    const std::vector<Process> processes = ProcessesOf(history, k);
    for (const Micros length : {1'000'000, 4'000'000})
      for (Micros from = 0; !history.empty() && from < history.back().at; from += 200'000) {
        double spent = 0;
        for (const Process& p : processes) {
          const Figures *first = nullptr, *last = nullptr;
          for (const Figures& f : p.lines) {
            if (f.at < from + kLogClock || f.at > from + length) continue;
            if (first == nullptr) first = &f;
            last = &f;
          }
          if (first != nullptr) spent += last->spent - first->spent;
        }
        const double most =
            shares[k].whole * (static_cast<double>(length) / 1e6 + shares[k].burst) + 1;
        if (spent <= most) continue;
        wrong.push_back({"budget-spent",
                         from + length,
                         "account " + std::to_string(k) + ": " + std::to_string(spent) +
                             " spent within its share in " + std::to_string(length / 1'000'000) +
                             " s, and " + std::to_string(most) + " are the most",
                         {}});
        break;
      }
  }
  return wrong;
}

// The true total lies between what lines before and after the edges of the window let it be; no
// reading may exclude all of that.
std::vector<Violation> CountTrue(const History& history) {
  std::vector<Violation> wrong;
  // Processes that ended before their first line about what they share, by when they began: nobody
  // can tell what they counted.
  std::map<std::string, Micros> silent;
  std::vector<Micros> unknown;
  for (const Moment& m : history) {
    if (m.what == "peers_open") silent[m.who] = m.at;
    if (m.what == "shared") silent.erase(m.who);
    if (m.who != "trial" || m.what != "ended") continue;
    if (const auto it = silent.find(m.Of("node")); it != silent.end()) {
      unknown.push_back(it->second);
      silent.erase(it);
    }
  }
  const std::vector<Share> shares = SharesOf(history);
  for (std::size_t k = 0; k < shares.size(); ++k) {
    const std::vector<Process> processes = ProcessesOf(history, k);
    for (const Process& reader : processes)
      for (const Figures& r : reader.lines) {
        const Micros from = r.at - shares[k].window;
        double low = 0, high = 0;
        bool known = std::none_of(unknown.begin(), unknown.end(), [&](Micros began) {
          return began <= r.at && began > from - kSecondOfTruth;
        });
        for (const Process& p : processes) {
          const Figures *first = nullptr, *last = nullptr, *before = nullptr, *after = nullptr;
          for (const Figures& f : p.lines) {
            if (f.at <= from - kLogClock) before = &f;
            if (f.at >= from + kLogClock && first == nullptr) first = &f;
            if (f.at <= r.at - kLogClock) last = &f;
            if (f.at >= r.at + kLogClock && after == nullptr) after = &f;
          }
          if (first != nullptr && last != nullptr && last->at > first->at)
            low += last->counted - first->counted;
          if (p.began > r.at) continue;
          // Of one that ended, what it did after its last line is not known.
          if (after == nullptr && !p.lines.empty() && p.lines.back().at > from - kSecondOfTruth)
            known = false;
          const double until = after != nullptr ? after->counted : p.lines.back().counted;
          high += until - (before != nullptr ? before->counted : 0);
        }
        if (r.most + 0.1 < low || (known && r.least - 0.1 > high))
          wrong.push_back({"count-true",
                           r.at,
                           reader.node + " reads " + std::to_string(r.least) + " to " +
                               std::to_string(r.most) + " of account " + std::to_string(k) +
                               ", and it is " + std::to_string(low) + " to " +
                               (known ? std::to_string(high) : std::string("more")),
                           {r.line}});
      }
  }
  return wrong;
}

// The parts of a budget that all processes hold together are no more than its whole, and nor is
// what they spent, with what they may have saved up.
std::vector<Violation> BudgetSum(const History& history) {
  std::vector<Violation> wrong;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.what == "parts" && m.Number("parts") > m.Number("whole"))
      wrong.push_back({"budget-sum",
                       m.at,
                       "budget " + m.Of("budget") + ": the parts of all are " + m.Of("parts") +
                           " of " + m.Of("whole"),
                       {i}});
    if (m.what == "spent" && m.who == "trial" &&
        static_cast<double>(m.Number("spent")) > std::atof(m.Of("most").c_str()))
      wrong.push_back({"budget-sum",
                       m.at,
                       "budget " + m.Of("budget") + ": " + m.Of("spent") +
                           " spent in a second, and " + m.Of("most") + " are the most",
                       {i}});
  }
  return wrong;
}

// No reading of a count leaves the bound that came with it.
std::vector<Violation> CountBound(const History& history) {
  std::vector<Violation> wrong;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.what != "reading" || m.Of("true").empty()) continue;
    const double least = std::atof(m.Of("least").c_str()), most = std::atof(m.Of("most").c_str()),
                 is = std::atof(m.Of("true").c_str());
    if (is < least - 1e-6 || is > most + 1e-6)
      wrong.push_back({"count-bound",
                       m.at,
                       m.who + " reads " + m.Of("least") + " to " + m.Of("most") + " of account " +
                           m.Of("account") + ", and it is " + m.Of("true"),
                       {i}});
  }
  return wrong;
}

constexpr Micros kJudgementGone = 12'000'000;  // a word fades within 10 s, and one is on its way
constexpr double kMaxOut = 0.3;

// The same of processes, by the lines in which they say whom they do without and by whose word.
std::vector<Violation> HearsaySaid(const History& history) {
  std::vector<Violation> wrong;
  std::int64_t zones = 1, workers = 0;
  Micros quiet = -1;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.what == "plan") zones = m.Number("zones"), workers = m.Number("workers");
    if (m.who == "trial" && m.what == "quiet") quiet = m.at;
    if (m.what != "shared" || m.Of("out").empty()) continue;
    const auto say = [&](const std::string& what) {
      wrong.push_back({"hearsay-said", m.at, m.who + " does without " + what, {i}});
    };
    const std::string out = m.Of("out");
    const auto all = dispatch::Split(out, ' ');
    for (const dispatch::Text one : all) {
      const auto parts = dispatch::Split(one, ':');
      std::set<int> from;
      for (std::size_t k = 2; k < parts.size(); ++k)
        from.insert(std::atoi(std::string(parts[k]).c_str()) % static_cast<int>(zones));
      if (zones > 1 && from.size() < 2) say(std::string(parts[0]) + " by the word of one zone");
    }
    if (workers > 0 && static_cast<double>(all.size()) > kMaxOut * static_cast<double>(workers))
      say(std::to_string(all.size()) + " of " + std::to_string(workers) + " workers");
    if (quiet >= 0 && m.at > quiet + kJudgementGone) say(out + " though all faults are over");
  }
  return wrong;
}

// No worker is out of use by the hearsay of one zone, nor more than the stated share of them, nor
// long after what caused it is over.
std::vector<Violation> Hearsay(const History& history) {
  std::vector<Violation> wrong;
  std::int64_t zones = 1;
  for (std::size_t i = 0; i < history.size(); ++i) {
    const Moment& m = history[i];
    if (m.what == "plan") zones = m.Number("zones");
    if (m.what == "worker_out") {
      if (zones > 1 && m.Of("zones").size() < 2)
        wrong.push_back({"hearsay",
                         m.at,
                         m.who + " does without " + m.Of("worker") + " by the word of one zone",
                         {i}});
      if (m.Of("gone") == "0" && m.Number("well_us") > kJudgementGone && m.Number("cut") == 0)
        wrong.push_back({"hearsay",
                         m.at,
                         m.who + " does without " + m.Of("worker") + ", which is well for " +
                             std::to_string(m.Number("well_us") / 1000) +
                             " ms: " + m.Of("verdict") + " by " + m.Of("witnesses"),
                         {i}});
    }
    if (m.what == "workers_out" &&
        static_cast<double>(m.Number("out")) > kMaxOut * static_cast<double>(m.Number("of")))
      wrong.push_back({"hearsay",
                       m.at,
                       m.who + " does without " + m.Of("out") + " of " + m.Of("of") + " workers",
                       {i}});
  }
  return wrong;
}

}  // namespace

Micros NoticeWithin(int nodes, Micros period) {
  const double least = membership::Members::MinSuspicionPeriods({.nodes = nodes});
  return static_cast<Micros>((6 * least + 15) * static_cast<double>(period));
}

Micros JudgementsGoneWithin() { return kJudgementGone + 500'000; }

Micros AgreementWithin(int nodes, Micros period) {
  const double least = membership::Members::MinSuspicionPeriods({.nodes = nodes});
  return static_cast<Micros>((6 * least + 15) * static_cast<double>(period));
}

const std::vector<Checker>& Checkers() {
  static const std::vector<Checker> all = {
      {"one-answer", "one final answer a request, by its deadline", OneAnswer},
      {"no-duplicate", "an effect that may not be repeated happens once", NoDuplicate},
      {"drains", "nothing new to a worker a second after the node knew", Drains},
      {"cold-workers", "no cold worker pushed over by nodes that knew", ColdWorkers},
      {"no-crash", "no process ends by itself", NoCrash},
      {"no-revival", "no process is believed after it was replaced", NoRevival},
      {"unfounded", "nobody untouched is called unreachable by one untouched", Unfounded},
      {"noticed", "a process that is gone is known as such in time", Noticed},
      {"stopped-first", "a process that was stopped suspects itself first", StoppedFirst},
      {"agreement", "all agree, and on the truth, once faults are over", Agreement},
      {"budget-sum", "all parts of a budget are no more than its whole", BudgetSum},
      {"count-bound", "no count leaves the bound that comes with it", CountBound},
      {"budget-spent", "no more is spent within a share than the share", BudgetSpent},
      {"count-true", "no count's bound excludes what processes counted", CountTrue},
      {"hearsay-said", "processes too leave no worker by one zone's word, or long", HearsaySaid},
      {"hearsay", "no worker is out by one zone's word, too many, or too long", Hearsay},
      {"zones-never-all", "no node leaves all zones", ZonesNeverAll},
      {"zones-founded", "no zone is left that no fault touched", ZonesFounded},
      {"zones-in-time", "a zone that is gone is left by all in time", ZonesInTime},
      {"zones-agreed", "no two nodes use a zone differently for long", ZonesAgreed},
      {"zones-whole", "all zones are whole once faults are over", ZonesWhole},
      {"rules-within", "no two act on contradicting rules for longer than T", RulesWithin},
      {"rules-one", "a version of the rules has one text", RulesOne},
      {"rules-bans", "who acts on a ban sends nothing new there", RulesBans},
      {"rules-settle", "all act on one version once faults are over", RulesSettle},
  };
  return all;
}

std::vector<Violation> CheckAll(const History& history) {
  std::vector<Violation> all;
  for (const Checker& c : Checkers()) {
    std::vector<Violation> wrong = c.check(history);
    std::move(wrong.begin(), wrong.end(), std::back_inserter(all));
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const Violation& a, const Violation& b) { return a.at < b.at; });
  return all;
}

}  // namespace pearreach::lab
