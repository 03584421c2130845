// The messages of the rules consensus and their encoding (rules.proto). Decoding checks every field
// against its bounds and skips unknown fields; an encoded message is at most 220 bytes, which fits
// into a datagram.
#ifndef PEARREACH_SRC_NODE_RULES_MESSAGES_H_
#define PEARREACH_SRC_NODE_RULES_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pearreach::rules {

// Identifies a chosen version. A new epoch starts when voters have lost their state, or when an
// operator forces a version.
struct VersionId {
  std::uint64_t epoch = 0, number = 0, hash = 0;
  auto operator<=>(const VersionId&) const = default;
};

constexpr std::size_t kPartBytes = 100;  // of a document, in one message

enum class Step : std::uint8_t { kNone, kPrepare, kPromise, kAccept, kAccepted, kRefused };

struct Message {
  // The sender's latest version, the time since it was chosen, and the latest schema that the
  // sender can read.
  VersionId version;
  std::int64_t age_ms = 0;
  std::uint32_t schema = 1;
  bool cannot_read = false;  // the sender cannot read the document of `version`
  // A query to a voter, or a voter's reply to one; 0: none.
  std::uint32_t query = 0, reply_to = 0;
  bool vouches = false, recovering = false, started_epoch = false;
  std::uint64_t promised = 0, accepted = 0, accepted_hash = 0;
  std::string holders;  // bitmap of the nodes that have `version`
  // One step of Paxos for the version after `version`.
  Step step = Step::kNone;
  std::uint64_t ballot = 0, value_ballot = 0, value_hash = 0;
  // A request for a document, from `requested_part` on, or one part of a document.
  std::uint64_t requested_hash = 0, part_hash = 0;
  int requested_part = 0, part = 0, parts = 0;
  std::string bytes;
  bool operator==(const Message&) const = default;
};

std::string Encode(const Message& message);  // at most 220 bytes
// Returns nothing for malformed input.
std::optional<Message> DecodeMessage(std::string_view bytes);

}  // namespace pearreach::rules

#endif  // PEARREACH_SRC_NODE_RULES_MESSAGES_H_
