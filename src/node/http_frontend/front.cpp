#include "node/http_frontend/front.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

#include "node/engine/job_view.h"

namespace pearreach {
namespace {

using dispatch::Malformed;

constexpr int kWorkerShare = 8;     // a part of so many of the descriptors is not the front's
constexpr int kReserve = 32;        // descriptors for all else: log, discovery, the loop
constexpr std::size_t kSpare = 16;  // connections beyond the budget, which are only refused
constexpr Micros kQuietLimit = 60 * kSecond;  // a connection without an open request goes after it
constexpr Micros kCloseLimit = 1 * kSecond;   // a peer has so long to close after its last answer
constexpr Micros kLongCloseLimit = 4 * kSecond;  // the same where it has a long body to send yet
// A new connection has so long from its accept to send its first request, however it drips; so long
// to say anything at all while half the budget is used; and so long when no more can be accepted.
// Clients send as soon as they are up.
constexpr Micros kFirstLimit = 2 * kSecond;
constexpr Micros kFirstWordLimit = 1250 * kMs;
constexpr Micros kFullWordLimit = 300 * kMs;
constexpr Micros kSafelyIdle = 1 * kSecond;  // unused for so long, a connection may make room
// A planned restart: SIGKILL comes no sooner than the longest deadline, counted as no more than
// kStopCounts, and kStopGrace after SIGTERM.
constexpr Micros kStopCounts = 3 * kSecond;
constexpr Micros kStopGrace = 700 * kMs;
constexpr Micros kStopMargin = 300 * kMs;  // all is answered so long before
constexpr Micros kWindUp = 1500 * kMs;     // new work ends so long before that: most jobs take less
constexpr Micros kAcceptLeast = 600 * kMs;  // and not sooner after SIGTERM than this
constexpr Micros kDrainStep = 50 * kMs;
constexpr Micros kDrainLeast = 1000 * kMs;
constexpr Micros kMaxPatience = 3600 * kSecond;
constexpr std::size_t kMaxId = 128;
constexpr std::size_t kCopiesOfBody = 2;   // the job's, and that on its way to a worker
constexpr Micros kEndWritten = 250 * kMs;  // for an end to reach the disk and its waiting client

// "480m" or "1500u".
Micros ReadTimeout(const std::string& text) {
  if (text.size() < 2 || (text.back() != 'm' && text.back() != 'u'))
    throw Malformed("bad X-Timeout " + dispatch::Quote(text));
  const auto number = dispatch::ParseNumber<std::int64_t>(
      std::string_view(text).substr(0, text.size() - 1), "X-Timeout");
  const Micros unit = text.back() == 'm' ? kMs : 1;
  if (number < 0) throw Malformed("bad X-Timeout " + dispatch::Quote(text));
  return number > kMaxPatience / unit ? kMaxPatience : number * unit;
}

// RFC 7240: "respond-async", "wait=SECONDS" and others that mean nothing here, with commas.
struct Prefer {
  bool async = false;
  std::optional<Micros> wait;
};
Prefer ReadPrefer(const http::Message& message) {
  Prefer prefer;
  const std::string* value = message.Find("Prefer");
  if (value == nullptr) return prefer;
  for (std::string_view part : dispatch::Split(*value, ',')) {
    while (part.starts_with(' ')) part.remove_prefix(1);
    while (part.ends_with(' ')) part.remove_suffix(1);
    if (part == "respond-async") prefer.async = true;
    if (!part.starts_with("wait=")) continue;
    const auto seconds = dispatch::ParseNumber<std::int64_t>(part.substr(5), "Prefer: wait");
    if (seconds < 0) throw Malformed("bad Prefer: wait");
    prefer.wait = std::min<std::int64_t>(seconds, kMaxPatience / kSecond) * kSecond;
  }
  return prefer;
}

std::string SecondsOf(Micros t) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(t) / 1e6);
  return text;
}

}  // namespace

