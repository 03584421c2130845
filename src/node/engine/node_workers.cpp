// The node's workers: the list, bans, and zone drains.
#include <algorithm>
#include <utility>

#include "node/engine/node.h"

namespace pearreach {

dispatch::WorkerId Node::WorkerIdOf(const std::string& name) {
  const auto [it, inserted] =
      worker_ids_.try_emplace(name, static_cast<dispatch::WorkerId>(worker_names_.size()));
  if (inserted) worker_names_.push_back(name), process_started_ms_.push_back(0);
  return it->second;
}

void Node::OnListing(const Listing& list) {
  dispatch::WorkerList change;
  change.form =
      list.full ? dispatch::WorkerList::Form::kComplete : dispatch::WorkerList::Form::kChanges;
  if (list.full) listed_workers_.clear();
  for (const ServerEntry& s : list.servers) {
    dispatch::WorkerEntry e;
    e.worker = WorkerIdOf(s.id);
    e.identity = dispatch::HashName(s.id);
    e.zone = dispatch::IndexOf(site_.zones, s.zone);
    e.kind = dispatch::IndexOf(site_.kinds, s.kind);
    if (e.kind < 0 && s.health != dispatch::Health::kGone)
      CountFault("bad_list_entry", "worker " + s.id + " has the unknown kind '" + s.kind + "'");
    e.cell = s.cell;
    e.health = s.health;
    e.weight = s.weight;
    e.ready_at = FromUnixMs(s.started_ms);
    if (s.health == dispatch::Health::kGone)
      workers_.Remove(e.worker);
    else
      workers_.SetAddress(e.worker, s.address);
    process_started_ms_[e.worker] = s.started_ms;
    if (observer_ != nullptr && s.health == dispatch::Health::kGone) observer_->OnGone(s.id);
    if (observer_ != nullptr && s.health != dispatch::Health::kGone)
      observer_->OnListed(
          s.id, {e.zone, e.kind, e.weight, s.started_ms, s.health == dispatch::Health::kInService});
    if (s.health == dispatch::Health::kGone) {
      listed_workers_.erase(e.worker);
    } else {
      listed_workers_[e.worker] = e;
      if (IsDrained(s.id)) e.health = dispatch::Health::kDraining;
    }
    change.entries.push_back(e);
  }
  Count("lists");
  listed_ = true;
  capture::Note note;
  note.version = list.version;
  Post(std::move(change), std::move(note));
  if (restored_knowledge_) PostRestoredKnowledge(list);
  if (on_first_listing_) std::exchange(on_first_listing_, nullptr)();
}

bool Node::Ban(const std::string& id) {
  const auto it = worker_ids_.find(id);
  if (it == worker_ids_.end()) return false;
  if (banned_.insert(id).second) {
    Count("bans");
    PostHealth(it->second);
  }
  return true;
}

bool Node::Unban(const std::string& id) {
  const auto it = worker_ids_.find(id);
  if (it == worker_ids_.end() && !banned_.contains(id)) return false;
  if (banned_.erase(id) > 0 && it != worker_ids_.end()) {
    Count("bans_ended");
    PostHealth(it->second);
  }
  return true;
}

void Node::SetZoneDrain(const std::string& worker, bool drained) {
  const auto it = worker_ids_.find(worker);
  if ((drained ? zone_drained_.insert(worker).second : zone_drained_.erase(worker) > 0) &&
      it != worker_ids_.end())
    PostHealth(it->second);
}

void Node::SetBans(const std::set<std::string>& ids) {
  std::vector<std::string> changed;
  std::set_symmetric_difference(ids.begin(), ids.end(), banned_.begin(), banned_.end(),
                                std::back_inserter(changed));
  banned_ = ids;
  for (const std::string& id : changed)
    if (const auto it = worker_ids_.find(id); it != worker_ids_.end()) PostHealth(it->second);
}

std::size_t Node::hosts_down() const {
  std::size_t down = 0;
  for (const auto& [worker, entry] : listed_workers_)
    down += entry.health != dispatch::Health::kInService || banned_.contains(WorkerName(worker));
  return down;
}

// Posts a list change for one worker. Has no effect if the worker is not on the list.
void Node::PostHealth(dispatch::WorkerId worker) {
  const auto it = listed_workers_.find(worker);
  if (it == listed_workers_.end()) return;
  dispatch::WorkerList change;
  change.form = dispatch::WorkerList::Form::kChanges;
  change.entries.push_back(it->second);
  if (IsDrained(WorkerName(worker))) change.entries.back().health = dispatch::Health::kDraining;
  Post(std::move(change));
}

}  // namespace pearreach
