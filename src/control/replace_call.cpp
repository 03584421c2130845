#include "control/replace_call.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "control/api_answers.h"
#include "control/config_api.h"
#include "logging/log.h"

namespace pearreach::control {
namespace {

using coordination::ChangeStatus;

constexpr Micros kResolveTime = 300 * kMs;  // kept back to look into an unclear outcome
constexpr Micros kLeastChangeTime = 100 * kMs;

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

bool SameContent(const std::string& a, const std::string& b) {
  if (a == b) return true;
  rapidjson::Document first, second;
  first.Parse(a.data(), a.size());
  second.Parse(b.data(), b.size());
  return !first.HasParseError() && !second.HasParseError() && first == second;
}

}  // namespace

ReplaceCall::ReplaceCall(ControlClient* client, std::function<Micros()> now,
                         std::shared_ptr<const TakenConfigs> taken,
                         std::shared_ptr<front::Exchange> exchange, Micros deadline)
    : client_(client),
      now_(std::move(now)),
      taken_(std::move(taken)),
      exchange_(std::move(exchange)),
      deadline_(deadline) {}

void ReplaceCall::Start() {
  if (!ReadRequest()) return;
  const SnapshotPtr snapshot = client_->Current();
  if (snapshot->version == coordination::Version()) {
    return Reread(Left() - kResolveTime, &ReplaceCall::DecideSurely);
  }
  Decide(*snapshot, false);
}

bool ReplaceCall::ReadRequest() {
  const auto parent = ParseVersion(exchange_->request().Find("X-Parent-Version"));
  if (!parent.has_value()) {
    AnswerError(exchange_.get(), 400, "X-Parent-Version is not a whole number");
    return false;
  }
  if (exchange_->request().body.size() > kMostConfigBytes) {
    AnswerError(exchange_.get(), 413, "the configuration is too large");
    return false;
  }
  body_ = std::move(exchange_->mutable_request().body);
  const auto parsed = routing::RouteTable::Parse(body_);
  if (!parsed.ok()) {
    AnswerFindings(exchange_.get(), std::string(parsed.status().message()));
    return false;
  }
  parent_ = *parent;
  version_ = (*parsed)->version();
  return true;
}

void ReplaceCall::Reread(Micros timeout, Next next) {
  client_->StrictRead(std::max<Micros>(timeout, 0), [self = shared_from_this(),
                                                     next](absl::StatusOr<SnapshotPtr> snapshot) {
    if (!snapshot.ok()) {
      return AnswerUnavailable(self->exchange_.get(), "the newest state is not known for sure");
    }
    ((*self).*next)(**snapshot);
  });
}

bool ReplaceCall::IsTaken(const ControlSnapshot& snapshot) const {
  if (snapshot.config_revision != 0 && CurrentVersion(snapshot) == version_ &&
      SameContent(snapshot.config_json, body_)) {
    return true;
  }
  return taken_->Has(version_, body_);
}

void ReplaceCall::Decide(const ControlSnapshot& snapshot, bool sure) {
  if (IsTaken(snapshot)) return AnswerTaken();
  const std::int64_t current = CurrentVersion(snapshot);
  if (parent_ != current) {
    if (sure) return AnswerOtherVersion(snapshot);
    return Reread(Left() - kResolveTime, &ReplaceCall::DecideSurely);
  }
  // Versions only rise: what is not above its parent is never valid, whatever is current by now.
  if (version_ <= current) {
    return AnswerFindings(exchange_.get(),
                          fmt::format("version_no: {} is not above {}", version_, current));
  }
  Change(snapshot);
}

void ReplaceCall::Change(const ControlSnapshot& snapshot) {
  const Micros timeout = Left() - kResolveTime;
  if (timeout <= 0) return AnswerUnavailable(exchange_.get(), "no time is left for the change");
  client_->Change(
      kConfigKey, snapshot.config_revision, body_, timeout,
      [self = shared_from_this()](const ChangeOutcome& outcome) { self->Changed(outcome); });
}

void ReplaceCall::Changed(const ChangeOutcome& outcome) {
  if (outcome.status == ChangeStatus::kCommitted) return AnswerTaken();
  unclear_ = outcome.status == ChangeStatus::kUnavailable;
  Reread(Left(), &ReplaceCall::Resolve);
}

void ReplaceCall::Resolve(const ControlSnapshot& snapshot) {
  if (IsTaken(snapshot)) return AnswerTaken();
  // Another one is current for sure, so the change's expected revision can never match again.
  if (CurrentVersion(snapshot) != parent_) return AnswerOtherVersion(snapshot);
  // The same change again: at most one of the two finds the revision that both expect.
  if (unclear_ && !std::exchange(again_, true) && Left() > kResolveTime + kLeastChangeTime) {
    return Change(snapshot);
  }
  AnswerUnavailable(exchange_.get(), "the change may or may not come into force");
}

void ReplaceCall::AnswerTaken() {
  logging::Info("control", "configuration taken", {logging::F("version_no", version_)});
  AnswerJson(exchange_.get(), 200, fmt::format("{{\"version_no\":{}}}", version_));
}

void ReplaceCall::AnswerOtherVersion(const ControlSnapshot& snapshot) {
  AnswerJson(exchange_.get(), 412, fmt::format("{{\"version_no\":{}}}", CurrentVersion(snapshot)));
}

}  // namespace pearreach::control
