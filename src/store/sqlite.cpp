#include <fcntl.h>
#include <glib.h>
#include <sqlite3.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <filesystem>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "store/store.h"

namespace pearreach::store {
namespace {

using jobs::Attempt;
using jobs::Job;

constexpr int kVersion = 1;                // of the schema; kMigrations leads up to it
constexpr std::size_t kMostInGroup = 512;  // writes that share a sync
constexpr int kBusyMs = 5000;              // for a tool that holds the file

// Step i leads from version i to i + 1. A step is never changed once released.
constexpr const char* kMigrations[] = {
    "CREATE TABLE meta(name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;"
    "INSERT INTO meta VALUES('epoch', 0);"
    "CREATE TABLE jobs(seq INTEGER PRIMARY KEY, id TEXT NOT NULL UNIQUE, request_id TEXT, path "
    "TEXT,"
    " body BLOB, idempotency_key TEXT, content_type TEXT, cls TEXT, tenant TEXT, slots REAL,"
    " key INTEGER, created INTEGER, due INTEGER, ended INTEGER, state INTEGER NOT NULL, result "
    "BLOB,"
    " reason TEXT, retry_after INTEGER, callback TEXT, callback_done INTEGER,"
    " callback_tries INTEGER, owner TEXT, epoch INTEGER);"
    "CREATE TABLE attempts(seq INTEGER NOT NULL, number INTEGER NOT NULL, worker TEXT, fence "
    "INTEGER,"
    " knows_fences INTEGER, ran INTEGER, started INTEGER, sent INTEGER, lease_until INTEGER,"
    " PRIMARY KEY(seq, number)) WITHOUT ROWID;"};
static_assert(std::size(kMigrations) == kVersion);

// One prepared statement. Errors are thrown as StoreError; the caller ends the transaction.
class Statement {
 public:
  Statement(sqlite3* db, const char* sql) : db_(db) {
    if (sqlite3_prepare_v3(db, sql, -1, SQLITE_PREPARE_PERSISTENT, &statement_, nullptr) !=
        SQLITE_OK)
      throw StoreError(sqlite3_errmsg(db));
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  template <class... T>
  Statement& Bind(const T&... values) {
    sqlite3_reset(statement_);
    at_ = 0;
    (Put(values), ...);
    return *this;
  }
  // True: a row. Resets itself after the last.
  bool Step() {
    const int code = sqlite3_step(statement_);
    if (code == SQLITE_ROW) return true;
    sqlite3_reset(statement_);
    if (code != SQLITE_DONE) throw StoreError(sqlite3_errmsg(db_));
    return false;
  }
  std::int64_t Int(int column) { return sqlite3_column_int64(statement_, column); }
  double Real(int column) { return sqlite3_column_double(statement_, column); }
  bool Null(int column) { return sqlite3_column_type(statement_, column) == SQLITE_NULL; }
  std::string Text(int column) {
    const void* bytes = sqlite3_column_blob(statement_, column);
    const int size = sqlite3_column_bytes(statement_, column);
    return bytes == nullptr ? "" : std::string(static_cast<const char*>(bytes), size);
  }

 private:
  void Put(const std::string& v) {
    sqlite3_bind_blob64(statement_, ++at_, v.data(), v.size(), SQLITE_STATIC);
  }
  void Put(double v) { sqlite3_bind_double(statement_, ++at_, v); }
  void Put(const std::optional<std::uint64_t>& v) {
    v ? sqlite3_bind_int64(statement_, ++at_, static_cast<sqlite3_int64>(*v))
      : sqlite3_bind_null(statement_, ++at_);
  }
  template <class T>
  requires std::is_integral_v<T> || std::is_enum_v<T>
  void Put(T v) { sqlite3_bind_int64(statement_, ++at_, static_cast<sqlite3_int64>(v)); }

  sqlite3* db_;
  sqlite3_stmt* statement_ = nullptr;
  int at_ = 0;
};

// An open file with its statements.
class Connection {
 public:
  Connection(const std::string& path, bool read_only) {
    const int flags =
        (read_only ? SQLITE_OPEN_READONLY : SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE) |
        SQLITE_OPEN_NOMUTEX;
    if (sqlite3_open_v2(path.c_str(), &db_, flags, nullptr) != SQLITE_OK) {
      const std::string why = db_ == nullptr ? "out of memory" : sqlite3_errmsg(db_);
      sqlite3_close(db_);
      throw StoreError(path + ": " + why);
    }
    sqlite3_busy_timeout(db_, kBusyMs);
    try {
      Open(path, read_only);
    } catch (const StoreError& wrong) {
      statements_.clear();  // an open one would keep the file open
      sqlite3_close(db_);
      throw StoreError(std::string(wrong.what()).starts_with(path) ? wrong.what()
                                                                   : path + ": " + wrong.what());
    }
  }
  ~Connection() {
    statements_.clear();
    sqlite3_close(db_);
  }

