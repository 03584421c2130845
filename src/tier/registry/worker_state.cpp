#include "tier/registry/worker_state.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pearreach::registry {
namespace {

std::uint64_t Mix(std::uint64_t hash, std::uint64_t value) {
  hash = (hash ^ value) * 0x9e3779b97f4a7c15ull;
  return hash ^ hash >> 29;
}

bool Ended(const WorkerRecord& record) { return record.phase == WorkerPhase::kGone || record.lost; }

bool Newer(const WorkerRecord& a, const WorkerRecord& b) {
  return std::tie(a.version, a.lost, a.taker) > std::tie(b.version, b.lost, b.taker);
}

}  // namespace

// ---------------------------------------------------------------- heartbeats

bool WorkerState::Merge(Micros now, const WorkerRecord& record, Micros unheard) {
  const Micros heard = now - std::max<Micros>(unheard, 0);
  Known* known = FindKnown(record.worker_id);
  if (known == nullptr) {
    const bool alive = record.phase != WorkerPhase::kGone && heard + options_.expiry > now;
    return Add(record, heard, alive);
  }
  const bool later = record.call_seq > known->last_seq;
  const WorkerPhase phase = std::max(known->record.phase, record.phase);
  // Only a later sign of life brings a worker back that expired or whose address another one had.
  const bool back = !known->listed && later && heard > known->heard &&
                    phase != WorkerPhase::kGone && heard + options_.expiry > now;
  const bool moved =
      later && phase != WorkerPhase::kGone && record.address != known->record.address;
  const bool retaken = later && phase != WorkerPhase::kGone && record.taker != known->record.taker;
  known->heard = std::max(known->heard, heard);
  known->last_seq = std::max(known->last_seq, record.call_seq);
  if (phase == known->record.phase && !back && !moved && !retaken) return false;

  Uncount(known);
  const std::uint64_t version = std::max(known->record.version + 1, record.call_seq);
  if (later) {
    SetListed(known, known->listed && !moved);
    known->record = record;
    known->record.lost = false;
    known->orphaned = 0;
  }
  // A call that overtook a later one says nothing new; but a later phase always holds.
  known->record.phase = phase;
  known->record.version = version;
  SetListed(known, phase != WorkerPhase::kGone && (known->listed || back || moved));
  if (known->listed) ClaimAddress(known, true);
  Recount(known);
  return true;
}

bool WorkerState::Add(const WorkerRecord& record, Micros heard, bool listed) {
  Known& known = shards_[WorkerTable::ShardOf(record.worker_id)][record.worker_id];
  known.record = record;
  known.record.version = std::max<std::uint64_t>({record.version, record.call_seq, 1});
  known.heard = heard;
  known.last_seq = record.call_seq;
  SetListed(&known, listed);
  if (listed) ClaimAddress(&known, true);
  Recount(&known);
  return true;
}

bool WorkerState::Depart(Micros now, const std::string& worker_id) {
  WorkerRecord record;
  record.worker_id = worker_id;
  record.phase = WorkerPhase::kGone;
  return Merge(now, record, 0);
}

void WorkerState::TakeOver(Micros now, const std::string& worker_id) {
  Known* known = FindKnown(worker_id);
  if (known == nullptr || known->record.phase == WorkerPhase::kGone) return;
  Uncount(known);
  known->record.taker = options_.self;
  ++known->record.version;
  known->heard = now;
  known->orphaned = 0;
  Recount(known);
}

// ---------------------------------------------------------------- what other nodes say

bool WorkerState::Adopt(Micros now, const WorkerUpdate::Item& item) {
  WorkerRecord record = item.record;
  record.warm_at = now + item.warm_left_ms * kMs;
  const Micros unheard = std::max<Micros>(item.heartbeat_age_ms, 0) * kMs;
  const Micros since = now - unheard;
  Known* known = FindKnown(record.worker_id);
  if (known == nullptr) {
    if ((Ended(record) || item.orphaned) && unheard >= options_.keep_departed / 2) return false;
    known = &shards_[WorkerTable::ShardOf(record.worker_id)][record.worker_id];
    known->record.worker_id = record.worker_id;
    known->record.phase = record.phase;
    known->record.version = 0;
  }
  const bool newer = Newer(record, known->record);
  const WorkerPhase phase = std::max(known->record.phase, record.phase);
  if (!newer && phase == known->record.phase) return false;
  Uncount(known);
  // This node has just begun to take its heartbeats, or has forgotten when they came.
  const bool own = record.taker == options_.self;
  known->heard = std::max(known->heard, own && !Ended(record) ? now : since);
  known->last_seq = std::max(known->last_seq, record.call_seq);
  bool listed = known->listed;
  if (newer) {
    if (record.address != known->record.address) SetListed(known, false);
    known->record = record;
    known->orphaned = item.orphaned ? since : 0;
    listed = !item.orphaned || unheard < options_.expiry;
  }
  known->record.phase = phase;
  SetListed(known, listed && !Ended(known->record));
  if (known->listed) ClaimAddress(known, false);
  Recount(known);
  return true;
}

