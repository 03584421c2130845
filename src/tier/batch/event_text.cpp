#include "tier/batch/event_text.h"

#include <optional>

namespace pearreach::batch {
namespace {

// The value of the line's `data` field, without the one space that may follow the colon; none: the
// line is another field.
std::optional<std::string_view> DataOf(std::string_view line) {
  constexpr std::string_view kName = "data";
  if (line.substr(0, kName.size()) != kName) return std::nullopt;
  line.remove_prefix(kName.size());
  if (line.empty()) return line;
  if (line.front() != ':') return std::nullopt;
  line.remove_prefix(1);
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  return line;
}

}  // namespace

void EventText::EndLine() {
  if (line_.empty()) {
    if (has_data_) {
      if (has_event_) text_.push_back('\n');
      text_ += data_;
      has_event_ = true;
    }
    data_.clear();
    has_data_ = has_field_ = false;
    return;
  }
  has_field_ = has_field_ || line_.front() != ':';
  if (const auto value = DataOf(line_); value.has_value()) {
    if (has_data_) data_.push_back('\n');
    data_ += *value;
    has_data_ = true;
  }
  line_.clear();
}

void EventText::Feed(std::string_view bytes) {
  while (!bytes.empty()) {
    if (after_cr_ && bytes.front() == '\n') {
      bytes.remove_prefix(1);
      after_cr_ = false;
      continue;
    }
    after_cr_ = false;
    const std::size_t end = bytes.find_first_of("\r\n");
    line_ += bytes.substr(0, end);
    if (end == std::string_view::npos) return;
    after_cr_ = bytes[end] == '\r';
    EndLine();
    bytes.remove_prefix(end + 1);
  }
}

}  // namespace pearreach::batch
