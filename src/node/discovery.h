// The watch of the worker list. It owns one connection to discovery and the version held; it must
// never end because of what comes back, and never lets more than a moment pass between an answer
// and the next call, for then the watch would start anew.
#ifndef PEARREACH_SRC_NODE_DISCOVERY_H_
#define PEARREACH_SRC_NODE_DISCOVERY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/io.h"
#include "config/config.h"
#include "http/http.h"

namespace pearreach {

class Discovery {
 public:
  Discovery(std::string address, std::function<void(const Listing&)> heard);

  // Begins the watch behind a list that is held already, if any.
  void Start(std::optional<std::uint64_t> version);
  // Goes on at another address, from its whole list on: versions are each agent's own.
  void MoveTo(const std::string& address);

 private:
  void Call();
  void OnData(std::string_view bytes);
  void OnMessage(const http::Message& message);
  void Again(const char* why);  // drops the connection and calls again after a wait

  std::string address_;
  std::function<void(const Listing&)> heard_;
  std::optional<std::uint64_t> version_;  // none: the whole list is wanted
  std::shared_ptr<Stream> stream_;
  http::Parser parser_{http::Parser::Kind::kResponse, {16 << 10, 100, 1 << 20}};
  Alarm next_, overdue_;
  Micros wait_ = 0, called_ = 0;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_DISCOVERY_H_
