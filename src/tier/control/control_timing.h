// The times of the control plane, in microseconds, derived from the operator's bounds: a machine
// counts as calm `contact_ms` after the last fault, and a change must be acknowledged within
// `ack_ms`. So a failure must be detected, and the chain repaired, in a fraction of either. Plain
// values.
#ifndef PEARREACH_SRC_TIER_CONTROL_CONTROL_TIMING_H_
#define PEARREACH_SRC_TIER_CONTROL_CONTROL_TIMING_H_

#include <algorithm>

#include "common/event_loop/timers.h"
#include "tier/settings/node_settings.h"

namespace pearreach::control {

struct ControlTiming {
  Micros probe_period = 200 * kMs;      // membership: between two health checks
  Micros probe_timeout = 250 * kMs;     // until indirect health checks, and from them to suspicion
  Micros suspicion = kSecond;           // from suspicion to dead
  Micros heartbeat_period = 250 * kMs;  // between quorum members
  Micros heartbeat_timeout = 500 * kMs;
  // A peer without contact for longer does not count towards the role candidate's majority.
  Micros role_candidate_timeout = kSecond;
  Micros unreachable_timeout = kSecond;  // without contact, until a peer counts as unreachable
  Micros call_timeout = kSecond;         // of a change or read in the chain
  Micros retry = 100 * kMs;              // in the chain
  // A process that stood still for longer drops the changes that it had received.
  Micros stall_tolerance = 500 * kMs;
};

inline ControlTiming TimingOf(const settings::Bounds& bounds) {
  constexpr Micros kMinSpan = 300 * kMs;  // below it, scheduling and network delays dominate
  const Micros contact = static_cast<Micros>(bounds.contact_ms * kMs);
  const Micros ack = static_cast<Micros>(bounds.ack_ms * kMs);
  const Micros span = std::max(std::min(contact / 3, ack / 4), kMinSpan);
  ControlTiming timing;
  timing.probe_period = span / 5;
  timing.probe_timeout = span / 4;
  timing.suspicion = span;
  timing.heartbeat_period = span / 4;
  timing.heartbeat_timeout = span / 2;
  timing.role_candidate_timeout = span;
  timing.unreachable_timeout = span;
  timing.call_timeout = std::max(ack / 4, kMinSpan);
  timing.retry = timing.call_timeout / 10;
  timing.stall_tolerance = timing.call_timeout / 2;
  return timing;
}

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_CONTROL_TIMING_H_
