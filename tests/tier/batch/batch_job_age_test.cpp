// How long lots are known, by a clock that does not step.
#include "tier/batch/batch_job_age.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pearreach::batch {
namespace {

constexpr Micros kStart = 500 * kSecond;

class BatchJobAgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BatchJobAgeTest);
  CPPUNIT_TEST(AgeIgnoresTheWallClock);
  CPPUNIT_TEST(AbandonsOpenItemsAfterRetention);
  CPPUNIT_TEST(ForgetsEndedBatchJobsAfterRetention);
  CPPUNIT_TEST(AbandonsNothingWithoutRetention);
  CPPUNIT_TEST(StampsABatchJobOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Taken by a primary whose clock was years off.
  void AgeIgnoresTheWallClock() {
    for (const std::int64_t created : {std::int64_t{1}, std::int64_t{1} << 60}) {
      BatchJobTable table(0);
      BatchJob* batch_job = Add(&table, 40, created);
      CPPUNIT_ASSERT(!MayAbandon(*batch_job, kStart));
      CPPUNIT_ASSERT(RunLeftMs(*batch_job, kStart) >= 40'000);
      table.StampNew(kStart);
      CPPUNIT_ASSERT(!MayAbandon(*batch_job, kStart + 39 * kSecond));
      CPPUNIT_ASSERT(RunLeftMs(*batch_job, kStart + 39 * kSecond) >= 1'000);
    }
  }

  void AbandonsOpenItemsAfterRetention() {
    BatchJobTable table(0);
    BatchJob* batch_job = Add(&table, 40, 1);
    table.StampNew(kStart);
    CPPUNIT_ASSERT(!MayAbandon(*batch_job, kStart + 40 * kSecond));
    CPPUNIT_ASSERT(MayAbandon(*batch_job, kStart + 50 * kSecond));
    CPPUNIT_ASSERT_EQUAL(0.0, RunLeftMs(*batch_job, kStart + 50 * kSecond));
    // While it may be run it is not given up, and the other way round.
    for (Micros age = 0; age < 60 * kSecond; age += kSecond / 4) {
      CPPUNIT_ASSERT(MayAbandon(*batch_job, kStart + age) !=
                     (RunLeftMs(*batch_job, kStart + age) > 0));
    }
    batch_job->accepted = false;
    CPPUNIT_ASSERT(!MayAbandon(*batch_job, kStart + 500 * kSecond));
  }

  void ForgetsEndedBatchJobsAfterRetention() {
    BatchJobTable table(0);
    BatchJob* batch_job = Add(&table, 40, 1);
    table.StampNew(kStart);
    CPPUNIT_ASSERT(!MayForget(*batch_job, kStart + 500 * kSecond, false));
    batch_job->ended = true;
    CPPUNIT_ASSERT(!MayForget(*batch_job, kStart + 120 * kSecond, false));
    CPPUNIT_ASSERT(MayForget(*batch_job, kStart + 160 * kSecond, false));
    CPPUNIT_ASSERT(!MayForget(*batch_job, kStart + 130 * kSecond, false));
    CPPUNIT_ASSERT(MayForget(*batch_job, kStart + 130 * kSecond, true));
    CPPUNIT_ASSERT(!MayForget(*batch_job, kStart + 120 * kSecond, true));
  }

  void AbandonsNothingWithoutRetention() {
    BatchJobTable table(0);
    BatchJob* batch_job = Add(&table, 0, 1);
    table.StampNew(kStart);
    CPPUNIT_ASSERT(!MayAbandon(*batch_job, kStart + 500 * kSecond));
    CPPUNIT_ASSERT(RunLeftMs(*batch_job, kStart + 500 * kSecond) > 0);
  }

  void StampsABatchJobOnce() {
    BatchJobTable table(0);
    const BatchJob* batch_job = Add(&table, 40, 1);
    table.StampNew(kStart);
    table.StampNew(kStart + kSecond);
    CPPUNIT_ASSERT_EQUAL(kStart, *batch_job->known_since);
  }

 private:
  static BatchJob* Add(BatchJobTable* table, double retain_s, std::int64_t created_wall_ms) {
    BatchJobSpec spec;
    spec.batch_job_id = "lot";
    spec.retain_s = retain_s;
    spec.status_s = 120;
    spec.items.resize(2);
    table->Apply(MakeCreate(spec, created_wall_ms));
    BatchJob* batch_job = table->Find("lot");
    batch_job->accepted = true;
    return batch_job;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchJobAgeTest);

}  // namespace
}  // namespace pearreach::batch
