#include "node/capture/format.h"

#include <xxhash.h>

#include <cstring>

namespace pearreach::capture {
namespace {

constexpr char kMagic[8] = {'P', 'E', 'A', 'R', 'C', 'A', 'P', '\n'};
constexpr std::uint32_t kBlockMagic = 0x31425250;  // "PRB1"
constexpr int kLevel = 1;                          // zstd: the least work
constexpr std::uint8_t kRaw = 0, kZstd = 1;

// Where the numbers of a block header stand; all little-endian.
enum : std::size_t {
  kAtMagic = 0,        // u32
  kAtType = 4,         // u8
  kAtCodec = 5,        // u8
  kAtReserved = 6,     // u16, 0
  kAtNumber = 8,       // u32, from 0 on
  kAtStored = 12,      // u32, bytes that follow the header
  kAtRaw = 16,         // u32, bytes once decompressed
  kAtReserved2 = 20,   // u32, 0
  kAtFirstTurn = 24,   // u64
  kAtPayloadSum = 32,  // u64, XXH3 of the stored bytes
  kAtHeaderSum = 40,   // u64, XXH3 of the 40 bytes before
};

template <typename T>
void Put(std::string* to, std::size_t at, T value) {
  for (std::size_t i = 0; i < sizeof value; ++i)
    (*to)[at + i] = static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i));
}

template <typename T>
T Get(std::string_view from, std::size_t at) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[at + i])) << (8 * i);
  return static_cast<T>(value);
}

}  // namespace

BlockWriter::BlockWriter() : zstd_(ZSTD_createCCtx()) {}

std::string BlockWriter::FileHeader() {
  std::string out(kFileHeader, '\0');
  std::memcpy(out.data(), kMagic, sizeof kMagic);
  Put<std::uint32_t>(&out, 8, kFormat);
  return out;
}

void BlockWriter::Append(BlockType type, std::uint64_t first_turn, std::string_view raw,
                         std::string* out) {
  const std::size_t at = out->size();
  const std::size_t bound = ZSTD_compressBound(raw.size());
  out->resize(at + kBlockHeader + bound);
  std::size_t stored = ZSTD_compressCCtx(zstd_.get(), out->data() + at + kBlockHeader, bound,
                                         raw.data(), raw.size(), kLevel);
  const bool packed = !ZSTD_isError(stored) && stored < raw.size();
  if (!packed) {
    stored = raw.size();
    std::memcpy(out->data() + at + kBlockHeader, raw.data(), stored);
  }
  out->resize(at + kBlockHeader + stored);
  std::string header(kBlockHeader, '\0');
  Put<std::uint32_t>(&header, kAtMagic, kBlockMagic);
  Put<std::uint8_t>(&header, kAtType, static_cast<std::uint8_t>(type));
  Put<std::uint8_t>(&header, kAtCodec, packed ? kZstd : kRaw);
  Put<std::uint32_t>(&header, kAtNumber, number_++);
  Put<std::uint32_t>(&header, kAtStored, static_cast<std::uint32_t>(stored));
  Put<std::uint32_t>(&header, kAtRaw, static_cast<std::uint32_t>(raw.size()));
  Put<std::uint64_t>(&header, kAtFirstTurn, first_turn);
  Put<std::uint64_t>(&header, kAtPayloadSum, XXH3_64bits(out->data() + at + kBlockHeader, stored));
  Put<std::uint64_t>(&header, kAtHeaderSum, XXH3_64bits(header.data(), kAtHeaderSum));
  std::memcpy(out->data() + at, header.data(), kBlockHeader);
}

BlockReader::BlockReader(std::string_view file) : file_(file), zstd_(ZSTD_createDCtx()) {
  if (file.size() < kFileHeader || std::memcmp(file.data(), kMagic, sizeof kMagic) != 0) {
    Damaged("this is no capture");
    return;
  }
  const auto format = Get<std::uint32_t>(file, 8);
  if (format > kFormat)
    Damaged("written in format " + std::to_string(format) + "; this build reads up to " +
            std::to_string(kFormat));
  else if (format == 0 || Get<std::uint32_t>(file, 12) != 0)
    Damaged("the header is damaged");
  else
    at_ = kFileHeader;
}

BlockReader::State BlockReader::Damaged(const std::string& what) {
  stopped_ = true;
  state_ = State::kDamaged;
  error_ = what;
  return state_;
}

BlockReader::State BlockReader::Next(Block* block) {
  if (stopped_) return state_;
  const std::string_view rest = file_.substr(at_);
  const auto stop = [&](State state) {
    stopped_ = true;
    return state_ = state;
  };
  const std::string here = "block " + std::to_string(number_) + " at byte " + std::to_string(at_);
  if (rest.empty()) return stop(State::kEnd);
  if (rest.size() < kBlockHeader) return stop(State::kCut);
  // The header has a sum of its own: else a bit turned in a length would look like a file cut off.
  if (Get<std::uint32_t>(rest, kAtMagic) != kBlockMagic ||
      Get<std::uint64_t>(rest, kAtHeaderSum) != XXH3_64bits(rest.data(), kAtHeaderSum))
    return Damaged(here + ": the header is damaged");
  const auto stored = Get<std::uint32_t>(rest, kAtStored), raw = Get<std::uint32_t>(rest, kAtRaw);
  const auto type = Get<std::uint8_t>(rest, kAtType), codec = Get<std::uint8_t>(rest, kAtCodec);
  if (Get<std::uint32_t>(rest, kAtNumber) != number_ || stored > kMaxBlock || raw > kMaxBlock ||
      type < 1 || type > 4 || codec > kZstd || (codec == kRaw && stored != raw))
    return Damaged(here + ": the header makes no sense");
  if (rest.size() - kBlockHeader < stored) return stop(State::kCut);
  const std::string_view payload = rest.substr(kBlockHeader, stored);
  if (Get<std::uint64_t>(rest, kAtPayloadSum) != XXH3_64bits(payload.data(), payload.size()))
    return Damaged(here + ": the checksum is wrong");
  block->type = static_cast<BlockType>(type);
  block->first_turn = Get<std::uint64_t>(rest, kAtFirstTurn);
  if (codec == kRaw) {
    block->bytes = payload;
  } else {
    // What a frame says of its own size is checked first, so that no few bytes ask for gigabytes.
    if (ZSTD_getFrameContentSize(payload.data(), payload.size()) != raw)
      return Damaged(here + ": its length makes no sense");
    block->bytes.resize(raw);
    const std::size_t n =
        ZSTD_decompressDCtx(zstd_.get(), block->bytes.data(), raw, payload.data(), payload.size());
    if (ZSTD_isError(n) || n != raw) return Damaged(here + ": it does not decompress");
  }
  at_ += kBlockHeader + stored;
  ++number_;
  return State::kBlock;
}

}  // namespace pearreach::capture
