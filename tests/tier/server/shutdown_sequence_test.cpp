// The steps of a shutdown in virtual time: their order, and what begins each.
#include "tier/server/shutdown_sequence.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tier/seeds.h"

namespace pearreach::server {
namespace {

constexpr Micros kBegin = 100 * kSecond, kGrace = 8 * kSecond;

// Notes the steps, each with the milliseconds since kBegin.
class RecordedActions final : public ShutdownActions {
 public:
  void BeginDrain(Micros refuse_at, Micros answer_by) override {
    Note("drain");
    refuse_at_ = refuse_at;
    answer_by_ = answer_by;
  }
  void RefuseNewWork(Micros answer_by) override {
    Note("refuse");
    answer_by_ = answer_by;
  }
  bool IsIdle() const override { return idle; }
  void AnnounceLeave() override { Note("leave"); }
  void AnswerOpenRequests() override { Note("answer"); }
  bool AllAnswersSent() const override { return sent; }
  void Exit() override { Note("exit"); }

  Micros refuse_at() const { return refuse_at_ - kBegin; }
  Micros answer_by() const { return answer_by_ - kBegin; }
  // Of the step's last occurrence, since kBegin; -1: it has not come.
  Micros TimeOf(const std::string& step) const {
    for (std::size_t at = steps.size(); at > 0; --at)
      if (steps[at - 1] == step) return times[at - 1] - kBegin;
    return -1;
  }
  std::string Order() const {
    std::string order;
    for (const std::string& step : steps) order += step + " ";
    return order;
  }

  Micros now = kBegin;
  bool idle = false, sent = true;
  std::vector<std::string> steps;
  std::vector<Micros> times;

 private:
  void Note(const std::string& step) {
    steps.push_back(step);
    times.push_back(now);
  }

  Micros refuse_at_ = 0, answer_by_ = 0;
};

class ShutdownSequenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShutdownSequenceTest);
  CPPUNIT_TEST(BusyProcessAnswersBeforeItEnds);
  CPPUNIT_TEST(IdleProcessLeavesOnceThePlatformHasNoticed);
  CPPUNIT_TEST(StoreLeavesAtOnce);
  CPPUNIT_TEST(WaitsForAnswersToBeSent);
  CPPUNIT_TEST(SecondSignalChangesNothing);
  CPPUNIT_TEST(FollowsAnotherGrace);
  CPPUNIT_TEST(NothingHappensBeforeTheSignal);
  CPPUNIT_TEST(SeededRunsKeepTheOrder);
  CPPUNIT_TEST_SUITE_END();

  // Until Exit, or kBegin + `until`; a process that is late by up to `late` at each step.
  static void Play(ShutdownSequence* sequence, RecordedActions* actions,
                   Micros until = 60 * kSecond, Micros late = 0) {
    while (actions->now < kBegin + until) {
      const std::optional<Micros> delay = sequence->Step(actions->now);
      if (!delay.has_value()) return;
      CPPUNIT_ASSERT(*delay >= 0);
      actions->now += std::max<Micros>(*delay, 1) + late;
    }
  }

 public:
  // LOST: a node ended with its connections closed and requests on them without an answer.
  void BusyProcessAnswersBeforeItEnds() {
    RecordedActions actions;
    ShutdownSequence sequence(true, &actions);
    sequence.Begin(kGrace, kBegin);
    Play(&sequence, &actions);
    const ShutdownSchedule schedule = MakeShutdownSchedule(kGrace, true);
    CPPUNIT_ASSERT_EQUAL(std::string("drain refuse leave answer exit "), actions.Order());
    CPPUNIT_ASSERT_EQUAL(schedule.refuse, actions.TimeOf("refuse"));
    CPPUNIT_ASSERT_EQUAL(schedule.leave, actions.TimeOf("leave"));
    CPPUNIT_ASSERT_EQUAL(schedule.answer, actions.TimeOf("answer"));
    CPPUNIT_ASSERT_EQUAL(schedule.answer, actions.answer_by());
    CPPUNIT_ASSERT_EQUAL(schedule.exit, actions.TimeOf("exit"));
  }

  void IdleProcessLeavesOnceThePlatformHasNoticed() {
    RecordedActions actions;
    actions.idle = true;
    ShutdownSequence sequence(true, &actions);
    sequence.Begin(kGrace, kBegin);
    Play(&sequence, &actions);
    const ShutdownSchedule schedule = MakeShutdownSchedule(kGrace, true);
    CPPUNIT_ASSERT_EQUAL(schedule.refuse, actions.TimeOf("leave"));
    CPPUNIT_ASSERT_EQUAL(schedule.refuse + schedule.leave_delay, actions.TimeOf("answer"));
    CPPUNIT_ASSERT_EQUAL(schedule.refuse + schedule.leave_delay, actions.TimeOf("exit"));
  }

  void StoreLeavesAtOnce() {
    RecordedActions actions;
    actions.idle = true;
    ShutdownSequence sequence(false, &actions);
    sequence.Begin(kGrace, kBegin);
    Play(&sequence, &actions);
    CPPUNIT_ASSERT_EQUAL(Micros{0}, actions.TimeOf("leave"));
    CPPUNIT_ASSERT_EQUAL(MakeShutdownSchedule(kGrace, false).leave_delay, actions.TimeOf("exit"));
  }

