#include "tier/batch/shutdown_check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace pearreach::batch {
namespace {

// "a1 b2": stores by name and disk.
std::vector<StoreId> Ids(const std::string& text) {
  std::vector<StoreId> ids;
  for (std::size_t i = 0; i + 1 < text.size(); i += 3) {
    ids.push_back({text.substr(i, 1), text.substr(i + 1, 1)});
  }
  return ids;
}

class ShutdownCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShutdownCheckTest);
  CPPUNIT_TEST(RefusesShutdownWithTheOnlyReplica);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Of store a1; one partition with these replicas and joining stores, one of others.
  void RefusesShutdownWithTheOnlyReplica() {
    const struct {
      std::string what, replicas, joining, live;
      bool may_shut_down;
    } cases[] = {
        {"another holds all", "a1 b1", "", "a1 b1 c1", true},
        {"a backup", "b1 a1", "", "a1 b1 c1", true},
        {"the other is down", "a1 b1", "", "a1 c1", false},
        {"the other came back with another disk", "a1 b1", "", "a1 b2 c1", false},
        {"the only one", "a1", "", "a1 b1 c1", false},
        {"the only one, another is being filled", "a1", "b1", "a1 b1 c1", false},
        {"it is being filled itself", "b1", "a1", "a1 b1 c1", true},
        {"its disk before", "a0 b1", "", "a1 b1 c1", true},
        {"holds nothing", "b1 c1", "", "a1", true},
        {"one of two others is there", "a1 b1 c1", "", "a1 c1", true},
    };
    for (const auto& test : cases) {
      PlacementTable table;
      table.partitions.push_back({1, Ids("b1 c1"), {}});
      table.partitions.push_back({1, Ids(test.replicas), Ids(test.joining)});
      const auto ids = Ids(test.live);
      const std::set<StoreId> live(ids.begin(), ids.end());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.what, test.may_shut_down,
                                   PeersHoldAllData(table, {"a", "1"}, [&](const StoreId& id) {
                                     return live.count(id) > 0;
                                   }));
    }
    CPPUNIT_ASSERT(PeersHoldAllData({}, {"a", "1"}, [](const StoreId&) { return false; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownCheckTest);

}  // namespace
}  // namespace pearreach::batch
