// The clients' calls about lots, and the calls to the stores behind them.
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

#include "common/event_loop/timers.h"
#include "edge_fakes.h"
#include "tier/batch/batch_job_api.h"
#include "tier/batch/batch_job_json.h"
#include "tier/batch/item_tenant.h"
#include "tier/batch/store_client.h"

namespace pearreach::batch {
namespace {

using namespace edge_test;
using rpc::MessageType;

constexpr char kBatchJob[] =
    R"({"entries":[{"worker_id":"i1","path":"/b/1","headers":{"X-Model":"m"},)"
    R"("payload":"q83vEjRWeJA=","tokens":940}]})";

constexpr char kForgedItem[] =
    R"({"entries":[{"worker_id":"i1","path":"/b/1","headers":{"x-tenant":"other",)"
    R"("authorization":"Token k","X-Model":"m"},"payload":"q83vEjRWeJA=","tokens":940}]})";

class EdgeBatchJobApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgeBatchJobApiTest);
  CPPUNIT_TEST(SubmitsABatchJob);
  CPPUNIT_TEST(SetsTheTenantOfItemsWhateverTheClientSent);
  CPPUNIT_TEST(DropsTenantsOfItemsOnPublicRoutes);
  CPPUNIT_TEST(PassesHeadersOfItemsOnWithoutTenants);
  CPPUNIT_TEST(RejectsItemsWithHeadersThatHideATenant);
  CPPUNIT_TEST(MapsEveryCreateOutcomeToAStatus);
  CPPUNIT_TEST(RejectsMalformedBatchJobs);
  CPPUNIT_TEST(ReportsTimeoutAfterAnUncertainCreate);
  CPPUNIT_TEST(RejectsWhatWasNeverSent);
  CPPUNIT_TEST(FollowsANewPrimary);
  CPPUNIT_TEST(ReadsOutputs);
  CPPUNIT_TEST(BoundsTheResponseSize);
  CPPUNIT_TEST(ReadsAnItemBody);
  CPPUNIT_TEST(CancelsABatchJob);
  CPPUNIT_TEST(RejectsCallsBeforeAConfiguration);
  CPPUNIT_TEST(CancelsTheCallOfADisconnectedClient);
  CPPUNIT_TEST(ShutdownAnswersHeldReads);
  CPPUNIT_TEST(ShutdownAnswersSubmissionsByWhatIsKnown);
  CPPUNIT_TEST(DrainBoundsTheTimeOfCalls);
  CPPUNIT_TEST(RecognizesItsPaths);
  CPPUNIT_TEST_SUITE_END();

  static std::shared_ptr<FakeExchange> Request(const std::string& method, const std::string& target,
                                               std::vector<http::Header> headers = {},
                                               const std::string& body = {}) {
    auto exchange = std::make_shared<FakeExchange>();
    exchange->message.method = method;
    exchange->message.target = target;
    exchange->message.headers = std::move(headers);
    exchange->message.body = body;
    return exchange;
  }

  std::shared_ptr<FakeExchange> Submit(const std::string& body,
                                       const std::string& deadline = "4000",
                                       const std::optional<std::string>& tenant = std::nullopt) {
    auto exchange =
        Request("POST", "/b/x", {{"X-Attempt-Id", "lot"}, {"X-Deadline-Ms", deadline}}, body);
    api_.Submit(exchange, *control_.snapshot->routes->FindRoute("bulk"), tenant);
    return exchange;
  }

  // The stores answer that the lot may come.
  void GrantQuotaAndOffer() {
    transport_.Next(MessageType::kQuotaQuery).Reply(QuotaResponse{QuotaDecision::kGranted, 0});
    transport_.Next(MessageType::kBatchJobAdmission)
        .Reply(OfferBatchJobResponse{OfferVerdict::kWelcome});
  }

  std::shared_ptr<FakeExchange> Handle(const std::string& method, const std::string& target,
                                       std::vector<http::Header> headers = {}) {
    auto exchange = Request(method, target, std::move(headers));
    api_.Handle(exchange);
    return exchange;
  }

  Timers timers_;
  FakeMesh transport_;
  FakeControl control_;
  StoreClient stores_{&timers_, &transport_, &control_};
  BatchJobApi api_{&timers_, &stores_, &control_, {120, 0.1}};

