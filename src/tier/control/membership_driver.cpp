#include "tier/control/membership_driver.h"

#include <utility>

namespace pearreach::control {

MembershipDriver::MembershipDriver(TimeSource* time, rpc::Transport* transport,
                                   coordination::MembershipOptions options, Micros stall_tolerance,
                                   std::uint64_t seed)
    : time_(time),
      transport_(transport),
      membership_(std::move(options), seed, time->Now()),
      stalls_(time, stall_tolerance),
      timer_(time, [this] { OnTimer(); }) {
  transport_->HandleDatagrams(callbacks_.Bind(
      [this](const std::string& from, std::string_view bytes) { Receive(from, bytes); }));
}

void MembershipDriver::Start() {
  running_ = true;
  Tick();
}

void MembershipDriver::Leave() {
  if (!running_) return;
  running_ = false;
  timer_.Stop();
  stalls_.OnTimerSet(timer_.due());
  std::vector<coordination::Datagram> datagrams;
  membership_.AnnounceShutdown(time_->Now(), &datagrams);
  for (const auto& datagram : datagrams) transport_->SendDatagram(datagram.to, datagram.bytes);
}

void MembershipDriver::Announce(const std::string& name, std::uint64_t version) {
  membership_.Announce(name, version);
  if (running_) SetTimer();
}

void MembershipDriver::SetTimer() {
  timer_.Set(membership_.NextTick());
  stalls_.OnTimerSet(timer_.due());
}

void MembershipDriver::OnTimer() {
  stalls_.OnTimerFired();
  if (running_) Tick();
}

void MembershipDriver::Receive(const std::string& from_ip, std::string_view bytes) {
  if (!running_) return;
  std::vector<coordination::Datagram> datagrams;
  membership_.Receive(time_->Now(), from_ip, bytes, &datagrams);
  AfterStep(datagrams);
}

void MembershipDriver::Tick() {
  std::vector<coordination::Datagram> datagrams;
  membership_.Tick(time_->Now(), &datagrams);
  AfterStep(datagrams);
}

void MembershipDriver::AfterStep(const std::vector<coordination::Datagram>& datagrams) {
  for (const auto& datagram : datagrams) transport_->SendDatagram(datagram.to, datagram.bytes);
  SetTimer();
  const std::vector<std::string> changed = membership_.TakeChanged();
  if (!changed.empty() && listener_) listener_(changed);
}

}  // namespace pearreach::control
