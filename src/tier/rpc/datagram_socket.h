// A non-blocking UDP socket on the main loop.
#ifndef PEARREACH_SRC_TIER_RPC_DATAGRAM_SOCKET_H_
#define PEARREACH_SRC_TIER_RPC_DATAGRAM_SOCKET_H_

#include <functional>
#include <string>
#include <string_view>

#include "common/event_loop/poller.h"

namespace pearreach::rpc {

class DatagramSocket : private Poller::Client {
 public:
  DatagramSocket() = default;
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  std::string Open(const std::string& ip, int port);  // empty, or what is wrong
  void Send(const std::string& address, std::string_view bytes);
  std::function<void(const std::string& from_ip, std::string_view bytes)> received;

 private:
  void OnReady(std::uint32_t events) override;

  int fd_ = -1;
};

}  // namespace pearreach::rpc

#endif  // PEARREACH_SRC_TIER_RPC_DATAGRAM_SOCKET_H_
