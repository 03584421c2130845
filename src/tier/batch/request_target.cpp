#include "tier/batch/request_target.h"

namespace pearreach::batch {
namespace {

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

RequestTarget SplitTarget(std::string_view target) {
  const std::size_t query_mark = target.find('?');
  if (query_mark == std::string_view::npos) return {target, {}};
  return {target.substr(0, query_mark), target.substr(query_mark + 1)};
}

std::string_view LastSegmentAfter(std::string_view path, std::string_view prefix) {
  if (path.substr(0, prefix.size()) != prefix) return {};
  path.remove_prefix(prefix.size());
  return path.find('/') == std::string_view::npos ? path : std::string_view();
}

std::string PercentDecode(std::string_view text) {
  std::string plain;
  plain.reserve(text.size());
  for (std::size_t at = 0; at < text.size(); ++at) {
    const bool is_code = text[at] == '%' && at + 2 < text.size() && HexDigit(text[at + 1]) >= 0 &&
                         HexDigit(text[at + 2]) >= 0;
    if (!is_code) {
      plain.push_back(text[at]);
      continue;
    }
    plain.push_back(static_cast<char>(HexDigit(text[at + 1]) * 16 + HexDigit(text[at + 2])));
    at += 2;
  }
  return plain;
}

std::optional<std::string_view> QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    }
    if (end == std::string_view::npos) break;
    query.remove_prefix(end + 1);
  }
  return std::nullopt;
}

}  // namespace pearreach::batch
