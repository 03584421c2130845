// Messages between chain replicas, and members' datagrams.
#include <array>

#include "samples.h"
#include "tier/coordination/chain_messages.h"
#include "tier/coordination/membership_wire.h"

namespace pearreach::golden {
namespace {

namespace chain = coordination::chain;
using coordination::MemberPacket;
using coordination::MemberRecord;
using coordination::MemberStatus;
using coordination::PacketKind;
using coordination::ReplicaId;

chain::MapRef SomeMap() {
  return {std::make_shared<const coordination::Map>(
      coordination::Map{{"config", {"{\"version_no\":3}", 3}}, {"stores", {"placement", 17}}})};
}

chain::Proposal SomeProposal() {
  return {{41, {{"head", "disk-h"}, {"tail", "disk-t"}}}, {40, 99}, SomeMap()};
}

struct NamedBody {
  const char* name;
  chain::Body body;
};

// In the order of their values on the wire.
std::array<NamedBody, std::variant_size_v<chain::Body>> Bodies() {
  const ReplicaId first{"n1", "d1"}, second{"n2", "d2"};
  return {{
      {"append", chain::Append{7, {{"config", {"value", 2}}, {"stores", {"other", 5}}}}},
      {"commit_notice", chain::CommitNotice{8}},
      {"probe", chain::ViewProbe{}},
      {"view_notice", chain::ViewNotice{}},
      {"view_ask", chain::ViewRequest{{{1, 2}, {3, 4}}}},
      {"view_answer", chain::ViewResponse{SomeProposal(), true, {41, 6}}},
      {"prepare", chain::Prepare{{5, first}, {first, second}, {3, 2}}},
      {"promise", chain::Promise{{6, first}, {3, 9}, SomeMap(), {4, second}, SomeProposal()}},
      {"refuse", chain::Reject{{10, second}}},
      {"absent", chain::AcceptorGone{{11, first}}},
      {"accept", chain::Accept{{12, second}, SomeProposal()}},
      {"accepted", chain::Accepted{{13, first}}},
      {"read_ask", chain::ReadRequest{14, 15, {16, 17}}},
      {"confirm_ask", chain::ConfirmRequest{18}},
      {"confirm", chain::ConfirmResponse{19}},
      {"read_answer", chain::ReadResponse{20, 21, {22, 23}, SomeMap()}},
  }};
}

std::string RewriteEnvelope(std::string_view bytes) {
  const auto read = chain::DecodeEnvelope(bytes);
  return read.ok() ? chain::EncodeEnvelope(*read) : kUnreadable;
}

MemberRecord SomeRecord(const std::string& name, MemberStatus status) {
  return {{name, name + ":7001", "zone-" + name, "class-" + name, "disk-" + name, 1234567, 11},
          status,
          21,
          310};
}

MemberPacket SomePacket(PacketKind kind) {
  MemberPacket packet;
  packet.kind = kind;
  packet.wants_list = true;
  packet.number = 1001;
  packet.probe = 1002;
  packet.sender = "sender";
  packet.incarnation = 1003;
  packet.refutations = 1004;
  packet.port = 7005;
  packet.digest = 1006;
  packet.view = {1007, 1008, MemberStatus::kSuspect};
  packet.target = "target";
  packet.target_incarnation = 1009;
  packet.target_refutations = 1010;
  packet.versions = {{"control", 1011}, {"other", 1012}};
  packet.records = {SomeRecord("a", MemberStatus::kAlive), SomeRecord("b", MemberStatus::kSuspect),
                    SomeRecord("c", MemberStatus::kDead), SomeRecord("d", MemberStatus::kLeft)};
  return packet;
}

std::string RewritePacket(std::string_view bytes) {
  const auto read = coordination::DecodePacket(bytes);
  return read.ok() ? coordination::EncodePacket(*read) : kUnreadable;
}

// No default: the compiler names a kind that has no row.
const char* NameOf(PacketKind kind) {
  switch (kind) {
    case PacketKind::kPing:
      return "ping";
    case PacketKind::kAck:
      return "ack";
    case PacketKind::kPingRequest:
      return "ping_request";
    case PacketKind::kIndirectAck:
      return "indirect_ack";
    case PacketKind::kUpdate:
      return "update";
  }
  return nullptr;
}

}  // namespace

Samples ChainSamples() {
  Samples samples;
  for (const NamedBody& named : Bodies()) {
    const chain::Envelope envelope{{{"from", "disk-f"}, 42}, named.body};
    samples.push_back(
        {std::string("chain.") + named.name, chain::EncodeEnvelope(envelope), RewriteEnvelope});
  }
  const chain::Envelope bare{{{"from", "disk-f"}, 42}, chain::ReadResponse{20, 21, {22, 23}, {}}};
  samples.push_back({"chain.without_map", chain::EncodeEnvelope(bare), RewriteEnvelope});
  return samples;
}

Samples MembershipSamples() {
  Samples samples;
  for (int value = 0; value < 256; ++value) {
    const auto kind = static_cast<PacketKind>(value);
    const char* name = NameOf(kind);
    if (name == nullptr) continue;
    samples.push_back({std::string("member.") + name, coordination::EncodePacket(SomePacket(kind)),
                       RewritePacket});
  }
  return samples;
}

}  // namespace pearreach::golden
