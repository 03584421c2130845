#include "tier/control/disk_check.h"

#include <algorithm>
#include <utility>

#include "tier/logging/log.h"

namespace pearreach::control {

void DiskCheck::SetDisk(std::string disk_id, const RecordWriter* writer) {
  disk_id_ = std::move(disk_id);
  writer_ = writer;
}

DiskUse DiskCheck::Note(const std::string& member, const std::string& disk_id, const DiskUse& use) {
  if (use.starts == 0) return {};
  HeardOf& heard = heard_of_[member];
  if (heard.disk_id != disk_id) heard = {disk_id, {}};
  return std::exchange(heard.use, Later(heard.use, use));
}

void DiskCheck::Told(const std::string& member, const DiskUse& heard) {
  asked_.insert(member);
  if (is_old_ || !IsBehind(writer_->found(), OwnUse(), heard)) return;
  is_old_ = true;
  logging::Error("control", "the disk was put back in time",
                 {logging::F("heard_by", member), logging::F("heard_writes", heard.writes),
                  logging::F("found_writes", writer_->found().writes)});
}

bool DiskCheck::IsChecked(const coordination::View& view) {
  if (is_old_) return false;
  if (is_checked_) return true;
  const auto& members = view.members;
  const auto checked = std::count_if(members.begin(), members.end(), [this](const auto& id) {
    return id.name == self_ || asked_.count(id.name) > 0;
  });
  is_checked_ = members.empty() || 2 * static_cast<std::size_t>(checked) > members.size();
  return is_checked_;
}

}  // namespace pearreach::control
