// Serves grants of tenants' requests to edge nodes, where this node has a share of their limits.
// Grants only while the share table that it acts by has been confirmed within kShareLease: a node
// that is cut off, or stood still, stops before its share is given to another.
#ifndef PEARREACH_SRC_TIER_QUOTA_GRANT_SERVER_H_
#define PEARREACH_SRC_TIER_QUOTA_GRANT_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "tier/control/control_client.h"
#include "tier/control/time_source.h"
#include "tier/quota/grant_issuer.h"
#include "tier/quota/quota_timing.h"
#include "tier/rpc/transport.h"

namespace pearreach::quota {

// Owned by a process of a quorum member (tier/server). Loop thread only.
class GrantServer {
 public:
  // `self`: the node's name. All pointers must outlive this.
  GrantServer(std::unique_ptr<control::TimeSource> time, rpc::Transport* transport,
              control::ControlClient* control, const std::string& self, LimitBounds bounds,
              std::uint64_t seed);
  ~GrantServer();
  GrantServer(const GrantServer&) = delete;
  GrantServer& operator=(const GrantServer&) = delete;

 private:
  void OnGrantRequest(std::string_view body, const rpc::Respond& respond);
  void OnControlChange();
  bool HasShare() const;
  bool HasLease() const;
  void Confirm();
  void ScheduleConfirm();

  const std::unique_ptr<control::TimeSource> time_;
  control::ControlClient* const control_;
  const std::string self_;
  GrantIssuer issuer_;
  ShareTable shares_;
  std::uint64_t shares_revision_ = 0, config_revision_ = 0;
  bool confirming_ = false;
  Micros confirmed_at_ = 0;  // when the last successful read was sent; 0: never
  Timers::Id confirm_timer_ = 0;
  control::CallbackOwner callbacks_;
};

}  // namespace pearreach::quota

#endif  // PEARREACH_SRC_TIER_QUOTA_GRANT_SERVER_H_
