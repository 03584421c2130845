// What a Dispatcher remembers, as plain records: requests, workers, pools, classes, keys and
// tenants. No decision is made here. What is added must be added to its list of fields in
// checkpoint.cpp, which does not compile without.
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

enum class Ran { kOut, kNo, kMaybe };

struct Attempt {
  WorkerId worker = 0;
  Micros sent = 0;
  Micros started = -1;  // -1: not told to have started
  Ran ran = Ran::kOut;
  bool taken = false;        // the worker has said that it has it
  bool given_up = false;     // nothing was heard of it, and it was cancelled
  bool late = false;         // its late start has been counted
  bool written_off = false;  // no longer keeps its worker out of the sample
  int zone = 0, cell = 0;
};

struct Request {
  RequestId id = 0;
  std::uint32_t generation = 0;
  bool live = false;   // the slot is in use
  bool held = false;   // waits in a queue
  bool late = false;   // can no longer be in time
  bool ended = false;  // has its final answer, remembered for its attempts only
  bool over_share = false;
  int cls = 0;
  double slots = 1;
  Micros arrived = 0, due = 0;
  std::optional<Micros> hint;
  std::optional<std::uint64_t> key;
  std::vector<WorkerId> preferred;
  std::vector<Attempt> attempts;
  int out = 0;          // attempts without outcome
  Micros asked_at = 0;  // workers were probed for its next attempt; 0: not yet
};

struct Ref {
  std::uint32_t slot = 0, generation = 0;
};

// A sum whose parts fade with age.
struct FadingSum {
  double sum = 0;
  Micros at = 0;

  double Now(Micros now, Micros memory) const {
    return sum * std::exp(-static_cast<double>(now - at) / static_cast<double>(memory));
  }
  void Add(double amount, Micros now, Micros memory) {
    sum = Now(now, memory) + amount;
    at = now;
  }
  void Raise(double least, Micros now, Micros memory) {
    sum = std::max(Now(now, memory), least);
    at = now;
  }
};

