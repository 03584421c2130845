// Tests of the rules for durable jobs, by examples and by properties.
#include "node/job_state/ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace pearreach::job_state {
namespace {

using dispatch::Effect;
using Action = Recovery::Action;

constexpr UnixMicros kNow = 1'700'000'000'000'000;
constexpr std::int64_t kS = 1'000'000;

dispatch::ClassSettings Class(Effect effect) {
  dispatch::ClassSettings c;
  c.effect = effect;
  c.key_window = 7 * kS;
  return c;
}

Job JobWith(std::vector<Attempt> attempts, State state = State::kRunning) {
  Job j;
  j.state = state;
  j.due = kNow + 60 * kS;
  j.attempts = std::move(attempts);
  return j;
}

Attempt Tried(ExecutionState ran, std::int64_t sent_ago = kS, std::int64_t lease_left = 5 * kS) {
  Attempt a;
  a.worker = "w";
  a.fence = 1;
  a.execution = ran;
  a.sent = kNow - sent_ago;
  a.lease_until = kNow + lease_left;
  return a;
}

Action After(const Job& job, Effect effect, UnixMicros now = kNow) {
  const dispatch::ClassSettings c = Class(effect);
  return Recover(job, &c, {}, now).action;
}

TEST(Recover, ByWhatIsKnown) {
  EXPECT_EQ(After(JobWith({}, State::kQueued), Effect::kOnce), Action::kRequeue);
  EXPECT_EQ(After(JobWith({Tried(ExecutionState::kNeverRan)}, State::kQueued), Effect::kOnce),
            Action::kRequeue);
  EXPECT_EQ(After(JobWith({Tried(ExecutionState::kInFlight)}), Effect::kOnce), Action::kAdopt);
  // The lease expired while no node was running.
  EXPECT_EQ(After(JobWith({Tried(ExecutionState::kInFlight, kS, -1)}), Effect::kOnce),
            Action::kMarkInDoubt);
  EXPECT_EQ(After(JobWith({Tried(ExecutionState::kInFlight, kS, -1)}), Effect::kRepeatable),
            Action::kAdopt);
  EXPECT_EQ(After(JobWith({Tried(ExecutionState::kMayHaveRun)}), Effect::kOnce),
            Action::kMarkInDoubt);
  EXPECT_EQ(After(JobWith({Tried(ExecutionState::kMayHaveRun)}), Effect::kRepeatable),
            Action::kRequeue);
  // The key window of a job includes the time without a node.
  EXPECT_EQ(After(JobWith({Tried(ExecutionState::kMayHaveRun, 6 * kS)}), Effect::kByKey),
            Action::kRequeue);
  EXPECT_EQ(After(JobWith({Tried(ExecutionState::kMayHaveRun, 8 * kS)}), Effect::kByKey),
            Action::kMarkInDoubt);
  Job over = JobWith({}, State::kQueued);
  over.due = kNow;
  EXPECT_EQ(After(over, Effect::kOnce), Action::kFailOverdue);
  over.attempts = {Tried(ExecutionState::kInFlight)};
  EXPECT_EQ(After(over, Effect::kOnce), Action::kMarkInDoubt) << "it may have taken effect";
  EXPECT_EQ(After(JobWith({}, State::kServed), Effect::kOnce), Action::kNone);
  EXPECT_EQ(After(JobWith({Tried(ExecutionState::kMayHaveRun)}, State::kInDoubt), Effect::kOnce),
            Action::kNone);
  EXPECT_EQ(Recover(JobWith({}, State::kQueued), nullptr, {}, kNow).action,
            Action::kFailUnknownClass);
  EXPECT_EQ(After(JobWith({Tried(ExecutionState::kDone)}), Effect::kOnce), Action::kFailOverdue)
      << "reported as ended, without a result: failed";
  EXPECT_EQ(After(JobWith({Tried(ExecutionState::kMayHaveRun), Tried(ExecutionState::kDone)}),
                  Effect::kOnce),
            Action::kMarkInDoubt);
}

// A wall clock that was set back must not extend a lease or a key window.
TEST(Recover, AClockThatSteppedDoesNotStretchALeaseOrAWindow) {
  Policy policy;
  const dispatch::ClassSettings once = Class(Effect::kOnce), keyed = Class(Effect::kByKey);
  const Job job = JobWith({Tried(ExecutionState::kInFlight, kS, 3600 * kS)});
  EXPECT_EQ(Recover(job, &once, policy, kNow).action, Action::kAdopt);
  EXPECT_FALSE(MayRepeat(JobWith({Tried(ExecutionState::kMayHaveRun, -30 * kS)}), keyed, kNow))
      << "sent in the future by the present clock: its age is unknown";
}

TEST(Doubt, IsWhatAFailureMeansWhereItMayHaveRun) {
  EXPECT_EQ(StateAfterFailure(JobWith({Tried(ExecutionState::kMayHaveRun)}), Class(Effect::kOnce)),
            State::kInDoubt);
  EXPECT_EQ(StateAfterFailure(JobWith({Tried(ExecutionState::kNeverRan)}), Class(Effect::kOnce)),
            State::kFailed);
  EXPECT_EQ(StateAfterFailure(JobWith({Tried(ExecutionState::kDone)}), Class(Effect::kOnce)),
            State::kFailed);
  EXPECT_EQ(StateAfterFailure(JobWith({Tried(ExecutionState::kMayHaveRun)}), Class(Effect::kByKey)),
            State::kFailed);
}

TEST(Doubt, IsResolvedByTheWorkersOwnWordAlone) {
  Job job = JobWith({Tried(ExecutionState::kNeverRan), Tried(ExecutionState::kMayHaveRun)},
                    State::kInDoubt);
  EXPECT_EQ(Resolve(job, "w", WorkerReport::kDone).state, State::kServed);
  EXPECT_EQ(Resolve(job, "w", WorkerReport::kFailed).state, State::kFailed);
  EXPECT_EQ(Resolve(job, "w", WorkerReport::kReturned).state, State::kRefused);
  EXPECT_FALSE(Resolve(job, "w", WorkerReport::kLost).resolves)
      << "it is unknown whether the job took effect before the worker died";
  EXPECT_FALSE(Resolve(job, "another", WorkerReport::kDone).resolves);
  Attempt second = Tried(ExecutionState::kMayHaveRun);
  second.worker = "v";
  job.attempts.push_back(second);
  EXPECT_FALSE(Resolve(job, "w", WorkerReport::kReturned).resolves) << "v may have run it as well";
  EXPECT_TRUE(Resolve(job, "v", WorkerReport::kDone).resolves);
  job.state = State::kServed;
  EXPECT_FALSE(Resolve(job, "w", WorkerReport::kFailed).resolves) << "an ended job does not change";
}

TEST(Doubt, MayBeFencedOnlyWhereAllKnowFences) {
  Job job = JobWith({Tried(ExecutionState::kMayHaveRun)}, State::kInDoubt);
  EXPECT_FALSE(MayFence(job));
  job.attempts[0].knows_fences = true;
  EXPECT_TRUE(MayFence(job));
  EXPECT_EQ(NextFence(job), 2u);
  job.attempts[0].execution = ExecutionState::kFenced;
  job.state = State::kQueued;
  EXPECT_EQ(After(job, Effect::kOnce), Action::kRequeue) << "it can no longer take effect";
}

// Property: a `once` job with an attempt that may have run is never sent again, whatever its
// record.
TEST(Recover, NeverSendsOutAgainWhatMayHaveRun) {
  EXPECT_TRUE(rc::check("once and risky: adopted or in doubt", [] {
    Job job;
    job.state = *rc::gen::element(State::kQueued, State::kRunning);
    job.due = kNow + *rc::gen::inRange<std::int64_t>(-100, 100) * kS;
    const int n = *rc::gen::inRange(1, 5);
    bool risky = false, out = false;
    for (int i = 0; i < n; ++i) {
      job.attempts.push_back(
          Tried(*rc::gen::element(ExecutionState::kInFlight, ExecutionState::kNeverRan,
                                  ExecutionState::kMayHaveRun),
                *rc::gen::inRange<std::int64_t>(-20, 20) * kS,
                *rc::gen::inRange<std::int64_t>(-20, 20) * kS));
      risky = risky || job.attempts.back().execution != ExecutionState::kNeverRan;
      out = out || job.attempts.back().execution == ExecutionState::kInFlight;
    }
    const Action action = After(job, Effect::kOnce);
    if (risky) RC_ASSERT(action == Action::kMarkInDoubt || (action == Action::kAdopt && out));
    if (!risky) RC_ASSERT(action == (kNow < job.due ? Action::kRequeue : Action::kFailOverdue));
  }));
}

// A large backlog and a stream of new jobs must not block each other, and the window of the backlog
// must follow the workers' results.
TEST(Pacer, BacklogAndNewJobsHaveRoomOfTheirOwn) {
  Policy policy;
  policy.initial_backlog_window = 2;
  policy.max_in_flight = 5;
  policy.max_in_flight_bytes = 100;
  Pacer pacer(policy);
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(pacer.RoomForNew(10));
    pacer.OnHandedOver(false, 10);
  }
  EXPECT_FALSE(pacer.RoomForNew(10)) << "it waits in the store";
  EXPECT_EQ(pacer.RoomForBacklog(), 2);
  pacer.OnHandedOver(true, 10);
  pacer.OnHandedOver(true, 10);
  EXPECT_EQ(pacer.RoomForBacklog(), 0);
  pacer.OnFinished(true, 10, Pacer::Result::kServed);
  EXPECT_EQ(pacer.RoomForBacklog(), 2) << "after one job served the window is three";
  for (int i = 0; i < 20; ++i) {
    pacer.OnHandedOver(true, 0);
    pacer.OnFinished(true, 0, Pacer::Result::kServed);
  }
  EXPECT_EQ(pacer.window(), 5) << "at most max_in_flight";
  pacer.OnHandedOver(true, 0);
  pacer.OnFinished(true, 0, Pacer::Result::kRefused);
  EXPECT_EQ(pacer.window(), 2) << "halved, but not below the initial window";
  pacer.OnFinished(false, 10, Pacer::Result::kServed);
  EXPECT_TRUE(pacer.RoomForNew(10));
  EXPECT_FALSE(pacer.RoomForNew(100)) << "jobs above the limit for bodies wait in the store";
}

