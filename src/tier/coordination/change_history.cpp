#include "tier/coordination/change_history.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <vector>

#include "tier/coordination/chain_messages.h"

namespace pearreach::coordination {
namespace {

constexpr std::string_view kPrefix = "marks/";  // of stored keys: never change it

// The identities of the changes to consecutive revisions.
struct ChangeHistoryPage {
  std::uint64_t first_revision = 0;
  std::vector<ChangeId> change_ids;
  std::uint64_t end_revision() const { return first_revision + change_ids.size(); }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& first_revision& change_ids;
  }
};

std::string PageKey(const std::string& key, std::size_t page) {
  char number[8];
  std::snprintf(number, sizeof(number), "%03zu", page);
  return std::string(kPrefix) + key + "/" + number;
}

std::optional<ChangeHistoryPage> PageAt(const Map& map, const std::string& page_key) {
  const auto found = map.find(page_key);
  if (found == map.end()) return std::nullopt;
  auto page = codec::Decode<ChangeHistoryPage>(found->second.value);
  if (!page.ok() || page->change_ids.empty()) return std::nullopt;
  return *std::move(page);
}

std::size_t PageOf(std::uint64_t revision) {
  return static_cast<std::size_t>((revision - 1) / kChangesPerHistoryPage % kChangeHistoryPages);
}

ChangeHistoryStatus HistoryStatusIn(const ChangeHistoryPage& page, const ChangeId& change_id) {
  const auto found = std::lower_bound(
      page.change_ids.begin(), page.change_ids.end(), change_id,
      [](const ChangeId& left, const ChangeId& right) { return left.number < right.number; });
  const bool same = found != page.change_ids.end() && *found == change_id;
  return same ? ChangeHistoryStatus::kRecorded : ChangeHistoryStatus::kOther;
}

std::uint64_t RevisionOf(const Map& map, const std::string& key) {
  const auto found = map.find(key);
  return found == map.end() ? 0 : found->second.revision;
}

}  // namespace

bool IsChangeHistoryKey(std::string_view key) { return key.substr(0, kPrefix.size()) == kPrefix; }

std::pair<std::string, Entry> ChangeHistoryPageWith(const Map& map, const std::string& key,
                                                    std::uint64_t revision,
                                                    const ChangeId& change_id) {
  const std::string page_key = PageKey(key, PageOf(revision));
  ChangeHistoryPage page = PageAt(map, page_key).value_or(ChangeHistoryPage());
  if (page.end_revision() != revision) page = {revision, {}};  // replaces the oldest page
  page.change_ids.push_back(change_id);
  return {page_key, {codec::Encode(page), RevisionOf(map, page_key) + 1}};
}

// From the newest page back to the one that the number falls into.
ChangeHistoryStatus FindInChangeHistory(const Map& map, const std::string& key,
                                        const ChangeId& change_id) {
  const std::uint64_t newest_end = RevisionOf(map, key) + 1;
  for (std::uint64_t end = newest_end; end > 1;) {
    const auto page = PageAt(map, PageKey(key, PageOf(end - 1)));
    if (!page || page->end_revision() != end) return ChangeHistoryStatus::kForgotten;
    if (change_id.number > page->change_ids.back().number) {
      return end == newest_end ? ChangeHistoryStatus::kNew : ChangeHistoryStatus::kOther;
    }
    if (change_id.number >= page->change_ids.front().number)
      return HistoryStatusIn(*page, change_id);
    end = page->first_revision;
  }
  return newest_end == 1 ? ChangeHistoryStatus::kNew : ChangeHistoryStatus::kOther;
}

}  // namespace pearreach::coordination
