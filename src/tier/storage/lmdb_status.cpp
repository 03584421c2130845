#include "tier/storage/lmdb_status.h"

#include <lmdb.h>

#include <cerrno>
#include <string>

namespace pearreach::storage {
namespace {

absl::StatusCode CodeOf(int code) {
  switch (code) {
    case MDB_NOTFOUND:
      return absl::StatusCode::kNotFound;
    case MDB_MAP_FULL:
    case MDB_TXN_FULL:
    case ENOSPC:
    case EDQUOT:
    case ENOMEM:
      return absl::StatusCode::kResourceExhausted;
    case MDB_BAD_VALSIZE:
      return absl::StatusCode::kInvalidArgument;
    case MDB_INVALID:
    case MDB_CORRUPTED:
    case MDB_PAGE_NOTFOUND:
    case MDB_VERSION_MISMATCH:
    case MDB_PANIC:
      return absl::StatusCode::kDataLoss;
    default:
      return absl::StatusCode::kUnavailable;
  }
}

}  // namespace

absl::Status LmdbStatus(int code, std::string_view action) {
  if (code == MDB_SUCCESS) return absl::OkStatus();
  return absl::Status(CodeOf(code), std::string(action) + ": " + mdb_strerror(code));
}

}  // namespace pearreach::storage
