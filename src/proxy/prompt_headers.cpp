#include "proxy/prompt_headers.h"

#include <charconv>

namespace pearreach::proxy {
namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ull;
constexpr std::uint64_t kFnvPrime = 1099511628211ull;

std::uint64_t HashOn(std::uint64_t hash, std::string_view bytes) {
  for (const char c : bytes) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kFnvPrime;
  }
  return hash;
}

double Number(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(' ');
  if (begin == std::string_view::npos) return 0;
  text.remove_prefix(begin);
  double value = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
  if (read.ec != std::errc() || !(value > 0)) return 0;
  return value;
}

}  // namespace

std::uint64_t PrefixKey(std::string_view model, std::string_view prefix_header) {
  const std::size_t last = prefix_header.rfind(',');
  if (last == std::string_view::npos) return 0;
  std::uint64_t hash = HashOn(kFnvOffset, model);
  hash = HashOn(hash, "\n");
  hash = HashOn(hash, prefix_header.substr(0, last));
  return hash == 0 ? 1 : hash;
}

double TokenCount(std::string_view header) {
  double sum = 0;
  while (!header.empty()) {
    const std::size_t comma = header.find(',');
    sum += Number(header.substr(0, comma));
    if (comma == std::string_view::npos) break;
    header.remove_prefix(comma + 1);
  }
  return sum;
}

}  // namespace pearreach::proxy
