// Random sequences of configuration changes (keys added, withdrawn and reassigned, tenants removed
// and restored, routes made public, no tenants at all) and of requests on persistent connections,
// through a real HTTP server. A model predicts the status that the client gets and the tenant that
// the worker gets for each request.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <array>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tier/gateway/doubles.h"
#include "tier/gateway/gateway.h"
#include "tier/http_server/http_server.h"
#include "tier/http_server/raw_client.h"
#include "tier/seeds.h"

namespace pearreach::gateway {
namespace {

constexpr int kTenants = 4;
constexpr int kConnections = 5;
constexpr int kSteps = 400;
constexpr std::uint64_t kUsualSeeds = 12;
constexpr char kForgedTenant[] = "forged";
constexpr char kNeverHeld[] = "key-never-held";

// Situations that must occur at least once over all seeds.
enum class Situation {
  kServedByKey,
  kServedByAddedKey,
  kServedForNewHolder,
  kServedForReturnedTenant,
  kWithdrawnOnConnectionThatWasServed,
  kRefusedOfDroppedTenant,
  kRefusedNeverHeld,
  kRefusedWithoutKey,
  kRefusedTwoHeaders,
  kRefusedOtherScheme,
  kServedUnusualForm,
  kForgedHeader,
  kForgedHeaderInOtherCase,
  kForgedNamedInConnection,
  kForgedTrailer,
  kPublicWithoutKey,
  kPublicWithKey,
  kPublicWithWithdrawnKey,
  kWithoutTenants,
  kHeldAtStartServed,
  kHeldAtStartRefused,
  kStreamOverWithdrawal,
  kSubmissionServed,
  kSubmissionRefused,
  kBatchCallServed,
  kBatchCallRefused,
  kCount,
};

constexpr std::size_t kSituations = static_cast<std::size_t>(Situation::kCount);

constexpr std::array<const char*, kSituations> kSituationNames = {
    "served by key",
    "served by an added key",
    "served for a key's new holder",
    "served for a tenant that is back",
    "withdrawn on a connection that was served by it",
    "refused of a dropped tenant",
    "refused never held",
    "refused without key",
    "refused two headers",
    "refused other scheme",
    "served in an unusual form",
    "forged header",
    "forged header in other case",
    "forged header named in Connection",
    "forged trailer",
    "public without key",
    "public with key",
    "public with a withdrawn key",
    "without tenants",
    "held at start, served",
    "held at start, refused",
    "stream over a withdrawal",
    "submission served",
    "submission refused",
    "batch job call served",
    "batch job call refused",
};

class Tally {
 public:
  void Count(Situation situation) { ++counts_[static_cast<std::size_t>(situation)]; }
  std::uint64_t CountOf(std::size_t situation) const { return counts_[situation]; }

 private:
  std::array<std::uint64_t, kSituations> counts_{};
};

// Targets of requests. The value is the index of the route, except for kBatchJobCall, which has no
// route.
enum class Target { kEffectful, kIdempotent, kStreamed, kSubmission, kBatchJobCall };
constexpr int kRoutes = 4;
constexpr std::array<const char*, kRoutes> kRouteNames = {"once", "plain", "events", "lots"};
constexpr std::array<const char*, kRoutes> kRoutePrefixes = {"/once/", "/p/", "/e/", "/lot/"};
constexpr std::array<const char*, kRoutes> kRouteVariants = {"effectful", "idempotent", "streamed",
                                                             "bulk"};

// Model of the configuration.
struct ModelConfiguration {
  int version = 0;
  bool has_tenants = true;
  std::set<std::string> tenants;
  std::map<std::string, std::string> tenant_of_key;
  std::array<bool, kRoutes> is_public{};

  std::string ToJson() const {
    std::string routes;
    for (std::size_t i = 0; i < kRoutes; ++i) {
      routes += fmt::format(
          R"({}{{"name":"{}","host":"a.example","path_prefix":"{}","variant":"{}","public":{},)"
          R"("limit_ms":4000,"target_ms":300,"rank":1,"target":"s1","tries":2{}}})",
          i == 0 ? "" : ",", kRouteNames[i], kRoutePrefixes[i], kRouteVariants[i], is_public[i],
          i == 3 ? R"(,"due_ms":9000,"retain_s":60,"token_cap":0)" : "");
    }
    return fmt::format(
        R"({{"version_no":{},"routes":[{}],{})"
        R"("services":[{{"name":"s1","health_path":"/health","max_conns":20}}],)"
        R"("limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_wait_ms":3000,)"
        R"("idle_ms":15000}}}})",
        version, routes, has_tenants ? TenantsJson() : "");
  }

