#include "node/shared_state/judgements.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace pearreach::shared_state {
namespace {

constexpr double kLearn = 0.15;            // weight of one job's end
constexpr int kRefusedDead = 2;            // refused connections in a row
constexpr std::size_t kMaxWitnesses = 16;  // kept of one worker

std::uint64_t Mix(std::uint64_t x) {  // splitmix64
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

}  // namespace

const char* NameOf(HealthStatus v) {
  static constexpr const char* kNames[] = {"well", "slow", "failing", "silent", "dead"};
  return kNames[static_cast<std::size_t>(v)];
}

bool Later(const HealthReport& a, const HealthReport& b) {
  return std::tie(a.reporter_process, a.sequence) > std::tie(b.reporter_process, b.sequence);
}

WorkerHealth::WorkerHealth(WorkerHealthOptions options, std::uint64_t process)
    : options_(options), process_(process) {}

int WorkerHealth::Enough() const {
  return 3 * static_cast<int>(std::ceil(std::log10(options_.nodes + 1.0))) + 1;
}

// What was seen of a process that is no more says nothing of the one after it.
void WorkerHealth::Renew(Worker* w) {
  w->heard = w->unheard_since = w->died = 0;
  w->refused = w->jobs = 0;
  w->failures = 0;
  w->slowness = 1;
  w->mine = {};
  w->said.erase(options_.self);
}

void WorkerHealth::OnListed(WorkerKey key, int kind, std::int64_t start, bool in_service) {
  Worker& w = workers_[key];
  if (w.listed && start != w.start) Renew(&w);
  w.listed = true;
  w.kind = kind;
  w.start = start;
  w.in_service = in_service;
}

void WorkerHealth::OnUnlisted(WorkerKey key) { workers_.erase(key); }

void WorkerHealth::Judge(Micros now, WorkerKey key, Worker* w, HealthStatus verdict) {
  if (w->mine.sequence == 0 && verdict == HealthStatus::kHealthy) return;
  const bool same = w->mine.sequence > 0 && w->mine.status == verdict;
  // The same evidence again is said again now and then, so that it does not fade while it lasts.
  if (same &&
      (verdict == HealthStatus::kHealthy || now < w->mine.observed_at + options_.report_ttl / 4))
    return;
  w->mine = {key, w->start, options_.self, options_.zone, process_, ++number_, verdict, now};
  w->said[options_.self] = 0;
}

void WorkerHealth::OnJobSent(Micros now, WorkerKey key) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  if (it->second.out++ == 0) it->second.busy_since = now;
  if (it->second.unheard_since == 0) it->second.unheard_since = now;
}

void WorkerHealth::OnWorkerResponse(Micros now, WorkerKey key) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  Worker& w = it->second;
  w.heard = now;
  w.unheard_since = 0;
  w.refused = 0;
  const HealthStatus v = w.mine.status;
  if (v == HealthStatus::kSilent || v == HealthStatus::kDead)
    Judge(now, key, &w, HealthStatus::kHealthy);
}

void WorkerHealth::OnJobEnded(Micros now, WorkerKey key, JobOutcome end, double slowness) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  Worker& w = it->second;
  w.out = std::max(0, w.out - 1);
  if (w.out == 0 && end != JobOutcome::kTimedOut) w.unheard_since = 0;
  switch (end) {
    case JobOutcome::kNoConnection:
    case JobOutcome::kReset:
      if (++w.refused < kRefusedDead) return;
      w.died = now;
      return Judge(now, key, &w, HealthStatus::kDead);
    case JobOutcome::kTimedOut:
      // What was waited for in vain counts once: with nothing out there is nothing to wait for.
      if (w.unheard_since > 0 && now - w.unheard_since > options_.accept_timeout &&
          w.mine.status != HealthStatus::kDead)
        Judge(now, key, &w, HealthStatus::kSilent);
      if (w.out == 0) w.unheard_since = 0;
      return;
    case JobOutcome::kServed:
    case JobOutcome::kFailed:
      break;
  }
  OnWorkerResponse(now, key);
  ++w.jobs;
  w.failures += kLearn * ((end == JobOutcome::kFailed ? 1 : 0) - w.failures);
  if (slowness > 0) w.slowness += kLearn * (std::min(slowness, 10.0) - w.slowness);
  if (w.jobs < options_.min_jobs) return;
  if (w.failures > options_.failure_threshold) return Judge(now, key, &w, HealthStatus::kFailing);
  if (w.slowness > options_.slowness_threshold) return Judge(now, key, &w, HealthStatus::kSlow);
  if (w.failures < options_.failure_threshold / 2 && w.slowness < options_.slowness_threshold / 2 &&
      (w.mine.status == HealthStatus::kFailing || w.mine.status == HealthStatus::kSlow))
    Judge(now, key, &w, HealthStatus::kHealthy);
}

