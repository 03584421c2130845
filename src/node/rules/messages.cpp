#include "node/rules/messages.h"

#include <algorithm>

#include "node/rules/document.h"
#include "node/rules/rules.pb.h"

namespace pearreach::rules {
namespace {

// Bounds that a received message must not exceed.
constexpr std::int64_t kMaxAgeMs = 60'000'000;
constexpr std::uint64_t kMaxNumber = 1ull << 50;  // epochs, versions and ballots
constexpr int kMaxParts = kMaxDocumentBytes / kPartBytes + 1;
constexpr std::size_t kMaxHoldersBytes = 125;  // 1,000 nodes

}  // namespace

std::string Encode(const Message& message) {
  wire::Section section;
  section.set_epoch(message.version.epoch);
  section.set_number(message.version.number);
  section.set_hash(message.version.hash);
  section.set_age(
      static_cast<std::uint64_t>(std::clamp<std::int64_t>(message.age_ms, 0, kMaxAgeMs)));
  section.set_schema(message.schema);
  section.set_refuses(message.cannot_read);
  section.set_ask(message.query);
  section.set_answer(message.reply_to);
  section.set_clean(message.vouches);
  section.set_recovering(message.recovering);
  section.set_formed(message.started_epoch);
  section.set_promised(message.promised);
  section.set_accepted(message.accepted);
  section.set_accepted_hash(message.accepted_hash);
  section.set_have(message.holders.substr(0, kMaxHoldersBytes));
  section.set_step(static_cast<std::uint32_t>(message.step));
  section.set_ballot(message.ballot);
  section.set_value_ballot(message.value_ballot);
  section.set_value(message.value_hash);
  section.set_want(message.requested_hash);
  section.set_want_part(static_cast<std::uint32_t>(message.requested_part));
  section.set_part_of(message.part_hash);
  section.set_part(static_cast<std::uint32_t>(message.part));
  section.set_parts(static_cast<std::uint32_t>(message.parts));
  section.set_bytes(message.bytes);
  return section.SerializeAsString();
}

std::optional<Message> DecodeMessage(std::string_view bytes) {
  wire::Section section;
  if (!section.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (section.epoch() > kMaxNumber || section.number() > kMaxNumber || section.schema() < 1 ||
      section.age() > static_cast<std::uint64_t>(kMaxAgeMs) || section.promised() > kMaxNumber ||
      section.accepted() > kMaxNumber || section.ballot() > kMaxNumber ||
      section.value_ballot() > kMaxNumber ||
      section.step() > static_cast<std::uint32_t>(Step::kRefused) ||
      section.have().size() > kMaxHoldersBytes || section.want_part() > kMaxParts ||
      section.part() > kMaxParts || section.parts() > kMaxParts ||
      section.bytes().size() > kPartBytes ||
      (section.part_of() != 0 && section.part() >= section.parts()))
    return std::nullopt;
  Message message;
  message.version = {section.epoch(), section.number(), section.hash()};
  message.age_ms = static_cast<std::int64_t>(section.age());
  message.schema = section.schema();
  message.cannot_read = section.refuses();
  message.query = section.ask();
  message.reply_to = section.answer();
  message.vouches = section.clean();
  message.recovering = section.recovering();
  message.started_epoch = section.formed();
  message.promised = section.promised();
  message.accepted = section.accepted();
  message.accepted_hash = section.accepted_hash();
  message.holders = section.have();
  message.step = static_cast<Step>(section.step());
  message.ballot = section.ballot();
  message.value_ballot = section.value_ballot();
  message.value_hash = section.value();
  message.requested_hash = section.want();
  message.requested_part = static_cast<int>(section.want_part());
  message.part_hash = section.part_of();
  message.part = static_cast<int>(section.part());
  message.parts = static_cast<int>(section.parts());
  message.bytes = section.bytes();
  return message;
}

}  // namespace pearreach::rules
