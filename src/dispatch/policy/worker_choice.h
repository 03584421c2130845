// The choice of a worker for one job: the cheapest of a small sample, taken from the pools that are
// below their limit.
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

constexpr int kSampleSize = 4;           // workers compared for one job
constexpr double kRemoteCost = 0.5;      // extra cost of a worker in another zone, in slots
constexpr double kRemoteCostPriced = 2;  // the same if Settings::cross_zone_price is set
// Number of workers of this zone that are examined for free slots.
constexpr std::size_t kMaxLocalSampled = 32;
// Interval of the probes of an assigned worker.
constexpr Micros kAssignedProbeInterval = 2000 * kMs;
// A key has this many places (the first workers in its rank order), plus this multiple of its share
// of the work, as a share of all workers.
constexpr double kMinKeyPlaces = 2;
constexpr double kKeyPlacesFactor = 4;
constexpr Micros kKeyMemory = 10'000 * kMs;  // time constant of a key's share
// Number of mean jobs added to the total: few jobs do not show a key's share.
constexpr double kKeyPriorJobs = 10;
// A waiting job may use one more worker per interval.
constexpr Micros kKeySpillInterval = 1000 * kMs;
// A keyed job waits this long for the answers to its probes.
constexpr Micros kProbeTimeout = 40 * kMs;
// Cost of a worker beyond the places of the key, which must fetch the data, in fully used workers.
constexpr double kKeyMissCost = 2;

class WorkerChoice : public WorkerMembership {
 protected:
  // Returns the cheapest worker of the sample; null if the job must wait.
  const WorkerId* ChooseWorker(Request& r) {
    const Permit permit = PermitFor(r);
    if (!permit.send) return nullptr;
    FindOpenPools(r);
    sample_.clear();
    if (open_.empty()) return nullptr;
    SamplePreferred(r, permit);
    if (sample_.empty() && r.key && OwnLoadIsSparse()) return ProbeByKey(r, permit);
    if (sample_.empty()) r.key ? SampleByKey(r, permit, 0) : Sample(r, permit);
    const auto best = std::min_element(sample_.begin(), sample_.end(), [&](WorkerId a, WorkerId b) {
      return Cost(a, r) < Cost(b, r);
    });
    return best == sample_.end() ? nullptr : &*best;
  }

  // Reports the last search to the observer.
  void ReportChoice(const Request& r, const WorkerId* chosen) {
    std::vector<Candidate> sampled;
    for (const WorkerId id : sample_)
      sampled.push_back(
          MakeCandidate(workers_[id], id, Cost(id, r), IsCold(workers_[id]),
                        workers_[id].used_by_others.ValueAt(now_, kLoadReportMemory)));
    NotifyObserver(r, chosen, !open_.empty(), sampled);
  }

 private:
  // Collects the pools that may take the job: of its kind, with a price that the job reaches, and
  // below their limit.
  void FindOpenPools(const Request& r) {
    open_.clear();
    for (Pool& p : pools_) {
      if (!MayRunOn(r, p) || BelowPrice(r, p)) continue;
      // A pool without jobs in flight accepts one regardless of the limit.
      if (p.busy > 0 && p.busy + r.slots > p.limit)
        p.limit_reached = true;
      else if (now_ >= p.no_capacity_until || r.slots < p.no_capacity_slots || r.key)
        open_.push_back(&p);
    }
  }

  // Samples the first preferred worker of the job that has a free slot according to this node.
  void SamplePreferred(const Request& r, const Permit& permit) {
    for (const WorkerId id : r.preferred) {
      if (id >= workers_.size() || !sample_.empty()) continue;
      Worker& w = workers_[id];
      if (w.member && std::ranges::count(open_, &PoolOf(w)) > 0 && HasFreeSlots(w, r, 0) &&
          InKeyScope(r, permit, w) && Usable(w, r))
        sample_.push_back(id);
    }
  }

