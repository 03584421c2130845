// Frames on a connection between nodes: a header of fixed size (length, kind, message type, call
// id) and the body. Integers are little-endian. No I/O.
#ifndef PEARREACH_SRC_TIER_RPC_FRAME_H_
#define PEARREACH_SRC_TIER_RPC_FRAME_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace pearreach::rpc {

enum class FrameKind : std::uint8_t { kRequest = 1, kResponse = 2, kError = 3 };

struct Frame {
  FrameKind kind = FrameKind::kRequest;
  std::uint8_t type = 0;  // MessageType of a call; absl::StatusCode of an error
  std::uint64_t call = 0;
  std::string_view body;  // valid until the reader's next Feed or Next
};

constexpr std::size_t kFrameHeaderBytes = 14;
// Of a body; a longer one ends the connection.
constexpr std::size_t kMaxFrameBytes = 32u << 20;

void AppendFrame(const Frame& frame, std::string* out);

// Splits a stream of bytes into frames.
class FrameReader {
 public:
  // kIncomplete: more bytes are needed.
  enum class State { kIncomplete, kFrame, kInvalid };

  // Appends what was received. Invalidates the bodies of earlier frames.
  void Feed(std::string_view bytes);
  // Sets `*frame` if the result is kFrame. After kInvalid the stream cannot be read any further.
  State Next(Frame* frame);

 private:
  void Release();

  std::string buffer_;
  std::size_t read_ = 0;
};

}  // namespace pearreach::rpc

#endif  // PEARREACH_SRC_TIER_RPC_FRAME_H_