  void Run(const char* sql) {
    char* error = nullptr;
    if (sqlite3_exec(db_, sql, nullptr, nullptr, &error) == SQLITE_OK) return;
    const std::string why = error == nullptr ? sqlite3_errmsg(db_) : error;
    sqlite3_free(error);
    throw StoreError(why);
  }
  std::int64_t One(const char* sql) {
    Statement& s = Get(sql);
    return s.Bind().Step() ? s.Int(0) : 0;
  }
  Statement& Get(const char* sql) {
    auto& s = statements_[sql];
    if (s == nullptr) s = std::make_unique<Statement>(db_, sql);
    return *s;
  }

 private:
  void Open(const std::string& path, bool read_only) {
    // WAL with a sync at each commit: what was committed is on the disk.
    if (!read_only)
      Run("PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; PRAGMA cache_size=-2048;"
          "PRAGMA journal_size_limit=16777216");
    std::int64_t version = One("PRAGMA user_version");
    if (version > kVersion)
      throw StoreError(path + ": written in version " + std::to_string(version) +
                       "; this build reads up to " + std::to_string(kVersion));
    if (read_only && version == 0) throw StoreError(path + ": no store of jobs");
    for (; version < kVersion && !read_only; ++version) {
      statements_.clear();
      Run("BEGIN IMMEDIATE");
      Run(kMigrations[version]);
      Run(("PRAGMA user_version=" + std::to_string(version + 1)).c_str());
      Run("COMMIT");
    }
    statements_.clear();
  }

  sqlite3* db_ = nullptr;
  std::map<std::string, std::unique_ptr<Statement>> statements_;
};

class SqliteStore : public Store {
 public:
  explicit SqliteStore(SqliteOptions options) : options_(std::move(options)) {
    if (!options_.read_only) Lock();
    try {
      connection_ = std::make_unique<Connection>(options_.path, options_.read_only);
      if (options_.read_only) return;
      connection_->Run("BEGIN IMMEDIATE");
      epoch_ = connection_->One("SELECT value FROM meta WHERE name='epoch'") + 1;
      connection_->Get("UPDATE meta SET value=? WHERE name='epoch'").Bind(epoch_).Step();
      connection_->Run("COMMIT");
      next_seq_ = static_cast<std::uint64_t>(connection_->One("SELECT max(seq) FROM jobs")) + 1;
    } catch (const StoreError&) {
      if (lock_ >= 0) ::close(lock_);  // else nobody in this process could open it again
      throw;
    }
    thread_ = std::thread([this] { Work(); });
  }
  ~SqliteStore() override {
    if (thread_.joinable()) {
      {
        const std::lock_guard lock(mutex_);
        stop_ = true;
      }
      ready_.notify_all();
      thread_.join();
    }
    connection_.reset();
    if (lock_ >= 0) ::close(lock_);
  }

  void Submit(Write write) override {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(write));
    ++figures_.waiting;
    ready_.notify_one();
  }

