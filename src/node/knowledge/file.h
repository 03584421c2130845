// The knowledge file: what a node has learned as bytes, and the two generations of them in a
// folder. It owns their form (docs/knowledge.md) and the order of the system calls; it must never
// leave a folder without a sound file where there was one, and never take a byte for good that the
// hash does not vouch for.
#ifndef PEARREACH_SRC_NODE_KNOWLEDGE_FILE_H_
#define PEARREACH_SRC_NODE_KNOWLEDGE_FILE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "node/knowledge/disk.h"
#include "node/knowledge/memory.h"

namespace pearreach::knowledge {

constexpr std::uint32_t kFormat = 1;          // what this build writes, and the newest it reads
constexpr std::size_t kHeader = 64;           // bytes
constexpr std::size_t kMaxBytes = 32u << 20;  // of a file
constexpr std::size_t kMaxWorkers = 100'000;  // in a file; of more, those first heard of
constexpr std::size_t kMaxColdSends = 1'000;  // of one worker

// The first 64 bytes of a key file at least are its key (32 to 64 bytes); none: an unkeyed hash,
// which finds damage but not forgery.
using Key = std::optional<std::string>;
// Throws dispatch::Malformed with "FILE: what".
Key ReadKeyFile(const std::string& path);

std::string Encode(const Memory& memory, std::uint64_t generation, const Key& key);

struct Decoded {
  std::optional<Memory> memory;  // none: `wrong` says why
  std::uint64_t generation = 0;
  std::string wrong;
  bool newer = false;  // sound, as far as can be told, but of a later version
};
Decoded Decode(std::string_view bytes, const Key& key);

// A folder with the generations of one node.
class Folder {
 public:
  Folder(std::string path, std::string node, Key key, Disk* disk = &SystemDisk());

  struct Found {
    std::string path;
    Decoded what;
  };
  // Both generations, the newer sound one first; those that do not exist are left out.
  std::vector<Found> Look();
  // Empty, or what went wrong: the generation before is still there. Blocking.
  std::string Save(const Memory& memory);
  // Removes all generations; empty, or what went wrong.
  std::string Drop();

 private:
  std::string PathOf(std::uint64_t generation) const;

  std::string path_, node_;
  Key key_;
  Disk* disk_;
  std::optional<std::uint64_t> last_;  // the newest generation there; none: not looked yet
};

}  // namespace pearreach::knowledge

#endif  // PEARREACH_SRC_NODE_KNOWLEDGE_FILE_H_
