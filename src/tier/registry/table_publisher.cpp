#include "tier/registry/table_publisher.h"

#include <algorithm>

namespace pearreach::registry {
namespace {

// The delay between two tables grows with what building one costs.
constexpr Micros kDelayPerWorker = 20;
constexpr Micros kMaxDelay = 50 * kMs;

}  // namespace

void TablePublisher::Publish(bool urgent) {
  if (urgent) return PublishNow();
  if (timer_ != 0) return;
  const Micros now = time_->Now();
  const auto workers = static_cast<Micros>(state_->size());
  const Micros delay = std::min(workers * kDelayPerWorker, kMaxDelay);
  if (now - published_at_ >= delay) return PublishNow();
  timer_ = time_->After(published_at_ + delay - now, callbacks_.Bind([this] {
    timer_ = 0;
    PublishNow();
  }));
}

void TablePublisher::PublishNow() {
  time_->Cancel(&timer_);
  published_at_ = time_->Now();
  table_ = state_->BuildTable();
  for (const auto& listener : listeners_) listener();
}

}  // namespace pearreach::registry
