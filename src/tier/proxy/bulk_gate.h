// Limits how many batch items of one service this node has at workers with unprocessed prompts,
// since processing a prompt delays all other requests of that worker. Items over the limit wait in
// FIFO order. Loop thread only.
#ifndef PEARREACH_SRC_TIER_PROXY_BULK_GATE_H_
#define PEARREACH_SRC_TIER_PROXY_BULK_GATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

namespace pearreach::proxy {

class BulkGate {
 public:
  // A limit below 1 counts as 1.
  void SetLimit(int limit);
  int limit() const { return limit_; }
  // True: `request` has acquired a slot. False: it is queued, and `admitted` is called when it gets
  // a slot.
  bool Acquire(std::uint64_t request, std::function<void()> admitted);
  void Release();                        // returns an acquired slot
  void Withdraw(std::uint64_t request);  // removes a queued request
  std::size_t waiting() const { return waiting_.size(); }

 private:
  void Admit();

  int limit_ = 1;
  int in_use_ = 0;
  std::deque<std::pair<std::uint64_t, std::function<void()>>> waiting_;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_BULK_GATE_H_
