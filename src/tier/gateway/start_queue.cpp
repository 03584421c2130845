#include "tier/gateway/start_queue.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <utility>

namespace pearreach::gateway {
namespace {

// Clients that send no deadline are assumed to disconnect after one second without a response.
constexpr Micros kDefaultMaxWait = 900 * kMs;
// The rest of the deadline is left for a refusal and its way to the client.
constexpr double kDeadlineFraction = 0.9;
// Limit for the bodies of all waiting requests: a small part of the memory of the smallest machine
// (160 MB).
constexpr std::size_t kMaxBytes = 16 << 20;

std::optional<double> DeadlineMs(const http::Message& request) {
  const std::string* text = request.Find("X-Deadline-Ms");
  if (text == nullptr) return std::nullopt;
  double value = 0;
  const char* const end = text->data() + text->size();
  const auto read = std::from_chars(text->data(), end, value);
  if (read.ec != std::errc() || read.ptr != end || !(value >= 0)) return std::nullopt;
  return value;
}

Micros MaxWait(const http::Message& request) {
  const std::optional<double> deadline = DeadlineMs(request);
  if (!deadline.has_value()) return kDefaultMaxWait;
  return static_cast<Micros>(*deadline * kDeadlineFraction * static_cast<double>(kMs));
}

}  // namespace

StartQueue::~StartQueue() {
  for (auto& [number, held] : held_) timers_->Cancel(&held.timer);
}

bool StartQueue::Hold(std::shared_ptr<http_server::Exchange> exchange) {
  const std::size_t bytes = exchange->request().body.size();
  if (bytes_ + bytes > kMaxBytes) return false;
  const Micros wait_deadline = exchange->arrived() + MaxWait(exchange->request());
  const std::uint64_t number = ++last_number_;
  HeldRequest& held = held_[number];
  held.exchange = std::move(exchange);
  held.bytes = bytes;
  held.timer = timers_->After(std::max<Micros>(wait_deadline - Now(), 0),
                              [this, number] { OnWaitTimeout(number); });
  bytes_ += bytes;
  return true;
}

void StartQueue::OnWaitTimeout(std::uint64_t number) {
  const auto found = held_.find(number);
  if (found == held_.end()) return;
  const HeldRequest held = std::move(found->second);
  held_.erase(found);
  bytes_ -= held.bytes;
  if (held.exchange->open()) refuse_(held.exchange);
}

void StartQueue::Release(const Handler& handle) {
  std::map<std::uint64_t, HeldRequest> released = std::exchange(held_, {});
  bytes_ = 0;
  for (auto& [number, held] : released) timers_->Cancel(&held.timer);
  for (auto& [number, held] : released)
    if (held.exchange->open()) handle(std::move(held.exchange));
}

}  // namespace pearreach::gateway
