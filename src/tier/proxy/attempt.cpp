#include "tier/proxy/attempt.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace pearreach::proxy {
namespace {

constexpr Micros kConnectTimeout = 300 * kMs;  // limit for establishing a connection
// Responses to earlier requests that are skipped on one connection.
constexpr int kMaxSurplusResponses = 4;
constexpr std::size_t kMaxBufferedBytes = 32 << 20;
// Upper bound of the body bytes that are buffered for a worker that reads slowly.
constexpr std::size_t kBodyChunkBytes = 64 << 10;
// A worker's idle timer starts earlier than the one of this node.
constexpr Micros kKeepAliveMargin = 500 * kMs;

bool IsEventStream(const ResponseHead& head) {
  const std::string* type = head.Find("Content-Type");
  if (type == nullptr) return false;
  std::string_view name = *type;
  name = name.substr(0, name.find(';'));
  while (name.ends_with(' ')) name.remove_suffix(1);
  return http::SameName(name, "text/event-stream");
}

// Time for which the connection can be reused: the worker's keep-alive timeout minus a margin.
Micros KeepAliveTime(const ResponseHead& head) {
  if (!head.keep_alive) return 0;
  const std::string* keep_alive = head.Find("Keep-Alive");
  const std::size_t at = keep_alive == nullptr ? std::string::npos : keep_alive->find("timeout=");
  if (at == std::string::npos) return kMaxIdleTime;
  const char* begin = keep_alive->data() + at + std::string_view("timeout=").size();
  Micros seconds = 0;
  const auto read = std::from_chars(begin, keep_alive->data() + keep_alive->size(), seconds);
  if (read.ec != std::errc()) return kMaxIdleTime;
  return std::clamp<Micros>(seconds, 0, kMaxIdleTime / kSecond + 1) * kSecond - kKeepAliveMargin;
}

}  // namespace

Attempt::Attempt(Timers* timers, std::shared_ptr<WorkerConnections> connections,
                 AttemptRequest request, AttemptListener* listener)
    : timers_(timers),
      connections_(std::move(connections)),
      request_(std::move(request)),
      listener_(listener),
      reader_(this) {}

Attempt::~Attempt() { Cancel(); }

void Attempt::Start() { Connect(request_.idempotent ? Freshness::kAny : Freshness::kPreferNew); }

void Attempt::Cancel() {
  listener_ = nullptr;
  DropConnection();
}

void Attempt::Connect(Freshness freshness) {
  connection_ =
      connections_->Acquire(this, {request_.attempt_id, freshness, request_.connection_limit});
  if (connection_ == nullptr) {
    result_.connections_used_up = true;
    return Fail();
  }
  if (connection_->connected()) return Send();
  connect_timer_ = timers_->After(kConnectTimeout, [this] {
    connect_timer_ = 0;
    const auto self = shared_from_this();
    Fail();
  });
}

void Attempt::OnConnected() {
  timers_->Cancel(&connect_timer_);
  Send();
}

void Attempt::Send() {
  const auto self = shared_from_this();
  reader_.Start(request_.bodiless);
  body_sent_ = 0;
  std::string first = request_.head;
  first.append(NextChunk());
  connection_->RecordRequest(request_.attempt_id);
  if (connection_->stream().Write(first)) {
    written_ = true;
    if (!SendBody()) Fail();
    return;
  }
  written_ = connection_->stream().unsent() < first.size();
  const bool was_idle = connection_->used_before();
  if (written_ || !was_idle) return Fail();
  // The worker had closed the idle connection and nothing was written, so another connection is
  // safe.
  connections_->CloseIdle();
  DropConnection();
  Connect(Freshness::kPreferNew);
}

std::string_view Attempt::NextChunk() {
  if (request_.body == nullptr) return {};
  const std::string_view piece =
      std::string_view(*request_.body).substr(body_sent_, kBodyChunkBytes);
  body_sent_ += piece.size();
  return piece;
}

bool Attempt::IsCompletelySent() const {
  return request_.body == nullptr || body_sent_ == request_.body->size();
}

