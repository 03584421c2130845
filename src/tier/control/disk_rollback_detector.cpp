#include "tier/control/disk_rollback_detector.h"

#include <algorithm>
#include <utility>

#include "tier/logging/log.h"

namespace pearreach::control {

void DiskRollbackDetector::SetDisk(std::string disk_id, RecordWriter* writer) {
  disk_id_ = std::move(disk_id);
  writer_ = writer;
  known_disks_ = writer->found_peer_disks();
}

DiskUse DiskRollbackDetector::RecordPeerDisk(const std::string& member, const std::string& disk_id,
                                             const DiskUse& use) {
  if (use.starts == 0) return {};
  PeerDisk& known = known_disks_[member];
  const PeerDisk before = known.disk_id == disk_id ? known : PeerDisk{disk_id, {}};
  known = {disk_id, MergeDiskUse(before.use, use)};
  if (writer_ != nullptr && known != before) writer_->SetPeerDisks(known_disks_);
  return before.use;
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
