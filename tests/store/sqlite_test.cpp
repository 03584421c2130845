// The store under the disk's faults: nothing acknowledged is lost, nothing refused comes back.
#include <glib.h>
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "store/store.h"

namespace pearreach::store {
namespace {

namespace fs = std::filesystem;
using jobs::Job;

class Sqlite : public testing::Test {
 protected:
  Sqlite() {
    std::string name = (fs::temp_directory_path() / "pearreach-XXXXXX").string();
    folder_ = mkdtemp(name.data());
    path_ = folder_ + "/jobs.db";
  }
  ~Sqlite() override { fs::remove_all(folder_); }

  std::unique_ptr<Store> Open(Fault fault = {}) {
    return OpenSqlite({.path = path_, .owner = "n0", .fault = std::move(fault)});
  }
  static Job Make(Store* store, const std::string& id) {
    Job j;
    j.seq = store->NextSeq();
    j.id = id;
    j.request_id = "r-" + id;
    j.body = std::string("a\0b", 3);
    j.cls = "commit";
    j.key = 0xfedcba9876543210u;
    j.due = 12345;
    return j;
  }
  // What the store said of the write.
  static std::string Put(Store* store, std::vector<Change> changes) {
    std::string said = "nothing";
    store->Submit({std::move(changes), [&](const std::string& error) { said = error; }});
    for (int i = 0; i < 100000 && said == "nothing"; ++i) g_main_context_iteration(nullptr, TRUE);
    return said;
  }
  std::vector<Job> All() {
    std::vector<Job> all;
    Open()->Load([&](Job j) { all.push_back(std::move(j)); });
    return all;
  }

