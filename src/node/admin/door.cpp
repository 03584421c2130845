#include "node/admin/door.h"

#include <glib.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "common/diagnostics/log.h"

namespace pearreach::admin {
namespace {

constexpr std::string_view kWorkers = "/_match-workers/", kZones = "/_zones/", kRules = "/_rules";

// Returns the percent-decoded value of a query parameter; empty if it is missing or malformed.
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

// An error response; `counter` is the counter that it increments.
Response CountedError(const char* counter, int status, std::string body,
                      std::vector<http::Header> headers = {}) {
  Count(counter);
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

bool IsGet(const http::Message& request) {
  return request.method == "GET" || request.method == "HEAD";
}

Response GetOnly() {
  return CountedError("door_bad_method", 405, "GET only", {{"Allow", "GET, HEAD"}});
}
Response PostOnly() {
  return CountedError("door_bad_method", 405, "POST only", {{"Allow", "POST"}});
}
Response NoSuchCall() { return CountedError("door_bad_path", 404, "no such call"); }

// A request target, split at its query.
struct Target {
  std::string_view path, query;
};

Target SplitTarget(std::string_view target) {
  const std::size_t question = target.find('?');
  if (question == std::string_view::npos) return {target, {}};
  return {target.substr(0, question), target.substr(question + 1)};
}

Response RouteWorkers(const http::Message& request, const Target& target,
                      const AdminHandlers& handlers) {
  const std::string_view verb = target.path.substr(kWorkers.size());
  if (verb != "detach" && verb != "attach") return NoSuchCall();
  if (request.method != "POST") return PostOnly();
  const std::string id = QueryValue(target.query, "target");
  if (id.empty()) return CountedError("door_bad_target", 400, "no target=ID");
  const bool detach = verb == "detach";
  if (!(detach ? handlers.detach : handlers.attach)(id))
    return CountedError("door_unknown_target", 404, "no list has named " + id);
  Log(detach ? "detached" : "attached", {{"worker", id}},
      (detach ? "detached " : "attached ") + id + " on the admin address");
  return Text(200, (detach ? "detached " : "attached ") + id);
}

Response RouteZones(const http::Message& request, const Target& target,
                    const AdminHandlers& handlers) {
  const std::string verb(target.path.substr(kZones.size()));
  if (verb != "leave" && verb != "return" && verb != "clear") return NoSuchCall();
  if (request.method != "POST") return PostOnly();
  const std::string zone = QueryValue(target.query, "target");
  if (zone.empty()) return CountedError("door_bad_target", 400, "no target=ZONE");
  if (!handlers.order(zone, verb))
    return CountedError("door_unknown_target", 404, "there is no zone or region " + zone);
  return Text(200, verb + " " + zone);
}

Response RouteRules(const http::Message& request, const Target& target,
                    const AdminHandlers& handlers) {
  const bool post = request.method == "POST";
  if (!post && !IsGet(request))
    return CountedError("door_bad_method", 405, "GET or POST", {{"Allow", "GET, HEAD, POST"}});
  AdminHandlers::RulesRequest rules_request{post,
                                            "",
                                            request.body,
                                            QueryValue(target.query, "after"),
                                            QueryValue(target.query, "number"),
                                            QueryValue(target.query, "from"),
                                            QueryValue(target.query, "to"),
                                            QueryValue(target.query, "voters")};
  if (target.path.size() > kRules.size())
    rules_request.verb = target.path.substr(kRules.size() + 1);
  const auto answer = handlers.rules(rules_request);
  if (!answer) return NoSuchCall();
  if (answer->first >= 400) Count("door_rules_refused");
  return Text(answer->first, answer->second);
}

}  // namespace

Response Route(const http::Message& request, const AdminHandlers& handlers) {
  const Target target = SplitTarget(request.target);
  if (target.path == "/_ready" || target.path == "/_vars") {
    if (!IsGet(request)) return GetOnly();
    if (target.path == "/_vars")
      return Response{200, WriteVars(handlers.vars()), {{"Content-Type", "text/plain"}}};
    return handlers.ready() ? Text(200, "ready") : Text(503, "not ready");
  }
  if (target.path.starts_with(kWorkers)) return RouteWorkers(request, target, handlers);
  if (target.path == "/_zones" && handlers.zones)
    return IsGet(request) ? Text(200, handlers.zones()) : GetOnly();
  if (target.path.starts_with(kZones) && handlers.order)
    return RouteZones(request, target, handlers);
  const bool rules = target.path == kRules || target.path.starts_with(std::string(kRules) + "/");
  if (rules && handlers.rules) return RouteRules(request, target, handlers);
  return NoSuchCall();
}

AdminServer::AdminServer(AdminHandlers handlers)
    : handlers_(std::move(handlers)),
      listener_([this](std::shared_ptr<Stream> stream) { OnAccepted(std::move(stream)); }),
      sweep_([this] { Sweep(); }) {}

AdminServer::~AdminServer() {
  for (auto& [c, owned] : connections_) c->stream->Close();
}

std::string AdminServer::Open(const std::string& address) { return listener_.Open(address); }

void AdminServer::OnAccepted(std::shared_ptr<Stream> stream) {
  Count("door_calls");
  // Limits the descriptors taken from clients, without letting silent callers block the next one:
  // above the limit, the connection that is closest to its deadline is closed.
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
  if (c->answered) return;  // one request per connection; further bytes are dropped
  c->parser.Feed(bytes);
  switch (c->parser.Next()) {
    case http::Parser::State::kMore:
      return;
    case http::Parser::State::kBad:
      Count("door_bad_calls");
      return Respond(c, Text(c->parser.error_status(), c->parser.error()));
    case http::Parser::State::kMessage:
      return Respond(c, Route(c->parser.Take(), handlers_));
  }
}

void AdminServer::Respond(Connection* c, const Response& response) {
  c->answered = true;
  if (!c->stream->Write(
          http::WriteResponse(response.status, response.headers, response.body, false)))
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
    Respond(c, Text(408, "the call did not come whole in time"));
    next = next == 0 ? c->deadline : std::min(next, c->deadline);
  }
  sweeping_ = false;
  if (next != 0)
    sweep_.Set(next);
  else
    sweep_.Clear();
}

}  // namespace pearreach::admin
