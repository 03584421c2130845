#include "node/hot_restart/handover.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace pearreach {
namespace {

constexpr char kTake = 'T', kListener = 'L', kKnowledge = 'K', kReady = 'R', kYours = 'Y',
               kNews = 'N', kConnection = 'C';
constexpr std::size_t kHead = 5;              // type, length
constexpr std::size_t kMaxFrame = 40u << 20;  // knowledge is the longest

std::string Frame(char type, std::string_view payload) {
  std::string frame(1, type);
  for (int i = 0; i < 4; ++i) frame += static_cast<char>(payload.size() >> (8 * i) & 0xff);
  return frame.append(payload);
}
// The length behind a type; nothing: too long.
std::optional<std::size_t> LengthOf(std::string_view head) {
  std::size_t n = 0;
  for (int i = 3; i >= 0; --i)
    n = n << 8 | static_cast<unsigned char>(head[1 + static_cast<std::size_t>(i)]);
  if (n > kMaxFrame) return std::nullopt;
  return n;
}

// A descriptor that closes itself unless it is taken.
struct Descriptor {
  int fd = -1;
  ~Descriptor() {
    if (fd >= 0) ::close(fd);
  }
  int Take() { return std::exchange(fd, -1); }
};

}  // namespace

HandOver::HandOver(std::string path, std::string name, Events events)
    : path_(std::move(path)), name_(std::move(name)), events_(std::move(events)) {}

HandOver::~HandOver() {
  for (const int fd : came_) ::close(fd);
  Drop(&before_);
  Drop(&next_);
  if (listener_ != nullptr) ::unlink(path_.c_str());
}

// Blocking, and so by plain system calls: nothing is served yet that could wait.
std::optional<HandOver::Taken> HandOver::Ask(Micros patience, std::string* why) {
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  why->clear();
  if (path_.size() >= sizeof at.sun_path) return *why = "the path is too long", std::nullopt;
  std::memcpy(at.sun_path, path_.c_str(), path_.size() + 1);
  Descriptor link{::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  const timeval wait{static_cast<time_t>(patience / kSecond),
                     static_cast<suseconds_t>(patience % kSecond)};
  setsockopt(link.fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  if (::connect(link.fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    if (errno != ENOENT && errno != ECONNREFUSED) *why = std::strerror(errno);
    return std::nullopt;
  }
  const std::string take = Frame(kTake, name_);
  if (::send(link.fd, take.data(), take.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(take.size()))
    return *why = "it does not listen", std::nullopt;
  Descriptor listener;
  std::string in;
  while (true) {
    char bytes[1 << 16];
    iovec part{bytes, sizeof bytes};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))];
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    const ssize_t n = ::recvmsg(link.fd, &message, MSG_CMSG_CLOEXEC);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) {
      *why = n == 0 ? "it hands over to nobody now" : "it does not answer";
      return std::nullopt;
    }
    for (cmsghdr* c = CMSG_FIRSTHDR(&message); c != nullptr; c = CMSG_NXTHDR(&message, c)) {
      if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_RIGHTS) continue;
      int fd = -1;
      std::memcpy(&fd, CMSG_DATA(c), sizeof fd);
      if (listener.fd >= 0) ::close(listener.fd);
      listener.fd = fd;
    }
    in.append(bytes, static_cast<std::size_t>(n));
    while (in.size() >= kHead) {
      const auto length = LengthOf(in);
      if (!length) return *why = "it does not speak this language", std::nullopt;
      if (in.size() < kHead + *length) break;
      const char type = in[0];
      std::string payload = in.substr(kHead, *length);
      in.erase(0, kHead + *length);
      if (type != kKnowledge) continue;
      if (listener.fd < 0) return *why = "it gave no listener", std::nullopt;
      GSocket* socket = g_socket_new_from_fd(link.fd, nullptr);
      if (socket == nullptr) return *why = "its link is of no use", std::nullopt;
      link.Take();
      before_.stream = Stream::Adopt(socket);
      before_.stream->TakeDescriptors([this](int fd) { came_.push_back(fd); });
      before_.stream->Listen({[] {}, [this](std::string_view b) { OnData(&before_, b); },
                              [this] { OnClosed(&before_); }});
      return Taken{listener.Take(), std::move(payload)};
    }
  }
}