Front::Front(Core* core, int sockets, int memory_mb)
    : core_(core),
      budget_(static_cast<std::size_t>(
          std::max(sockets - sockets / kWorkerShare - kReserve - static_cast<int>(kSpare), 1))),
      memory_(std::make_shared<memory::MemoryBudget>(memory::ClientMemoryBytes(memory_mb))),
      listener_([this](std::shared_ptr<Stream> stream) { OnAccepted(std::move(stream)); }),
      sweep_([this] { Sweep(); }),
      drain_([this] { DrainStep(); }) {
  listener_.SetReceiveBuffer(memory::ReceiveBufferBytes(memory_mb, budget_));
  memory_->Register(this);
}

Front::~Front() {
  memory_->Unregister(this);
  *alive_ = false;
  for (auto& [c, owned] : connections_) c->stream->Close();
}

std::string Front::Open(const std::string& address) { return listener_.Open(address); }

std::string Front::Take(int descriptor) {
  accepts_ = false;
  return listener_.Take(descriptor);
}

void Front::Adopt(int descriptor) {
  GSocket* socket = g_socket_new_from_fd(descriptor, nullptr);
  if (socket == nullptr) {
    close(descriptor);
    return CountFault("connection_not_taken_over", "a descriptor that is no socket");
  }
  Count("connections_taken_over");
  // It has carried requests before: it is held as long as any connection that has.
  OnAccepted(Stream::Adopt(socket), /*answered=*/true);
}

void Front::HandOff(std::function<bool(int)> pass) {
  pass_ = std::move(pass);
  if (pass_) PassIdle();
}

// Guards the clients against a connection that ends with this process: what is on its way stays
// in the kernel's buffer and is read by the next one.
void Front::PassIdle() {
  std::vector<Connection*> idle;
  for (const auto& [c, owned] : connections_)
    if (!c->is_worker && c->ticket == 0 && c->promise == 0 && !c->closing && c->parser.Between() &&
        c->stream->unsent() == 0)
      idle.push_back(c);
  for (Connection* c : idle) {
    if (!pass_(c->stream->descriptor())) return;  // the link is full: at the next step
    Count("connections_handed_over");
    Destroy(c);
  }
}

void Front::Accept(bool accepts) {
  accepts_ = accepts;
  accepts_ ? listener_.Resume() : listener_.Pause();
}

void Front::OnAccepted(std::shared_ptr<Stream> stream, bool answered) {
  auto owned = std::make_unique<Connection>();
  Connection* c = owned.get();
  c->answered = answered;
  c->over_budget = connections_.size() >= budget_ && !EvictQuiet();
  if (c->over_budget) Count("over_budget");
  c->stream = std::move(stream);
  c->charge = memory::MemoryCharge(memory_, memory::ChargeKind::kConnection);
  c->progress_at = Now();
  connections_[c] = std::move(owned);
  MarkQuiet(c);
  // Guards the descriptors: with the spare ones gone too, what comes waits in the backlog.
  if (connections_.size() >= budget_ + kSpare) listener_.Pause();
  c->stream->Listen(
      {[] {}, [this, c](std::string_view bytes) { OnData(c, bytes); }, [this, c] { Destroy(c); }});
}

void Front::OnData(Connection* c, std::string_view bytes) {
  if (c->closing) return;
  c->progress_at = Now();
  c->parser.Feed(bytes);
  if (c->ticket == 0 && c->promise == 0) {
    Read(c);
  } else if (c->parser.Buffered() > http::Limits().head + http::Limits().body) {
    // One request at a time: more than one whole head ahead is no client.
    return Destroy(c);
  }
  if (connections_.contains(c)) AccountMemory(c);
}

// ---------------------------------------------------------------- memory

std::size_t Front::PartialBytes(const Connection& c) {
  const bool partial = c.ticket == 0 && c.promise == 0 && !c.closing && !c.parser.Between();
  return partial ? c.charge.bytes() : 0;
}

std::size_t Front::ReclaimableBytes() const {
  std::size_t bytes = 0;
  for (const auto& [c, owned] : connections_) bytes += PartialBytes(*c);
  return bytes;
}

