#include "tier/registry/worker_state.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pearreach::registry {
namespace {

bool HasEnded(const WorkerRecord& record) {
  return record.phase == WorkerPhase::kGone || record.lost;
}

bool IsNewer(const WorkerRecord& a, const WorkerRecord& b) {
  return std::tie(a.version, a.lost, a.receiver) > std::tie(b.version, b.lost, b.receiver);
}

}  // namespace

// ---------------------------------------------------------------- heartbeats

bool WorkerState::Merge(Micros now, const WorkerRecord& record, Micros heartbeat_age) {
  const Micros last_heartbeat = now - std::max<Micros>(heartbeat_age, 0);
  Entry* entry = FindEntry(record.worker_id);
  if (entry == nullptr) {
    const bool alive = record.phase != WorkerPhase::kGone && last_heartbeat + options_.expiry > now;
    return Add(record, last_heartbeat, alive);
  }
  const bool is_newer_call = record.call_seq > entry->last_seq;
  const WorkerPhase phase = std::max(entry->record.phase, record.phase);
  // Only a later heartbeat brings a worker back that expired or whose address another one had.
  const bool returned = !entry->listed && is_newer_call && last_heartbeat > entry->last_heartbeat &&
                        phase != WorkerPhase::kGone && last_heartbeat + options_.expiry > now;
  const bool address_changed =
      is_newer_call && phase != WorkerPhase::kGone && record.address != entry->record.address;
  const bool receiver_changed =
      is_newer_call && phase != WorkerPhase::kGone && record.receiver != entry->record.receiver;
  entry->last_heartbeat = std::max(entry->last_heartbeat, last_heartbeat);
  entry->last_seq = std::max(entry->last_seq, record.call_seq);
  if (phase == entry->record.phase && !returned && !address_changed && !receiver_changed)
    return false;

  RemoveFromDigest(entry);
  const std::uint64_t version = std::max(entry->record.version + 1, record.call_seq);
  if (is_newer_call) {
    SetListed(entry, entry->listed && !address_changed);
    entry->record = record;
    entry->record.lost = false;
    entry->orphaned_since = 0;
  }
  // A call that overtook a later one says nothing new; but a later phase always holds.
  entry->record.phase = phase;
  entry->record.version = version;
  SetListed(entry, phase != WorkerPhase::kGone && (entry->listed || returned || address_changed));
  if (entry->listed) ClaimAddress(entry, true);
  AddToDigest(entry);
  return true;
}

bool WorkerState::Add(const WorkerRecord& record, Micros last_heartbeat, bool listed) {
  Entry& entry = shards_[WorkerTable::ShardOf(record.worker_id)][record.worker_id];
  entry.record = record;
  entry.record.version = std::max<std::uint64_t>({record.version, record.call_seq, 1});
  entry.last_heartbeat = last_heartbeat;
  entry.last_seq = record.call_seq;
  SetListed(&entry, listed);
  if (listed) ClaimAddress(&entry, true);
  AddToDigest(&entry);
  return true;
}

bool WorkerState::Depart(Micros now, const std::string& worker_id) {
  WorkerRecord record;
  record.worker_id = worker_id;
  record.phase = WorkerPhase::kGone;
  return Merge(now, record, 0);
}

void WorkerState::Restore(Micros now, const WorkerRecord& record) { Add(record, now, false); }

void WorkerState::TakeOver(Micros now, const std::string& worker_id) {
  Entry* entry = FindEntry(worker_id);
  if (entry == nullptr || entry->record.phase == WorkerPhase::kGone) return;
  RemoveFromDigest(entry);
  entry->record.receiver = options_.self;
  ++entry->record.version;
  entry->last_heartbeat = now;
  entry->orphaned_since = 0;
  AddToDigest(entry);
}

// ---------------------------------------------------------------- records of other nodes