// Property: the bounds hold and the count stays exact in any sequence of calls.
TEST(Pacer, NeverHoldsMoreThanItsBounds) {
  EXPECT_TRUE(rc::check([] {
    Policy policy;
    policy.initial_backlog_window = *rc::gen::inRange(1, 20);
    policy.max_in_flight = *rc::gen::inRange(1, 50);
    policy.max_in_flight_bytes = *rc::gen::inRange<std::size_t>(1, 1000);
    Pacer pacer(policy);
    std::vector<std::pair<bool, std::size_t>> out;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
    for (const int step : steps) {
      const std::size_t bytes = static_cast<std::size_t>(step);
      if (step % 2 == 0 && !out.empty()) {
        pacer.OnFinished(out.back().first, out.back().second,
                         static_cast<Pacer::Result>(step / 2 % 3));
        out.pop_back();
      } else if (step % 3 == 0 ? pacer.RoomForBacklog() > 0 : pacer.RoomForNew(bytes)) {
        pacer.OnHandedOver(step % 3 == 0, bytes);
        out.push_back({step % 3 == 0, bytes});
      }
      RC_ASSERT(pacer.in_flight() == static_cast<int>(out.size()));
      RC_ASSERT(pacer.in_flight() <=
                2 * std::max(policy.max_in_flight, policy.initial_backlog_window));
      RC_ASSERT(pacer.window() >= policy.initial_backlog_window);
    }
  }));
}

