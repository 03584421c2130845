#include <fcntl.h>
#include <glib.h>
#include <sqlite3.h>
#include <sys/file.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <filesystem>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "node/job_store/store.h"

namespace pearreach::job_store {
namespace {

using job_state::Attempt;
using job_state::Job;

constexpr int kVersion = 2;               // of the schema; kMigrations leads up to it
constexpr std::size_t kMaxInGroup = 512;  // writes that share a sync
constexpr std::size_t kMaxReads = 256;    // answered between two syncs
constexpr int kBusyMs = 5000;             // for a tool that holds the file
constexpr int kWorthVacuum = 1024;        // free pages, and a quarter of the file: given back

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
    " PRIMARY KEY(seq, number)) WITHOUT ROWID;",
    // Version 2: a job is found by its id (the seq is in it), its request id and its idempotency
    // key (by hash) without holding any of them in memory; bodies and results apart, so that a
    // change of state does not write them again; indices for what is asked of the store while a
    // node runs.
    "ALTER TABLE jobs RENAME TO jobs_1;"
    "CREATE TABLE jobs(seq INTEGER PRIMARY KEY, id BLOB NOT NULL, request_id BLOB, path BLOB,"
    " idempotency_key BLOB, content_type BLOB, cls BLOB, tenant BLOB, slots REAL, key INTEGER,"
    " created INTEGER, due INTEGER, ended INTEGER, state INTEGER NOT NULL, reason BLOB,"
    " retry_after INTEGER, callback BLOB, callback_done INTEGER, callback_tries INTEGER,"
    " callback_at INTEGER NOT NULL, forget_at INTEGER NOT NULL, owner BLOB, epoch INTEGER);"
    "CREATE TABLE bodies(seq INTEGER PRIMARY KEY, body BLOB);"
    "CREATE TABLE results(seq INTEGER PRIMARY KEY, result BLOB);"
    "CREATE TABLE names(hash INTEGER NOT NULL, seq INTEGER NOT NULL, PRIMARY KEY(hash, seq))"
    " WITHOUT ROWID;"
    "CREATE TABLE old_ids(id BLOB PRIMARY KEY, seq INTEGER NOT NULL) WITHOUT ROWID;"
    "CREATE TABLE fencing_workers(worker BLOB PRIMARY KEY) WITHOUT ROWID;"
    "INSERT INTO jobs SELECT seq, CAST(id AS BLOB), request_id, path, idempotency_key,"
    " content_type, cls, tenant, slots, key, created, due, ended, state, reason, retry_after,"
    " callback, callback_done, callback_tries,"
    " CASE WHEN state > 2 AND length(callback) > 0 AND callback_done = 0 AND callback_tries < 20"
    "  THEN max(ended, 1) ELSE 0 END,"
    " CASE WHEN state > 2 AND (length(callback) = 0 OR callback_done = 1 OR callback_tries >= 20)"
    "  THEN ended + 3600000000 ELSE 0 END,"
    " owner, epoch FROM jobs_1;"
    "INSERT INTO bodies SELECT seq, body FROM jobs_1 WHERE state < 3;"
    "INSERT INTO results SELECT seq, result FROM jobs_1 WHERE length(result) > 0;"
    "INSERT INTO names SELECT request_hash(request_id), seq FROM jobs_1;"
    "INSERT OR IGNORE INTO names SELECT key_hash(cls, tenant, idempotency_key), seq FROM jobs_1"
    " WHERE length(idempotency_key) > 0;"
    "INSERT INTO old_ids SELECT CAST(id AS BLOB), seq FROM jobs_1;"
    "INSERT OR IGNORE INTO fencing_workers SELECT worker FROM attempts WHERE knows_fences = 1;"
    "DROP TABLE jobs_1;"
    "CREATE INDEX open_jobs ON jobs(state, seq) WHERE state < 3;"
    "CREATE INDEX due_jobs ON jobs(due) WHERE state = 0;"
    "CREATE INDEX callbacks ON jobs(callback_at) WHERE callback_at > 0;"
    "CREATE INDEX forgettable ON jobs(forget_at) WHERE forget_at > 0;"};
static_assert(std::size(kMigrations) == kVersion);

// Under which names a job is found. Two that share a hash are told apart by their records.
std::int64_t RequestHash(std::string_view request) {
  return static_cast<std::int64_t>(XXH3_64bits(request.data(), request.size()));
}
std::int64_t KeyHash(std::string_view cls, std::string_view tenant, std::string_view key) {
  std::string text(cls);
  text.append(1, '\0').append(tenant).append(1, '\0').append(key);
  return static_cast<std::int64_t>(XXH3_64bits_withSeed(text.data(), text.size(), 1));
}

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
    AddHashes();
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
    const std::int64_t value = s.Bind().Step() ? s.Int(0) : 0;
    s.Bind();  // a statement left on its row would hold its snapshot
    return value;
  }
  Statement& Get(const std::string& sql) {
    auto& s = statements_[sql];
    if (s == nullptr) s = std::make_unique<Statement>(db_, sql.c_str());
    return *s;
  }

 private:
  // For the migrations, which hash names in SQL as the program does.
  void AddHashes() {
    static constexpr auto kText = [](sqlite3_value* v) {
      const void* bytes = sqlite3_value_blob(v);
      return std::string_view(static_cast<const char*>(bytes),
                              static_cast<std::size_t>(sqlite3_value_bytes(v)));
    };
    sqlite3_create_function(
        db_, "request_hash", 1, SQLITE_UTF8 | SQLITE_DETERMINISTIC, nullptr,
        [](sqlite3_context* c, int, sqlite3_value** v) {
          sqlite3_result_int64(c, RequestHash(kText(v[0])));
        },
        nullptr, nullptr);
    sqlite3_create_function(
        db_, "key_hash", 3, SQLITE_UTF8 | SQLITE_DETERMINISTIC, nullptr,
        [](sqlite3_context* c, int, sqlite3_value** v) {
          sqlite3_result_int64(c, KeyHash(kText(v[0]), kText(v[1]), kText(v[2])));
        },
        nullptr, nullptr);
  }

  void Open(const std::string& path, bool read_only) {
    // WAL with a sync at each commit: what was committed is on the disk. Pages that are free can be
    // given back while the node runs, which must be said before the first table is made.
    if (!read_only)
      Run("PRAGMA auto_vacuum=INCREMENTAL; PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL;"
          "PRAGMA cache_size=-2048; PRAGMA wal_autocheckpoint=4000;"
          "PRAGMA journal_size_limit=16777216");
    std::int64_t version = One("PRAGMA user_version");
    if (version > kVersion)
      throw StoreError(path + ": written in version " + std::to_string(version) +
                       "; this build reads up to " + std::to_string(kVersion));
    if (read_only && version == 0) throw StoreError(path + ": no store of jobs");
    if (read_only && version < kVersion)
      throw StoreError(path + ": written in version " + std::to_string(version) +
                       "; a node that opens it brings it up to " + std::to_string(kVersion));
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
  void Ask(Read read) override {
    const std::lock_guard lock(mutex_);
    reads_.push_back(std::move(read));
    ready_.notify_one();
  }

  void Load(const std::function<void(Job)>& each) override {
    const std::lock_guard lock(use_);
    Statement& s = connection_->Get(kSelect + " ORDER BY j.seq");
    for (s.Bind(); s.Step();) each(ReadJob(*connection_, s));
  }
  void LoadState(job_state::State state, const std::function<void(Job)>& each) override {
    const std::lock_guard lock(use_);
    Statement& s = connection_->Get(kSelect + " WHERE j.state=? AND j.state < 3 ORDER BY j.seq");
    for (s.Bind(state); s.Step();) each(ReadJob(*connection_, s));
  }
  std::array<std::uint64_t, 3> CountOpen() override {
    const std::lock_guard lock(use_);
    std::array<std::uint64_t, 3> counts{};
    Statement& s =
        connection_->Get("SELECT state, count(*) FROM jobs WHERE state < 3 GROUP BY state");
    for (s.Bind(); s.Step();)
      counts.at(static_cast<std::size_t>(s.Int(0))) = static_cast<std::uint64_t>(s.Int(1));
    return counts;
  }
  std::vector<std::string> FencingWorkers() override {
    const std::lock_guard lock(use_);
    std::vector<std::string> names;
    Statement& s = connection_->Get("SELECT worker FROM fencing_workers");
    for (s.Bind(); s.Step();) names.push_back(s.Text(0));
    return names;
  }
  Found AskNow(const Question& question) override {
    const std::lock_guard lock(use_);
    return Answer(question);
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

  // Columns as ReadJob takes them.
  inline static const std::string kSelect =
      "SELECT j.seq, j.id, j.request_id, j.path, b.body, j.idempotency_key, j.content_type, j.cls,"
      " j.tenant, j.slots, j.key, j.created, j.due, j.ended, j.state, r.result, j.reason,"
      " j.retry_after, j.callback, j.callback_done, j.callback_tries, j.callback_at, j.forget_at,"
      " j.owner, j.epoch FROM jobs j LEFT JOIN bodies b USING(seq) LEFT JOIN results r USING(seq)";

  Job ReadJob(Connection& c, Statement& s) const {
    Job j;
    j.seq = static_cast<std::uint64_t>(s.Int(0));
    j.id = s.Text(1);
    j.request_id = s.Text(2);
    j.path = s.Text(3);
    j.body = s.Text(4);
    j.idempotency_key = s.Text(5);
    j.content_type = s.Text(6);
    j.cls = s.Text(7);
    j.tenant = s.Text(8);
    j.slots = s.Real(9);
    if (!s.Null(10)) j.key = static_cast<std::uint64_t>(s.Int(10));
    j.created = s.Int(11);
    j.due = s.Int(12);
    j.ended = s.Int(13);
    if (s.Int(14) < 0 || s.Int(14) > 6)
      throw StoreError(options_.path + ": job " + j.id + " is in no known state");
    j.state = static_cast<job_state::State>(s.Int(14));
    j.result = s.Text(15);
    j.reason = s.Text(16);
    j.retry_after = s.Int(17);
    j.callback = s.Text(18);
    j.callback_done = s.Int(19) != 0;
    j.callback_tries = static_cast<int>(s.Int(20));
    j.next_callback_at = s.Int(21);
    j.purge_at = s.Int(22);
    j.owner = s.Text(23);
    j.epoch = static_cast<std::uint64_t>(s.Int(24));
    Statement& attempts = c.Get(
        "SELECT number, worker, fence, knows_fences, ran, started, sent, lease_until"
        " FROM attempts WHERE seq=? ORDER BY number");
    for (attempts.Bind(j.seq); attempts.Step();) {
      Attempt a;
      a.number = static_cast<int>(attempts.Int(0));
      a.worker = attempts.Text(1);
      a.fence = static_cast<std::uint64_t>(attempts.Int(2));
      a.knows_fences = attempts.Int(3) != 0;
      if (attempts.Int(4) < 0 || attempts.Int(4) > 4)
        throw StoreError(options_.path + ": an attempt of job " + j.id + " is in no known state");
      a.execution = static_cast<job_state::ExecutionState>(attempts.Int(4));
      a.started = attempts.Int(5) != 0;
      a.sent = attempts.Int(6);
      a.lease_until = attempts.Int(7);
      j.attempts.push_back(std::move(a));
    }
    return j;
  }

  Found Answer(const Question& question) {
    Found found;
    try {
      if (connection_ == nullptr)
        connection_ = std::make_unique<Connection>(options_.path, options_.read_only);
      Connection& c = *connection_;
      const auto take = [&](Statement& s) {
        while (s.Step()) found.jobs.push_back(ReadJob(c, s));
      };
      if (const auto* q = std::get_if<ById>(&question)) {
        if (const auto seq = job_state::SeqFromId(q->id))
          take(c.Get(kSelect + " WHERE j.seq=? AND j.id=?").Bind(*seq, q->id));
        if (found.jobs.empty())
          take(c.Get(kSelect + " WHERE j.seq=(SELECT seq FROM old_ids WHERE id=?)").Bind(q->id));
      } else if (const auto* q = std::get_if<BySeq>(&question)) {
        take(c.Get(kSelect + " WHERE j.seq=?").Bind(q->seq));
      } else if (const auto* q = std::get_if<ByRequest>(&question)) {
        take(c.Get(kSelect + " WHERE j.seq IN (SELECT seq FROM names WHERE hash=?)"
                             " AND j.request_id=? ORDER BY j.seq DESC LIMIT 1")
                 .Bind(RequestHash(q->request_id), q->request_id));
      } else if (const auto* q = std::get_if<InState>(&question)) {
        take(
            c.Get(kSelect + " WHERE j.state=? AND j.state < 3 AND j.seq > ? ORDER BY j.seq LIMIT ?")
                .Bind(q->state, q->after, q->limit));
      } else if (const auto* q = std::get_if<Overdue>(&question)) {
        take(c.Get(kSelect + " WHERE j.state=0 AND j.due <= ? ORDER BY j.due LIMIT ?")
                 .Bind(q->now, q->limit));
      } else if (const auto* q = std::get_if<WantCallback>(&question)) {
        take(c.Get(kSelect + " WHERE j.callback_at > 0 ORDER BY j.callback_at LIMIT ?")
                 .Bind(q->limit));
      }
    } catch (const StoreError& wrong) {
      found.error = wrong.what();
      found.jobs.clear();
      connection_.reset();  // a statement may stand half way
    }
    return found;
  }

  // Whether a job that is kept has one of the new one's names.
  Outcome Namesake(Connection& c, const Job& j) {
    Statement& s = c.Get(
        "SELECT j.id, j.request_id, j.cls, j.tenant, j.idempotency_key FROM names n JOIN jobs j"
        " USING(seq) WHERE n.hash=? AND j.state <> 4");
    std::string twin;
    if (!j.idempotency_key.empty())
      for (s.Bind(KeyHash(j.cls, j.tenant, j.idempotency_key)); s.Step();)
        if (s.Text(2) == j.cls && s.Text(3) == j.tenant && s.Text(4) == j.idempotency_key)
          twin = s.Text(0);
    if (!twin.empty()) return {"", Outcome::Kind::kTwin, twin, 0};
    bool held = false;
    for (s.Bind(RequestHash(j.request_id)); s.Step();) held = held || s.Text(1) == j.request_id;
    if (held) return {"", Outcome::Kind::kConflict, "", 0};
    return {};
  }

  void Insert(Connection& c, const Job& j) {
    c.Get("INSERT INTO jobs VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)")
        .Bind(j.seq, j.id, j.request_id, j.path, j.idempotency_key, j.content_type, j.cls, j.tenant,
              j.slots, j.key, j.created, j.due, j.ended, j.state, j.reason, j.retry_after,
              j.callback, j.callback_done, j.callback_tries, j.next_callback_at, j.purge_at,
              options_.owner, epoch_)
        .Step();
    c.Get("INSERT INTO bodies VALUES(?,?)").Bind(j.seq, j.body).Step();
    Statement& name = c.Get("INSERT OR IGNORE INTO names VALUES(?,?)");
    name.Bind(RequestHash(j.request_id), j.seq).Step();
    if (!j.idempotency_key.empty())
      name.Bind(KeyHash(j.cls, j.tenant, j.idempotency_key), j.seq).Step();
  }

  void Drop(Connection& c, std::uint64_t seq) {
    Statement& s =
        c.Get("SELECT request_id, cls, tenant, idempotency_key, id FROM jobs WHERE seq=?");
    std::vector<std::int64_t> hashes;
    std::string id;
    for (s.Bind(seq); s.Step();) {
      hashes = {RequestHash(s.Text(0)), KeyHash(s.Text(1), s.Text(2), s.Text(3))};
      id = s.Text(4);
    }
    for (const std::int64_t hash : hashes)
      c.Get("DELETE FROM names WHERE hash=? AND seq=?").Bind(hash, seq).Step();
    c.Get("DELETE FROM old_ids WHERE id=?").Bind(id).Step();
    for (const char* sql : {"DELETE FROM attempts WHERE seq=?", "DELETE FROM bodies WHERE seq=?",
                            "DELETE FROM results WHERE seq=?", "DELETE FROM jobs WHERE seq=?"})
      c.Get(sql).Bind(seq).Step();
  }

  void Apply(Connection& c, const Change& change, Outcome* outcome) {
    if (const auto* take = std::get_if<TakeJob>(&change)) {
      *outcome = Namesake(c, take->job);
      if (outcome->kind == Outcome::Kind::kWritten) Insert(c, take->job);
    } else if (const auto* put = std::get_if<PutJob>(&change)) {
      const Job& j = put->job;
      c.Get(
           "UPDATE jobs SET due=?, ended=?, state=?, reason=?, retry_after=?, callback_done=?,"
           " callback_tries=?, callback_at=?, forget_at=?, owner=?, epoch=? WHERE seq=?")
          .Bind(j.due, j.ended, j.state, j.reason, j.retry_after, j.callback_done, j.callback_tries,
                j.next_callback_at, j.purge_at, options_.owner, epoch_, j.seq)
          .Step();
      if (!job_state::IsEnd(j.state)) return;
      c.Get("DELETE FROM bodies WHERE seq=?").Bind(j.seq).Step();
      if (!j.result.empty())
        c.Get("INSERT OR REPLACE INTO results VALUES(?,?)").Bind(j.seq, j.result).Step();
    } else if (const auto* put = std::get_if<PutAttempt>(&change)) {
      const Attempt& a = put->attempt;
      c.Get("INSERT OR REPLACE INTO attempts VALUES(?,?,?,?,?,?,?,?,?)")
          .Bind(put->seq, a.number, a.worker, a.fence, a.knows_fences, a.execution, a.started,
                a.sent, a.lease_until)
          .Step();
    } else if (const auto* knows = std::get_if<job_store::KnowsFences>(&change)) {
      c.Get("INSERT OR IGNORE INTO fencing_workers VALUES(?)").Bind(knows->worker).Step();
    } else if (const auto* forget = std::get_if<job_store::Forget>(&change)) {
      std::vector<std::uint64_t> old;
      Statement& s = c.Get(
          "SELECT seq FROM jobs WHERE forget_at > 0 AND forget_at <= ? ORDER BY forget_at LIMIT ?");
      for (s.Bind(forget->now, forget->limit); s.Step();)
        old.push_back(static_cast<std::uint64_t>(s.Int(0)));
      for (const std::uint64_t seq : old) Drop(c, seq);
      outcome->forgotten = old.size();
    }
  }

  void Trip(Stage stage) {
    if (!options_.fault) return;
    if (const std::string wrong = options_.fault(stage); !wrong.empty()) throw StoreError(wrong);
  }

  // One transaction for all. Empty, or why none of it is durable.
  std::string Commit(const std::vector<Write>& group, std::vector<Outcome>* outcomes) {
    try {
      if (connection_ == nullptr) connection_ = std::make_unique<Connection>(options_.path, false);
      Connection& c = *connection_;
      c.Run("BEGIN IMMEDIATE");
      if (c.One("SELECT value FROM meta WHERE name='epoch'") != epoch_) {
        const std::lock_guard lock(mutex_);
        lost_ = true;
        throw StoreError("another node has taken this store over");
      }
      for (const std::uint64_t seq : undo_) Drop(c, seq);
      for (std::size_t i = 0; i < group.size(); ++i)
        for (const Change& change : group[i].changes) Apply(c, change, &(*outcomes)[i]);
      Trip(Stage::kCommit);
      c.Run("COMMIT");
      Trip(Stage::kSync);
      undo_.clear();
      return "";
    } catch (const StoreError& wrong) {
      // Guards what was acknowledged: after a failed sync nobody knows what of this group is on the
      // disk, so the file is opened again, and jobs whose intake was refused are taken out of it
      // before anything else is written.
      connection_.reset();
      for (const Write& w : group)
        for (const Change& change : w.changes)
          if (const auto* take = std::get_if<TakeJob>(&change)) undo_.push_back(take->job.seq);
      return wrong.what();
    }
  }

  // Free pages go back to the disk when nothing waits, a little at a time.
  void Vacuum() {
    try {
      if (connection_ == nullptr) return;
      const std::int64_t free = connection_->One("PRAGMA freelist_count");
      if (free > kWorthVacuum && free > connection_->One("PRAGMA page_count") / 4) {
        connection_->Run("PRAGMA incremental_vacuum(512)");
        given_back_ = true;
      } else if (std::exchange(given_back_, false)) {
        connection_->Run("PRAGMA wal_checkpoint(PASSIVE)");  // the file is cut at a checkpoint
      }
    } catch (const StoreError&) {
      connection_.reset();
    }
  }

  struct Told {
    std::vector<Write> group;
    std::vector<Outcome> outcomes;
    std::vector<Read> reads;
    std::vector<Found> found;
  };
  static void Tell(Told* told) {
    // A source of its own: invoke_full would run it on this thread while the loop is not running.
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(
        source,
        [](gpointer data) -> gboolean {
          auto* t = static_cast<Told*>(data);
          for (std::size_t i = 0; i < t->group.size(); ++i)
            if (t->group[i].done) t->group[i].done(t->outcomes[i]);
          for (std::size_t i = 0; i < t->reads.size(); ++i)
            t->reads[i].done(std::move(t->found[i]));
          return G_SOURCE_REMOVE;
        },
        told, [](gpointer data) { delete static_cast<Told*>(data); });
    g_source_attach(source, nullptr);
    g_source_unref(source);
  }

  // Rounds of one group of writes with its sync, then the questions that waited when it began: an
  // answer is told after the writes that it has seen.
  void Work() {
    std::unique_lock lock(mutex_);
    for (;;) {
      ready_.wait(lock, [&] { return stop_ || !queue_.empty() || !reads_.empty(); });
      if (queue_.empty() && stop_) return;
      auto told = std::make_unique<Told>();
      while (!queue_.empty() && told->group.size() < kMaxInGroup) {
        told->group.push_back(std::move(queue_.front()));
        queue_.pop_front();
      }
      while (!reads_.empty() && told->reads.size() < kMaxReads) {
        told->reads.push_back(std::move(reads_.front()));
        reads_.pop_front();
      }
      lock.unlock();
      std::string error;
      told->outcomes.resize(told->group.size());
      std::unique_lock use(use_);
      if (!told->group.empty()) error = Commit(told->group, &told->outcomes);
      if (!error.empty())
        for (Outcome& o : told->outcomes) o = {error, Outcome::Kind::kWritten, "", 0};
      for (const Read& read : told->reads) told->found.push_back(Answer(read.question));
      use.unlock();
      {  // before anybody is told: who asks then sees what has happened
        const std::lock_guard counted(mutex_);
        figures_.writes += told->group.size();
        figures_.groups += told->group.empty() ? 0 : 1;
        figures_.failures += error.empty() ? 0 : 1;
        figures_.reads += told->reads.size();
        figures_.waiting -= told->group.size();
      }
      Tell(told.release());
      lock.lock();
      if (queue_.empty() && reads_.empty()) {
        lock.unlock();
        use.lock();
        Vacuum();
        use.unlock();
        lock.lock();
      }
    }
  }

  SqliteOptions options_;
  // Guards the connection: what blocks is called on another thread than the store's own.
  std::mutex use_;
  std::unique_ptr<Connection> connection_;
  int lock_ = -1;
  std::int64_t epoch_ = 0;
  std::uint64_t next_seq_ = 1;
  std::vector<std::uint64_t> undo_;  // refused intakes that may be on the disk all the same
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<Write> queue_;
  std::deque<Read> reads_;
  bool given_back_ = false;  // the thread's
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
  for (const char* table : {"bodies", "results", "names"})
    if (const std::int64_t n = c.One(("SELECT count(*) FROM " + std::string(table) +
                                      " WHERE seq NOT IN (SELECT seq FROM jobs)")
                                         .c_str()))
      lines.push_back(std::to_string(n) + " " + table + " of no job");
  if (const std::int64_t n = c.One(
          "SELECT count(*) FROM jobs WHERE state < 3 AND seq NOT IN (SELECT seq FROM bodies)"))
    lines.push_back(std::to_string(n) + " open jobs without a body");
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
  c.Run(
      "PRAGMA wal_checkpoint(TRUNCATE); PRAGMA auto_vacuum=INCREMENTAL; VACUUM;"
      "PRAGMA wal_checkpoint(TRUNCATE)");
  return {before, std::filesystem::file_size(path)};
}

}  // namespace pearreach::job_store