 private:
  std::string TenantsJson() const {
    std::string list;
    for (const std::string& tenant : tenants) {
      std::string keys;
      for (const auto& [key, holder] : tenant_of_key) {
        if (holder == tenant) keys += fmt::format(R"({}"{}")", keys.empty() ? "" : ",", key);
      }
      list += fmt::format(R"({}{{"name":"{}","api_keys":[{}]}})", list.empty() ? "" : ",", tenant,
                          keys);
    }
    return fmt::format(R"("tenants":[{}],)", list);
  }
};

enum class Credentials { kKey, kUnusualForm, kNone, kTwoHeaders, kOtherScheme };
enum class Forgery { kNone, kHeader, kOtherCase, kNamedInConnection, kTrailer };

struct ClientRequest {
  Target target = Target::kEffectful;
  Credentials credentials = Credentials::kNone;
  std::string key;  // key that the client intends to send
  Forgery forgery = Forgery::kNone;

  // The key that the gateway can read from the request; empty: none.
  std::string ReadableKey() const {
    const bool readable =
        credentials == Credentials::kKey || credentials == Credentials::kUnusualForm;
    return readable ? key : std::string();
  }
  std::string ToBytes() const {
    std::string head = target == Target::kBatchJobCall
                           ? "GET /lots/1"
                           : fmt::format("POST {}x", kRoutePrefixes[static_cast<int>(target)]);
    head += " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 77aa\r\n";
    return head + CredentialLines() + ForgeryLines();
  }

 private:
  std::string CredentialLines() const {
    switch (credentials) {
      case Credentials::kKey:
        return fmt::format("Authorization: Token {}\r\n", key);
      case Credentials::kUnusualForm:
        return fmt::format("aUTHORIZATION:\t tOKEN   {} \r\n", key);
      case Credentials::kNone:
        return "";
      case Credentials::kTwoHeaders:
        return fmt::format("Authorization: Token {}\r\nauthorization: Token {}\r\n", key, key);
      case Credentials::kOtherScheme:
        return fmt::format("Authorization: Bearer {}\r\n", key);
    }
    return "";
  }
  std::string ForgeryLines() const {
    const std::string forged = kForgedTenant;
    switch (forgery) {
      case Forgery::kNone:
        return "Content-Length: 0\r\n\r\n";
      case Forgery::kHeader:
        return "X-Tenant: " + forged + "\r\nContent-Length: 0\r\n\r\n";
      case Forgery::kOtherCase:
        return "x-tENANT: " + forged + "\r\nContent-Length: 0\r\n\r\n";
      case Forgery::kNamedInConnection:
        return "X-Tenant: " + forged +
               "\r\nConnection: x-tenant, authorization\r\nContent-Length: 0\r\n\r\n";
      case Forgery::kTrailer:
        return "Transfer-Encoding: chunked\r\nTrailer: X-Tenant\r\n\r\n0\r\nX-Tenant: " + forged +
               "\r\nAuthorization: Token " + key + "\r\n\r\n";
    }
    return "";
  }
};

// Expected handling of a request under a configuration.
struct Expectation {
  bool is_served = false;
  std::string tenant;  // empty: no X-Tenant header
};

Expectation Expect(const ModelConfiguration& configuration, const ClientRequest& request) {
  if (!configuration.has_tenants) return {true, ""};
  const auto holder = configuration.tenant_of_key.find(request.ReadableKey());
  if (holder != configuration.tenant_of_key.end()) return {true, holder->second};
  const bool is_public = request.target != Target::kBatchJobCall &&
                         configuration.is_public[static_cast<std::size_t>(request.target)];
  return {is_public && request.credentials == Credentials::kNone, ""};
}

std::vector<std::string> ValuesOf(const std::vector<http::Header>& headers, std::string_view name) {
  std::vector<std::string> values;
  for (const http::Header& header : headers) {
    if (http::SameName(header.name, name)) values.push_back(header.value);
  }
  return values;
}

// A persistent client connection.
struct Connection {
  explicit Connection(int port) : client(port) {}

