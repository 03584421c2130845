// The parts of a request's target: path, query and their values.
#ifndef PEARREACH_SRC_TIER_BATCH_REQUEST_TARGET_H_
#define PEARREACH_SRC_TIER_BATCH_REQUEST_TARGET_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace pearreach::batch {

// Views of the text that was split.
struct RequestTarget {
  std::string_view path, query;  // the query without its '?'
};

RequestTarget SplitTarget(std::string_view target);

// The last segment of the path after `prefix`; empty: the path is not the prefix and one segment.
std::string_view LastSegmentAfter(std::string_view path, std::string_view prefix);

// The text with its %XX codes decoded; what is no such code stays as it is.
std::string PercentDecode(std::string_view text);

// The value of the first parameter of that name, not decoded; empty if it has no '='. None: there
// is no such parameter.
std::optional<std::string_view> QueryValue(std::string_view query, std::string_view name);

// The number that the whole text is; none: it is not one.
template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
  if (read.ec != std::errc() || read.ptr != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_REQUEST_TARGET_H_
