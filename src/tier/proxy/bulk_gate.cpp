#include "tier/proxy/bulk_gate.h"

#include <algorithm>

namespace pearreach::proxy {

void BulkGate::SetLimit(int limit) {
  limit_ = std::max(limit, 1);
  Admit();
}

bool BulkGate::Acquire(std::uint64_t request, std::function<void()> admitted) {
  if (in_use_ < limit_ && waiting_.empty()) {
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
  while (in_use_ < limit_ && !waiting_.empty()) {
    const std::function<void()> admitted = std::move(waiting_.front().second);
    waiting_.pop_front();
    ++in_use_;
    admitted();
  }
}

}  // namespace pearreach::proxy
