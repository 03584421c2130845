#include "tier/gateway/authentication.h"

namespace pearreach::gateway {
namespace {

constexpr std::string_view kScheme = "Token";

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

std::string_view ExtractApiKey(const http::Message& request) {
  const std::string* credentials = nullptr;
  for (const http::Header& header : request.headers) {
    if (!http::SameName(header.name, kAuthorizationHeader)) continue;
    if (credentials != nullptr) return {};  // with two headers it is ambiguous which one applies
    credentials = &header.value;
  }
  if (credentials == nullptr) return {};
  const std::string_view text = Trim(*credentials);
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos) return {};
  if (!http::SameName(text.substr(0, space), kScheme)) return {};
  return Trim(text.substr(space));
}

Sender Authenticate(const routing::RouteTable& routes, const routing::Route* route,
                    const http::Message& request) {
  if (!routes.has_tenants()) return {};
  const routing::Tenant* tenant = routes.FindTenantByKey(ExtractApiKey(request));
  // A public route requires no key, but credentials that are sent must be valid.
  const bool is_public = route != nullptr && route->is_public;
  const bool requires_key = !is_public || request.Find(kAuthorizationHeader) != nullptr;
  return {.tenants_configured = true,
          .requires_key = requires_key,
          .is_authorized = tenant != nullptr || !requires_key,
          .tenant = tenant};
}

bool IsAuthenticationHeader(std::string_view name) {
  return http::SameName(name, kAuthorizationHeader) || http::SameName(name, kTenantHeader);
}

}  // namespace pearreach::gateway
