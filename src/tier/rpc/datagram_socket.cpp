#include "tier/rpc/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>

namespace pearreach::rpc {
namespace {

constexpr int kMaxReadsPerWakeup = 32;  // then the other sources get their turn
constexpr std::size_t kBufferBytes = 64 << 10;

bool ParseAddress(const std::string& ip, int port, sockaddr_in* address) {
  std::memset(address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons(static_cast<std::uint16_t>(port));
  return inet_pton(AF_INET, ip.c_str(), &address->sin_addr) == 1;
}

}  // namespace

DatagramSocket::~DatagramSocket() {
  if (fd_ < 0) return;
  Poller::Default().Remove(fd_);
  close(fd_);
}

absl::Status DatagramSocket::Open(const std::string& ip, int port) {
  sockaddr_in address;
  if (!ParseAddress(ip, port, &address))
    return absl::InvalidArgumentError("'" + ip + "' is no IPv4 address");
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) return absl::ErrnoToStatus(errno, "socket");
  if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    return absl::ErrnoToStatus(errno, "bind");
  if (!Poller::Default().Set(fd_, EPOLLIN, this)) {
    return absl::ResourceExhaustedError("no more descriptors can be watched");
  }
  return absl::OkStatus();
}

void DatagramSocket::Send(const std::string& address, std::string_view bytes) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return;
  sockaddr_in to;
  if (!ParseAddress(address.substr(0, colon), std::atoi(address.c_str() + colon + 1), &to)) return;
  // A datagram may be lost anyway: nothing waits for room in the socket's buffer.
  (void)sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<sockaddr*>(&to),
               sizeof to);
}

void DatagramSocket::OnReady(std::uint32_t) {
  static char buffer[kBufferBytes];
  for (int i = 0; i < kMaxReadsPerWakeup; ++i) {
    sockaddr_in from;
    socklen_t size = sizeof from;
    const ssize_t n =
        recvfrom(fd_, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (n < 0) return;
    char ip[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &from.sin_addr, ip, sizeof ip);
    if (receiver_) receiver_(ip, std::string_view(buffer, static_cast<std::size_t>(n)));
  }
}

}  // namespace pearreach::rpc
