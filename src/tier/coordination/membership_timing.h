// The times and counts of membership that its options do not give. They are defaults of the
// protocol, in proportion to the options' defaults.
#ifndef PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_TIMING_H_
#define PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_TIMING_H_

#include <limits>

#include "tier/coordination/membership.h"

namespace pearreach::coordination {

constexpr Micros kNever = std::numeric_limits<Micros>::max();

constexpr Micros kUpdateDelay = 20'000;         // news wait so long for more news
constexpr Micros kMinUpdateInterval = 100'000;  // between two pushes
constexpr std::size_t kUpdateReceivers = 2;     // of one push

constexpr Micros kInitialSeedBackoff = 100'000;
constexpr Micros kMaxSeedBackoff = 2'000'000;

constexpr Micros kDeadProbeInterval = 2'000'000;

constexpr Micros kMinMismatchAge = 1'000'000;      // of digests, before lists are exchanged
constexpr Micros kMinSyncInterval = 2'000'000;     // between two exchanges that this node begins
constexpr Micros kSyncIntervalPerMember = 20'000;  // the same, where this is longer

constexpr Micros kListCostPerRecord = 500;     // of one record of a list that is handed out
constexpr Micros kMaxListBacklog = 1'000'000;  // handed out at once at most

constexpr int kRetransmitMultiplier = 3;        // a change is sent so many times log2(n + 1)
constexpr std::size_t kSuspectsPerProbe = 2;    // suspects asked with each probe
constexpr std::size_t kUnansweredProbes = 2;    // members asked while nobody answers
constexpr std::size_t kShutdownReceivers = 32;  // members told directly of a planned end
constexpr std::size_t kMaxRelays = 256;         // pings made for others that wait at once

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_TIMING_H_
