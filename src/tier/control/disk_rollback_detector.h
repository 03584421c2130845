// Whether this node's disk may take part in the control state: it must not have been put back in
// time (disk_use.h). What is known of the disks rides on the signs that quorum members ask one
// another for.
#ifndef PEARREACH_SRC_TIER_CONTROL_DISK_ROLLBACK_DETECTOR_H_
#define PEARREACH_SRC_TIER_CONTROL_DISK_ROLLBACK_DETECTOR_H_

#include <map>
#include <set>
#include <string>

#include "tier/control/disk_use.h"
#include "tier/control/record_writer.h"
#include "tier/coordination/chain.h"

namespace pearreach::control {

class DiskRollbackDetector {
 public:
  explicit DiskRollbackDetector(std::string self) : self_(std::move(self)) {}
  // This node's disk, how far its use is synced, and what was found on it at the start.
  void SetDisk(std::string disk_id, const RecordWriter* writer);

  const std::string& disk_id() const { return disk_id_; }
  // As far as it is synced; nothing before the first write of this process.
  DiskUse OwnUse() const { return writer_ == nullptr ? DiskUse() : writer_->synced(); }

  // A member tells of its own disk. Returns what was known of that before.
  DiskUse RecordPeerDisk(const std::string& member, const std::string& disk_id, const DiskUse& use);
  // A member that has been told of this process's start had heard that much of this node's disk.
  void OnPeerReport(const std::string& member, const DiskUse& reported);

  // Members that make a majority of the view with this node have heard nothing of its disk that is
  // not on it. Once true, it stays so until the disk turns out to be old.
  bool IsChecked(const coordination::View& view);
  // A member has heard of later use of this node's disk.
  bool is_rolled_back() const { return is_rolled_back_; }

 private:
  struct KnownDisk {
    std::string disk_id;
    DiskUse use;
  };
  const std::string self_;
  std::string disk_id_;
  const RecordWriter* writer_ = nullptr;
  std::map<std::string, KnownDisk> known_disks_;  // by member
  std::set<std::string> reporting_members_;  // members that have answered about this node's disk
  bool is_checked_ = false, is_rolled_back_ = false;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_DISK_ROLLBACK_DETECTOR_H_