// A sum over the last stretch of time only.
class WindowSum {
 public:
  void Add(double amount, Micros now) { parts_.emplace_back(now, amount); }
  double Now(Micros now, Micros window) {
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

// The fields that a look at a worker reads come first: in a large fleet each look is a cache miss.
struct Worker {
  Micros blocked_until = 0;  // no connection: not before this, unless heard
  Micros next_trial = 0;
  Micros full_until = 0;    // no more than full_level before this; 0: not found full
  double full_level = 0;    // slots of ours with which it was found full
  double busy = 0;          // slots of this node's attempts out
  double slowness = 1;      // running time over what its kind takes, fading mean
  int waiting = 0;          // attempts sent, not started, not written off
  int idle = 0;             // connections to it that no attempt uses
  double failures = 0;      // share of its jobs that failed, a fading mean
  bool silent = false;      // owes a word for too long: out of the sample and of the pool's count
  bool member = false;      // in its pool's members: on the list and in service
  bool used = false;        // in its pool's used
  bool known = false;       // on the list now
  bool recalled = false;    // what is known of its speed and failures is an earlier process's word
  bool judged = false;      // out by what several nodes have seen
  std::uint64_t named = 0;  // the number of the last list that named it
  WorkerEntry entry;
  Micros idle_since = 0;                                // the last time a connection became idle
  Micros probed_at = kLongAgo, answered_at = kLongAgo;  // its last probe, the last answer to one
  double others = 0;                                    // jobs of other nodes it told last
  FadingSum taken;     // slots that others have in use, by its reports
  double part = 0;     // this node's part of it in the common order
  double running = 0;  // slots of the attempts told to have started
  Micros heard = 0;
  Micros full_wait = 0;
  Micros trial_wait = 0;
  Micros died_at = 0;    // the last sign that its process died; 0: none
  double cold_part = 0;  // its part when this process was first heard of
  WindowSum cold_sends;
  std::vector<std::pair<Ref, int>> out;  // attempts, by request and number

  void Remove(Ref request, int attempt) {
    std::erase_if(out, [&](const std::pair<Ref, int>& o) {
      return o.first.slot == request.slot && o.second == attempt;
    });
  }
  // Forgets what was held against a process that is no more.
  void Renew() {
    blocked_until = trial_wait = died_at = 0;
    judged = false;
    cold_sends.Clear();
    cold_part = -1;
    waiting = 0;
    failures = 0;
    taken = {};
  }
};

// What the rules allow for a request now.
struct Permit {
  bool send = false;
  bool refuse = false;
  const Attempt* group = nullptr;  // sends are bound to this attempt's group of workers
};

// A worker that was looked at, for the observer.
inline Candidate Describe(const Worker& w, WorkerId id, double cost, bool cold, double taken) {
  Candidate c{id, cost, w.busy, taken, w.slowness, w.failures, w.silent, cold, w.heard, {}};
  if (w.taken.at > 0) c.last_report = w.taken.at;
  return c;
}

// The record of this number, or null.
template <class List>
auto* Numbered(List& all, std::int64_t number) {
  const bool there = number >= 0 && number < static_cast<std::int64_t>(all.size());
  return there ? &all[static_cast<std::size_t>(number)] : nullptr;
}

inline std::uint64_t Mix(std::uint64_t x) {  // splitmix64
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

struct Member {
  std::uint64_t identity = 0;
  WorkerId id = 0;
};

// A worker's place in an order of its own for each key, the same at every node.
inline std::uint64_t Rank(const Member& m, std::uint64_t key) { return Mix(m.identity ^ Mix(key)); }

using Members = std::vector<Member>;

// Puts a worker into a set that is in the order of key 0, or takes it out.
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

// Puts a worker into a set without order, or takes it out.
inline void SetUsed(Members& all, Worker& w, WorkerId id, bool used) {
  if (w.used == used) return;
  w.used = used;
  if (used)
    all.push_back({w.entry.identity, id});
  else
    std::erase_if(all, [&](const Member& m) { return m.id == id; });
}

// Walks the numbers under n, each once, from a random one on by a random stride prime to n.
class RandomWalk {
 public:
  RandomWalk(std::size_t n, std::uint64_t random)
      : left_(n),
        size_(n),
        at_(n == 0 ? 0 : random % n),
        stride_(n == 0 ? 0 : 1 + Mix(random) % n) {
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

// Numbers 0 to size, side by side, split evenly over parties: party `self`'s part of each.
inline std::vector<std::pair<std::size_t, double>> EvenPart(std::size_t size, int parties,
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
  Members members;       // in service, in the order common to all nodes
  Members local;         // those of them in this node's zone
  Members home;          // those of them that are in part this node's own
  Members used;          // those with attempts of this node out or connections open
  bool changed = false;  // members since they were last split over the nodes
  double limit = 0;      // slots this node may have out
  double busy = 0;       // slots it has out on workers that are not silent
  double found = 0;      // highest busy value that worked since the last cut
  FadingSum price;       // fading worth of a slot-second that waited for this pool
  int refusals = 0;      // consecutive
  Micros last_refusal = kLongAgo, last_cut = kLongAgo;
  bool wanted = false;    // a job waited for the limit since the last check
  Micros shut_until = 0;  // no member takes shut_slots before this, if nothing is heard
  double shut_slots = 0;
  double ran = 0, worked = 0;  // fading means of running time and of work
  double slowdown = 1;         // their ratio
  bool told = false;           // a worker told its free slots
  double slots_seen = 1;       // most slots seen in use or free on one worker
  double tell = 0;             // microseconds from a send to the word of its start, at least
  bool repeats = false;        // some class that runs here may be sent again
};

struct ClassState {
  double work = 0;        // learned mean work, microseconds
  FadingSum asked, good;  // fading worth of ended requests, and of those in time
  double weight = 1;      // how much the worst-class part of the goal lifts it
};

// The mean time between events, the newest with a given weight.
struct MeanGap {
  double mean = 0;
  Micros last = 0;  // 0: none yet

  void Tick(Micros now, double weight) {
    if (last != 0) mean += weight * (static_cast<double>(now - last) - mean);
    last = now;
  }
};

// How much of the work each key asks for. Keys that share a sum count together.
class KeySums {
 public:
  void Add(std::uint64_t key, double work, Micros now, Micros memory) {
    sums_[Mix(key) % sums_.size()].Add(work, now, memory);
    all_.Add(work, now, memory);
  }
  // The key's part, the job in hand left out and its doubt added to all.
  double Part(std::uint64_t key, double job, double doubt, Micros now, Micros memory) const {
    const double own = sums_[Mix(key) % sums_.size()].Now(now, memory) - job;
    return std::max(0.0, own) / (all_.Now(now, memory) + doubt);
  }

 private:
  friend class Checkpoint;
  // Keys whose sums share a place count together.
  std::vector<FadingSum> sums_ = std::vector<FadingSum>(1024);
  FadingSum all_;
};

// Allowances that fill evenly up to a cap.
struct Bucket {
  double left = 0, cap = 0, per_second = 0;
  Micros at = 0;

  bool Take(Micros now) {
    left = std::min(cap, left + static_cast<double>(now - at) / 1e6 * per_second);
    at = now;
    if (left < 1) return false;
    left -= 1;
    return true;
  }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_RECORDS_H_
