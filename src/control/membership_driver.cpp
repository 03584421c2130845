#include "control/membership_driver.h"

#include <algorithm>
#include <utility>

namespace pearreach::control {

MembershipDriver::MembershipDriver(TimeSource* time, mesh::Mesh* mesh,
                                   coordination::MembershipOptions options, std::uint64_t seed)
    : time_(time), mesh_(mesh), membership_(std::move(options), seed, time->Now()) {
  mesh_->HandleDatagrams(callbacks_.Bind(
      [this](const std::string& from, std::string_view bytes) { Receive(from, bytes); }));
}

MembershipDriver::~MembershipDriver() { time_->Cancel(&timer_); }

void MembershipDriver::Start() {
  running_ = true;
  Tick();
}

void MembershipDriver::Leave() {
  if (!running_) return;
  running_ = false;
  time_->Cancel(&timer_);
  std::vector<coordination::Datagram> datagrams;
  membership_.Leave(time_->Now(), &datagrams);
  for (const auto& datagram : datagrams) mesh_->SendDatagram(datagram.to, datagram.bytes);
}

void MembershipDriver::Announce(const std::string& name, std::uint64_t version) {
  membership_.Announce(name, version);
  if (running_) Arm();
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
  for (const auto& datagram : datagrams) mesh_->SendDatagram(datagram.to, datagram.bytes);
  Arm();
  const std::vector<std::string> changed = membership_.TakeChanged();
  if (!changed.empty() && listener_) listener_(changed);
}

void MembershipDriver::Arm() {
  const Micros next = membership_.NextTick();
  if (timer_ != 0 && armed_for_ <= next) return;
  time_->Cancel(&timer_);
  if (next >= kNoTick) return;
  armed_for_ = next;
  timer_ = time_->After(std::max<Micros>(next - time_->Now(), 0), [this] {
    timer_ = 0;
    if (running_) Tick();
  });
}

}  // namespace pearreach::control
