#include "tier/batch/batch_job_records.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "tier/batch/item_tenant.h"
#include "tier/codec/archive.h"

namespace pearreach::batch {
namespace {

void AppendSuffix(RecordKind kind, std::uint32_t index, std::string* key) {
  static constexpr char kDigits[] = "0123456789abcdef";
  key->push_back('\0');
  key->push_back(static_cast<char>(kind));
  for (int shift = 12; shift >= 0; shift -= 4) key->push_back(kDigits[(index >> shift) & 15]);
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

}  // namespace

std::uint64_t MixHash(std::uint64_t value) {
  value ^= value >> 30;
  value *= 0xbf58476d1ce4e5b9ull;
  value ^= value >> 27;
  value *= 0x94d049bb133111ebull;
  return value ^ (value >> 31);
}

// Eight bytes a step: results are hashed whole when they are read at a start.
std::uint64_t HashBytes(std::string_view bytes) {
  std::uint64_t hash = 14695981039346656037ull + bytes.size();
  while (!bytes.empty()) {
    std::uint64_t word = 0;
    const std::size_t step = std::min(bytes.size(), sizeof(word));
    std::memcpy(&word, bytes.data(), step);
    hash = MixHash(hash ^ word);
    bytes.remove_prefix(step);
  }
  return hash;
}

std::uint64_t RecordHash(char kind, std::uint32_t index, std::string_view value) {
  const std::uint64_t place = (static_cast<std::uint64_t>(kind) << 32) | index;
  return MixHash(HashBytes(value) + MixHash(place));
}

std::string PackLeases(const std::vector<std::uint64_t>& leases) {
  std::string bytes(leases.size() * sizeof(std::uint64_t), '\0');
  if (!leases.empty()) std::memcpy(bytes.data(), leases.data(), bytes.size());
  return bytes;
}

std::vector<std::uint64_t> UnpackLeases(std::string_view bytes) {
  std::vector<std::uint64_t> leases(bytes.size() / sizeof(std::uint64_t));
  if (!leases.empty()) std::memcpy(leases.data(), bytes.data(), leases.size() * sizeof(leases[0]));
  return leases;
}

Record MakeRecord(RecordKind kind, std::uint32_t index, std::string value) {
  return Record{static_cast<char>(kind), index, std::move(value), false};
}

std::optional<Record> ParseRecordKeySuffix(std::string_view suffix) {
  if (suffix.size() != kRecordKeySuffixBytes || suffix[0] != '\0') return std::nullopt;
  Record record;
  record.kind = suffix[1];
  for (const char c : suffix.substr(2)) {
    const int digit = HexDigit(c);
    if (digit < 0) return std::nullopt;
    record.index = record.index * 16 + static_cast<std::uint32_t>(digit);
  }
  return record;
}

std::size_t Operation::Bytes() const {
  constexpr std::size_t kRecordOverhead = 32;
  std::size_t bytes = batch_job_id.size() + kRecordOverhead;
  for (const Record& record : records) bytes += record.value.size() + kRecordOverhead;
  return bytes;
}

std::string PackResult(const ResultRecord& result) {
  std::string bytes;
  bytes.reserve(result.content.size() + 5);
  bytes.push_back(static_cast<char>(result.phase));
  for (int shift = 0; shift < 32; shift += 8) {
    bytes.push_back(static_cast<char>((result.item >> shift) & 255));
  }
  bytes += result.content;
  return bytes;
}

absl::StatusOr<ResultRecord> UnpackResult(std::string_view bytes) {
  if (bytes.size() < 5) return absl::DataLossError("result record too short");
  ResultRecord result;
  result.phase = static_cast<ItemPhase>(bytes[0]);
  for (int i = 0; i < 4; ++i) {
    const auto byte = static_cast<unsigned char>(bytes[static_cast<std::size_t>(i) + 1]);
    result.item |= static_cast<std::uint32_t>(byte) << (8 * i);
  }
  result.content = std::string(bytes.substr(5));
  return result;
}

Operation MakeCreate(const BatchJobSpec& spec, std::int64_t created_wall_ms) {
  BatchJobHeader header;
  header.route = spec.route;
  header.host = spec.host;
  header.fingerprint = spec.fingerprint;
  header.token_cap = spec.token_cap;
  header.attempts = std::max(1, spec.attempts);
  header.due_ms = spec.due_ms;
  header.retain_s = spec.retain_s;
  header.status_s = spec.status_s;
  header.created_wall_ms = created_wall_ms;
  for (const ItemSpec& item : spec.items) header.items.push_back({item.item_id, item.tokens});
  Operation operation{spec.batch_job_id, false, {}};
  operation.records.reserve(spec.items.size() + 2);
  operation.records.push_back(MakeRecord(RecordKind::kHeader, 0, codec::Encode(header)));
  const std::string tenant = TenantOf(spec);
  if (!tenant.empty()) operation.records.push_back(MakeRecord(RecordKind::kTenant, 0, tenant));
  std::uint32_t index = 0;
  for (const ItemSpec& item : spec.items) {
    operation.records.push_back(MakeRecord(RecordKind::kItem, index++, codec::Encode(item)));
  }
  return operation;
}

Operation MakeEnd(const std::string& batch_job_id) {
  return {batch_job_id, false, {MakeRecord(RecordKind::kEnded, 0, "1")}};
}

Operation MakeErase(const std::string& batch_job_id) { return {batch_job_id, true, {}}; }

Operation MakeResult(const std::string& batch_job_id, std::uint32_t position,
                     const ResultRecord& result) {
  Operation operation{batch_job_id, false, {}};
  AddResult(position, result, &operation);
  return operation;
}

Operation MakeReservation(const std::string& batch_job_id, const QuotaReservation& reservation) {
  return {
      batch_job_id, false, {MakeRecord(RecordKind::kReservation, 0, codec::Encode(reservation))}};
}

Operation MakeRelease(const std::string& batch_job_id) {
  Operation operation{batch_job_id, false, {MakeRecord(RecordKind::kReservation, 0, {})}};
  operation.records.back().erase = true;
  return operation;
}

void AddResult(std::uint32_t position, const ResultRecord& result, Operation* operation) {
  operation->records.push_back(MakeRecord(RecordKind::kResult, position, PackResult(result)));
  Record body = MakeRecord(RecordKind::kItem, result.item, {});
  body.erase = true;
  operation->records.push_back(std::move(body));
}

std::string PartitionPrefix(std::uint32_t partition) {
  std::string prefix = "lot/";
  prefix.push_back(static_cast<char>('0' + partition / 10));
  prefix.push_back(static_cast<char>('0' + partition % 10));
  prefix.push_back('/');
  return prefix;
}

std::string BatchJobPrefix(std::uint32_t partition, std::string_view batch_job_id) {
  std::string prefix = PartitionPrefix(partition);
  prefix += batch_job_id;
  prefix.push_back('\0');
  return prefix;
}

std::string RecordKey(std::uint32_t partition, std::string_view batch_job_id, RecordKind kind,
                      std::uint32_t index) {
  std::string key = PartitionPrefix(partition);
  key += batch_job_id;
  AppendSuffix(kind, index, &key);
  return key;
}

}  // namespace pearreach::batch
