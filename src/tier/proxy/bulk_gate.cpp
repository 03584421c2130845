#include "tier/proxy/bulk_gate.h"

#include <algorithm>

namespace pearreach::proxy {

void BulkGate::SetAllowance(int allowance) {
  allowance_ = std::max(allowance, 1);
  Admit();
}

bool BulkGate::Enter(std::uint64_t request, std::function<void()> admitted) {
  if (in_use_ < allowance_ && waiting_.empty()) {
    ++in_use_;
    return true;
  }
  waiting_.emplace_back(request, std::move(admitted));
  return false;
}

void BulkGate::Release() {
  --in_use_;
  Admit();
}

void BulkGate::Withdraw(std::uint64_t request) {
  std::erase_if(waiting_, [request](const auto& each) { return each.first == request; });
}

void BulkGate::Admit() {
  while (in_use_ < allowance_ && !waiting_.empty()) {
    const std::function<void()> admitted = std::move(waiting_.front().second);
    waiting_.pop_front();
    ++in_use_;
    admitted();
  }
}

}  // namespace pearreach::proxy
