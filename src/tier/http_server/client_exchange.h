// The exchange that a connection hands out: forwards the answer to its connection while that still
// waits for it, and aborts it if dropped without an answer.
#ifndef PEARREACH_SRC_TIER_HTTP_SERVER_CLIENT_EXCHANGE_H_
#define PEARREACH_SRC_TIER_HTTP_SERVER_CLIENT_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "common/memory/memory_budget.h"
#include "tier/http_server/exchange.h"

namespace pearreach::http_server {

class Connection;

class ClientExchange final : public Exchange {
 public:
  // `charge`: of the request's memory, until the exchange is dropped.
  ClientExchange(std::shared_ptr<Connection> connection, http::Message request, Micros arrived,
                 memory::MemoryCharge charge);
  ~ClientExchange() override;

  const http::Message& request() const override { return request_; }
  http::Message& mutable_request() override { return request_; }
  Micros arrived() const override { return arrived_; }
  bool open() const override;

  void Respond(int status, std::vector<http::Header> headers, std::string_view body) override;
  void BeginStream(int status, std::vector<http::Header> headers) override;
  void Write(std::string_view piece) override;
  void Finish() override;
  void Abort() override;
  std::size_t unsent() const override;
  void OnDrained(std::function<void()> drained) override { drained_ = std::move(drained); }
  void OnClosed(std::function<void()> closed) override;
  void OnShutdown(std::function<void()> shutdown) override;

  // Of the connection: it has ended before the answer was whole. This may drop the exchange.
  void ClientGone();
  // Likewise: it has sent all that was written.
  void Drained();
  // Likewise: the server shuts down. This may answer and drop the exchange.
  void OnServerShutdown();
  bool streaming() const { return streaming_; }  // an answer of unknown length has begun

 private:
  bool streaming_ = false;
  std::shared_ptr<Connection> connection_;
  http::Message request_;
  Micros arrived_;
  memory::MemoryCharge charge_;
  // Moves the handler's callbacks out, to be dropped last: they may own much.
  struct Callbacks {
    std::function<void()> closed, shutdown;
  };
  Callbacks TakeCallbacks();

  std::function<void()> closed_, drained_, shutdown_;
};

}  // namespace pearreach::http_server

#endif  // PEARREACH_SRC_TIER_HTTP_SERVER_CLIENT_EXCHANGE_H_
