#include "tier/control/config_change_id.h"

#include <rapidjson/document.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <memory>
#include <vector>

namespace pearreach::control {
namespace {

// As the configuration's reader parses it, which bounds the nesting.
constexpr unsigned kParseFlags =
    rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag;
// Whole numbers up to here are the same as a double and as an integer.
constexpr double kMaxExact = 9007199254740992.0;  // 2^53

// Feeds a value to the digest in a canonical form: each value begins with a tag, strings and
// containers with their size, and members are sorted by name.
class CanonicalDigest {
 public:
  CanonicalDigest() : state_(XXH3_createState(), XXH3_freeState) {
    XXH3_128bits_reset(state_.get());
  }
  XXH128_hash_t Finish() const { return XXH3_128bits_digest(state_.get()); }

  void Add(const rapidjson::Value& value) {
    if (value.IsObject()) {
      AddObject(value);
    } else if (value.IsArray()) {
      AddHeader('a', value.Size());
      for (const rapidjson::Value& element : value.GetArray()) Add(element);
    } else if (value.IsString()) {
      AddString(value);
    } else if (value.IsNumber()) {
      AddNumber(value);
    } else {
      AddHeader(value.IsNull() ? 'n' : 'b', value.IsTrue() ? 1 : 0);
    }
  }

 private:
  using Member = rapidjson::Value::ConstMemberIterator;

  void AddBytes(const void* bytes, std::size_t size) {
    XXH3_128bits_update(state_.get(), bytes, size);
  }
  void AddHeader(char tag, std::uint64_t number) {
    AddBytes(&tag, sizeof(tag));
    AddBytes(&number, sizeof(number));
  }
  void AddString(const rapidjson::Value& text) {
    AddHeader('s', text.GetStringLength());
    AddBytes(text.GetString(), text.GetStringLength());
  }
  void AddObject(const rapidjson::Value& object) {
    std::vector<Member> members;
    for (Member member = object.MemberBegin(); member != object.MemberEnd(); ++member) {
      members.push_back(member);
    }
    std::stable_sort(members.begin(), members.end(), [](const Member& left, const Member& right) {
      return NameOf(left) < NameOf(right);
    });
    AddHeader('o', members.size());
    for (const Member& member : members) {
      AddString(member->name);
      Add(member->value);
    }
  }
  void AddNumber(const rapidjson::Value& number) {
    if (number.IsInt64()) return AddHeader('i', static_cast<std::uint64_t>(number.GetInt64()));
    if (number.IsUint64()) return AddHeader('u', number.GetUint64());
    const double value = number.GetDouble();
    if (std::trunc(value) == value && std::fabs(value) <= kMaxExact) {
      return AddHeader('i', static_cast<std::uint64_t>(static_cast<std::int64_t>(value)));
    }
    std::uint64_t bits = 0;
    std::memcpy(&bits, &value, sizeof(bits));
    AddHeader('d', bits);
  }
  static std::string_view NameOf(const Member& member) {
    return {member->name.GetString(), member->name.GetStringLength()};
  }

  std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state_;
};

}  // namespace

coordination::ChangeId ConfigChangeId(std::int64_t version, std::string_view json) {
  rapidjson::Document document;
  document.Parse<kParseFlags>(json.data(), json.size());
  CanonicalDigest digest;
  if (!document.HasParseError()) digest.Add(document);
  const XXH128_hash_t hash = digest.Finish();
  return {static_cast<std::uint64_t>(version), hash.high64, hash.low64};
}

}  // namespace pearreach::control
