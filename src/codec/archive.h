// Typed messages between the system's own processes as bytes, by Boost.Serialization. Every message
// is a struct with a `serialize(Archive&, unsigned version)` member. Decoding never trusts the
// bytes: anything that does not read whole is an error.
#ifndef PEARREACH_SRC_CODEC_ARCHIVE_H_
#define PEARREACH_SRC_CODEC_ARCHIVE_H_

#include <absl/status/statusor.h>

#include <boost/archive/binary_iarchive.hpp>
#include <boost/archive/binary_oarchive.hpp>
#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/device/back_inserter.hpp>
#include <boost/iostreams/stream.hpp>
#include <boost/serialization/map.hpp>
#include <boost/serialization/optional.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/utility.hpp>
#include <boost/serialization/vector.hpp>
#include <exception>
#include <string>
#include <string_view>

namespace pearreach::codec {

constexpr unsigned kArchiveFlags = boost::archive::no_header | boost::archive::no_codecvt;

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

template <class Message>
absl::StatusOr<Message> Decode(std::string_view bytes) {
  try {
    boost::iostreams::stream<boost::iostreams::array_source> in(bytes.data(), bytes.size());
    boost::archive::binary_iarchive archive(in, kArchiveFlags);
    Message message;
    archive >> message;
    return message;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace pearreach::codec

#endif  // PEARREACH_SRC_CODEC_ARCHIVE_H_
