// The filter for received datagrams and the rate limit for sent ones, without sockets or clock. For
// each node the filter keeps the latest process and the sequence numbers received from it. It never
// accepts a datagram of a replaced process, from an unknown sender, or a second time.
#ifndef PEARREACH_SRC_NODE_PEER_TRANSPORT_GATE_H_
#define PEARREACH_SRC_NODE_PEER_TRANSPORT_GATE_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "node/peer_transport/datagram.h"

namespace pearreach::peer_transport {

class DatagramFilter {
 public:
  DatagramFilter(int self, int nodes) : self_(self), peers_(static_cast<std::size_t>(nodes)) {}

  struct Accepted {
    Datagram datagram;
    bool late = false;  // a datagram with a higher sequence number has arrived before
  };
  // `source`: the node whose configured address the datagram came from; -1: none. Returns nothing
  // and sets `*drop_reason` if the datagram is dropped.
  std::optional<Accepted> Admit(std::string_view bytes, int source, DropReason* drop_reason);
  // Notes the latest process of a node, as learned from membership. Datagrams of earlier ones are
  // dropped from now on.
  void ObserveProcess(int node, std::uint64_t process);
  std::uint64_t process(int node) const { return peers_[static_cast<std::size_t>(node)].process; }

 private:
  struct Peer {
    std::uint64_t process = 0;
    std::uint32_t highest = 0;   // sequence number
    std::uint64_t received = 0;  // bit i: highest - i was received
  };
  int self_;
  std::vector<Peer> peers_;
};

// A token bucket in bytes, with a capacity of one second. A lower priority must leave a reserve for
// the higher ones, so it is the first to be refused when tokens run short.
class Budget {
 public:
  using Micros = std::int64_t;
  Budget(double per_second, Micros now) : rate_(per_second), left_(per_second), at_(now) {}

  // `priority` 0 is the highest.
  bool Take(Micros now, double bytes, int priority) {
    left_ = std::min(rate_, left_ + rate_ * static_cast<double>(now - at_) / 1e6);
    at_ = now;
    if (left_ - bytes < std::min(3, priority) * 0.2 * rate_) return false;
    left_ -= bytes;
    return true;
  }

 private:
  double rate_, left_;
  Micros at_;
};

}  // namespace pearreach::peer_transport

#endif  // PEARREACH_SRC_NODE_PEER_TRANSPORT_GATE_H_
