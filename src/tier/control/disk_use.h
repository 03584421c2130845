// How far the disk of a quorum member has been used. The member records it with each write of its
// records and reports it to its peers. They remember it and report it back to a process that
// starts: a disk that was rolled back (an older directory, a restored image) has been used less
// than its peers know, and the promises that it has made since are lost, so it must not take part.
// Plain values, thread-compatible.
#ifndef PEARREACH_SRC_TIER_CONTROL_DISK_USE_H_
#define PEARREACH_SRC_TIER_CONTROL_DISK_USE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace pearreach::control {

struct DiskUse {
  std::uint64_t starts = 0;    // of processes on this disk; 0: unknown
  std::uint64_t instance = 0;  // random id of the last of them
  std::uint64_t writes = 0;    // that were synced
  bool operator==(const DiskUse&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& starts& instance& writes;
  }
};

// What is known of the use of another member's disk.
struct PeerDisk {
  std::string disk_id;
  DiskUse use;
  bool operator==(const PeerDisk&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& disk_id& use;
  }
};
using PeerDisks = std::map<std::string, PeerDisk>;  // by member

// Whether a disk was rolled back. `found`: on disk when the current process started. `own`: of that
// process. `reported`: what another member knows of the disk; its instance may be the current
// process already, but its writes are the most that the member has ever been told of.
inline bool IsRolledBack(const DiskUse& found, const DiskUse& own, const DiskUse& reported) {
  if (reported.starts == 0) return false;
  if (reported.instance == own.instance) return reported.writes > own.writes;
  return reported.starts > found.starts || reported.writes > found.writes;
}

// The latest use of a disk, from what is `known` and what is `reported` now.
inline DiskUse MergeDiskUse(const DiskUse& known, const DiskUse& reported) {
  const bool same = reported.starts == known.starts && reported.instance == known.instance;
  DiskUse later = reported.starts > known.starts || same ? reported : known;
  later.writes = std::max(known.writes, reported.writes);
  return later;
}

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_DISK_USE_H_
