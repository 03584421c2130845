// The node's workers: their list, and which of them are banned or shut.
#include <algorithm>
#include <utility>

#include "node/engine/node.h"

namespace pearreach {

dispatch::WorkerId Node::IdOf(const std::string& name) {
  const auto [it, fresh] = ids_.try_emplace(name, static_cast<dispatch::WorkerId>(names_.size()));
  if (fresh) names_.push_back(name), started_ms_.push_back(0);
  return it->second;
}

void Node::OnListing(const Listing& list) {
  dispatch::WorkerList news;
  news.form =
      list.full ? dispatch::WorkerList::Form::kComplete : dispatch::WorkerList::Form::kChanges;
  if (list.full) hosts_.clear();
  for (const ServerEntry& s : list.servers) {
    dispatch::WorkerEntry e;
    e.worker = IdOf(s.id);
    e.identity = dispatch::HashName(s.id);
    e.zone = dispatch::IndexOf(site_.zones, s.zone);
    e.kind = dispatch::IndexOf(site_.kinds, s.kind);
    if (e.kind < 0 && s.health != dispatch::Health::kGone)
      CountFault("bad_list_entry", s.id + " is of unknown kind '" + s.kind + "'");
    e.cell = s.cell;
    e.health = s.health;
    e.weight = s.weight;
    e.ready_at = FromUnixMs(s.started_ms);
    if (s.health == dispatch::Health::kGone)
      workers_.Remove(e.worker);
    else
      workers_.SetAddress(e.worker, s.address);
    started_ms_[e.worker] = s.started_ms;
    if (witness_ != nullptr && s.health == dispatch::Health::kGone) witness_->OnGone(s.id);
    if (witness_ != nullptr && s.health != dispatch::Health::kGone)
      witness_->OnListed(
          s.id, {e.zone, e.kind, e.weight, s.started_ms, s.health == dispatch::Health::kInService});
    if (s.health == dispatch::Health::kGone) {
      hosts_.erase(e.worker);
    } else {
      hosts_[e.worker] = e;
      if (Barred(s.id)) e.health = dispatch::Health::kDraining;
    }
    news.entries.push_back(e);
  }
  Count("lists");
  listed_ = true;
  capture::Note note;
  note.version = list.version;
  Post(std::move(news), std::move(note));
  if (recall_) HandRecall(list);
  if (first_list_) std::exchange(first_list_, nullptr)();
}

bool Node::Ban(const std::string& id) {
  const auto it = ids_.find(id);
  if (it == ids_.end()) return false;
  if (banned_.insert(id).second) {
    Count("bans");
    PostHealth(it->second);
  }
  return true;
}

bool Node::Unban(const std::string& id) {
  const auto it = ids_.find(id);
  if (it == ids_.end() && !banned_.contains(id)) return false;
  if (banned_.erase(id) > 0 && it != ids_.end()) {
    Count("bans_ended");
    PostHealth(it->second);
  }
  return true;
}

void Node::SetZoneDrain(const std::string& worker, bool shut) {
  const auto it = ids_.find(worker);
  if ((shut ? shut_.insert(worker).second : shut_.erase(worker) > 0) && it != ids_.end())
    PostHealth(it->second);
}

void Node::SetBans(const std::set<std::string>& ids) {
  std::vector<std::string> changed;
  std::set_symmetric_difference(ids.begin(), ids.end(), banned_.begin(), banned_.end(),
                                std::back_inserter(changed));
  banned_ = ids;
  for (const std::string& id : changed)
    if (const auto it = ids_.find(id); it != ids_.end()) PostHealth(it->second);
}

std::size_t Node::hosts_down() const {
  std::size_t down = 0;
  for (const auto& [worker, entry] : hosts_)
    down += entry.health != dispatch::Health::kInService || banned_.contains(NameOf(worker));
  return down;
}

// A change of one worker, as the list would tell it; nothing where no list names it now.
void Node::PostHealth(dispatch::WorkerId worker) {
  const auto it = hosts_.find(worker);
  if (it == hosts_.end()) return;
  dispatch::WorkerList news;
  news.form = dispatch::WorkerList::Form::kChanges;
  news.entries.push_back(it->second);
  if (Barred(NameOf(worker))) news.entries.back().health = dispatch::Health::kDraining;
  Post(std::move(news));
}

}  // namespace pearreach
