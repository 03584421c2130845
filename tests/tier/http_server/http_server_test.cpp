#include "tier/http_server/http_server.h"

#include <cstring>
#include <functional>
#include <memory>
#include <string>

#include "tier/http_server/server_fixture.h"

namespace pearreach::http_server {
namespace {

class HttpServerTest : public ServerFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(AnswersByTable);
  CPPUNIT_TEST(RefusesMalformedByTable);
  CPPUNIT_TEST(ChunkedRequestInPieces);
  CPPUNIT_TEST(ContinueIsSentOnce);
  CPPUNIT_TEST(PipelinedRequestsGoOutOneByOne);
  CPPUNIT_TEST(PipelinedRequestsAnsweredInsideTheHandler);
  CPPUNIT_TEST(StreamsInChunks);
  CPPUNIT_TEST(HeadOfAStreamDoesNotWait);
  CPPUNIT_TEST(StreamsToOldClientsEndWithTheConnection);
  CPPUNIT_TEST(AbortLeavesNoFinalChunk);
  CPPUNIT_TEST(AbortResetsOldClients);
  CPPUNIT_TEST(DroppedExchangeEndsTheConnection);
  CPPUNIT_TEST(TellsThatTheClientHasGone);
  CPPUNIT_TEST(HalfCloseCountsAsGone);
  CPPUNIT_TEST(TellsWhenASlowClientHasTakenAll);
  CPPUNIT_TEST_SUITE_END();

 private:
  void AnswersByTable() {
    const struct {
      const char *request, *answer;
      bool ends;
    } kCases[] = {
        {"GET /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n",
         "HTTP/1.1 200 OK\r\nX-Own: 1\r\nKeep-Alive: timeout=14\r\nContent-Length: 11\r\n\r\n"
         "GET /a?b=1 ",
         false},
        {"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
         "HTTP/1.1 200 OK\r\nX-Own: 1\r\nKeep-Alive: timeout=14\r\nContent-Length: 11\r\n\r\n"
         "POST /a abc",
         false},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n"
         "T: 1\r\n\r\n",
         "HTTP/1.1 200 OK\r\nX-Own: 1\r\nKeep-Alive: timeout=14\r\nContent-Length: 11\r\n\r\n"
         "POST /a abc",
         false},
        {"HEAD /a HTTP/1.1\r\n\r\n",
         "HTTP/1.1 200 OK\r\nX-Own: 1\r\nKeep-Alive: timeout=14\r\nContent-Length: 8\r\n\r\n",
         false},
        {"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n",
         "HTTP/1.1 200 OK\r\nX-Own: 1\r\nConnection: close\r\nContent-Length: 7\r\n\r\nGET /a ",
         true},
        {"GET /a HTTP/1.0\r\n\r\n",
         "HTTP/1.1 200 OK\r\nX-Own: 1\r\nConnection: close\r\nContent-Length: 7\r\n\r\nGET /a ",
         true},
        {"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
         "HTTP/1.1 200 OK\r\nX-Own: 1\r\nConnection: keep-alive\r\nKeep-Alive: timeout=14\r\n"
         "Content-Length: 7\r\n\r\nGET /a ",
         false},
    };
    Open(Echo);
    for (const auto& c : kCases) {
      const auto client = Client();
      client->Send(c.request);
      CPPUNIT_ASSERT_MESSAGE(
          c.request, RunUntil([&] { return client->got().size() >= std::strlen(c.answer); }));
      CPPUNIT_ASSERT_EQUAL(std::string(c.answer), client->got());
      if (c.ends)
        CPPUNIT_ASSERT_MESSAGE(c.request, client->SeesEnd());
      else
        CPPUNIT_ASSERT_MESSAGE(c.request, !client->ended());
    }
  }

