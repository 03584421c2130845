// The decisions about durable jobs, by table and by property.
#include "node/job_state/ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace pearreach::job_state {
namespace {

using dispatch::Effect;
using What = Recovery::What;

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

Attempt Tried(Ran ran, std::int64_t sent_ago = kS, std::int64_t lease_left = 5 * kS) {
  Attempt a;
  a.worker = "w";
  a.fence = 1;
  a.ran = ran;
  a.sent = kNow - sent_ago;
  a.lease_until = kNow + lease_left;
  return a;
}

What After(const Job& job, Effect effect, UnixMicros now = kNow) {
  const dispatch::ClassSettings c = Class(effect);
  return Recover(job, &c, {}, now).what;
}

TEST(Recover, ByWhatIsKnown) {
  EXPECT_EQ(After(JobWith({}, State::kQueued), Effect::kOnce), What::kQueue);
  EXPECT_EQ(After(JobWith({Tried(Ran::kNever)}, State::kQueued), Effect::kOnce), What::kQueue);
  EXPECT_EQ(After(JobWith({Tried(Ran::kOut)}), Effect::kOnce), What::kAdopt);
  // Its lease ran out while no node was there.
  EXPECT_EQ(After(JobWith({Tried(Ran::kOut, kS, -1)}), Effect::kOnce), What::kDoubt);
  EXPECT_EQ(After(JobWith({Tried(Ran::kOut, kS, -1)}), Effect::kRepeatable), What::kAdopt);
  EXPECT_EQ(After(JobWith({Tried(Ran::kMaybe)}), Effect::kOnce), What::kDoubt);
  EXPECT_EQ(After(JobWith({Tried(Ran::kMaybe)}), Effect::kRepeatable), What::kQueue);
  // The window of a keyed job went on while no node was there.
  EXPECT_EQ(After(JobWith({Tried(Ran::kMaybe, 6 * kS)}), Effect::kByKey), What::kQueue);
  EXPECT_EQ(After(JobWith({Tried(Ran::kMaybe, 8 * kS)}), Effect::kByKey), What::kDoubt);
  Job over = JobWith({}, State::kQueued);
  over.due = kNow;
  EXPECT_EQ(After(over, Effect::kOnce), What::kEnd);
  over.attempts = {Tried(Ran::kOut)};
  EXPECT_EQ(After(over, Effect::kOnce), What::kDoubt) << "it may have taken effect";
  EXPECT_EQ(After(JobWith({}, State::kServed), Effect::kOnce), What::kNothing);
  EXPECT_EQ(After(JobWith({Tried(Ran::kMaybe)}, State::kInDoubt), Effect::kOnce), What::kNothing);
  EXPECT_EQ(Recover(JobWith({}, State::kQueued), nullptr, {}, kNow).what, What::kWithdraw);
  EXPECT_EQ(After(JobWith({Tried(Ran::kDone)}), Effect::kOnce), What::kEnd) << "it said 'failed'";
  EXPECT_EQ(After(JobWith({Tried(Ran::kMaybe), Tried(Ran::kDone)}), Effect::kOnce), What::kDoubt);
}

// A wall clock that was set back makes a lease, or a window, look longer than it is.
TEST(Recover, AClockThatSteppedDoesNotStretchALeaseOrAWindow) {
  Policy policy;
  const dispatch::ClassSettings once = Class(Effect::kOnce), keyed = Class(Effect::kByKey);
  const Job job = JobWith({Tried(Ran::kOut, kS, 3600 * kS)});
  EXPECT_EQ(Recover(job, &once, policy, kNow).what, What::kAdopt);
  EXPECT_FALSE(MayRepeat(JobWith({Tried(Ran::kMaybe, -30 * kS)}), keyed, kNow))
      << "sent in what is now the future: how long ago, nobody knows";
}

TEST(Doubt, IsWhatAFailureMeansWhereItMayHaveRun) {
  EXPECT_EQ(EndOfFailure(JobWith({Tried(Ran::kMaybe)}), Class(Effect::kOnce)), State::kInDoubt);
  EXPECT_EQ(EndOfFailure(JobWith({Tried(Ran::kNever)}), Class(Effect::kOnce)), State::kFailed);
  EXPECT_EQ(EndOfFailure(JobWith({Tried(Ran::kDone)}), Class(Effect::kOnce)), State::kFailed);
  EXPECT_EQ(EndOfFailure(JobWith({Tried(Ran::kMaybe)}), Class(Effect::kByKey)), State::kFailed);
}

TEST(Doubt, IsResolvedByTheWorkersOwnWordAlone) {
  Job job = JobWith({Tried(Ran::kNever), Tried(Ran::kMaybe)}, State::kInDoubt);
  EXPECT_EQ(Resolve(job, "w", Word::kDone).state, State::kServed);
  EXPECT_EQ(Resolve(job, "w", Word::kFailed).state, State::kFailed);
  EXPECT_EQ(Resolve(job, "w", Word::kReturned).state, State::kRefused);
  EXPECT_FALSE(Resolve(job, "w", Word::kLost).resolves) << "it died: before or after its effect?";
  EXPECT_FALSE(Resolve(job, "another", Word::kDone).resolves);
  Attempt second = Tried(Ran::kMaybe);
  second.worker = "v";
  job.attempts.push_back(second);
  EXPECT_FALSE(Resolve(job, "w", Word::kReturned).resolves) << "v may have run it all the same";
  EXPECT_TRUE(Resolve(job, "v", Word::kDone).resolves);
  job.state = State::kServed;
  EXPECT_FALSE(Resolve(job, "w", Word::kFailed).resolves) << "an end is an end";
}

TEST(Doubt, MayBeFencedOnlyWhereAllKnowFences) {
  Job job = JobWith({Tried(Ran::kMaybe)}, State::kInDoubt);
  EXPECT_FALSE(MayFence(job));
  job.attempts[0].knows_fences = true;
  EXPECT_TRUE(MayFence(job));
  EXPECT_EQ(NextFence(job), 2u);
  job.attempts[0].ran = Ran::kFenced;
  job.state = State::kQueued;
  EXPECT_EQ(After(job, Effect::kOnce), What::kQueue) << "it can no longer take effect";
}

// Whatever the store holds: a `once` job of which some attempt may have run never goes out again.
TEST(Recover, NeverSendsOutAgainWhatMayHaveRun) {
  EXPECT_TRUE(rc::check("once and risky: adopted or in doubt", [] {
    Job job;
    job.state = *rc::gen::element(State::kQueued, State::kRunning);
    job.due = kNow + *rc::gen::inRange<std::int64_t>(-100, 100) * kS;
    const int n = *rc::gen::inRange(1, 5);
    bool risky = false, out = false;
    for (int i = 0; i < n; ++i) {
      job.attempts.push_back(Tried(*rc::gen::element(Ran::kOut, Ran::kNever, Ran::kMaybe),
                                   *rc::gen::inRange<std::int64_t>(-20, 20) * kS,
                                   *rc::gen::inRange<std::int64_t>(-20, 20) * kS));
      risky = risky || job.attempts.back().ran != Ran::kNever;
      out = out || job.attempts.back().ran == Ran::kOut;
    }
    const What what = After(job, Effect::kOnce);
    if (risky) RC_ASSERT(what == What::kDoubt || (what == What::kAdopt && out));
    if (!risky) RC_ASSERT(what == (kNow < job.due ? What::kQueue : What::kEnd));
  }));
}

// A backlog of a hundred thousand and a stream of new jobs: neither shuts the other out, and the
// window follows what the workers make of it.
TEST(Pacer, BacklogAndNewJobsHaveRoomOfTheirOwn) {
  Policy policy;
  policy.recovered_at_once = 2;
  policy.in_hand = 5;
  policy.in_hand_bytes = 100;
  Pacer pacer(policy);
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(pacer.RoomForNew(10));
    pacer.Out(false, 10);
  }
  EXPECT_FALSE(pacer.RoomForNew(10)) << "its place is in the store";
  EXPECT_EQ(pacer.RoomForBacklog(), 2);
  pacer.Out(true, 10);
  pacer.Out(true, 10);
  EXPECT_EQ(pacer.RoomForBacklog(), 0);
  pacer.Back(true, 10, Pacer::End::kServed);
  EXPECT_EQ(pacer.RoomForBacklog(), 2) << "one has been served: the window is three";
  for (int i = 0; i < 20; ++i) {
    pacer.Out(true, 0);
    pacer.Back(true, 0, Pacer::End::kServed);
  }
  EXPECT_EQ(pacer.window(), 5) << "no wider than all that may be in hand";
  pacer.Out(true, 0);
  pacer.Back(true, 0, Pacer::End::kRefused);
  EXPECT_EQ(pacer.window(), 2) << "halved, no less than at first";
  pacer.Back(false, 10, Pacer::End::kServed);
  EXPECT_TRUE(pacer.RoomForNew(10));
  EXPECT_FALSE(pacer.RoomForNew(100)) << "large bodies wait in the store";
}

