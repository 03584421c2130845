// One process of the serving tier: builds the parts that its settings ask for, connects them, and
// ends them in order.
#ifndef PEARREACH_SRC_TIER_SERVER_NODE_H_
#define PEARREACH_SRC_TIER_SERVER_NODE_H_

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>

#include "tier/settings/node_settings.h"

namespace pearreach::server {

class Node {
 public:
  // `finished` is called once the process may end after Stop.
  Node(settings::NodeSettings settings, std::function<void()> finished);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  absl::Status Start();
  // Begins to end: not ready any more, answers what is under way, then leaves; within `grace_s`.
  void Stop();
  // The settings file has changed: what can be taken over without a restart is.
  void Reload(const settings::NodeSettings& settings);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearreach::server

#endif  // PEARREACH_SRC_TIER_SERVER_NODE_H_
