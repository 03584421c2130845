// The trial's own parts: each checker must refuse histories made by hand that break its rule, and
// pass those that keep it; plans and histories survive being written; bad files are one line.
#include <gtest/gtest.h>

#include <algorithm>

#include "dispatch/settings/settings_reader.h"
#include "lab/trial/checkers.h"
#include "lab/trial/fault.h"
#include "lab/trial/shrink.h"

namespace pearreach::lab {
namespace {

using More = std::map<std::string, std::string>;

// How often a checker finds something in a history.
std::size_t Found(const std::string& rule, const History& history) {
  std::size_t n = 0;
  for (const Violation& v : CheckAll(history)) n += v.rule == rule ? 1 : 0;
  return n;
}

Moment Sent(Micros at, const std::string& job, const std::string& node) {
  return {at,
          "client",
          "sent",
          {{"job", job}, {"node", node}, {"left_us", "1000000"}, {"effect", "once"}}};
}
Moment Client(Micros at, const std::string& what, const std::string& job, const std::string& node) {
  return {at, "client", what, {{"job", job}, {"node", node}}};
}
Moment Done(Micros at, const std::string& what, const std::string& node) {
  return {at, "trial", what, {{"node", node}}};
}

TEST(Checkers, OneAnswerRefusesWhatIsLateDoubledOrMissing) {
  const std::string rule = "one-answer";
  EXPECT_EQ(Found(rule, {Sent(0, "a", "n1"), Client(900'000, "answered", "a", "n1")}), 0u);
  EXPECT_EQ(Found(rule, {Sent(0, "a", "n1"), Client(1'200'000, "answered", "a", "n1")}), 1u);
  EXPECT_EQ(Found(rule, {Sent(0, "a", "n1"), Client(1'000'000, "gave_up", "a", "n1")}), 1u);
  EXPECT_EQ(Found(rule, {Sent(0, "a", "n1"), Client(10, "broken", "a", "n1")}), 1u);
  EXPECT_EQ(Found(rule, {Sent(0, "a", "n1")}), 1u);
  EXPECT_EQ(Found(rule, {Client(10, "answered", "a", "n1")}), 1u);
  EXPECT_EQ(Found(rule, {Sent(0, "a", "n1"), Client(10, "answered", "a", "n1"),
                         Client(20, "answered", "a", "n1")}),
            1u);
  // A process that was stopped, or not there, owes nothing meanwhile; another one's stop is no
  // excuse.
  const History stalled = {Done(0, "stalled", "n1"), Sent(10, "a", "n1"),
                           Client(1'000'010, "gave_up", "a", "n1"),
                           Done(2'000'000, "resumed", "n1")};
  EXPECT_EQ(Found(rule, stalled), 0u);
  History other = stalled;
  other[0] = Done(0, "stalled", "n2");
  EXPECT_EQ(Found(rule, other), 1u);
  EXPECT_EQ(Found(rule, {Sent(0, "a", "n1"), Done(5, "ended", "n1"),
                         Client(10, "broken", "a", "n1"), Done(20, "started", "n1")}),
            0u);
  // One that does not listen yet refuses nobody's job; one that serves may not.
  const Moment serving = {30, "n1", "serving", {}};
  const History early = {Done(5, "ended", "n1"), Done(7, "started", "n1"), Sent(10, "a", "n1"),
                         Client(11, "broken", "a", "n1"), serving};
  EXPECT_EQ(Found(rule, early), 0u);
  EXPECT_EQ(Found(rule, {Done(5, "ended", "n1"), Done(7, "started", "n1"), serving,
                         Sent(40'000, "a", "n1"), Client(41'000, "broken", "a", "n1")}),
            1u);
  // What is sent while the node ends may cross the end of its connection; what was sent before may
  // not be lost.
  EXPECT_EQ(Found(rule, {Done(5'000, "ending", "n1"), Sent(9'000, "a", "n1"),
                         Client(9'500, "broken", "a", "n1")}),
            0u);
  EXPECT_EQ(Found(rule, {Sent(0, "a", "n1"), Done(6'000, "ending", "n1"),
                         Client(9'500, "broken", "a", "n1")}),
            1u);
}

Moment Took(Micros at, const std::string& worker, const std::string& job, const std::string& node) {
  return {at, worker, "took", {{"job", job}, {"node", node}}};
}
Moment Told(Micros at, const std::string& node, const std::string& worker,
            const std::string& state) {
  return {at,
          "discovery",
          "told",
          {{"node", node}, {"worker", worker}, {"state", state}, {"started_ms", "5"}}};
}
Moment FaultOf(Micros at, const std::string& kind, const std::string& from, const std::string& to) {
  return {at, "trial", "fault", {{"number", "0"}, {"kind", kind}, {"from", from}, {"to", to}}};
}
const Moment kPlan = {
    0, "trial", "plan", {{"nodes", "3"}, {"zones", "1"}, {"period_us", "200000"}}};

TEST(Checkers, TheOtherRulesOfThePlatformRefuseWhatBreaksThem) {
  EXPECT_EQ(Found("no-duplicate", {Sent(0, "a", "n1"), Took(1, "s-1", "a", "n1")}), 0u);
  EXPECT_EQ(Found("no-duplicate",
                  {Sent(0, "a", "n1"), Took(1, "s-1", "a", "n1"), Took(2, "s-2", "a", "n1")}),
            1u);
  const History drained = {kPlan, Told(10, "n1", "s-1", "draining"),
                           Took(1'900'000, "s-1", "a", "n1")};
  EXPECT_EQ(Found("drains", drained), 1u);
  EXPECT_EQ(
      Found("drains", {kPlan, Told(10, "n1", "s-1", "draining"), Took(900'000, "s-1", "a", "n1")}),
      0u);
  EXPECT_EQ(Found("drains", {kPlan, Told(10, "n1", "s-1", "draining"), Told(20, "n1", "s-1", "up"),
                             Took(1'900'000, "s-1", "a", "n1")}),
            0u);
  // What the agent wrote into a link that was held has not been told.
  History held = drained;
  held.insert(held.begin() + 1, FaultOf(5, "hold-tcp", "n1", "discovery"));
  EXPECT_EQ(Found("drains", held), 0u);
  held[1] = FaultOf(5, "hold-tcp", "n2", "discovery");
  EXPECT_EQ(Found("drains", held), 1u);
  const auto fall = [&](bool knew) {
    History h = {kPlan, {1, "s-1", "started", {}}};
    if (knew) h.push_back(Told(2, "n1", "s-1", "up"));
    for (int i = 0; i < 6; ++i) h.push_back(Took(10 + i, "s-1", "a" + std::to_string(i), "n1"));
    h.push_back({20, "s-1", "fell", {}});
    return h;
  };
  EXPECT_EQ(Found("cold-workers", fall(true)), 1u);
  EXPECT_EQ(Found("cold-workers", fall(false)), 0u);
  EXPECT_EQ(Found("no-crash", {{1, "trial", "ended", {{"node", "n1"}, {"how", "itself"}}}}), 1u);
  EXPECT_EQ(Found("no-crash", {{1, "trial", "ended", {{"node", "n1"}, {"how", "kill"}}}}), 0u);
}

Moment Member(Micros at, const std::string& who, int peer, const std::string& status,
              const std::string& process, int by) {
  return {at,
          who,
          "member",
          {{"peer", std::to_string(peer)},
           {"status", status},
           {"process", process},
           {"by", std::to_string(by)}}};
}
Moment View(Micros at, const std::string& who, const std::string& entries) {
  return {at, who, "view", {{"entries", entries}}};
}

TEST(Checkers, MembershipRefusesWhatBreaksIt) {
  EXPECT_EQ(Found("no-revival",
                  {Member(1, "n0", 1, "alive", "7", 1), Member(2, "n0", 1, "alive", "6", 1)}),
            1u);
  EXPECT_EQ(Found("no-revival", {Member(1, "n0", 1, "alive", "7", 1),
                                 {2, "n0", "peers_open", {{"process", "9"}}},
                                 Member(3, "n0", 1, "alive", "6", 1)}),
            0u);
  const Micros late = 60'000'000;
  EXPECT_EQ(Found("unfounded", {kPlan, Member(late, "n0", 1, "unreachable", "7", 0)}), 1u);
  EXPECT_EQ(Found("unfounded", {kPlan, Done(late - 10, "stalled", "n1"),
                                Member(late, "n0", 1, "unreachable", "7", 0)}),
            0u);
  EXPECT_EQ(Found("unfounded", {kPlan, FaultOf(5, "lose", "n1", "n0"),
                                Member(late, "n0", 1, "unreachable", "7", 0)}),
            0u);
  EXPECT_EQ(Found("unfounded", {kPlan, FaultOf(5, "lose", "n2", "n2"),
                                Member(late, "n0", 1, "unreachable", "7", 0)}),
            1u);
  const std::string alive = "0:alive:5:0 1:alive:7:0 2:alive:6:0";
  const History dead = {kPlan, Done(10, "ended", "n1"), View(late, "n0", alive),
                        Done(late + 10, "over", "n9")};
  EXPECT_EQ(Found("noticed", dead), 1u);
  History known = dead;
  known[2] = View(late, "n0", "0:alive:5:0 1:unreachable:7:0 2:alive:6:0");
  EXPECT_EQ(Found("noticed", known), 0u);
  const History woke = {kPlan, Done(10, "stalled", "n0"), Done(5'000'000, "resumed", "n0"),
                        Member(5'100'000, "n0", 1, "suspect", "7", 0)};
  EXPECT_EQ(Found("stopped-first", woke), 1u);
  History trusts = woke;
  trusts.insert(trusts.begin() + 3, {5'050'000, "n0", "trusts_itself", {}});
  EXPECT_EQ(Found("stopped-first", trusts), 0u);
  const auto ends = [&](const std::string& entries) {
    History h = {kPlan};
    for (int n = 0; n < 3; ++n)
      h.push_back({1, "n" + std::to_string(n), "peers_open", {{"process", std::to_string(5 + n)}}});
    h.push_back(Done(10, "quiet", ""));
    for (int n = 0; n < 3; ++n) h.push_back(View(late, "n" + std::to_string(n), entries));
    return h;
  };
  EXPECT_EQ(Found("agreement", ends("0:alive:5:0 1:alive:6:0 2:alive:7:0")), 0u);
  EXPECT_EQ(Found("agreement", ends("0:alive:5:0 1:suspect:6:0 2:alive:7:0")), 3u);
  EXPECT_EQ(Found("agreement", ends("0:alive:5:0 1:alive:4:0 2:alive:7:0")), 3u) << "replaced";
  History silent = ends("0:alive:5:0 1:alive:6:0 2:alive:7:0");
  silent.pop_back();
  EXPECT_EQ(Found("agreement", silent), 1u);
}

Moment Said(Micros at, const std::string& who, const std::string& what, More more) {
  return {at, who, what, std::move(more)};
}

TEST(Checkers, SharedStateRefusesWhatBreaksIt) {
  const auto plan = Said(0, "trial", "plan", {{"nodes", "9"}, {"zones", "3"}, {"workers", "10"}});
  const auto parts = [&](const char* sum) {
    return Said(1, "trial", "parts", {{"budget", "0"}, {"parts", sum}, {"whole", "1000"}});
  };
  EXPECT_EQ(Found("budget-sum", {parts("1000")}), 0u);
  EXPECT_EQ(Found("budget-sum", {parts("1001")}), 1u);
  const auto spent = [&](const char* much) {
    return Said(1, "trial", "spent", {{"budget", "0"}, {"spent", much}, {"most", "21"}});
  };
  EXPECT_EQ(Found("budget-sum", {spent("21")}), 0u);
  EXPECT_EQ(Found("budget-sum", {spent("22")}), 1u);
  const auto reading = [&](const char* is) {
    return Said(1, "n1", "reading",
                {{"account", "0"}, {"least", "10"}, {"most", "20"}, {"true", is}});
  };
  EXPECT_EQ(Found("count-bound", {reading("10"), reading("20")}), 0u);
  EXPECT_EQ(Found("count-bound", {reading("9"), reading("21")}), 2u);
  // Processes: number:counted:spent within the share:part:least:most:estimate.
  const auto line = [&](Micros at, const char* node, const char* accounts) {
    return Said(at, node, "shared", {{"process", "7"}, {"accounts", accounts}, {"out", ""}});
  };
  const auto share =
      Said(0, "trial", "share",
           {{"account", "0"}, {"whole", "10"}, {"burst", "1"}, {"window_us", "10000000"}});
  EXPECT_EQ(Found("budget-spent", {share, line(200'000, "n1", "0:0:0:5000:0:90:0"),
                                   line(900'000, "n1", "0:20:20:5000:0:90:20")}),
            0u);
  EXPECT_GT(Found("budget-spent", {share, line(200'000, "n1", "0:0:0:5000:0:90:0"),
                                   line(900'000, "n1", "0:60:60:5000:0:90:60")}),
            0u);
  const History counted = {share, line(100'000, "n1", "0:0:0:5000:0:90:0"),
                           line(500'000, "n1", "0:50:0:5000:0:90:50"),
                           line(900'000, "n2", "0:0:0:5000:40:60:50")};
  EXPECT_EQ(Found("count-true", counted), 0u);
  History narrow = counted;
  narrow[3] = line(900'000, "n2", "0:0:0:5000:0:30:20");
  EXPECT_EQ(Found("count-true", narrow), 1u);
  const auto out = [&](const char* zones, const char* gone, const char* well) {
    return Said(5, "n1", "worker_out",
                {{"worker", "s-1"}, {"zones", zones}, {"gone", gone}, {"well_us", well}});
  };
  EXPECT_EQ(Found("hearsay", {plan, out("02", "1", "0"), out("01", "0", "11000000")}), 0u);
  EXPECT_EQ(Found("hearsay", {plan, out("2", "1", "0")}), 1u);
  EXPECT_EQ(Found("hearsay", {plan, out("02", "0", "13000000")}), 1u);
  const auto outs = [&](const char* many) {
    return Said(5, "n1", "workers_out", {{"out", many}, {"of", "10"}});
  };
  EXPECT_EQ(Found("hearsay", {plan, outs("3")}), 0u);
  EXPECT_EQ(Found("hearsay", {plan, outs("4")}), 1u);
  const auto without = [&](Micros at, const char* workers) {
    return Said(at, "n1", "shared", {{"process", "7"}, {"accounts", ""}, {"out", workers}});
  };
  const auto quiet = Said(10, "trial", "quiet", {});
  EXPECT_EQ(Found("hearsay-said", {plan, without(5, "s-1:silent:0:1"), quiet}), 0u);
  EXPECT_EQ(Found("hearsay-said", {plan, without(5, "s-1:silent:0:3"), quiet}), 1u);
  EXPECT_EQ(Found("hearsay-said", {plan, without(5,
                                                 "s-1:silent:0:1 s-2:silent:0:1 s-3:silent:0:1 "
                                                 "s-4:silent:0:1")}),
            1u);
  EXPECT_EQ(Found("hearsay-said", {plan, quiet, without(13'000'000, "s-1:silent:0:1")}), 1u);
}

TEST(Checkers, ZonesRefuseWhatBreaksThem) {
  const auto plan =
      Said(0, "trial", "plan",
           {{"nodes", "2"}, {"zones", "3"}, {"workers", "12"}, {"leaves_zones", "1"}});
  const auto fault = [&](Micros at, const char* kind, const char* from, Micros length) {
    return Said(at, "trial", "fault",
                {{"number", "0"},
                 {"kind", kind},
                 {"from", from},
                 {"to", "*"},
                 {"length_us", std::to_string(length)}});
  };
  const auto zone = [&](Micros at, const char* node, const char* name, const char* step,
                        More more = {}) {
    more["zone"] = name;
    more["step"] = step;
    more.emplace("whose", "all");
    return Said(at, node, "zone", std::move(more));
  };
  const Micros s = 1'000'000;
  const auto serving = [&](const char* node) { return Said(0, node, "serving", {}); };
  const auto gone = fault(5 * s, "silence", "z1", 10 * s);

  EXPECT_EQ(Found("zones-never-all", {plan, zone(1, "n0", "z0", "1"), zone(2, "n0", "z1", "1"),
                                      zone(3, "n1", "z2", "1")}),
            0u);
  EXPECT_EQ(Found("zones-never-all", {plan, zone(1, "n0", "z0", "1"), zone(2, "n0", "z1", "1"),
                                      zone(3, "n0", "z2", "1")}),
            1u);

  EXPECT_EQ(Found("zones-founded", {plan, gone, zone(6 * s, "n0", "z1", "1")}), 0u);
  EXPECT_EQ(Found("zones-founded", {plan, gone, zone(6 * s, "n0", "z2", "1")}), 1u);
  EXPECT_EQ(Found("zones-founded", {plan, gone, zone(24 * s, "n0", "z1", "1")}), 1u);
  EXPECT_EQ(Found("zones-founded",
                  {plan, fault(5 * s, "silence", "s-1", 10 * s), zone(6 * s, "n0", "z1", "1")}),
            1u)
      << "one worker of four is no zone";
  EXPECT_EQ(Found("zones-founded", {plan, zone(6 * s, "n0", "z1", "1", {{"by_hand", "1"}})}), 0u);

  const auto end = Said(30 * s, "trial", "over", {});
  const History in_time = {plan,
                           serving("n0"),
                           serving("n1"),
                           gone,
                           zone(7 * s, "n0", "z1", "1"),
                           zone(8 * s, "n1", "z1", "1"),
                           end};
  EXPECT_EQ(Found("zones-in-time", in_time), 0u);
  History late = in_time;
  late[5] = zone(12 * s, "n1", "z1", "1");
  EXPECT_EQ(Found("zones-in-time", late), 1u);

  const auto apart = [&](Micros until, More more = {}) {
    return History{plan,
                   serving("n0"),
                   serving("n1"),
                   gone,
                   zone(7 * s, "n0", "z1", "1"),
                   zone(until, "n1", "z1", "1", std::move(more)),
                   end};
  };
  EXPECT_EQ(Found("zones-agreed", apart(10 * s)), 0u);
  EXPECT_EQ(Found("zones-agreed", apart(12 * s)), 1u);
  History touched = apart(12 * s);
  touched.insert(touched.begin() + 4, fault(6 * s, "lose", "n1", 5 * s));
  EXPECT_EQ(Found("zones-agreed", touched), 0u);

  const auto last = [&](const char* step, Micros ending) {
    return History{plan, serving("n0"), zone(7 * s, "n0", "z1", step),
                   Said(10 * s, "trial", "quiet", {}),
                   Said(ending, "trial", "ending", {{"node", "n0"}})};
  };
  EXPECT_EQ(Found("zones-whole", last("0", 50 * s)), 0u);
  EXPECT_EQ(Found("zones-whole", last("2", 50 * s)), 1u);
  EXPECT_EQ(Found("zones-whole", last("2", 30 * s)), 0u) << "too soon to be judged";
}

TEST(Shrinks, ToWhatIsNeeded) {
  TrialPlan plan;
  plan.seed = 3;
  DrawFaults({.faults = 20}, &plan);
  const Fault needed = plan.faults[7], other = plan.faults[13];
  const auto has = [](const TrialPlan& p, const Fault& f) {
    return std::any_of(p.faults.begin(), p.faults.end(), [&](const Fault& g) {
      return g.what == f.what && g.at == f.at && g.from == f.from;
    });
  };
  int calls = 0;
  const TrialPlan small = Shrink(
      plan, [&](const TrialPlan& p) { return ++calls, has(p, needed) && has(p, other); }, 500);
  EXPECT_EQ(small.faults.size(), 2u);
  EXPECT_LE(calls, 500);
  EXPECT_TRUE(has(small, needed) && has(small, other));
  for (const Fault& f : small.faults) EXPECT_LT(f.length, 200'000);
}

TEST(Plans, SurviveBeingWritten) {
  for (std::uint64_t seed = 1; seed < 50; ++seed) {
    TrialPlan plan;
    plan.seed = seed;
    DrawFaults({}, &plan);
    ASSERT_EQ(plan.faults.size(), 12u);
    const TrialPlan again = ReadPlan(WritePlan(plan), "again");
    EXPECT_EQ(again.faults, plan.faults) << WritePlan(plan);
    for (const Fault& f : plan.faults) EXPECT_LE(f.at + f.length, plan.length * 4 / 5);
  }
}

TEST(Plans, BadOnesAreOneLineWithItsPlace) {
  const auto complaint = [](const std::string& text) -> std::string {
    try {
      ReadPlan(text, "plan.xml");
    } catch (const dispatch::Malformed& wrong) {
      return wrong.what();
    }
    return "";
  };
  const auto with = [](const std::string& fault) {
    return "<trial nodes='4' length-ms='5000'>\n" + fault + "\n</trial>";
  };
  EXPECT_EQ(complaint(with("<fault what='kill' at-ms='0' length-ms='10' from='n3'/>")), "");
  for (const char* bad : {"<fault what='kill' at-ms='0' length-ms='10' from='n4'/>",
                          "<fault what='kill' at-ms='4995' length-ms='10'/>",
                          "<fault what='explode' at-ms='0' length-ms='10'/>",
                          "<fault what='kill' length-ms='10'/>", "<mishap/>", "<fault"})
    EXPECT_TRUE(complaint(with(bad)).starts_with("plan.xml:"))
        << bad << ": " << complaint(with(bad));
}

TEST(Histories, SurviveBeingWrittenAndRefuseWhatIsNone) {
  const History history = {Sent(0, "a", "n1"), {5, "n1", "said \"so\"", {{"x", "1\n2"}}}};
  const History again = ReadHistory(WriteHistory(history), "h");
  ASSERT_EQ(again.size(), 2u);
  EXPECT_EQ(again[1].what, history[1].what);
  EXPECT_EQ(again[1].Of("x"), "1\n2");
  for (const char* bad : {"{", "[]", R"({"at":"x","who":"a","what":"b"})", R"({"at":1,"who":"a"})"})
    EXPECT_THROW(ReadHistory(bad, "h"), dispatch::Malformed) << bad;
  Moment m;
  EXPECT_TRUE(ReadLogLine(R"({"time":12.5,"node":"n1","event":"e","peer":"2"})", 12'000'000, &m));
  EXPECT_EQ(m.at, 500'000);
  EXPECT_FALSE(ReadLogLine("n1: plain", 0, &m));
}

}  // namespace
}  // namespace pearreach::lab
