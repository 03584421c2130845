// Writes the head of a request to a worker and filters the headers of its response.
#ifndef PEARREACH_SRC_TIER_PROXY_WORKER_REQUEST_H_
#define PEARREACH_SRC_TIER_PROXY_WORKER_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tier/proxy/request.h"

namespace pearreach::proxy {

// Values that differ between the attempts of a request.
struct SendDetails {
  std::string_view worker_id;       // X-Target-Worker: the only worker that may run the request
  Micros time_left = 0;             // X-Deadline-Ms: time to the deadline; 0: header is omitted
  std::uint64_t last_event_id = 0;  // stream resumes after this event; 0: from the start
};

// Returns the head of the request including the final empty line; `body_size` bytes follow it.
std::string WriteWorkerHead(const RequestSpec& request, const SendDetails& send,
                            std::size_t body_size);
// Returns the headers of a response without hop-by-hop and internal ones.
std::vector<http::Header> EndToEndHeaders(std::vector<http::Header> headers);

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_WORKER_REQUEST_H_
