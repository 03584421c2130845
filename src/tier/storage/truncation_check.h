// Whether a file that ends before its last page lacks anything.
#ifndef PEARREACH_SRC_TIER_STORAGE_TRUNCATION_CHECK_H_
#define PEARREACH_SRC_TIER_STORAGE_TRUNCATION_CHECK_H_

#include <absl/status/status.h>
#include <lmdb.h>

#include <string>
#include <vector>

namespace pearreach::storage {

// Before anything else is read. A file may rightly lack pages at its end: those that were allocated
// and given back within one transaction. Where it is that short, it is made as long as its number
// of pages says, so that no read meets its end (SIGBUS), and all `tables` are walked through:
// DATA_LOSS where a page that is in use was missing. A file of full length costs nothing.
absl::Status CheckTruncation(MDB_env* env, const std::vector<std::string>& tables);

}  // namespace pearreach::storage

#endif  // PEARREACH_SRC_TIER_STORAGE_TRUNCATION_CHECK_H_
