// Test doubles for a RequestRunner: scripted workers on 127.0.0.1, a worker table and a control
// client in memory, and a sink that records its calls. Everything runs in the default main loop.
#ifndef PEARREACH_TESTS_TIER_PROXY_PROXY_RIG_H_
#define PEARREACH_TESTS_TIER_PROXY_PROXY_RIG_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/event_loop/timers.h"
#include "tier/proxy/request_runner.h"

namespace pearreach::proxy {

constexpr Micros kWaitLimit = 10 * kSecond;  // time for which a test waits for an expected event

// Runs the main loop until `done` returns true or the time limit is over. Returns `done()`.
inline bool RunUntil(const std::function<bool()>& done, Micros limit = kWaitLimit) {
  const Micros end = Now() + limit;
  Alarm alarm([] {});
  while (!done() && Now() < end) {
    alarm.Set(end);
    g_main_context_iteration(nullptr, TRUE);
  }
  return done();
}

inline void RunFor(Micros span) {
  RunUntil([] { return false; }, span);
}

// A scripted worker: records complete requests and runs one step of its script for each; the last
// step is repeated.
class ScriptedWorker {
 public:
  struct Call {
    http::Message request;
    std::shared_ptr<Stream> stream;
    int connection = 0;  // index of the connection, from 0
  };
  using Step = std::function<void(Call&)>;
  // Called with the head of an incomplete request; returns true if it has responded.
  using EarlyStep = std::function<bool(const std::string& head, Stream* stream)>;

  explicit ScriptedWorker(std::string id, std::vector<Step> steps)
      : id_(std::move(id)),
        steps_(std::move(steps)),
        listener_([this](std::shared_ptr<Stream> stream) { Accept(std::move(stream)); }) {
    open_error_ = listener_.Open("127.0.0.1:0");
  }
  ~ScriptedWorker() { CloseAll(); }

  registry::WorkerRecord Record() const {
    registry::WorkerRecord record;
    record.worker_id = id_;
    record.service = "svc";
    record.address = "127.0.0.1:" + std::to_string(listener_.port());
    record.zone = "here";
    record.capacity = 4;
    record.call_seq = 1;
    return record;
  }
  // A response of this step replaces the one of the script. The rest of the request is still read.
  void SetEarlyStep(EarlyStep step) { early_step_ = std::move(step); }
  int early_response_count() const { return early_response_count_; }
  void CloseAll() {
    for (auto& peer : peers_) peer->stream->Close();
  }

  const std::string& id() const { return id_; }
  std::vector<Call>& calls() { return calls_; }
  int connections() const { return static_cast<int>(peers_.size()); }
  int closed_by_peer() const { return closed_by_peer_; }

 private:
  struct Peer {
    std::shared_ptr<Stream> stream;
    http::Parser parser{http::Parser::Kind::kRequest, http::Limits{16 << 10, 100, 4 << 20}};
    std::string incomplete_request;  // received bytes of an incomplete request
    bool responded_early = false;
  };

  void Accept(std::shared_ptr<Stream> stream) {
    const int number = connections();
    peers_.push_back(std::make_unique<Peer>());
    Peer* peer = peers_.back().get();
    peer->stream = std::move(stream);
    Stream::Handlers handlers;
    handlers.data = [this, peer, number](std::string_view bytes) {
      peer->parser.Feed(bytes);
      peer->incomplete_request.append(bytes);
      while (peer->parser.Next() == http::Parser::State::kMessage) {
        calls_.push_back({peer->parser.Take(), peer->stream, number});
        Call call = calls_.back();
        peer->incomplete_request.clear();
        if (std::exchange(peer->responded_early, false)) continue;
        const std::size_t step = std::min(calls_.size(), steps_.size()) - 1;
        steps_[step](call);
      }
      TryEarlyStep(peer);
    };
    handlers.closed = [this] { ++closed_by_peer_; };
    peer->stream->Listen(std::move(handlers));
  }

  void TryEarlyStep(Peer* peer) {
    const std::size_t head = peer->incomplete_request.find("\r\n\r\n");
    if (!early_step_ || peer->responded_early || head == std::string::npos) return;
    peer->responded_early =
        early_step_(peer->incomplete_request.substr(0, head), peer->stream.get());
    early_response_count_ += peer->responded_early ? 1 : 0;
  }

