#include "tier/batch/lot_age.h"

#include <algorithm>

namespace pearreach::batch {
namespace {

// Later costs nothing.
constexpr double kAbandonMarginMs = 5'000, kForgetMarginMs = 30'000, kShortMarginMs = 5'000;
constexpr double kUnlimitedMs = 24 * 3600 * 1000.0;  // of a route without `retain_s`

double AgeMs(const Lot& lot, Micros now) {
  return lot.known_since.has_value() ? static_cast<double>(now - *lot.known_since) / kMs : 0;
}

}  // namespace

bool MayAbandon(const Lot& lot, Micros now) {
  return lot.accepted && lot.Open() && lot.header.retain_s > 0 && RunLeftMs(lot, now) <= 0;
}

bool MayForget(const Lot& lot, Micros now, bool is_short) {
  const double kept_ms = std::max(lot.header.retain_s, lot.header.status_s) * 1000;
  return lot.accepted && !lot.Open() &&
         AgeMs(lot, now) > kept_ms + (is_short ? kShortMarginMs : kForgetMarginMs);
}

double RunLeftMs(const Lot& lot, Micros now) {
  if (lot.header.retain_s <= 0) return kUnlimitedMs;
  return std::max(0.0, lot.header.retain_s * 1000 + kAbandonMarginMs - AgeMs(lot, now));
}

}  // namespace pearreach::batch
