// Watches the worker list by long polling over one connection to discovery. No answer or failure
// ends the watch. The next call follows an answer at once, since discovery starts a new watch after
// a pause between calls. As discovery serves the whole fleet, failed calls are repeated with
// jitter, so that nodes do not retry in step, and ask only for the changes since the last known
// version.
#ifndef PEARREACH_SRC_NODE_ENGINE_DISCOVERY_H_
#define PEARREACH_SRC_NODE_ENGINE_DISCOVERY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "common/event_loop/backoff.h"
#include "common/event_loop/io.h"
#include "common/http/http.h"
#include "node/config/config.h"

namespace pearreach {

class Discovery {
 public:
  // `nodes` is the number of nodes that call a discovery service which serves calls one at a time
  // (0: the local agent receives the list without being called). It spreads the first calls of the
  // nodes, and their retries while discovery is overloaded. `seed` must differ between the nodes.
  Discovery(std::string address, int nodes, std::uint64_t seed,
            std::function<void(const Listing&)> on_listing);

  // Starts the watch from the version of a list that is already known, if any.
  void Start(std::optional<std::uint64_t> version);
  // Continues at another address, with its complete list: versions differ between agents.
  void MoveTo(const std::string& address);

 private:
  void RequestListing();
  void OnData(std::string_view bytes);
  void OnMessage(const http::Message& message);
  // Drops the connection and calls again after a backoff of at least `min_wait`.
  void RetryLater(const char* why, Micros min_wait = 0);

  std::string address_;
  Micros start_spread_;  // the nodes' first calls are spread over this time
  std::function<void(const Listing&)> on_listing_;
  std::optional<std::uint64_t> version_;  // none: ask for the complete list
  std::shared_ptr<Stream> stream_;
  http::Parser parser_{http::Parser::Kind::kResponse, {16 << 10, 100, 1 << 20}};
  Alarm next_call_, response_timeout_;
  Backoff backoff_;
  Micros called_at_ = 0;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_ENGINE_DISCOVERY_H_