  std::string id_, open_error_;
  std::vector<Step> steps_;
  EarlyStep early_step_;
  int early_response_count_ = 0;
  std::vector<std::unique_ptr<Peer>> peers_;
  std::vector<Call> calls_;
  int closed_by_peer_ = 0;
  Listener listener_;
};

// ---------------------------------------------------------------- script steps

inline std::string ResponseText(const std::string& id, int status, const std::string& headers,
                                const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Attempt-Id: " + id + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string IdOf(const ScriptedWorker::Call& call) {
  const std::string* id = call.request.Find("X-Attempt-Id");
  return id == nullptr ? "" : *id;
}

inline ScriptedWorker::Step Respond(int status, const std::string& headers,
                                    const std::string& body) {
  return [=](ScriptedWorker::Call& call) {
    call.stream->Write(ResponseText(IdOf(call), status, headers, body));
  };
}
inline ScriptedWorker::Step Success(const std::string& body) {
  return Respond(200, "X-Seal: s\r\n", body);
}
inline ScriptedWorker::Step NotRun(int status) {
  return Respond(status, "X-Not-Run: full\r\n", "");
}
inline ScriptedWorker::Step Bytes(const std::string& bytes, bool close) {
  return [=](ScriptedWorker::Call& call) {
    call.stream->Write(bytes);
    if (close) call.stream->CloseAfterWrite();
  };
}
inline ScriptedWorker::Step Close() {
  return [](ScriptedWorker::Call& call) { call.stream->Close(); };
}
inline ScriptedWorker::Step NoResponse() {
  return [](ScriptedWorker::Call&) {};
}

inline std::string EventText(int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}
inline std::string Chunk(const std::string& bytes) {
  char size[16];
  g_snprintf(size, sizeof size, "%zx", bytes.size());
  return std::string(size) + "\r\n" + bytes + "\r\n";
}
inline std::string StreamHeadText(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
         "\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}
// Sends the events `first` to `last`, then the end of the response, a closed connection, or
// nothing.
enum class After { kEnd, kCut, kNoResponse };
inline ScriptedWorker::Step Events(int first, int last, After after,
                                   const std::string& partial = "") {
  return [=](ScriptedWorker::Call& call) {
    std::string out = StreamHeadText(IdOf(call));
    for (int i = first; i <= last; ++i) out += Chunk(EventText(i));
    if (!partial.empty()) out += Chunk(partial);
    if (after == After::kEnd) out += "0\r\n\r\n";
    call.stream->Write(out);
    if (after == After::kCut) call.stream->CloseAfterWrite();
  };
}
// The head of an event stream whose body ends with the connection.
inline std::string UnframedStreamHeadText(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
         "\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
}
// Sends an event stream without a length and closes the connection in order, as the operating
// system does for a worker that is killed.
inline ScriptedWorker::Step UnframedStream(const std::string& body) {
  return [=](ScriptedWorker::Call& call) {
    call.stream->Write(UnframedStreamHeadText(IdOf(call)) + body);
    call.stream->CloseAfterWrite();
  };
}
inline std::string EventRun(int first, int last) {
  std::string text;
  for (int i = first; i <= last; ++i) text += EventText(i);
  return text;
}

// ---------------------------------------------------------------- doubles of the runner's
// dependencies

class FakeWorkers final : public registry::WorkerSource {
 public:
  std::shared_ptr<const registry::WorkerTable> Workers() const override { return table_; }
  void OnChange(std::function<void()> listener) override {
    listeners_.push_back(std::move(listener));
  }
  void Put(const registry::WorkerRecord& record) {
    auto next = std::make_shared<registry::WorkerTable>(*table_);
    next->Put(record);
    Swap(std::move(next));
  }
  void Remove(const std::string& id) {
    auto next = std::make_shared<registry::WorkerTable>(*table_);
    next->Erase(id);
    Swap(std::move(next));
  }

 private:
  void Swap(std::shared_ptr<const registry::WorkerTable> next) {
    table_ = std::move(next);
    for (const auto& listener : listeners_) listener();
  }
  std::shared_ptr<const registry::WorkerTable> table_ = std::make_shared<registry::WorkerTable>();
  std::vector<std::function<void()>> listeners_;
};

class FakeControl final : public control::ControlClient {
 public:
  std::shared_ptr<const control::ControlSnapshot> Current() const override { return snapshot_; }
  void OnChange(std::function<void()>) override {}
  void Change(control::ControlChange, Micros, ChangeDone) override {}
  void LinearizableRead(Micros, ReadDone) override {}
  bool IsSingletonRoleCandidate() const override { return false; }
  const std::map<std::string, coordination::Member>& members() const override { return members_; }

  std::map<std::string, coordination::Member> members_;

 private:
  std::shared_ptr<const control::ControlSnapshot> snapshot_ =
      std::make_shared<control::ControlSnapshot>();
};

class RecordingSink final : public RequestSink {
 public:
  void OnHead(int status, const std::vector<http::Header>& headers) override {
    ++heads;
    this->status = status;
    this->headers = headers;
  }
  void OnBody(std::string_view bytes) override {
    body.append(bytes);
    if (on_body) on_body();
  }
  void OnEnd(const RequestResult& result) override {
    ++ends;
    this->result = result;
  }

  bool MaySend() const override { return sends_left-- > 0; }
  std::size_t backlog() const override { return unread_bytes; }

  int heads = 0, ends = 0, status = 0;
  std::size_t unread_bytes = 0;
  mutable int sends_left = 1000;  // MaySend is true so many times
  std::vector<http::Header> headers;
  std::string body;
  RequestResult result;
  std::function<void()> on_body;
};

struct Rig {
  // `membership_settle_time`: see RunnerOptions.
  explicit Rig(Micros membership_settle_time = 0) {
    runner = MakeRequestRunner(&timers, &workers, &control,
                               {"me", "here", 7, membership_settle_time, 0});
  }

  // Adds a worker that runs this script. Workers with low numbers are not preferred.
  ScriptedWorker& Add(std::vector<ScriptedWorker::Step> steps) {
    const std::string id = "w" + std::to_string(scripted.size());
    scripted.push_back(std::make_unique<ScriptedWorker>(id, std::move(steps)));
    workers.Put(scripted.back()->Record());
    return *scripted.back();
  }
  std::shared_ptr<RecordingSink> Submit(RequestSpec spec, int sends = 1000) {
    auto sink = std::make_shared<RecordingSink>();
    sink->sends_left = sends;
    last_request = runner->Submit(std::move(spec), sink);
    return sink;
  }
  std::shared_ptr<RecordingSink> Run(RequestSpec spec) {
    auto sink = Submit(std::move(spec));
    RunUntil([&] { return sink->ends > 0; });
    return sink;
  }
  std::size_t Calls() const {
    std::size_t calls = 0;
    for (const auto& worker : scripted) calls += worker->calls().size();
    return calls;
  }

  Timers timers;
  FakeWorkers workers;
  FakeControl control;
  std::vector<std::unique_ptr<ScriptedWorker>> scripted;
  std::unique_ptr<RequestRunner> runner;
  std::uint64_t last_request = 0;
};

inline RequestSpec PlainRequest(const std::string& id = "a1") {
  RequestSpec spec;
  spec.service = "svc";
  spec.method = "POST";
  spec.target = "/p/1?q=2";
  spec.headers = {{"Host", "h.example"}, {"X-Attempt-Id", id}};
  spec.body = "hello";
  spec.attempt_id = id;
  spec.deadline = Now() + 5 * kSecond;
  spec.target_ms = 200;
  return spec;
}
inline RequestSpec IdempotentRequest(int attempts = 2) {
  RequestSpec spec = PlainRequest();
  spec.idempotent = true;
  spec.attempts = attempts;
  return spec;
}
inline RequestSpec StreamedRequest(bool resumable, int attempts = 2) {
  RequestSpec spec = PlainRequest();
  spec.streamed = true;
  spec.idempotent = spec.resumable = resumable;
  spec.attempts = attempts;
  spec.gap_target_ms = 50;
  return spec;
}

}  // namespace pearreach::proxy

#endif  // PEARREACH_TESTS_TIER_PROXY_PROXY_RIG_H_
