// Words between nodes on a UDP socket: what the subsystems want to say shares datagrams, by
// priority and within a budget of bytes a second. It owns the socket, the gate and the budget; it
// must never send more than 256 bytes, never read so much in one turn that clients wait, and knows
// nothing of what the words mean.
#ifndef PEARREACH_SRC_NODE_PEER_TRANSPORT_PEERS_H_
#define PEARREACH_SRC_NODE_PEER_TRANSPORT_PEERS_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/io.h"
#include "node/peer_transport/gate.h"

namespace pearreach::peer_transport {

struct Options {
  std::string listen;              // ip:port
  std::vector<std::string> nodes;  // each node's address, this one's included, by number
  std::string broadcast;           // an address that reaches every node; may be empty
  int self = 0;
  double bytes_per_second = 2000;  // sent, counted for each receiver
};

class PeerTransport : private Poller::Client {
 public:
  struct TopicHandler {
    int priority = 0;  // 0: the highest
    // What it has to say to that node (-1: to all) beside what is going there anyhow: at most
    // `room` bytes, or nothing. `*more`: there was not room enough.
    std::function<std::string(int to, std::size_t room, bool* more)> add;
    std::function<void(int from, std::uint64_t process, bool late, std::string_view bytes)> receive;
  };
  // `process`: asked for each datagram, once the socket is open. `replaced`: a word came from a
  // process of that node that is known to be replaced.
  PeerTransport(Options options, std::function<std::uint64_t()> process,
                std::function<void(int)> replaced);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Empty, or what is wrong: another process of this node may have the address still.
  std::string Open();
  bool open() const { return socket_ != nullptr; }
  void Close();
  int port() const;

  void Register(Topic topic, TopicHandler source) { handlers_[topic] = std::move(source); }
  // Says it now, with what others add; -1: to all. False: no budget, no socket, or too long.
  bool Send(int to, Topic topic, std::string_view bytes);
  void ObserveProcess(int node, std::uint64_t process) { filter_.ObserveProcess(node, process); }

 private:
  void OnReady(std::uint32_t events) override;
  void Read(std::string_view bytes, GSocketAddress* from);
  bool SendTo(GSocketAddress* to, std::string_view bytes);

  Options options_;
  std::function<std::uint64_t()> process_;
  std::function<void(int)> on_replaced_;
  DatagramFilter filter_;
  Budget budget_;
  GSocket* socket_ = nullptr;
  std::vector<GSocketAddress*> nodes_;
  GSocketAddress* broadcast_address_ = nullptr;
  std::map<std::string, int> node_by_address_;  // by address
  std::map<Topic, TopicHandler> handlers_;
  std::uint32_t last_sequence_ = 0;
};

}  // namespace pearreach::peer_transport

#endif  // PEARREACH_SRC_NODE_PEER_TRANSPORT_PEERS_H_
