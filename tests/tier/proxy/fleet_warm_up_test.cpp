// Conditions under which a node waits for workers after its start.
#include "tier/proxy/fleet_warm_up.h"

#include <cppunit/extensions/HelperMacros.h>

#include "proxy_rig.h"

namespace pearreach::proxy {
namespace {

using coordination::MemberInfo;
using coordination::MemberStatus;

constexpr Micros kStartedAt = 5 * kSecond, kDiscoveryTime = 2 * kSecond;
// incarnation of the node under test: Unix time in milliseconds
constexpr std::uint64_t kIncarnation = 1'000'000;

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
  const FleetWarmUp warm_up_{&control_, "me", kStartedAt, kDiscoveryTime};

 public:
  void setUp() override {
    Add("me", kIncarnation);
    Add("other", kIncarnation - 1500);
  }

  void WaitsWhileAllAreNew() {
    CPPUNIT_ASSERT_EQUAL(kStartedAt + kDiscoveryTime, warm_up_.WarmUpDeadline(kStartedAt));
    CPPUNIT_ASSERT_EQUAL(kStartedAt + kDiscoveryTime,
                         warm_up_.WarmUpDeadline(kStartedAt + kDiscoveryTime - 1));
    CPPUNIT_ASSERT_EQUAL(Micros{0}, warm_up_.WarmUpDeadline(kStartedAt + kDiscoveryTime));
  }

  void DoesNotWaitWhereAnOlderNodeLives() {
    Add("old", kIncarnation - 2001);
    CPPUNIT_ASSERT_EQUAL(Micros{0}, warm_up_.WarmUpDeadline(kStartedAt));
    Add("old", kIncarnation - 2001, MemberInfo::kServesEdge, MemberStatus::kSuspect);
    CPPUNIT_ASSERT_EQUAL(Micros{0}, warm_up_.WarmUpDeadline(kStartedAt));
  }

  void PassesOverTheDeadAndOtherRoles() {
    Add("dead", kIncarnation - 60'000, MemberInfo::kServesEdge, MemberStatus::kDead);
    Add("left", kIncarnation - 60'000, MemberInfo::kServesEdge, MemberStatus::kLeft);
    Add("store", kIncarnation - 60'000, MemberInfo::kServesStorage);
    CPPUNIT_ASSERT_EQUAL(kStartedAt + kDiscoveryTime, warm_up_.WarmUpDeadline(kStartedAt));
  }

  void WaitsForNothingWithoutATime() {
    const FleetWarmUp none(&control_, "me", kStartedAt, 0);
    CPPUNIT_ASSERT_EQUAL(Micros{0}, none.WarmUpDeadline(kStartedAt));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStartTest);

}  // namespace
}  // namespace pearreach::proxy
