// The store under the disk's faults: nothing acknowledged is lost, nothing refused comes back.
#include <glib.h>
#include <gtest/gtest.h>
#include <sqlite3.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>

#include "node/job_store/store.h"

namespace pearreach::job_store {
namespace {

namespace fs = std::filesystem;
using job_state::Job;

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
    store->Submit({std::move(changes), [&](const Outcome& o) { said = o.error; }});
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
    job_state::Attempt attempt;
    attempt.worker = "w";
    attempt.fence = 3;
    attempt.knows_fences = true;
    attempt.execution = job_state::ExecutionState::kMayHaveRun;
    attempt.lease_until = 77;
    EXPECT_EQ(Put(store.get(), {TakeJob{a}}), "");
    EXPECT_EQ(Put(store.get(), {TakeJob{b}}), "");
    EXPECT_EQ(Put(store.get(), {PutAttempt{b.seq, attempt}}), "");
    b.state = job_state::State::kInDoubt;
    b.reason = "why";
    EXPECT_EQ(Put(store.get(), {PutJob{b}}), "");
  }
  const auto all = All();
  ASSERT_EQ(all.size(), 2u);
  EXPECT_EQ(all[0].id, "a");
  EXPECT_EQ(all[0].body, std::string("a\0b", 3));
  EXPECT_EQ(all[0].key, 0xfedcba9876543210u);
  EXPECT_EQ(all[1].state, job_state::State::kInDoubt);
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
    store->Submit({{TakeJob{Make(store.get(), std::to_string(i))}},
                   [&](const Outcome& o) { told += o.error.empty() ? 1 : 0; }});
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
    EXPECT_EQ(Put(store.get(), {TakeJob{Make(store.get(), "kept")}}), "");
    fail = true;
    EXPECT_EQ(Put(store.get(), {TakeJob{Make(store.get(), "refused")}}), "disk full");
    fail = false;
    EXPECT_EQ(Put(store.get(), {TakeJob{Make(store.get(), "later")}}), "");
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
    EXPECT_EQ(Put(store.get(), {TakeJob{Make(store.get(), "refused")}}), "sync failed");
    fail = false;
    EXPECT_EQ(Put(store.get(), {TakeJob{Make(store.get(), "later")}}), "");
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
  EXPECT_EQ(Put(store.get(), {TakeJob{big}}), "");
  const rlimit small{64 << 10, before.rlim_max};
  setrlimit(RLIMIT_FSIZE, &small);
  big = Make(store.get(), "refused");
  big.body.assign(1 << 20, 'x');
  const std::string said = Put(store.get(), {TakeJob{big}});
  setrlimit(RLIMIT_FSIZE, &before);
  EXPECT_NE(said, "");
  EXPECT_EQ(Put(store.get(), {TakeJob{Make(store.get(), "later")}}), "");
  store.reset();
  const auto all = All();
  ASSERT_EQ(all.size(), 2u);
  EXPECT_EQ(all[0].id, "kept");
}

// The system's own file layer, but for one write: it puts half of its bytes down and says so.
class ShortWrites {
 public:
  ShortWrites() {
    system_ = sqlite3_vfs_find(nullptr);
    vfs_ = *system_;
    vfs_.zName = "short-writes";
    vfs_.xOpen = [](sqlite3_vfs*, const char* name, sqlite3_file* file, int flags, int* out) {
      const int code = system_->xOpen(system_, name, file, flags, out);
      if (code != SQLITE_OK || file->pMethods == nullptr) return code;
      // One table serves all files of a kind; each is copied once, with its write replaced.
      static std::map<const sqlite3_io_methods*, sqlite3_io_methods> tables;
      auto [it, fresh] = tables.try_emplace(file->pMethods, *file->pMethods);
      if (fresh) it->second.xWrite = Write;
      system_write_ = file->pMethods->xWrite;
      file->pMethods = &it->second;
      return code;
    };
    sqlite3_vfs_register(&vfs_, 1);
  }
  ~ShortWrites() {
    sqlite3_vfs_register(system_, 1);
    sqlite3_vfs_unregister(&vfs_);
  }
  // The write that is `n`th from now on will be short; 0: none.
  static void Arm(int n) { left_ = n; }
  static bool fired() { return left_ == 0; }

