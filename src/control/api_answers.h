// JSON answers of the operator's and the workers' API.
#ifndef PEARREACH_SRC_CONTROL_API_ANSWERS_H_
#define PEARREACH_SRC_CONTROL_API_ANSWERS_H_

#include <string>
#include <string_view>
#include <vector>

#include "front/exchange.h"

namespace pearreach::control {

// Seconds that a caller should wait after a 503.
inline constexpr char kRetryAfterSeconds[] = "0.2";

void AnswerJson(front::Exchange* exchange, int status, std::string_view json,
                std::vector<http::Header> headers = {});
// {"error": text}
void AnswerError(front::Exchange* exchange, int status, std::string_view text,
                 std::vector<http::Header> headers = {});
// A 503 that asks to come again soon.
void AnswerUnavailable(front::Exchange* exchange, std::string_view text);
// 400 with {"findings": [...]}: one for each line of `text`.
void AnswerFindings(front::Exchange* exchange, std::string_view text);

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_CONTROL_API_ANSWERS_H_
