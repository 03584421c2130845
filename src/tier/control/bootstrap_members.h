// Chooses the quorum members of the first view when the system starts for the first time. All nodes
// must make the same choice, or choices of which no two can both find a majority. A pure function.
#ifndef PEARREACH_SRC_TIER_CONTROL_BOOTSTRAP_MEMBERS_H_
#define PEARREACH_SRC_TIER_CONTROL_BOOTSTRAP_MEMBERS_H_

#include <optional>
#include <string>
#include <vector>

#include "tier/control/member_directory.h"
#include "tier/coordination/chain.h"

namespace pearreach::control {

// How long nodes wait for seeds that are not known yet, in microseconds.
inline constexpr std::int64_t kSeedWaitTimeout = 2'000'000;

// `seeds`: the configured addresses of the seed machines; only their IPs count. `seed_wait_over`:
// kSeedWaitTimeout has passed. Empty: not decided yet.
std::optional<std::vector<coordination::ReplicaId>> ChooseBootstrapMembers(
    const MemberMap& members, const std::vector<std::string>& seeds, bool seed_wait_over);

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_BOOTSTRAP_MEMBERS_H_
