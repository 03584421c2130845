// A non-blocking UDP socket on the main loop. Owned by the transport. Loop thread only.
#ifndef PEARREACH_SRC_TIER_RPC_DATAGRAM_SOCKET_H_
#define PEARREACH_SRC_TIER_RPC_DATAGRAM_SOCKET_H_

#include <absl/status/status.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "common/event_loop/poller.h"

namespace pearreach::rpc {

class DatagramSocket : private Poller::Client {
 public:
  using Receiver = std::function<void(const std::string& from_ip, std::string_view bytes)>;

  DatagramSocket() = default;
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Binds the socket. INVALID_ARGUMENT: `ip` is no IPv4 address; RESOURCE_EXHAUSTED: no more
  // descriptors can be watched; otherwise the code of errno. REQUIRES: called once.
  absl::Status Open(const std::string& ip, int port);
  // Sends to "ip:port". Drops the datagram if the address is invalid or the socket's buffer is
  // full.
  void Send(const std::string& address, std::string_view bytes);
  // Called for each datagram that arrives; `bytes` are valid during the call.
  void SetReceiver(Receiver receiver) { receiver_ = std::move(receiver); }

 private:
  void OnReady(std::uint32_t events) override;

  int fd_ = -1;  // owned
  Receiver receiver_;
};

}  // namespace pearreach::rpc

#endif  // PEARREACH_SRC_TIER_RPC_DATAGRAM_SOCKET_H_
