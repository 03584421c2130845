// Which way calls to a store go while the direct one is silent, and what a node passes on.
#include <cppunit/extensions/HelperMacros.h>

#include "edge_fakes.h"
#include "tier/batch/store_path.h"

namespace pearreach::batch {
namespace {

using namespace edge_test;
using rpc::MessageType;

const StoreId kStore = {"s0", "d"};

class EdgeStorePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgeStorePathTest);
  CPPUNIT_TEST(GoesRoundASilentWay);
  CPPUNIT_TEST(TurnsBackWhereTheOtherWayIsSilentToo);
  CPPUNIT_TEST(ARefusalIsNoSilence);
  CPPUNIT_TEST(WithoutANameItStaysOnTheDirectWay);
  CPPUNIT_TEST(PassesOnCallsAboutLotsAlone);
  CPPUNIT_TEST_SUITE_END();

  void AddEdge(const std::string& name, std::uint8_t roles) {
    coordination::Member& member = control_.member_map[name];
    member.info.name = name;
    member.info.address = name + ":1";
    member.info.roles = roles | coordination::MemberInfo::kServesEdge;
    member.status = coordination::MemberStatus::kAlive;
  }
  void Call(StorePath* path) {
    path->Call(kStore, MessageType::kBatchJobAdmission, "body", kSecond,
               [this](const absl::StatusOr<std::string>& answer) { last_ = answer.status(); });
  }
  FakeCall Made() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, transport_.calls.size());
    FakeCall call = std::move(transport_.calls.front());
    transport_.calls.clear();
    return call;
  }

  FakeMesh transport_;
  FakeControl control_;
  absl::Status last_;

 public:
  void setUp() override {
    control_.AddStore("s0", "d");
    AddEdge("self", 0);
    AddEdge("member", coordination::MemberInfo::kQuorumMember);
    AddEdge("other", 0);
  }

  void GoesRoundASilentWay() {
    StorePath path(&transport_, &control_, "self");
    Call(&path);
    const FakeCall direct = Made();
    CPPUNIT_ASSERT_EQUAL(std::string("s0:1"), direct.address);
    direct.done(absl::DeadlineExceededError("silence"));
    Call(&path);
    const FakeCall relayed = Made();
    CPPUNIT_ASSERT_EQUAL(std::string("other:1"), relayed.address);
    CPPUNIT_ASSERT(relayed.type == MessageType::kStoreRelay);
    const auto call = relayed.As<RelayedCall>();
    CPPUNIT_ASSERT(call.store == kStore);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), call.body);
    CPPUNIT_ASSERT(call.timeout_ms < 1000);
    relayed.done(std::string("answer"));
    CPPUNIT_ASSERT(last_.ok());
    Call(&path);
    CPPUNIT_ASSERT_EQUAL(std::string("other:1"), Made().address);
  }

  void TurnsBackWhereTheOtherWayIsSilentToo() {
    StorePath path(&transport_, &control_, "self");
    for (const char* address : {"s0:1", "other:1", "s0:1", "other:1"}) {
      Call(&path);
      const FakeCall call = Made();
      CPPUNIT_ASSERT_EQUAL(std::string(address), call.address);
      call.done(absl::DeadlineExceededError("silence"));
    }
  }

  void ARefusalIsNoSilence() {
    StorePath path(&transport_, &control_, "self");
    for (int i = 0; i < 2; ++i) {
      Call(&path);
      const FakeCall call = Made();
      CPPUNIT_ASSERT_EQUAL(std::string("s0:1"), call.address);
      call.done(absl::FailedPreconditionError("not primary"));
    }
  }

  void WithoutANameItStaysOnTheDirectWay() {
    StorePath path(&transport_, &control_, "");
    for (int i = 0; i < 2; ++i) {
      Call(&path);
      const FakeCall call = Made();
      CPPUNIT_ASSERT_EQUAL(std::string("s0:1"), call.address);
      call.done(absl::DeadlineExceededError("silence"));
    }
  }

  void PassesOnCallsAboutLotsAlone() {
    StorePath path(&transport_, &control_, "self");
    const struct {
      StoreId store;
      MessageType type;
      bool passed;
    } kCases[] = {{kStore, MessageType::kBatchJobCreate, true},
                  {kStore, MessageType::kItemResult, true},
                  {kStore, MessageType::kReplicate, false},
                  {kStore, MessageType::kControlWrite, false},
                  {{"s0", "another disk"}, MessageType::kBatchJobCreate, false},
                  {{"none", "d"}, MessageType::kBatchJobCreate, false}};
    for (const auto& c : kCases) {
      absl::StatusOr<std::string> answer = absl::UnknownError("none yet");
      const RelayedCall call{c.store, static_cast<std::uint8_t>(c.type), "body", 100};
      transport_.handlers.at(MessageType::kStoreRelay)(
          "ip", codec::Encode(call),
          [&](absl::StatusOr<std::string> given) { answer = std::move(given); });
      CPPUNIT_ASSERT_EQUAL(c.passed, absl::IsUnknown(answer.status()));
      if (!c.passed) {
        CPPUNIT_ASSERT(absl::IsFailedPrecondition(answer.status()));
        continue;
      }
      const FakeCall made = Made();
      CPPUNIT_ASSERT_EQUAL(std::string("s0:1"), made.address);
      CPPUNIT_ASSERT(made.type == c.type);
      made.done(std::string("answer"));
      CPPUNIT_ASSERT(answer.ok() && *answer == "answer");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeStorePathTest);

}  // namespace
}  // namespace pearreach::batch
