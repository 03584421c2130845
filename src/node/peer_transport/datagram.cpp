#include "node/peer_transport/datagram.h"

#include <xxhash.h>

#include <utility>

namespace pearreach::peer_transport {
namespace {

constexpr char kMark = static_cast<char>(0xA7);
constexpr std::size_t kChecksumAt = 4, kChecked = 8;

void Put(std::string* text, std::size_t at, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i)
    (*text)[at + static_cast<std::size_t>(i)] = static_cast<char>(value >> (8 * i));
}

std::uint64_t Get(std::string_view text, std::size_t at, int bytes) {
  std::uint64_t value = 0;
  for (int i = 0; i < bytes; ++i)
    value |= std::uint64_t{static_cast<unsigned char>(text[at + static_cast<std::size_t>(i)])}
             << (8 * i);
  return value;
}

std::uint32_t SumOf(std::string_view text) {
  return XXH32(text.data() + kChecked, text.size() - kChecked,
               static_cast<XXH32_hash_t>(Get(text, 0, kChecksumAt)));
}

}  // namespace

const char* NameOf(Dropped reason) {
  constexpr const char* kNames[] = {"peer_words_short",    "peer_words_long",
                                    "peer_words_foreign",  "peer_words_other_version",
                                    "peer_words_damaged",  "peer_words_unknown_sender",
                                    "peer_words_replaced", "peer_words_old"};
  return kNames[static_cast<std::size_t>(reason)];
}

Writer::Writer(int from, std::uint64_t process, std::uint32_t number) : text_(kHeadBytes, '\0') {
  text_[0] = kMark;
  text_[1] = static_cast<char>(kVersion);
  Put(&text_, 8, static_cast<std::uint64_t>(from), 2);
  Put(&text_, 10, process, 6);
  Put(&text_, 16, number, 4);
}

std::size_t Writer::room() const {
  const std::size_t used = text_.size() + kSectionHead;
  return used >= kMaxBytes ? 0 : std::min<std::size_t>(kMaxBytes - used, 255);
}

bool Writer::Add(Topic topic, std::string_view bytes) {
  if (bytes.size() > room() || text_.size() + kSectionHead > kMaxBytes) return false;
  text_ += static_cast<char>(topic);
  text_ += static_cast<char>(bytes.size());
  text_ += bytes;
  return true;
}

std::string Writer::Take() {
  Put(&text_, kChecksumAt, SumOf(text_), 4);
  return std::move(text_);
}

std::optional<Datagram> Read(std::string_view bytes, Dropped* why) {
  const auto drop = [&](Dropped reason) {
    *why = reason;
    return std::nullopt;
  };
  if (bytes.size() > kMaxBytes) return drop(Dropped::kLong);
  if (bytes.size() < kHeadBytes) return drop(Dropped::kShort);
  if (bytes[0] != kMark) return drop(Dropped::kForeign);
  if (static_cast<std::uint8_t>(bytes[1]) != kVersion) return drop(Dropped::kVersion);
  if (Get(bytes, kChecksumAt, 4) != SumOf(bytes)) return drop(Dropped::kDamaged);
  const std::size_t tag = static_cast<unsigned char>(bytes[2]);
  if (kHeadBytes + tag > bytes.size()) return drop(Dropped::kShort);
  Datagram d;
  d.from = static_cast<int>(Get(bytes, 8, 2));
  d.process = Get(bytes, 10, 6);
  d.number = static_cast<std::uint32_t>(Get(bytes, 16, 4));
  std::string_view rest = bytes.substr(kHeadBytes, bytes.size() - kHeadBytes - tag);
  while (!rest.empty()) {
    if (rest.size() < kSectionHead) return drop(Dropped::kShort);
    const std::size_t length = static_cast<unsigned char>(rest[1]);
    if (rest.size() < kSectionHead + length) return drop(Dropped::kShort);
    d.sections.push_back({static_cast<std::uint8_t>(rest[0]), rest.substr(kSectionHead, length)});
    rest.remove_prefix(kSectionHead + length);
  }
  return d;
}

}  // namespace pearreach::peer_transport
