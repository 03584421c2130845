#include "lab/hollow/virtual_network.h"

#include <algorithm>
#include <utility>

#include "tier/rpc/frame.h"

namespace pearreach::lab::hollow {
namespace {

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

Timers::Id VirtualTime::After(Micros delay, std::function<void()> callback) {
  const Timers::Id id = ++last_;
  due_.push({now_ + std::max<Micros>(delay, 0), id});
  callbacks_.emplace(id, std::move(callback));
  return id;
}

void VirtualTime::Cancel(Timers::Id* id) {
  callbacks_.erase(*id);
  *id = 0;
}

void VirtualTime::RunFor(Micros span) {
  const Micros end = now_ + span;
  while (!due_.empty() && due_.top().at <= end) {
    const Due first = due_.top();
    due_.pop();
    const auto found = callbacks_.find(first.id);
    if (found == callbacks_.end()) continue;
    now_ = first.at;
    const auto callback = std::move(found->second);
    callbacks_.erase(found);
    callback();
  }
  now_ = end;
}

bool VirtualTime::RunUntil(const std::function<bool()>& done, Micros bound, Micros step) {
  for (const Micros end = now_ + bound; now_ < end;) {
    RunFor(step);
    if (done()) return true;
  }
  return false;
}

void VirtualMesh::Count(std::size_t bytes) {
  for (Traffic* each : {&sent, &network_->total}) {
    ++each->messages;
    each->bytes += bytes;
  }
}

void VirtualMesh::Call(const std::string& address, rpc::MessageType type, std::string body,
                       Micros timeout, rpc::Done done) {
  VirtualNetwork* network = network_;
  VirtualTime* time = network->time();
  Count(rpc::kFrameHeaderBytes + body.size());
  peers.insert(address);
  auto open = std::make_shared<OpenCall>();
  open->done = std::move(done);
  open->time = time;
  open->timer =
      time->After(timeout, [open] { open->End(absl::DeadlineExceededError("no answer in time")); });
  if (network->Loses()) return;
  time->After(VirtualNetwork::kDelay, [=, from = address_, body = std::move(body)] {
    VirtualMesh* to = network->Find(address);
    if (to == nullptr) return;  // a machine without power says nothing
    const auto handler = to->handlers_.find(type);
    if (handler == to->handlers_.end()) return open->End(absl::UnimplementedError("no such call"));
    handler->second(from, body, [=](absl::StatusOr<std::string> answer) {
      VirtualMesh* back = network->Find(address);
      if (back == nullptr) return;
      back->Count(rpc::kFrameHeaderBytes + (answer.ok() ? answer->size() : 0));
      if (network->Loses()) return;
      time->After(VirtualNetwork::kDelay,
                  [open, answer = std::move(answer)] { open->End(answer); });
    });
  });
}

void VirtualMesh::SendDatagram(const std::string& address, std::string_view body) {
  Count(body.size());
  if (network_->Loses()) return;
  VirtualNetwork* network = network_;
  network->time()->After(VirtualNetwork::kDelay,
                         [network, address, from = address_, bytes = std::string(body)] {
                           VirtualMesh* to = network->Find(address);
                           if (to != nullptr && to->datagrams_)
                             to->datagrams_(from.substr(0, from.find(':')), bytes);
                         });
}

}  // namespace pearreach::lab::hollow