bool WorkerState::Adopt(Micros now, const WorkerUpdate::Item& item) {
  WorkerRecord record = item.record;
  record.warm_at = now + item.warm_left_ms * kMs;
  const Micros heartbeat_age = std::max<Micros>(item.heartbeat_age_ms, 0) * kMs;
  const Micros since = now - heartbeat_age;
  Entry* entry = FindEntry(record.worker_id);
  if (entry == nullptr) {
    if ((HasEnded(record) || item.orphaned) && heartbeat_age >= options_.departed_retention / 2)
      return false;
    entry = &shards_[WorkerTable::ShardOf(record.worker_id)][record.worker_id];
    entry->record.worker_id = record.worker_id;
    entry->record.phase = record.phase;
    entry->record.version = 0;
  }
  const bool newer = IsNewer(record, entry->record);
  const WorkerPhase phase = std::max(entry->record.phase, record.phase);
  if (!newer && phase == entry->record.phase) return false;
  RemoveFromDigest(entry);
  // This node has just begun to take its heartbeats, or has forgotten when they came.
  const bool own = record.receiver == options_.self;
  entry->last_heartbeat = std::max(entry->last_heartbeat, own && !HasEnded(record) ? now : since);
  entry->last_seq = std::max(entry->last_seq, record.call_seq);
  bool listed = entry->listed;
  if (newer) {
    if (record.address != entry->record.address) SetListed(entry, false);
    entry->record = record;
    entry->orphaned_since = item.orphaned ? since : 0;
    const bool is_restored = record.address.empty();  // the worker has not called since
    listed = !is_restored && (!item.orphaned || heartbeat_age < options_.expiry);
  }
  entry->record.phase = phase;
  SetListed(entry, listed && !HasEnded(entry->record));
  if (entry->listed) ClaimAddress(entry, false);
  AddToDigest(entry);
  return true;
}

// An address belongs to one worker at a time: whoever had it before has most likely ended. It is
// not taken for gone, since the record may be the late one; its next heartbeat would list it again.
void WorkerState::ClaimAddress(Entry* entry, bool always) {
  const std::string& address = entry->record.address;
  if (address.empty()) return;
  std::string& owner = address_owners_[address];
  if (!owner.empty() && owner != entry->record.worker_id) {
    Entry* other = FindEntry(owner);
    const bool held = other != nullptr && other->listed && other->record.address == address;
    if (held && !always && other->last_heartbeat > entry->last_heartbeat)
      return SetListed(entry, false);
    if (held) SetListed(other, false);
  }
  address_owners_[address] = entry->record.worker_id;
}

// ---------------------------------------------------------------- time

Micros WorkerState::ExpiryBase(const Entry& entry) const {
  return entry.orphaned_since != 0 && !HasEnded(entry.record) ? entry.orphaned_since
                                                              : entry.last_heartbeat;
}

bool WorkerState::ExpireOne(Micros now, Entry* entry) {
  WorkerRecord& record = entry->record;
  if (HasEnded(record)) return false;
  const bool own = !record.receiver.empty() && record.receiver == options_.self;
  if (own && entry->last_heartbeat + options_.expiry <= now) {
    RemoveFromDigest(entry);
    record.lost = true;
    SetListed(entry, false);
    AddToDigest(entry);
    lost_.push_back(record.worker_id);
    return true;
  }
  if (own || ReceiverIsLive(record.receiver)) {
    entry->orphaned_since = 0;
    return false;
  }
  if (entry->orphaned_since == 0) entry->orphaned_since = now;
  if (record.receiver.empty())
    entry->orphaned_since = entry->last_heartbeat;  // nobody was to take them
  if (!entry->listed || entry->orphaned_since + options_.expiry > now) return false;
  SetListed(entry, false);
  return true;
}

bool WorkerState::ReceiverIsLive(const std::string& receiver) {
  if (receiver.empty() || options_.receiver_is_live == nullptr) return false;
  const auto [found, fresh] = live_receivers_.try_emplace(receiver, false);
  if (fresh) found->second = options_.receiver_is_live(receiver);
  return found->second;
}

bool WorkerState::Expire(Micros now) {
  bool changed = false;
  live_receivers_.clear();
  for (Shard& shard : shards_) {
    for (auto it = shard.begin(); it != shard.end();) {
      Entry& entry = it->second;
      changed = ExpireOne(now, &entry) || changed;
      const bool ended = HasEnded(entry.record) || (entry.orphaned_since != 0 && !entry.listed);
      const Micros age = ended ? now - ExpiryBase(entry) : 0;
      // It leaves the digest well before any node forgets it, so that no repair brings it back.
      if (age >= options_.departed_retention / 2) RemoveFromDigest(&entry);
      if (age < options_.departed_retention) {
        ++it;
        continue;
      }
      const auto owner = address_owners_.find(entry.record.address);
      if (owner != address_owners_.end() && owner->second == it->first)
        address_owners_.erase(owner);
      it = shard.erase(it);
    }
  }
  return changed;
}