 private:
  static int Write(sqlite3_file* file, const void* bytes, int size, sqlite3_int64 at) {
    if (left_ > 0 && --left_ == 0) {
      system_write_(file, bytes, size / 2, at);
      return SQLITE_IOERR_WRITE;
    }
    return system_write_(file, bytes, size, at);
  }
  sqlite3_vfs vfs_{};
  static inline sqlite3_vfs* system_ = nullptr;
  static inline int (*system_write_)(sqlite3_file*, const void*, int, sqlite3_int64) = nullptr;
  static inline std::atomic<int> left_ = 0;
};

// Whichever write of a change is cut short: what was acknowledged is there, what was refused is
// not, the store goes on, and the file is sound.
TEST_F(Sqlite, AShortWriteLosesNothingAcknowledged) {
  ShortWrites faults;
  int cut = 0;
  for (int nth = 1; nth <= 40; ++nth) {
    path_ = folder_ + "/short-" + std::to_string(nth);
    std::vector<std::string> kept;
    {
      auto store = Open();
      const auto take = [&](const std::string& id) {
        Job job = Make(store.get(), id);
        job.body.assign(9000, 'x');  // over several pages
        if (Put(store.get(), {TakeJob{job}}).empty()) kept.push_back(id);
      };
      take("before");
      ShortWrites::Arm(nth);
      for (int i = 0; i < 6; ++i) take("at-" + std::to_string(i));
      cut += ShortWrites::fired() ? 1 : 0;
      ShortWrites::Arm(0);
      take("after");
      EXPECT_GE(kept.size(), 7u) << "one short write costs one job at the most";
      EXPECT_EQ(kept.back(), "after") << "the store goes on";
    }
    std::vector<std::string> found;
    for (const Job& j : All()) found.push_back(j.id);
    EXPECT_EQ(found, kept) << "write " << nth;
    EXPECT_TRUE(VerifySqlite(path_).empty());
  }
  EXPECT_GT(cut, 20);
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
    EXPECT_EQ(wrong.what(), path_ + ": written in version 99; this build reads up to 2");
  }
}

TEST_F(Sqlite, DamageIsOneLineAndNoCrash) {
  {
    auto store = Open();
    for (int i = 0; i < 200; ++i)
      EXPECT_EQ(Put(store.get(), {TakeJob{Make(store.get(), std::to_string(i))}}), "");
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
      EXPECT_EQ(Put(store.get(), {TakeJob{all.back()}}), "");
    }
    for (Job& j : all) {
      j.state = job_state::State::kServed;
      j.purge_at = 1;
      EXPECT_EQ(Put(store.get(), {PutJob{j}}), "");
    }
    EXPECT_EQ(Put(store.get(), {Forget{2, 300}}), "");
  }
  const auto [before, after] = CompactSqlite(path_);
  EXPECT_GT(before, 1u << 20);
  EXPECT_LT(after, 100u << 10);
}

