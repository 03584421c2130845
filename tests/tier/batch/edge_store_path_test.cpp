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
  CPPUNIT_TEST(RelaysWhenTheDirectPathTimesOut);
  CPPUNIT_TEST(ReturnsToTheDirectPathWhenTheRelayTimesOut);
  CPPUNIT_TEST(ARejectionIsNoTimeout);
  CPPUNIT_TEST(UsesTheDirectPathWithoutANodeName);
  CPPUNIT_TEST(RelaysOnlyBatchJobCalls);
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
               [this](const absl::StatusOr<std::string>& response) { last_ = response.status(); });
  }
  FakeCall TakeOnlyCall() {
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

  void RelaysWhenTheDirectPathTimesOut() {
    StorePath path(&transport_, &control_, "self");
    Call(&path);
    const FakeCall direct = TakeOnlyCall();
    CPPUNIT_ASSERT_EQUAL(std::string("s0:1"), direct.address);
    direct.done(absl::DeadlineExceededError("silence"));
    Call(&path);
    const FakeCall relayed = TakeOnlyCall();
    CPPUNIT_ASSERT_EQUAL(std::string("other:1"), relayed.address);
    CPPUNIT_ASSERT(relayed.type == MessageType::kStoreRelay);
    const auto call = relayed.As<RelayedCall>();
    CPPUNIT_ASSERT(call.store == kStore);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), call.body);
    CPPUNIT_ASSERT(call.timeout_ms < 1000);
    relayed.done(std::string("answer"));
    CPPUNIT_ASSERT(last_.ok());
    Call(&path);
    CPPUNIT_ASSERT_EQUAL(std::string("other:1"), TakeOnlyCall().address);
  }

  void ReturnsToTheDirectPathWhenTheRelayTimesOut() {
    StorePath path(&transport_, &control_, "self");
    for (const char* address : {"s0:1", "other:1", "s0:1", "other:1"}) {
      Call(&path);
      const FakeCall call = TakeOnlyCall();
      CPPUNIT_ASSERT_EQUAL(std::string(address), call.address);
      call.done(absl::DeadlineExceededError("silence"));
    }
  }

  void ARejectionIsNoTimeout() {
    StorePath path(&transport_, &control_, "self");
    for (int i = 0; i < 2; ++i) {
      Call(&path);
      const FakeCall call = TakeOnlyCall();
      CPPUNIT_ASSERT_EQUAL(std::string("s0:1"), call.address);
      call.done(absl::FailedPreconditionError("not primary"));
    }
  }

  void UsesTheDirectPathWithoutANodeName() {
    StorePath path(&transport_, &control_, "");
    for (int i = 0; i < 2; ++i) {
      Call(&path);
      const FakeCall call = TakeOnlyCall();
      CPPUNIT_ASSERT_EQUAL(std::string("s0:1"), call.address);
      call.done(absl::DeadlineExceededError("silence"));
    }
  }

  void RelaysOnlyBatchJobCalls() {
    StorePath path(&transport_, &control_, "self");
    const struct {
      StoreId store;
      MessageType type;
      bool is_relayed;
    } kCases[] = {{kStore, MessageType::kBatchJobCreate, true},
                  {kStore, MessageType::kItemResult, true},
                  {kStore, MessageType::kReplicate, false},
                  {kStore, MessageType::kControlWrite, false},
                  {{"s0", "another disk"}, MessageType::kBatchJobCreate, false},
                  {{"none", "d"}, MessageType::kBatchJobCreate, false}};
    for (const auto& c : kCases) {
      absl::StatusOr<std::string> response = absl::UnknownError("none yet");
      const RelayedCall call{c.store, static_cast<std::uint8_t>(c.type), "body", 100};
      transport_.handlers.at(MessageType::kStoreRelay)(
          "ip", codec::Encode(call),
          [&](absl::StatusOr<std::string> given) { response = std::move(given); });
      CPPUNIT_ASSERT_EQUAL(c.is_relayed, absl::IsUnknown(response.status()));
      if (!c.is_relayed) {
        CPPUNIT_ASSERT(absl::IsFailedPrecondition(response.status()));
        continue;
      }
      const FakeCall forwarded = TakeOnlyCall();
      CPPUNIT_ASSERT_EQUAL(std::string("s0:1"), forwarded.address);
      CPPUNIT_ASSERT(forwarded.type == c.type);
      forwarded.done(std::string("answer"));
      CPPUNIT_ASSERT(response.ok() && *response == "answer");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeStorePathTest);

}  // namespace
}  // namespace pearreach::batch
