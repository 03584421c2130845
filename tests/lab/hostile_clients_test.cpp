// Processes of the tier beside clients that stay outside the limits: each process lives, stays
// within the memory and descriptors of its machine, and answers an ordinary request while the crowd
// is still there. The memory is that of the smallest machines of the pages. Nothing here depends on
// the speed of the machine; run it apart from other load, and without sanitizers, whose memory is
// not the program's.
#include <absl/strings/str_replace.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>

#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lab/soak/child_process.h"
#include "lab/soak/configuration_history.h"
#include "lab/soak/crowd.h"
#include "lab/soak/fleet.h"
#include "lab/soak/http_connection.h"
#include "lab/soak/operator.h"
#include "lab/soak/process_usage.h"
#include "lab/soak/request_log.h"

namespace pearreach::soak {
namespace {

constexpr int kNetwork = 215;  // of loopback addresses that no run of the soak has
constexpr std::size_t kMegabyte = 1 << 20;
// The smallest machines of the operators' pages.
constexpr int kEdgeMemoryMb = 160, kStoreMemoryMb = 270, kFileLimit = 4100, kFewFiles = 1024;
constexpr int kStoreDiskMb = 500;
constexpr std::size_t kBodyLimit = 4 * kMegabyte, kControlBodyLimit = 8 * kMegabyte;
constexpr std::size_t kFarOverTheLimit = 400 * kMegabyte;
constexpr int kCrowd = 300, kControlCrowd = 200, kBatchJobCrowd = 30;
// How long each step may take at most before a test gives up: no measure of the product. Beside the
// crowd a caller gives up after kCallerPatience, in several tries.
constexpr Microseconds kPatience = 60 * kSecond, kSending = 15 * kSecond;
constexpr Microseconds kCallerPatience = 20 * kSecond;
constexpr Microseconds kBetweenTries = 200 * kMillisecond;

bool Await(const std::function<bool()>& done, Microseconds longest = kPatience) {
  const Microseconds until = Now() + longest;
  while (Now() <= until) {
    if (done()) return Now() <= until;
    SleepFor(kBetweenTries);
  }
  return false;
}

// A batch job of about `bytes` as JSON, in 20 items.
std::string BatchJobOf(std::size_t bytes) {
  constexpr std::size_t kItems = 20;
  const std::string payload(bytes / kItems / 4 * 4, 'A');
  std::string text = R"({"entries":[)";
  for (std::size_t item = 0; item < kItems; ++item)
    text += fmt::format(
        R"({}{{"worker_id":"crowd-item-{}","path":"/stream/1","headers":{{"X-Model":"m","X-Token-Count":"4,2"}},"payload":"{}","tokens":1}})",
        item == 0 ? "" : ",", item, payload);
  return text + "]}";
}

// The memory and descriptors of one process, held to its settings.
struct Watched {
  Member* member;
  int memory_mb;
  pid_t process;
  std::unique_ptr<UsageWatch> usage;
};

class HostileClientsTest : public testing::Test {
 protected:
  void StartNodes(int file_limit = kFileLimit) {
    char folder[] = "/tmp/pearreach-hostile-XXXXXX";
    ASSERT_NE(mkdtemp(folder), nullptr);
    folder_ = folder;
    FleetOptions options;
    options.programs = PEARREACH_PROGRAMS;
    options.folder = folder_;
    options.network = kNetwork;
    options.edges = 3;
    options.stores = 2;
    options.workers = 2;
    options.grace = 4 * kSecond;
    options.edge_memory_mb = kEdgeMemoryMb;
    options.store_memory_mb = kStoreMemoryMb;
    options.store_disk_mb = kStoreDiskMb;
    options.file_limit = file_limit;
    file_limit_ = file_limit;
    fleet_ = std::make_unique<Fleet>(options);
    fleet_->StartNodes();
    for (Member* edge : fleet_->Of(Member::Kind::kEdge)) Watch(edge, kEdgeMemoryMb);
    for (Member* store : fleet_->Of(Member::Kind::kStore)) Watch(store, kStoreMemoryMb);
    edge_ = fleet_->Of(Member::Kind::kEdge).front();
  }
  void Configure() {
    operator_ = std::make_unique<Operator>(/*seed=*/1, fleet_.get(), &history_, &log_);
    ASSERT_TRUE(operator_->PutFirst());
    fleet_->StartWorkers();
  }
  void Start(int file_limit = kFileLimit) {
    ASSERT_NO_FATAL_FAILURE(StartNodes(file_limit));
    ASSERT_NO_FATAL_FAILURE(Configure());
    ASSERT_TRUE(Await([this] { return AsksOnce(edge_) == 200; }));
  }
  void Watch(Member* member, int memory_mb) {
    watched_.push_back({member, memory_mb, member->process_id(),
                        std::make_unique<UsageWatch>(member->process_id(), member->ip())});
  }
  void TearDown() override {
    crowds_.clear();
    watched_.clear();
    fleet_.reset();
    if (!HasFailure()) std::filesystem::remove_all(folder_);
  }

