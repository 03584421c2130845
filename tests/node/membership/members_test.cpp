// Tests of membership, with single instances and with many nodes in virtual time: invariants under
// arbitrary orders of messages, and the bounds stated in the design note.
#include "node/membership/members.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>

#include "lab/trial/checkers.h"
#include "lab/trial/figures.h"
#include "lab/trial/virtual.h"

namespace pearreach::membership {
namespace {

constexpr std::uint64_t kEpoch = Members::kEpoch;

Entry AnyEntry() {
  return {kEpoch + *rc::gen::inRange<std::uint64_t>(0, 3), *rc::gen::inRange<std::uint32_t>(0, 3),
          static_cast<Status>(*rc::gen::inRange(0, 4))};
}

RC_GTEST_PROP(MembersMerge, IsATotalOrderSoThatOrderAndNumberOfWordsChangeNothing, ()) {
  const Entry a = AnyEntry(), b = AnyEntry(), c = AnyEntry();
  const auto merge = [](const Entry& x, const Entry& y) { return Supersedes(y, x) ? y : x; };
  RC_ASSERT(merge(a, b) == merge(b, a));
  RC_ASSERT(merge(a, merge(b, c)) == merge(merge(a, b), c));
  RC_ASSERT(merge(a, a) == a);
  // kLeft is final for a process.
  if (a.process == b.process && a.status == Status::kLeft)
    RC_ASSERT(merge(a, b).status == Status::kLeft);
}

// A few nodes with a network that may lose, duplicate and reorder messages, and deliver them to
// processes that have replaced the addressed one.
struct Net {
  static constexpr int kNodes = 4;
  struct Message {
    int from = 0, to = 0;
    std::uint64_t process = 0;
    std::string section;
  };
  Micros now = 0;
  std::vector<std::unique_ptr<Members>> machines;
  std::vector<Message> messages;
  std::uint64_t starts = 0;

