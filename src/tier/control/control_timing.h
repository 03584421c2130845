// The times of the control plane, derived from the operator's bounds: a machine counts as calm
// `contact_ms` after the last trouble, and an order wants its acknowledgement within `ack_ms`. So
// what is lost must be found, and the chain repaired without it, in a part of either.
#ifndef PEARREACH_SRC_TIER_CONTROL_CONTROL_TIMING_H_
#define PEARREACH_SRC_TIER_CONTROL_CONTROL_TIMING_H_

#include <algorithm>

#include "common/event_loop/timers.h"
#include "tier/settings/node_settings.h"

namespace pearreach::control {

struct ControlTiming {
  Micros probe_period = 200 * kMs;      // membership: one probe each
  Micros probe_timeout = 250 * kMs;     // until second opinions are asked for, and until suspicion
  Micros suspicion = kSecond;           // from suspicion to dead
  Micros heartbeat_period = 250 * kMs;  // between questions for a sign among quorum members
  Micros heartbeat_timeout = 500 * kMs;
  Micros role_candidate_timeout = kSecond;  // a sign asked for longer ago gives no duty,
  Micros unreachable_timeout = kSecond;     // nor, longer ago than this, a place in the view
  Micros call_timeout = kSecond;            // of a change or read in the chain
  Micros retry = 100 * kMs;                 // in the chain
};

inline ControlTiming TimingOf(const settings::Bounds& bounds) {
  constexpr Micros kMinSpan = 300 * kMs;  // scheduling and the network take their part of less
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
  return timing;
}

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_CONTROL_TIMING_H_