// From those first that hold much and have stood still for long: the product of the two.
void Front::Reclaim(std::size_t bytes, const void* except) {
  const Micros now = Now();
  std::vector<std::pair<double, Connection*>> by_rank;
  for (const auto& [c, owned] : connections_) {
    const std::size_t held = PartialBytes(*c);
    const Micros stalled = std::max(now - c->progress_at, kMs);
    if (held > 0 && c != except)
      by_rank.emplace_back(static_cast<double>(held) * static_cast<double>(stalled), c);
  }
  std::sort(by_rank.rbegin(), by_rank.rend());
  std::size_t freed = 0;
  for (const auto& [rank, c] : by_rank) {
    if (freed >= bytes) return;
    if (!connections_.contains(c)) continue;
    freed += PartialBytes(*c);
    RefusePartial(c);
  }
}

void Front::RefusePartial(Connection* c) {
  Count("shed_for_memory");
  c->parser.Reset({});
  c->charge.Set(0);
  Refuse(c, false, core_->site().settings.max_retry_after);
}

void Front::AccountMemory(Connection* c) {
  c->charge.Set(c->parser.HeldBytes() + c->stream->unsent());
  if (PartialBytes(*c) > 0 && !memory_->Keep(c->charge.bytes(), c)) RefusePartial(c);
}

bool Front::Admit(Connection* c, const http::Message& message) {
  c->charge.Set(c->parser.HeldBytes());
  std::size_t bytes = message.target.size() + kCopiesOfBody * message.body.size();
  for (const http::Header& header : message.headers)
    bytes += sizeof header + header.name.size() + header.value.size();
  auto charge = memory_->Admit(bytes);
  if (charge.has_value()) {
    c->request_charge = *std::move(charge);
    return true;
  }
  Count("shed_for_memory");
  Refuse(c, false, core_->site().settings.max_retry_after);
  return false;
}

// Takes the requests that have come, until one of them has to wait.
void Front::Read(Connection* c) {
  while (connections_.contains(c) && c->ticket == 0 && c->promise == 0 && !c->closing) {
    switch (c->parser.Next()) {
      case http::Parser::State::kMore:
        if (c->parser.TakeContinue()) c->stream->Write("HTTP/1.1 100 Continue\r\n\r\n");
        return;
      case http::Parser::State::kBad:
        Count("bad_requests");
        return Respond(c, c->parser.error_status(), c->parser.error() + "\n", false);
      case http::Parser::State::kMessage:
        // Answers that come at once must not read on from here: a peer could nest them without end.
        handling_ = c;
        if (http::Message message = c->parser.Take(); Admit(c, message))
          Handle(c, std::move(message));
        handling_ = nullptr;
        break;
    }
  }
}

void Front::Handle(Connection* c, http::Message message) {
  const std::string path = message.target.substr(0, message.target.find('?'));
  const bool reads = message.method == "GET";
  if (path == "/ready") {
    if (!reads) return Respond(c, 405, "GET only\n", message.keep_alive, {{"Allow", "GET"}});
    const bool ready = core_->ready() && !draining_;
    return Respond(c, ready ? 200 : 503, ready ? "ready\n" : "not ready\n", message.keep_alive);
  }
  constexpr std::string_view kJobs = "/_jobs/";
  if (path.starts_with(kJobs) && path != "/_jobs/news")
    return HandleLook(c, message, path.substr(kJobs.size()));
  const std::string first =
      path.starts_with('/') ? path.substr(1, path.find('/', 1) - 1) : std::string();
  const bool is_class = dispatch::IndexOf(core_->site().classes, first) >= 0;
  if (path != "/_jobs/news" && (first.empty() || !is_class)) {
    Count("bad_requests");
    return Respond(c, 404, "no such path\n", message.keep_alive);
  }
  if (message.method != "POST") {
    Count("bad_requests");
    return Respond(c, 405, "POST only\n", message.keep_alive, {{"Allow", "POST"}});
  }
  if (path == "/_jobs/news") return HandleNews(c, message);
  HandleJob(c, std::move(message), first);
}

