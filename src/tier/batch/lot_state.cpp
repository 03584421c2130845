#include "tier/batch/lot_state.h"

#include <algorithm>
#include <cstring>

#include "tier/codec/archive.h"

namespace pearreach::batch {
namespace {

constexpr std::size_t kSuffixBytes = 6;  // a zero byte, the kind and four hexadecimal digits

std::uint64_t Mix(std::uint64_t value) {
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
    hash = Mix(hash ^ word);
    bytes.remove_prefix(step);
  }
  return hash;
}

std::uint64_t RecordHash(char kind, std::uint32_t index, std::string_view value) {
  const std::uint64_t place = (static_cast<std::uint64_t>(kind) << 32) | index;
  return Mix(HashBytes(value) + Mix(place));
}

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

bool ParseSuffix(std::string_view suffix, Record* record) {
  if (suffix.size() != kSuffixBytes || suffix[0] != '\0') return false;
  record->kind = suffix[1];
  record->index = 0;
  for (const char c : suffix.substr(2)) {
    const int digit = HexDigit(c);
    if (digit < 0) return false;
    record->index = record->index * 16 + static_cast<std::uint32_t>(digit);
  }
  return true;
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

}  // namespace

std::size_t Operation::Bytes() const {
  constexpr std::size_t kRecordOverhead = 32;
  std::size_t bytes = lot_id.size() + kRecordOverhead;
  for (const Record& record : records) bytes += record.value.size() + kRecordOverhead;
  return bytes;
}

double Lot::WaitingTokens() const {
  if (ended) return 0;
  double tokens = 0;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!items[i].done) tokens += header.items[i].tokens;
  }
  return tokens;
}