// Whatever comes and goes, the bounds hold and nothing is lost from the count.
TEST(Pacer, NeverHoldsMoreThanItsBounds) {
  EXPECT_TRUE(rc::check([] {
    Policy policy;
    policy.recovered_at_once = *rc::gen::inRange(1, 20);
    policy.in_hand = *rc::gen::inRange(1, 50);
    policy.in_hand_bytes = *rc::gen::inRange<std::size_t>(1, 1000);
    Pacer pacer(policy);
    std::vector<std::pair<bool, std::size_t>> out;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
    for (const int step : steps) {
      const std::size_t bytes = static_cast<std::size_t>(step);
      if (step % 2 == 0 && !out.empty()) {
        pacer.Back(out.back().first, out.back().second, static_cast<Pacer::End>(step / 2 % 3));
        out.pop_back();
      } else if (step % 3 == 0 ? pacer.RoomForBacklog() > 0 : pacer.RoomForNew(bytes)) {
        pacer.Out(step % 3 == 0, bytes);
        out.push_back({step % 3 == 0, bytes});
      }
      RC_ASSERT(pacer.out() == static_cast<int>(out.size()));
      RC_ASSERT(pacer.out() <= 2 * std::max(policy.in_hand, policy.recovered_at_once));
      RC_ASSERT(pacer.window() >= policy.recovered_at_once);
    }
  }));
}

