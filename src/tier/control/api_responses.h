// JSON responses of the operators' and the workers' API. Stateless. Each sends the one response of
// `exchange`.
#ifndef PEARREACH_SRC_TIER_CONTROL_API_RESPONSES_H_
#define PEARREACH_SRC_TIER_CONTROL_API_RESPONSES_H_

#include <string>
#include <string_view>
#include <vector>

#include "tier/http_server/exchange.h"

namespace pearreach::control {

// Seconds that a client should wait after a 503.
inline constexpr char kRetryAfterSeconds[] = "0.2";

// `json`: the encoded body.
void RespondJson(http_server::Exchange* exchange, int status, std::string_view json,
                 std::vector<http::Header> headers = {});
// {"error": text}
void RespondError(http_server::Exchange* exchange, int status, std::string_view text,
                  std::vector<http::Header> headers = {});
// 503 with Retry-After.
void RespondUnavailable(http_server::Exchange* exchange, std::string_view text);
// 400 with {"findings": [...]}: one for each line of `text`.
void RespondFindings(http_server::Exchange* exchange, std::string_view text);

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_API_RESPONSES_H_
