// What is made out of captures: parts, captures without names, imports of taps, what-ifs; and what
// is read out of them: explanations and broken rules.
#include <gtest/gtest.h>

#include <sstream>

#include "dispatch/simulator/wire.h"
#include "lab/world/scenarios.h"
#include "node/capture/audit.h"
#include "node/capture/edit.h"
#include "node/capture/explain.h"
#include "node/capture/replay.h"

namespace pearreach::capture {
namespace {

using lab::kMs;
using lab::kSecond;

std::string Day(const char* name) {
  for (const lab::Scenario& s : lab::Scenarios())
    if (std::string_view(s.name) == name) return lab::Play(s)->Capture();
  return "";
}

std::uint64_t TurnsThatReplay(const std::string& bytes) {
  Segment segment(bytes, "capture");
  const Replayed r = Replay(&segment, {});
  EXPECT_FALSE(r.difference);
  EXPECT_TRUE(r.ended);
  return r.turns;
}

TEST(Cut, APartReplaysAloneAndPartsMakeTheWhole) {
  const std::string day = Day("silent-and-cold-again");
  const std::uint64_t all = TurnsThatReplay(day);
  std::uint64_t turns = 0;
  for (Micros from = 0; from < 16 * kSecond; from += 4 * kSecond) {
    Segment segment(day, "day");
    const std::string part = Cut(&segment, {from, from + 4 * kSecond});
    turns += TurnsThatReplay(part);
    Segment again(part, "part");
    EXPECT_EQ(again.checkpoint().has_value(), from > 0);
  }
  EXPECT_EQ(turns, all);
  Segment segment(day, "day");
  EXPECT_THROW(Cut(&segment, {100 * kSecond, 101 * kSecond}), Unreadable);
}

// Jobs that come before the module has any worker are part of the capture, and of a checkpoint
// there.
TEST(Cut, EventsBeforeTheFirstListReplay) {
  lab::World world(lab::BaseSettings(), 9);
  world.AddWorker({.name = "s-0"});
  world.AddLoad({.per_second = 50, .cls = "commit", .tenant = "acme", .work = 30 * kMs}, 1 * kMs,
                kSecond);
  world.ListAll(600 * kMs);
  world.Run(8 * kSecond);
  const std::string day = world.Capture();
  EXPECT_GT(world.served(), 20u);
  EXPECT_EQ(TurnsThatReplay(day), world.turns().size());
  Segment segment(day, "day");
  const std::string part = Cut(&segment, {300 * kMs, 5 * kSecond});
  EXPECT_GT(TurnsThatReplay(part), 20u);
  Segment audited(day, "day");
  EXPECT_EQ(RunAudit(&audited).breach_count, 0u);
}

TEST(Anonymise, KeepsEveryDecisionAndNoName) {
  const std::string day = Day("drain-around-a-late-list");
  Segment whole(day, "day");
  const std::string part = Cut(&whole, {3 * kSecond, 12 * kSecond});  // with a checkpoint
  for (const std::string& bytes : {day, part}) {
    const std::string path = testing::TempDir() + "anonymise.prcap";
    WriteFile(path, bytes);
    const Anonymised a = Anonymise(path, std::string(32, 'k'));
    EXPECT_FALSE(a.identities_kept);
    EXPECT_EQ(TurnsThatReplay(a.bytes), TurnsThatReplay(bytes));
    Segment segment(a.bytes, "anonymous");
    Turn turn;
    std::set<std::uint64_t> identities;
    while (segment.Next(&turn)) {
      for (const Note& n : turn.notes) EXPECT_TRUE(n.id.empty() || n.id.starts_with("job-"));
      for (const auto& e : turn.events)
        if (const auto* list = std::get_if<dispatch::WorkerList>(&e))
          for (const auto& w : list->entries) identities.insert(w.identity);
    }
    for (const char* name : {"s-0", "s-5"})
      EXPECT_FALSE(identities.contains(dispatch::HashName(name))) << "can be told from its hash";
    for (const std::string& w : segment.workers()) EXPECT_TRUE(w.starts_with("worker-"));
    for (const auto& [key, value] : segment.origin().settings)
      for (const char* name : {"acme", "umbra", "commit", "sync"})
        EXPECT_EQ(value.find(name), std::string::npos) << key;
    EXPECT_NE(Anonymise(path, std::string(32, 'x')).bytes, a.bytes);
    EXPECT_EQ(Anonymise(path, std::string(32, 'k')).bytes, a.bytes);
  }
}

TEST(WhatIf, CountsWhatOtherSettingsChange) {
  const std::string day = Day("overload-with-refusals");
  Segment same(day, "day");
  EXPECT_EQ(WhatIf(&same, {{"Limits.TryLimit", "3"}}, {}).turns_that_differ, 0u);
  Segment once(day, "day");
  const Changes c = WhatIf(&once, {{"Limits.TryLimit", "1"}}, {});
  EXPECT_GT(c.turns_that_differ, 0u);
  EXPECT_LT(c.kinds[0].second, c.kinds[0].first);  // fewer sends
  std::uint64_t sends = 0;
  for (const auto& [worker, pair] : c.sends) sends += pair.first;
  EXPECT_EQ(sends, c.kinds[0].first);
  Segment bad(day, "day");
  EXPECT_THROW(WhatIf(&bad, {{"Limits.TryLimit", "many"}}, {}), dispatch::Malformed);
}

// A capture of a module that decided otherwise: replay says where, accept takes this module's word.
TEST(Replay, NamesTheFirstDifferenceAndAcceptMendsIt) {
  const std::string day = Day("overload-with-refusals");
  Segment segment(day, "day");
  SegmentWriter writer(segment.origin(), nullptr);
  std::uint64_t number = 0, changed = 0;
  for (Turn turn; segment.Next(&turn); ++number) {
    if (number >= 300 && changed == 0 && !turn.actions.empty()) {
      changed = number;
      turn.actions.pop_back();
    }
    writer.Add(turn);
  }
  const std::string other = writer.Finish("changed");
  Segment wrong(other, "other");
  const Replayed r = Replay(&wrong, {});
  ASSERT_TRUE(r.difference);
  EXPECT_EQ(r.difference->turn, changed);
  EXPECT_EQ(r.difference->actual.size(), r.difference->recorded.actions.size() + 1);
  EXPECT_FALSE(r.difference->figures.empty());
  Segment before(other, "other");
  EXPECT_FALSE(Replay(&before, {0, 100 * kMs}).difference) << "only the window is compared";
  Segment again(other, "other");
  Changes changes;
  EXPECT_EQ(TurnsThatReplay(Accept(&again, "now", 1, &changes)), number);
  EXPECT_EQ(changes.turns_that_differ, 1u);
}

std::vector<Line> LinesOf(const std::string& bytes, const Subject& subject, Explained* result) {
  Segment segment(bytes, "day");
  std::vector<Line> lines;
  *result = Explain(&segment, subject, {}, [&](const Line& l) { lines.push_back(l); });
  return lines;
}

// The question of the morning after: why did the node keep sending to a worker just back?
TEST(Explain, TellsWhyAWorkerWasChosen) {
  Explained r;
  const auto lines = LinesOf(Day("silent-and-cold-again"), {"s-1", ""}, &r);
  EXPECT_TRUE(r.known);
  EXPECT_TRUE(r.identical);
  const auto find = [&](const char* kind, const char* text) {
    return std::find_if(lines.begin(), lines.end(), [&](const Line& l) {
      return l.kind == kind && l.text.find(text) != std::string::npos;
    });
  };
  const auto silent = find("log", "worker silent: s-1"), back = find("log", "worker back: s-1");
  ASSERT_NE(silent, lines.end());
  ASSERT_NE(back, lines.end());
  EXPECT_LT(silent->since, back->since);
  EXPECT_NE(find("list", "started"), lines.end());
  const auto choice = find("choice", "s-1 is the cheapest of");
  ASSERT_NE(choice, lines.end());
  EXPECT_NE(find("choice", " s old"), lines.end()) << "the age of the last report";
  EXPECT_NE(choice->text.find("others'"), std::string::npos);
  EXPECT_EQ(find("event", " at s-2"), lines.end()) << "of another worker";
  for (std::size_t i = 1; i < lines.size(); ++i)
    EXPECT_GE(lines[i].since, lines[i - 1].since - 2 * kMs);

  LinesOf(Day("silent-and-cold-again"), {"s-9", ""}, &r);
  EXPECT_FALSE(r.known);
  const auto job = LinesOf(Day("silent-and-cold-again"), {"", "12"}, &r);
  EXPECT_TRUE(r.known);
  EXPECT_EQ(job.front().text.substr(0, 15), "arrived: job 12");
}

// ---------------------------------------------------------------- the audit, by broken rules

class Script {
 public:
  Script() {
    origin_.settings = lab::BaseSettings();
    dispatch::WorkerList list{dispatch::WorkerList::Form::kComplete, {}};
    for (dispatch::WorkerId w = 0; w < 3; ++w) {
      dispatch::WorkerEntry e;
      e.worker = w;
      e.cell = static_cast<int>(w / 2);
      list.entries.push_back(e);
    }
    Add(kMs, {list}, {});
    turns_.back().workers = {"s-0", "s-1", "s-2"};
  }
  void Add(Micros at, std::vector<dispatch::Event> events, std::vector<dispatch::Action> actions) {
    Turn t;
    t.now = at;
    t.events = std::move(events);
    t.actions = std::move(actions);
    turns_.push_back(t);
  }
  static dispatch::RequestArrived Job(dispatch::RequestId id, int cls = 0) {
    dispatch::RequestArrived e;
    e.request = id;
    e.cls = cls;
    e.due = 5 * kSecond;
    return e;
  }
  static dispatch::AttemptEnded Ended(dispatch::RequestId id, int attempt,
                                      dispatch::WorkerId worker, dispatch::Outcome outcome,
                                      bool settled = false) {
    return {id, attempt, worker, outcome, 0, settled, {}};
  }
  // "RULE what" of the first breach; empty: none.
  std::string Broken() const {
    SegmentWriter writer(origin_, nullptr);
    for (const Turn& t : turns_) writer.Add(t);
    Segment segment(writer.Finish(""), "script");
    const Audit a = RunAudit(&segment);
    return a.breaches.empty() ? "" : std::to_string(a.breaches[0].rule) + " " + a.breaches[0].what;
  }

