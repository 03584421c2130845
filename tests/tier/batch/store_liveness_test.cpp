// When a store counts as gone for the placement of partitions.
#include "tier/batch/store_liveness.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pearreach::batch {
namespace {

using coordination::Member;
using coordination::MemberInfo;
using coordination::MemberStatus;

constexpr Micros kSuspectTimeout = 250 * kMs;
constexpr Micros kReturn = 3 * kSecond;
constexpr Micros kStart = 10 * kSecond;

std::map<std::string, Member> One(MemberStatus status, const std::string& disk = "d") {
  Member member;
  member.info.name = "s0";
  member.info.zone = "z";
  member.info.disk_id = disk;
  member.info.roles = MemberInfo::kServesStorage;
  member.status = status;
  return {{"s0", member}};
}

class StoreLivenessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreLivenessTest);
  CPPUNIT_TEST(SuspectIsGoneAfterTheTimeout);
  CPPUNIT_TEST(RefutationRestartsTheTimeout);
  CPPUNIT_TEST(AwaitsReturnOfStores);
  CPPUNIT_TEST(UnknownStoreIsGone);
  CPPUNIT_TEST(UnresponsiveStoreIsGoneUntilItResponds);
  CPPUNIT_TEST(NewDiskIsNotUnresponsive);
  CPPUNIT_TEST_SUITE_END();

  StoreLiveness liveness_{kSuspectTimeout};
  StoreCondition At(Micros time, MemberStatus status) {
    return liveness_.Update(kStart + time, One(status)).at("s0").condition;
  }

 public:
  void SuspectIsGoneAfterTheTimeout() {
    CPPUNIT_ASSERT(At(0, MemberStatus::kAlive) == StoreCondition::kLive);
    CPPUNIT_ASSERT_EQUAL(Micros{0}, liveness_.NextSuspectTimeout());
    CPPUNIT_ASSERT(At(100 * kMs, MemberStatus::kSuspect) == StoreCondition::kUncertain);
    CPPUNIT_ASSERT_EQUAL(kStart + 100 * kMs + kSuspectTimeout, liveness_.NextSuspectTimeout());
    CPPUNIT_ASSERT(At(349 * kMs, MemberStatus::kSuspect) == StoreCondition::kUncertain);
    CPPUNIT_ASSERT(At(350 * kMs, MemberStatus::kSuspect) == StoreCondition::kGone);
    CPPUNIT_ASSERT(At(400 * kMs, MemberStatus::kDead) == StoreCondition::kGone);
    CPPUNIT_ASSERT(At(500 * kMs, MemberStatus::kAlive) == StoreCondition::kLive);
  }

  void RefutationRestartsTheTimeout() {
    At(0, MemberStatus::kSuspect);
    At(200 * kMs, MemberStatus::kAlive);
    CPPUNIT_ASSERT(At(220 * kMs, MemberStatus::kSuspect) == StoreCondition::kUncertain);
    CPPUNIT_ASSERT(At(300 * kMs, MemberStatus::kSuspect) == StoreCondition::kUncertain);
  }

  void AwaitsReturnOfStores() {
    At(0, MemberStatus::kAlive);
    CPPUNIT_ASSERT(!liveness_.MayReturn(kStart, kReturn));
    At(kSecond, MemberStatus::kSuspect);
    CPPUNIT_ASSERT(liveness_.MayReturn(kStart + kSecond, kReturn));
    At(2 * kSecond, MemberStatus::kDead);
    CPPUNIT_ASSERT(liveness_.MayReturn(kStart + 2 * kSecond + kReturn - 1, kReturn));
    CPPUNIT_ASSERT(!liveness_.MayReturn(kStart + 2 * kSecond + kReturn, kReturn));
    At(3 * kSecond, MemberStatus::kAlive);
    CPPUNIT_ASSERT(!liveness_.MayReturn(kStart + 3 * kSecond, kReturn));
    CPPUNIT_ASSERT_EQUAL(kStart + 3 * kSecond, liveness_.changed());
  }

  void UnknownStoreIsGone() {
    auto stores = liveness_.Update(kStart, One(MemberStatus::kAlive));
    liveness_.AddUnknown(kStart, {"s0", "d"}, &stores);
    liveness_.AddUnknown(kStart, {"s9", "d"}, &stores);
    CPPUNIT_ASSERT(stores.at("s0").condition == StoreCondition::kLive);
    CPPUNIT_ASSERT(stores.at("s9").condition == StoreCondition::kGone);
  }

  void UnresponsiveStoreIsGoneUntilItResponds() {
    At(0, MemberStatus::kAlive);
    liveness_.MarkUnresponsive(kStart, {"s0", "d"});
    CPPUNIT_ASSERT(At(kMs, MemberStatus::kAlive) == StoreCondition::kGone);
    CPPUNIT_ASSERT(liveness_.MayReturn(kStart + kMs, kReturn));
    liveness_.MarkResponsive(kStart + 2 * kMs, {"s0", "d"});
    CPPUNIT_ASSERT(At(3 * kMs, MemberStatus::kAlive) == StoreCondition::kLive);
    CPPUNIT_ASSERT(!liveness_.MayReturn(kStart + 3 * kMs, kReturn));
  }

  void NewDiskIsNotUnresponsive() {
    At(0, MemberStatus::kAlive);
    liveness_.MarkUnresponsive(kStart, {"s0", "d"});
    const auto stores = liveness_.Update(kStart + kMs, One(MemberStatus::kAlive, "new"));
    CPPUNIT_ASSERT(stores.at("s0").condition == StoreCondition::kLive);
    CPPUNIT_ASSERT(liveness_.unresponsive().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreLivenessTest);

}  // namespace
}  // namespace pearreach::batch
