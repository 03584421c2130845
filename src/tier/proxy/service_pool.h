// One service at this node: its workers, their dispatcher and the limits on its requests.
#ifndef PEARREACH_SRC_TIER_PROXY_SERVICE_POOL_H_
#define PEARREACH_SRC_TIER_PROXY_SERVICE_POOL_H_

#include <string>

#include "tier/proxy/bulk_gate.h"
#include "tier/proxy/pool_dispatcher.h"
#include "tier/proxy/response_timeout.h"
#include "tier/proxy/service_workers.h"

namespace pearreach::proxy {

struct ServicePool {
  ServicePool(Timers* timers, const std::string& service, const std::string& zone,
              std::uint64_t seed)
      : workers(timers, zone), dispatcher(timers, &workers, service, seed) {}

  ServiceWorkers workers;
  PoolDispatcher dispatcher;
  BulkGate bulk_gate;
  ResponseTimeout response_timeout;  // non-streamed requests
  int bulk_waiting = 0;  // batch items that wait for room in this node's share of the slots
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_SERVICE_POOL_H_
