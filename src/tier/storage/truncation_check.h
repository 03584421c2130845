// Checks whether a file that is shorter than its number of pages lacks a page that is in use.
// Called once, by the environment that opens the file, before any other thread uses it.
#ifndef PEARREACH_SRC_TIER_STORAGE_TRUNCATION_CHECK_H_
#define PEARREACH_SRC_TIER_STORAGE_TRUNCATION_CHECK_H_

#include <absl/status/status.h>
#include <lmdb.h>

#include <string>
#include <vector>

namespace pearreach::storage {

// A file may rightly lack pages at its end: those that were allocated and freed within one
// transaction. A short file is extended to its number of pages, so that no read meets its end
// (SIGBUS), and all `tables` are walked. Returns DATA_LOSS if a page that is in use is missing,
// another code if the file cannot be examined or extended. A file of full length is not walked.
// REQUIRES: `env` is open, nothing has been read from it and no other thread uses it (the walk
// catches LMDB's failed assertions through a process-wide jump buffer).
absl::Status CheckTruncation(MDB_env* env, const std::vector<std::string>& tables);

}  // namespace pearreach::storage

#endif  // PEARREACH_SRC_TIER_STORAGE_TRUNCATION_CHECK_H_
