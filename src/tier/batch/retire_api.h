// The operator's calls that retire a storage machine, so that it holds no replica any more:
// POST /Retire.Begin/NODE and GET /Retire.Read/NODE.
#ifndef PEARREACH_SRC_TIER_BATCH_RETIRE_API_H_
#define PEARREACH_SRC_TIER_BATCH_RETIRE_API_H_

#include <cstdint>
#include <memory>
#include <string>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/control/api_router.h"
#include "tier/control/control_client.h"
#include "tier/control/time_source.h"
#include "tier/http_server/exchange.h"

namespace pearreach::batch {

// Owned by the node; used on the event loop's thread only. Responses that are still due when it is
// destroyed are not sent.
class RetireApi {
 public:
  // All pointers outlive this. `replicas`: of each partition, the machines that may be lost at once
  // plus 1.
  RetireApi(Timers* timers, control::ControlClient* control, std::size_t replicas);
  RetireApi(const RetireApi&) = delete;
  RetireApi& operator=(const RetireApi&) = delete;

  void AddTo(control::ApiRouter* router);
  // Lists the machine as retiring in the placement table. Responds 200 once that is committed or if
  // it was listed before, 404 for a machine that is not known, 409 if fewer machines than
  // `replicas` would be left, 503 with Retry-After if the control state does not take the change in
  // time.
  void StartRetirement(std::shared_ptr<http_server::Exchange> exchange, const std::string& node);
  // Responds 200 with the phase `serving` or `complete`, 404 for a machine that is not known, 503
  // if no placement table is known.
  void ReadRetirement(const std::shared_ptr<http_server::Exchange>& exchange,
                      const std::string& node) const;

 private:
  struct RetireRequest;

  void ReadPlacement(const std::shared_ptr<RetireRequest>& request);
  void StoreRetirement(const std::shared_ptr<RetireRequest>& request,
                       const control::ControlSnapshot& snapshot);
  void RetryLater(const std::shared_ptr<RetireRequest>& request);
  void OnChanged(const std::shared_ptr<RetireRequest>& request, control::ChangeOutcome outcome);
  bool IsKnown(const PlacementTable& table, const std::string& node) const;
  std::size_t CountOtherStores(const PlacementTable& table, const std::string& node) const;

  Timers* timers_;
  control::ControlClient* control_;
  const std::size_t replicas_;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_RETIRE_API_H_
