#include "node/admin/door.h"

#include <glib.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "common/diagnostics/log.h"

namespace pearreach::admin {
namespace {

constexpr std::string_view kWorkers = "/_match-workers/", kZones = "/_zones/", kRules = "/_rules";

// The value of `name` in a query, percent-decoded; empty where it is not there or not text.
std::string QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t amp = query.find('&');
    const std::string_view pair = query.substr(0, amp);
    query = amp == std::string_view::npos ? std::string_view() : query.substr(amp + 1);
    const std::size_t eq = pair.find('=');
    if (eq == std::string_view::npos || pair.substr(0, eq) != name) continue;
    const std::string raw(pair.substr(eq + 1));
    char* decoded = g_uri_unescape_string(raw.c_str(), nullptr);
    if (decoded == nullptr) return {};
    std::string value(decoded);
    g_free(decoded);
    return value;
  }
  return {};
}

Response Text(int status, std::string body) { return {status, std::move(body) + "\n", {}}; }

Response Wrong(const char* why, int status, std::string body,
               std::vector<http::Header> headers = {}) {
  Count(why);
  return {status, std::move(body) + "\n", std::move(headers)};
}

}  // namespace

std::string WriteVars(const Vars& vars) {
  std::string out;
  const auto line = [&](const std::string& name, std::uint64_t value, const char* type) {
    out += "svc." + name + ":" + std::to_string(value) + "|" + type + "\n";
  };
  for (const Vars::Class& c : vars.classes) {
    line("success." + c.name, c.success, "c");
    line("busy." + c.name, c.busy, "c");
    line("failure." + c.name, c.failure, "c");
  }
  line("backend_calls", vars.backend_calls, "c");
  line("inflight", vars.inflight, "g");
  line("hosts_listed", vars.hosts_listed, "g");
  line("hosts_down", vars.hosts_down, "g");
  return out;
}

namespace {

bool IsGet(const http::Message& call) { return call.method == "GET" || call.method == "HEAD"; }

Response GetOnly() { return Wrong("door_bad_method", 405, "GET only", {{"Allow", "GET, HEAD"}}); }
Response PostOnly() { return Wrong("door_bad_method", 405, "POST only", {{"Allow", "POST"}}); }
Response NoSuchCall() { return Wrong("door_bad_path", 404, "no such call"); }

// A call's target, split at its query.
struct Target {
  std::string_view path, query;
};

Target SplitTarget(std::string_view target) {
  const std::size_t question = target.find('?');
  if (question == std::string_view::npos) return {target, {}};
  return {target.substr(0, question), target.substr(question + 1)};
}

Response RouteWorkers(const http::Message& call, const Target& at, const AdminHandlers& calls) {
  const std::string_view verb = at.path.substr(kWorkers.size());
  if (verb != "detach" && verb != "attach") return NoSuchCall();
  if (call.method != "POST") return PostOnly();
  const std::string id = QueryValue(at.query, "target");
  if (id.empty()) return Wrong("door_bad_target", 400, "no target=ID");
  const bool detach = verb == "detach";
  if (!(detach ? calls.detach : calls.attach)(id))
    return Wrong("door_unknown_target", 404, "no list has named " + id);
  Log(detach ? "detached" : "attached", {{"worker", id}},
      (detach ? "detached " : "attached ") + id + " by the operators' door");
  return Text(200, (detach ? "detached " : "attached ") + id);
}

Response RouteZones(const http::Message& call, const Target& at, const AdminHandlers& calls) {
  const std::string verb(at.path.substr(kZones.size()));
  if (verb != "leave" && verb != "return" && verb != "clear") return NoSuchCall();
  if (call.method != "POST") return PostOnly();
  const std::string target = QueryValue(at.query, "target");
  if (target.empty()) return Wrong("door_bad_target", 400, "no target=ZONE");
  if (!calls.order(target, verb))
    return Wrong("door_unknown_target", 404, "there is no zone or region " + target);
  return Text(200, verb + " " + target);
}

Response RouteRules(const http::Message& call, const Target& at, const AdminHandlers& calls) {
  const bool post = call.method == "POST";
  if (!post && !IsGet(call))
    return Wrong("door_bad_method", 405, "GET or POST", {{"Allow", "GET, HEAD, POST"}});
  AdminHandlers::RulesRequest request{post,
                                      "",
                                      call.body,
                                      QueryValue(at.query, "after"),
                                      QueryValue(at.query, "number"),
                                      QueryValue(at.query, "from"),
                                      QueryValue(at.query, "to"),
                                      QueryValue(at.query, "voters")};
  if (at.path.size() > kRules.size()) request.verb = at.path.substr(kRules.size() + 1);
  const auto answer = calls.rules(request);
  if (!answer) return NoSuchCall();
  if (answer->first >= 400) Count("door_rules_refused");
  return Text(answer->first, answer->second);
}

}  // namespace