  // An ordinary request; the status of its answer, 0: none.
  int AsksOnce(const Member* edge) {
    HttpConnection connection(edge->ip(), kEdgePort);
    return connection.Ask(Ordinary("POST", "/plain/1")).status;
  }
  HttpRequest Ordinary(const std::string& method, const std::string& target) {
    HttpRequest request{method, target, {}, method == "POST" ? "some text" : ""};
    request.headers = {{"X-Attempt-Id", fmt::format("ordinary-{}", ++ids_)},
                       {"Authorization", fmt::format("Token {}", kKeptKey)}};
    return request;
  }
  CrowdOptions At(const Member* edge, int port, BodyForm form, std::size_t body_bytes,
                  int connections) const {
    CrowdOptions options;
    options.ip = edge->ip();
    options.port = port;
    options.headers = {{"Authorization", fmt::format("Token {}", kKeptKey)}};
    options.connections = connections;
    options.form = form;
    options.body_bytes = body_bytes;
    if (form == BodyForm::kWholeLength) options.whole_body = std::string(body_bytes, 'x');
    if (port == kControlPort) options.target = "/Config.Replace";
    return options;
  }
  void Open(CrowdOptions options) {
    crowds_.push_back(std::make_unique<Crowd>(std::move(options)));
  }
  void OpenAtEdge(BodyForm form, std::size_t body_bytes = kBodyLimit) {
    Open(At(edge_, kEdgePort, form, body_bytes, kCrowd));
  }
  void AwaitSent() {
    for (const auto& crowd : crowds_) crowd->AwaitSent(kSending);
  }

  void ExpectWithinLimits() {
    for (const Watched& each : watched_) {
      EXPECT_TRUE(each.member->Runs()) << each.member->name();
      EXPECT_EQ(each.member->process_id(), each.process);
      EXPECT_LE(each.usage->peak_bytes() / kMegabyte, static_cast<std::size_t>(each.memory_mb))
          << each.member->name();
      EXPECT_LE(each.usage->peak_descriptors(), static_cast<std::size_t>(file_limit_))
          << each.member->name();
    }
  }
  void ExpectOrdinaryAnswer() {
    EXPECT_TRUE(Await([this] { return AsksOnce(edge_) == 200; }, kCallerPatience));
  }
  void ExpectControlAnswer() {
    EXPECT_TRUE(Await(
        [this] {
          HttpConnection connection(edge_->ip(), kControlPort);
          return connection.Ask(Ordinary("GET", "/Config.Read")).status == 200;
        },
        kCallerPatience));
  }
  // The crowd has sent what it means to, and is still there.
  void ExpectServiceBesideCrowd() {
    AwaitSent();
    ExpectOrdinaryAnswer();
    ExpectControlAnswer();
    ExpectWithinLimits();
  }

