#include "lab/soak/http_connection.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdint>

namespace pearreach::soak {
namespace {

constexpr int kAnswerSeconds = 10;
constexpr char kHost[] = "soak.example";
constexpr char kLineEnd[] = "\r\n";

// Calls again where a signal came in between: that is no end of the connection.
template <typename Call>
ssize_t Uninterrupted(const Call& call) {
  ssize_t result = -1;
  do {
    result = call();
  } while (result < 0 && errno == EINTR);
  return result;
}

std::string HeaderOf(const std::string& head, const std::string& name) {
  for (const absl::string_view line : absl::StrSplit(head, kLineEnd)) {
    const std::size_t colon = line.find(':');
    if (colon == absl::string_view::npos) continue;
    if (absl::AsciiStrToLower(line.substr(0, colon)) == name)
      return std::string(absl::StripAsciiWhitespace(line.substr(colon + 1)));
  }
  return "";
}

}  // namespace

std::string BytesOf(const HttpRequest& request) {
  std::string bytes =
      absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n", "Host: ", kHost, kLineEnd);
  for (const auto& [name, value] : request.headers)
    absl::StrAppend(&bytes, name, ": ", value, kLineEnd);
  absl::StrAppend(&bytes, "Content-Length: ", request.body.size(), "\r\n\r\n", request.body);
  return bytes;
}

bool HttpConnection::Connect() {
  if (open()) return true;
  buffer_.clear();
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval longest = {kAnswerSeconds, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof longest);
  setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &longest, sizeof longest);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port_));
  inet_pton(AF_INET, ip_.c_str(), &address.sin_addr);
  if (connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return true;
  Close();
  return false;
}

void HttpConnection::Close() {
  if (open()) close(descriptor_);
  descriptor_ = -1;
}

HttpAnswer HttpConnection::Ask(const HttpRequest& request) {
  if (!Connect()) return {};
  if (Send(BytesOf(request))) return ReadAnswer();
  Close();
  return {};
}

HttpAnswer HttpConnection::ReadAnswer() {
  HttpAnswer answer;
  answer.sent = true;
  std::size_t end = std::string::npos;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
    if (!ReadMore(&answer)) break;
  if (end != std::string::npos) {
    answer.head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    if (answer.head.size() > 12 && !absl::SimpleAtoi(answer.head.substr(9, 3), &answer.status))
      answer.status = 0;
    answer.complete = ReadBody(&answer);
  }
  const bool keeps = absl::AsciiStrToLower(HeaderOf(answer.head, "connection")) != "close";
  if (!answer.complete || !keeps) Close();
  return answer;
}

bool HttpConnection::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = Uninterrupted(
        [&] { return send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL); });
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool HttpConnection::ReadMore(HttpAnswer* answer) {
  char part[16384];
  const ssize_t count = Uninterrupted([&] { return recv(descriptor_, part, sizeof part, 0); });
  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) answer->timed_out = true;
  if (count < 0) answer->error = errno;
  if (count <= 0) return false;
  buffer_.append(part, static_cast<std::size_t>(count));
  return true;
}

bool HttpConnection::ReadBody(HttpAnswer* answer) {
  if (HeaderOf(answer->head, "transfer-encoding") == "chunked") return ReadChunks(answer);
  std::size_t length = 0;
  if (!absl::SimpleAtoi(HeaderOf(answer->head, "content-length"), &length)) length = 0;
  while (buffer_.size() < length)
    if (!ReadMore(answer)) return false;
  answer->body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return true;
}

bool HttpConnection::ReadChunks(HttpAnswer* answer) {
  for (;;) {
    std::size_t end = std::string::npos;
    while ((end = buffer_.find(kLineEnd)) == std::string::npos)
      if (!ReadMore(answer)) return false;
    std::size_t size = 0;
    if (!absl::SimpleHexAtoi(buffer_.substr(0, end), &size)) return false;
    while (buffer_.size() < end + 2 + size + 2)
      if (!ReadMore(answer)) return false;
    answer->body.append(buffer_, end + 2, size);
    buffer_.erase(0, end + 2 + size + 2);
    if (size == 0) return true;
  }
}

}  // namespace pearreach::soak
