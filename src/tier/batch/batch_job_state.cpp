#include "tier/batch/batch_job_state.h"

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
  std::size_t bytes = batch_job_id.size() + kRecordOverhead;
  for (const Record& record : records) bytes += record.value.size() + kRecordOverhead;
  return bytes;
}

double BatchJob::WaitingTokens() const {
  if (ended) return 0;
  double tokens = 0;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!items[i].done) tokens += header.items[i].tokens;
  }
  return tokens;
}

std::optional<std::uint32_t> BatchJob::FindItem(std::string_view item_id) const {
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
  operation.records.reserve(spec.items.size() + 1);
  operation.records.push_back(MakeRecord(RecordKind::kHeader, 0, codec::Encode(header)));
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

void AddFailure(const BatchJob& batch_job, std::uint32_t item, std::uint64_t lease,
                Operation* operation) {
  std::vector<std::uint64_t> leases = batch_job.items[item].failed_leases;
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

// ---------------------------------------------------------------- the table

void BatchJobTable::Load(const storage::TableStore& disk) {
  batch_jobs_.clear();
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

std::vector<storage::Write> BatchJobTable::Apply(const Operation& operation) {
  std::map<std::string, storage::Write> writes;
  if (operation.erase_first) {
    EraseKeys(operation.batch_job_id, &writes);
    batch_jobs_.erase(operation.batch_job_id);
    reservations_.erase(operation.batch_job_id);
  }
  for (const Record& record : operation.records) {
    const auto kind = static_cast<RecordKind>(record.kind);
    const bool known = kind == RecordKind::kHeader || kind == RecordKind::kReservation ||
                       batch_jobs_.contains(operation.batch_job_id);
    if (!known) continue;  // forgotten meanwhile
    std::string key = RecordKey(partition_, operation.batch_job_id, kind, record.index);
    storage::Write write{key, record.value, record.erase};
    writes[std::move(key)] = std::move(write);
    ApplyRecord(operation.batch_job_id, record);
  }
  std::vector<storage::Write> batch;
  batch.reserve(writes.size());
  for (auto& [key, write] : writes) batch.push_back(std::move(write));
  return batch;
}

void BatchJobTable::EraseKeys(const std::string& batch_job_id,
                              std::map<std::string, storage::Write>* writes) const {
  const auto erase = [&](RecordKind kind, std::uint32_t index) {
    std::string key = RecordKey(partition_, batch_job_id, kind, index);
    storage::Write write{key, {}, true};
    (*writes)[std::move(key)] = std::move(write);
  };
  if (reservations_.contains(batch_job_id)) erase(RecordKind::kReservation, 0);
  const auto at = batch_jobs_.find(batch_job_id);
  if (at == batch_jobs_.end()) return;
  const BatchJob& batch_job = at->second;
  erase(RecordKind::kHeader, 0);
  if (batch_job.ended) erase(RecordKind::kEnded, 0);
  for (std::uint32_t i = 0; i < batch_job.items.size(); ++i) {
    if (!batch_job.items[i].done) erase(RecordKind::kItem, i);
    if (!batch_job.items[i].failed_leases.empty()) erase(RecordKind::kFailures, i);
  }
  for (std::uint32_t i = 0; i < batch_job.results; ++i) erase(RecordKind::kResult, i);
}

void BatchJobTable::ApplyReservation(const std::string& batch_job_id, const Record& record) {
  auto reservation = codec::Decode<QuotaReservation>(record.value);
  if (record.erase || !reservation.ok()) {
    reservations_.erase(batch_job_id);
    return;
  }
  reservations_[batch_job_id] = {*std::move(reservation), RecordHash(record.kind, 0, record.value)};
}

void BatchJobTable::ApplyRecord(const std::string& batch_job_id, const Record& record) {
  if (static_cast<RecordKind>(record.kind) == RecordKind::kReservation) {
    ApplyReservation(batch_job_id, record);
    return;
  }
  if (static_cast<RecordKind>(record.kind) != RecordKind::kHeader) {
    const auto at = batch_jobs_.find(batch_job_id);
    if (at != batch_jobs_.end()) ApplyToBatchJob(&at->second, record);
    return;
  }
  if (batch_jobs_.contains(batch_job_id)) return;
  auto header = codec::Decode<BatchJobHeader>(record.value);
  if (!header.ok()) return;
  BatchJob& batch_job = batch_jobs_[batch_job_id];
  batch_job.header = *std::move(header);
  batch_job.items.resize(batch_job.header.items.size());
  batch_job.digest = RecordHash(record.kind, 0, record.value);
}

void BatchJobTable::ApplyToBatchJob(BatchJob* batch_job, const Record& record) {
  switch (static_cast<RecordKind>(record.kind)) {
    case RecordKind::kEnded:
      if (batch_job->ended) return;
      batch_job->ended = true;
      batch_job->digest ^= RecordHash(record.kind, 0, record.value);
      return;
    case RecordKind::kFailures: {
      if (record.index >= batch_job->items.size()) return;
      auto& leases = batch_job->items[record.index].failed_leases;
      if (!leases.empty())
        batch_job->digest ^= RecordHash(record.kind, record.index, PackLeases(leases));
      leases = UnpackLeases(record.value);
      batch_job->digest ^= RecordHash(record.kind, record.index, record.value);
      return;
    }
    case RecordKind::kResult: {
      if (record.index != batch_job->results) return;  // there already
      const auto result = UnpackResult(record.value);
      if (!result.ok() || result->item >= batch_job->items.size()) return;
      batch_job->items[result->item].done = true;
      ++batch_job->results;
      batch_job->digest ^= RecordHash(record.kind, record.index, record.value);
      return;
    }
    default:
      return;
  }
}

Operation BatchJobTable::ReadSnapshot(const storage::TableStore& disk,
                                      const std::string& batch_job_id) const {
  Operation operation{batch_job_id, true, {}};
  const std::string prefix = BatchJobPrefix(partition_, batch_job_id);
  disk.ForEach(prefix, [&](std::string_view key, std::string_view value) {
    Record record;
    if (!ParseSuffix(key.substr(prefix.size() - 1), &record)) return;
    record.value = std::string(value);
    operation.records.push_back(std::move(record));
  });
  return operation;
}

BatchJob* BatchJobTable::Find(const std::string& batch_job_id) {
  const auto at = batch_jobs_.find(batch_job_id);
  return at == batch_jobs_.end() ? nullptr : &at->second;
}

void BatchJobTable::MakeAllVisible() {
  for (auto& [id, batch_job] : batch_jobs_) {
    batch_job.accepted = true;
    batch_job.visible_results = batch_job.results;
  }
}

void BatchJobTable::StampNew(Micros now) {
  for (auto& [id, batch_job] : batch_jobs_) {
    if (!batch_job.known_since.has_value()) batch_job.known_since = now;
  }
}

std::uint32_t BatchJobTable::BucketOf(std::string_view batch_job_id) {
  return static_cast<std::uint32_t>(Mix(HashBytes(batch_job_id)) % kDigestBuckets);
}

std::map<std::string, QuotaReservation> BatchJobTable::Reservations() const {
  std::map<std::string, QuotaReservation> reservations;
  for (const auto& [batch_job_id, stored] : reservations_)
    reservations[batch_job_id] = stored.reservation;
  return reservations;
}

std::vector<std::uint64_t> BatchJobTable::BucketDigests() const {
  std::vector<std::uint64_t> digests(kDigestBuckets, 0);
  for (const auto& [id, batch_job] : batch_jobs_)
    digests[BucketOf(id)] ^= Mix(HashBytes(id) + batch_job.digest);
  for (const auto& [id, stored] : reservations_) {
    digests[BucketOf(id)] ^= Mix(HashBytes(id) + stored.digest);
  }
  return digests;
}

std::vector<std::pair<std::string, std::uint64_t>> BatchJobTable::BatchJobDigests(
    const std::vector<std::uint32_t>& buckets) const {
  std::vector<bool> wanted(kDigestBuckets, false);
  for (const std::uint32_t bucket : buckets) {
    if (bucket < kDigestBuckets) wanted[bucket] = true;
  }
  std::map<std::string, std::uint64_t> digests;
  for (const auto& [id, batch_job] : batch_jobs_) {
    if (wanted[BucketOf(id)]) digests[id] ^= batch_job.digest;
  }
  for (const auto& [id, stored] : reservations_) {
    if (wanted[BucketOf(id)]) digests[id] ^= stored.digest;
  }
  return {digests.begin(), digests.end()};
}

}  // namespace pearreach::batch
