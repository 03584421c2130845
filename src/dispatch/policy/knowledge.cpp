// Read access to a Dispatcher: figures for monitoring, and the learned state. How restored
// knowledge is used is decided in policy.cpp.
#include <algorithm>

#include "dispatch/policy/state.h"
#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {

double Dispatcher::PoolLimit(int pool) const { return state().pools_.at(pool).limit; }
double Dispatcher::PoolBusy(int pool) const { return state().pools_.at(pool).busy; }
std::uint64_t Dispatcher::WorkersExamined() const { return state().workers_examined_; }
std::size_t Dispatcher::OpenRequests() const { return state().table_.size(); }
std::size_t Dispatcher::KnownWorkers() const {
  return std::ranges::count_if(state().workers_, [](const Worker& w) { return w.listed; });
}

Knowledge Dispatcher::Learned(Micros now) const {
  const State& s = state();
  Knowledge k;
  for (std::size_t i = 0; i < s.pools_.size(); ++i) {
    const Pool& p = s.pools_[i];
    k.pools.push_back({static_cast<int>(i), p.limit, p.proven_limit, p.slots_seen, p.mean_running,
                       p.mean_work, p.start_report_delay});
  }
  k.workers.reserve(s.workers_.size());
  for (std::size_t id = 0; id < s.workers_.size(); ++id) {
    const Worker& w = s.workers_[id];
    // Nothing has been learned about a worker that never responded, unless it is silent or has
    // died.
    if (!w.listed || (w.last_response == 0 && !w.silent && w.died_at == 0)) continue;
    k.workers.push_back({static_cast<WorkerId>(id), w.slowness, w.failures, w.silent, w.died_at,
                         w.cold_sends.parts()});
  }
  for (std::size_t c = 0; c < s.classes_.size(); ++c)
    k.classes.push_back({static_cast<int>(c), s.classes_[c].work});
  for (std::size_t t = 0; t < s.quota_.size(); ++t) {
    const TokenBucket& b = s.quota_[t];
    k.tenants.push_back(
        {static_cast<int>(t),
         std::min(b.capacity, b.tokens + static_cast<double>(now - b.at) / 1e6 * b.rate_per_s)});
  }
  return k;
}

}  // namespace pearreach::dispatch
