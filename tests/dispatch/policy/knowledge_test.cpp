// The use of the knowledge of an earlier process: it serves as evidence until the new process has
// evidence of its own.
#include <gtest/gtest.h>

#include "driver.h"

namespace pearreach::dispatch::testing {
namespace {

PoolKnowledge PoolWithLimit(double limit) { return {0, limit, limit, 8, 100'000, 100'000, 0}; }

WorkerKnowledge KnowledgeOf(WorkerId id) {
  WorkerKnowledge w;
  w.worker = id;
  return w;
}

TEST(Recalled, ALimitIsRaisedButNotPastACut) {
  Driver d(BaseSettings());
  d.now = 10 * kSecond;
  d.Workers(8);
  EXPECT_EQ(d.dispatcher.PoolLimit(0), 0) << "an unknown limit starts at zero";
  d.Give({Knowledge{{PoolWithLimit(20)}, {}, {}, {}}});
  EXPECT_EQ(d.dispatcher.PoolLimit(0), 20);
  std::vector<Event> all;
  for (RequestId id = 1; id <= 8; ++id) all.push_back(d.Request(id, 1));
  d.Give(all);
  EXPECT_EQ(d.sends.size(), 8u) << "the restored limit applies at once";
  for (RequestId id = 1; id <= 4; ++id) d.End(id, Outcome::kFull);
  const double cut = d.dispatcher.PoolLimit(0);
  EXPECT_LT(cut, 10);
  d.Give({Knowledge{{PoolWithLimit(20)}, {}, {}, {}}});
  EXPECT_EQ(d.dispatcher.PoolLimit(0), cut) << "own refusals take precedence";
}

TEST(Recalled, TheFirstWordOutweighsIt) {
  Driver d(BaseSettings());
  d.now = 10 * kSecond;
  d.Workers(1);
  WorkerKnowledge failing = KnowledgeOf(0);
  failing.failures = 0.9;
  failing.slowness = 2;
  d.Give({Knowledge{{PoolWithLimit(8)}, {failing}, {{0, 100'000}}, {}}});
  d.Submit(1);
  d.Begin(1);
  d.Submit(2);
  EXPECT_EQ(d.all_sends.size(), 1u) << "a failing worker gets one trial at a time";
  d.Run(100 * kMs);
  d.End(1, Outcome::kGood);
  const WorkerKnowledge now = d.dispatcher.Learned(d.now).workers.at(0);
  EXPECT_LT(now.failures, 0.3) << "after one completed job";
  EXPECT_NEAR(now.slowness, 1.75, 0.01) << "a quarter of the way to the observed speed";
  d.Begin(2);
  d.Run(100 * kMs);
  d.End(2, Outcome::kGood);
  EXPECT_GT(d.dispatcher.Learned(d.now).workers.at(0).slowness, 1.6)
      << "later jobs have the usual weight";
  // Knowledge that arrives after the first response is ignored.
  d.Give({Knowledge{{}, {failing}, {}, {}}});
  EXPECT_LT(d.dispatcher.Learned(d.now).workers.at(0).failures, 0.3);
}

TEST(Recalled, ASilentOneGetsATrialAndNoShare) {
  Driver d(BaseSettings());
  d.now = 10 * kSecond;
  d.Workers(2);
  WorkerKnowledge silent = KnowledgeOf(0);
  silent.silent = true;
  d.Give({Knowledge{{PoolWithLimit(8)}, {silent, KnowledgeOf(1)}, {}, {}}});
  std::vector<Event> all;
  for (RequestId id = 1; id <= 6; ++id) all.push_back(d.Request(id, 1));
  d.Give(all);
  int at_silent = 0;
  for (RequestId id = 1; id <= 6; ++id)
    at_silent += d.last_worker.count(id) && d.last_worker[id] == 0;
  EXPECT_LE(at_silent, 1);
  for (RequestId id = 1; id <= 6; ++id)
    if (d.attempts[id] > 0 && d.last_worker[id] == 0) {
      d.Begin(id);
      EXPECT_FALSE(d.dispatcher.Learned(d.now).workers.at(0).silent) << "the worker has responded";
    }
}

// Rule 4 (a cold worker is not overloaded) across a restart of the node: the work that the old
// process sent in the window counts for the new process too.
TEST(Recalled, SpentColdPressureIsSpent) {
  for (const bool restored : {false, true}) {
    Driver d(BaseSettings());
    d.now = 10 * kSecond;
    d.List({Driver::Entry(0, Health::kInService, d.now)});
    WorkerKnowledge w = KnowledgeOf(0);
    if (restored) w.cold_sends = {{d.now - 200 * kMs, 8e6}};
    d.Give({Knowledge{{PoolWithLimit(8)}, {w}, {{0, 100'000}}, {}}});
    d.Submit(1);
    EXPECT_EQ(d.all_sends.size(), restored ? 0u : 1u);
    d.Run(1500 * kMs);
    EXPECT_EQ(d.all_sends.size(), 1u) << "sent once the window has passed";
  }
}

// A worker whose process died without an update of the list is still cold for the next process of
// the node.
TEST(Recalled, ADeathIsRemembered) {
  Driver d(BaseSettings());
  d.now = 10 * kSecond;
  d.Workers(1);
  WorkerKnowledge w = KnowledgeOf(0);
  w.died_at = d.now - kSecond;
  w.cold_sends = {{d.now, 1e9}};
  d.Give({Knowledge{{PoolWithLimit(8)}, {w}, {}, {}}});
  d.Submit(1);
  EXPECT_TRUE(d.all_sends.empty());
  // The list reports a new process, so the evidence against the old one no longer applies.
  d.List({Driver::Entry(0, Health::kInService, 1)});
  EXPECT_EQ(d.all_sends.size(), 1u);
  EXPECT_EQ(d.dispatcher.Learned(d.now).workers.size(), 0u)
      << "nothing is known of the new process";
}

TEST(Recalled, ATenantsShareIsNotThereTwice) {
  Settings s = BaseSettings();
  s.tenants = {{10}};
  s.over_quota_value = 0.05;
  Driver fresh(s), again(s);
  for (Driver* d : {&fresh, &again}) d->Workers(1);
  again.Give({Knowledge{{}, {}, {}, {{0, 0.5}}}});
  EXPECT_NEAR(again.dispatcher.Learned(0).tenants.at(0).tokens, 0.5, 1e-9);
  EXPECT_NEAR(fresh.dispatcher.Learned(0).tenants.at(0).tokens, 20, 1e-9);
}

TEST(Recalled, WhatIsTaughtIsWhatWasLearned) {
  Driver first(BaseSettings()), second(BaseSettings());
  first.Workers(4);
  first.ServeInParallel(1, 40);
  const Knowledge learned = first.dispatcher.Learned(first.now);
  ASSERT_EQ(learned.workers.size(), 4u);
  ASSERT_GT(learned.pools.at(0).limit, 2);
  second.Workers(4);
  second.Give({learned});
  const Knowledge again = second.dispatcher.Learned(second.now);
  EXPECT_EQ(again.pools.at(0).limit,
            std::min(learned.pools.at(0).limit, learned.pools.at(0).proven_limit));
  EXPECT_EQ(again.pools.at(0).mean_running, learned.pools.at(0).mean_running);
  EXPECT_EQ(again.classes.at(0).work, learned.classes.at(0).work);
}

TEST(Recalled, WhatItDoesNotHoldIsPassedOver) {
  Driver d(BaseSettings());
  d.now = 10 * kSecond;
  d.Workers(2);
  PoolKnowledge none = PoolWithLimit(8);
  none.pool = 7;
  PoolKnowledge minus = PoolWithLimit(8);
  minus.pool = -1;
  d.Give({Knowledge{{none, minus}, {KnowledgeOf(99)}, {{-1, 5}, {88, 5}}, {{3, 1}}}});
  EXPECT_EQ(d.dispatcher.PoolLimit(0), 0);
  EXPECT_EQ(d.dispatcher.KnownWorkers(), 2u);
}

}  // namespace
}  // namespace pearreach::dispatch::testing
