// A server whose clients hold more than its budget of memory, or all of its connections.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "common/memory/memory_budget.h"
#include "tier/http_server/server_fixture.h"

namespace pearreach::http_server {
namespace {

constexpr std::size_t kBudget = 4 << 20, kBody = 1 << 20;
constexpr int kCrowd = 12;

class OverloadTest : public ServerFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(CrowdOfPartialBodiesStaysInTheBudget);
  CPPUNIT_TEST(RefusalsOfPartialBodiesReachTheirClients);
  CPPUNIT_TEST(OrdinaryRequestIsAnsweredBesideTheCrowd);
  CPPUNIT_TEST(OpenLargeRequestsLeaveRoomForSmallOnes);
  CPPUNIT_TEST(LargestRequestIsServedInCalm);
  CPPUNIT_TEST(ChargeGoesWithTheExchange);
  CPPUNIT_TEST(PipelinedBodiesWaitOutsideTheProcess);
  CPPUNIT_TEST(DrippingBodyGets408);
  CPPUNIT_TEST(StalledRequestsMakeRoomForNewConnections);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    ServerFixture::setUp();
    memory_ = std::make_shared<memory::MemoryBudget>(kBudget);
  }

 private:
  static ServerOptions Options() {
    ServerOptions options;
    options.max_body_bytes = kBody;
    return options;
  }
  void OpenBudgeted(ExchangeHandler handler, const ServerOptions& options = Options()) {
    server_ = std::make_unique<HttpServer>(timers_.get(), options, std::move(handler), memory_);
    CPPUNIT_ASSERT_EQUAL(std::string(), server_->Open("127.0.0.1:0"));
  }
  void OpenKeepingBudgeted() {
    OpenBudgeted([this](std::shared_ptr<Exchange> e) { exchanges_.push_back(std::move(e)); });
  }
  static std::string Post(std::size_t length) {
    return "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
  }
  // Sends in pieces that the server reads in between.
  static void SendAll(RawClient* client, std::string_view bytes) {
    constexpr std::size_t kPiece = 16 << 10;
    for (; !bytes.empty(); bytes.remove_prefix(std::min(kPiece, bytes.size()))) {
      client->Send(bytes.substr(0, kPiece));
      RunUntil([] { return false; }, 1 * kMs);
    }
  }
  // Clients whose bodies stop a byte short of their end.
  void OpenCrowd() {
    const std::string bytes = Post(kBody) + std::string(kBody - 1, 'x');
    for (int number = 0; number < kCrowd; ++number) {
      crowd_.push_back(Client());
      SendAll(crowd_.back().get(), bytes);
      CPPUNIT_ASSERT(memory_->used() <= kBudget);
    }
  }

