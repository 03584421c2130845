// How long lots are known, by a clock that does not step.
#include "tier/batch/lot_age.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pearreach::batch {
namespace {

constexpr Micros kStart = 500 * kSecond;

class LotAgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LotAgeTest);
  CPPUNIT_TEST(TheTimeOfDayIsNoAge);
  CPPUNIT_TEST(OpenItemsAreGivenUpInTime);
  CPPUNIT_TEST(EndedLotsAreForgottenInTime);
  CPPUNIT_TEST(WithoutLimitNothingIsGivenUp);
  CPPUNIT_TEST(ALotIsStampedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Taken by a primary whose clock was years off.
  void TheTimeOfDayIsNoAge() {
    for (const std::int64_t created : {std::int64_t{1}, std::int64_t{1} << 60}) {
      LotTable table(0);
      Lot* lot = Add(&table, 40, created);
      CPPUNIT_ASSERT(!MayAbandon(*lot, kStart));
      CPPUNIT_ASSERT(RunLeftMs(*lot, kStart) >= 40'000);
      table.StampNew(kStart);
      CPPUNIT_ASSERT(!MayAbandon(*lot, kStart + 39 * kSecond));
      CPPUNIT_ASSERT(RunLeftMs(*lot, kStart + 39 * kSecond) >= 1'000);
    }
  }

  void OpenItemsAreGivenUpInTime() {
    LotTable table(0);
    Lot* lot = Add(&table, 40, 1);
    table.StampNew(kStart);
    CPPUNIT_ASSERT(!MayAbandon(*lot, kStart + 40 * kSecond));
    CPPUNIT_ASSERT(MayAbandon(*lot, kStart + 50 * kSecond));
    CPPUNIT_ASSERT_EQUAL(0.0, RunLeftMs(*lot, kStart + 50 * kSecond));
    // While it may be run it is not given up, and the other way round.
    for (Micros age = 0; age < 60 * kSecond; age += kSecond / 4) {
      CPPUNIT_ASSERT(MayAbandon(*lot, kStart + age) != (RunLeftMs(*lot, kStart + age) > 0));
    }
    lot->accepted = false;
    CPPUNIT_ASSERT(!MayAbandon(*lot, kStart + 500 * kSecond));
  }

  void EndedLotsAreForgottenInTime() {
    LotTable table(0);
    Lot* lot = Add(&table, 40, 1);
    table.StampNew(kStart);
    CPPUNIT_ASSERT(!MayForget(*lot, kStart + 500 * kSecond, false));
    lot->ended = true;
    CPPUNIT_ASSERT(!MayForget(*lot, kStart + 120 * kSecond, false));
    CPPUNIT_ASSERT(MayForget(*lot, kStart + 160 * kSecond, false));
    CPPUNIT_ASSERT(!MayForget(*lot, kStart + 130 * kSecond, false));
    CPPUNIT_ASSERT(MayForget(*lot, kStart + 130 * kSecond, true));
    CPPUNIT_ASSERT(!MayForget(*lot, kStart + 120 * kSecond, true));
  }

  void WithoutLimitNothingIsGivenUp() {
    LotTable table(0);
    Lot* lot = Add(&table, 0, 1);
    table.StampNew(kStart);
    CPPUNIT_ASSERT(!MayAbandon(*lot, kStart + 500 * kSecond));
    CPPUNIT_ASSERT(RunLeftMs(*lot, kStart + 500 * kSecond) > 0);
  }

  void ALotIsStampedOnce() {
    LotTable table(0);
    const Lot* lot = Add(&table, 40, 1);
    table.StampNew(kStart);
    table.StampNew(kStart + kSecond);
    CPPUNIT_ASSERT_EQUAL(kStart, *lot->known_since);
  }

 private:
  static Lot* Add(LotTable* table, double retain_s, std::int64_t created_wall_ms) {
    LotSpec spec;
    spec.lot_id = "lot";
    spec.retain_s = retain_s;
    spec.status_s = 120;
    spec.items.resize(2);
    table->Apply(MakeCreate(spec, created_wall_ms));
    Lot* lot = table->Find("lot");
    lot->accepted = true;
    return lot;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LotAgeTest);

}  // namespace
}  // namespace pearreach::batch
