#include "tier/gateway/request_builder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "tier/gateway/header_filter.h"

namespace pearreach::gateway {
namespace {

using http::Header;

std::string NamesOf(const std::vector<Header>& headers) {
  std::string names;
  for (const Header& header : headers) names += header.name + " ";
  return names;
}

routing::Route StreamedRoute() {
  routing::Route route;
  route.variant = routing::Variant::kStreamed;
  route.limit_ms = 4000;
  route.target_ms = 250;
  route.rank = 2;
  route.attempts = 3;
  route.resumable = true;
  route.targets = {{"s1", 50}, {"s2", 50}};
  return route;
}

http::Message Request(std::vector<Header> more) {
  http::Message message;
  message.method = "POST";
  message.target = "/e/x?q=1&r=%20";
  message.body = "the body";
  message.headers = {{"Host", "a.example"}, {"X-Attempt-Id", "77aa"}};
  for (Header& header : more) message.headers.push_back(std::move(header));
  return message;
}

std::uint64_t KeyOf(const std::string& model, const std::string& parts) {
  http::Message request = Request({{"X-Model", model}, {"X-Prompt-Prefix", parts}});
  return BuildRequestSpec(StreamedRoute(), Sender(), &request, 0).prefix_key;
}

class JobBuilderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobBuilderTest);
  CPPUNIT_TEST(CarriesTheRequestUnchanged);
  CPPUNIT_TEST(TakesTheRoutesTerms);
  CPPUNIT_TEST(DueByTable);
  CPPUNIT_TEST(PrefixKeys);
  CPPUNIT_TEST(SplitIsSteadyAndUsesAllTargets);
  CPPUNIT_TEST(FiltersRequestHeaders);
  CPPUNIT_TEST(FiltersAnswerHeaders);
  CPPUNIT_TEST_SUITE_END();

