// Edge cases of the four rules: final answers, double execution, draining workers, cold workers.
#include <gtest/gtest.h>

#include "driver.h"

namespace pearreach::dispatch::testing {
namespace {

TEST(Once, GoesAgainOnlyWhenItProvablyNeverRan) {
  for (const Outcome o : {Outcome::kFull, Outcome::kNoConnection, Outcome::kNotSent}) {
    Driver d(BaseSettings());
    d.Workers(2);
    d.Submit(1, 1);
    ASSERT_EQ(d.sends.size(), 1u);
    d.End(1, o);
    d.Run(2 * kSecond);
    EXPECT_EQ(d.all_sends.size(), 2u) << static_cast<int>(o);
  }
  for (const Outcome o :
       {Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled, Outcome::kError}) {
    Driver d(BaseSettings());
    d.Workers(2);
    d.Submit(1, 1);
    d.End(1, o);
    EXPECT_EQ(d.failed, std::vector<RequestId>{1}) << static_cast<int>(o);
    d.Run(20 * kSecond);
    EXPECT_EQ(d.all_sends.size(), 1u);
    EXPECT_TRUE(d.all_refused.empty());
  }
}

TEST(Once, IsNeverDoubledWhileOut) {
  Driver d(BaseSettings());
  d.Workers(3);
  d.Submit(1, 1);
  d.Begin(1);
  d.Run(9 * kSecond);  // its worker becomes silent
  EXPECT_EQ(d.all_sends.size(), 1u);
  EXPECT_TRUE(d.all_failed.empty());
}

TEST(ByKey, GoesAgainInsideTheWindowOnly) {
  Driver d(BaseSettings());
  d.Workers(2);
  d.Submit(1, 2);
  d.Run(1 * kSecond);
  d.End(1, Outcome::kReset);
  d.Run(1 * kSecond);
  EXPECT_EQ(d.all_sends.size(), 2u);

  Driver late(BaseSettings());
  late.Workers(2);
  late.Submit(1, 2);
  late.Begin(1);
  for (int i = 0; i < 12; ++i) {  // progress keeps its worker from becoming silent
    late.Run(500 * kMs);
    late.Progress(1);
  }
  late.End(1, Outcome::kReset);
  late.Run(5 * kSecond);
  EXPECT_EQ(late.all_sends.size(), 1u);
  EXPECT_EQ(late.all_refused,
            std::vector<RequestId>{1});  // with key scope kAll a refusal is allowed
}

TEST(ByKey, StaysInItsGroup) {
  for (const KeyScope scope : {KeyScope::kZone, KeyScope::kCell}) {
    Settings s = BaseSettings();
    s.classes[2].key_scope = scope;
    Driver d(s);
    std::vector<WorkerEntry> entries;
    for (WorkerId i = 0; i < 6; ++i) {
      WorkerEntry e = Driver::Entry(i);
      e.zone = static_cast<int>(i / 3);
      e.cell = static_cast<int>(i);
      entries.push_back(e);
    }
    d.List(entries);
    d.Submit(1, 2);
    const WorkerId first = d.last_worker[1];
    d.End(1, Outcome::kError);
    d.Run(4 * kSecond);
    for (const Send& send : d.all_sends) {
      EXPECT_EQ(send.worker / 3, first / 3);
      if (scope == KeyScope::kCell) {
        EXPECT_EQ(send.worker, first);
      }
    }
    d.Run(10 * kSecond);
    d.End(1, Outcome::kTimeout);
    EXPECT_TRUE(d.all_refused.empty());  // with a narrower key scope only a failure is allowed
  }
}

TEST(TryLimit, IsKept) {
  Settings s = BaseSettings();
  Driver d(s);
  d.Workers(3);
  d.Submit(1, 0);
  for (int i = 0; i < 10 && d.all_refused.empty(); ++i) {
    d.End(1, Outcome::kError);
    d.Run(100 * kMs);
  }
  EXPECT_EQ(d.all_sends.size(), 4u);
  EXPECT_EQ(d.all_refused, std::vector<RequestId>{1});
}

TEST(NoDuplicates, WhereTheSiteForbidsThem) {
  Settings s = BaseSettings();
  s.may_duplicate = false;
  Driver d(s);
  d.Workers(3);
  d.Submit(1, 0);
  d.Begin(1);
  d.Run(4 * kSecond);  // silent: no second attempt while the first is in flight
  EXPECT_EQ(d.all_sends.size(), 1u);
  d.End(1, Outcome::kCancelled);
  EXPECT_EQ(d.all_sends.size(), 2u);
}

TEST(Answer, HeldWithNothingSentIsRefusedBeforeTheDeadline) {
  Driver d(BaseSettings());
  d.List({});
  d.Submit(1, 1, 300 * kMs);
  d.Run(299 * kMs);
  EXPECT_EQ(d.all_refused, std::vector<RequestId>{1});
}

TEST(Answer, OutAtTheDeadlineFailsOnItsTimeout) {
  Driver d(BaseSettings());
  d.Workers(1);
  d.Submit(1, 1, 300 * kMs);
  d.Run(300 * kMs);
  EXPECT_TRUE(d.all_failed.empty());
  d.End(1, Outcome::kTimeout);
  EXPECT_EQ(d.failed, std::vector<RequestId>{1});
  EXPECT_EQ(d.dispatcher.OpenRequests(), 0u);
}

TEST(Answer, NothingFollowsIt) {
  Driver d(BaseSettings());
  d.Workers(3);
  d.Submit(1, 0);
  d.End(1, Outcome::kGood);
  d.End(1, Outcome::kReset, 0);                         // a late, duplicate outcome
  d.Give({RequestAbandoned{1}, RequestAbandoned{77}});  // ended and unknown ids
  d.Run(20 * kSecond);
  EXPECT_EQ(d.all_sends.size(), 1u);
  EXPECT_TRUE(d.all_refused.empty() && d.all_failed.empty());
}

TEST(Answer, LapsedEndsWithoutAnAnswer) {
  Driver d(BaseSettings());
  d.Workers(1);
  d.Submit(1, 0);
  d.Give({RequestAbandoned{1}});
  EXPECT_EQ(d.cancelled.size(), 1u);
  d.End(1, Outcome::kCancelled);
  EXPECT_EQ(d.dispatcher.OpenRequests(), 0u);
  EXPECT_TRUE(d.all_refused.empty() && d.all_failed.empty());
}

TEST(Drain, NothingIsSentFromTheMomentItIsHeard) {
  Driver d(BaseSettings());
  d.Workers(2);
  // The drain notice arrives at the same instant as the request.
  d.Give({WorkerList{WorkerList::Form::kChanges, {Driver::Entry(0, Health::kDraining)}},
          d.Request(1)});
  d.List({Driver::Entry(1, Health::kGone)}, WorkerList::Form::kChanges);
  for (RequestId id = 2; id < 6; ++id) d.Submit(id);
  d.Run(2 * kSecond);
  ASSERT_EQ(d.all_sends.size(), 1u);
  EXPECT_EQ(d.all_sends[0].worker, 1u);
  d.Workers(1);  // the worker is back: the queued jobs are sent
  EXPECT_FALSE(d.sends.empty());
}

TEST(Drain, ACompleteListDropsWorkersItDoesNotName) {
  Driver d(BaseSettings());
  d.Workers(3);
  d.List({Driver::Entry(2)});
  EXPECT_EQ(d.dispatcher.KnownWorkers(), 1u);
  d.Submit(1);
  EXPECT_EQ(d.last_worker[1], 2u);
}

// Returns the work sent to one cold worker in the window of rule 4, in microseconds by the hints.
double SentToCold(int balancers, bool restart) {
  Settings s = BaseSettings();
  s.balancers = balancers;
  Driver d(s);
  if (restart) d.Workers(1);
  d.now = 100 * kSecond;
  d.List({Driver::Entry(0, Health::kInService, d.now)}, WorkerList::Form::kChanges);
  RequestId id = 1;
  double work = 0;
  for (int i = 0; i < 150; ++i) {
    RequestArrived r = d.Request(id, 0);
    r.hint = 50 * kMs;
    d.Give({r});
    while (!d.sends.empty()) {  // refused at once, which still counts
      const RequestId sent = d.sends[0].request;
      work += 50 * kMs;
      d.End(sent, Outcome::kFull);
    }
    ++id;
    d.Run(10 * kMs);
  }
  return work;
}

TEST(Cold, GetsThisNodesPartOfTheBudget) {
  // One slot has been seen: 4 x share x 1.5 s, and the share grows to 0.45 in this time.
  const double budget = 4 * 0.45 * 1500 * kMs;
  for (const bool restart : {false, true}) {
    const double alone = SentToCold(1, restart);
    const double third = SentToCold(3, restart);
    EXPECT_GT(third, 0);
    EXPECT_LE(alone, budget);
    EXPECT_LE(third, budget / 3);
  }
}

// Regression: each connection reset made its worker cold for seconds although all its other jobs
// kept running.
TEST(Cold, AWorkerThatSpeaksOfWhatItHadBeforeDidNotDie) {
  Driver d(BaseSettings());
  d.now = 10 * kSecond;
  d.Workers(1);
  d.ServeInParallel(10, 20);
  const auto dead = [&] { return d.dispatcher.Learned(d.now).workers.at(0).died_at != 0; };
  for (RequestId id = 1; id <= 2; ++id) {
    d.Submit(id, 1);
    d.Begin(id);
  }
  d.Run(50 * kMs);
  d.End(2, Outcome::kReset);
  EXPECT_TRUE(dead()) << "a reset looks like a death";
  d.Run(50 * kMs);
  d.Progress(1);
  EXPECT_FALSE(dead()) << "the other job still runs";
  d.Submit(3, 1);
  d.Begin(3);
  d.Run(50 * kMs);
  d.End(1, Outcome::kReset);
  EXPECT_TRUE(dead());
  d.End(3, Outcome::kReset);
  d.Run(500 * kMs);
  d.Submit(4, 1);
  d.Begin(4);
  EXPECT_TRUE(dead()) << "a job of the new process does not show that the old one lives";
}

TEST(Cold, IsWarmAfterTheStatedTime) {
  Settings s = BaseSettings();
  s.balancers = 50;
  Driver d(s);
  d.now = 100 * kSecond;
  d.List({Driver::Entry(0, Health::kInService, d.now)});
  d.Submit(1, 0, 30 * kSecond);
  EXPECT_TRUE(d.sends.empty());
  d.Run(8 * kSecond + 50 * kMs);
  EXPECT_EQ(d.all_sends.size(), 1u);
}

// Rule 2 (no double execution) across a restart: a job whose attempt was sent by the earlier
// process.
TEST(Adopted, IsNotSentAgainAndItsSlotsCount) {
  Driver d(BaseSettings());
  d.Workers(3);
  AttemptAdopted adopted{7, 1, -kSecond, true, AttemptAdopted::State::kInFlight};
  d.Give({d.Request(7, 1), adopted});
  EXPECT_TRUE(d.sends.empty());
  EXPECT_EQ(d.dispatcher.PoolBusy(0), 1);
  d.Run(3 * kSecond);
  EXPECT_TRUE(d.all_sends.empty()) << "sent again on suspicion";
  AttemptEnded e;
  e.request = 7;
  e.worker = 1;
  e.outcome = Outcome::kTimeout;
  d.Give({e});
  EXPECT_TRUE(d.all_sends.empty());
  EXPECT_EQ(d.failed, std::vector<RequestId>{7}) << "no promise: it may have run";
  EXPECT_EQ(d.dispatcher.PoolBusy(0), 0);
  EXPECT_EQ(d.dispatcher.OpenRequests(), 0u);
}

// An attempt at a worker that is no longer listed: its slots do not count towards the limit, and
// the job is not sent elsewhere.
TEST(Adopted, AtAWorkerThatHasGone) {
  Driver d(BaseSettings());
  d.Workers(1);
  d.Give({d.Request(7, 1), AttemptAdopted{7, 9, 0, true, AttemptAdopted::State::kInFlight}});
  d.Run(3 * kSecond);
  EXPECT_TRUE(d.all_sends.empty());
  d.Serve(8);
  EXPECT_EQ(d.all_sends.size(), 1u);
}

// A job that never ran is sent at once; a job that may have run only within its key window, counted
// from the first send.
TEST(Adopted, EndedAttemptsBindTheNextAsEver) {
  for (const auto& [cls, was, sent, wanted] :
       {std::tuple{1, AttemptAdopted::State::kNeverRan, -kSecond, 1u},
        std::tuple{1, AttemptAdopted::State::kMayHaveRun, -kSecond, 0u},
        std::tuple{2, AttemptAdopted::State::kMayHaveRun, -kSecond, 1u},
        std::tuple{2, AttemptAdopted::State::kMayHaveRun, -6 * kSecond, 0u}}) {
    Driver d(BaseSettings());
    d.Workers(3);
    d.Give({d.Request(7, cls), AttemptAdopted{7, 1, sent, false, was}});
    d.Run(kSecond);
    EXPECT_EQ(d.all_sends.size(), wanted) << "class " << cls << ", sent at " << sent;
  }
}

}  // namespace
}  // namespace pearreach::dispatch::testing
