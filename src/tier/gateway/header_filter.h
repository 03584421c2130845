// Which headers travel on: those that concern one connection only end here.
#ifndef PEARREACH_SRC_TIER_GATEWAY_HEADER_FILTER_H_
#define PEARREACH_SRC_TIER_GATEWAY_HEADER_FILTER_H_

#include <vector>

#include "common/http/http.h"

namespace pearreach::gateway {

// Of a request, for a worker. X-Deadline-Ms and X-Target-Worker are left out too: the runner sets
// them anew at each try. The headers are moved out of `headers`.
std::vector<http::Header> RequestHeaders(std::vector<http::Header>* headers);

// Of a worker's answer, for the client.
std::vector<http::Header> AnswerHeaders(const std::vector<http::Header>& headers);

}  // namespace pearreach::gateway

#endif  // PEARREACH_SRC_TIER_GATEWAY_HEADER_FILTER_H_
