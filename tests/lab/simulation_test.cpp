// The world in virtual time: the same on any number of threads, its checkers red where a rule is
// broken, and experiments that tell what differs from what does not.
#include "lab/sim/simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "lab/experiment/run.h"
#include "lab/experiment/settings.h"
#include "lab/report/page.h"

namespace pearreach::lab {
namespace {

constexpr Micros kS = 1'000'000;

Scenario Busy() {
  Scenario s;
  s.nodes = 5;
  s.workers = 14;
  s.zones = 2;
  s.length = 14 * kS;
  s.warm_up = 2 * kS;
  s.load = 0.8;
  s.classes = {{.name = "commit"},
               {.name = "sync", .effect = "by_key", .share = 2, .work = 100'000},
               {.name = "look", .effect = "repeatable", .work = 50'000}};
  s.tenants = {{"acme", 3, 0.9}, {"umbra", 1, 0.2}};
  s.phases = {{4 * kS, 6 * kS, 4, 4, "umbra"}};
  using What = Trouble::What;
  s.troubles = {{What::kSilence, 5 * kS, 2 * kS, 0.2},  {What::kRestart, 6 * kS, kS / 2, 0.3},
                {What::kSlow, 7 * kS, 2 * kS, 0.1},     {What::kDrain, 3 * kS, 4 * kS, 0.1},
                {What::kNodeDies, 8 * kS, 2 * kS, 0.2}, {What::kLateList, 6 * kS, 2 * kS, 0}};
  return s;
}

TEST(Simulation, IsTheSameOnAnyNumberOfThreads) {
  const std::string one = Digest(Simulate(Busy(), 7, 1));
  EXPECT_EQ(Digest(Simulate(Busy(), 7, 2)), one);
  EXPECT_EQ(Digest(Simulate(Busy(), 7, 5)), one);
  EXPECT_NE(Digest(Simulate(Busy(), 8, 1)), one);
}

// Nobody waits in a fleet that is nearly idle: each job takes its work and its ways, no more. Ends
// were once told at the worker's next event.
TEST(Simulation, AJobInAnIdleFleetTakesItsOwnTime) {
  Scenario s;
  s.workers = 50;
  s.load = 0.1;
  s.length = 20 * kS;
  s.classes = {{.name = "short", .work = 20'000, .spread = ClassSpec::Spread::kFixed},
               {.name = "long", .work = 400'000, .spread = ClassSpec::Spread::kFixed}};
  const Figures f = Simulate(s, 1, 2);
  EXPECT_LT(f.times[0].Quantile(0.99), 20'000 + 5'000);
  EXPECT_LT(f.times[1].Quantile(0.99), 400'000 + 5'000);
  EXPECT_GE(f.times[0].Quantile(0.01), 20'000);
}

TEST(Simulation, CountsEachJobOnce) {
  const Figures f = Simulate(Busy(), 3, 2);
  Tally sum;
  for (const Tally& c : f.classes) sum.Merge(c);
  EXPECT_EQ(sum.jobs, f.all.jobs);
  EXPECT_EQ(f.all.jobs, f.all.in_aim + f.all.late + f.all.refused + f.all.failed);
  double served = 0;
  for (const TimeHistogram& t : f.times) served += t.count();
  EXPECT_EQ(static_cast<std::uint64_t>(served), f.all.in_aim + f.all.late);
  double asked = 0;
  for (const Second& s : f.seconds) asked += s.asked;
  EXPECT_NEAR(asked, f.all.asked, 1e-6 * asked);
  EXPECT_GT(f.all.tries, f.all.jobs) << "clients came again";
}

// Whatever goes wrong, the module breaks no rule.
TEST(Simulation, TheModuleKeepsTheRules) {
  EXPECT_TRUE(rc::check([] {
    Scenario s = Busy();
    s.length = 8 * kS;
    s.warm_up = kS;
    s.nodes = *rc::gen::inRange(1, 7);
    s.workers = *rc::gen::inRange(1, 16);
    s.zones = *rc::gen::inRange(1, 3);
    s.load = *rc::gen::inRange(2, 15) / 10.0;
    s.troubles.clear();
    for (int i = *rc::gen::inRange(0, 6); i > 0; --i)
      s.troubles.push_back({static_cast<Trouble::What>(*rc::gen::inRange(0, 6)),
                            *rc::gen::inRange<Micros>(kS, 6 * kS),
                            *rc::gen::inRange<Micros>(kS / 10, 3 * kS),
                            *rc::gen::inRange(0, 11) / 10.0});
    const Figures f = Simulate(s, *rc::gen::inRange<std::uint64_t>(1, 1000), 1);
    RC_ASSERT(f.broken() == 0u);
    RC_ASSERT(f.falls == 0u);
  }));
}

// Each rule's checker, red where the rule is broken on purpose.
TEST(Simulation, SeesWhatThePlainPoliciesBreak) {
  Scenario s = Busy();
  s.classes = {{.name = "commit", .work = 800'000}};
  s.policy = "random";
  s.troubles = {{Trouble::What::kRestart, 5 * kS, kS / 2, 0.9}};
  s.load = 1.5;
  EXPECT_GT(Simulate(s, 1, 1).falls, 0u) << "it floods what is cold";
  // A `once` job that the node is told may be repeated runs again after its worker's death.
  s.settings = {{"RequestClasses.0.Effect", "repeatable"}};
  EXPECT_GT(Simulate(s, 1, 1).second_runs, 0u);
  EXPECT_EQ(Simulate(Busy(), 1, 1).second_runs, 0u);
}

// At thirty nodes, half a fleet that came back was pushed over before the lists said that it had: a
// process that refused or reset what ran there is taken for a new, cold one.
TEST(Simulation, WhatDiedIsTakenForColdBeforeTheListSaysSo) {
  Scenario s;
  s.nodes = 3;
  s.workers = 6;
  s.load = 0.8;
  s.length = 20 * kS;
  s.notice_least = 4 * kS;
  s.notice_most = 5 * kS;
  s.troubles = {{Trouble::What::kRestart, 8 * kS, kS / 2, 0.5}};
  std::uint64_t falls = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) falls += Simulate(s, seed, 1).falls;
  EXPECT_EQ(falls, 0u);
}

TEST(Simulation, MoreLoadThanTheFleetCanDoIsRefusedAndNotLost) {
  Scenario s;
  s.length = 20 * kS;
  s.load = 1.5;
  const Figures f = Simulate(s, 1, 2);
  EXPECT_GT(f.all.refused, f.all.jobs / 10);
  EXPECT_GT(f.busy_share, 0.9);
  EXPECT_EQ(f.broken(), 0u);
}

constexpr const char* kFile = R"(<experiment name="few" what="two against one" seeds="6">
  <scenario name="small" nodes="2" workers="4" load="0.85" seconds="12" warm-up="2">
    <kind name="m" slots="4" room="8"/><class name="commit" work-ms="100"/>
    <account name="acme" share="2" quota="0.9"/>
    <phase from="3" until="5" factor="1" factor-end="1.5" account="acme"/>
    <trouble what="slow" at="4" length="2" part="0.25" factor="4"/>
  </scenario>
  <variant name="random" policy="random"/>
  <variant name="the same" policy="random"/>
  <variant name="two" policy="two"/>
</experiment>)";

TEST(Experiment, TellsWhatDiffersFromWhatDoesNot) {
  const Experiment e = ReadExperiment(kFile, "few.xml");
  EXPECT_EQ(e.scenarios.at(0).phases.at(0).until, 5 * kS);
  EXPECT_EQ(e.scenarios[0].troubles.at(0).factor, 4);
  const Results results = RunExperiment(e, 3, "test", nullptr);
  ASSERT_EQ(results.runs.size(), 18u);
  bool fewer = false;
  for (const Comparison& c : Compare(results)) {
    if (c.figure == "cpu_us") continue;  // measured
    if (c.variant == "the same") {
      EXPECT_EQ(c.difference.mean, 0) << c.figure;
    }
    if (c.variant == "two" && c.figure == "attempts") fewer = c.differs() && c.difference.mean < 0;
  }
  EXPECT_TRUE(fewer) << "two choices meet fewer full workers than one";
  const Results again = ReadResults(WriteResults(results), "few.json");
  ASSERT_EQ(again.runs.size(), 18u);
  for (std::size_t i = 0; i < again.runs.size(); ++i) {
    EXPECT_EQ(again.runs[i].seed, results.runs[i].seed);
    for (std::size_t j = 0; j < again.runs[i].figures.size(); ++j)
      EXPECT_NEAR(again.runs[i].figures[j].second, results.runs[i].figures[j].second, 1e-8);
  }
  for (const Comparison& c : CompareFiles(results, again)) EXPECT_NEAR(c.difference.mean, 0, 1e-8);
}

TEST(Experiment, BadFilesAreOneLine) {
  const auto said = [](const std::string& xml) {
    try {
      ReadExperiment(xml, "x.xml");
    } catch (const dispatch::Malformed& wrong) {
      return std::string(wrong.what());
    }
    return std::string("nothing");
  };
  const std::string head = "<experiment name='e'>\n<scenario name='s'";
  EXPECT_EQ(said("<experiment"), "x.xml:1: Couldn't find end of Start Tag experiment line 1");
  EXPECT_NE(said(head + " nodes='0'/></experiment>").find("x.xml:2: "), std::string::npos);
  EXPECT_EQ(said(head + " seconds='3' warm-up='5'/></experiment>"),
            "x.xml:2: scenario s: it ends before the warm-up does");
  EXPECT_EQ(said(head + "><class name='a' slots='9'/></scenario></experiment>"),
            "x.xml:2: scenario s: a class that no worker has slots for");
  EXPECT_EQ(said(head + "/><variant name='v' load='200'/></experiment>"),
            "x.xml:2: variant v of s: a load over 0 and up to 100");
  EXPECT_EQ(said(head + "><phase from='1' until='2' factor='1' account='x'/></scenario>"
                        "</experiment>"),
            "x.xml:2: scenario s: a phase of no account");
  for (const char* json : {"", "{", "[]", "{\"format\":2}", "{\"format\":1,\"experiment\":\"\"}",
                           "{\"format\":1,\"experiment\":\"\",\"what\":\"\",\"build\":\"\","
                           "\"runs\":[{}]}"})
    EXPECT_THROW(ReadResults(json, "x.json"), dispatch::Malformed) << json;
  for (const char* trouble : {"", "fire:1:2:3", "slow:2:3:4", "slow:1:2", "slow:1:x:3"})
    EXPECT_THROW(ReadTrouble(trouble), dispatch::Malformed) << trouble;
}

std::size_t CountIn(const std::string& text, const std::string& what) {
  std::size_t n = 0;
  for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; ++at) ++n;
  return n;
}

// A page stands alone, is whole, and takes no word of its source for markup.
TEST(Report, IsOneSelfContainedPage) {
  Experiment e = ReadExperiment(kFile, "few.xml");
  e.seeds = 2;
  Results results = RunExperiment(e, 2, "test", nullptr);
  results.what = "<script>alert('x')</script> & more";
  const std::string page = ReportOf(results);
  EXPECT_EQ(CountIn(page, "<script"), 0u);
  EXPECT_EQ(CountIn(page, "<svg "), CountIn(page, "</svg>"));
  EXPECT_GE(CountIn(page, "<svg "), 10u);
  EXPECT_EQ(CountIn(page, "http"), CountIn(page, "xmlns='http://www.w3.org/2000/svg'"));
  EXPECT_EQ(CountIn(page, "nan"), 0u);
  for (const char* word :
       {"small, two", "Service by the second", "limit and busy slots", "workers, darker"})
    EXPECT_GE(CountIn(page, word), 1u) << word;
  Results bare{"empty", "", "", {}};
  EXPECT_EQ(CountIn(ReportOf(bare), "<svg "), 0u);
  results.runs[0].details =
      "{\"times\":[[[1]]],\"seconds\":[1,[]],\"nodes\":[[{}]],\"workers\":[[\"a\"]]}";
  EXPECT_GE(CountIn(ReportOf(results), "</html>"), 1u) << "details of no use are no crash";
  EXPECT_GE(CountIn(ReportOfCapture(PEARREACH_CAPTURES "/all-restart-at-once.prcap"), "<svg "), 6u);
}

}  // namespace
}  // namespace pearreach::lab
