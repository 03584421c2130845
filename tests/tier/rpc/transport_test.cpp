// Calls and datagrams between two meshes on loopback, and frames that are cut anywhere or are bad.
#include "tier/rpc/transport.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tier/rpc/frame.h"

namespace pearreach::rpc {
namespace {

constexpr int kMaxTurns = 2000;

// Runs the main loop until `done` or a bounded number of turns is over.
template <class Done>
bool RunUntil(Done done) {
  for (int i = 0; i < kMaxTurns && !done(); ++i) g_main_context_iteration(nullptr, TRUE);
  return done();
}

class FrameTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameTest);
  CPPUNIT_TEST(ReadsFramesSplitAnywhere);
  CPPUNIT_TEST(RejectsInvalidFrames);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsFramesSplitAnywhere() {
    std::string bytes;
    AppendFrame({FrameKind::kRequest, 7, 42, "first"}, &bytes);
    AppendFrame({FrameKind::kError, 3, 43, ""}, &bytes);
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
      FrameReader reader;
      std::vector<std::string> seen;
      Frame frame;
      for (const std::string& part : {bytes.substr(0, split), bytes.substr(split)}) {
        reader.Feed(part);
        while (reader.Next(&frame) == FrameReader::State::kFrame)
          seen.push_back(std::to_string(frame.call) + std::string(frame.body));
      }
      CPPUNIT_ASSERT((seen == std::vector<std::string>{"42first", "43"}));
    }
  }

  void RejectsInvalidFrames() {
    std::string good;
    AppendFrame({FrameKind::kResponse, 0, 1, "x"}, &good);
    std::string bad_kind = good, bad_length = good;
    bad_kind[4] = 9;
    bad_length[3] = '\x7f';
    Frame frame;
    for (const std::string& bytes : {bad_kind, bad_length}) {
      FrameReader reader;
      reader.Feed(bytes);
      CPPUNIT_ASSERT(reader.Next(&frame) == FrameReader::State::kInvalid);
    }
  }
};

class TransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransportTest);
  CPPUNIT_TEST(RespondsImmediatelyOrLater);
  CPPUNIT_TEST(ReturnsHandlerErrorWithItsCode);
  CPPUNIT_TEST(CallTimesOutWithoutResponse);
  CPPUNIT_TEST(FailsUnreachableCallAsynchronously);
  CPPUNIT_TEST(DatagramCarriesSenderAddress);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (port_ = 23100; port_ < 23900; ++port_) {
      auto opened = OpenTransport("127.0.0.1", port_, &timers_);
      if (!opened.ok()) continue;
      server_ = std::move(*opened);
      break;
    }
    for (int port = port_ + 1; port < 24000; ++port) {
      auto opened = OpenTransport("127.0.0.1", port, &timers_);
      if (!opened.ok()) continue;
      client_ = std::move(*opened);
      break;
    }
    CPPUNIT_ASSERT(server_ != nullptr && client_ != nullptr);
    address_ = "127.0.0.1:" + std::to_string(port_);
  }

  void RespondsImmediatelyOrLater() {
    std::vector<Respond> deferred;
    server_->Handle(MessageType::kChain,
                    [&](const std::string& from, std::string_view body, Respond respond) {
                      CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), from);
                      if (body == "later") return deferred.push_back(std::move(respond));
                      respond("now:" + std::string(body));
                      if (!deferred.empty()) deferred.front()(std::string("at last"));
                    });
    std::vector<std::string> answers;
    for (const char* body : {"later", "a"})
      client_->Call(address_, MessageType::kChain, body, kSecond,
                    [&](absl::StatusOr<std::string> answer) { answers.push_back(*answer); });
    CPPUNIT_ASSERT(RunUntil([&] { return answers.size() == 2; }));
    CPPUNIT_ASSERT((answers == std::vector<std::string>{"now:a", "at last"}));
  }

  void ReturnsHandlerErrorWithItsCode() {
    server_->Handle(MessageType::kBatchJobRead,
                    [](const std::string&, std::string_view, Respond respond) {
                      respond(absl::FailedPreconditionError("not the primary"));
                    });
    absl::Status status;
    client_->Call(address_, MessageType::kBatchJobRead, "", kSecond,
                  [&](absl::StatusOr<std::string> answer) { status = answer.status(); });
    CPPUNIT_ASSERT(RunUntil([&] { return !status.ok(); }));
    CPPUNIT_ASSERT(absl::IsFailedPrecondition(status));
    status = absl::OkStatus();
    client_->Call(address_, MessageType::kItemPull, "", kSecond,
                  [&](absl::StatusOr<std::string> answer) { status = answer.status(); });
    CPPUNIT_ASSERT(RunUntil([&] { return !status.ok(); }));
    CPPUNIT_ASSERT(absl::IsUnimplemented(status));
  }

  void CallTimesOutWithoutResponse() {
    server_->Handle(MessageType::kChain, [](const std::string&, std::string_view, Respond) {});
    absl::Status status;
    client_->Call(address_, MessageType::kChain, "x", 20 * kMs,
                  [&](absl::StatusOr<std::string> answer) { status = answer.status(); });
    CPPUNIT_ASSERT(RunUntil([&] { return !status.ok(); }));
    CPPUNIT_ASSERT(absl::IsDeadlineExceeded(status));
  }

  void FailsUnreachableCallAsynchronously() {
    for (const char* address : {"127.0.0.1:1", "no address"}) {
      absl::Status status;
      client_->Call(address, MessageType::kChain, "x", kSecond,
                    [&](absl::StatusOr<std::string> answer) { status = answer.status(); });
      CPPUNIT_ASSERT(status.ok());
      CPPUNIT_ASSERT(RunUntil([&] { return !status.ok(); }));
      CPPUNIT_ASSERT(absl::IsUnavailable(status));
    }
  }

  void DatagramCarriesSenderAddress() {
    std::string got;
    server_->HandleDatagrams([&](const std::string& from, std::string_view body) {
      got = from + " " + std::string(body);
    });
    client_->SendDatagram(address_, "hello");
    CPPUNIT_ASSERT(RunUntil([&] { return !got.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1 hello"), got);
  }

 private:
  Timers timers_;
  int port_ = 0;
  std::string address_;
  std::unique_ptr<Transport> server_, client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameTest);
CPPUNIT_TEST_SUITE_REGISTRATION(TransportTest);

}  // namespace
}  // namespace pearreach::rpc
