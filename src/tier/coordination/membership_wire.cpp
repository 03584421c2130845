#include "tier/coordination/membership_wire.h"

#include <boost/serialization/level.hpp>
#include <boost/serialization/tracking.hpp>
#include <stdexcept>
#include <string>

#include "tier/codec/archive.h"

BOOST_CLASS_IMPLEMENTATION(pearreach::coordination::MemberPacket,
                           boost::serialization::object_serializable)
BOOST_CLASS_TRACKING(pearreach::coordination::MemberPacket, boost::serialization::track_never)

namespace pearreach::coordination {
namespace {

constexpr std::uint8_t kFormat = 0x51;  // another one for each incompatible format

// Thrown while an archive is read, and caught by codec::Decode.
struct MalformedPacket : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void Require(bool holds, const char* what) {
  if (!holds) throw MalformedPacket(what);
}

template <class Archive>
void ArchiveText(Archive& archive, std::string& text, std::size_t limit) {
  std::uint8_t size = static_cast<std::uint8_t>(text.size());
  archive& size;
  if constexpr (Archive::is_loading::value) {
    Require(size <= limit, "text too long");
    text.resize(size);
    if (size > 0) archive.load_binary(text.data(), size);
  } else {
    if (size > 0) archive.save_binary(text.data(), size);
  }
}

// An enumeration as one byte, from `first` to `last`.
template <class Archive, class Enumeration>
void ArchiveEnum(Archive& archive, Enumeration& value, Enumeration first, Enumeration last) {
  std::uint8_t byte = static_cast<std::uint8_t>(value);
  archive& byte;
  if constexpr (Archive::is_loading::value) {
    Require(byte >= static_cast<std::uint8_t>(first) && byte <= static_cast<std::uint8_t>(last),
            "unknown value");
    value = static_cast<Enumeration>(byte);
  }
}

template <class Archive>
void ArchiveStatus(Archive& archive, MemberStatus& status) {
  ArchiveEnum(archive, status, MemberStatus::kAlive, MemberStatus::kLeft);
}

template <class Archive>
void ArchiveRefutations(Archive& archive, std::uint32_t& count) {
  archive& count;
  if constexpr (Archive::is_loading::value)
    Require(count <= kMaxRefutations, "too many refutations");
}

template <class Archive>
void ArchiveRecord(Archive& archive, MemberRecord& record) {
  ArchiveText(archive, record.info.name, kMaxTextBytes);
  ArchiveText(archive, record.info.address, kMaxTextBytes);
  ArchiveText(archive, record.info.zone, kMaxTextBytes);
  ArchiveText(archive, record.info.machine_class, kMaxTextBytes);
  ArchiveText(archive, record.info.disk_id, kMaxTextBytes);
  archive& record.info.incarnation;
  archive& record.info.roles;
  ArchiveStatus(archive, record.status);
  ArchiveRefutations(archive, record.refutations);
  archive& record.age_tenths;
  if constexpr (Archive::is_loading::value) {
    Require(!record.info.name.empty(), "record without a name");
    Require(!record.info.address.empty(), "record without an address");
  }
}

template <class Archive>
void ArchiveVersions(Archive& archive, std::map<std::string, std::uint64_t>& versions) {
  std::uint8_t count = static_cast<std::uint8_t>(versions.size());
  archive& count;
  if constexpr (Archive::is_loading::value) {
    Require(count <= kMaxVersions, "too many versions");
    for (std::uint8_t i = 0; i < count; ++i) {
      std::string name;
      std::uint64_t version = 0;
      ArchiveText(archive, name, kMaxVersionName);
      archive& version;
      Require(versions.emplace_hint(versions.end(), std::move(name), version)->second == version,
              "a version twice");
    }
    Require(versions.size() == count, "a version twice");
  } else {
    for (auto& [name, version] : versions) {
      ArchiveText(archive, const_cast<std::string&>(name), kMaxVersionName);
      archive& version;
    }
  }
}

template <class Archive>
void ArchiveRecords(Archive& archive, std::vector<MemberRecord>& records) {
  std::uint8_t count = static_cast<std::uint8_t>(records.size());
  archive& count;
  if constexpr (Archive::is_loading::value) {
    for (std::uint8_t i = 0; i < count; ++i) ArchiveRecord(archive, records.emplace_back());
  } else {
    for (MemberRecord& record : records) ArchiveRecord(archive, record);
  }
}

std::size_t TextSize(const std::string& text) { return 1 + text.size(); }

bool NamesTarget(PacketKind kind) {
  return kind == PacketKind::kPingRequest || kind == PacketKind::kIndirectAck;
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, MemberPacket& packet, unsigned) {
  std::uint8_t format = kFormat;
  archive& format;
  if constexpr (Archive::is_loading::value) Require(format == kFormat, "another format");
  ArchiveEnum(archive, packet.kind, PacketKind::kPing, PacketKind::kUpdate);
  std::uint8_t wants_list = packet.wants_list ? 1 : 0;
  archive& wants_list;
  packet.wants_list = wants_list != 0;
  archive& packet.number;
  archive& packet.probe;
  ArchiveText(archive, packet.sender, kMaxTextBytes);
  if constexpr (Archive::is_loading::value) Require(!packet.sender.empty(), "no sender");
  archive& packet.incarnation;
  ArchiveRefutations(archive, packet.refutations);
  archive& packet.port;
  archive& packet.digest;
  archive& packet.view.incarnation;
  ArchiveRefutations(archive, packet.view.refutations);
  ArchiveStatus(archive, packet.view.status);
  if (NamesTarget(packet.kind)) {
    ArchiveText(archive, packet.target, kMaxTextBytes);
    archive& packet.target_incarnation;
    ArchiveRefutations(archive, packet.target_refutations);
  }
  ArchiveVersions(archive, packet.versions);
  ArchiveRecords(archive, packet.records);
}

std::size_t EncodedSize(const MemberRecord& record) {
  constexpr std::size_t kNumbers = 8 + 1 + 1 + 4 + 2;
  return TextSize(record.info.name) + TextSize(record.info.address) + TextSize(record.info.zone) +
         TextSize(record.info.machine_class) + TextSize(record.info.disk_id) + kNumbers;
}

std::size_t EncodedSize(const MemberPacket& packet) {
  constexpr std::size_t kNumbers = 1 + 1 + 1 + 4 + 4 + 8 + 4 + 2 + 8;
  constexpr std::size_t kView = 8 + 4 + 1;
  constexpr std::size_t kTarget = 8 + 4;
  constexpr std::size_t kCounts = 1 + 1;
  std::size_t size = kNumbers + kView + kCounts + TextSize(packet.sender);
  if (NamesTarget(packet.kind)) size += kTarget + TextSize(packet.target);
  for (const auto& [name, version] : packet.versions) size += TextSize(name) + sizeof(version);
  for (const MemberRecord& record : packet.records) size += EncodedSize(record);
  return size;
}

std::string EncodePacket(const MemberPacket& packet) { return codec::Encode(packet); }

absl::StatusOr<MemberPacket> DecodePacket(std::string_view bytes) {
  absl::StatusOr<MemberPacket> packet = codec::Decode<MemberPacket>(bytes);
  if (!packet.ok()) return packet;
  if (EncodedSize(*packet) != bytes.size())
    return absl::InvalidArgumentError(std::to_string(bytes.size() - EncodedSize(*packet)) +
                                      " bytes after the membership packet");
  return packet;
}

}  // namespace pearreach::coordination
