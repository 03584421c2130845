// Admission of one request: decides when it may ask for a placement and how long it waits for one.
// A batch item waits until this node's share of the slots has room and the bulk gate admits it; a
// live request waits for a fraction of its latency target. Owned by ActiveRequest. Loop thread
// only.
#ifndef PEARREACH_SRC_TIER_PROXY_REQUEST_ADMISSION_H_
#define PEARREACH_SRC_TIER_PROXY_REQUEST_ADMISSION_H_

#include <cstdint>
#include <functional>

#include "common/event_loop/timers.h"
#include "tier/proxy/request.h"
#include "tier/proxy/service_pool.h"

namespace pearreach::proxy {

class ActiveRequestHost;

class RequestAdmission {
 public:
  enum class Verdict {
    kAdmitted,
    kWaiting,    // `admitted` is called when the request should try again
    kNoCapacity  // the wait has timed out; another node may have capacity
  };

  // All pointers must outlive this object. `admitted` may end the request.
  RequestAdmission(std::uint64_t request, const RequestSpec* spec, Timers* timers,
                   ServicePool* pool, ActiveRequestHost* host, std::function<void()> admitted);
  ~RequestAdmission() { Withdraw(); }
  RequestAdmission(const RequestAdmission&) = delete;
  RequestAdmission& operator=(const RequestAdmission&) = delete;

  // `was_sent`: an earlier attempt was sent, so the request does not wait for capacity again.
  Verdict Admit(bool was_sent);
  // Releases the gate slot once the prompt has been processed or the placement has ended.
  void LeaveGate();
  // Removes the request from all queues when it ends.
  void Withdraw();
  // Time (on the clock of Now()) until which an admitted request waits for a worker.
  Micros PlacementDeadline(Micros now, bool may_have_run) const;

 private:
  bool HasBulkCapacity() const;
  void AwaitBulkCapacity();
  void StopAwaitingBulkCapacity();
  bool EnterGate();

  const std::uint64_t request_;
  const RequestSpec* const spec_;
  Timers* const timers_;
  ServicePool* const pool_;
  ActiveRequestHost* const host_;
  const std::function<void()> admitted_;
  const Micros started_at_;
  Timers::Id capacity_timer_ = 0;  // set while the request waits for capacity
  bool in_gate_ = false;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_REQUEST_ADMISSION_H_