bool WorkerHealth::Merge(Micros now, const HealthReport& o) {
  if (o.reporter < 0 || o.reporter >= options_.nodes || o.reporter == options_.self ||
      o.reporter_process == 0 || o.observed_at > now + options_.report_ttl ||
      o.observed_at < now - options_.report_ttl)
    return false;
  const auto it = workers_.find(o.worker);
  if (it == workers_.end()) return false;  // a worker that this node's list does not name
  Worker& w = it->second;
  HealthReport& held = w.others[o.reporter];
  if (held.sequence > 0 && !Later(o, held)) return false;
  held = o;
  w.said[o.reporter] = 0;
  while (w.others.size() > kMaxWitnesses) {
    const auto oldest = std::min_element(
        w.others.begin(), w.others.end(),
        [](const auto& a, const auto& b) { return a.second.observed_at < b.second.observed_at; });
    w.said.erase(oldest->first);
    w.others.erase(oldest);
  }
  return true;
}

// The highest of a hash of node, worker and epoch, among those alive and this one.
int WorkerHealth::TrierOf(Micros now, WorkerKey worker, const std::vector<int>& alive) const {
  const auto epoch = static_cast<std::uint64_t>(now / options_.probe_interval);
  const auto rank = [&](int node) {
    return Mix(Mix(worker ^ (epoch << 32)) ^ static_cast<std::uint64_t>(node));
  };
  int best = options_.self;
  for (const int n : alive)
    if (rank(n) > rank(best)) best = n;
  return best;
}

std::vector<WorkerStatus> WorkerHealth::Update(Micros now, const std::vector<int>& alive) {
  for (auto& [key, w] : workers_) {
    for (auto it = w.others.begin(); it != w.others.end();) {
      if (it->second.observed_at < now - options_.report_ttl) {
        w.said.erase(it->first);
        it = w.others.erase(it);
      } else {
        ++it;
      }
    }
    if (w.mine.sequence > 0 && w.mine.observed_at < now - options_.report_ttl) {
      w.mine = {};
      w.said.erase(options_.self);
    }
    const bool untaken = w.unheard_since > 0 && now - w.unheard_since > options_.accept_timeout;
    // A worker that had nothing to say of is not silent at the first job after that.
    const bool quiet = w.out > 0 && w.heard > 0 &&
                       now - std::max(w.heard, w.busy_since) > options_.silence_timeout;
    if ((untaken || quiet) && w.mine.status != HealthStatus::kDead)
      Judge(now, key, &w, HealthStatus::kSilent);
  }
  struct Case {
    std::size_t witnesses = 0;
    WorkerStatus standing;
    int kind = 0;
  };
  std::vector<Case> cases;
  std::map<int, int> of_kind;
  for (const auto& entry : workers_) {
    const WorkerKey key = entry.first;
    const Worker& w = entry.second;
    if (!w.listed || !w.in_service) continue;
    ++of_kind[w.kind];
    Case c{0, {.worker = key}, w.kind};
    std::set<int> bad_zones;
    std::size_t others = 0, well = 0;
    const auto weigh = [&](const HealthReport& o) {
      // Of an earlier process of the worker it says nothing; of a later one it does.
      if (o.sequence == 0 || o.worker_start_ms < w.start) return;
      if (o.status == HealthStatus::kHealthy) {
        ++well;
        return;
      }
      others += o.reporter == options_.self ? 0 : 1;
      bad_zones.insert(o.reporter_zone);
      c.standing.reporters.push_back(o.reporter);
      c.standing.status = std::max(c.standing.status, o.status);
      c.standing.observed_at = std::max(c.standing.observed_at, o.observed_at);
      if (o.status == HealthStatus::kDead) c.standing.cold = true;
    };
    weigh(w.mine);
    for (const auto& [witness, o] : w.others) weigh(o);
    if (others == 0) continue;  // what this node alone has seen its module knows
    std::sort(c.standing.reporters.begin(), c.standing.reporters.end());
    const bool fresh = w.heard > 0 && now < w.heard + options_.own_evidence_ttl;
    // A process that died is cold when it comes back, whoever saw it die: that only holds back.
    c.witnesses = c.standing.reporters.size();
    c.standing.ejected = !fresh && static_cast<int>(c.witnesses) >= options_.min_reporters &&
                         static_cast<int>(bad_zones.size()) >= std::min(2, options_.zones) &&
                         c.witnesses > well && c.standing.status >= HealthStatus::kFailing;
    cases.push_back(std::move(c));
  }
  // Those most agreed on first, up to the bound.
  std::sort(cases.begin(), cases.end(), [](const Case& a, const Case& b) {
    return std::tuple(b.witnesses, a.standing.worker) < std::tuple(a.witnesses, b.standing.worker);
  });
  std::map<int, int> out_of_kind;
  std::map<WorkerKey, WorkerStatus> next;
  for (Case& c : cases) {
    WorkerStatus& s = c.standing;
    if (s.ejected) {
      const int most = static_cast<int>(options_.max_ejected_fraction * of_kind[c.kind]);
      s.ejected = ++out_of_kind[c.kind] <= most;
    }
    s.probe = s.ejected && TrierOf(now, s.worker, alive) == options_.self;
    if (s.ejected || s.cold) next[s.worker] = s;
  }
  std::vector<WorkerStatus> changed;
  for (const auto& [key, s] : next) {
    const auto it = standing_.find(key);
    const bool same = it != standing_.end() && it->second.ejected == s.ejected &&
                      it->second.probe == s.probe && it->second.cold == s.cold;
    if (!same) changed.push_back(s);
  }
  for (const auto& [key, s] : standing_)
    if (!next.contains(key)) changed.push_back({.worker = key});
  standing_ = std::move(next);
  return changed;
}

