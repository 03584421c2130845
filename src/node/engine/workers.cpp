#include "node/engine/workers.h"

#include <algorithm>
#include <utility>

namespace pearreach {
namespace {

using dispatch::LoadReport;
using dispatch::Outcome;
using dispatch::WorkerId;

constexpr int kIdleSafetyDivisor = 2;  // of ConnIdleMs a connection stays unused
constexpr Micros kMaxIdle = 30 * kSecond;
constexpr Micros kFirstBucketIdle =
    16 * kMs;  // the first tally's; each next one's is twice as long
constexpr Micros kDecayInterval =
    30 * kSecond;                          // tallies are halved so often: what was learned fades
constexpr double kMinBroken = 3;           // fewer breaks are no evidence
constexpr double kMinBrokenExcess = 0.15;  // nor is a share of breaks that is higher by less
constexpr Micros kDetachedAnswerTimeout =
    2 * kSecond;  // for an answer that nobody waits for any more

}  // namespace

void IdleLimit::Record(Micros rest, bool broke, Micros now) {
  if (now - last_decay_ >= kDecayInterval) {
    last_decay_ = now;
    for (Bucket& t : buckets_) t = {t.total / 2, t.broken / 2};
  }
  std::size_t at = 0;
  while (at + 1 < buckets_.size() && rest >= kFirstBucketIdle << at) ++at;
  buckets_[at].total += 1;
  buckets_[at].broken += broke ? 1 : 0;
  // The shortest rest after which more break than after all shorter ones together.
  limit_ = longest_;
  Bucket shorter = buckets_[0];
  for (std::size_t i = 1; i < buckets_.size(); ++i) {
    const Bucket& t = buckets_[i];
    const double usual = shorter.total > 0 ? shorter.broken / shorter.total : 0;
    if (t.broken >= kMinBroken && t.broken > (usual + kMinBrokenExcess) * t.total) {
      limit_ = std::min(longest_, kFirstBucketIdle << (i - 1));
      return;
    }
    shorter = {shorter.total + t.total, shorter.broken + t.broken};
  }
}

Workers::Workers(const dispatch::Site& site, int budget, Events events)
    : site_(site),
      max_connections_(static_cast<std::size_t>(std::max(budget, 1))),
      // Guards jobs that may not run twice: what is written to a connection that its peer has just
      // closed for idleness ends as a reset, and may then have run.
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
  for (auto& [link, owned] : connections_)
    if (link->stream != nullptr) link->stream->Close();
}

void Workers::SetAddress(WorkerId worker, const std::string& address) {
  Endpoint& peer = endpoints_[worker];
  if (peer.address == address) return;
  Remove(worker);
  peer.address = address;
}

void Workers::Remove(WorkerId worker) {
  const auto idle = endpoints_[worker].idle;
  for (Connection* link : idle) Destroy(link);
}

void Workers::StartAttempt(AttemptKey key, WorkerId worker, const Job& job, Micros patience) {
  std::vector<http::Header> headers = {
      {"Host", endpoints_[worker].address},
      {"X-Request-ID", job.id},
      {"X-Priority-Class", site_.classes[static_cast<std::size_t>(job.cls)]},
      {"X-Timeout", std::to_string(std::max<Micros>(patience, kMs) / kMs) + "m"}};
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
  Connection* link = it->second;
  by_attempt_.erase(it);
  link->carries_attempt = false;
  SetExpiry(link, Now() + kDetachedAnswerTimeout);
}

void Workers::Send(AttemptKey key, bool bound, WorkerId worker, std::string request) {
  Endpoint& peer = endpoints_[worker];
  while (!peer.idle.empty()) {
    Connection* link = peer.idle.back();
    link->idle_time = Now() - link->idle_since;
    // Guards against the same: a peer that has closed, or said a word unasked, has ended this one;
    // and one may have let go of it without a word.
    if (link->idle_time >= idle_limit_.current() || !link->stream->Quiet()) {
      Count("stale_connections");
      Destroy(link);
      continue;
    }
    peer.idle.pop_back();
    link->key = key;
    link->carries_attempt = bound;
    link->request = std::move(request);
    if (WriteRequest(link)) {
      if (bound) by_attempt_[key] = link;
      return;
    }
    // Broken before its last byte was written: it never ran there, and goes out on another.
    request = std::move(link->request);
    link->carries_attempt = false;
    Destroy(link);
  }
  if (connections_.size() >= max_connections_ && !EvictIdle()) {
    CountFault("worker_connections_full", std::to_string(connections_.size()) + " are open");
    if (bound) DeferEnd(key, Outcome::kNoConnection);
    return;
  }
  auto owned = std::make_unique<Connection>();
  Connection* link = owned.get();
  link->worker = worker;
  link->key = key;
  link->carries_attempt = bound;
  link->request = std::move(request);
  link->stream =
      Stream::Connect(peer.address, {[this, link] { OnConnected(link); },
                                     [this, link](std::string_view bytes) { OnData(link, bytes); },
                                     [this, link] { OnClosed(link); }});
  if (link->stream == nullptr) {
    CountFault("no_socket", "for worker " + peer.address);
    if (bound) DeferEnd(key, Outcome::kNoConnection);
    return;
  }
  Count("worker_connections");
  connections_[link] = std::move(owned);
  if (bound) by_attempt_[key] = link;
  SetExpiry(link, Now() + site_.settings.connect_timeout);
}

