// The operator's calls that empty a storage machine: POST /Retire.Begin/NODE, GET
// /Retire.Read/NODE.
#ifndef PEARREACH_SRC_TIER_BATCH_RETIRE_API_H_
#define PEARREACH_SRC_TIER_BATCH_RETIRE_API_H_

#include <cstdint>
#include <memory>
#include <string>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/control/api_router.h"
#include "tier/control/control_client.h"
#include "tier/http_server/exchange.h"

namespace pearreach::batch {

class RetireApi {
 public:
  // `replicas`: machines that may be lost at once, plus 1.
  RetireApi(Timers* timers, control::ControlClient* control, std::size_t replicas);
  ~RetireApi();
  RetireApi(const RetireApi&) = delete;
  RetireApi& operator=(const RetireApi&) = delete;

  void AddTo(control::ApiRouter* router);
  void StartRetirement(std::shared_ptr<http_server::Exchange> exchange, const std::string& node);
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
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_RETIRE_API_H_
