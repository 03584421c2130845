// One request of a client and its answer, as handlers behind the HTTP server see them.
#ifndef PEARREACH_SRC_TIER_HTTP_SERVER_EXCHANGE_H_
#define PEARREACH_SRC_TIER_HTTP_SERVER_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/io.h"
#include "common/http/http.h"

namespace pearreach::http_server {

// Exactly one answer is given: Respond, or BeginStream ... Finish, or Abort. After the client has
// gone every call is a no-op. Never call back into the server from `on_closed`.
class Exchange {
 public:
  virtual ~Exchange() = default;

  virtual const http::Message& request() const = 0;
  virtual http::Message& mutable_request() = 0;  // handlers may move headers and body out
  virtual Micros arrived() const = 0;            // when the whole request had been read
  virtual bool open() const = 0;                 // the client is still there and unanswered

  virtual void Respond(int status, std::vector<http::Header> headers, std::string_view body) = 0;
  // An answer of unknown length, in chunks.
  virtual void BeginStream(int status, std::vector<http::Header> headers) = 0;
  virtual void Write(std::string_view piece) = 0;
  virtual void Finish() = 0;
  // Ends the connection so that an answer under way cannot look complete.
  virtual void Abort() = 0;
  // Bytes accepted by Write that the client's connection has not taken yet.
  virtual std::size_t unsent() const = 0;
  // Called each time the client's connection has taken all that it had left of `unsent`.
  virtual void OnDrained(std::function<void()> drained) { drained = nullptr; }
  // Called once when the client's connection ends before the answer is whole.
  virtual void OnClosed(std::function<void()> closed) = 0;
  // Called once when the server shuts down before the answer is whole. The handler should answer
  // now; the server answers 504 for one that does not, and cuts off a stream that is under way.
  virtual void OnShutdown(std::function<void()> shutdown) { shutdown = nullptr; }
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

}  // namespace pearreach::http_server

#endif  // PEARREACH_SRC_TIER_HTTP_SERVER_EXCHANGE_H_
