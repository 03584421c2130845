// The phases of a connection, its deadlines and its end.
#include <algorithm>
#include <utility>

#include "tier/http_server/client_exchange.h"
#include "tier/http_server/connection.h"

namespace pearreach::http_server {
namespace {

constexpr Micros kCloseWait = 2 * kSecond;  // for a peer to close after its last answer
constexpr Micros kRecheck = 10 * kMs;       // bytes wait unread: they are to be read first

}  // namespace

void Connection::EnterWaiting(Micros limit) {
  phase_ = Phase::kWaiting;
  request_bytes_ = 0;
  last_look_ = false;
  waiting_since_ = Now();
  unsent_before_ = stream_->unsent();
  if (!in_waiting_) {
    waiting_at_ = server_->waiting.insert(server_->waiting.end(), this);
    in_waiting_ = true;
  }
  // A stream that began before the drain has not told that its connection ends.
  if (server_->draining) limit = std::min(limit, server_->linger);
  SetDeadline(waiting_since_ + limit);
}

void Connection::EnterReading() {
  LeaveWaiting();
  phase_ = Phase::kReading;
  last_look_ = false;
  request_bytes_ = parser_.MessageBytes();
  progress_bytes_ = request_bytes_;
  progress_at_ = Now();
  SetDeadline(Now() + server_->options.header_wait);
}

void Connection::LeaveWaiting() {
  if (!in_waiting_) return;
  server_->waiting.erase(waiting_at_);
  in_waiting_ = false;
}

void Connection::OnDrain() {
  if (phase_ == Phase::kWaiting) SetDeadline(std::min(deadline_, Now() + server_->linger));
}

void Connection::Shutdown() {
  const auto self = shared_from_this();
  switch (phase_) {
    case Phase::kWaiting:
      if (stream_->unsent() > 0) return CloseGently();
      SetDeadline(Now());  // bytes that have come meanwhile are read first
      return;
    case Phase::kReading:
      return RefusePartial();
    case Phase::kBusy:
      return EndExchange();
    case Phase::kClosing:
    case Phase::kClosed:
      return;
  }
}

bool Connection::OwesAnswer() const {
  if (phase_ == Phase::kClosed) return false;
  return phase_ == Phase::kBusy || phase_ == Phase::kReading || unsent() > 0;
}

bool Connection::IdleFor(Micros idle) const {
  return phase_ == Phase::kWaiting && Now() - waiting_since_ >= idle && stream_->unsent() == 0 &&
         stream_->Quiet();
}

std::size_t Connection::ReclaimableBytes() const {
  switch (phase_) {
    case Phase::kReading:
      return charge_.bytes();
    case Phase::kWaiting:
    case Phase::kClosing:
      return unsent();
    case Phase::kBusy:
    case Phase::kClosed:
      return 0;
  }
  return 0;
}

Micros Connection::StalledFor() const { return Now() - progress_at_; }

void Connection::ReclaimMemory() {
  const auto self = shared_from_this();
  const bool in_request = phase_ == Phase::kReading;
  OverloadCounts& counts = server_->overload.counts;
  ++(in_request ? counts.closed_for_memory : counts.closed_slow_readers);
  server_->overload.Report(server_->memory->used(), server_->connections.size());
  if (in_request)
    RefusePartial();
  else
    Drop();
}

bool Connection::CloseIfStalled(Micros stalled, Micros answered) {
  const auto self = shared_from_this();
  const bool is_sent = unsent() == 0;
  if (phase_ == Phase::kClosing && is_sent && Now() - closing_since_ >= answered) {
    Drop();
    return true;
  }
  if (phase_ != Phase::kReading || StalledFor() < stalled || !stream_->Quiet()) return false;
  ++server_->overload.counts.closed_for_connections;
  server_->overload.Report(server_->memory->used(), server_->connections.size());
  RefusePartial();
  return true;
}

void Connection::CloseGently() {
  LeaveWaiting();
  phase_ = Phase::kClosing;
  closing_since_ = Now();
  unsent_before_ = stream_->unsent();
  SetDeadline(Now() + kCloseWait);
  stream_->CloseAfterWrite();
}

void Connection::Drop() {
  const auto self = shared_from_this();
  stream_->Close();
  Ended();
}

void Connection::Ended() {
  const auto self = shared_from_this();
  phase_ = Phase::kClosed;
  ClientExchange* exchange = std::exchange(current_, nullptr);
  if (exchange != nullptr) --server_->unanswered;
  Remove();
  if (exchange != nullptr) exchange->ClientGone();
}

void Connection::Remove() {
  phase_ = Phase::kClosed;
  deadline_ = 0;
  head_.clear();
  charge_.Set(0);
  LeaveWaiting();
  server_->timers->Cancel(&timer_);
  server_->timers->Cancel(&deferred_);
  stream_->Close();
  const auto state = server_;
  const auto found = state->connections.find(this);
  if (found == state->connections.end()) return;
  const auto self = std::move(found->second);
  state->connections.erase(found);
  if (state->on_removed) state->on_removed();
}

void Connection::Defer(void (Connection::*step)()) {
  server_->timers->Cancel(&deferred_);
  const std::weak_ptr<Connection> weak = weak_from_this();
  deferred_ = server_->timers->After(0, [weak, step] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->deferred_ = 0;
    (self.get()->*step)();
  });
}

// The timer is left where it rings sooner than needed, and set anew then: most deadlines move on
// before they come.
void Connection::SetDeadline(Micros at) {
  deadline_ = at;
  if (timer_ != 0 && timer_at_ <= at) return;
  server_->timers->Cancel(&timer_);
  timer_at_ = at;
  const std::weak_ptr<Connection> weak = weak_from_this();
  timer_ = server_->timers->After(at - Now(), [weak] {
    if (const auto self = weak.lock()) self->OnTimer();
  });
}

void Connection::OnTimer() {
  timer_ = 0;
  if (deadline_ == 0) return;
  if (Now() < deadline_)
    SetDeadline(deadline_);
  else
    OnDeadline();
}

void Connection::OnDeadline() {
  switch (phase_) {
    case Phase::kWaiting:
      if (ExtendWhileSending(server_->options.idle)) return;
      // Bytes that wait are read first, as after a pause of the process.
      if (stream_->Quiet())
        Drop();
      else
        SetDeadline(Now() + kRecheck);
      return;
    case Phase::kReading:
      if (!last_look_ && !stream_->Quiet()) {
        last_look_ = true;
        SetDeadline(Now() + kRecheck);
      } else {
        RespondAndClose(408);
      }
      return;
    case Phase::kClosing:
      if (!ExtendWhileSending(kCloseWait)) Drop();
      return;
    case Phase::kBusy:
    case Phase::kClosed:
      return;
  }
}

// A peer that takes bytes, however slowly, is not idle.
bool Connection::ExtendWhileSending(Micros by) {
  const std::size_t unsent = stream_->unsent();
  if (unsent == 0 || unsent >= unsent_before_) return false;
  unsent_before_ = unsent;
  progress_at_ = Now();
  SetDeadline(Now() + by);
  return true;
}

}  // namespace pearreach::http_server
