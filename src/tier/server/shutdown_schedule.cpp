#include "tier/server/shutdown_schedule.h"

#include <algorithm>

namespace pearreach::server {
namespace {

// Two missed readiness checks, one a second: then the platform sends no more connections.
constexpr Micros kReadinessNoticeTime = 2500 * kMs;
constexpr Micros kExitMargin = 700 * kMs;  // of the grace, left unused
constexpr Micros kAnswerTime = 200 * kMs;  // for the last answers to be sent
constexpr Micros kLeaveDelay = 300 * kMs;  // for the announcement of the departure to spread
// Upper bounds of the above as parts of a short grace.
constexpr Micros kMaxNoticePart = 2, kMaxMarginPart = 8, kMaxAnswerPart = 40, kMaxLeavePart = 8;

}  // namespace

ShutdownSchedule MakeShutdownSchedule(Micros grace, bool serves_clients) {
  ShutdownSchedule schedule;
  schedule.leave_delay = std::min(kLeaveDelay, grace / kMaxLeavePart);
  if (serves_clients) schedule.refuse = std::min(kReadinessNoticeTime, grace / kMaxNoticePart);
  schedule.exit = grace - std::min(kExitMargin, grace / kMaxMarginPart);
  schedule.answer = schedule.exit - std::min(kAnswerTime, grace / kMaxAnswerPart);
  schedule.leave = schedule.exit - schedule.leave_delay;
  return schedule;
}

}  // namespace pearreach::server
