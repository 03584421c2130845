#include "node/cli/ban_list.h"

namespace pearreach::cli {
namespace {

constexpr Micros kLookEvery = 100 * kMs;  // a ban reaches the other process so soon

}  // namespace

BanList::BanList(Node* node, const std::string& file)
    : node_(node), look_([this] {
        ReadFile();
        look_.Set(Now() + kLookEvery);
      }) {
  if (file.empty()) return;
  file_.emplace(file);
  by_hand_ = file_->Load();
  Apply();
  look_.Set(Now() + kLookEvery);
}

bool BanList::SetByHand(const std::string& id, bool banned) {
  ReadFile();
  if (!(banned ? node_->Ban(id) : node_->Unban(id))) return false;
  if (banned)
    by_hand_.insert(id);
  else
    by_hand_.erase(id);
  Apply();
  if (file_) file_->Save(by_hand_);
  return true;
}

void BanList::SetByRules(const std::set<std::string>& ids) {
  by_rules_ = ids;
  Apply();
}

void BanList::ReadFile() {
  if (!file_ || !file_->Changed()) return;
  by_hand_ = file_->Load();
  Apply();
}

void BanList::Apply() {
  admin::Bans all = by_hand_;
  all.insert(by_rules_.begin(), by_rules_.end());
  node_->SetBans(all);
}

}  // namespace pearreach::cli
