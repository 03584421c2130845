#include "tier/control/config_change_id.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tier/control/sample_config.h"

namespace pearreach::control {
namespace {

class ConfigChangeIdTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigChangeIdTest);
  CPPUNIT_TEST(EqualJsonHasSameId);
  CPPUNIT_TEST(DifferentJsonHasDifferentId);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EqualJsonHasSameId() {
    const struct {
      std::string left, right;
    } cases[] = {
        {R"({"a":1,"b":[1,2]})", " { \"b\" : [ 1,2 ],\n\"a\":1 } "},
        {R"({"a":"é/"})", R"({"a":"\u00e9\/"})"},
        {R"({"a":1.0,"b":1e3})", R"({"a":1,"b":1000})"},
        {R"({"a":-0.0})", R"({"a":0})"},
        {R"({"a":0.1})", R"({"a":1e-1})"},
        {R"({"a":{"x":null,"y":true}})", R"({"a":{"y":true,"x":null}})"},
    };
    for (const auto& test : cases) {
      CPPUNIT_ASSERT_MESSAGE(test.left,
                             ConfigChangeId(3, test.left) == ConfigChangeId(3, test.right));
    }
    CPPUNIT_ASSERT(ConfigChangeId(4, SampleConfig(4)) ==
                   ConfigChangeId(4, SampleConfig(4) + "\r\n "));
  }

  void DifferentJsonHasDifferentId() {
    const std::string different[] = {
        R"({"a":1})",          R"({"a":2})",          R"({"a":"1"})",
        R"({"b":1})",          R"({"a":[1]})",        R"({"a":[[1]]})",
        R"({"a":[1,1]})",      R"({"a":null})",       R"({"a":true})",
        R"({"a":false})",      R"({"a":1.5})",        R"({"a":-1})",
        R"({"a":{}})",         R"({"a":[]})",         R"({"a":""})",
        R"({"a":"b","c":""})", R"({"a":"","b":"c"})", R"({"a":18446744073709551615})",
        R"({"a":["b","c"]})",  R"({"a":["bc"]})",     R"({"a":["c","b"]})",
    };
    for (const std::string& left : different) {
      for (const std::string& right : different) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(left + " " + right, &left == &right,
                                     ConfigChangeId(3, left) == ConfigChangeId(3, right));
      }
      CPPUNIT_ASSERT(ConfigChangeId(3, left) != ConfigChangeId(4, left));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigChangeIdTest);

}  // namespace
}  // namespace pearreach::control
