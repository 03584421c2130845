// Builds the RequestSpec of a live request from a client's request and its route.
#ifndef PEARREACH_SRC_TIER_GATEWAY_REQUEST_BUILDER_H_
#define PEARREACH_SRC_TIER_GATEWAY_REQUEST_BUILDER_H_

#include "common/event_loop/io.h"
#include "common/http/http.h"
#include "tier/gateway/authentication.h"
#include "tier/proxy/request.h"
#include "tier/routing/route_table.h"

namespace pearreach::gateway {

// When the request's time is over, on the clock of Now(): the client's deadline or the end of the
// route's limit, the earlier of the two. `arrived`: when the request had been read.
Micros RequestDeadline(const routing::Route& route, const http::Message& request, Micros arrived);

// Moves target, headers and body out of `request`, which must have an X-Attempt-Id. `sender`:
// result of Authenticate; its tenant's rank overrides the route's.
proxy::RequestSpec BuildRequestSpec(const routing::Route& route, const Sender& sender,
                                    http::Message* request, Micros arrived);

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_TIER_GATEWAY_REQUEST_BUILDER_H_
