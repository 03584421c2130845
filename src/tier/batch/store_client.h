// Typed calls of an edge node to the stores.
#ifndef PEARREACH_SRC_TIER_BATCH_STORE_CLIENT_H_
#define PEARREACH_SRC_TIER_BATCH_STORE_CLIENT_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/timers.h"
#include "tier/batch/messages.h"
#include "tier/batch/placement_view.h"
#include "tier/batch/quota.h"
#include "tier/batch/store_call_retrier.h"
#include "tier/batch/store_path.h"
#include "tier/control/control_client.h"
#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"

namespace pearreach::batch {

// Owned by the node; used on the event loop's thread only. A callback is dropped once the client is
// destroyed.
class StoreClient {
 public:
  template <class Response>
  using Done = std::function<void(absl::StatusOr<Response>)>;
  using CallId = StoreCallRetrier::CallId;  // 0 is never a call

  // All pointers outlive this. `self`: see StorePath.
  StoreClient(Timers* timers, rpc::Transport* transport, control::ControlClient* control,
              std::string self = {});
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // Calls about a batch job, repeated at the primary store of its partition. `done` is called
  // exactly once, never from inside the call, unless Cancel comes first; for its errors see
  // StoreCallRetrier::Start. The messages' epochs are filled in here.

  // DEADLINE_EXCEEDED as well where a store rejects the batch job after an attempt that may have
  // been executed.
  CallId Create(BatchJobSpec batch_job, CallTime time, Done<CreateBatchJobResponse> done);
  // Changes nothing at the stores.
  CallId Offer(OfferBatchJob offer, CallTime time, Done<OfferBatchJobResponse> done);
  // Changes nothing at the stores. The owner of a route's quota is the primary store of the
  // partition that the route's name hashes to.
  CallId RequestQuota(QuotaQuery query, CallTime time, Done<QuotaResponse> done);
  // `read.wait_ms` is shortened so that the response comes within the call's time.
  CallId Read(ReadBatchJob read, CallTime time, Done<ReadBatchJobResponse> done);
  CallId ReadBody(ReadItemBody read, CallTime time, Done<ReadItemBodyResponse> done);
  CallId CancelBatch(CancelBatchJob cancel, CallTime time, Done<CancelBatchJobResponse> done);
  CallId Report(ItemResult result, CallTime time, std::function<void(absl::Status)> done);

  // The call's `done` is not called any more. Does nothing for 0 or a call that has ended.
  void Cancel(CallId call) { retrier_.Cancel(call); }

  // Calls to one store, attempted once. UNAVAILABLE: the store is not a live member.
  void Pull(const StoreId& store, PullItems pull, Micros timeout, Done<PullItemsResponse> done);
  void Renew(const StoreId& store, const RenewLeases& renew, Micros timeout,
             Done<RenewLeasesResponse> done);

  // The newest placement table; null: none is known.
  std::shared_ptr<const PlacementTable> Table() { return placement_.Table(); }
  // Stores that are the primary of a partition and not known to be dead.
  std::vector<StoreId> Primaries();
  // The primary of the batch job's partition; null: none is known.
  const StoreId* PrimaryOf(std::string_view batch_job_id) {
    return placement_.PrimaryOf(batch_job_id);
  }
  std::size_t pending() const { return retrier_.pending(); }

 private:
  void CallOnce(const StoreId& store, rpc::MessageType type, std::string body, Micros timeout,
                rpc::Done done);

  Timers* const timers_;
  rpc::Transport* const transport_;
  PlacementView placement_;
  StorePath path_;
  StoreCallRetrier retrier_;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_STORE_CLIENT_H_
