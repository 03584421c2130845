// What one node says to another of the version of its rules, as values and as bytes. Pure and
// bounded: it reads nothing that it has not checked, must never give more than the caller has room
// for, and passes over what it does not know.
#ifndef PEARREACH_SRC_NODE_RULES_MESSAGES_H_
#define PEARREACH_SRC_NODE_RULES_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pearreach::rules {

// A version that was chosen. A later epoch begins where voters have lost what they knew.
struct VersionId {
  std::uint64_t epoch = 0, number = 0, hash = 0;
  auto operator<=>(const VersionId&) const = default;
};

constexpr std::size_t kPartBytes = 100;  // of a document, in one word

enum class Step : std::uint8_t { kNone, kPrepare, kPromise, kAccept, kAccepted, kRefused };

struct Message {
  VersionId version;
  std::int64_t age_ms = 0;
  std::uint32_t schema = 1;
  bool cannot_read = false;
  std::uint32_t query = 0, reply_to = 0;
  bool vouches = false, recovering = false, started_epoch = false;
  std::uint64_t promised = 0, accepted = 0, accepted_hash = 0;
  std::string holders;  // a bit a node
  Step step = Step::kNone;
  std::uint64_t ballot = 0, value_ballot = 0, value_hash = 0;
  std::uint64_t requested_hash = 0, part_hash = 0;
  int requested_part = 0, part = 0, parts = 0;
  std::string bytes;
  bool operator==(const Message&) const = default;
};

std::string Encode(const Message& message);  // at most 220 bytes
std::optional<Message> DecodeMessage(std::string_view bytes);

}  // namespace pearreach::rules

#endif  // PEARREACH_SRC_NODE_RULES_MESSAGES_H_
