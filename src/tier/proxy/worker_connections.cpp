#include "tier/proxy/worker_connections.h"

#include <algorithm>
#include <utility>

namespace pearreach::proxy {
namespace {

// A connection that was idle for longer may be closed by the worker just as a request goes out.
constexpr Micros kStaleAfter = kSecond;
// Ids that a connection remembers; a copy of an earlier answer has long come by then.
constexpr std::size_t kMaxCarried = 32;

}  // namespace

bool WorkerConnection::Open(const std::string& address) {
  const std::weak_ptr<WorkerConnection> weak = weak_from_this();
  Stream::Handlers handlers;
  handlers.connected = [weak] {
    if (const auto self = weak.lock()) self->OnConnected();
  };
  handlers.data = [weak](std::string_view bytes) {
    if (const auto self = weak.lock()) self->OnData(bytes);
  };
  handlers.drained = [weak] {
    if (const auto self = weak.lock()) self->OnDrained();
  };
  handlers.closed = [weak] {
    if (const auto self = weak.lock()) self->OnClosed();
  };
  stream_ = Stream::Connect(address, std::move(handlers));
  return stream_ != nullptr;
}

void WorkerConnection::Close() {
  user_ = nullptr;
  if (stream_ != nullptr) stream_->Close();
}

void WorkerConnection::NoteRequest(const std::string& attempt_id) {
  carried_.push_back(std::hash<std::string>()(attempt_id));
  if (carried_.size() > kMaxCarried) carried_.pop_front();
}

bool WorkerConnection::Carried(const std::string& attempt_id) const {
  const std::size_t wanted = std::hash<std::string>()(attempt_id);
  return std::find(carried_.begin(), carried_.end(), wanted) != carried_.end();
}

void WorkerConnection::OnConnected() {
  connected_ = true;
  if (user_ != nullptr) user_->OnConnected();
}

void WorkerConnection::OnData(std::string_view bytes) {
  if (user_ != nullptr) return user_->OnConnectionData(bytes);
  stream_->Close();  // bytes that nobody asked for
  if (ended_while_idle_) ended_while_idle_(this);
}

void WorkerConnection::OnDrained() {
  if (user_ != nullptr) user_->OnConnectionDrained();
}

void WorkerConnection::OnClosed() {
  if (user_ != nullptr) return user_->OnConnectionClosed(stream_->ended_in_order());
  if (ended_while_idle_) ended_while_idle_(this);
}

WorkerConnections::WorkerConnections(Timers* timers, std::string address)
    : timers_(timers), address_(std::move(address)) {}

WorkerConnections::~WorkerConnections() {
  CloseIdle();
  timers_->Cancel(&sweep_);
}

std::shared_ptr<WorkerConnection> WorkerConnections::Take(ConnectionUser* user,
                                                          const ConnectionWish& wish) {
  std::shared_ptr<WorkerConnection> connection = TakeIdle(wish);
  if (connection == nullptr) {
    if (!HasCapacity(wish)) return nullptr;
    connection = std::make_shared<WorkerConnection>();
    if (!connection->Open(address_)) return nullptr;
    ++opened_;
  }
  connection->user_ = user;
  ++in_use_;
  return connection;
}

// The latest idle one that the worker has left alone and that suits the wish. Those that the worker
// has not left alone are closed on the way; the others where there is no room without them.
std::shared_ptr<WorkerConnection> WorkerConnections::TakeIdle(const ConnectionWish& wish) {
  const Micros now = Now();
  for (std::size_t i = idle_.size(); i-- > 0;) {
    std::shared_ptr<WorkerConnection> connection = idle_[i];
    const bool carried = connection->Carried(wish.attempt_id);
    if (carried && HasCapacity(wish)) continue;
    const bool stale = now - connection->idle_since_ > kStaleAfter;
    if (stale && wish.freshness == Freshness::kPreferNew && HasCapacity(wish)) return nullptr;
    idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i));
    const bool good = now < connection->expires_ && connection->stream_->Quiet();
    if (good && !carried) return connection;
    connection->Close();
  }
  return nullptr;
}

void WorkerConnections::Release(const std::shared_ptr<WorkerConnection>& connection,
                                Micros keep_for) {
  const Micros now = Now();
  --in_use_;
  if (keep_for <= 0 || !connection->stream_->open()) return connection->Close();
  connection->user_ = nullptr;
  connection->used_before_ = true;
  connection->idle_since_ = now;
  connection->expires_ = now + std::min(keep_for, kKeepIdle);
  connection->ended_while_idle_ = [this](WorkerConnection* ended) { Forget(ended); };
  idle_.push_back(connection);
  ArmSweep();
}

void WorkerConnections::Drop(const std::shared_ptr<WorkerConnection>& connection) {
  --in_use_;
  connection->Close();
}

void WorkerConnections::CloseIdle() {
  for (const auto& connection : std::exchange(idle_, {})) connection->Close();
}

void WorkerConnections::Forget(WorkerConnection* idle) {
  std::erase_if(idle_, [idle](const auto& connection) { return connection.get() == idle; });
}

void WorkerConnections::Sweep() {
  const Micros now = Now();
  for (const auto& connection : idle_)
    if (connection->expires_ <= now) connection->Close();
  std::erase_if(idle_, [now](const auto& connection) { return connection->expires_ <= now; });
  ArmSweep();
}

void WorkerConnections::ArmSweep() {
  if (sweep_ != 0 || idle_.empty()) return;
  const auto first = std::min_element(idle_.begin(), idle_.end(), [](const auto& a, const auto& b) {
    return a->expires_ < b->expires_;
  });
  sweep_ = timers_->After((*first)->expires_ - Now(), [this] {
    sweep_ = 0;
    Sweep();
  });
}

}  // namespace pearreach::proxy