// An address belongs to one worker at a time: whoever had it before has most likely ended. It is
// not taken for gone, since the record may be the late one; its next heartbeat would list it again.
void WorkerState::ClaimAddress(Known* known, bool always) {
  const std::string& address = known->record.address;
  if (address.empty()) return;
  std::string& holder = holders_[address];
  if (!holder.empty() && holder != known->record.worker_id) {
    Known* other = FindKnown(holder);
    const bool held = other != nullptr && other->listed && other->record.address == address;
    if (held && !always && other->heard > known->heard) return SetListed(known, false);
    if (held) SetListed(other, false);
  }
  holders_[address] = known->record.worker_id;
}

// ---------------------------------------------------------------- time

// What the age of a worker that has ended counts from.
Micros WorkerState::Base(const Known& known) const {
  return known.orphaned != 0 && !Ended(known.record) ? known.orphaned : known.heard;
}

bool WorkerState::ExpireOne(Micros now, Known* known) {
  WorkerRecord& record = known->record;
  if (Ended(record)) return false;
  const bool own = !record.taker.empty() && record.taker == options_.self;
  if (own && known->heard + options_.expiry <= now) {
    Uncount(known);
    record.lost = true;
    SetListed(known, false);
    Recount(known);
    lost_.push_back(record.worker_id);
    return true;
  }
  if (own || TakerIsLive(record.taker)) {
    known->orphaned = 0;
    return false;
  }
  if (known->orphaned == 0) known->orphaned = now;
  if (record.taker.empty()) known->orphaned = known->heard;  // nobody was to take them
  if (!known->listed || known->orphaned + options_.expiry > now) return false;
  SetListed(known, false);
  return true;
}

bool WorkerState::TakerIsLive(const std::string& taker) {
  if (taker.empty() || options_.taker_is_live == nullptr) return false;
  const auto [found, fresh] = live_takers_.try_emplace(taker, false);
  if (fresh) found->second = options_.taker_is_live(taker);
  return found->second;
}

bool WorkerState::Expire(Micros now) {
  bool changed = false;
  live_takers_.clear();
  for (Shard& shard : shards_) {
    for (auto it = shard.begin(); it != shard.end();) {
      Known& known = it->second;
      changed = ExpireOne(now, &known) || changed;
      const bool ended = Ended(known.record) || (known.orphaned != 0 && !known.listed);
      const Micros age = ended ? now - Base(known) : 0;
      // It leaves the digest well before any node forgets it, so that none is told of it anew.
      if (age >= options_.keep_departed / 2) Uncount(&known);
      if (age < options_.keep_departed) {
        ++it;
        continue;
      }
      const auto holder = holders_.find(known.record.address);
      if (holder != holders_.end() && holder->second == it->first) holders_.erase(holder);
      it = shard.erase(it);
    }
  }
  return changed;
}

std::vector<std::string> WorkerState::TakeLost() { return std::exchange(lost_, {}); }

// ---------------------------------------------------------------- reads

WorkerState::Known* WorkerState::FindKnown(const std::string& worker_id) {
  Shard& shard = shards_[WorkerTable::ShardOf(worker_id)];
  const auto found = shard.find(worker_id);
  return found == shard.end() ? nullptr : &found->second;
}

const WorkerRecord* WorkerState::Find(const std::string& worker_id) const {
  const Shard& shard = shards_[WorkerTable::ShardOf(worker_id)];
  const auto found = shard.find(worker_id);
  return found == shard.end() ? nullptr : &found->second.record;
}