  void Send(const ClientRequest& request) { client.Send(request.ToBytes()); }
  http::Message Receive() {
    http::Parser::State state = http::Parser::State::kMore;
    http_server::RunUntil([&] {
      const std::string& got = client.got();
      parser.Feed(std::string_view(got).substr(parsed_bytes));
      parsed_bytes = got.size();
      state = parser.Next();
      return state != http::Parser::State::kMore || client.ended();
    });
    CPPUNIT_ASSERT_MESSAGE("no response came", state == http::Parser::State::kMessage);
    return parser.Take();
  }

  http_server::RawClient client;
  http::Parser parser{http::Parser::Kind::kResponse};
  std::size_t parsed_bytes = 0;         // received bytes that were passed to the parser
  std::set<std::string> served;         // keys that were accepted on this connection
  std::optional<std::uint64_t> stream;  // request id of a stream in progress
  std::string stream_key;
};

class History {
 public:
  History(std::uint64_t seed, Tally* tally) : random_(seed), tally_(tally) {
    server_ = std::make_unique<http_server::HttpServer>(
        &timers_, http_server::ServerOptions{},
        [this](std::shared_ptr<http_server::Exchange> exchange) {
          gateway_.Handle(std::move(exchange));
        });
    CPPUNIT_ASSERT_EQUAL(std::string(), server_->Open("127.0.0.1:0"));
    gateway_.SetBulkHandler([this](const std::shared_ptr<http_server::Exchange>& exchange,
                                   const routing::Route&, const Sender& sender) {
      RecordSender(sender);
      exchange->Respond(202, {}, "");
    });
    gateway_.SetBatchJobHandler(
        [this](const std::shared_ptr<http_server::Exchange>& exchange, const Sender& sender) {
          RecordSender(sender);
          exchange->Respond(200, {}, "");
        });
    for (int i = 0; i < kConnections; ++i) {
      connections_.push_back(std::make_unique<Connection>(server_->port()));
      CPPUNIT_ASSERT(connections_.back()->client.connected());
    }
    for (int i = 0; i < kTenants; ++i) {
      model_.tenants.insert(fmt::format("tenant-{}", i));
      AddKey(fmt::format("tenant-{}", i));
    }
    added_keys_.clear();
  }

  void Run() {
    StartWithWaitingRequests();
    for (int step = 0; step < kSteps; ++step) {
      if (RandomBelow(4) == 0) {
        ChangeConfiguration();
      } else {
        Step(connections_[RandomBelow(kConnections)].get());
      }
    }
    for (const auto& connection : connections_) {
      if (connection->stream.has_value()) FinishStream(connection.get());
    }
  }

 private:
  std::size_t RandomBelow(std::size_t bound) { return random_() % bound; }
  template <class Container>
  auto RandomElement(const Container& container) {
    return *std::next(container.begin(),
                      static_cast<std::ptrdiff_t>(RandomBelow(container.size())));
  }

  // ------------------------------------------------------------ configurations

  void AddKey(const std::string& tenant) {
    const std::string key = fmt::format("key-{}", ++last_key_);
    model_.tenant_of_key[key] = tenant;
    added_keys_.insert(key);
  }
  void WithdrawKey(const std::string& key) {
    withdrawn_keys_[key] = model_.tenant_of_key.at(key);
    model_.tenant_of_key.erase(key);
    moved_keys_.erase(key);
    returned_keys_.erase(key);
  }
  void DropTenant(const std::string& tenant) {
    const std::map<std::string, std::string> holders = model_.tenant_of_key;
    for (const auto& [key, holder] : holders) {
      if (holder == tenant) WithdrawKey(key);
    }
    model_.tenants.erase(tenant);
  }
  // Restores a tenant with the keys that it had when it was removed.
  void RestoreTenant(const std::string& tenant) {
    model_.tenants.insert(tenant);
    const std::map<std::string, std::string> withdrawn = withdrawn_keys_;
    for (const auto& [key, holder] : withdrawn) {
      if (holder != tenant) continue;
      model_.tenant_of_key[key] = tenant;
      returned_keys_.insert(key);
      withdrawn_keys_.erase(key);
    }
  }
  void ReassignKey(const std::string& key) {
    const std::string tenant = RandomElement(model_.tenants);
    if (model_.tenant_of_key.at(key) == tenant) return;
    model_.tenant_of_key[key] = tenant;
    moved_keys_.insert(key);
  }
  void DropOrRestoreTenant() {
    const std::string tenant = fmt::format("tenant-{}", RandomBelow(kTenants));
    if (!model_.tenants.contains(tenant)) return RestoreTenant(tenant);
    if (model_.tenants.size() > 1) DropTenant(tenant);
  }

