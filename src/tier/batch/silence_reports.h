// Tells the placement duty of stores that did not answer this process: it asks them itself before
// it acts on that. Membership alone takes several times as long to find a loss.
#ifndef PEARREACH_SRC_TIER_BATCH_SILENCE_REPORTS_H_
#define PEARREACH_SRC_TIER_BATCH_SILENCE_REPORTS_H_

#include <map>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/control/control_client.h"
#include "tier/rpc/mesh.h"

namespace pearreach::batch {

// Sends the status to every quorum member; the one that holds the duty takes it.
void SendToPlacementDuty(rpc::Mesh* mesh, const control::ControlClient& control,
                         const StoreStatus& status, Micros timeout);

class SilenceReports {
 public:
  SilenceReports(rpc::Mesh* mesh, const control::ControlClient* control)
      : mesh_(mesh), control_(control) {}

  // Each store is reported no more often than it takes to ask it.
  void Report(const StoreId& silent, Micros now);

 private:
  rpc::Mesh* const mesh_;
  const control::ControlClient* const control_;
  std::map<StoreId, Micros> reported_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_SILENCE_REPORTS_H_
