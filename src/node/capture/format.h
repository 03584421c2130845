// The capture file: a header and blocks, each with checksums of its own. It owns the bytes around
// the records (docs/capture-format.md gives them one by one); it must never touch a file, and never
// take a byte for good that its checksum does not vouch for.
#ifndef PEARREACH_SRC_NODE_CAPTURE_FORMAT_H_
#define PEARREACH_SRC_NODE_CAPTURE_FORMAT_H_

#include <zstd.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace pearreach::capture {

constexpr std::uint32_t kFormat = 1;             // what this build writes, and the newest it reads
constexpr std::size_t kFileHeader = 16;          // bytes
constexpr std::size_t kBlockHeader = 48;         // bytes
constexpr std::size_t kMaxBlock = 256ull << 20;  // bytes of one block, stored or raw

enum class BlockType : std::uint8_t { kHead = 1, kCheckpoint = 2, kTurns = 3, kEnd = 4 };

struct Block {
  BlockType type = BlockType::kHead;
  std::uint64_t first_turn = 0;  // number of its first turn, counted from the segment's first
  std::string bytes;             // raw
};

// Makes blocks of one file, in order.
class BlockWriter {
 public:
  BlockWriter();
  static std::string FileHeader();
  // Appends the block to `out`, compressed where that is shorter.
  void Append(BlockType type, std::uint64_t first_turn, std::string_view raw, std::string* out);

 private:
  struct Free {
    void operator()(ZSTD_CCtx* c) const { ZSTD_freeCCtx(c); }
  };
  std::unique_ptr<ZSTD_CCtx, Free> zstd_;
  std::uint32_t number_ = 0;
};

// Reads the blocks of one file held in memory.
class BlockReader {
 public:
  enum class State {
    kBlock,    // one more
    kEnd,      // the bytes end with a whole block
    kCut,      // they end inside a block, as after a kill: missing() bytes make no whole one
    kDamaged,  // a checksum or a number is wrong: error()
  };
  explicit BlockReader(std::string_view file);  // must outlive the reader
  State Next(Block* block);
  const std::string& error() const { return error_; }
  std::size_t offset() const { return at_; }
  std::size_t missing() const { return file_.size() - at_; }

 private:
  State Damaged(const std::string& what);

  struct Free {
    void operator()(ZSTD_DCtx* c) const { ZSTD_freeDCtx(c); }
  };
  std::string_view file_;
  std::size_t at_ = 0;
  std::uint32_t number_ = 0;
  bool stopped_ = false;
  State state_ = State::kBlock;
  std::string error_;
  std::unique_ptr<ZSTD_DCtx, Free> zstd_;
};

}  // namespace pearreach::capture

#endif  // PEARREACH_SRC_NODE_CAPTURE_FORMAT_H_