  void Load(const std::function<void(Job)>& each) override {
    Connection& c = *connection_;
    Statement& jobs = c.Get(
        "SELECT seq, id, request_id, path, body, idempotency_key, content_type, cls, tenant, slots,"
        " key, created, due, ended, state, result, reason, retry_after, callback, callback_done,"
        " callback_tries, owner, epoch FROM jobs ORDER BY seq");
    // Both in the order of seq: one walk over each.
    Statement& attempts = c.Get(
        "SELECT seq, number, worker, fence, knows_fences, ran, started, sent, lease_until"
        " FROM attempts ORDER BY seq, number");
    jobs.Bind();
    attempts.Bind();
    bool more = attempts.Step();
    while (jobs.Step()) {
      Job j;
      j.seq = static_cast<std::uint64_t>(jobs.Int(0));
      j.id = jobs.Text(1);
      j.request_id = jobs.Text(2);
      j.path = jobs.Text(3);
      j.body = jobs.Text(4);
      j.idempotency_key = jobs.Text(5);
      j.content_type = jobs.Text(6);
      j.cls = jobs.Text(7);
      j.tenant = jobs.Text(8);
      j.slots = jobs.Real(9);
      if (!jobs.Null(10)) j.key = static_cast<std::uint64_t>(jobs.Int(10));
      j.created = jobs.Int(11);
      j.due = jobs.Int(12);
      j.ended = jobs.Int(13);
      j.state = static_cast<jobs::State>(jobs.Int(14));
      j.result = jobs.Text(15);
      j.reason = jobs.Text(16);
      j.retry_after = jobs.Int(17);
      j.callback = jobs.Text(18);
      j.callback_done = jobs.Int(19) != 0;
      j.callback_tries = static_cast<int>(jobs.Int(20));
      j.owner = jobs.Text(21);
      j.epoch = static_cast<std::uint64_t>(jobs.Int(22));
      if (jobs.Int(14) < 0 || jobs.Int(14) > 6)
        throw StoreError(options_.path + ": job " + j.id + " is in no known state");
      for (; more && attempts.Int(0) <= jobs.Int(0); more = attempts.Step()) {
        if (attempts.Int(0) < jobs.Int(0)) continue;
        Attempt a;
        a.number = static_cast<int>(attempts.Int(1));
        a.worker = attempts.Text(2);
        a.fence = static_cast<std::uint64_t>(attempts.Int(3));
        a.knows_fences = attempts.Int(4) != 0;
        a.ran = static_cast<jobs::Ran>(attempts.Int(5));
        a.started = attempts.Int(6) != 0;
        a.sent = attempts.Int(7);
        a.lease_until = attempts.Int(8);
        j.attempts.push_back(std::move(a));
      }
      each(std::move(j));
    }
    attempts.Bind();
  }

  std::uint64_t NextSeq() override { return next_seq_++; }
  bool lost() const override {
    const std::lock_guard lock(mutex_);
    return lost_;
  }
  Figures figures() override {
    std::error_code error;
    const std::lock_guard lock(mutex_);
    figures_.file_bytes = std::filesystem::file_size(options_.path, error);
    if (error) figures_.file_bytes = 0;
    return figures_;
  }

 private:
  // Two nodes on one file: the second is told at once. The lock goes with the process that holds
  // it.
  void Lock() {
    const std::string path = options_.path + ".lock";
    lock_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640);
    if (lock_ < 0) throw StoreError(path + ": " + std::strerror(errno));
    if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
      ::close(lock_);
      throw StoreError(options_.path + ": another node has this store");
    }
  }

  void Apply(Connection& c, const Change& change) {
    if (const auto* put = std::get_if<PutJob>(&change)) {
      const Job& j = put->job;
      if (put->with_payload)
        c.Get("INSERT INTO jobs VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)")
            .Bind(j.seq, j.id, j.request_id, j.path, j.body, j.idempotency_key, j.content_type,
                  j.cls, j.tenant, j.slots, j.key, j.created, j.due, j.ended, j.state, j.result,
                  j.reason, j.retry_after, j.callback, j.callback_done, j.callback_tries,
                  options_.owner, epoch_)
            .Step();
      else
        c.Get(
             "UPDATE jobs SET due=?, ended=?, state=?, result=?, reason=?, retry_after=?,"
             " callback_done=?, callback_tries=?, owner=?, epoch=? WHERE seq=?")
            .Bind(j.due, j.ended, j.state, j.result, j.reason, j.retry_after, j.callback_done,
                  j.callback_tries, options_.owner, epoch_, j.seq)
            .Step();
    } else if (const auto* put = std::get_if<PutAttempt>(&change)) {
      const Attempt& a = put->attempt;
      c.Get("INSERT OR REPLACE INTO attempts VALUES(?,?,?,?,?,?,?,?,?)")
          .Bind(put->seq, a.number, a.worker, a.fence, a.knows_fences, a.ran, a.started, a.sent,
                a.lease_until)
          .Step();
    } else if (const auto* forget = std::get_if<store::Forget>(&change)) {
      c.Get("DELETE FROM attempts WHERE seq=?").Bind(forget->seq).Step();
      c.Get("DELETE FROM jobs WHERE seq=?").Bind(forget->seq).Step();
    }
  }

  void Ask(Stage stage) {
    if (!options_.fault) return;
    if (const std::string wrong = options_.fault(stage); !wrong.empty()) throw StoreError(wrong);
  }

