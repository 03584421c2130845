// From a client's request and its route to the job that runs it.
#ifndef PEARREACH_SRC_GATEWAY_JOB_BUILDER_H_
#define PEARREACH_SRC_GATEWAY_JOB_BUILDER_H_

#include "base/io.h"
#include "http/http.h"
#include "proxy/job.h"
#include "routing/route_table.h"

namespace pearreach::gateway {

// Moves target, headers and body out of `request`, which names an X-Attempt-Id.
proxy::JobSpec BuildJob(const routing::Route& route, http::Message* request, Micros arrived);

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_GATEWAY_JOB_BUILDER_H_
