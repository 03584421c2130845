// Running leased items: jobs, results, leases and the end of the process.
#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

#include "common/event_loop/timers.h"
#include "edge_fakes.h"
#include "tier/batch/event_text.h"
#include "tier/batch/item_tenant.h"
#include "tier/batch/item_worker.h"
#include "tier/proxy/prompt_headers.h"

namespace pearreach::batch {
namespace {

using namespace edge_test;
using rpc::MessageType;

class EdgeItemWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgeItemWorkerTest);
  CPPUNIT_TEST(JoinsTheDataOfEvents);
  CPPUNIT_TEST(ReadsPromptHeaders);
  CPPUNIT_TEST(PullsOnlyWithCapacity);
  CPPUNIT_TEST(RunsALeasedItem);
  CPPUNIT_TEST(RunsItemsForTheirTenantAfterItWasDropped);
  CPPUNIT_TEST(RunsItemsFromBeforeTenantsForNone);
  CPPUNIT_TEST(ReportsEveryOutcome);
  CPPUNIT_TEST(RetriesAResultUntilAcknowledged);
  CPPUNIT_TEST(StopsRunsThatTheStoreEnds);
  CPPUNIT_TEST(SendsNothingUnderALeaseThatIsNotRenewed);
  CPPUNIT_TEST(LeaseCountsFromThePull);
  CPPUNIT_TEST(ReturnsItemsOfARemovedTarget);
  CPPUNIT_TEST(ContinuesUnderANewLease);
  CPPUNIT_TEST(CountsAFailureOnce);
  CPPUNIT_TEST(KeepsAResultWhoseLeaseEnds);
  CPPUNIT_TEST(RenewsAtANewPrimary);
  CPPUNIT_TEST(ReturnsItemsAtShutdown);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Micros kLeaseTime = 300 * kMs;

  static LeasedItem Leased() {
    LeasedItem leased;
    leased.batch_job_id = "lot";
    leased.route = "bulk";
    leased.host = "h.example";
    leased.lease = 5;
    leased.expires_ms = kLeaseTime / kMs;
    leased.retain_left_ms = 20000;
    leased.item.item_id = "i1";
    leased.item.path = "/b/1";
    leased.item.headers = {{"X-Model", "m"},
                           {"X-Token-Count", "540,400"},
                           {"X-Prompt-Prefix", "9c:300,5d:240"},
                           {"Host", "other"}};
    leased.item.body = "body";
    return leased;
  }

  void Lease(const LeasedItem& leased = Leased()) {
    transport_.Next(MessageType::kItemPull).Reply(PullItemsResponse{{leased}});
  }

  static void Stream(const FakeRunner::Submitted& job, const std::string& bytes) {
    job.sink->OnHead(200, {});
    job.sink->OnBody(bytes);
    job.sink->OnEnd({proxy::RequestEnd::kComplete, 0, 200});
  }

  Timers timers_;
  FakeMesh transport_;
  FakeControl control_;
  FakeRunner runner_;
  StoreClient stores_{&timers_, &transport_, &control_};

 public:
  void setUp() override {
    control_.AddStore("s0", "d");
    control_.AddStore("s1", "d");
    control_.SetConfig(kBulkConfig);
    control_.SetTable(TableOf({"s0", "d"}, {"s1", "d"}));
    runner_.capacity["s1"] = 3;
  }