  void RefusesMalformedByTable() {
    const struct {
      std::string request;
      int status;
    } kCases[] = {
        {"GET /a\r\n\r\n", 400},
        {"GET /a HTTP/1.1\r\nbad line\r\n\r\n", 400},
        {"GET /a HTTP/1.1\r\nA: " + std::string(600, 'a') + "\r\n\r\n", 431},
        {"POST /a HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 413},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n", 413},
        {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", 400},
        {"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 400},
    };
    OpenKeeping();
    for (const auto& c : kCases) {
      const auto client = Client();
      client->Send(c.request);
      CPPUNIT_ASSERT_MESSAGE(c.request, client->SeesEnd());
      const std::string start = "HTTP/1.1 " + std::to_string(c.status);
      CPPUNIT_ASSERT_EQUAL(start, client->got().substr(0, start.size()));
      CPPUNIT_ASSERT(Has(client->got(), "Connection: close\r\n"));
    }
    CPPUNIT_ASSERT(exchanges_.empty());
  }

  void ChunkedRequestInPieces() {
    Open(Echo);
    const auto client = Client();
    const std::string request =
        "POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for (const char c : request) {
      client->Send(std::string_view(&c, 1));
      g_main_context_iteration(nullptr, FALSE);
    }
    CPPUNIT_ASSERT(client->GotAll("POST /p hello"));
  }

  void ContinueIsSentOnce() {
    Open(Echo);
    const auto client = Client();
    client->Send("POST /c HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    CPPUNIT_ASSERT(client->GotAll("HTTP/1.1 100 Continue\r\n\r\n"));
    client->Send("x");
    client->Send("y");
    CPPUNIT_ASSERT(client->GotAll("POST /c xy"));
    CPPUNIT_ASSERT_EQUAL(client->got().find("100 Continue"), client->got().rfind("100 Continue"));
  }

  void PipelinedRequestsGoOutOneByOne() {
    OpenKeeping();
    const auto client = Client();
    client->Send(Get("/1") + Get("/2") + Get("/3"));
    for (std::size_t i = 1; i <= 3; ++i) {
      CPPUNIT_ASSERT(Handed(i));
      CPPUNIT_ASSERT_EQUAL(i, exchanges_.size());
      CPPUNIT_ASSERT_EQUAL("/" + std::to_string(i), exchanges_.back()->request().target);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->unanswered());
      exchanges_.back()->Respond(200, {}, "answer" + std::to_string(i));
      CPPUNIT_ASSERT_EQUAL(i, exchanges_.size());  // the next one never comes from inside
    }
    CPPUNIT_ASSERT(client->GotAll("answer3"));
    CPPUNIT_ASSERT(client->got().find("answer1") < client->got().find("answer2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->unanswered());
  }

  void PipelinedRequestsAnsweredInsideTheHandler() {
    Open(Echo);
    const auto client = Client();
    std::string all;
    for (int i = 0; i < 50; ++i) all += Get("/n" + std::to_string(i) + "/");
    client->Send(all);
    CPPUNIT_ASSERT(client->GotAll("GET /n49/ "));
  }

  void StreamsInChunks() {
    Open([](const std::shared_ptr<Exchange>& e) {
      e->BeginStream(200, {{"Content-Type", "text/event-stream"}});
      e->Write("one");
      e->Write("");
      e->Write("0123456789abcdef");
      e->Finish();
    });
    const auto client = Client();
    client->Send(kGet);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=14\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n";
    CPPUNIT_ASSERT(client->GotAll("0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(answer, client->got());
    client->Send(kGet);
    CPPUNIT_ASSERT(RunUntil([&] { return client->got() == answer + answer; }));
  }

  void HeadOfAStreamDoesNotWait() {
    OpenKeeping();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(1));
    exchanges_[0]->BeginStream(200, {});
    CPPUNIT_ASSERT(exchanges_[0]->unsent() > 0);
    CPPUNIT_ASSERT(client->GotAll("chunked\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, exchanges_[0]->unsent());
    exchanges_[0]->Write("late");
    CPPUNIT_ASSERT(client->GotAll("4\r\nlate\r\n"));
    exchanges_[0]->Finish();
    CPPUNIT_ASSERT(client->GotAll("0\r\n\r\n"));
  }

  void StreamsToOldClientsEndWithTheConnection() {
    Open([](const std::shared_ptr<Exchange>& e) {
      e->BeginStream(200, {});
      e->Write("one");
      e->Finish();
    });
    const auto client = Client();
    client->Send("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\none"),
                         client->got());
    CPPUNIT_ASSERT(!client->reset());
  }

  void AbortLeavesNoFinalChunk() {
    OpenKeeping();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(1));
    exchanges_[0]->BeginStream(200, {});
    exchanges_[0]->Write("part");
    exchanges_[0]->Abort();
    CPPUNIT_ASSERT(!exchanges_[0]->open());
    exchanges_[0]->Write("more");
    exchanges_[0]->Finish();
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(Has(client->got(), "4\r\npart\r\n"));
    CPPUNIT_ASSERT(!Has(client->got(), "0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->connections());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->unanswered());
  }

  void AbortResetsOldClients() {
    OpenKeeping();
    const auto client = Client();
    client->Send("GET /a HTTP/1.0\r\n\r\n");
    CPPUNIT_ASSERT(Handed(1));
    exchanges_[0]->BeginStream(200, {});
    exchanges_[0]->Write("part");
    exchanges_[0]->Abort();
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT(client->reset());
  }

  void DroppedExchangeEndsTheConnection() {
    Open([](const std::shared_ptr<Exchange>&) {});
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(client->SeesEnd());
    CPPUNIT_ASSERT_EQUAL(std::string(), client->got());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->unanswered());
  }

  void CheckGone(const std::function<void(RawClient*)>& leave) {
    OpenKeeping();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(1));
    int told = 0;
    exchanges_[0]->OnClosed([&] {
      ++told;
      exchanges_.clear();  // as an owner that lets go
    });
    const auto kept = exchanges_[0];
    leave(client.get());
    CPPUNIT_ASSERT(RunUntil([&] { return told > 0; }));
    CPPUNIT_ASSERT(!kept->open());
    kept->Respond(200, {}, "late");
    kept->BeginStream(200, {});
    kept->Write("late");
    kept->Abort();
    CPPUNIT_ASSERT_EQUAL(1, told);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->unanswered());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->connections());
  }
  void TellsThatTheClientHasGone() {
    CheckGone([](RawClient* client) { client->Close(); });
  }
  void HalfCloseCountsAsGone() {
    CheckGone([](RawClient* client) { client->EndSending(); });
  }

  void TellsWhenASlowClientHasTakenAll() {
    OpenKeeping();
    const auto client = Client();
    client->Send(kGet);
    CPPUNIT_ASSERT(Handed(1));
    int told = 0;
    exchanges_[0]->OnDrained([&] { ++told; });
    exchanges_[0]->BeginStream(200, {});
    exchanges_[0]->Write("few");
    CPPUNIT_ASSERT(client->GotAll("few"));
    CPPUNIT_ASSERT_EQUAL(0, told);                     // nothing was left untaken
    exchanges_[0]->Write(std::string(30 << 20, 'x'));  // more than the system buffers
    CPPUNIT_ASSERT(exchanges_[0]->unsent() > 0);
    CPPUNIT_ASSERT(RunUntil([&] { return !client->got().empty() && told > 0; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, exchanges_[0]->unsent());
    CPPUNIT_ASSERT_EQUAL(1, told);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}  // namespace
}  // namespace pearreach::http_server
