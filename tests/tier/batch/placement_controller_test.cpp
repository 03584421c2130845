// The duty that proposes placements, and the operator's calls that empty a storage machine.
#include "tier/batch/placement_controller.h"

#include <cppunit/extensions/HelperMacros.h>

#include "common/event_loop/timers.h"
#include "edge_fakes.h"
#include "tier/batch/placement.h"
#include "tier/batch/retire_api.h"

namespace pearreach::batch {
namespace {

using namespace edge_test;

constexpr char kRoleKey[] = "duty/placement";
constexpr Micros kSuspectTimeout = 60 * kMs;

class PlacementControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementControllerTest);
  CPPUNIT_TEST(ProposesTheFirstTable);
  CPPUNIT_TEST(ProposesNothingWithoutTheRole);
  CPPUNIT_TEST(ProposesNothingAfterTheRoleMoved);
  CPPUNIT_TEST(TakesTheRoleFromAnEarlierOwner);
  CPPUNIT_TEST(AcceptsReportsOfFilledStores);
  CPPUNIT_TEST(RejectsReportsWithoutTheRole);
  CPPUNIT_TEST(PingsAReportedStore);
  CPPUNIT_TEST(RespondsToStartRetirement);
  CPPUNIT_TEST(RepeatsAfterAConflict);
  CPPUNIT_TEST(ReportsCompletion);
  CPPUNIT_TEST_SUITE_END();

  static std::shared_ptr<FakeExchange> StartRetirement(RetireApi* api, const std::string& node) {
    auto exchange = std::make_shared<FakeExchange>();
    api->StartRetirement(exchange, node);
    TurnUntil([&] { return exchange->status != 0; });
    return exchange;
  }

  void AddStores(int count) {
    for (int at = 0; at < count; ++at) {
      control_.AddStore("s" + std::to_string(at), "d", "z" + std::to_string(at));
    }
  }

  absl::StatusOr<std::string> Send(const StoreStatus& status) {
    absl::StatusOr<std::string> answer;
    transport_.handlers.at(rpc::MessageType::kStoreStatus)(
        "ip", codec::Encode(status),
        [&](absl::StatusOr<std::string> given) { answer = std::move(given); });
    return answer;
  }

  Timers timers_;
  FakeMesh transport_;
  FakeControl control_;

 public:
  void ProposesTheFirstTable() {
    control_.is_duty_holder = true;
    AddStores(3);
    PlacementController controller(&timers_, &transport_, &control_, "n1#1", {2}, kSuspectTimeout);
    CPPUNIT_ASSERT(TurnUntil([&] { return !control_.snapshot->stores.empty(); }));
    CPPUNIT_ASSERT(IsSettled(control_.Table(), 2));
    CPPUNIT_ASSERT(control_.changed_keys ==
                   std::vector<std::string>({kRoleKey, control::kStoresKey}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, control_.fences.size());
    CPPUNIT_ASSERT_EQUAL(std::string(kRoleKey), control_.fences.front().key);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, control_.fences.front().revision);
  }

  void ProposesNothingWithoutTheRole() {
    AddStores(3);
    PlacementController controller(&timers_, &transport_, &control_, "n1#1", {2}, kSuspectTimeout);
    controller.Reconcile();
    CPPUNIT_ASSERT(control_.changed_keys.empty());
  }

