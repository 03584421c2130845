// Parses the prompt headers of a generation request: the key of the shared prompt prefix and token
// counts.
#ifndef PEARREACH_SRC_TIER_PROXY_PROMPT_HEADERS_H_
#define PEARREACH_SRC_TIER_PROXY_PROMPT_HEADERS_H_

#include <cstdint>
#include <string_view>

namespace pearreach::proxy {

inline constexpr char kModelHeader[] = "X-Model";
inline constexpr char kTokenCountHeader[] = "X-Token-Count";
inline constexpr char kPromptPrefixHeader[] = "X-Prompt-Prefix";

// Hash of the model and of all parts of the prompt ("ID:TOKENS,ID:TOKENS") except the last, which
// is specific to the session. 0: there are no shared parts.
std::uint64_t PrefixKey(std::string_view model, std::string_view prefix_header);

// Sizes of a prompt's shared and own parts, and the key under which a worker may have cached the
// shared ones.
struct PromptShape {
  // Hash of the model and of the shortest sequence of leading parts that holds most of the shared
  // tokens, so that requests that differ only in small later parts are routed to the same worker.
  // 0: no shared parts.
  std::uint64_t key = 0;
  double shared_tokens = 0;  // all parts except the last
  double own_tokens = 0;     // the last part
};
PromptShape ReadPromptShape(std::string_view model, std::string_view prefix_header);

// Sum of a comma-separated list of token counts. Invalid entries count as 0.
double TokenCount(std::string_view header);

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_PROMPT_HEADERS_H_
