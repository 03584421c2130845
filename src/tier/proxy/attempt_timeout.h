// Response timeouts of attempts: how long a worker may take to respond before another worker is
// tried. Pure functions.
#ifndef PEARREACH_SRC_TIER_PROXY_ATTEMPT_TIMEOUT_H_
#define PEARREACH_SRC_TIER_PROXY_ATTEMPT_TIMEOUT_H_

#include "common/event_loop/timers.h"
#include "tier/proxy/request.h"
#include "tier/proxy/response_timeout.h"

namespace pearreach::proxy {

// Timeout of a non-streamed request, in microseconds from its send. `time_left`: time to the
// deadline at the send. `learned`: recent response times of the service; null: the timeout is a
// multiple of the latency target.
Micros PlainResponseTimeout(const RequestSpec& spec, Micros time_left,
                            const ResponseTimeout* learned);
// Timeout of a streamed request, in microseconds from its send or from its last event.
Micros NextEventTimeout(const RequestSpec& spec, bool has_events);

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_ATTEMPT_TIMEOUT_H_
