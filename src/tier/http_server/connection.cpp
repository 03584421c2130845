#include "tier/http_server/connection.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "tier/http_server/client_exchange.h"

namespace pearreach::http_server {
namespace {

constexpr std::size_t kLargeBody = 32 << 10;  // a parser that held more gives its memory back
constexpr std::size_t kReadAhead = 64 << 10;  // of pipelined requests; then reading pauses
// What a request takes beside its body; and how often a large body is held at most on its way to a
// worker or a store: as text, decoded, and as the bytes of a call.
constexpr std::size_t kRequestOverhead = 2 << 10;
constexpr std::size_t kCopiesOfLargeBody = 3;
constexpr char kMemoryRetryAfter[] = "1";  // seconds

constexpr int kServiceUnavailable = 503;  // promises that the request has not run
constexpr int kGatewayTimeout = 504;      // promises nothing

http::Limits LimitsOf(const ServerOptions& options) {
  http::Limits limits;
  limits.head = options.max_header_bytes;
  limits.body = options.max_body_bytes;
  return limits;
}

std::size_t RequestBytes(const http::Message& message) {
  std::size_t bytes = kRequestOverhead + message.target.size();
  for (const http::Header& header : message.headers)
    bytes += sizeof header + header.name.size() + header.value.size();
  const bool large = message.body.size() > memory::MemoryBudget::kSmallBytes;
  return bytes + message.body.size() * (large ? kCopiesOfLargeBody : 1);
}

}  // namespace

Connection::Connection(std::shared_ptr<ServerState> server, std::shared_ptr<Stream> stream)
    : server_(std::move(server)),
      stream_(std::move(stream)),
      parser_(http::Parser::Kind::kRequest, LimitsOf(server_->options)),
      options_version_(server_->options_version),
      charge_(server_->memory, memory::ChargeKind::kConnection) {}

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
    if (const auto self = weak.lock()) self->OnDrained();
  };
  handlers.closed = [weak] {
    if (const auto self = weak.lock()) self->Ended();
  };
  EnterWaiting(server_->options.header_wait);
  stream_->Listen(std::move(handlers));
}

void Connection::OnDrained() {
  progress_at_ = Now();
  charge_.Set(parser_.HeldBytes() + unsent());
  if (current_ != nullptr) current_->Drained();
}

// ---------------------------------------------------------------- reading

void Connection::OnData(std::string_view bytes) {
  if (phase_ == Phase::kClosing || phase_ == Phase::kClosed) return;
  if (options_version_ != server_->options_version && parser_.Between()) RenewParser();
  last_data_ = Now();
  request_bytes_ += bytes.size();
  parser_.Feed(bytes);
  if (phase_ != Phase::kBusy) Pump();
  if (phase_ == Phase::kBusy && parser_.Buffered() > kReadAhead) stream_->PauseReading();
  AccountMemory();
}

void Connection::AccountMemory() {
  if (phase_ == Phase::kClosed) return charge_.Set(0);
  charge_.Set(parser_.HeldBytes() + unsent());
  if (phase_ == Phase::kReading && !server_->memory->Keep(charge_.bytes(), this)) ReclaimMemory();
}

void Connection::RenewParser() {
  parser_.Reset(LimitsOf(server_->options));
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
  else if (BodyGoesOn())
    SetDeadline(progress_at_ + server_->options.header_wait);
  if (parser_.TakeContinue()) Send(kContinue);
}

// Whether the body has come on by enough since it last did: a few bytes now and then are none.
bool Connection::BodyGoesOn() {
  if (request_bytes_ <= server_->options.max_header_bytes) return false;
  if (request_bytes_ - progress_bytes_ < server_->options.min_body_progress) return false;
  progress_bytes_ = request_bytes_;
  progress_at_ = Now();
  return true;
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
  charge_.Set(parser_.HeldBytes() + unsent());
  std::optional<memory::MemoryCharge> charge = server_->memory->Admit(RequestBytes(message));
  if (!charge.has_value()) return RefuseForMemory();
  auto exchange = std::make_shared<ClientExchange>(shared_from_this(), std::move(message),
                                                   last_data_, *std::move(charge));
  const ClientExchange* const handed_out = exchange.get();
  current_ = exchange.get();
  ++server_->unanswered;
  server_->handler(std::move(exchange));
  if (server_->shutting_down && Awaits(handed_out)) EndExchange();
}

void Connection::RefuseMalformed() { RespondAndClose(parser_.error_status()); }

// The rest would come too late.
void Connection::RefusePartial() { RespondAndClose(kServiceUnavailable); }

void Connection::RefuseForMemory() {
  ++server_->overload.counts.refused_for_memory;
  server_->overload.Report(server_->memory->used(), server_->connections.size());
  ++server_->unanswered;  // until SendComplete has answered it
  keep_alive_ = false;
  SendComplete(kServiceUnavailable, {{"Retry-After", kMemoryRetryAfter}}, "");
}

// ---------------------------------------------------------------- writing

bool Connection::Awaits(const ClientExchange* exchange) const {
  return phase_ == Phase::kBusy && current_ == exchange;
}

bool Connection::Send(std::string_view bytes) {
  if (unsent() == 0) progress_at_ = Now();
  if (stream_->Write(bytes)) {
    charge_.Set(parser_.HeldBytes() + unsent());
    return true;
  }
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
  const bool chunked = !old_version_ && server_->options.chunked_streams;
  framing_ = chunked ? Framing::kChunked : Framing::kToClose;
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
  if (MayEndWithConnection()) stream_->ResetOnClose();
  Remove();
}

void Connection::AnswerDone() {
  current_ = nullptr;
  --server_->unanswered;
  if (phase_ == Phase::kClosed) return;
  stream_->ResumeReading();
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
  std::vector<http::Header> headers;
  if (status == kServiceUnavailable) headers.push_back({"Retry-After", kMemoryRetryAfter});
  if (Send(WriteHead(status, headers, Framing::kLength, 0, notice))) CloseGently();
  RenewParser();  // it holds what has come of the request
  charge_.Set(unsent());
}

void Connection::EndExchange() {
  ClientExchange* const exchange = current_;
  exchange->OnServerShutdown();
  if (!Awaits(exchange)) return;
  if (exchange->streaming()) {
    if (MayEndWithConnection()) stream_->ResetOnClose();
    return Drop();
  }
  SendComplete(kGatewayTimeout, {}, "");
  exchange->ClientGone();  // its handler is to do nothing more for it
}

}  // namespace pearreach::http_server