Response Route(const http::Message& call, const AdminHandlers& calls) {
  const Target at = SplitTarget(call.target);
  if (at.path == "/_ready" || at.path == "/_vars") {
    if (!IsGet(call)) return GetOnly();
    if (at.path == "/_vars")
      return Response{200, WriteVars(calls.vars()), {{"Content-Type", "text/plain"}}};
    return calls.ready() ? Text(200, "ready") : Text(503, "not ready");
  }
  if (at.path.starts_with(kWorkers)) return RouteWorkers(call, at, calls);
  if (at.path == "/_zones" && calls.zones)
    return IsGet(call) ? Text(200, calls.zones()) : GetOnly();
  if (at.path.starts_with(kZones) && calls.order) return RouteZones(call, at, calls);
  const bool rules = at.path == kRules || at.path.starts_with(std::string(kRules) + "/");
  if (rules && calls.rules) return RouteRules(call, at, calls);
  return NoSuchCall();
}

AdminServer::AdminServer(AdminHandlers calls)
    : handlers_(std::move(calls)),
      listener_([this](std::shared_ptr<Stream> stream) { OnAccepted(std::move(stream)); }),
      sweep_([this] { Sweep(); }) {}

AdminServer::~AdminServer() {
  for (auto& [c, owned] : connections_) c->stream->Close();
}

std::string AdminServer::Open(const std::string& address) { return listener_.Open(address); }

void AdminServer::OnAccepted(std::shared_ptr<Stream> stream) {
  Count("door_calls");
  // Guards the descriptors that clients need, and the next caller against silent ones: beyond a
  // few, the connection that is nearest its end goes now.
  if (connections_.size() >= kMaxConnections) {
    Count("door_full");
    Connection* first = connections_.begin()->first;
    for (const auto& [c, owned] : connections_)
      if (std::pair(!c->answered, c->deadline) < std::pair(!first->answered, first->deadline))
        first = c;
    if (!first->answered) {
      Count("door_calls_incomplete");
      first->stream->Write(http::WriteResponse(408, {}, "the call did not come whole\n", false));
    }
    Destroy(first);
  }
  auto owned = std::make_unique<Connection>();
  Connection* c = owned.get();
  c->stream = std::move(stream);
  c->deadline = Now() + kRequestTimeout;
  connections_[c] = std::move(owned);
  c->stream->Listen(
      {[] {}, [this, c](std::string_view bytes) { OnData(c, bytes); }, [this, c] { Destroy(c); }});
  Sweep();
}

void AdminServer::OnData(Connection* c, std::string_view bytes) {
  if (c->answered) return;  // one call a connection: what else comes is dropped
  c->parser.Feed(bytes);
  switch (c->parser.Next()) {
    case http::Parser::State::kMore:
      return;
    case http::Parser::State::kBad:
      Count("door_bad_calls");
      return Answer(c, Text(c->parser.error_status(), c->parser.error()));
    case http::Parser::State::kMessage:
      return Answer(c, Route(c->parser.Take(), handlers_));
  }
}

void AdminServer::Answer(Connection* c, const Response& reply) {
  c->answered = true;
  if (!c->stream->Write(http::WriteResponse(reply.status, reply.headers, reply.body, false)))
    return Destroy(c);
  c->stream->CloseAfterWrite();
  c->deadline = Now() + kLinger;
  if (!sweeping_) Sweep();
}

void AdminServer::Destroy(Connection* c) {
  const auto it = connections_.find(c);
  if (it == connections_.end()) return;
  c->stream->Close();
  connections_.erase(it);
}

// Answers what is late and closes what has lingered; then waits for the next of those times.
void AdminServer::Sweep() {
  sweeping_ = true;
  const Micros now = Now();
  Micros next = 0;
  for (auto it = connections_.begin(); it != connections_.end();) {
    Connection* c = (it++)->first;
    if (c->deadline > now) {
      next = next == 0 ? c->deadline : std::min(next, c->deadline);
      continue;
    }
    if (c->answered) {
      Destroy(c);
      continue;
    }
    Count("door_calls_incomplete");
    Answer(c, Text(408, "the call did not come whole in time"));
    next = next == 0 ? c->deadline : std::min(next, c->deadline);
  }
  sweeping_ = false;
  if (next != 0)
    sweep_.Set(next);
  else
    sweep_.Clear();
}

}  // namespace pearreach::admin
