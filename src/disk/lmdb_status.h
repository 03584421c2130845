// LMDB's result codes as absl::Status.
#ifndef PEARREACH_SRC_DISK_LMDB_STATUS_H_
#define PEARREACH_SRC_DISK_LMDB_STATUS_H_

#include <absl/status/status.h>

#include <string_view>

namespace pearreach::disk {

// `action` names what was tried: "open /data/tables.mdb".
absl::Status LmdbStatus(int code, std::string_view action);

}  // namespace pearreach::disk

#endif  // PEARREACH_SRC_DISK_LMDB_STATUS_H_
