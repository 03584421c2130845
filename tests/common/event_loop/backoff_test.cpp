// Callers that failed together must not come again together, and not more often than they may.
#include "common/event_loop/backoff.h"

#include <gtest/gtest.h>

#include <map>

namespace pearreach {
namespace {

constexpr Backoff::Micros kMs = 1000;

// A hundred nodes begin at one moment, or are told then that discovery is busy. In no second come
// many more than the 20 that it serves: it works on those that have waited too long, too, and would
// be late for ever.
TEST(Backoff, AFleetThatBeginsOrFailsTogetherComesApart) {
  std::map<Backoff::Micros, int> first, again;
  for (std::uint64_t node = 0; node < 100; ++node) {
    Backoff backoff(20 * kMs, 10'000 * kMs, node);
    ++first[backoff.Spread(5000 * kMs) / (1000 * kMs)];
    Backoff::Micros at = 0;
    for (int i = 0; i < 6; ++i) {
      at += backoff.Next(5000 * kMs);
      ++again[at / (1000 * kMs)];
    }
  }
  for (const auto& [second, n] : first) EXPECT_LE(n, 30) << "in second " << second;
  for (const auto& [second, n] : again) EXPECT_LE(n, 60) << "in second " << second;
}

TEST(Backoff, WaitsDoubleUpToTheBoundAndBeginAnewAfterASuccess) {
  Backoff backoff(20 * kMs, 1000 * kMs, 7);
  Backoff::Micros bound = 20 * kMs;
  for (int i = 0; i < 12; ++i, bound = std::min(2 * bound, 1000 * kMs)) {
    const Backoff::Micros wait = backoff.Next();
    EXPECT_GE(wait, bound / 2);
    EXPECT_LE(wait, bound);
  }
  backoff.Succeed();
  EXPECT_FALSE(backoff.failing());
  EXPECT_LE(backoff.Next(), 20 * kMs);
  EXPECT_GE(backoff.Next(500 * kMs), 250 * kMs) << "a busy other side is left alone at once";
}

}  // namespace
}  // namespace pearreach
