// Tests of the rules: comparison, encodings, and the consensus of many nodes in virtual time, with
// all guards and with each guard disabled.
#include "node/rules/rules.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <map>

#include "common/diagnostics/log.h"
#include "dispatch/settings/settings_reader.h"
#include "lab/stats/stats.h"
#include "lab/trial/rules_checkers.h"
#include "lab/trial/rules_virtual.h"
#include "node/fleet/rules_file.h"
#include "node/fleet/rules_part.h"

namespace pearreach {
namespace {

using lab::Fault;
using lab::RulesPlan;
using lab::RulesResult;
using lab::RunRules;
using rules::Consensus;
using rules::Document;
using rules::Micros;
using rules::Rules;

rc::Gen<Rules> AnyRules() {
  const auto rate = [] { return *rc::gen::inRange(0, 4) * 1.5; };
  return rc::gen::exec([rate] {
    Rules r;
    for (const char* account : {"a", "b", "c"})
      if (*rc::gen::arbitrary<bool>()) r.shares[account] = rate();
    if (*rc::gen::arbitrary<bool>()) r.default_share = rate();
    if (*rc::gen::arbitrary<bool>()) r.retries_per_s = rate();
    if (*rc::gen::arbitrary<bool>()) r.attempts = *rc::gen::inRange(1, 4);
    if (*rc::gen::arbitrary<bool>()) r.budget_parts = *rc::gen::inRange(1, 4);
    for (const char* worker : {"s-1", "s-2"})
      if (*rc::gen::arbitrary<bool>()) r.bans.insert(worker);
    for (const char* zone : {"z0", "z1"})
      if (*rc::gen::arbitrary<bool>()) r.zone_left[zone] = *rc::gen::arbitrary<bool>();
    return r;
  });
}

RC_GTEST_PROP(RulesCompare, TheStricterOfTwoIsOneWhateverTheOrder, ()) {
  const Rules a = *AnyRules(), b = *AnyRules(), c = *AnyRules();
  RC_ASSERT(StricterOf(a, b) == StricterOf(b, a));
  RC_ASSERT(StricterOf(a, StricterOf(b, c)) == StricterOf(StricterOf(a, b), c));
  RC_ASSERT(StricterOf(a, a) == a);
  RC_ASSERT(Satisfies(StricterOf(a, b), a));
  RC_ASSERT(Satisfies(StricterOf(a, b), b));
  // It is the loosest one: rules that satisfy both satisfy it.
  const bool both = Satisfies(c, a) && Satisfies(c, b);
  RC_ASSERT(both == Satisfies(c, StricterOf(a, b)));
}

RC_GTEST_PROP(RulesCompare, TheFloorObeysWhatItDoesNotKnow, ()) {
  const Rules known = *AnyRules();
  Rules any = *AnyRules();
  const Rules floor = FloorOf(known);
  RC_ASSERT(Satisfies(floor, known));
  // The floor cannot include unknown bans, zones that are not in use, and numbers of parts.
  any.bans.clear();
  any.zone_left.clear();
  any.budget_parts.reset();
  RC_ASSERT(Satisfies(floor, any));
}

RC_GTEST_PROP(RulesForms, CanonicalIsOneFormAndXmlSaysTheSame, ()) {
  Document d;
  d.rules = *AnyRules();
  d.rules.default_share.reset();
  d.rules.attempts.reset();  // not in the XML schema yet
  d.voters = {0, 2};
  d.number = *rc::gen::inRange(0, 1000);
  const std::string bytes = Encode(d);
  const auto read = rules::Decode(bytes);
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == d);
  const Document again = rules::ReadXml(WriteXml(d), "rules.xml", {1}, 3);
  RC_ASSERT(again.rules == d.rules);
  RC_ASSERT(again.voters == d.voters);
  // Another encoding of the same values is rejected.
  RC_ASSERT(!rules::Decode(bytes + std::string("\x08\x01", 2)).has_value());
}

TEST(RulesForms, WhatIsWrongIsNamedWithItsLine) {
  const auto wrong = [](const std::string& text) {
    try {
      rules::ReadXml(text, "rules.xml", {0}, 3);
    } catch (const dispatch::Malformed& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  EXPECT_NE(wrong("<rules>\n<account name='a' share='-1'/></rules>").find("rules.xml:2: "),
            std::string::npos);
  EXPECT_NE(wrong("<rules>\n<ban worker='x'/>\n<ban worker='x'/></rules>").find("rules.xml:3: "),
            std::string::npos);
  EXPECT_NE(wrong("<rules voters='0 3'/>").find("no node 3"), std::string::npos);
  EXPECT_NE(wrong("<rules voters='1 1'/>").find("twice"), std::string::npos);
  EXPECT_NE(wrong("<rules schema='9'/>").find("later"), std::string::npos);
  EXPECT_NE(wrong("<rules").find("rules.xml:1: "), std::string::npos);
  EXPECT_NE(wrong("<rules><zone name='z' order='stop'/></rules>"), "");
  EXPECT_EQ(wrong("<rules/>"), "");
}

TEST(RulesForms, ADocumentOfALaterSchemaIsToldFromOneThatIsNone) {
  Document d;
  d.voters = {0};
  d.schema = rules::kSchema + 1;
  bool later = false;
  EXPECT_FALSE(rules::Decode(Encode(d), &later));
  EXPECT_TRUE(later);
  EXPECT_FALSE(rules::Decode("nonsense", &later));
  EXPECT_FALSE(later);
}

RC_GTEST_PROP(RulesWords, SurviveAndReadNoNonsense, (const std::string& noise)) {
  rules::Message w;
  w.version = {*rc::gen::inRange<std::uint64_t>(0, 1000), 7, 9};
  w.query = *rc::gen::arbitrary<std::uint32_t>();
  w.holders = std::string(38, '\xff');
  w.part_hash = 3;
  w.part = 1;
  w.parts = 2;
  w.bytes = std::string(rules::kPartBytes, 'x');
  const std::string bytes = rules::Encode(w);
  RC_ASSERT(bytes.size() <= 220u);
  RC_ASSERT(*rules::DecodeMessage(bytes) == w);
  if (const auto read = rules::DecodeMessage(noise))
    RC_ASSERT(read->bytes.size() <= rules::kPartBytes);
  w.bytes += 'x';
  RC_ASSERT(!rules::DecodeMessage(rules::Encode(w)).has_value());
}

// ---------------------------------------------------------------- many nodes

RulesPlan FleetPlan(std::uint64_t seed, int nodes) {
  RulesPlan p;
  p.plan.nodes = nodes;
  p.plan.zones = 3;
  p.plan.seed = seed;
  p.plan.length = 60'000'000;
  p.options.voters = nodes >= 5 ? std::vector<int>{0, 1, 2, 3, 4} : std::vector<int>{0, 1, 2};
  p.options.lease = 1'500'000;
  p.options.round_interval = 200'000;
  p.ahead = 200'000;
  p.drift = 0.01;
  return p;
}
Fault MakeFault(Fault::What what, Micros at, Micros length, const char* from, const char* to = "*",
                double share = 1) {
  return {what, at, length, from, to, share, 0};
}
std::string LastLines(const RulesResult& r) {
  std::string all;
  for (std::size_t i = r.lines.size() > 60 ? r.lines.size() - 60 : 0; i < r.lines.size(); ++i)
    all += r.lines[i] + "\n";
  return all;
}
void ExpectInvariants(const RulesPlan& p, const RulesResult& r) {
  rules::Options o = p.options;
  EXPECT_LE(r.longest, o.MaxContradiction()) << LastLines(r);
  EXPECT_EQ(r.longest, 0) << LastLines(r);  // with all guards no contradiction occurs at all
  EXPECT_EQ(r.forks, 0) << LastLines(r);
  EXPECT_TRUE(r.agreed) << LastLines(r);
}

struct Case {
  const char* name;
  std::function<void(RulesPlan*)> set;
  bool forgets = false;  // all voters lose their state, so versions may be lost
};
const std::vector<Case>& Cases() {
  using What = Fault::What;
  static const std::vector<Case> cases = {
      {"all is well", [](RulesPlan*) {}},
      {"a fifth of the words lost", [](RulesPlan* p) { p->lost = 0.2; }},
      {"half of the words lost",
       [](RulesPlan* p) {
         p->lost = 0.5;
         p->options.lease = 4'000'000;
         p->propose_every = 6'000'000;
         p->settle = 20'000'000;
       }},
      {"halved again and again",
       [](RulesPlan* p) {
         for (Micros at = 8'000'000; at < 55'000'000; at += 6'000'000)
           for (int a = 0; a < p->plan.nodes; ++a)
             for (int b = 0; b < p->plan.nodes; ++b)
               if (a % 2 != b % 2)
                 p->plan.faults.push_back(MakeFault(What::kLose, at, 4'000'000,
                                                    ("n" + std::to_string(a)).c_str(),
                                                    ("n" + std::to_string(b)).c_str()));
       }},
      {"links one way",
       [](RulesPlan* p) {
         for (Micros at = 8'000'000; at < 55'000'000; at += 5'000'000)
           p->plan.faults.push_back(
               MakeFault(What::kLose, at, 4'000'000,
                         ("n" + std::to_string(at / 1'000'000 % p->plan.nodes)).c_str()));
       }},
      {"a node stalls for 5 s",
       [](RulesPlan* p) {
         for (Micros at = 8'000'000; at < 50'000'000; at += 7'000'000)
           p->plan.faults.push_back(
               MakeFault(What::kStall, at, 5'000'000,
                         ("n" + std::to_string(at / 1'000'000 % p->plan.nodes)).c_str()));
       }},
      {"a third stalls for 5 s",
       [](RulesPlan* p) {
         for (Micros at = 8'000'000; at < 50'000'000; at += 9'000'000)
           p->plan.faults.push_back(MakeFault(What::kStall, at, 5'000'000,
                                              ("z" + std::to_string(at / 1'000'000 % 3)).c_str()));
       }},
      {"killed and started without disks",
       [](RulesPlan* p) {
         for (Micros at = 8'000'000; at < 55'000'000; at += 4'000'000)
           p->plan.faults.push_back(
               MakeFault(What::kKill, at, 500'000,
                         ("n" + std::to_string(at / 1'000'000 % p->plan.nodes)).c_str()));
       }},
      {"killed and started with disks",
       [](RulesPlan* p) {
         p->disks = true;
         for (Micros at = 8'000'000; at < 55'000'000; at += 2'000'000)
           p->plan.faults.push_back(
               MakeFault(What::kKill, at, 300'000,
                         ("n" + std::to_string(at / 1'000'000 % p->plan.nodes)).c_str()));
       }},
      {"the proposer dies after its first write",
       [](RulesPlan* p) { p->kill_after = 1, p->propose_every = 4'000'000; }},
      {"the proposer dies after its second write",
       [](RulesPlan* p) { p->kill_after = 2, p->propose_every = 4'000'000; }},
      {"the proposer dies after its third write, with disks",
       [](RulesPlan* p) { p->kill_after = 3, p->propose_every = 4'000'000, p->disks = true; }},
      {"many proposals at once", [](RulesPlan* p) { p->propose_every = 100'000; }},
      {"all restarted at once with disks",
       [](RulesPlan* p) {
         p->disks = true;
         p->plan.faults.push_back(MakeFault(What::kKill, 20'000'000, 500'000, "*"));
         p->plan.faults.push_back(MakeFault(What::kKill, 40'000'000, 500'000, "*"));
       }},
      {"all restarted at once without disks",
       [](RulesPlan* p) {
         p->plan.faults.push_back(MakeFault(What::kKill, 20'000'000, 500'000, "*"));
         p->plan.faults.push_back(MakeFault(What::kKill, 40'000'000, 500'000, "*"));
       },
       true},
      {"back after long with an old file",
       [](RulesPlan* p) {
         p->disks = true;
         p->plan.faults.push_back(MakeFault(What::kKill, 10'000'000, 45'000'000, "n1"));
         p->plan.faults.push_back(
             MakeFault(What::kKill, 12'000'000, 40'000'000, p->plan.nodes > 5 ? "n5" : "n1"));
       }},
  };
  return cases;
}
class RulesCases : public ::testing::TestWithParam<std::size_t> {};
TEST_P(RulesCases, NobodyContradicts) {
  const Case& c = Cases()[GetParam()];
  for (const int nodes : {3, 5, 9})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      RulesPlan p = FleetPlan(seed, nodes);
      c.set(&p);
      const RulesResult r = RunRules(p);
      SCOPED_TRACE(std::string(c.name) + ", " + std::to_string(nodes) + " nodes, seed " +
                   std::to_string(seed));
      ExpectInvariants(p, r);
      EXPECT_GT(r.chosen, 0) << LastLines(r);
      if (!c.forgets) {
        EXPECT_EQ(r.forgotten, 0) << LastLines(r);
      }
      if (HasFailure()) return;
    }
}
INSTANTIATE_TEST_SUITE_P(Rules, RulesCases, ::testing::Range<std::size_t>(0, Cases().size()),
                         [](const auto& info) {
                           std::string name = Cases()[info.param].name;
                           for (char& c : name)
                             if (!std::isalnum(static_cast<unsigned char>(c))) c = '_';
                           return name;
                         });

// A plan with random faults of every kind.
RulesPlan RandomFaultPlan(std::uint64_t seed, int nodes, bool disks) {
  using What = Fault::What;
  RulesPlan p = FleetPlan(seed, nodes);
  lab::Chance chance(lab::SeedOf(seed, 61, 0));
  p.disks = disks;
  p.lost = chance.Uniform() < 0.5 ? 0 : 0.2;
  p.propose_every = 500'000 + static_cast<Micros>(chance.Uniform() * 4e6);
  for (int i = 0; i < 14; ++i) {
    const auto at = static_cast<Micros>(7e6 + chance.Uniform() * 45e6);
    const auto length = static_cast<Micros>(2e5 + chance.Uniform() * 6e6);
    const std::string node = "n" + std::to_string(chance.Below(static_cast<std::uint64_t>(nodes)));
    const std::string other = "n" + std::to_string(chance.Below(static_cast<std::uint64_t>(nodes)));
    const std::string zone = "z" + std::to_string(chance.Below(3));
    Fault f;
    switch (chance.Below(8)) {
      case 0:
        f = MakeFault(What::kLose, at, length, node.c_str());
        break;
      case 1:
        f = MakeFault(What::kLose, at, length, "*", node.c_str());
        break;
      case 2:
        f = MakeFault(What::kLose, at, length, zone.c_str(), "*");
        break;
      case 3:
        f = MakeFault(What::kLate, at, length, node.c_str(), "*", 0.5);
        break;
      case 4:
        f = MakeFault(What::kDouble, at, length, "*", other.c_str(), 0.5);
        break;
      case 5:
        f = MakeFault(What::kStall, at, length,
                      chance.Uniform() < 0.7 ? node.c_str() : zone.c_str());
        break;
      case 6:
        f = MakeFault(What::kKill, at, length, node.c_str());
        break;
      default:
        f = MakeFault(What::kRestart, at, 0, node.c_str());
        break;
    }
    f.late = 800'000;
    p.plan.faults.push_back(f);
  }
  p.settle = 20'000'000;
  return p;
}

TEST(RulesDrawn, FaultsBreakNothing) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    const int nodes = seed % 3 == 0 ? 5 : seed % 3 == 1 ? 9 : 15;
    const RulesPlan p = RandomFaultPlan(seed, nodes, seed % 2 == 0);
    const RulesResult r = RunRules(p);
    SCOPED_TRACE("seed " + std::to_string(seed));
    ExpectInvariants(p, r);
    if (HasFailure()) return;
  }
}

// Each guard is needed: with it disabled, some run exceeds the bound, or has nodes that apply
// contradictory rules, or two versions under one number.
struct GuardFindings {
  bool over = false, any = false, forked = false;
};
GuardFindings FindingsOf(RulesPlan p) {
  const RulesResult r = RunRules(p);
  return {r.longest > p.options.MaxContradiction(), r.longest > 0, r.forks > 0};
}
TEST(RulesGuards, WithoutLeasesANodeActsOnOldRulesForEver) {
  RulesPlan p = RandomFaultPlan(1, 9, false);
  p.without.lease = true;
  EXPECT_TRUE(FindingsOf(p).over);
}
TEST(RulesGuards, WithoutTheStricterOfBothTwoContradictWhileLeasesLast) {
  RulesPlan p = RandomFaultPlan(1, 9, false);
  p.without.both = true;
  EXPECT_TRUE(FindingsOf(p).any);
}
TEST(RulesGuards, WithoutPromisesTwoVersionsHaveOneNumber) {
  bool found = false;
  for (std::uint64_t seed = 1; seed <= 60 && !found; ++seed) {
    RulesPlan p = RandomFaultPlan(seed, seed % 2 == 0 ? 5 : 9, false);
    p.without.promise = true;
    found = FindingsOf(p).forked;
  }
  EXPECT_TRUE(found);
}

// Three voters and a fourth node; messages take 10 ms; proposals at fixed times.
RulesPlan FourNodePlan() {
  RulesPlan p = FleetPlan(1, 4);
  p.options.voters = {0, 1, 2};
  p.options.lease = 1'500'000;
  p.options.round_interval = 200'000;
  p.ahead = 0;
  p.drift = 0;
  p.way_least = p.way_most = 10'000;
  p.propose_every = 0;
  p.plan.length = 20'000'000;
  return p;
}
RulesPlan::Call ProposeAt(int node, Micros at, double share) {
  return {at,
          [share](Consensus* machine, Micros now) {
            Document d;
            d.voters = {0, 1, 2};
            d.rules.shares["a"] = share;
            d.rules.bans.insert("s-" + std::to_string(static_cast<int>(share)));
            std::string why;
            EXPECT_NE(machine->Propose(now, d, std::nullopt, 0, &why), 0u) << why;
          },
          node};
}

// Only the proposer knows that its version is chosen. If the voters that accepted it keep vouching
// for the previous version, the fourth node still applies that one when the proposer reconnects.
RulesPlan ChosenButUnannounced() {
  using What = Fault::What;
  RulesPlan p = FourNodePlan();
  p.calls = {ProposeAt(0, 8'000'000, 5), ProposeAt(0, 12'000'000, 3)};
  p.plan.faults = {MakeFault(What::kLose, 12'025'000, 1'725'000, "n0"),
                   MakeFault(What::kLose, 13'700'000, 4'000'000, "n3"),
                   MakeFault(What::kLose, 13'700'000, 4'000'000, "*", "n3")};
  return p;
}
TEST(RulesGuards, WhoHasAcceptedANewerVersionVouchesNoMore) {
  RulesPlan p = ChosenButUnannounced();
  const RulesResult r = RunRules(p);
  ExpectInvariants(p, r);
  EXPECT_EQ(r.versions, 2u) << LastLines(r);
  p.without.clean = true;
  EXPECT_TRUE(FindingsOf(p).any);
}

// A version is chosen by two of three voters. One of them loses its state at once, the other is
// partitioned, and the third proposes another version.
RulesPlan ForgottenVersionPlan() {
  using What = Fault::What;
  RulesPlan p = FourNodePlan();
  p.calls = {ProposeAt(0, 8'000'000, 5), ProposeAt(2, 13'000'000, 3)};
  p.plan.faults = {MakeFault(What::kLose, 7'900'000, 200'000, "n0", "n2"),
                   MakeFault(What::kLose, 8'035'000, 8'000'000, "n0"),
                   MakeFault(What::kLose, 8'035'000, 8'000'000, "*", "n0"),
                   MakeFault(What::kKill, 8'045'000, 50'000, "n1")};
  return p;
}
TEST(RulesGuards, AVoterThatForgotTakesNoPartUntilItKnowsAgain) {
  RulesPlan p = ForgottenVersionPlan();
  const RulesResult r = RunRules(p);
  EXPECT_EQ(r.forks, 0) << LastLines(r);
  EXPECT_EQ(r.longest, 0) << LastLines(r);
  EXPECT_EQ(r.forgotten, 0) << LastLines(r);
  EXPECT_TRUE(r.agreed) << LastLines(r);
  p.without.recovery = true;
  EXPECT_TRUE(FindingsOf(p).forked) << LastLines(RunRules(p));
}

// ---------------------------------------------------------------- the file

// A disk that fails from a given call on. Unsynced writes are lost, synced ones stay.
class FailingDisk : public knowledge::Disk {
 public:
  int Create(const std::string& path) override {
    if (!Alive()) return -1;
    files_[path] = {};
    open_ = path;
    return 3;
  }
  ssize_t Write(int, const char* bytes, std::size_t size) override {
    if (!Alive()) return -1;
    const std::size_t part = std::min<std::size_t>(size, 16);  // short writes
    files_[open_].append(bytes, part);
    return static_cast<ssize_t>(part);
  }
  int Sync(int) override {
    if (!Alive()) return -1;
    synced_[open_] = files_[open_];
    return 0;
  }
  int Close(int) override { return Alive() ? 0 : -1; }
  int Rename(const std::string& from, const std::string& to) override {
    if (!Alive()) return -1;
    files_[to] = files_[from];
    synced_[to] = synced_[from];  // worst case: only the synced part survives
    files_.erase(from);
    return 0;
  }
  int SyncFolder(const std::string&) override { return Alive() ? 0 : -1; }
  int Read(const std::string& path, std::size_t, std::string* bytes) override {
    const auto it = synced_.find(path);
    if (it == synced_.end()) {
      errno = ENOENT;
      return -1;
    }
    *bytes = it->second;
    return 0;
  }
  int Remove(const std::string&) override { return 0; }

  int calls = 0, fails_at = 1 << 30;

 private:
  bool Alive() {
    errno = EIO;
    return ++calls < fails_at;
  }
  std::map<std::string, std::string> files_, synced_;
  std::string open_;
};
rules::PersistentState StateWithBallot(std::uint64_t ballot) {
  Document d;
  d.voters = {0, 1, 2};
  d.number = 4;
  rules::PersistentState k;
  k.epoch = 1024;
  k.promised = ballot;
  k.documents = {Encode(d)};
  return k;
}
TEST(RulesOnDisk, KilledAtEverySystemCallItIsTheOldOrTheNewWhole) {
  FailingDisk whole;
  ASSERT_EQ(RulesFile("/k/rules", &whole).Save(StateWithBallot(1)), "");
  const int calls = whole.calls;
  ASSERT_GT(calls, 6);
  for (int failing_call = 1; failing_call <= calls + 1; ++failing_call) {
    FailingDisk disk;
    RulesFile file("/k/rules", &disk);
    ASSERT_EQ(file.Save(StateWithBallot(1)), "");
    disk.calls = 0;
    disk.fails_at = failing_call;
    const bool said = file.Save(StateWithBallot(2)).empty();
    std::string wrong;
    const auto found = file.Load(&wrong);
    ASSERT_TRUE(found.has_value()) << "killed at call " << failing_call << ": " << wrong;
    EXPECT_TRUE(*found == StateWithBallot(1) || *found == StateWithBallot(2)) << failing_call;
    if (said) {
      EXPECT_EQ(*found, StateWithBallot(2)) << failing_call;
    }
  }
}
TEST(RulesOnDisk, ADamagedFileIsSaidAndNotTaken) {
  const std::string folder = testing::TempDir() + "/rules-file-" + std::to_string(getpid());
  RulesFile file(folder);
  std::string wrong;
  EXPECT_FALSE(file.Load(&wrong));
  EXPECT_EQ(wrong, "");
  ASSERT_EQ(file.Save(StateWithBallot(3)), "");
  EXPECT_EQ(*file.Load(&wrong), StateWithBallot(3));
  std::string bytes;
  ASSERT_EQ(knowledge::SystemDisk().Read(folder, 1 << 20, &bytes), 0);
  bytes[bytes.size() / 2] ^= 1;
  const int fd = knowledge::SystemDisk().Create(folder);
  ASSERT_EQ(knowledge::SystemDisk().Write(fd, bytes.data(), bytes.size()),
            static_cast<ssize_t>(bytes.size()));
  knowledge::SystemDisk().Close(fd);
  EXPECT_FALSE(file.Load(&wrong));
  EXPECT_NE(wrong.find("damaged"), std::string::npos);
  knowledge::SystemDisk().Remove(folder);
}

// A node that cannot persist its state sends nothing from then on.
TEST(RulesOnDisk, WhatCannotBeKeptIsNotSaid) {
  RulesSettings settings;
  settings.options.nodes = 2;
  settings.options.voters = {0};
  settings.options.round_interval = 1'000;
  settings.keep = "/nonexistent-folder/rules";
  int said = 0;
  RulesPart part(
      settings, 1, [&](int, const std::string&) { ++said; }, [] { return std::vector<int>{1}; },
      [] {});
  part.Begin();
  EXPECT_GT(said, 0);
  const auto chosen = [&] { return part.machine().version_id().number == 1; };
  ASSERT_EQ(part.Propose("<rules><ban worker='s-1'/></rules>", "").status, 202);
  while (!chosen()) g_main_context_iteration(nullptr, TRUE);
  const int before = said;
  const std::uint64_t failed = CountOf("rules_not_kept");
  while (CountOf("rules_not_kept") < failed + 5) g_main_context_iteration(nullptr, TRUE);
  EXPECT_EQ(said, before);
}

// ---------------------------------------------------------------- the checkers

lab::Moment RulesMoment(Micros at, const char* node, const char* basis, const char* versions,
                        int number, const char* hash = "aa", const char* bans = "") {
  return {at,
          node,
          "rules",
          {{"basis", basis},
           {"versions", versions},
           {"number", std::to_string(number)},
           {"epoch", "1024"},
           {"hash", hash},
           {"has", "1"},
           {"bans", bans}}};
}
TEST(RulesCheckers, RefuseWhatMustNotBe) {
  const lab::Moment plan{0, "trial", "plan", {{"rules_within_us", "2000000"}}};
  const lab::Moment over{20'000'000, "trial", "over", {}};
  // n0 still applies version 1 after n1 has stopped applying it.
  const lab::History apart = {plan, RulesMoment(1'000'000, "n0", "version", "1", 1),
                              RulesMoment(2'000'000, "n1", "version", "2", 2, "bb"), over};
  EXPECT_EQ(lab::RulesWithin(apart).size(), 1u);
  // No violation if n0 is stopped or on the floor, or if n1 still applies version 1 as well.
  lab::History stopped = apart;
  stopped.insert(stopped.begin() + 2, {1'500'000, "trial", "stalled", {{"node", "n0"}}});
  stopped.insert(stopped.end() - 1, {19'999'000, "trial", "resumed", {{"node", "n0"}}});
  EXPECT_TRUE(lab::RulesWithin(stopped).empty());
  EXPECT_TRUE(lab::RulesWithin({plan, RulesMoment(1, "n0", "floor", "1", 1),
                                RulesMoment(2'000'000, "n1", "version", "2", 2, "bb"), over})
                  .empty());
  EXPECT_TRUE(lab::RulesWithin({plan, RulesMoment(1, "n0", "version", "1", 1),
                                RulesMoment(2'000'000, "n1", "both", "1+2", 2, "bb"), over})
                  .empty());
  EXPECT_EQ(lab::RulesOne({plan, RulesMoment(1, "n0", "version", "2", 2, "aa"),
                           RulesMoment(2, "n1", "version", "2", 2, "bb"), over})
                .size(),
            1u);
  EXPECT_EQ(lab::RulesBans({plan,
                            RulesMoment(1, "n0", "version", "2", 2, "aa", "s-1 s-3"),
                            {9'000'000, "s-3", "took", {{"node", "n0"}}},
                            over})
                .size(),
            1u);
  // Requests released by a held connection count as sent before the ban, while the hold can explain
  // the delay.
  const auto held = [&](Micros length) {
    return lab::RulesBans({plan,
                           {500'000,
                            "trial",
                            "fault",
                            {{"kind", "hold-tcp"},
                             {"from", "n0"},
                             {"to", "*"},
                             {"length_us", std::to_string(length)}}},
                           RulesMoment(1'000'000, "n0", "version", "2", 2, "aa", "s-3"),
                           {9'000'000, "s-3", "took", {{"node", "n0"}}},
                           over})
        .size();
  };
  EXPECT_EQ(held(8'490'000), 0u);
  EXPECT_EQ(held(5'000'000), 1u);
  EXPECT_EQ(lab::RulesSettle({plan,
                              RulesMoment(1, "n0", "version", "1", 1),
                              RulesMoment(2, "n1", "version", "2", 2, "bb"),
                              {3'000'000, "trial", "quiet", {}},
                              {15'000'000, "trial", "ending", {{"node", "n0"}}},
                              over})
                .size(),
            1u);
}

// ---------------------------------------------------------------- operators

TEST(RulesOperators, WithoutAMajorityNothingChangesAndForcingIsSaidAndRecorded) {
  using What = Fault::What;
  RulesPlan p = FourNodePlan();
  std::string refused, too_soon, forced;
  bool done = false;
  p.plan.faults = {MakeFault(What::kKill, 9'000'000, 40'000'000, "n1"),
                   MakeFault(What::kKill, 9'000'000, 40'000'000, "n2")};
  p.plan.length = 48'000'000;
  const auto force = [](std::string* why, bool* done) {
    return [why, done](Consensus* m, Micros now) { *done = m->Force(now, {0, 3}, 77, why); };
  };
  bool early = true;
  p.calls = {ProposeAt(0, 8'000'000, 5),
             {8'500'000, force(&too_soon, &early), 0},
             {13'000'000,
              [&](Consensus* m, Micros now) {
                Document d;
                d.voters = {0, 3};
                std::string why;
                EXPECT_EQ(m->Propose(now, d, std::nullopt, 0, &refused), 0u);
                EXPECT_EQ(m->effective_rules(now).basis, Consensus::Basis::kFloor);
                EXPECT_EQ(m->effective_rules(now).rules.shares.at("a"), 0);
              },
              0},
             {14'000'000, force(&forced, &done), 0},
             {20'000'000,
              [&](Consensus* m, Micros now) {
                EXPECT_EQ(m->effective_rules(now).basis, Consensus::Basis::kVersion);
                EXPECT_TRUE(m->current()->document.forced);
                EXPECT_EQ(m->current()->document.rules.shares.at("a"), 5);
                EXPECT_EQ(m->current()->document.previous_hash, m->Find(1)->id.hash);
              },
              3}};
  const RulesResult r = RunRules(p);
  EXPECT_FALSE(early);
  EXPECT_NE(too_soon.find("propose instead"), std::string::npos) << too_soon;
  EXPECT_NE(refused.find("1 of 3 voters answered recently"), std::string::npos) << refused;
  EXPECT_TRUE(done) << forced;
  // The restarted voters adopt the forced version.
  EXPECT_TRUE(r.agreed) << LastLines(r);
  EXPECT_EQ(r.versions, 2u) << LastLines(r);
}

TEST(RulesOperators, OfTwoAtOnceOneIsToldWhatStandsInItsWay) {
  RulesPlan p = FourNodePlan();
  p.calls = {ProposeAt(0, 8'000'000, 5), ProposeAt(3, 8'000'500, 3)};
  const RulesResult r = RunRules(p);
  EXPECT_EQ(r.chosen, 1) << LastLines(r);
  EXPECT_EQ(r.lost, 1) << LastLines(r);
  EXPECT_NE(LastLines(r).find("was chosen instead"), std::string::npos);
  EXPECT_TRUE(r.agreed) << LastLines(r);
}

TEST(RulesOperators, WhatIsMadeForAnotherVersionOrChangesNothingIsRefused) {
  RulesPlan p = FourNodePlan();
  std::string late, same, voter, old;
  p.old_node = 3;
  p.calls = {ProposeAt(0, 8'000'000, 5),
             {12'000'000,
              [&](Consensus* m, Micros now) {
                Document d = m->current()->document;
                EXPECT_EQ(m->Propose(now, d, 0, 0, &late), 0u);
                EXPECT_EQ(m->Propose(now, d, 1, 0, &same), 0u);
                d.voters = {0, 9};
                EXPECT_EQ(m->Propose(now, d, 1, 0, &voter), 0u);
                d.voters = {0, 1};
                d.schema = 2;
                EXPECT_EQ(m->Propose(now, d, 1, 0, &old), 0u);
              },
              0}};
  RunRules(p);
  EXPECT_NE(late.find("based on version 0"), std::string::npos) << late;
  EXPECT_NE(same.find("already"), std::string::npos) << same;
  EXPECT_NE(voter.find("no node 9"), std::string::npos) << voter;
  EXPECT_NE(old.find("reads schema 1"), std::string::npos) << old;
}

// A node that cannot read the chosen version reports that and applies the floor.
TEST(RulesOperators, AVersionThatAProgramCannotReadIsItsFloor) {
  rules::Options o;
  o.nodes = 2;
  o.voters = {1};
  Consensus m(o, 1, 1'000'000, std::nullopt);
  Document d;
  d.voters = {1};
  d.number = 1;
  d.schema = rules::kSchema + 1;
  const std::string bytes = Encode(d);
  rules::Message w;
  w.version = {1024, 1, rules::HashOf(bytes)};
  std::vector<Consensus::Outgoing> out;
  m.Receive(2'000'000, 1, rules::Encode(w), &out);
  w.part_hash = w.version.hash;
  w.parts = 1;
  w.bytes = bytes;
  m.Receive(2'000'000, 1, rules::Encode(w), &out);
  EXPECT_EQ(m.current(), nullptr);
  EXPECT_EQ(m.effective_rules(2'000'000).basis, Consensus::Basis::kFloor);
  out.clear();
  m.Tick(3'000'000, {1}, &out);
  ASSERT_FALSE(out.empty());
  EXPECT_TRUE(rules::DecodeMessage(out.front().section)->cannot_read);
  EXPECT_TRUE(m.ready(1'000'000 + o.ready_timeout));  // it keeps serving
}

RC_GTEST_PROP(RulesWords, NoiseDoesNoHarm, ()) {
  rules::Options o;
  o.nodes = 4;
  o.voters = {0, 1, 2};
  Consensus m(o, 1, 0, std::nullopt);
  for (int i = 0; i < 30; ++i) {
    rules::Message w;
    w.version = {*rc::gen::inRange<std::uint64_t>(0, 3), *rc::gen::inRange<std::uint64_t>(0, 3),
                 *rc::gen::inRange<std::uint64_t>(0, 3)};
    w.reply_to = *rc::gen::inRange<std::uint32_t>(0, 4);
    w.vouches = *rc::gen::arbitrary<bool>();
    w.step = static_cast<rules::Step>(*rc::gen::inRange(0, 6));
    w.ballot = *rc::gen::inRange<std::uint64_t>(0, 1 << 22);
    w.value_hash = *rc::gen::inRange<std::uint64_t>(0, 3);
    w.part_hash = *rc::gen::inRange<std::uint64_t>(0, 3);
    w.parts = *rc::gen::inRange(1, 4);
    w.part = *rc::gen::inRange(0, w.parts);
    w.requested_hash = *rc::gen::inRange<std::uint64_t>(0, 3);
    std::vector<Consensus::Outgoing> out;
    const Micros now = i * 300'000;
    m.Receive(now, *rc::gen::inRange(-1, 6), rules::Encode(w), &out);
    if (i % 3 == 0) m.Tick(now, {1, 2, 3}, &out);
    m.effective_rules(now);
  }
  RC_SUCCEED();
}

}  // namespace
}  // namespace pearreach
