// A client of one connection for tests, with the bytes as they are, and the loop that serves it.
#ifndef PEARREACH_TESTS_TIER_HTTP_SERVER_RAW_CLIENT_H_
#define PEARREACH_TESTS_TIER_HTTP_SERVER_RAW_CLIENT_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "common/event_loop/io.h"

namespace pearreach::http_server {

// Turns the main loop until `done`, at most so long. Returns done().
inline bool RunUntil(const std::function<bool()>& done, Micros most = 3 * kSecond) {
  constexpr Micros kLook = 1 * kMs;
  const Micros end = Now() + most;
  Alarm look([] {});
  while (!done() && Now() < end) {
    look.Set(Now() + kLook);
    g_main_context_iteration(nullptr, TRUE);
  }
  return done();
}

class RawClient {
 public:
  explicit RawClient(int port) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return connected_; }
  void Send(std::string_view bytes) { send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
  void EndSending() { shutdown(fd_, SHUT_WR); }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  const std::string& got() {
    Read();
    return got_;
  }
  bool ended() {  // by the server, in order or not
    Read();
    return ended_;
  }
  bool reset() const { return reset_; }
  bool GotAll(std::string_view text) {
    return RunUntil([&] { return got().find(text) != std::string::npos; });
  }
  bool SeesEnd() {
    return RunUntil([&] { return ended(); });
  }

 private:
  void Read() {
    char buffer[16384];
    ssize_t n = 0;
    while ((n = recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
      got_.append(buffer, static_cast<std::size_t>(n));
    if (n < 0 && errno != EAGAIN) reset_ = true;
    if (n == 0 || reset_) ended_ = true;
  }

  int fd_;
  bool connected_ = false, ended_ = false, reset_ = false;
  std::string got_;
};

}  // namespace pearreach::http_server

#endif  // PEARREACH_TESTS_TIER_HTTP_SERVER_RAW_CLIENT_H_
