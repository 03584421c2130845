// Plain records of a Dispatcher's state: requests, workers, pools, classes, keys and tenants. No
// decision is made here. Every new member must be added to the list of fields in checkpoint.cpp,
// which does not compile without it.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_RECORDS_H_
#define PEARREACH_SRC_DISPATCH_POLICY_RECORDS_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <numeric>
#include <optional>
#include <utility>
#include <vector>

#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {

constexpr Micros kLongAgo = std::numeric_limits<Micros>::min() / 4;

enum class Execution { kInFlight, kNeverRan, kMayHaveRun };

struct Attempt {
  WorkerId worker = 0;
  Micros sent = 0;
  Micros started = -1;  // -1: its start has not been reported
  Execution execution = Execution::kInFlight;
  bool accepted = false;              // the worker has accepted it
  bool cancelled_unaccepted = false;  // cancelled because the worker did not accept it in time
  bool late_start_counted = false;    // counted as started too late
  bool written_off = false;           // not counted in Worker::unstarted any more
  int zone = 0, cell = 0;
};

struct Request {
  RequestId id = 0;
  std::uint32_t generation = 0;
  bool live = false;    // the slot is in use
  bool queued = false;  // waits in a queue
  bool late = false;    // can no longer meet its latency target
  bool ended = false;   // has its final answer, kept only until its attempts end
  bool over_quota = false;
  int cls = 0;
  double slots = 1;
  Micros arrived = 0, due = 0;
  std::optional<Micros> hint;
  std::optional<std::uint64_t> key;
  std::vector<WorkerId> preferred;
  std::vector<Attempt> attempts;
  int in_flight = 0;          // attempts without an outcome
  Micros probes_sent_at = 0;  // when workers were probed for its next attempt; 0: not yet
};

// Reference to a request in the RequestTable, stale once the generation of the slot has changed.
struct RequestRef {
  std::uint32_t slot = 0, generation = 0;
};

// A sum whose terms decay exponentially with age; `time_constant` is in microseconds.
struct DecayingSum {
  double sum = 0;
  Micros at = 0;

  double ValueAt(Micros now, Micros time_constant) const {
    return sum * std::exp(-static_cast<double>(now - at) / static_cast<double>(time_constant));
  }
  void Add(double amount, Micros now, Micros time_constant) {
    sum = ValueAt(now, time_constant) + amount;
    at = now;
  }
  void RaiseTo(double least, Micros now, Micros time_constant) {
    sum = std::max(ValueAt(now, time_constant), least);
    at = now;
  }
};

// A sum over a sliding window of time.
class WindowedSum {
 public:
  void Add(double amount, Micros now) { parts_.emplace_back(now, amount); }
  double ValueAt(Micros now, Micros window) {
    std::erase_if(parts_, [&](const auto& p) { return p.first < now - window; });
    double sum = 0;
    for (const auto& p : parts_) sum += p.second;
    return sum;
  }
  void Clear() { parts_.clear(); }
  const std::vector<std::pair<Micros, double>>& parts() const { return parts_; }

 private:
  friend class Checkpoint;
  std::vector<std::pair<Micros, double>> parts_;
};

