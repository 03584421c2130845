// What a node has learned, as it outlives the process: its ageing, its file and the folder under
// kills, power cuts and disks that fail.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

#include "node/knowledge/file.h"
#include "node/knowledge/saver.h"
#include "tests/node/knowledge/disks.h"

namespace pearreach::knowledge {
namespace {

namespace fs = std::filesystem;

constexpr UnixMicros kThen = 1'790'000'000'000'000;
constexpr Micros kHour = 3600 * kSecond;

dispatch::Site TestSite(int nodes = 3) {
  dispatch::Site site;
  site.kinds = {"big", "old"};
  site.classes = {"commit", "sync"};
  site.tenants = {"acme"};
  site.settings.kinds = 2;
  site.settings.balancers = nodes;
  site.settings.classes.resize(2);
  for (auto& c : site.settings.classes) c.latency_target = 300'000;
  site.settings.tenants = {{30}};
  site.settings.cold_time = 8 * kSecond;
  site.settings.overload_time = kSecond;
  return site;
}

Memory Sample(int workers = 3) {
  Memory m;
  m.node = "n0";
  m.site = SiteMark(TestSite());
  m.nodes = 3;
  m.written = kThen;
  m.pools = {{"big", {0, 40, 30, 8, 200'000, 250'000, 900}},
             {"old", {1, 4, 4, 7, 300'000, 250'000, 0}}};
  for (int i = 0; i < workers; ++i) {
    dispatch::WorkerKnowledge w;
    w.slowness = i % 2 == 0 ? 2 : 0.5;
    w.failures = 0.4;
    w.silent = i == 1;
    w.died_at = i == 2 ? 3 * kSecond : 0;
    if (i == 2) w.cold_sends = {{800'000, 1e6}, {100'000, 2e6}};
    m.workers.push_back({"s-" + std::to_string(i), 1000 + i, w});
  }
  m.classes = {{"commit", {0, 380'000}}, {"sync", {1, 190'000}}};
  m.tenants = {{"acme", {0, 3}}};
  return m;
}

Memory At(Micros age) { return Aged(Sample(), TestSite(), {age, false}); }

// ---------------------------------------------------------------- ageing

TEST(Ageing, EachKindByItsOwnHalfLife) {
  const Memory now = At(0), later = At(10 * 60 * kSecond), old = At(10 * kHour);
  EXPECT_DOUBLE_EQ(now.pools[0].what.limit, 40);
  EXPECT_DOUBLE_EQ(later.pools[0].what.limit, 10) << "two half-lives of five minutes";
  EXPECT_LT(old.pools[0].what.limit, 1e-6);
  EXPECT_NEAR(later.workers[0].what.slowness, std::pow(2, std::exp2(-1.0 / 3)), 1e-9);
  EXPECT_NEAR(later.workers[1].what.slowness * later.workers[0].what.slowness, 1, 1e-9)
      << "slow and fast fade alike";
  EXPECT_LT(later.workers[0].what.failures, 0.001);
  EXPECT_TRUE(At(29 * kSecond).workers[1].what.silent);
  EXPECT_FALSE(At(31 * kSecond).workers[1].what.silent);
  EXPECT_GT(later.pools[0].what.mean_running / later.pools[0].what.mean_work, 0.8)
      << "a kind's speed lasts";
  EXPECT_NEAR(later.pools[0].what.mean_running / later.pools[0].what.mean_work, 0.8, 0.01);
  EXPECT_EQ(At(kForgetAfter).workers.size() + At(kForgetAfter).pools.size(), 0u);
}

// What may push a cold worker over is no evidence but a debt: it is due in full until it is over.
TEST(Ageing, ColdPressureIsSpentUntilItsWindowIsOver) {
  EXPECT_EQ(At(100'000).workers[2].what.cold_sends.size(), 2u);
  EXPECT_EQ(At(300'000).workers[2].what.cold_sends.size(), 1u);
  EXPECT_EQ(At(2 * kSecond).workers[2].what.cold_sends.size(), 0u);
  EXPECT_EQ(At(4 * kSecond).workers[2].what.died_at, 7 * kSecond);
  EXPECT_EQ(At(6 * kSecond).workers[2].what.died_at, 0) << "by now it is warm";
  const Memory stepped = Aged(Sample(), TestSite(), AgeOf(kThen, kThen - 5 * kSecond));
  EXPECT_EQ(stepped.workers[2].what.cold_sends.size(), 2u) << "of unknown age: all of it counts";
  EXPECT_EQ(stepped.workers[2].what.died_at, 1);
  EXPECT_LT(stepped.pools[0].what.limit, 1) << "and the limit hardly";
}

TEST(Ageing, IsMonotone) {
  rc::check("an older value is no further from what is assumed of the unknown", [] {
    const Micros a = *rc::gen::inRange<Micros>(0, 2 * kForgetAfter);
    const Micros b = a + *rc::gen::inRange<Micros>(0, kForgetAfter);
    const Memory younger = At(a), older = At(b);
    RC_ASSERT(older.workers.size() <= younger.workers.size());
    for (std::size_t i = 0; i < older.workers.size(); ++i) {
      const auto &o = older.workers[i].what, &y = younger.workers[i].what;
      RC_ASSERT(std::abs(std::log(o.slowness)) <= std::abs(std::log(y.slowness)) + 1e-12);
      RC_ASSERT(o.failures <= y.failures);
      RC_ASSERT(!o.silent || y.silent);
      RC_ASSERT(o.cold_sends.size() <= y.cold_sends.size());
    }
    for (std::size_t i = 0; i < older.pools.size(); ++i) {
      RC_ASSERT(older.pools[i].what.limit <= younger.pools[i].what.limit);
      RC_ASSERT(older.pools[i].what.proven_limit <= younger.pools[i].what.proven_limit);
    }
  });
}

TEST(Ageing, TheClockAndTheSiteAreHeldAgainstIt) {
  std::string why;
  const dispatch::Site site = TestSite();
  ASSERT_TRUE(ForNode(Sample(), site, "n0", kThen + kSecond, &why));
  EXPECT_FALSE(ForNode(Sample(), site, "n1", kThen, &why));
  EXPECT_EQ(why, "it is of node n0");
  dispatch::Site other = site;
  other.kinds[1] = "huge";
  EXPECT_FALSE(ForNode(Sample(), other, "n0", kThen, &why));
  EXPECT_EQ(why, "it is of another site");
  EXPECT_FALSE(ForNode(Sample(), site, "n0", kThen + 25 * kHour, &why)) << "or set forward";
  EXPECT_EQ(why, "it is older than a day");
  // Set back: hours old, for all that is known. A little is the clock's own wandering.
  const auto stepped = ForNode(Sample(), site, "n0", kThen - 60 * kSecond, &why);
  ASSERT_TRUE(stepped);
  EXPECT_LT(stepped->common.pools[0].limit, 0.1);
  EXPECT_FALSE(stepped->workers.at("s-1").what.silent);
  EXPECT_NEAR(ForNode(Sample(), site, "n0", kThen - kSecond / 2, &why)->common.pools[0].limit, 40,
              0.1);
  // Six nodes where there were three: half the share each.
  EXPECT_NEAR(ForNode(Sample(), TestSite(6), "n0", kThen, &why)->common.pools[0].limit, 20, 1e-9);
  // Times are on the clock of this process.
  const auto w = ForModule(stepped->workers.at("s-2"), 7, 50 * kSecond);
  EXPECT_EQ(w.worker, 7u);
  EXPECT_EQ(w.died_at, 50 * kSecond - 1);
  EXPECT_EQ(w.cold_sends[0].first, 50 * kSecond);
}

// ---------------------------------------------------------------- the file

const Key kKey = std::string(32, 'k');

TEST(KnowledgeFile, ReadAfterWriteIsTheSame) {
  for (const Key& key : {Key(), kKey}) {
    const std::string bytes = Encode(Sample(), 7, key);
    const Decoded d = Decode(bytes, key);
    ASSERT_TRUE(d.memory) << d.wrong;
    EXPECT_EQ(d.generation, 7u);
    EXPECT_EQ(Encode(*d.memory, 7, key), bytes);
    EXPECT_EQ(d.memory->workers[2].what.cold_sends, Sample().workers[2].what.cold_sends);
    EXPECT_EQ(d.memory->written, kThen);
  }
  EXPECT_EQ(Decode(Encode(Sample(), 7, {}), kKey).wrong, "it is not signed, and a key is set");
  EXPECT_EQ(Decode(Encode(Sample(), 7, kKey), {}).wrong, "it is signed, and no key is set");
  EXPECT_EQ(Decode(Encode(Sample(), 7, kKey), std::string(32, 'x')).wrong,
            "its hash is not of this key");
}

TEST(KnowledgeFile, AnyChangeIsRefused) {
  const std::string good = Encode(Sample(), 1, {});
  rc::check("a byte changed, dropped or added is found", [&] {
    std::string bytes = good;
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
        break;
      case 1:
        bytes.erase(at, *rc::gen::inRange<std::size_t>(1, bytes.size()));
        break;
      default:
        bytes.insert(at, *rc::gen::nonEmpty(rc::gen::string<std::string>()));
    }
    if (bytes != good) RC_ASSERT(!Decode(bytes, {}).memory);
  });
}

TEST(KnowledgeFile, ANewerOneIsPassedOverAndSenselessOnesAreRefused) {
  std::string newer = Encode(Sample(), 1, {});
  newer[8] = 2;
  const Decoded d = Decode(newer, {});
  EXPECT_TRUE(d.newer);
  EXPECT_EQ(d.wrong, "written in version 2; this build reads up to 1");
  // Soundly written by a node with a fault: nothing that the module could choke on gets in.
  for (const double bad : {std::nan(""), -1.0, 1e300}) {
    Memory m = Sample();
    m.pools[0].what.limit = bad;
    EXPECT_EQ(Decode(Encode(m, 1, {}), {}).wrong, "its figures make no sense") << bad;
    m = Sample();
    m.workers[0].what.slowness = bad;
    EXPECT_FALSE(Decode(Encode(m, 1, {}), {}).memory) << bad;
  }
  Memory many = Sample(0);
  many.workers.resize(kMaxWorkers + 5, Sample(1).workers[0]);
  EXPECT_EQ(Decode(Encode(many, 1, {}), {}).memory->workers.size(), kMaxWorkers);
}

// ---------------------------------------------------------------- the folder

Memory Numbered(int n) {
  Memory m = Sample();
  m.pools[0].what.limit = n;
  return m;
}
int NumberIn(Folder& folder) {
  const auto found = folder.Look();
  if (found.empty() || !found[0].what.memory) return -1;
  return static_cast<int>(found[0].what.memory->pools[0].what.limit);
}

// At every system call of the third writing, before and after it took effect, with the process
// killed or the power cut in each way that is allowed to a disk: what is read is the second or the
// third, whole; and the second may be gone only when the third is kept.
TEST(KnowledgeFolder, KilledOrCutOffAtEverySystemCall) {
  using Names = PaperDisk::Names;
  using Bytes = PaperDisk::Bytes;
  int deaths = 0;
  for (int cut = 0; cut < 7; ++cut) {
    for (const bool after : {false, true}) {
      for (int at = 1; at < 60; ++at) {
        PaperDisk disk;
        Folder folder("/k", "n0", kKey, &disk);
        ASSERT_EQ(folder.Save(Numbered(1)), "");
        ASSERT_EQ(folder.Save(Numbered(2)), "");
        disk.kill_at = disk.calls + at;
        disk.kill_after = after;
        bool died = false;
        try {
          EXPECT_EQ(folder.Save(Numbered(3)), "");
        } catch (const PaperDisk::Killed&) {
          died = true;
          ++deaths;
        }
        if (cut > 0)
          disk.CutPower(cut % 2 == 0 ? Names::kSynced : Names::kAll,
                        static_cast<Bytes>((cut - 1) / 2));
        disk.kill_at = 0;
        Folder next("/k", "n0", kKey, &disk);
        const int found = NumberIn(next);
        EXPECT_TRUE(found == 3 || (died && found == 2)) << "cut " << cut << " call " << at;
        // And the next one writes on, over the older of the two.
        EXPECT_EQ(next.Save(Numbered(4)), "");
        EXPECT_EQ(NumberIn(next), 4);
        if (!died) break;
      }
    }
  }
  EXPECT_GT(deaths, 100);
}

TEST(KnowledgeFolder, ACallThatFailsIsOneLineAndLosesNothing) {
  int failures = 0;
  for (int at = 1; at < 60; ++at) {
    PaperDisk disk;
    Folder folder("/k", "n0", {}, &disk);
    ASSERT_EQ(folder.Save(Numbered(1)), "");
    disk.fail_at = disk.calls + at;
    const std::string wrong = folder.Save(Numbered(2));
    disk.fail_at = 0;
    EXPECT_EQ(wrong.find('\n'), std::string::npos);
    if (wrong.empty()) break;
    ++failures;
    EXPECT_GE(NumberIn(folder), 1) << wrong;
    EXPECT_EQ(folder.Save(Numbered(3)), "") << "the next one goes on";
    EXPECT_EQ(NumberIn(folder), 3);
    disk.CutPower(PaperDisk::Names::kSynced, PaperDisk::Bytes::kSynced);
    EXPECT_EQ(NumberIn(folder), 3);
  }
  EXPECT_GT(failures, 6);
}

class OnDisk : public testing::Test {
 protected:
  OnDisk() {
    std::string name = (fs::temp_directory_path() / "pearreach-XXXXXX").string();
    folder_ = mkdtemp(name.data());
  }
  ~OnDisk() override { fs::remove_all(folder_); }
  std::string folder_;
};

// A hundred processes, each killed while it writes as fast as it can: what is found after each is
// sound and no older than what the one before had kept.
TEST_F(OnDisk, AHundredKillsLeaveItSound) {
  int last = 0, advanced = 0;
  for (int life = 0; life < 100; ++life) {
    int ready[2];
    ASSERT_EQ(pipe(ready), 0);
    const pid_t child = fork();
    if (child == 0) {
      Folder folder(folder_, "n0", kKey);
      for (int n = last + 1;; ++n) {
        if (!folder.Save(Numbered(n)).empty()) _exit(3);
        if (write(ready[1], "x", 1) != 1) _exit(4);
      }
    }
    char byte;
    for (int i = 0; i < 1 + life % 3; ++i) ASSERT_EQ(read(ready[0], &byte, 1), 1);
    usleep(static_cast<unsigned>(life * 37 % 500));  // somewhere in the next one
    kill(child, SIGKILL);
    int status = 0;
    waitpid(child, &status, 0);
    ASSERT_TRUE(WIFSIGNALED(status));
    close(ready[0]);
    close(ready[1]);
    Folder folder(folder_, "n0", kKey);
    const int found = NumberIn(folder);
    ASSERT_GT(found, last) << "life " << life;
    advanced += found - last;
    last = found;
  }
  EXPECT_GE(advanced, 100);
}

// Both generations damaged, or of another: empty knowledge, and a line for each.
TEST_F(OnDisk, DamageOfBothIsEmptyKnowledge) {
  Folder folder(folder_, "n0", {});
  ASSERT_EQ(folder.Save(Numbered(1)), "");
  ASSERT_EQ(folder.Save(Numbered(2)), "");
  std::set<std::string> paths;
  for (const auto& found : folder.Look()) {
    paths.insert(found.path);
    std::ofstream(found.path, std::ios::in | std::ios::out).seekp(70) << "damage";
  }
  EXPECT_EQ(paths.size(), 2u);
  const auto found = folder.Look();
  ASSERT_EQ(found.size(), 2u);
  for (const auto& f : found) EXPECT_EQ(f.what.wrong, "its hash does not hold");
  EXPECT_EQ(folder.Save(Numbered(3)), "");
  EXPECT_EQ(NumberIn(folder), 3);
  EXPECT_EQ(folder.Drop(), "");
  EXPECT_TRUE(folder.Look().empty());
  EXPECT_NE(Folder(folder_ + "/none", "n0", {}).Save(Numbered(1)), "");
}

// Off the loop: what is given while it writes replaces what waits, and the end waits for the last.
TEST_F(OnDisk, TheSaverKeepsTheNewest) {
  {
    Saver saver(Folder(folder_, "n/../0", kKey));
    for (int n = 1; n <= 200; ++n) saver.Save(Numbered(n));
  }
  Folder folder(folder_, "n/../0", kKey);
  EXPECT_EQ(NumberIn(folder), 200);
  for (const auto& entry : fs::directory_iterator(folder_))
    EXPECT_EQ(entry.path().filename().string().substr(0, 7), "n____0.") << "a name is no path";
  Saver saver(Folder(folder_ + "/none", "n0", {}));
  saver.Save(Numbered(1));
  while (saver.figures().failed == 0) usleep(1000);
  EXPECT_NE(saver.figures().wrong.find("No such file"), std::string::npos);
}

}  // namespace
}  // namespace pearreach::knowledge
