// The rules that a finished run is held to, from what clients sent and workers recorded.
#ifndef PEARREACH_LAB_SOAK_CHECKS_H_
#define PEARREACH_LAB_SOAK_CHECKS_H_

#include <vector>

#include "lab/soak/configuration_history.h"
#include "lab/soak/fleet.h"
#include "lab/soak/request_log.h"

namespace pearreach::soak {

// A request that a worker began to run.
struct WorkerRun {
  Microseconds at = 0;
  std::string attempt_id, tenant;  // "-": no such header
  bool authorized = false;         // Authorization came through
  const Member* worker = nullptr;  // where
};

std::vector<WorkerRun> ReadRuns(const Fleet& fleet);

// Adds findings, and counts of how often a check had something to look at, to `log`.
void CheckRun(const std::vector<Version>& versions, const Fleet& fleet,
              const std::vector<WorkerRun>& runs, RequestLog* log);

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_CHECKS_H_
