#include "tier/control/api_router.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tier/control/fake_exchange.h"

namespace pearreach::control {
namespace {

class ApiRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ApiRouterTest);
  CPPUNIT_TEST(DispatchesByMethodAndPath);
  CPPUNIT_TEST(AllowHeaderListsMethods);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    Add("GET", "/Config.Read", "read");
    Add("POST", "/Config.Replace", "replace");
    Add("POST", "/Workers.Heartbeat/*", "beat");
    Add("POST", "/Retire.Begin/*", "begin");
    Add("GET", "/Retire.Begin/known", "known");
  }

  void DispatchesByMethodAndPath() {
    struct Case {
      std::string method, target;
      int status;
      std::string handler, argument;
    };
    const Case cases[] = {
        {"GET", "/Config.Read", 200, "read", ""},
        {"GET", "/Config.Read?x=1", 200, "read", ""},
        {"POST", "/Config.Read", 405, "", ""},
        {"POST", "/Config.Replace", 200, "replace", ""},
        {"POST", "/Workers.Heartbeat/i-7f", 200, "beat", "i-7f"},
        {"POST", "/Workers.Heartbeat/a%2Fb%20c", 200, "beat", "a/b c"},
        {"POST", "/Workers.Heartbeat/a%2", 400, "", ""},
        {"POST", "/Workers.Heartbeat/a%zz", 400, "", ""},
        {"POST", "/Workers.Heartbeat/", 404, "", ""},
        {"POST", "/Workers.Heartbeat", 404, "", ""},
        {"POST", "/Workers.Heartbeat/a/b", 404, "", ""},
        {"GET", "/Workers.Heartbeat/a", 405, "", ""},
        {"GET", "/Retire.Begin/known", 200, "known", ""},
        {"POST", "/Retire.Begin/other", 200, "begin", "other"},
        {"GET", "/", 404, "", ""},
        {"GET", "", 404, "", ""},
        {"GET", "*", 404, "", ""},
        {"GET", "/config.read", 404, "", ""},
    };
    for (const Case& c : cases) {
      called_.clear();
      argument_.clear();
      auto exchange = std::make_shared<FakeExchange>(c.method, c.target);
      router_.Dispatch(exchange);
      const std::string at = c.method + " " + c.target;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, 1, exchange->answers);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, c.status, exchange->status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, c.handler, called_);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, c.argument, argument_);
      if (c.status == 200) continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(at, std::string("application/json"),
                                   exchange->HeaderOf("Content-Type"));
    }
  }

  void AllowHeaderListsMethods() {
    Add("DELETE", "/Config.Read", "drop");
    auto exchange = std::make_shared<FakeExchange>("PUT", "/Config.Read");
    router_.Dispatch(exchange);
    CPPUNIT_ASSERT_EQUAL(std::string("DELETE, GET"), exchange->HeaderOf("Allow"));
  }

 private:
  void Add(const std::string& method, const std::string& pattern, const std::string& name) {
    router_.Add(
        method, pattern,
        [this, name](std::shared_ptr<http_server::Exchange> exchange, const std::string& text) {
          called_ = name;
          argument_ = text;
          exchange->Respond(200, {}, "");
        });
  }

  ApiRouter router_;
  std::string called_, argument_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApiRouterTest);

}  // namespace
}  // namespace pearreach::control
