// The clients' calls about batch jobs at an edge node: submit, read, body of an item, cancel.
// Nothing about a batch job is kept here; the stores respond.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_API_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_API_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "common/event_loop/timers.h"
#include "tier/batch/store_client.h"
#include "tier/control/control_client.h"
#include "tier/http_server/exchange.h"
#include "tier/routing/route_table.h"

namespace pearreach::batch {

// The operator's limits for batch jobs.
struct BatchJobLimits {
  double status_s = 120;
  double quota_excess = 0.1;
};

// Owned by the node; used on the event loop's thread only.
class BatchJobApi {
 public:
  // All pointers outlive this. `offers`: see BatchJobSubmission.
  BatchJobApi(Timers* timers, StoreClient* stores, control::ControlClient* control,
              BatchJobLimits limits, bool offers = true);

  void SetLimits(BatchJobLimits limits) { limits_ = limits; }
  // From now on, calls about batch jobs end before `answer_by`, on the clock of Now(), when this
  // process gives the last answers; reads are held no longer than that.
  void BeginDrain(Micros answer_by) { answer_by_ = answer_by; }
  // GET or DELETE of /lots/ID, GET of /items/ID.
  static bool IsBatchJobCall(const http::Message& request);
  // Responds to a call for which IsBatchJobCall is true: 404 if there is no such batch job or item,
  // 503 with Retry-After if no store responds in time.
  void Handle(const std::shared_ptr<http_server::Exchange>& exchange);
  // A POST under the prefix of a bulk route. `route` is needed for the time of the call only.
  // Responds 202 once the batch job is stored, 400 if it is malformed, 429 or 503 with Retry-After
  // if it was rejected, and 504 if it may have been accepted.
  // `tenant`: whose key the submission carries, and which workers get as X-Tenant of each item;
  // empty: the route is public and the submission carries none; nullopt: the configuration has no
  // tenants, so that headers of items are passed on as they are.
  void Submit(const std::shared_ptr<http_server::Exchange>& exchange, const routing::Route& route,
              const std::optional<std::string>& tenant);

 private:
  void Read(const std::shared_ptr<http_server::Exchange>& exchange, std::string batch_job_id,
            std::string_view query);
  void ReadBody(const std::shared_ptr<http_server::Exchange>& exchange, std::string batch_job_id,
                std::string_view query);
  void CancelBatch(const std::shared_ptr<http_server::Exchange>& exchange,
                   std::string batch_job_id);
  // Cancels the call when the client disconnects, and when the server shuts down: then with a 503.
  void CancelWithExchange(const std::shared_ptr<http_server::Exchange>& exchange,
                          StoreClient::CallId call);
  Micros TimeForCall(Micros time) const;  // `time`, or less while draining

  Timers* timers_;
  StoreClient* stores_;
  control::ControlClient* control_;
  BatchJobLimits limits_;
  const bool offers_;
  std::optional<Micros> answer_by_;  // of a drain
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_API_H_