  void JoinsTheDataOfEvents() {
    struct Case {
      std::string bytes, text;
      bool at_end;
    };
    const std::vector<Case> cases = {
        {"", "", true},
        {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "a\nb", true},
        {"data:a\n\ndata:  b\n\n", "a\n b", true},
        {"data: a\ndata: b\n\ndata: c\n\n", "a\nb\nc", true},
        {"versions: 3\nid: 1\ndata: a\n\n", "a", true},
        {"id: 1\n\ndata: a\n\n: comment\n\n", "a", true},
        {"data\n\ndata: a\n\n", "\na", true},
        {"data: a\r\n\r\ndata: b\r\r", "a\nb", true},
        {"data: a\n\ndata: b", "a", false},
        {"data: a\n\ndata: b\n", "a", false},
        {"data: a\n\nid: 2\n", "a", false},
        {"data: a\n\nid: 2", "a", false},
        {"data: a\n\n: comment\n", "a", true},
        {"database: a\n\n", "", true},
    };
    for (const Case& c : cases) {
      for (const std::size_t piece : {std::size_t{1}, std::size_t{3}, std::size_t{1000}}) {
        EventText text;
        for (std::size_t at = 0; at < c.bytes.size(); at += piece) {
          text.Feed(std::string_view(c.bytes).substr(at, piece));
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(c.bytes, c.at_end, text.AtEventEnd());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(c.bytes, c.text, text.Take());
      }
    }
  }

  void ReadsPromptHeaders() {
    CPPUNIT_ASSERT_EQUAL(940.0, proxy::TokenCount("540, 400"));
    CPPUNIT_ASSERT_EQUAL(3.0, proxy::TokenCount("x,3"));
    CPPUNIT_ASSERT_EQUAL(0.0, proxy::TokenCount(""));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, proxy::PrefixKey("m", "a:1"));
    CPPUNIT_ASSERT(proxy::PrefixKey("m", "a:1,b:2") == proxy::PrefixKey("m", "a:1,c:2"));
    CPPUNIT_ASSERT(proxy::PrefixKey("m", "a:1,b:2") != proxy::PrefixKey("n", "a:1,b:2"));
    CPPUNIT_ASSERT(proxy::PrefixKey("m", "a:1,b:2") != proxy::PrefixKey("m", "d:1,b:2"));
  }

  void PullsOnlyWithCapacity() {
    runner_.capacity.clear();
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    CPPUNIT_ASSERT(transport_.calls.empty());
    runner_.capacity["s1"] = 3;
    const auto pull = transport_.Next(MessageType::kItemPull).As<PullItems>();
    CPPUNIT_ASSERT_EQUAL(std::string("edge"), pull.node);
    CPPUNIT_ASSERT_EQUAL(3, pull.capacity.at("bulk"));
    CPPUNIT_ASSERT(pull.wait_ms > 0);
  }

