// A request in progress: obtains a worker, sends the request and relays the response. The decisions
// are made by separate classes: RequestAdmission decides when it may ask for a worker and how long
// it waits, RetryState whether it may be sent again, and attempt_timeout.h how long a worker may
// take. The request ends with kNotRun only if no attempt can have run. Loop thread only.
#ifndef PEARREACH_SRC_TIER_PROXY_ACTIVE_REQUEST_H_
#define PEARREACH_SRC_TIER_PROXY_ACTIVE_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tier/proxy/attempt.h"
#include "tier/proxy/event_splitter.h"
#include "tier/proxy/request.h"
#include "tier/proxy/request_admission.h"
#include "tier/proxy/retry_state.h"
#include "tier/proxy/service_pool.h"
#include "tier/settings/policy_options.h"

namespace pearreach::proxy {

// The services of the runner that a request uses.
class ActiveRequestHost {
 public:
  virtual ~ActiveRequestHost() = default;
  // Whether the newest worker table lists this worker as ready.
  virtual bool IsReady(const std::string& worker_id) const = 0;
  // Applies the newest worker table at once. Called when a worker was chosen from an older one.
  virtual void RefreshWorkers() = 0;
  // Maximum number of connections from this node to each worker of the service.
  virtual std::size_t ConnectionLimit(const std::string& service) const = 0;
  // Token capacity of one worker of the service. 0: unknown.
  virtual double WorkerTokens(const std::string& service) const = 0;
  // Number of further batch items of this service, in addition to the queued ones, that can run
  // without delaying live requests.
  virtual int BulkCapacity(const std::string& service) const = 0;
  virtual const settings::PolicyOptions& policy() const = 0;
  // Time until which requests wait for workers to register after a restart of all nodes. 0: no such
  // wait.
  virtual Micros WarmUpDeadline(Micros now) const = 0;
  // Removes a request that has ended from the runner.
  virtual void Forget(std::uint64_t request) = 0;
};

class ActiveRequest : public std::enable_shared_from_this<ActiveRequest>,
                      private PlacementClient,
                      private AttemptListener {
 public:
  ActiveRequest(std::uint64_t id, RequestSpec spec, std::shared_ptr<RequestSink> sink,
                Timers* timers, ServicePool* pool, ActiveRequestHost* host);
  ~ActiveRequest() override;

  void Start();
  // Closes the connection to the worker at once; the sink is not called any more.
  void Cancel();
  // Ends the request now, with what is known of it (RequestRunner::Terminate).
  void Terminate();
  // Continues reading the worker's response after the sink has drained its backlog.
  void Resume();

 private:
  void OnPlaced(PlacementId placement, dispatch::WorkerId worker) override;
  void OnRefused(PlacementId placement, Micros retry_after) override;
  void OnStreamHead(const ResponseHead& head) override;
  void OnStreamBytes(std::string_view bytes) override;
  void OnAttemptEnd(AttemptResult result) override;

  void RequestPlacement();
  void OnQueueTimeout();
  std::vector<dispatch::WorkerId> PreferredWorkers() const;
  void RecordPrefill(ServiceWorker* worker);
  void EndPrefill();
  void Send(dispatch::WorkerId worker);
  void AbandonAttempt(dispatch::Outcome outcome);
  void EndPlacement(dispatch::Outcome outcome);
  void OnResponse(AttemptResult result);
  void OnStreamEnd(bool ended_by_close);
  dispatch::Outcome NotRunOutcome(const ResponseHead& head);
  Micros TimeLeft() const { return spec_.deadline - Now(); }
  void RetryAfterNotRun();
  void RetryAfterRun();
  void ForwardResponse(ResponseHead head, const std::string& body);
  void ForwardHead();
  bool ForwardEvents();
  void ForwardBytes(std::string_view bytes);
  void BreakStream();
  void PauseReading();
  void ReportProgress();
  void ArmTimeout(Micros after);
  Micros ResponseTimeLimit() const;  // microseconds from the send or the stream's last event
  void OnTimeout();
  void OnDeadline();
  bool AwaitsResponse() const;
  void EndAttemptAndRequest(dispatch::Outcome outcome);
  void EndWithoutResponse();
  void End(RequestResult result);

  const std::uint64_t id_;
  RequestSpec spec_;  // the body is moved to body_
  const std::shared_ptr<const std::string> body_;
  std::shared_ptr<RequestSink> sink_;
  Timers* timers_;
  ServicePool* pool_;
  ActiveRequestHost* host_;

  const bool has_deadline_;
  RequestAdmission admission_;
  RetryState retries_;
  Timers::Id deadline_timer_ = 0, queue_timer_ = 0, timeout_timer_ = 0;
  PlacementId placement_ = 0;  // 0: no open placement
  bool placed_ = false;        // the placement has been assigned a worker
  dispatch::WorkerId worker_ = 0;
  std::shared_ptr<Attempt> attempt_;
  std::optional<WorkerLoad> load_;  // from the attempt's response
  bool in_prefill_ = false;         // no event of this attempt has arrived yet
  double prefill_tokens_ = 0;       // prompt tokens that the worker still has to process
  Micros sent_at_ = 0;
  Micros last_event_at_ = 0;         // time of the attempt's last event; 0: none yet
  Micros progress_reported_at_ = 0;  // when progress was last reported to the dispatcher
  Micros retry_after_ = 0;
  int worker_status_ = 0;

  EventSplitter events_;
  std::uint64_t last_event_id_ = 0;
  std::optional<ResponseHead> head_;  // head of the stream, until it is forwarded
  bool paused_ = false;               // reading is paused because the sink's backlog is too large
  bool ended_ = false;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_ACTIVE_REQUEST_H_