  void WaitsForAnswersToBeSent() {
    RecordedActions actions;
    actions.idle = true;
    actions.sent = false;
    ShutdownSequence sequence(true, &actions);
    sequence.Begin(kGrace, kBegin);
    Play(&sequence, &actions, 5 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::string("drain refuse leave answer "), actions.Order());
    actions.sent = true;
    Play(&sequence, &actions);
    CPPUNIT_ASSERT(actions.TimeOf("exit") <= 5100 * kMs);

    RecordedActions slow_client;
    slow_client.sent = false;
    ShutdownSequence bounded(true, &slow_client);
    bounded.Begin(kGrace, kBegin);
    Play(&bounded, &slow_client);
    CPPUNIT_ASSERT_EQUAL(MakeShutdownSchedule(kGrace, true).exit, slow_client.TimeOf("exit"));
  }

  void SecondSignalChangesNothing() {
    RecordedActions actions;
    ShutdownSequence sequence(true, &actions);
    sequence.Begin(kGrace, kBegin);
    Play(&sequence, &actions, 4 * kSecond);
    sequence.Begin(kGrace, actions.now);
    Play(&sequence, &actions);
    CPPUNIT_ASSERT_EQUAL(std::string("drain refuse leave answer exit "), actions.Order());
    CPPUNIT_ASSERT_EQUAL(MakeShutdownSchedule(kGrace, true).exit, actions.TimeOf("exit"));
  }

  // SIGHUP after SIGTERM, with another `grace_s` in the file.
  void FollowsAnotherGrace() {
    RecordedActions actions;
    ShutdownSequence sequence(true, &actions);
    sequence.Begin(kGrace, kBegin);
    Play(&sequence, &actions, 3 * kSecond);
    sequence.SetGrace(4 * kSecond, actions.now);
    const ShutdownSchedule shorter = MakeShutdownSchedule(4 * kSecond, true);
    CPPUNIT_ASSERT_EQUAL(shorter.answer, actions.answer_by());
    CPPUNIT_ASSERT(actions.refuse_at() >= 3 * kSecond);  // never in the past
    Play(&sequence, &actions);
    CPPUNIT_ASSERT_EQUAL(shorter.exit, actions.TimeOf("exit"));
    CPPUNIT_ASSERT_EQUAL(std::string("drain refuse drain refuse leave answer exit "),
                         actions.Order());

    RecordedActions late;
    ShutdownSequence over(true, &late);
    over.Begin(kGrace, kBegin);
    Play(&over, &late, 6 * kSecond);
    over.SetGrace(kSecond, late.now);
    Play(&over, &late);
    CPPUNIT_ASSERT(late.TimeOf("answer") >= 0);
    CPPUNIT_ASSERT(late.TimeOf("exit") <= 6100 * kMs);
  }

  void NothingHappensBeforeTheSignal() {
    RecordedActions actions;
    ShutdownSequence sequence(true, &actions);
    sequence.SetGrace(kSecond, kBegin);
    CPPUNIT_ASSERT(!sequence.begun());
    CPPUNIT_ASSERT(actions.steps.empty());
  }

  // Whenever it is idle, however late its steps, whatever grace comes: it answers, then exits,
  // once.
  void SeededRunsKeepTheOrder() {
    int late_steps = 0, other_graces = 0, second_signals = 0, early_leaves = 0, unsent_exits = 0;
    for (std::uint64_t seed = FirstSeed(); seed < SeedsEnd(300); ++seed) {
      std::mt19937_64 random(seed);
      const auto draw = [&](Micros low, Micros high) {
        return std::uniform_int_distribution<Micros>(low, high)(random);
      };
      RecordedActions actions;
      ShutdownSequence sequence(draw(0, 1) == 0, &actions);
      sequence.Begin(draw(0, 10 * kSecond), kBegin);
      std::optional<Micros> delay = 0;
      while ((delay = sequence.Step(actions.now)).has_value()) {
        const bool late = draw(0, 9) == 0;
        late_steps += late ? 1 : 0;
        actions.now += std::max<Micros>(*delay, 1) + (late ? draw(0, kSecond) : 0);
        actions.idle = draw(0, 200) == 0;
        actions.sent = draw(0, 2) > 0;
        if (draw(0, 99) == 0) {
          ++other_graces;
          sequence.SetGrace(draw(0, 10 * kSecond), actions.now);
        }
        if (draw(0, 99) == 0) {
          ++second_signals;
          sequence.Begin(draw(0, 10 * kSecond), actions.now);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(seed), actions.now < kBegin + 15 * kSecond);
      }
      early_leaves += actions.TimeOf("answer") < actions.answer_by() ? 1 : 0;
      unsent_exits += actions.sent ? 0 : 1;
      const std::string order = actions.Order();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(seed), std::size_t{0}, order.find("drain "));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(seed), order.find("refuse ") < order.find("leave "));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(seed), order.find("answer ") < order.find("exit "));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(seed), order.find("exit "), order.rfind("exit "));
    }
    // Each situation has come about.
    CPPUNIT_ASSERT(late_steps > 0 && other_graces > 0 && second_signals > 0);
    CPPUNIT_ASSERT(early_leaves > 0 && unsent_exits > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownSequenceTest);

}  // namespace
}  // namespace pearreach::server
