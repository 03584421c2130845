// The joiners of a partition that its primary may have reported as filled, on the primary's disk: a
// report stands for the partition's epoch, so it binds also a process that starts again within it.
#ifndef PEARREACH_SRC_TIER_BATCH_FILLED_JOINERS_H_
#define PEARREACH_SRC_TIER_BATCH_FILLED_JOINERS_H_

#include <cstdint>
#include <vector>

#include "tier/batch/messages.h"
#include "tier/storage/table_store.h"

namespace pearreach::batch {

struct FilledJoinersRecord {
  std::uint64_t epoch = 0;  // of the partition
  std::vector<StoreId> joiners;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& epoch& joiners;
  }

  // Whether this joiner may have been reported under this epoch.
  bool Names(const StoreId& joiner, std::uint64_t at_epoch) const;
};

// The record of the partition; an empty one if there is none or it cannot be read.
FilledJoinersRecord ReadFilledJoiners(const storage::TableStore& disk, std::uint32_t partition);
storage::Write WriteFilledJoiners(std::uint32_t partition, const FilledJoinersRecord& record);

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_FILLED_JOINERS_H_