  Net() {
    for (int n = 0; n < kNodes; ++n) machines.push_back(Make(n));
  }
  std::unique_ptr<Members> Make(int n) {
    ++starts;
    return std::make_unique<Members>(
        Options{.self = n, .nodes = kNodes}, 7 + starts, now,
        kEpoch + 1000 + static_cast<std::uint64_t>(now / 1000) + starts);
  }
  void Take(int from, std::vector<Outgoing> out) {
    for (Outgoing& o : out)
      messages.push_back(
          {from, o.to, machines[static_cast<std::size_t>(from)]->process(), std::move(o.section)});
  }
};

RC_GTEST_PROP(Members, NeverReviveAReplacedProcessNorOneThatLeft, ()) {
  Net net;
  // By observer and node: the latest process seen, and the process that has left.
  std::map<std::pair<int, int>, std::uint64_t> latest, left;
  const int steps = *rc::gen::inRange(20, 200);
  for (int i = 0; i < steps; ++i) {
    const int n = *rc::gen::inRange(0, Net::kNodes);
    Members& m = *net.machines[static_cast<std::size_t>(n)];
    std::vector<Outgoing> out;
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        net.machines[static_cast<std::size_t>(n)] = net.Make(n);
        std::erase_if(latest, [&](const auto& l) { return l.first.first == n; });
        std::erase_if(left, [&](const auto& l) { return l.first.first == n; });
        break;
      case 1:
        m.Leave(net.now, &out);
        net.Take(n, std::move(out));
        break;
      case 2:
      case 3:
        net.now += *rc::gen::inRange<Micros>(1, 800'000);
        m.Tick(net.now, &out);
        net.Take(n, std::move(out));
        break;
      default: {
        if (net.messages.empty()) break;
        const auto at = *rc::gen::inRange<std::size_t>(0, net.messages.size());
        const Net::Message message =
            net.messages[at];  // a copy: the message stays and may be delivered again
        net.machines[static_cast<std::size_t>(message.to)]->Receive(
            net.now, message.from, message.process, *rc::gen::arbitrary<bool>(), message.section,
            &out);
        net.Take(message.to, std::move(out));
      }
    }
    for (int who = 0; who < Net::kNodes; ++who)
      for (int of = 0; of < Net::kNodes; ++of) {
        const Entry& e = net.machines[static_cast<std::size_t>(who)]->entry(of);
        const std::pair key(who, of);
        RC_ASSERT(e.process >= latest[key]);
        latest[key] = e.process;
        if (left[key] == e.process && e.process != 0) RC_ASSERT(e.status == Status::kLeft);
        if (e.status == Status::kLeft && who != of) left[key] = e.process;
      }
  }
}

TEST(Members, WhatCannotBeReadChangesNothing) {
  Members m({.self = 0, .nodes = 3}, 1, 0, kEpoch + 5);
  std::vector<Outgoing> out;
  for (const std::string& bad :
       {std::string("\xff\xff"), std::string("\x42\x03\x01"), std::string("\x42\x01\x01")})
    m.Receive(10, 1, kEpoch + 9, false, bad, &out);
  m.Receive(10, 7, kEpoch + 9, false, "", &out);
  EXPECT_EQ(m.entry(1).process, 0u);
  EXPECT_EQ(m.counts().malformed, 4u);
}

// A process whose clock is behind that of its predecessor is rejected by all nodes. They inform it,
// and it takes a later process time.
TEST(Members, AClockThatWentBackIsOvercome) {
  Members old({.self = 1, .nodes = 2}, 1, 0, kEpoch + 1000),
      other({.self = 0, .nodes = 2}, 2, 0, kEpoch + 1);
  std::vector<Outgoing> out;
  const auto run = [&](Members* m, int number, Micros until) {
    for (Micros now = m->next(); now < until; now = m->next()) {
      std::vector<Outgoing> said;
      m->Tick(now, &said);
      Members* to = m == &other ? nullptr : &other;
      for (const Outgoing& o : said)
        if (to != nullptr) to->Receive(now, number, m->process(), false, o.section, &out);
    }
  };
  run(&old, 1, 2'000'000);
  ASSERT_EQ(other.entry(1).process, kEpoch + 1000);
  Members late({.self = 1, .nodes = 2}, 3, 2'000'000, kEpoch + 10);
  other.NoteReplacedSender(1);
  std::vector<Outgoing> said;
  while (said.empty()) other.Tick(std::max<Micros>(other.next(), 2'000'000), &said);
  for (const Outgoing& o : said)
    late.Receive(2'100'000, 0, other.process(), false, o.section, &out);
  EXPECT_GT(late.process(), kEpoch + 1000);
}

}  // namespace
}  // namespace pearreach::membership

namespace pearreach::lab {
namespace {

std::string Describe(const History& h, const std::vector<Violation>& all) {
  std::string text;
  for (const Violation& v : all) {
    text += v.rule + ": " + v.what + "\n";
    for (const std::size_t line : v.lines) text += "  " + Words(h[line]).substr(0, 200) + "\n";
  }
  return text;
}

TrialPlan Plan(std::uint64_t seed, int nodes, Micros length) {
  TrialPlan plan;
  plan.seed = seed;
  plan.nodes = nodes;
  plan.length = length;
  return plan;
}

Fault MakeFault(Fault::What what, Micros at, Micros length, const std::string& from,
                const std::string& to = "*") {
  Fault f;
  f.what = what;
  f.at = at;
  f.length = length;
  f.from = from;
  f.to = to;
  return f;
}

TEST(VirtualTrials, DrawnFaultsBreakNothing) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    TrialPlan plan = Plan(seed, seed % 4 == 0 ? 24 : 9, 20'000'000);
    DrawFaults({.faults = 12, .workers = false}, &plan);
    const History history = RunVirtual({.plan = plan}).history;
    const auto wrong = CheckAll(history);
    ASSERT_TRUE(wrong.empty()) << "seed " << seed << "\n"
                               << Describe(history, wrong) << WritePlan(plan);
  }
}

