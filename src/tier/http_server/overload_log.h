// Counts what a server refuses and closes because it has no more memory or connections, and logs
// the counts, at most once a second.
#ifndef PEARREACH_SRC_TIER_HTTP_SERVER_OVERLOAD_LOG_H_
#define PEARREACH_SRC_TIER_HTTP_SERVER_OVERLOAD_LOG_H_

#include <cstddef>
#include <cstdint>

#include "common/event_loop/io.h"

namespace pearreach::http_server {

struct OverloadCounts {
  std::uint64_t closed_for_memory = 0;       // in the middle of a request: 503, it has not run
  std::uint64_t refused_for_memory = 0;      // complete requests: 503, they have not run
  std::uint64_t closed_slow_readers = 0;     // answers that were not taken, to free memory
  std::uint64_t closed_for_connections = 0;  // to make room for a new connection
};

class OverloadLog {
 public:
  OverloadCounts counts;

  // After each change of the counts. `memory_used`: of the budget, in bytes.
  void Report(std::size_t memory_used, std::size_t connections);

 private:
  Micros logged_at_ = 0;
};

}  // namespace pearreach::http_server

#endif  // PEARREACH_SRC_TIER_HTTP_SERVER_OVERLOAD_LOG_H_
