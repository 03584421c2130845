// Blocking sockets with time limits, and the little of HTTP/1.1 that the stand-ins speak.
#ifndef PEARREACH_REVIEW_TOOLS_2_NET_H_
#define PEARREACH_REVIEW_TOOLS_2_NET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace review {

// Milliseconds of the steady clock since the program started.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);

// A connected TCP socket, or -1. `from`: the local address; empty: any.
int Connect(const std::string& ip, int port, int timeout_ms);
// A listening TCP socket, or -1.
int Listen(const std::string& ip, int port);
bool SendAll(int fd, const std::string& bytes);
// Waits up to `timeout_ms`. Bytes read, 0 at the end of the stream, -1 on failure, -2 on time-out.
int ReadSome(int fd, std::string* out, int timeout_ms);

using Headers = std::map<std::string, std::string>;  // names in lower case

struct Message {
  std::string first_line;
  Headers headers;
  std::string body;
};

// Reads one message with a length, chunks or no body; false: it did not come whole in time.
bool ReadMessage(int fd, std::string* buffer, Message* message, int timeout_ms);

struct Answer {
  int status = 0;  // 0: no whole answer
  Headers headers;
  std::string body;
  std::int64_t sent_ms = 0, ended_ms = 0;
};

// One call on a connection of its own.
Answer Call(const std::string& ip, int port, const std::string& method, const std::string& target,
            const std::vector<std::string>& header_lines, const std::string& body, int timeout_ms);

std::string Lower(std::string text);

}  // namespace review

#endif  // PEARREACH_REVIEW_TOOLS_2_NET_H_