  void ChangeConfiguration() {
    const bool has_keys = !model_.tenant_of_key.empty();
    switch (RandomBelow(8)) {
      case 0:
        model_.is_public[RandomBelow(kRoutes)] ^= true;
        break;
      case 1:
        model_.has_tenants = !model_.has_tenants || RandomBelow(3) > 0;
        break;
      case 2:
      case 3:
        DropOrRestoreTenant();
        break;
      case 4:
        if (has_keys) ReassignKey(RandomElement(model_.tenant_of_key).first);
        break;
      case 5:
        if (has_keys) WithdrawKey(RandomElement(model_.tenant_of_key).first);
        break;
      default:
        AddKey(RandomElement(model_.tenants));
    }
    Use();
  }

  void Use() {
    ++model_.version;
    control_.Use(model_.ToJson());
  }

  // ------------------------------------------------------------ requests

  std::string RandomKey() {
    const std::size_t kind = RandomBelow(8);
    if (kind == 0) return kNeverHeld;
    if (kind < 3 && !withdrawn_keys_.empty()) return RandomElement(withdrawn_keys_).first;
    return model_.tenant_of_key.empty() ? kNeverHeld : RandomElement(model_.tenant_of_key).first;
  }

  ClientRequest RandomRequest() {
    ClientRequest request;
    request.target = static_cast<Target>(RandomBelow(5));
    request.credentials =
        RandomBelow(2) == 0 ? Credentials::kKey : static_cast<Credentials>(RandomBelow(5));
    request.key = RandomKey();
    request.forgery = RandomBelow(2) == 0 ? Forgery::kNone : static_cast<Forgery>(RandomBelow(5));
    return request;
  }

  // Requests that arrive before the first configuration wait for it.
  void StartWithWaitingRequests() {
    std::vector<ClientRequest> requests;
    for (const auto& connection : connections_) {
      ClientRequest request = RandomRequest();
      request.target = static_cast<Target>(RandomBelow(3));
      connection->Send(request);
      requests.push_back(request);
    }
    const auto all_held = [this] { return gateway_.outcomes().requests == kConnections; };
    CPPUNIT_ASSERT(http_server::RunUntil(all_held));
    CPPUNIT_ASSERT(runner_.specs.empty());
    RespondImmediately();
    Use();
    std::size_t reached = 0;
    for (std::size_t i = 0; i < requests.size(); ++i) {
      const Expectation expected = Expect(model_, requests[i]);
      const http::Message response = connections_[i]->Receive();
      CPPUNIT_ASSERT_EQUAL(expected.is_served ? 200 : 401, response.status);
      if (expected.is_served)
        CheckWorkerRequest(runner_.specs.at(reached++), expected, requests[i]);
      tally_->Count(expected.is_served ? Situation::kHeldAtStartServed
                                       : Situation::kHeldAtStartRefused);
    }
    CPPUNIT_ASSERT_EQUAL(reached, runner_.specs.size());
  }

  void Step(Connection* connection) {
    if (connection->stream.has_value()) {
      if (RandomBelow(3) == 0) FinishStream(connection);
      return;
    }
    const ClientRequest request = RandomRequest();
    const Expectation expected = Expect(model_, request);
    const bool hold =
        request.target == Target::kStreamed && expected.is_served && RandomBelow(2) == 0;
    if (hold) return BeginStream(connection, request, expected);
    RespondImmediately();
    recorded_tenant_.reset();
    const std::size_t reached = runner_.specs.size();
    connection->Send(request);
    const http::Message response = connection->Receive();
    CheckResponse(request, expected, response);
    const bool is_batch =
        request.target == Target::kSubmission || request.target == Target::kBatchJobCall;
    if (is_batch) {
      CPPUNIT_ASSERT_EQUAL(expected.is_served, recorded_tenant_.has_value());
      if (expected.is_served) CPPUNIT_ASSERT_EQUAL(expected.tenant, *recorded_tenant_);
    }
    const bool reaches_worker = expected.is_served && !is_batch;
    CPPUNIT_ASSERT_EQUAL(reached + (reaches_worker ? 1 : 0), runner_.specs.size());
    if (reaches_worker) CheckWorkerRequest(runner_.specs.back(), expected, request);
    CountSituations(*connection, request, expected);
    if (expected.is_served && !expected.tenant.empty()) connection->served.insert(request.key);
  }

