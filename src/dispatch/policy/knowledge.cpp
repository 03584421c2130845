// What a Dispatcher tells of itself: figures, and what it has learned. It only reads; what is made
// of knowledge that is handed back is decided in policy.cpp.
#include <algorithm>

#include "dispatch/policy/state.h"
#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {

double Dispatcher::PoolLimit(int pool) const { return state().pools_.at(pool).limit; }
double Dispatcher::PoolBusy(int pool) const { return state().pools_.at(pool).busy; }
std::uint64_t Dispatcher::WorkersExamined() const { return state().looks_; }
std::size_t Dispatcher::OpenRequests() const { return state().table_.size(); }
std::size_t Dispatcher::KnownWorkers() const {
  return std::ranges::count_if(state().workers_, [](const Worker& w) { return w.known; });
}

Knowledge Dispatcher::Learned(Micros now) const {
  const State& s = state();
  Knowledge k;
  for (std::size_t i = 0; i < s.pools_.size(); ++i) {
    const Pool& p = s.pools_[i];
    k.pools.push_back(
        {static_cast<int>(i), p.limit, p.found, p.slots_seen, p.ran, p.worked, p.tell});
  }
  k.workers.reserve(s.workers_.size());
  for (std::size_t id = 0; id < s.workers_.size(); ++id) {
    const Worker& w = s.workers_[id];
    // One that was never heard has taught nothing but that it is silent.
    if (!w.known || (w.heard == 0 && !w.silent && w.died_at == 0)) continue;
    k.workers.push_back({static_cast<WorkerId>(id), w.slowness, w.failures, w.silent, w.died_at,
                         w.cold_sends.parts()});
  }
  for (std::size_t c = 0; c < s.classes_.size(); ++c)
    k.classes.push_back({static_cast<int>(c), s.classes_[c].work});
  for (std::size_t t = 0; t < s.quota_.size(); ++t) {
    const Bucket& b = s.quota_[t];
    k.tenants.push_back(
        {static_cast<int>(t),
         std::min(b.cap, b.left + static_cast<double>(now - b.at) / 1e6 * b.per_second)});
  }
  return k;
}

}  // namespace pearreach::dispatch
