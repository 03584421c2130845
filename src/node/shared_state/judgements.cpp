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

const char* NameOf(Verdict v) {
  static constexpr const char* kNames[] = {"well", "slow", "failing", "silent", "dead"};
  return kNames[static_cast<std::size_t>(v)];
}

bool Later(const Opinion& a, const Opinion& b) {
  return std::tie(a.process, a.number) > std::tie(b.process, b.number);
}

Judgements::Judgements(JudgementsOptions options, std::uint64_t process)
    : options_(options), process_(process) {}

int Judgements::Enough() const {
  return 3 * static_cast<int>(std::ceil(std::log10(options_.nodes + 1.0))) + 1;
}

// What was seen of a process that is no more says nothing of the one after it.
void Judgements::Renew(Worker* w) {
  w->heard = w->unheard_since = w->died = 0;
  w->refused = w->jobs = 0;
  w->failures = 0;
  w->slowness = 1;
  w->mine = {};
  w->said.erase(options_.self);
}

void Judgements::Listed(WorkerKey key, int kind, std::int64_t start, bool in_service) {
  Worker& w = workers_[key];
  if (w.listed && start != w.start) Renew(&w);
  w.listed = true;
  w.kind = kind;
  w.start = start;
  w.in_service = in_service;
}

void Judgements::Unlisted(WorkerKey key) { workers_.erase(key); }

void Judgements::Judge(Micros now, WorkerKey key, Worker* w, Verdict verdict) {
  if (w->mine.number == 0 && verdict == Verdict::kWell) return;
  const bool same = w->mine.number > 0 && w->mine.verdict == verdict;
  // The same evidence again is said again now and then, so that it does not fade while it lasts.
  if (same && (verdict == Verdict::kWell || now < w->mine.at + options_.fade / 4)) return;
  w->mine = {key, w->start, options_.self, options_.zone, process_, ++number_, verdict, now};
  w->said[options_.self] = 0;
}

void Judgements::Sent(Micros now, WorkerKey key) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  if (it->second.out++ == 0) it->second.busy_since = now;
  if (it->second.unheard_since == 0) it->second.unheard_since = now;
}

void Judgements::Heard(Micros now, WorkerKey key) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  Worker& w = it->second;
  w.heard = now;
  w.unheard_since = 0;
  w.refused = 0;
  const Verdict v = w.mine.verdict;
  if (v == Verdict::kSilent || v == Verdict::kDead) Judge(now, key, &w, Verdict::kWell);
}

void Judgements::Ended(Micros now, WorkerKey key, End end, double slowness) {
  const auto it = workers_.find(key);
  if (it == workers_.end()) return;
  Worker& w = it->second;
  w.out = std::max(0, w.out - 1);
  if (w.out == 0 && end != End::kTimedOut) w.unheard_since = 0;
  switch (end) {
    case End::kNoConnection:
    case End::kReset:
      if (++w.refused < kRefusedDead) return;
      w.died = now;
      return Judge(now, key, &w, Verdict::kDead);
    case End::kTimedOut:
      // What was waited for in vain counts once: with nothing out there is nothing to wait for.
      if (w.unheard_since > 0 && now - w.unheard_since > options_.taken_within &&
          w.mine.verdict != Verdict::kDead)
        Judge(now, key, &w, Verdict::kSilent);
      if (w.out == 0) w.unheard_since = 0;
      return;
    case End::kServed:
    case End::kFailed:
      break;
  }
  Heard(now, key);
  ++w.jobs;
  w.failures += kLearn * ((end == End::kFailed ? 1 : 0) - w.failures);
  if (slowness > 0) w.slowness += kLearn * (std::min(slowness, 10.0) - w.slowness);
  if (w.jobs < options_.least_jobs) return;
  if (w.failures > options_.failing) return Judge(now, key, &w, Verdict::kFailing);
  if (w.slowness > options_.slow) return Judge(now, key, &w, Verdict::kSlow);
  if (w.failures < options_.failing / 2 && w.slowness < options_.slow / 2 &&
      (w.mine.verdict == Verdict::kFailing || w.mine.verdict == Verdict::kSlow))
    Judge(now, key, &w, Verdict::kWell);
}

