// Boost.Serialization of std::optional: whether it has a value, then the value.
#ifndef PEARREACH_SRC_TIER_CODEC_OPTIONAL_H_
#define PEARREACH_SRC_TIER_CODEC_OPTIONAL_H_

#include <boost/serialization/split_free.hpp>
#include <optional>
#include <utility>

namespace boost::serialization {

template <class Archive, class Value>
void save(Archive& archive, const std::optional<Value>& optional, unsigned) {
  const bool present = optional.has_value();
  archive& present;
  if (present) archive&* optional;
}

template <class Archive, class Value>
void load(Archive& archive, std::optional<Value>& optional, unsigned) {
  bool present = false;
  archive& present;
  optional.reset();
  if (present) archive& optional.emplace();
}

template <class Archive, class Value>
void serialize(Archive& archive, std::optional<Value>& optional, unsigned version) {
  split_free(archive, optional, version);
}

}  // namespace boost::serialization

#endif  // PEARREACH_SRC_TIER_CODEC_OPTIONAL_H_
