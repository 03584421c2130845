// What the headers of a generation say of its prompt: the key of its shared parts and its size.
#ifndef PEARREACH_SRC_TIER_PROXY_PROMPT_HEADERS_H_
#define PEARREACH_SRC_TIER_PROXY_PROMPT_HEADERS_H_

#include <cstdint>
#include <string_view>

namespace pearreach::proxy {

inline constexpr char kModelHeader[] = "X-Model";
inline constexpr char kTokenCountHeader[] = "X-Token-Count";
inline constexpr char kPromptPrefixHeader[] = "X-Prompt-Prefix";

// A hash of the model and of all parts of the prompt ("ID:TOKENS,ID:TOKENS") but the last, which
// belongs to the session alone. 0: there are no shared parts.
std::uint64_t PrefixKey(std::string_view model, std::string_view prefix_header);

// What a worker reads of a prompt, and what it may have kept of earlier ones.
struct PromptShape {
  // Hash of the model and of the shortest run of leading parts that holds most of the shared
  // tokens: requests that differ only in small parts behind it meet at one worker. 0: none shared.
  std::uint64_t key = 0;
  double shared_tokens = 0;  // of all parts but the last
  double own_tokens = 0;     // of the last part
};
PromptShape ReadPromptShape(std::string_view model, std::string_view prefix_header);

// The sum of a comma-separated list of token numbers; what is no number counts as 0.
double TokenCount(std::string_view header);

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_PROMPT_HEADERS_H_
