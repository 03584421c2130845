#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

const auto kStart = std::chrono::steady_clock::now();

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Trim(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t\r");
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

// Reads until `buffer` holds `bytes`; false: it did not come in time.
bool Await(int fd, std::string* buffer, std::size_t bytes, std::int64_t deadline) {
  while (buffer->size() < bytes) {
    if (ReadSome(fd, buffer, static_cast<int>(deadline - NowMs())) <= 0) return false;
  }
  return true;
}

bool ReadLine(int fd, std::string* buffer, std::string* line, std::int64_t deadline) {
  std::size_t end = 0;
  while ((end = buffer->find("\r\n")) == std::string::npos) {
    if (ReadSome(fd, buffer, static_cast<int>(deadline - NowMs())) <= 0) return false;
  }
  *line = buffer->substr(0, end);
  buffer->erase(0, end + 2);
  return true;
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               kStart)
      .count();
}

void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

int Connect(const std::string& ip, int port, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return -1;
  const sockaddr_in address = AddressOf(ip, port);
  connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  pollfd wait{fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (poll(&wait, 1, timeout_ms) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

int Listen(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

int ReadSome(int fd, std::string* out, int timeout_ms) {
  pollfd wait{fd, POLLIN, 0};
  const int ready = poll(&wait, 1, std::max(timeout_ms, 0));
  if (ready == 0) return -2;
  char bytes[16384];
  const ssize_t n = ready < 0 ? -1 : recv(fd, bytes, sizeof bytes, 0);
  if (n > 0) out->append(bytes, static_cast<std::size_t>(n));
  return static_cast<int>(n);
}

bool ReadMessage(int fd, std::string* buffer, Message* message, int timeout_ms) {
  const std::int64_t deadline = NowMs() + timeout_ms;
  *message = {};
  if (!ReadLine(fd, buffer, &message->first_line, deadline)) return false;
  std::string line;
  for (;;) {
    if (!ReadLine(fd, buffer, &line, deadline)) return false;
    if (line.empty()) break;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    message->headers[Lower(line.substr(0, colon))] = Trim(line.substr(colon + 1));
  }
  if (message->headers.count("transfer-encoding") > 0) {
    for (;;) {
      if (!ReadLine(fd, buffer, &line, deadline)) return false;
      const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (!Await(fd, buffer, size + 2, deadline)) return false;
      message->body.append(*buffer, 0, size);
      buffer->erase(0, size + 2);
      if (size == 0) return true;
    }
  }
  const auto length = message->headers.find("content-length");
  if (length == message->headers.end()) return true;
  const std::size_t size = std::strtoul(length->second.c_str(), nullptr, 10);
  if (!Await(fd, buffer, size, deadline)) return false;
  message->body = buffer->substr(0, size);
  buffer->erase(0, size);
  return true;
}

Answer Call(const std::string& ip, int port, const std::string& method, const std::string& target,
            const std::vector<std::string>& header_lines, const std::string& body, int timeout_ms) {
  Answer answer;
  answer.sent_ms = NowMs();
  const int fd = Connect(ip, port, std::min(timeout_ms, 1000));
  if (fd >= 0) {
    std::string head = method + " " + target + " HTTP/1.1\r\n";
    bool has_host = false;
    for (const std::string& line : header_lines) {
      head += line + "\r\n";
      has_host = has_host || Lower(line).rfind("host:", 0) == 0;
    }
    if (!has_host) head += "Host: " + ip + "\r\n";
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    std::string buffer;
    Message message;
    const bool whole =
        SendAll(fd, head + body) &&
        ReadMessage(fd, &buffer, &message, timeout_ms - static_cast<int>(NowMs() - answer.sent_ms));
    if (whole && message.first_line.size() >= 12) {
      answer.status = std::atoi(message.first_line.substr(9, 3).c_str());
      answer.headers = message.headers;
      answer.body = message.body;
    }
    close(fd);
  }
  answer.ended_ms = NowMs();
  return answer;
}

}  // namespace review
