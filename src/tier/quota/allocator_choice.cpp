#include "tier/quota/allocator_choice.h"

#include <algorithm>

namespace pearreach::quota {
namespace {

constexpr Micros kFirstBackoff = 500 * kMs;
constexpr Micros kMaxBackoff = 4 * kSecond;
// Of what an allocator says about its next grant: others may take it first, or leave it.
constexpr Micros kMinEmptyTime = 50 * kMs;
constexpr Micros kMaxEmptyTime = 500 * kMs;

}  // namespace

void UnresponsiveAllocators::OnFailure(const std::string& name, Micros now) {
  Entry& entry = entries_[name];
  if (entry.until > now) return;  // one of several calls that failed together
  entry.backoff = entry.backoff == 0 ? kFirstBackoff : std::min(2 * entry.backoff, kMaxBackoff);
  entry.until = now + entry.backoff;
}

bool UnresponsiveAllocators::IsLeftOut(const std::string& name, Micros now) const {
  const auto found = entries_.find(name);
  return found != entries_.end() && found->second.until > now;
}

void EmptyAllocators::OnEmpty(const std::string& name, Micros retry_after, Micros now) {
  const Micros wait = retry_after == 0 ? kMaxEmptyTime : retry_after;
  until_[name] = now + std::clamp(wait, kMinEmptyTime, kMaxEmptyTime);
}

Micros EmptyAllocators::EmptyUntil(const std::string& name, Micros now) const {
  const auto found = until_.find(name);
  return found == until_.end() || found->second <= now ? 0 : found->second;
}

std::optional<Allocator> ChooseAllocator(const std::vector<Allocator>& allocators,
                                         const std::string& zone, const EmptyAllocators& empty,
                                         const UnresponsiveAllocators& unresponsive, Micros now,
                                         std::minstd_rand* random) {
  std::vector<const Allocator*> near, far;
  for (const Allocator& allocator : allocators) {
    if (empty.EmptyUntil(allocator.name, now) != 0) continue;
    if (unresponsive.IsLeftOut(allocator.name, now)) continue;
    (allocator.zone == zone ? near : far).push_back(&allocator);
  }
  const auto& best = near.empty() ? far : near;
  if (best.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> position(0, best.size() - 1);
  return *best[position(*random)];
}

Decision DecideWithoutAllocator(const std::vector<Allocator>& allocators,
                                const EmptyAllocators& empty, Micros now) {
  Decision decision;
  for (const Allocator& allocator : allocators) {
    const Micros until = empty.EmptyUntil(allocator.name, now);
    if (until == 0) continue;
    decision.verdict = Verdict::kOverLimit;
    const Micros wait = until - now;
    decision.retry_after = decision.retry_after == 0 ? wait : std::min(decision.retry_after, wait);
  }
  return decision;
}

}  // namespace pearreach::quota
