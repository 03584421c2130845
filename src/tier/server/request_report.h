// Writes to the log, at intervals, what became of the requests of clients on this edge node since
// the last line, and by which configuration; and when another configuration came into force here.
// Counts only: no key, path or name of a tenant. Owned by the process (node.h). Loop thread only.
#ifndef PEARREACH_SRC_TIER_SERVER_REQUEST_REPORT_H_
#define PEARREACH_SRC_TIER_SERVER_REQUEST_REPORT_H_

#include <cstdint>
#include <memory>

#include "tier/control/control_client.h"
#include "tier/control/time_source.h"
#include "tier/gateway/outcomes.h"
#include "tier/quota/grant_client.h"

namespace pearreach::server {

inline constexpr Micros kRequestReportPeriod = 10 * kSecond;

class RequestReport {
 public:
  // All pointers must outlive this.
  RequestReport(std::unique_ptr<control::TimeSource> time, const control::ControlClient* control,
                const gateway::Outcomes* outcomes, const quota::GrantClientCounts* grants);
  ~RequestReport();
  RequestReport(const RequestReport&) = delete;
  RequestReport& operator=(const RequestReport&) = delete;

  // To be called after each change of the control state.
  void OnControlChange();

 private:
  void ScheduleNext();
  void WriteCounts();

  const std::unique_ptr<control::TimeSource> time_;
  const control::ControlClient* const control_;
  const gateway::Outcomes* const outcomes_;
  const quota::GrantClientCounts* const grants_;
  gateway::Outcomes last_outcomes_;
  quota::GrantClientCounts last_grants_;
  std::uint64_t config_revision_ = 0;
  Micros in_force_since_ = 0;
  Timers::Id timer_ = 0;
};

}  // namespace pearreach::server

#endif  // PEARREACH_SRC_TIER_SERVER_REQUEST_REPORT_H_