TEST(AfterEnd, ARecordGoesWhenItsClientHasBeenTold) {
  Policy policy;
  policy.retention = 10 * kS;
  Job job = JobWith({}, State::kServed);
  job.ended = kNow;
  ScheduleAfterEnd(&job, policy, kNow, 0.5);
  EXPECT_EQ(job.next_callback_at, 0);
  EXPECT_EQ(job.purge_at, kNow + 10 * kS);
  job.callback = "http://127.0.0.1:1/";
  ScheduleAfterEnd(&job, policy, kNow, 0.5);
  EXPECT_EQ(job.next_callback_at, kNow) << "the first call-back is due at once";
  EXPECT_EQ(job.purge_at, 0) << "kept until the client has been called";
  job.callback_tries = 3;
  ScheduleAfterEnd(&job, policy, kNow, 0);
  EXPECT_EQ(job.next_callback_at, kNow + 2 * kS) << "half of the backoff of 4 s";
  job.callback_done = true;
  ScheduleAfterEnd(&job, policy, kNow, 0);
  EXPECT_EQ(job.next_callback_at, 0);
  EXPECT_EQ(job.purge_at, kNow + 10 * kS);
  job.callback_done = false;
  job.callback_tries = kMaxCallbackAttempts;
  ScheduleAfterEnd(&job, policy, kNow, 0);
  EXPECT_EQ(job.next_callback_at, 0) << "no attempts left";
  EXPECT_NE(job.purge_at, 0);
  EXPECT_GE(CallbackBackoff(0, 0), kS / 2);
  EXPECT_LE(CallbackBackoff(100, 1), 300 * kS);
}

TEST(Id, HoldsItsPlaceInTheStoreAndCannotBeGuessed) {
  EXPECT_TRUE(rc::check([](std::uint64_t seq, std::uint64_t random) {
    const std::string id = MakeJobId(seq, random);
    RC_ASSERT(id.size() == 32u);
    RC_ASSERT(SeqFromId(id) == seq);
    RC_ASSERT(MakeJobId(seq, random + 1) != id);
  }));
  for (const char* id :
       {"", "1", "0000000000000000000000000000000g", "../../../../etc/passwd/aaaaaaaaa"})
    EXPECT_EQ(SeqFromId(id), std::nullopt) << id;
}

}  // namespace
}  // namespace pearreach::job_state
