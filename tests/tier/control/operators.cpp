#include "tier/control/operators.h"

#include <rapidjson/document.h>

#include <algorithm>

namespace pearreach::control {
namespace {

constexpr Micros kPatience = kSecond;  // for an answer
constexpr int kMaxTries = 25;

std::int64_t VersionIn(const std::string& body) {
  rapidjson::Document document;
  document.Parse(body.data(), body.size());
  const bool has = document.IsObject() && document.HasMember("version_no");
  return has ? document["version_no"].GetInt64() : 0;
}

}  // namespace

Operators::Operators(ControlFleet* fleet, int operators, double answers_lost)
    : fleet_(fleet), answers_lost_(answers_lost) {
  for (int i = 0; i < operators; ++i) {
    operators_.push_back(std::make_unique<Operator>());
    Pause(operators_.back().get(), i * 20 * kMs);
  }
}

std::size_t Operators::AnyMachine() {
  return std::uniform_int_distribution<std::size_t>(0, fleet_->size() - 1)(fleet_->random());
}

void Operators::Pause(Operator* who, Micros span) {
  fleet_->time().After(span, [this, working = working_, who] {
    if (*working) Act(who);
  });
}

void Operators::Act(Operator* who) {
  if (who->order != nullptr) return Send(who);
  const double choice = Share();
  if (choice < 0.15) {
    ResendOldOne();
  } else if (choice < 0.25) {
    SendOtherContent();
  } else if (choice < 0.4) {
    fleet_->ReadConfig(AnyMachine(),
                       [this, working = working_, who](int status, const std::string& body) {
                         if (*working && status == 200)
                           who->known = std::max(who->known, VersionIn(body));
                       });
  } else {
    const auto step = static_cast<std::int64_t>(1 + 3 * Share());
    const std::int64_t version = who->known + step;
    who->order = fleet_->book().Add(version, who->known, fleet_->NewBody(version));
    who->attempts = 0;
    return Send(who);
  }
  Pause(who, static_cast<Micros>((50 + 300 * Share()) * kMs));
}

void Operators::Send(Operator* who) {
  if (++who->attempts > kMaxTries) {
    who->order = nullptr;
    return Pause(who, kSecond);
  }
  const int copies = Share() < 0.2 ? 3 : 1;  // at several nodes at the same moment
  for (int i = 0; i < copies; ++i) {
    fleet_->SendOrder(
        AnyMachine(), who->order,
        [this, working = working_, who, order = who->order](int status, const std::string& body) {
          if (*working) Answered(who, order, status, body);
        });
  }
  fleet_->time().After(
      kPatience, [this, working = working_, who, order = who->order, attempts = who->attempts] {
        if (*working && who->order == order && who->attempts == attempts) Send(who);
      });
}

void Operators::Answered(Operator* who, Order* order, int status, const std::string& body) {
  if (who->order != order || Share() < answers_lost_) return;
  if (status == 200) {
    who->known = std::max(who->known, order->version);
  } else if (status == 412) {
    who->known = std::max(who->known, VersionIn(body));
  } else if (status == 0 || status >= 500) {
    return;  // sent again after the wait
  }
  who->order = nullptr;
  Pause(who, static_cast<Micros>((20 + 200 * Share()) * kMs));
}

void Operators::ResendOldOne() {
  const auto& orders = fleet_->book().orders();
  if (orders.empty()) return;
  Order* order =
      orders[static_cast<std::size_t>(Share() * static_cast<double>(orders.size()))].get();
  resent_old_ += order->acknowledged || order->refused ? 1 : 0;
  fleet_->SendOrder(AnyMachine(), order, [](int, const std::string&) {});
}

void Operators::SendOtherContent() {
  const auto& orders = fleet_->book().orders();
  if (orders.empty()) return;
  const Order& order =
      *orders[static_cast<std::size_t>(Share() * static_cast<double>(orders.size()))];
  if (!order.acknowledged) return;
  ++other_content_;
  Order* other = fleet_->book().Add(order.version, order.parent, fleet_->NewBody(order.version));
  fleet_->SendOrder(AnyMachine(), other, [](int, const std::string&) {});
}

}  // namespace pearreach::control
