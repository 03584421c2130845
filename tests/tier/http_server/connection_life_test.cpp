#include <memory>
#include <string>

#include "tier/http_server/http_server.h"
#include "tier/http_server/server_fixture.h"

namespace pearreach::http_server {
namespace {

class ConnectionLifeTest : public ServerFixture {
  CPPUNIT_TEST_SUITE(ConnectionLifeTest);
  CPPUNIT_TEST(SlowReaderShowsAsUnsent);
  CPPUNIT_TEST(LargeAnswerIsWholeBeforeItsClose);
  CPPUNIT_TEST(IdleConnectionsAreClosed);
  CPPUNIT_TEST(SlowHeadGets408);
  CPPUNIT_TEST(NewLimitsHoldForIdleConnections);
  CPPUNIT_TEST(DrainServesOnceMore);
  CPPUNIT_TEST(DrainClosesIdleAfterLinger);
  CPPUNIT_TEST(DrainAnswersPipelinedRequests);
  CPPUNIT_TEST(DrainLetsRequestsFinish);
  CPPUNIT_TEST(StopAcceptingRefusesConnections);
  CPPUNIT_TEST(FullServerTakesConnectionsLater);
  CPPUNIT_TEST(ServerEndsBeforeItsExchanges);
  CPPUNIT_TEST(DrainEndsAfterAStreamThatBeganBefore);
  CPPUNIT_TEST(ShutdownAnswersOpenRequests);
  CPPUNIT_TEST(ShutdownLetsHandlersAnswer);
  CPPUNIT_TEST(ShutdownAnswersPipelinedRequests);
  CPPUNIT_TEST(ShutdownRefusesPartialRequests);
  CPPUNIT_TEST(ShutdownRefusesPartialRequestsBehindOthers);
  CPPUNIT_TEST(ShutdownCutsStreamsOff);
  CPPUNIT_TEST(ShutdownClosesIdleConnections);
  CPPUNIT_TEST(ShutdownSendsLargeAnswersWhole);
  CPPUNIT_TEST_SUITE_END();

 private:
  void SlowReaderShowsAsUnsent() {
    OpenKeeping();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(1));
    const std::string piece(1 << 20, 'x');
    exchanges_[0]->BeginStream(200, {});
    for (int i = 0; i < 16; ++i) exchanges_[0]->Write(piece);
    const std::size_t before = exchanges_[0]->unsent();
    CPPUNIT_ASSERT(before > 0);
    CPPUNIT_ASSERT(RunUntil([&] {
      client->got();
      return exchanges_[0]->unsent() == 0;
    }));
  }

