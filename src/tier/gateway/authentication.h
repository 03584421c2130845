// Authentication of client requests: maps the API key of a request to a tenant of the
// configuration. Keys are secrets: they are neither forwarded to workers nor logged.
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

// Returns the KEY of `Authorization: Token KEY`, or an empty view if there is no such header or
// more than one. The scheme is case-insensitive.
std::string_view ExtractApiKey(const http::Message& request);

// Looks up the sender of a request. `route`: null for batch job calls, which have no route. The
// tenant points into `routes`.
Sender Authenticate(const routing::RouteTable& routes, const routing::Route* route,
                    const http::Message& request);

// Whether this header is reserved for the gateway when tenants are configured.
bool IsAuthenticationHeader(std::string_view name);

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_TIER_GATEWAY_AUTHENTICATION_H_
