// Many connections of clients that stay outside the limits: bodies that are too large, that stop
// just short of their end, or that come in chunks of one byte. A thread of its own writes to all of
// them and keeps them open until Stop.
#ifndef PEARREACH_LAB_SOAK_CROWD_H_
#define PEARREACH_LAB_SOAK_CROWD_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "lab/soak/clock.h"

namespace pearreach::soak {

enum class BodyForm {
  kWholeLength,      // announced by Content-Length, and sent to its last byte
  kShortOfLength,    // announced, and sent but for its last byte
  kPiecesOfLength,   // likewise, a small piece of each connection in turn
  kAnnouncedOnly,    // announced, and nothing of it sent
  kEndlessChunks,    // chunked, and far beyond the limit
  kLargeChunks,      // chunked in chunks of 64 KiB, without its end
  kChunksOfOneByte,  // chunked in chunks of one byte, without its end
};

struct CrowdOptions {
  std::string ip;
  int port = 0;
  std::string target = "/plain/1";
  std::vector<std::pair<std::string, std::string>> headers;
  int connections = 0;
  BodyForm form = BodyForm::kShortOfLength;
  std::size_t body_bytes = 0;  // of the whole body, without the framing of chunks
  std::string whole_body;      // kWholeLength: what is sent in place of `body_bytes` bytes
  bool reconnects = false;     // a connection that was closed is opened again, after a pause
  Microseconds reconnect_pause = 0;
};

class Crowd {
 public:
  explicit Crowd(CrowdOptions options);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  void Stop();
  // Whether each connection has sent all that it means to, or was closed, within `longest`.
  bool AwaitSent(Microseconds longest) const;
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  int opened() const { return opened_; }
  int closed_by_peer() const { return closed_by_peer_; }
  int answers() const { return answers_; }  // connections that got any bytes back

 private:
  class Member;

  void Run();

  const CrowdOptions options_;
  std::string head_, unit_;      // what is sent first; what is repeated then
  std::uint64_t body_wire_ = 0;  // bytes of repeated units that are sent
  std::atomic<bool> stops_ = false;
  std::atomic<bool> all_sent_ = false;
  std::atomic<std::uint64_t> bytes_sent_ = 0;
  std::atomic<int> opened_ = 0, closed_by_peer_ = 0, answers_ = 0;
  std::thread thread_;
};

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_CROWD_H_
