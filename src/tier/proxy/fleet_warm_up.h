// Detects that all edge nodes have just started, so that none of them has discovered all workers
// yet; workers register again with their next heartbeat. A live node that started earlier already
// has the full list of workers, in which case there is nothing to wait for.
#ifndef PEARREACH_SRC_TIER_PROXY_FLEET_WARM_UP_H_
#define PEARREACH_SRC_TIER_PROXY_FLEET_WARM_UP_H_

#include <string>
#include <utility>

#include "common/event_loop/timers.h"
#include "tier/control/control_client.h"

namespace pearreach::proxy {

class FleetWarmUp {
 public:
  // `started_at`: start of this process. `discovery_time`: time from then until all workers have
  // sent a heartbeat; 0: requests do not wait for it.
  FleetWarmUp(const control::ControlClient* control, std::string node_name, Micros started_at,
              Micros discovery_time);
  // Time until which requests should wait for workers instead of being refused. 0: no wait.
  Micros WarmUpDeadline(Micros now) const;

 private:
  bool HasOlderNode() const;

  const control::ControlClient* control_;
  const std::string node_name_;
  const Micros deadline_;
  const Micros discovery_time_;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_FLEET_WARM_UP_H_
