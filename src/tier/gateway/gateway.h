// Entry point for client requests: passes each one to the batch job handler, the bulk handler or
// the request runner, or rejects it because of a missing route, key, quota or configuration. Loop
// thread only.
#ifndef PEARREACH_SRC_TIER_GATEWAY_GATEWAY_H_
#define PEARREACH_SRC_TIER_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "common/event_loop/timers.h"
#include "tier/control/control_client.h"
#include "tier/gateway/authentication.h"
#include "tier/gateway/live_request.h"
#include "tier/gateway/outcomes.h"
#include "tier/gateway/start_queue.h"
#include "tier/gateway/withdrawn_keys.h"
#include "tier/http_server/exchange.h"
#include "tier/proxy/request.h"
#include "tier/quota/request_limiter.h"
#include "tier/routing/route_table.h"

namespace pearreach::gateway {

// Whether the request is a batch job call: GET /lots/ID, DELETE /lots/ID or GET /items/ID.
bool IsBatchJobCall(std::string_view method, std::string_view target);

class Gateway {
 public:
  // The route and the sender's tenant are valid during the call only.
  using BulkHandler = std::function<void(std::shared_ptr<http_server::Exchange>,
                                         const routing::Route&, const Sender&)>;
  using BatchJobHandler =
      std::function<void(std::shared_ptr<http_server::Exchange>, const Sender&)>;

  // The pointers must outlive the gateway and its requests. `hold_until_configured`: requests that
  // arrive before the first configuration are queued until it is there; otherwise they get a 503.
  Gateway(control::ControlClient* control, proxy::RequestRunner* runner, Timers* timers,
          bool hold_until_configured = true);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  void Handle(std::shared_ptr<http_server::Exchange> exchange);
  void SetBulkHandler(BulkHandler handler) { bulk_handler_ = std::move(handler); }
  void SetBatchJobHandler(BatchJobHandler handler) { batch_job_handler_ = std::move(handler); }
  // Sets the rate limiter of tenants; null: no limits. `limiter` must outlive the gateway and its
  // requests.
  void SetLimiter(quota::RequestLimiter* limiter) { limiter_ = limiter; }
  // From now on, a new request that needs a worker or the stores gets a 503 unless its deadline
  // comes before `answer_by`, when this process gives the last answers. Requests in progress
  // continue.
  void BeginDrain(Micros answer_by);

  const Outcomes& outcomes() const { return *context_.outcomes; }

 private:
  void OnControlChange();
  void ReleaseStartQueue();
  // Handles a request when a configuration is available.
  void Dispatch(std::shared_ptr<http_server::Exchange> exchange);
  void HoldUntilConfigured(const std::shared_ptr<http_server::Exchange>& exchange);
  // A request and its route. Keeps the routes and the sender's tenant valid while the request waits
  // for quota.
  struct Routed {
    std::shared_ptr<http_server::Exchange> exchange;
    std::shared_ptr<const routing::RouteTable> routes;
    const routing::Route* route = nullptr;
    Sender sender;
  };
  void HandleRouted(Routed routed);
  void AcquireQuota(Routed routed);
  void OnQuotaDecision(const Routed& routed, const quota::Decision& decision);
  void StartRequest(const Routed& routed);
  // Whether this process can still see the request to its end.
  bool HasTimeFor(const Routed& routed) const;
  void RefuseDraining(http_server::Exchange* exchange);
  void Refuse(http_server::Exchange* exchange, int status);
  // Rejects a request whose sender may not be served now: with 503 if the configuration may be
  // outdated, otherwise with 401. False: the sender may be served.
  bool RefuseSender(const Sender& sender, http_server::Exchange* exchange);
  void RefuseUnauthorized(http_server::Exchange* exchange);

  control::ControlClient* control_;
  LiveContext context_;
  BulkHandler bulk_handler_;
  BatchJobHandler batch_job_handler_;
  quota::RequestLimiter* limiter_ = nullptr;
  WithdrawnKeys withdrawn_keys_;
  const bool hold_until_configured_;
  StartQueue start_queue_;
  std::optional<Micros> answer_by_;  // of a drain
  // Lets the control listener detect destruction.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_TIER_GATEWAY_GATEWAY_H_
