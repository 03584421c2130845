#include "lab/chaos/memory.h"

#include <sqlite3.h>

#include <stdexcept>

namespace pearreach::lab {

TranslationMemory::TranslationMemory(const std::string& path) {
  if (sqlite3_open(path.c_str(), &db_) != SQLITE_OK) {
    sqlite3_close(db_);
    throw std::runtime_error(path + ": cannot be opened");
  }
  sqlite3_busy_timeout(db_, 20000);  // for a process that is frozen with the file in its hands
  Run("PRAGMA journal_mode=WAL");
  Run("PRAGMA synchronous=OFF");
  Run("CREATE TABLE IF NOT EXISTS jobs(id TEXT PRIMARY KEY, applied INTEGER, seen INTEGER)"
      " WITHOUT ROWID");
}

TranslationMemory::~TranslationMemory() { sqlite3_close(db_); }

void TranslationMemory::Run(const char* sql) {
  if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK)
    throw std::runtime_error(std::string("translation memory: ") + sqlite3_errmsg(db_));
}

TranslationMemory::Entry TranslationMemory::Read(const std::string& job) {
  sqlite3_stmt* s = nullptr;
  sqlite3_prepare_v2(db_, "SELECT applied, seen FROM jobs WHERE id=?", -1, &s, nullptr);
  sqlite3_bind_text(s, 1, job.data(), static_cast<int>(job.size()), SQLITE_STATIC);
  Entry entry;
  if (sqlite3_step(s) == SQLITE_ROW)
    entry = {sqlite3_column_int(s, 0), static_cast<std::uint64_t>(sqlite3_column_int64(s, 1))};
  sqlite3_finalize(s);
  return entry;
}

void TranslationMemory::Write(const std::string& job, const Entry& entry) {
  sqlite3_stmt* s = nullptr;
  sqlite3_prepare_v2(db_, "INSERT OR REPLACE INTO jobs VALUES(?,?,?)", -1, &s, nullptr);
  sqlite3_bind_text(s, 1, job.data(), static_cast<int>(job.size()), SQLITE_STATIC);
  sqlite3_bind_int(s, 2, entry.applied);
  sqlite3_bind_int64(s, 3, static_cast<sqlite3_int64>(entry.seen));
  const int code = sqlite3_step(s);
  sqlite3_finalize(s);
  if (code != SQLITE_DONE) throw std::runtime_error("translation memory: not written");
}

bool TranslationMemory::Meet(const std::string& job, std::uint64_t fence) {
  Run("BEGIN IMMEDIATE");
  Entry entry = Read(job);
  const bool good = fence >= entry.seen;
  if (good && fence != entry.seen) {
    entry.seen = fence;
    Write(job, entry);
  }
  Run("COMMIT");
  return good;
}

bool TranslationMemory::Apply(const std::string& job, std::uint64_t fence, bool fences) {
  Run("BEGIN IMMEDIATE");
  Entry entry = Read(job);
  if (!fences || (entry.applied == 0 && fence >= entry.seen)) {
    ++entry.applied;
    Write(job, entry);
  }
  Run("COMMIT");
  return entry.applied > 0;
}

std::map<std::string, TranslationMemory::Entry> TranslationMemory::All() {
  std::map<std::string, Entry> all;
  sqlite3_stmt* s = nullptr;
  sqlite3_prepare_v2(db_, "SELECT id, applied, seen FROM jobs", -1, &s, nullptr);
  while (sqlite3_step(s) == SQLITE_ROW)
    all[reinterpret_cast<const char*>(sqlite3_column_text(s, 0))] = {
        sqlite3_column_int(s, 1), static_cast<std::uint64_t>(sqlite3_column_int64(s, 2))};
  sqlite3_finalize(s);
  return all;
}

}  // namespace pearreach::lab
