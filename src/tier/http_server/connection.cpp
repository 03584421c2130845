#include "tier/http_server/connection.h"

#include <algorithm>
#include <utility>

#include "tier/http_server/client_exchange.h"

namespace pearreach::http_server {
namespace {

constexpr std::size_t kLargeBody = 32 << 10;  // a parser that held more gives its memory back
constexpr std::size_t kReadAhead = 64 << 10;  // of pipelined requests, beyond one of full size

constexpr int kServiceUnavailable = 503;  // promises that the request has not run
constexpr int kGatewayTimeout = 504;      // promises nothing

http::Limits LimitsOf(const ServerOptions& options) {
  http::Limits limits;
  limits.head = options.max_header_bytes;
  limits.body = options.max_body_bytes;
  return limits;
}

}  // namespace

Connection::Connection(std::shared_ptr<ServerState> server, std::shared_ptr<Stream> stream)
    : server_(std::move(server)),
      stream_(std::move(stream)),
      parser_(http::Parser::Kind::kRequest, LimitsOf(server_->options)),
      options_version_(server_->options_version) {}

Connection::~Connection() {
  LeaveWaiting();
  server_->timers->Cancel(&timer_);
  server_->timers->Cancel(&deferred_);
  stream_->Close();
}

void Connection::Start() {
  const std::weak_ptr<Connection> weak = weak_from_this();
  Stream::Handlers handlers;
  handlers.data = [weak](std::string_view bytes) {
    if (const auto self = weak.lock()) self->OnData(bytes);
  };
  handlers.drained = [weak] {
    const auto self = weak.lock();
    if (self != nullptr && self->current_ != nullptr) self->current_->Drained();
  };
  handlers.closed = [weak] {
    if (const auto self = weak.lock()) self->Ended();
  };
  EnterWaiting(server_->options.header_wait);
  stream_->Listen(std::move(handlers));
}

// ---------------------------------------------------------------- reading

void Connection::OnData(std::string_view bytes) {
  if (phase_ == Phase::kClosing || phase_ == Phase::kClosed) return;
  if (options_version_ != server_->options_version && parser_.Between()) RenewParser();
  last_data_ = Now();
  request_bytes_ += bytes.size();
  parser_.Feed(bytes);
  if (phase_ != Phase::kBusy)
    Pump();
  else if (parser_.Buffered() > MaxBuffered())
    Drop();
}

std::size_t Connection::MaxBuffered() const {
  return server_->options.max_header_bytes + server_->options.max_body_bytes + kReadAhead;
}

void Connection::RenewParser() {
  parser_ = http::Parser(http::Parser::Kind::kRequest, LimitsOf(server_->options));
  options_version_ = server_->options_version;
}

void Connection::Pump() {
  if (pumping_) return;
  const auto self = shared_from_this();
  pumping_ = true;
  while (phase_ == Phase::kWaiting || phase_ == Phase::kReading) {
    const http::Parser::State state = parser_.Next();
    if (state == http::Parser::State::kMore) {
      AwaitMore();
      break;
    }
    if (state == http::Parser::State::kMessage)
      HandOut();
    else
      RefuseMalformed();
  }
  pumping_ = false;
}

void Connection::AwaitMore() {
  if (server_->shutting_down && !parser_.Between()) return RefusePartial();
  if (parser_.Between()) {
    if (phase_ != Phase::kWaiting) EnterWaiting(server_->options.idle);
    return;
  }
  if (phase_ != Phase::kReading)
    EnterReading();
  else if (request_bytes_ > server_->options.max_header_bytes)  // a body, and it goes on
    SetDeadline(Now() + server_->options.header_wait);
  if (parser_.TakeContinue()) Send(kContinue);
}

void Connection::HandOut() {
  http::Message message = parser_.Take();
  LeaveWaiting();
  phase_ = Phase::kBusy;
  deadline_ = 0;
  request_bytes_ = parser_.Buffered();
  keep_alive_ = message.keep_alive;
  head_only_ = message.method == "HEAD";
  old_version_ = message.old_version;
  if (message.body.size() > kLargeBody && parser_.Between()) RenewParser();
  auto exchange =
      std::make_shared<ClientExchange>(shared_from_this(), std::move(message), last_data_);
  const ClientExchange* const handed_out = exchange.get();
  current_ = exchange.get();
  ++server_->unanswered;
  server_->handler(std::move(exchange));
  if (server_->shutting_down && Awaits(handed_out)) EndExchange();
}

void Connection::RefuseMalformed() { RespondAndClose(parser_.error_status()); }

// The rest would come too late.
void Connection::RefusePartial() { RespondAndClose(kServiceUnavailable); }

// ---------------------------------------------------------------- writing

bool Connection::Awaits(const ClientExchange* exchange) const {
  return phase_ == Phase::kBusy && current_ == exchange;
}

bool Connection::Send(std::string_view bytes) {
  if (stream_->Write(bytes)) return true;
  phase_ = Phase::kClosed;
  Defer(&Connection::Ended);
  return false;
}

bool Connection::SendHead() {
  if (phase_ != Phase::kBusy || head_.empty()) return phase_ == Phase::kBusy;
  return Send(std::exchange(head_, {}));
}

ConnectionNotice Connection::Notice() const {
  ConnectionNotice notice;
  notice.old_version = old_version_;
  // While draining, requests that have come behind this one are still served.
  notice.close = !keep_alive_ || (server_->draining && parser_.Between() && stream_->Quiet());
  notice.keep_alive_seconds = static_cast<int>(server_->options.idle / kSecond) - 1;
  return notice;
}

void Connection::SendComplete(int status, const std::vector<http::Header>& headers,
                              std::string_view body) {
  const ConnectionNotice notice = Notice();
  keep_alive_ = !notice.close;
  std::string out = WriteHead(status, headers, Framing::kLength, body.size(), notice);
  if (!head_only_ && HasBody(status)) out.append(body);
  Send(out);
  AnswerDone();
}

void Connection::BeginChunks(int status, const std::vector<http::Header>& headers) {
  ConnectionNotice notice = Notice();
  framing_ = old_version_ ? Framing::kToClose : Framing::kChunked;
  if (framing_ == Framing::kToClose) notice.close = true;
  keep_alive_ = !notice.close;
  head_ = WriteHead(status, headers, framing_, 0, notice);
  server_->timers->Cancel(&deferred_);
  const std::weak_ptr<Connection> weak = weak_from_this();
  deferred_ = server_->timers->After(0, [weak] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->deferred_ = 0;
    self->SendHead();
  });
}

