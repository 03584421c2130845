// An earlier process's word as the module takes it: evidence, and gone with the first word of its
// own.
#include <gtest/gtest.h>

#include "driver.h"

namespace pearreach::dispatch::testing {
namespace {

PoolKnowledge APool(double limit) { return {0, limit, limit, 8, 100'000, 100'000, 0}; }

WorkerKnowledge Of(WorkerId id) {
  WorkerKnowledge w;
  w.worker = id;
  return w;
}

TEST(Recalled, ALimitIsRaisedButNotPastACut) {
  Driver d(BaseSettings());
  d.now = 10 * kSecond;
  d.Workers(8);
  EXPECT_EQ(d.dispatcher.PoolLimit(0), 0) << "what is unknown starts at zero";
  d.Give({Knowledge{{APool(20)}, {}, {}, {}}});
  EXPECT_EQ(d.dispatcher.PoolLimit(0), 20);
  std::vector<Event> all;
  for (RequestId id = 1; id <= 8; ++id) all.push_back(d.Request(id, 1));
  d.Give(all);
  EXPECT_EQ(d.sends.size(), 8u) << "a full share at once, without growing first";
  for (RequestId id = 1; id <= 4; ++id) d.End(id, Outcome::kFull);
  const double cut = d.dispatcher.PoolLimit(0);
  EXPECT_LT(cut, 10);
  d.Give({Knowledge{{APool(20)}, {}, {}, {}}});
  EXPECT_EQ(d.dispatcher.PoolLimit(0), cut) << "its own refusals tell more";
}

TEST(Recalled, TheFirstWordOutweighsIt) {
  Driver d(BaseSettings());
  d.now = 10 * kSecond;
  d.Workers(1);
  WorkerKnowledge sick = Of(0);
  sick.failures = 0.9;
  sick.slowness = 2;
  d.Give({Knowledge{{APool(8)}, {sick}, {{0, 100'000}}, {}}});
  d.Ask(1);
  d.Begin(1);
  d.Ask(2);
  EXPECT_EQ(d.all_sends.size(), 1u) << "a sick one gets one trial at a time";
  d.Run(100 * kMs);
  d.End(1, Outcome::kGood);
  const WorkerKnowledge now = d.dispatcher.Learned(d.now).workers.at(0);
  EXPECT_LT(now.failures, 0.3) << "one job that it served";
  EXPECT_NEAR(now.slowness, 1.75, 0.01) << "a quarter of the way";
  d.Begin(2);
  d.Run(100 * kMs);
  d.End(2, Outcome::kGood);
  EXPECT_GT(d.dispatcher.Learned(d.now).workers.at(0).slowness, 1.6) << "then as any other word";
  // What was heard stands against whatever comes later.
  d.Give({Knowledge{{}, {sick}, {}, {}}});
  EXPECT_LT(d.dispatcher.Learned(d.now).workers.at(0).failures, 0.3);
}

TEST(Recalled, ASilentOneGetsATrialAndNoShare) {
  Driver d(BaseSettings());
  d.now = 10 * kSecond;
  d.Workers(2);
  WorkerKnowledge silent = Of(0);
  silent.silent = true;
  d.Give({Knowledge{{APool(8)}, {silent, Of(1)}, {}, {}}});
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
      EXPECT_FALSE(d.dispatcher.Learned(d.now).workers.at(0).silent) << "it has spoken";
    }
}

// Guards rule 4 across a restart: what the old process sent in the window counts against the new
// one.
TEST(Recalled, SpentColdPressureIsSpent) {
  for (const bool told : {false, true}) {
    Driver d(BaseSettings());
    d.now = 10 * kSecond;
    d.List({Driver::Entry(0, Health::kInService, d.now)});
    WorkerKnowledge w = Of(0);
    if (told) w.cold_sends = {{d.now - 200 * kMs, 8e6}};
    d.Give({Knowledge{{APool(8)}, {w}, {{0, 100'000}}, {}}});
    d.Ask(1);
    EXPECT_EQ(d.all_sends.size(), told ? 0u : 1u);
    d.Run(1500 * kMs);
    EXPECT_EQ(d.all_sends.size(), 1u) << "once the window has passed";
  }
}

// Its process died while the list says nothing: still cold for the next process of the node.
TEST(Recalled, ADeathIsRemembered) {
  Driver d(BaseSettings());
  d.now = 10 * kSecond;
  d.Workers(1);
  WorkerKnowledge w = Of(0);
  w.died_at = d.now - kSecond;
  w.cold_sends = {{d.now, 1e9}};
  d.Give({Knowledge{{APool(8)}, {w}, {}, {}}});
  d.Ask(1);
  EXPECT_TRUE(d.all_sends.empty());
  // The list names a new process: what was held against the old one is void.
  d.List({Driver::Entry(0, Health::kInService, 1)});
  EXPECT_EQ(d.all_sends.size(), 1u);
  EXPECT_EQ(d.dispatcher.Learned(d.now).workers.size(), 0u) << "and of this one nothing is known";
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
  first.ServeTogether(1, 40);
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
  PoolKnowledge none = APool(8);
  none.pool = 7;
  PoolKnowledge minus = APool(8);
  minus.pool = -1;
  d.Give({Knowledge{{none, minus}, {Of(99)}, {{-1, 5}, {88, 5}}, {{3, 1}}}});
  EXPECT_EQ(d.dispatcher.PoolLimit(0), 0);
  EXPECT_EQ(d.dispatcher.KnownWorkers(), 2u);
}

}  // namespace
}  // namespace pearreach::dispatch::testing
