#include "tier/proxy/bulk_gate.h"

#include <algorithm>

namespace pearreach::proxy {

void BulkGate::SetAllowance(int allowance) {
  allowance_ = std::max(allowance, 1);
  Admit();
}

bool BulkGate::Enter(std::uint64_t job, std::function<void()> admitted) {
  if (held_ < allowance_ && waiting_.empty()) {
    ++held_;
    return true;
  }
  waiting_.emplace_back(job, std::move(admitted));
  return false;
}

void BulkGate::Leave() {
  --held_;
  Admit();
}

void BulkGate::Withdraw(std::uint64_t job) {
  std::erase_if(waiting_, [job](const auto& each) { return each.first == job; });
}

void BulkGate::Admit() {
  while (held_ < allowance_ && !waiting_.empty()) {
    const std::function<void()> admitted = std::move(waiting_.front().second);
    waiting_.pop_front();
    ++held_;
    admitted();
  }
}

}  // namespace pearreach::proxy
