// What a node knows of workers after calls that come late, twice, out of order or from elsewhere.
#include "tier/registry/worker_state.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

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
  CPPUNIT_TEST(ListsANewWorker);
  CPPUNIT_TEST(PhasesNeverGoBack);
  CPPUNIT_TEST(RemembersTheDepartureOfAnUnknownWorker);
  CPPUNIT_TEST(AnAddressBelongsToTheLaterWorker);
  CPPUNIT_TEST(ALateHeartbeatOfAnEndedWorkerDoesNotKeepTheAddress);
  CPPUNIT_TEST(ExpiresAWorkerWithoutHeartbeatsAndListsItAgain);
  CPPUNIT_TEST(TheDigestShowsAnUnknownDrain);
  CPPUNIT_TEST(ARepairMakesTwoNodesEqual);
  CPPUNIT_TEST(RecordsConvergeInAnyOrder);
  CPPUNIT_TEST(ListsAWorkerWhileItsReceiverIsLive);
  CPPUNIT_TEST(TheReceiverReportsALostWorkerOnce);
  CPPUNIT_TEST(ATakenOverOrphanStaysListed);
  CPPUNIT_TEST(DoesNotRelearnAWorkerThatHasEnded);
  CPPUNIT_TEST(SnapshotsShareUnchangedShards);
  CPPUNIT_TEST(AnExportMergesToTheSameTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ListsANewWorker() {
    CPPUNIT_ASSERT(state_.Merge(kStart, Record("a", "1:1", 1), 0));
    CPPUNIT_ASSERT(!state_.Merge(kStart + 1, Record("a", "1:1", 2), 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_.BuildTable()->size());
  }

  void PhasesNeverGoBack() {
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

  void RemembersTheDepartureOfAnUnknownWorker() {
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

  void ExpiresAWorkerWithoutHeartbeatsAndListsItAgain() {
    state_.Merge(kStart, Record("a", "1:1", 1), 0);
    CPPUNIT_ASSERT(!state_.Expire(kStart + kExpiry - 1));
    CPPUNIT_ASSERT(state_.Expire(kStart + kExpiry));
    CPPUNIT_ASSERT(state_.BuildTable()->empty());
    CPPUNIT_ASSERT(state_.Merge(kStart + kExpiry + 1, Record("a", "1:1", 2), 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_.BuildTable()->size());
  }

  void TheDigestShowsAnUnknownDrain() {
    WorkerState other({kExpiry, 60 * kSecond});
    state_.Merge(kStart, Record("a", "1:1", 1), 0);
    Exchange(&state_, &other);
    CPPUNIT_ASSERT_EQUAL(state_.Digest(), other.Digest());
    state_.Merge(kStart, Record("a", "1:1", 2), 0);  // a heartbeat alone is nobody else's affair
    CPPUNIT_ASSERT_EQUAL(state_.Digest(), other.Digest());
    state_.Merge(kStart, Record("a", "1:1", 3, WorkerPhase::kDraining), 0);
    CPPUNIT_ASSERT(state_.Digest() != other.Digest());
    Exchange(&other, &state_);
    CPPUNIT_ASSERT(other.Find("a")->phase == WorkerPhase::kDraining);
    other.Merge(kStart, Record("b", "1:2", 1), 0);
    CPPUNIT_ASSERT(state_.Digest() != other.Digest());
  }

  void ARepairMakesTwoNodesEqual() {
    WorkerState other({kExpiry, 60 * kSecond});
    for (int i = 0; i < 300; ++i) {
      const std::string id = "w" + std::to_string(i), address = "1:" + std::to_string(i);
      if (i % 3 != 0) state_.Merge(kStart, Record(id, address, 1), 0);
      if (i % 3 != 1) other.Merge(kStart, Record(id, address, 1 + i % 2), 0);
      if (i % 7 == 0) state_.Depart(kStart, id);
      if (i % 11 == 0) other.Merge(kStart, Record(id, address, 3, WorkerPhase::kDraining), 0);
    }
    Exchange(&state_, &other);
    CPPUNIT_ASSERT_EQUAL(state_.Digest(), other.Digest());
    CPPUNIT_ASSERT_EQUAL(state_.BuildTable()->size(), other.BuildTable()->size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{300}, other.size());
    CPPUNIT_ASSERT(other.Find("w0")->phase == WorkerPhase::kGone);
    CPPUNIT_ASSERT(state_.Find("w11")->phase == WorkerPhase::kDraining);
  }

  void RecordsConvergeInAnyOrder() {
    std::vector<WorkerUpdate::Item> items;
    for (int i = 0; i < 40; ++i) {
      WorkerRecord record =
          Record("a", "1:" + std::to_string(i % 2), static_cast<std::uint64_t>(i));
      record.version = static_cast<std::uint64_t>(1 + i % 5);
      record.receiver = "n" + std::to_string(i % 3);
      record.lost = i % 4 == 0;
      if (i % 9 == 0) record.phase = WorkerPhase::kDraining;
      items.push_back({record, 0, 0, false});
    }
    std::mt19937 random(7);
    std::set<std::uint64_t> ends;
    for (int round = 0; round < 50; ++round) {
      std::shuffle(items.begin(), items.end(), random);
      WorkerState state({kExpiry, 60 * kSecond});
      for (const WorkerUpdate::Item& item : items) state.Adopt(kStart, item);
      ends.insert(state.Digest());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
  }

  void ListsAWorkerWhileItsReceiverIsLive() {
    bool live = true;
    WorkerState state({kExpiry, 60 * kSecond, "here", [&](const std::string&) { return live; }});
    state.Adopt(kStart, {WithReceiver("a", "there", 1), 0, 0, false});
    CPPUNIT_ASSERT(!state.Expire(kStart + 100 * kSecond));
    live = false;
    CPPUNIT_ASSERT(!state.Expire(kStart + 101 * kSecond));
    CPPUNIT_ASSERT(!state.Expire(kStart + 101 * kSecond + kExpiry - 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.BuildTable()->size());
    CPPUNIT_ASSERT(state.Expire(kStart + 101 * kSecond + kExpiry));
    CPPUNIT_ASSERT(state.BuildTable()->empty());
    CPPUNIT_ASSERT(state.TakeLost().empty());  // no other node's affair
  }

  void TheReceiverReportsALostWorkerOnce() {
    WorkerState receiver({kExpiry, 60 * kSecond, "here", nullptr});
    WorkerState other({kExpiry, 60 * kSecond, "there", [](const std::string&) { return true; }});
    receiver.Merge(kStart, WithReceiver("a", "here", 1), 0);
    receiver.Merge(kStart + kSecond, WithReceiver("a", "here", 2), 0);
    Exchange(&receiver, &other);
    CPPUNIT_ASSERT(!receiver.Expire(kStart + kSecond + kExpiry - 1));
    CPPUNIT_ASSERT(receiver.Expire(kStart + kSecond + kExpiry));
    CPPUNIT_ASSERT(receiver.TakeLost() == std::vector<std::string>{"a"});
    CPPUNIT_ASSERT(receiver.TakeLost().empty());
    CPPUNIT_ASSERT(
        other.Adopt(kStart + 8 * kSecond, receiver.ExportOne(kStart + 8 * kSecond, "a")));
    CPPUNIT_ASSERT(other.BuildTable()->empty());
    CPPUNIT_ASSERT(receiver.Merge(kStart + 9 * kSecond, WithReceiver("a", "here", 3), 0));
    CPPUNIT_ASSERT(
        other.Adopt(kStart + 9 * kSecond, receiver.ExportOne(kStart + 9 * kSecond, "a")));
    CPPUNIT_ASSERT(other.BuildTable()->contains("a"));
  }

  void ATakenOverOrphanStaysListed() {
    const auto live = [](const std::string& node) { return node != "dead"; };
    WorkerState state({kExpiry, 60 * kSecond, "here", live});
    WorkerState other({kExpiry, 60 * kSecond, "there", live});
    for (WorkerState* each : {&state, &other}) {
      each->Adopt(kStart, {WithReceiver("a", "dead", 1), 0, 0, false});
      each->Expire(kStart);
    }
    CPPUNIT_ASSERT(state.Merge(kStart + kSecond, WithReceiver("a", "here", 2), 0));
    other.Adopt(kStart + kSecond, state.ExportOne(kStart + kSecond, "a"));
    CPPUNIT_ASSERT(!other.Expire(kStart + 2 * kExpiry));
    CPPUNIT_ASSERT(other.BuildTable()->contains("a"));
    CPPUNIT_ASSERT_EQUAL(state.Digest(), other.Digest());
  }

  void DoesNotRelearnAWorkerThatHasEnded() {
    constexpr Micros kRetention = 60 * kSecond;
    WorkerState other({kExpiry, kRetention});
    state_.Depart(kStart, "a");
    other.Depart(kStart + kSecond, "a");  // it heard of it later
    state_.Expire(kStart + kRetention);
    other.Expire(kStart + kRetention);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.size());
    CPPUNIT_ASSERT_EQUAL(state_.Digest(), other.Digest());
    CPPUNIT_ASSERT(!state_.Adopt(kStart + kRetention, other.ExportOne(kStart + kRetention, "a")));
  }

  void SnapshotsShareUnchangedShards() {
    for (int i = 0; i < 200; ++i)
      state_.Merge(kStart, Record("w" + std::to_string(i), "1:" + std::to_string(i), 1), 0);
    const auto before = state_.BuildTable();
    state_.Depart(kStart, "w0");
    const auto after = state_.BuildTable();
    CPPUNIT_ASSERT_EQUAL(std::size_t{200}, before->size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{199}, after->size());
    int shared = 0;
    for (int i = 1; i < 200; ++i)
      shared += before->Find("w" + std::to_string(i)) == after->Find("w" + std::to_string(i));
    CPPUNIT_ASSERT(shared > 150);
  }

  void AnExportMergesToTheSameTable() {
    state_.Merge(kStart, Record("a", "1:1", 1), 0);
    state_.Merge(kStart, Record("b", "1:2", 1, WorkerPhase::kDraining), 0);
    state_.Depart(kStart, "c");
    WorkerState other({kExpiry, 60 * kSecond});
    constexpr Micros kElsewhere = 5 * kSecond;  // another clock
    for (const WorkerUpdate::Item& item : state_.Export(kStart))
      other.Merge(kElsewhere, item.record, item.heartbeat_age_ms * kMs);
    CPPUNIT_ASSERT_EQUAL(state_.BuildTable()->size(), other.BuildTable()->size());
    CPPUNIT_ASSERT(other.Find("b")->phase == WorkerPhase::kDraining);
    CPPUNIT_ASSERT(other.Find("c")->phase == WorkerPhase::kGone);
  }

 private:
  static WorkerRecord WithReceiver(const std::string& id, const std::string& receiver,
                                   std::uint64_t seq) {
    WorkerRecord record = Record(id, "9:" + id, seq);
    record.receiver = receiver;
    record.version = seq;
    return record;
  }
  // As two nodes do it: `asker` shows its entries, both take over what the other has newer.
  static void Exchange(WorkerState* initiator, WorkerState* peer) {
    RepairResponse response;
    for (std::size_t i = 0; i < WorkerTable::kShards; ++i)
      peer->Compare(kStart, {static_cast<std::uint32_t>(i), initiator->Entries(i)}, 1000,
                    &response);
    const auto wanted = initiator->ExportHashed(kStart, response.wanted);
    for (const WorkerUpdate::Item& item : response.update.items) initiator->Adopt(kStart, item);
    for (const WorkerUpdate::Item& item : wanted) peer->Adopt(kStart, item);
  }

  WorkerState state_{{kExpiry, 60 * kSecond}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerStateTest);

}  // namespace
}  // namespace pearreach::registry
