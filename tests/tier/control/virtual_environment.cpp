#include "tier/control/virtual_environment.h"

#include <algorithm>

namespace pearreach::control {
namespace {

std::string IpPart(const std::string& address) { return address.substr(0, address.find(':')); }

// Ends a call once, by what comes first.
struct OpenCall {
  rpc::Done done;
  Timers::Id timer = 0;
  VirtualTime* time = nullptr;
  void End(absl::StatusOr<std::string> answer) {
    if (!done) return;
    time->Cancel(&timer);
    std::exchange(done, nullptr)(std::move(answer));
  }
};

}  // namespace

VirtualTransport::VirtualTransport(VirtualNetwork* network, std::string address)
    : network_(network), address_(std::move(address)) {
  network_->Join(address_, this);
}

VirtualTransport::~VirtualTransport() { network_->Part(address_, this); }

void VirtualTransport::Call(const std::string& address, rpc::MessageType type, std::string body,
                            Micros timeout, rpc::Done done) {
  calls.push_back({address, type});
  VirtualNetwork* network = network_;
  VirtualTime* time = network->time();
  auto open = std::make_shared<OpenCall>();
  open->done = std::move(done);
  open->time = time;
  open->timer =
      time->After(timeout, [open] { open->End(absl::DeadlineExceededError("no answer in time")); });
  time->After(network->DelayOf(address_, address), [=, from = address_, body = std::move(body)] {
    if (!network->IsConnected(from, address) || network->DropsMessage()) return;
    VirtualTransport* to = network->Find(address);
    if (to == nullptr) return open->End(absl::UnavailableError("refused"));
    const auto handler = to->handlers.find(type);
    if (handler == to->handlers.end()) return open->End(absl::UnimplementedError("no such call"));
    handler->second(IpPart(from), body, [=](absl::StatusOr<std::string> answer) {
      time->After(network->DelayOf(from, address), [=, answer = std::move(answer)] {
        if (network->IsConnected(address, from) && !network->DropsMessage()) open->End(answer);
      });
    });
  });
}

void VirtualTransport::SendDatagram(const std::string& address, std::string_view body) {
  VirtualNetwork* network = network_;
  network->time()->After(
      network->DelayOf(address_, address), [=, from = address_, bytes = std::string(body)] {
        VirtualTransport* to = network->Find(address);
        if (to == nullptr || !network->IsConnected(from, address) || network->DropsMessage())
          return;
        if (to->datagrams) to->datagrams(IpPart(from), bytes);
      });
}

std::size_t VirtualTransport::CallsTo(const std::string& address, rpc::MessageType type) const {
  return std::count_if(calls.begin(), calls.end(), [&](const CallRecord& call) {
    return call.to == address && call.type == type;
  });
}

}  // namespace pearreach::control
