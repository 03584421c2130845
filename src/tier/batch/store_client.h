// Calls of an edge node to the stores: finds the primary store of a lot's partition by the newest
// placement table and repeats a call there, or at the next primary, until its time is over.
#ifndef PEARREACH_SRC_TIER_BATCH_STORE_CLIENT_H_
#define PEARREACH_SRC_TIER_BATCH_STORE_CLIENT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/batch/quota.h"
#include "tier/batch/store_path.h"
#include "tier/batch/unresponsive_store_reporter.h"
#include "tier/control/control_client.h"
#include "tier/rpc/transport.h"

namespace pearreach::batch {

// How long a call may take. Times are from the start of the call.
struct CallTime {
  Micros overall = 0;  // then it is given up, whatever is known
  // While no store can have carried it out the call is given up after this; 0: as `overall`.
  Micros unsent = 0;
  Micros attempt = 0;  // longest wait for one store; 0: kAttemptTime
};

// How long one store may take over a call that it need not hold.
constexpr Micros kAttemptTime = 1 * kSecond;

class StoreClient {
 public:
  template <class Response>
  using Done = std::function<void(absl::StatusOr<Response>)>;
  using CallId = std::uint64_t;  // 0 is never a call

  // `self`: see StorePath.
  StoreClient(Timers* timers, rpc::Transport* transport, control::ControlClient* control,
              std::string self = {});
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // Calls about a lot. `done` is called exactly once, never from inside the call, unless Cancel
  // comes first. Errors: UNAVAILABLE, surely not carried out; DEADLINE_EXCEEDED, it may have been
  // or may yet be carried out; others as the store gave them. The messages' `placement_epoch` is
  // filled in here; the `wait_ms` of a read is shortened by what was waited before.
  CallId Create(BatchJobSpec batch_job, CallTime time, Done<CreateBatchJobResponse> done);
  // These change nothing at the stores.
  CallId Offer(OfferBatchJob offer, CallTime time, Done<OfferBatchJobResponse> done);
  CallId RequestQuota(QuotaQuery query, CallTime time, Done<QuotaResponse> done);
  CallId Read(ReadBatchJob read, CallTime time, Done<ReadBatchJobResponse> done);
  CallId ReadBody(ReadItemBody read, CallTime time, Done<ReadItemBodyResponse> done);
  CallId CancelBatch(CancelBatchJob cancel, CallTime time, Done<CancelBatchJobResponse> done);
  CallId Report(ItemResult result, CallTime time, std::function<void(absl::Status)> done);
  // The call's `done` is not called any more. Does nothing for 0 or a call that is over.
  void Cancel(CallId call);

  // Calls to one store, tried once.
  void Pull(const StoreId& store, PullItems pull, Micros timeout, Done<PullItemsResponse> done);
  void Renew(const StoreId& store, RenewLeases renew, Micros timeout,
             Done<RenewLeasesResponse> done);

  // The newest placement table; null: none is known.
  std::shared_ptr<const PlacementTable> Table();
  // Stores that are the primary of a partition and not known to be dead.
  std::vector<StoreId> Primaries();
  // The primary of the lot's partition; null: none is known.
  const StoreId* PrimaryOf(std::string_view batch_job_id);
  std::size_t pending() const { return calls_.size(); }

 private:
  struct Call;
  // The placement as the caller knows it, and what is left of the call's time.
  struct AttemptContext {
    std::uint64_t placement_epoch = 0, partition_epoch = 0;
    Micros left = 0;
  };
  using Encoder = std::function<std::string(const AttemptContext& context)>;
  using Finished = std::function<void(absl::StatusOr<std::string>, bool may_have_executed)>;

  CallId Start(rpc::MessageType type, std::string batch_job_id, CallTime time, Encoder encode,
               Finished finished);
  void Attempt(CallId id);
  void OnResponse(CallId id, absl::StatusOr<std::string> response);
  void RetryLater(CallId id, Call* call);
  void RetryMovedCalls();
  void FailOnTimeout(CallId id, const Call& call);
  void LogAbandonedBatchJob(const Call& call, std::string_view why) const;
  void Finish(CallId id, absl::StatusOr<std::string> response);
  template <class Response>
  void CallStore(const StoreId& store, rpc::MessageType type, std::string body, Micros timeout,
                 Done<Response> done);

  Timers* timers_;
  rpc::Transport* transport_;
  control::ControlClient* control_;
  std::shared_ptr<const PlacementTable> table_;
  std::uint64_t table_revision_ = 0;
  UnresponsiveStoreReporter unresponsive_stores_;
  StorePath path_;
  std::unordered_map<CallId, std::unique_ptr<Call>> calls_;
  CallId last_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for callbacks of the mesh
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_STORE_CLIENT_H_
