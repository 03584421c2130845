// Learned response timeouts, and the budget of timeout retries.
#include "tier/proxy/response_timeout.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pearreach::proxy {
namespace {

class SilenceWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilenceWatchTest);
  CPPUNIT_TEST(LimitsByTable);
  CPPUNIT_TEST(FollowsTheLatestAnswers);
  CPPUNIT_TEST(RepeatsStayASmallPartOfTheSends);
  CPPUNIT_TEST_SUITE_END();

  static ResponseTimeout WithLatencies(int count, Micros latency, int slow = 0,
                                       Micros slow_latency = 0) {
    ResponseTimeout timeout;
    for (int i = 0; i < count; ++i) timeout.RecordLatency(i < slow ? slow_latency : latency);
    return timeout;
  }

 public:
  void LimitsByTable() {
    const struct {
      const char* name;
      ResponseTimeout timeout;
      Micros target, time_left, limit;
    } kCases[] = {
        {"nothing known", ResponseTimeout(), 120, 10'000, 1500},
        {"nothing known, long latency target", ResponseTimeout(), 400, 10'000, 2000},
        {"nothing known, little time", ResponseTimeout(), 120, 1000, 500},
        {"too few samples", WithLatencies(15, 20 * kMs), 120, 10'000, 1500},
        {"a single slow response is ignored", WithLatencies(100, 60 * kMs, 1, 900 * kMs), 120, 1000,
         90},
        {"two slow responses count", WithLatencies(100, 20 * kMs, 2, 200 * kMs), 120, 1000, 300},
        {"fast service, half the latency target", WithLatencies(100, 10 * kMs), 120, 1000, 60},
        {"half of the time left", WithLatencies(100, 400 * kMs), 120, 1000, 500},
    };
    for (const auto& c : kCases)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.limit * kMs,
                                   c.timeout.Timeout(c.target * kMs, c.time_left * kMs));
  }

  void FollowsTheLatestAnswers() {
    ResponseTimeout timeout = WithLatencies(200, 20 * kMs);
    CPPUNIT_ASSERT_EQUAL(Micros{60 * kMs}, timeout.Timeout(120 * kMs, 10 * kSecond));
    for (int i = 0; i < 10; ++i) timeout.RecordLatency(200 * kMs);
    CPPUNIT_ASSERT_EQUAL(Micros{300 * kMs}, timeout.Timeout(120 * kMs, 10 * kSecond));
    for (int i = 0; i < 128; ++i) timeout.RecordLatency(20 * kMs);
    CPPUNIT_ASSERT_EQUAL(Micros{60 * kMs}, timeout.Timeout(120 * kMs, 10 * kSecond));
  }

  void RepeatsStayASmallPartOfTheSends() {
    ResponseTimeout timeout;
    constexpr int kSends = 1000;
    int retries = 0;
    for (int i = 0; i < kSends; ++i) {
      timeout.RecordSend();
      if (timeout.TakeRetry()) ++retries;
    }
    CPPUNIT_ASSERT(retries >= kSends / 5 && retries <= kSends / 5 + 1);
    while (timeout.TakeRetry()) ++retries;
    for (int i = 0; i < kSends; ++i) timeout.RecordSend();
    int budget = 0;
    while (timeout.TakeRetry()) ++budget;
    CPPUNIT_ASSERT_EQUAL(10, budget);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilenceWatchTest);

}  // namespace
}  // namespace pearreach::proxy
