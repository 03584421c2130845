// Zone failover: ejection and return of zones by a fleet in virtual time under faults, with single
// guards disabled, and properties of the merge and of the message encoding.
#include "node/zones/zones.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "lab/trial/checkers.h"
#include "lab/trial/virtual.h"
#include "lab/trial/zone_checkers.h"

namespace pearreach {
namespace {

using lab::Fault;
using zones::Micros;
using What = Fault::What;

constexpr Micros kUnix = 1'800'000'000'000'000;
constexpr Micros kSecond = 1'000'000;

Fault FaultOf(What what, double at, double length, const std::string& from,
              const std::string& to = "*", double share = 1) {
  Fault f;
  f.what = what;
  f.at = static_cast<Micros>(at * 1e6);
  f.length = static_cast<Micros>(length * 1e6);
  f.from = from;
  f.to = to;
  f.share = share;
  return f;
}

struct Case {
  const char* name;
  std::vector<Fault> faults;
  // Zones that all nodes eject, and whether nodes may eject other zones, too.
  std::vector<std::string> ejected;
  bool may_eject_others = false;
  int nodes = 9, zones = 3;
  double lost = 0;
  int liar = -1;
  bool lone_kind = false;
  double seconds = 30;
};
void PrintTo(const Case& c, std::ostream* out) { *out << c.name; }

struct Setup {
  lab::SharedLoad shared;
  lab::ZoneLoad zones;
  lab::VirtualOptions options;
};
std::unique_ptr<Setup> MakeSetup(const Case& c, std::uint64_t seed) {
  auto setup = std::make_unique<Setup>();
  setup->shared.options.quotas = {70};
  setup->shared.asked = {30};
  setup->shared.sends = 4;
  setup->zones.liar = c.liar;
  setup->zones.lone_kind = c.lone_kind;
  lab::VirtualOptions& o = setup->options;
  o.plan.nodes = c.nodes;
  o.plan.zones = c.zones;
  o.plan.workers = 12;
  o.plan.length = static_cast<Micros>(c.seconds * 1e6);
  o.plan.seed = seed;
  o.plan.faults = c.faults;
  o.lost = c.lost;
  o.extra = lab::ZonesWholeWithin() + kSecond;
  o.views = false;
  o.shared = &setup->shared;
  o.zones = &setup->zones;
  return setup;
}
lab::VirtualResult RunCase(const Case& c, std::uint64_t seed) {
  return lab::RunVirtual(MakeSetup(c, seed)->options);
}
std::vector<lab::Violation> OfZones(const lab::History& history) {
  std::vector<lab::Violation> all = lab::CheckAll(history);
  std::erase_if(all, [](const lab::Violation& v) { return !v.rule.starts_with("zones-"); });
  return all;
}
std::set<std::string> EjectedIn(const lab::History& history) {
  std::set<std::string> ejected;
  for (const lab::Moment& m : history)
    if (m.what == "zone" && m.Number("step") == 1) ejected.insert(m.Of("zone"));
  return ejected;
}

class ZoneCases : public testing::TestWithParam<Case> {};
TEST_P(ZoneCases, HoldWhatIsStated) {
  const Case& c = GetParam();
  for (const std::uint64_t seed : {1, 2}) {
    const lab::VirtualResult r = RunCase(c, seed);
    for (const lab::Violation& v : OfZones(r.history))
      ADD_FAILURE() << c.name << ", seed " << seed << ": " << v.rule << " at " << v.at << ": "
                    << v.what << (v.lines.empty() ? "" : "; " + Words(r.history[v.lines[0]]));
    for (const std::string& zone : c.ejected)
      EXPECT_EQ(static_cast<int>(lab::LeftAt(r.history, zone, 0).size()), c.nodes)
          << c.name << ", seed " << seed << ": " << zone;
    if (c.may_eject_others) continue;
    for (const std::string& zone : EjectedIn(r.history))
      EXPECT_NE(std::find(c.ejected.begin(), c.ejected.end(), zone), c.ejected.end())
          << c.name << ", seed " << seed << ": " << zone << " is ejected, too";
  }
}

std::vector<Case> Cases() {
  std::vector<Case> all;
  all.push_back({"a zone dies", {FaultOf(What::kDie, 5, 10, "z1")}, {"z1"}});
  all.push_back({"a zone falls silent", {FaultOf(What::kSilence, 5, 10, "z1")}, {"z1"}});
  all.push_back({"a fifth lost", {FaultOf(What::kSilence, 5, 10, "z1")}, {"z1"}, false, 9, 3, 0.2});
  all.push_back({"30 nodes", {FaultOf(What::kSilence, 5, 10, "z1")}, {"z1"}, false, 30, 3, 0.2});
  all.push_back({"a third fails", {FaultOf(What::kFail, 5, 12, "z2", "*", 0.4)}, {"z2"}});
  all.push_back({"five times as slow", {FaultOf(What::kSlow, 5, 12, "z2")}, {"z2"}});
  Case flaps{"flaps every 5 s", {}, {"z0"}};
  for (int i = 0; i < 5; ++i) flaps.faults.push_back(FaultOf(What::kDie, 4 + 5 * i, 2.5, "z0"));
  all.push_back(flaps);
  all.push_back({"cut from one other zone only",
                 {FaultOf(What::kCutTcp, 5, 10, "z0", "z2"),
                  FaultOf(What::kLose, 5, 10, "z0", "z2"), FaultOf(What::kLose, 5, 10, "z2", "z0")},
                 {},
                 true});
  all.push_back({"loses its nodes, not its workers", {FaultOf(What::kKill, 5, 8, "z1")}, {}});
  all.push_back({"two zones 2 s apart",
                 {FaultOf(What::kDie, 5, 10, "z1"), FaultOf(What::kDie, 7, 10, "z2")},
                 {"z1", "z2"}});
  all.push_back({"one fails while another returns",
                 {FaultOf(What::kDie, 4, 5, "z1"), FaultOf(What::kDie, 11, 6, "z2")},
                 {"z1", "z2"}});
  Case release{"all workers of a zone restart in turn", {}, {}};
  for (int w = 0; w < 4; ++w)
    release.faults.push_back(FaultOf(What::kDie, 5 + 2 * w, 0.5, "s-" + std::to_string(3 * w + 1)));
  all.push_back(release);
  all.push_back({"a fifth of all workers silent across zones",
                 {FaultOf(What::kSilence, 5, 10, "s-0"), FaultOf(What::kSilence, 5, 10, "s-4")},
                 {}});
  all.push_back({"one node claims that zones are gone", {}, {}, false, 9, 3, 0, 4});
  all.push_back({"a part hears the verdict late",
                 {FaultOf(What::kDie, 5, 10, "z1"), FaultOf(What::kLose, 4.5, 6, "*", "n3"),
                  FaultOf(What::kLose, 4.5, 6, "*", "n6")},
                 {"z1"}});
  all.push_back({"stalled nodes wake with an old verdict",
                 {FaultOf(What::kDie, 4, 5, "z1"), FaultOf(What::kStall, 7, 15, "n0"),
                  FaultOf(What::kStall, 7, 15, "n5")},
                 {"z1"}});
  all.push_back({"a node restarts in the middle",
                 {FaultOf(What::kDie, 4, 8, "z1"), FaultOf(What::kKill, 8, 1, "n2")},
                 {"z1"}});
  all.push_back({"one zone only", {FaultOf(What::kDie, 5, 8, "z0")}, {}, false, 9, 1});
  all.push_back(
      {"a zone is cut off, but alive",
       {FaultOf(What::kLose, 5, 10, "z1", "*"), FaultOf(What::kLose, 5, 10, "*", "z1"),
        FaultOf(What::kCutTcp, 5, 10, "z0", "z1"), FaultOf(What::kCutTcp, 5, 10, "z2", "z1"),
        FaultOf(What::kCutTcp, 5, 10, "z1", "z0"), FaultOf(What::kCutTcp, 5, 10, "z1", "z2")},
       {},
       true});
  all.push_back({"a kind that no other zone has",
                 {FaultOf(What::kFail, 5, 12, "z2", "*", 0.5)},
                 {"z2"},
                 false,
                 9,
                 3,
                 0,
                 -1,
                 true});
  all.push_back(
      {"an operator leaves a zone", {FaultOf(What::kLeaveZone, 4, 10, "n0", "z2")}, {"z2"}});
  all.push_back({"two operators contradict",
                 {FaultOf(What::kLeaveZone, 4, 10, "n0", "z2"),
                  FaultOf(What::kReturnZone, 4, 10, "n5", "z2")},
                 {},
                 true});
  return all;
}
INSTANTIATE_TEST_SUITE_P(Zones, ZoneCases, testing::ValuesIn(Cases()),
                         [](const testing::TestParamInfo<Case>& p) {
                           std::string name = p.param.name;
                           for (char& ch : name)
                             if (!std::isalnum(static_cast<unsigned char>(ch))) ch = '_';
                           return name;
                         });

TEST(ZonesDrawn, FaultsBreakNothing) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Case c{"drawn", {}, {}, true};
    const auto setup = MakeSetup(c, seed);
    lab::DrawOptions draw;
    draw.zones = true;
    lab::DrawFaults(draw, &setup->options.plan);
    for (const lab::Violation& v : OfZones(lab::RunVirtual(setup->options).history))
      ADD_FAILURE() << "seed " << seed << ": " << v.rule << " at " << v.at << ": " << v.what;
  }
}

