#include "tier/storage/truncation_check.h"

#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <csetjmp>
#include <cstddef>
#include <cstdint>
#include <cstring>

#include "tier/storage/lmdb_status.h"

namespace pearreach::storage {
namespace {

constexpr MDB_dbi kFreePages = 0;  // LMDB's own table of pages that are free

// Of LMDB's file format: the head of a page, before its data.
struct PageHeader {
  std::uint64_t number;
  std::uint16_t padding;
  std::uint16_t flags;
  std::uint32_t page_count;  // of a value with pages of its own
};
constexpr std::size_t kPageHeaderBytes = 16;
static_assert(sizeof(PageHeader) == kPageHeaderBytes);
constexpr std::uint16_t kOverflowPage = 0x04;
constexpr std::size_t kNodeHeaderBytes = 8;

struct FileSize {
  int descriptor = -1;
  std::size_t page_bytes = 0;
  std::size_t needed_pages = 0;
  std::size_t present_pages = 0;  // whole ones
};

absl::Status ReadFileSize(MDB_env* env, FileSize* size) {
  MDB_envinfo info;
  MDB_stat stat;
  int code = mdb_env_info(env, &info);
  if (code == MDB_SUCCESS) code = mdb_env_stat(env, &stat);
  if (code == MDB_SUCCESS) code = mdb_env_get_fd(env, &size->descriptor);
  if (code != MDB_SUCCESS) return LmdbStatus(code, "size of the file");
  struct stat file;
  if (fstat(size->descriptor, &file) != 0) return LmdbStatus(errno, "size of the file");
  size->page_bytes = stat.ms_psize;
  size->needed_pages = info.me_last_pgno + 1;
  size->present_pages = static_cast<std::size_t>(file.st_size) / stat.ms_psize;
  return absl::OkStatus();
}

// Zeros from the last whole page on: half a page is none.
absl::Status ExtendFile(const FileSize& size) {
  const auto held = static_cast<off_t>(size.present_pages * size.page_bytes);
  const auto needed = static_cast<off_t>(size.needed_pages * size.page_bytes);
  if (ftruncate(size.descriptor, held) != 0) return LmdbStatus(errno, "cut half a page");
  if (ftruncate(size.descriptor, needed) != 0) return LmdbStatus(errno, "fill the file up");
  return absl::OkStatus();
}

// Whether LMDB keeps such a value on pages of its own.
bool HasOverflowPages(const MDB_val& key, const MDB_val& value, std::size_t page_bytes) {
  const std::size_t half = (page_bytes - kPageHeaderBytes) / 2;
  const std::size_t largest_node = half - half % 2 - sizeof(std::uint16_t);
  return kNodeHeaderBytes + key.mv_size + value.mv_size > largest_node;
}

bool AreOverflowPagesPresent(const MDB_val& value, const FileSize& size) {
  PageHeader head;
  std::memcpy(&head, static_cast<const char*>(value.mv_data) - kPageHeaderBytes, sizeof(head));
  const bool is_head = (head.flags & kOverflowPage) != 0;
  return is_head && head.number + head.page_count <= size.present_pages;
}

// Walks through one table; MDB_CORRUPTED where something is missing.
int WalkTable(MDB_txn* transaction, MDB_dbi table, const FileSize& size) {
  MDB_cursor* cursor = nullptr;
  int code = mdb_cursor_open(transaction, table, &cursor);
  if (code != MDB_SUCCESS) return code;
  MDB_val key, value;
  code = mdb_cursor_get(cursor, &key, &value, MDB_FIRST);
  while (code == MDB_SUCCESS) {
    const bool missing =
        HasOverflowPages(key, value, size.page_bytes) && !AreOverflowPagesPresent(value, size);
    code = missing ? MDB_CORRUPTED : mdb_cursor_get(cursor, &key, &value, MDB_NEXT);
  }
  mdb_cursor_close(cursor);
  return code == MDB_NOTFOUND ? MDB_SUCCESS : code;
}

int WalkTables(MDB_txn* transaction, const std::vector<std::string>& tables, const FileSize& size) {
  int code = WalkTable(transaction, kFreePages, size);
  for (const std::string& name : tables) {
    MDB_dbi table = 0;
    if (code == MDB_SUCCESS) code = mdb_dbi_open(transaction, name.c_str(), 0, &table);
    if (code == MDB_SUCCESS) code = WalkTable(transaction, table, size);
  }
  return code;
}

// LMDB asserts the kind of some pages, which a missing one (all zeros) fails. It would end the
// process after the callback returns, so that this one doesn't: it leaves the walk. In between
// there are frames of LMDB's C code and of functions without destructors only.
std::jmp_buf failed_assertion;

void JumpOutOfWalk(MDB_env*, const char*) { std::longjmp(failed_assertion, 1); }

int WalkGuarded(MDB_env* env, MDB_txn* transaction, const std::vector<std::string>& tables,
                const FileSize& size) {
  if (setjmp(failed_assertion) != 0) return MDB_CORRUPTED;
  mdb_env_set_assert(env, &JumpOutOfWalk);
  return WalkTables(transaction, tables, size);
}

}  // namespace

absl::Status CheckTruncation(MDB_env* env, const std::vector<std::string>& tables) {
  FileSize size;
  absl::Status status = ReadFileSize(env, &size);
  if (!status.ok() || size.present_pages >= size.needed_pages) return status;
  status = ExtendFile(size);
  if (!status.ok()) return status;
  MDB_txn* transaction = nullptr;
  int code = mdb_txn_begin(env, nullptr, MDB_RDONLY, &transaction);
  if (code != MDB_SUCCESS) return LmdbStatus(code, "begin to read");
  code = WalkGuarded(env, transaction, tables, size);
  mdb_env_set_assert(env, nullptr);
  mdb_txn_abort(transaction);
  return LmdbStatus(code, "a file that is cut off");
}

}  // namespace pearreach::storage
