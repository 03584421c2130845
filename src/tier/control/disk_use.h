// How far the disk of a quorum member has been used, as the member writes it with each change of
// its records and tells it to the others. They remember it, and tell it back to a process that
// starts: a disk that was put back in time (an older directory, a restored image) has been used
// less than the others have heard, and what it has promised since is forgotten, so it must not take
// part.
#ifndef PEARREACH_SRC_TIER_CONTROL_DISK_USE_H_
#define PEARREACH_SRC_TIER_CONTROL_DISK_USE_H_

#include <algorithm>
#include <cstdint>

namespace pearreach::control {

struct DiskUse {
  std::uint64_t starts = 0;    // of processes on this disk; 0: nothing is known
  std::uint64_t instance = 0;  // a random name of the last of them
  std::uint64_t writes = 0;    // that were synced
  bool operator==(const DiskUse&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& starts& instance& writes;
  }
};

// `found`: on disk when the present process started. `own`: of that process. `heard`: what another
// member has heard of this disk; it may have heard of the present process already, but the writes
// that it has heard of are the most that it ever has.
inline bool IsRolledBack(const DiskUse& found, const DiskUse& own, const DiskUse& reported) {
  if (reported.starts == 0) return false;
  if (reported.instance == own.instance) return reported.writes > own.writes;
  return reported.starts > found.starts || reported.writes > found.writes;
}

// What is known after `told` has been heard as well.
inline DiskUse MergeDiskUse(const DiskUse& known, const DiskUse& reported) {
  const bool same = reported.starts == known.starts && reported.instance == known.instance;
  DiskUse later = reported.starts > known.starts || same ? reported : known;
  later.writes = std::max(known.writes, reported.writes);
  return later;
}

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_DISK_USE_H_