bool Judgements::Hear(Micros now, const Opinion& o) {
  if (o.witness < 0 || o.witness >= options_.nodes || o.witness == options_.self ||
      o.process == 0 || o.at > now + options_.fade || o.at < now - options_.fade)
    return false;
  const auto it = workers_.find(o.worker);
  if (it == workers_.end()) return false;  // a worker that this node's list does not name
  Worker& w = it->second;
  Opinion& held = w.others[o.witness];
  if (held.number > 0 && !Later(o, held)) return false;
  held = o;
  w.said[o.witness] = 0;
  while (w.others.size() > kMaxWitnesses) {
    const auto oldest =
        std::min_element(w.others.begin(), w.others.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
    w.said.erase(oldest->first);
    w.others.erase(oldest);
  }
  return true;
}

// The highest of a hash of node, worker and epoch, among those alive and this one.
int Judgements::TrierOf(Micros now, WorkerKey worker, const std::vector<int>& alive) const {
  const auto epoch = static_cast<std::uint64_t>(now / options_.trial_every);
  const auto rank = [&](int node) {
    return Mix(Mix(worker ^ (epoch << 32)) ^ static_cast<std::uint64_t>(node));
  };
  int best = options_.self;
  for (const int n : alive)
    if (rank(n) > rank(best)) best = n;
  return best;
}

std::vector<Standing> Judgements::Look(Micros now, const std::vector<int>& alive) {
  for (auto& [key, w] : workers_) {
    for (auto it = w.others.begin(); it != w.others.end();) {
      if (it->second.at < now - options_.fade) {
        w.said.erase(it->first);
        it = w.others.erase(it);
      } else {
        ++it;
      }
    }
    if (w.mine.number > 0 && w.mine.at < now - options_.fade) {
      w.mine = {};
      w.said.erase(options_.self);
    }
    const bool untaken = w.unheard_since > 0 && now - w.unheard_since > options_.taken_within;
    // A worker that had nothing to say of is not silent at the first job after that.
    const bool quiet =
        w.out > 0 && w.heard > 0 && now - std::max(w.heard, w.busy_since) > options_.silent_after;
    if ((untaken || quiet) && w.mine.verdict != Verdict::kDead)
      Judge(now, key, &w, Verdict::kSilent);
  }
  struct Case {
    std::size_t witnesses = 0;
    Standing standing;
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
    const auto weigh = [&](const Opinion& o) {
      // Of an earlier process of the worker it says nothing; of a later one it does.
      if (o.number == 0 || o.start < w.start) return;
      if (o.verdict == Verdict::kWell) {
        ++well;
        return;
      }
      others += o.witness == options_.self ? 0 : 1;
      bad_zones.insert(o.zone);
      c.standing.witnesses.push_back(o.witness);
      c.standing.verdict = std::max(c.standing.verdict, o.verdict);
      c.standing.at = std::max(c.standing.at, o.at);
      if (o.verdict == Verdict::kDead) c.standing.cold = true;
    };
    weigh(w.mine);
    for (const auto& [witness, o] : w.others) weigh(o);
    if (others == 0) continue;  // what this node alone has seen its module knows
    std::sort(c.standing.witnesses.begin(), c.standing.witnesses.end());
    const bool fresh = w.heard > 0 && now < w.heard + options_.fresh;
    // A process that died is cold when it comes back, whoever saw it die: that only holds back.
    c.witnesses = c.standing.witnesses.size();
    c.standing.out = !fresh && static_cast<int>(c.witnesses) >= options_.witnesses &&
                     static_cast<int>(bad_zones.size()) >= std::min(2, options_.zones) &&
                     c.witnesses > well && c.standing.verdict >= Verdict::kFailing;
    cases.push_back(std::move(c));
  }
  // Those most agreed on first, up to the bound.
  std::sort(cases.begin(), cases.end(), [](const Case& a, const Case& b) {
    return std::tuple(b.witnesses, a.standing.worker) < std::tuple(a.witnesses, b.standing.worker);
  });
  std::map<int, int> out_of_kind;
  std::map<WorkerKey, Standing> next;
  for (Case& c : cases) {
    Standing& s = c.standing;
    if (s.out) {
      const int most = static_cast<int>(options_.most_out * of_kind[c.kind]);
      s.out = ++out_of_kind[c.kind] <= most;
    }
    s.trial = s.out && TrierOf(now, s.worker, alive) == options_.self;
    if (s.out || s.cold) next[s.worker] = s;
  }
  std::vector<Standing> changed;
  for (const auto& [key, s] : next) {
    const auto it = standing_.find(key);
    const bool same = it != standing_.end() && it->second.out == s.out &&
                      it->second.trial == s.trial && it->second.cold == s.cold;
    if (!same) changed.push_back(s);
  }
  for (const auto& [key, s] : standing_)
    if (!next.contains(key)) changed.push_back({.worker = key});
  standing_ = std::move(next);
  return changed;
}

std::vector<Opinion> Judgements::Say(Micros now, std::size_t most) {
  struct Word {
    int said = 0;
    Worker* worker = nullptr;
    int witness = 0;
    const Opinion* opinion = nullptr;
  };
  std::vector<Word> words;
  for (auto& [key, w] : workers_)
    for (const auto& [witness, said] : w.said) {
      const bool mine = witness == options_.self;
      const auto it = w.others.find(witness);
      const Opinion* o = mine ? &w.mine : it != w.others.end() ? &it->second : nullptr;
      if (o == nullptr || o->number == 0 || o->at < now - options_.fade || said >= Enough())
        continue;
      words.push_back({said, &w, witness, o});
    }
  std::stable_sort(words.begin(), words.end(),
                   [](const Word& a, const Word& b) { return a.said < b.said; });
  std::vector<Opinion> all;
  for (const Word& word : words) {
    if (all.size() >= most) break;
    all.push_back(*word.opinion);
    ++word.worker->said[word.witness];
  }
  return all;
}

Verdict Judgements::own(WorkerKey key) const {
  const auto it = workers_.find(key);
  return it == workers_.end() || it->second.mine.number == 0 ? Verdict::kWell
                                                             : it->second.mine.verdict;
}

Micros Judgements::own_at(WorkerKey key) const {
  const auto it = workers_.find(key);
  return it == workers_.end() || it->second.mine.number == 0 ? 0 : it->second.mine.at;
}

std::vector<Opinion> Judgements::opinions(WorkerKey key) const {
  std::vector<Opinion> all;
  const auto it = workers_.find(key);
  if (it == workers_.end()) return all;
  if (it->second.mine.number > 0) all.push_back(it->second.mine);
  for (const auto& [witness, o] : it->second.others) all.push_back(o);
  return all;
}

std::size_t Judgements::bytes() const {
  std::size_t sum = 0;
  for (const auto& [key, w] : workers_)
    sum += sizeof(Worker) + 48 + w.others.size() * (sizeof(Opinion) + 48) + w.said.size() * 48;
  return sum;
}

}  // namespace pearreach::shared_state
