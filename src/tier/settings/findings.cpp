#include "tier/settings/findings.h"

#include <fmt/format.h>

#include <iterator>

namespace pearreach::settings {

void Findings::Add(const YAML::Mark& mark, std::string_view place, std::string_view text) {
  if (!lines_.empty()) lines_ += '\n';
  const int line = mark.line + 1;  // YAML counts from 0
  const std::string_view separator = place.empty() ? "" : ": ";
  fmt::format_to(std::back_inserter(lines_), "line {}: {}{}{}", line, place, separator, text);
}

absl::Status Findings::ToStatus() const {
  return empty() ? absl::OkStatus() : absl::InvalidArgumentError(lines_);
}

}  // namespace pearreach::settings
