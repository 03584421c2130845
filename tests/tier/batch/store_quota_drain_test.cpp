// When a lot that does not fit its quota is told to come again.
#include <cppunit/extensions/HelperMacros.h>

#include "tier/batch/quota_drain.h"

namespace pearreach::batch {
namespace {

constexpr Micros kStart = 100 * kSecond;

class StoreQuotaDrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreQuotaDrainTest);
  CPPUNIT_TEST(ReturnsDefaultWithoutMeasurement);
  CPPUNIT_TEST(FollowsTheRateAtWhichTokensBecomeFree);
  CPPUNIT_TEST(CountsWhatWaitsBesides);
  CPPUNIT_TEST_SUITE_END();

  // About 1,000 tokens a second, for long.
  static QuotaDrain Draining() {
    QuotaDrain drain;
    for (int i = 100; i >= 0; --i) drain.RecordFreed(100, kStart - i * 100 * kMs);
    return drain;
  }

 public:
  void ReturnsDefaultWithoutMeasurement() {
    CPPUNIT_ASSERT_EQUAL(Micros{500 * kMs}, QuotaDrain().Wait("a", 1000, kStart));
    CPPUNIT_ASSERT_EQUAL(Micros{500 * kMs}, Draining().Wait("a", 1000, kStart + 60 * kSecond));
  }

  void FollowsTheRateAtWhichTokensBecomeFree() {
    const Micros wait = Draining().Wait("a", 1500, kStart);
    CPPUNIT_ASSERT(wait > 1300 * kMs && wait < 1700 * kMs);
    CPPUNIT_ASSERT_EQUAL(Micros{200 * kMs}, Draining().Wait("a", 10, kStart));
    CPPUNIT_ASSERT_EQUAL(Micros{5 * kSecond}, Draining().Wait("a", 1e6, kStart));
  }

  void CountsWhatWaitsBesides() {
    QuotaDrain drain = Draining();
    const Micros alone = drain.Wait("a", 500, kStart);
    drain.RecordRejected("a", 400, kStart);
    CPPUNIT_ASSERT_EQUAL(alone, drain.Wait("a", 500, kStart));
    drain.RecordRejected("b", 1000, kStart);
    const Micros with_other = drain.Wait("a", 500, kStart);
    CPPUNIT_ASSERT(with_other > alone + 800 * kMs && with_other < alone + 1200 * kMs);
    drain.RecordGranted("b");
    CPPUNIT_ASSERT_EQUAL(alone, drain.Wait("a", 500, kStart));
    drain.RecordRejected("b", 1000, kStart - 2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(alone, drain.Wait("a", 500, kStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreQuotaDrainTest);

}  // namespace
}  // namespace pearreach::batch
