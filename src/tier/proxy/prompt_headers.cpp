#include "tier/proxy/prompt_headers.h"

#include <algorithm>
#include <charconv>

namespace pearreach::proxy {
namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ull;
constexpr std::uint64_t kFnvPrime = 1099511628211ull;

std::uint64_t ExtendHash(std::uint64_t hash, std::string_view bytes) {
  for (const char c : bytes) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kFnvPrime;
  }
  return hash;
}

// The cache key covers the leading parts that hold this fraction of the shared tokens.
constexpr double kKeyTokenFraction = 0.75;

double ParsePositiveNumber(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(' ');
  if (begin == std::string_view::npos) return 0;
  text.remove_prefix(begin);
  double value = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
  if (read.ec != std::errc() || !(value > 0)) return 0;
  return value;
}

// Token count of one part, "ID:TOKENS".
double PartTokens(std::string_view part) {
  const std::size_t colon = part.rfind(':');
  return colon == std::string_view::npos ? 0 : ParsePositiveNumber(part.substr(colon + 1));
}

// Calls `visit` with the end offset and the token count of each part.
template <class Visitor>
void ForEachPart(std::string_view parts, Visitor visit) {
  std::size_t begin = 0;
  while (begin < parts.size()) {
    const std::size_t end = std::min(parts.find(',', begin), parts.size());
    visit(end, PartTokens(parts.substr(begin, end - begin)));
    begin = end + 1;
  }
}

}  // namespace

std::uint64_t PrefixKey(std::string_view model, std::string_view prefix_header) {
  const std::size_t last = prefix_header.rfind(',');
  if (last == std::string_view::npos) return 0;
  std::uint64_t hash = ExtendHash(kFnvOffset, model);
  hash = ExtendHash(hash, "\n");
  hash = ExtendHash(hash, prefix_header.substr(0, last));
  return hash == 0 ? 1 : hash;
}

PromptShape ReadPromptShape(std::string_view model, std::string_view prefix_header) {
  PromptShape shape;
  const std::size_t last = prefix_header.rfind(',');
  const bool has_shared_parts = last != std::string_view::npos;
  shape.own_tokens = PartTokens(has_shared_parts ? prefix_header.substr(last + 1) : prefix_header);
  if (!has_shared_parts) return shape;
  const std::string_view shared = prefix_header.substr(0, last);
  ForEachPart(shared, [&](std::size_t, double tokens) { shape.shared_tokens += tokens; });
  std::size_t key_end = 0;
  double tokens_before = 0;
  ForEachPart(shared, [&](std::size_t end, double tokens) {
    if (tokens_before < kKeyTokenFraction * shape.shared_tokens) key_end = end;
    tokens_before += tokens;
  });
  shape.key =
      ExtendHash(ExtendHash(ExtendHash(kFnvOffset, model), "\n"), shared.substr(0, key_end));
  if (shape.key == 0) shape.key = 1;
  return shape;
}

double TokenCount(std::string_view header) {
  double sum = 0;
  while (!header.empty()) {
    const std::size_t comma = header.find(',');
    sum += ParsePositiveNumber(header.substr(0, comma));
    if (comma == std::string_view::npos) break;
    header.remove_prefix(comma + 1);
  }
  return sum;
}

}  // namespace pearreach::proxy
