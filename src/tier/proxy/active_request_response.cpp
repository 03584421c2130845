// The part of ActiveRequest that forwards responses to the sink.
#include <utility>

#include "tier/proxy/active_request.h"
#include "tier/proxy/worker_request.h"

namespace pearreach::proxy {
namespace {

using dispatch::Outcome;

// Period at which progress of a stream is reported to the dispatcher.
constexpr Micros kProgressReportPeriod = 2 * kSecond;
// Client backlog in bytes above which reading from the worker is paused. One read may exceed it.
constexpr std::size_t kMaxBacklog = 64 << 10;

}  // namespace

void ActiveRequest::ForwardResponse(ResponseHead head, const std::string& body) {
  const auto self = shared_from_this();
  const std::shared_ptr<RequestSink> sink = sink_;
  sink->OnHead(head.status, EndToEndHeaders(std::move(head.headers)));
  if (!ended_ && !body.empty()) sink->OnBody(body);
  RequestResult result;
  result.end = RequestEnd::kComplete;
  result.worker_status = worker_status_;
  End(result);
}

// The head of a stream is forwarded with its first event: until then a retry on another worker can
// still provide both.
void ActiveRequest::OnStreamHead(const ResponseHead& head) {
  // The load was measured just now, at the start of the stream, so the dispatcher gets it at once.
  if (const auto load = ReadWorkerLoad(head)) {
    pool_->workers.RecordLoad(worker_, *load);
    if (host_->policy().told_load) pool_->dispatcher.OnLoadReport(worker_, *load);
  }
  worker_status_ = head.status;
  if (!retries_.head_forwarded()) head_ = head;
}

void ActiveRequest::ForwardHead() {
  if (retries_.head_forwarded()) return;
  retries_.OnHeadForwarded();
  sink_->OnHead(head_->status, EndToEndHeaders(std::move(head_->headers)));
  head_.reset();
}

void ActiveRequest::ForwardBytes(std::string_view bytes) {
  if (bytes.empty() || ended_) return;
  ForwardHead();
  if (!ended_) sink_->OnBody(bytes);
}

void ActiveRequest::OnStreamBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  events_.Append(bytes);
  if (!ForwardEvents()) return BreakStream();
  if (!ended_ && sink_->backlog() > kMaxBacklog) PauseReading();
}

// Pauses only this response. The worker and its other requests are not affected.
void ActiveRequest::PauseReading() {
  if (attempt_ == nullptr || std::exchange(paused_, true)) return;
  attempt_->PauseReading();
  ArmTimeout(0);
}

void ActiveRequest::Resume() {
  if (!std::exchange(paused_, false)) return;
  timers_->Cancel(&timeout_timer_);
  last_event_at_ = Now();
  ReportProgress();
  if (attempt_ == nullptr) return;
  if (retries_.MayLeaveWorker()) ArmTimeout(ResponseTimeLimit());
  attempt_->ResumeReading();
}

void ActiveRequest::ReportProgress() {
  progress_reported_at_ = Now();
  if (placement_ != 0) pool_->dispatcher.OnProgress(placement_);
}

// Forwards complete events without duplicates or gaps; adjacent events go out as one piece. False:
// there is a gap between the worker's events and the last forwarded one.
bool ActiveRequest::ForwardEvents() {
  std::string_view adjacent;
  StreamEvent event;
  bool in_sequence = true;
  while (events_.Next(&event)) {
    const bool counts_as_progress = event.id.has_value() || !spec_.resumable;
    if (counts_as_progress) last_event_at_ = Now();
    if (event.id && spec_.resumable) {
      if (*event.id <= last_event_id_) continue;
      in_sequence = last_event_id_ == 0 || *event.id == last_event_id_ + 1;
      if (!in_sequence) break;
    }
    if (event.id) last_event_id_ = *event.id;
    const bool is_adjacent =
        !adjacent.empty() && adjacent.data() + adjacent.size() == event.bytes.data();
    if (!is_adjacent) ForwardBytes(adjacent);
    adjacent = is_adjacent ? std::string_view(adjacent.data(), adjacent.size() + event.bytes.size())
                           : event.bytes;
  }
  if (last_event_at_ != 0) admission_.LeaveGate();  // the prompt has been processed
  if (last_event_at_ != 0) EndPrefill();
  if (last_event_at_ != 0 && placement_ != 0) {
    pool_->dispatcher.OnResponseBegun(placement_);
    if (last_event_at_ - progress_reported_at_ >= kProgressReportPeriod) ReportProgress();
  }
  ForwardBytes(adjacent);
  return in_sequence;
}

void ActiveRequest::BreakStream() {
  retries_.OnMayHaveRun();
  AbandonAttempt(Outcome::kError);
  RetryAfterRun();
}

// A stream that ends with its connection, inside an event, has been cut off by the worker's end: as
// after a reset, the rest is dropped. Between two events it can't be told from a whole one.
void ActiveRequest::OnStreamEnd(bool ended_by_close) {
  retries_.OnMayHaveRun();
  if (ended_by_close && events_.InsideEvent()) {
    EndPlacement(Outcome::kReset);
    return RetryAfterRun();
  }
  EndPlacement(Outcome::kGood);
  const std::shared_ptr<RequestSink> sink = sink_;
  ForwardHead();
  // What follows the last complete event is a part of the body as well.
  if (!ended_) ForwardBytes(events_.Rest());
  RequestResult result;
  result.end = RequestEnd::kComplete;
  result.worker_status = worker_status_;
  End(result);
}

}  // namespace pearreach::proxy