// The checkers detect each disabled guard in one of the cases above.
TEST(ZonesGuards, EachLeftOutIsFound) {
  const auto broken = [](const char* name, zones::ZoneFailover::DisabledGuards without) {
    for (const Case& c : Cases()) {
      if (std::string(c.name) != name) continue;
      for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const auto setup = MakeSetup(c, seed);
        setup->zones.without = without;
        if (!OfZones(lab::RunVirtual(setup->options).history).empty()) return true;
      }
    }
    return false;
  };
  EXPECT_TRUE(broken("one node claims that zones are gone", {.confirmation = true}));
  const Case all{"all", {FaultOf(What::kFail, 5, 10, "*", "*", 0.6)}, {}};
  const auto setup = MakeSetup(all, 1);
  setup->zones.without = {.capacity_check = true};
  EXPECT_GT(EjectedIn(lab::RunVirtual(setup->options).history).size(), 1u);
}

// Messages with an ejection that arrive after its end do not eject the zone again.
TEST(ZonesGuards, AnOlderVerdictNeverReplacesALaterOne) {
  for (const bool guarded : {true, false}) {
    zones::Options o;
    o.nodes = 5;
    o.zones = {"a", "b", "c"};
    zones::ZoneFailover z(o, 1, kUnix);
    z.DisableGuards({.decision_order = !guarded});
    std::vector<zones::ZoneFailover::OutgoingMessage> out;
    for (const std::uint64_t number : {4, 5, 4})
      for (const int from : {1, 2}) {
        zones::Message w;
        w.zone = from;
        w.at = kUnix;
        w.decisions.push_back({zones::KeyOf("b"), -1, number,
                               number == 4 ? zones::kEjected : zones::kInUse, zones::Cause::kSilent,
                               1, kUnix, 1});
        z.OnMessage(kUnix, from, 1, zones::Encode(w, 200, nullptr), &out);
      }
    EXPECT_EQ(z.status(1).step, guarded ? zones::kInUse : zones::kEjected);
  }
}

