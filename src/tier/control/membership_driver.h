// Runs this node's Membership: sends and receives its datagrams and calls its ticks from one timer.
// Owned by the control node. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_MEMBERSHIP_DRIVER_H_
#define PEARREACH_SRC_TIER_CONTROL_MEMBERSHIP_DRIVER_H_

#include <functional>
#include <string>
#include <vector>

#include "tier/control/deadline_timer.h"
#include "tier/control/stall_detector.h"
#include "tier/control/time_source.h"
#include "tier/coordination/membership.h"
#include "tier/rpc/transport.h"

namespace pearreach::control {

class MembershipDriver {
 public:
  // Names whose status, info or announced versions changed.
  using Listener = std::function<void(const std::vector<std::string>& names)>;

  // `stall_tolerance`: see StallDetector.
  MembershipDriver(TimeSource* time, rpc::Transport* transport,
                   coordination::MembershipOptions options, Micros stall_tolerance,
                   std::uint64_t seed);

  void OnChange(Listener listener) { listener_ = std::move(listener); }
  // Joins.
  void Start();
  // Announces that this process ends, and stops. Does nothing before Start.
  void Leave();
  void Announce(const std::string& name, std::uint64_t version);
  const std::map<std::string, coordination::Member>& members() const {
    return membership_.members();
  }
  const StallDetector& stalls() const { return stalls_; }

 private:
  void Receive(const std::string& from_ip, std::string_view bytes);
  void OnTimer();
  void Tick();
  void SetTimer();
  void AfterStep(const std::vector<coordination::Datagram>& datagrams);
  TimeSource* time_;
  rpc::Transport* transport_;
  coordination::Membership membership_;
  Listener listener_;
  bool running_ = false;
  StallDetector stalls_;
  DeadlineTimer timer_;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_MEMBERSHIP_DRIVER_H_
