// The open requests of a Dispatcher, the queues of the waiting ones and the times at which they
// must be reconsidered. No decision is made here.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_REQUEST_TABLE_H_
#define PEARREACH_SRC_DISPATCH_POLICY_REQUEST_TABLE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "dispatch/policy/records.h"

namespace pearreach::dispatch {

// A time at which a queued job must be reconsidered.
struct Due {
  Micros at = 0;
  RequestRef ref;
  bool operator>(const Due& o) const { return at > o.at; }
};

// The open requests, in a slab whose slots are reused. A RequestRef becomes stale when its request
// is removed.
class RequestTable {
 public:
  RequestRef RefOf(const Request& r) const {
    return {static_cast<std::uint32_t>(&r - slab_.data()), r.generation};
  }
  // Returns null if the reference is stale.
  Request* Find(RequestRef ref) {
    Request& r = slab_[ref.slot];
    return r.live && r.generation == ref.generation ? &r : nullptr;
  }
  // Returns null if no open request has the id.
  Request* FindId(RequestId id) {
    const auto it = index_.find(id);
    return it == index_.end() ? nullptr : &slab_[it->second];
  }
  bool IsQueued(RequestRef ref) {
    const Request* r = Find(ref);
    return r != nullptr && r->queued;
  }
  // Returns the attempt if it is in flight, else null; sets *r to the request, or null.
  Attempt* FindInFlight(RequestId id, int attempt, Request** r) {
    *r = FindId(id);
    if (*r == nullptr || attempt < 0 || attempt >= static_cast<int>((*r)->attempts.size()))
      return nullptr;
    Attempt* a = &(*r)->attempts[static_cast<std::size_t>(attempt)];
    return a->execution == Execution::kInFlight ? a : nullptr;
  }
  std::size_t size() const { return index_.size(); }

  Request& Add(RequestId id) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(slab_.size()));
      slab_.emplace_back();
    }
    const std::uint32_t slot = free_.back();
    free_.pop_back();
    Request& r = slab_[slot];
    const std::uint32_t generation = r.generation + 1;
    r = Request();
    r.id = id;
    r.generation = generation;
    r.live = true;
    index_[id] = slot;
    return r;
  }

  void Remove(Request& r) {
    r.live = false;
    index_.erase(r.id);
    free_.push_back(RefOf(r).slot);
  }

 private:
  friend class Checkpoint;
  std::vector<Request> slab_;
  std::vector<std::uint32_t> free_;
  // For lookups only: its iteration order is not deterministic.
  std::unordered_map<RequestId, std::uint32_t> index_;
};

// Queued jobs of one class, the newest last. Jobs that are no longer queued are dropped when they
// are encountered.
struct Queue {
  std::size_t skipped = 0;  // jobs from the back that could not be placed in this call
  std::deque<RequestRef> jobs;

  void Push(RequestRef job, RequestTable& table) {
    while (!jobs.empty() && !table.IsQueued(jobs.front())) jobs.pop_front();
    jobs.push_back(job);
  }
  // Returns the newest job not skipped in this call, among the `most` newest; null if there is
  // none.
  Request* Next(std::size_t most, RequestTable& table) {
    while (skipped < jobs.size() && skipped < most) {
      const auto at = jobs.end() - 1 - static_cast<std::ptrdiff_t>(skipped);
      if (table.IsQueued(*at)) return table.Find(*at);
      jobs.erase(at);
    }
    return nullptr;
  }
};

// Due times of the jobs, the earliest first. The order of equal times depends on the order within
// the container, so a checkpoint stores the container as it is.
struct DueQueue : std::priority_queue<Due, std::vector<Due>, std::greater<Due>> {
  container_type& container() { return c; }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_REQUEST_TABLE_H_
