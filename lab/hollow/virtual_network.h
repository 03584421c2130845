// Virtual time and a network in memory for a hollow fleet: messages have a delay, may be lost, and
// are counted by node. Nothing here sleeps or opens a socket.
#ifndef PEARREACH_LAB_HOLLOW_VIRTUAL_NETWORK_H_
#define PEARREACH_LAB_HOLLOW_VIRTUAL_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"

namespace pearreach::lab::hollow {

class VirtualTime {
 public:
  Micros now() const { return now_; }
  Timers::Id After(Micros delay, std::function<void()> callback);
  void Cancel(Timers::Id* id);
  // Runs until `done` holds, looked at each `step`, or for `bound`; true if it holds.
  bool RunUntil(const std::function<bool()>& done, Micros bound, Micros step);
  void RunFor(Micros span);

 private:
  struct Due {
    Micros at;
    Timers::Id id;
    bool operator>(const Due& other) const {
      return at != other.at ? at > other.at : id > other.id;
    }
  };
  Micros now_ = kSecond;
  Timers::Id last_ = 0;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::unordered_map<Timers::Id, std::function<void()>> callbacks_;
};

class VirtualTimeSource : public control::TimeSource {
 public:
  explicit VirtualTimeSource(VirtualTime* time) : time_(time) {}
  Micros Now() const override { return time_->now(); }
  Timers::Id After(Micros delay, std::function<void()> callback) override {
    return time_->After(delay, std::move(callback));
  }
  void Cancel(Timers::Id* id) override { time_->Cancel(id); }

 private:
  VirtualTime* time_;
};

// What one node has sent.
struct Traffic {
  std::uint64_t messages = 0, bytes = 0;
};

class VirtualMesh;

class VirtualNetwork {
 public:
  static constexpr Micros kDelay = 500;  // one way

  VirtualNetwork(VirtualTime* time, double loss, std::uint64_t seed)
      : time_(time), loss_(loss), random_(seed) {}
  VirtualTime* time() const { return time_; }
  bool Loses() { return loss_ > 0 && std::bernoulli_distribution(loss_)(random_); }
  VirtualMesh* Find(const std::string& address) const {
    const auto found = nodes_.find(address);
    return found == nodes_.end() ? nullptr : found->second;
  }
  void Join(const std::string& address, VirtualMesh* transport) { nodes_[address] = transport; }
  void Part(const std::string& address) { nodes_.erase(address); }
  Traffic total;

 private:
  VirtualTime* time_;
  const double loss_;
  std::mt19937_64 random_;
  std::unordered_map<std::string, VirtualMesh*> nodes_;
};

// A lost call ends as one that nobody answers in time.
class VirtualMesh : public rpc::Transport {
 public:
  VirtualMesh(VirtualNetwork* network, std::string address)
      : network_(network), address_(std::move(address)) {
    network_->Join(address_, this);
  }
  ~VirtualMesh() override { network_->Part(address_); }
  void Handle(rpc::MessageType type, rpc::Handler handler) override {
    handlers_[type] = std::move(handler);
  }
  void Call(const std::string& address, rpc::MessageType type, std::string body, Micros timeout,
            rpc::Done done) override;
  void HandleDatagrams(rpc::DatagramHandler handler) override { datagrams_ = std::move(handler); }
  void SendDatagram(const std::string& address, std::string_view body) override;

  Traffic sent;
  std::unordered_set<std::string> peers;  // addresses that were called

 private:
  void Count(std::size_t bytes);

  VirtualNetwork* network_;
  const std::string address_;
  std::map<rpc::MessageType, rpc::Handler> handlers_;
  rpc::DatagramHandler datagrams_;
};

}  // namespace pearreach::lab::hollow

#endif  // PEARREACH_LAB_HOLLOW_VIRTUAL_NETWORK_H_
