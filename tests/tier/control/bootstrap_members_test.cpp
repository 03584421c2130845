#include "tier/control/bootstrap_members.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pearreach::control {
namespace {

using coordination::MemberInfo;

class BootstrapMembersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BootstrapMembersTest);
  CPPUNIT_TEST(ChoosesSameMembersOnAllNodes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChoosesSameMembersOnAllNodes() {
    struct Case {
      std::string what;
      std::vector<int> quorum, non_members;  // last parts of the IPs that are known
      bool seed_wait_over;
      std::string expected;  // "?": not decided
    };
    // The seeds are 1, 2 and 3.
    const Case cases[] = {
        {"all seeds are quorum members", {1, 2, 3}, {}, false, "n1 n2 n3 "},
        {"others are not founders", {1, 2, 3, 4, 5}, {6}, false, "n1 n2 n3 "},
        {"a seed is no quorum member", {1, 2}, {3}, false, "n1 n2 "},
        {"one seed is not known yet", {1, 2}, {}, false, "?"},
        {"one seed never shows up", {1, 2}, {}, true, "n1 n2 "},
        {"two never show up: another node may choose otherwise", {1}, {}, true, "?"},
        {"one of two possible founders", {1}, {2}, true, "?"},
        {"the only quorum member among the seeds", {1}, {2, 3}, false, "n1 "},
        {"no seed is a quorum member, still waiting", {4, 5}, {1, 2, 3}, false, "?"},
        {"no seed is a quorum member", {4, 5, 6, 7}, {1, 2, 3}, true, "n4 n5 n6 "},
        {"nobody is a quorum member", {}, {1, 2, 3}, true, "?"},
        {"nothing is known", {}, {}, true, "?"},
    };
    for (const Case& c : cases) {
      members_.clear();
      for (const int ip : c.quorum) Add(ip, MemberInfo::kQuorumMember);
      for (const int ip : c.non_members) Add(ip, MemberInfo::kServesEdge);
      const auto chosen = ChooseBootstrapMembers(
          members_, {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"}, c.seed_wait_over);
      std::string names = chosen.has_value() ? "" : "?";
      if (chosen.has_value()) {
        for (const auto& id : *chosen) names += id.name + " ";
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.what, c.expected, names);
    }
  }

 private:
  void Add(int ip, std::uint8_t roles) {
    const std::string name = "n" + std::to_string(ip);
    coordination::Member& member = members_[name];
    member.info.name = name;
    member.info.address = "10.0.0." + std::to_string(ip) + ":7";
    member.info.disk_id = "d" + std::to_string(ip);
    member.info.roles = roles;
  }

  MemberMap members_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BootstrapMembersTest);

}  // namespace
}  // namespace pearreach::control
