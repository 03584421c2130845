// Weighs the embedded engines that durable jobs could lie in, on the same records: a commit with a
// sync for groups of 1 to 1,000 jobs, opening and reading them all again, memory and file size.
// Each engine is set to what it promises at power loss: what was committed is there.
#include <lmdb.h>
#include <rocksdb/db.h>
#include <sqlite3.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

namespace {

namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;

const std::string kRecord(400, 'r');  // a job with a small body

double Since(Clock::time_point begin) {
  return std::chrono::duration<double>(Clock::now() - begin).count();
}

std::size_t Resident() {
  std::ifstream in("/proc/self/statm");
  std::size_t all = 0, resident = 0;
  in >> all >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::string Key(std::uint64_t seq) {
  std::string key(8, '\0');
  for (int i = 0; i < 8; ++i)
    key[static_cast<std::size_t>(i)] = static_cast<char>(seq >> (56 - 8 * i));
  return key;
}

void Must(bool good, const char* what) {
  if (good) return;
  std::fprintf(stderr, "%s failed\n", what);
  std::exit(1);
}

struct Engine {
  const char* name;
  std::function<void(const std::string& path)> open;
  std::function<void(std::uint64_t from, int n)> commit;  // durable when it returns
  std::function<std::uint64_t()> read_all;
  std::function<void()> close;
};

Engine Sqlite() {
  static sqlite3* db;
  static sqlite3_stmt* insert;
  const auto run = [](const char* sql) {
    Must(sqlite3_exec(db, sql, nullptr, nullptr, nullptr) == SQLITE_OK, sql);
  };
  return {"SQLite (WAL)",
          [run](const std::string& path) {
            Must(sqlite3_open((path + "/db").c_str(), &db) == SQLITE_OK, "sqlite3_open");
            run("PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; PRAGMA cache_size=-2048;"
                "CREATE TABLE IF NOT EXISTS jobs(seq INTEGER PRIMARY KEY, job BLOB)");
            sqlite3_prepare_v2(db, "INSERT INTO jobs VALUES(?,?)", -1, &insert, nullptr);
          },
          [run](std::uint64_t from, int n) {
            run("BEGIN IMMEDIATE");
            for (int i = 0; i < n; ++i) {
              sqlite3_reset(insert);
              sqlite3_bind_int64(insert, 1, static_cast<sqlite3_int64>(from) + i);
              sqlite3_bind_blob(insert, 2, kRecord.data(), static_cast<int>(kRecord.size()),
                                SQLITE_STATIC);
              Must(sqlite3_step(insert) == SQLITE_DONE, "insert");
            }
            run("COMMIT");
          },
          [] {
            sqlite3_stmt* all;
            sqlite3_prepare_v2(db, "SELECT seq, job FROM jobs ORDER BY seq", -1, &all, nullptr);
            std::uint64_t n = 0;
            while (sqlite3_step(all) == SQLITE_ROW) n += sqlite3_column_bytes(all, 1) > 0 ? 1 : 0;
            sqlite3_finalize(all);
            return n;
          },
          [] {
            sqlite3_finalize(insert);
            sqlite3_close(db);
          }};
}

Engine Lmdb() {
  static MDB_env* env;
  static MDB_dbi dbi;
  return {
      "LMDB",
      [](const std::string& path) {
        Must(mdb_env_create(&env) == 0, "mdb_env_create");
        mdb_env_set_mapsize(env, 4ull << 30);
        Must(mdb_env_open(env, path.c_str(), 0, 0640) == 0, "mdb_env_open");
        MDB_txn* txn;
        Must(mdb_txn_begin(env, nullptr, 0, &txn) == 0, "mdb_txn_begin");
        Must(mdb_dbi_open(txn, nullptr, 0, &dbi) == 0, "mdb_dbi_open");
        Must(mdb_txn_commit(txn) == 0, "mdb_txn_commit");
      },
      [](std::uint64_t from, int n) {
        MDB_txn* txn;
        Must(mdb_txn_begin(env, nullptr, 0, &txn) == 0, "mdb_txn_begin");
        for (int i = 0; i < n; ++i) {
          std::string key = Key(from + static_cast<std::uint64_t>(i));
          MDB_val k{key.size(), key.data()}, v{kRecord.size(), const_cast<char*>(kRecord.data())};
          Must(mdb_put(txn, dbi, &k, &v, 0) == 0, "mdb_put");
        }
        Must(mdb_txn_commit(txn) == 0, "mdb_txn_commit");
      },
      [] {
        MDB_txn* txn;
        MDB_cursor* cursor;
        mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn);
        mdb_cursor_open(txn, dbi, &cursor);
        MDB_val k, v;
        std::uint64_t n = 0;
        while (mdb_cursor_get(cursor, &k, &v, MDB_NEXT) == 0)
          n += static_cast<const char*>(v.mv_data)[0] == 'r' ? 1 : 0;
        mdb_cursor_close(cursor);
        mdb_txn_abort(txn);
        return n;
      },
      [] { mdb_env_close(env); }};
}

Engine Rocks() {
  static rocksdb::DB* db;
  return {"RocksDB",
          [](const std::string& path) {
            rocksdb::Options options;
            options.create_if_missing = true;
            options.write_buffer_size = 8 << 20;
            Must(rocksdb::DB::Open(options, path, &db).ok(), "rocksdb open");
          },
          [](std::uint64_t from, int n) {
            rocksdb::WriteBatch batch;
            for (int i = 0; i < n; ++i)
              batch.Put(Key(from + static_cast<std::uint64_t>(i)), kRecord);
            rocksdb::WriteOptions options;
            options.sync = true;
            Must(db->Write(options, &batch).ok(), "rocksdb write");
          },
          [] {
            std::uint64_t n = 0;
            rocksdb::Iterator* it = db->NewIterator({});
            for (it->SeekToFirst(); it->Valid(); it->Next()) n += it->value().size() > 0 ? 1 : 0;
            delete it;
            return n;
          },
          [] { delete db; }};
}

}  // namespace

