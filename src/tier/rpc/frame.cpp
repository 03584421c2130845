#include "tier/rpc/frame.h"

#include <cstring>

#include "common/memory/release.h"

namespace pearreach::rpc {
namespace {

constexpr std::size_t kKeptBufferBytes = 64 << 10;  // more is given back once it is read

template <class Number>
void AppendNumber(Number value, std::string* out) {
  for (std::size_t i = 0; i < sizeof value; ++i)
    out->push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

template <class Number>
Number ReadNumber(const char* bytes) {
  Number value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i)
    value |= static_cast<Number>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  return value;
}

}  // namespace

void AppendFrame(const Frame& frame, std::string* out) {
  out->reserve(out->size() + kFrameHeaderBytes + frame.body.size());
  AppendNumber(static_cast<std::uint32_t>(frame.body.size()), out);
  out->push_back(static_cast<char>(frame.kind));
  out->push_back(static_cast<char>(frame.type));
  AppendNumber(frame.call, out);
  out->append(frame.body);
}

void FrameReader::Feed(std::string_view bytes) {
  if (read_ > 0) {
    buffer_.erase(0, read_);
    read_ = 0;
  }
  buffer_.append(bytes);
}

// All was read. The memory of a large frame is not kept for the small ones that most are.
void FrameReader::Release() {
  read_ = 0;
  if (buffer_.capacity() > kKeptBufferBytes)
    memory::Release(&buffer_);
  else
    buffer_.clear();
}

FrameReader::State FrameReader::Next(Frame* frame) {
  const std::size_t available = buffer_.size() - read_;
  if (available == 0) Release();
  if (available < kFrameHeaderBytes) return State::kIncomplete;
  const char* head = buffer_.data() + read_;
  const auto length = ReadNumber<std::uint32_t>(head);
  const auto kind = static_cast<unsigned char>(head[4]);
  if (length > kMaxFrameBytes || kind < 1 || kind > 3) return State::kInvalid;
  if (available < kFrameHeaderBytes + length) return State::kIncomplete;
  frame->kind = static_cast<FrameKind>(kind);
  frame->type = static_cast<std::uint8_t>(head[5]);
  frame->call = ReadNumber<std::uint64_t>(head + 6);
  frame->body = std::string_view(head + kFrameHeaderBytes, length);
  read_ += kFrameHeaderBytes + length;
  return State::kFrame;
}

}  // namespace pearreach::rpc
