#include "node/shared_state/judgements.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace pearreach::shared_state {
namespace {

constexpr double kSmoothing = 0.15;        // weight of one job in the moving averages
constexpr int kDeadAfterFailures = 2;      // failed connections in a row
constexpr std::size_t kMaxReporters = 16;  // reports kept per worker

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

bool Supersedes(const HealthReport& a, const HealthReport& b) {
  return std::tie(a.reporter_process, a.sequence) > std::tie(b.reporter_process, b.sequence);
}

WorkerHealth::WorkerHealth(WorkerHealthOptions options, std::uint64_t process)
    : options_(options), process_(process) {}

int WorkerHealth::MaxTransmissions() const {
  return 3 * static_cast<int>(std::ceil(std::log10(options_.nodes + 1.0))) + 1;
}

// Evidence about an earlier process of the worker does not apply to its successor.
void WorkerHealth::ResetEvidence(Worker* w) {
  w->last_response_at = w->unanswered_since = w->died_at = 0;
  w->connection_failures = w->jobs = 0;
  w->failure_rate = 0;
  w->slowness = 1;
  w->own_report = {};
  w->times_sent.erase(options_.self);
}

void WorkerHealth::OnListed(WorkerKey key, int kind, std::int64_t start, bool in_service) {
  Worker& w = workers_[key];
  if (w.listed && start != w.start) ResetEvidence(&w);
  w.listed = true;
  w.kind = kind;
  w.start = start;
  w.in_service = in_service;
}

void WorkerHealth::OnUnlisted(WorkerKey key) { workers_.erase(key); }

void WorkerHealth::SetOwnStatus(Micros now, WorkerKey key, Worker* w, HealthStatus status) {
  if (w->own_report.sequence == 0 && status == HealthStatus::kHealthy) return;
  const bool same = w->own_report.sequence > 0 && w->own_report.status == status;
  // Repeats an unchanged report from time to time, so that it does not expire while it holds.
  if (same && (status == HealthStatus::kHealthy ||
               now < w->own_report.observed_at + options_.report_ttl / 4))
    return;
  w->own_report = {key,      w->start,         options_.self, options_.zone,
                   process_, ++last_sequence_, status,        now};
  w->times_sent[options_.self] = 0;
}

void WorkerHealth::OnJobSent(Micros now, WorkerKey key) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  if (it->second.in_flight++ == 0) it->second.busy_since = now;
  if (it->second.unanswered_since == 0) it->second.unanswered_since = now;
}

void WorkerHealth::OnWorkerResponse(Micros now, WorkerKey key) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  Worker& w = it->second;
  w.last_response_at = now;
  w.unanswered_since = 0;
  w.connection_failures = 0;
  const HealthStatus v = w.own_report.status;
  if (v == HealthStatus::kSilent || v == HealthStatus::kDead)
    SetOwnStatus(now, key, &w, HealthStatus::kHealthy);
}

void WorkerHealth::OnJobEnded(Micros now, WorkerKey key, JobOutcome end, double slowness) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  Worker& w = it->second;
  w.in_flight = std::max(0, w.in_flight - 1);
  if (w.in_flight == 0 && end != JobOutcome::kTimedOut) w.unanswered_since = 0;
  switch (end) {
    case JobOutcome::kNoConnection:
    case JobOutcome::kReset:
      if (++w.connection_failures < kDeadAfterFailures) return;
      w.died_at = now;
      return SetOwnStatus(now, key, &w, HealthStatus::kDead);
    case JobOutcome::kTimedOut:
      // A time-out counts once: with no job in flight there is no response to wait for.
      if (w.unanswered_since > 0 && now - w.unanswered_since > options_.accept_timeout &&
          w.own_report.status != HealthStatus::kDead)
        SetOwnStatus(now, key, &w, HealthStatus::kSilent);
      if (w.in_flight == 0) w.unanswered_since = 0;
      return;
    case JobOutcome::kServed:
    case JobOutcome::kFailed:
      break;
  }
  OnWorkerResponse(now, key);
  ++w.jobs;
  w.failure_rate += kSmoothing * ((end == JobOutcome::kFailed ? 1 : 0) - w.failure_rate);
  if (slowness > 0) w.slowness += kSmoothing * (std::min(slowness, 10.0) - w.slowness);
  if (w.jobs < options_.min_jobs) return;
  if (w.failure_rate > options_.failure_threshold)
    return SetOwnStatus(now, key, &w, HealthStatus::kFailing);
  if (w.slowness > options_.slowness_threshold)
    return SetOwnStatus(now, key, &w, HealthStatus::kSlow);
  if (w.failure_rate < options_.failure_threshold / 2 &&
      w.slowness < options_.slowness_threshold / 2 &&
      (w.own_report.status == HealthStatus::kFailing || w.own_report.status == HealthStatus::kSlow))
    SetOwnStatus(now, key, &w, HealthStatus::kHealthy);
}

