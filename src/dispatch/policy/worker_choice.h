// The choice of a worker for one job: the least busy of a few that are sampled, in pools whose
// limit has room.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_WORKER_CHOICE_H_
#define PEARREACH_SRC_DISPATCH_POLICY_WORKER_CHOICE_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>
#include <vector>

#include "dispatch/policy/worker_membership.h"

namespace pearreach::dispatch {

constexpr int kSample = 4;                   // workers looked at for one job
constexpr double kRemoteCost = 0.5;          // slots that another zone counts for
constexpr double kPricedRemote = 2;          // the same where going there has a price
constexpr std::size_t kLocalLooks = 32;      // workers of this zone looked at for room
constexpr Micros kHomeProbe = 2000 * kMs;    // the node's own workers are probed this often
constexpr double kKeyPlaces = 2;             // workers in a key's own order looked at first, and
constexpr double kKeySpread = 4;             // times the key's part of the work, of all workers
constexpr Micros kKeyMemory = 10'000 * kMs;  // the part fades over this
constexpr double kKeyDoubt = 10;  // jobs of doubt: a node that saw few jobs knows no key's part
constexpr Micros kKeyWait = 1000 * kMs;  // one more worker for each of these waited
constexpr Micros kAskWait = 40 * kMs;    // probes of a keyed job are waited for this long
constexpr double kFetchCost = 2;         // a place past the key's own, in workers full of jobs

class WorkerChoice : public WorkerMembership {
 protected:
  // The least busy of the sample; null: the job waits.
  const WorkerId* Pick(Request& r) {
    const Permit permit = PermitFor(r);
    if (!permit.send) return nullptr;
    FindRoom(r);
    sample_.clear();
    if (open_.empty()) return nullptr;
    SamplePreferred(r, permit);
    if (sample_.empty() && r.key && TallySaysLittle()) return AskByKey(r, permit);
    if (sample_.empty()) r.key ? SampleByKey(r, permit, 0) : Sample(r, permit);
    const auto best = std::min_element(sample_.begin(), sample_.end(), [&](WorkerId a, WorkerId b) {
      return Cost(a, r) < Cost(b, r);
    });
    return best == sample_.end() ? nullptr : &*best;
  }

  // Tells the observer of the last look.
  void Show(const Request& r, const WorkerId* chosen) {
    std::vector<Candidate> sampled;
    for (const WorkerId id : sample_)
      sampled.push_back(Describe(workers_[id], id, Cost(id, r), IsCold(workers_[id]),
                                 workers_[id].taken.Now(now_, kTakenMemory)));
    Tell(r, chosen, !open_.empty(), sampled);
  }

 private:
  // The pools that may take the job: of its kind, not too dear for it, their limit not reached.
  void FindRoom(const Request& r) {
    open_.clear();
    for (Pool& p : pools_) {
      if (!MayRunOn(r, p) || TooDear(r, p)) continue;
      // An empty pool lets one job through, whatever the limit.
      if (p.busy > 0 && p.busy + r.slots > p.limit)
        p.wanted = true;
      else if (now_ >= p.shut_until || r.slots < p.shut_slots || r.key)
        open_.push_back(&p);
    }
  }

  // The first of the job's preferred workers that has a free slot for it, by what is known here.
  void SamplePreferred(const Request& r, const Permit& permit) {
    for (const WorkerId id : r.preferred) {
      if (id >= workers_.size() || !sample_.empty()) continue;
      Worker& w = workers_[id];
      if (w.member && std::ranges::count(open_, &PoolOf(w)) > 0 && HasRoom(w, r, 0) &&
          InGroup(r, permit, w) && Usable(w, r))
        sample_.push_back(id);
    }
  }

  // Where crossing zones has a price, workers of this one that have room; then home workers, and
  // open connections where a new one has a price. All others only when these yield nobody, and not
  // again while nothing has changed: the ordinary send costs the same however many workers there
  // are.
  void Sample(Request& r, const Permit& permit) {
    const auto linked = [&](const Worker& w) { return Connected(w); };
    const auto home = [&](Worker& w) { return HomeRoom(w, r); };
    const auto room = [&](const Worker& w) { return HasRoom(w, r, kPricedRemote); };
    const bool priced = s_.connect_price > 0;
    if (s_.cross_zone_price > 0 && Look(&Pool::local, r, permit, room, kLocalLooks)) return;
    if (priced && Look(&Pool::home, r, permit, [&](Worker& w) { return home(w) && linked(w); }))
      return;
    if (Look(&Pool::home, r, permit, home)) return;
    if (priced && Look(&Pool::used, r, permit, linked)) return;
    if (Look(&Pool::members, r, permit, [](const Worker&) { return true; })) return;
    for (Pool* p : open_) {
      p->shut_until = kNever;
      p->shut_slots = r.slots;
      looks_ += p->members.size();
      for (const Member& m : p->members)
        p->shut_until = std::min(p->shut_until, OpensAt(workers_[m.id], r.slots));
    }
  }

  // Samples one set of the pools with room: each is met once at most, until enough of them suit.
  template <class Good>
  bool Look(Members Pool::*set, const Request& r, const Permit& permit, Good good,
            std::size_t most = std::numeric_limits<std::size_t>::max()) {
    std::size_t n = 0;
    for (const Pool* p : open_) n += (p->*set).size();
    RandomWalk walk(n, Mix(random_++));
    while (sample_.size() < kSample && !walk.Done() && most-- > 0) {
      std::size_t k = walk.Next(), pool = 0;
      while (k >= (open_[pool]->*set).size()) k -= (open_[pool++]->*set).size();
      const WorkerId id = (open_[pool]->*set)[k].id;
      Worker& w = workers_[id];
      if (w.member && InGroup(r, permit, w) && Usable(w, r) && good(w)) sample_.push_back(id);
    }
    return !sample_.empty();
  }

