#include "tier/control/operator_workload.h"

#include <rapidjson/document.h>

#include <algorithm>

namespace pearreach::control {
namespace {

constexpr Micros kResponseTimeout = kSecond;  // for an answer
constexpr int kMaxAttempts = 25;

std::int64_t VersionIn(const std::string& body) {
  rapidjson::Document document;
  document.Parse(body.data(), body.size());
  const bool has = document.IsObject() && document.HasMember("version_no");
  return has ? document["version_no"].GetInt64() : 0;
}

}  // namespace

OperatorWorkload::OperatorWorkload(ControlFleet* fleet, int operators, double response_loss)
    : fleet_(fleet), response_loss_(response_loss) {
  for (int i = 0; i < operators; ++i) {
    operators_.push_back(std::make_unique<OperatorState>());
    ScheduleNextAction(operators_.back().get(), i * 20 * kMs);
  }
}

std::size_t OperatorWorkload::RandomMachine() {
  return std::uniform_int_distribution<std::size_t>(0, fleet_->size() - 1)(fleet_->random());
}

void OperatorWorkload::ScheduleNextAction(OperatorState* operator_state, Micros span) {
  fleet_->time().After(span, [this, working = working_, operator_state] {
    if (*working) StartAction(operator_state);
  });
}

void OperatorWorkload::StartAction(OperatorState* operator_state) {
  if (operator_state->change != nullptr) return Send(operator_state);
  const double choice = RandomFraction();
  if (choice < 0.15) {
    ResendOldChange();
  } else if (choice < 0.25) {
    SendOtherContent();
  } else if (choice < 0.4) {
    fleet_->ReadConfig(RandomMachine(), [this, working = working_, operator_state](
                                            int status, const std::string& body) {
      if (*working && status == 200)
        operator_state->known = std::max(operator_state->known, VersionIn(body));
    });
  } else {
    const auto step = static_cast<std::int64_t>(1 + 3 * RandomFraction());
    const std::int64_t version = operator_state->known + step;
    operator_state->change =
        fleet_->checker().Add(version, operator_state->known, fleet_->NewBody(version));
    operator_state->attempts = 0;
    return Send(operator_state);
  }
  ScheduleNextAction(operator_state, static_cast<Micros>((50 + 300 * RandomFraction()) * kMs));
}

void OperatorWorkload::Send(OperatorState* operator_state) {
  if (++operator_state->attempts > kMaxAttempts) {
    operator_state->change = nullptr;
    return ScheduleNextAction(operator_state, kSecond);
  }
  const int targets = RandomFraction() < 0.2 ? 3 : 1;  // at several nodes at the same moment
  for (int i = 0; i < targets; ++i) {
    fleet_->SendChange(RandomMachine(), operator_state->change,
                       [this, working = working_, operator_state, change = operator_state->change](
                           int status, const std::string& body) {
                         if (*working) OnResponse(operator_state, change, status, body);
                       });
  }
  fleet_->time().After(
      kResponseTimeout, [this, working = working_, operator_state, change = operator_state->change,
                         attempts = operator_state->attempts] {
        if (*working && operator_state->change == change && operator_state->attempts == attempts)
          Send(operator_state);
      });
}

void OperatorWorkload::OnResponse(OperatorState* operator_state, ConfigChange* change, int status,
                                  const std::string& body) {
  if (operator_state->change != change || RandomFraction() < response_loss_) return;
  if (status == 200) {
    operator_state->known = std::max(operator_state->known, change->version);
  } else if (status == 412) {
    operator_state->known = std::max(operator_state->known, VersionIn(body));
  } else if (status == 0 || status >= 500) {
    return;  // sent again after the wait
  }
  operator_state->change = nullptr;
  ScheduleNextAction(operator_state, static_cast<Micros>((20 + 200 * RandomFraction()) * kMs));
}

void OperatorWorkload::ResendOldChange() {
  const auto& changes = fleet_->checker().changes();
  if (changes.empty()) return;
  ConfigChange* change =
      changes[static_cast<std::size_t>(RandomFraction() * static_cast<double>(changes.size()))]
          .get();
  resent_changes_ += change->acknowledged || change->rejected ? 1 : 0;
  fleet_->SendChange(RandomMachine(), change, [](int, const std::string&) {});
}

void OperatorWorkload::SendOtherContent() {
  const auto& changes = fleet_->checker().changes();
  if (changes.empty()) return;
  const ConfigChange& change =
      *changes[static_cast<std::size_t>(RandomFraction() * static_cast<double>(changes.size()))];
  if (!change.acknowledged) return;
  ++other_content_;
  ConfigChange* other =
      fleet_->checker().Add(change.version, change.parent, fleet_->NewBody(change.version));
  fleet_->SendChange(RandomMachine(), other, [](int, const std::string&) {});
}

}  // namespace pearreach::control
