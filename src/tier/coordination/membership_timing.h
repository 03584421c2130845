// The times and counts of the membership protocol that MembershipOptions does not set. They are in
// proportion to the defaults of the options; times are in microseconds.
#ifndef PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_TIMING_H_
#define PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_TIMING_H_

#include <cstddef>
#include <limits>
#include <random>

#include "tier/coordination/member.h"

namespace pearreach::coordination {

constexpr Micros kNever = std::numeric_limits<Micros>::max();

// Dissemination. An update waits a little for others that can share its packets.
constexpr Micros kUpdateDelay = 20'000;
constexpr Micros kMinUpdateInterval = 100'000;  // between two rounds of update packets
constexpr std::size_t kUpdateReceivers = 2;     // in each round
constexpr int kRetransmitMultiplier = 3;        // each update is sent this times log2(n + 1)
constexpr std::size_t kShutdownReceivers = 32;  // members notified directly of a planned shutdown

// Discovery.
constexpr Micros kInitialSeedBackoff = 100'000;
constexpr Micros kMaxSeedBackoff = 2'000'000;
constexpr Micros kDeadProbeInterval = 2'000'000;

// Anti-entropy. Dissemination gets the time to make the digests equal first.
constexpr Micros kMinMismatchAge = 1'000'000;
constexpr Micros kMinSyncInterval = 2'000'000;     // between two exchanges that this node starts,
constexpr Micros kSyncIntervalPerMember = 20'000;  // or this times the members, if that is longer
constexpr Micros kListCostPerRecord = 500;         // 2000 records per second are sent in lists
constexpr Micros kMaxListBacklog = 1'000'000;      // lists may exceed that by one second

// Failure detection.
constexpr std::size_t kSuspectsPerProbe = 2;  // suspects probed in each probe period
constexpr std::size_t kUnansweredProbes = 2;  // additional probes in each while nobody answers
constexpr std::size_t kMaxRelays = 256;       // unanswered pings on behalf of other nodes

// A random time from 0 to `span`.
inline Micros RandomSpan(Micros span, std::mt19937_64* random) {
  return std::uniform_int_distribution<Micros>(0, span)(*random);
}

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_TIMING_H_
