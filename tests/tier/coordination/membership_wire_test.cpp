// The rules of merging records, the encoding of datagrams and the queue of updates.
#include "tier/coordination/membership_wire.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

#include "tier/coordination/membership.h"
#include "tier/coordination/membership_merge.h"
#include "tier/coordination/update_queue.h"

namespace pearreach::coordination {
namespace {

using enum MemberStatus;

MemberPacket FullPacket() {
  MemberPacket packet;
  packet.kind = PacketKind::kPingRequest;
  packet.wants_list = true;
  packet.number = 7;
  packet.probe = 0xfffffff0u;
  packet.sender = "edge-1";
  packet.incarnation = 1ull << 60;
  packet.refutations = 3;
  packet.port = 7660;
  packet.digest = 0x0123456789abcdefull;
  packet.view = {99, 4, kSuspect};
  packet.target = "edge-2";
  packet.target_incarnation = 5;
  packet.target_refutations = 6;
  packet.versions = {{"cfg", 12}, {"map", 1ull << 40}};
  for (int i = 0; i < 3; ++i) {
    MemberRecord record;
    record.info = {"store-" + std::to_string(i), "10.0.0.1:7660", "zone", "storage", "", 17, 12};
    record.status = kDead;
    record.refutations = 2;
    record.age_tenths = 600;
    packet.records.push_back(record);
  }
  return packet;
}

Membership SmallNode() {
  MembershipOptions options;
  options.self.name = "edge-2";
  options.self.address = "10.0.0.2:7660";
  options.self.incarnation = 5;
  return Membership(options, 1, 0);
}

class MembershipWireTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipWireTest);
  CPPUNIT_TEST(MergeRules);
  CPPUNIT_TEST(RoundTrip);
  CPPUNIT_TEST(RejectsTruncatedBytes);
  CPPUNIT_TEST(SurvivesCorruptBytes);
  CPPUNIT_TEST(CountsMalformedDatagrams);
  CPPUNIT_TEST(RejectsOverlongStrings);
  CPPUNIT_TEST(QueueOrdersByTransmissionsThenAge);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MergeRules() {
    struct Record {
      std::uint64_t incarnation;
      MemberStatus status;
      std::uint32_t refutations;
    };
    struct Case {
      Record known, update;
      bool superseded;
    };
    const std::vector<Case> cases = {
        // the same
        {{5, kAlive, 0}, {5, kAlive, 0}, false},
        {{5, kDead, 1}, {5, kDead, 1}, false},
        // the more severe status of the same version wins
        {{5, kAlive, 1}, {5, kSuspect, 1}, true},
        {{5, kSuspect, 1}, {5, kDead, 1}, true},
        {{5, kAlive, 1}, {5, kDead, 1}, true},
        {{5, kSuspect, 1}, {5, kAlive, 1}, false},
        {{5, kDead, 1}, {5, kAlive, 1}, false},
        {{5, kDead, 1}, {5, kSuspect, 1}, false},
        // refuted
        {{5, kSuspect, 1}, {5, kAlive, 2}, true},
        {{5, kDead, 1}, {5, kAlive, 2}, true},
        {{5, kAlive, 2}, {5, kSuspect, 1}, false},
        {{5, kAlive, 2}, {5, kDead, 1}, false},
        {{5, kAlive, 1}, {5, kSuspect, 2}, true},
        // left is final for its incarnation
        {{5, kAlive, 9}, {5, kLeft, 0}, true},
        {{5, kDead, 9}, {5, kLeft, 0}, true},
        {{5, kLeft, 0}, {5, kAlive, 9}, false},
        {{5, kLeft, 0}, {5, kDead, 9}, false},
        // another incarnation
        {{5, kLeft, 9}, {6, kAlive, 0}, true},
        {{5, kDead, 9}, {6, kAlive, 0}, true},
        {{5, kAlive, 9}, {6, kDead, 0}, true},
        {{6, kDead, 0}, {5, kAlive, 9}, false},
        {{6, kAlive, 0}, {5, kLeft, 9}, false},
    };
    for (std::size_t i = 0; i < cases.size(); ++i) {
      Member known;
      known.info.incarnation = cases[i].known.incarnation;
      known.status = cases[i].known.status;
      known.refutations = cases[i].known.refutations;
      MemberRecord update;
      update.info.incarnation = cases[i].update.incarnation;
      update.status = cases[i].update.status;
      update.refutations = cases[i].update.refutations;
      CPPUNIT_ASSERT_EQUAL_MESSAGE("case " + std::to_string(i), cases[i].superseded,
                                   Supersedes(&known, update));
    }
    CPPUNIT_ASSERT(Supersedes(nullptr, MemberRecord{}));
  }

