// Operators at work on a fleet of control nodes: up to eight orders under way at once, the same one
// at several nodes, repeats of old ones, other content under a taken number, reads; answers get
// lost.
#ifndef PEARREACH_TESTS_TIER_CONTROL_OPERATORS_H_
#define PEARREACH_TESTS_TIER_CONTROL_OPERATORS_H_

#include <memory>
#include <vector>

#include "tier/control/control_fleet.h"

namespace pearreach::control {

class Operators {
 public:
  // `answers_lost`: share of the answers. Work begins at once.
  Operators(ControlFleet* fleet, int operators, double answers_lost);
  ~Operators() { Stop(); }
  void Stop() { *working_ = false; }
  int resent_old() const { return resent_old_; }  // orders that had been answered before
  int other_content() const { return other_content_; }

 private:
  struct Operator {
    std::int64_t known = 0;  // version that its next order builds on
    Order* order = nullptr;  // under way
    int attempts = 0;
  };
  void Pause(Operator* who, Micros span);
  void Act(Operator* who);
  void Send(Operator* who);
  void Answered(Operator* who, Order* order, int status, const std::string& body);
  void ResendOldOne();
  void SendOtherContent();
  std::size_t AnyMachine();
  double Share() { return std::uniform_real_distribution<double>(0, 1)(fleet_->random()); }

  ControlFleet* fleet_;
  const double answers_lost_;
  std::vector<std::unique_ptr<Operator>> operators_;
  std::shared_ptr<bool> working_ = std::make_shared<bool>(true);
  int resent_old_ = 0, other_content_ = 0;
};

}  // namespace pearreach::control

#endif  // PEARREACH_TESTS_TIER_CONTROL_OPERATORS_H_
