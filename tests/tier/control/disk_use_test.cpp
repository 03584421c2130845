#include "tier/control/disk_use.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace pearreach::control {
namespace {

class DiskUseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DiskUseTest);
  CPPUNIT_TEST(DetectsRolledBackDisk);
  CPPUNIT_TEST(MergeKeepsLatestUse);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Processes are named 1, 2, 3 in the order of their starts; 9 started on a disk put back.
  void DetectsRolledBackDisk() {
    const struct {
      std::string what;
      DiskUse found, own, reported;
      bool rolled_back;
    } cases[] = {
        {"first start", {}, {1, 1, 1}, {}, false},
        {"restart, heard of the last process", {1, 1, 50}, {2, 2, 51}, {1, 1, 50}, false},
        {"restart, heard less", {1, 1, 50}, {2, 2, 51}, {1, 1, 40}, false},
        {"restart, heard of the present one", {1, 1, 50}, {2, 2, 60}, {2, 2, 55}, false},
        {"nothing heard since the others started", {4, 4, 50}, {5, 5, 51}, {}, false},
        {"copy of the same process", {1, 1, 30}, {2, 9, 31}, {1, 1, 50}, true},
        {"copy from before the last start", {1, 1, 30}, {2, 9, 31}, {2, 2, 32}, true},
        {"copy from two starts ago", {1, 1, 30}, {2, 9, 31}, {3, 3, 90}, true},
        {"heard of the present process already", {1, 1, 30}, {2, 9, 31}, {2, 9, 50}, true},
    };
    for (const auto& test : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.what, test.rolled_back,
                                   IsRolledBack(test.found, test.own, test.reported));
    }
  }

  void MergeKeepsLatestUse() {
    const struct {
      DiskUse known, reported, later;
    } cases[] = {
        {{}, {1, 1, 5}, {1, 1, 5}},           {{1, 1, 5}, {1, 1, 9}, {1, 1, 9}},
        {{1, 1, 9}, {1, 1, 5}, {1, 1, 9}},    {{1, 1, 9}, {2, 2, 10}, {2, 2, 10}},
        {{2, 2, 10}, {1, 1, 9}, {2, 2, 10}},   // late words of an earlier process
        {{1, 1, 50}, {2, 9, 31}, {2, 9, 50}},  // the writes are not forgotten
        {{2, 2, 50}, {2, 9, 31}, {2, 2, 50}},
    };
    for (const auto& test : cases) {
      CPPUNIT_ASSERT(MergeDiskUse(test.known, test.reported) == test.later);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiskUseTest);

}  // namespace
}  // namespace pearreach::control