 private:
  Origin origin_;
  std::vector<Turn> turns_;
};

using dispatch::Outcome;
using dispatch::Send;

TEST(Audit, AGoodDayBreaksNothing) {
  for (const lab::Scenario& s : lab::Scenarios()) {
    Segment segment(lab::Play(s)->Capture(), s.name);
    const Audit a = RunAudit(&segment);
    EXPECT_EQ(a.breach_count, 0u) << s.name << ": " << a.breaches.front().what;
    EXPECT_GT(a.answered, 10u) << s.name;
    EXPECT_EQ(a.open, 0u) << s.name;
  }
}

TEST(Audit, FindsAJobWithoutAnswer) {
  Script s;
  s.Add(2 * kMs, {Script::Job(1)}, {});
  EXPECT_EQ(s.Broken(), "");
  s.Add(6 * kSecond, {dispatch::TimerFired{}}, {});
  EXPECT_EQ(s.Broken(), "1 job 1 had no answer by its deadline");
}

TEST(Audit, FindsASecondAnswerAndASendAfterTheEnd) {
  Script twice;
  twice.Add(2 * kMs, {Script::Job(1)}, {dispatch::Refuse{1, 0}});
  twice.Add(3 * kMs, {}, {dispatch::Fail{1}});
  EXPECT_EQ(twice.Broken(), "1 job 1 answered twice");
  Script after;
  after.Add(2 * kMs, {Script::Job(1)}, {dispatch::Refuse{1, 0}});
  after.Add(3 * kMs, {}, {Send{1, 0}});
  EXPECT_EQ(after.Broken(), "1 job 1 sent after its final answer");
}

TEST(Audit, FindsWhatMayRunTwice) {
  Script once;
  once.Add(2 * kMs, {Script::Job(1)}, {Send{1, 0}});
  once.Add(9 * kMs, {Script::Ended(1, 0, 0, Outcome::kReset)}, {Send{1, 1}});
  EXPECT_EQ(once.Broken(), "2 job 1 sent to s-1 though it may have run at s-0");
  Script full;
  full.Add(2 * kMs, {Script::Job(1)}, {Send{1, 0}});
  full.Add(9 * kMs, {Script::Ended(1, 0, 0, Outcome::kFull)}, {Send{1, 1}});
  EXPECT_EQ(full.Broken(), "");
  Script refused;
  refused.Add(2 * kMs, {Script::Job(1)}, {Send{1, 0}});
  refused.Add(9 * kMs, {Script::Ended(1, 0, 0, Outcome::kTimeout)}, {dispatch::Refuse{1, 0}});
  EXPECT_EQ(refused.Broken(), "2 job 1 refused though it may have run at s-0");
  Script group;
  group.Add(2 * kMs, {Script::Job(1, 1)}, {Send{1, 0}});
  group.Add(9 * kMs, {Script::Ended(1, 0, 0, Outcome::kReset)}, {Send{1, 2}});
  EXPECT_EQ(group.Broken(), "2 job 1 repeated outside its group, at s-2");
  Script more;
  more.Add(2 * kMs, {Script::Job(1, 1)}, {Send{1, 0}, Send{1, 1}, Send{1, 0}, Send{1, 1}});
  EXPECT_EQ(more.Broken(), "2 job 1 sent more often than allowed");
}

TEST(Audit, FindsASendAfterADrain) {
  const auto told = [](Micros sent) {
    Script s;
    dispatch::WorkerEntry e;
    e.worker = 1;
    e.health = dispatch::Health::kDraining;
    s.Add(10 * kMs, {dispatch::WorkerList{dispatch::WorkerList::Form::kChanges, {e}}}, {});
    s.Add(sent, {Script::Job(1)}, {Send{1, 1}});
    return s.Broken();
  };
  EXPECT_EQ(told(kSecond), "");
  EXPECT_EQ(told(1500 * kMs), "3 job 1 sent to s-1 1490 ms after it was told to drain or gone");
}

TEST(Audit, FindsAColdWorkerPushedOver) {
  const auto burst = [](int jobs) {
    Script s;
    // One job of 400 ms on a warm worker tells what work there is; one slot is all that was seen.
    s.Add(10 * kMs, {Script::Job(1)}, {Send{1, 0}});
    s.Add(20 * kMs, {dispatch::AttemptStarted{1, 0, 0}}, {});
    s.Add(420 * kMs, {Script::Ended(1, 0, 0, Outcome::kGood, true)}, {});
    dispatch::WorkerEntry e;
    e.worker = 1;
    e.ready_at = 500 * kMs;
    s.Add(510 * kMs, {dispatch::WorkerList{dispatch::WorkerList::Form::kChanges, {e}}}, {});
    for (int i = 0; i < jobs; ++i) {
      const auto id = static_cast<dispatch::RequestId>(10 + i);
      s.Add((600 + i) * kMs, {Script::Job(id)}, {Send{id, 1}});
      s.Add((600 + i) * kMs, {Script::Ended(id, 0, 1, Outcome::kGood, true)}, {});
    }
    return s.Broken();
  };
  EXPECT_EQ(burst(2), "");  // 0.8 s of work against 2.5 x 0.32 x 1 s
  EXPECT_EQ(burst(4), "4 s-1 was sent more by this node alone than it stands while cold");
}

// ---------------------------------------------------------------- import-tap

TEST(ImportTap, TurnsARecordingOfTheWireIntoACapture) {
  const std::vector<std::string> batches = {
      "begin_batch 1000.000\n"
      "start 0 7 Zones=a Models=m RoundMs=1 RequestClasses.count=1 RequestClasses.0.Name=c "
      "RequestClasses.0.Effect=once RequestClasses.0.AimMs=300 RequestClasses.0.DeadlineMs=5000\n"
      "start 4 9 Zones=a Models=m RoundMs=1 RequestClasses.count=1 RequestClasses.0.Name=c "
      "RequestClasses.0.Effect=once\n"
      "list 0 1\nrow 10.0.0.1:80 a m 0 in_service 1 -\n"
      "discovery 0 C 1 0\ndiscovery 4 C 1 0\n",
      "begin_batch 1001.500\nrequest 0 00000000000000ab - 6000.000 1 c - 0 - -\n"
      "datagram 0 1 6869\n",
      "begin_batch 1500.000\nended 0 00000000000000ab 0 10.0.0.1:80 GOOD 498 1 - -\n"};
  std::string tap, all;
  for (const std::string& b : batches) {
    all += b + "eof_batch\n";
    std::istringstream in(all);
    std::ostringstream out, err;
    ASSERT_EQ(dispatch::ServeWire(in, out, err), 0) << err.str();
    std::string reply = out.str();
    for (std::size_t i = 0, n = static_cast<std::size_t>(&b - batches.data()); i < n; ++i)
      reply = reply.substr(reply.find("end\n") + 4);
    const std::string batch = b + "eof_batch\n";
    tap += ">> process 0, " + std::to_string(batch.size()) + " bytes\n" + batch;
    tap += "<< process 0, " + std::to_string(reply.size()) + " bytes\n" + reply;
  }
  const Imported i = ImportTap(tap, "tap", 0, 1, "b", 1);
  EXPECT_TRUE(i.identical);
  EXPECT_EQ(i.turns, 3u);
  EXPECT_EQ(TurnsThatReplay(i.bytes), 3u);
  Segment segment(i.bytes, "imported");
  std::vector<std::string> words;
  for (Turn t; segment.Next(&t);)
    for (std::size_t k = 0; k < t.events.size(); ++k)
      words.push_back(Words(t.events[k], t.notes[k], segment.site(), segment.workers()));
  ASSERT_EQ(words.size(), 4u);
  EXPECT_EQ(words[1].substr(0, 34), "arrived: job 171 00000000000000ab ");
  EXPECT_EQ(words[2], "message of node 1, 2 bytes");

  // Another module's reply is kept as it was recorded, and told.
  std::string other = tap;
  const std::size_t sent = other.find("hand_off 0 00000000000000ab");
  ASSERT_NE(sent, std::string::npos);
  other.replace(sent, 10, "give_up 0 ");
  const std::size_t end = other.find('\n', sent);
  std::string line = other.substr(sent, end - sent);
  other.replace(sent, line.size(),
                "give_up 0 00000000000000ab" + std::string(line.size() - 26, ' '));
  EXPECT_FALSE(ImportTap(other, "tap", 0, 1, "b", 1).identical);
  EXPECT_THROW(ImportTap(tap, "tap", 3, 1, "b", 1), Unreadable);
  EXPECT_THROW(ImportTap(tap, "tap", 0, 2, "b", 1), Unreadable);
  EXPECT_THROW(ImportTap(tap.substr(0, tap.size() - 3), "tap", 0, 1, "b", 1), Unreadable);
  EXPECT_THROW(ImportTap("hello", "tap", 0, 1, "b", 1), Unreadable);
}

}  // namespace
}  // namespace pearreach::capture
