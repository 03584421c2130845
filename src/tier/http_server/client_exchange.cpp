#include "tier/http_server/client_exchange.h"

#include <utility>

#include "tier/http_server/connection.h"

namespace pearreach::http_server {

ClientExchange::ClientExchange(std::shared_ptr<Connection> connection, http::Message request,
                               Micros arrived, memory::MemoryCharge charge)
    : connection_(std::move(connection)),
      request_(std::move(request)),
      arrived_(arrived),
      charge_(std::move(charge)) {}

ClientExchange::~ClientExchange() { connection_->AbortAnswer(this); }

bool ClientExchange::open() const { return connection_->Awaits(this); }

void ClientExchange::Respond(int status, std::vector<http::Header> headers, std::string_view body) {
  if (!open() || streaming_) return;
  const Callbacks dropped_last = TakeCallbacks();
  connection_->SendComplete(status, headers, body);
}

void ClientExchange::BeginStream(int status, std::vector<http::Header> headers) {
  if (!open() || streaming_) return;
  streaming_ = true;
  connection_->BeginChunks(status, headers);
}

void ClientExchange::Write(std::string_view piece) {
  if (open() && streaming_ && !piece.empty()) connection_->SendChunk(piece);
}

void ClientExchange::Finish() {
  if (!open() || !streaming_) return;
  const Callbacks dropped_last = TakeCallbacks();
  connection_->EndChunks();
}

void ClientExchange::Abort() {
  if (!open()) return;
  const Callbacks dropped_last = TakeCallbacks();
  connection_->AbortAnswer(this);
}

std::size_t ClientExchange::unsent() const { return open() ? connection_->unsent() : 0; }

void ClientExchange::OnClosed(std::function<void()> closed) {
  if (open()) closed_ = std::move(closed);
}

void ClientExchange::Drained() {
  const auto drained = drained_;  // it may drop the exchange
  if (drained) drained();
}

void ClientExchange::OnShutdown(std::function<void()> shutdown) {
  if (open()) shutdown_ = std::move(shutdown);
}

ClientExchange::Callbacks ClientExchange::TakeCallbacks() {
  return {std::exchange(closed_, nullptr), std::exchange(shutdown_, nullptr)};
}

void ClientExchange::ClientGone() {
  drained_ = nullptr;
  const Callbacks callbacks = TakeCallbacks();
  if (callbacks.closed) callbacks.closed();
}

void ClientExchange::OnServerShutdown() {
  const auto shutdown = std::exchange(shutdown_, nullptr);
  if (shutdown) shutdown();
}

}  // namespace pearreach::http_server
