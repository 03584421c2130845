// A job under way: asks for a worker, sends, relays the answer, and decides after each outcome
// whether it may go on at another worker. It keeps the promises of its end: kNotRun only if no
// attempt may have run.
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
#include "tier/proxy/service_pool.h"
#include "tier/settings/policy_options.h"

namespace pearreach::proxy {

// What a job needs of its runner.
class ActiveRequestHost {
 public:
  virtual ~ActiveRequestHost() = default;
  // By the registry's newest word the worker may be sent to.
  virtual bool IsReady(const std::string& worker_id) const = 0;
  // A worker was chosen by an older word than that: the newest is to be told at once.
  virtual void RefreshWorkers() = 0;
  // Connections that this node may have to each worker of the service.
  virtual std::size_t ConnectionLimit(const std::string& service) const = 0;
  // Tokens that one worker of the service holds; 0: not known.
  virtual double WorkerTokens(const std::string& service) const = 0;
  // Bulk jobs of this service that would not harm live ones, beside those that wait.
  virtual int BulkCapacity(const std::string& service) const = 0;
  virtual const settings::PolicyOptions& policy() const = 0;
  // Until when all nodes wait for workers to call after a start of them all; 0: they don't.
  virtual Micros WarmUpDeadline(Micros now) const = 0;
  // The job has ended: its runner forgets it.
  virtual void Forget(std::uint64_t request) = 0;
};

class ActiveRequest : public std::enable_shared_from_this<ActiveRequest>,
                      private PlacementClient,
                      private AttemptListener {
 public:
  ActiveRequest(std::uint64_t id, RequestSpec spec, std::shared_ptr<RequestSink> sink,
                Timers* timers, ServicePool* line, ActiveRequestHost* host);
  ~ActiveRequest() override;

  void Start();
  // Workers are left at once; the sink hears nothing more.
  void Cancel();
  // The sink has room again for what the worker sends.
  void Resume();

 private:
  void OnPlaced(PlacementId placement, dispatch::WorkerId worker) override;
  void OnRefused(PlacementId placement, Micros retry_after) override;
  void OnStreamHead(const ResponseHead& head) override;
  void OnStreamBytes(std::string_view bytes) override;
  void OnAttemptEnd(AttemptResult result) override;

  void RequestPlacement();
  bool AwaitBulkCapacity();
  void StopAwaitingBulkCapacity();
  bool EnterBulkGate();
  void ReleaseBulkGate();
  void OnQueuedTooLong();
  Micros PlacementDeadline(Micros now) const;
  std::vector<dispatch::WorkerId> PreferredWorkers() const;
  void RecordPrefill(ServiceWorker* worker);
  void EndPrefill();
  void Send(dispatch::WorkerId worker);
  void AbandonAttempt(dispatch::Outcome outcome);
  void EndPlacement(dispatch::Outcome outcome);
  void OnAnswer(AttemptResult result);
  void OnStreamComplete();
  dispatch::Outcome NotRunOutcome(const ResponseHead& head);
  bool GuaranteesNotRun(const ResponseHead& head) const;
  bool MayRunAgain() const;
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
  Micros NextEventTimeout() const;
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

  const Micros started_;
  const bool has_due_;
  Timers::Id due_timer_ = 0, queue_timer_ = 0, timeout_timer_ = 0;
  PlacementId placement_ = 0;          // 0: none is open
  bool placed_ = false;                // the placement has its worker
  bool awaits_bulk_capacity_ = false;  // a bulk job that came when there was no room for it
  bool in_bulk_gate_ = false;          // a bulk job that holds a place of its line's gate
  dispatch::WorkerId worker_ = 0;
  std::shared_ptr<Attempt> attempt_;
  std::optional<WorkerLoad> load_;  // told in the attempt's answer
  bool in_prefill_ = false;         // no event has come of the attempt
  double prefill_tokens_ = 0;       // tokens of its prompt that the worker has yet to read
  Micros sent_ = 0;
  Micros last_event_at_ = 0;      // the last event of the attempt; 0: none
  Micros progress_reported_ = 0;  // to the decision module
  int sends_ = 0;                 // attempts made
  int runs_ = 0;                  // of these, how many may have run
  int not_sent_ = 0;              // placements that came to nothing before a send
  Micros retry_after_ = 0;
  int worker_status_ = 0;

  EventSplitter events_;
  std::uint64_t last_event_id_ = 0;
  std::optional<ResponseHead> head_;  // of the stream's first worker, until it is passed on
  bool head_forwarded_ = false;
  bool paused_ = false;  // the worker is held up, as the sink's receiver takes too little
  bool ended_ = false;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_ACTIVE_REQUEST_H_
