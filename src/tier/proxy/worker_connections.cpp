#include "tier/proxy/worker_connections.h"

#include <algorithm>
#include <utility>

namespace pearreach::proxy {
namespace {

// A worker may close a connection that has been idle for longer at the same time as a request is
// sent.
constexpr Micros kStaleIdleTime = kSecond;
// Number of ids that a connection remembers. A duplicate of an older response has arrived by then.
constexpr std::size_t kMaxCarriedIds = 32;

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

void WorkerConnection::RecordRequest(const std::string& attempt_id) {
  carried_id_hashes_.push_back(std::hash<std::string>()(attempt_id));
  if (carried_id_hashes_.size() > kMaxCarriedIds) carried_id_hashes_.pop_front();
}

bool WorkerConnection::HasCarried(const std::string& attempt_id) const {
  const std::size_t wanted = std::hash<std::string>()(attempt_id);
  return std::find(carried_id_hashes_.begin(), carried_id_hashes_.end(), wanted) !=
         carried_id_hashes_.end();
}

void WorkerConnection::OnConnected() {
  connected_ = true;
  if (user_ != nullptr) user_->OnConnected();
}

void WorkerConnection::OnData(std::string_view bytes) {
  if (user_ != nullptr) return user_->OnConnectionData(bytes);
  stream_->Close();  // unsolicited bytes
  if (closed_while_idle_) closed_while_idle_(this);
}

void WorkerConnection::OnDrained() {
  if (user_ != nullptr) user_->OnConnectionDrained();
}

void WorkerConnection::OnClosed() {
  if (user_ != nullptr) return user_->OnConnectionClosed(stream_->ended_in_order());
  if (closed_while_idle_) closed_while_idle_(this);
}

WorkerConnections::WorkerConnections(Timers* timers, std::string address)
    : timers_(timers), address_(std::move(address)) {}

WorkerConnections::~WorkerConnections() {
  CloseIdle();
  timers_->Cancel(&sweep_timer_);
}

std::shared_ptr<WorkerConnection> WorkerConnections::Acquire(
    ConnectionUser* user, const ConnectionRequirements& requirements) {
  std::shared_ptr<WorkerConnection> connection = AcquireIdle(requirements);
  if (connection == nullptr) {
    if (!HasCapacity(requirements)) return nullptr;
    connection = std::make_shared<WorkerConnection>();
    if (!connection->Open(address_)) return nullptr;
    ++opened_count_;
  }
  connection->user_ = user;
  ++in_use_;
  return connection;
}

// Returns the most recently used idle connection that is still open, has no unread bytes and meets
// the requirements. Connections that are closed or have unread bytes are closed on the way, and
// unsuitable ones if the limit leaves no room for a new connection.
std::shared_ptr<WorkerConnection> WorkerConnections::AcquireIdle(
    const ConnectionRequirements& requirements) {
  const Micros now = Now();
  for (std::size_t i = idle_.size(); i-- > 0;) {
    std::shared_ptr<WorkerConnection> connection = idle_[i];
    const bool carried = connection->HasCarried(requirements.attempt_id);
    if (carried && HasCapacity(requirements)) continue;
    const bool stale = now - connection->idle_since_ > kStaleIdleTime;
    if (stale && requirements.freshness == Freshness::kPreferNew && HasCapacity(requirements))
      return nullptr;
    idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i));
    const bool good = now < connection->expires_at_ && connection->stream_->Quiet();
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
  connection->expires_at_ = now + std::min(keep_for, kMaxIdleTime);
  connection->closed_while_idle_ = [this](WorkerConnection* ended) { RemoveIdle(ended); };
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

void WorkerConnections::RemoveIdle(WorkerConnection* idle) {
  std::erase_if(idle_, [idle](const auto& connection) { return connection.get() == idle; });
}

void WorkerConnections::Sweep() {
  const Micros now = Now();
  for (const auto& connection : idle_)
    if (connection->expires_at_ <= now) connection->Close();
  std::erase_if(idle_, [now](const auto& connection) { return connection->expires_at_ <= now; });
  ArmSweep();
}

void WorkerConnections::ArmSweep() {
  if (sweep_timer_ != 0 || idle_.empty()) return;
  const auto first = std::min_element(idle_.begin(), idle_.end(), [](const auto& a, const auto& b) {
    return a->expires_at_ < b->expires_at_;
  });
  sweep_timer_ = timers_->After((*first)->expires_at_ - Now(), [this] {
    sweep_timer_ = 0;
    Sweep();
  });
}

}  // namespace pearreach::proxy
