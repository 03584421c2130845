// When a process that was told to stop takes which step. Without clock and I/O.
#ifndef PEARREACH_SRC_TIER_SERVER_SHUTDOWN_SCHEDULE_H_
#define PEARREACH_SRC_TIER_SERVER_SHUTDOWN_SCHEDULE_H_

#include "common/event_loop/io.h"

namespace pearreach::server {

// Times in microseconds since the signal, in this order. All are the latest ones but the first: a
// process that has nothing left to do leaves and ends sooner.
struct ShutdownSchedule {
  // Until then requests are served as ever. From then on no connection is accepted, and a request
  // is taken only if its deadline comes before `answer`.
  Micros refuse = 0;
  Micros leave = 0;        // the other nodes are told of the departure
  Micros answer = 0;       // each request that is still open gets its last answer
  Micros exit = 0;         // the process ends, whatever is still to be sent
  Micros leave_delay = 0;  // between `leave` and `exit`: time for the announcement to spread
};

// `grace`: microseconds from SIGTERM to SIGKILL. An answer may be cut short only while its worker
// is at work in the last sixth of it, so `answer` falls into that part. `serves_clients`: others
// wait for no platform to notice that they are no longer ready.
ShutdownSchedule MakeShutdownSchedule(Micros grace, bool serves_clients);

}  // namespace pearreach::server

#endif  // PEARREACH_SRC_TIER_SERVER_SHUTDOWN_SCHEDULE_H_
