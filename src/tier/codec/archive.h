// Encodes typed messages and records as bytes, by Boost.Serialization. Each is a struct with a
// `serialize(Archive&, unsigned version)` member, whose order of fields is the format. Decoding
// does not trust the bytes: whatever is not a complete message is an error. Thread-safe.
#ifndef PEARREACH_SRC_TIER_CODEC_ARCHIVE_H_
#define PEARREACH_SRC_TIER_CODEC_ARCHIVE_H_

#include <absl/status/statusor.h>

#include <boost/archive/archive_exception.hpp>
#include <boost/archive/binary_iarchive_impl.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/archive/impl/archive_serializer_map.ipp>
#include <boost/archive/impl/basic_binary_iarchive.ipp>
#include <boost/archive/impl/basic_binary_iprimitive.ipp>
#include <boost/iostreams/device/back_inserter.hpp>
#include <boost/iostreams/stream.hpp>
#include <boost/serialization/array_optimization.hpp>
#include <boost/serialization/map.hpp>
#include <boost/serialization/optional.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/utility.hpp>
#include <boost/serialization/vector.hpp>
#include <exception>
#include <streambuf>
#include <string>
#include <string_view>

namespace pearreach::codec {

constexpr unsigned kArchiveFlags = boost::archive::no_header | boost::archive::no_codecvt;

// Never fails.
template <class Message>
std::string Encode(const Message& message) {
  std::string bytes;
  {
    boost::iostreams::stream<boost::iostreams::back_insert_device<std::string>> out(bytes);
    boost::archive::binary_oarchive archive(out, kArchiveFlags);
    archive << message;
  }
  return bytes;
}

namespace internal {

// Reads the bytes in place. They must outlive the buffer.
class MemoryBuffer : public std::streambuf {
 public:
  explicit MemoryBuffer(std::string_view bytes) {
    char* const begin = const_cast<char*>(bytes.data());  // a get area is never written to
    setg(begin, begin, begin + bytes.size());
  }
  std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

class BoundedInput;
using BoundedInputBase =
    boost::archive::binary_iarchive_impl<BoundedInput, char, std::char_traits<char>>;

// A binary archive that rejects lengths beyond the remaining bytes, as the library allocates memory
// for a length before it reads.
class BoundedInput : public BoundedInputBase {
 public:
  explicit BoundedInput(MemoryBuffer* buffer)
      : BoundedInputBase(*buffer, kArchiveFlags), buffer_(buffer) {}

  // Nothing is left: a message of an earlier build ends before the fields that were appended since.
  bool at_end() const { return buffer_->remaining() == 0; }

  template <class Value>
  void load_override(Value& value) {
    BoundedInputBase::load_override(value);
  }
  void load_override(boost::serialization::collection_size_type& count) {
    BoundedInputBase::load_override(count);
    CheckLength(count);
  }

  template <class Value>
  void load(Value& value) {
    BoundedInputBase::load(value);
  }
  void load(bool& flag) {
    unsigned char byte = 0;
    BoundedInputBase::load(byte);
    if (byte > 1) ThrowInvalidInput();
    flag = byte == 1;
  }
  void load(std::string& text) {
    std::size_t length = 0;
    BoundedInputBase::load(length);
    CheckLength(length);
    text.resize(length);
    if (length > 0) load_binary(text.data(), length);
  }

 private:
  [[noreturn]] static void ThrowInvalidInput() {
    using boost::archive::archive_exception;
    throw archive_exception(archive_exception::input_stream_error);
  }
  void CheckLength(std::size_t length) const {
    if (length > buffer_->remaining()) ThrowInvalidInput();
  }

  MemoryBuffer* buffer_;
};

}  // namespace internal
}  // namespace pearreach::codec

// Without this, vectors of numbers would be read in another form than they are written in.
BOOST_SERIALIZATION_USE_ARRAY_OPTIMIZATION(pearreach::codec::internal::BoundedInput)

namespace pearreach::codec {

// INVALID_ARGUMENT: `bytes` do not begin with a complete message of that type.
template <class Message>
absl::StatusOr<Message> Decode(std::string_view bytes) {
  try {
    internal::MemoryBuffer buffer(bytes);
    internal::BoundedInput archive(&buffer);
    Message message;
    archive >> message;
    return message;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace pearreach::codec

#endif  // PEARREACH_SRC_TIER_CODEC_ARCHIVE_H_
