// The clients' calls about lots at an edge node: hand in, read, body of an item, end. Nothing about
// a lot is kept here; the stores answer.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_API_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_API_H_

#include <memory>
#include <string>
#include <string_view>

#include "common/event_loop/timers.h"
#include "tier/batch/store_client.h"
#include "tier/control/control_client.h"
#include "tier/http_server/exchange.h"
#include "tier/routing/route_table.h"

namespace pearreach::batch {

// What the operator's bounds say of lots.
struct BatchJobLimits {
  double status_s = 120;
  double quota_excess = 0.1;
};

class BatchJobApi {
 public:
  // `offers`: see BatchJobSubmission.
  BatchJobApi(Timers* timers, StoreClient* stores, control::ControlClient* control,
              BatchJobLimits limits, bool offers = true);

  void SetLimits(BatchJobLimits limits) { limits_ = limits; }
  // GET or DELETE of /lots/ID, GET of /items/ID.
  static bool IsBatchJobCall(const http::Message& request);
  // Answers a call for which IsBatchJobCall is true.
  void Handle(const std::shared_ptr<http_server::Exchange>& exchange);
  // A POST under the prefix of a bulk route. `route` is needed for the time of the call only.
  void Submit(const std::shared_ptr<http_server::Exchange>& exchange, const routing::Route& route);

 private:
  void Read(const std::shared_ptr<http_server::Exchange>& exchange, std::string batch_job_id,
            std::string_view query);
  void ReadBody(const std::shared_ptr<http_server::Exchange>& exchange, std::string batch_job_id,
                std::string_view query);
  void CancelBatch(const std::shared_ptr<http_server::Exchange>& exchange,
                   std::string batch_job_id);
  // The call is dropped when the client leaves.
  void CancelOnDisconnect(const std::shared_ptr<http_server::Exchange>& exchange,
                          StoreClient::CallId call);

  Timers* timers_;
  StoreClient* stores_;
  control::ControlClient* control_;
  BatchJobLimits limits_;
  const bool offers_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_API_H_
