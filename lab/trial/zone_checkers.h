// The checkers of zones that are left and come back, beside those of checkers.h: pure functions
// over a history, from the lines in which nodes say how they use each zone. They own no state and
// must never pass what the history does not show.
#ifndef PEARREACH_LAB_TRIAL_ZONE_CHECKERS_H_
#define PEARREACH_LAB_TRIAL_ZONE_CHECKERS_H_

#include <string>
#include <vector>

#include "lab/trial/checkers.h"

namespace pearreach::lab {

// Stated (docs/design-zones.md): two nodes that hear each other use a zone alike at the latest so
// long after one of them changed; a zone that is silent as a whole is left by all so long after it
// fell silent; all zones are whole so long after the last fault.
constexpr Micros kZonesAgree = 4'000'000;
constexpr Micros kZoneLeft = 6'000'000;
Micros ZonesWholeWithin();

std::vector<Violation> ZonesNeverAll(const History& history);
std::vector<Violation> ZonesFounded(const History& history);
std::vector<Violation> ZonesInTime(const History& history);
std::vector<Violation> ZonesAgreed(const History& history);
std::vector<Violation> ZonesWhole(const History& history);

// When each node first held that the zone is left, after `from`; nothing of those that did not.
std::vector<Micros> LeftAt(const History& history, const std::string& zone, Micros from);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TRIAL_ZONE_CHECKERS_H_
