// JSON answers of the operator's and the workers' API.
#ifndef PEARREACH_SRC_TIER_CONTROL_API_RESPONSES_H_
#define PEARREACH_SRC_TIER_CONTROL_API_RESPONSES_H_

#include <string>
#include <string_view>
#include <vector>

#include "tier/http_server/exchange.h"

namespace pearreach::control {

// Seconds that a caller should wait after a 503.
inline constexpr char kRetryAfterSeconds[] = "0.2";

void RespondJson(http_server::Exchange* exchange, int status, std::string_view json,
                 std::vector<http::Header> headers = {});
// {"error": text}
void RespondError(http_server::Exchange* exchange, int status, std::string_view text,
                  std::vector<http::Header> headers = {});
// A 503 that asks to come again soon.
void RespondUnavailable(http_server::Exchange* exchange, std::string_view text);
// 400 with {"findings": [...]}: one for each line of `text`.
void RespondFindings(http_server::Exchange* exchange, std::string_view text);

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_API_RESPONSES_H_
