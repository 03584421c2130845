// An HTTP/1.1 server on one address: reads whole requests, hands them to a handler as exchanges and
// writes the answers in order. Used for clients, control calls and readiness alike.
#ifndef PEARREACH_SRC_TIER_HTTP_SERVER_HTTP_SERVER_H_
#define PEARREACH_SRC_TIER_HTTP_SERVER_HTTP_SERVER_H_

#include <cstddef>
#include <memory>
#include <string>

#include "common/event_loop/timers.h"
#include "common/memory/memory_budget.h"
#include "tier/http_server/exchange.h"

namespace pearreach::http_server {

struct ServerOptions {
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 4 << 20;
  Micros header_wait = 3 * kSecond;  // from a request's first byte, or of a new connection
  Micros idle = 15 * kSecond;        // between requests of a connection
  std::size_t max_connections = 1000;
  // A body that comes for longer than `header_wait` goes on at least so fast, in bytes each
  // `header_wait`; else it is answered with 408.
  std::size_t min_body_progress = 16;
  int receive_buffer_bytes = 0;  // of each connection, as set by the listener; 0: the system's
  // Else answers of unknown length end with their connection, as for HTTP/1.0.
  bool chunked_streams = true;
};

class HttpServer {
 public:
  // `memory`: what connections and requests hold is charged to it, and where it is exceeded the
  // connections that hold most and stand still are closed, and requests refused with 503 before
  // they are handed out. Null: without limit.
  HttpServer(Timers* timers, ServerOptions options, ExchangeHandler handler,
             std::shared_ptr<memory::MemoryBudget> memory = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::string Open(const std::string& address);   // "ip:port"; empty, or what is wrong
  int port() const;                               // of the listener once open, else 0
  void SetOptions(const ServerOptions& options);  // for what comes from now on
  // From now on each answer says Connection: close and its connection ends with it; connections
  // without a request under way are served once more within `linger`, then closed. New connections
  // are still accepted and served so until StopAccepting.
  void Drain(Micros linger);
  void StopAccepting();
  // The end of a drain: accepts no more connections and gives each request that has been read, or
  // has begun to come, its last answer now (Exchange::OnShutdown; 503 for one that has not come
  // whole), then closes its connection. Idle connections are closed.
  void Shutdown();
  // Whether no request that was read waits for its answer, or for the rest of it to be sent.
  bool AllAnswersSent() const;
  std::size_t connections() const;
  std::size_t unanswered() const;  // exchanges handed out and not yet answered whole

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pearreach::http_server

#endif  // PEARREACH_SRC_TIER_HTTP_SERVER_HTTP_SERVER_H_
