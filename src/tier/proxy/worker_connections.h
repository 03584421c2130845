// Connection pool of this node for one worker: connections are opened on demand and reused, the
// most recently used one first. A connection serves one user at a time; bytes that arrive on an
// idle connection close it. Loop thread only.
#ifndef PEARREACH_SRC_TIER_PROXY_WORKER_CONNECTIONS_H_
#define PEARREACH_SRC_TIER_PROXY_WORKER_CONNECTIONS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/io.h"
#include "common/event_loop/timers.h"

namespace pearreach::proxy {

// Default time for which an idle connection is kept; shorter if the worker announces a shorter one.
inline constexpr Micros kMaxIdleTime = 8 * kSecond;

class ConnectionUser {
 public:
  virtual ~ConnectionUser() = default;
  virtual void OnConnected() = 0;
  virtual void OnConnectionData(std::string_view bytes) = 0;
  // All written bytes have been sent.
  virtual void OnConnectionDrained() = 0;
  // `orderly`: the worker closed the connection with a FIN; otherwise it was reset or failed.
  virtual void OnConnectionClosed(bool orderly) = 0;
};

class WorkerConnection : public std::enable_shared_from_this<WorkerConnection> {
 public:
  // False: no socket is available.
  bool Open(const std::string& address);
  void Close();

  bool connected() const { return connected_; }
  bool used_before() const { return used_before_; }
  Stream& stream() { return *stream_; }

  // Remembers that a request with this id was written on this connection. Only the latest ids are
  // kept.
  void RecordRequest(const std::string& attempt_id);
  bool HasCarried(const std::string& attempt_id) const;

 private:
  friend class WorkerConnections;
  void OnConnected();
  void OnData(std::string_view bytes);
  void OnDrained();
  void OnClosed();

  std::shared_ptr<Stream> stream_;
  ConnectionUser* user_ = nullptr;
  std::function<void(WorkerConnection*)> closed_while_idle_;
  bool connected_ = false, used_before_ = false;
  Micros idle_since_ = 0, expires_at_ = 0;
  std::deque<std::size_t> carried_id_hashes_;  // latest last
};

enum class Freshness { kAny, kPreferNew };  // kPreferNew: avoid connections that were idle for long

// Requirements of a request on its connection.
struct ConnectionRequirements {
  // Excludes connections that have carried a request with this id: a worker may send a late
  // duplicate of a response, and responses are matched by the id alone.
  std::string attempt_id;
  Freshness freshness = Freshness::kAny;
  std::size_t limit = 1;  // maximum connections to this worker, in use plus idle
};

class WorkerConnections {
 public:
  WorkerConnections(Timers* timers, std::string address);
  ~WorkerConnections();
  WorkerConnections(const WorkerConnections&) = delete;
  WorkerConnections& operator=(const WorkerConnections&) = delete;

  // Returns an open or connecting connection for this user. Null: the limit is reached or no socket
  // is available.
  std::shared_ptr<WorkerConnection> Acquire(ConnectionUser* user,
                                            const ConnectionRequirements& requirements);
  // Returns a connection after a complete response; it may be reused for `keep_for`.
  void Release(const std::shared_ptr<WorkerConnection>& connection, Micros keep_for);
  // Closes a connection that must not be reused.
  void Drop(const std::shared_ptr<WorkerConnection>& connection);
  void CloseIdle();

  std::size_t idle() const { return idle_.size(); }
  std::size_t in_use() const { return in_use_; }
  std::uint64_t opened() const { return opened_count_; }

 private:
  std::shared_ptr<WorkerConnection> AcquireIdle(const ConnectionRequirements& requirements);
  bool HasCapacity(const ConnectionRequirements& requirements) const {
    return in_use_ + idle_.size() < requirements.limit;
  }
  void RemoveIdle(WorkerConnection* idle);
  void Sweep();
  void ArmSweep();

  Timers* timers_;
  std::string address_;
  std::vector<std::shared_ptr<WorkerConnection>> idle_;  // most recently used last
  std::size_t in_use_ = 0;
  std::uint64_t opened_count_ = 0;
  Timers::Id sweep_timer_ = 0;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_WORKER_CONNECTIONS_H_