bool Workers::WriteRequest(Connection* link) {
  link->state = State::kWaiting;
  // An attempt's wait is bounded by the node, which gives it up at the client's deadline.
  SetExpiry(link, link->carries_attempt ? 0 : Now() + kDetachedAnswerTimeout);
  link->call_counted = !link->carries_attempt;
  if (!link->stream->Write(link->request)) return false;
  if (link->stream->unsent() == 0) OnRequestWritten(link);
  return true;
}

// The operators' figure of attempts: those written whole, whatever became of them.
void Workers::OnRequestWritten(Connection* link) {
  if (std::exchange(link->call_counted, true)) return;
  Count("backend_calls");
}

void Workers::OnConnected(Connection* link) {
  if (WriteRequest(link)) return;
  Finish(link, Outcome::kNoConnection, {});
}

void Workers::OnData(Connection* link, std::string_view bytes) {
  if (link->state == State::kIdle) {
    Count("unasked_answers");
    return Destroy(link);
  }
  link->parser.Feed(bytes);
  switch (link->parser.Next()) {
    case http::Parser::State::kMore:
      return;
    case http::Parser::State::kMessage:
      return OnMessage(link, link->parser.Take());
    case http::Parser::State::kBad:
      CountFault("bad_worker_answer", link->parser.error());
      return Finish(link, Outcome::kReset, {});
  }
}

void Workers::OnClosed(Connection* link) {
  switch (link->state) {
    case State::kConnecting:
      return Finish(link, Outcome::kNoConnection, {});
    case State::kIdle:
      return Destroy(link);
    case State::kWaiting:
      if (link->parser.End() == http::Parser::State::kMessage)
        return OnMessage(link, link->parser.Take());
      if (link->idle_time >= 0) idle_limit_.Record(link->idle_time, true, Now());
      if (link->stream->unsent() == 0) OnRequestWritten(link);
      // Only what was broken before its last byte was written is sure not to have run.
      return Finish(link, link->stream->unsent() > 0 ? Outcome::kNoConnection : Outcome::kReset,
                    {});
  }
}

void Workers::OnMessage(Connection* link, const http::Message& message) {
  OnRequestWritten(link);  // an answer is read only where the request was
  if (link->idle_time >= 0) idle_limit_.Record(link->idle_time, false, Now());
  LoadReport load;
  if (const std::string* text = message.Find("X-Server-Load")) load = ReadLoadHeader(*text, site_);
  const std::string* unrun = message.Find("X-Not-Processed");
  const bool never_ran =
      (message.status == 503 || message.status == 504) && unrun != nullptr && *unrun == "1";
  const bool bound = std::exchange(link->carries_attempt, false);
  const AttemptKey key = link->key;
  if (bound) by_attempt_.erase(key);
  // A whole answer before the whole request was written leaves the connection in an unknown state.
  if (message.keep_alive && link->stream->open() && link->stream->unsent() == 0 &&
      link->parser.Between())
    MakeIdle(link);
  else
    Destroy(link);
  if (!bound) return;
  if (message.status == 202) {
    const std::string* fences = message.Find("X-Fences");
    return events_.accepted(key, fences != nullptr && *fences == "1");
  }
  if (message.status >= 400 && message.status < 500) return events_.rejected(key);
  if (!never_ran && message.status != 500)
    CountFault("odd_worker_answer", "status " + std::to_string(message.status));
  events_.ended(key, never_ran ? Outcome::kFull : Outcome::kError, load);
}

void Workers::MakeIdle(Connection* link) {
  link->state = State::kIdle;
  link->request.clear();
  endpoints_[link->worker].idle.push_back(link);
  link->idle_since = Now();
  SetExpiry(link, link->idle_since + idle_limit_.current());
}

void Workers::Finish(Connection* link, Outcome outcome, const LoadReport& load) {
  const bool bound = link->carries_attempt;
  const AttemptKey key = link->key;
  Destroy(link);
  if (bound) events_.ended(key, outcome, load);
}

void Workers::Destroy(Connection* link) {
  if (link->carries_attempt) by_attempt_.erase(link->key);
  std::erase(endpoints_[link->worker].idle, link);
  SetExpiry(link, 0);
  link->stream->Close();
  connections_.erase(link);
}

bool Workers::EvictIdle() {
  Connection* oldest = nullptr;
  for (const auto& [id, peer] : endpoints_)
    if (!peer.idle.empty() &&
        (oldest == nullptr || peer.idle.front()->expires_at < oldest->expires_at))
      oldest = peer.idle.front();
  if (oldest != nullptr) Destroy(oldest);
  return oldest != nullptr;
}

void Workers::SetExpiry(Connection* link, Micros at) {
  if (link->expires_at != 0) expiries_.erase({link->expires_at, link});
  link->expires_at = at;
  if (at != 0) expiries_.insert({at, link});
  if (expiries_.empty())
    expiry_alarm_.Clear();
  else
    expiry_alarm_.Set(expiries_.begin()->first);
}

void Workers::CloseExpired() {
  while (!expiries_.empty() && expiries_.begin()->first <= Now()) {
    Connection* link = expiries_.begin()->second;
    if (link->state == State::kConnecting) Count("connects_timed_out");
    Finish(link, Outcome::kNoConnection, {});  // only a connect's expiry has an attempt to tell of
  }
  if (!expiries_.empty()) expiry_alarm_.Set(expiries_.begin()->first);
}

void Workers::DeferEnd(AttemptKey key, Outcome outcome) {
  deferred_ends_.emplace_back(key, outcome);
  deferred_alarm_.Set(Now());
}

}  // namespace pearreach
