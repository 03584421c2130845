#include "lab/soak/crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace pearreach::soak {
namespace {

constexpr std::size_t kBlockBytes = 256 << 10;  // of repeated units, sent from one buffer
constexpr std::size_t kLargeChunkBytes = 64 << 10;
constexpr std::size_t kPieceBytes = 8 << 10;
constexpr std::size_t kTurnBytes = 128 << 10;  // of one connection, before the next has its turn
constexpr int kPollMs = 20;
constexpr int kEndlessFactor = 16;  // times the limit

std::string Repeated(const std::string& unit) {
  std::string block;
  block.reserve(kBlockBytes + unit.size());
  while (block.size() < kBlockBytes) block += unit;
  return block;
}

std::string ChunkOf(std::size_t bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
}

bool IsChunked(BodyForm form) {
  return form == BodyForm::kEndlessChunks || form == BodyForm::kLargeChunks ||
         form == BodyForm::kChunksOfOneByte;
}

std::string HeadOf(const CrowdOptions& options) {
  std::string head = fmt::format("POST {} HTTP/1.1\r\nHost: soak.example\r\n", options.target);
  for (const auto& [name, value] : options.headers) head += fmt::format("{}: {}\r\n", name, value);
  const std::size_t length =
      options.form == BodyForm::kWholeLength ? options.whole_body.size() : options.body_bytes;
  head += IsChunked(options.form) ? std::string("Transfer-Encoding: chunked\r\n")
                                  : fmt::format("Content-Length: {}\r\n", length);
  return head;
}

}  // namespace

// One connection.
class Crowd::Member {
 public:
  Member(Crowd* crowd, int number) : crowd_(crowd), number_(number) {}
  ~Member() { Close(); }
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  void Open() {
    sent_ = 0;
    answered_ = false;
    head_ = fmt::format("{}X-Attempt-Id: crowd-{}-{}-{}\r\n\r\n", crowd_->head_, getpid(), number_,
                        ++times_);
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor_ < 0) return;
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(crowd_->options_.port));
    inet_pton(AF_INET, crowd_->options_.ip.c_str(), &address.sin_addr);
    const int result =
        connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (result == 0 || errno == EINPROGRESS)
      ++crowd_->opened_;
    else
      Close();
  }
  void Close() {
    if (descriptor_ >= 0) close(descriptor_);
    descriptor_ = -1;
    closed_at_ = Now();
  }
  bool open() const { return descriptor_ >= 0; }
  bool MayReopen() const {
    return !open() && Now() - closed_at_ >= crowd_->options_.reconnect_pause;
  }
  bool done() const { return !open() || sent_ >= Total(); }
  pollfd Wanted() const {
    const short wanted = done() ? POLLIN : POLLIN | POLLOUT;
    return {descriptor_, wanted, 0};
  }
  void OnReady(short events) {
    if ((events & (POLLIN | POLLERR | POLLHUP)) != 0 && !Read()) return;
    if ((events & POLLOUT) != 0) Write();
  }

 private:
  std::uint64_t Total() const { return head_.size() + crowd_->body_wire_; }

  bool Read() {
    char part[4096];
    const ssize_t count = recv(descriptor_, part, sizeof part, MSG_DONTWAIT);
    if (count < 0 && errno == EAGAIN) return true;
    if (count > 0) {
      if (!answered_) ++crowd_->answers_;
      answered_ = true;
      return true;
    }
    ++crowd_->closed_by_peer_;
    Close();
    return false;
  }

  void Write() {
    const bool pieces = crowd_->options_.form == BodyForm::kPiecesOfLength;
    std::size_t left = pieces ? kPieceBytes : kTurnBytes;
    while (left > 0 && sent_ < Total()) {
      const std::string& part = sent_ < head_.size() ? head_ : crowd_->unit_;
      const std::uint64_t in_body = sent_ < head_.size() ? 0 : sent_ - head_.size();
      const std::size_t at = sent_ < head_.size() ? sent_ : in_body % part.size();
      const std::size_t most = std::min<std::uint64_t>(Total() - sent_, part.size() - at);
      const ssize_t count =
          send(descriptor_, part.data() + at, std::min(most, left), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0 && errno == EAGAIN) return;
      if (count <= 0) {
        ++crowd_->closed_by_peer_;
        return Close();
      }
      sent_ += static_cast<std::uint64_t>(count);
      crowd_->bytes_sent_ += static_cast<std::uint64_t>(count);
      left -= static_cast<std::size_t>(count);
    }
  }

  Crowd* const crowd_;
  const int number_;
  int times_ = 0, descriptor_ = -1;
  std::string head_;
  std::uint64_t sent_ = 0;
  bool answered_ = false;
  Microseconds closed_at_ = 0;
};

Crowd::Crowd(CrowdOptions options) : options_(std::move(options)), head_(HeadOf(options_)) {
  switch (options_.form) {
    case BodyForm::kWholeLength:
      unit_ = options_.whole_body;
      body_wire_ = unit_.size();
      break;
    case BodyForm::kShortOfLength:
    case BodyForm::kPiecesOfLength:
      unit_ = std::string(kBlockBytes, 'x');
      body_wire_ = options_.body_bytes - 1;
      break;
    case BodyForm::kAnnouncedOnly:
      unit_ = "x";
      body_wire_ = 0;
      break;
    case BodyForm::kEndlessChunks:
      unit_ = ChunkOf(kLargeChunkBytes);
      body_wire_ = static_cast<std::uint64_t>(options_.body_bytes) * kEndlessFactor;
      break;
    case BodyForm::kLargeChunks:
      unit_ = ChunkOf(kLargeChunkBytes);
      body_wire_ = (options_.body_bytes / kLargeChunkBytes - 1) * unit_.size();
      break;
    case BodyForm::kChunksOfOneByte: {
      const std::string chunk = ChunkOf(1);
      unit_ = Repeated(chunk);
      body_wire_ = (options_.body_bytes - 1) * chunk.size();
      break;
    }
  }
  thread_ = std::thread([this] { Run(); });
}

Crowd::~Crowd() { Stop(); }

void Crowd::Stop() {
  stops_ = true;
  if (thread_.joinable()) thread_.join();
}

bool Crowd::AwaitSent(Microseconds longest) const {
  const Microseconds until = Now() + longest;
  while (!all_sent_ && Now() < until) SleepFor(20 * kMillisecond);
  return all_sent_;
}

void Crowd::Run() {
  std::vector<std::unique_ptr<Member>> members;
  for (int number = 0; number < options_.connections; ++number) {
    members.push_back(std::make_unique<Member>(this, number));
    members.back()->Open();
  }
  std::vector<pollfd> wanted(members.size());
  while (!stops_) {
    std::transform(members.begin(), members.end(), wanted.begin(),
                   [](const auto& member) { return member->Wanted(); });
    poll(wanted.data(), wanted.size(), kPollMs);
    for (std::size_t at = 0; at < members.size(); ++at) {
      if (members[at]->open() && wanted[at].revents != 0) members[at]->OnReady(wanted[at].revents);
      if (options_.reconnects && members[at]->MayReopen()) members[at]->Open();
    }
    all_sent_ = std::all_of(members.begin(), members.end(),
                            [](const auto& member) { return member->done(); });
  }
}

}  // namespace pearreach::soak
