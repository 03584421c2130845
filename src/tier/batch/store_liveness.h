// Which stores are live, suspect, unresponsive or gone, from membership over time.
#ifndef PEARREACH_SRC_TIER_BATCH_STORE_LIVENESS_H_
#define PEARREACH_SRC_TIER_BATCH_STORE_LIVENESS_H_

#include <map>
#include <string>

#include "common/event_loop/timers.h"
#include "tier/batch/placement.h"
#include "tier/coordination/membership.h"

namespace pearreach::batch {

// The stores as membership shows them at this moment.
std::map<std::string, StoreView> StoresOf(
    const std::map<std::string, coordination::Member>& members);

// Owned by PlacementController. No clock, no I/O: the caller passes the time. Not thread-safe.
class StoreLiveness {
 public:
  // `suspect_timeout`: a store that has been suspect for so long without refuting it counts as
  // gone. Every node asks its suspects again within a probe period, so a live one has been heard by
  // then. A store that is taken for gone by mistake joins again with what is on its disk.
  explicit StoreLiveness(Micros suspect_timeout) : suspect_timeout_(suspect_timeout) {}

  void Reset(Micros now);
  // Updates from membership. Returns the stores; unresponsive and timed-out suspects are gone.
  std::map<std::string, StoreView> Update(
      Micros now, const std::map<std::string, coordination::Member>& members);
  // Adds a store that only the placement table names: it was never heard of and is gone.
  void AddUnknown(Micros now, const StoreId& store, std::map<std::string, StoreView>* stores);

  // A store did not respond to the placement controller, or has responded again. An unresponsive
  // store counts as gone until it responds or has another disk.
  void MarkUnresponsive(Micros now, const StoreId& store);
  void MarkResponsive(Micros now, const StoreId& store);
  const std::map<StoreId, Micros>& unresponsive() const { return unresponsive_; }  // since when

  // Since when no store has appeared, gone or changed.
  Micros changed() const { return changed_; }
  // Some store has been gone for less than `span`: it may come back.
  bool MayReturn(Micros now, Micros span) const;
  // When a suspect's time is over; 0: there is none.
  Micros NextSuspectTimeout() const;

 private:
  struct Observation {
    StoreId id;
    StoreCondition condition = StoreCondition::kUncertain;
    Micros since = 0;
  };
  void Observe(Micros now, const StoreView& store);

  const Micros suspect_timeout_;
  std::map<std::string, Observation> observations_;
  std::map<StoreId, Micros> unresponsive_;
  Micros changed_ = 0;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_STORE_LIVENESS_H_
