// The last faults of a run, one after the other, once the random ones are over: workers are killed
// within events of streams whose answers have no length; a store is away while batch jobs are being
// ended; and all edge nodes are killed just after a worker's departure was acknowledged, while a
// heartbeat of it is still under way.
#ifndef PEARREACH_LAB_SOAK_CLOSING_FAULTS_H_
#define PEARREACH_LAB_SOAK_CLOSING_FAULTS_H_

#include <cstdint>

#include "lab/soak/fleet.h"
#include "lab/soak/request_log.h"

namespace pearreach::soak {

class ClosingFaults {
 public:
  ClosingFaults(std::uint64_t seed, const Fleet* fleet, RequestLog* log)
      : seed_(seed), fleet_(fleet), log_(log) {}

  void Run();
  // When it was killed or frozen; 0: not yet.
  Microseconds store_away_at() const { return store_away_at_; }

 private:
  void KillWorkersWithinEvents();
  void KeepStoreAway();
  void KillAllEdgesAfterDeparture();
  bool AwaitDeparture() const;

  const std::uint64_t seed_;
  const Fleet* const fleet_;
  RequestLog* const log_;
  Microseconds store_away_at_ = 0;
};

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_CLOSING_FAULTS_H_
