// The format of a datagram between nodes: a header of 20 bytes, sections, and an optional tag at
// the end. Encoding and decoding only, without sockets. Decoding rejects more than 256 bytes,
// checks every length before use, and keeps sections of unknown topics for the caller to skip.
//
//   0  0xA7   1  version   2  length of the tag   3  reserved, 0
//   4  XXH32 of all bytes from 8 on, seeded with bytes 0 to 3   8  sender's node number (2)
//   10 process: Unix ms at which it bound its address (6)       16  sequence number (4)
//   20 sections: topic (1), length (1), bytes                   end: the tag, ignored at present
// Integers are little endian. Datagrams of another version are dropped.
#ifndef PEARREACH_SRC_NODE_PEER_TRANSPORT_DATAGRAM_H_
#define PEARREACH_SRC_NODE_PEER_TRANSPORT_DATAGRAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::peer_transport {

constexpr std::size_t kMaxDatagramBytes = 256;  // upper bound set by the platform's protocol
constexpr std::size_t kHeaderBytes = 20;
constexpr std::size_t kSectionHeaderBytes = 2;
constexpr std::uint8_t kVersion = 1;

// The subsystem that a section belongs to. Numbers are never reused; unknown ones are skipped.
enum class Topic : std::uint8_t { kMembers = 1, kModule = 2, kShared = 3, kZones = 4, kRules = 5 };
constexpr int kTopics = 5;

struct Section {
  std::uint8_t topic = 0;
  std::string_view bytes;  // points into the datagram
};

struct Datagram {
  int from = 0;
  std::uint64_t process = 0;
  std::uint32_t sequence = 0;
  std::vector<Section> sections;
};

// Why a datagram is dropped.
enum class DropReason {
  kShort,          // shorter than a header, or a section exceeds the datagram
  kLong,           // over 256 bytes
  kForeign,        // not a datagram of this protocol
  kVersion,        // another version of the format
  kDamaged,        // wrong checksum
  kUnknownSender,  // the source address is not the configured one of its node number
  kReplaced,       // from a process that was replaced
  kStale,          // a duplicate, or too old for the replay window
};
constexpr int kDropReasons = 8;
const char* NameOf(DropReason reason);  // the name of its metric

// Encodes one datagram. Sections can be added while there is room.
class Writer {
 public:
  Writer(int from, std::uint64_t process, std::uint32_t sequence);
  std::size_t room() const;                       // bytes available to another section
  bool Add(Topic topic, std::string_view bytes);  // false: no room for it
  bool empty() const { return bytes_.size() == kHeaderBytes; }
  std::string Take();  // adds the checksum and returns the datagram

 private:
  std::string bytes_;
};

// Decodes a datagram; the sections point into `bytes`. Returns nothing if the datagram is invalid,
// and sets `*drop_reason`.
std::optional<Datagram> Read(std::string_view bytes, DropReason* drop_reason);

}  // namespace pearreach::peer_transport

#endif  // PEARREACH_SRC_NODE_PEER_TRANSPORT_DATAGRAM_H_