  // By its own tally and what it told, no more than so many slots' jobs wait there with this one.
  bool HasRoom(const Worker& w, const Request& r, double wait) const {
    return w.busy + w.taken.Now(now_, kTakenMemory) + r.slots <= PoolOf(w).slots_seen + wait;
  }

  // Its slots that are this node's part are not all in use, nor are all of them by its last word.
  // On its own part a node's tally tells most of the load. How many slots it has is asked at times.
  bool HomeRoom(Worker& w, const Request& r) {
    if (w.part <= 0) return false;
    if (s_.may_probe && now_ > w.probed_at + kHomeProbe) {
      w.probed_at = now_;
      Act(Probe{IdOf(w)});
    }
    const Pool& p = PoolOf(w);
    const double room = std::min(std::ceil(w.part * p.slots_seen), p.slots_seen - Others(w));
    return !p.told || w.busy + r.slots <= room;
  }

  // A job with a key samples the first workers in the key's own order, the same at every node, and
  // spills further down the longer it waits: a fetch costs its slot and the shared store, which
  // jams when keys scatter; but a much asked key has work for more than a few workers.
  void SampleByKey(const Request& r, const Permit& permit, std::size_t at_least) {
    order_.clear();
    for (const Pool* p : open_)
      for (const Member& m : p->members)
        if (InGroup(r, permit, workers_[m.id])) order_.emplace_back(Rank(m, *r.key), m.id);
    const double mean = std::min(Work(r), classes_[r.cls].work) * r.slots;
    const double part = keys_.Part(*r.key, mean, kKeyDoubt * mean, now_, kKeyMemory);
    const double wanted = kKeyPlaces + kKeySpread * part * static_cast<double>(order_.size());
    const std::size_t places =
        std::min(order_.size(), static_cast<std::size_t>(wanted) + (now_ - r.arrived) / kKeyWait);
    const std::size_t looked = std::min(order_.size(), std::max(places, at_least));
    std::partial_sort(order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(looked),
                      order_.end(), std::greater<>());
    places_ = 0;
    for (std::size_t i = 0; i < looked; ++i) {
      if (!Usable(workers_[order_[i].second], r)) continue;
      sample_.push_back(order_[i].second);
      if (i < places) places_ = sample_.size();
    }
  }

  // This node's part of all slots is under one: it has hardly a job at any worker to tally.
  bool TallySaysLittle() const {
    double slots = 0;
    for (const Pool& p : pools_) slots += static_cast<double>(p.members.size()) * p.slots_seen;
    return s_.may_probe && slots < s_.balancers;
  }

  // There the first workers of the key's order are probed, and what they tell counts as tallied.
  // Past the key's places a job must fetch, which costs as much as full workers: a much asked key
  // spreads.
  const WorkerId* AskByKey(Request& r, const Permit& permit) {
    SampleByKey(r, permit, kSample);
    const WorkerId* best = nullptr;
    double least = 0;
    bool all = true;
    for (std::size_t i = 0; i < std::min<std::size_t>(kSample, sample_.size()); ++i) {
      const Worker& w = workers_[sample_[i]];
      const bool answered = Answered(w);
      all = all && answered;
      if (!answered && r.asked_at == 0) Act(Probe{sample_[i]});
      const double full = (i < places_ ? 0 : kFetchCost) + (answered ? 0 : 1);
      const double cost = Cost(sample_[i], r) + full * PoolOf(w).slots_seen;
      if (best != nullptr && cost >= least) continue;
      best = &sample_[i];
      least = cost;
    }
    if (r.asked_at == 0) r.asked_at = now_;
    next_check_ = std::min(next_check_, r.asked_at + kAskWait);
    return all || now_ >= r.asked_at + kAskWait ? best : nullptr;
  }

  // Jobs of others there, as it told last; what it told fades.
  double Others(const Worker& w) const {
    return w.others * std::max(0.0, 1 - static_cast<double>(now_ - w.answered_at) / kTakenMemory);
  }

  // What it told of others' jobs when it was probed is fresh.
  bool Answered(const Worker& w) const { return now_ <= w.answered_at + 2 * kAskWait; }

  bool Usable(Worker& w, const Request& r) {
    ++looks_;
    if (now_ < OpensAt(w, r.slots)) return false;
    // Whoever tries it for all, does so with a job that may be sent again if there is such a class.
    if (w.judged && PoolOf(w).repeats && s_.classes[r.cls].effect == Effect::kOnce) return false;
    for (const Attempt& a : r.attempts)
      if (a.ran == Ran::kOut && &workers_[a.worker] == &w) return false;
    if (!r.late && now_ > LatestStart(r, PoolOf(w).slowdown * w.slowness))
      return false;  // too slow a kind
    return ColdAllows(w, r);
  }

  double Cost(WorkerId id, const Request& r) const {
    const Worker& w = workers_[id];
    const double size = s_.weighted_workers && largest_weight_ > 0
                            ? w.entry.weight / largest_weight_
                            : 1 / pools_[w.entry.kind].slowdown;
    double cost = (w.busy + Others(w) + r.slots) * w.slowness / std::max(size, 0.01);
    if (w.entry.zone != s_.zone) cost += s_.cross_zone_price > 0 ? kPricedRemote : kRemoteCost;
    return cost;
  }

  // Scratch of one look.
  std::vector<Pool*> open_;       // pools with room for the job in hand
  std::vector<WorkerId> sample_;  // workers to choose from for it
  std::size_t places_ = 0;        // how many of the sample are places of the key
  std::vector<std::pair<std::uint64_t, WorkerId>> order_;  // of its key
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_WORKER_CHOICE_H_
