#include "tier/http_server/http_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/event_loop/io.h"
#include "tier/http_server/connection.h"
#include "tier/http_server/server_state.h"
#include "tier/logging/log.h"

namespace pearreach::http_server {
namespace {

constexpr Micros kAcceptPause = 100 * kMs;    // where no more connections can be taken
constexpr Micros kSafelyIdle = 1 * kSecond;   // unused for so long, a connection may make room
constexpr Micros kStalled = 1 * kSecond;      // in the middle of a request, likewise
constexpr Micros kAnswered = 500 * kMs;       // since its last answer was sent, likewise
constexpr std::size_t kMaxClosedAtOnce = 32;  // connections that are closed to make room
// The least time that counts for a connection that has just gone on: it is closed last.
constexpr Micros kMinStall = 1 * kMs;

}  // namespace

class HttpServer::Impl final : private memory::MemoryReclaimer {
 public:
  Impl(Timers* timers, ServerOptions options, ExchangeHandler handler,
       std::shared_ptr<memory::MemoryBudget> memory)
      : state_(std::make_shared<ServerState>()) {
    state_->timers = timers;
    state_->options = options;
    state_->handler = std::move(handler);
    state_->on_removed = [this] { Resume(); };
    if (memory == nullptr)
      memory = std::make_shared<memory::MemoryBudget>(memory::MemoryBudget::kUnlimited);
    state_->memory = std::move(memory);
    state_->memory->Register(this);
  }

  ~Impl() override {
    state_->memory->Unregister(this);
    state_->on_removed = nullptr;
    state_->timers->Cancel(&resume_);
    listener_.reset();
    for (const auto& connection : All()) connection->Drop();
  }

  std::string Open(const std::string& address) {
    listener_ = std::make_unique<Listener>(
        [this](std::shared_ptr<Stream> stream) { Accept(std::move(stream)); });
    listener_->OnAcceptFailed([this] { OnAcceptFailed(); });
    listener_->SetReceiveBuffer(state_->options.receive_buffer_bytes);
    std::string error = listener_->Open(address);
    if (!error.empty()) listener_.reset();
    return error;
  }

  int port() const { return listener_ == nullptr ? 0 : listener_->port(); }

  void SetOptions(const ServerOptions& options) {
    state_->options = options;
    ++state_->options_version;
  }

  void Drain(Micros linger) {
    state_->draining = true;
    state_->linger = linger;
    for (const auto& connection : All()) connection->OnDrain();
  }

  void StopAccepting() {
    state_->timers->Cancel(&resume_);
    listener_.reset();
  }

  void Shutdown() {
    StopAccepting();
    state_->draining = state_->shutting_down = true;
    state_->linger = 0;
    for (const auto& connection : All()) connection->Shutdown();
  }

  bool AllAnswersSent() const {
    return std::none_of(state_->connections.begin(), state_->connections.end(),
                        [](const auto& entry) { return entry.second->OwesAnswer(); });
  }

  const ServerState& state() const { return *state_; }

 private:
  std::vector<std::shared_ptr<Connection>> All() const {
    std::vector<std::shared_ptr<Connection>> all;
    all.reserve(state_->connections.size());
    for (const auto& [key, connection] : state_->connections) all.push_back(connection);
    return all;
  }

  std::size_t ReclaimableBytes() const override {
    std::size_t bytes = 0;
    for (const auto& [key, connection] : state_->connections)
      bytes += connection->ReclaimableBytes();
    return bytes;
  }

  // From those first that hold much and have stood still for long: the product of the two. Holders
  // of no more than a small request come last, however slow.
  void Reclaim(std::size_t bytes, const void* except) override {
    struct Candidate {
      bool large;
      double rank;
      std::shared_ptr<Connection> connection;
    };
    std::vector<Candidate> candidates;
    for (const auto& [key, connection] : state_->connections) {
      const std::size_t held = connection->ReclaimableBytes();
      if (held == 0 || key == except) continue;
      const Micros stalled = std::max(connection->StalledFor(), kMinStall);
      const bool large = held > memory::MemoryBudget::kSmallBytes;
      candidates.push_back(
          {large, static_cast<double>(held) * static_cast<double>(stalled), connection});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
      return std::pair(a.large, a.rank) > std::pair(b.large, b.rank);
    });
    std::size_t freed = 0;
    for (const Candidate& candidate : candidates) {
      if (freed >= bytes) return;
      freed += candidate.connection->ReclaimableBytes();
      candidate.connection->ReclaimMemory();
    }
  }

  void Accept(std::shared_ptr<Stream> stream) {
    const auto connection = std::make_shared<Connection>(state_, std::move(stream));
    state_->connections.emplace(connection.get(), connection);
    connection->Start();
    if (state_->connections.size() >= state_->options.max_connections && !FreeConnections())
      Pause();
  }

  void OnAcceptFailed() {
    logging::Warning("front", "no connection can be accepted",
                     {logging::F("connections", state_->connections.size())});
    FreeConnections();
    Pause();
  }

  // Closes the connection that has been idle longest, if long enough; else some that stand still.
  // Whether there is room for another one now.
  bool FreeConnections() {
    if (!state_->waiting.empty() && state_->waiting.front()->IdleFor(kSafelyIdle)) {
      state_->waiting.front()->Drop();
      return true;
    }
    if (std::exchange(freeing_connections_, true)) return false;
    std::size_t closed = 0;
    for (const auto& connection : All())
      if (closed < kMaxClosedAtOnce && connection->CloseIfStalled(kStalled, kAnswered)) ++closed;
    freeing_connections_ = false;
    return state_->connections.size() < state_->options.max_connections;
  }

  void Pause() {
    if (listener_ == nullptr) return;
    listener_->Pause();
    if (resume_ != 0) return;
    resume_ = state_->timers->After(kAcceptPause, [this] {
      resume_ = 0;
      Resume();
    });
  }

  void Resume() {
    if (listener_ == nullptr) return;
    if (state_->connections.size() < state_->options.max_connections || FreeConnections())
      listener_->Resume();
    else
      Pause();
  }

  std::shared_ptr<ServerState> state_;
  std::unique_ptr<Listener> listener_;
  Timers::Id resume_ = 0;
  bool freeing_connections_ = false;
};

HttpServer::HttpServer(Timers* timers, ServerOptions options, ExchangeHandler handler,
                       std::shared_ptr<memory::MemoryBudget> memory)
    : impl_(std::make_unique<Impl>(timers, options, std::move(handler), std::move(memory))) {}
HttpServer::~HttpServer() = default;

std::string HttpServer::Open(const std::string& address) { return impl_->Open(address); }
int HttpServer::port() const { return impl_->port(); }
void HttpServer::SetOptions(const ServerOptions& options) { impl_->SetOptions(options); }
void HttpServer::Drain(Micros linger) { impl_->Drain(linger); }
void HttpServer::StopAccepting() { impl_->StopAccepting(); }
void HttpServer::Shutdown() { impl_->Shutdown(); }
bool HttpServer::AllAnswersSent() const { return impl_->AllAnswersSent(); }
std::size_t HttpServer::connections() const { return impl_->state().connections.size(); }
std::size_t HttpServer::unanswered() const { return impl_->state().unanswered; }

}  // namespace pearreach::http_server
