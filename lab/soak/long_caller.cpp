#include "lab/soak/long_caller.h"

#include <fmt/format.h>

#include <utility>

#include "lab/soak/faults.h"

namespace pearreach::soak {
namespace {

constexpr Microseconds kEventPause = 20 * kMillisecond;  // of a stand-in worker's streams
constexpr Microseconds kStreamDeadline = 11 * kSecond, kWorkDeadline = 6 * kSecond;
constexpr Microseconds kHeldFor = 9 * kSecond, kItemLength = 12 * kSecond;
constexpr Microseconds kReconnect = 100 * kMillisecond;
constexpr int kPipelinedRequests = 3, kControlCalls = 20;
constexpr std::size_t kBodyBytes = 40'000;  // more than a head may have

std::string Milliseconds(Microseconds time) { return fmt::format("{}", time / kMillisecond); }

}  // namespace

HttpRequest OneItemBatchJob(const std::string& id, const std::string& key, Microseconds length) {
  HttpRequest request{"POST", "/lots-in/1", {}, ""};
  request.headers = {{"X-Attempt-Id", id}, {"Authorization", "Token " + key}};
  request.body = fmt::format(
      R"({{"entries":[{{"worker_id":"{0}-item","path":"/stream/{0}","headers":{{"X-Model":"m","X-Token-Count":"4,{1}"}},"payload":"cHJvbXB0","tokens":7}}]}})",
      id, length / kEventPause);
  return request;
}

LongCaller::LongCaller(const LongCallerOptions& options, RequestLog* log)
    : options_(options), log_(log), random_(options.seed) {}

void LongCaller::Run(const std::atomic<bool>& stops) {
  while (!stops) {
    CallOnce();
    ++calls_;
    SleepFor(kReconnect);
  }
}

void LongCaller::CallOnce() {
  switch (options_.form) {
    case RequestForm::kAlone:
    case RequestForm::kAfterStream:
      return StreamThenRequest();
    case RequestForm::kHeldRead:
      return HeldRead();
    case RequestForm::kInPieces:
      return InPieces();
    case RequestForm::kPipelined:
      return Pipelined();
    case RequestForm::kKeptControl:
      return KeptControl();
  }
}

void LongCaller::StreamThenRequest() {
  HttpConnection connection(options_.node->ip(), kEdgePort);
  if (!connection.Connect()) return;
  const std::string stream = NextId(), work = NextId();
  SentRequest sent = Begin(stream, RequestKind::kStreamed, RequestForm::kAlone);
  sent.deadline = kStreamDeadline;
  Ask(&connection, Stream(stream, DrawLength()), std::move(sent));
  if (!connection.open()) return;
  sent = Begin(work, RequestKind::kEffectful, RequestForm::kAfterStream);
  sent.deadline = kWorkDeadline;
  Ask(&connection, Work(work, Draw(100, 4500) * kMillisecond, kWorkDeadline), std::move(sent));
}

void LongCaller::HeldRead() {
  const std::string id = NextId();
  HttpConnection connection(options_.node->ip(), kEdgePort);
  const HttpRequest submit = OneItemBatchJob(id, options_.key, kItemLength);
  SentRequest sent = Begin(id, RequestKind::kBatch, RequestForm::kAlone);
  sent.items = {id + "-item"};
  sent.sent_at = Now();
  const HttpAnswer answer = connection.Ask(submit);
  End(answer, std::move(sent));
  if (answer.status != 202) return;
  HttpConnection fresh(options_.node->ip(), kEdgePort);
  HttpRequest read{"GET", fmt::format("/lots/{}?start_after=0", id), {}, ""};
  read.headers = {{"Authorization", "Token " + options_.key},
                  {"X-Wait-Ms", Milliseconds(kHeldFor)}};
  Ask(&fresh, read, Begin(NextId(), RequestKind::kRead, RequestForm::kHeldRead));
  HttpConnection last(options_.node->ip(), kEdgePort);
  HttpRequest cancel{"DELETE", "/lots/" + id, {}, ""};
  cancel.headers = {{"Authorization", "Token " + options_.key}};
  Ask(&last, cancel, Begin(NextId(), RequestKind::kRead, RequestForm::kAlone));
}

void LongCaller::InPieces() {
  HttpConnection connection(options_.node->ip(), kEdgePort);
  if (!connection.Connect()) return;
  const std::string id = NextId();
  HttpRequest request = Work(id, 0, kWorkDeadline);
  request.body.assign(kBodyBytes, 'b');
  const std::string bytes = BytesOf(request);
  SentRequest sent = Begin(id, RequestKind::kEffectful, RequestForm::kInPieces);
  sent.deadline = kWorkDeadline;
  const std::size_t half = bytes.size() - kBodyBytes / 2;
  if (!connection.Send(bytes.substr(0, half))) return;
  const Microseconds until = Now() + DrawLength();
  // A byte at a time, so that the server does not take it for one that has stopped.
  std::size_t place = half;
  while (Now() < until && place + 1 < bytes.size()) {
    SleepFor(kReconnect);
    if (connection.Send(bytes.substr(place++, 1))) continue;
    log_->Count(fmt::format("body cut off {}", connection.ReadAnswer().status));
    return;
  }
  sent.sent_at = Now();
  sent.sent = connection.Send(bytes.substr(place));
  End(connection.ReadAnswer(), std::move(sent));
}

void LongCaller::Pipelined() {
  HttpConnection connection(options_.node->ip(), kEdgePort);
  if (!connection.Connect()) return;
  std::string bytes;
  std::vector<SentRequest> sent;
  for (int place = 0; place < kPipelinedRequests; ++place) {
    const std::string id = NextId();
    const Microseconds work = place == 0 ? DrawLength() : Draw(0, 500) * kMillisecond;
    bytes += BytesOf(Work(id, work, kWorkDeadline));
    sent.push_back(Begin(id, RequestKind::kEffectful, RequestForm::kPipelined));
    sent.back().deadline = kWorkDeadline;
    sent.back().sent_at = Now();
  }
  const bool whole = connection.Send(bytes);
  for (SentRequest& each : sent) {
    each.sent = whole;
    // Behind an answer that says that the connection ends with it, no answer is owed.
    End(connection.open() ? connection.ReadAnswer() : HttpAnswer(), std::move(each));
  }
}

void LongCaller::KeptControl() {
  HttpConnection connection(options_.node->ip(), kControlPort);
  for (int call = 0; call < kControlCalls; ++call) {
    if (!connection.Connect()) return;
    Ask(&connection, {"GET", "/Config.Read", {}, ""},
        Begin(NextId(), RequestKind::kControl, RequestForm::kKeptControl));
    SleepFor(Draw(1, 50) * kMillisecond);
  }
}

HttpRequest LongCaller::Post(const std::string& path, const std::string& id,
                             Microseconds deadline) const {
  HttpRequest request{"POST", path, {}, "some text"};
  request.headers = {{"X-Attempt-Id", id}, {"Authorization", "Token " + options_.key}};
  if (deadline > 0) request.headers.emplace_back("X-Deadline-Ms", Milliseconds(deadline));
  return request;
}

HttpRequest LongCaller::Stream(const std::string& id, Microseconds length) const {
  HttpRequest request = Post("/stream/1", id, kStreamDeadline);
  request.headers.emplace_back("X-Model", "m");
  request.headers.emplace_back("X-Token-Count", fmt::format("12,{}", length / kEventPause));
  request.headers.emplace_back("X-Prompt-Prefix", "5c1e:12");
  return request;
}

HttpRequest LongCaller::Work(const std::string& id, Microseconds work,
                             Microseconds deadline) const {
  HttpRequest request = Post("/effect/1", id, deadline);
  if (work > 0) request.headers.emplace_back("X-Work-Ms", Milliseconds(work));
  return request;
}

SentRequest LongCaller::Begin(const std::string& id, RequestKind kind, RequestForm form) const {
  SentRequest sent;
  sent.attempt_id = id;
  sent.key = options_.key;
  sent.kind = kind;
  sent.form = form;
  sent.node = options_.node;
  return sent;
}

void LongCaller::Ask(HttpConnection* connection, const HttpRequest& request, SentRequest sent) {
  if (!connection->Connect()) return;
  sent.sent_at = Now();
  End(connection->Ask(request), std::move(sent));
}

void LongCaller::End(const HttpAnswer& answer, SentRequest sent) {
  sent.SetAnswer(answer);
  log_->Add(std::move(sent));
}

Microseconds LongCaller::DrawLength() {
  const Microseconds grace = options_.node->grace();
  if (calls_ == 0) return kFirstFault + grace * 2 / 5;
  return Draw(200, static_cast<int>((kFirstFault + grace) / kMillisecond)) * kMillisecond;
}

int LongCaller::Draw(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random_);
}

std::string LongCaller::NextId() { return fmt::format("{}-{}", options_.name, ++ids_); }

}  // namespace pearreach::soak
