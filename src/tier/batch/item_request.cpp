#include "tier/batch/item_request.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>
#include <vector>

#include "tier/batch/item_tenant.h"
#include "tier/proxy/prompt_headers.h"

namespace pearreach::batch {
namespace {

// Most workers that one run may be sent to.
constexpr int kMaxWorkersPerRun = 3;

// Headers of a submission that the run sets itself or that concern one connection only.
bool IsReservedHeader(std::string_view name) {
  constexpr std::array<std::string_view, 9> kReserved = {
      "Host",    "X-Attempt-Id", "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive",
      "Upgrade", "TE",           "Trailer"};
  return std::any_of(kReserved.begin(), kReserved.end(),
                     [name](std::string_view reserved) { return http::SameName(reserved, name); });
}

std::string_view FindHeader(const ItemSpec& item, std::string_view name) {
  for (const auto& [header, value] : item.headers) {
    if (http::SameName(header, name)) return value;
  }
  return {};
}

std::vector<http::Header> MakeHeaders(const LeasedItem& leased, const routing::Route& route,
                                      bool has_tenants) {
  std::vector<http::Header> headers;
  headers.reserve(leased.item.headers.size() + 2);
  headers.push_back({"Host", route.host});
  headers.push_back({"X-Attempt-Id", leased.item.item_id});
  for (http::Header& header : WorkerHeaders(leased.item, has_tenants)) {
    if (!IsReservedHeader(header.name)) headers.push_back(std::move(header));
  }
  return headers;
}

}  // namespace

proxy::RequestSpec MakeItemRequest(LeasedItem leased, const routing::Route& route,
                                   std::string service, Micros time, bool has_tenants) {
  proxy::RequestSpec spec;
  spec.service = std::move(service);
  spec.method = "POST";
  spec.headers = MakeHeaders(leased, route, has_tenants);
  const std::string_view counts = FindHeader(leased.item, proxy::kTokenCountHeader);
  spec.total_tokens = counts.empty() ? leased.item.tokens : proxy::TokenCount(counts);
  const proxy::PromptShape prompt =
      proxy::ReadPromptShape(FindHeader(leased.item, proxy::kModelHeader),
                             FindHeader(leased.item, proxy::kPromptPrefixHeader));
  spec.prefix_key = prompt.key;
  spec.shared_tokens = prompt.shared_tokens;
  spec.own_tokens = prompt.own_tokens;
  spec.target = std::move(leased.item.path);
  spec.body = std::move(leased.item.body);
  spec.attempt_id = std::move(leased.item.item_id);
  spec.deadline = Now() + time;
  const Micros target_ms = time / kMs;
  spec.target_ms = static_cast<double>(target_ms);
  spec.gap_target_ms = route.gap_target_ms;
  spec.rank = route.rank;
  spec.attempts = kMaxWorkersPerRun;
  spec.idempotent = true;
  spec.streamed = true;
  spec.resumable = true;
  spec.bulk = true;
  spec.stop_on_500 = true;
  return spec;
}

}  // namespace pearreach::batch
