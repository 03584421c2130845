// Repeats a call about one batch job at the primary store of its partition until a store has
// responded or the call's time is over.
#ifndef PEARREACH_SRC_TIER_BATCH_STORE_CALL_RETRIER_H_
#define PEARREACH_SRC_TIER_BATCH_STORE_CALL_RETRIER_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/batch/placement_view.h"
#include "tier/batch/store_path.h"
#include "tier/batch/unresponsive_store_reporter.h"
#include "tier/control/control_client.h"
#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"

namespace pearreach::batch {

// How long a call may take, in microseconds from its start.
struct CallTime {
  Micros overall = 0;  // the call ends then, whatever is known
  // The call ends then as long as no store can have executed it; 0: as `overall`.
  Micros unsent = 0;
  Micros attempt = 0;  // longest wait for one store; 0: kDefaultAttemptTimeout
};

// Owned by a StoreClient; used on the event loop's thread only.
class StoreCallRetrier {
 public:
  using CallId = std::uint64_t;  // 0 is never a call

  // What an attempt is made under.
  struct AttemptContext {
    std::uint64_t placement_epoch = 0, partition_epoch = 0;
    Micros left = 0;  // of the call's time
  };
  // Encodes the message of one attempt.
  using Encoder = std::function<std::string(const AttemptContext& context)>;
  // `may_have_executed`: an attempt before the last may have been executed, or may yet be.
  using Finished =
      std::function<void(absl::StatusOr<std::string> response, bool may_have_executed)>;

  // All pointers outlive this.
  StoreCallRetrier(Timers* timers, rpc::Transport* transport, control::ControlClient* control,
                   PlacementView* placement, StorePath* path);
  ~StoreCallRetrier();
  StoreCallRetrier(const StoreCallRetrier&) = delete;
  StoreCallRetrier& operator=(const StoreCallRetrier&) = delete;

  // Makes the first attempt at once. `finished` is called exactly once and never from inside Start,
  // unless Cancel comes first. Errors: UNAVAILABLE, certainly not executed; DEADLINE_EXCEEDED, it
  // may have been or may yet be executed; others as the store gave them.
  CallId Start(rpc::MessageType type, std::string batch_job_id, CallTime time, Encoder encode,
               Finished finished);
  // The call's `finished` is not called any more. Does nothing for 0 or a call that has ended.
  void Cancel(CallId id);
  // Calls that have neither ended nor been cancelled.
  std::size_t pending() const { return calls_.size(); }

 private:
  struct PendingCall;

  void Attempt(CallId id);
  void OnResponse(CallId id, absl::StatusOr<std::string> response);
  void RetryLater(CallId id, PendingCall* call);
  void RetryMovedCalls();
  void FailOnTimeout(CallId id, const PendingCall& call);
  void LogUnresolvedSubmission(const PendingCall& call, std::string_view reason) const;
  void Finish(CallId id, absl::StatusOr<std::string> response);

  Timers* const timers_;
  PlacementView* const placement_;
  StorePath* const path_;
  UnresponsiveStoreReporter unresponsive_stores_;
  std::unordered_map<CallId, std::unique_ptr<PendingCall>> calls_;
  CallId last_id_ = 0;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_STORE_CALL_RETRIER_H_