 public:
  void setUp() override {
    control_.AddStore("s0", "d");
    control_.AddStore("s1", "d");
    control_.SetConfig(kBulkConfig);
    control_.SetTable(TableOf({"s0", "d"}, {"s1", "d"}));
  }

  void SubmitsABatchJob() {
    const auto exchange = Submit(kBatchJob);
    GrantQuotaAndOffer();
    const FakeCall call = transport_.Next(MessageType::kBatchJobCreate);
    CPPUNIT_ASSERT_EQUAL(std::string("s0:1"), call.address);
    const auto create = call.As<CreateBatchJob>();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, create.placement_epoch);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, create.partition_epoch);
    CPPUNIT_ASSERT_EQUAL(std::string("lot"), create.batch_job.batch_job_id);
    CPPUNIT_ASSERT_EQUAL(std::string("bulk"), create.batch_job.route);
    CPPUNIT_ASSERT_EQUAL(std::string("h.example"), create.batch_job.host);
    CPPUNIT_ASSERT_EQUAL(2, create.batch_job.attempts);
    CPPUNIT_ASSERT_EQUAL(100.0, create.batch_job.token_cap);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, create.batch_job.items.size());
    CPPUNIT_ASSERT_EQUAL(std::string("\xab\xcd\xef\x12\x34\x56\x78\x90"),
                         create.batch_job.items[0].body);
    CPPUNIT_ASSERT_EQUAL(940.0, create.batch_job.items[0].tokens);
    CPPUNIT_ASSERT_EQUAL(Fingerprint(kBatchJob), create.batch_job.fingerprint);
    call.Reply(CreateBatchJobResponse{});
    CPPUNIT_ASSERT_EQUAL(202, exchange->status);
  }

  // UNASKED: an item runs for the tenant that submitted it, and its cap is counted for that one.
  void SetsTheTenantOfItemsWhateverTheClientSent() {
    Submit(kForgedItem, "4000", "acme");
    const FakeCall query = transport_.Next(MessageType::kQuotaQuery);
    CPPUNIT_ASSERT_EQUAL(QuotaKey("bulk", "acme"), query.As<QuotaQuery>().route);
    query.Reply(QuotaResponse{QuotaDecision::kGranted, 0});
    transport_.Next(MessageType::kBatchJobAdmission)
        .Reply(OfferBatchJobResponse{OfferVerdict::kWelcome});
    const FakeCall call = transport_.Next(MessageType::kBatchJobCreate);
    const auto create = call.As<CreateBatchJob>();
    call.Reply(CreateBatchJobResponse{});  // the submission ends with its response
    const ItemSpec& item = create.batch_job.items[0];
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, item.headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("X-Model"), item.headers[0].first);
    CPPUNIT_ASSERT_EQUAL(std::string("acme"), TenantOf(create.batch_job));
  }

  // UNASKED: on a public route nobody's key was seen, so no item runs for a tenant.
  void DropsTenantsOfItemsOnPublicRoutes() {
    Submit(kForgedItem, "4000", "");
    const FakeCall query = transport_.Next(MessageType::kQuotaQuery);
    CPPUNIT_ASSERT_EQUAL(QuotaKey("bulk", ""), query.As<QuotaQuery>().route);
    query.Reply(QuotaResponse{QuotaDecision::kGranted, 0});
    transport_.Next(MessageType::kBatchJobAdmission)
        .Reply(OfferBatchJobResponse{OfferVerdict::kWelcome});
    const FakeCall call = transport_.Next(MessageType::kBatchJobCreate);
    const auto create = call.As<CreateBatchJob>();
    call.Reply(CreateBatchJobResponse{});  // the submission ends with its response
    const ItemSpec& item = create.batch_job.items[0];
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, item.headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("X-Model"), item.headers[0].first);
  }

  void PassesHeadersOfItemsOnWithoutTenants() {
    Submit(kForgedItem);
    // What a client calls itself does not part its tokens from those of others.
    const FakeCall query = transport_.Next(MessageType::kQuotaQuery);
    CPPUNIT_ASSERT_EQUAL(std::string("bulk"), query.As<QuotaQuery>().route);
    query.Reply(QuotaResponse{QuotaDecision::kGranted, 0});
    transport_.Next(MessageType::kBatchJobAdmission)
        .Reply(OfferBatchJobResponse{OfferVerdict::kWelcome});
    const FakeCall call = transport_.Next(MessageType::kBatchJobCreate);
    const auto create = call.As<CreateBatchJob>();
    call.Reply(CreateBatchJobResponse{});  // the submission ends with its response
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, create.batch_job.items[0].headers.size());
  }

  // UNASKED: a lenient worker may read such names as X-Tenant, and such paths as a head of their
  // own.
  void RejectsItemsWithHeadersThatHideATenant() {
    const std::vector<std::string> entries = {
        R"("path":"/b/1","headers":{"X-Tenant\t":"other"})",
        R"("path":"/b/1","headers":{"\tX-Tenant":"other"})",
        R"("path":"/b/1","headers":{"X-Tenant\u000b":"other"})",
        R"("path":"/b/1","headers":{"X-Tenant\u007f":"other"})",
        R"("path":"/b/1","headers":{"A":"b\nX-Tenant: other"})",
        R"("path":"/b/1","headers":{"A":"b\rX-Tenant: other"})",
        R"("path":"/b/1\tHTTP/1.1")",
        R"("path":"/b/1\u000bHTTP/1.1")",
    };
    for (const std::string& entry : entries) {
      const std::string body = R"({"entries":[{"worker_id":"i",)" + entry + "}]}";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400, Submit(body, "4000", "acme")->status);
    }
    CPPUNIT_ASSERT(transport_.calls.empty());
  }

  void MapsEveryCreateOutcomeToAStatus() {
    struct Case {
      absl::StatusOr<std::string> response;
      int status;
    };
    const std::vector<Case> cases = {
        {codec::Encode(CreateBatchJobResponse{CreateStatus::kAccepted, 0}), 202},
        {codec::Encode(CreateBatchJobResponse{CreateStatus::kOverQuota, 0}), 429},
        {codec::Encode(CreateBatchJobResponse{CreateStatus::kInsufficientCapacity, 0}), 503},
        {absl::InternalError("x"), 504},
    };
    for (const Case& c : cases) {
      const auto exchange = Submit(kBatchJob);
      GrantQuotaAndOffer();
      transport_.Next(MessageType::kBatchJobCreate).done(c.response);
      CPPUNIT_ASSERT_EQUAL(c.status, exchange->status);
    }
  }

  void RejectsMalformedBatchJobs() {
    std::string too_many = R"({"entries":[)";
    for (int at = 0; at < 201; ++at) {
      too_many += (at > 0 ? "," : "") + std::string(R"({"worker_id":"i)") + std::to_string(at) +
                  R"(","path":"/b/1"})";
    }
    too_many += "]}";
    const std::vector<std::string> bodies = {
        "",
        "{",
        "[]",
        R"({"entries":1})",
        R"({"entries":[]})",
        R"({"entries":[1]})",
        R"({"entries":[{"path":"/b/1"}]})",
        R"({"entries":[{"worker_id":"i","path":"b"}]})",
        R"({"entries":[{"worker_id":"i","path":"/b/1\r\n"}]})",
        R"({"entries":[{"worker_id":"i","path":"/b/1","payload":"%"}]})",
        R"({"entries":[{"worker_id":"i","path":"/b/1","tokens":-1}]})",
        R"({"entries":[{"worker_id":"i","path":"/b/1","headers":{"A":"b\r\nC: d"}}]})",
        R"({"entries":[{"worker_id":"i","path":"/b/1"},{"worker_id":"i","path":"/b/1"}]})",
        too_many,
    };
    for (const std::string& body : bodies) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400, Submit(body)->status);
    }
    CPPUNIT_ASSERT(transport_.calls.empty());
  }

  void ReportsTimeoutAfterAnUncertainCreate() {
    const auto exchange = Submit(kBatchJob, "300");
    GrantQuotaAndOffer();
    transport_.Next(MessageType::kBatchJobCreate).done(absl::UnavailableError("connection"));
    transport_.Next(MessageType::kBatchJobCreate)
        .Reply(CreateBatchJobResponse{CreateStatus::kOverQuota, 0});
    CPPUNIT_ASSERT_EQUAL(504, exchange->status);
  }

  void RejectsWhatWasNeverSent() {
    const auto exchange = Submit(kBatchJob, "250");
    transport_.Next(MessageType::kQuotaQuery).Reply(QuotaResponse{QuotaDecision::kGranted, 0});
    transport_.Next(MessageType::kBatchJobAdmission)
        .done(absl::FailedPreconditionError("not primary"));
    control_.member_map["s0"].status = coordination::MemberStatus::kDead;
    CPPUNIT_ASSERT(TurnUntil([&] { return exchange->status != 0; }));
    CPPUNIT_ASSERT_EQUAL(503, exchange->status);
    CPPUNIT_ASSERT_EQUAL(std::string("Retry-After"), exchange->answer_headers.at(0).name);
  }

  void FollowsANewPrimary() {
    const auto exchange = Submit(kBatchJob);
    GrantQuotaAndOffer();
    transport_.Next(MessageType::kBatchJobCreate)
        .done(absl::FailedPreconditionError("not primary"));
    PlacementTable table = TableOf({"s1", "d"}, {"s0", "d"});
    table.epoch = 2;
    control_.SetTable(table);
    const FakeCall call = transport_.Next(MessageType::kBatchJobCreate);
    CPPUNIT_ASSERT_EQUAL(std::string("s1:1"), call.address);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, call.As<CreateBatchJob>().placement_epoch);
    call.Reply(CreateBatchJobResponse{});
    CPPUNIT_ASSERT_EQUAL(202, exchange->status);
  }

  void ReadsOutputs() {
    const auto exchange = Handle("GET", "/lots/lot?start_after=12", {{"X-Wait-Ms", "1000"}});
    const FakeCall call = transport_.Next(MessageType::kBatchJobRead);
    const auto read = call.As<ReadBatchJob>();
    CPPUNIT_ASSERT_EQUAL(std::string("lot"), read.batch_job_id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, read.start_after);
    CPPUNIT_ASSERT(read.wait_ms > 800 && read.wait_ms <= 1000);
    ReadBatchJobResponse response;
    response.found = true;
    response.total = 40;
    response.outputs = {{"a", ItemPhase::kComplete, "\xc3\xa9\"\\\n\x01"},
                        {"b", ItemPhase::kAbandoned, ""}};
    call.Reply(response);
    CPPUNIT_ASSERT_EQUAL(200, exchange->status);
    CPPUNIT_ASSERT_EQUAL(
        std::string("{\"total\":40,\"outputs\":[{\"worker_id\":\"a\",\"phase\":"
                    "\"complete\",\"content\":\"\xc3\xa9\\\"\\\\\\n\\u0001\"},{\"worker_id\":\"b\","
                    "\"phase\":\"abandoned\",\"content\":\"\"}],\"next_token\":14}"),
        exchange->body);
    const auto missing = Handle("GET", "/lots/none");
    transport_.Next(MessageType::kBatchJobRead).Reply(ReadBatchJobResponse{});
    CPPUNIT_ASSERT_EQUAL(404, missing->status);
    CPPUNIT_ASSERT_EQUAL(400, Handle("GET", "/lots/lot?start_after=x")->status);
  }

  void BoundsTheResponseSize() {
    ReadBatchJobResponse response;
    response.total = 4;
    response.outputs.assign(4, {"a", ItemPhase::kComplete, std::string(400'000, '\n')});
    const std::string one = WriteOutputs(response, 1);
    CPPUNIT_ASSERT(one.find("\"next_token\":2}") != std::string::npos);
    response.outputs.assign(4, {"a", ItemPhase::kComplete, std::string(400'000, 'x')});
    CPPUNIT_ASSERT(WriteOutputs(response, 1).find("\"next_token\":3}") != std::string::npos);
    response.outputs.assign(4, {"a", ItemPhase::kComplete, std::string(2'000'000, 'x')});
    CPPUNIT_ASSERT(WriteOutputs(response, 1).find("\"next_token\":2}") != std::string::npos);
  }

  void ReadsAnItemBody() {
    const auto exchange = Handle("GET", "/items/lot?worker_id=i1");
    const FakeCall call = transport_.Next(MessageType::kItemBody);
    CPPUNIT_ASSERT_EQUAL(std::string("i1"), call.As<ReadItemBody>().item_id);
    call.Reply(ReadItemBodyResponse{true, std::string("\0\xff", 2)});
    CPPUNIT_ASSERT_EQUAL(200, exchange->status);
    CPPUNIT_ASSERT_EQUAL(std::string("\0\xff", 2), exchange->body);
    const auto missing = Handle("GET", "/items/lot?worker_id=i2");
    transport_.Next(MessageType::kItemBody).Reply(ReadItemBodyResponse{});
    CPPUNIT_ASSERT_EQUAL(404, missing->status);
  }

  void CancelsABatchJob() {
    for (const bool found : {true, false}) {
      const auto exchange = Handle("DELETE", "/lots/lot");
      transport_.Next(MessageType::kBatchJobCancel).Reply(CancelBatchJobResponse{found});
      CPPUNIT_ASSERT_EQUAL(found ? 200 : 404, exchange->status);
    }
  }

  void RejectsCallsBeforeAConfiguration() {
    auto empty = std::make_shared<control::ControlSnapshot>(*control_.snapshot);
    empty->routes = nullptr;
    control_.Set(empty);
    CPPUNIT_ASSERT_EQUAL(503, Handle("GET", "/lots/lot")->status);
    CPPUNIT_ASSERT(transport_.calls.empty());
  }

  void CancelsTheCallOfADisconnectedClient() {
    const auto exchange = Handle("GET", "/lots/lot");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stores_.pending());
    exchange->closed();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stores_.pending());
    transport_.Next(MessageType::kBatchJobRead).Reply(ReadBatchJobResponse{});
    CPPUNIT_ASSERT_EQUAL(0, exchange->status);
  }

  // LOST: a read that was held when its node ended got no answer.
  void ShutdownAnswersHeldReads() {
    for (const char* target : {"/lots/lot", "/items/lot?worker_id=i1"}) {
      const auto exchange = Handle("GET", target, {{"X-Wait-Ms", "9000"}});
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stores_.pending());
      exchange->shutdown();
      CPPUNIT_ASSERT_EQUAL(503, exchange->status);
      CPPUNIT_ASSERT_EQUAL(std::string("Retry-After"), exchange->answer_headers.at(0).name);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stores_.pending());
    }
  }

  // REFUSED: a 503 promises that no item runs, so it ends only what no store has been sent.
  void ShutdownAnswersSubmissionsByWhatIsKnown() {
    const auto unsent = Submit(kBatchJob);
    unsent->shutdown();
    CPPUNIT_ASSERT_EQUAL(503, unsent->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stores_.pending());
    transport_.calls.clear();
    const auto sent = Submit(kBatchJob);
    GrantQuotaAndOffer();
    CPPUNIT_ASSERT(TurnUntil([&] { return transport_.Has(MessageType::kBatchJobCreate); }));
    sent->shutdown();
    CPPUNIT_ASSERT_EQUAL(504, sent->status);
  }

  void DrainBoundsTheTimeOfCalls() {
    api_.BeginDrain(Now() + 2 * kSecond);
    const auto held = Handle("GET", "/lots/lot", {{"X-Wait-Ms", "9000"}});
    const FakeCall call = transport_.Next(MessageType::kBatchJobRead);
    const std::int64_t wait_ms = call.As<ReadBatchJob>().wait_ms;
    CPPUNIT_ASSERT(wait_ms > 1000 && wait_ms < 2000);
    CPPUNIT_ASSERT(call.timeout <= 2 * kSecond);
    api_.BeginDrain(Now());
    const auto late = Handle("DELETE", "/lots/lot");
    CPPUNIT_ASSERT(TurnUntil([&] { return late->status != 0; }));
    CPPUNIT_ASSERT_EQUAL(503, late->status);
  }

  void RecognizesItsPaths() {
    struct Case {
      const char *method, *target;
      bool is_call;
    };
    const std::vector<Case> cases = {
        {"GET", "/lots/a", true},    {"DELETE", "/lots/a?x=1", true}, {"POST", "/lots/a", false},
        {"GET", "/items/a", true},   {"DELETE", "/items/a", false},   {"GET", "/lots/", false},
        {"GET", "/lots/a/b", false}, {"GET", "/b/lots/a", false},
    };
    for (const Case& c : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          c.target, c.is_call, BatchJobApi::IsBatchJobCall(Request(c.method, c.target)->message));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeBatchJobApiTest);

}  // namespace
}  // namespace pearreach::batch