// What a store of version 1 held is found after its upgrade, by each of its names.
TEST_F(Sqlite, AStoreOfTheVersionBeforeIsBroughtUp) {
  sqlite3* db = nullptr;
  ASSERT_EQ(sqlite3_open(path_.c_str(), &db), SQLITE_OK);
  char* error = nullptr;
  sqlite3_exec(
      db,
      "CREATE TABLE meta(name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;"
      "INSERT INTO meta VALUES('epoch', 7);"
      "CREATE TABLE jobs(seq INTEGER PRIMARY KEY, id TEXT NOT NULL UNIQUE, request_id TEXT, path"
      " TEXT, body BLOB, idempotency_key TEXT, content_type TEXT, cls TEXT, tenant TEXT, slots"
      " REAL, key INTEGER, created INTEGER, due INTEGER, ended INTEGER, state INTEGER NOT NULL,"
      " result BLOB, reason TEXT, retry_after INTEGER, callback TEXT, callback_done INTEGER,"
      " callback_tries INTEGER, owner TEXT, epoch INTEGER);"
      "CREATE TABLE attempts(seq INTEGER NOT NULL, number INTEGER NOT NULL, worker TEXT, fence"
      " INTEGER, knows_fences INTEGER, ran INTEGER, started INTEGER, sent INTEGER, lease_until"
      " INTEGER, PRIMARY KEY(seq, number)) WITHOUT ROWID;"
      "INSERT INTO jobs VALUES(3, x'6f6c64', x'7231', x'2f78', x'626f6479', x'6b31', x'', x'63',"
      " x'74', 1.0, NULL, 1, 900, 0, 1, x'', x'', 0, x'', 0, 0, x'6e30', 7);"
      "INSERT INTO jobs VALUES(5, x'656e6465', x'7232', x'2f78', x'626f6479', x'', x'', x'63',"
      " x'74', 1.0, NULL, 1, 900, 50, 3, x'646f6e65', x'', 0, x'687474703a2f2f', 0, 2, x'6e30', 7);"
      "INSERT INTO attempts VALUES(3, 0, x'7731', 1, 1, 0, 1, 100, 200);"
      "PRAGMA user_version=1",
      nullptr, nullptr, &error);
  ASSERT_EQ(error, nullptr) << error;
  sqlite3_close(db);
  try {
    OpenSqlite({.path = path_, .owner = "", .read_only = true, .fault = {}});
    ADD_FAILURE() << "a tool read what it does not know";
  } catch (const StoreError& wrong) {
    EXPECT_EQ(wrong.what(),
              path_ + ": written in version 1; a node that opens it brings it up to 2");
  }
  auto store = Open();
  EXPECT_TRUE(VerifySqlite(path_).empty());
  const Found running = store->AskNow(ById{"old"});
  ASSERT_EQ(running.jobs.size(), 1u) << running.error;
  EXPECT_EQ(running.jobs[0].body, "body");
  ASSERT_EQ(running.jobs[0].attempts.size(), 1u);
  EXPECT_EQ(running.jobs[0].attempts[0].worker, "w1");
  EXPECT_EQ(store->FencingWorkers(), std::vector<std::string>{"w1"});
  EXPECT_EQ(store->CountOpen(), (std::array<std::uint64_t, 3>{0, 1, 0}));
  const Found ended = store->AskNow(ByRequest{"r2"});
  ASSERT_EQ(ended.jobs.size(), 1u);
  EXPECT_EQ(ended.jobs[0].result, "done");
  EXPECT_NE(ended.jobs[0].next_callback_at, 0) << "its client has not been told yet";
  EXPECT_EQ(ended.jobs[0].purge_at, 0);
  Job twin = Make(store.get(), "x");
  EXPECT_EQ(twin.seq, 6u);
  twin.cls = "c";
  twin.tenant = "t";
  twin.idempotency_key = "k1";
  Outcome said;
  bool told = false;
  store->Submit({{TakeJob{twin}}, [&](const Outcome& o) {
                   said = o;
                   told = true;
                 }});
  while (!told) g_main_context_iteration(nullptr, TRUE);
  EXPECT_EQ(said.kind, Outcome::Kind::kTwin);
  EXPECT_EQ(said.id, "old");
}

