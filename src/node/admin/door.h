// The admin server: a second address of the node for operators, speaking HTTP/1.1 with one request
// per connection. It serves /_ready and /_vars, detaches and attaches match workers, and takes
// orders about zones. It answers each connection within a second, and limits the number of
// connections, so that callers that send nothing or an incomplete request cannot exhaust the
// descriptors. A detach is a ban in the node, which the Dispatcher treats as any drain.
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

// The metrics of /_vars, written as statsd lines: "svc.success.C:812|c", "svc.inflight:14|g".
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

// The functions of the node that serve the requests.
struct AdminHandlers {
  std::function<bool()> ready;  // whether this process can serve
  std::function<Vars()> vars;
  // Return false if no worker list has named the id. Idempotent.
  std::function<bool(const std::string&id)> detach, attach;
  // Zones; null if the operator's file configures none, and the paths are then unknown. `command`
  // is "leave", "return" or "clear"; `order` returns false if there is no such zone or region.
  // `zones` returns a text for people.
  std::function<bool(const std::string& target, const std::string& command)> order = nullptr;
  std::function<std::string()> zones = nullptr;
  // Rules that the nodes agree on; null if the operator's file configures none. `verb` is "" (the
  // rules in force), "history", "have", "diff" or "proposal" for GET, and "propose" or "force" for
  // POST. Returns the status and body, or nullopt if there is no such request.
  struct RulesRequest {
    bool post = false;
    std::string verb, body;
    std::string after, number, from, to, voters;  // query parameters
  };
  std::function<std::optional<std::pair<int, std::string>>(const RulesRequest&)> rules = nullptr;
};

struct Response {
  int status = 500;
  std::string body;
  std::vector<http::Header> headers;
};
// Returns the response to one request.
Response Route(const http::Message& request, const AdminHandlers& handlers);

class AdminServer {
 public:
  explicit AdminServer(AdminHandlers handlers);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Starts listening. Returns an empty string, or the error.
  std::string Open(const std::string& address);
  int port() const { return listener_.port(); }
  std::size_t connections() const { return connections_.size(); }

  static constexpr std::size_t kMaxConnections = 16;
  static constexpr Micros kRequestTimeout =
      800 * kMs;                                // for a complete request, from its connection on
  static constexpr Micros kLinger = 300 * kMs;  // after the response, for the caller to close

 private:
  struct Connection {
    std::shared_ptr<Stream> stream;
    http::Parser parser{http::Parser::Kind::kRequest,
                        http::Limits{.head = 8 << 10, .headers = 50, .body = 32 << 10}};
    Micros deadline = 0;  // for the request or, once answered, for the caller to close
    bool answered = false;
  };

  void OnAccepted(std::shared_ptr<Stream> stream);
  void OnData(Connection* c, std::string_view bytes);
  void Respond(Connection* c, const Response& response);
  void Destroy(Connection* c);
  // Answers connections past their deadline and closes those past their linger time.
  void Sweep();

  AdminHandlers handlers_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  Listener listener_;
  Alarm sweep_;
  bool sweeping_ = false;
};

}  // namespace pearreach::admin

#endif  // PEARREACH_SRC_NODE_ADMIN_DOOR_H_
