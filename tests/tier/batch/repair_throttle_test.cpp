// The pace of repair over all partitions of a store, in virtual time.
#include "tier/batch/repair_throttle.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <utility>
#include <vector>

namespace pearreach::batch {
namespace {

constexpr std::size_t kChunkBytes = 10'000;
constexpr double kRate = 1'000'000;

class RepairThrottleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RepairThrottleTest);
  CPPUNIT_TEST(StaysWithinItsRate);
  CPPUNIT_TEST(LimitsCallsInFlight);
  CPPUNIT_TEST(UrgentRepairsGoAtOnceAndCount);
  CPPUNIT_TEST(UnwantedRepairsTakeNoTime);
  CPPUNIT_TEST(RateFollowsLinkAndBacklog);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    now_ = kSecond;
    sent_.clear();
    events_.clear();
    repair_throttle_ = std::make_unique<RepairThrottle>(
        RepairThrottle::Environment{[this] { return now_; },
                                    [this](Micros delay, std::function<void()> callback) {
                                      events_.emplace(now_ + delay, std::move(callback));
                                    }});
    repair_throttle_->SetRate(kRate);
  }

  void StaysWithinItsRate() {
    for (int i = 0; i < 300; ++i) repair_throttle_->Schedule(false, MakeChunk());
    RunUntil(now_ + kSecond);
    CPPUNIT_ASSERT(sent_.size() >= 100 && sent_.size() <= 101);
    RunUntil(now_ + 3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{300}, sent_.size());
  }

  void LimitsCallsInFlight() {
    std::vector<RepairThrottle::Slot> held;
    for (int i = 0; i < 20; ++i) {
      repair_throttle_->Schedule(false, [&](RepairThrottle::Slot slot) {
        held.push_back(std::move(slot));
        return kChunkBytes;
      });
    }
    RunUntil(now_ + 10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, held.size());
    held.erase(held.begin());
    RunUntil(now_ + kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, held.size());
    held.clear();
    RunUntil(now_ + kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, held.size());
  }

  void UrgentRepairsGoAtOnceAndCount() {
    for (int i = 0; i < 50; ++i) repair_throttle_->Schedule(false, MakeChunk());
    for (int i = 0; i < 10; ++i) repair_throttle_->Schedule(true, MakeChunk());
    RunUntil(now_ + kMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, sent_.size());
    RunUntil(now_ + 98 * kMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, sent_.size());
    RunUntil(now_ + 2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{60}, sent_.size());
  }

  void UnwantedRepairsTakeNoTime() {
    for (int i = 0; i < 100; ++i)
      repair_throttle_->Schedule(false, [](const auto&) { return std::size_t{0}; });
    repair_throttle_->Schedule(false, MakeChunk());
    RunUntil(now_ + kMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent_.size());
  }

  void RateFollowsLinkAndBacklog() {
    constexpr double kLinkBytes = 60 * 125'000;
    CPPUNIT_ASSERT_EQUAL(kLinkBytes / 4, RepairRate(60, 0, 5));
    CPPUNIT_ASSERT_EQUAL(4e6, RepairRate(60, 10'000'000, 5));
    CPPUNIT_ASSERT_EQUAL(kLinkBytes * 3 / 4, RepairRate(60, 100'000'000, 5));
    CPPUNIT_ASSERT(RepairRate(0, 0, 0) > 0);
  }

 private:
  RepairThrottle::Send MakeChunk() {
    return [this](const RepairThrottle::Slot&) {
      sent_.push_back(now_);
      return kChunkBytes;
    };
  }
  void RunUntil(Micros end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      auto node = events_.extract(events_.begin());
      now_ = std::max(now_, node.key());
      node.mapped()();
    }
    now_ = end;
  }

  Micros now_ = 0;
  std::vector<Micros> sent_;
  std::multimap<Micros, std::function<void()>> events_;
  std::unique_ptr<RepairThrottle> repair_throttle_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepairThrottleTest);

}  // namespace
}  // namespace pearreach::batch
