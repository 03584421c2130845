// The operators' door: a second address of the node, HTTP/1.1 and one call a connection, for
// /_ready, /_vars, the detach and attach of a match worker, and orders about zones. It owns that
// listener and its few connections; it decides nothing about jobs or workers (a detach goes to the
// node as a ban, and the module decides as for any drain), must never answer later than a second
// after a call's connection came, and never let a caller that sends nothing or half a call hold
// more than its own bounded share of descriptors.
#ifndef PEARREACH_SRC_NODE_ADMIN_DOOR_H_
#define PEARREACH_SRC_NODE_ADMIN_DOOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/event_loop/io.h"
#include "common/http/http.h"

namespace pearreach::admin {

// The figures of /_vars, in the line form of statsd: "svc.success.C:812|c", "svc.inflight:14|g".
struct Vars {
  struct Class {
    std::string name;
    std::uint64_t success = 0, busy = 0, failure = 0;
  };
  std::vector<Class> classes;
  std::uint64_t backend_calls = 0;
  std::size_t inflight = 0, hosts_listed = 0, hosts_down = 0;
};
std::string WriteVars(const Vars& vars);

// What the door asks of the node.
struct AdminHandlers {
  std::function<bool()> ready;  // this process can serve
  std::function<Vars()> vars;
  // False: no list has named that id. Repeated calls are harmless.
  std::function<bool(const std::string&id)> detach, attach;
  // Zones, where the operator's file has them; else there are no such calls. `what` is "leave",
  // "return" or "clear"; false: no such zone or region. `zones`: a text for people.
  std::function<bool(const std::string& target, const std::string& what)> order = nullptr;
  std::function<std::string()> zones = nullptr;
  // Rules that are agreed on, where the operator's file has them. `verb`: "" (what holds),
  // "history", "have", "diff", "proposal"; with POST "propose", "force". None: no such call.
  struct RulesRequest {
    bool post = false;
    std::string verb, body;
    std::string after, number, from, to, voters;  // of the query
  };
  std::function<std::optional<std::pair<int, std::string>>(const RulesRequest&)> rules = nullptr;
};

struct Response {
  int status = 500;
  std::string body;
  std::vector<http::Header> headers;
};
// The answer to one call: pure, without sockets or clock.
Response Route(const http::Message& call, const AdminHandlers& calls);

class AdminServer {
 public:
  explicit AdminServer(AdminHandlers calls);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  std::string Open(const std::string& address);  // empty, or what is wrong
  int port() const { return listener_.port(); }
  std::size_t connections() const { return connections_.size(); }

  static constexpr std::size_t kMaxConnections = 16;
  static constexpr Micros kRequestTimeout = 800 * kMs;  // for a whole call, from its connection
  static constexpr Micros kLinger = 300 * kMs;          // after the answer, for the caller to close

 private:
  struct Connection {
    std::shared_ptr<Stream> stream;
    http::Parser parser{http::Parser::Kind::kRequest,
                        http::Limits{.head = 8 << 10, .headers = 50, .body = 32 << 10}};
    Micros deadline = 0;  // when it is answered late, or, once answered, closed
    bool answered = false;
  };

  void OnAccepted(std::shared_ptr<Stream> stream);
  void OnData(Connection* c, std::string_view bytes);
  void Answer(Connection* c, const Response& reply);
  void Destroy(Connection* c);
  void Sweep();

  AdminHandlers handlers_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  Listener listener_;
  Alarm sweep_;
  bool sweeping_ = false;
};

}  // namespace pearreach::admin

#endif  // PEARREACH_SRC_NODE_ADMIN_DOOR_H_
