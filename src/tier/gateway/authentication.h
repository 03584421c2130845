// Who sends a request: the tenant that has its API key, by one configuration. Keys are secrets:
// they go neither to workers nor into the log.
#ifndef PEARREACH_SRC_TIER_GATEWAY_AUTHENTICATION_H_
#define PEARREACH_SRC_TIER_GATEWAY_AUTHENTICATION_H_

#include <string_view>

#include "common/http/http.h"
#include "tier/routing/route_table.h"

namespace pearreach::gateway {

inline constexpr std::string_view kAuthorizationHeader = "Authorization";
inline constexpr std::string_view kTenantHeader = "X-Tenant";

struct Sender {
  // The configuration has a list of tenants, so the API key was looked up.
  bool tenants_configured = false;
  // A valid API key is required: tenants are configured, and either the route is not public or the
  // request has an Authorization header.
  bool requires_key = false;
  // False: the request requires a valid key and has none, so it gets a 401.
  bool is_authorized = true;
  // Null: no tenants are configured, the route is public and the request has no credentials, or the
  // request is not authorized.
  const routing::Tenant* tenant = nullptr;
};

// The KEY of `Authorization: Token KEY`; empty: none, or more than one such header. The name of the
// scheme may be in any case.
std::string_view ApiKeyOf(const http::Message& request);

// `route`: null for calls on batch jobs, which no route names. The tenant points into `routes`.
Sender Authenticate(const routing::RouteTable& routes, const routing::Route* route,
                    const http::Message& request);

// Whether a header is one that only the system may send to workers once there are tenants.
bool IsAuthenticationHeader(std::string_view name);

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_TIER_GATEWAY_AUTHENTICATION_H_
