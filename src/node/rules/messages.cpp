#include "node/rules/messages.h"

#include <algorithm>

#include "node/rules/document.h"
#include "node/rules/rules.pb.h"

namespace pearreach::rules {
namespace {

constexpr std::int64_t kMaxAgeMs = 60'000'000;
constexpr std::uint64_t kMaxFigure = 1ull << 50;
constexpr int kMaxParts = kMaxDocument / kPartBytes + 1;
constexpr std::size_t kMaxHave = 125;  // 1,000 nodes

}  // namespace

std::string Encode(const Message& word) {
  wire::Section s;
  s.set_epoch(word.head.epoch);
  s.set_number(word.head.number);
  s.set_hash(word.head.hash);
  s.set_age(static_cast<std::uint64_t>(std::clamp<std::int64_t>(word.age_ms, 0, kMaxAgeMs)));
  s.set_schema(word.schema);
  s.set_refuses(word.refuses);
  s.set_ask(word.ask);
  s.set_answer(word.answer);
  s.set_clean(word.clean);
  s.set_recovering(word.recovering);
  s.set_formed(word.formed);
  s.set_promised(word.promised);
  s.set_accepted(word.accepted);
  s.set_accepted_hash(word.accepted_hash);
  s.set_have(word.have.substr(0, kMaxHave));
  s.set_step(static_cast<std::uint32_t>(word.step));
  s.set_ballot(word.ballot);
  s.set_value_ballot(word.value_ballot);
  s.set_value(word.value);
  s.set_want(word.want);
  s.set_want_part(static_cast<std::uint32_t>(word.want_part));
  s.set_part_of(word.part_of);
  s.set_part(static_cast<std::uint32_t>(word.part));
  s.set_parts(static_cast<std::uint32_t>(word.parts));
  s.set_bytes(word.bytes);
  return s.SerializeAsString();
}

std::optional<Message> DecodeMessage(std::string_view bytes) {
  wire::Section s;
  if (!s.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (s.epoch() > kMaxFigure || s.number() > kMaxFigure || s.schema() < 1 ||
      s.age() > static_cast<std::uint64_t>(kMaxAgeMs) || s.promised() > kMaxFigure ||
      s.accepted() > kMaxFigure || s.ballot() > kMaxFigure || s.value_ballot() > kMaxFigure ||
      s.step() > static_cast<std::uint32_t>(Step::kRefused) || s.have().size() > kMaxHave ||
      s.want_part() > kMaxParts || s.part() > kMaxParts || s.parts() > kMaxParts ||
      s.bytes().size() > kPartBytes || (s.part_of() != 0 && s.part() >= s.parts()))
    return std::nullopt;
  Message w;
  w.head = {s.epoch(), s.number(), s.hash()};
  w.age_ms = static_cast<std::int64_t>(s.age());
  w.schema = s.schema();
  w.refuses = s.refuses();
  w.ask = s.ask();
  w.answer = s.answer();
  w.clean = s.clean();
  w.recovering = s.recovering();
  w.formed = s.formed();
  w.promised = s.promised();
  w.accepted = s.accepted();
  w.accepted_hash = s.accepted_hash();
  w.have = s.have();
  w.step = static_cast<Step>(s.step());
  w.ballot = s.ballot();
  w.value_ballot = s.value_ballot();
  w.value = s.value();
  w.want = s.want();
  w.want_part = static_cast<int>(s.want_part());
  w.part_of = s.part_of();
  w.part = static_cast<int>(s.part());
  w.parts = static_cast<int>(s.parts());
  w.bytes = s.bytes();
  return w;
}

}  // namespace pearreach::rules
