// Which datagrams are believed, and what may be sent: pure, without sockets or clock. The gate
// holds, for each node, the latest process and which of its datagrams have been read; it must never
// believe a replaced process, an unknown sender or one datagram twice. The budget holds a node to
// its bytes a second.
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
    bool late = false;  // the sender's later ones have been read already
  };
  // `source`: whose address of `peers` it came from; -1: none's.
  std::optional<Accepted> Admit(std::string_view bytes, int source, DropReason* drop_reason);
  // A later process of that node is known of, from it or from others.
  void ObserveProcess(int node, std::uint64_t process);
  std::uint64_t process(int node) const { return peers_[static_cast<std::size_t>(node)].process; }

 private:
  struct Peer {
    std::uint64_t process = 0;
    std::uint32_t highest = 0;
    std::uint64_t received = 0;  // bit i: the one i before the highest
  };
  int self_;
  std::vector<Peer> peers_;
};

// Bytes a second, saved up for a second at most. What is of lower priority leaves a part to the
// rest, so that in want it is the first to wait.
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
