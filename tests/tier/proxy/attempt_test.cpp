// Attempts at a worker that reads slowly or not at all: how much of the request is buffered, and
// whether the connection is reused.
#include "tier/proxy/attempt.h"

#include <cppunit/extensions/HelperMacros.h>

#include "proxy_rig.h"

namespace pearreach::proxy {
namespace {

constexpr std::size_t kBodyBytes = 20 << 20;  // more than the socket buffers hold
constexpr std::size_t kMaxBufferedBytes = (64 << 10) + 100;

class RecordingListener final : public AttemptListener {
 public:
  void OnStreamHead(const ResponseHead&) override {}
  void OnStreamBytes(std::string_view) override {}
  void OnAttemptEnd(AttemptResult result) override {
    ++ends;
    end = result.end;
  }
  int ends = 0;
  AttemptEnd end = AttemptEnd::kLost;
};

// A worker that reads nothing until ResumeReading, and one attempt at it.
struct SlowWorker {
  explicit SlowWorker(std::size_t size = kBodyBytes) {
    CPPUNIT_ASSERT_EQUAL(std::string(), listener.Open("127.0.0.1:0"));
    connections = std::make_shared<WorkerConnections>(
        &timers, "127.0.0.1:" + std::to_string(listener.port()));
    std::string body;
    for (std::size_t i = 0; body.size() < size; ++i) body += std::to_string(i) + ",";
    AttemptRequest request;
    request.head =
        "POST /p HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    request.body = std::make_shared<const std::string>(std::move(body));
    request.attempt_id = "a1";
    request_bytes = request.head + *request.body;
    attempt = std::make_shared<Attempt>(&timers, connections, std::move(request), &listener_record);
    attempt->Start();
    CPPUNIT_ASSERT(RunUntil([&] {
      return peer != nullptr && attempt->written() && (size == 0 || attempt->unsent() > 0);
    }));
  }
  void Accept(std::shared_ptr<Stream> stream) {
    peer = std::move(stream);
    Stream::Handlers handlers;
    handlers.data = [this](std::string_view bytes) {
      received.append(bytes);
      max_buffered = std::max(max_buffered, attempt->unsent());
    };
    handlers.closed = [this] { closed = true; };
    peer->PauseReading();
    peer->Listen(std::move(handlers));
  }

  Timers timers;
  Listener listener{[this](std::shared_ptr<Stream> stream) { Accept(std::move(stream)); }};
  std::shared_ptr<WorkerConnections> connections;
  RecordingListener listener_record;
  std::shared_ptr<Attempt> attempt;
  std::shared_ptr<Stream> peer;
  std::string request_bytes, received;
  std::size_t max_buffered = 0;
  bool closed = false;
};

class AttemptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptTest);
  CPPUNIT_TEST(BodyGoesInPiecesAsTheWorkerReads);
  CPPUNIT_TEST(AnswerBeforeTheBodyIsRead);
  CPPUNIT_TEST(WorkerEndsInsideTheBody);
  CPPUNIT_TEST(ResetIsHeardWhilePaused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BodyGoesInPiecesAsTheWorkerReads() {
    SlowWorker slow;
    CPPUNIT_ASSERT(slow.attempt->unsent() <= kMaxBufferedBytes);
    CPPUNIT_ASSERT(slow.received.empty());
    slow.peer->ResumeReading();
    CPPUNIT_ASSERT(RunUntil([&] { return slow.received.size() == slow.request_bytes.size(); }));
    CPPUNIT_ASSERT(slow.received == slow.request_bytes);
    CPPUNIT_ASSERT(slow.max_buffered <= kMaxBufferedBytes);
    slow.peer->Write(ResponseText("a1", 200, "X-Seal: s\r\n", "ok"));
    CPPUNIT_ASSERT(RunUntil([&] { return slow.listener_record.ends == 1; }));
    CPPUNIT_ASSERT(slow.listener_record.end == AttemptEnd::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, slow.connections->idle());
  }

  // The connection is not reused: the worker would read the next request as the rest of this one.
  void AnswerBeforeTheBodyIsRead() {
    SlowWorker slow;
    slow.peer->Write(ResponseText("a1", 200, "X-Seal: s\r\n", "ok"));
    CPPUNIT_ASSERT(RunUntil([&] { return slow.listener_record.ends == 1; }));
    CPPUNIT_ASSERT(slow.listener_record.end == AttemptEnd::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, slow.connections->idle());
    slow.peer->ResumeReading();
    CPPUNIT_ASSERT(RunUntil([&] { return slow.closed; }));
    CPPUNIT_ASSERT(slow.received.size() < slow.request_bytes.size());
  }

  void WorkerEndsInsideTheBody() {
    SlowWorker slow;
    slow.peer->ResetOnClose();
    slow.peer->Close();
    CPPUNIT_ASSERT(RunUntil([&] { return slow.listener_record.ends == 1; }));
    CPPUNIT_ASSERT(slow.listener_record.end == AttemptEnd::kLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, slow.connections->in_use());
  }

  void ResetIsHeardWhilePaused() {
    SlowWorker slow(0);
    slow.attempt->PauseReading();
    slow.peer->ResetOnClose();
    slow.peer->Close();
    CPPUNIT_ASSERT(RunUntil([&] { return slow.listener_record.ends == 1; }));
    CPPUNIT_ASSERT(slow.listener_record.end == AttemptEnd::kLost);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptTest);

}  // namespace
}  // namespace pearreach::proxy
