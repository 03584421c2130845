#include "tier/batch/batch_job_state.h"

#include <utility>

#include "tier/codec/archive.h"

namespace pearreach::batch {

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

void AddFailure(const BatchJob& batch_job, std::uint32_t item, std::uint64_t lease,
                Operation* operation) {
  std::vector<std::uint64_t> leases = batch_job.items[item].failed_leases;
  leases.push_back(lease);
  operation->records.push_back(MakeRecord(RecordKind::kFailures, item, PackLeases(leases)));
}

void BatchJobTable::Load(const storage::TableStore& disk) {
  batch_jobs_.clear();
  reservations_.clear();
  const std::string prefix = PartitionPrefix(partition_);
  disk.ForEach(prefix, [&](std::string_view key, std::string_view value) {
    if (key.size() < prefix.size() + kRecordKeySuffixBytes) return;
    auto record = ParseRecordKeySuffix(key.substr(key.size() - kRecordKeySuffixBytes));
    if (!record.has_value()) return;
    const auto kind = static_cast<RecordKind>(record->kind);
    if (kind != RecordKind::kItem) record->value = std::string(value);
    key.remove_suffix(kRecordKeySuffixBytes);
    ApplyRecord(std::string(key.substr(prefix.size())), *record);
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
  if (!batch_job.tenant.empty()) erase(RecordKind::kTenant, 0);
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
    case RecordKind::kTenant:
      // Written with the header and never changed: no part of the digest, which stores that know no
      // tenants compare too.
      batch_job->tenant = record.value;
      return;
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
    auto record = ParseRecordKeySuffix(key.substr(prefix.size() - 1));
    if (!record.has_value()) return;
    record->value = std::string(value);
    operation.records.push_back(*std::move(record));
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
  return static_cast<std::uint32_t>(MixHash(HashBytes(batch_job_id)) % kDigestBuckets);
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
    digests[BucketOf(id)] ^= MixHash(HashBytes(id) + batch_job.digest);
  for (const auto& [id, stored] : reservations_) {
    digests[BucketOf(id)] ^= MixHash(HashBytes(id) + stored.digest);
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
