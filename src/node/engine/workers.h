// The connections to the match workers, and the attempts that are sent over them. An attempt is
// tracked here from its start to the worker's first answer; the worker reports the rest to the node
// by call-back. Each request is sent at most once, and an attempt counts as never run only where
// the table of the worker protocol says so.
#ifndef PEARREACH_SRC_NODE_ENGINE_WORKERS_H_
#define PEARREACH_SRC_NODE_ENGINE_WORKERS_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/event_loop/io.h"
#include "common/http/http.h"
#include "node/engine/core.h"

namespace pearreach {

struct AttemptKey {
  Ticket job = 0;
  int number = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

// Learns how long a connection may stay idle and still be reused. The limit drops below the
// configured maximum if connections that were idle for longer break under their next request more
// often than the others.
class IdleLimit {
 public:
  explicit IdleLimit(Micros max_limit) : max_limit_(max_limit) {}
  // Records whether the connection broke under a request that was written after `idle_time`.
  void Record(Micros idle_time, bool broke, Micros now);
  Micros current() const { return limit_; }

 private:
  struct Bucket {
    double total = 0, broken = 0;
  };
  Micros max_limit_, limit_ = max_limit_, last_decay_ = 0;
  std::array<Bucket, 12> buckets_;  // idle times under 16 ms, under 32 ms, and so on
};

class Workers {
 public:
  // `accepted` is called when a worker has accepted an attempt (202), `rejected` when it has found
  // the job invalid (4xx), and `ended` for every attempt that ends otherwise before or with the
  // worker's first answer. None of them is called from inside StartAttempt.
  struct Events {
    std::function<void(AttemptKey, bool supports_fencing)> accepted;
    std::function<void(AttemptKey)> rejected;
    std::function<void(AttemptKey, dispatch::Outcome, const dispatch::LoadReport&)> ended;
  };

  Workers(const dispatch::Site& site, int max_connections, Events events);
  ~Workers();

  void SetAddress(dispatch::WorkerId worker, const std::string& address);
  // Closes the worker's idle connections.
  void Remove(dispatch::WorkerId worker);

  // Sends an attempt; `timeout` is the time left for the job.
  void StartAttempt(AttemptKey key, dispatch::WorkerId worker, const Job& job, Micros timeout);
  // Cancels an attempt: before its 202 by closing the connection, after it by a DELETE.
  void CancelAttempt(AttemptKey key, dispatch::WorkerId worker, const std::string& job_id);
  // For an attempt that an update has ended before its 202: the connection still waits for the
  // answer, but no event is reported.
  void DetachAttempt(AttemptKey key);

  std::size_t connections() const { return connections_.size(); }

 private:
  enum class State { kConnecting, kWaiting, kIdle };
  struct Connection {
    std::shared_ptr<Stream> stream;
    dispatch::WorkerId worker = 0;
    State state = State::kConnecting;
    AttemptKey key;
    bool carries_attempt = false;  // `key` is an attempt whose end is to be reported
    bool call_counted = true;      // no attempt, or already counted as written completely
    std::string request;
    Micros expires_at = 0;  // 0: never
    Micros idle_since = 0;
    Micros idle_time = -1;  // before the current request; -1: it is the connection's first
    http::Parser parser{http::Parser::Kind::kResponse};
  };
  struct Endpoint {
    std::string address;
    std::vector<Connection*> idle;  // most recently used last
  };

  void Send(AttemptKey key, bool carries_attempt, dispatch::WorkerId worker, std::string request);
  bool WriteToConnection(Connection* connection);
  // Counts the request, once its last byte has been sent or the worker has answered it.
  void OnRequestWritten(Connection* connection);
  void OnConnected(Connection* connection);
  void OnData(Connection* connection, std::string_view bytes);
  void OnClosed(Connection* connection);
  void OnMessage(Connection* connection, const http::Message& message);
  void MakeIdle(Connection* connection);
  void Finish(Connection* connection, dispatch::Outcome outcome, const dispatch::LoadReport& load);
  void Destroy(Connection* connection);
  bool EvictIdle();
  void SetExpiry(Connection* connection, Micros at);
  void CloseExpired();
  // Reports an attempt's end from the main loop, as no event may come from inside StartAttempt.
  void DeferEnd(AttemptKey key, dispatch::Outcome outcome);

  const dispatch::Site& site_;
  std::size_t max_connections_;
  IdleLimit idle_limit_;  // idle connections are closed after this time
  Events events_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<AttemptKey, Connection*> by_attempt_;
  std::map<dispatch::WorkerId, Endpoint> endpoints_;
  std::set<std::pair<Micros, Connection*>> expiries_;
  std::vector<std::pair<AttemptKey, dispatch::Outcome>> deferred_ends_;
  Alarm expiry_alarm_, deferred_alarm_;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_ENGINE_WORKERS_H_