  // One transaction for all. Empty, or why none of it is durable.
  std::string Commit(const std::vector<Write>& group) {
    try {
      if (connection_ == nullptr) connection_ = std::make_unique<Connection>(options_.path, false);
      Connection& c = *connection_;
      c.Run("BEGIN IMMEDIATE");
      if (c.One("SELECT value FROM meta WHERE name='epoch'") != epoch_) {
        const std::lock_guard lock(mutex_);
        lost_ = true;
        throw StoreError("another node has taken this store over");
      }
      for (const std::uint64_t seq : undo_) Apply(c, store::Forget{seq});
      for (const Write& w : group)
        for (const Change& change : w.changes) Apply(c, change);
      Ask(Stage::kCommit);
      c.Run("COMMIT");
      Ask(Stage::kSync);
      undo_.clear();
      return "";
    } catch (const StoreError& wrong) {
      // Guards what was acknowledged: after a failed sync nobody knows what of this group is on the
      // disk, so the file is opened again, and jobs whose intake was refused are taken out of it
      // before anything else is written.
      connection_.reset();
      for (const Write& w : group)
        for (const Change& change : w.changes)
          if (const auto* put = std::get_if<PutJob>(&change); put != nullptr && put->with_payload)
            undo_.push_back(put->job.seq);
      return wrong.what();
    }
  }

  void Work() {
    std::unique_lock lock(mutex_);
    for (;;) {
      ready_.wait(lock, [&] { return stop_ || !queue_.empty(); });
      if (queue_.empty()) return;
      std::vector<Write> group;
      while (!queue_.empty() && group.size() < kMostInGroup) {
        group.push_back(std::move(queue_.front()));
        queue_.pop_front();
      }
      lock.unlock();
      const std::string error = Commit(group);
      {  // before anybody is told: who asks then sees what has happened
        const std::lock_guard counted(mutex_);
        figures_.writes += group.size();
        ++figures_.groups;
        figures_.failures += error.empty() ? 0 : 1;
        figures_.waiting -= group.size();
      }
      struct Told {
        std::vector<Write> group;
        std::string error;
      };
      auto* told = new Told{std::move(group), error};
      // A source of its own: invoke_full would run it on this thread while the loop is not running.
      GSource* source = g_idle_source_new();
      g_source_set_priority(source, G_PRIORITY_DEFAULT);
      g_source_set_callback(
          source,
          [](gpointer data) -> gboolean {
            const auto* t = static_cast<Told*>(data);
            for (const Write& w : t->group)
              if (w.done) w.done(t->error);
            return G_SOURCE_REMOVE;
          },
          told, [](gpointer data) { delete static_cast<Told*>(data); });
      g_source_attach(source, nullptr);
      g_source_unref(source);
      lock.lock();
    }
  }

  SqliteOptions options_;
  std::unique_ptr<Connection> connection_;  // the thread's, once it runs
  int lock_ = -1;
  std::int64_t epoch_ = 0;
  std::uint64_t next_seq_ = 1;
  std::vector<std::uint64_t> undo_;  // refused intakes that may be on the disk all the same
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<Write> queue_;
  bool stop_ = false, lost_ = false;
  Figures figures_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<Store> OpenSqlite(const SqliteOptions& options) {
  return std::make_unique<SqliteStore>(options);
}

std::vector<std::string> VerifySqlite(const std::string& path) {
  std::vector<std::string> lines;
  Connection c(path, true);
  Statement& pages = c.Get("PRAGMA integrity_check(20)");
  for (pages.Bind(); pages.Step();)
    if (const std::string line = pages.Text(0); line != "ok") lines.push_back(line);
  if (!lines.empty()) return lines;
  if (const std::int64_t n =
          c.One("SELECT count(*) FROM attempts WHERE seq NOT IN (SELECT seq FROM jobs)"))
    lines.push_back(std::to_string(n) + " attempts of no job");
  if (const std::int64_t n = c.One("SELECT count(*) FROM jobs WHERE state NOT BETWEEN 0 AND 6"))
    lines.push_back(std::to_string(n) + " jobs in no known state");
  if (const std::int64_t n =
          c.One("SELECT count(*) FROM (SELECT seq FROM attempts WHERE ran=0 GROUP BY seq, fence"
                " HAVING count(*) > 1)"))
    lines.push_back(std::to_string(n) + " jobs with two attempts of one fence");
  return lines;
}

std::pair<std::uint64_t, std::uint64_t> CompactSqlite(const std::string& path) {
  const std::uint64_t before = std::filesystem::file_size(path);
  Connection c(path, false);
  c.Run("PRAGMA wal_checkpoint(TRUNCATE); VACUUM; PRAGMA wal_checkpoint(TRUNCATE)");
  return {before, std::filesystem::file_size(path)};
}

}  // namespace pearreach::store
