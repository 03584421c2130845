#include "tier/quota/grant_pool.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace pearreach::quota {
namespace {

constexpr double kRateSpan = 1.0;  // seconds over which arrivals are averaged
// Grants are asked for this long ahead of their use: a small part of their life, so that few are
// left over when demand ends.
constexpr double kPrefetchTime = 0.1;  // seconds
constexpr Micros kIdleTime = 10 * kSecond;
constexpr std::uint32_t kMaxGrant = 10'000;

double SecondsBetween(Micros from, Micros to) {
  return static_cast<double>(std::max<Micros>(to - from, 0)) / static_cast<double>(kSecond);
}

}  // namespace

void GrantPool::NoteArrival(Micros now) {
  arrivals_ = arrivals_ * std::exp(-SecondsBetween(counted_at_, now) / kRateSpan) + 1;
  counted_at_ = now;
}

double GrantPool::ArrivalRate(Micros now) const {
  return arrivals_ * std::exp(-SecondsBetween(counted_at_, now) / kRateSpan) / kRateSpan;
}

void GrantPool::DropExpiredGrants(Micros now) {
  std::erase_if(grants_, [now](const Grant& grant) { return grant.expires <= now; });
}

bool GrantPool::SpendOne(Micros now) {
  DropExpiredGrants(now);
  if (grants_.empty()) return false;
  // The one that expires first.
  const auto grant =
      std::min_element(grants_.begin(), grants_.end(),
                       [](const Grant& a, const Grant& b) { return a.expires < b.expires; });
  if (--grant->count == 0) grants_.erase(grant);
  return true;
}

bool GrantPool::TakeOne(Micros now) {
  NoteArrival(now);
  // Those that wait already come first.
  return waiting_.empty() && SpendOne(now);
}

bool GrantPool::Withdraw(AcquisitionId id) {
  const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                  [id](const Waiting& waiting) { return waiting.id == id; });
  if (found == waiting_.end()) return false;
  waiting_.erase(found);
  return true;
}

void GrantPool::AddGrant(std::uint32_t count, Micros expires) {
  if (count > 0) grants_.push_back({count, expires});
}

std::vector<GrantPool::Waiting> GrantPool::TakeCovered(Micros now) {
  std::vector<Waiting> covered;
  while (!waiting_.empty() && SpendOne(now)) {
    covered.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  return covered;
}

std::vector<GrantPool::Waiting> GrantPool::TakeExpired(Micros now) {
  std::vector<Waiting> expired;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (at->deadline > now) {
      ++at;
      continue;
    }
    expired.push_back(std::move(*at));
    at = waiting_.erase(at);
  }
  return expired;
}

std::vector<GrantPool::Waiting> GrantPool::TakeAll() {
  return TakeExpired(std::numeric_limits<Micros>::max());
}

std::optional<Micros> GrantPool::NextDeadline() const {
  std::optional<Micros> earliest;
  for (const Waiting& waiting : waiting_)
    earliest = std::min(earliest.value_or(waiting.deadline), waiting.deadline);
  return earliest;
}

std::uint32_t GrantPool::WantedGrants(Micros now) const {
  const auto ahead = static_cast<std::uint32_t>(
      std::min(ArrivalRate(now) * kPrefetchTime, static_cast<double>(kMaxGrant)));
  return std::min(static_cast<std::uint32_t>(waiting_.size()) + ahead, kMaxGrant);
}

bool GrantPool::IsIdle(Micros now) const {
  return waiting_.empty() && now - counted_at_ > kIdleTime;
}

}  // namespace pearreach::quota