TEST(VirtualTrials, OneSeedIsOneHistory) {
  TrialPlan plan = Plan(5, 9, 10'000'000);
  DrawFaults({.faults = 8, .workers = false}, &plan);
  EXPECT_EQ(WriteHistory(RunVirtual({.plan = plan}).history),
            WriteHistory(RunVirtual({.plan = plan}).history));
}

// The status of node `of` at each other node, at time `by`.
std::map<std::string, std::string> StatusesOf(const History& h, int of, Micros by) {
  std::map<std::string, std::string> said;
  for (const Moment& m : h)
    if (m.what == "member" && m.at <= by && m.Of("peer") == std::to_string(of))
      said[m.who] = m.Of("status");
  return said;
}

// A node that receives nothing does not report the others as unreachable. They report it as
// unreachable, and all nodes agree again afterwards.
TEST(VirtualTrials, HearingNobodyIsNoWordAboutTheOthers) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    TrialPlan plan = Plan(seed, 9, 40'000'000);
    plan.faults = {MakeFault(Fault::What::kLose, 5'000'000, 30'000'000, "*", "n0")};
    const History h = RunVirtual({.plan = plan}).history;
    for (int other = 1; other < 9; ++other)
      EXPECT_NE(StatusesOf(h, other, 34'000'000)["n0"], "unreachable") << seed << ": " << other;
    EXPECT_TRUE(CheckAll(h).empty()) << Describe(h, CheckAll(h));
  }
}

TEST(VirtualTrials, AZoneCutOffIsUnreachableFromOutsideAndAliveWithin) {
  TrialPlan plan = Plan(3, 9, 40'000'000);
  plan.faults = {MakeFault(Fault::What::kLose, 5'000'000, 30'000'000, "z1"),
                 MakeFault(Fault::What::kLose, 5'000'000, 30'000'000, "*", "z1")};
  const History h = RunVirtual({.plan = plan}).history;
  const auto of_n1 = StatusesOf(h, 1, 34'000'000);
  EXPECT_EQ(of_n1.at("n0"), "unreachable");
  EXPECT_EQ(of_n1.at("n4"), "alive") << "n1 and n4 are of one zone";
  EXPECT_TRUE(CheckAll(h).empty()) << Describe(h, CheckAll(h));
}

TEST(VirtualTrials, AStoppedProcessSuspectsItselfFirst) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    TrialPlan plan = Plan(seed, 9, 20'000'000);
    plan.faults = {MakeFault(Fault::What::kStall, 4'000'000, 5'000'000, "n2")};
    const History h = RunVirtual({.plan = plan}).history;
    EXPECT_TRUE(CheckAll(h).empty()) << Describe(h, CheckAll(h));
    bool doubted = false;
    for (const Moment& m : h) doubted = doubted || (m.who == "n2" && m.what == "doubts_itself");
    EXPECT_TRUE(doubted);
  }
}

// The bounds in docs/design-peers.md, which also has the figures for 300 nodes.
TEST(MembersBounds, HoldAsStated) {
  for (const int nodes : {3, 9, 30})
    for (const double lost : {0.0, 0.2, 0.5}) {
      const WayFigures f =
          Measure({.nodes = nodes, .lost = lost, .deaths = 10, .calm = 60'000'000});
      const double within = static_cast<double>(NoticeWithin(nodes, 500'000)) / 1e6;
      const auto where = "nodes " + std::to_string(nodes) + " lost " + std::to_string(lost);
      EXPECT_EQ(f.unnoticed, 0) << where;
      EXPECT_LE(f.all_most, within) << where;
      EXPECT_LE(f.bytes, lost <= 0.2 ? 500 : 2500) << where;
      if (lost == 0) {
        EXPECT_EQ(f.suspicions, 0) << where;
      }
      if (lost <= 0.2) {
        EXPECT_LE(f.unreachable, 1) << where;
        EXPECT_LE(f.suspicions, 10) << where;
      }
    }
}

}  // namespace
}  // namespace pearreach::lab
