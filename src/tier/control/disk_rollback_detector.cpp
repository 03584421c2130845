#include "tier/control/disk_rollback_detector.h"

#include <algorithm>
#include <utility>

#include "tier/logging/log.h"

namespace pearreach::control {

void DiskRollbackDetector::SetDisk(std::string disk_id, const RecordWriter* writer) {
  disk_id_ = std::move(disk_id);
  writer_ = writer;
}

DiskUse DiskRollbackDetector::RecordPeerDisk(const std::string& member, const std::string& disk_id,
                                             const DiskUse& use) {
  if (use.starts == 0) return {};
  KnownDisk& reported = known_disks_[member];
  if (reported.disk_id != disk_id) reported = {disk_id, {}};
  return std::exchange(reported.use, MergeDiskUse(reported.use, use));
}

void DiskRollbackDetector::OnPeerReport(const std::string& member, const DiskUse& reported) {
  reporting_members_.insert(member);
  if (is_rolled_back_ || !IsRolledBack(writer_->found(), OwnUse(), reported)) return;
  is_rolled_back_ = true;
  logging::Error("control", "the disk was rolled back to an earlier state",
                 {logging::F("reported_by", member), logging::F("reported_writes", reported.writes),
                  logging::F("found_writes", writer_->found().writes)});
}

bool DiskRollbackDetector::IsChecked(const coordination::View& view) {
  if (is_rolled_back_) return false;
  if (is_checked_) return true;
  const auto& members = view.members;
  const auto checked = std::count_if(members.begin(), members.end(), [this](const auto& id) {
    return id.name == self_ || reporting_members_.count(id.name) > 0;
  });
  is_checked_ = members.empty() || 2 * static_cast<std::size_t>(checked) > members.size();
  return is_checked_;
}

}  // namespace pearreach::control
