// When a store counts as gone for the placement of partitions.
#include "tier/batch/store_liveness.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pearreach::batch {
namespace {

using coordination::Member;
using coordination::MemberInfo;
using coordination::MemberStatus;

constexpr Micros kSilentAfter = 250 * kMs;
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

class StorePresenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StorePresenceTest);
  CPPUNIT_TEST(ASuspectThatStaysSilentIsGone);
  CPPUNIT_TEST(ARefutationStartsAnew);
  CPPUNIT_TEST(AwaitsTheReturnOfWhatWentAway);
  CPPUNIT_TEST(AStoreThatWasNeverHeardIsGone);
  CPPUNIT_TEST(AStoreThatDoesNotAnswerIsGoneUntilItDoes);
  CPPUNIT_TEST(ANewDiskIsNotTheSilentOne);
  CPPUNIT_TEST_SUITE_END();

  StoreLiveness presence_{kSilentAfter};
  StoreCondition At(Micros time, MemberStatus status) {
    return presence_.Update(kStart + time, One(status)).at("s0").condition;
  }

 public:
  void ASuspectThatStaysSilentIsGone() {
    CPPUNIT_ASSERT(At(0, MemberStatus::kAlive) == StoreCondition::kLive);
    CPPUNIT_ASSERT_EQUAL(Micros{0}, presence_.NextSilence());
    CPPUNIT_ASSERT(At(100 * kMs, MemberStatus::kSuspect) == StoreCondition::kUncertain);
    CPPUNIT_ASSERT_EQUAL(kStart + 100 * kMs + kSilentAfter, presence_.NextSilence());
    CPPUNIT_ASSERT(At(349 * kMs, MemberStatus::kSuspect) == StoreCondition::kUncertain);
    CPPUNIT_ASSERT(At(350 * kMs, MemberStatus::kSuspect) == StoreCondition::kGone);
    CPPUNIT_ASSERT(At(400 * kMs, MemberStatus::kDead) == StoreCondition::kGone);
    CPPUNIT_ASSERT(At(500 * kMs, MemberStatus::kAlive) == StoreCondition::kLive);
  }

  void ARefutationStartsAnew() {
    At(0, MemberStatus::kSuspect);
    At(200 * kMs, MemberStatus::kAlive);
    CPPUNIT_ASSERT(At(220 * kMs, MemberStatus::kSuspect) == StoreCondition::kUncertain);
    CPPUNIT_ASSERT(At(300 * kMs, MemberStatus::kSuspect) == StoreCondition::kUncertain);
  }

  void AwaitsTheReturnOfWhatWentAway() {
    At(0, MemberStatus::kAlive);
    CPPUNIT_ASSERT(!presence_.AwaitsReturn(kStart, kReturn));
    At(kSecond, MemberStatus::kSuspect);
    CPPUNIT_ASSERT(presence_.AwaitsReturn(kStart + kSecond, kReturn));
    At(2 * kSecond, MemberStatus::kDead);
    CPPUNIT_ASSERT(presence_.AwaitsReturn(kStart + 2 * kSecond + kReturn - 1, kReturn));
    CPPUNIT_ASSERT(!presence_.AwaitsReturn(kStart + 2 * kSecond + kReturn, kReturn));
    At(3 * kSecond, MemberStatus::kAlive);
    CPPUNIT_ASSERT(!presence_.AwaitsReturn(kStart + 3 * kSecond, kReturn));
    CPPUNIT_ASSERT_EQUAL(kStart + 3 * kSecond, presence_.changed());
  }

  void AStoreThatWasNeverHeardIsGone() {
    auto stores = presence_.Update(kStart, One(MemberStatus::kAlive));
    presence_.AddUnheard(kStart, {"s0", "d"}, &stores);
    presence_.AddUnheard(kStart, {"s9", "d"}, &stores);
    CPPUNIT_ASSERT(stores.at("s0").condition == StoreCondition::kLive);
    CPPUNIT_ASSERT(stores.at("s9").condition == StoreCondition::kGone);
  }

  void AStoreThatDoesNotAnswerIsGoneUntilItDoes() {
    At(0, MemberStatus::kAlive);
    presence_.MarkUnresponsive(kStart, {"s0", "d"});
    CPPUNIT_ASSERT(At(kMs, MemberStatus::kAlive) == StoreCondition::kGone);
    CPPUNIT_ASSERT(presence_.AwaitsReturn(kStart + kMs, kReturn));
    presence_.MarkResponsive(kStart + 2 * kMs, {"s0", "d"});
    CPPUNIT_ASSERT(At(3 * kMs, MemberStatus::kAlive) == StoreCondition::kLive);
    CPPUNIT_ASSERT(!presence_.AwaitsReturn(kStart + 3 * kMs, kReturn));
  }

  void ANewDiskIsNotTheSilentOne() {
    At(0, MemberStatus::kAlive);
    presence_.MarkUnresponsive(kStart, {"s0", "d"});
    const auto stores = presence_.Update(kStart + kMs, One(MemberStatus::kAlive, "new"));
    CPPUNIT_ASSERT(stores.at("s0").condition == StoreCondition::kLive);
    CPPUNIT_ASSERT(presence_.unresponsive().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StorePresenceTest);

}  // namespace
}  // namespace pearreach::batch
