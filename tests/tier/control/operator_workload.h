// Operators at work on a fleet of control nodes: up to eight orders under way at once, the same one
// at several nodes, repeats of old ones, other content under a taken number, reads; answers get
// lost.
#ifndef PEARREACH_TESTS_TIER_CONTROL_OPERATOR_WORKLOAD_H_
#define PEARREACH_TESTS_TIER_CONTROL_OPERATOR_WORKLOAD_H_

#include <memory>
#include <vector>

#include "tier/control/control_fleet.h"

namespace pearreach::control {

class OperatorWorkload {
 public:
  // `response_loss`: share of the answers. Work begins at once.
  OperatorWorkload(ControlFleet* fleet, int operators, double response_loss);
  ~OperatorWorkload() { Stop(); }
  void Stop() { *working_ = false; }
  int resent_changes() const { return resent_changes_; }  // orders that had been answered before
  int other_content() const { return other_content_; }

 private:
  struct OperatorState {
    std::int64_t known = 0;          // version that its next order builds on
    ConfigChange* change = nullptr;  // under way
    int attempts = 0;
  };
  void ScheduleNextAction(OperatorState* operator_state, Micros span);
  void StartAction(OperatorState* operator_state);
  void Send(OperatorState* operator_state);
  void OnResponse(OperatorState* operator_state, ConfigChange* change, int status,
                  const std::string& body);
  void ResendOldChange();
  void SendOtherContent();
  std::size_t RandomMachine();
  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(fleet_->random()); }

  ControlFleet* fleet_;
  const double response_loss_;
  std::vector<std::unique_ptr<OperatorState>> operators_;
  std::shared_ptr<bool> working_ = std::make_shared<bool>(true);
  int resent_changes_ = 0, other_content_ = 0;
};

}  // namespace pearreach::control

#endif  // PEARREACH_TESTS_TIER_CONTROL_OPERATOR_WORKLOAD_H_
