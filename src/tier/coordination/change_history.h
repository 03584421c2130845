// A bounded history of the changes of one key, kept in the replicated map beside the key itself:
// each change with an identity adds that in the same commit, so the history is on the same disks as
// the change and survives repairs, restarts and replacements with it. It makes retried changes
// idempotent: a change that is in the history already has been committed.
//
// The identities are stored in pages, each the value of a key of its own, which are used as a ring:
// a change rewrites one page, and the newest page replaces the oldest. Pure functions.
#ifndef PEARREACH_SRC_TIER_COORDINATION_CHANGE_HISTORY_H_
#define PEARREACH_SRC_TIER_COORDINATION_CHANGE_HISTORY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "tier/coordination/chain.h"

namespace pearreach::coordination {

inline constexpr std::size_t kChangesPerHistoryPage = 128;
inline constexpr std::size_t kChangeHistoryPages = 128;
// The most changes that are kept; at least this less one page are.
inline constexpr std::size_t kMaxRecordedChanges = kChangesPerHistoryPage * kChangeHistoryPages;

// Whether a change is in the history.
enum class ChangeHistoryStatus : std::uint8_t {
  kNew,        // its number is above all that are recorded, or the history is empty
  kRecorded,   // this very change
  kOther,      // its number is recorded with another digest, or was skipped
  kForgotten,  // its number is below all that are still kept
};

// Whether `key` is that of a page, which readers of values ignore.
bool IsChangeHistoryKey(std::string_view key);

// The page that records `change_id` for the change which gives `key` the revision `revision`: the
// key and the entry to set in `map` together with that change. REQUIRES: `change_id.number` is
// greater than all that are recorded.
std::pair<std::string, Entry> ChangeHistoryPageWith(const Map& map, const std::string& key,
                                                    std::uint64_t revision,
                                                    const ChangeId& change_id);

// REQUIRES: `map` is complete, with the pages.
ChangeHistoryStatus FindInChangeHistory(const Map& map, const std::string& key,
                                        const ChangeId& change_id);

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_CHANGE_HISTORY_H_
