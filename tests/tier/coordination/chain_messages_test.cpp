// The encoding of chain messages: round trips, and the rejection of corrupt bytes.
#include "tier/coordination/chain_messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace pearreach::coordination::chain {
namespace {

MapRef SampleMap() {
  return {std::make_shared<const Map>(Map{{"config", {"{}", 3}}, {"stores", {"x", 1}}})};
}

std::vector<Body> OneOfEach() {
  const ReplicaId id{"n1", "d1"};
  const Proposal proposal{{4, {id, {"n2", "d2"}}}, {3, 9}, SampleMap()};
  return {Append{7, {{"config", {"value", 2}}}},
          CommitNotice{7},
          ViewProbe{},
          ViewNotice{},
          ViewRequest{{{1, 2}, {3, 4}}},
          ViewResponse{proposal, true, {4, 1}},
          Prepare{{5, id}, {id}, {3, 2}},
          Promise{{5, id}, {3, 3}, SampleMap(), {4, id}, proposal},
          Reject{{6, id}},
          AcceptorGone{{5, id}},
          Accept{{5, id}, proposal},
          Accepted{{5, id}},
          ReadRequest{1, 2, {3, 4}},
          ConfirmRequest{11},
          ConfirmResponse{11},
          ReadResponse{1, 2, {3, 4}, SampleMap()}};
}

class ChainMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChainMessagesTest);
  CPPUNIT_TEST(RoundTripsEveryMessageType);
  CPPUNIT_TEST(RejectsCorruptBytes);
  CPPUNIT_TEST(AllowsOmittedMap);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RoundTripsEveryMessageType() {
    const auto bodies = OneOfEach();
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<Body>, bodies.size());
    for (std::size_t kind = 0; kind < bodies.size(); ++kind) {
      const std::string bytes = EncodeEnvelope({{{"n9", "d9"}, 42}, bodies[kind]});
      const auto read = DecodeEnvelope(bytes);
      CPPUNIT_ASSERT(read.ok());
      CPPUNIT_ASSERT_EQUAL(kind, read->body.index());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, read->header.epoch);
      CPPUNIT_ASSERT(bytes == EncodeEnvelope(*read));
    }
  }

  void RejectsCorruptBytes() {
    std::mt19937 random(1);
    for (const Body& body : OneOfEach()) {
      const std::string bytes = EncodeEnvelope({{{"n9", "d9"}, 42}, body});
      for (std::size_t length = 0; length < bytes.size(); ++length) {
        CPPUNIT_ASSERT(!DecodeEnvelope(bytes.substr(0, length)).ok());
      }
      for (std::size_t place = 0; place < bytes.size(); ++place) {
        std::string damaged = bytes;
        damaged[place] ^= static_cast<char>(1 << random() % 8);
        CPPUNIT_ASSERT(!DecodeEnvelope(damaged).ok());
      }
    }
  }

  void AllowsOmittedMap() {
    const auto read = DecodeEnvelope(EncodeEnvelope({{}, ReadResponse{1, 2, {3, 4}, {}}}));
    CPPUNIT_ASSERT(read.ok());
    CPPUNIT_ASSERT(!std::get<ReadResponse>(read->body).map.map);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChainMessagesTest);

}  // namespace
}  // namespace pearreach::coordination::chain