void Front::HandleNews(Connection* c, const http::Message& message) {
  c->is_worker = true;
  std::optional<News> news;
  try {
    news = ReadNews(message.body, core_->site());
  } catch (const Malformed&) {
  }
  if (!news) {
    CountFault("bad_news", message.body);
    return Respond(c, 400, "not news of a job\n", message.keep_alive);
  }
  // Whatever it is about, it has been heard: any other answer makes the worker say it again. Of a
  // durable job it is heard once it is on the disk.
  const std::uint64_t promise = Promise(c);
  core_->HandleJobUpdate(
      *news, [this, promise, keep_alive = message.keep_alive, alive = alive_](bool heard) {
        if (!*alive) return;
        Connection* c = Redeem(promise);
        if (c == nullptr) return;
        Respond(c, heard ? 200 : 503, "", keep_alive);
        if (handling_ != c) Read(c);
      });
}

std::uint64_t Front::Promise(Connection* c) {
  c->promise = ++last_promise_;
  promised_[c->promise] = c;
  quiet_.erase(c->quiet);
  return c->promise;
}

// Null: the connection has gone.
Front::Connection* Front::Redeem(std::uint64_t promise) {
  const auto it = promised_.find(promise);
  if (it == promised_.end()) return nullptr;
  Connection* c = it->second;
  promised_.erase(it);
  c->promise = 0;
  MarkQuiet(c);
  return c;
}

// A durable job: answered when it is on the disk or, where its client waits for its end, with that.
void Front::HandleDurable(Connection* c, Job job, Micros wait, bool keep_alive) {
  const std::uint64_t promise = Promise(c);
  core_->SubmitDurable(std::move(job), [this, promise, wait, keep_alive,
                                        alive = alive_](const DurableSubmitResult& result) {
    if (!*alive) return;
    if (result.kind == DurableSubmitResult::Kind::kAccepted && wait > 0 && !refusing_)
      return AwaitEnd(promise, result.id, wait, keep_alive);
    Connection* c = Redeem(promise);
    if (c == nullptr) return;
    switch (result.kind) {
      case DurableSubmitResult::Kind::kAccepted:
        Respond(c, 202, "", keep_alive, {{"Location", "/_jobs/" + result.id}});
        break;
      case DurableSubmitResult::Kind::kUnavailable:
        Refuse(c, keep_alive, result.retry_after);
        break;
      case DurableSubmitResult::Kind::kBadCallback:
        Count("bad_requests");
        Respond(c, 400, "X-Callback-Url is no address that may be called\n", keep_alive);
        break;
      case DurableSubmitResult::Kind::kConflict:
        Count("bad_requests");
        Respond(c, 409, "a request of this id is open\n", keep_alive);
        break;
    }
    if (handling_ != c) Read(c);
  });
}

// The end of a durable job as that of any job, if it comes within `wait`; else its 202.
void Front::AwaitEnd(std::uint64_t promise, const std::string& id, Micros wait, bool keep_alive) {
  core_->QueryDurable(
      id, wait,
      [this, promise, id, keep_alive, alive = alive_](const std::optional<JobView>& view) {
        if (!*alive) return;
        Connection* c = Redeem(promise);
        if (c == nullptr) return;  // gone; its job goes on
        std::vector<http::Header> headers = {{"Location", "/_jobs/" + id}};
        if (!view || !view->ended) {
          Respond(c, 202, "", keep_alive, std::move(headers));
        } else if (view->served) {
          Respond(c, 200, view->result, keep_alive, std::move(headers));
        } else if (view->refused) {
          Refuse(c, keep_alive, view->retry_after);
        } else {
          Respond(c, view->deadline_exceeded ? 504 : 502, "failed\n", keep_alive,
                  std::move(headers));
        }
        if (handling_ != c) Read(c);
      });
}

