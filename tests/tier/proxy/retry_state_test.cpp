// Retry decisions: each row is a state of the request's attempts.
#include "tier/proxy/retry_state.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pearreach::proxy {
namespace {

class RetryStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryStateTest);
  CPPUNIT_TEST(DecidesByTable);
  CPPUNIT_TEST(GuaranteesByTable);
  CPPUNIT_TEST(GivesUpAfterManyWorkersGone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DecidesByTable() {
    const struct {
      const char* name;
      int attempts;
      bool idempotent, resumable, forwarded;
      int sends, runs;
      Micros time_left;
      bool after_run, after_not_run, leave_worker;
    } cases[] = {
        {"effectful, not run", 1, false, false, false, 1, 0, kSecond, false, true, false},
        {"effectful, may have run", 3, false, false, false, 1, 1, kSecond, false, false, false},
        {"idempotent, may have run", 3, true, false, false, 1, 1, kSecond, true, true, true},
        {"idempotent, all attempts used", 2, true, false, false, 2, 2, kSecond, false, false,
         false},
        {"idempotent, one attempt", 1, true, false, false, 1, 1, kSecond, false, false, false},
        {"idempotent, before its first end", 2, true, false, false, 1, 0, kSecond, true, true,
         true},
        {"stream begun, not resumable", 3, true, false, true, 1, 1, kSecond, false, false, true},
        {"stream begun, resumable", 3, true, true, true, 1, 1, kSecond, true, true, true},
        {"refused by some workers", 1, false, false, false, 4, 0, kSecond, false, true, false},
        {"refused by too many workers", 1, false, false, false, 5, 0, kSecond, false, false, false},
        {"no time is left", 3, true, false, false, 1, 0, kMinTimeLeft, false, false, true},
    };
    for (const auto& c : cases) {
      RetryState state(c.attempts, c.idempotent, c.resumable);
      for (int i = 0; i < c.sends; ++i) state.OnSend();
      for (int i = 0; i < c.runs; ++i) state.OnMayHaveRun();
      if (c.forwarded) state.OnHeadForwarded();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.after_run, state.MayRetryAfterRun(c.time_left));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.after_not_run, state.MayRetryAfterNotRun(c.time_left));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.leave_worker, state.MayLeaveWorker());
    }
  }

  void GuaranteesByTable() {
    const struct {
      int status;
      bool not_run_header, guarantees;
    } cases[] = {{503, true, true},  {503, false, false}, {429, true, true},  {429, false, false},
                 {400, true, true},  {400, false, false}, {421, false, true}, {500, true, false},
                 {408, true, false}, {200, true, false}};
    for (const auto& c : cases) {
      ResponseHead head;
      head.status = c.status;
      if (c.not_run_header) head.headers.push_back({"X-Not-Run", "full"});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(c.status), c.guarantees, GuaranteesNotRun(head));
    }
  }

  void GivesUpAfterManyWorkersGone() {
    RetryState state(1, false, false);
    int placements = 1;
    while (state.OnWorkerGone()) ++placements;
    CPPUNIT_ASSERT_EQUAL(17, placements);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryStateTest);

}  // namespace
}  // namespace pearreach::proxy
