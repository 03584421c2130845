// The request that runs an item of a batch job.
#ifndef PEARREACH_SRC_TIER_BATCH_ITEM_REQUEST_H_
#define PEARREACH_SRC_TIER_BATCH_ITEM_REQUEST_H_

#include <string>

#include "common/event_loop/io.h"
#include "tier/batch/messages.h"
#include "tier/proxy/request.h"
#include "tier/routing/route_table.h"

namespace pearreach::batch {

// A bulk request to a worker of `service` that ends within `time` (microseconds) from now. It ends
// at the first response of 500, as the store counts these. `has_tenants`: see WorkerHeaders.
proxy::RequestSpec MakeItemRequest(LeasedItem leased, const routing::Route& route,
                                   std::string service, Micros time, bool has_tenants);

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_ITEM_REQUEST_H_