  void CrowdOfPartialBodiesStaysInTheBudget() {
    OpenBudgeted(Echo);
    OpenCrowd();
    crowd_.clear();
    CPPUNIT_ASSERT(RunUntil([&] { return server_->connections() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, memory_->used());
  }

  void RefusalsOfPartialBodiesReachTheirClients() {
    OpenBudgeted(Echo);
    OpenCrowd();
    int refused = 0;
    for (const auto& client : crowd_) {
      const bool has_refusal = Has(client->got(), "HTTP/1.1 503 ");
      refused += has_refusal ? 1 : 0;
      if (!has_refusal) continue;
      CPPUNIT_ASSERT(Has(client->got(), "Retry-After: "));
      CPPUNIT_ASSERT(client->SeesEnd());
      CPPUNIT_ASSERT(!client->reset());
    }
    CPPUNIT_ASSERT(refused >= kCrowd - static_cast<int>(kBudget / kBody));
    crowd_.clear();
  }

  void OrdinaryRequestIsAnsweredBesideTheCrowd() {
    OpenBudgeted(Echo);
    OpenCrowd();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(client->GotAll("GET /a "));
    crowd_.clear();
  }

  void OpenLargeRequestsLeaveRoomForSmallOnes() {
    OpenKeepingBudgeted();
    const std::string bytes = Post(kBody) + std::string(kBody, 'x');
    for (int number = 0; number < kCrowd; ++number) {
      crowd_.push_back(Client());
      SendAll(crowd_.back().get(), bytes);
    }
    CPPUNIT_ASSERT(exchanges_.size() >= 1);
    CPPUNIT_ASSERT(exchanges_.size() < kCrowd);
    CPPUNIT_ASSERT(memory_->used() <= kBudget);
    CPPUNIT_ASSERT(crowd_.back()->GotAll("HTTP/1.1 503 "));
    const std::size_t open = exchanges_.size();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(open + 1));
    crowd_.clear();
  }

  void LargestRequestIsServedInCalm() {
    memory_ = std::make_shared<memory::MemoryBudget>(kBody);  // its copies exceed it
    OpenBudgeted(Echo);
    const auto client = Client();
    SendAll(client.get(), Post(kBody) + std::string(kBody, 'x'));
    CPPUNIT_ASSERT(client->GotAll("HTTP/1.1 200 "));
  }

  void ChargeGoesWithTheExchange() {
    OpenKeepingBudgeted();
    const auto client = Client();
    SendAll(client.get(), Post(kBody) + std::string(kBody, 'x'));
    CPPUNIT_ASSERT(Handed(1));
    CPPUNIT_ASSERT(memory_->used() >= kBody);
    exchanges_[0]->mutable_request().body.clear();  // it is held elsewhere from here on
    CPPUNIT_ASSERT(memory_->used() >= kBody);
    exchanges_[0]->Respond(200, {}, "");
    exchanges_.clear();
    CPPUNIT_ASSERT(memory_->used() < kBody);
  }

  // A body behind a request that runs is not read: the next request is answered after it.
  void PipelinedBodiesWaitOutsideTheProcess() {
    OpenKeepingBudgeted();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(1));
    client->Send(Post(kBody) + std::string(kBody / 4, 'x'));
    RunUntil([] { return false; }, kShort);
    CPPUNIT_ASSERT(memory_->used() < kBody / 4);
    exchanges_[0]->Respond(200, {}, "");
    SendAll(client.get(), std::string(kBody - kBody / 4, 'x'));
    CPPUNIT_ASSERT(Handed(2));
    CPPUNIT_ASSERT_EQUAL(kBody, exchanges_[1]->request().body.size());
  }

  void DrippingBodyGets408() {
    ServerOptions options = SmallOptions();
    options.max_body_bytes = 4000;
    options.header_wait = kShort;
    options.min_body_progress = 100;
    OpenBudgeted(Echo, options);
    const auto client = Client();
    client->Send(Post(4000) + std::string(1000, 'x'));
    // By the clock, so that fewer than `min_body_progress` come in `header_wait` on any machine.
    constexpr Micros kDripPause = kShort / 8;
    Micros next = Now();
    CPPUNIT_ASSERT(RunUntil([&] {
      if (Now() >= next) {
        client->Send("x");
        next = Now() + kDripPause;
      }
      return client->got().find("\r\n\r\n") != std::string::npos;
    }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 408 "), client->got().substr(0, 13));
  }

  void StalledRequestsMakeRoomForNewConnections() {
    ServerOptions options = SmallOptions();
    options.max_connections = 2;
    options.header_wait = 60 * kSecond;
    OpenBudgeted(Echo, options);
    const auto first = Client(), second = Client();
    for (RawClient* client : {first.get(), second.get()}) client->Send(Post(900) + "x");
    CPPUNIT_ASSERT(RunUntil([&] { return server_->connections() == 2; }));
    const auto ordinary = Client();
    ordinary->Send(kGet);
    CPPUNIT_ASSERT(RunUntil([&] { return Has(ordinary->got(), "GET /a "); }, 10 * kSecond));
  }

  std::shared_ptr<memory::MemoryBudget> memory_;
  std::vector<std::unique_ptr<RawClient>> crowd_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

}  // namespace
}  // namespace pearreach::http_server
