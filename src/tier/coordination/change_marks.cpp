#include "tier/coordination/change_marks.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>
#include <vector>

#include "tier/coordination/chain_messages.h"

namespace pearreach::coordination {
namespace {

constexpr std::string_view kPrefix = "marks/";

// Marks of consecutive revisions.
struct MarkPage {
  std::uint64_t first_revision = 0;
  std::vector<ChangeMark> marks;
  std::uint64_t end_revision() const { return first_revision + marks.size(); }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& first_revision& marks;
  }
};

std::string PageKey(const std::string& key, std::size_t page) {
  char number[8];
  std::snprintf(number, sizeof(number), "%03zu", page);
  return std::string(kPrefix) + key + "/" + number;
}

std::optional<MarkPage> PageAt(const Map& map, const std::string& page_key) {
  const auto found = map.find(page_key);
  if (found == map.end()) return std::nullopt;
  auto page = codec::Decode<MarkPage>(found->second.value);
  if (!page.ok() || page->marks.empty()) return std::nullopt;
  return *std::move(page);
}

std::size_t PageOf(std::uint64_t revision) {
  return static_cast<std::size_t>((revision - 1) / kMarksPerPage % kMarkPages);
}

MarkStanding StandingIn(const MarkPage& page, const ChangeMark& mark) {
  const auto found = std::lower_bound(
      page.marks.begin(), page.marks.end(), mark,
      [](const ChangeMark& left, const ChangeMark& right) { return left.number < right.number; });
  const bool same = found != page.marks.end() && *found == mark;
  return same ? MarkStanding::kRecorded : MarkStanding::kOther;
}

std::uint64_t RevisionOf(const Map& map, const std::string& key) {
  const auto found = map.find(key);
  return found == map.end() ? 0 : found->second.revision;
}

}  // namespace

bool IsMarkKey(std::string_view key) { return key.substr(0, kPrefix.size()) == kPrefix; }

std::pair<std::string, Entry> PageWithMark(const Map& map, const std::string& key,
                                           std::uint64_t revision, const ChangeMark& mark) {
  const std::string page_key = PageKey(key, PageOf(revision));
  MarkPage page = PageAt(map, page_key).value_or(MarkPage());
  if (page.end_revision() != revision) page = {revision, {}};  // the oldest page gives way
  page.marks.push_back(mark);
  return {page_key, {codec::Encode(page), RevisionOf(map, page_key) + 1}};
}

// From the newest page back to the one that the number falls into.
MarkStanding FindMark(const Map& map, const std::string& key, const ChangeMark& mark) {
  const std::uint64_t newest_end = RevisionOf(map, key) + 1;
  for (std::uint64_t end = newest_end; end > 1;) {
    const auto page = PageAt(map, PageKey(key, PageOf(end - 1)));
    if (!page || page->end_revision() != end) return MarkStanding::kForgotten;
    if (mark.number > page->marks.back().number) {
      return end == newest_end ? MarkStanding::kNew : MarkStanding::kOther;
    }
    if (mark.number >= page->marks.front().number) return StandingIn(*page, mark);
    end = page->first_revision;
  }
  return newest_end == 1 ? MarkStanding::kNew : MarkStanding::kOther;
}

}  // namespace pearreach::coordination
