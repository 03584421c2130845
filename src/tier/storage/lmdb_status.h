// LMDB's result codes as absl::Status.
#ifndef PEARREACH_SRC_TIER_STORAGE_LMDB_STATUS_H_
#define PEARREACH_SRC_TIER_STORAGE_LMDB_STATUS_H_

#include <absl/status/status.h>

#include <string_view>

namespace pearreach::storage {

// The status for LMDB's `code`: OK for MDB_SUCCESS; otherwise the message is `action`, which names
// what was attempted ("open /data/tables.mdb"), and LMDB's text for the code.
absl::Status LmdbStatus(int code, std::string_view action);

}  // namespace pearreach::storage

#endif  // PEARREACH_SRC_TIER_STORAGE_LMDB_STATUS_H_