int main() {
  std::printf("%-14s %12s %12s %12s %12s %10s %10s\n", "jobs a second", "by 1", "by 10", "by 100",
              "by 1000", "read 200k", "file MB");
  for (const auto& make : {Sqlite, Lmdb, Rocks}) {
    Engine e = make();
    std::string folder = (fs::temp_directory_path() / "pearreach-XXXXXX").string();
    Must(mkdtemp(folder.data()) != nullptr, "mkdtemp");
    const std::size_t before = Resident();
    e.open(folder);
    std::uint64_t seq = 1;
    std::printf("%-14s", e.name);
    for (const int n : {1, 10, 100, 1000}) {
      const auto begin = Clock::now();
      std::uint64_t done = 0;
      while (Since(begin) < 1.0) {
        e.commit(seq, n);
        seq += static_cast<std::uint64_t>(n);
        done += static_cast<std::uint64_t>(n);
      }
      std::printf(" %12.0f", static_cast<double>(done) / Since(begin));
    }
    while (seq <= 200'000) {
      e.commit(seq, 1000);
      seq += 1000;
    }
    const std::size_t memory = Resident() - before;
    e.close();
    const auto begin = Clock::now();
    e.open(folder);
    const std::uint64_t n = e.read_all();
    const double per_200k = Since(begin) * 200'000 / static_cast<double>(n);
    e.close();
    std::uintmax_t bytes = 0;
    for (const auto& f : fs::recursive_directory_iterator(folder))
      if (f.is_regular_file()) bytes += f.file_size();
    std::printf(" %8.0f ms %10.1f   (%llu jobs, %.1f MB resident more while writing)\n",
                per_200k * 1000, static_cast<double>(bytes) / 1e6,
                static_cast<unsigned long long>(n), static_cast<double>(memory) / 1e6);
    fs::remove_all(folder);
  }
}