void Front::HandleLook(Connection* c, const http::Message& message, const std::string& id) {
  if (message.method != "GET" && message.method != "DELETE") {
    Count("bad_requests");
    return Respond(c, 405, "GET or DELETE only\n", message.keep_alive, {{"Allow", "GET, DELETE"}});
  }
  std::optional<Micros> wait;
  try {
    wait = ReadPrefer(message).wait;
  } catch (const Malformed& wrong) {
    Count("bad_requests");
    return Respond(c, 400, std::string(wrong.what()) + "\n", message.keep_alive);
  }
  const std::uint64_t promise = Promise(c);
  const auto seen = [this, promise, keep_alive = message.keep_alive,
                     alive = alive_](const std::optional<JobView>& view) {
    if (!*alive) return;
    Connection* c = Redeem(promise);
    if (c == nullptr) return;
    if (!view)
      Respond(c, 404, "no such job\n", keep_alive);
    else
      Respond(c, 200, WriteJobView(*view), keep_alive, {{"Content-Type", "application/json"}});
    if (handling_ != c) Read(c);
  };
  if (message.method == "GET")
    core_->QueryDurable(id, refusing_ ? 0 : wait.value_or(0), seen);
  else
    core_->CancelDurable(id, seen);
}

void Front::HandleJob(Connection* c, http::Message message, const std::string& cls) {
  const dispatch::Site& site = core_->site();
  const auto text = [&](const char* name) {
    const std::string* value = message.Find(name);
    return value == nullptr ? std::string() : *value;
  };
  const bool over_budget = c->over_budget && connections_.size() > budget_;
  if (over_budget || refusing_) {
    Count("shed");
    if (dispatch::IndexOf(site.classes, cls) >= 0) ++shed_[cls];
    return Refuse(c, message.keep_alive && !over_budget, site.settings.max_retry_after);
  }
  Job job;
  Prefer prefer;
  job.received = Now();
  try {
    if (core_->supports_durable_jobs()) prefer = ReadPrefer(message);
    job.id = text("X-Request-ID");
    if (job.id.empty() || job.id.size() > kMaxId || job.id.find(' ') != std::string::npos ||
        job.id.find('/') != std::string::npos)
      throw Malformed("no or bad X-Request-ID");
    if (const std::string named = text("X-Priority-Class"); named != cls)
      throw Malformed("X-Priority-Class does not name the class of the path");
    job.cls = dispatch::IndexOf(site.classes, cls);
    const dispatch::ClassSettings& settings =
        site.settings.classes[static_cast<std::size_t>(job.cls)];
    // One that is there and says nothing is no number either.
    const std::string* timeout = message.Find("X-Timeout");
    job.client_timeout = timeout == nullptr ? settings.deadline : ReadTimeout(*timeout);
    job.idempotency_key = text("Idempotency-Key");
    if (settings.effect == dispatch::Effect::kByKey && job.idempotency_key.empty())
      throw Malformed("no Idempotency-Key");
    job.tenant = dispatch::IndexOf(site.tenants, text("X-Tenant-Id"));
    job.is_repeat = text("X-Retried") == "1";
    if (const std::string key = text("X-Route-Key"); !key.empty())
      job.key = dispatch::HashName(key);
    const std::string attrs = text("X-Attrs");  // outlives the views that Split returns
    for (const std::string_view pair : dispatch::Split(attrs, ',')) {
      const std::size_t eq = pair.find('=');
      if (eq == std::string_view::npos) throw Malformed("bad X-Attrs");
      if (pair.substr(0, eq) == "slots")
        job.slots = dispatch::ParseNumber<double>(pair.substr(eq + 1), "slots");
    }
    if (job.slots <= 0 || job.slots > 1e6) throw Malformed("bad number of slots");
  } catch (const Malformed& wrong) {
    Count("bad_requests");
    return Respond(c, 400, std::string(wrong.what()) + "\n", message.keep_alive);
  }
  // Guards rule 1: SIGKILL finds no request unanswered that was taken in the drain.
  if (draining_)
    job.client_timeout = std::min(job.client_timeout, std::max<Micros>(stop_by_ - Now(), kMs));
  job.content_type = text("Content-Type");
  job.path = std::move(message.target);
  job.body = std::move(message.body);
  if (core_->supports_durable_jobs() && prefer.async) {
    job.callback = text("X-Callback-Url");
    // A client that waits hears no later than its job's time ends, and a moment for the disk.
    const Micros wait = std::min(prefer.wait.value_or(0), job.client_timeout + kEndWritten);
    return HandleDurable(c, std::move(job), wait, message.keep_alive);
  }
  const auto ticket = core_->Submit(std::move(job), this);
  if (!ticket) {
    Count("bad_requests");
    return Respond(c, 409, "a request of this id is open\n", message.keep_alive);
  }
  c->ticket = *ticket;
  c->keep_alive = message.keep_alive;
  waiting_[*ticket] = c;
  quiet_.erase(c->quiet);
}

