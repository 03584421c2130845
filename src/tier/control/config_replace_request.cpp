#include "tier/control/config_replace_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "tier/control/api_responses.h"
#include "tier/control/config_api.h"
#include "tier/control/config_change_id.h"
#include "tier/logging/log.h"

namespace pearreach::control {
namespace {

using coordination::ChangeStatus;

constexpr Micros kReadAfterChangeReserve =
    300 * kMs;  // reserved for the read that resolves an unknown outcome
constexpr Micros kMinChangeTimeout = 100 * kMs;
constexpr Micros kParentPollPeriod = 100 * kMs;  // while the parent is not in force yet

std::optional<std::int64_t> ParseVersion(const std::string* text) {
  if (text == nullptr || text->empty()) return std::nullopt;
  std::int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto result = std::from_chars(text->data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || value < 0) return std::nullopt;
  return value;
}

std::int64_t CurrentVersion(const ControlSnapshot& snapshot) {
  return snapshot.routes == nullptr ? 0 : snapshot.routes->version();
}

}  // namespace

ConfigReplaceRequest::ConfigReplaceRequest(ControlClient* client, std::function<Micros()> now,
                                           After after,
                                           std::shared_ptr<http_server::Exchange> exchange,
                                           Micros deadline)
    : client_(client),
      now_(std::move(now)),
      after_(std::move(after)),
      exchange_(std::move(exchange)),
      deadline_(deadline) {}

// An outdated local state does no harm if the request matches it: the change then expects a
// revision that is not the current one, and conflicts.
void ConfigReplaceRequest::Start() {
  if (client_->MayReadLateMessages())
    return RespondUnavailable(exchange_.get(), "this node stood still: the call may be late");
  if (!ParseRequest()) return;
  const std::shared_ptr<const ControlSnapshot> known = client_->Current();
  if (IsCurrent(*known)) return RespondCommitted();
  const bool matches_known_state = known->version != coordination::Version() &&
                                   parent_ == CurrentVersion(*known) && version_ > parent_;
  if (matches_known_state) return Change(*known);
  Read(TimeLeft() - kReadAfterChangeReserve, &ConfigReplaceRequest::OnInitialRead);
}

bool ConfigReplaceRequest::ParseRequest() {
  const auto parent = ParseVersion(exchange_->request().Find("X-Parent-Version"));
  if (!parent.has_value()) {
    RespondError(exchange_.get(), 400, "X-Parent-Version is not a whole number");
    return false;
  }
  if (exchange_->request().body.size() > kMaxConfigBytes) {
    RespondError(exchange_.get(), 413, "the configuration is too large");
    return false;
  }
  body_ = std::move(exchange_->mutable_request().body);
  const auto parsed = routing::RouteTable::Parse(body_);
  if (!parsed.ok()) {
    RespondFindings(exchange_.get(), std::string(parsed.status().message()));
    return false;
  }
  parent_ = *parent;
  version_ = (*parsed)->version();
  change_id_ = ConfigChangeId(version_, body_);
  return true;
}

void ConfigReplaceRequest::Read(Micros timeout, Next next) {
  client_->ReadWithHistory(
      change_id_, std::max<Micros>(timeout, 0),
      [self = shared_from_this(), next](const absl::StatusOr<ChangeHistoryRead>& history_read) {
        if (!history_read.ok()) {
          return RespondUnavailable(self->exchange_.get(),
                                    "the newest state is not known for sure");
        }
        ((*self).*next)(*history_read);
      });
}

bool ConfigReplaceRequest::IsCurrent(const ControlSnapshot& snapshot) const {
  return snapshot.config_revision != 0 && CurrentVersion(snapshot) == version_ &&
         ConfigChangeId(version_, snapshot.config_json) == change_id_;
}

bool ConfigReplaceRequest::RespondIfDecided(const ChangeHistoryRead& history_read) {
  const ControlSnapshot& snapshot = *history_read.snapshot;
  const std::int64_t current = CurrentVersion(snapshot);
  if (history_read.history_status == coordination::ChangeHistoryStatus::kRecorded ||
      IsCurrent(snapshot)) {
    RespondCommitted();
    return true;
  }
  if (parent_ == current) return false;
  if (parent_ > current && AwaitParent()) return true;
  const bool forgotten =
      history_read.history_status == coordination::ChangeHistoryStatus::kForgotten;
  if (forgotten && version_ <= current) {
    RespondUnavailable(exchange_.get(), "the version is older than the record of taken ones");
  } else {
    // Another one is current for sure, so a change that builds on the parent never commits.
    RespondVersionConflict(snapshot);
  }
  return true;
}

bool ConfigReplaceRequest::AwaitParent() {
  const Micros reserve = kReadAfterChangeReserve + kMinChangeTimeout + kParentPollPeriod;
  if (after_ == nullptr || TimeLeft() <= reserve) return false;
  after_(kParentPollPeriod, [self = shared_from_this()] {
    self->Read(self->TimeLeft() - kReadAfterChangeReserve, &ConfigReplaceRequest::OnInitialRead);
  });
  return true;
}

void ConfigReplaceRequest::OnInitialRead(const ChangeHistoryRead& history_read) {
  if (RespondIfDecided(history_read)) return;
  // Versions only rise: what is not above its parent is never valid, whatever is current by now.
  if (version_ <= parent_) {
    return RespondFindings(exchange_.get(),
                           fmt::format("version_no: {} is not above {}", version_, parent_));
  }
  Change(*history_read.snapshot);
}

void ConfigReplaceRequest::Change(const ControlSnapshot& snapshot) {
  if (!exchange_->open()) return;  // the caller has gone
  const Micros timeout = TimeLeft() - kReadAfterChangeReserve;
  if (timeout <= 0) return RespondUnavailable(exchange_.get(), "no time is left for the change");
  client_->Change({kConfigKey, snapshot.config_revision, body_, {}, change_id_}, timeout,
                  [self = shared_from_this()](const ChangeOutcome& outcome) {
                    self->OnChangeOutcome(outcome);
                  });
}

void ConfigReplaceRequest::OnChangeOutcome(const ChangeOutcome& outcome) {
  if (outcome.status == ChangeStatus::kCommitted) return RespondCommitted();
  outcome_unknown_ = outcome.status == ChangeStatus::kUnavailable;
  Read(TimeLeft(), &ConfigReplaceRequest::OnReadAfterChange);
}

void ConfigReplaceRequest::OnReadAfterChange(const ChangeHistoryRead& history_read) {
  if (RespondIfDecided(history_read)) return;
  // The same change again: at most one of the two finds the revision that both expect.
  if (outcome_unknown_ && !std::exchange(retried_, true) &&
      TimeLeft() > kReadAfterChangeReserve + kMinChangeTimeout) {
    return Change(*history_read.snapshot);
  }
  RespondUnavailable(exchange_.get(), "the change may or may not come into force");
}

void ConfigReplaceRequest::RespondCommitted() {
  logging::Info("control", "configuration committed", {logging::F("version_no", version_)});
  RespondJson(exchange_.get(), 200, fmt::format("{{\"version_no\":{}}}", version_));
}

void ConfigReplaceRequest::RespondVersionConflict(const ControlSnapshot& snapshot) {
  RespondJson(exchange_.get(), 412, fmt::format("{{\"version_no\":{}}}", CurrentVersion(snapshot)));
}

}  // namespace pearreach::control
