// Decides whether this node's disk may take part in the control state: it must not have been rolled
// back to an earlier state (disk_use.h). The heartbeats between quorum members carry what each
// knows of the others' disks. Owned by QuorumConnectivity. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_DISK_ROLLBACK_DETECTOR_H_
#define PEARREACH_SRC_TIER_CONTROL_DISK_ROLLBACK_DETECTOR_H_

#include <set>
#include <string>

#include "tier/control/disk_use.h"
#include "tier/control/record_writer.h"
#include "tier/coordination/chain.h"

namespace pearreach::control {

class DiskRollbackDetector {
 public:
  explicit DiskRollbackDetector(std::string self) : self_(std::move(self)) {}
  // This node's disk. `writer` knows how far its use is synced and what was found on it at the
  // start; it must exist while this is used.
  void SetDisk(std::string disk_id, RecordWriter* writer);

  const std::string& disk_id() const { return disk_id_; }
  // As far as it is synced; empty before the first write of this process.
  DiskUse OwnUse() const { return writer_ == nullptr ? DiskUse() : writer_->synced(); }

  // Records what a member reports of its own disk. Returns what was known of that disk before.
  DiskUse RecordPeerDisk(const std::string& member, const std::string& disk_id, const DiskUse& use);
  // A member that knows of this process's start had recorded `reported` of this node's disk before.
  // REQUIRES: SetDisk was called.
  void OnPeerReport(const std::string& member, const DiskUse& reported);

  // Members that form a majority of the view together with this node know of no use of its disk
  // that is not on it. Once true, it stays so until the disk turns out to be rolled back.
  bool IsChecked(const coordination::View& view);
  // A member knows of later use of this node's disk than the disk does.
  bool is_rolled_back() const { return is_rolled_back_; }
  // This node has no disk, or the disk takes writes (RecordWriter::TakesWrites).
  bool TakesWrites() const { return writer_ == nullptr || writer_->TakesWrites(); }

 private:
  const std::string self_;
  std::string disk_id_;
  RecordWriter* writer_ = nullptr;
  PeerDisks known_disks_;
  std::set<std::string> reporting_members_;  // on this node's disk
  bool is_checked_ = false, is_rolled_back_ = false;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_DISK_ROLLBACK_DETECTOR_H_