std::string HandOver::Serve() {
  serving_ = true;
  if (before_.stream != nullptr) {
    before_.stream->Write(Frame(kReady, ""));
    return "";  // the path is this one's when that one says so
  }
  std::string wrong = Open();
  if (events_.alone) events_.alone();
  return wrong;
}

std::string HandOver::Open() {
  listener_ = std::make_unique<Listener>(
      [this](std::shared_ptr<Stream> stream) { OnNext(std::move(stream)); });
  // A path that is left over is that of a process that died.
  ::unlink(path_.c_str());
  std::string wrong = listener_->OpenPath(path_);
  if (!wrong.empty()) listener_.reset();
  return wrong;
}

void HandOver::OnNext(std::shared_ptr<Stream> stream) {
  // One at a time: a third process would not be told of the first one's jobs.
  if (next_.stream != nullptr || before_.stream != nullptr || !serving_) {
    Count("hand_over_refused");
    return stream->Close();
  }
  next_ = {std::move(stream), {}};
  next_.stream->Listen(
      {[] {}, [this](std::string_view b) { OnData(&next_, b); }, [this] { OnClosed(&next_); }});
}

bool HandOver::Forward(const std::string& news) {
  for (Link* link : {&before_, &next_}) {
    // To one that has not taken over yet nothing of this one's is known.
    if (link->stream == nullptr || (link == &next_ && !leaving_)) continue;
    if (link->stream->Write(Frame(kNews, news))) return true;
  }
  return false;
}

bool HandOver::Pass(int descriptor) {
  if (!leaving_ || next_.stream == nullptr) return false;
  return next_.stream->WriteWith(Frame(kConnection, ""), descriptor);
}

void HandOver::OnData(Link* link, std::string_view bytes) {
  link->in.append(bytes);
  while (link->stream != nullptr && link->in.size() >= kHead) {
    const auto length = LengthOf(link->in);
    if (!length) {
      CountFault("hand_over_odd", "a frame that is too long");
      return OnClosed(link);
    }
    if (link->in.size() < kHead + *length) return;
    const char type = link->in[0];
    std::string payload = link->in.substr(kHead, *length);
    link->in.erase(0, kHead + *length);
    OnFrame(link, type, payload);
  }
}

void HandOver::OnFrame(Link* link, char type, const std::string& payload) {
  const bool from_next = link == &next_;
  if (type == kNews) return events_.news(payload);
  if (!from_next && type == kConnection) {
    if (!Must(!came_.empty(), "hand_over_connection_without_descriptor")) return;
    const int fd = came_.front();
    came_.erase(came_.begin());
    if (events_.connection) return events_.connection(fd);
    ::close(fd);
    return;
  }
  if (from_next && type == kTake) {
    if (payload != name_) {
      CountFault("hand_over_odd", "node " + payload + " wants this one's listener");
      return Drop(link);
    }
    // In one piece into an empty socket, or not at all.
    if (!link->stream->WriteWith(Frame(kListener, ""), events_.listener())) return OnClosed(link);
    link->stream->Write(Frame(kKnowledge, events_.knowledge()));
  } else if (from_next && type == kReady && !leaving_) {
    leaving_ = true;
    Count("handed_over");
    listener_.reset();
    ::unlink(path_.c_str());
    events_.leave();
    link->stream->Write(Frame(kYours, ""));
  } else if (!from_next && type == kYours) {
    if (const std::string wrong = Open(); !wrong.empty())
      CountFault("hand_over_path", path_ + ": " + wrong);
    if (events_.alone) events_.alone();
  }
}

void HandOver::OnClosed(Link* link) {
  const bool was_next = link == &next_;
  Drop(link);
  if (was_next) {
    if (!std::exchange(leaving_, false))
      return;  // it died before it was ready: nothing has changed
    Count("hand_over_taken_back");
    if (const std::string wrong = Open(); !wrong.empty())
      CountFault("hand_over_path", path_ + ": " + wrong);
    events_.stay();
  } else if (serving_ && listener_ == nullptr) {
    // It ended before it could say that the path is free.
    if (const std::string wrong = Open(); !wrong.empty())
      CountFault("hand_over_path", path_ + ": " + wrong);
    if (events_.alone) events_.alone();
  }
}

void HandOver::Drop(Link* link) {
  if (link->stream != nullptr) link->stream->Close();
  link->stream.reset();
  link->in.clear();
}

}  // namespace pearreach
