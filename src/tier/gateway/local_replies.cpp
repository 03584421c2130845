#include "tier/gateway/local_replies.h"

#include <fmt/format.h>

namespace pearreach::gateway {
namespace {

constexpr Micros kRetryAfterResolution = 10 * kMs;  // Retry-After has a resolution of 0.01 s

std::string FormatSeconds(Micros time) {
  const Micros hundredths = (time + kRetryAfterResolution - 1) / kRetryAfterResolution;
  return fmt::format("{}.{:02}", hundredths / 100, hundredths % 100);
}

}  // namespace

std::vector<http::Header> LocalReplyHeaders(std::string_view attempt_id) {
  std::vector<http::Header> headers;
  if (!attempt_id.empty()) headers.push_back({"X-Attempt-Id", std::string(attempt_id)});
  return headers;
}

std::vector<http::Header> ChallengeHeaders(std::string_view attempt_id) {
  std::vector<http::Header> headers = LocalReplyHeaders(attempt_id);
  headers.push_back({"WWW-Authenticate", "Token"});
  return headers;
}

std::vector<http::Header> RetryHeaders(std::string_view attempt_id, Micros retry_after) {
  std::vector<http::Header> headers = LocalReplyHeaders(attempt_id);
  headers.push_back(
      {"Retry-After", FormatSeconds(retry_after > 0 ? retry_after : kDefaultRetryAfter)});
  return headers;
}

bool GuaranteesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace pearreach::gateway
