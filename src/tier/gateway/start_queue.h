// Queue of requests that arrive before the first configuration. They wait for it as long as their
// clients do, instead of being refused: after a restart of all nodes, a client may already have
// used its retry, so a refusal would be final. Owned by the gateway. Loop thread only.
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

  // `refuse` is called for a request whose wait has timed out. No handler is called from inside
  // Hold.
  StartQueue(Timers* timers, Handler refuse) : timers_(timers), refuse_(std::move(refuse)) {}
  ~StartQueue();
  StartQueue(const StartQueue&) = delete;
  StartQueue& operator=(const StartQueue&) = delete;

  // False: the queue is full.
  bool Hold(std::shared_ptr<http_server::Exchange> exchange);
  // Passes all waiting requests to `handle` in order of arrival.
  void Release(const Handler& handle);
  std::size_t size() const { return held_.size(); }

 private:
  struct HeldRequest {
    std::shared_ptr<http_server::Exchange> exchange;
    std::size_t bytes = 0;
    Timers::Id timer = 0;
  };

  void OnWaitTimeout(std::uint64_t number);

  Timers* const timers_;
  const Handler refuse_;
  std::map<std::uint64_t, HeldRequest> held_;  // by arrival number
  std::uint64_t last_number_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_TIER_GATEWAY_START_QUEUE_H_