std::vector<std::string> WorkerState::TakeLost() { return std::exchange(lost_, {}); }

// ---------------------------------------------------------------- reads

WorkerState::Entry* WorkerState::FindEntry(const std::string& worker_id) {
  Shard& shard = shards_[WorkerTable::ShardOf(worker_id)];
  const auto found = shard.find(worker_id);
  return found == shard.end() ? nullptr : &found->second;
}

const WorkerRecord* WorkerState::Find(const std::string& worker_id) const {
  const Shard& shard = shards_[WorkerTable::ShardOf(worker_id)];
  const auto found = shard.find(worker_id);
  return found == shard.end() ? nullptr : &found->second.record;
}

WorkerUpdate::Item WorkerState::ExportEntry(Micros now, const Entry& entry) const {
  return {entry.record, std::max<Micros>(0, entry.record.warm_at - now) / kMs,
          (now - ExpiryBase(entry)) / kMs, entry.orphaned_since != 0};
}

WorkerUpdate::Item WorkerState::ExportOne(Micros now, const std::string& worker_id) const {
  return ExportEntry(now, shards_[WorkerTable::ShardOf(worker_id)].at(worker_id));
}

std::vector<WorkerUpdate::Item> WorkerState::Export(Micros now) const {
  std::vector<WorkerUpdate::Item> items;
  items.reserve(size());
  for (const Shard& shard : shards_)
    for (const auto& [id, entry] : shard) items.push_back(ExportEntry(now, entry));
  return items;
}

std::size_t WorkerState::size() const {
  std::size_t sum = 0;
  for (const Shard& shard : shards_) sum += shard.size();
  return sum;
}

void WorkerState::SetListed(Entry* entry, bool listed) {
  if (entry->listed || listed) dirty_[WorkerTable::ShardOf(entry->record.worker_id)] = true;
  entry->listed = listed;
}

std::shared_ptr<const WorkerTable> WorkerState::BuildTable() {
  auto next = std::make_shared<WorkerTable>(*table_);
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (!std::exchange(dirty_[i], false)) continue;
    WorkerTable::Shard listed;
    listed.reserve(shards_[i].size());
    for (const auto& [id, entry] : shards_[i])
      if (entry.listed) listed.emplace(id, entry.record);
    next->SetShard(i, std::move(listed));
  }
  table_ = std::move(next);
  return table_;
}

// ---------------------------------------------------------------- digests

void WorkerState::RemoveFromDigest(Entry* entry) {
  if (!std::exchange(entry->in_digest, false)) return;
  digests_.Remove(entry->record);
}

void WorkerState::AddToDigest(Entry* entry) {
  entry->in_digest = true;
  digests_.Add(entry->record);
}

std::vector<DigestEntry> WorkerState::Entries(std::size_t shard) const {
  std::vector<DigestEntry> entries;
  entries.reserve(shards_[shard].size());
  for (const auto& [id, entry] : shards_[shard])
    if (entry.in_digest) entries.push_back({HashOf(id), WorkerDigests::RecordHash(entry.record)});
  return entries;
}

void WorkerState::Compare(Micros now, const RepairRequest::Shard& other, std::size_t max_count,
                          RepairResponse* response) const {
  if (other.index >= shards_.size()) return;
  std::unordered_map<std::uint64_t, std::uint64_t> theirs;
  for (const DigestEntry& entry : other.entries) theirs[entry.worker] = entry.state;
  for (const auto& [id, entry] : shards_[other.index]) {
    const auto found = theirs.find(HashOf(id));
    const bool same =
        found != theirs.end() && found->second == WorkerDigests::RecordHash(entry.record);
    if (found != theirs.end()) {
      if (!same) response->wanted.push_back(found->first);
      theirs.erase(found);
    }
    if (same || !entry.in_digest) continue;
    if (response->update.items.size() < max_count)
      response->update.items.push_back(ExportEntry(now, entry));
    else
      response->more = true;
  }
  for (const auto& [worker, state] : theirs) response->wanted.push_back(worker);
}

std::vector<WorkerUpdate::Item> WorkerState::ExportHashed(
    Micros now, const std::vector<std::uint64_t>& workers) const {
  std::vector<WorkerUpdate::Item> items;
  for (const std::uint64_t worker : workers)
    for (const auto& [id, entry] : shards_[worker % shards_.size()])
      if (HashOf(id) == worker) items.push_back(ExportEntry(now, entry));
  return items;
}

}  // namespace pearreach::registry