// The fields that are read to examine a worker come first: in a large fleet each examination is a
// cache miss.
struct Worker {
  Micros blocked_until = 0;    // after a failed connection: no send before this, unless it responds
  Micros next_trial = 0;       // no trial or probe of a silent worker before this
  Micros full_until = 0;       // at most slots_when_full until then; 0: not found full
  double slots_when_full = 0;  // this node's slots there when it was found full
  double busy = 0;             // slots of this node's attempts in flight
  double slowness = 1;         // running time divided by the usual time of its kind, decaying mean
  int unstarted = 0;           // attempts without a reported start that are not written off
  int idle_connections = 0;    // open connections that no attempt uses
  double failures = 0;         // share of its jobs that failed, decaying mean
  bool silent = false;    // no report for too long: not sampled, and not counted in the pool's use
  bool member = false;    // in Pool::members: listed and in service
  bool used = false;      // in Pool::used
  bool listed = false;    // in the current worker list
  bool restored = false;  // its speed and failures were learned by an earlier process
  bool ejected = false;   // ejected by a HealthVerdict
  std::uint64_t last_list_number = 0;  // number of the last list update that contained it
  WorkerEntry entry;
  Micros idle_since = 0;                                // last time that a connection became idle
  Micros probed_at = kLongAgo, answered_at = kLongAgo;  // last probe and last answer to a probe
  double others_in_flight = 0;  // jobs of other nodes in flight, by its last report
  DecayingSum used_by_others;   // slots in use by other nodes, by its reports
  double own_share = 0;         // share of the worker that is assigned to this node
  double running_slots = 0;     // slots of the attempts whose start was reported
  Micros last_response = 0;     // 0: never
  Micros full_backoff = 0;      // current wait after it was found full
  Micros trial_backoff = 0;     // current wait between trials or probes
  Micros died_at = 0;           // last evidence that its process died; 0: none
  double cold_share = 0;        // own_share when its current process first was in service
  WindowedSum cold_sends;
  std::vector<std::pair<RequestRef, int>> in_flight;  // attempts in flight: request and number

  void RemoveAttempt(RequestRef request, int attempt) {
    std::erase_if(in_flight, [&](const std::pair<RequestRef, int>& o) {
      return o.first.slot == request.slot && o.second == attempt;
    });
  }
  // Discards the evidence against the previous process of the worker.
  void ResetForNewProcess() {
    blocked_until = trial_backoff = died_at = 0;
    ejected = false;
    cold_sends.Clear();
    cold_share = -1;
    unstarted = 0;
    failures = 0;
    used_by_others = {};
  }
};

// The actions that RetryRules currently permits for a request.
struct Permit {
  bool send = false;
  bool refuse = false;
  // Sends must stay in the key scope of this attempt; null: no restriction.
  const Attempt* key_scope_of = nullptr;
};

// Describes an examined worker to the observer.
inline Candidate MakeCandidate(const Worker& w, WorkerId id, double cost, bool cold,
                               double used_by_others) {
  Candidate c{id,         cost,     w.busy, used_by_others,  w.slowness,
              w.failures, w.silent, cold,   w.last_response, {}};
  if (w.used_by_others.at > 0) c.last_report = w.used_by_others.at;
  return c;
}

// Returns the item at `number`, or null if the number is out of range.
template <class List>
auto* ItemAt(List& all, std::int64_t number) {
  const bool there = number >= 0 && number < static_cast<std::int64_t>(all.size());
  return there ? &all[static_cast<std::size_t>(number)] : nullptr;
}

