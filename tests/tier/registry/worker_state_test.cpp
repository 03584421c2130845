// What a node knows of workers after calls that come late, twice, out of order or from elsewhere.
#include "registry/worker_state.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pearreach::registry {
namespace {

constexpr Micros kExpiry = 6 * kSecond;
constexpr Micros kStart = 1000 * kSecond;

WorkerRecord Record(const std::string& id, const std::string& address, std::uint64_t seq,
                    WorkerPhase phase = WorkerPhase::kReady) {
  WorkerRecord record;
  record.worker_id = id;
  record.service = "service";
  record.address = address;
  record.capacity = 4;
  record.call_seq = seq;
  record.phase = phase;
  return record;
}

class WorkerStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerStateTest);
  CPPUNIT_TEST(ANewWorkerIsAChangeAndIsListed);
  CPPUNIT_TEST(APhaseNeverGoesBack);
  CPPUNIT_TEST(ADepartureOfAnUnknownWorkerIsRemembered);
  CPPUNIT_TEST(AnAddressBelongsToTheLaterWorker);
  CPPUNIT_TEST(ALateHeartbeatOfAnEndedWorkerDoesNotKeepTheAddress);
  CPPUNIT_TEST(AWorkerThatNobodyHearsLeavesTheTableAndComesBack);
  CPPUNIT_TEST(ASummaryOfADrainThatIsNotKnownIsNotCovered);
  CPPUNIT_TEST(AnExportMergesToTheSameTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ANewWorkerIsAChangeAndIsListed() {
    CPPUNIT_ASSERT(state_.Merge(kStart, Record("a", "1:1", 1), 0));
    CPPUNIT_ASSERT(!state_.Merge(kStart + 1, Record("a", "1:1", 2), 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_.BuildTable()->size());
  }

  void APhaseNeverGoesBack() {
    struct Case {
      WorkerPhase first, second, then;
    };
    for (const Case& c : {Case{WorkerPhase::kReady, WorkerPhase::kDraining, WorkerPhase::kDraining},
                          Case{WorkerPhase::kDraining, WorkerPhase::kReady, WorkerPhase::kDraining},
                          Case{WorkerPhase::kGone, WorkerPhase::kReady, WorkerPhase::kGone},
                          Case{WorkerPhase::kGone, WorkerPhase::kDraining, WorkerPhase::kGone}}) {
      WorkerState state({kExpiry, 60 * kSecond});
      state.Merge(kStart, Record("a", "1:1", 5, c.first), 0);
      state.Merge(kStart, Record("a", "1:1", 4, c.second), 0);
      state.Merge(kStart, Record("a", "1:1", 6, c.second), 0);
      CPPUNIT_ASSERT(state.Find("a")->phase == c.then);
      CPPUNIT_ASSERT_EQUAL(c.then == WorkerPhase::kGone, state.BuildTable()->empty());
    }
  }

  void ADepartureOfAnUnknownWorkerIsRemembered() {
    CPPUNIT_ASSERT(state_.Depart(kStart, "a"));
    CPPUNIT_ASSERT(!state_.Merge(kStart + 1, Record("a", "1:1", 9), 0));
    CPPUNIT_ASSERT(state_.BuildTable()->empty());
  }

  void AnAddressBelongsToTheLaterWorker() {
    state_.Merge(kStart, Record("a", "1:1", 1), 0);
    state_.Merge(kStart + kSecond, Record("b", "1:1", 1), 0);
    const auto table = state_.BuildTable();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table->size());
    CPPUNIT_ASSERT(table->contains("b"));
  }

  void ALateHeartbeatOfAnEndedWorkerDoesNotKeepTheAddress() {
    state_.Merge(kStart, Record("b", "1:1", 1), 0);
    state_.Merge(kStart + 1, Record("a", "1:1", 9), 0);  // came seconds late: it had ended before
    state_.Merge(kStart + kSecond, Record("b", "1:1", 2), 0);
    const auto table = state_.BuildTable();
    CPPUNIT_ASSERT(table->contains("b"));
    CPPUNIT_ASSERT(!table->contains("a"));
  }

  void AWorkerThatNobodyHearsLeavesTheTableAndComesBack() {
    state_.Merge(kStart, Record("a", "1:1", 1), 0);
    CPPUNIT_ASSERT(!state_.Expire(kStart + kExpiry - 1));
    CPPUNIT_ASSERT(state_.Expire(kStart + kExpiry));
    CPPUNIT_ASSERT(state_.BuildTable()->empty());
    CPPUNIT_ASSERT(state_.Merge(kStart + kExpiry + 1, Record("a", "1:1", 2), 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_.BuildTable()->size());
  }

  void ASummaryOfADrainThatIsNotKnownIsNotCovered() {
    state_.Merge(kStart, Record("a", "1:1", 1), 0);
    CPPUNIT_ASSERT(state_.Covers({"a", 2, WorkerPhase::kReady}));
    CPPUNIT_ASSERT(!state_.Covers({"a", 2, WorkerPhase::kDraining}));
    CPPUNIT_ASSERT(!state_.Covers({"b", 1, WorkerPhase::kReady}));
  }

  void AnExportMergesToTheSameTable() {
    state_.Merge(kStart, Record("a", "1:1", 1), 0);
    state_.Merge(kStart, Record("b", "1:2", 1, WorkerPhase::kDraining), 0);
    state_.Depart(kStart, "c");
    WorkerState other({kExpiry, 60 * kSecond});
    constexpr Micros kElsewhere = 5 * kSecond;  // another clock
    for (const WorkerUpdate::Item& item : state_.Export(kStart))
      other.Merge(kElsewhere, item.record, item.unheard_ms * kMs);
    CPPUNIT_ASSERT_EQUAL(state_.BuildTable()->size(), other.BuildTable()->size());
    CPPUNIT_ASSERT(other.Find("b")->phase == WorkerPhase::kDraining);
    CPPUNIT_ASSERT(other.Find("c")->phase == WorkerPhase::kGone);
  }

 private:
  WorkerState state_{{kExpiry, 60 * kSecond}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerStateTest);

}  // namespace
}  // namespace pearreach::registry
