// Collects the errors of a document, each with the path of its field, so that the sender gets all
// of them at once.
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
  void Add(std::string_view path, std::string_view message) {
    ++count_;
    if (lines_.size() < kMaxLines)
      lines_.push_back(std::string(path) + ": " + std::string(message));
  }

  bool empty() const { return count_ == 0; }

  // Returns OK, or INVALID_ARGUMENT with one finding per line.
  absl::Status ToStatus() const {
    if (empty()) return absl::OkStatus();
    std::string message;
    for (const std::string& line : lines_) {
      if (!message.empty()) message += '\n';
      message += line;
    }
    if (count_ > lines_.size())
      message += "\nand " + std::to_string(count_ - lines_.size()) + " more";
    return absl::InvalidArgumentError(message);
  }

 private:
  static constexpr std::size_t kMaxLines = 100;  // bounds the response to the sender

  std::size_t count_ = 0;
  std::vector<std::string> lines_;
};

}  // namespace pearreach::routing

#endif  // PEARREACH_SRC_TIER_ROUTING_FINDINGS_H_