// If all workers of the fleet fail, the zone observed first may be ejected, but no second one.
TEST(ZonesGuards, WhereNothingIsLeftABadZoneIsBetterThanNone) {
  Case c{"all", {FaultOf(What::kFail, 5, 10, "*", "*", 0.6)}, {}};
  for (const std::uint64_t seed : {1, 2, 3})
    EXPECT_LE(EjectedIn(RunCase(c, seed).history).size(), 1u) << seed;
}

// A partially failing zone stays in use while nodes reject jobs for lack of capacity; a dead zone
// is always ejected.
TEST(ZonesGuards, AGreyZoneStaysUnderLoadAndADeadOneDoesNot) {
  for (const auto& [cause, overloaded, ejected] : {std::tuple(zones::Cause::kFailing, true, false),
                                                   std::tuple(zones::Cause::kFailing, false, true),
                                                   std::tuple(zones::Cause::kDead, true, true)}) {
    zones::Options o;
    o.self = 0;
    o.nodes = 6;
    o.zones = {"a", "b", "c"};
    zones::ZoneFailover z(o, 1, kUnix);
    for (zones::WorkerKey w = 0; w < 12; ++w) z.OnListed(w, static_cast<int>(w % 3), 0, 1, 0, true);
    z.SetOverloaded(overloaded);
    std::vector<zones::ZoneFailover::OutgoingMessage> out;
    for (int i = 0; i < 12; ++i) {
      const Micros now = kUnix + i * 250'000;
      for (zones::WorkerKey w = 0; w < 12; ++w) {
        z.OnJobSent(now, w);
        z.SetOwnHealth(w, w % 3 == 1 ? cause : zones::Cause::kNone, now);
      }
      for (int from = 1; from < 6; ++from) {
        zones::Message w;
        w.zone = from % 3;
        w.at = now / 1000 * 1000;
        w.reports.push_back({zones::KeyOf("b"), from, from % 3, kUnix / 1000,
                             static_cast<std::uint32_t>(i + 1), 255, 255, cause, overloaded, w.at,
                             0, 0, 0});
        z.OnMessage(now, from, kUnix / 1000, zones::Encode(w, 200, nullptr), &out);
      }
      z.Tick(now, {1, 2, 3, 4, 5}, false, &out);
    }
    EXPECT_EQ(z.status(1).step == zones::kEjected, ejected) << NameOf(cause) << " " << overloaded;
  }
}

