// Runs all requests of this node: one dispatcher per service, with workers from the registry. Loop
// thread only.
#ifndef PEARREACH_SRC_TIER_PROXY_REQUEST_RUNNER_H_
#define PEARREACH_SRC_TIER_PROXY_REQUEST_RUNNER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "common/event_loop/timers.h"
#include "tier/control/control_client.h"
#include "tier/proxy/request.h"
#include "tier/registry/worker_table.h"
#include "tier/settings/policy_options.h"

namespace pearreach::proxy {

struct RunnerOptions {
  std::string node_name;   // name of this node in the membership
  std::string zone;        // zone of this node
  std::uint64_t seed = 1;  // seed of the dispatchers' random choices
  // For this long after its start a node may not have discovered the other nodes, so it runs batch
  // items one at a time.
  Micros membership_settle_time = kSecond;
  // Time within which all workers have sent a heartbeat after all nodes restart (FleetWarmUp).
  Micros worker_discovery_time = 0;
  settings::PolicyOptions policy{};
};

// All arguments must outlive the runner. The listeners that it registers do nothing after its
// destruction.
std::unique_ptr<RequestRunner> MakeRequestRunner(Timers* timers, registry::WorkerSource* workers,
                                                 control::ControlClient* control,
                                                 RunnerOptions options);

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_REQUEST_RUNNER_H_
