#include "lab/trial/checkers.h"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>

namespace pearreach::lab {
namespace {

// Beyond its due time an answer is on its way so long at most: the platform's slack, and what a
// busy machine adds between a node's write and the client's turn, which the trial measures.
constexpr Micros kSlack = 100'000;

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
    if (m.what == "serving") close(&dead, m.who, m.at);
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

}  // namespace

const std::vector<Checker>& Checkers() {
  static const std::vector<Checker> all = {
      {"one-answer", "one final answer a request, by its deadline", OneAnswer},
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