// Writes chunks of the body until the connection has to buffer. False: the connection failed.
bool Attempt::SendBody() {
  while (!IsCompletelySent() && connection_->stream().unsent() == 0)
    if (!connection_->stream().Write(NextChunk())) return false;
  return true;
}

void Attempt::OnConnectionDrained() {
  const auto self = shared_from_this();
  if (written_ && !SendBody()) Fail();
}

void Attempt::PauseReading() {
  if (connection_ != nullptr) connection_->stream().PauseReading();
}

void Attempt::ResumeReading() {
  if (connection_ != nullptr) connection_->stream().ResumeReading();
}

std::size_t Attempt::unsent() const {
  return connection_ == nullptr ? 0 : connection_->stream().unsent();
}

void Attempt::OnConnectionData(std::string_view bytes) {
  const auto self = shared_from_this();
  response_begun_ = true;
  for (;;) {
    const ResponseReader::Status status = reader_.Feed(&bytes);
    if (status == ResponseReader::Status::kMore || status == ResponseReader::Status::kStopped)
      return;
    if (status == ResponseReader::Status::kBad) return Fail();
    if (!skipping_surplus_) return FinishResponse(bytes);
    skipping_surplus_ = false;
    if (++surplus_count_ > kMaxSurplusResponses) return Fail();
    reader_.Start(request_.bodiless);
    if (bytes.empty()) return;
  }
}

void Attempt::OnConnectionClosed(bool orderly) {
  const auto self = shared_from_this();
  const bool is_answered =
      written_ && !skipping_surplus_ && reader_.End(orderly) == ResponseReader::Status::kDone;
  if (!is_answered) return Fail();
  result_.ended_by_close = true;
  FinishResponse({});
}

bool Attempt::OnResponseHead(ResponseHead head) {
  const std::string* id = head.Find("X-Attempt-Id");
  skipping_surplus_ = id == nullptr || *id != request_.attempt_id;
  if (skipping_surplus_) return true;
  const bool is_sealed_success = head.status / 100 == 2 && head.Find("X-Seal") != nullptr;
  result_.forwarded = request_.streamed && is_sealed_success && IsEventStream(head);
  result_.head = std::move(head);
  if (result_.forwarded) listener_->OnStreamHead(result_.head);
  return listener_ != nullptr;
}

bool Attempt::OnResponseBody(std::string_view bytes) {
  if (skipping_surplus_) return true;
  if (result_.forwarded) {
    listener_->OnStreamBytes(bytes);
    return listener_ != nullptr;
  }
  if (result_.body.size() + bytes.size() > kMaxBufferedBytes) {
    Fail();
    return false;
  }
  result_.body.append(bytes);
  return true;
}

// Ends the attempt with a complete response. The connection is not reused if it has unread bytes or
// carried a surplus response.
void Attempt::FinishResponse(std::string_view rest) {
  // The rest of an incompletely sent request would be parsed as part of the next request.
  const bool trusted = rest.empty() && surplus_count_ == 0 && connection_->stream().open() &&
                       IsCompletelySent() && connection_->stream().unsent() == 0;
  const Micros keep_for = trusted ? KeepAliveTime(result_.head) : 0;
  connection_->stream().ResumeReading();
  connections_->Release(std::exchange(connection_, nullptr), keep_for);
  result_.end = AttemptEnd::kAnswered;
  End(std::move(result_));
}

void Attempt::Fail() {
  const bool forwarded = result_.forwarded;
  AttemptResult result;
  result.end = written_ ? AttemptEnd::kLost : AttemptEnd::kNoConnection;
  result.connections_used_up = result_.connections_used_up;
  result.forwarded = forwarded;
  DropConnection();
  End(std::move(result));
}

void Attempt::End(AttemptResult result) {
  timers_->Cancel(&connect_timer_);
  AttemptListener* listener = std::exchange(listener_, nullptr);
  if (listener != nullptr) listener->OnAttemptEnd(std::move(result));
}

void Attempt::DropConnection() {
  timers_->Cancel(&connect_timer_);
  if (connection_ == nullptr) return;
  connections_->Drop(std::exchange(connection_, nullptr));
}

}  // namespace pearreach::proxy