  // Its own view still has it first: it takes the duty back only under an epoch of its own.
  void ProposesNothingAfterTheRoleMoved() {
    control_.is_duty_holder = true;
    AddStores(2);
    PlacementController controller(&timers_, &transport_, &control_, "n1#1", {2}, kSuspectTimeout);
    CPPUNIT_ASSERT(TurnUntil([&] { return !control_.snapshot->stores.empty(); }));
    control_.is_duty_holder = false;
    control_.ChangeOther(kRoleKey, 1, "n2#1");
    control_.fences.clear();
    PlacementTable table = control_.Table();
    table.partitions[5] = {7, {{"s0", "d"}}, {{"s1", "d"}}};
    control_.SetTable(table);
    CPPUNIT_ASSERT(absl::IsFailedPrecondition(Send({{"s1", "d"}, {{5, 7}}}).status()));
    controller.Reconcile();
    CPPUNIT_ASSERT(control_.fences.empty());
    control_.is_duty_holder = true;
    CPPUNIT_ASSERT(TurnUntil([&] { return Send({{"s1", "d"}, {{5, 7}}}).ok(); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, control_.RevisionOf(kRoleKey));
    for (const auto& fencing_token : control_.fences)
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, fencing_token.revision);
    CPPUNIT_ASSERT(IsSettled(control_.Table(), 2));
  }

  void TakesTheRoleFromAnEarlierOwner() {
    control_.is_duty_holder = true;
    AddStores(2);
    control_.ChangeOther(kRoleKey, 0, "n1#0");
    PlacementController controller(&timers_, &transport_, &control_, "n1#1", {2}, kSuspectTimeout);
    CPPUNIT_ASSERT(TurnUntil([&] { return !control_.snapshot->stores.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, control_.RevisionOf(kRoleKey));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, control_.fences.back().revision);
  }

  // A report alone changes nothing: its sender may be the one that is cut off.
  void PingsAReportedStore() {
    control_.is_duty_holder = true;
    AddStores(2);
    control_.SetTable(TableOf({"s0", "d"}, {"s1", "d"}));
    PlacementController controller(&timers_, &transport_, &control_, "n1#1", {2}, kSuspectTimeout);
    StoreStatus status;
    status.unresponsive = {{"s0", "d"}, {"s1", "d"}};
    CPPUNIT_ASSERT(TurnUntil([&] { return Send(status).ok(); }));
    const FakeCall first = transport_.Next(rpc::MessageType::kStorePing);
    const FakeCall second = transport_.Next(rpc::MessageType::kStorePing);
    CPPUNIT_ASSERT_EQUAL(std::string("s0:1"), first.address);
    CPPUNIT_ASSERT_EQUAL(std::string("s1:1"), second.address);
    second.done(std::string());
    controller.Reconcile();
    constexpr std::size_t kLast = kPartitions - 1;  // is not moved for balance
    CPPUNIT_ASSERT_EQUAL(std::string("s0"), control_.Table().partitions[kLast].replicas[0].name);
    first.done(absl::DeadlineExceededError("silence"));
    CPPUNIT_ASSERT(
        TurnUntil([&] { return control_.Table().partitions[kLast].replicas[0].name == "s1"; }));
    CPPUNIT_ASSERT_EQUAL(std::string("s0"), control_.Table().partitions[kLast].replicas[1].name);
  }

  void AcceptsReportsOfFilledStores() {
    control_.is_duty_holder = true;
    AddStores(2);
    PlacementTable table = TableOf({"s0", "d"}, {"s1", "d"});
    table.partitions[5] = {7, {{"s0", "d"}}, {{"s1", "d"}}};
    control_.SetTable(table);
    PlacementController controller(&timers_, &transport_, &control_, "n1#1", {2}, kSuspectTimeout);
    CPPUNIT_ASSERT(Send({{"s1", "d"}, {{5, 7}}}).ok());
    CPPUNIT_ASSERT(IsSettled(control_.Table(), 2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, control_.Table().partitions[5].epoch);
  }

  void RejectsReportsWithoutTheRole() {
    PlacementController controller(&timers_, &transport_, &control_, "n1#1", {2}, kSuspectTimeout);
    CPPUNIT_ASSERT(absl::IsFailedPrecondition(Send({{"s1", "d"}, {{5, 7}}}).status()));
  }

  void RespondsToStartRetirement() {
    AddStores(3);
    control_.SetTable(TableOf({"s0", "d"}, {"s1", "d"}));
    RetireApi api(&timers_, &control_, 2);
    struct Case {
      std::string node;
      int status;
    };
    const std::vector<Case> cases = {{"unknown", 404}, {"s0", 200}, {"s0", 200}, {"s1", 409}};
    for (const Case& c : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.node, c.status, StartRetirement(&api, c.node)->status);
    }
    CPPUNIT_ASSERT(control_.Table().retiring == std::vector<std::string>({"s0"}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, control_.Table().epoch);
  }

  void RepeatsAfterAConflict() {
    AddStores(3);
    control_.SetTable(TableOf({"s0", "d"}, {"s1", "d"}));
    control_.conflicts = 1;
    RetireApi api(&timers_, &control_, 2);
    CPPUNIT_ASSERT_EQUAL(200, StartRetirement(&api, "s0")->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, control_.changed_keys.size());
  }

  void ReportsCompletion() {
    AddStores(3);
    RetireApi api(&timers_, &control_, 2);
    const auto read = [&] {
      auto exchange = std::make_shared<FakeExchange>();
      api.ReadRetirement(exchange, "s2");
      return std::to_string(exchange->status) + " " + exchange->body;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("503 {}"), read());
    PlacementTable table = TableOf({"s0", "d"}, {"s1", "d"});
    control_.SetTable(table);
    CPPUNIT_ASSERT_EQUAL(std::string(R"(200 {"phase":"serving"})"), read());
    table.retired = {"s2"};
    table.partitions[3].replicas.pop_back();
    control_.SetTable(table);
    CPPUNIT_ASSERT_EQUAL(std::string(R"(200 {"phase":"serving"})"), read());
    table.partitions[3].replicas.push_back({"s1", "d"});
    control_.SetTable(table);
    CPPUNIT_ASSERT_EQUAL(std::string(R"(200 {"phase":"complete"})"), read());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementControllerTest);

}  // namespace
}  // namespace pearreach::batch
