// Tests of the admin server: the response to each request, and that callers that send nothing or an
// incomplete request, or open too many connections, are answered and do not block the next caller.
#include "node/admin/door.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "common/diagnostics/log.h"

namespace pearreach::admin {
namespace {

http::Message Call(std::string method, std::string target) {
  http::Message m;
  m.method = std::move(method);
  m.target = std::move(target);
  return m;
}

struct Fake {
  bool ready = false;
  std::set<std::string> listed = {"w1", "w 2"}, banned;
  AdminHandlers handlers() {
    return {.ready = [this] { return ready; },
            .vars =
                [] {
                  Vars v;
                  v.classes = {{"fast", 812, 3, 1}};
                  v.backend_calls = 900;
                  v.inflight = 14;
                  v.hosts_listed = 5;
                  v.hosts_down = 1;
                  return v;
                },
            .detach =
                [this](const std::string& id) {
                  if (!listed.contains(id)) return false;
                  banned.insert(id);
                  return true;
                },
            .attach =
                [this](const std::string& id) {
                  if (!listed.contains(id)) return false;
                  banned.erase(id);
                  return true;
                }};
  }
};

TEST(DoorRoute, ReadyIsYesOnlyOnceTheProcessServes) {
  Fake fake;
  EXPECT_EQ(Route(Call("GET", "/_ready"), fake.handlers()).status, 503);
  fake.ready = true;
  EXPECT_EQ(Route(Call("GET", "/_ready"), fake.handlers()).status, 200);
}

TEST(DoorRoute, VarsAreInTheLineFormOfStatsd) {
  Fake fake;
  const Response response = Route(Call("GET", "/_vars"), fake.handlers());
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body,
            "svc.success.fast:812|c\nsvc.busy.fast:3|c\nsvc.failure.fast:1|c\n"
            "svc.backend_calls:900|c\nsvc.inflight:14|g\nsvc.hosts_listed:5|g\n"
            "svc.hosts_down:1|g\n");
}

TEST(DoorRoute, DetachAndAttachAreRepeatableAndSayNoToAnUnlistedId) {
  Fake fake;
  const AdminHandlers handlers = fake.handlers();
  EXPECT_EQ(Route(Call("POST", "/_match-workers/detach?target=w1"), handlers).status, 200);
  EXPECT_EQ(Route(Call("POST", "/_match-workers/detach?target=w1"), handlers).status, 200);
  EXPECT_EQ(fake.banned, std::set<std::string>{"w1"});
  EXPECT_EQ(Route(Call("POST", "/_match-workers/attach?x=1&target=w1"), handlers).status, 200);
  EXPECT_TRUE(fake.banned.empty());
  EXPECT_EQ(Route(Call("POST", "/_match-workers/detach?target=w%202"), handlers).status, 200);
  EXPECT_EQ(fake.banned, std::set<std::string>{"w 2"});
  const std::uint64_t unknown = CountOf("door_unknown_target");
  EXPECT_EQ(Route(Call("POST", "/_match-workers/detach?target=w9"), handlers).status, 404);
  EXPECT_EQ(CountOf("door_unknown_target"), unknown + 1);
}

TEST(DoorRoute, OrdersAboutZonesAreThereOnlyWithZones) {
  Fake fake;
  EXPECT_EQ(Route(Call("GET", "/_zones"), fake.handlers()).status, 404);
  EXPECT_EQ(Route(Call("POST", "/_zones/leave?target=z1"), fake.handlers()).status, 404);
  AdminHandlers handlers = fake.handlers();
  std::string received;
  handlers.order = [&](const std::string& target, const std::string& command) {
    received += command + ":" + target + " ";
    return target != "z9";
  };
  handlers.zones = [] { return "z1: in use"; };
  EXPECT_EQ(Route(Call("GET", "/_zones"), handlers).body, "z1: in use\n");
  EXPECT_EQ(Route(Call("POST", "/_zones"), handlers).status, 405);
  EXPECT_EQ(Route(Call("POST", "/_zones/leave?target=z%201"), handlers).status, 200);
  EXPECT_EQ(Route(Call("POST", "/_zones/clear?target=z9"), handlers).status, 404);
  EXPECT_EQ(Route(Call("GET", "/_zones/leave?target=z1"), handlers).status, 405);
  EXPECT_EQ(Route(Call("POST", "/_zones/leave"), handlers).status, 400);
  EXPECT_EQ(Route(Call("POST", "/_zones/forget?target=z1"), handlers).status, 404);
  EXPECT_EQ(received, "leave:z 1 clear:z9 ");
}

TEST(DoorRoute, WrongCallsAreNoAndCounted) {
  Fake fake;
  const AdminHandlers handlers = fake.handlers();
  const std::uint64_t before =
      CountOf("door_bad_method") + CountOf("door_bad_path") + CountOf("door_bad_target");
  EXPECT_EQ(Route(Call("POST", "/_ready"), handlers).status, 405);
  EXPECT_EQ(Route(Call("GET", "/_match-workers/detach?target=w1"), handlers).status, 405);
  EXPECT_EQ(Route(Call("POST", "/_match-workers/detach"), handlers).status, 400);
  EXPECT_EQ(Route(Call("POST", "/_match-workers/detach?target="), handlers).status, 400);
  EXPECT_EQ(Route(Call("POST", "/_match-workers/remove?target=w1"), handlers).status, 404);
  EXPECT_EQ(Route(Call("GET", "/"), handlers).status, 404);
  EXPECT_EQ(CountOf("door_bad_method") + CountOf("door_bad_path") + CountOf("door_bad_target"),
            before + 6);
  EXPECT_TRUE(fake.banned.empty());
}

// A caller on the main loop, which reads until the server closes the connection.
struct Caller {
  explicit Caller(int port, std::string send = {}) {
    stream = Stream::Connect(
        "127.0.0.1:" + std::to_string(port),
        {[this, send] {
           if (!send.empty()) stream->Write(send);
         },
         [this](std::string_view bytes) { got.append(bytes); }, [this] { closed = true; }});
  }
  std::shared_ptr<Stream> stream;
  std::string got;
  bool closed = false;
};

void RunUntil(const std::function<bool()>& done) {
  while (!done()) g_main_context_iteration(nullptr, TRUE);
}

TEST(Door, AWholeCallIsAnsweredAndItsConnectionEnds) {
  Fake fake;
  fake.ready = true;
  AdminServer server(fake.handlers());
  ASSERT_EQ(server.Open("127.0.0.1:0"), "");
  Caller caller(server.port(), "GET /_ready HTTP/1.1\r\nHost: n\r\n\r\n");
  RunUntil([&] { return caller.closed; });
  EXPECT_TRUE(caller.got.starts_with("HTTP/1.1 200")) << caller.got;
  EXPECT_NE(caller.got.find("Connection: close"), std::string::npos);
}

// A request that is cut off at any byte is answered with 408 at its deadline.
TEST(Door, HalfACallOrNoneIsAnswered408AtTheDeadline) {
  Fake fake;
  AdminServer server(fake.handlers());
  ASSERT_EQ(server.Open("127.0.0.1:0"), "");
  const std::string call = "POST /_match-workers/detach?target=w1 HTTP/1.1\r\nHost: n\r\n\r\n";
  std::vector<std::unique_ptr<Caller>> callers;
  for (std::size_t cut : {std::size_t{0}, std::size_t{1}, call.size() / 2, call.size() - 1})
    callers.push_back(std::make_unique<Caller>(server.port(), call.substr(0, cut)));
  RunUntil([&] {
    for (const auto& c : callers)
      if (!c->closed) return false;
    return true;
  });
  for (const auto& c : callers) EXPECT_TRUE(c->got.starts_with("HTTP/1.1 408")) << c->got;
  EXPECT_TRUE(fake.banned.empty());
  // Callers that stay connected after the response are closed after the linger time.
  RunUntil([&] { return server.connections() == 0; });
}

// Silent callers up to the connection limit do not block the next caller: the oldest one is closed.
TEST(Door, SilentCallersDoNotShutTheNextOneOut) {
  Fake fake;
  fake.ready = true;
  AdminServer server(fake.handlers());
  ASSERT_EQ(server.Open("127.0.0.1:0"), "");
  std::vector<std::unique_ptr<Caller>> silent;
  for (std::size_t i = 0; i < AdminServer::kMaxConnections; ++i) {
    silent.push_back(std::make_unique<Caller>(server.port()));
    RunUntil([&] { return server.connections() == i + 1; });
  }
  Caller caller(server.port(), "GET /_vars HTTP/1.1\r\nHost: n\r\n\r\n");
  RunUntil([&] { return caller.closed; });
  EXPECT_TRUE(caller.got.starts_with("HTTP/1.1 200")) << caller.got;
  EXPECT_NE(caller.got.find("svc.inflight:14|g"), std::string::npos);
  EXPECT_LE(server.connections(), AdminServer::kMaxConnections);
  RunUntil([&] { return silent.front()->closed; });
  EXPECT_TRUE(silent.front()->got.starts_with("HTTP/1.1 408"));
}

}  // namespace
}  // namespace pearreach::admin
