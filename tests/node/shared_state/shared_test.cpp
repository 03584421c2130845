// Shared state: properties of usage counters, budgets and worker health, and fleets of many nodes
// in virtual time under faults. A test that names a guard fails if that guard is removed.
#include "node/shared_state/shared.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "lab/trial/checkers.h"
#include "lab/trial/virtual.h"

namespace pearreach {
namespace {

using lab::Fault;
using lab::TrialPlan;
using namespace shared_state;  // NOLINT: all names of the test come from it

constexpr Micros kUnix = 1'800'000'000'000'000;

lab::SharedLoad Load() {
  lab::SharedLoad load;
  load.options.quotas = {70, 40, 20};
  load.asked = {60, 30, 10};
  load.flood_from = 4'000'000;
  load.flood_until = 12'000'000;
  return load;
}

TrialPlan Plan(std::uint64_t seed, std::vector<Fault> faults, int nodes = 9) {
  TrialPlan p;
  p.nodes = nodes;
  p.zones = 3;
  p.workers = 12;
  p.length = 16'000'000;
  p.seed = seed;
  p.faults = std::move(faults);
  return p;
}

std::string Violations(const lab::History& history, std::size_t most = 4) {
  std::string text;
  for (const lab::Violation& v : lab::CheckAll(history)) {
    // With half of all messages lost, membership never settles; the tests of membership cover that.
    if (v.rule == "agreement" || v.rule == "noticed" || v.rule == "unfounded") continue;
    if (most-- == 0) break;
    text += v.rule + ": " + v.what + "\n";
  }
  return text;
}

lab::VirtualResult RunPlan(const TrialPlan& plan, const lab::SharedLoad& load, double lost = 0) {
  lab::VirtualOptions o;
  o.plan = plan;
  o.shared = &load;
  o.lost = lost;
  return lab::RunVirtual(o);
}

Fault Of(Fault::What what, Micros at, Micros length, std::string from, std::string to = "*",
         double share = 1, Micros late = 0) {
  Fault f;
  f.what = what;
  f.at = at;
  f.length = length;
  f.from = std::move(from);
  f.to = std::move(to);
  f.share = share;
  f.late = late;
  return f;
}

using What = Fault::What;

struct HardCase {
  const char* name;
  std::vector<Fault> faults;
  double lost = 0;
};
void PrintTo(const HardCase& c, std::ostream* os) { *os << c.name; }

class HardCases : public testing::TestWithParam<HardCase> {};

TEST_P(HardCases, NothingLeavesItsBound) {
  for (const std::uint64_t seed : {1, 2}) {
    const auto r = RunPlan(Plan(seed, GetParam().faults), Load(), GetParam().lost);
    EXPECT_EQ(Violations(r.history), "") << "seed " << seed;
    EXPECT_GT(r.readings, 1000u);
    EXPECT_LE(r.most_parts, 1.0);
  }
}

INSTANTIATE_TEST_SUITE_P(
    SharedState, HardCases,
    testing::Values(
        HardCase{"Calm", {}}, HardCase{"AFifthLost", {}, 0.2}, HardCase{"HalfLost", {}, 0.5},
        HardCase{"AZoneCutOff", {Of(What::kLose, 2'000'000, 8'000'000, "z1", "*")}},
        HardCase{"Unequal",
                 {Of(What::kLose, 2'000'000, 6'000'000, "n0", "*"),
                  Of(What::kLose, 2'000'000, 6'000'000, "*", "n0")}},
        HardCase{"OneWay", {Of(What::kLose, 1'000'000, 9'000'000, "n1", "n0")}},
        HardCase{"OneHearsNothing", {Of(What::kLose, 2'000'000, 10'000'000, "*", "n2")}, 0.2},
        HardCase{"DoubledReorderedOld",
                 {Of(What::kDouble, 0, 9'000'000, "*", "*", 0.5, 3'000'000),
                  Of(What::kLate, 1'000'000, 9'000'000, "*", "*", 0.5, 5'000'000)}},
        HardCase{"AStalledNodeWakesWithLeasesThatRanOut",
                 {Of(What::kStall, 5'000'000, 3'000'000, "n0"),
                  Of(What::kStall, 5'500'000, 3'000'000, "n3")}},
        HardCase{
            "KilledAndRestartedAtOnce",
            {Of(What::kKill, 5'000'000, 100'000, "n0"), Of(What::kKill, 6'000'000, 100'000, "n1"),
             Of(What::kKill, 6'500'000, 100'000, "n0")}},
        HardCase{"AllRestartedAtOnce", {Of(What::kKill, 6'000'000, 200'000, "*")}},
        HardCase{"WorkersSilentAndDead",
                 {Of(What::kSilence, 3'000'000, 4'000'000, "s-1"),
                  Of(What::kDie, 3'000'000, 4'000'000, "s-2")}},
        HardCase{"OneZonesNetworkToAWorkerIsCut",
                 {Of(What::kHoldTcp, 3'000'000, 8'000'000, "z0", "s-4")}}),
    [](const auto& info) { return info.param.name; });

TEST(SharedDrawn, FaultsBreakNothing) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    TrialPlan plan = Plan(seed, {});
    lab::DrawFaults({.faults = 10, .processes = true, .workers = true}, &plan);
    const auto r = RunPlan(plan, Load(), seed % 3 == 0 ? 0.2 : 0);
    EXPECT_EQ(Violations(r.history), "") << "seed " << seed << "\n" << WritePlan(plan);
  }
}

// ---------------------------------------------------------------- disabled guards

int Broken(const Budgets::DisabledGuards& without, std::vector<Fault> faults) {
  lab::SharedLoad load = Load();
  load.without = without;
  int broken = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const auto r = RunPlan(Plan(seed, faults), load);
    const auto all = lab::CheckAll(r.history);
    broken +=
        std::any_of(all.begin(), all.end(), [](const auto& v) { return v.rule == "budget-sum"; })
            ? 1
            : 0;
  }
  return broken;
}

TEST(SharedGuards, EachLeftOutBreaksTheSum) {
  EXPECT_GT(Broken({.deduct_lent = true}, {}), 0) << "the lender spends the quota that it has lent";
  EXPECT_GT(Broken({.startup_quarantine = true}, {Of(What::kKill, 6'000'000, 100'000, "z1")}), 0)
      << "a new process spends quota that its predecessor has lent";
  EXPECT_GT(Broken({.grant_expiry = true}, {Of(What::kLose, 6'000'000, 5'000'000, "*", "*")}), 0)
      << "borrowed quota is spent after its lease";
}

TEST(SharedBudgets, AGrantToAnEarlierProcessIsNotTaken) {
  BudgetsOptions o{.self = 0, .nodes = 3, .limits = {30}};
  Budgets b(o, 2'000, 1, kUnix);
  b.OnGrant(kUnix, 1, 9, {0, 1, /*to_process=*/1'000, 3'000, kUnix + 1'000'000});
  EXPECT_EQ(b.borrowed(kUnix, 0), 0);
  b.OnGrant(kUnix, 1, 9, {0, 2, 2'000, 3'000, kUnix + 1'000'000});
  EXPECT_EQ(b.borrowed(kUnix, 0), 3'000);
  b.OnGrant(kUnix, 1, 9, {0, 1, 2'000, 9'000, kUnix + 1'000'000});
  EXPECT_EQ(b.borrowed(kUnix, 0), 3'000) << "an older grant arrived late";
  b.OnGrant(kUnix, 1, 9, {0, 3, 2'000, 9'000, kUnix + 60'000'000});
  EXPECT_EQ(b.borrowed(kUnix, 0), 3'000) << "the lender's clock is far off";
}

TEST(SharedBudgets, PartsMoveToWhereTheTrafficIsAndFloorsStay) {
  BudgetsOptions o{.self = 0, .nodes = 3, .limits = {30}};
  o.self = 1;
  Budgets lender(o, 1, 1, kUnix - 60'000'000);
  const auto g = lender.OnRequest(kUnix, 0, 77, {0, 9'000});
  ASSERT_TRUE(g);
  EXPECT_EQ(g->amount, 5'000) << "half of its even share of ten is the floor";
  EXPECT_EQ(lender.allocation(kUnix, 0), 5'000);
  EXPECT_FALSE(lender.OnRequest(kUnix, 2, 78, {0, 9'000})) << "no quota is left to lend";
  EXPECT_EQ(lender.allocation(kUnix + o.lease, 0), 5'000)
      << "the lease may not have ended on every clock";
  EXPECT_EQ(lender.allocation(kUnix + o.lease + o.skew, 0), 10'000) << "the lent quota returns";
}

TEST(SharedBudgets, TheStricterOfTwoWholesHolds) {
  BudgetsOptions o{.self = 0, .nodes = 3, .limits = {30}};
  Budgets b(o, 1, 1, kUnix - 60'000'000);
  b.OnRemoteLimit(kUnix, 0, 90);
  EXPECT_EQ(b.allocation(kUnix, 0), 10'000) << "a higher limit changes nothing";
  b.OnRemoteLimit(kUnix, 0, 15);
  EXPECT_EQ(b.allocation(kUnix, 0), 5'000);
  EXPECT_EQ(b.allocation(kUnix + 60'000'000, 0), 10'000) << "no node reports it any more";
}

TEST(SharedShares, ALoweredShareHoldsWhileHalfHaveTheOldOne) {
  lab::SharedLoad load = Load();
  load.lowered = {35, 20, 10};
  const auto r = RunPlan(Plan(3, {Of(What::kKill, 5'000'000, 100'000, "z0"),
                                  Of(What::kKill, 5'200'000, 100'000, "z1")}),
                         load);
  EXPECT_EQ(Violations(r.history), "");
}

// ---------------------------------------------------------------- merges

rc::Gen<UsageUpdate> AnyUpdate() {
  return rc::gen::apply(
      [](int node, int process, int at, int slow) {
        // The value of a process never decreases over time.
        return UsageUpdate{node,
                           0,
                           static_cast<std::uint64_t>(1000 + process),
                           kUnix - 9'000'000 + at * 100'000,
                           static_cast<std::uint64_t>(at * (1 + process)),
                           static_cast<double>(1 + slow)};
      },
      rc::gen::inRange(1, 4), rc::gen::inRange(1, 4), rc::gen::inRange(1, 90),
      rc::gen::inRange(0, 1));
}

// The result of a merge does not depend on the order of updates or on duplicates.
RC_GTEST_PROP(SharedMerge, CountsDoNotDependOnOrderOrNumber, ()) {
  const auto updates = *rc::gen::container<std::vector<UsageUpdate>>(AnyUpdate());
  auto shuffled = updates;
  for (std::size_t i = 0; i < updates.size(); ++i)
    if (*rc::gen::inRange(0, 3) == 0) shuffled.push_back(updates[i]);
  for (std::size_t i = shuffled.size(); i > 1; --i)
    std::swap(shuffled[i - 1],
              shuffled[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(i)))]);
  const UsageOptions o{.self = 0, .nodes = 4, .quotas = {50}};
  UsageCounters a(o, 5'000, kUnix), b(o, 5'000, kUnix);
  std::uint64_t before = 0;
  for (const UsageUpdate& w : updates) {
    a.Merge(kUnix, w);
    const auto known = a.latest(1, 0);
    if (known && known->process == 1003) {
      RC_ASSERT(known->value >= before);  // counters never decrease
      before = known->value;
    }
  }
  for (const UsageUpdate& w : shuffled) b.Merge(kUnix, w);
  for (int n = 1; n < 4; ++n) {
    const auto x = a.latest(n, 0), y = b.latest(n, 0);
    RC_ASSERT(x.has_value() == y.has_value());
    if (!x) continue;
    RC_ASSERT(x->process == y->process);
    RC_ASSERT(x->value == y->value);
    RC_ASSERT(x->at == y->at);
  }
  // The samples of the previous process are equal too, and so are the estimates.
  const UsageEstimate x = a.Estimate(kUnix, 0), y = b.Estimate(kUnix, 0);
  RC_ASSERT(std::abs(x.lower - y.lower) < 1e-9);
}

RC_GTEST_PROP(SharedMerge, JudgementsDoNotDependOnOrderOrNumber, ()) {
  const auto updates = *rc::gen::container<std::vector<HealthReport>>(rc::gen::apply(
      [](int reporter, int process, int number, int status) {
        // Reports of one reporter with equal process and sequence number have equal contents.
        return HealthReport{7,
                            0,
                            reporter,
                            reporter % 3,
                            static_cast<std::uint64_t>(1 + process),
                            static_cast<std::uint32_t>(1 + number),
                            static_cast<HealthStatus>((status * 0 + number + process) % 5),
                            kUnix - number * 100'000};
      },
      rc::gen::inRange(1, 5), rc::gen::inRange(0, 3), rc::gen::inRange(0, 5),
      rc::gen::inRange(0, 5)));
  auto shuffled = updates;
  shuffled.insert(shuffled.end(), updates.begin(), updates.end());
  std::reverse(shuffled.begin(), shuffled.end());
  const WorkerHealthOptions o{.self = 0, .nodes = 5, .zones = 3};
  WorkerHealth a(o, 1), b(o, 1);
  a.OnListed(7, 0, 0, true);
  b.OnListed(7, 0, 0, true);
  for (const HealthReport& w : updates) a.Merge(kUnix, w);
  for (const HealthReport& w : shuffled) b.Merge(kUnix, w);
  RC_ASSERT(a.reports(7) == b.reports(7));
}

RC_GTEST_PROP(SharedWords, WhatIsWrittenIsReadAgainWithinItsRoom, ()) {
  Message w;
  w.zone = *rc::gen::inRange(0, 20);
  w.at = kUnix;
  for (int i = *rc::gen::inRange(0, 6); i-- > 0;) {
    w.own_usage.push_back(
        {3, i, 1'800'000'000'000, kUnix, *rc::gen::inRange<std::uint64_t>(0, 1'000'000), 12.5});
    w.limits.push_back(70);
    w.grants.push_back({i, 9, 1'800'000'000'001, 12, kUnix + 5});
    w.health_reports.push_back({static_cast<WorkerKey>(i), kUnix / 1000, 2, 1, 1'800'000'000'002, 4,
                                HealthStatus::kDead, kUnix - 5'000});
  }
  const auto room = static_cast<std::size_t>(*rc::gen::inRange(0, 400));
  int omitted = 0;
  const std::string bytes = Encode(w, room, &omitted);
  RC_ASSERT(bytes.size() <= room);
  if (bytes.empty()) return;
  const auto read = Decode(bytes, 3, 1'800'000'000'000);
  RC_ASSERT(read.has_value());
  const std::size_t all =
      read->own_usage.size() + read->grants.size() + read->health_reports.size();
  RC_ASSERT(all + static_cast<std::size_t>(omitted) ==
            w.own_usage.size() + w.grants.size() + w.health_reports.size());
  for (std::size_t i = 0; i < read->health_reports.size(); ++i)
    RC_ASSERT(read->health_reports[i] == w.health_reports[i]);
}

// ---------------------------------------------------------------- judgements

TEST(SharedJudgements, ANodeThatSaysThatAllAreSilentCondemnsNone) {
  lab::SharedLoad load = Load();
  load.liar = 4;
  const auto r = RunPlan(Plan(1, {}), load);
  EXPECT_EQ(Violations(r.history), "");
  for (const lab::Moment& m : r.history) ASSERT_NE(m.what, "worker_out");
}

TEST(SharedJudgements, ASilentWorkerIsLeftByAllAndTriedByFew) {
  const std::vector<Fault> faults = {Of(What::kSilence, 3'000'000, 8'000'000, "s-1")};
  const lab::SharedLoad load = Load();
  lab::SharedLoad alone = load;
  alone.options.health.min_reporters = 1'000;  // reports are never sufficient
  const auto with = RunPlan(Plan(1, faults), load), without = RunPlan(Plan(1, faults), alone);
  EXPECT_LT(with.sends_lost * 2, without.sends_lost);
  EXPECT_EQ(Violations(with.history), "");
}

TEST(SharedJudgements, OwnFreshEvidenceOutweighsHearsay) {
  WorkerHealthOptions o{.self = 0, .nodes = 5, .zone = 0, .zones = 2};
  WorkerHealth j(o, 1);
  for (WorkerKey w = 0; w < 10; ++w) j.OnListed(w, 0, 0, true);
  for (int reporter = 1; reporter <= 4; ++reporter)
    j.Merge(kUnix, {3, 0, reporter, reporter % 2, 1, 1, HealthStatus::kSilent, kUnix});
  j.OnWorkerResponse(kUnix, 3);
  j.Update(kUnix, {1, 2, 3, 4});
  EXPECT_FALSE(j.statuses().contains(3));
  j.Update(kUnix + 2'000'000, {1, 2, 3, 4});
  ASSERT_TRUE(j.statuses().contains(3)) << "its own evidence has expired";
  EXPECT_EQ(j.statuses().at(3).reporters, (std::vector<int>{1, 2, 3, 4}));
  j.OnListed(3, 0, kUnix / 1000, true);
  j.Update(kUnix + 2'100'000, {1, 2, 3, 4});
  EXPECT_FALSE(j.statuses().contains(3)) << "the worker has a new process";
}

// An evaluation while the first job after a pause was running (30 ms) reported the worker as
// silent. This happened with 300 nodes.
TEST(SharedJudgements, TheFirstJobAfterAPauseIsNoSilence) {
  WorkerHealth j({.self = 0, .nodes = 5, .zone = 0, .zones = 2}, 1);
  j.OnListed(7, 0, 0, true);
  const Micros at = 1'800'000'000'000'000;
  j.OnJobSent(at, 7);
  j.OnJobEnded(at + 30'000, 7, WorkerHealth::JobOutcome::kServed, 1);
  j.OnJobSent(at + 9'000'000, 7);
  j.Update(at + 9'010'000, {});
  EXPECT_EQ(j.own_status(7), HealthStatus::kHealthy);
  j.Update(at + 9'600'000, {});
  EXPECT_EQ(j.own_status(7), HealthStatus::kSilent);
}

// Two nodes that had been stopped reported a worker as silent forever, because a job that had timed
// out was never cleared. This happened in a trial with processes (seed 90030).
TEST(SharedJudgements, WhatWasWaitedForInVainFades) {
  WorkerHealth j({.self = 0, .nodes = 5, .zone = 0, .zones = 2}, 1);
  j.OnListed(7, 0, 0, true);
  const Micros at = 1'800'000'000'000'000;
  j.OnJobSent(at, 7);
  j.OnJobEnded(at + 1'000'000, 7, WorkerHealth::JobOutcome::kTimedOut, 0);
  j.Update(at + 1'100'000, {});
  EXPECT_EQ(j.own_status(7), HealthStatus::kSilent);
  for (Micros t = 2'000'000; t < 13'000'000; t += 250'000) j.Update(at + t, {});
  EXPECT_EQ(j.own_status(7), HealthStatus::kHealthy);
}

TEST(SharedJudgements, OneTrierAtATimeForTheWholeFleet) {
  std::vector<std::unique_ptr<WorkerHealth>> nodes;
  for (int n = 0; n < 6; ++n) {
    nodes.push_back(std::make_unique<WorkerHealth>(
        WorkerHealthOptions{.self = n, .nodes = 6, .zone = n % 2, .zones = 2}, 1));
    for (WorkerKey w = 0; w < 10; ++w) nodes.back()->OnListed(w, 0, 0, true);
    for (int reporter = 0; reporter < 6; ++reporter)
      nodes.back()->Merge(kUnix,
                          {3, 0, reporter, reporter % 2, 1, 1, HealthStatus::kSilent, kUnix});
  }
  for (Micros at = kUnix; at < kUnix + 8'000'000; at += 300'000) {
    int probers = 0;
    for (int n = 0; n < 6; ++n) {
      std::vector<int> alive;
      for (int other = 0; other < 6; ++other)
        if (other != n) alive.push_back(other);
      nodes[static_cast<std::size_t>(n)]->Update(at, alive);
      const auto& all = nodes[static_cast<std::size_t>(n)]->statuses();
      probers += all.contains(3) && all.at(3).probe ? 1 : 0;
    }
    EXPECT_EQ(probers, 1);
  }
}

}  // namespace
}  // namespace pearreach
