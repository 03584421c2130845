// The singleton role of placing partitions on stores. One node at a time has it, under an epoch
// (control::SingletonRoleDriver). It watches the stores' membership and status messages and
// proposes the next placement table, which the control state rejects once another node has the
// role.
#ifndef PEARREACH_SRC_TIER_BATCH_PLACEMENT_CONTROLLER_H_
#define PEARREACH_SRC_TIER_BATCH_PLACEMENT_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/batch/placement.h"
#include "tier/batch/store_liveness.h"
#include "tier/control/control_client.h"
#include "tier/control/singleton_role_driver.h"
#include "tier/rpc/transport.h"

namespace pearreach::batch {

// Owned by the process of a quorum member (tier/server). Not thread-safe: all calls and callbacks
// run on the event loop.
class PlacementController {
 public:
  // `self`: a name of this process that no other one has. Handles kStoreStatus; a node that does
  // not have the role responds FAILED_PRECONDITION. `suspect_timeout`: see StoreLiveness.
  // `pings_unresponsive`: stores that others report as unresponsive are pinged, and count as gone
  // where they don't respond.
  PlacementController(Timers* timers, rpc::Transport* transport, control::ControlClient* control,
                      std::string self, PlacementSpread spread, Micros suspect_timeout,
                      bool pings_unresponsive = true);
  ~PlacementController();
  PlacementController(const PlacementController&) = delete;
  PlacementController& operator=(const PlacementController&) = delete;

  // Compares the stores with the placement table now and proposes the next table if there is one.
  // To be called when membership has changed; also runs periodically.
  void Reconcile();

 private:
  void OnStatus(std::string_view body, const rpc::Respond& respond);
  void ScheduleReconcile(Micros delay);
  void OnRoleAcquired(Micros now);
  void OnRoleLost();
  bool LoadTable();
  PlacementInput MakeInput(Micros now);
  void PingUnresponsive(const StoreId& store);
  void DropStaleReports();
  void Propose(const PlacementTable& table, std::uint64_t revision);

  Timers* timers_;
  rpc::Transport* transport_;
  control::ControlClient* control_;
  control::SingletonRoleDriver role_;
  const PlacementSpread spread_;
  Timers::Id timer_ = 0;
  bool has_role_ = false, proposing_ = false;
  Micros role_since_ = 0;
  const bool pings_unresponsive_;
  StoreLiveness liveness_;
  std::set<StoreId> pinging_;  // stores that were reported as unresponsive
  std::set<FilledReport> filled_;
  std::unique_ptr<PlacementTable> table_;  // of `revision_`
  std::uint64_t revision_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_PLACEMENT_CONTROLLER_H_
