// How much of what is kept on several machines may go at once.
#ifndef PEARREACH_SRC_SETTINGS_LOST_COPIES_H_
#define PEARREACH_SRC_SETTINGS_LOST_COPIES_H_

#include <algorithm>

#include "settings/node_settings.h"

namespace pearreach::settings {

// Copies that may be lost at once: one a machine, zone or region that may go, since copies stand in
// different zones as far as there are any.
inline int LostCopies(const Tolerance& tolerance) {
  return std::max({0, tolerance.machines, tolerance.zones, tolerance.regions});
}

}  // namespace pearreach::settings

#endif  // PEARREACH_SRC_SETTINGS_LOST_COPIES_H_