// Names are held by what is kept and by nothing else: also by one of the same group, not by one
// that was refused, nor by one that has been forgotten.
TEST_F(Sqlite, AKeyOrARequestNamesOneJob) {
  auto store = Open();
  std::vector<Outcome> said;
  const auto take = [&](const std::string& id, const std::string& request, const std::string& key,
                        const std::string& tenant = "t") {
    Job j = Make(store.get(), id);
    j.request_id = request;
    j.idempotency_key = key;
    j.tenant = tenant;
    store->Submit({{TakeJob{j}}, [&](const Outcome& o) { said.push_back(o); }});
    return j;
  };
  const auto settle = [&](std::size_t n) {
    while (said.size() < n) g_main_context_iteration(nullptr, TRUE);
  };
  using Kind = Outcome::Kind;
  Job first = take("a", "r1", "k");
  take("b", "r2", "k");
  take("c", "r1", "other");
  take("d", "r3", "k", "another account");
  settle(4);
  EXPECT_EQ(said[0].kind, Kind::kWritten);
  EXPECT_EQ(said[1].kind, Kind::kTwin);
  EXPECT_EQ(said[1].id, "a");
  EXPECT_EQ(said[2].kind, Kind::kConflict);
  EXPECT_EQ(said[3].kind, Kind::kWritten);
  first.state = job_state::State::kRefused;
  first.purge_at = 10;
  EXPECT_EQ(Put(store.get(), {PutJob{first}}), "");
  take("e", "r1", "k");
  settle(5);
  EXPECT_EQ(said[4].kind, Kind::kWritten) << "the first one never ran";
  EXPECT_EQ(Put(store.get(), {Forget{10, 10}}), "");
  take("f", "r9", "k");
  settle(6);
  EXPECT_EQ(said[5].id, "e");
  EXPECT_EQ(store->AskNow(ByRequest{"r2"}).jobs.size(), 0u);
  store.reset();
  EXPECT_TRUE(VerifySqlite(path_).empty());
}

// A question sees what its asker has been told of, and a page goes on where the last one ended.
TEST_F(Sqlite, QuestionsAreAnsweredAfterTheWritesTheyMustSee) {
  auto store = Open();
  std::vector<std::uint64_t> page;
  int answers = 0;
  for (int i = 0; i < 700; ++i) {
    Job j = Make(store.get(), std::to_string(i));
    j.due = 1000 + i;
    store->Submit({{TakeJob{j}}, [&, seq = j.seq](const Outcome& o) {
                     EXPECT_EQ(o.error, "");
                     store->Ask({BySeq{seq}, [&](Found found) {
                                   EXPECT_EQ(found.jobs.size(), 1u);
                                   ++answers;
                                 }});
                   }});
  }
  while (answers < 700) g_main_context_iteration(nullptr, TRUE);
  for (std::uint64_t after = 0;;) {
    const Found found = store->AskNow(InState{job_state::State::kQueued, after, 64});
    for (const Job& j : found.jobs) page.push_back(after = j.seq);
    if (found.jobs.size() < 64) break;
  }
  EXPECT_EQ(page.size(), 700u);
  EXPECT_TRUE(std::is_sorted(page.begin(), page.end()));
  EXPECT_EQ(store->AskNow(Overdue{1009, 100}).jobs.size(), 10u);
}

// Room that forgotten jobs leave is given back while the node runs.
TEST_F(Sqlite, TheFileShrinksByItself) {
  auto store = Open();
  int told = 0;
  for (int i = 0; i < 3000; ++i) {
    Job j = Make(store.get(), std::to_string(i));
    j.body.assign(8000, 'x');
    store->Submit({{TakeJob{j}}, [&](const Outcome& o) { told += o.error.empty() ? 1 : 0; }});
  }
  while (told < 3000) g_main_context_iteration(nullptr, TRUE);
  const std::uint64_t full = store->figures().file_bytes;
  for (std::uint64_t seq = 1; seq <= 3000; ++seq) {
    Job j;
    j.seq = seq;
    j.state = job_state::State::kServed;
    j.purge_at = 5;
    store->Submit({{PutJob{j}}, [&](const Outcome& o) { told += o.error.empty() ? 1 : 0; }});
  }
  while (told < 6000) g_main_context_iteration(nullptr, TRUE);
  // A little at a time, whenever nothing waits.
  for (int i = 0; i < 5000 && store->figures().file_bytes >= (4u << 20); ++i) {
    EXPECT_EQ(Put(store.get(), {Forget{5, 100}}), "");
    if (i >= 100) g_usleep(1000);
  }
  EXPECT_GT(full, 8u << 20) << "of 24 MB, some may be in the log beside it";
  EXPECT_LT(store->figures().file_bytes, 4u << 20);
}

}  // namespace
}  // namespace pearreach::job_store
