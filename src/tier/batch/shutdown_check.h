// Whether a store may shut down without being the last one to have some data.
#ifndef PEARREACH_SRC_TIER_BATCH_SHUTDOWN_CHECK_H_
#define PEARREACH_SRC_TIER_BATCH_SHUTDOWN_CHECK_H_

#include <functional>

#include "tier/batch/messages.h"

namespace pearreach::batch {

// Of each partition that `self` has, another live store has all that was acknowledged.
// `is_live`: the store runs, on that disk, and is not draining.
bool PeersHoldAllData(const PlacementTable& table, const StoreId& self,
                      const std::function<bool(const StoreId&)>& is_live);

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_SHUTDOWN_CHECK_H_
