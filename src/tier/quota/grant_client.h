// An edge node's side of tenants' limits: acquires grants from the allocators of the share table as
// its requests need them, and hands them out.
#ifndef PEARREACH_SRC_TIER_QUOTA_GRANT_CLIENT_H_
#define PEARREACH_SRC_TIER_QUOTA_GRANT_CLIENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tier/control/control_client.h"
#include "tier/control/deadline_timer.h"
#include "tier/control/time_source.h"
#include "tier/quota/allocator_choice.h"
#include "tier/quota/grant_pool.h"
#include "tier/quota/messages.h"
#include "tier/quota/request_limiter.h"
#include "tier/quota/share_table.h"
#include "tier/rpc/transport.h"

namespace pearreach::quota {

// Counted for the log.
struct GrantClientCounts {
  std::uint64_t calls = 0, failed_calls = 0;
  std::uint64_t granted = 0, over_limit = 0, unavailable = 0;  // requests
};

// Owned by an edge node's process. Loop thread only.
class GrantClient final : public RequestLimiter {
 public:
  // `zone`: of this node. All pointers must outlive this.
  GrantClient(std::unique_ptr<control::TimeSource> time, rpc::Transport* transport,
              control::ControlClient* control, std::string zone, std::uint64_t seed);
  ~GrantClient() override;
  GrantClient(const GrantClient&) = delete;
  GrantClient& operator=(const GrantClient&) = delete;

  AcquisitionId Acquire(const routing::Tenant& tenant, Micros deadline, Done done) override;
  void Cancel(AcquisitionId acquisition) override;

  const GrantClientCounts& counts() const { return counts_; }

 private:
  struct PendingCall {
    Micros sent_at = 0;
    bool slow = false;  // another allocator may be asked meanwhile
  };
  struct TenantState {
    GrantPool pool;
    EmptyAllocators empty;
    std::map<std::string, PendingCall> calls;  // by allocator

    bool AwaitsPromptResponse() const;
  };

  void OnControlChange();
  std::vector<Allocator> AllocatorsOf(const std::string& tenant) const;
  // Asks an allocator if somebody waits for a grant that is not on its way; decides for all that
  // wait where there is none to ask.
  void Pursue(const std::string& tenant, TenantState* state);
  void Ask(const std::string& tenant, TenantState* state, const Allocator& allocator);
  void OnResponse(const std::string& tenant, const std::string& allocator, std::uint32_t wanted,
                  Micros sent_at, const absl::StatusOr<std::string>& response);
  void OnSlow(const std::string& tenant, const std::string& allocator, Micros sent_at);
  void Decide(const std::vector<GrantPool::Waiting>& waiting, const Decision& decision);
  void OnDeadline();
  void ForgetIdleTenants(Micros now);

  const std::unique_ptr<control::TimeSource> time_;
  rpc::Transport* const transport_;
  control::ControlClient* const control_;
  const std::string zone_;
  std::minstd_rand random_;
  ShareTable shares_;
  std::uint64_t shares_revision_ = 0;
  std::map<std::string, TenantState> tenants_;
  std::map<AcquisitionId, std::string> tenant_of_;  // of those that wait
  UnresponsiveAllocators unresponsive_;
  AcquisitionId last_id_ = kDecided;
  control::DeadlineTimer deadline_timer_;
  Micros swept_at_ = 0;
  GrantClientCounts counts_;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::quota

#endif  // PEARREACH_SRC_TIER_QUOTA_GRANT_CLIENT_H_
