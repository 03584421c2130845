// Takes a duty of the whole system while this node is the first live one in the order of the
// control state's view (ControlClient::IsSingletonRoleCandidate), and makes its holder's changes
// under its epoch. See coordination/duty.h.
#ifndef PEARREACH_SRC_TIER_CONTROL_SINGLETON_ROLE_DRIVER_H_
#define PEARREACH_SRC_TIER_CONTROL_SINGLETON_ROLE_DRIVER_H_

#include <functional>
#include <memory>
#include <string>

#include "tier/control/control_client.h"
#include "tier/coordination/singleton_role.h"

namespace pearreach::control {

class SingletonRoleDriver {
 public:
  // `duty`: its name in the control state. `self`: a name of this process that no other one has.
  // `changed` is called when a claim has ended.
  SingletonRoleDriver(ControlClient* control, const std::string& role_name, std::string self,
                      std::function<void()> changed);
  ~SingletonRoleDriver() { *alive_ = false; }
  SingletonRoleDriver(const SingletonRoleDriver&) = delete;
  SingletonRoleDriver& operator=(const SingletonRoleDriver&) = delete;

  // Takes in what the control state says now, and claims the duty if it is this node's to take.
  // True: this process holds it.
  bool Update(Micros now);
  bool is_owner() const { return role_.acting().has_value(); }
  // Of a change that is refused once another process has taken the duty. The last epoch that this
  // process knows where it does not hold the duty.
  coordination::FencingToken fencing_token() const { return {key_, role_.record().epoch}; }

 private:
  void Observe();
  void Claim(std::uint64_t epoch);

  ControlClient* control_;
  const std::string key_;
  const std::string self_;
  const std::function<void()> changed_;
  coordination::SingletonRole role_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_SINGLETON_ROLE_DRIVER_H_
