#include "tier/coordination/update_queue.h"

#include <utility>
#include <vector>

namespace pearreach::coordination {

void UpdateQueue::Add(const std::string& name) {
  Priority& priority = priorities_[name];
  if (priority.added != 0) order_.erase(priority);
  priority = {.sent = 0, .added = ++last_};
  order_.emplace(priority, name);
}

void UpdateQueue::Offer(int limit, const std::function<OfferResult(const std::string&)>& take) {
  std::vector<std::pair<Priority, std::string>> again;
  while (!order_.empty()) {
    auto first = order_.begin();
    const OfferResult fit = take(first->second);
    if (fit == OfferResult::kTooLarge) break;
    Priority priority = first->first;
    ++priority.sent;
    if (fit == OfferResult::kObsolete || priority.sent >= limit) {
      priorities_.erase(first->second);
    } else {
      again.emplace_back(priority, std::move(first->second));
    }
    order_.erase(first);
  }
  for (auto& [priority, name] : again) {
    priorities_[name] = priority;
    order_.emplace(priority, std::move(name));
  }
}

}  // namespace pearreach::coordination