WorkerUpdate::Item WorkerState::ExportKnown(Micros now, const Known& known) const {
  return {known.record, std::max<Micros>(0, known.record.warm_at - now) / kMs,
          (now - Base(known)) / kMs, known.orphaned != 0};
}

WorkerUpdate::Item WorkerState::ExportOne(Micros now, const std::string& worker_id) const {
  return ExportKnown(now, shards_[WorkerTable::ShardOf(worker_id)].at(worker_id));
}

std::vector<WorkerUpdate::Item> WorkerState::Export(Micros now) const {
  std::vector<WorkerUpdate::Item> items;
  items.reserve(size());
  for (const Shard& shard : shards_)
    for (const auto& [id, known] : shard) items.push_back(ExportKnown(now, known));
  return items;
}

std::size_t WorkerState::size() const {
  std::size_t sum = 0;
  for (const Shard& shard : shards_) sum += shard.size();
  return sum;
}

void WorkerState::SetListed(Known* known, bool listed) {
  if (known->listed || listed) dirty_[WorkerTable::ShardOf(known->record.worker_id)] = true;
  known->listed = listed;
}

std::shared_ptr<const WorkerTable> WorkerState::BuildTable() {
  auto next = std::make_shared<WorkerTable>(*table_);
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (!std::exchange(dirty_[i], false)) continue;
    WorkerTable::Shard listed;
    listed.reserve(shards_[i].size());
    for (const auto& [id, known] : shards_[i])
      if (known.listed) listed.emplace(id, known.record);
    next->SetShard(i, std::move(listed));
  }
  table_ = std::move(next);
  return table_;
}

// ---------------------------------------------------------------- digests

std::uint64_t WorkerState::StateHash(const WorkerRecord& record) {
  std::uint64_t hash = Mix(HashOf(record.worker_id), static_cast<std::uint64_t>(record.phase));
  if (record.phase == WorkerPhase::kGone) return hash;
  hash = Mix(hash, record.version);
  hash = Mix(hash, record.lost ? 1 : 0);
  return Mix(hash, HashOf(record.taker));
}

void WorkerState::Uncount(Known* known) {
  if (!std::exchange(known->counted, false)) return;
  digests_[WorkerTable::ShardOf(known->record.worker_id)] -= StateHash(known->record);
}

void WorkerState::Recount(Known* known) {
  known->counted = true;
  digests_[WorkerTable::ShardOf(known->record.worker_id)] += StateHash(known->record);
}

std::uint64_t WorkerState::Digest() const {
  std::uint64_t total = 0;
  for (const std::uint64_t digest : digests_) total = Mix(total, digest);
  return total;
}

std::vector<DigestEntry> WorkerState::Entries(std::size_t shard) const {
  std::vector<DigestEntry> entries;
  entries.reserve(shards_[shard].size());
  for (const auto& [id, known] : shards_[shard])
    if (known.counted) entries.push_back({HashOf(id), StateHash(known.record)});
  return entries;
}

void WorkerState::Compare(Micros now, const RepairRequest::Shard& other, std::size_t most,
                          RepairResponse* answer) const {
  if (other.index >= shards_.size()) return;
  std::unordered_map<std::uint64_t, std::uint64_t> theirs;
  for (const DigestEntry& entry : other.entries) theirs[entry.worker] = entry.state;
  for (const auto& [id, known] : shards_[other.index]) {
    const auto found = theirs.find(HashOf(id));
    const bool same = found != theirs.end() && found->second == StateHash(known.record);
    if (found != theirs.end()) {
      if (!same) answer->wanted.push_back(found->first);
      theirs.erase(found);
    }
    if (same || !known.counted) continue;
    if (answer->update.items.size() < most)
      answer->update.items.push_back(ExportKnown(now, known));
    else
      answer->more = true;
  }
  for (const auto& [worker, state] : theirs) answer->wanted.push_back(worker);
}

std::vector<WorkerUpdate::Item> WorkerState::ExportHashed(
    Micros now, const std::vector<std::uint64_t>& workers) const {
  std::vector<WorkerUpdate::Item> items;
  for (const std::uint64_t worker : workers)
    for (const auto& [id, known] : shards_[worker % shards_.size()])
      if (HashOf(id) == worker) items.push_back(ExportKnown(now, known));
  return items;
}

}  // namespace pearreach::registry