  void LargeAnswerIsWholeBeforeItsClose() {
    const std::string body(8 << 20, 'y');
    Open([&](const std::shared_ptr<Exchange>& e) { e->Respond(200, {}, body); });
    const auto client = Client();
    client->Send("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(!client->reset());
    CPPUNIT_ASSERT(client->got().size() > body.size());
  }

  void IdleConnectionsAreClosed() {
    ServerOptions options = SmallOptions();
    options.idle = kShort;
    Open(Echo, options);
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(client->GotAll("GET /a "));
    CPPUNIT_ASSERT(!Has(client->got(), "Keep-Alive"));  // no whole second is left to announce
    const Micros answered = Now();
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(Now() - answered >= kShort / 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->connections());
  }

  void SlowHeadGets408() {
    ServerOptions options = SmallOptions();
    options.header_wait = kShort;
    OpenKeeping(options);
    const auto client = Client();
    client->Send("GET /a HTTP");
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(Has(client->got(), "HTTP/1.1 408 "));
    const auto silent = Client();
    CPPUNIT_ASSERT(silent->SeesEnd());
    CPPUNIT_ASSERT_EQUAL(std::string(), silent->got());
  }

  void NewLimitsHoldForIdleConnections() {
    Open(Echo);
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(client->GotAll("GET /a "));
    ServerOptions options = SmallOptions();
    options.max_body_bytes = 2;
    server_->SetOptions(options);
    client->Send("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    CPPUNIT_ASSERT(client->GotAll("HTTP/1.1 413"));
  }

  void DrainServesOnceMore() {
    Open(Echo);
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(client->GotAll("GET /a "));
    server_->Drain(2 * kSecond);
    client->Send(Get("/again"));
    CPPUNIT_ASSERT(client->GotAll("GET /again "));
    CPPUNIT_ASSERT(Has(client->got(), "Connection: close"));
    CPPUNIT_ASSERT(client->SeesEnd());
    const auto fresh = Client();
    fresh->Send(Get("/new"));
    CPPUNIT_ASSERT(fresh->GotAll("GET /new "));
    CPPUNIT_ASSERT(fresh->SeesEnd());
  }

  void DrainClosesIdleAfterLinger() {
    Open(Echo);
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(client->GotAll("GET /a "));
    const Micros began = Now();
    server_->Drain(kShort);
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(Now() - began >= kShort);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->connections());
  }

  void DrainAnswersPipelinedRequests() {
    OpenKeeping();
    const auto client = Client();
    client->Send(Get("/1") + Get("/2"));
    CPPUNIT_ASSERT(Handed(1));
    server_->Drain(kShort);
    exchanges_[0]->Respond(200, {}, "first");
    CPPUNIT_ASSERT(Handed(2));
    exchanges_[1]->Respond(200, {}, "second");
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(Has(client->got(), "second"));
    CPPUNIT_ASSERT(client->got().find("Connection: close") > client->got().find("first"));
  }

  void DrainLetsRequestsFinish() {
    OpenKeeping();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(1));
    server_->Drain(kShort);
    server_->StopAccepting();
    const Micros later = Now() + 2 * kShort;
    RunUntil([&] { return Now() >= later; });
    CPPUNIT_ASSERT(exchanges_[0]->open());
    exchanges_[0]->Respond(200, {}, "whole");
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(Has(client->got(), "whole"));
  }

  void StopAcceptingRefusesConnections() {
    Open(Echo);
    const int port = server_->port();
    server_->StopAccepting();
    CPPUNIT_ASSERT(!RawClient(port).connected());
  }

  void FullServerTakesConnectionsLater() {
    ServerOptions options = SmallOptions();
    options.max_connections = 1;
    Open(Echo, options);
    const auto first = Client();
    first->Send(kGet);
    CPPUNIT_ASSERT(first->GotAll("GET /a "));
    const auto second = Client();
    second->Send(Get("/second"));
    const Micros later = Now() + kShort;
    RunUntil([&] { return Now() >= later; });
    CPPUNIT_ASSERT_EQUAL(std::string(), second->got());
    first->Close();
    CPPUNIT_ASSERT(second->GotAll("GET /second "));
  }

  void ServerEndsBeforeItsExchanges() {
    OpenKeeping();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(1));
    bool told = false;
    exchanges_[0]->OnClosed([&] { told = true; });
    server_.reset();
    CPPUNIT_ASSERT(told);
    exchanges_[0]->Respond(200, {}, "late");
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT_EQUAL(std::string(), client->got());
  }

