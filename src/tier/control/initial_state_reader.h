// Reads the initial state of this process: repeats linearizable reads until one succeeds, so that
// no state comes into force that is older than what was in force before the process started. Owned
// by the control node. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_INITIAL_STATE_READER_H_
#define PEARREACH_SRC_TIER_CONTROL_INITIAL_STATE_READER_H_

#include "tier/control/control_timing.h"
#include "tier/control/linearizable_reader.h"
#include "tier/control/snapshot_store.h"
#include "tier/control/time_source.h"

namespace pearreach::control {

class InitialStateReader {
 public:
  InitialStateReader(TimeSource* time, SnapshotStore* snapshots, LinearizableReader* reader,
                     const ControlTiming& timing);
  // Starts reading; does nothing if a state is known.
  void Start();

 private:
  void ReadState();

  TimeSource* time_;
  SnapshotStore* snapshots_;
  LinearizableReader* reader_;
  const Micros read_timeout_;
  const Micros retry_backoff_;  // after a read that failed
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_INITIAL_STATE_READER_H_
