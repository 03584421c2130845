#include "tier/server/request_report.h"

#include <utility>

#include "tier/logging/log.h"

namespace pearreach::server {
namespace {

constexpr char kModule[] = "requests";

std::int64_t VersionOf(const control::ControlSnapshot& snapshot) {
  return snapshot.routes == nullptr ? 0 : snapshot.routes->version();
}

}  // namespace

RequestReport::RequestReport(std::unique_ptr<control::TimeSource> time,
                             const control::ControlClient* control,
                             const gateway::Outcomes* outcomes,
                             const quota::GrantClientCounts* grants)
    : time_(std::move(time)), control_(control), outcomes_(outcomes), grants_(grants) {
  ScheduleNext();
}

RequestReport::~RequestReport() { time_->Cancel(&timer_); }

void RequestReport::OnControlChange() {
  const auto snapshot = control_->Current();
  if (snapshot->routes == nullptr || snapshot->config_revision == config_revision_) return;
  config_revision_ = snapshot->config_revision;
  in_force_since_ = time_->Now();
  logging::Info(
      kModule, "configuration in force",
      {logging::F("version_no", VersionOf(*snapshot)), logging::F("revision", config_revision_),
       logging::F("routes", snapshot->routes->routes().size()),
       logging::F("tenants", snapshot->routes->tenants().size())});
}

void RequestReport::ScheduleNext() {
  timer_ = time_->After(kRequestReportPeriod, [this] {
    timer_ = 0;
    WriteCounts();
    ScheduleNext();
  });
}

void RequestReport::WriteCounts() {
  const gateway::Outcomes& now = *outcomes_;
  const gateway::Outcomes before = std::exchange(last_outcomes_, now);
  const quota::GrantClientCounts grants = *grants_;
  const quota::GrantClientCounts grants_before = std::exchange(last_grants_, grants);
  if (now.requests == before.requests) return;
  using logging::F;
  const auto snapshot = control_->Current();
  logging::Info(
      kModule, "counts",
      {F("version_no", VersionOf(*snapshot)),
       F("in_force_ms", config_revision_ == 0 ? 0 : (time_->Now() - in_force_since_) / kMs),
       F("confirmed", control_->IsConfigurationConfirmed()),
       F("requests", now.requests - before.requests),
       F("complete", now.complete - before.complete),
       F("batch_job_calls", now.batch_jobs - before.batch_jobs),
       F("bulk", now.bulk - before.bulk),
       F("no_configuration", now.no_configuration - before.no_configuration),
       F("not_confirmed", now.not_confirmed - before.not_confirmed),
       F("draining", now.draining - before.draining),
       F("no_route", now.no_route - before.no_route),
       F("no_attempt_id", now.no_attempt_id - before.no_attempt_id),
       F("no_key", now.no_key - before.no_key),
       F("unknown_key", now.unknown_key - before.unknown_key),
       F("withdrawn_key", now.withdrawn_key - before.withdrawn_key),
       F("over_limit", now.over_limit - before.over_limit),
       F("no_quota", now.no_quota - before.no_quota),
       F("not_run", now.not_run - before.not_run),
       F("failed", now.failed - before.failed),
       F("timeout", now.timeout - before.timeout),
       F("broken", now.broken - before.broken),
       F("client_gone", now.client_gone - before.client_gone),
       F("grant_calls", grants.calls - grants_before.calls),
       F("failed_grant_calls", grants.failed_calls - grants_before.failed_calls),
       F("granted", grants.granted - grants_before.granted)});
}

}  // namespace pearreach::server
