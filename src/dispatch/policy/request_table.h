// The open requests of a Dispatcher, the queues of those that wait and the moments at which
// something must be done about them. No decision is made here.
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

struct Due {
  Micros at = 0;
  Ref ref;
  bool operator>(const Due& o) const { return at > o.at; }
};

// The open requests in a slab whose slots are used again; a Ref goes stale when its request is
// forgotten.
class RequestTable {
 public:
  Ref RefOf(const Request& r) const {
    return {static_cast<std::uint32_t>(&r - slab_.data()), r.generation};
  }
  Request* Find(Ref ref) {
    Request& r = slab_[ref.slot];
    return r.live && r.generation == ref.generation ? &r : nullptr;
  }
  Request* FindId(RequestId id) {
    const auto it = index_.find(id);
    return it == index_.end() ? nullptr : &slab_[it->second];
  }
  bool IsHeld(Ref ref) {
    const Request* r = Find(ref);
    return r != nullptr && r->held;
  }
  // An attempt that is out, or null.
  Attempt* FindOut(RequestId id, int attempt, Request** r) {
    *r = FindId(id);
    if (*r == nullptr || attempt < 0 || attempt >= static_cast<int>((*r)->attempts.size()))
      return nullptr;
    Attempt* a = &(*r)->attempts[static_cast<std::size_t>(attempt)];
    return a->ran == Ran::kOut ? a : nullptr;
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
  std::unordered_map<RequestId, std::uint32_t> index_;  // looked up only, never walked
};

// Held jobs of one class, the newest last; those no longer held are dropped when met.
struct Queue {
  std::size_t passed = 0;  // jobs from the back that this pump could not place
  std::deque<Ref> jobs;

  void Push(Ref job, RequestTable& table) {
    while (!jobs.empty() && !table.IsHeld(jobs.front())) jobs.pop_front();
    jobs.push_back(job);
  }
  // The newest that this pump has not passed, of the `most` newest; null: none.
  Request* Next(std::size_t most, RequestTable& table) {
    while (passed < jobs.size() && passed < most) {
      const auto at = jobs.end() - 1 - static_cast<std::ptrdiff_t>(passed);
      if (table.IsHeld(*at)) return table.Find(*at);
      jobs.erase(at);
    }
    return nullptr;
  }
};

// The jobs' moments, the soonest first. Ties come out in an order that the container's own order
// decides, so that is kept too.
struct DueQueue : std::priority_queue<Due, std::vector<Due>, std::greater<Due>> {
  container_type& container() { return c; }
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_REQUEST_TABLE_H_
