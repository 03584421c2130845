// The watch of the worker list. It owns one connection to discovery and the version held; it must
// never end because of what comes back, and never lets more than a moment pass between an answer
// and the next call, for then the watch would start anew. Discovery serves the whole fleet: a node
// whose calls fail must not come again in step with the others, nor ask for more than it lacks.
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
  // `sharers` is how many nodes share the work of a discovery that serves each call in turn (0: its
  // agent is told by itself), and `seed` this one's own: together they set when it first calls, and
  // how far apart its calls are while discovery has too much to do.
  Discovery(std::string address, int sharers, std::uint64_t seed,
            std::function<void(const Listing&)> heard);

  // Begins the watch behind a list that is held already, if any.
  void Start(std::optional<std::uint64_t> version);
  // Goes on at another address, from its whole list on: versions are each agent's own.
  void MoveTo(const std::string& address);

 private:
  void RequestListing();
  void OnData(std::string_view bytes);
  void OnMessage(const http::Message& message);
  // Drops the connection and calls again after a wait, of which `least` is the first.
  void RetryLater(const char* why, Micros least = 0);

  std::string address_;
  Micros start_spread_;  // this node's turn to begin lies within it
  std::function<void(const Listing&)> on_listing_;
  std::optional<std::uint64_t> version_;  // none: the whole list is wanted
  std::shared_ptr<Stream> stream_;
  http::Parser parser_{http::Parser::Kind::kResponse, {16 << 10, 100, 1 << 20}};
  Alarm next_call_, response_timeout_;
  Backoff backoff_;
  Micros called_at_ = 0;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_ENGINE_DISCOVERY_H_