TEST(AfterEnd, ARecordGoesWhenItsClientHasBeenTold) {
  Policy policy;
  policy.keep = 10 * kS;
  Job job = JobWith({}, State::kServed);
  job.ended = kNow;
  PlanAfterEnd(&job, policy, kNow, 0.5);
  EXPECT_EQ(job.callback_at, 0);
  EXPECT_EQ(job.forget_at, kNow + 10 * kS);
  job.callback = "http://127.0.0.1:1/";
  PlanAfterEnd(&job, policy, kNow, 0.5);
  EXPECT_EQ(job.callback_at, kNow) << "at once";
  EXPECT_EQ(job.forget_at, 0) << "not before it is told";
  job.callback_tries = 3;
  PlanAfterEnd(&job, policy, kNow, 0);
  EXPECT_EQ(job.callback_at, kNow + 2 * kS) << "4 s, at least half of it";
  job.callback_done = true;
  PlanAfterEnd(&job, policy, kNow, 0);
  EXPECT_EQ(job.callback_at, 0);
  EXPECT_EQ(job.forget_at, kNow + 10 * kS);
  job.callback_done = false;
  job.callback_tries = kMaxCallbacks;
  PlanAfterEnd(&job, policy, kNow, 0);
  EXPECT_EQ(job.callback_at, 0) << "nobody is there";
  EXPECT_NE(job.forget_at, 0);
  EXPECT_GE(CallbackWait(0, 0), kS / 2);
  EXPECT_LE(CallbackWait(100, 1), 300 * kS);
}

TEST(Id, HoldsItsPlaceInTheStoreAndCannotBeGuessed) {
  EXPECT_TRUE(rc::check([](std::uint64_t seq, std::uint64_t chance) {
    const std::string id = MakeId(seq, chance);
    RC_ASSERT(id.size() == 32u);
    RC_ASSERT(SeqOf(id) == seq);
    RC_ASSERT(MakeId(seq, chance + 1) != id);
  }));
  for (const char* id :
       {"", "1", "0000000000000000000000000000000g", "../../../../etc/passwd/aaaaaaaaa"})
    EXPECT_EQ(SeqOf(id), std::nullopt) << id;
}

}  // namespace
}  // namespace pearreach::job_state
