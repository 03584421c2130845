#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {

std::string ValidateSettings(const Settings& s) {
  if (s.classes.empty()) return "no request classes: expected at least 1";
  if (s.kinds < 1)
    return "number of worker kinds is " + std::to_string(s.kinds) + ": expected at least 1";
  if (s.balancers < 1)
    return "number of balancers is " + std::to_string(s.balancers) + ": expected at least 1";
  if (s.min_handle_interval <= 0)
    return "interval between calls of Handle is " + std::to_string(s.min_handle_interval) +
           " us: expected more than 0";
  if (s.max_attempts < 1)
    return "attempts per request are " + std::to_string(s.max_attempts) + ": expected at least 1";
  return "";
}

}  // namespace pearreach::dispatch
