#include "tier/control/configuration_confirmer.h"

#include <algorithm>

#include "tier/logging/log.h"

namespace pearreach::control {
namespace {

constexpr Micros kReadsPerMaxAge = 4;  // two in a row may fail before a confirmation ends
constexpr Micros kRetryBackoff = 100 * kMs;

}  // namespace

ConfigurationConfirmer::ConfigurationConfirmer(TimeSource* time, SnapshotStore* snapshots,
                                               LinearizableReader* reader)
    : time_(time), snapshots_(snapshots), reader_(reader) {
  snapshots_->OnChange(callbacks_.Bind([this] { SnapshotChanged(); }));
}

ConfigurationConfirmer::~ConfigurationConfirmer() { time_->Cancel(&timer_); }

void ConfigurationConfirmer::SetMaxAge(std::optional<Micros> max_age) {
  if (max_age_ == max_age) return;
  max_age_ = max_age;
  time_->Cancel(&timer_);
  if (!reading_ && snapshots_->known() && IsNeeded()) Read();
}

bool ConfigurationConfirmer::IsConfirmed() const {
  if (!max_age_.has_value()) return true;
  const std::optional<Micros> confirmed_at = reader_->last_confirmation();
  return confirmed_at.has_value() && time_->Now() - *confirmed_at < *max_age_;
}

// Before the first configuration as well: requests wait for it, and are served once it is there.
bool ConfigurationConfirmer::IsNeeded() const {
  const auto routes = snapshots_->current()->routes;
  return max_age_.has_value() && (routes == nullptr || routes->has_tenants());
}

Micros ConfigurationConfirmer::ReadPeriod() const {
  return std::max(*max_age_ / kReadsPerMaxAge, kRetryBackoff);
}

void ConfigurationConfirmer::SnapshotChanged() {
  if (reading_ || timer_ != 0 || !IsNeeded()) return;
  ScheduleRead(IsConfirmed() ? ReadPeriod() : 0);
}

void ConfigurationConfirmer::Read() {
  reading_ = true;
  Report();
  reader_->Read(std::nullopt, ReadPeriod(),
                callbacks_.Bind([this](const absl::StatusOr<ChangeHistoryRead>& history_read) {
                  OnRead(history_read.ok());
                }));
}

void ConfigurationConfirmer::OnRead(bool confirmed) {
  reading_ = false;
  Report();
  if (IsNeeded()) ScheduleRead(confirmed ? ReadPeriod() : kRetryBackoff);
}

void ConfigurationConfirmer::ScheduleRead(Micros delay) {
  timer_ = time_->After(delay, [this] {
    timer_ = 0;
    if (IsNeeded()) Read();
  });
}

void ConfigurationConfirmer::Report() {
  const auto routes = snapshots_->current()->routes;
  if (routes == nullptr) return;
  const bool lost = IsNeeded() && !IsConfirmed();
  if (lost == reported_lost_) return;
  reported_lost_ = lost;
  const auto version = logging::F("version_no", routes->version());
  if (lost) {
    logging::Warning("control", "configuration not confirmed, keys are refused", {version});
  } else {
    logging::Info("control", "configuration confirmed again", {version});
  }
}

}  // namespace pearreach::control
