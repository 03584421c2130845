// Reports stores that did not respond to this process to the placement controller, which checks
// them itself before it acts on that. Membership alone takes several times as long to find a loss.
#ifndef PEARREACH_SRC_TIER_BATCH_UNRESPONSIVE_STORE_REPORTER_H_
#define PEARREACH_SRC_TIER_BATCH_UNRESPONSIVE_STORE_REPORTER_H_

#include <map>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/control/control_client.h"
#include "tier/rpc/transport.h"

namespace pearreach::batch {

// Sends the status to every live quorum member; the one that is the placement controller uses it.
void SendToPlacementController(rpc::Transport* transport, const control::ControlClient& control,
                               const StoreStatus& status, Micros timeout);

// Used on the event loop's thread only.
class UnresponsiveStoreReporter {
 public:
  // Both pointers outlive this.
  UnresponsiveStoreReporter(rpc::Transport* transport, const control::ControlClient* control)
      : transport_(transport), control_(control) {}

  // `now` is of the steady clock. Each store is reported no more often than a check of it takes.
  void Report(const StoreId& store, Micros now);

 private:
  rpc::Transport* const transport_;
  const control::ControlClient* const control_;
  std::map<StoreId, Micros> reported_;  // when, by store
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_UNRESPONSIVE_STORE_REPORTER_H_
