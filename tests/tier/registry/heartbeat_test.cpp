// Bodies of heartbeats, as workers and others send them.
#include "tier/registry/heartbeat.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace pearreach::registry {
namespace {

constexpr char kBody[] =
    R"({"target":"demo","address":"10.0.0.1:80","zone":"a","capacity":4,"phase":"ready",)"
    R"("warmup_left_ms":0,"call_seq":7})";
constexpr std::size_t kDeep = 200'000;  // more than the stack of a process holds

class HeartbeatTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeartbeatTest);
  CPPUNIT_TEST(ReadsARecord);
  CPPUNIT_TEST(RejectsDeeplyNestedBodies);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsARecord() {
    const auto record = ParseHeartbeat("w", kBody, 0);
    CPPUNIT_ASSERT(record.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("demo"), record->service);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, record->call_seq);
    CPPUNIT_ASSERT_EQUAL(4, record->capacity);
  }

  // One body of 200,000 brackets ended an edge node by SIGSEGV.
  void RejectsDeeplyNestedBodies() {
    const std::string open(kDeep, '[');
    const std::string objects = [] {
      std::string text;
      for (std::size_t depth = 0; depth < kDeep; ++depth) text += R"({"a":)";
      return text;
    }();
    std::string unknown = kBody;
    unknown.insert(unknown.size() - 1, ",\"more\":" + open + std::string(kDeep, ']'));
    CPPUNIT_ASSERT(absl::IsInvalidArgument(ParseHeartbeat("w", open, 0).status()));
    CPPUNIT_ASSERT(absl::IsInvalidArgument(ParseHeartbeat("w", objects, 0).status()));
    CPPUNIT_ASSERT(ParseHeartbeat("w", unknown, 0).ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeartbeatTest);

}  // namespace
}  // namespace pearreach::registry
