// The identity of a configuration in the change history (coordination/change_history.h): its
// version and a digest of its content. A pure function.
#ifndef PEARREACH_SRC_TIER_CONTROL_CONFIG_CHANGE_ID_H_
#define PEARREACH_SRC_TIER_CONTROL_CONFIG_CHANGE_ID_H_

#include <cstdint>
#include <string_view>

#include "tier/coordination/chain.h"

namespace pearreach::control {

// Texts of equal JSON (white space, order of members, escapes, 1 and 1.0)
// have the same digest: 128 bits of XXH3 over a canonical form. It distinguishes configurations; it
// does not protect against deliberate collisions. REQUIRES: `json` is valid JSON.
coordination::ChangeId ConfigChangeId(std::int64_t version, std::string_view json);

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_CONFIG_CHANGE_ID_H_
