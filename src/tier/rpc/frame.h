// Frames on a mesh connection: a fixed head (length, kind, message type, call id), then the body.
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
constexpr std::size_t kMaxFrameBytes = 32u
                                       << 20;  // bytes of a body; a longer one ends the connection

void AppendFrame(const Frame& frame, std::string* out);

// Cuts frames out of a stream of bytes.
class FrameReader {
 public:
  enum class State { kIncomplete, kFrame, kInvalid };

  void Feed(std::string_view bytes);
  State Next(Frame* frame);

 private:
  std::string buffer_;
  std::size_t read_ = 0;
};

}  // namespace pearreach::rpc

#endif  // PEARREACH_SRC_TIER_RPC_FRAME_H_
