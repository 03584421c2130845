// A bounded record of the changes of one key, kept in the replicated map beside the key itself:
// each marked change adds its mark in the same commit, so the record is on the same disks as the
// change and passes through repairs, restarts and replacements with it.
//
// The marks lie in pages, each the value of a key of its own, which are used in turn: a change
// rewrites one page, and the oldest page gives way to the newest.
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
// The most that are kept; at least a page less than that is.
inline constexpr std::size_t kMaxRecordedChanges = kChangesPerHistoryPage * kChangeHistoryPages;

// What the record says of a mark.
enum class ChangeHistoryStatus : std::uint8_t {
  kNew,        // its number is above all that are recorded, or nothing was recorded so far
  kRecorded,   // this very mark
  kOther,      // its number is recorded with another digest, or was passed over
  kForgotten,  // its number is below all that are still kept
};

// The keys of the pages: of no use to those who only read the values.
bool IsChangeHistoryKey(std::string_view key);

// The page of `key` that records `mark` for the change that makes `revision` of it, as it must be
// set in `map` together with that change. Marks must come with rising numbers.
std::pair<std::string, Entry> ChangeHistoryPageWith(const Map& map, const std::string& key,
                                                    std::uint64_t revision,
                                                    const ChangeId& change_id);

// `map` must be whole: a map without the pages of marks says nothing.
ChangeHistoryStatus FindInChangeHistory(const Map& map, const std::string& key,
                                        const ChangeId& change_id);

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_CHANGE_HISTORY_H_
