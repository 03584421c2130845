// Processes of the tier that get SIGTERM while clients go on using the connections they have: each
// request that was read is answered.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "lab/soak/configuration_history.h"
#include "lab/soak/fleet.h"
#include "lab/soak/http_connection.h"
#include "lab/soak/operator.h"
#include "lab/soak/request_log.h"

namespace pearreach::soak {
namespace {

constexpr Microseconds kReadyWithin = 60 * kSecond, kEndWithin = 20 * kSecond;
constexpr Microseconds kEventPause = 20 * kMillisecond;  // of a stand-in worker's streams
constexpr int kFirstNetwork = 202;  // of loopback addresses that no run of the soak has

// The tests of this file may run side by side: each has a network of its own.
int NetworkOfTest() {
  const testing::UnitTest& all = *testing::UnitTest::GetInstance();
  const testing::TestSuite& suite = *all.current_test_suite();
  int place = 0;
  while (suite.GetTestInfo(place) != all.current_test_info()) ++place;
  return kFirstNetwork + place;
}

class LeavingNodeTest : public testing::Test {
 protected:
  void Start(Microseconds grace) {
    char folder[] = "/tmp/pearreach-leaving-XXXXXX";
    ASSERT_NE(mkdtemp(folder), nullptr);
    folder_ = folder;
    FleetOptions options;
    options.programs = PEARREACH_PROGRAMS;
    options.folder = folder_;
    options.network = NetworkOfTest();
    options.edges = 3;
    options.stores = 2;
    options.workers = 2;
    options.grace = grace;
    fleet_ = std::make_unique<Fleet>(options);
    fleet_->StartNodes();
    Operator puts(/*seed=*/1, fleet_.get(), &history_, &log_);
    ASSERT_TRUE(puts.PutFirst());
    fleet_->StartWorkers();
    edge_ = fleet_->Of(Member::Kind::kEdge).front();
    ASSERT_TRUE(Await([this] { return Get("/plain/1", {}).status == 200; }));
  }
  void TearDown() override {
    fleet_.reset();
    if (!HasFailure()) std::filesystem::remove_all(folder_);
  }

  static bool Await(const std::function<bool()>& done) {
    const Microseconds until = Now() + kReadyWithin;
    while (!done())
      if (Now() > until)
        return false;
      else
        SleepFor(50 * kMillisecond);
    return true;
  }

  HttpRequest Request(const std::string& method, const std::string& target,
                      std::vector<std::pair<std::string, std::string>> headers) {
    headers.emplace_back("X-Attempt-Id", fmt::format("id-{}", ++ids_));
    headers.emplace_back("Authorization", fmt::format("Token {}", kKeptKey));
    return {method, target, std::move(headers), method == "POST" ? "some text" : ""};
  }
  HttpRequest Work(Microseconds work, Microseconds deadline) {
    return Request("POST", "/effect/1",
                   {{"X-Work-Ms", std::to_string(work / kMillisecond)},
                    {"X-Deadline-Ms", std::to_string(deadline / kMillisecond)}});
  }
  HttpRequest Stream(Microseconds length) {
    return Request("POST", "/stream/1",
                   {{"X-Model", "m"},
                    {"X-Token-Count", fmt::format("4,{}", length / kEventPause)},
                    {"X-Deadline-Ms", "11000"}});
  }
  HttpAnswer Get(const std::string& target,
                 std::vector<std::pair<std::string, std::string>> headers) {
    HttpConnection connection(edge_->ip(), kEdgePort);
    return connection.Ask(Request("POST", target, std::move(headers)));
  }
  void Terminate() {
    terminated_at_ = Now();
    edge_->Signal(SIGTERM);
  }
  Microseconds SinceSignal() const { return Now() - terminated_at_; }
  void ExpectEndInTime() {
    const auto code = edge_->AwaitEnd(kEndWithin);
    ASSERT_TRUE(code.has_value());
    EXPECT_EQ(*code, 0);
    EXPECT_LE(SinceSignal(), edge_->grace());
  }

  std::string folder_;
  ConfigurationHistory history_;
  RequestLog log_;
  std::unique_ptr<Fleet> fleet_;
  Member* edge_ = nullptr;
  Microseconds terminated_at_ = 0;
  std::atomic<int> ids_ = 0;
};

// Guards against requests that were taken late in the grace, ran, and got no answer (review/3).
TEST_F(LeavingNodeTest, AnswersRequestsThatFollowAStream) {
  ASSERT_NO_FATAL_FAILURE(Start(8 * kSecond));
  constexpr int kClients = 8;
  std::vector<HttpAnswer> answers(kClients);
  std::atomic<int> followed = 0;
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      HttpConnection connection(edge_->ip(), kEdgePort);
      if (!connection.Connect()) return;
      connection.Ask(Stream(3800 * kMillisecond + number * 50 * kMillisecond));
      if (!connection.open()) return;
      ++followed;
      answers[static_cast<std::size_t>(number)] =
          connection.Ask(Work(4200 * kMillisecond, 6 * kSecond));
    });
  }
  SleepFor(700 * kMillisecond);
  Terminate();
  ExpectEndInTime();
  for (std::thread& client : clients) client.join();
  EXPECT_GT(followed, 0);
  int answered = 0;
  for (const HttpAnswer& answer : answers) answered += answer.sent && answer.complete ? 1 : 0;
  EXPECT_EQ(answered, followed);
}

// Guards against an end before the last sixth of a short grace, with workers at work.
TEST_F(LeavingNodeTest, UsesAShortGrace) {
  ASSERT_NO_FATAL_FAILURE(Start(2 * kSecond));
  HttpAnswer answer;
  std::thread client([&] {
    HttpConnection connection(edge_->ip(), kEdgePort);
    answer = connection.Ask(Work(1500 * kMillisecond, 6 * kSecond));
  });
  SleepFor(100 * kMillisecond);
  Terminate();
  ExpectEndInTime();
  client.join();
  EXPECT_EQ(answer.status, 200);
  EXPECT_TRUE(answer.complete);
}

