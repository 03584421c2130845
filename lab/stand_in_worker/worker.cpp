#include "lab/stand_in_worker/worker.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <chrono>
#include <utility>
#include <vector>

namespace pearreach::stand_in {
namespace {

constexpr int kNoId = 400, kOtherWorker = 421, kFull = 503;

std::string HeaderOf(const http::Message& request, std::string_view name) {
  const std::string* value = request.Find(name);
  return value == nullptr ? "" : *value;
}

// The events that a request asks for: the second number of X-Token-Count.
std::uint64_t EventsOf(const http::Message& request, std::uint64_t otherwise) {
  const std::string tokens = HeaderOf(request, "X-Token-Count");
  const std::size_t comma = tokens.find(',');
  std::uint64_t events = 0;
  if (comma == std::string::npos || !absl::SimpleAtoi(tokens.substr(comma + 1), &events))
    return otherwise;
  return events;
}

// How long a plain answer takes, where the request says so in X-Work-Ms.
Micros WorkOf(const http::Message& request, Micros otherwise) {
  std::int64_t work_ms = 0;
  return absl::SimpleAtoi(HeaderOf(request, "X-Work-Ms"), &work_ms) ? work_ms * kMs : otherwise;
}

std::string EventText(std::uint64_t id) { return fmt::format("id: {0}\ndata: token {0}\n\n", id); }

std::uint64_t LastEventOf(const http::Message& request) {
  std::uint64_t last = 0;
  return absl::SimpleAtoi(HeaderOf(request, "Last-Event-Id"), &last) ? last : 0;
}

}  // namespace

struct Worker::Run {
  std::shared_ptr<http_server::Exchange> exchange;
  std::vector<http::Header> headers;
  std::uint64_t last_event = 0;  // sent, or had by the client before
  std::uint64_t events = 0;      // up to which id; 0: a plain answer
  std::string piece;             // of the last event begun, what is still to be sent
  Timers::Id wait = 0;
  bool ended = false;
};

Worker::Worker(Timers* timers, WorkerOptions options)
    : timers_(timers), options_(std::move(options)) {
  if (!options_.record_path.empty()) record_.open(options_.record_path, std::ios::app);
}

void Worker::Handle(std::shared_ptr<http_server::Exchange> exchange) {
  const http::Message& request = exchange->request();
  if (request.method == "GET" && request.target == options_.health_path)
    return AnswerHealth(exchange.get());
  if (Refuses(exchange.get())) return;
  BeginRun(std::move(exchange));
}

void Worker::AnswerHealth(http_server::Exchange* exchange) const {
  exchange->Respond(draining_ ? kFull : 200, {{"X-Worker-Id", options_.worker_id}}, "");
}

bool Worker::Refuses(http_server::Exchange* exchange) const {
  const http::Message& request = exchange->request();
  const std::string wanted = HeaderOf(request, "X-Target-Worker");
  int status = 0;
  if (HeaderOf(request, "X-Attempt-Id").empty())
    status = kNoId;
  else if (!wanted.empty() && wanted != options_.worker_id)
    status = kOtherWorker;
  else if (running_ >= options_.capacity)
    status = kFull;
  if (status == 0) return false;
  exchange->Respond(status,
                    {{"X-Not-Run", "1"},
                     {"X-Worker-Id", options_.worker_id},
                     {"X-Attempt-Id", HeaderOf(request, "X-Attempt-Id")}},
                    "");
  return true;
}

void Worker::BeginRun(std::shared_ptr<http_server::Exchange> exchange) {
  const http::Message& request = exchange->request();
  if (record_.is_open()) Record(request);
  auto run = std::make_shared<Run>();
  run->exchange = std::move(exchange);
  run->headers = {{"X-Attempt-Id", HeaderOf(request, "X-Attempt-Id")},
                  {"X-Seal", fmt::format("{}.{}", options_.worker_id, ++runs_)},
                  {"X-Worker-Load", fmt::format("{},0,{}", ++running_, options_.capacity)}};
  run->exchange->OnClosed([this, held = std::weak_ptr<Run>(run)] {
    if (const std::shared_ptr<Run> left = held.lock()) End(left);
  });
  if (request.Find("X-Token-Count") == nullptr)
    return After(run, WorkOf(request, options_.event_pause), &Worker::AnswerPlain);
  run->last_event = LastEventOf(request);
  run->events = EventsOf(request, options_.default_events);
  run->headers.push_back({"Content-Type", "text/event-stream"});
  run->exchange->BeginStream(200, run->headers);
  if (options_.splits_events) return SendPieces(run);
  After(run, options_.event_pause, &Worker::SendEvent);
}

void Worker::Record(const http::Message& request) {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  const auto or_dash = [&request](std::string_view name) {
    const std::string value = HeaderOf(request, name);
    return value.empty() ? std::string("-") : value;
  };
  const bool authorized = request.Find("Authorization") != nullptr;
  record_ << fmt::format(
      "{} {} {} {} {}\n", std::chrono::duration_cast<std::chrono::microseconds>(now).count(),
      or_dash("X-Attempt-Id"), or_dash("X-Tenant"), authorized ? 1 : 0, request.target);
  record_.flush();  // a line counts also when the process is killed right after it
}

void Worker::AnswerPlain(const std::shared_ptr<Run>& run) {
  run->exchange->Respond(200, run->headers,
                         fmt::format("{} has read {} bytes\n", options_.worker_id,
                                     run->exchange->request().body.size()));
  End(run);
}

void Worker::SendEvent(const std::shared_ptr<Run>& run) {
  if (run->last_event < run->events) {
    ++run->last_event;
    run->exchange->Write(EventText(run->last_event));
  }
  if (run->last_event < run->events) return After(run, options_.event_pause, &Worker::SendEvent);
  run->exchange->Finish();
  End(run);
}

void Worker::SendPieces(const std::shared_ptr<Run>& run) {
  std::string bytes = std::exchange(run->piece, "");
  const bool is_last = run->last_event >= run->events;
  if (!is_last) {
    const std::string event = EventText(++run->last_event);
    bytes += event.substr(0, event.size() / 2);
    run->piece = event.substr(event.size() / 2);
  }
  run->exchange->Write(bytes);
  if (!is_last) return After(run, options_.event_pause, &Worker::SendPieces);
  run->exchange->Finish();
  End(run);
}

void Worker::After(const std::shared_ptr<Run>& run, Micros delay,
                   void (Worker::*step)(const std::shared_ptr<Run>&)) {
  run->wait = timers_->After(delay, [this, run, step] { (this->*step)(run); });
}

void Worker::End(const std::shared_ptr<Run>& run) {
  if (std::exchange(run->ended, true)) return;
  timers_->Cancel(&run->wait);
  --running_;
}

}  // namespace pearreach::stand_in
