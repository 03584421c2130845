// The errors of a document, each with the path of its field, collected so that the sender learns of
// all of them at once.
#ifndef PEARREACH_SRC_TIER_ROUTING_FINDINGS_H_
#define PEARREACH_SRC_TIER_ROUTING_FINDINGS_H_

#include <absl/status/status.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::routing {

// Not thread-safe.
class Findings {
 public:
  void Add(std::string_view path, std::string_view text) {
    ++count_;
    if (lines_.size() < kMaxLines) lines_.push_back(std::string(path) + ": " + std::string(text));
  }

  bool empty() const { return count_ == 0; }

  // OK, or INVALID_ARGUMENT with one finding a line.
  absl::Status ToStatus() const {
    if (empty()) return absl::OkStatus();
    std::string text;
    for (const std::string& line : lines_) {
      if (!text.empty()) text += '\n';
      text += line;
    }
    if (count_ > lines_.size()) text += "\nand " + std::to_string(count_ - lines_.size()) + " more";
    return absl::InvalidArgumentError(text);
  }

 private:
  static constexpr std::size_t kMaxLines = 100;  // the response to the sender stays short

  std::size_t count_ = 0;
  std::vector<std::string> lines_;
};

}  // namespace pearreach::routing

#endif  // PEARREACH_SRC_TIER_ROUTING_FINDINGS_H_
