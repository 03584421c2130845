// The simulator adapter on hand-written transcripts.
#include "dispatch/simulator/wire.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>
#include <string>

namespace pearreach::dispatch {
namespace {

const char kConf[] =
    "Balancers=2 Ordinal=0 RoundMs=5.0 Models=a,b Zones=east,west Locality=east Unknown.Thing=7 "
    "RequestClasses.count=2 RequestClasses.0.Name=read RequestClasses.0.Effect=repeatable "
    "RequestClasses.0.AimMs=500 RequestClasses.0.DeadlineMs=5000 RequestClasses.0.Credit=1 "
    "RequestClasses.1.Name=pay RequestClasses.1.Effect=once RequestClasses.1.AimMs=500 "
    "RequestClasses.1.DeadlineMs=5000 RequestClasses.1.Credit=3 FamilyInfo.ClassKind=-1,1 "
    "FamilyInfo.ClassStretch=2,2 FamilyInfo.TellsStart=true FamilyInfo.ProgressMs=1000 "
    "Limits.TryLimit=3 Limits.Cancel=true Limits.MayProbe=true Limits.MayDuplicate=true";

std::string Start(int node) { return "start " + std::to_string(node) + " 42 " + kConf + "\n"; }
const char kList[] =
    "list 0 2\n"
    "row 10.0.0.1:5000 east a 0 in_service 1 -\n"
    "row 10.0.0.2:5000 west b 0 in_service 1\n";

struct Served {
  int code = 0;
  std::string out, err;
};

Served Serve(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out, err;
  Served s;
  s.code = ServeWire(in, out, err);
  s.out = out.str();
  s.err = err.str();
  return s;
}

std::string Opening() {
  return "begin_batch 1000.5\n" + Start(3) + kList + "discovery 3 C 1 0\neof_batch\n";
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST(Wire, AnEmptyBatchIsAnswered) {
  const Served s = Serve("begin_batch 8412.25\neof_batch\n");
  EXPECT_EQ(s.code, 0);
  EXPECT_EQ(s.out, "end\n");
}

TEST(Wire, ARequestIsSentAndServed) {
  const Served s = Serve(Opening() +
                         "begin_batch 1005.5\n"
                         "request 3 00000000000000ff - 6005.5 1 pay - 0 - -\n"
                         "eof_batch\n"
                         "begin_batch 1020\n"
                         "hint_update 3 00000000000000ff 0 10.0.0.2:5000 1\n"
                         "eof_batch\n"
                         "begin_batch 1100\n"
                         "ended 3 00000000000000ff 0 10.0.0.2:5000 GOOD 94.5 1 - x0:3.0,new:1\n"
                         "lapsed 3 00000000000000ff\n"
                         "eof_batch\n");
  EXPECT_EQ(s.code, 0) << s.err;
  EXPECT_TRUE(Has(s.out, "hand_off 3 00000000000000ff 10.0.0.2:5000 0\n")) << s.out;
  EXPECT_TRUE(Has(s.out, "remind 3 1"));
  EXPECT_FALSE(Has(s.out, "give_up"));
}

TEST(Wire, TrailingFieldsMayBeLeftOut) {
  const Served s = Serve(Opening() +
                         "begin_batch 1005.5\nrequest 3 00000000000000ff - 6005.5 - read\n"
                         "elapsed 3 0\nprobe_done 3 10.0.0.1:5000 GOOD\n"
                         "ended 3 0000000000000001 0 10.0.0.1:5000 LATE 3 0\neof_batch\n");
  EXPECT_EQ(s.code, 0) << s.err;
  EXPECT_TRUE(Has(s.out, "hand_off 3 00000000000000ff"));
}

TEST(Wire, AFinalFailureIsWritten) {
  const Served s =
      Serve(Opening() +
            "begin_batch 1005.5\nrequest 3 00000000000000ff - 2505.5 1 pay\neof_batch\n"
            "begin_batch 2506\n"
            "ended 3 00000000000000ff 0 10.0.0.2:5000 LATE 1500 0\neof_batch\n");
  EXPECT_TRUE(Has(s.out, "give_up 3 00000000000000ff\n")) << s.out;
}

TEST(Wire, AListNumberUsedTwiceInABatchMeansTheListBeforeTheEvent) {
  const Served s =
      Serve("begin_batch 1\n" + Start(1) + kList + "discovery 1 C 1 0\n" + Start(2) +
            "list 0 1\nrow 10.9.9.9:5000 east a 0 in_service 1\ndiscovery 2 C 1 0\n"
            "request 1 0000000000000001 - 900 1 pay\nrequest 2 0000000000000002 - 900 1 read\n"
            "eof_batch\n");
  EXPECT_EQ(s.code, 0) << s.err;
  EXPECT_TRUE(Has(s.out, "hand_off 1 0000000000000001 10.0.0.2:5000"));
  EXPECT_TRUE(Has(s.out, "hand_off 2 0000000000000002 10.9.9.9:5000"));
}

TEST(Wire, KillAndStartInOneBatchForgetEverything) {
  const Served s = Serve(Opening() +
                         "begin_batch 1005\nrequest 3 0000000000000001 - 6000 1 pay\neof_batch\n"
                         "begin_batch 1010\nkill 3\n" +
                         Start(3) + kList +
                         "discovery 3 C 1 0\nrequest 3 0000000000000002 - 6000 1 pay\neof_batch\n"
                         "begin_batch 7000\nelapsed 3 0\neof_batch\n");
  EXPECT_EQ(s.code, 0) << s.err;
  EXPECT_TRUE(Has(s.out, "hand_off 3 0000000000000002"));
  EXPECT_FALSE(Has(s.out, "give_up 3 0000000000000001"));
}

TEST(Wire, SubscribesWhereTheListMustBeAskedFor) {
  std::string text = Opening();
  text.replace(text.find("Balancers"), 9, "MembershipMode=subscribe Balancers");
  const Served s = Serve(text + "begin_batch 1010\nelapsed 3 0\neof_batch\n");
  EXPECT_TRUE(Has(s.out, "follow 3 1\n")) << s.out;
  const Served again = Serve(text +
                             "begin_batch 1010\nelapsed 3 0\neof_batch\n"
                             "begin_batch 1020\ndiscovery 3 X 0 0\neof_batch\n"
                             "begin_batch 1400\nelapsed 3 0\neof_batch\n");
  EXPECT_NE(again.out.find("follow 3 1\n"), again.out.rfind("follow 3 1\n")) << again.out;
}

TEST(Wire, TheSameTranscriptGetsTheSameBytesSharedOrAlone) {
  const auto session = [](int node) {
    std::string text;
    for (int i = 0; i < 50; ++i) {
      text += "begin_batch " + std::to_string(2000 + i * 10) + "\n";
      text += "request " + std::to_string(node) + " 00000000000000" + std::to_string(10 + i) +
              " - 9000 1 " + (i % 3 ? "read" : "pay") + " - 0 - " + std::to_string(i % 5) +
              "\neof_batch\n";
    }
    return text;
  };
  const Served a = Serve(Opening() + session(3)), b = Serve(Opening() + session(3));
  EXPECT_EQ(a.code, 0) << a.err;
  EXPECT_EQ(a.out, b.out);
  std::string other = Opening();
  other.insert(other.find("start 3"), Start(8) + kList + "discovery 8 C 1 0\n");
  const Served shared = Serve(other + session(3));
  std::string mine;
  std::istringstream lines(shared.out);
  for (std::string line; std::getline(lines, line);)
    if (!Has(line, " 8 ")) mine += line + "\n";
  EXPECT_EQ(mine, a.out);
}

struct BadLine {
  const char* text;
  const char* expected;
};

class Malformed : public ::testing::TestWithParam<BadLine> {};

TEST_P(Malformed, IsNamedAndNothingOfItsBatchIsWritten) {
  const Served s =
      Serve(Opening() + "begin_batch 1010\n" + "request 3 00000000000000aa - 6000 1 read\n" +
            GetParam().text + "\neof_batch\n");
  EXPECT_NE(s.code, 0);
  EXPECT_TRUE(Has(s.err, "line 10: ")) << s.err;
  EXPECT_TRUE(Has(s.err, GetParam().expected)) << s.err;
  EXPECT_EQ(std::count(s.err.begin(), s.err.end(), '\n'), 1);
  EXPECT_FALSE(Has(s.out, "00000000000000aa"));
}

INSTANTIATE_TEST_SUITE_P(
    All, Malformed,
    ::testing::Values(
        BadLine{"dance 3", "unknown message"}, BadLine{"elapsed 4 1", "instance 4 not started"},
        BadLine{"elapsed x 1", "bad node"}, BadLine{"elapsed 3", "missing timer mark"},
        BadLine{"request 3 00000000000000ff - soon 1 read", "bad due time"},
        BadLine{"request 3 ff - 5 1 read", "bad request id"},
        BadLine{"request 3 00000000000000ff - 5 1 sing", "unknown class"},
        BadLine{"request 3 00000000000000ff", "missing due time"},
        BadLine{"ended 3 00000000000000ff 0 10.0.0.1:5000 WHAT 1 0", "unknown outcome"},
        BadLine{"ended 3 00000000000000ff 0 10.7.7.7:5000 GOOD 1 0",
                "unknown executor '10.7.7.7:5000'"},
        BadLine{"ended 3 00000000000000ff 0 10.0.0.1:5000 GOOD nan 0", "bad latency"},
        BadLine{"discovery 3 C 1 99", "bad list number"},
        BadLine{"begin_batch 2000", "inside a batch"},
        BadLine{"start 5 42 RoundMs=5", "no request classes"},
        BadLine{"start 5 42 RequestClasses.count=1 RequestClasses.0.Effect=once Models=a",
                "interval between calls of Handle is 0 us"},
        BadLine{"start 5 42 RoundMs=abc", "bad RoundMs"}),
    [](const auto& info) { return "Line" + std::to_string(info.index); });

TEST(Wire, InputThatEndsInsideABatchIsAFault) {
  const Served s = Serve(Opening() + "begin_batch 1010\n");
  EXPECT_NE(s.code, 0);
  EXPECT_TRUE(Has(s.err, "ends inside a batch"));
}

}  // namespace
}  // namespace pearreach::dispatch
