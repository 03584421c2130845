// Tells the placement duty of stores that did not answer this process: it asks them itself before
// it acts on that. Membership alone takes several times as long to find a loss.
#ifndef PEARREACH_SRC_TIER_BATCH_UNRESPONSIVE_STORE_REPORTER_H_
#define PEARREACH_SRC_TIER_BATCH_UNRESPONSIVE_STORE_REPORTER_H_

#include <map>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/control/control_client.h"
#include "tier/rpc/transport.h"

namespace pearreach::batch {

// Sends the status to every quorum member; the one that holds the duty takes it.
void SendToPlacementController(rpc::Transport* transport, const control::ControlClient& control,
                               const StoreStatus& status, Micros timeout);

class UnresponsiveStoreReporter {
 public:
  UnresponsiveStoreReporter(rpc::Transport* transport, const control::ControlClient* control)
      : transport_(transport), control_(control) {}

  // Each store is reported no more often than it takes to ask it.
  void Report(const StoreId& unresponsive, Micros now);

 private:
  rpc::Transport* const transport_;
  const control::ControlClient* const control_;
  std::map<StoreId, Micros> reported_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_UNRESPONSIVE_STORE_REPORTER_H_
