// The connections to the match workers and the attempts on their way over them. It owns every
// descriptor that leads to a worker, and an attempt from its start to the worker's first answer;
// what becomes of a job after that is told to the node by call-back. It must never decide where a
// job goes, never send one twice, and never call an attempt unrun unless PROTOCOL's table does.
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

// Learns how long a connection may stay unused and still be trusted with a job: less than the
// settings say where those that rested for longer break under their next request more often.
class IdleLimit {
 public:
  explicit IdleLimit(Micros longest) : longest_(longest) {}
  // What became of a request that was written after so long a rest.
  void Record(Micros rest, bool broke, Micros now);
  Micros current() const { return limit_; }

 private:
  struct Bucket {
    double total = 0, broken = 0;
  };
  Micros longest_, limit_ = longest_, last_decay_ = 0;
  std::array<Bucket, 12> buckets_;  // of rests under 16 ms, under 32 ms, and so on
};

class Workers {
 public:
  // `ended` is told of every attempt that ends before or with the worker's first answer, `taken` of
  // every one that a worker has taken on (202), `rejected` of every one that it finds bad (4xx).
  // None is called from inside Start.
  struct Events {
    std::function<void(AttemptKey, bool knows_fences)> accepted;
    std::function<void(AttemptKey)> rejected;
    std::function<void(AttemptKey, dispatch::Outcome, const dispatch::LoadReport&)> ended;
  };

  Workers(const dispatch::Site& site, int budget, Events events);
  ~Workers();

  void SetAddress(dispatch::WorkerId worker, const std::string& address);
  void Remove(dispatch::WorkerId worker);  // its idle connections go

  void StartAttempt(AttemptKey key, dispatch::WorkerId worker, const Job& job, Micros patience);
  // Gives an attempt up: before the 202 by closing its connection, after it by DELETE.
  void CancelAttempt(AttemptKey key, dispatch::WorkerId worker, const std::string& job_id);
  // News has ended it before its 202: the connection waits for the answer, nobody is told.
  void DetachAttempt(AttemptKey key);

  std::size_t connections() const { return connections_.size(); }

 private:
  enum class State { kConnecting, kWaiting, kIdle };
  struct Connection {
    std::shared_ptr<Stream> stream;
    dispatch::WorkerId worker = 0;
    State state = State::kConnecting;
    AttemptKey key;
    bool carries_attempt = false;  // an attempt's, which is told of its end
    bool call_counted = true;      // its request is an attempt's and counted as written whole
    std::string request;
    Micros expires_at = 0;  // 0: does not
    Micros idle_since = 0;
    Micros idle_time = -1;  // before the request it carries; -1: that is its first
    http::Parser parser{http::Parser::Kind::kResponse};
  };
  struct Endpoint {
    std::string address;
    std::vector<Connection*> idle;  // the last used at the back
  };

  void Send(AttemptKey key, bool bound, dispatch::WorkerId worker, std::string request);
  bool WriteRequest(Connection* link);
  void OnRequestWritten(Connection* link);  // its request's last byte has gone out, or was read
  void OnConnected(Connection* link);
  void OnData(Connection* link, std::string_view bytes);
  void OnClosed(Connection* link);
  void OnMessage(Connection* link, const http::Message& message);
  void MakeIdle(Connection* link);
  void Finish(Connection* link, dispatch::Outcome outcome, const dispatch::LoadReport& load);
  void Destroy(Connection* link);
  bool EvictIdle();
  void SetExpiry(Connection* link, Micros at);
  void CloseExpired();
  // Tells of an end from the loop, as neither event may come from inside Start.
  void DeferEnd(AttemptKey key, dispatch::Outcome outcome);

  const dispatch::Site& site_;
  std::size_t max_connections_;
  IdleLimit idle_limit_;  // an idle connection is closed after this
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