inline std::uint64_t HashMix(std::uint64_t x) {  // splitmix64
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

struct Member {
  std::uint64_t identity = 0;
  WorkerId id = 0;
};

// Rank of a worker in the order of `key` (rendezvous hashing), the same at every node.
inline std::uint64_t Rank(const Member& m, std::uint64_t key) {
  return HashMix(m.identity ^ HashMix(key));
}

using Members = std::vector<Member>;

// Adds a worker to a set that is sorted by the rank for key 0, or removes it.
inline void SetMember(Members& all, const Member& m, bool in) {
  const auto less = [](const Member& a, const Member& b) {
    return std::pair(Rank(a, 0), a.id) < std::pair(Rank(b, 0), b.id);
  };
  const auto at = std::lower_bound(all.begin(), all.end(), m, less);
  if (in)
    all.insert(at, m);
  else if (at != all.end() && at->id == m.id)
    all.erase(at);
}

// Adds a worker to an unordered set, or removes it.
inline void SetUsed(Members& all, Worker& w, WorkerId id, bool used) {
  if (w.used == used) return;
  w.used = used;
  if (used)
    all.push_back({w.entry.identity, id});
  else
    std::erase_if(all, [&](const Member& m) { return m.id == id; });
}

// Visits the numbers below n once each, starting at a random number, with a random stride that is
// coprime to n.
class RandomWalk {
 public:
  RandomWalk(std::size_t n, std::uint64_t random)
      : left_(n),
        size_(n),
        at_(n == 0 ? 0 : random % n),
        stride_(n == 0 ? 0 : 1 + HashMix(random) % n) {
    while (std::gcd(stride_, n) > 1) ++stride_;
  }
  bool Done() const { return left_ == 0; }
  std::size_t Next() {
    --left_;
    return at_ = (at_ + stride_) % size_;
  }

 private:
  std::size_t left_, size_, at_, stride_;
};

// Splits the range [0, size) into `parties` contiguous parts of equal length. Returns each number
// that overlaps the part of `self`, with the share of the number that lies in it.
inline std::vector<std::pair<std::size_t, double>> EvenShares(std::size_t size, int parties,
                                                              int self) {
  const std::size_t n = static_cast<std::size_t>(parties);
  const std::size_t from = size * static_cast<std::size_t>(self), to = from + size;
  std::vector<std::pair<std::size_t, double>> parts;
  for (std::size_t at = from / n; at < size && at * n < to; ++at)
    parts.emplace_back(at,
                       static_cast<double>(std::min(to, (at + 1) * n) - std::max(from, at * n)) /
                           static_cast<double>(parties));
  return parts;
}

struct Pool {
  Members members;               // in service, in the order that all nodes share
  Members local;                 // the members in this node's zone
  Members assigned;              // the members assigned to this node, wholly or in part
  Members used;                  // workers with attempts or open connections of this node
  bool members_changed = false;  // members changed since they were last split over the nodes
  double limit = 0;              // slots that this node may have in flight
  double busy = 0;               // slots in flight on workers that are not silent
  double proven_limit = 0;  // highest busy value since the last cut with which jobs started in time
  DecayingSum price;        // decaying value per slot-second of jobs that missed their target here
  int consecutive_refusals = 0;  // since the last start in time
  Micros last_refusal = kLongAgo, last_cut = kLongAgo;
  bool limit_reached = false;  // the limit kept a job waiting since the last check
  // No member can take no_capacity_slots before this, unless reports come.
  Micros no_capacity_until = 0;
  double no_capacity_slots = 0;
  double mean_running = 0, mean_work = 0;  // decaying means of running time and work, microseconds
  double slowdown = 1;                     // ratio of the two
  bool reports_free_slots = false;         // a worker has reported its free slots
  double slots_seen = 1;                   // most slots seen in use or free on one worker
  // Lower bound of the time from a send to the report of its start, us.
  double start_report_delay = 0;
  bool allows_repeats = false;  // some class that runs here allows more than one execution
};

struct ClassState {
  double work = 0;            // learned mean work, microseconds
  DecayingSum offered_value;  // decaying value of all ended requests
  DecayingSum in_time_value;  // decaying value of the ended requests that were in time
  double weight = 1;          // factor on its value for the worst-class part of the objective
};

// Decaying mean of the time between events; the newest interval has the given weight.
struct MeanInterval {
  double mean = 0;
  Micros last = 0;  // 0: none yet

  void Record(Micros now, double weight) {
    if (last != 0) mean += weight * (static_cast<double>(now - last) - mean);
    last = now;
  }
};

// Work requested per key. Keys with the same hash bucket are counted together.
class KeyLoad {
 public:
  void Add(std::uint64_t key, double work, Micros now, Micros time_constant) {
    sums_[HashMix(key) % sums_.size()].Add(work, now, time_constant);
    all_.Add(work, now, time_constant);
  }
  // Share of the key in all work, without the current job. `prior_work` is added to the total, so
  // that a node that has seen little work does not overestimate the share.
  double Share(std::uint64_t key, double job, double prior_work, Micros now,
               Micros time_constant) const {
    const double own = sums_[HashMix(key) % sums_.size()].ValueAt(now, time_constant) - job;
    return std::max(0.0, own) / (all_.ValueAt(now, time_constant) + prior_work);
  }

 private:
  friend class Checkpoint;
  std::vector<DecayingSum> sums_ = std::vector<DecayingSum>(1024);
  DecayingSum all_;
};

// Token bucket with a constant refill rate.
struct TokenBucket {
  double tokens = 0, capacity = 0, rate_per_s = 0;
  Micros at = 0;

  bool Take(Micros now) {
    tokens = std::min(capacity, tokens + static_cast<double>(now - at) / 1e6 * rate_per_s);
    at = now;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_RECORDS_H_
