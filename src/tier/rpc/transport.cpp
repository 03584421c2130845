#include "tier/rpc/transport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "common/event_loop/io.h"
#include "tier/rpc/datagram_socket.h"
#include "tier/rpc/frame.h"

namespace pearreach::rpc {
namespace {

// A connection is closed once sent bytes stay unacknowledged for so long.
constexpr int kUserTimeoutMs = 2000;
constexpr Micros kConnectTimeout = 500 * kMs;

std::string PeerIp(int fd) {
  sockaddr_in address;
  socklen_t size = sizeof address;
  char ip[INET_ADDRSTRLEN] = "";
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0)
    inet_ntop(AF_INET, &address.sin_addr, ip, sizeof ip);
  return ip;
}

void SetUserTimeout(int fd) {
  const int value = kUserTimeoutMs;
  (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

// The client side of the connection to one address, opened again when a call needs it.
class Channel {
 public:
  Channel(std::string address, Timers* timers, std::shared_ptr<memory::MemoryBudget> memory)
      : address_(std::move(address)),
        timers_(timers),
        unsent_charge_(std::move(memory), memory::ChargeKind::kRequest) {}
  ~Channel() { Close(); }

  void Call(MessageType type, std::string_view body, Micros timeout, Done done) {
    const std::uint64_t id = ++last_call_;
    PendingCall pending{std::move(done), 0, Now()};
    pending.timer = timers_->After(timeout, [this, id] { Expire(id); });
    pending_.emplace(id, std::move(pending));
    if (stream_ == nullptr && !Open()) {
      // The failure is reported from the loop, never from inside Call.
      PendingCall& failed = pending_.at(id);
      timers_->Cancel(&failed.timer);
      failed.timer = timers_->After(
          0, [this, id] { Complete(id, absl::UnavailableError("no connection can be made")); });
      return;
    }
    std::string frame;
    AppendFrame({FrameKind::kRequest, static_cast<std::uint8_t>(type), id, body}, &frame);
    if (!stream_->Write(frame)) ScheduleClose();
    unsent_charge_.Set(stream_->unsent());
  }

 private:
  struct PendingCall {
    Done done;
    Timers::Id timer = 0;
    Micros sent = 0;
  };

  bool Open() {
    reader_ = FrameReader();
    const std::uint64_t generation = ++generation_;
    stream_ = Stream::Connect(
        address_, {[this] { OnConnected(); }, [this](std::string_view bytes) { OnData(bytes); },
                   [this] { CloseAndFailPending(); }, [this] { unsent_charge_.Set(0); }});
    if (stream_ == nullptr) return false;
    connected_ = false;
    SetUserTimeout(stream_->descriptor());
    connect_timer_ = timers_->After(kConnectTimeout, [this, generation] {
      connect_timer_ = 0;
      if (generation == generation_ && !connected_) CloseAndFailPending();
    });
    return true;
  }

  void OnConnected() {
    connected_ = true;
    timers_->Cancel(&connect_timer_);
    last_received_ = Now();
  }

  void OnData(std::string_view bytes) {
    last_received_ = Now();
    unsent_charge_.Set(stream_->unsent());
    reader_.Feed(bytes);
    const std::uint64_t generation = generation_;
    Frame frame;
    while (generation == generation_) {
      const FrameReader::State state = reader_.Next(&frame);
      if (state == FrameReader::State::kIncomplete) return;
      if (state == FrameReader::State::kInvalid) return CloseAndFailPending();
      OnFrame(frame);
    }
  }

  void OnFrame(const Frame& frame) {
    if (frame.kind == FrameKind::kResponse) return Complete(frame.call, std::string(frame.body));
    if (frame.kind == FrameKind::kError)
      Complete(frame.call,
               absl::Status(static_cast<absl::StatusCode>(frame.type), std::string(frame.body)));
  }

  void Expire(std::uint64_t id) {
    const auto found = pending_.find(id);
    if (found == pending_.end()) return;
    const bool unresponsive = last_received_ < found->second.sent;
    Complete(id, absl::DeadlineExceededError("no answer in time"));
    // Nothing at all has arrived since that call: the network may be partitioned, so the next call
    // gets a new connection rather than waiting behind bytes that are stuck.
    if (unresponsive && stream_ != nullptr) CloseAndFailPending();
  }

  void Complete(std::uint64_t id, absl::StatusOr<std::string> response) {
    const auto found = pending_.find(id);
    if (found == pending_.end()) return;
    PendingCall pending = std::move(found->second);
    pending_.erase(found);
    timers_->Cancel(&pending.timer);
    pending.done(std::move(response));
  }

  void ScheduleClose() {
    const std::uint64_t generation = generation_;
    timers_->After(0, [this, generation] {
      if (generation == generation_) CloseAndFailPending();
    });
  }

  void CloseAndFailPending() {
    Close();
    std::unordered_map<std::uint64_t, PendingCall> failed;
    failed.swap(pending_);
    for (auto& [id, pending] : failed) {
      timers_->Cancel(&pending.timer);
      pending.done(absl::UnavailableError("the connection ended"));
    }
  }

  void Close() {
    ++generation_;
    timers_->Cancel(&connect_timer_);
    if (stream_ != nullptr) stream_->Close();
    stream_ = nullptr;
    unsent_charge_.Set(0);
  }

  const std::string address_;
  Timers* const timers_;
  std::shared_ptr<Stream> stream_;
  FrameReader reader_;
  std::unordered_map<std::uint64_t, PendingCall> pending_;
  std::uint64_t last_call_ = 0, generation_ = 0;
  Timers::Id connect_timer_ = 0;
  Micros last_received_ = 0;
  bool connected_ = false;
  memory::MemoryCharge unsent_charge_;
};

// The server side of one connection.
struct ServerConnection : std::enable_shared_from_this<ServerConnection> {
  std::shared_ptr<Stream> stream;
  FrameReader reader;
  std::string peer_ip;
  std::uint64_t last_call = 0;  // ids of calls rise, so that none is executed twice

  void SendResponse(std::uint64_t call, const absl::StatusOr<std::string>& response) {
    if (!stream->open()) return;
    std::string frame;
    const std::string message(response.status().message());
    if (response.ok())
      AppendFrame({FrameKind::kResponse, 0, call, *response}, &frame);
    else
      AppendFrame(
          {FrameKind::kError, static_cast<std::uint8_t>(response.status().code()), call, message},
          &frame);
    stream->Write(frame);
  }
};

class SocketTransport : public Transport {
 public:
  SocketTransport(Timers* timers, std::shared_ptr<memory::MemoryBudget> memory)
      : timers_(timers),
        memory_(std::move(memory)),
        listener_([this](const std::shared_ptr<Stream>& stream) { Accept(stream); }) {}

  ~SocketTransport() override {
    for (const auto& connection : connections_) connection->stream->Close();
  }

  absl::Status Open(const std::string& ip, int port) {
    const std::string error = listener_.Open(ip + ":" + std::to_string(port));
    return error.empty() ? datagrams_.Open(ip, port) : absl::UnavailableError(error);
  }

  void Handle(MessageType type, Handler handler) override {
    handlers_[static_cast<std::uint8_t>(type)] = std::move(handler);
  }

  void Call(const std::string& address, MessageType type, std::string body, Micros timeout,
            Done done) override {
    std::unique_ptr<Channel>& channel = channels_[address];
    if (channel == nullptr) channel = std::make_unique<Channel>(address, timers_, memory_);
    channel->Call(type, body, timeout, std::move(done));
  }

  void HandleDatagrams(DatagramHandler handler) override {
    datagrams_.SetReceiver(std::move(handler));
  }
  void SendDatagram(const std::string& address, std::string_view body) override {
    datagrams_.Send(address, body);
  }

 private:
  void Accept(const std::shared_ptr<Stream>& stream) {
    auto connection = std::make_shared<ServerConnection>();
    connection->stream = stream;
    connection->peer_ip = PeerIp(stream->descriptor());
    SetUserTimeout(stream->descriptor());
    connections_.insert(connection);
    ServerConnection* raw = connection.get();
    stream->Listen({nullptr, [this, raw](std::string_view bytes) { OnData(raw, bytes); },
                    [this, raw] { RemoveConnection(raw); }});
  }

  void RemoveConnection(ServerConnection* connection) {
    connections_.erase(connection->shared_from_this());
  }

  void OnData(ServerConnection* connection, std::string_view bytes) {
    const auto shared = connection->shared_from_this();
    connection->reader.Feed(bytes);
    Frame frame;
    for (;;) {
      const FrameReader::State state = connection->reader.Next(&frame);
      if (state == FrameReader::State::kIncomplete) return;
      const bool is_call = state == FrameReader::State::kFrame &&
                           frame.kind == FrameKind::kRequest && frame.call > connection->last_call;
      if (!is_call) {
        connection->stream->Close();
        return RemoveConnection(connection);
      }
      connection->last_call = frame.call;
      HandleCall(shared, frame);
    }
  }

  void HandleCall(const std::shared_ptr<ServerConnection>& connection, const Frame& frame) {
    const std::weak_ptr<ServerConnection> weak = connection;
    const std::uint64_t call = frame.call;
    const auto respond = [weak, call](const absl::StatusOr<std::string>& response) {
      if (const auto live = weak.lock()) live->SendResponse(call, response);
    };
    const auto found = handlers_.find(frame.type);
    if (found == handlers_.end()) return respond(absl::UnimplementedError("no such call here"));
    found->second(connection->peer_ip, frame.body, respond);
  }

  Timers* const timers_;
  const std::shared_ptr<memory::MemoryBudget> memory_;
  Listener listener_;
  DatagramSocket datagrams_;
  std::unordered_map<std::uint8_t, Handler> handlers_;
  std::unordered_map<std::string, std::unique_ptr<Channel>> channels_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
};

}  // namespace

absl::StatusOr<std::unique_ptr<Transport>> OpenTransport(
    const std::string& ip, int port, Timers* timers, std::shared_ptr<memory::MemoryBudget> memory) {
  auto transport = std::make_unique<SocketTransport>(timers, std::move(memory));
  const absl::Status opened = transport->Open(ip, port);
  if (!opened.ok()) {
    return absl::UnavailableError(ip + ":" + std::to_string(port) + ": " +
                                  std::string(opened.message()));
  }
  return transport;
}

}  // namespace pearreach::rpc
