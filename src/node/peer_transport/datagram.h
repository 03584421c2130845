// The form of a datagram between nodes: a head of 20 bytes, sections, and room for a tag at the
// end. Pure: bytes in, values out, without sockets; it reads nothing beyond 256 bytes, must never
// trust a length that it has not checked, and passes over sections of topics that it does not know.
//
//   0  0xA7   1  version   2  length of the tag   3  reserved, 0
//   4  XXH32 of all that follows, seeded by 0 to 3  8  sender's number (2)
//   10 process: Unix ms of when it took its address (6)    16  number of the datagram (4)
//   20 sections: topic (1), length (1), bytes      end: the tag, passed over today
// Integers are little endian. Another version is another form: such a datagram is not read.
#ifndef PEARREACH_SRC_NODE_PEER_TRANSPORT_DATAGRAM_H_
#define PEARREACH_SRC_NODE_PEER_TRANSPORT_DATAGRAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::peer_transport {

constexpr std::size_t kMaxDatagramBytes = 256;  // of a datagram, by the platform's protocol
constexpr std::size_t kHeaderBytes = 20;
constexpr std::size_t kSectionHeaderBytes = 2;
constexpr std::uint8_t kVersion = 1;

// What a section is about. Numbers are for good; those of later versions are passed over.
enum class Topic : std::uint8_t { kMembers = 1, kModule = 2, kShared = 3, kZones = 4, kRules = 5 };
constexpr int kTopics = 5;

struct Section {
  std::uint8_t topic = 0;
  std::string_view bytes;  // of the datagram
};

struct Datagram {
  int from = 0;
  std::uint64_t process = 0;
  std::uint32_t sequence = 0;
  std::vector<Section> sections;
};

// Why a datagram is not believed.
enum class DropReason {
  kShort,          // less than a head, or a section beyond its end
  kLong,           // over 256 bytes
  kForeign,        // not this program's
  kVersion,        // of another form
  kDamaged,        // its checksum is another
  kUnknownSender,  // from no address of `peers`, or another one than its number's
  kReplaced,       // of a process that was replaced
  kStale,          // read before, or too much older than what is held
};
constexpr int kDropReasons = 8;
const char* NameOf(DropReason reason);

// Writes datagrams of one sender. Sections are added while there is room.
class Writer {
 public:
  Writer(int from, std::uint64_t process, std::uint32_t number);
  std::size_t room() const;                       // for a further section's bytes
  bool Add(Topic topic, std::string_view bytes);  // false: it does not fit
  bool empty() const { return bytes_.size() == kHeaderBytes; }
  std::string Take();

 private:
  std::string bytes_;
};

// The views point into `bytes`. None: `*drop_reason` says the reason.
std::optional<Datagram> Read(std::string_view bytes, DropReason* drop_reason);

}  // namespace pearreach::peer_transport

#endif  // PEARREACH_SRC_NODE_PEER_TRANSPORT_DATAGRAM_H_
