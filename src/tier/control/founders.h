// Which quorum members make up the first view when the whole system starts for the first time. All
// nodes must come to the same choice, or to choices of which no two can both find a majority.
#ifndef PEARREACH_SRC_TIER_CONTROL_FOUNDERS_H_
#define PEARREACH_SRC_TIER_CONTROL_FOUNDERS_H_

#include <optional>
#include <string>
#include <vector>

#include "tier/control/member_directory.h"
#include "tier/coordination/chain.h"

namespace pearreach::control {

// Default: how long seeds that do not show up are waited for.
inline constexpr std::int64_t kFounderWait = 2'000'000;

// `seeds`: addresses of the machines that every node was told of; only their IPs count. `waited`:
// kFounderWait is over. Empty: not decided yet.
std::optional<std::vector<coordination::ReplicaId>> ChooseFounders(
    const MemberMap& members, const std::vector<std::string>& seeds, bool waited);

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_FOUNDERS_H_
