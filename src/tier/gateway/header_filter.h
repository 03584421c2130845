// Filters headers of requests and responses: hop-by-hop headers are not forwarded.
#ifndef PEARREACH_SRC_TIER_GATEWAY_HEADER_FILTER_H_
#define PEARREACH_SRC_TIER_GATEWAY_HEADER_FILTER_H_

#include <vector>

#include "common/http/http.h"

namespace pearreach::gateway {

// Whether a client's Authorization and X-Tenant headers are forwarded.
enum class Authentication {
  kNone,       // no tenants are configured: they are forwarded like other headers
  kByGateway,  // they are removed: the gateway itself sets X-Tenant
};

// Headers of a client request to be forwarded to a worker. X-Deadline-Ms and X-Target-Worker are
// removed as well, since the runner sets them for each attempt. The headers are moved out of
// `headers`.
std::vector<http::Header> RequestHeaders(std::vector<http::Header>* headers,
                                         Authentication authentication);

// Headers of a worker's response to be forwarded to the client.
std::vector<http::Header> ResponseHeaders(const std::vector<http::Header>& headers);

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_TIER_GATEWAY_HEADER_FILTER_H_