  void DrainEndsAfterAStreamThatBeganBefore() {
    OpenKeeping();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(1));
    exchanges_[0]->BeginStream(200, {});
    exchanges_[0]->Write("one");
    server_->Drain(kShort);
    const Micros later = Now() + 2 * kShort;
    RunUntil([&] { return Now() >= later; });
    exchanges_[0]->Finish();
    client->Send(Get("/again"));
    CPPUNIT_ASSERT(Handed(2));
    exchanges_[1]->Respond(200, {}, "two");
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(Has(client->got(), "two"));
  }

  // LOST: a process that ended left requests that it had read without an answer.
  void ShutdownAnswersOpenRequests() {
    OpenKeeping();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(1));
    bool told = false;
    exchanges_[0]->OnClosed([&] { told = true; });
    CPPUNIT_ASSERT(!server_->AllAnswersSent());
    server_->Shutdown();
    CPPUNIT_ASSERT(told);
    CPPUNIT_ASSERT(!exchanges_[0]->open());
    exchanges_[0]->Respond(200, {}, "late");
    CPPUNIT_ASSERT(server_->AllAnswersSent());
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(Has(client->got(), "HTTP/1.1 504 "));
    CPPUNIT_ASSERT(Has(client->got(), "Connection: close"));
    CPPUNIT_ASSERT(!Has(client->got(), "late"));
    CPPUNIT_ASSERT(!client->reset());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->unanswered());
  }

  void ShutdownLetsHandlersAnswer() {
    OpenKeeping();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(1));
    bool closed = false;
    exchanges_[0]->OnClosed([&] { closed = true; });
    exchanges_[0]->OnShutdown([this] {
      const auto exchange = std::move(exchanges_[0]);  // the last reference
      exchange->Respond(503, {{"Retry-After", "0.25"}}, "");
    });
    server_->Shutdown();
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(Has(client->got(), "HTTP/1.1 503 "));
    CPPUNIT_ASSERT(Has(client->got(), "Retry-After: 0.25"));
    CPPUNIT_ASSERT(!closed);
  }

  void ShutdownAnswersPipelinedRequests() {
    OpenKeeping();
    const auto client = Client();
    client->Send(Get("/1") + Get("/2") + Get("/3"));
    CPPUNIT_ASSERT(Handed(1));
    exchanges_[0]->OnShutdown([this] { exchanges_[0]->Respond(200, {}, "first"); });
    server_->Shutdown();
    CPPUNIT_ASSERT(!server_->AllAnswersSent());
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(server_->AllAnswersSent());
    const std::string& got = client->got();
    const std::size_t second = got.find("HTTP/1.1 504 ");
    CPPUNIT_ASSERT(Has(got, "first") && got.find("first") < second);
    const std::size_t third = got.find("HTTP/1.1 504 ", second + 1);
    CPPUNIT_ASSERT(third != std::string::npos);
    CPPUNIT_ASSERT(got.find("Connection: close") > third);
  }

  void ShutdownRefusesPartialRequests() {
    Open(Echo);
    const auto client = Client();
    client->Send("POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    const auto behind = Client();
    behind->Send(Get("/1") + "POST /a HTTP/1.1\r\nContent-Le");
    CPPUNIT_ASSERT(behind->GotAll("GET /1 "));
    CPPUNIT_ASSERT(RunUntil([&] { return !server_->AllAnswersSent(); }));
    server_->Shutdown();
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(Has(client->got(), "HTTP/1.1 503 "));
    CPPUNIT_ASSERT(behind->SeesEnd());
    CPPUNIT_ASSERT(Has(behind->got(), "HTTP/1.1 503 "));
  }

  void ShutdownRefusesPartialRequestsBehindOthers() {
    OpenKeeping();
    const auto client = Client();
    client->Send(Get("/1") + "POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    CPPUNIT_ASSERT(Handed(1));
    const Micros began = Now();
    server_->Shutdown();
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(Now() - began < SmallOptions().header_wait);
    const std::size_t first = client->got().find("HTTP/1.1 504 ");
    CPPUNIT_ASSERT(first != std::string::npos);
    CPPUNIT_ASSERT(client->got().find("HTTP/1.1 503 ") > first);
    CPPUNIT_ASSERT(Has(client->got(), "HTTP/1.1 503 "));
  }

  void ShutdownCutsStreamsOff() {
    OpenKeeping();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(1));
    exchanges_[0]->BeginStream(200, {});
    exchanges_[0]->Write("one");
    bool told = false;
    exchanges_[0]->OnClosed([&] { told = true; });
    CPPUNIT_ASSERT(client->GotAll("one"));
    server_->Shutdown();
    CPPUNIT_ASSERT(told);
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(!Has(client->got(), "\r\n0\r\n"));
    CPPUNIT_ASSERT(!Has(client->got(), "504"));
  }

  void ShutdownClosesIdleConnections() {
    Open(Echo);
    const int port = server_->port();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(client->GotAll("GET /a "));
    server_->Shutdown();
    CPPUNIT_ASSERT(server_->AllAnswersSent());
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(!RawClient(port).connected());
  }

  void ShutdownSendsLargeAnswersWhole() {
    const std::string body(8 << 20, 'y');
    Open([&](const std::shared_ptr<Exchange>& e) { e->Respond(200, {}, body); });
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(RunUntil([&] { return !server_->AllAnswersSent(); }));
    server_->Shutdown();
    CPPUNIT_ASSERT(!server_->AllAnswersSent());
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(client->got().size() > body.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionLifeTest);

}  // namespace
}  // namespace pearreach::http_server