void Connection::SendChunk(std::string_view piece) {
  if (head_only_) return;
  if (!head_.empty()) server_->timers->Cancel(&deferred_);
  std::string out = std::exchange(head_, {});
  if (framing_ == Framing::kChunked)
    AppendChunk(piece, &out);
  else
    out.append(piece);
  Send(out);
}

void Connection::EndChunks() {
  if (!head_.empty()) server_->timers->Cancel(&deferred_);
  std::string out = std::exchange(head_, {});
  if (framing_ == Framing::kChunked && !head_only_) out.append(kLastChunk);
  if (!out.empty()) Send(out);
  AnswerDone();
}

void Connection::AbortAnswer(const ClientExchange* exchange) {
  if (current_ != exchange || current_ == nullptr) return;
  current_ = nullptr;
  --server_->unanswered;
  if (phase_ == Phase::kClosed) return;  // Ended is on its way
  // A client that reads to the connection's end must not take this one for the answer's.
  if (old_version_) stream_->ResetOnClose();
  Remove();
}

void Connection::AnswerDone() {
  current_ = nullptr;
  --server_->unanswered;
  if (phase_ == Phase::kClosed) return;
  if (!keep_alive_) {
    CloseGently();
  } else if (parser_.Between()) {
    EnterWaiting(server_->options.idle);
  } else {
    EnterReading();
    if (!pumping_) Defer(&Connection::Pump);  // never from inside the caller's answer
  }
}

void Connection::RespondAndClose(int status) {
  ConnectionNotice notice;
  notice.close = true;
  if (Send(WriteHead(status, {}, Framing::kLength, 0, notice))) CloseGently();
}

void Connection::EndExchange() {
  ClientExchange* const exchange = current_;
  exchange->OnServerShutdown();
  if (!Awaits(exchange)) return;
  if (exchange->streaming()) {
    if (old_version_) stream_->ResetOnClose();
    return Drop();
  }
  SendComplete(kGatewayTimeout, {}, "");
  exchange->ClientGone();  // its handler is to do nothing more for it
}

}  // namespace pearreach::http_server