void Front::OnAnswer(Ticket ticket, const Answer& answer) {
  const auto it = waiting_.find(ticket);
  if (!Must(it != waiting_.end(), "answer_without_request")) return;
  Connection* c = it->second;
  waiting_.erase(it);
  c->ticket = 0;
  MarkQuiet(c);
  const bool keep_alive = c->keep_alive;
  switch (answer.kind) {
    case Answer::Kind::kServed:
      Respond(c, 200, answer.result, keep_alive);
      break;
    case Answer::Kind::kRefused:
      Refuse(c, keep_alive, answer.retry_after);
      break;
    case Answer::Kind::kRejected:
      Respond(c, 400, "no worker takes it\n", keep_alive);
      break;
    case Answer::Kind::kFailed:
      Respond(c, answer.deadline_exceeded ? 504 : 502, "failed\n", keep_alive);
      break;
  }
  Read(c);  // a request may have come ahead of its turn
}

void Front::Refuse(Connection* c, bool keep_alive, Micros retry_after) {
  std::vector<http::Header> headers;
  if (retry_after > 0) headers.push_back({"Retry-After", SecondsOf(retry_after)});
  Respond(c, 503, "refused\n", keep_alive, headers);
}

void Front::Respond(Connection* c, int status, std::string_view body, bool keep_alive,
                    const std::vector<http::Header>& headers) {
  if (!c->is_worker && EndsWithAnswer(*c)) keep_alive = false;
  c->request_charge.Set(0);
  c->answered = true;
  c->quiet_since =
      Now();  // an answer is a sign of life: call-backs come on one connection for long
  quiet_.splice(quiet_.end(), quiet_, c->quiet);
  const bool written = c->stream->Write(http::WriteResponse(status, headers, body, keep_alive));
  if (!written) return Destroy(c);
  if (keep_alive) return;
  c->closing = true;
  // Guards the answer of one that goes on sending: cut off sooner it would read a reset.
  c->long_close = status == 413;
  c->stream->CloseAfterWrite();
  SweepBy(Now() + QuietLimit(*c, connections_.size()));
}

// Near the budget a connection goes with its answer, which no request can cross; at the end of a
// drain with the answer to the last request that has come on it.
bool Front::EndsWithAnswer(const Connection& c) const {
  if (refusing_) return c.parser.Between() && c.stream->Quiet();
  return connections_.size() > budget_ / 4 * 3;
}

// Never later than already set: with answers going out all the time, the sweep would never come.
void Front::SweepBy(Micros at) {
  if (next_sweep_ != 0 && next_sweep_ <= at) return;
  next_sweep_ = at;
  sweep_.Set(at);
}

// How long a connection may stay without an open request. Guards clients, call-backs and /ready:
// those that connect and say nothing must not keep them in the backlog.
Micros Front::QuietLimit(const Connection& c, std::size_t open) const {
  if (c.closing) return c.long_close ? kLongCloseLimit : kCloseLimit;
  if (c.answered) return kQuietLimit;
  if (!c.parser.Between() || open <= budget_ / 2) return kFirstLimit;
  return open < budget_ + kSpare ? kFirstWordLimit : kFullWordLimit;
}

void Front::MarkQuiet(Connection* c) {
  c->quiet_since = Now();
  c->quiet = quiet_.insert(quiet_.end(), c);
  SweepBy(c->quiet_since + QuietLimit(*c, connections_.size()));
}

void Front::Destroy(Connection* c) {
  if (!connections_.contains(c)) return;
  if (c->ticket != 0) {  // the client has gone away
    waiting_.erase(c->ticket);
    core_->Abandon(c->ticket);
  } else if (c->promise != 0) {
    promised_.erase(c->promise);
  } else {
    quiet_.erase(c->quiet);
  }
  c->stream->Close();
  connections_.erase(c);
  if (accepts_ && connections_.size() < budget_ + kSpare) listener_.Resume();
}

