// The recorder under the disk's failures: the node serves on, and every segment replays alone.
#include "node/capture/recorder.h"

#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <fstream>

#include "lab/world/scenarios.h"
#include "node/capture/replay.h"

namespace pearreach::capture {
namespace {

namespace fs = std::filesystem;

struct Folder {
  Folder() {
    std::string name = (fs::temp_directory_path() / "pearreach-XXXXXX").string();
    path = mkdtemp(name.data());
  }
  ~Folder() { fs::remove_all(path); }
  std::vector<std::string> Files() const {
    std::vector<std::string> files;
    if (fs::exists(path))
      for (const auto& f : fs::directory_iterator(path)) files.push_back(f.path().string());
    std::sort(files.begin(), files.end());
    return files;
  }
  std::string path;
};

const lab::Scenario& Overload() { return lab::Scenarios().back(); }

// Plays a day with a recorder at its side; `each` is called after every turn.
std::unique_ptr<lab::World> Record(CaptureSettings options, const lab::Scenario& day,
                                   const std::function<void(Recorder*, std::size_t)>& each = {},
                                   DiskWrite write = {}) {
  auto world = std::make_unique<lab::World>(lab::BaseSettings(), 5);
  day.script(world.get());
  Recorder recorder(std::move(options), world->origin(), world->dispatcher(), {}, 0, true,
                    std::move(write));
  std::size_t turn = 0;
  world->on_turn = [&](const Turn& t, const dispatch::Dispatcher& d, const dispatch::Names& names) {
    recorder.OnTurn(t.now, t.events, t.notes, t.actions, d, names);
    recorder.Settle();  // the disk keeps up, so that where segments end is the same each time
    if (each) each(&recorder, turn);
    ++turn;
  };
  world->Run(day.length);
  world->on_turn = nullptr;
  return world;
}

struct Sum {
  std::uint64_t turns = 0, segments = 0, with_checkpoint = 0, ended = 0;
};

// Each file by itself.
Sum ReplayAll(const Folder& folder) {
  Sum sum;
  for (const std::string& file : folder.Files()) {
    Segment segment(file);
    const Replayed r = Replay(&segment, {});
    EXPECT_FALSE(r.difference) << file;
    EXPECT_EQ(r.damage, "") << file;
    EXPECT_EQ(r.missing, 0u) << file;
    sum.turns += r.turns;
    ++sum.segments;
    sum.with_checkpoint += segment.checkpoint() ? 1 : 0;
    sum.ended += r.ended ? 1 : 0;
  }
  return sum;
}

TEST(Recorder, EveryTurnOnceAndIdentical) {
  Folder folder;
  const auto world = Record({.folder = folder.path}, Overload());
  const Sum sum = ReplayAll(folder);
  EXPECT_EQ(sum.turns, world->turns().size());
  EXPECT_EQ(sum.segments, 1u);
  EXPECT_EQ(sum.ended, 1u);
}

// In the middle of an overload, with jobs held, out and refused: each segment begins with the
// state.
TEST(Recorder, SegmentsRolledInMidOverloadReplayAlone) {
  Folder folder;
  const auto world = Record({.folder = folder.path, .segment_age = 700 * kMs}, Overload());
  const Sum sum = ReplayAll(folder);
  EXPECT_EQ(sum.turns, world->turns().size());
  EXPECT_GT(sum.segments, 5u);
  EXPECT_EQ(sum.with_checkpoint, sum.segments - 1);
  EXPECT_EQ(sum.ended, sum.segments);
}

TEST(Recorder, TheOldestSegmentsGoFirst) {
  Folder folder;
  std::ofstream(folder.path + "/other.00000001.prcap") << "another node's";
  std::ofstream(folder.path + "/n0.notes") << "not a segment";
  Record({.folder = folder.path,
          .segment_bytes = 4 << 10,
          .segment_age = 300 * kMs,
          .total_bytes = 30 << 10},
         Overload());
  std::uintmax_t bytes = 0;
  std::vector<std::string> own;
  for (const std::string& f : folder.Files()) {
    if (!f.ends_with(".prcap") || f.find("/n0.") == std::string::npos) continue;
    own.push_back(f);
    bytes += fs::file_size(f);
  }
  EXPECT_TRUE(fs::exists(folder.path + "/other.00000001.prcap"));
  EXPECT_TRUE(fs::exists(folder.path + "/n0.notes"));
  ASSERT_GT(own.size(), 1u);
  EXPECT_GT(own.front(), folder.path + "/n0.00000003.prcap");
  EXPECT_LT(bytes, 40u << 10);
  for (const std::string& f : own) {
    Segment segment(f);
    EXPECT_FALSE(Replay(&segment, {}).difference);
  }
}

// The disk takes a part of a write and is full; later there is room again.
TEST(Recorder, AFullDiskEndsTheSegmentAtAWholeTurn) {
  Folder folder;
  std::atomic<std::int64_t> room = 6000;
  CaptureSettings options{
      .folder = folder.path, .flush_every = 100 * kMs, .retry_every = 500 * kMs};
  const DiskWrite write = [&room](int fd, const void* bytes, std::size_t size) -> ssize_t {
    const std::int64_t left = room;
    if (left <= 0) return errno = ENOSPC, -1;
    const ssize_t n =
        ::write(fd, bytes, std::min<std::size_t>(size, static_cast<std::size_t>(left)));
    room -= n;
    return n;
  };
  const std::uint64_t suspended = CountOf("capture_suspended");
  std::uint64_t missed_before = CountOf("capture_turns_missed");
  std::size_t closed = 0;
  const auto world = Record(
      options, Overload(),
      [&](Recorder* r, std::size_t turn) {
        closed += r->open() ? 0 : 1;
        if (turn == 900) room = 1 << 20;
      },
      write);
  EXPECT_GT(CountOf("capture_suspended"), suspended);
  EXPECT_GT(closed, 0u);
  const Sum sum = ReplayAll(folder);
  EXPECT_GE(sum.segments, 2u);
  EXPECT_GT(sum.turns, 0u);
  EXPECT_LT(sum.turns, world->turns().size());
  EXPECT_GT(CountOf("capture_turns_missed"), missed_before);
  // The last begins with a checkpoint and knows how many turns there were before it.
  Segment last(folder.Files().back());
  ASSERT_TRUE(last.checkpoint());
  std::uint64_t turns = 0;
  for (Turn t; last.Next(&t);) ++turns;
  EXPECT_EQ(last.origin().first_turn + turns, world->turns().size());
}

// A slow disk must not hold the loop, nor more than the memory that is allowed.
TEST(Recorder, ASlowDiskCostsNoMoreThanTheMemory) {
  Folder folder;
  std::mutex gate;
  gate.lock();
  CaptureSettings options{.folder = folder.path,
                          .memory = 256 << 10,
                          .flush_every = 20 * kMs,
                          .retry_every = 200 * kMs};
  const DiskWrite write = [&gate](int fd, const void* bytes, std::size_t size) -> ssize_t {
    const std::lock_guard wait(gate);
    return ::write(fd, bytes, size);
  };
  lab::World world(lab::BaseSettings(), 5);
  Overload().script(&world);
  world.AddLoad({.per_second = 1500, .cls = "commit", .tenant = "acme", .patience = 500 * kMs},
                lab::kSecond, 8 * lab::kSecond);
  {
    Recorder recorder(options, world.origin(), world.dispatcher(), {}, 0, true, write);
    std::size_t most = 0, closed = 0;
    world.on_turn = [&](const Turn& t, const dispatch::Dispatcher& d,
                        const dispatch::Names& names) {
      recorder.OnTurn(t.now, t.events, t.notes, t.actions, d, names);
      most = std::max(most, recorder.waiting());
      closed += recorder.open() ? 0 : 1;
    };
    world.Run(9 * lab::kSecond);
    EXPECT_LE(most, (256u << 10) + 100);
    EXPECT_GT(closed, 0u) << "the memory was never full: the test shows nothing";
    gate.unlock();
    recorder.Settle();
    world.AddLoad({.per_second = 20, .cls = "commit", .tenant = "acme"}, 9 * lab::kSecond,
                  12 * lab::kSecond);
    world.Run(12 * lab::kSecond);  // there is room again
    EXPECT_TRUE(recorder.open());
  }
  const Sum sum = ReplayAll(folder);
  EXPECT_GE(sum.segments, 2u);
  EXPECT_GT(sum.turns, 100u);
}

TEST(Recorder, ASegmentRemovedUnderTheWriterIsFollowedByAnother) {
  Folder folder;
  CaptureSettings options{.folder = folder.path, .flush_every = 50 * kMs, .retry_every = 300 * kMs};
  Record(options, Overload(), [&](Recorder*, std::size_t turn) {
    if (turn == 200) fs::remove_all(folder.path);
  });
  const Sum sum = ReplayAll(folder);
  EXPECT_GE(sum.segments, 1u);
  EXPECT_EQ(sum.with_checkpoint, sum.segments);
}

// No folder can be made there: counted, and the node serves as if capture were off.
TEST(Recorder, AFolderThatCannotBeIsCountedOnly) {
  Folder folder;
  std::ofstream(folder.path + "/file") << "in the way";
  const std::uint64_t missed = CountOf("capture_turns_missed");
  const auto world =
      Record({.folder = folder.path + "/file/below", .retry_every = kSecond}, Overload());
  EXPECT_GT(world->served(), 50u);
  EXPECT_GT(CountOf("capture_turns_missed"), missed);
  // Nor where nothing can be written, which not even root may change.
  const std::uint64_t before = CountOf("capture_turns_missed");
  Record({.folder = "/proc/pearreach", .retry_every = kSecond}, Overload());
  EXPECT_GT(CountOf("capture_turns_missed"), before);
}

// A node that starts again, or whose wall clock was set back, goes on with the numbers.
TEST(Recorder, NumbersGoOnAcrossAStart) {
  Folder folder;
  Record({.folder = folder.path}, Overload());
  Record({.folder = folder.path}, Overload());
  const auto files = folder.Files();
  ASSERT_EQ(files.size(), 2u);
  EXPECT_TRUE(files[0].ends_with("n0.00000001.prcap"));
  EXPECT_TRUE(files[1].ends_with("n0.00000002.prcap"));
}

}  // namespace
}  // namespace pearreach::capture
