// Headers and statuses of responses that the gateway generates itself. They are never a success and
// carry the request's X-Attempt-Id.
#ifndef PEARREACH_SRC_TIER_GATEWAY_LOCAL_REPLIES_H_
#define PEARREACH_SRC_TIER_GATEWAY_LOCAL_REPLIES_H_

#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/io.h"
#include "common/http/http.h"

namespace pearreach::gateway {

inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

// Retry-After if there is no better estimate.
inline constexpr Micros kDefaultRetryAfter = 250 * kMs;

// The X-Attempt-Id of the request, if it had one.
std::vector<http::Header> LocalReplyHeaders(std::string_view attempt_id);
// Headers of a 401, with the required authentication scheme.
std::vector<http::Header> ChallengeHeaders(std::string_view attempt_id);
// Adds Retry-After in seconds with two decimals; kDefaultRetryAfter if `retry_after` is 0.
std::vector<http::Header> RetryHeaders(std::string_view attempt_id, Micros retry_after);

// Whether this status guarantees that the request has not run and never will.
bool GuaranteesNotRun(int status);

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_TIER_GATEWAY_LOCAL_REPLIES_H_
