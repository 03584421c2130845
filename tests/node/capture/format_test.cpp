// The file: no damage goes unseen, a cut end is told from damage, and what is newer is refused.
#include "node/capture/format.h"

#include <gtest/gtest.h>

#include "lab/world/world.h"
#include "node/capture/replay.h"

namespace pearreach::capture {
namespace {

std::unique_ptr<lab::World> SmallDay(Micros length = 1 * lab::kSecond) {
  auto world = std::make_unique<lab::World>(lab::BaseSettings(), 3);
  world->AddWorker({.name = "s-0"});
  world->AddWorker({.name = "s-1", .zone = "b"});
  world->ListAll(1 * lab::kMs);
  world->Peer(5 * lab::kMs, 1, "hello");
  world->AddLoad({.per_second = 30, .cls = "commit", .tenant = "acme", .work = 50 * lab::kMs},
                 10 * lab::kMs, length);
  world->Run(length + 6 * lab::kSecond);
  return world;
}

TEST(Format, ReplaysWhatWasRecorded) {
  const auto world = SmallDay();
  Segment segment(world->Capture(), "day");
  const Replayed r = Replay(&segment, {});
  EXPECT_FALSE(r.difference);
  EXPECT_TRUE(r.ended);
  EXPECT_EQ(r.turns, world->turns().size());
  EXPECT_GT(world->served(), 10u);
  EXPECT_EQ(segment.workers(), (dispatch::Names{"s-0", "s-1"}));
}

// One bit turned, at every byte: never a crash and never 'identical'.
TEST(Format, ABitTurnedAnywhereIsSeen) {
  const std::string good = SmallDay(200 * lab::kMs)->Capture();
  ASSERT_LT(good.size(), 20000u);
  for (std::size_t at = 0; at < good.size(); ++at) {
    std::string bad = good;
    bad[at] = static_cast<char>(bad[at] ^ (1 << (at % 8)));
    bool seen = false;
    try {
      Segment segment(bad, "bad");
      const Replayed r = Replay(&segment, {});
      seen = !r.damage.empty() || r.difference.has_value();
    } catch (const Unreadable&) {
      seen = true;
    }
    ASSERT_TRUE(seen) << "byte " << at;
  }
}

// As after a kill in mid-write: all whole blocks are there, and what is missing is said.
TEST(Format, CutAnywhereItReadsUpToTheLastWholeBlock) {
  Origin origin;
  origin.settings = lab::BaseSettings();
  const auto world = SmallDay();
  BlockWriter blocks;
  std::string file = BlockWriter::FileHeader();
  blocks.Append(BlockType::kHead, 0, WriteOrigin(world->origin()), &file);
  std::vector<std::pair<std::size_t, std::uint64_t>> ends = {{file.size(), 0}};
  TurnWriter writer;
  Micros before = 0;
  std::uint64_t turn = 0, first = 0;
  for (const Turn& t : world->turns()) {
    writer.Add(before, t.now, t.events, t.notes, t.actions, t.workers, "", 0);
    before = t.now;
    if (++turn % 20 != 0) continue;
    blocks.Append(BlockType::kTurns, first, writer.Take(), &file);
    first = turn;
    ends.push_back({file.size(), turn});
  }
  ASSERT_GT(ends.size(), 3u);
  for (std::size_t size = ends.front().first; size <= file.size(); ++size) {
    Segment segment(file.substr(0, size), "cut");
    const Replayed r = Replay(&segment, {});
    std::size_t whole = 0;
    for (const auto& [end, turns] : ends)
      if (end <= size) whole = end;
    EXPECT_FALSE(r.difference);
    EXPECT_EQ(r.damage, "");
    EXPECT_FALSE(r.ended);
    ASSERT_EQ(r.missing, size - whole);
    for (const auto& [end, turns] : ends) {
      if (end == whole) {
        ASSERT_EQ(r.turns, turns);
      }
    }
  }
  for (std::size_t size = 0; size < ends.front().first; ++size)
    EXPECT_THROW(Segment(file.substr(0, size), "cut"), Unreadable);
}

std::string MessageOf(const std::string& bytes) {
  try {
    Segment segment(bytes, "f");
    Turn turn;
    while (segment.Next(&turn)) {
    }
    return segment.damage();
  } catch (const Unreadable& wrong) {
    return wrong.what();
  }
}

TEST(Format, ANewerOneIsRefusedInOneLine) {
  std::string bytes = SmallDay(100 * lab::kMs)->Capture();
  bytes[8] = 2;
  EXPECT_EQ(MessageOf(bytes), "f: written in format 2; this build reads up to 1");
  EXPECT_EQ(MessageOf("<html>"), "f: this is no capture");
  EXPECT_EQ(MessageOf(""), "f: this is no capture");
}

// What a later build adds under new numbers is passed over.
TEST(Format, UnknownFieldsArePassedOver) {
  const auto world = SmallDay(100 * lab::kMs);
  BlockWriter blocks;
  std::string file = BlockWriter::FileHeader();
  blocks.Append(BlockType::kHead, 0, WriteOrigin(world->origin()) + "\xba\x3e\x03new", &file);
  TurnWriter writer;
  Micros before = 0;
  std::string turns;
  for (const Turn& t : world->turns()) {
    writer.Add(before, t.now, t.events, t.notes, t.actions, t.workers, "", 0);
    before = t.now;
  }
  blocks.Append(BlockType::kTurns, 0, writer.Take() + "\xba\x3e\x03new", &file);
  Segment segment(file, "later");
  const Replayed r = Replay(&segment, {});
  EXPECT_FALSE(r.difference);
  EXPECT_EQ(r.turns, world->turns().size());
}

// A record with a good checksum may still be nonsense: it is refused, not handed to the module.
TEST(Format, PreferredWorkersComeBackInTheirOrder) {
  Origin origin;
  origin.settings = lab::BaseSettings();
  origin.workers = {"a", "b", "c"};
  SegmentWriter writer(origin, nullptr);
  dispatch::RequestArrived arrived;
  arrived.request = 1;
  arrived.preferred = {2, 0};
  Turn turn;
  turn.now = 5;
  turn.events = {arrived};
  writer.Add(turn);
  Segment segment(writer.Finish(""), "f");
  Turn read;
  ASSERT_TRUE(segment.Next(&read)) << segment.damage();
  ASSERT_EQ(read.events.size(), 1u);
  EXPECT_EQ(std::get<dispatch::RequestArrived>(read.events[0]).preferred, arrived.preferred);
}

TEST(Format, RecordsThatMakeNoSenseAreRefused) {
  const auto with = [](const dispatch::Event& event, const dispatch::Action& action) {
    Origin origin;
    origin.settings = lab::BaseSettings();
    SegmentWriter writer(origin, nullptr);
    Turn turn;
    turn.now = 5;
    turn.events = {event};
    turn.actions = {action};
    writer.Add(turn);
    return MessageOf(writer.Finish(""));
  };
  const dispatch::Action fine = dispatch::Subscribe{};
  EXPECT_NE(
      with(dispatch::AttemptStarted{1, 0, 4'000'000'000u}, fine).find("a worker without a name"),
      std::string::npos);
  dispatch::RequestArrived arrived;
  arrived.slots = std::nan("");
  EXPECT_NE(with(arrived, fine).find("a number that is none"), std::string::npos);
  arrived.slots = 1;
  arrived.preferred = {7};
  EXPECT_NE(with(arrived, fine).find("a worker without a name"), std::string::npos);
  EXPECT_NE(with(dispatch::TimerFired{}, dispatch::Send{1, 7}).find("a worker without a name"),
            std::string::npos);
  EXPECT_EQ(with(dispatch::TimerFired{}, fine), "");
}

}  // namespace
}  // namespace pearreach::capture
