// Splitting a text/event-stream that arrives in pieces of any size.
#include "tier/proxy/event_splitter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace pearreach::proxy {
namespace {

class EventSplitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(SplitsAtEveryLineEnd);
  CPPUNIT_TEST(DeliversAnEventAtItsLastByte);
  CPPUNIT_TEST_SUITE_END();

  struct Case {
    std::string bytes;
    std::vector<std::uint64_t> ids;  // of the events; 0: none
    std::string rest;
    bool inside_event;
  };

  // The bytes of all events and the rest are those that came.
  static void Check(const Case& c, std::size_t piece) {
    EventSplitter events;
    std::string passed;
    std::vector<std::uint64_t> ids;
    for (std::size_t at = 0; at < c.bytes.size(); at += piece) {
      events.Append(std::string_view(c.bytes).substr(at, piece));
      StreamEvent event;
      while (events.Next(&event)) {
        passed += event.bytes;
        ids.push_back(event.id.value_or(0));
      }
    }
    CPPUNIT_ASSERT_MESSAGE(c.bytes, c.ids == ids);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(c.bytes, c.inside_event, events.InsideEvent());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(c.bytes, c.bytes, passed + std::string(events.Rest()));
    if (piece >= c.bytes.size())
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.bytes, c.rest, std::string(events.Rest()));
  }

 public:
  void SplitsAtEveryLineEnd() {
    const std::vector<Case> cases = {
        {"", {}, "", false},
        {"id: 1\ndata: a\n\nid:2\ndata: b\n\n", {1, 2}, "", false},
        {"id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", {1, 2}, "", false},
        {"id: 1\rdata: a\r\rid: 2\r\r", {1, 2}, "", false},
        {"id: 1\r\ndata: a\n\rid: 2\n\r\n", {1, 2}, "", false},
        {"id: 1\n\nid: 2", {1}, "id: 2", true},
        {"id: 1\n\nid: 2\n", {1}, "id: 2\n", true},
        {"id: 1\r\n\r\nid: 2\r\n", {1}, "id: 2\r\n", true},
        {"id: 1\r\rid: 2\r", {1}, "id: 2\r", true},
        {"data: a\n\n: comment", {0}, ": comment", false},
        {"data: a\n\n: comment\n", {0}, ": comment\n", false},
        {"data: a\n\n: comment\ndata", {0}, ": comment\ndata", true},
        {"data: a\n\ndata\n: comment\n", {0}, "data\n: comment\n", true},
    };
    for (const Case& c : cases)
      for (const std::size_t piece :
           {std::size_t{1}, std::size_t{2}, std::size_t{3}, c.bytes.size() + 1})
        Check(c, piece);
  }

  // In a stream of CR nothing is held back for a line feed that may follow.
  void DeliversAnEventAtItsLastByte() {
    for (const std::string end : {"\n\n", "\r\n\r\n", "\r\r"}) {
      EventSplitter events;
      StreamEvent event;
      events.Append("id: 7" + end);
      CPPUNIT_ASSERT(events.Next(&event));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, event.id.value_or(0));
      CPPUNIT_ASSERT(!events.InsideEvent());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

}  // namespace
}  // namespace pearreach::proxy
