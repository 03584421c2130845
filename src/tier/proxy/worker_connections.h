// The connections of this node to one worker: opened when needed, kept and used again, the latest
// first. A connection serves one user at a time; bytes that come while it has none end it.
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

// Default time that a connection is kept without use; shorter where the worker says so.
inline constexpr Micros kKeepIdle = 8 * kSecond;

class ConnectionUser {
 public:
  virtual ~ConnectionUser() = default;
  virtual void OnConnected() = 0;
  virtual void OnConnectionData(std::string_view bytes) = 0;
  // The worker has taken what it had left of the bytes written to it.
  virtual void OnConnectionDrained() = 0;
  // `in_order`: the worker ended it; else it was reset or has failed.
  virtual void OnConnectionClosed(bool in_order) = 0;
};

class WorkerConnection : public std::enable_shared_from_this<WorkerConnection> {
 public:
  // False: no socket can be had.
  bool Open(const std::string& address);
  void Close();

  bool connected() const { return connected_; }
  bool used_before() const { return used_before_; }
  Stream& stream() { return *stream_; }

  // A request of that id is being written. Of the latest ones is remembered that they were.
  void NoteRequest(const std::string& attempt_id);
  bool Carried(const std::string& attempt_id) const;

 private:
  friend class WorkerConnections;
  void OnConnected();
  void OnData(std::string_view bytes);
  void OnDrained();
  void OnClosed();

  std::shared_ptr<Stream> stream_;
  ConnectionUser* user_ = nullptr;
  std::function<void(WorkerConnection*)> ended_while_idle_;
  bool connected_ = false, used_before_ = false;
  Micros idle_since_ = 0, expires_ = 0;
  std::deque<std::size_t> carried_;  // hashes of ids, the latest last
};

enum class Freshness { kAny, kPreferNew };  // kPreferNew: not one that was idle for long

// What a request wants of its connection.
struct ConnectionWish {
  // None that has carried a request of that id: a worker may send a surplus copy of an answer late,
  // and the id alone tells whose answer it is.
  std::string attempt_id;
  Freshness freshness = Freshness::kAny;
  std::size_t limit = 1;  // connections to this worker, in use and idle
};

class WorkerConnections {
 public:
  WorkerConnections(Timers* timers, std::string address);
  ~WorkerConnections();
  WorkerConnections(const WorkerConnections&) = delete;
  WorkerConnections& operator=(const WorkerConnections&) = delete;

  // A connection, open or coming up, for this user. Null: the limit is in use, or no socket.
  std::shared_ptr<WorkerConnection> Take(ConnectionUser* user, const ConnectionWish& wish);
  // Its answer was whole: it may serve again for `keep_for`.
  void Release(const std::shared_ptr<WorkerConnection>& connection, Micros keep_for);
  // It must not serve again.
  void Drop(const std::shared_ptr<WorkerConnection>& connection);
  void CloseIdle();

  std::size_t idle() const { return idle_.size(); }
  std::size_t in_use() const { return in_use_; }
  std::uint64_t opened() const { return opened_; }

 private:
  std::shared_ptr<WorkerConnection> TakeIdle(const ConnectionWish& wish);
  bool HasCapacity(const ConnectionWish& wish) const { return in_use_ + idle_.size() < wish.limit; }
  void Forget(WorkerConnection* idle);
  void Sweep();
  void ArmSweep();

  Timers* timers_;
  std::string address_;
  std::vector<std::shared_ptr<WorkerConnection>> idle_;  // the latest last
  std::size_t in_use_ = 0;
  std::uint64_t opened_ = 0;
  Timers::Id sweep_ = 0;
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_WORKER_CONNECTIONS_H_
