// The calls of workers and operators as a tree of matchers: each node of the tree tests one part of
// a call (method, a path segment, a captured last segment) and hands it to its children; leaves
// answer. Calls that no leaf takes are answered 404 or 405.
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