  std::string folder_;
  ConfigurationHistory history_;
  RequestLog log_;
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<Operator> operator_;
  std::vector<Watched> watched_;
  std::vector<std::unique_ptr<Crowd>> crowds_;
  Member* edge_ = nullptr;
  int ids_ = 0, file_limit_ = 0;
};

// ---------------------------------------------------------------- at the edge address

TEST_F(HostileClientsTest, BodiesAnnouncedFarOverTheLimit) {
  ASSERT_NO_FATAL_FAILURE(Start());
  OpenAtEdge(BodyForm::kShortOfLength, kFarOverTheLimit);
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsTest, BodiesSentFarOverTheLimit) {
  ASSERT_NO_FATAL_FAILURE(Start());
  OpenAtEdge(BodyForm::kEndlessChunks);
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsTest, AnnouncedBodiesThatNeverCome) {
  ASSERT_NO_FATAL_FAILURE(Start());
  OpenAtEdge(BodyForm::kAnnouncedOnly);
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsTest, WholeLargeBodies) {
  ASSERT_NO_FATAL_FAILURE(Start());
  OpenAtEdge(BodyForm::kWholeLength);
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsTest, LargeBodiesThatStopShort) {
  ASSERT_NO_FATAL_FAILURE(Start());
  OpenAtEdge(BodyForm::kShortOfLength);
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsTest, LargeBodiesInPiecesThatStopShort) {
  ASSERT_NO_FATAL_FAILURE(Start());
  OpenAtEdge(BodyForm::kPiecesOfLength);
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsTest, LargeChunksThatStopShort) {
  ASSERT_NO_FATAL_FAILURE(Start());
  OpenAtEdge(BodyForm::kLargeChunks);
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsTest, ChunksOfOneByteThatStopShort) {
  ASSERT_NO_FATAL_FAILURE(Start());
  OpenAtEdge(BodyForm::kChunksOfOneByte);
  ExpectServiceBesideCrowd();
}

// The crowd comes back whenever it is refused, and there are fewer descriptors than connections.
TEST_F(HostileClientsTest, CrowdThatReconnectsWithFewDescriptors) {
  ASSERT_NO_FATAL_FAILURE(Start(kFewFiles));
  CrowdOptions options = At(edge_, kEdgePort, BodyForm::kShortOfLength, kBodyLimit, kCrowd);
  options.reconnects = true;
  Open(std::move(options));
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsTest, AllFormsAtOnce) {
  ASSERT_NO_FATAL_FAILURE(Start());
  for (const BodyForm form :
       {BodyForm::kWholeLength, BodyForm::kShortOfLength, BodyForm::kPiecesOfLength,
        BodyForm::kLargeChunks, BodyForm::kChunksOfOneByte, BodyForm::kEndlessChunks})
    Open(At(edge_, kEdgePort, form, kBodyLimit, kCrowd / 6));
  ExpectServiceBesideCrowd();
}

// ---------------------------------------------------------------- at the control address

TEST_F(HostileClientsTest, WholeLargeBodiesAtControl) {
  ASSERT_NO_FATAL_FAILURE(Start());
  Open(At(edge_, kControlPort, BodyForm::kWholeLength, kControlBodyLimit, kControlCrowd));
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsTest, LargeBodiesThatStopShortAtControl) {
  ASSERT_NO_FATAL_FAILURE(Start());
  Open(At(edge_, kControlPort, BodyForm::kShortOfLength, kControlBodyLimit, kControlCrowd));
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsTest, ChunksOfOneByteThatStopShortAtControl) {
  ASSERT_NO_FATAL_FAILURE(Start());
  Open(At(edge_, kControlPort, BodyForm::kChunksOfOneByte, kControlBodyLimit, kControlCrowd));
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsTest, LargeBodiesThatStopShortAtReadiness) {
  ASSERT_NO_FATAL_FAILURE(Start());
  Open(At(edge_, kReadinessPort, BodyForm::kShortOfLength, kControlBodyLimit, kControlCrowd));
  ExpectServiceBesideCrowd();
}

// ---------------------------------------------------------------- behind the server

// Large batch jobs at several edge nodes at once: each exists several times there, and at stores.
TEST_F(HostileClientsTest, WholeLargeBatchJobs) {
  ASSERT_NO_FATAL_FAILURE(Start());
  const std::string batch_job = BatchJobOf(kBodyLimit - 64 * 1024);
  for (const Member* edge : fleet_->Of(Member::Kind::kEdge)) {
    CrowdOptions options =
        At(edge, kEdgePort, BodyForm::kWholeLength, batch_job.size(), kBatchJobCrowd);
    options.whole_body = batch_job;
    options.target = "/lots-in/1";
    Open(std::move(options));
  }
  AwaitSent();
  EXPECT_TRUE(Await([this] {
    HttpRequest submit = Ordinary("POST", "/lots-in/1");
    submit.body = BatchJobOf(1000);
    HttpConnection connection(edge_->ip(), kEdgePort);
    return connection.Ask(submit).status == 202;
  }));
  ExpectServiceBesideCrowd();
}

// A single large batch job is within the limits: it is taken in calm.
TEST_F(HostileClientsTest, LargestBatchJobIsTakenInCalm) {
  ASSERT_NO_FATAL_FAILURE(Start());
  HttpRequest submit = Ordinary("POST", "/lots-in/1");
  submit.body = BatchJobOf(kBodyLimit - 64 * 1024);
  EXPECT_TRUE(Await([&] {
    HttpConnection connection(edge_->ip(), kEdgePort);
    return connection.Ask(submit).status == 202;
  }));
  ExpectWithinLimits();
}

// Likewise a single request of the largest size, and one in chunks.
TEST_F(HostileClientsTest, LargestRequestIsServedInCalm) {
  ASSERT_NO_FATAL_FAILURE(Start());
  HttpRequest request = Ordinary("POST", "/plain/1");
  request.body = std::string(kBodyLimit, 'x');
  HttpConnection connection(edge_->ip(), kEdgePort);
  EXPECT_EQ(connection.Ask(request).status, 200);
  ExpectWithinLimits();
}

// Requests wait for the first configuration.
TEST_F(HostileClientsTest, WholeLargeBodiesBeforeTheFirstConfiguration) {
  ASSERT_NO_FATAL_FAILURE(StartNodes());
  CrowdOptions options = At(edge_, kEdgePort, BodyForm::kWholeLength, kBodyLimit, kCrowd);
  options.headers.emplace_back("X-Deadline-Ms", "30000");
  Open(std::move(options));
  AwaitSent();
  ASSERT_NO_FATAL_FAILURE(Configure());
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsTest, LoweredLimitBesideTheCrowd) {
  ASSERT_NO_FATAL_FAILURE(Start());
  OpenAtEdge(BodyForm::kShortOfLength);
  AwaitSent();
  HttpRequest replace = Ordinary("POST", "/Config.Replace");
  replace.headers.emplace_back("X-Parent-Version", "1");
  replace.body = absl::StrReplaceAll(history_.All().front().configuration.Json(2),
                                     {{"\"max_body_bytes\":4194304", "\"max_body_bytes\":65536"}});
  EXPECT_TRUE(Await([&] {
    HttpConnection connection(edge_->ip(), kControlPort);
    return connection.Ask(replace).status == 200;
  }));
  ExpectServiceBesideCrowd();
}

// A drain that the crowd does not hold up.
TEST_F(HostileClientsTest, DrainBesideTheCrowd) {
  ASSERT_NO_FATAL_FAILURE(Start());
  OpenAtEdge(BodyForm::kPiecesOfLength);
  Open(At(edge_, kControlPort, BodyForm::kShortOfLength, kControlBodyLimit, kControlCrowd));
  AwaitSent();
  ExpectWithinLimits();
  edge_->Signal(SIGTERM);
  const auto code = edge_->AwaitEnd(kPatience);
  ASSERT_TRUE(code.has_value());
  EXPECT_EQ(*code, 0);
  EXPECT_LE(watched_.front().usage->peak_bytes() / kMegabyte,
            static_cast<std::size_t>(kEdgeMemoryMb));
  const Member* other = fleet_->Of(Member::Kind::kEdge)[1];
  EXPECT_TRUE(Await([&] { return AsksOnce(other) == 200; }));
}

// ---------------------------------------------------------------- the node

constexpr int kNodeMemoryMb = 96, kNodeSockets = 4096, kNodeCrowd = 1500;
constexpr int kNodePort = 19244, kNodeAdminPort = 19246;
constexpr std::size_t kNodeBodyLimit = 64 << 10;

// The node of the earlier platform, whose bodies are smaller and connections more.
class HostileClientsAtNodeTest : public testing::Test {
 protected:
  void SetUp() override {
    char folder[] = "/tmp/pearreach-hostile-node-XXXXXX";
    ASSERT_NE(mkdtemp(folder), nullptr);
    folder_ = folder;
    WriteConfiguration();
    node_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{PEARREACH_PROGRAMS "/pearreach", "serve", "--config",
                                 folder_ + "/config.json"},
        folder_ + "/node.log");
    usage_ = std::make_unique<UsageWatch>(node_->id(), kIp);
    ASSERT_TRUE(Await([this] { return Answers(kNodePort, "/ready"); }));
  }
  void TearDown() override {
    crowd_.reset();
    usage_.reset();
    node_.reset();
    if (!HasFailure()) std::filesystem::remove_all(folder_);
  }
  void WriteConfiguration() const {
    std::ifstream example(PEARREACH_EXAMPLE);
    const std::string text((std::istreambuf_iterator<char>(example)),
                           std::istreambuf_iterator<char>());
    const std::string changed = absl::StrReplaceAll(
        text, {{"\"listen\": \"127.0.0.1:3000\"",
                fmt::format("\"listen\": \"{}:{}\", \"operator\": \"{}:{}\"", kIp, kNodePort, kIp,
                            kNodeAdminPort)},
               {"\"memory_mb\": 192", fmt::format("\"memory_mb\": {}", kNodeMemoryMb)},
               {"\"sockets\": 1024", fmt::format("\"sockets\": {}", kNodeSockets)}});
    std::ofstream(folder_ + "/config.json") << changed;
  }
  static bool Answers(int port, const std::string& target) {
    HttpConnection connection(kIp, port);
    return connection.Ask({"GET", target, {}, ""}).complete;
  }
  void Open(int port, BodyForm form, std::size_t body_bytes) {
    CrowdOptions options;
    options.ip = kIp;
    options.port = port;
    options.target = "/render/1";
    options.headers = {{"X-Priority-Class", "render"}, {"X-Timeout", "5000m"}};
    options.connections = kNodeCrowd;
    options.form = form;
    options.body_bytes = body_bytes;
    if (form == BodyForm::kWholeLength) options.whole_body = std::string(body_bytes, 'x');
    crowd_ = std::make_unique<Crowd>(std::move(options));
  }
  void ExpectServiceBesideCrowd() {
    crowd_->AwaitSent(kSending);
    EXPECT_TRUE(Await([] { return Answers(kNodePort, "/ready"); }));
    EXPECT_TRUE(Await([] { return Answers(kNodeAdminPort, "/_vars"); }));
    EXPECT_FALSE(node_->Ended().has_value());
    EXPECT_LE(usage_->peak_bytes() / kMegabyte, static_cast<std::size_t>(kNodeMemoryMb));
    EXPECT_LE(usage_->peak_descriptors(), static_cast<std::size_t>(kNodeSockets));
  }