// Each step opens a superset of the pairs of the step before.
TEST(ZonesSteps, EachOpensWhatTheOneBeforeHadAndMore) {
  zones::Options o;
  o.nodes = 30;
  o.zones = {"a", "b"};
  std::map<int, std::size_t> open;
  for (int node = 0; node < 30; ++node) {
    o.self = node;
    zones::ZoneFailover z(o, 1, kUnix);
    for (zones::WorkerKey w = 0; w < 40; ++w) z.OnListed(w, static_cast<int>(w % 2), 0, 1, 0, true);
    std::set<zones::WorkerKey> before;
    std::vector<zones::ZoneFailover::OutgoingMessage> out;
    for (std::uint8_t step = zones::kEjected; step <= zones::kLastStep; ++step) {
      zones::Message w;
      w.at = kUnix + step * 5 * kSecond;
      w.decisions.push_back({zones::KeyOf("b"), -1, step, step, zones::Cause::kDead, 3, w.at, 1});
      for (const int from : {(node + 1) % 30, (node + 2) % 30})
        z.OnMessage(w.at, from, 1, zones::Encode(w, 200, nullptr), &out);
      std::set<zones::WorkerKey> now;
      for (zones::WorkerKey k = 1; k < 40; k += 2)
        if (z.use(w.at + 900'000, k) == zones::Use::kOpen) now.insert(k);
      EXPECT_TRUE(std::includes(now.begin(), now.end(), before.begin(), before.end()));
      open[step] += now.size();
      before = now;
    }
  }
  const double pairs = 30 * 20;
  EXPECT_EQ(open[1], 0u);
  for (const std::uint8_t step : {2, 3, 4})
    EXPECT_NEAR(static_cast<double>(open[step]) / pairs, zones::ZoneFailover::OpenFraction(step),
                0.06);
}

RC_GTEST_PROP(ZonesMerge, LaterIsATotalOrder, ()) {
  const auto draw = [] {
    return zones::Decision{1,
                           -1,
                           *rc::gen::inRange<std::uint64_t>(1, 4),
                           *rc::gen::inRange<std::uint8_t>(0, 5),
                           zones::Cause::kDead,
                           *rc::gen::inRange(0, 4),
                           kUnix,
                           *rc::gen::inRange<std::uint8_t>(0, 3)};
  };
  const zones::Decision a = draw(), b = draw(), c = draw();
  const auto merge = [](const zones::Decision& x, const zones::Decision& y) {
    return Supersedes(x, y) ? x : y;
  };
  RC_ASSERT(merge(a, b) == merge(b, a));
  RC_ASSERT(merge(a, merge(b, c)) == merge(merge(a, b), c));
  RC_ASSERT(merge(a, a) == a);
}

RC_GTEST_PROP(ZonesWords, WhatIsWrittenIsReadAgainWithinItsRoom, ()) {
  zones::Message w;
  w.zone = *rc::gen::inRange(0, 20);
  w.at = kUnix;
  w.requests_state = *rc::gen::arbitrary<bool>();
  const auto entries = [] { return *rc::gen::inRange(0, 6); };
  for (int i = entries(); i > 0; --i)
    w.orders.push_back({*rc::gen::arbitrary<std::uint32_t>(),
                        *rc::gen::inRange<std::uint64_t>(1, 1u << 30),
                        static_cast<zones::Order::Action>(*rc::gen::inRange(0, 3)),
                        *rc::gen::inRange(0, 300), kUnix - *rc::gen::inRange(0, 99) * 1000});
  for (int i = entries(); i > 0; --i)
    w.decisions.push_back(
        {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::inRange(-1, 20),
         *rc::gen::inRange<std::uint64_t>(1, 1u << 30), *rc::gen::inRange<std::uint8_t>(0, 5),
         static_cast<zones::Cause>(*rc::gen::inRange(0, 5)), *rc::gen::inRange(0, 300),
         kUnix + *rc::gen::inRange(0, 99) * 1000, *rc::gen::arbitrary<std::uint8_t>()});
  for (int i = entries(); i > 0; --i)
    w.reports.push_back(
        {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::inRange(0, 300), *rc::gen::inRange(0, 20),
         1'790'000'000'000u + *rc::gen::inRange<std::uint64_t>(0, 1u << 30),
         *rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint8_t>(),
         *rc::gen::arbitrary<std::uint8_t>(), static_cast<zones::Cause>(*rc::gen::inRange(0, 5)),
         *rc::gen::arbitrary<bool>(), kUnix - *rc::gen::inRange(0, 99) * 1000,
         *rc::gen::inRange<std::uint64_t>(0, 9), *rc::gen::inRange(0u, 99u),
         *rc::gen::inRange(0u, 99u)});
  const std::size_t room = *rc::gen::inRange<std::size_t>(20, 800);
  int omitted = 0;
  const std::string bytes = Encode(w, room, &omitted);
  RC_ASSERT(bytes.size() <= room);
  const auto read = zones::Decode(bytes);
  RC_ASSERT(read.has_value());
  const auto is_prefix = [](const auto& part, const auto& whole) {
    return part.size() <= whole.size() && std::equal(part.begin(), part.end(), whole.begin());
  };
  RC_ASSERT(is_prefix(read->orders, w.orders) && is_prefix(read->decisions, w.decisions) &&
            is_prefix(read->reports, w.reports));
  RC_ASSERT(read->orders.size() + read->decisions.size() + read->reports.size() +
                static_cast<std::size_t>(omitted) ==
            w.orders.size() + w.decisions.size() + w.reports.size());
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) zones::Decode(bytes.substr(0, cut));
}

}  // namespace
}  // namespace pearreach
