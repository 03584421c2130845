// The operators' door: what each call is answered, and that callers who send nothing, half a call
// or too many connections neither go unanswered nor hold the door from the next one.
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
  AdminHandlers calls() {
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
  EXPECT_EQ(Route(Call("GET", "/_ready"), fake.calls()).status, 503);
  fake.ready = true;
  EXPECT_EQ(Route(Call("GET", "/_ready"), fake.calls()).status, 200);
}

TEST(DoorRoute, VarsAreInTheLineFormOfStatsd) {
  Fake fake;
  const Response reply = Route(Call("GET", "/_vars"), fake.calls());
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body,
            "svc.success.fast:812|c\nsvc.busy.fast:3|c\nsvc.failure.fast:1|c\n"
            "svc.backend_calls:900|c\nsvc.inflight:14|g\nsvc.hosts_listed:5|g\n"
            "svc.hosts_down:1|g\n");
}

TEST(DoorRoute, DetachAndAttachAreRepeatableAndSayNoToAnUnlistedId) {
  Fake fake;
  const AdminHandlers calls = fake.calls();
  EXPECT_EQ(Route(Call("POST", "/_match-workers/detach?target=w1"), calls).status, 200);
  EXPECT_EQ(Route(Call("POST", "/_match-workers/detach?target=w1"), calls).status, 200);
  EXPECT_EQ(fake.banned, std::set<std::string>{"w1"});
  EXPECT_EQ(Route(Call("POST", "/_match-workers/attach?x=1&target=w1"), calls).status, 200);
  EXPECT_TRUE(fake.banned.empty());
  EXPECT_EQ(Route(Call("POST", "/_match-workers/detach?target=w%202"), calls).status, 200);
  EXPECT_EQ(fake.banned, std::set<std::string>{"w 2"});
  const std::uint64_t unknown = CountOf("door_unknown_target");
  EXPECT_EQ(Route(Call("POST", "/_match-workers/detach?target=w9"), calls).status, 404);
  EXPECT_EQ(CountOf("door_unknown_target"), unknown + 1);
}

TEST(DoorRoute, OrdersAboutZonesAreThereOnlyWithZones) {
  Fake fake;
  EXPECT_EQ(Route(Call("GET", "/_zones"), fake.calls()).status, 404);
  EXPECT_EQ(Route(Call("POST", "/_zones/leave?target=z1"), fake.calls()).status, 404);
  AdminHandlers calls = fake.calls();
  std::string said;
  calls.order = [&](const std::string& target, const std::string& what) {
    said += what + ":" + target + " ";
    return target != "z9";
  };
  calls.zones = [] { return "z1: in use"; };
  EXPECT_EQ(Route(Call("GET", "/_zones"), calls).body, "z1: in use\n");
  EXPECT_EQ(Route(Call("POST", "/_zones"), calls).status, 405);
  EXPECT_EQ(Route(Call("POST", "/_zones/leave?target=z%201"), calls).status, 200);
  EXPECT_EQ(Route(Call("POST", "/_zones/clear?target=z9"), calls).status, 404);
  EXPECT_EQ(Route(Call("GET", "/_zones/leave?target=z1"), calls).status, 405);
  EXPECT_EQ(Route(Call("POST", "/_zones/leave"), calls).status, 400);
  EXPECT_EQ(Route(Call("POST", "/_zones/forget?target=z1"), calls).status, 404);
  EXPECT_EQ(said, "leave:z 1 clear:z9 ");
}

TEST(DoorRoute, WrongCallsAreNoAndCounted) {
  Fake fake;
  const AdminHandlers calls = fake.calls();
  const std::uint64_t before =
      CountOf("door_bad_method") + CountOf("door_bad_path") + CountOf("door_bad_target");
  EXPECT_EQ(Route(Call("POST", "/_ready"), calls).status, 405);
  EXPECT_EQ(Route(Call("GET", "/_match-workers/detach?target=w1"), calls).status, 405);
  EXPECT_EQ(Route(Call("POST", "/_match-workers/detach"), calls).status, 400);
  EXPECT_EQ(Route(Call("POST", "/_match-workers/detach?target="), calls).status, 400);
  EXPECT_EQ(Route(Call("POST", "/_match-workers/remove?target=w1"), calls).status, 404);
  EXPECT_EQ(Route(Call("GET", "/"), calls).status, 404);
  EXPECT_EQ(CountOf("door_bad_method") + CountOf("door_bad_path") + CountOf("door_bad_target"),
            before + 6);
  EXPECT_TRUE(fake.banned.empty());
}

// A caller on the loop, as the bench would be: what it reads until the door closes.
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
  AdminServer door(fake.calls());
  ASSERT_EQ(door.Open("127.0.0.1:0"), "");
  Caller caller(door.port(), "GET /_ready HTTP/1.1\r\nHost: n\r\n\r\n");
  RunUntil([&] { return caller.closed; });
  EXPECT_TRUE(caller.got.starts_with("HTTP/1.1 200")) << caller.got;
  EXPECT_NE(caller.got.find("Connection: close"), std::string::npos);
}

// Cut at any byte, a call is not taken for a whole one: the door answers 408 at its deadline.
TEST(Door, HalfACallOrNoneIsAnswered408AtTheDeadline) {
  Fake fake;
  AdminServer door(fake.calls());
  ASSERT_EQ(door.Open("127.0.0.1:0"), "");
  const std::string call = "POST /_match-workers/detach?target=w1 HTTP/1.1\r\nHost: n\r\n\r\n";
  std::vector<std::unique_ptr<Caller>> callers;
  for (std::size_t cut : {std::size_t{0}, std::size_t{1}, call.size() / 2, call.size() - 1})
    callers.push_back(std::make_unique<Caller>(door.port(), call.substr(0, cut)));
  RunUntil([&] {
    for (const auto& c : callers)
      if (!c->closed) return false;
    return true;
  });
  for (const auto& c : callers) EXPECT_TRUE(c->got.starts_with("HTTP/1.1 408")) << c->got;
  EXPECT_TRUE(fake.banned.empty());
  // Callers that stay after the answer are let go after a linger.
  RunUntil([&] { return door.connections() == 0; });
}

// Silent callers beyond the door's few do not shut the next caller out: the oldest goes.
TEST(Door, SilentCallersDoNotShutTheNextOneOut) {
  Fake fake;
  fake.ready = true;
  AdminServer door(fake.calls());
  ASSERT_EQ(door.Open("127.0.0.1:0"), "");
  std::vector<std::unique_ptr<Caller>> silent;
  for (std::size_t i = 0; i < AdminServer::kMaxConnections; ++i) {
    silent.push_back(std::make_unique<Caller>(door.port()));
    RunUntil([&] { return door.connections() == i + 1; });
  }
  Caller caller(door.port(), "GET /_vars HTTP/1.1\r\nHost: n\r\n\r\n");
  RunUntil([&] { return caller.closed; });
  EXPECT_TRUE(caller.got.starts_with("HTTP/1.1 200")) << caller.got;
  EXPECT_NE(caller.got.find("svc.inflight:14|g"), std::string::npos);
  EXPECT_LE(door.connections(), AdminServer::kMaxConnections);
  RunUntil([&] { return silent.front()->closed; });
  EXPECT_TRUE(silent.front()->got.starts_with("HTTP/1.1 408"));
}

}  // namespace
}  // namespace pearreach::admin
