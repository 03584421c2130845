#include "tier/http_server/overload_log.h"

#include "tier/logging/log.h"

namespace pearreach::http_server {
namespace {

constexpr Micros kLogPeriod = 1 * kSecond;

}  // namespace

void OverloadLog::Report(std::size_t memory_used, std::size_t connections) {
  const Micros now = Now();
  if (logged_at_ != 0 && now - logged_at_ < kLogPeriod) return;
  logged_at_ = now;
  logging::Warning(
      "front", "clients hold too much",
      {logging::F("closed_for_memory", counts.closed_for_memory),
       logging::F("refused_for_memory", counts.refused_for_memory),
       logging::F("closed_slow_readers", counts.closed_slow_readers),
       logging::F("closed_for_connections", counts.closed_for_connections),
       logging::F("memory_used", memory_used), logging::F("connections", connections)});
}

}  // namespace pearreach::http_server