std::optional<std::uint32_t> Lot::FindItem(std::string_view item_id) const {
  for (std::size_t i = 0; i < header.items.size(); ++i) {
    if (header.items[i].item_id == item_id) return static_cast<std::uint32_t>(i);
  }
  return std::nullopt;
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

Operation MakeCreate(const LotSpec& spec, std::int64_t created_wall_ms) {
  LotHeader header;
  header.route = spec.route;
  header.host = spec.host;
  header.fingerprint = spec.fingerprint;
  header.token_cap = spec.token_cap;
  header.tries = std::max(1, spec.tries);
  header.due_ms = spec.due_ms;
  header.retain_s = spec.retain_s;
  header.status_s = spec.status_s;
  header.created_wall_ms = created_wall_ms;
  for (const ItemSpec& item : spec.items) header.items.push_back({item.item_id, item.tokens});
  Operation operation{spec.lot_id, false, {}};
  operation.records.reserve(spec.items.size() + 1);
  operation.records.push_back(MakeRecord(RecordKind::kHeader, 0, codec::Encode(header)));
  std::uint32_t index = 0;
  for (const ItemSpec& item : spec.items) {
    operation.records.push_back(MakeRecord(RecordKind::kItem, index++, codec::Encode(item)));
  }
  return operation;
}

Operation MakeEnd(const std::string& lot_id) {
  return {lot_id, false, {MakeRecord(RecordKind::kEnded, 0, "1")}};
}

Operation MakeForget(const std::string& lot_id) { return {lot_id, true, {}}; }

Operation MakeResult(const std::string& lot_id, std::uint32_t position,
                     const ResultRecord& result) {
  Operation operation{lot_id, false, {}};
  AddResult(position, result, &operation);
  return operation;
}

Operation MakeReservation(const std::string& lot_id, const QuotaReservation& reservation) {
  return {lot_id, false, {MakeRecord(RecordKind::kReservation, 0, codec::Encode(reservation))}};
}

Operation MakeRelease(const std::string& lot_id) {
  Operation operation{lot_id, false, {MakeRecord(RecordKind::kReservation, 0, {})}};
  operation.records.back().erase = true;
  return operation;
}

void AddResult(std::uint32_t position, const ResultRecord& result, Operation* operation) {
  operation->records.push_back(MakeRecord(RecordKind::kResult, position, PackResult(result)));
  Record body = MakeRecord(RecordKind::kItem, result.item, {});
  body.erase = true;
  operation->records.push_back(std::move(body));
}

void AddFailure(const Lot& lot, std::uint32_t item, std::uint64_t lease, Operation* operation) {
  std::vector<std::uint64_t> leases = lot.items[item].failed_leases;
  leases.push_back(lease);
  operation->records.push_back(MakeRecord(RecordKind::kFailures, item, PackLeases(leases)));
}

std::string PartitionPrefix(std::uint32_t partition) {
  std::string prefix = "lot/";
  prefix.push_back(static_cast<char>('0' + partition / 10));
  prefix.push_back(static_cast<char>('0' + partition % 10));
  prefix.push_back('/');
  return prefix;
}

std::string LotPrefix(std::uint32_t partition, std::string_view lot_id) {
  std::string prefix = PartitionPrefix(partition);
  prefix += lot_id;
  prefix.push_back('\0');
  return prefix;
}

std::string RecordKey(std::uint32_t partition, std::string_view lot_id, RecordKind kind,
                      std::uint32_t index) {
  std::string key = PartitionPrefix(partition);
  key += lot_id;
  AppendSuffix(kind, index, &key);
  return key;
}

// ---------------------------------------------------------------- the table

void LotTable::Load(const storage::TableStore& disk) {
  lots_.clear();
  reservations_.clear();
  const std::string prefix = PartitionPrefix(partition_);
  disk.ForEach(prefix, [&](std::string_view key, std::string_view value) {
    Record record;
    if (key.size() < prefix.size() + kSuffixBytes) return;
    if (!ParseSuffix(key.substr(key.size() - kSuffixBytes), &record)) return;
    const auto kind = static_cast<RecordKind>(record.kind);
    if (kind != RecordKind::kItem) record.value = std::string(value);
    key.remove_suffix(kSuffixBytes);
    ApplyRecord(std::string(key.substr(prefix.size())), record);
  });
}

std::vector<storage::Write> LotTable::Apply(const Operation& operation) {
  std::map<std::string, storage::Write> writes;
  if (operation.erase_first) {
    EraseKeys(operation.lot_id, &writes);
    lots_.erase(operation.lot_id);
    reservations_.erase(operation.lot_id);
  }
  for (const Record& record : operation.records) {
    const auto kind = static_cast<RecordKind>(record.kind);
    const bool known = kind == RecordKind::kHeader || kind == RecordKind::kReservation ||
                       lots_.contains(operation.lot_id);
    if (!known) continue;  // forgotten meanwhile
    std::string key = RecordKey(partition_, operation.lot_id, kind, record.index);
    storage::Write write{key, record.value, record.erase};
    writes[std::move(key)] = std::move(write);
    ApplyRecord(operation.lot_id, record);
  }
  std::vector<storage::Write> batch;
  batch.reserve(writes.size());
  for (auto& [key, write] : writes) batch.push_back(std::move(write));
  return batch;
}

void LotTable::EraseKeys(const std::string& lot_id,
                         std::map<std::string, storage::Write>* writes) const {
  const auto erase = [&](RecordKind kind, std::uint32_t index) {
    std::string key = RecordKey(partition_, lot_id, kind, index);
    storage::Write write{key, {}, true};
    (*writes)[std::move(key)] = std::move(write);
  };
  if (reservations_.contains(lot_id)) erase(RecordKind::kReservation, 0);
  const auto at = lots_.find(lot_id);
  if (at == lots_.end()) return;
  const Lot& lot = at->second;
  erase(RecordKind::kHeader, 0);
  if (lot.ended) erase(RecordKind::kEnded, 0);
  for (std::uint32_t i = 0; i < lot.items.size(); ++i) {
    if (!lot.items[i].done) erase(RecordKind::kItem, i);
    if (!lot.items[i].failed_leases.empty()) erase(RecordKind::kFailures, i);
  }
  for (std::uint32_t i = 0; i < lot.results; ++i) erase(RecordKind::kResult, i);
}

void LotTable::ApplyReservation(const std::string& lot_id, const Record& record) {
  auto reservation = codec::Decode<QuotaReservation>(record.value);
  if (record.erase || !reservation.ok()) {
    reservations_.erase(lot_id);
    return;
  }
  reservations_[lot_id] = {*std::move(reservation), RecordHash(record.kind, 0, record.value)};
}

void LotTable::ApplyRecord(const std::string& lot_id, const Record& record) {
  if (static_cast<RecordKind>(record.kind) == RecordKind::kReservation) {
    ApplyReservation(lot_id, record);
    return;
  }
  if (static_cast<RecordKind>(record.kind) != RecordKind::kHeader) {
    const auto at = lots_.find(lot_id);
    if (at != lots_.end()) ApplyToLot(&at->second, record);
    return;
  }
  if (lots_.contains(lot_id)) return;
  auto header = codec::Decode<LotHeader>(record.value);
  if (!header.ok()) return;
  Lot& lot = lots_[lot_id];
  lot.header = *std::move(header);
  lot.items.resize(lot.header.items.size());
  lot.digest = RecordHash(record.kind, 0, record.value);
}

void LotTable::ApplyToLot(Lot* lot, const Record& record) {
  switch (static_cast<RecordKind>(record.kind)) {
    case RecordKind::kEnded:
      if (lot->ended) return;
      lot->ended = true;
      lot->digest ^= RecordHash(record.kind, 0, record.value);
      return;
    case RecordKind::kFailures: {
      if (record.index >= lot->items.size()) return;
      auto& leases = lot->items[record.index].failed_leases;
      if (!leases.empty()) lot->digest ^= RecordHash(record.kind, record.index, PackLeases(leases));
      leases = UnpackLeases(record.value);
      lot->digest ^= RecordHash(record.kind, record.index, record.value);
      return;
    }
    case RecordKind::kResult: {
      if (record.index != lot->results) return;  // there already
      const auto result = UnpackResult(record.value);
      if (!result.ok() || result->item >= lot->items.size()) return;
      lot->items[result->item].done = true;
      ++lot->results;
      lot->digest ^= RecordHash(record.kind, record.index, record.value);
      return;
    }
    default:
      return;
  }
}

Operation LotTable::Whole(const storage::TableStore& disk, const std::string& lot_id) const {
  Operation operation{lot_id, true, {}};
  const std::string prefix = LotPrefix(partition_, lot_id);
  disk.ForEach(prefix, [&](std::string_view key, std::string_view value) {
    Record record;
    if (!ParseSuffix(key.substr(prefix.size() - 1), &record)) return;
    record.value = std::string(value);
    operation.records.push_back(std::move(record));
  });
  return operation;
}

Lot* LotTable::Find(const std::string& lot_id) {
  const auto at = lots_.find(lot_id);
  return at == lots_.end() ? nullptr : &at->second;
}

void LotTable::MakeAllVisible() {
  for (auto& [id, lot] : lots_) {
    lot.accepted = true;
    lot.visible_results = lot.results;
  }
}

void LotTable::StampNew(Micros now) {
  for (auto& [id, lot] : lots_) {
    if (!lot.known_since.has_value()) lot.known_since = now;
  }
}

std::uint32_t LotTable::BucketOf(std::string_view lot_id) {
  return static_cast<std::uint32_t>(Mix(HashBytes(lot_id)) % kDigestBuckets);
}

std::map<std::string, QuotaReservation> LotTable::Reservations() const {
  std::map<std::string, QuotaReservation> reservations;
  for (const auto& [lot_id, held] : reservations_) reservations[lot_id] = held.reservation;
  return reservations;
}

std::vector<std::uint64_t> LotTable::BucketDigests() const {
  std::vector<std::uint64_t> digests(kDigestBuckets, 0);
  for (const auto& [id, lot] : lots_) digests[BucketOf(id)] ^= Mix(HashBytes(id) + lot.digest);
  for (const auto& [id, held] : reservations_) {
    digests[BucketOf(id)] ^= Mix(HashBytes(id) + held.digest);
  }
  return digests;
}

std::vector<std::pair<std::string, std::uint64_t>> LotTable::LotDigests(
    const std::vector<std::uint32_t>& buckets) const {
  std::vector<bool> wanted(kDigestBuckets, false);
  for (const std::uint32_t bucket : buckets) {
    if (bucket < kDigestBuckets) wanted[bucket] = true;
  }
  std::map<std::string, std::uint64_t> digests;
  for (const auto& [id, lot] : lots_) {
    if (wanted[BucketOf(id)]) digests[id] ^= lot.digest;
  }
  for (const auto& [id, held] : reservations_) {
    if (wanted[BucketOf(id)]) digests[id] ^= held.digest;
  }
  return {digests.begin(), digests.end()};
}

}  // namespace pearreach::batch
