#include "registry/worker_state.h"

#include <algorithm>

namespace pearreach::registry {

bool WorkerState::Merge(Micros now, const WorkerRecord& record, Micros unheard) {
  const Micros heard = now - std::max<Micros>(unheard, 0);
  const auto [it, added] = known_.try_emplace(record.worker_id);
  Known& known = it->second;
  if (added) {
    known.record = record;
    known.heard = heard;
    known.listed = record.phase != WorkerPhase::kGone && heard + options_.expiry > now;
    DropOthersAt(record);
    return true;
  }
  const bool was_listed = known.listed;
  // Only a later sign of life brings a worker back that expired or whose address another one had.
  if (heard > known.heard && known.record.phase != WorkerPhase::kGone &&
      heard + options_.expiry > now)
    known.listed = true;
  known.heard = std::max(known.heard, heard);
  // A call that overtook a later one says nothing new; but a later phase always holds.
  const bool later = record.call_seq > known.record.call_seq;
  const WorkerPhase phase = std::max(known.record.phase, record.phase);
  bool changed = phase != known.record.phase || known.listed != was_listed;
  if (later) {
    const bool moved = record.address != known.record.address;
    changed = changed || (moved && phase != WorkerPhase::kGone);
    known.record = record;
  }
  known.record.phase = phase;
  if (phase == WorkerPhase::kGone) known.listed = false;
  if (changed) DropOthersAt(known.record);
  return changed;
}

bool WorkerState::Depart(Micros now, const std::string& worker_id) {
  WorkerRecord record;
  record.worker_id = worker_id;
  record.phase = WorkerPhase::kGone;
  return Merge(now, record, 0);
}

void WorkerState::Touch(Micros now, const std::string& worker_id, std::uint64_t call_seq) {
  const auto found = known_.find(worker_id);
  if (found == known_.end()) return;
  found->second.heard = now;
  found->second.record.call_seq = std::max(found->second.record.call_seq, call_seq);
}

bool WorkerState::Covers(const WorkerSummary::Item& item) const {
  const auto found = known_.find(item.worker_id);
  if (found == known_.end()) return false;
  const Known& known = found->second;
  return known.record.phase >= item.phase &&
         (known.listed || known.record.phase == WorkerPhase::kGone);
}

bool WorkerState::Expire(Micros now) {
  bool changed = false;
  for (auto it = known_.begin(); it != known_.end();) {
    Known& known = it->second;
    if (known.listed && known.heard + options_.expiry <= now) {
      known.listed = false;
      changed = true;
    }
    it = known.heard + options_.keep_departed <= now ? known_.erase(it) : std::next(it);
  }
  return changed;
}

const WorkerRecord* WorkerState::Find(const std::string& worker_id) const {
  const auto found = known_.find(worker_id);
  return found == known_.end() ? nullptr : &found->second.record;
}

WorkerUpdate::Item WorkerState::ExportOne(Micros now, const std::string& worker_id) const {
  const Known& known = known_.at(worker_id);
  return {known.record, std::max<Micros>(0, known.record.warm_at - now) / kMs,
          (now - known.heard) / kMs};
}

std::vector<WorkerUpdate::Item> WorkerState::Export(Micros now) const {
  std::vector<WorkerUpdate::Item> items;
  items.reserve(known_.size());
  for (const auto& [id, known] : known_) items.push_back(ExportOne(now, id));
  return items;
}

std::shared_ptr<const WorkerTable> WorkerState::BuildTable() const {
  auto table = std::make_shared<WorkerTable>();
  for (const auto& [id, known] : known_)
    if (known.listed) table->emplace(id, known.record);
  return table;
}

// An address belongs to one worker at a time: whoever had it before has most likely ended. It is
// not taken for gone, since the record may be the late one; its next heartbeat would list it again.
void WorkerState::DropOthersAt(const WorkerRecord& record) {
  if (record.phase == WorkerPhase::kGone || record.address.empty()) return;
  for (auto& [id, known] : known_) {
    if (id == record.worker_id || known.record.address != record.address) continue;
    known.listed = false;
  }
}

}  // namespace pearreach::registry
