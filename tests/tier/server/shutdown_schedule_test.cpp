// The times of a shutdown, held to the operators' bounds for long and short graces.
#include "tier/server/shutdown_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace pearreach::server {
namespace {

constexpr Micros kSoonAfterSignal = 3 * kSecond;  // requests sent until then may be cut late
constexpr Micros kGraces[] = {0,           1 * kMs,     50 * kMs,    300 * kMs,   1 * kSecond,
                              2 * kSecond, 3 * kSecond, 5 * kSecond, 8 * kSecond, 60 * kSecond};

class ShutdownScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShutdownScheduleTest);
  CPPUNIT_TEST(StepsComeInOrderWithinTheGrace);
  CPPUNIT_TEST(AnswersAreCutInTheLastSixthOnly);
  CPPUNIT_TEST(TakesNothingFreelyThatMayNotBeCut);
  CPPUNIT_TEST(OthersThanEdgeNodesLeaveAtOnce);
  CPPUNIT_TEST_SUITE_END();

  static std::string Name(Micros grace) { return "grace " + std::to_string(grace); }

 public:
  void StepsComeInOrderWithinTheGrace() {
    for (const Micros grace : kGraces) {
      const ShutdownSchedule schedule = MakeShutdownSchedule(grace, true);
      CPPUNIT_ASSERT_MESSAGE(Name(grace), schedule.refuse >= 0);
      CPPUNIT_ASSERT_MESSAGE(Name(grace), schedule.refuse <= schedule.leave);
      CPPUNIT_ASSERT_MESSAGE(Name(grace), schedule.refuse <= schedule.answer);
      CPPUNIT_ASSERT_MESSAGE(Name(grace), schedule.leave <= schedule.exit);
      CPPUNIT_ASSERT_MESSAGE(Name(grace), schedule.answer <= schedule.exit);
      CPPUNIT_ASSERT_MESSAGE(Name(grace), schedule.exit <= grace);
    }
  }

  // LOST: with a grace of 2 s a node ended after 1.3 s, when its workers were not yet excused.
  void AnswersAreCutInTheLastSixthOnly() {
    for (const Micros grace : kGraces)
      CPPUNIT_ASSERT_MESSAGE(Name(grace),
                             MakeShutdownSchedule(grace, true).answer >= grace * 5 / 6);
  }

  void TakesNothingFreelyThatMayNotBeCut() {
    for (const Micros grace : kGraces)
      CPPUNIT_ASSERT_MESSAGE(Name(grace),
                             MakeShutdownSchedule(grace, true).refuse < kSoonAfterSignal);
  }

  void OthersThanEdgeNodesLeaveAtOnce() {
    const ShutdownSchedule schedule = MakeShutdownSchedule(8 * kSecond, false);
    CPPUNIT_ASSERT_EQUAL(Micros{0}, schedule.refuse);
    CPPUNIT_ASSERT_EQUAL(MakeShutdownSchedule(8 * kSecond, true).exit, schedule.exit);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownScheduleTest);

}  // namespace
}  // namespace pearreach::server