  // UNASKED: whose an item is was settled when it was submitted; a newer configuration that drops
  // the tenant or passes its keys on neither ends the item nor gives it to another tenant.
  void RunsItemsForTheirTenantAfterItWasDropped() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    std::string config = kBulkConfig;
    config.insert(config.find("\"services\""),
                  R"("tenants":[{"name":"basis","api_keys":["k-acme"]}],)");
    control_.SetConfig(config);
    LeasedItem leased = Leased();
    std::vector<ItemSpec> items = {leased.item};
    SetTenant("acme", &items);
    leased.item = items.front();
    Lease(leased);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runner_.jobs.size());
    std::vector<std::string> tenants;
    for (const http::Header& header : runner_.jobs[0].spec.headers) {
      if (http::SameName(header.name, "X-Tenant")) tenants.push_back(header.value);
    }
    CPPUNIT_ASSERT(tenants == std::vector<std::string>{"acme"});
  }

  // UNASKED: an item that was stored before there were tenants runs for none, whatever it says.
  void RunsItemsFromBeforeTenantsForNone() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    LeasedItem leased = Leased();
    leased.item.headers = {{"x-tenant", "acme"}, {"AUTHORIZATION", "Token k"}, {"X-Model", "m"}};
    Lease(leased);
    CPPUNIT_ASSERT(HeaderNames(runner_.jobs[0].spec).contains("x-tenant"));
    std::string config = kBulkConfig;
    config.insert(config.find("\"services\""), R"("tenants":[],)");
    control_.SetConfig(config);
    leased.batch_job_id = "other";
    Lease(leased);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runner_.jobs.size());
    const std::set<std::string> names = HeaderNames(runner_.jobs[1].spec);
    CPPUNIT_ASSERT(names.contains("X-Model"));
    CPPUNIT_ASSERT(!names.contains("x-tenant") && !names.contains("AUTHORIZATION"));
  }

  static std::set<std::string> HeaderNames(const proxy::RequestSpec& spec) {
    std::set<std::string> names;
    for (const http::Header& header : spec.headers) names.insert(header.name);
    return names;
  }

  void RunsALeasedItem() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    Lease();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runner_.jobs.size());
    const proxy::RequestSpec& spec = runner_.jobs[0].spec;
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), spec.service);
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), spec.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/b/1"), spec.target);
    CPPUNIT_ASSERT_EQUAL(std::string("i1"), spec.attempt_id);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), spec.body);
    CPPUNIT_ASSERT_EQUAL(940.0, spec.total_tokens);
    CPPUNIT_ASSERT_EQUAL(2, spec.rank);
    CPPUNIT_ASSERT(spec.bulk && spec.idempotent && spec.streamed && spec.resumable);
    CPPUNIT_ASSERT(spec.stop_on_500);
    CPPUNIT_ASSERT(spec.prefix_key != 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, spec.headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("h.example"), spec.headers[0].value);
    Stream(runner_.jobs[0], "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    const FakeCall call = transport_.Next(MessageType::kItemResult);
    const auto result = call.As<ItemResult>();
    CPPUNIT_ASSERT(result.outcome == RunOutcome::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::string("a\nb"), result.content);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, result.lease);
    call.done(std::string());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, worker.in_flight());
  }

  void ReportsEveryOutcome() {
    using proxy::RequestEnd;
    struct Case {
      int head;
      RequestEnd end;
      int worker_status;
      RunOutcome outcome;
    };
    const std::vector<Case> cases = {
        {500, RequestEnd::kComplete, 500, RunOutcome::kFailed},
        {0, RequestEnd::kFailed, 500, RunOutcome::kFailed},
        {200, RequestEnd::kBroken, 500, RunOutcome::kFailed},
        {422, RequestEnd::kComplete, 422, RunOutcome::kImpossible},
        {0, RequestEnd::kFailed, 422, RunOutcome::kImpossible},
        {200, RequestEnd::kBroken, 200, RunOutcome::kReturned},
        {0, RequestEnd::kNotRun, 503, RunOutcome::kReturned},
        {0, RequestEnd::kTimeout, 0, RunOutcome::kReturned},
        {404, RequestEnd::kComplete, 404, RunOutcome::kReturned},
    };
    for (const Case& c : cases) {
      runner_.jobs.clear();
      transport_.calls.clear();
      ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
      Lease();
      const auto job = runner_.jobs.at(0);
      if (c.head != 0) job.sink->OnHead(c.head, {});
      if (c.head == 200) job.sink->OnBody("data: a\n\n");
      job.sink->OnEnd({c.end, 0, c.worker_status});
      const auto result = transport_.Next(MessageType::kItemResult).As<ItemResult>();
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(c.outcome), static_cast<int>(result.outcome));
      CPPUNIT_ASSERT(result.content.empty());
    }
  }

  void RetriesAResultUntilAcknowledged() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    Lease();
    Stream(runner_.jobs[0], "data: a\n\n");
    transport_.Next(MessageType::kItemResult).done(absl::UnavailableError("connection"));
    control_.SetTable(TableOf({"s1", "d"}, {"s0", "d"}));
    FakeCall again = transport_.Next(MessageType::kItemResult);
    CPPUNIT_ASSERT_EQUAL(std::string("s1:1"), again.address);
    again.done(absl::InternalError("disk"));
    again = transport_.Next(MessageType::kItemResult);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), again.As<ItemResult>().content);
    again.done(std::string());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, worker.in_flight());
  }

  void StopsRunsThatTheStoreEnds() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    Lease();
    const FakeCall renew = transport_.Next(MessageType::kItemRenew);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, renew.As<RenewLeases>().leased_items.size());
    renew.Reply(RenewLeasesResponse{{{"lot", "i1"}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runner_.cancelled.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, worker.in_flight());
    CPPUNIT_ASSERT(!transport_.Has(MessageType::kItemResult));
  }

  // UNASKED (review/6): an answer that renewed nothing was taken for a renewal, so items of ended
  // batch jobs were sent long after their leases had ended. A run at a worker goes on meanwhile.
  void SendsNothingUnderALeaseThatIsNotRenewed() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    Lease();
    const auto& sink = *runner_.jobs.at(0).sink;
    CPPUNIT_ASSERT(sink.MaySend());
    transport_.Next(MessageType::kItemRenew).Reply(RenewLeasesResponse{});
    CPPUNIT_ASSERT(sink.MaySend());
    const Micros renewed = Now();
    const RenewLeasesResponse undecided{{}, {{"lot", "i1"}}};
    while (Now() < renewed + 2 * kLeaseTime)
      transport_.Next(MessageType::kItemRenew).Reply(undecided);
    CPPUNIT_ASSERT(!sink.MaySend());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, worker.in_flight());
    CPPUNIT_ASSERT(runner_.cancelled.empty());
    transport_.Next(MessageType::kItemRenew).Reply(RenewLeasesResponse{});
    CPPUNIT_ASSERT(sink.MaySend());
    TurnUntil([&] { return worker.in_flight() == 0; });  // no store answers any more
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runner_.cancelled.size());
  }

  // An answer that comes late leaves less of the lease.
  void LeaseCountsFromThePull() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    const FakeCall pull = transport_.Next(MessageType::kItemPull);
    const Micros late = Now() + kLeaseTime;
    TurnUntil([&] { return Now() >= late; });
    pull.Reply(PullItemsResponse{{Leased()}});
    CPPUNIT_ASSERT(!runner_.jobs.at(0).sink->MaySend());
    transport_.Next(MessageType::kItemRenew).Reply(RenewLeasesResponse{});
    CPPUNIT_ASSERT(runner_.jobs[0].sink->MaySend());
  }

  void ReturnsItemsOfARemovedTarget() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    Lease();
    std::string moved = kBulkConfig;
    moved.replace(moved.find(R"("target":"s1")"), 13, R"("target":"s2")");
    control_.SetConfig(moved);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runner_.cancelled.size());
    const auto result = transport_.Next(MessageType::kItemResult).As<ItemResult>();
    CPPUNIT_ASSERT(result.outcome == RunOutcome::kReturned);
  }

  void ContinuesUnderANewLease() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    Lease();
    LeasedItem again = Leased();
    again.lease = 9;
    Lease(again);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runner_.jobs.size());
    Stream(runner_.jobs[0], "data: a\n\n");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9},
                         transport_.Next(MessageType::kItemResult).As<ItemResult>().lease);
  }

  // A failure is told under its own lease only; a lease given meanwhile goes back.
  void CountsAFailureOnce() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    Lease();
    runner_.jobs[0].sink->OnEnd({proxy::RequestEnd::kFailed, 0, 500});
    const FakeCall failed = transport_.Next(MessageType::kItemResult);
    LeasedItem again = Leased();
    again.lease = 9;
    Lease(again);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runner_.jobs.size());
    const auto returned = transport_.Next(MessageType::kItemResult).As<ItemResult>();
    CPPUNIT_ASSERT(returned.outcome == RunOutcome::kReturned);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, returned.lease);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, failed.As<ItemResult>().lease);
    failed.done(std::string());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, worker.in_flight());
  }

  void KeepsAResultWhoseLeaseEnds() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    Lease();
    const FakeCall renew = transport_.Next(MessageType::kItemRenew);
    Stream(runner_.jobs[0], "data: a\n\n");
    renew.Reply(RenewLeasesResponse{{{"lot", "i1"}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, worker.in_flight());
    transport_.Next(MessageType::kItemResult).done(std::string());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, worker.in_flight());
  }

  void RenewsAtANewPrimary() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    LeasedItem leased = Leased();
    leased.expires_ms = 60'000;
    Lease(leased);
    control_.SetTable(TableOf({"s1", "d"}, {"s0", "d"}));
    CPPUNIT_ASSERT(transport_.Has(MessageType::kItemRenew));
    CPPUNIT_ASSERT_EQUAL(std::string("s1:1"), transport_.Next(MessageType::kItemRenew).address);
  }

  void ReturnsItemsAtShutdown() {
    ItemWorker worker(&timers_, &stores_, &control_, &runner_, "edge", 1);
    Lease();
    bool idle = false;
    worker.Stop(10 * kMs, [&] { idle = true; });
    const FakeCall call = transport_.Next(MessageType::kItemResult);
    CPPUNIT_ASSERT(call.As<ItemResult>().outcome == RunOutcome::kReturned);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runner_.cancelled.size());
    CPPUNIT_ASSERT(!idle);
    call.done(std::string());
    CPPUNIT_ASSERT(idle);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeItemWorkerTest);

}  // namespace
}  // namespace pearreach::batch
