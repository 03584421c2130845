#include "node/engine/workers.h"

#include <algorithm>
#include <utility>

namespace pearreach {
namespace {

using dispatch::LoadReport;
using dispatch::Outcome;
using dispatch::WorkerId;

// Idle connections are closed after ConnIdleMs divided by this.
constexpr int kIdleSafetyDivisor = 2;
constexpr Micros kMaxIdle = 30 * kSecond;
// Upper carries_attempt of the first bucket; the carries_attempt doubles with each further bucket.
constexpr Micros kFirstBucketIdle = 16 * kMs;
// The buckets are halved at this interval, so that the learned limit is forgotten over time.
constexpr Micros kDecayInterval = 30 * kSecond;
// A bucket lowers the limit if it has at least this many broken connections, and if its share of
// broken ones exceeds that of all shorter idle times by more than this.
constexpr double kMinBroken = 3;
constexpr double kMinBrokenExcess = 0.15;
// For the answer to a request that carries no attempt (any more).
constexpr Micros kDetachedAnswerTimeout = 2 * kSecond;

}  // namespace

void IdleLimit::Record(Micros idle_time, bool broke, Micros now) {
  if (now - last_decay_ >= kDecayInterval) {
    last_decay_ = now;
    for (Bucket& t : buckets_) t = {t.total / 2, t.broken / 2};
  }
  std::size_t at = 0;
  while (at + 1 < buckets_.size() && idle_time >= kFirstBucketIdle << at) ++at;
  buckets_[at].total += 1;
  buckets_[at].broken += broke ? 1 : 0;
  // Find the shortest idle time after which a larger share breaks than after all shorter ones.
  limit_ = max_limit_;
  Bucket shorter = buckets_[0];
  for (std::size_t i = 1; i < buckets_.size(); ++i) {
    const Bucket& t = buckets_[i];
    const double usual = shorter.total > 0 ? shorter.broken / shorter.total : 0;
    if (t.broken >= kMinBroken && t.broken > (usual + kMinBrokenExcess) * t.total) {
      limit_ = std::min(max_limit_, kFirstBucketIdle << (i - 1));
      return;
    }
    shorter = {shorter.total + t.total, shorter.broken + t.broken};
  }
}

Workers::Workers(const dispatch::Site& site, int max_connections, Events events)
    : site_(site),
      max_connections_(static_cast<std::size_t>(std::max(max_connections, 1))),
      // A request written to a connection that the worker is closing as idle ends in a reset, after
      // which the job may have run. Half the worker's idle time-out keeps clear of that.
      idle_limit_(site.settings.connection_idle > 0
                      ? std::min(site.settings.connection_idle / kIdleSafetyDivisor, kMaxIdle)
                      : kMaxIdle),
      events_(std::move(events)),
      expiry_alarm_([this] { CloseExpired(); }),
      deferred_alarm_([this] {
        for (const auto& [key, outcome] : std::exchange(deferred_ends_, {}))
          events_.ended(key, outcome, {});
      }) {}

Workers::~Workers() {
  for (auto& [connection, owned] : connections_)
    if (connection->stream != nullptr) connection->stream->Close();
}

void Workers::SetAddress(WorkerId worker, const std::string& address) {
  Endpoint& endpoint = endpoints_[worker];
  if (endpoint.address == address) return;
  Remove(worker);
  endpoint.address = address;
}

void Workers::Remove(WorkerId worker) {
  const auto idle = endpoints_[worker].idle;
  for (Connection* connection : idle) Destroy(connection);
}

void Workers::StartAttempt(AttemptKey key, WorkerId worker, const Job& job, Micros timeout) {
  std::vector<http::Header> headers = {
      {"Host", endpoints_[worker].address},
      {"X-Request-ID", job.id},
      {"X-Priority-Class", site_.classes[static_cast<std::size_t>(job.cls)]},
      {"X-Timeout", std::to_string(std::max<Micros>(timeout, kMs) / kMs) + "m"}};
  if (job.fence > 0) headers.push_back({"X-Fence", std::to_string(job.fence)});
  if (!job.idempotency_key.empty()) headers.push_back({"Idempotency-Key", job.idempotency_key});
  if (!job.content_type.empty()) headers.push_back({"Content-Type", job.content_type});
  Send(key, true, worker, http::WriteRequest("POST", job.path, headers, job.body));
}

void Workers::CancelAttempt(AttemptKey key, WorkerId worker, const std::string& job_id) {
  if (const auto it = by_attempt_.find(key); it != by_attempt_.end()) return Destroy(it->second);
  const std::string& address = endpoints_[worker].address;
  if (address.empty()) return;
  Send({}, false, worker,
       http::WriteRequest("DELETE", "/jobs/" + job_id,
                          {{"Host", address}, {"X-Request-ID", job_id}}, ""));
}

void Workers::DetachAttempt(AttemptKey key) {
  const auto it = by_attempt_.find(key);
  if (it == by_attempt_.end()) return;
  Connection* connection = it->second;
  by_attempt_.erase(it);
  connection->carries_attempt = false;
  SetExpiry(connection, Now() + kDetachedAnswerTimeout);
}

void Workers::Send(AttemptKey key, bool carries_attempt, WorkerId worker, std::string request) {
  Endpoint& endpoint = endpoints_[worker];
  while (!endpoint.idle.empty()) {
    Connection* connection = endpoint.idle.back();
    connection->idle_time = Now() - connection->idle_since;
    // A request on a connection that the worker has closed would end in a reset. The worker may
    // also have sent unexpected bytes, or have dropped a long idle connection silently.
    if (connection->idle_time >= idle_limit_.current() || !connection->stream->Quiet()) {
      Count("stale_connections");
      Destroy(connection);
      continue;
    }
    endpoint.idle.pop_back();
    connection->key = key;
    connection->carries_attempt = carries_attempt;
    connection->request = std::move(request);
    if (WriteToConnection(connection)) {
      if (carries_attempt) by_attempt_[key] = connection;
      return;
    }
    // Broken before the last byte was written: the request never ran, so use another connection.
    request = std::move(connection->request);
    connection->carries_attempt = false;
    Destroy(connection);
  }
  if (connections_.size() >= max_connections_ && !EvictIdle()) {
    CountFault("worker_connections_full", std::to_string(connections_.size()) + " of " +
                                              std::to_string(max_connections_) +
                                              " connections to workers are open");
    if (carries_attempt) DeferEnd(key, Outcome::kNoConnection);
    return;
  }
  auto owned = std::make_unique<Connection>();
  Connection* connection = owned.get();
  connection->worker = worker;
  connection->key = key;
  connection->carries_attempt = carries_attempt;
  connection->request = std::move(request);
  connection->stream = Stream::Connect(
      endpoint.address, {[this, connection] { OnConnected(connection); },
                         [this, connection](std::string_view bytes) { OnData(connection, bytes); },
                         [this, connection] { OnClosed(connection); }});
  if (connection->stream == nullptr) {
    CountFault("no_socket", "no socket for the connection to worker " + endpoint.address);
    if (carries_attempt) DeferEnd(key, Outcome::kNoConnection);
    return;
  }
  Count("worker_connections");
  connections_[connection] = std::move(owned);
  if (carries_attempt) by_attempt_[key] = connection;
  SetExpiry(connection, Now() + site_.settings.connect_timeout);
}

bool Workers::WriteToConnection(Connection* connection) {
  connection->state = State::kWaiting;
  // An attempt needs no expiry here: the node cancels it at the client's deadline.
  SetExpiry(connection, connection->carries_attempt ? 0 : Now() + kDetachedAnswerTimeout);
  connection->call_counted = !connection->carries_attempt;
  if (!connection->stream->Write(connection->request)) return false;
  if (connection->stream->unsent() == 0) OnRequestWritten(connection);
  return true;
}

// The metric backend_calls counts the attempts that were written completely, whatever their
// outcome.
void Workers::OnRequestWritten(Connection* connection) {
  if (std::exchange(connection->call_counted, true)) return;
  Count("backend_calls");
}

void Workers::OnConnected(Connection* connection) {
  if (WriteToConnection(connection)) return;
  Finish(connection, Outcome::kNoConnection, {});
}

void Workers::OnData(Connection* connection, std::string_view bytes) {
  if (connection->state == State::kIdle) {
    Count("unasked_answers");
    return Destroy(connection);
  }
  connection->parser.Feed(bytes);
  switch (connection->parser.Next()) {
    case http::Parser::State::kMore:
      return;
    case http::Parser::State::kMessage:
      return OnMessage(connection, connection->parser.Take());
    case http::Parser::State::kBad:
      CountFault("bad_worker_answer", connection->parser.error());
      return Finish(connection, Outcome::kReset, {});
  }
}

void Workers::OnClosed(Connection* connection) {
  switch (connection->state) {
    case State::kConnecting:
      return Finish(connection, Outcome::kNoConnection, {});
    case State::kIdle:
      return Destroy(connection);
    case State::kWaiting:
      if (connection->parser.End() == http::Parser::State::kMessage)
        return OnMessage(connection, connection->parser.Take());
      if (connection->idle_time >= 0) idle_limit_.Record(connection->idle_time, true, Now());
      if (connection->stream->unsent() == 0) OnRequestWritten(connection);
      // The job surely never ran only if the connection broke before the last byte was written.
      return Finish(connection,
                    connection->stream->unsent() > 0 ? Outcome::kNoConnection : Outcome::kReset,
                    {});
  }
}

void Workers::OnMessage(Connection* connection, const http::Message& message) {
  OnRequestWritten(connection);  // an answer implies that the worker has read the request
  if (connection->idle_time >= 0) idle_limit_.Record(connection->idle_time, false, Now());
  LoadReport load;
  if (const std::string* text = message.Find("X-Server-Load")) load = ReadLoadHeader(*text, site_);
  const std::string* not_processed = message.Find("X-Not-Processed");
  const bool never_ran = (message.status == 503 || message.status == 504) &&
                         not_processed != nullptr && *not_processed == "1";
  const bool carries_attempt = std::exchange(connection->carries_attempt, false);
  const AttemptKey key = connection->key;
  if (carries_attempt) by_attempt_.erase(key);
  // An answer that arrives before the request is written leaves the connection in an unknown state.
  if (message.keep_alive && connection->stream->open() && connection->stream->unsent() == 0 &&
      connection->parser.Between())
    MakeIdle(connection);
  else
    Destroy(connection);
  if (!carries_attempt) return;
  if (message.status == 202) {
    const std::string* fencing = message.Find("X-Fences");
    return events_.accepted(key, fencing != nullptr && *fencing == "1");
  }
  if (message.status >= 400 && message.status < 500) return events_.rejected(key);
  if (!never_ran && message.status != 500)
    CountFault("odd_worker_answer", "status " + std::to_string(message.status));
  events_.ended(key, never_ran ? Outcome::kFull : Outcome::kError, load);
}

void Workers::MakeIdle(Connection* connection) {
  connection->state = State::kIdle;
  connection->request.clear();
  endpoints_[connection->worker].idle.push_back(connection);
  connection->idle_since = Now();
  SetExpiry(connection, connection->idle_since + idle_limit_.current());
}

void Workers::Finish(Connection* connection, Outcome outcome, const LoadReport& load) {
  const bool carries_attempt = connection->carries_attempt;
  const AttemptKey key = connection->key;
  Destroy(connection);
  if (carries_attempt) events_.ended(key, outcome, load);
}

void Workers::Destroy(Connection* connection) {
  if (connection->carries_attempt) by_attempt_.erase(connection->key);
  std::erase(endpoints_[connection->worker].idle, connection);
  SetExpiry(connection, 0);
  connection->stream->Close();
  connections_.erase(connection);
}

bool Workers::EvictIdle() {
  Connection* oldest = nullptr;
  for (const auto& [id, endpoint] : endpoints_)
    if (!endpoint.idle.empty() &&
        (oldest == nullptr || endpoint.idle.front()->expires_at < oldest->expires_at))
      oldest = endpoint.idle.front();
  if (oldest != nullptr) Destroy(oldest);
  return oldest != nullptr;
}

void Workers::SetExpiry(Connection* connection, Micros at) {
  if (connection->expires_at != 0) expiries_.erase({connection->expires_at, connection});
  connection->expires_at = at;
  if (at != 0) expiries_.insert({at, connection});
  if (expiries_.empty())
    expiry_alarm_.Clear();
  else
    expiry_alarm_.Set(expiries_.begin()->first);
}

void Workers::CloseExpired() {
  while (!expiries_.empty() && expiries_.begin()->first <= Now()) {
    Connection* connection = expiries_.begin()->second;
    if (connection->state == State::kConnecting) Count("connects_timed_out");
    Finish(connection, Outcome::kNoConnection, {});  // only connecting ones carry an attempt
  }
  if (!expiries_.empty()) expiry_alarm_.Set(expiries_.begin()->first);
}

void Workers::DeferEnd(AttemptKey key, Outcome outcome) {
  deferred_ends_.emplace_back(key, outcome);
  deferred_alarm_.Set(Now());
}

}  // namespace pearreach
