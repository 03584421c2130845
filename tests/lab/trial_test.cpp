// The trial's own parts: each checker must refuse histories made by hand that break its rule, and
// pass those that keep it; plans and histories survive being written; bad files are one line.
#include <gtest/gtest.h>

#include "lab/trial/checkers.h"
#include "lab/trial/fault.h"
#include "site/site.h"

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
                         Sent(40, "a", "n1"), Client(41, "broken", "a", "n1")}),
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
    } catch (const marlquay::Malformed& wrong) {
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
    EXPECT_THROW(ReadHistory(bad, "h"), marlquay::Malformed) << bad;
  Moment m;
  EXPECT_TRUE(ReadLogLine(R"({"time":12.5,"node":"n1","event":"e","peer":"2"})", 12'000'000, &m));
  EXPECT_EQ(m.at, 500'000);
  EXPECT_FALSE(ReadLogLine("n1: plain", 0, &m));
}

}  // namespace
}  // namespace pearreach::lab
