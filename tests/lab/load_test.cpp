// The load's book against a reference run made by hand, in virtual time; traces; and the load and
// the emulated fleet around a node on real sockets.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <fstream>

#include "dispatch/settings/settings_reader.h"
#include "lab/emulate/fleet.h"
#include "lab/load/sender.h"
#include "lab/world/world.h"
#include "node/capture/segment.h"
#include "node/engine/node.h"
#include "node/http_frontend/front.h"

namespace pearreach::lab {
namespace {

using Status = LoadBook::Status;

LoadPlan Even(double per_second, Micros length) {
  LoadPlan plan;
  plan.classes.emplace_back();
  plan.classes[0].deadline = 60 * kSecond;
  Draw({.per_second = per_second, .length = length, .constant = true, .phases = {}}, &plan);
  return plan;
}

// A server that takes 2 ms for each, one after the other, and stands still from 4 s to 5 s; with
// 100 jobs a second, evenly. Every 100th second's quantile can be said by hand.
void PlayStall(LoadBook* book, Micros step) {
  constexpr Micros kService = 2000, kFrom = 4 * kSecond, kUntil = 5 * kSecond;
  std::multimap<Micros, std::uint64_t> answers;
  Micros free_at = 0;
  for (Micros now = 0; !book->done(); now += step) {
    for (; !answers.empty() && answers.begin()->first <= now; answers.erase(answers.begin()))
      book->Answer(answers.begin()->second, answers.begin()->first, Status::kServed);
    for (const LoadBook::Send& send : book->Due(now)) {
      Micros begin = std::max(now, free_at);
      if (begin + kService > kFrom && begin < kUntil) begin = kUntil;
      free_at = begin + kService;
      answers.insert({free_at, send.ticket});
    }
  }
}

TEST(LoadBook, AgreesWithTheReferenceRunMadeByHand) {
  const LoadPlan plan = Even(100, 10 * kSecond);
  ASSERT_EQ(plan.jobs.size(), 999u) << "at 10 ms, 20 ms and so on";
  LoadBook book(plan, 0);
  PlayStall(&book, 100);
  // 100 jobs are meant to go out in the stall: the first waits 1 s and is done 2 ms later; each
  // next one came 10 ms later and is done 2 ms after the one before, so it waits 8 ms less. The
  // queue is empty again after 125 jobs; all others take 2 ms.
  std::vector<double> times;
  for (int i = 0; i < 125; ++i) times.push_back(1'002'000 - 8'000.0 * i);
  while (times.size() < 999) times.push_back(2'000);
  std::sort(times.begin(), times.end());
  const TimeHistogram& measured = book.times()[0];
  for (const double q : {0.5, 0.8, 0.88, 0.9, 0.95, 0.99, 0.999, 1.0}) {
    const auto at = static_cast<std::size_t>(std::ceil(q * 999)) - 1;
    EXPECT_NEAR(measured.Quantile(q) / times[at], 1, 0.02) << q;
  }
  EXPECT_EQ(book.all().jobs, 999u);
  // Clients in turn hide the stall: one job waits, the others are not sent.
  LoadBook closed(plan, 0, 1);
  PlayStall(&closed, 100);
  EXPECT_LT(closed.times()[0].Quantile(0.99), 0.01 * measured.Quantile(0.99));
}

TEST(LoadBook, RetriesBelongToTheirFirstTry) {
  LoadPlan plan = Even(10, kSecond);
  plan.jobs.resize(2);
  plan.backoff = 10 * kMs;
  LoadBook book(plan, 0);
  EXPECT_EQ(book.Next(), 100 * kMs);
  auto due = book.Due(100 * kMs);
  ASSERT_EQ(due.size(), 1u);
  book.Answer(due[0].ticket, 110 * kMs, Status::kRefused, 500 * kMs);
  EXPECT_EQ(book.Due(600 * kMs).size(), 1u) << "the second job; the first one's retry is not due";
  due = book.Due(610 * kMs);
  ASSERT_EQ(due.size(), 1u) << "when the answer said";
  EXPECT_EQ(due[0].attempt, 2);
  book.Answer(due[0].ticket, 620 * kMs, Status::kServed);
  EXPECT_EQ(book.all().jobs, 1u);
  EXPECT_EQ(book.all().tries, 2u);
  EXPECT_EQ(book.all().late, 1u) << "its aim of 300 ms runs from the first try";
  EXPECT_NEAR(book.times()[0].Quantile(1), 520'000, 5'000);
  EXPECT_TRUE(book.GiveUp(30 * kSecond).empty());
  EXPECT_EQ(book.GiveUp(61 * kSecond).size(), 1u) << "the second had no answer in its time";
  EXPECT_EQ(book.lost(), 1u);
  EXPECT_TRUE(book.done());
  EXPECT_TRUE(book.KeptTime(500 * kMs));
  EXPECT_FALSE(book.KeptTime(100 * kMs)) << "the second went out 400 ms late: void";
}

// Whatever is answered, each job has one end, and its tries are counted with it.
TEST(LoadBook, EachJobEndsOnce) {
  EXPECT_TRUE(rc::check([] {
    LoadPlan plan = Even(200, kSecond);
    plan.classes[0].deadline = *rc::gen::inRange<Micros>(1 * kMs, 2 * kSecond);
    plan.tries = *rc::gen::inRange(1, 5);
    LoadBook book(plan, 0, *rc::gen::element(0, 0, 3));
    const auto answers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    std::vector<std::uint64_t> open;
    std::size_t at = 0;
    for (Micros now = 0; now < 300 * kSecond && !book.done(); now += 7 * kMs) {
      book.GiveUp(now);
      for (const auto& s : book.Due(now)) open.push_back(s.ticket);
      while (!open.empty() && at < answers.size() && answers[at] < 8) {
        const int what = answers[at++];
        book.Answer(open.back(), now, static_cast<Status>(what % 4), what * kMs);
        book.Answer(open.back(), now, Status::kServed);  // said twice: passed over
        open.pop_back();
      }
      ++at;
    }
    const Tally& t = book.all();
    RC_ASSERT(book.done());
    RC_ASSERT(t.jobs == plan.jobs.size());
    RC_ASSERT(t.in_aim + t.late + t.refused + t.failed == t.jobs);
    RC_ASSERT(t.tries <= t.jobs * static_cast<std::uint64_t>(plan.tries));
  }));
}

TEST(Draw, FollowsItsPhases) {
  LoadPlan plan;
  plan.classes.emplace_back();
  plan.accounts = {{"big", 1, 0}, {"rest", 3, 0}};
  plan.seed = 5;
  Draw({.per_second = 2000,
        .length = 20 * kSecond,
        .constant = false,
        .phases = {{5 * kSecond, 10 * kSecond, 2, 2, ""},
                   {10 * kSecond, 15 * kSecond, 5, 5, "big"}}},
       &plan);
  std::map<std::pair<Micros, int>, double> counts;
  for (const Arrival& a : plan.jobs) ++counts[{a.at / (5 * kSecond), a.account}];
  const auto near = [&](Micros part, int account, double wanted) {
    EXPECT_NEAR((counts[{part, account}]) / wanted, 1, 0.06) << part << ", " << account;
  };
  near(0, 0, 2500);
  near(0, 1, 7500);
  near(1, 0, 5000);
  near(1, 1, 15000);
  near(2, 0, 12500);
  near(2, 1, 7500);
  near(3, 0, 2500);
  LoadPlan ramp = plan;
  ramp.jobs.clear();
  Draw({.per_second = 100,
        .length = 10 * kSecond,
        .constant = true,
        .phases = {{0, 10 * kSecond, 0, 2, ""}}},
       &ramp);
  EXPECT_NEAR(static_cast<double>(ramp.jobs.size()), 1000, 2);
}

TEST(Trace, IsReadOrSaysWhatIsWrong) {
  LoadPlan plan;
  ReadTrace("class,at_ms,account,slots\r\nsync,20,acme,2\n\"com\"\"mit\",10.5,,\n\n", "t.csv",
            &plan);
  ASSERT_EQ(plan.jobs.size(), 2u);
  EXPECT_EQ(plan.jobs[0].at, 10'500) << "by their time";
  EXPECT_EQ(plan.classes[static_cast<std::size_t>(plan.jobs[0].cls)].name, "com\"mit");
  EXPECT_EQ(plan.jobs[0].account, -1);
  EXPECT_EQ(plan.jobs[1].slots, 2);
  const auto said = [](const std::string& text) {
    try {
      LoadPlan p;
      ReadTrace(text, "t.csv", &p);
    } catch (const dispatch::Malformed& wrong) {
      return std::string(wrong.what());
    }
    return std::string("nothing");
  };
  EXPECT_EQ(said(""), "t.csv:1: an empty trace");
  EXPECT_EQ(said("a,b\n1,2\n"), "t.csv:1: the first line names no at_ms or no class");
  EXPECT_EQ(said("at_ms,class\n1,x\nsoon,x\n"),
            "t.csv:3: bad at_ms 'soon': expected a number in range");
  EXPECT_EQ(said("at_ms,class\n-1,x\n"), "t.csv:2: at_ms out of its bounds");
  EXPECT_EQ(said("at_ms,class\n1\n"), "t.csv:2: too few cells");
  EXPECT_EQ(said("at_ms,class,slots\n1,x,0\n"), "t.csv:2: slots out of their bounds");
  EXPECT_NE(said("at_ms,class\n1,\"x\n").find("t.csv:"), std::string::npos);
}

TEST(Trace, ACaptureIsOne) {
  World world(BaseSettings(), 3);
  for (int i = 0; i < 4; ++i) world.AddWorker({.name = "w" + std::to_string(i)});
  world.ListAll(0);
  world.AddLoad({.per_second = 50, .cls = "sync", .tenant = "acme"}, 0, 2 * kSecond);
  world.Run(4 * kSecond);
  const std::string path = testing::TempDir() + "load-trace.prcap";
  capture::WriteFile(path, world.Capture());
  LoadPlan plan;
  ReadCapture(path, &plan);
  EXPECT_EQ(plan.jobs.size(), world.served() + world.refused() + world.failed());
  EXPECT_EQ(plan.classes.at(0).name, "sync");
  EXPECT_EQ(plan.classes[0].aim, 200 * kMs);
  EXPECT_EQ(plan.accounts.at(0).name, "acme");
  EXPECT_EQ(plan.jobs[0].at, 0);
  std::remove(path.c_str());
}

// A node on real sockets between the load and the emulated fleet, with workers that die, fall
// silent and drain: every job has one end, no worker meets a second copy.
TEST(Emulate, ANodeBetweenLoadAndFleetWithTroubles) {
  Scenario s;
  s.workers = 6;
  s.classes = {{.name = "commit", .work = 20'000},
               {.name = "sync", .effect = "by_key", .work = 10'000}};
  s.notice_least = 20 * kMs;
  s.notice_most = 60 * kMs;
  using What = Trouble::What;
  // Several restarts: at a single one, by chance, no job may be running at the workers it strikes.
  s.troubles = {
      {What::kRestart, 300 * kMs, 100 * kMs, 0.5}, {What::kRestart, 550 * kMs, 100 * kMs, 0.5},
      {What::kRestart, 800 * kMs, 100 * kMs, 0.5}, {What::kRestart, 1050 * kMs, 100 * kMs, 0.5},
      {What::kSilence, 500 * kMs, 400 * kMs, 0.2}, {What::kDrain, 400 * kMs, 600 * kMs, 0.2}};
  const std::string address = FreeAddress();
  FleetOptions options;
  options.nodes = {address};
  options.scenario = s;
  options.news_lost = 0.05;
  EmulatedFleet fleet(options);
  Config config;
  config.discovery = fleet.discovery(0);
  config.settings = SettingsOf(s, 0);
  config.site = dispatch::ReadSite(dispatch::Conf(config.settings));
  Node node(config);
  Front front(&node, 1024);
  ASSERT_EQ(front.Open(address), "");
  node.Start();
  ASSERT_TRUE(RunUntil([&] { return node.ready(); }, 10 * kSecond));
  fleet.Start();
  LoadPlan plan;
  plan.classes = s.classes;
  Draw({.per_second = 250, .length = 1500 * kMs, .constant = false, .phases = {}}, &plan);
  LoadBook book(plan, Now());
  Sender sender(&book, plan, {address}, "/x", 500);
  sender.Run();
  const Tally& t = book.all();
  EXPECT_EQ(t.jobs, plan.jobs.size());
  EXPECT_EQ(t.in_aim + t.late + t.refused + t.failed, t.jobs);
  EXPECT_GT(t.in_aim + t.late, t.jobs / 2);
  EXPECT_EQ(book.lost(), 0u) << "each had an answer";
  const EmulatedFleet::Figures f = fleet.figures();
  EXPECT_EQ(f.second_copies, 0u);
  EXPECT_EQ(f.sent_while_drained, 0u);
  EXPECT_GT(f.lost, 0u) << "nothing ran where the troubles struck";
  EXPECT_GE(f.done, t.in_aim + t.late);
}

}  // namespace
}  // namespace pearreach::lab