 private:
  void CarriesTheRequestUnchanged() {
    http::Message request = Request({{"Last-Event-Id", "12"}, {"X-Token-Count", "1460,80"}});
    const proxy::RequestSpec spec = BuildRequestSpec(StreamedRoute(), Sender(), &request, 0);
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), spec.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/e/x?q=1&r=%20"), spec.target);
    CPPUNIT_ASSERT_EQUAL(std::string("the body"), spec.body);
    CPPUNIT_ASSERT_EQUAL(std::string("77aa"), spec.attempt_id);
    CPPUNIT_ASSERT_EQUAL(std::string("Host X-Attempt-Id Last-Event-Id X-Token-Count "),
                         NamesOf(spec.headers));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, spec.last_event_id);
    CPPUNIT_ASSERT_EQUAL(1540.0, spec.total_tokens);
    CPPUNIT_ASSERT(!spec.bulk);
  }

  void TakesTheRoutesTerms() {
    const struct {
      routing::Variant variant;
      bool resumable, idempotent, streamed, resumes;
    } kCases[] = {
        {routing::Variant::kIdempotent, false, true, false, false},
        {routing::Variant::kEffectful, false, false, false, false},
        {routing::Variant::kEffectful, true, false, false, false},
        {routing::Variant::kStreamed, false, false, true, false},
        {routing::Variant::kStreamed, true, true, true, true},
    };
    for (const auto& c : kCases) {
      routing::Route route = StreamedRoute();
      route.variant = c.variant;
      route.resumable = c.resumable;
      http::Message request = Request({});
      const proxy::RequestSpec spec = BuildRequestSpec(route, Sender(), &request, 0);
      CPPUNIT_ASSERT_EQUAL(c.idempotent, spec.idempotent);
      CPPUNIT_ASSERT_EQUAL(c.streamed, spec.streamed);
      CPPUNIT_ASSERT_EQUAL(c.resumes, spec.resumable);
      CPPUNIT_ASSERT_EQUAL(2, spec.rank);
      CPPUNIT_ASSERT_EQUAL(3, spec.attempts);
      CPPUNIT_ASSERT_EQUAL(250.0, spec.target_ms);
    }
  }

  void DueByTable() {
    const struct {
      const char* deadline;
      Micros left;
    } kCases[] = {{"", 4000 * kMs},   {"1500", 1500 * kMs}, {"1500.5", 1500500},
                  {"0", 0},           {"9000", 4000 * kMs}, {"-3", 4000 * kMs},
                  {"x", 4000 * kMs},  {"12x", 4000 * kMs},  {"nan", 4000 * kMs},
                  {"inf", 4000 * kMs}};
    constexpr Micros kArrived = 77 * kSecond;
    for (const auto& c : kCases) {
      http::Message request = Request({});
      if (*c.deadline != 0) request.headers.push_back({"X-Deadline-Ms", c.deadline});
      const proxy::RequestSpec spec =
          BuildRequestSpec(StreamedRoute(), Sender(), &request, kArrived);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.deadline, kArrived + c.left, spec.deadline);
    }
  }

  void PrefixKeys() {
    const std::uint64_t key = KeyOf("m", "5c:800,91:410,e4:250");
    CPPUNIT_ASSERT(key != 0);
    CPPUNIT_ASSERT_EQUAL(key, KeyOf("m", "5c:800,91:410,ff:99"));  // the last part is not shared
    CPPUNIT_ASSERT(key != KeyOf("n", "5c:800,91:410,e4:250"));
    CPPUNIT_ASSERT(key != KeyOf("m", "5c:800,92:410,e4:250"));
    CPPUNIT_ASSERT(key != KeyOf("m", "5c:800,e4:250"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, KeyOf("m", "5c:800"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, KeyOf("m", ""));
  }

  void SplitIsSteadyAndUsesAllTargets() {
    std::set<std::string> used;
    for (int i = 0; i < 64; ++i) {
      http::Message first = Request({}), again = Request({});
      first.headers[1].value = again.headers[1].value = "9c41d07be2a35f" + std::to_string(i);
      const std::string service = BuildRequestSpec(StreamedRoute(), Sender(), &first, 0).service;
      CPPUNIT_ASSERT_EQUAL(service, BuildRequestSpec(StreamedRoute(), Sender(), &again, 0).service);
      used.insert(service);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.size());
  }

  void FiltersRequestHeaders() {
    std::vector<Header> headers = {
        {"Host", "h"},
        {"connection", "close, X-Own , host"},
        {"x-own", "1"},
        {"X-Kept", "2"},
        {"Keep-Alive", "5"},
        {"TE", "trailers"},
        {"Trailer", "T"},
        {"Transfer-Encoding", "chunked"},
        {"Upgrade", "x"},
        {"Proxy-Connection", "x"},
        {"Proxy-Auth", "x"},
        {"Expect", "100-continue"},
        {"Content-Length", "3"},
        {"X-Deadline-Ms", "5"},
        {"X-Target-Worker", "w"},
        {"Content-Type", "a/b"},
        {"Expect-Version", "3"},
        {"Proxy", "x"},
    };
    CPPUNIT_ASSERT_EQUAL(std::string("Host X-Kept Content-Type Expect-Version Proxy "),
                         NamesOf(RequestHeaders(&headers, Authentication::kNone)));
  }

  void FiltersAnswerHeaders() {
    const std::vector<Header> headers = {
        {"X-Attempt-Id", "1"},   {"X-Seal", "s"},   {"Connection", "keep-alive, X-Hop, X-Seal"},
        {"X-Hop", "1"},          {"Versions", "2"}, {"Keep-Alive", "timeout=3"},
        {"Content-Length", "9"},
    };
    CPPUNIT_ASSERT_EQUAL(std::string("X-Attempt-Id X-Seal Versions "),
                         NamesOf(ResponseHeaders(headers)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobBuilderTest);

}  // namespace
}  // namespace pearreach::gateway
