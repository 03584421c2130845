// LMDB's result codes as absl::Status.
#ifndef PEARREACH_SRC_TIER_STORAGE_LMDB_STATUS_H_
#define PEARREACH_SRC_TIER_STORAGE_LMDB_STATUS_H_

#include <absl/status/status.h>

#include <string_view>

namespace pearreach::storage {

// `action` names what was tried: "open /data/tables.mdb".
absl::Status LmdbStatus(int code, std::string_view action);

}  // namespace pearreach::storage

#endif  // PEARREACH_SRC_TIER_STORAGE_LMDB_STATUS_H_
