// Whether the configuration that this node acts by is still known to be the present one. A
// confirmation is a linearizable read: a response to a poll is none, as the member that gives it
// may itself be partitioned from the others. Reads on its own account only while it is enabled and
// the configuration has tenants, or is not known yet. Owned by the control node. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_CONFIGURATION_CONFIRMER_H_
#define PEARREACH_SRC_TIER_CONTROL_CONFIGURATION_CONFIRMER_H_

#include <optional>

#include "tier/control/linearizable_reader.h"
#include "tier/control/snapshot_store.h"
#include "tier/control/time_source.h"

namespace pearreach::control {

class ConfigurationConfirmer {
 public:
  ConfigurationConfirmer(TimeSource* time, SnapshotStore* snapshots, LinearizableReader* reader);
  ~ConfigurationConfirmer();
  ConfigurationConfirmer(const ConfigurationConfirmer&) = delete;
  ConfigurationConfirmer& operator=(const ConfigurationConfirmer&) = delete;

  // `max_age`: how long a confirmation holds, in microseconds, above 0. Empty: for ever, and
  // nothing is read.
  void SetMaxAge(std::optional<Micros> max_age);
  // The last confirmation holds, or none is asked for.
  bool IsConfirmed() const;

 private:
  bool IsNeeded() const;
  Micros ReadPeriod() const;
  void SnapshotChanged();
  void Read();
  void OnRead(bool confirmed);
  void ScheduleRead(Micros delay);
  // Logs that the confirmation was lost or has come back, once each.
  void Report();

  TimeSource* const time_;
  SnapshotStore* const snapshots_;
  LinearizableReader* const reader_;
  std::optional<Micros> max_age_;
  bool reading_ = false;
  bool reported_lost_ = false;
  Timers::Id timer_ = 0;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_CONFIGURATION_CONFIRMER_H_
