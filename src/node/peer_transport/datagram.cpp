#include "node/peer_transport/datagram.h"

#include <xxhash.h>

#include <utility>

namespace pearreach::peer_transport {
namespace {

constexpr char kMagic = static_cast<char>(0xA7);
constexpr std::size_t kChecksumOffset = 4, kChecksummedFrom = 8;

void Put(std::string* bytes, std::size_t at, std::uint64_t value, int width) {
  for (int i = 0; i < width; ++i)
    (*bytes)[at + static_cast<std::size_t>(i)] = static_cast<char>(value >> (8 * i));
}

std::uint64_t Get(std::string_view bytes, std::size_t at, int width) {
  std::uint64_t value = 0;
  for (int i = 0; i < width; ++i)
    value |= std::uint64_t{static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(i)])}
             << (8 * i);
  return value;
}

std::uint32_t ChecksumOf(std::string_view datagram) {
  return XXH32(datagram.data() + kChecksummedFrom, datagram.size() - kChecksummedFrom,
               static_cast<XXH32_hash_t>(Get(datagram, 0, kChecksumOffset)));
}

}  // namespace

const char* NameOf(DropReason reason) {
  constexpr const char* kNames[] = {"peer_words_short",    "peer_words_long",
                                    "peer_words_foreign",  "peer_words_other_version",
                                    "peer_words_damaged",  "peer_words_unknown_sender",
                                    "peer_words_replaced", "peer_words_old"};
  return kNames[static_cast<std::size_t>(reason)];
}

Writer::Writer(int from, std::uint64_t process, std::uint32_t sequence)
    : bytes_(kHeaderBytes, '\0') {
  bytes_[0] = kMagic;
  bytes_[1] = static_cast<char>(kVersion);
  Put(&bytes_, 8, static_cast<std::uint64_t>(from), 2);
  Put(&bytes_, 10, process, 6);
  Put(&bytes_, 16, sequence, 4);
}

std::size_t Writer::room() const {
  const std::size_t used = bytes_.size() + kSectionHeaderBytes;
  return used >= kMaxDatagramBytes ? 0 : std::min<std::size_t>(kMaxDatagramBytes - used, 255);
}

bool Writer::Add(Topic topic, std::string_view bytes) {
  if (bytes.size() > room() || bytes_.size() + kSectionHeaderBytes > kMaxDatagramBytes)
    return false;
  bytes_ += static_cast<char>(topic);
  bytes_ += static_cast<char>(bytes.size());
  bytes_ += bytes;
  return true;
}

std::string Writer::Take() {
  Put(&bytes_, kChecksumOffset, ChecksumOf(bytes_), 4);
  return std::move(bytes_);
}

std::optional<Datagram> Read(std::string_view bytes, DropReason* drop_reason) {
  const auto drop = [&](DropReason reason) {
    *drop_reason = reason;
    return std::nullopt;
  };
  if (bytes.size() > kMaxDatagramBytes) return drop(DropReason::kLong);
  if (bytes.size() < kHeaderBytes) return drop(DropReason::kShort);
  if (bytes[0] != kMagic) return drop(DropReason::kForeign);
  if (static_cast<std::uint8_t>(bytes[1]) != kVersion) return drop(DropReason::kVersion);
  if (Get(bytes, kChecksumOffset, 4) != ChecksumOf(bytes)) return drop(DropReason::kDamaged);
  const std::size_t tag = static_cast<unsigned char>(bytes[2]);
  if (kHeaderBytes + tag > bytes.size()) return drop(DropReason::kShort);
  Datagram d;
  d.from = static_cast<int>(Get(bytes, 8, 2));
  d.process = Get(bytes, 10, 6);
  d.sequence = static_cast<std::uint32_t>(Get(bytes, 16, 4));
  std::string_view rest = bytes.substr(kHeaderBytes, bytes.size() - kHeaderBytes - tag);
  while (!rest.empty()) {
    if (rest.size() < kSectionHeaderBytes) return drop(DropReason::kShort);
    const std::size_t length = static_cast<unsigned char>(rest[1]);
    if (rest.size() < kSectionHeaderBytes + length) return drop(DropReason::kShort);
    d.sections.push_back(
        {static_cast<std::uint8_t>(rest[0]), rest.substr(kSectionHeaderBytes, length)});
    rest.remove_prefix(kSectionHeaderBytes + length);
  }
  return d;
}

}  // namespace pearreach::peer_transport
