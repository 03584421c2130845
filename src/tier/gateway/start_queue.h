// Requests that come before this node knows a configuration: they wait for it, as long as their
// clients do, instead of being refused. After a start of all nodes a refusal would be the last
// answer of a client that has used its retry on the outage.
#ifndef PEARREACH_SRC_TIER_GATEWAY_START_QUEUE_H_
#define PEARREACH_SRC_TIER_GATEWAY_START_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "common/event_loop/timers.h"
#include "tier/http_server/exchange.h"

namespace pearreach::gateway {

class StartQueue {
 public:
  using Handler = std::function<void(std::shared_ptr<http_server::Exchange>)>;

  // `refuse` gets a request whose time is over. Neither is called from inside Hold.
  StartQueue(Timers* timers, Handler refuse) : timers_(timers), refuse_(std::move(refuse)) {}
  ~StartQueue();
  StartQueue(const StartQueue&) = delete;
  StartQueue& operator=(const StartQueue&) = delete;

  // False: there is no room for it.
  bool Hold(std::shared_ptr<http_server::Exchange> exchange);
  // Hands all that still wait to `handle`, in the order in which they came.
  void Release(const Handler& handle);
  std::size_t size() const { return held_.size(); }

 private:
  struct Held {
    std::shared_ptr<http_server::Exchange> exchange;
    std::size_t bytes = 0;
    Timers::Id timer = 0;
  };

  void OnTimeOver(std::uint64_t number);

  Timers* const timers_;
  const Handler refuse_;
  std::map<std::uint64_t, Held> held_;  // by order of arrival
  std::uint64_t last_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_TIER_GATEWAY_START_QUEUE_H_
