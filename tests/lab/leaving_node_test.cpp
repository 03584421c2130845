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
  Start(8 * kSecond);
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

}  // namespace
}  // namespace pearreach::soak