  // Samples the workers of this zone that have free slots, if crossing zones has a price; then the
  // assigned workers; if a connection has a price, those with an open connection first. All other
  // workers are examined only if this yields none, and not again until something has changed, so
  // that the cost of an ordinary send does not depend on the number of workers.
  void Sample(Request& r, const Permit& permit) {
    const auto connected = [&](const Worker& w) { return HasIdleConnection(w); };
    const auto assigned_free = [&](Worker& w) { return HasFreeAssignedSlots(w, r); };
    const auto free = [&](const Worker& w) { return HasFreeSlots(w, r, kRemoteCostPriced); };
    const bool priced = s_.connect_price > 0;
    if (s_.cross_zone_price > 0 && SampleSet(&Pool::local, r, permit, free, kMaxLocalSampled))
      return;
    if (priced && SampleSet(&Pool::assigned, r, permit,
                            [&](Worker& w) { return assigned_free(w) && connected(w); }))
      return;
    if (SampleSet(&Pool::assigned, r, permit, assigned_free)) return;
    if (priced && SampleSet(&Pool::used, r, permit, connected)) return;
    if (SampleSet(&Pool::members, r, permit, [](const Worker&) { return true; })) return;
    for (Pool* p : open_) {
      p->no_capacity_until = kNever;
      p->no_capacity_slots = r.slots;
      workers_examined_ += p->members.size();
      for (const Member& m : p->members)
        p->no_capacity_until = std::min(p->no_capacity_until, AvailableAt(workers_[m.id], r.slots));
    }
  }

  // Samples one member set of the open pools. Examines each worker at most once, and stops after
  // `most` workers or when the sample is complete.
  template <class Predicate>
  bool SampleSet(Members Pool::*set, const Request& r, const Permit& permit, Predicate suitable,
                 std::size_t most = std::numeric_limits<std::size_t>::max()) {
    std::size_t n = 0;
    for (const Pool* p : open_) n += (p->*set).size();
    RandomWalk walk(n, HashMix(random_++));
    while (sample_.size() < kSampleSize && !walk.Done() && most-- > 0) {
      std::size_t k = walk.Next(), pool = 0;
      while (k >= (open_[pool]->*set).size()) k -= (open_[pool++]->*set).size();
      const WorkerId id = (open_[pool]->*set)[k].id;
      Worker& w = workers_[id];
      if (w.member && InKeyScope(r, permit, w) && Usable(w, r) && suitable(w))
        sample_.push_back(id);
    }
    return !sample_.empty();
  }

  // Whether at most `wait` slots of jobs would queue at the worker with this job, by the slots that
  // this node uses and by the worker's load reports.
  bool HasFreeSlots(const Worker& w, const Request& r, double wait) const {
    return w.busy + w.used_by_others.ValueAt(now_, kLoadReportMemory) + r.slots <=
           PoolOf(w).slots_seen + wait;
  }

  // Whether a slot is free both in this node's share of the worker and, by its last report, in the
  // whole worker. Most of the load on the share is this node's own. The worker is probed from time
  // to time to learn its number of slots.
  bool HasFreeAssignedSlots(Worker& w, const Request& r) {
    if (w.own_share <= 0) return false;
    if (s_.may_probe && now_ > w.probed_at + kAssignedProbeInterval) {
      w.probed_at = now_;
      Emit(Probe{IdOf(w)});
    }
    const Pool& p = PoolOf(w);
    const double own_slots =
        std::min(std::ceil(w.own_share * p.slots_seen), p.slots_seen - OthersInFlight(w));
    return !p.reports_free_slots || w.busy + r.slots <= own_slots;
  }

  // A job with a key samples the first workers in the rank order of the key, which is the same at
  // every node, and more of them the longer it waits. A worker without the data of the key must
  // fetch it, which costs slot time and load on the shared store; the store gets overloaded when
  // the keys are scattered. A frequently requested key, however, has work for more than a few
  // workers.
  void SampleByKey(const Request& r, const Permit& permit, std::size_t at_least) {
    order_.clear();
    for (const Pool* p : open_)
      for (const Member& m : p->members)
        if (InKeyScope(r, permit, workers_[m.id])) order_.emplace_back(Rank(m, *r.key), m.id);
    const double mean = std::min(Work(r), classes_[r.cls].work) * r.slots;
    const double share = keys_.Share(*r.key, mean, kKeyPriorJobs * mean, now_, kKeyMemory);
    const double wanted =
        kMinKeyPlaces + kKeyPlacesFactor * share * static_cast<double>(order_.size());
    const std::size_t places = std::min(
        order_.size(), static_cast<std::size_t>(wanted) + (now_ - r.arrived) / kKeySpillInterval);
    const std::size_t examined = std::min(order_.size(), std::max(places, at_least));
    std::partial_sort(order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(examined),
                      order_.end(), std::greater<>());
    key_places_ = 0;
    for (std::size_t i = 0; i < examined; ++i) {
      if (!Usable(workers_[order_[i].second], r)) continue;
      sample_.push_back(order_[i].second);
      if (i < places) key_places_ = sample_.size();
    }
  }

