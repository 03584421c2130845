// The datagrams that members exchange, as types and as bytes. The encoding is compact (short
// lengths, no class information), and the exact size of each part is known before it is written, so
// that a packet can be filled up to the size of a datagram. The order of the fields is the wire
// format.
#ifndef PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_WIRE_H_
#define PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_WIRE_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "tier/coordination/member.h"

namespace pearreach::coordination {

// Values are part of the protocol and never reused.
enum class PacketKind : std::uint8_t {
  kPing = 1,         // requests an ack
  kAck = 2,          // the response to the ping of the same probe identifier
  kPingRequest = 3,  // requests an indirect probe: the receiver pings `target`
  kIndirectAck = 4,  // `target` has acknowledged the indirect probe
  kUpdate = 5,       // only carries records
};

// What one node publishes about one member.
struct MemberRecord {
  MemberInfo info;
  MemberStatus status = MemberStatus::kAlive;
  std::uint32_t refutations = 0;
  std::uint16_t age_tenths = 0;  // dead and left: for how long, in units of kRecordAgeUnit
};
constexpr Micros kRecordAgeUnit = 100'000;

// How the sender sees the receiver.
struct ReceiverView {
  std::uint64_t incarnation = 0;  // 0: not known
  std::uint32_t refutations = 0;
  MemberStatus status = MemberStatus::kAlive;
};

struct MemberPacket {
  PacketKind kind = PacketKind::kUpdate;
  bool wants_list = false;   // requests all the members that the receiver knows
  std::uint32_t number = 0;  // rises with each packet of the sender
  std::uint32_t probe = 0;
  std::string sender;
  std::uint64_t incarnation = 0;
  std::uint32_t refutations = 0;
  std::uint16_t port = 0;    // of the sender's mesh
  std::uint64_t digest = 0;  // of the members that the sender takes to be live
  ReceiverView view;
  std::string target;  // of a ping request and an indirect ack
  std::uint64_t target_incarnation = 0;
  std::uint32_t target_refutations = 0;
  std::map<std::string, std::uint64_t> versions;
  std::vector<MemberRecord> records;
};

constexpr std::size_t kMaxTextBytes = 128;   // of each text of a record
constexpr std::size_t kMaxVersionName = 32;  // bytes
constexpr std::size_t kMaxVersions = 16;     // in a packet
constexpr std::size_t kMaxRecords = 255;     // in a packet
constexpr std::uint32_t kMaxRefutations = 1u << 30;

std::size_t EncodedSize(const MemberRecord& record);
std::size_t EncodedSize(const MemberPacket& packet);

std::string EncodePacket(const MemberPacket& packet);
// Does not trust the bytes: all counts, lengths and values are checked. InvalidArgument where they
// are malformed or followed by others.
absl::StatusOr<MemberPacket> DecodePacket(std::string_view bytes);

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_WIRE_H_
