#include "tier/coordination/chain_messages.h"

#include <array>
#include <cstring>
#include <string>
#include <utility>

namespace pearreach::coordination::chain {
namespace {

template <class Kind>
struct Framed {
  Header header;
  Kind body;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& header& body;
  }
};

using Decoder = absl::StatusOr<Envelope> (*)(std::string_view);

template <class Kind>
absl::StatusOr<Envelope> DecodeKind(std::string_view bytes) {
  auto framed = codec::Decode<Framed<Kind>>(bytes);
  if (!framed.ok()) return framed.status();
  return Envelope{std::move(framed->header), std::move(framed->body)};
}

template <class... Kinds>
constexpr std::array<Decoder, sizeof...(Kinds)> Decoders(std::variant<Kinds...>*) {
  return {&DecodeKind<Kinds>...};
}

constexpr auto kDecoders = Decoders(static_cast<Body*>(nullptr));

constexpr std::size_t kChecksumBytes = sizeof(std::uint64_t);

// FNV-1a. The archive trusts the counts that it reads, so corrupt bytes must not reach it.
std::uint64_t Checksum(std::string_view bytes) {
  constexpr std::uint64_t kOffset = 14695981039346656037u, kPrime = 1099511628211u;
  std::uint64_t sum = kOffset;
  for (const unsigned char byte : bytes) sum = (sum ^ byte) * kPrime;
  return sum;
}

}  // namespace

std::string EncodeEnvelope(const Envelope& envelope) {
  std::string bytes(1, static_cast<char>(envelope.body.index()));
  std::visit(
      [&](const auto& body) {
        using Kind = std::decay_t<decltype(body)>;
        bytes += codec::Encode(Framed<Kind>{envelope.header, body});
      },
      envelope.body);
  const std::uint64_t sum = Checksum(bytes);
  bytes.append(reinterpret_cast<const char*>(&sum), kChecksumBytes);
  return bytes;
}

absl::StatusOr<Envelope> DecodeEnvelope(std::string_view bytes) {
  if (bytes.size() <= kChecksumBytes)
    return absl::InvalidArgumentError("chain message of " + std::to_string(bytes.size()) +
                                      " bytes is too short for its checksum");
  std::uint64_t sum = 0;
  std::memcpy(&sum, bytes.data() + bytes.size() - kChecksumBytes, kChecksumBytes);
  bytes.remove_suffix(kChecksumBytes);
  if (sum != Checksum(bytes))
    return absl::InvalidArgumentError("chain message has a wrong checksum");
  const auto kind = static_cast<unsigned char>(bytes.front());
  if (kind >= kDecoders.size())
    return absl::InvalidArgumentError("chain message has the unknown kind " + std::to_string(kind));
  return kDecoders[kind](bytes.substr(1));
}

}  // namespace pearreach::coordination::chain