// Closes the client's connection that has been between requests for longest. Guards rule 1: one
// that is new is about to carry its first request, and one just answered its next; a client whose
// request crosses the close sends it again once only, and must not meet the same on its new
// connection.
bool Front::EvictQuiet() {
  const Micros now = Now();
  for (Connection* c : quiet_) {
    if (now - c->quiet_since < kSafelyIdle) return false;  // so are all behind it
    if (!c->answered || c->closing || c->is_worker || !c->parser.Between() || !c->stream->Quiet())
      continue;
    Count("evicted");
    Destroy(c);
    return true;
  }
  return false;
}

void Front::Sweep() {
  const Micros now = Now();
  const std::size_t open = connections_.size();  // one measure for all that this sweep meets
  next_sweep_ = 0;
  for (auto it = quiet_.begin(); it != quiet_.end();) {
    Connection* c = *it++;
    const Micros limit = c->quiet_since + QuietLimit(*c, open);
    if (limit > now) {
      SweepBy(limit);
      continue;
    }
    if (!c->closing && c->parser.Between() && !c->stream->Quiet()) {
      SweepBy(now + kMs);  // it has spoken, and is read in this turn of the loop
      continue;
    }
    if (c->closing || c->parser.Between()) {
      Count(c->closing ? "not_closed_by_peer" : c->answered ? "idle_closed" : "silent_closed");
      Destroy(c);
    } else {
      Count("request_overdue");
      Respond(c, 408, "the request did not come\n", false);
    }
  }
}

// ---------------------------------------------------------------- the end

// Clients go on using the connections they have, and may have no other node to turn to: these are
// served as ever until only the time to answer all that was taken is left.
void Front::Drain(std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  drained_ = std::move(done);
  Micros longest = 0;
  for (const dispatch::ClassSettings& c : core_->site().settings.classes)
    longest = std::max(longest, c.deadline);
  drain_began_ = Now();
  stop_by_ = drain_began_ + std::min(longest, kStopCounts) + kStopGrace - kStopMargin;
  refuse_at_ = std::max(stop_by_ - kWindUp, drain_began_ + kAcceptLeast);
  drain_.Set(drain_began_ + kAcceptLeast);
}

void Front::StopDraining() {
  draining_ = refusing_ = false;
  drained_ = nullptr;
  drain_.Clear();
}

// The listener stays open to the end: the workers' call-backs come to it, and closing it would
// reset what waits in its backlog.
void Front::DrainStep() {
  if (pass_) PassIdle();
  refusing_ = Now() >= refuse_at_;
  if (refusing_) core_->AnswerWaiters();  // their jobs outlive this process
  bool clients = false, written = true;
  for (const auto& [c, owned] : connections_) {
    clients = clients || !c->is_worker;
    written = written && c->stream->unsent() == 0;
  }
  for (auto it = quiet_.begin(); refusing_ && it != quiet_.end();) {
    Connection* c = *it++;
    // One just accepted is about to carry a request, which gets its answer and then its end.
    const bool fresh = !c->answered && Now() - c->quiet_since < kSafelyIdle;
    if (!c->is_worker && !c->closing && !fresh && c->parser.Between() && c->stream->Quiet())
      Destroy(c);
  }
  const bool partial = refusing_ && AwaitsPartialRequests();
  if (core_->open_jobs() > 0 || !written || !promised_.empty() || (clients && !refusing_) ||
      partial || Now() < drain_began_ + kDrainLeast)
    return drain_.Set(Now() + kDrainStep);
  drained_();
}

// Whether a request has begun to come. Once the time to answer is over, these are refused.
bool Front::AwaitsPartialRequests() {
  std::vector<Connection*> partial;
  for (Connection* c : quiet_)
    if (!c->is_worker && !c->closing && !c->parser.Between()) partial.push_back(c);
  if (Now() < stop_by_) return !partial.empty();
  for (Connection* c : partial) {
    Count("shed");
    Refuse(c, false, core_->site().settings.max_retry_after);
  }
  return !partial.empty();  // until the answers are written
}

}  // namespace pearreach
