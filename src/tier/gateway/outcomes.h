// Counters of client requests by outcome, for the log.
#ifndef PEARREACH_SRC_TIER_GATEWAY_OUTCOMES_H_
#define PEARREACH_SRC_TIER_GATEWAY_OUTCOMES_H_

#include <cstdint>

namespace pearreach::gateway {

struct Outcomes {
  std::uint64_t requests = 0;              // all requests received
  std::uint64_t batch_jobs = 0, bulk = 0;  // passed to the batch handlers
  std::uint64_t no_configuration = 0;      // 503
  std::uint64_t draining = 0;              // 503
  std::uint64_t no_route = 0;              // 404
  std::uint64_t no_attempt_id = 0;         // 400
  std::uint64_t unauthorized = 0;          // 401, the sum of the next three
  std::uint64_t no_key = 0;                // no key, or more than one Authorization header
  std::uint64_t unknown_key = 0;           // key not in any configuration since the process start
  // key was valid in an earlier configuration since the process start
  std::uint64_t withdrawn_key = 0;
  std::uint64_t not_confirmed = 0;  // 503: the configuration may be outdated
  std::uint64_t over_limit = 0;     // 429: beyond the tenant's rate
  std::uint64_t no_quota = 0;       // 503: the tenant's rate could not be checked
  std::uint64_t complete = 0;       // complete worker response forwarded
  std::uint64_t not_run = 0;        // 503, guaranteed not to have run
  std::uint64_t failed = 0;         // 502
  std::uint64_t timeout = 0;        // 504
  std::uint64_t broken = 0;         // response aborted after its head
  std::uint64_t client_gone = 0;
};

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_TIER_GATEWAY_OUTCOMES_H_