std::vector<HealthReport> WorkerHealth::TakeReportsToSend(Micros now, std::size_t most) {
  struct Message {
    int said = 0;
    Worker* worker = nullptr;
    int witness = 0;
    const HealthReport* opinion = nullptr;
  };
  std::vector<Message> words;
  for (auto& [key, w] : workers_)
    for (const auto& [witness, said] : w.said) {
      const bool mine = witness == options_.self;
      const auto it = w.others.find(witness);
      const HealthReport* o = mine ? &w.mine : it != w.others.end() ? &it->second : nullptr;
      if (o == nullptr || o->sequence == 0 || o->observed_at < now - options_.report_ttl ||
          said >= Enough())
        continue;
      words.push_back({said, &w, witness, o});
    }
  std::stable_sort(words.begin(), words.end(),
                   [](const Message& a, const Message& b) { return a.said < b.said; });
  std::vector<HealthReport> all;
  for (const Message& word : words) {
    if (all.size() >= most) break;
    all.push_back(*word.opinion);
    ++word.worker->said[word.witness];
  }
  return all;
}

HealthStatus WorkerHealth::own_status(WorkerKey key) const {
  const auto it = workers_.find(key);
  return it == workers_.end() || it->second.mine.sequence == 0 ? HealthStatus::kHealthy
                                                               : it->second.mine.status;
}

Micros WorkerHealth::own_status_at(WorkerKey key) const {
  const auto it = workers_.find(key);
  return it == workers_.end() || it->second.mine.sequence == 0 ? 0 : it->second.mine.observed_at;
}

std::vector<HealthReport> WorkerHealth::reports(WorkerKey key) const {
  std::vector<HealthReport> all;
  const auto it = workers_.find(key);
  if (it == workers_.end()) return all;
  if (it->second.mine.sequence > 0) all.push_back(it->second.mine);
  for (const auto& [witness, o] : it->second.others) all.push_back(o);
  return all;
}

std::size_t WorkerHealth::bytes() const {
  std::size_t sum = 0;
  for (const auto& [key, w] : workers_)
    sum += sizeof(Worker) + 48 + w.others.size() * (sizeof(HealthReport) + 48) + w.said.size() * 48;
  return sum;
}

}  // namespace pearreach::shared_state
