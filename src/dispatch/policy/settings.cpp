#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {

std::string ValidateSettings(const Settings& s) {
  if (s.classes.empty()) return "no request class";
  if (s.kinds < 1) return "no worker kind";
  if (s.balancers < 1) return "no balancer";
  if (s.min_handle_interval <= 0) return "no round length";
  if (s.max_attempts < 1) return "no attempt allowed";
  return "";
}

}  // namespace pearreach::dispatch
