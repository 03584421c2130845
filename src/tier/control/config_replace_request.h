// One Config.Replace request, from its validation over the change to a response that stays true:
// 200 only for a configuration that is or was in force, 400 and 412 only for one that never will
// be, 503 if the outcome is not known in time. A change that builds on a version above the current
// one waits for it for a while. A process that stood still does not begin a change, and none is
// begun for a caller that has gone: an operator who has given it up must not see it come into force
// much later. Whether a configuration has been committed before is
// recorded in the control state's change history (coordination/change_history.h), which is the same
// at every node. Kept alive by the callbacks that it waits for. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_CONFIG_REPLACE_REQUEST_H_
#define PEARREACH_SRC_TIER_CONTROL_CONFIG_REPLACE_REQUEST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "tier/control/control_client.h"
#include "tier/http_server/exchange.h"

namespace pearreach::control {

class ConfigReplaceRequest : public std::enable_shared_from_this<ConfigReplaceRequest> {
 public:
  using After = std::function<void(Micros delay, std::function<void()> callback)>;

  // `after` may be null (ConfigApi).
  ConfigReplaceRequest(ControlClient* client, std::function<Micros()> now, After after,
                       std::shared_ptr<http_server::Exchange> exchange, Micros deadline);
  // REQUIRES: called once, on an object that a shared_ptr owns.
  void Start();

 private:
  using Next = void (ConfigReplaceRequest::*)(const ChangeHistoryRead&);

  // False: the request is invalid and has been responded to.
  bool ParseRequest();
  void Read(Micros timeout, Next next);
  // Decides by the first linearizable read.
  void OnInitialRead(const ChangeHistoryRead& history_read);
  // Decides by a read after a conflict or an unknown outcome.
  void OnReadAfterChange(const ChangeHistoryRead& history_read);
  // True: the read determined the response, which has been sent.
  bool RespondIfDecided(const ChangeHistoryRead& history_read);
  // The parent is above the current version: true if there is time to wait for it, in which case
  // the state is read again later.
  bool AwaitParent();
  void Change(const ControlSnapshot& snapshot);
  void OnChangeOutcome(const ChangeOutcome& outcome);
  bool IsCurrent(const ControlSnapshot& snapshot) const;
  Micros TimeLeft() const { return deadline_ - now_(); }
  void RespondCommitted();
  void RespondVersionConflict(const ControlSnapshot& snapshot);

  ControlClient* client_;
  std::function<Micros()> now_;
  After after_;
  std::shared_ptr<http_server::Exchange> exchange_;
  Micros deadline_;
  std::string body_;
  std::int64_t parent_ = 0, version_ = 0;
  coordination::ChangeId change_id_;
  bool outcome_unknown_ = false;  // of the last change that was sent
  bool retried_ = false;          // the change has been sent a second time
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_CONFIG_REPLACE_REQUEST_H_