bool WorkerHealth::Merge(Micros now, const HealthReport& o) {
  if (o.reporter < 0 || o.reporter >= options_.nodes || o.reporter == options_.self ||
      o.reporter_process == 0 || o.observed_at > now + options_.report_ttl ||
      o.observed_at < now - options_.report_ttl)
    return false;
  const auto it = workers_.find(o.worker);
  if (it == workers_.end()) return false;  // not in this node's worker list
  Worker& w = it->second;
  HealthReport& known = w.remote_reports[o.reporter];
  if (known.sequence > 0 && !Supersedes(o, known)) return false;
  known = o;
  w.times_sent[o.reporter] = 0;
  while (w.remote_reports.size() > kMaxReporters) {
    const auto oldest = std::min_element(
        w.remote_reports.begin(), w.remote_reports.end(),
        [](const auto& a, const auto& b) { return a.second.observed_at < b.second.observed_at; });
    w.times_sent.erase(oldest->first);
    w.remote_reports.erase(oldest);
  }
  return true;
}

// The node with the highest hash of node, worker and epoch among this one and those alive.
int WorkerHealth::ProberFor(Micros now, WorkerKey worker, const std::vector<int>& alive) const {
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
    for (auto it = w.remote_reports.begin(); it != w.remote_reports.end();) {
      if (it->second.observed_at < now - options_.report_ttl) {
        w.times_sent.erase(it->first);
        it = w.remote_reports.erase(it);
      } else {
        ++it;
      }
    }
    if (w.own_report.sequence > 0 && w.own_report.observed_at < now - options_.report_ttl) {
      w.own_report = {};
      w.times_sent.erase(options_.self);
    }
    const bool unanswered =
        w.unanswered_since > 0 && now - w.unanswered_since > options_.accept_timeout;
    // A worker that had no jobs is not silent at the first job after the pause.
    const bool silent = w.in_flight > 0 && w.last_response_at > 0 &&
                        now - std::max(w.last_response_at, w.busy_since) > options_.silence_timeout;
    if ((unanswered || silent) && w.own_report.status != HealthStatus::kDead)
      SetOwnStatus(now, key, &w, HealthStatus::kSilent);
  }
  struct Candidate {
    std::size_t reporter_count = 0;
    WorkerStatus status;
    int kind = 0;
  };
  std::vector<Candidate> candidates;
  std::map<int, int> of_kind;
  for (const auto& entry : workers_) {
    const WorkerKey key = entry.first;
    const Worker& w = entry.second;
    if (!w.listed || !w.in_service) continue;
    ++of_kind[w.kind];
    Candidate c{0, {.worker = key}, w.kind};
    std::set<int> bad_zones;
    std::size_t others = 0, healthy = 0;
    const auto apply = [&](const HealthReport& o) {
      // A report about an earlier process of the worker does not apply; one about a later does.
      if (o.sequence == 0 || o.worker_start_ms < w.start) return;
      if (o.status == HealthStatus::kHealthy) {
        ++healthy;
        return;
      }
      others += o.reporter == options_.self ? 0 : 1;
      bad_zones.insert(o.reporter_zone);
      c.status.reporters.push_back(o.reporter);
      c.status.status = std::max(c.status.status, o.status);
      c.status.observed_at = std::max(c.status.observed_at, o.observed_at);
      if (o.status == HealthStatus::kDead) c.status.cold = true;
    };
    apply(w.own_report);
    for (const auto& [reporter, o] : w.remote_reports) apply(o);
    if (others == 0) continue;  // the dispatch module already has this node's own evidence
    std::sort(c.status.reporters.begin(), c.status.reporters.end());
    const bool fresh =
        w.last_response_at > 0 && now < w.last_response_at + options_.own_evidence_ttl;
    // A worker whose process died is cold on its return. A single report is enough for that, as
    // it only limits the load and does not eject the worker.
    c.reporter_count = c.status.reporters.size();
    c.status.ejected = !fresh && static_cast<int>(c.reporter_count) >= options_.min_reporters &&
                       static_cast<int>(bad_zones.size()) >= std::min(2, options_.zones) &&
                       c.reporter_count > healthy && c.status.status >= HealthStatus::kFailing;
    candidates.push_back(std::move(c));
  }
  // Ejects the workers with the most reporters first, up to the limit.
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::tuple(b.reporter_count, a.status.worker) <
           std::tuple(a.reporter_count, b.status.worker);
  });
  std::map<int, int> ejected_of_kind;
  std::map<WorkerKey, WorkerStatus> next;
  for (Candidate& c : candidates) {
    WorkerStatus& s = c.status;
    if (s.ejected) {
      const int most = static_cast<int>(options_.max_ejected_fraction * of_kind[c.kind]);
      s.ejected = ++ejected_of_kind[c.kind] <= most;
    }
    s.probe = s.ejected && ProberFor(now, s.worker, alive) == options_.self;
    if (s.ejected || s.cold) next[s.worker] = s;
  }
  std::vector<WorkerStatus> changed;
  for (const auto& [key, s] : next) {
    const auto it = statuses_.find(key);
    const bool same = it != statuses_.end() && it->second.ejected == s.ejected &&
                      it->second.probe == s.probe && it->second.cold == s.cold;
    if (!same) changed.push_back(s);
  }
  for (const auto& [key, s] : statuses_)
    if (!next.contains(key)) changed.push_back({.worker = key});
  statuses_ = std::move(next);
  return changed;
}