  void CheckResponse(const ClientRequest& request, const Expectation& expected,
                     const http::Message& response) const {
    const int served = request.target == Target::kSubmission ? 202 : 200;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(request.ToBytes(), expected.is_served ? served : 401,
                                 response.status);
    CPPUNIT_ASSERT_MESSAGE("the connection is kept", response.keep_alive);
  }

  void CheckWorkerRequest(const proxy::RequestSpec& spec, const Expectation& expected,
                          const ClientRequest& request) const {
    if (!model_.has_tenants) return;
    const std::vector<std::string> tenants = ValuesOf(spec.headers, "X-Tenant");
    const std::vector<std::string> wanted =
        expected.tenant.empty() ? std::vector<std::string>() : std::vector{expected.tenant};
    CPPUNIT_ASSERT_MESSAGE(request.ToBytes(), wanted == tenants);
    for (const http::Header& header : spec.headers) {
      CPPUNIT_ASSERT_MESSAGE("a key went to a worker: " + header.name,
                             header.value.find(request.key) == std::string::npos);
    }
  }

  // ------------------------------------------------------------ streams in progress

  void BeginStream(Connection* connection, const ClientRequest& request,
                   const Expectation& expected) {
    runner_.immediate = nullptr;
    const std::size_t reached = runner_.specs.size();
    connection->Send(request);
    CPPUNIT_ASSERT(http_server::RunUntil([&] { return runner_.specs.size() > reached; }));
    CheckWorkerRequest(runner_.specs.back(), expected, request);
    connection->stream = runner_.specs.size();
    connection->stream_key = expected.tenant.empty() ? std::string() : request.key;
    runner_.sink()->OnHead(200, {{"X-Seal", "s"}, {"Content-Type", "text/event-stream"}});
    runner_.sink()->OnBody("id: 1\ndata: a\n\n");
  }

  void FinishStream(Connection* connection) {
    const std::uint64_t job = *std::exchange(connection->stream, std::nullopt);
    const std::shared_ptr<proxy::RequestSink> sink = runner_.sinks.at(job);
    runner_.sinks.erase(job);
    sink->OnBody("id: 2\ndata: b\n\n");
    proxy::RequestResult result;
    result.end = proxy::RequestEnd::kComplete;
    sink->OnEnd(result);
    const http::Message response = connection->Receive();
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), response.body);
    if (withdrawn_keys_.contains(connection->stream_key))
      tally_->Count(Situation::kStreamOverWithdrawal);
  }

  void RespondImmediately() {
    runner_.immediate = [](proxy::RequestSink& sink) {
      sink.OnHead(200, {{"X-Seal", "s"}});
      proxy::RequestResult result;
      result.end = proxy::RequestEnd::kComplete;
      sink.OnEnd(result);
    };
  }

  void RecordSender(const Sender& sender) {
    recorded_tenant_ = sender.tenant == nullptr ? std::string() : sender.tenant->name;
  }

  // ------------------------------------------------------------ situations that occurred

  void CountSituations(const Connection& connection, const ClientRequest& request,
                       const Expectation& expected) const {
    if (!model_.has_tenants) return tally_->Count(Situation::kWithoutTenants);
    CountTarget(request.target, expected.is_served);
    if (expected.is_served) CountForgery(request.forgery);
    if (!expected.is_served) {
      if (IsPublic(request) && withdrawn_keys_.contains(request.ReadableKey()))
        tally_->Count(Situation::kPublicWithWithdrawnKey);
      return CountRefusal(connection, request);
    }
    if (expected.tenant.empty()) {
      if (request.credentials == Credentials::kNone) tally_->Count(Situation::kPublicWithoutKey);
      return;
    }
    tally_->Count(Situation::kServedByKey);
    if (IsPublic(request)) tally_->Count(Situation::kPublicWithKey);
    if (added_keys_.contains(request.key)) tally_->Count(Situation::kServedByAddedKey);
    if (moved_keys_.contains(request.key)) tally_->Count(Situation::kServedForNewHolder);
    if (returned_keys_.contains(request.key)) tally_->Count(Situation::kServedForReturnedTenant);
    if (request.credentials == Credentials::kUnusualForm)
      tally_->Count(Situation::kServedUnusualForm);
  }

