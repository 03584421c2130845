#include "tier/gateway/request_builder.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tier/gateway/header_filter.h"
#include "tier/proxy/prompt_headers.h"

namespace pearreach::gateway {
namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ull;
constexpr std::uint64_t kFnvPrime = 1099511628211ull;
constexpr int kFractionBits = 53;  // significand bits of a double

template <class Value>
std::optional<Value> ReadNumber(const std::string* text) {
  if (text == nullptr) return std::nullopt;
  Value value{};
  const char* const end = text->data() + text->size();
  const auto read = std::from_chars(text->data(), end, value);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return value;
}

std::string_view ValueOf(const http::Message& message, std::string_view name) {
  const std::string* const value = message.Find(name);
  return value == nullptr ? std::string_view() : *value;
}

// Maps an attempt id to [0, 1), so that every node picks the same target of a split for it.
double SplitPoint(std::string_view attempt_id) {
  std::uint64_t hash = kFnvOffset;
  for (const char c : attempt_id) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kFnvPrime;
  }
  // FNV-1a mixes the last bytes into the upper bits too little.
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdull;
  hash ^= hash >> 33;
  return static_cast<double>(hash >> (64 - kFractionBits)) /
         static_cast<double>(std::uint64_t{1} << kFractionBits);
}

// Time limit of a request in milliseconds: the client's deadline, at most the route's limit.
double TimeLimitMs(const routing::Route& route, const http::Message& request) {
  const auto deadline = ReadNumber<double>(request.Find("X-Deadline-Ms"));
  if (!deadline.has_value() || !(*deadline >= 0)) return route.limit_ms;
  return std::min(*deadline, route.limit_ms);
}

int EffectiveRank(const routing::Route& route, const Sender& sender) {
  if (sender.tenant == nullptr) return route.rank;
  return sender.tenant->rank.value_or(route.rank);
}

std::vector<http::Header> WorkerHeaders(const Sender& sender, std::vector<http::Header>* headers) {
  if (!sender.tenants_configured) return RequestHeaders(headers, Authentication::kNone);
  std::vector<http::Header> forwarded = RequestHeaders(headers, Authentication::kByGateway);
  if (sender.tenant != nullptr)
    forwarded.push_back({std::string(kTenantHeader), sender.tenant->name});
  return forwarded;
}

}  // namespace

Micros RequestDeadline(const routing::Route& route, const http::Message& request, Micros arrived) {
  return arrived + static_cast<Micros>(TimeLimitMs(route, request) * kMs);
}

proxy::RequestSpec BuildRequestSpec(const routing::Route& route, const Sender& sender,
                                    http::Message* request, Micros arrived) {
  proxy::RequestSpec spec;
  spec.attempt_id = ValueOf(*request, "X-Attempt-Id");
  spec.service = routing::RouteTable::Pick(route, SplitPoint(spec.attempt_id)).service;
  spec.deadline = RequestDeadline(route, *request, arrived);
  spec.target_ms = route.target_ms;
  spec.gap_target_ms = route.gap_target_ms;
  spec.rank = EffectiveRank(route, sender);
  spec.attempts = route.attempts;
  spec.idempotent = route.IsIdempotent();
  spec.streamed = route.variant == routing::Variant::kStreamed;
  spec.resumable = spec.streamed && route.resumable;
  spec.last_event_id = ReadNumber<std::uint64_t>(request->Find("Last-Event-Id")).value_or(0);
  const proxy::PromptShape prompt = proxy::ReadPromptShape(
      ValueOf(*request, proxy::kModelHeader), ValueOf(*request, proxy::kPromptPrefixHeader));
  spec.prefix_key = prompt.key;
  spec.shared_tokens = prompt.shared_tokens;
  spec.own_tokens = prompt.own_tokens;
  spec.total_tokens = proxy::TokenCount(ValueOf(*request, proxy::kTokenCountHeader));
  spec.method = request->method;
  spec.target = std::move(request->target);
  spec.headers = WorkerHeaders(sender, &request->headers);
  spec.body = std::move(request->body);
  return spec;
}

}  // namespace pearreach::gateway