  void RoundTrip() {
    for (std::uint8_t kind = 1; kind <= 5; ++kind) {
      MemberPacket packet = FullPacket();
      packet.kind = static_cast<PacketKind>(kind);
      const std::string bytes = EncodePacket(packet);
      CPPUNIT_ASSERT_EQUAL(EncodedSize(packet), bytes.size());
      const auto read = DecodePacket(bytes);
      CPPUNIT_ASSERT(read.ok());
      CPPUNIT_ASSERT_EQUAL(bytes, EncodePacket(*read));
      CPPUNIT_ASSERT_EQUAL(packet.sender, read->sender);
      CPPUNIT_ASSERT(packet.versions == read->versions);
      CPPUNIT_ASSERT(read->view.status == kSuspect);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, read->records.size());
      CPPUNIT_ASSERT_EQUAL(std::string("store-2"), read->records[2].info.name);
      CPPUNIT_ASSERT(read->records[2].status == kDead);
    }
  }

  void RejectsTruncatedBytes() {
    const std::string bytes = EncodePacket(FullPacket());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(!DecodePacket(std::string_view(bytes).substr(0, size)).ok());
    }
    CPPUNIT_ASSERT(!DecodePacket(bytes + "x").ok());
  }

  void SurvivesCorruptBytes() {
    const std::string bytes = EncodePacket(FullPacket());
    Membership node = SmallNode();
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      for (const int value : {0, 1, 0x7f, 0xff}) {
        std::string changed = bytes;
        changed[at] = static_cast<char>(value);
        std::vector<Datagram> out;
        node.Receive(1, "10.0.0.1", changed, &out);
        for (const Datagram& datagram : out) CPPUNIT_ASSERT(datagram.bytes.size() <= 1300);
      }
    }
    std::vector<Datagram> out;
    for (Micros now = 1; now < 5'000'000; now = node.NextTick()) node.Tick(now, &out);
    CPPUNIT_ASSERT(node.malformed() > 0);
    CPPUNIT_ASSERT(node.members().at("edge-2").status == kAlive);
  }

  void CountsMalformedDatagrams() {
    std::mt19937_64 random(7);
    Membership node = SmallNode();
    constexpr std::uint64_t kAttempts = 3000;
    for (std::uint64_t i = 0; i < kAttempts; ++i) {
      std::string bytes(random() % 200, '\0');
      for (char& c : bytes) c = static_cast<char>(random());
      std::vector<Datagram> out;
      node.Receive(static_cast<Micros>(i), "10.0.0.9", bytes, &out);
      CPPUNIT_ASSERT(out.empty());
    }
    CPPUNIT_ASSERT_EQUAL(kAttempts, node.malformed());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.members().size());
  }

  void RejectsOverlongStrings() {
    MemberPacket packet = FullPacket();
    packet.records[1].info.zone = std::string(kMaxTextBytes + 1, 'z');
    CPPUNIT_ASSERT(!DecodePacket(EncodePacket(packet)).ok());
    packet = FullPacket();
    packet.records[1].info.address.clear();
    CPPUNIT_ASSERT(!DecodePacket(EncodePacket(packet)).ok());
    packet = FullPacket();
    packet.versions[std::string(kMaxVersionName + 1, 'v')] = 1;
    CPPUNIT_ASSERT(!DecodePacket(EncodePacket(packet)).ok());
    packet = FullPacket();
    packet.refutations = kMaxRefutations + 1;
    CPPUNIT_ASSERT(!DecodePacket(EncodePacket(packet)).ok());
  }

  void QueueOrdersByTransmissionsThenAge() {
    UpdateQueue changes;
    for (const char* name : {"a", "b", "c"}) changes.Add(name);
    std::string taken;
    int capacity = 2;
    const auto take = [&](const std::string& name) {
      if (capacity-- == 0) return UpdateQueue::OfferResult::kTooLarge;
      taken += name;
      return UpdateQueue::OfferResult::kIncluded;
    };
    changes.Offer(2, take);
    CPPUNIT_ASSERT_EQUAL(std::string("cb"), taken);
    capacity = 2;
    changes.Offer(2, take);  // the one never sent, then the newest of the others for the last time
    CPPUNIT_ASSERT_EQUAL(std::string("cbac"), taken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
    changes.Add("b");  // queued again
    capacity = 10;
    for (int i = 0; i < 5; ++i) changes.Offer(2, take);
    CPPUNIT_ASSERT_EQUAL(std::string("cbacbab"), taken);
    CPPUNIT_ASSERT(changes.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipWireTest);

}  // namespace
}  // namespace pearreach::coordination