  bool IsPublic(const ClientRequest& request) const {
    return request.target != Target::kBatchJobCall &&
           model_.is_public[static_cast<std::size_t>(request.target)];
  }

  void CountTarget(Target target, bool is_served) const {
    if (target == Target::kSubmission)
      tally_->Count(is_served ? Situation::kSubmissionServed : Situation::kSubmissionRefused);
    if (target == Target::kBatchJobCall)
      tally_->Count(is_served ? Situation::kBatchCallServed : Situation::kBatchCallRefused);
  }

  void CountForgery(Forgery forgery) const {
    if (forgery == Forgery::kHeader) tally_->Count(Situation::kForgedHeader);
    if (forgery == Forgery::kOtherCase) tally_->Count(Situation::kForgedHeaderInOtherCase);
    if (forgery == Forgery::kNamedInConnection) tally_->Count(Situation::kForgedNamedInConnection);
    if (forgery == Forgery::kTrailer) tally_->Count(Situation::kForgedTrailer);
  }

  void CountRefusal(const Connection& connection, const ClientRequest& request) const {
    if (request.credentials == Credentials::kNone) tally_->Count(Situation::kRefusedWithoutKey);
    if (request.credentials == Credentials::kTwoHeaders)
      tally_->Count(Situation::kRefusedTwoHeaders);
    if (request.credentials == Credentials::kOtherScheme)
      tally_->Count(Situation::kRefusedOtherScheme);
    const std::string key = request.ReadableKey();
    if (key == kNeverHeld) tally_->Count(Situation::kRefusedNeverHeld);
    const auto withdrawn = withdrawn_keys_.find(key);
    if (withdrawn == withdrawn_keys_.end()) return;
    if (connection.served.contains(key))
      tally_->Count(Situation::kWithdrawnOnConnectionThatWasServed);
    if (!model_.tenants.contains(withdrawn->second))
      tally_->Count(Situation::kRefusedOfDroppedTenant);
  }

  std::mt19937_64 random_;
  Tally* tally_;
  ModelConfiguration model_;
  int last_key_ = 0;
  std::map<std::string, std::string> withdrawn_keys_;  // key to its last tenant
  std::set<std::string> added_keys_, moved_keys_, returned_keys_;

  Timers timers_;
  FixedControl control_;
  ManualRunner runner_;
  Gateway gateway_{&control_, &runner_, &timers_};
  std::unique_ptr<http_server::HttpServer> server_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::optional<std::string> recorded_tenant_;  // tenant passed to a batch handler
};

class KeyHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyHistoryTest);
  CPPUNIT_TEST(NoRequestRunsForATenantThatDoesNotHoldItsKey);
  CPPUNIT_TEST_SUITE_END();

 public:
  // UNASKED, ROUTE and CONFIG over random histories.
  void NoRequestRunsForATenantThatDoesNotHoldItsKey() {
    Tally tally;
    for (std::uint64_t seed = FirstSeed(); seed < SeedsEnd(kUsualSeeds); ++seed) {
      try {
        History(seed, &tally).Run();
      } catch (const CppUnit::Exception&) {
        fmt::print(stderr, "key histories: seed {} failed\n", seed);
        throw;
      }
    }
    std::string counts;
    for (std::size_t i = 0; i < kSituations; ++i)
      counts += fmt::format("{}{}: {}", i == 0 ? "" : ", ", kSituationNames[i], tally.CountOf(i));
    fmt::print(stderr, "key histories: {}\n", counts);
    for (std::size_t i = 0; i < kSituations; ++i) {
      CPPUNIT_ASSERT_MESSAGE(std::string("never came about: ") + kSituationNames[i],
                             tally.CountOf(i) > 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyHistoryTest);

}  // namespace
}  // namespace pearreach::gateway
