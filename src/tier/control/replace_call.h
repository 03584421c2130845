// One call of Config.Replace, from its checks over the change to an answer that holds: 200 only for
// what is or was in force, 400 and 412 only for what never will be, 503 for all that is not sure in
// time. Whether a configuration has been taken before stands in the record of marks that the
// control state keeps (coordination/change_marks.h), which is the same at every node.
#ifndef PEARREACH_SRC_TIER_CONTROL_REPLACE_CALL_H_
#define PEARREACH_SRC_TIER_CONTROL_REPLACE_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "tier/control/control_client.h"
#include "tier/http_server/exchange.h"

namespace pearreach::control {

class ReplaceCall : public std::enable_shared_from_this<ReplaceCall> {
 public:
  ReplaceCall(ControlClient* client, std::function<Micros()> now,
              std::shared_ptr<http_server::Exchange> exchange, Micros deadline);
  void Start();

 private:
  using Next = void (ReplaceCall::*)(const ChangeHistoryRead&);

  // False: answered already.
  bool ReadRequest();
  void Read(Micros timeout, Next next);
  // By a strict reading.
  void Decide(const ChangeHistoryRead& reading);
  // The same after a conflict or an unclear outcome.
  void Resolve(const ChangeHistoryRead& reading);
  // True: the reading alone gives the answer, which has been sent.
  bool IsSettled(const ChangeHistoryRead& reading);
  void Change(const ControlSnapshot& snapshot);
  void Changed(const ChangeOutcome& outcome);
  bool IsCurrent(const ControlSnapshot& snapshot) const;
  Micros Left() const { return deadline_ - now_(); }
  void AnswerTaken();
  void AnswerOtherVersion(const ControlSnapshot& snapshot);

  ControlClient* client_;
  std::function<Micros()> now_;
  std::shared_ptr<http_server::Exchange> exchange_;
  Micros deadline_;
  std::string body_;
  std::int64_t parent_ = 0, version_ = 0;
  coordination::ChangeId change_id_;
  bool unclear_ = false;  // nothing is known of the change that was sent last
  bool again_ = false;    // the change has been sent a second time
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_REPLACE_CALL_H_
