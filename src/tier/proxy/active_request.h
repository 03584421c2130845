// A request under way: asks for a worker, sends, and relays the response. What is decided on the
// way stands in classes of their own: when it may ask and how long it waits (RequestAdmission),
// whether it may be sent again (RetryState), and how long a worker may take (attempt_timeout.h). It
// ends as kNotRun only if no attempt may have run.
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

// What a request needs of its runner.
class ActiveRequestHost {
 public:
  virtual ~ActiveRequestHost() = default;
  // By the registry's newest update the worker may be sent to.
  virtual bool IsReady(const std::string& worker_id) const = 0;
  // A worker was chosen by an older update than that: the newest must be applied at once.
  virtual void RefreshWorkers() = 0;
  // Connections that this node may have to each worker of the service.
  virtual std::size_t ConnectionLimit(const std::string& service) const = 0;
  // Tokens that one worker of the service holds; 0: not known.
  virtual double WorkerTokens(const std::string& service) const = 0;
  // Items of this service that would not harm live requests, beside those that wait.
  virtual int BulkCapacity(const std::string& service) const = 0;
  virtual const settings::PolicyOptions& policy() const = 0;
  // Until when all nodes wait for workers to call after a start of them all; 0: they don't.
  virtual Micros WarmUpDeadline(Micros now) const = 0;
  // The request has ended: its runner forgets it.
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
  // Workers are left at once; the sink receives nothing more.
  void Cancel();
  // The sink has capacity again for what the worker sends.
  void Resume();

 private:
  void OnPlaced(PlacementId placement, dispatch::WorkerId worker) override;
  void OnRefused(PlacementId placement, Micros retry_after) override;
  void OnStreamHead(const ResponseHead& head) override;
  void OnStreamBytes(std::string_view bytes) override;
  void OnAttemptEnd(AttemptResult result) override;

  void RequestPlacement();
  void OnQueuedTooLong();
  std::vector<dispatch::WorkerId> PreferredWorkers() const;
  void RecordPrefill(ServiceWorker* worker);
  void EndPrefill();
  void Send(dispatch::WorkerId worker);
  void AbandonAttempt(dispatch::Outcome outcome);
  void EndPlacement(dispatch::Outcome outcome);
  void OnAnswer(AttemptResult result);
  void OnStreamComplete();
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
  Micros ResponseTimeLimit() const;  // from the send, or from a stream's last event
  void OnTimeout();
  void OnDue();
  void EndWithoutAnswer();
  void End(RequestResult result);

  const std::uint64_t id_;
  RequestSpec spec_;  // without its body
  const std::shared_ptr<const std::string> body_;
  std::shared_ptr<RequestSink> sink_;
  Timers* timers_;
  ServicePool* pool_;
  ActiveRequestHost* host_;

  const bool has_due_;
  RequestAdmission admission_;
  RetryState retries_;
  Timers::Id due_timer_ = 0, queue_timer_ = 0, timeout_timer_ = 0;
  PlacementId placement_ = 0;  // 0: none is open
  bool placed_ = false;        // the placement has its worker
  dispatch::WorkerId worker_ = 0;
  std::shared_ptr<Attempt> attempt_;
  std::optional<WorkerLoad> load_;  // reported in the attempt's response
  bool in_prefill_ = false;         // no event of the attempt has come
  double prefill_tokens_ = 0;       // tokens of its prompt that the worker has yet to read
  Micros sent_ = 0;
  Micros last_event_at_ = 0;      // the last event of the attempt; 0: none
  Micros progress_reported_ = 0;  // to the decision module
  Micros retry_after_ = 0;
  int worker_status_ = 0;

  EventSplitter events_;
  std::uint64_t last_event_id_ = 0;
  std::optional<ResponseHead> head_;  // of the stream's first worker, until it is passed on
  bool paused_ = false;  // the worker is held up, as the sink's receiver takes too little
  bool ended_ = false;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_ACTIVE_REQUEST_H_