  std::string folder_, path_;
};

TEST_F(Sqlite, KeepsEveryFieldAcrossAnOpening) {
  {
    auto store = Open();
    Job a = Make(store.get(), "a"), b = Make(store.get(), "b");
    jobs::Attempt attempt;
    attempt.worker = "w";
    attempt.fence = 3;
    attempt.knows_fences = true;
    attempt.ran = jobs::Ran::kMaybe;
    attempt.lease_until = 77;
    EXPECT_EQ(Put(store.get(), {PutJob{a, true}, PutJob{b, true}, PutAttempt{b.seq, attempt}}), "");
    b.state = jobs::State::kInDoubt;
    b.reason = "why";
    EXPECT_EQ(Put(store.get(), {PutJob{b, false}}), "");
  }
  const auto all = All();
  ASSERT_EQ(all.size(), 2u);
  EXPECT_EQ(all[0].id, "a");
  EXPECT_EQ(all[0].body, std::string("a\0b", 3));
  EXPECT_EQ(all[0].key, 0xfedcba9876543210u);
  EXPECT_EQ(all[1].state, jobs::State::kInDoubt);
  EXPECT_EQ(all[1].reason, "why");
  ASSERT_EQ(all[1].attempts.size(), 1u);
  EXPECT_EQ(all[1].attempts[0].fence, 3u);
  EXPECT_TRUE(all[1].attempts[0].knows_fences);
  EXPECT_TRUE(VerifySqlite(path_).empty());
}

TEST_F(Sqlite, ManyShareASync) {
  auto store = Open();
  int told = 0;
  for (int i = 0; i < 2000; ++i)
    store->Submit({{PutJob{Make(store.get(), std::to_string(i)), true}},
                   [&](const std::string& error) { told += error.empty() ? 1 : 0; }});
  while (told < 2000) g_main_context_iteration(nullptr, TRUE);
  EXPECT_EQ(store->figures().writes, 2000u);
  EXPECT_LT(store->figures().groups, 200u);
}

TEST_F(Sqlite, AFailedCommitIsToldAndLeavesNothing) {
  std::atomic<bool> fail = false;
  {
    auto store = Open([&](Stage s) {
      return s == Stage::kCommit && fail ? std::string("disk full") : std::string();
    });
    EXPECT_EQ(Put(store.get(), {PutJob{Make(store.get(), "kept"), true}}), "");
    fail = true;
    EXPECT_EQ(Put(store.get(), {PutJob{Make(store.get(), "refused"), true}}), "disk full");
    fail = false;
    EXPECT_EQ(Put(store.get(), {PutJob{Make(store.get(), "later"), true}}), "");
  }
  const auto all = All();
  ASSERT_EQ(all.size(), 2u);
  EXPECT_EQ(all[1].id, "later");
}

// The sync failed, and what was written has reached the disk all the same: its client was told 503
// and will come again, so it must not run.
TEST_F(Sqlite, AFailedSyncIsNeverTakenForGoodNorForNothing) {
  std::atomic<bool> fail = false;
  {
    auto store = Open([&](Stage s) {
      return s == Stage::kSync && fail ? std::string("sync failed") : std::string();
    });
    fail = true;
    EXPECT_EQ(Put(store.get(), {PutJob{Make(store.get(), "refused"), true}}), "sync failed");
    fail = false;
    EXPECT_EQ(Put(store.get(), {PutJob{Make(store.get(), "later"), true}}), "");
  }
  const auto all = All();
  ASSERT_EQ(all.size(), 1u);
  EXPECT_EQ(all[0].id, "later");
}

// A real limit: the file may not grow.
TEST_F(Sqlite, AFullDiskIsToldAndPasses) {
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit before{};
  getrlimit(RLIMIT_FSIZE, &before);
  auto store = Open();
  Job big = Make(store.get(), "kept");
  EXPECT_EQ(Put(store.get(), {PutJob{big, true}}), "");
  const rlimit small{64 << 10, before.rlim_max};
  setrlimit(RLIMIT_FSIZE, &small);
  big = Make(store.get(), "refused");
  big.body.assign(1 << 20, 'x');
  const std::string said = Put(store.get(), {PutJob{big, true}});
  setrlimit(RLIMIT_FSIZE, &before);
  EXPECT_NE(said, "");
  EXPECT_EQ(Put(store.get(), {PutJob{Make(store.get(), "later"), true}}), "");
  store.reset();
  const auto all = All();
  ASSERT_EQ(all.size(), 2u);
  EXPECT_EQ(all[0].id, "kept");
}

TEST_F(Sqlite, TwoNodesOnOneStoreAndNewerVersionsAreRefused) {
  auto store = Open();
  try {
    Open();
    ADD_FAILURE() << "two nodes have it";
  } catch (const StoreError& wrong) {
    EXPECT_EQ(wrong.what(), path_ + ": another node has this store");
  }
  store.reset();
  std::fstream file(path_, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(60);  // user_version, big-endian
  file.write("\0\0\0\x63", 4);
  file.close();
  try {
    Open();
    ADD_FAILURE() << "a newer version was opened";
  } catch (const StoreError& wrong) {
    EXPECT_EQ(wrong.what(), path_ + ": written in version 99; this build reads up to 1");
  }
}

TEST_F(Sqlite, DamageIsOneLineAndNoCrash) {
  {
    auto store = Open();
    for (int i = 0; i < 200; ++i)
      EXPECT_EQ(Put(store.get(), {PutJob{Make(store.get(), std::to_string(i)), true}}), "");
  }
  CompactSqlite(path_);
  for (std::size_t at = 4096; at < fs::file_size(path_); at += 1777) {
    const std::string copy = folder_ + "/copy.db";
    fs::copy_file(path_, copy, fs::copy_options::overwrite_existing);
    std::fstream file(copy, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(at));
    file.write("\xff\xff\xff\xff\xff\xff\xff\xff", 8);
    file.close();
    try {  // found, or of no consequence; never a crash
      VerifySqlite(copy);
      OpenSqlite({.path = copy, .owner = "", .read_only = true, .fault = {}})->Load([](Job) {});
    } catch (const StoreError&) {
    }
  }
  std::ofstream(folder_ + "/text.db")
      << "this is no database, whatever its name says, at all at all";
  EXPECT_THROW(OpenSqlite({.path = folder_ + "/text.db", .owner = "", .fault = {}}), StoreError);
}

TEST_F(Sqlite, ForgottenJobsGiveTheirRoomBack) {
  {
    auto store = Open();
    std::vector<Job> all;
    for (int i = 0; i < 300; ++i) {
      all.push_back(Make(store.get(), std::to_string(i)));
      all.back().body.assign(4000, 'x');
      EXPECT_EQ(Put(store.get(), {PutJob{all.back(), true}}), "");
    }
    for (const Job& j : all) EXPECT_EQ(Put(store.get(), {Forget{j.seq}}), "");
  }
  const auto [before, after] = CompactSqlite(path_);
  EXPECT_GT(before, 1u << 20);
  EXPECT_LT(after, 100u << 10);
}

}  // namespace
}  // namespace pearreach::store