  static constexpr char kIp[] = "127.216.10.1";
  std::string folder_;
  std::unique_ptr<ChildProcess> node_;
  std::unique_ptr<UsageWatch> usage_;
  std::unique_ptr<Crowd> crowd_;
};

TEST_F(HostileClientsAtNodeTest, BodiesAnnouncedFarOverTheLimit) {
  Open(kNodePort, BodyForm::kShortOfLength, kFarOverTheLimit);
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsAtNodeTest, BodiesSentFarOverTheLimit) {
  Open(kNodePort, BodyForm::kEndlessChunks, 16 * kNodeBodyLimit);
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsAtNodeTest, WholeLargeBodies) {
  Open(kNodePort, BodyForm::kWholeLength, kNodeBodyLimit);
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsAtNodeTest, LargeBodiesThatStopShort) {
  Open(kNodePort, BodyForm::kShortOfLength, kNodeBodyLimit);
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsAtNodeTest, ChunksOfOneByteThatStopShort) {
  Open(kNodePort, BodyForm::kChunksOfOneByte, kNodeBodyLimit);
  ExpectServiceBesideCrowd();
}

TEST_F(HostileClientsAtNodeTest, LargeBodiesThatStopShortAtTheAdminAddress) {
  Open(kNodeAdminPort, BodyForm::kShortOfLength, kNodeBodyLimit);
  ExpectServiceBesideCrowd();
}

}  // namespace
}  // namespace pearreach::soak
