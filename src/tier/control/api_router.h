// Routes the requests of workers and operators through a tree of matchers: each node of the tree
// tests one part of a request (method, a path segment, a captured last segment) and passes it to
// its children; leaves have the handlers. A request without a handler gets 404 or 405. Loop thread
// only.
#ifndef PEARREACH_SRC_TIER_CONTROL_API_ROUTER_H_
#define PEARREACH_SRC_TIER_CONTROL_API_ROUTER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "tier/http_server/exchange.h"

namespace pearreach::control {

// `argument`: the captured last segment, decoded; empty where the pattern has none.
using CallHandler = std::function<void(std::shared_ptr<http_server::Exchange> exchange,
                                       const std::string& argument)>;

class ApiRouter {
 public:
  ApiRouter();
  ~ApiRouter();
  // Pattern: "/Config.Read", or "/Workers.Heartbeat/*" with one captured segment.
  void Add(std::string_view method, std::string_view pattern, CallHandler handler);
  void Dispatch(std::shared_ptr<http_server::Exchange> exchange) const;

 private:
  struct Node;
  std::unique_ptr<Node> root_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_API_ROUTER_H_