  // Whether this node's share of all slots is below one, so that its own jobs in flight show little
  // of the load of the workers.
  bool OwnLoadIsSparse() const {
    double slots = 0;
    for (const Pool& p : pools_) slots += static_cast<double>(p.members.size()) * p.slots_seen;
    return s_.may_probe && slots < s_.balancers;
  }

  // Used instead of SampleByKey if the own load is sparse: probes the first workers in the rank
  // order and uses their reports. Returns null while the answers are awaited. Beyond the places of
  // the key a job must fetch the data, which costs as much as kKeyMissCost fully used workers; so a
  // frequently requested key spreads.
  const WorkerId* ProbeByKey(Request& r, const Permit& permit) {
    SampleByKey(r, permit, kSampleSize);
    const WorkerId* best = nullptr;
    double least = 0;
    bool all = true;
    for (std::size_t i = 0; i < std::min<std::size_t>(kSampleSize, sample_.size()); ++i) {
      const Worker& w = workers_[sample_[i]];
      const bool answered = HasRecentProbe(w);
      all = all && answered;
      if (!answered && r.probes_sent_at == 0) Emit(Probe{sample_[i]});
      const double penalty = (i < key_places_ ? 0 : kKeyMissCost) + (answered ? 0 : 1);
      const double cost = Cost(sample_[i], r) + penalty * PoolOf(w).slots_seen;
      if (best != nullptr && cost >= least) continue;
      best = &sample_[i];
      least = cost;
    }
    if (r.probes_sent_at == 0) r.probes_sent_at = now_;
    next_check_ = std::min(next_check_, r.probes_sent_at + kProbeTimeout);
    return all || now_ >= r.probes_sent_at + kProbeTimeout ? best : nullptr;
  }

  // Jobs of other nodes at the worker by its last report, discounted by the age of the report.
  double OthersInFlight(const Worker& w) const {
    return w.others_in_flight *
           std::max(0.0, 1 - static_cast<double>(now_ - w.answered_at) / kLoadReportMemory);
  }

  // Whether the worker has answered a probe recently.
  bool HasRecentProbe(const Worker& w) const { return now_ <= w.answered_at + 2 * kProbeTimeout; }

  // Whether the worker can take the job now.
  bool Usable(Worker& w, const Request& r) {
    ++workers_examined_;
    if (now_ < AvailableAt(w, r.slots)) return false;
    // The trial of an ejected worker uses a job that may be sent again, if there is such a class.
    if (w.ejected && PoolOf(w).allows_repeats && s_.classes[r.cls].effect == Effect::kOnce)
      return false;
    for (const Attempt& a : r.attempts)
      if (a.execution == Execution::kInFlight && &workers_[a.worker] == &w) return false;
    if (!r.late && now_ > LatestStart(r, PoolOf(w).slowdown * w.slowness))
      return false;  // the worker or its kind is too slow for the job
    return ColdAllows(w, r);
  }

  // Load of the worker with the job, in slots of a standard worker; slow, small and remote workers
  // cost more.
  double Cost(WorkerId id, const Request& r) const {
    const Worker& w = workers_[id];
    const double size = s_.weighted_workers && largest_weight_ > 0
                            ? w.entry.weight / largest_weight_
                            : 1 / pools_[w.entry.kind].slowdown;
    double cost = (w.busy + OthersInFlight(w) + r.slots) * w.slowness / std::max(size, 0.01);
    if (w.entry.zone != s_.zone) cost += s_.cross_zone_price > 0 ? kRemoteCostPriced : kRemoteCost;
    return cost;
  }

  // Scratch space of one search.
  std::vector<Pool*> open_;       // pools below their limit that may take the job
  std::vector<WorkerId> sample_;  // workers to choose from
  std::size_t key_places_ = 0;    // leading entries of the sample that are places of the key
  std::vector<std::pair<std::uint64_t, WorkerId>> order_;  // rank order of the key
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_WORKER_CHOICE_H_
