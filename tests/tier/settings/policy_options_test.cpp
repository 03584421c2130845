// The section `policy`: which names and values it takes.
#include "tier/settings/policy_options.h"

#include <cppunit/extensions/HelperMacros.h>
#include <yaml-cpp/yaml.h>

#include <string>

#include "tier/settings/findings.h"
#include "tier/settings/node_settings.h"

namespace pearreach::settings {
namespace {

constexpr char kNode[] =
    "node_name: n\nip: 10.0.0.1\nzone: z\nmachine_class: edge\nport_range: [7000, 7001]\n";

class PolicyOptionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PolicyOptionsTest);
  CPPUNIT_TEST(AllIsOnByDefault);
  CPPUNIT_TEST(ReadsWhatIsGiven);
  CPPUNIT_TEST(FindingsByTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllIsOnByDefault() {
    const auto settings = ParseSettings(kNode);
    CPPUNIT_ASSERT(settings.ok());
    CPPUNIT_ASSERT(settings->policy.offer_lots && settings->policy.told_load);
  }

  void ReadsWhatIsGiven() {
    const auto settings =
        ParseSettings(std::string(kNode) + "policy:\n  offer_lots: false\n  bulk_fill: 0.5\n");
    CPPUNIT_ASSERT(settings.ok());
    CPPUNIT_ASSERT(!settings->policy.offer_lots);
    CPPUNIT_ASSERT(settings->policy.told_load);
    CPPUNIT_ASSERT_EQUAL(0.5, settings->policy.bulk_fill);
  }

  void FindingsByTable() {
    const struct {
      const char *section, *finding;
    } kCases[] = {
        {"offer_lot: false", "policy.offer_lot: no such option"},
        {"offer_lots: perhaps", "policy.offer_lots"},
        {"bulk_fill: 0", "policy.bulk_fill: not in (0, 1]"},
        {"bulk_fill: 1.5", "policy.bulk_fill: not in (0, 1]"},
    };
    for (const auto& c : kCases) {
      const auto settings = ParseSettings(std::string(kNode) + "policy:\n  " + c.section + "\n");
      CPPUNIT_ASSERT_MESSAGE(c.section, !settings.ok());
      const std::string said(settings.status().message());
      CPPUNIT_ASSERT_MESSAGE(said, said.find(c.finding) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyOptionsTest);

}  // namespace
}  // namespace pearreach::settings