std::vector<HealthReport> WorkerHealth::TakeReportsToSend(Micros now, std::size_t most) {
  struct PendingReport {
    int times_sent = 0;
    Worker* worker = nullptr;
    int reporter = 0;
    const HealthReport* report = nullptr;
  };
  std::vector<PendingReport> pending;
  for (auto& [key, w] : workers_)
    for (const auto& [reporter, times_sent] : w.times_sent) {
      const bool own = reporter == options_.self;
      const auto it = w.remote_reports.find(reporter);
      const HealthReport* o = own                            ? &w.own_report
                              : it != w.remote_reports.end() ? &it->second
                                                             : nullptr;
      if (o == nullptr || o->sequence == 0 || o->observed_at < now - options_.report_ttl ||
          times_sent >= MaxTransmissions())
        continue;
      pending.push_back({times_sent, &w, reporter, o});
    }
  std::stable_sort(
      pending.begin(), pending.end(),
      [](const PendingReport& a, const PendingReport& b) { return a.times_sent < b.times_sent; });
  std::vector<HealthReport> all;
  for (const PendingReport& entry : pending) {
    if (all.size() >= most) break;
    all.push_back(*entry.report);
    ++entry.worker->times_sent[entry.reporter];
  }
  return all;
}

HealthStatus WorkerHealth::own_status(WorkerKey key) const {
  const auto it = workers_.find(key);
  return it == workers_.end() || it->second.own_report.sequence == 0 ? HealthStatus::kHealthy
                                                                     : it->second.own_report.status;
}

Micros WorkerHealth::own_status_at(WorkerKey key) const {
  const auto it = workers_.find(key);
  return it == workers_.end() || it->second.own_report.sequence == 0
             ? 0
             : it->second.own_report.observed_at;
}

std::vector<HealthReport> WorkerHealth::reports(WorkerKey key) const {
  std::vector<HealthReport> all;
  const auto it = workers_.find(key);
  if (it == workers_.end()) return all;
  if (it->second.own_report.sequence > 0) all.push_back(it->second.own_report);
  for (const auto& [reporter, o] : it->second.remote_reports) all.push_back(o);
  return all;
}

std::size_t WorkerHealth::bytes() const {
  std::size_t sum = 0;
  for (const auto& [key, w] : workers_)
    sum += sizeof(Worker) + 48 + w.remote_reports.size() * (sizeof(HealthReport) + 48) +
           w.times_sent.size() * 48;
  return sum;
}

}  // namespace pearreach::shared_state
