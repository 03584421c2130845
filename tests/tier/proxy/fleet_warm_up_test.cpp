// When a node waits for workers after a start.
#include "tier/proxy/fleet_warm_up.h"

#include <cppunit/extensions/HelperMacros.h>

#include "proxy_rig.h"

namespace pearreach::proxy {
namespace {

using coordination::MemberInfo;
using coordination::MemberStatus;

constexpr Micros kBegan = 5 * kSecond, kLearn = 2 * kSecond;
constexpr std::uint64_t kStart = 1'000'000;  // of the node under test, in ms of the time of day

class FleetStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetStartTest);
  CPPUNIT_TEST(WaitsWhileAllAreNew);
  CPPUNIT_TEST(DoesNotWaitWhereAnOlderNodeLives);
  CPPUNIT_TEST(PassesOverTheDeadAndOtherRoles);
  CPPUNIT_TEST(WaitsForNothingWithoutATime);
  CPPUNIT_TEST_SUITE_END();

  void Add(const std::string& name, std::uint64_t incarnation,
           std::uint8_t roles = MemberInfo::kServesEdge,
           MemberStatus status = MemberStatus::kAlive) {
    coordination::Member& member = control_.members_[name];
    member.info.name = name;
    member.info.incarnation = incarnation;
    member.info.roles = roles;
    member.status = status;
  }

  FakeControl control_;
  const FleetWarmUp start_{&control_, "me", kBegan, kLearn};

 public:
  void setUp() override {
    Add("me", kStart);
    Add("other", kStart - 1500);
  }

  void WaitsWhileAllAreNew() {
    CPPUNIT_ASSERT_EQUAL(kBegan + kLearn, start_.WarmUpDeadline(kBegan));
    CPPUNIT_ASSERT_EQUAL(kBegan + kLearn, start_.WarmUpDeadline(kBegan + kLearn - 1));
    CPPUNIT_ASSERT_EQUAL(Micros{0}, start_.WarmUpDeadline(kBegan + kLearn));
  }

  void DoesNotWaitWhereAnOlderNodeLives() {
    Add("old", kStart - 2001);
    CPPUNIT_ASSERT_EQUAL(Micros{0}, start_.WarmUpDeadline(kBegan));
    Add("old", kStart - 2001, MemberInfo::kServesEdge, MemberStatus::kSuspect);
    CPPUNIT_ASSERT_EQUAL(Micros{0}, start_.WarmUpDeadline(kBegan));
  }

  void PassesOverTheDeadAndOtherRoles() {
    Add("dead", kStart - 60'000, MemberInfo::kServesEdge, MemberStatus::kDead);
    Add("left", kStart - 60'000, MemberInfo::kServesEdge, MemberStatus::kLeft);
    Add("store", kStart - 60'000, MemberInfo::kServesStorage);
    CPPUNIT_ASSERT_EQUAL(kBegan + kLearn, start_.WarmUpDeadline(kBegan));
  }

  void WaitsForNothingWithoutATime() {
    const FleetWarmUp none(&control_, "me", kBegan, 0);
    CPPUNIT_ASSERT_EQUAL(Micros{0}, none.WarmUpDeadline(kBegan));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStartTest);

}  // namespace
}  // namespace pearreach::proxy