// Guards against work that outlasts the grace and got no answer at all.
TEST_F(LeavingNodeTest, AnswersWhatOutlastsTheGrace) {
  ASSERT_NO_FATAL_FAILURE(Start(2 * kSecond));
  HttpAnswer answer;
  std::thread client([&] {
    HttpConnection connection(edge_->ip(), kEdgePort);
    answer = connection.Ask(Work(5 * kSecond, 6 * kSecond));
  });
  SleepFor(300 * kMillisecond);
  Terminate();
  ExpectEndInTime();
  client.join();
  EXPECT_TRUE(answer.complete);
  EXPECT_TRUE(answer.status == 502 || answer.status == 504) << answer.status;
}

// Guards against reads that were held when their node ended, and got no answer.
TEST_F(LeavingNodeTest, AnswersHeldReads) {
  ASSERT_NO_FATAL_FAILURE(Start(4 * kSecond));
  HttpRequest submit = Request("POST", "/lots-in/1", {});
  const std::string id = submit.headers.front().second;
  submit.body = fmt::format(
      R"({{"entries":[{{"worker_id":"i-1","path":"/stream/1","headers":{{"X-Model":"m","X-Token-Count":"4,1000"}},"payload":"cHJvbXB0","tokens":7}}]}})");
  ASSERT_TRUE(Await([&] {
    HttpConnection connection(edge_->ip(), kEdgePort);
    return connection.Ask(submit).status == 202;
  }));
  HttpAnswer answer;
  std::thread client([&] {
    HttpConnection connection(edge_->ip(), kEdgePort);
    answer = connection.Ask(
        Request("GET", fmt::format("/lots/{}?start_after=0", id), {{"X-Wait-Ms", "9000"}}));
  });
  SleepFor(300 * kMillisecond);
  Terminate();
  ExpectEndInTime();
  client.join();
  EXPECT_TRUE(answer.complete);
  EXPECT_TRUE(answer.status == 503 || answer.status == 200) << answer.status;
}

// Guards against pipelined requests that were read behind a slow one and dropped at the end.
TEST_F(LeavingNodeTest, AnswersPipelinedRequests) {
  ASSERT_NO_FATAL_FAILURE(Start(2 * kSecond));
  HttpConnection connection(edge_->ip(), kEdgePort);
  ASSERT_TRUE(connection.Connect());
  ASSERT_TRUE(connection.Send(BytesOf(Work(5 * kSecond, 6 * kSecond)) +
                              BytesOf(Work(kSecond, 6 * kSecond)) +
                              BytesOf(Work(kSecond, 6 * kSecond))));
  SleepFor(300 * kMillisecond);
  Terminate();
  const HttpAnswer first = connection.ReadAnswer();
  EXPECT_TRUE(first.status == 502 || first.status == 504) << first.status;
  EXPECT_EQ(connection.ReadAnswer().status, 503);
  EXPECT_EQ(connection.ReadAnswer().status, 503);
  EXPECT_FALSE(connection.open());
  ExpectEndInTime();
}

// Guards against connections that ended in the middle of a body without a word.
TEST_F(LeavingNodeTest, RefusesBodiesThatDoNotComeInTime) {
  ASSERT_NO_FATAL_FAILURE(Start(2 * kSecond));
  HttpConnection connection(edge_->ip(), kEdgePort);
  ASSERT_TRUE(connection.Connect());
  const std::string bytes = BytesOf(Work(0, 6 * kSecond));
  ASSERT_TRUE(connection.Send(bytes.substr(0, bytes.size() - 2)));
  SleepFor(300 * kMillisecond);
  Terminate();
  EXPECT_EQ(connection.ReadAnswer().status, 503);
  ExpectEndInTime();
}

// Guards against a second SIGTERM, or a SIGHUP, that changes what the first one has begun.
TEST_F(LeavingNodeTest, TakesFurtherSignalsWhileItStops) {
  ASSERT_NO_FATAL_FAILURE(Start(4 * kSecond));
  HttpAnswer answer;
  std::thread client([&] {
    HttpConnection connection(edge_->ip(), kEdgePort);
    answer = connection.Ask(Work(2800 * kMillisecond, 6 * kSecond));
  });
  SleepFor(100 * kMillisecond);
  Terminate();
  for (const int number : {SIGTERM, SIGHUP, SIGTERM, SIGHUP}) {
    SleepFor(300 * kMillisecond);
    edge_->Signal(number);
  }
  ExpectEndInTime();
  client.join();
  EXPECT_EQ(answer.status, 200);
}

// Guards against control calls that were read and dropped; crossing the close is allowed.
TEST_F(LeavingNodeTest, AnswersControlCallsUntilItsEnd) {
  ASSERT_NO_FATAL_FAILURE(Start(2 * kSecond));
  int answered = 0, lost = 0;
  Terminate();
  while (SinceSignal() < 3 * kSecond) {
    HttpConnection connection(edge_->ip(), kControlPort);
    if (!connection.Connect()) break;
    const Microseconds sent_at = Now();
    const HttpAnswer answer = connection.Ask(Request("GET", "/Config.Read", {}));
    const bool crossed = Now() - sent_at < 200 * kMillisecond;
    answered += answer.complete ? 1 : 0;
    lost += !answer.complete && !crossed ? 1 : 0;
  }
  ExpectEndInTime();
  EXPECT_GT(answered, 0);
  EXPECT_EQ(lost, 0);
}

}  // namespace
}  // namespace pearreach::soak
