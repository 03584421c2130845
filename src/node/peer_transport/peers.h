// The UDP transport between nodes. Sections of several subsystems share datagrams, by priority and
// within a limit on the bytes sent per second. It owns the socket, the datagram filter and the send
// budget. It sends at most 256 bytes per datagram and reads a bounded number of datagrams per
// wakeup, so that client connections do not wait. It does not interpret the sections. Runs on the
// event loop's thread.
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
  std::vector<std::string> nodes;  // address of each node, by node number, including this one
  std::string broadcast;           // address that reaches every node; may be empty
  int self = 0;
  double bytes_per_second = 2000;  // send limit; a datagram counts once per receiver
};

class PeerTransport : private Poller::Client {
 public:
  struct TopicHandler {
    int priority = 0;  // 0: the highest
    // Optional. Returns a section of at most `room` bytes for a datagram that is about to go to
    // node `to` (-1: all), or an empty string. Sets `*more` if something did not fit.
    std::function<std::string(int to, std::size_t room, bool* more)> add;
    std::function<void(int from, std::uint64_t process, bool late, std::string_view bytes)> receive;
  };
  // `process` returns this process's identifier; it is called for each datagram once the socket is
  // open. `on_replaced` is called if a datagram arrives from a replaced process of a node.
  PeerTransport(Options options, std::function<std::uint64_t()> process,
                std::function<void(int)> on_replaced);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Returns an empty string or the error. Another process of this node may still use the address.
  std::string Open();
  bool open() const { return socket_ != nullptr; }
  void Close();
  int port() const;

  void Register(Topic topic, TopicHandler handler) { handlers_[topic] = std::move(handler); }
  // Sends a section at once, together with sections of other topics; -1: to all nodes. Returns
  // false if the budget is used up, the socket is closed, or the section is too long.
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
  std::map<std::string, int> node_by_address_;
  std::map<Topic, TopicHandler> handlers_;
  std::uint32_t last_sequence_ = 0;
};

}  // namespace pearreach::peer_transport

#endif  // PEARREACH_SRC_NODE_PEER_TRANSPORT_PEERS_H_
