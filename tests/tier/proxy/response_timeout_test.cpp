// How long a silent worker is waited for, and how many requests may go to another one.
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

  static ResponseTimeout After(int answers, Micros latency, int slow = 0, Micros slow_latency = 0) {
    ResponseTimeout watch;
    for (int i = 0; i < answers; ++i) watch.RecordLatency(i < slow ? slow_latency : latency);
    return watch;
  }

 public:
  void LimitsByTable() {
    const struct {
      const char* what;
      ResponseTimeout watch;
      Micros target, time_left, limit;
    } kCases[] = {
        {"nothing known", ResponseTimeout(), 120, 10'000, 1500},
        {"nothing known, long objective", ResponseTimeout(), 400, 10'000, 2000},
        {"nothing known, little time", ResponseTimeout(), 120, 1000, 500},
        {"too few answers", After(15, 20 * kMs), 120, 10'000, 1500},
        {"one slow answer is none", After(100, 60 * kMs, 1, 900 * kMs), 120, 1000, 90},
        {"two slow answers count", After(100, 20 * kMs, 2, 200 * kMs), 120, 1000, 300},
        {"fast service, half the objective", After(100, 10 * kMs), 120, 1000, 60},
        {"half of the time that is time_left", After(100, 400 * kMs), 120, 1000, 500},
    };
    for (const auto& c : kCases)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.what, c.limit * kMs,
                                   c.watch.Timeout(c.target * kMs, c.time_left * kMs));
  }

  void FollowsTheLatestAnswers() {
    ResponseTimeout watch = After(200, 20 * kMs);
    CPPUNIT_ASSERT_EQUAL(Micros{60 * kMs}, watch.Timeout(120 * kMs, 10 * kSecond));
    for (int i = 0; i < 10; ++i) watch.RecordLatency(200 * kMs);
    CPPUNIT_ASSERT_EQUAL(Micros{300 * kMs}, watch.Timeout(120 * kMs, 10 * kSecond));
    for (int i = 0; i < 128; ++i) watch.RecordLatency(20 * kMs);
    CPPUNIT_ASSERT_EQUAL(Micros{60 * kMs}, watch.Timeout(120 * kMs, 10 * kSecond));
  }

  void RepeatsStayASmallPartOfTheSends() {
    ResponseTimeout watch;
    constexpr int kSends = 1000;
    int repeats = 0;
    for (int i = 0; i < kSends; ++i) {
      watch.RecordSend();
      if (watch.TakeRetry()) ++repeats;
    }
    CPPUNIT_ASSERT(repeats >= kSends / 5 && repeats <= kSends / 5 + 1);
    while (watch.TakeRetry()) ++repeats;
    for (int i = 0; i < kSends; ++i) watch.RecordSend();
    int saved = 0;
    while (watch.TakeRetry()) ++saved;
    CPPUNIT_ASSERT_EQUAL(10, saved);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilenceWatchTest);

}  // namespace
}  // namespace pearreach::proxy
