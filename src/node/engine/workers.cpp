#include "node/engine/workers.h"

#include <algorithm>
#include <utility>

namespace pearreach {
namespace {

using dispatch::LoadReport;
using dispatch::Outcome;
using dispatch::WorkerId;

constexpr int kRetireShare = 2;  // of ConnIdleMs a connection stays unused
constexpr Micros kMaxIdle = 30 * kSecond;
constexpr Micros kShortRest = 16 * kMs;      // the first tally's; each next one's is twice as long
constexpr Micros kTallyHalf = 30 * kSecond;  // tallies are halved so often: what was learned fades
constexpr double kBrokeLeast = 3;            // fewer breaks are no evidence
constexpr double kBrokeMore = 0.15;          // nor is a share of breaks that is higher by less
constexpr Micros kAnswerWait = 2 * kSecond;  // for an answer that nobody waits for any more

}  // namespace

void IdleLimit::Note(Micros rest, bool broke, Micros now) {
  if (now - halved_ >= kTallyHalf) {
    halved_ = now;
    for (Tally& t : tallies_) t = {t.all / 2, t.broke / 2};
  }
  std::size_t at = 0;
  while (at + 1 < tallies_.size() && rest >= kShortRest << at) ++at;
  tallies_[at].all += 1;
  tallies_[at].broke += broke ? 1 : 0;
  // The shortest rest after which more break than after all shorter ones together.
  limit_ = longest_;
  Tally shorter = tallies_[0];
  for (std::size_t i = 1; i < tallies_.size(); ++i) {
    const Tally& t = tallies_[i];
    const double usual = shorter.all > 0 ? shorter.broke / shorter.all : 0;
    if (t.broke >= kBrokeLeast && t.broke > (usual + kBrokeMore) * t.all) {
      limit_ = std::min(longest_, kShortRest << (i - 1));
      return;
    }
    shorter = {shorter.all + t.all, shorter.broke + t.broke};
  }
}

Workers::Workers(const dispatch::Site& site, int budget, Events events)
    : site_(site),
      budget_(static_cast<std::size_t>(std::max(budget, 1))),
      // Guards jobs that may not run twice: what is written to a connection that its peer has just
      // closed for idleness ends as a reset, and may then have run.
      retire_(site.settings.connection_idle > 0
                  ? std::min(site.settings.connection_idle / kRetireShare, kMaxIdle)
                  : kMaxIdle),
      events_(std::move(events)),
      expiry_([this] { Expire(); }),
      tell_([this] {
        for (const auto& [key, outcome] : std::exchange(later_, {}))
          events_.ended(key, outcome, {});
      }) {}

Workers::~Workers() {
  for (auto& [link, owned] : links_)
    if (link->stream != nullptr) link->stream->Close();
}

void Workers::SetAddress(WorkerId worker, const std::string& address) {
  Peer& peer = peers_[worker];
  if (peer.address == address) return;
  Remove(worker);
  peer.address = address;
}

void Workers::Remove(WorkerId worker) {
  const auto idle = peers_[worker].idle;
  for (Link* link : idle) Destroy(link);
}

void Workers::Start(AttemptKey key, WorkerId worker, const Job& job, Micros patience) {
  std::vector<http::Header> headers = {
      {"Host", peers_[worker].address},
      {"X-Request-ID", job.id},
      {"X-Priority-Class", site_.classes[static_cast<std::size_t>(job.cls)]},
      {"X-Timeout", std::to_string(std::max<Micros>(patience, kMs) / kMs) + "m"}};
  if (job.fence > 0) headers.push_back({"X-Fence", std::to_string(job.fence)});
  if (!job.idempotency_key.empty()) headers.push_back({"Idempotency-Key", job.idempotency_key});
  if (!job.content_type.empty()) headers.push_back({"Content-Type", job.content_type});
  Send(key, true, worker, http::WriteRequest("POST", job.path, headers, job.body));
}

void Workers::GiveUp(AttemptKey key, WorkerId worker, const std::string& job_id) {
  if (const auto it = bound_.find(key); it != bound_.end()) return Destroy(it->second);
  const std::string& address = peers_[worker].address;
  if (address.empty()) return;
  Send({}, false, worker,
       http::WriteRequest("DELETE", "/jobs/" + job_id,
                          {{"Host", address}, {"X-Request-ID", job_id}}, ""));
}

void Workers::Detach(AttemptKey key) {
  const auto it = bound_.find(key);
  if (it == bound_.end()) return;
  Link* link = it->second;
  bound_.erase(it);
  link->bound = false;
  SetExpiry(link, Now() + kAnswerWait);
}

void Workers::Send(AttemptKey key, bool bound, WorkerId worker, std::string request) {
  Peer& peer = peers_[worker];
  while (!peer.idle.empty()) {
    Link* link = peer.idle.back();
    link->rest = Now() - link->idle_since;
    // Guards against the same: a peer that has closed, or said a word unasked, has ended this one;
    // and one may have let go of it without a word.
    if (link->rest >= retire_.Get() || !link->stream->Quiet()) {
      Count("stale_connections");
      Destroy(link);
      continue;
    }
    peer.idle.pop_back();
    link->key = key;
    link->bound = bound;
    link->request = std::move(request);
    if (WriteOn(link)) {
      if (bound) bound_[key] = link;
      return;
    }
    // Broken before its last byte was written: it never ran there, and goes out on another.
    request = std::move(link->request);
    link->bound = false;
    Destroy(link);
  }
  if (links_.size() >= budget_ && !EvictIdle()) {
    CountFault("worker_connections_full", std::to_string(links_.size()) + " are open");
    if (bound) FinishLater(key, Outcome::kNoConnection);
    return;
  }
  auto owned = std::make_unique<Link>();
  Link* link = owned.get();
  link->worker = worker;
  link->key = key;
  link->bound = bound;
  link->request = std::move(request);
  link->stream =
      Stream::Connect(peer.address, {[this, link] { OnConnected(link); },
                                     [this, link](std::string_view bytes) { OnData(link, bytes); },
                                     [this, link] { OnClosed(link); }});
  if (link->stream == nullptr) {
    CountFault("no_socket", "for worker " + peer.address);
    if (bound) FinishLater(key, Outcome::kNoConnection);
    return;
  }
  Count("worker_connections");
  links_[link] = std::move(owned);
  if (bound) bound_[key] = link;
  SetExpiry(link, Now() + site_.settings.connect_timeout);
}

bool Workers::WriteOn(Link* link) {
  link->state = State::kWaiting;
  // An attempt's wait is bounded by the node, which gives it up at the client's deadline.
  SetExpiry(link, link->bound ? 0 : Now() + kAnswerWait);
  link->counted = !link->bound;
  if (!link->stream->Write(link->request)) return false;
  if (link->stream->unsent() == 0) Written(link);
  return true;
}

// The operators' figure of attempts: those written whole, whatever became of them.
void Workers::Written(Link* link) {
  if (std::exchange(link->counted, true)) return;
  Count("backend_calls");
}

void Workers::OnConnected(Link* link) {
  if (WriteOn(link)) return;
  Finish(link, Outcome::kNoConnection, {});
}

void Workers::OnData(Link* link, std::string_view bytes) {
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

void Workers::OnClosed(Link* link) {
  switch (link->state) {
    case State::kConnecting:
      return Finish(link, Outcome::kNoConnection, {});
    case State::kIdle:
      return Destroy(link);
    case State::kWaiting:
      if (link->parser.End() == http::Parser::State::kMessage)
        return OnMessage(link, link->parser.Take());
      if (link->rest >= 0) retire_.Note(link->rest, true, Now());
      if (link->stream->unsent() == 0) Written(link);
      // Only what was broken before its last byte was written is sure not to have run.
      return Finish(link, link->stream->unsent() > 0 ? Outcome::kNoConnection : Outcome::kReset,
                    {});
  }
}

void Workers::OnMessage(Link* link, const http::Message& message) {
  Written(link);  // an answer is read only where the request was
  if (link->rest >= 0) retire_.Note(link->rest, false, Now());
  LoadReport load;
  if (const std::string* text = message.Find("X-Server-Load")) load = ReadLoadHeader(*text, site_);
  const std::string* unrun = message.Find("X-Not-Processed");
  const bool never_ran =
      (message.status == 503 || message.status == 504) && unrun != nullptr && *unrun == "1";
  const bool bound = std::exchange(link->bound, false);
  const AttemptKey key = link->key;
  if (bound) bound_.erase(key);
  // A whole answer before the whole request was written leaves the connection in an unknown state.
  if (message.keep_alive && link->stream->open() && link->stream->unsent() == 0 &&
      link->parser.Between())
    MakeIdle(link);
  else
    Destroy(link);
  if (!bound) return;
  if (message.status == 202) {
    const std::string* fences = message.Find("X-Fences");
    return events_.taken(key, fences != nullptr && *fences == "1");
  }
  if (message.status >= 400 && message.status < 500) return events_.rejected(key);
  if (!never_ran && message.status != 500)
    CountFault("odd_worker_answer", "status " + std::to_string(message.status));
  events_.ended(key, never_ran ? Outcome::kFull : Outcome::kError, load);
}

void Workers::MakeIdle(Link* link) {
  link->state = State::kIdle;
  link->request.clear();
  peers_[link->worker].idle.push_back(link);
  link->idle_since = Now();
  SetExpiry(link, link->idle_since + retire_.Get());
}

void Workers::Finish(Link* link, Outcome outcome, const LoadReport& load) {
  const bool bound = link->bound;
  const AttemptKey key = link->key;
  Destroy(link);
  if (bound) events_.ended(key, outcome, load);
}

void Workers::Destroy(Link* link) {
  if (link->bound) bound_.erase(link->key);
  std::erase(peers_[link->worker].idle, link);
  SetExpiry(link, 0);
  link->stream->Close();
  links_.erase(link);
}

bool Workers::EvictIdle() {
  Link* oldest = nullptr;
  for (const auto& [id, peer] : peers_)
    if (!peer.idle.empty() && (oldest == nullptr || peer.idle.front()->expires < oldest->expires))
      oldest = peer.idle.front();
  if (oldest != nullptr) Destroy(oldest);
  return oldest != nullptr;
}

void Workers::SetExpiry(Link* link, Micros at) {
  if (link->expires != 0) expiries_.erase({link->expires, link});
  link->expires = at;
  if (at != 0) expiries_.insert({at, link});
  if (expiries_.empty())
    expiry_.Clear();
  else
    expiry_.Set(expiries_.begin()->first);
}

void Workers::Expire() {
  while (!expiries_.empty() && expiries_.begin()->first <= Now()) {
    Link* link = expiries_.begin()->second;
    if (link->state == State::kConnecting) Count("connects_timed_out");
    Finish(link, Outcome::kNoConnection, {});  // only a connect's expiry has an attempt to tell of
  }
  if (!expiries_.empty()) expiry_.Set(expiries_.begin()->first);
}

void Workers::FinishLater(AttemptKey key, Outcome outcome) {
  later_.emplace_back(key, outcome);
  tell_.Set(Now());
}

}  // namespace pearreach
