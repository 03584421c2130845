// Whether a store may end without being the last to hold something: what it asks itself before a
// planned end.
#ifndef PEARREACH_SRC_TIER_BATCH_SHUTDOWN_CHECK_H_
#define PEARREACH_SRC_TIER_BATCH_SHUTDOWN_CHECK_H_

#include <functional>

#include "tier/batch/messages.h"

namespace pearreach::batch {

// Of each partition that `self` holds, another live store holds all that was acknowledged.
// `is_live`: the store runs, on that disk, and has not said that it leaves.
bool PeersHoldAllData(const PlacementTable& table, const StoreId& self,
                      const std::function<bool(const StoreId&)>& is_live);

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_SHUTDOWN_CHECK_H_
