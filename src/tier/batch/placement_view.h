// The placement table as the newest snapshot of the control state has it.
#ifndef PEARREACH_SRC_TIER_BATCH_PLACEMENT_VIEW_H_
#define PEARREACH_SRC_TIER_BATCH_PLACEMENT_VIEW_H_

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "tier/batch/messages.h"
#include "tier/control/control_client.h"

namespace pearreach::batch {

// Decodes the table once per revision. Owned by a StoreClient; used on the event loop's thread
// only.
class PlacementView {
 public:
  // `control` outlives this.
  explicit PlacementView(const control::ControlClient* control) : control_(control) {}

  // The newest table that could be decoded, with exactly kPartitions partitions; null: none is
  // known yet.
  std::shared_ptr<const PlacementTable> Table();
  // Whether the control state holds a newer table than Table has returned last.
  bool IsOutdated() const { return control_->Current()->stores_revision != revision_; }
  // The primary of the batch job's partition; null: none is known. Valid until the next call of a
  // method of this class.
  const StoreId* PrimaryOf(std::string_view batch_job_id);
  // As PrimaryOf, by the table that Table has returned last.
  const StoreId* LastPrimaryOf(std::string_view batch_job_id) const;
  // Each store that is the primary of a partition, once, in ascending order.
  std::vector<StoreId> Primaries();

 private:
  const control::ControlClient* const control_;
  std::shared_ptr<const PlacementTable> table_;
  std::uint64_t revision_ = 0;  // of `table_`
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_PLACEMENT_VIEW_H_
