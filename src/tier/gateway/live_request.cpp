#include "tier/gateway/live_request.h"

#include <algorithm>
#include <utility>

#include "tier/gateway/header_filter.h"
#include "tier/gateway/local_replies.h"

namespace pearreach::gateway {
namespace {

// The runner ends a request at its deadline with an accurate result. This grace period covers
// requests that it fails to end.
constexpr Micros kRunnerGracePeriod = 20 * kMs;

constexpr int kOk = 200;

}  // namespace

LiveRequest::LiveRequest(LiveContext context, std::shared_ptr<http_server::Exchange> exchange)
    : context_(std::move(context)), exchange_(std::move(exchange)) {}

void LiveRequest::Start(proxy::RequestSpec spec) {
  attempt_id_ = spec.attempt_id;
  streamed_ = spec.streamed;
  const Micros deadline = spec.deadline;
  const std::weak_ptr<LiveRequest> weak = weak_from_this();
  exchange_->OnClosed([weak] {
    if (const auto self = weak.lock()) self->OnClientDisconnected();
  });
  exchange_->OnShutdown([weak] {
    if (const auto self = weak.lock()) self->OnServerShutdown();
  });
  exchange_->OnDrained([weak] {
    const auto self = weak.lock();
    if (self != nullptr && self->submitted_) self->context_.runner->Resume(self->request_id_);
  });
  const std::uint64_t request_id = context_.runner->Submit(std::move(spec), shared_from_this());
  if (ended_) return;
  request_id_ = request_id;
  submitted_ = true;
  deadline_timer_ =
      context_.timers->After(deadline + kRunnerGracePeriod - Now(), [self = shared_from_this()] {
        self->deadline_timer_ = 0;
        self->OnDeadline();
      });
}

void LiveRequest::OnHead(int status, const std::vector<http::Header>& headers) {
  if (ended_ || status_ != 0) return;
  status_ = status;
  if (streamed_ && status == kOk) {
    streaming_ = true;
    exchange_->BeginStream(status, ResponseHeaders(headers));
  } else {
    headers_ = ResponseHeaders(headers);
  }
}

void LiveRequest::OnBody(std::string_view bytes) {
  if (ended_) return;
  if (streaming_)
    exchange_->Write(bytes);
  else
    body_.append(bytes);
}

void LiveRequest::OnEnd(const proxy::RequestResult& result) {
  const auto self = shared_from_this();
  if (!End()) return;
  if (result.end == proxy::RequestEnd::kComplete && status_ != 0)
    Complete();
  else
    RespondFailure(result);
  exchange_.reset();
}

std::size_t LiveRequest::backlog() const {
  return streaming_ && exchange_ != nullptr ? exchange_->unsent() : 0;
}

void LiveRequest::Complete() {
  if (streaming_) {
    ++context_.outcomes->complete;
    exchange_->Finish();
    return;
  }
  // The status would guarantee to the client that the request has not run, but a worker's refusal
  // guarantees this for that worker only.
  if (GuaranteesNotRun(status_)) {
    ++context_.outcomes->failed;
    RespondLocally(kBadGateway, LocalReplyHeaders(attempt_id_));
    return;
  }
  ++context_.outcomes->complete;
  exchange_->Respond(status_, std::move(headers_), body_);
}

void LiveRequest::RespondFailure(const proxy::RequestResult& result) {
  if (streaming_) {
    ++context_.outcomes->broken;
    exchange_->Abort();
    return;
  }
  switch (result.end) {
    case proxy::RequestEnd::kNotRun:
      ++context_.outcomes->not_run;
      RespondLocally(kUnavailable, RetryHeaders(attempt_id_, result.retry_after));
      return;
    case proxy::RequestEnd::kTimeout:
      ++context_.outcomes->timeout;
      RespondLocally(kGatewayTimeout, LocalReplyHeaders(attempt_id_));
      return;
    case proxy::RequestEnd::kComplete:  // without a head: there is no response to forward
    case proxy::RequestEnd::kFailed:
    case proxy::RequestEnd::kBroken:
      ++context_.outcomes->failed;
      RespondLocally(kBadGateway, LocalReplyHeaders(attempt_id_));
      return;
  }
}

void LiveRequest::RespondLocally(int status, std::vector<http::Header> headers) {
  exchange_->Respond(status, std::move(headers), "");
}

void LiveRequest::OnClientDisconnected() {
  const auto self = shared_from_this();
  if (!End()) return;
  ++context_.outcomes->client_gone;
  if (submitted_) context_.runner->Cancel(request_id_);
  exchange_.reset();
}

// The runner knows whether a worker may have run the request, so it decides on the answer.
void LiveRequest::OnServerShutdown() {
  if (submitted_ && !ended_) context_.runner->Terminate(request_id_);
}

void LiveRequest::OnDeadline() {
  const auto self = shared_from_this();
  if (!End()) return;
  context_.runner->Cancel(request_id_);
  proxy::RequestResult result;
  result.end = proxy::RequestEnd::kTimeout;
  RespondFailure(result);
  exchange_.reset();
}

bool LiveRequest::End() {
  if (ended_) return false;
  ended_ = true;
  context_.timers->Cancel(&deadline_timer_);
  return true;
}

}  // namespace pearreach::gateway
