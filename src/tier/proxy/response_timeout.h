// When a plain request whose worker is silent goes to another one: after a time that follows from
// the answers of its service that this node has seen, and only while repeats stay a small part of
// all sends, so that a service that slows down as a whole is not given more to do. Pure.
#ifndef PEARREACH_SRC_TIER_PROXY_RESPONSE_TIMEOUT_H_
#define PEARREACH_SRC_TIER_PROXY_RESPONSE_TIMEOUT_H_

#include <array>
#include <cstddef>

#include "common/event_loop/io.h"

namespace pearreach::proxy {

class ResponseTimeout {
 public:
  // An answer came so long after its send.
  void RecordLatency(Micros latency);
  // A request was sent, its first time.
  void RecordSend();
  // How long a request with this objective may wait for an answer, of `left` that it has. Half of
  // `left` at most: another worker needs time as well.
  Micros Limit(Micros target, Micros left) const;
  // Whether one more request may be repeated for its worker's silence; takes it off the budget.
  bool TakeRetry();

 private:
  static constexpr std::size_t kAnswers = 128;

  Micros Slowest() const;  // of nearly all answers

  std::array<Micros, kAnswers> answers_{};  // the latest
  std::size_t count_ = 0;
  double budget_ = 1;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_RESPONSE_TIMEOUT_H_
