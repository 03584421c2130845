// One call of Config.Replace, from its checks over the change to an answer that holds: 200 only for
// what is or was in force, 400 and 412 only for what never will be, 503 for all that is not sure in
// time. Whether a configuration has been taken before stands in the record of marks that the
// control state keeps (coordination/change_marks.h), which is the same at every node.
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
  ConfigReplaceRequest(ControlClient* client, std::function<Micros()> now,
                       std::shared_ptr<http_server::Exchange> exchange, Micros deadline);
  void Start();

 private:
  using Next = void (ConfigReplaceRequest::*)(const ChangeHistoryRead&);

  // False: answered already.
  bool ParseRequest();
  void Read(Micros timeout, Next next);
  // By a strict reading.
  void OnInitialRead(const ChangeHistoryRead& history_read);
  // The same after a conflict or an unclear outcome.
  void OnReadAfterChange(const ChangeHistoryRead& history_read);
  // True: the reading alone gives the answer, which has been sent.
  bool RespondIfDecided(const ChangeHistoryRead& history_read);
  void Change(const ControlSnapshot& snapshot);
  void OnChangeOutcome(const ChangeOutcome& outcome);
  bool IsCurrent(const ControlSnapshot& snapshot) const;
  Micros TimeLeft() const { return deadline_ - now_(); }
  void RespondCommitted();
  void RespondVersionConflict(const ControlSnapshot& snapshot);

  ControlClient* client_;
  std::function<Micros()> now_;
  std::shared_ptr<http_server::Exchange> exchange_;
  Micros deadline_;
  std::string body_;
  std::int64_t parent_ = 0, version_ = 0;
  coordination::ChangeId change_id_;
  bool outcome_unknown_ = false;  // nothing is known of the change that was sent last
  bool retried_ = false;          // the change has been sent a second time
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_CONFIG_REPLACE_REQUEST_H_
