// Tests of a whole node over loopback sockets, against scripted clients, workers and discovery that
// run on the same main loop. Each test guards against one failure.
#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>

#include "lab/world/world.h"
#include "node/capture/replay.h"
#include "node/engine/node.h"
#include "node/http_frontend/front.h"
#include "tests/node/engine/rig.h"

namespace pearreach {
namespace {

using namespace rig;

Config BaseConfig() {
  Config c;
  c.discovery = "127.0.0.1:1";
  c.site.classes = {"commit", "sync"};
  c.site.tenants = {"acme"};
  c.site.zones = {"a"};
  c.site.kinds = {"m"};
  dispatch::Settings& s = c.site.settings;
  s.classes.resize(2);
  for (auto& cls : s.classes) {
    cls.latency_target = kSecond;
    cls.deadline = 5 * kSecond;
    cls.late_value = 0.3;
  }
  s.classes[1].effect = dispatch::Effect::kByKey;
  s.classes[1].key_scope = dispatch::KeyScope::kCell;
  s.classes[1].key_window = 7 * kSecond;
  s.reports_start = true;
  s.progress_interval = kSecond;
  s.may_cancel = s.may_duplicate = true;
  s.max_attempts = 3;
  s.connection_idle = 60 * kSecond;
  return c;
}

struct Rig {
  explicit Rig(Config config = BaseConfig()) : node(config), front(&node, config.sockets) {
    EXPECT_EQ(front.Open("127.0.0.1:0"), "");
  }
  int port() const { return front.port(); }
  // Lists workers s-0, s-1, ... at these addresses.
  void Workers(const std::vector<std::string>& addresses) {
    Listing list;
    list.full = true;
    for (std::size_t i = 0; i < addresses.size(); ++i)
      list.servers.push_back({"s-" + std::to_string(i), addresses[i], "a", "m"});
    node.OnListing(list);
  }
  // Expects that no record of any job is left.
  void ExpectClean() {
    RunUntil([&] { return node.records() == 0; });
    EXPECT_EQ(node.records(), 0u);
    EXPECT_EQ(node.open_jobs(), 0u);
  }
  Node node;
  Front front;
};

TEST(Story, JobsPassUnchangedAndShareOneConnection) {
  Rig rig;
  Server worker(Accept);
  rig.Workers({worker.address()});
  Caller client(rig.port()), agent(rig.port());
  for (const std::string id : {"j0", "j1"}) {
    client.SendJob(id, "sync", "5000m", "Idempotency-Key: k\r\n");
    RunUntil([&] { return !worker.got.empty() && *worker.got.back().Find("X-Request-ID") == id; });
    agent.SendUpdate(id, "s-0", "started");
    agent.SendUpdate(id, "s-0", "done");
    EXPECT_EQ(client.Status(id == "j1"), 200);
    EXPECT_EQ(client.answers.back().body, "r-" + id);
  }
  ASSERT_EQ(worker.got.size(), 2u);
  EXPECT_EQ(worker.got[0].target, "/sync/x?y=1");
  EXPECT_EQ(worker.got[0].body, "body");
  EXPECT_EQ(*worker.got[0].Find("Idempotency-Key"), "k");
  EXPECT_EQ(worker.streams.size(), 1u) << "a connection is reused after its 202";
  rig.ExpectClean();
}

TEST(Story, NewsBeforeThe202RepeatedOrOfNothingIsAnsweredAndCountsOnce) {
  Rig rig;
  Server worker(Silent);
  rig.Workers({worker.address()});
  Caller client(rig.port()), agent(rig.port());
  client.SendJob("j");
  RunUntil([&] { return !worker.got.empty(); });
  agent.SendUpdate("j", "s-9", "lost");  // from a worker that does not have the job
  for (int i = 0; i < 3; ++i) agent.SendUpdate("j", "s-0", "done");
  agent.SendUpdate("unknown", "s-0", "returned");
  EXPECT_EQ(agent.Status(4), 200);
  EXPECT_EQ(client.Status(), 200);
  worker.streams[0]->Write(kAccepted);
  rig.ExpectClean();
  client.SendJob("k");  // the connection is reused
  RunUntil([&] { return worker.got.size() == 2; });
  EXPECT_EQ(worker.streams.size(), 1u);
  EXPECT_EQ(client.answers.size(), 1u);
  agent.stream->Write(http::WriteRequest("POST", "/_jobs/news", {}, "no JSON"));
  EXPECT_EQ(agent.Status(5), 400);
}

TEST(Story, ARefusedConnectionNeverRanAndAResetMayHave) {
  Rig rig;
  std::string dead;
  {
    Server gone(Silent);
    dead = gone.address();
  }
  Server worker(Accept);
  rig.Workers({dead});
  Caller client(rig.port()), agent(rig.port());
  client.SendJob("j");
  RunUntil([&] { return CountOf("ended_no_connection") > 0; });
  rig.Workers({dead, worker.address()});
  RunUntil([&] { return !worker.got.empty(); });
  agent.SendUpdate("j", "s-1", "done");
  EXPECT_EQ(client.Status(), 200) << "sent again elsewhere";

  Server* at = nullptr;
  Server cutting([&](const Message&) { return at->CloseAll(), ""; });
  at = &cutting;
  rig.Workers({cutting.address(), worker.address()});
  rig.Workers({cutting.address()});
  client.SendJob("k");
  EXPECT_EQ(client.Status(1), 502);
  EXPECT_EQ(cutting.got.size(), 1u) << "a job that may have run is not sent again";
  rig.ExpectClean();
}

// Workers that drop idle connections silently after 130 ms, while the settings say 60 s, break the
// requests on reused connections.
TEST(Story, AConnectionUnusedForLongerThanItsPeersBearIsNotUsedAgain) {
  Rig rig;
  Server* self = nullptr;
  Micros last = 0;
  std::size_t links = 0;
  Server worker([&](const Message&) {
    const bool fresh = links != self->streams.size(), rested = Now() - last > 100 * kMs;
    links = self->streams.size();
    last = Now();
    if (fresh || !rested) return kAccepted;
    self->CloseAll();
    return std::string();
  });
  self = &worker;
  rig.Workers({worker.address()});
  Caller client(rig.port()), agent(rig.port());
  int failed = 0, failed_late = 0;
  for (std::size_t i = 0; i < 12; ++i) {
    const std::string id = "j" + std::to_string(i);
    const std::size_t before = worker.got.size();
    client.SendJob(id);
    RunUntil([&] { return worker.got.size() > before; });
    RunFor(5 * kMs);
    agent.SendUpdate(id, "s-0", "done");
    const bool bad = client.Status(i) != 200;
    failed += bad ? 1 : 0;
    failed_late += bad && i >= 8 ? 1 : 0;
    RunFor(300 * kMs);  // also long enough for the trial that follows a reset
  }
  EXPECT_EQ(failed, 3) << "three broken connections lower the limit";
  EXPECT_EQ(failed_late, 0);
  rig.ExpectClean();
}

TEST(IdleLimit, IsTheShortestRestAfterWhichMoreBreakAndFades) {
  IdleLimit limit(30 * kSecond);
  for (int i = 0; i < 300; ++i) limit.Record((i % 60) * kMs, i % 20 == 0, kSecond);
  for (int i = 0; i < 30; ++i) limit.Record(90 * kMs, false, kSecond);
  EXPECT_EQ(limit.current(), 30 * kSecond) << "one in twenty breaks, whatever the idle time";
  for (int i = 0; i < 20; ++i) limit.Record((150 + 50 * (i % 10)) * kMs, i % 2 == 0, kSecond);
  EXPECT_EQ(limit.current(), 128 * kMs);
  for (int i = 0; i < 100; ++i) limit.Record(kMs, false, (10 + 2 * i) * kSecond);
  EXPECT_EQ(limit.current(), 30 * kSecond) << "the learned limit is forgotten over time";
}

// A worker closes idle connections. A job written to such a connection would end in a reset and be
// lost.
TEST(Story, AConnectionClosedByItsPeerIsNotWrittenTo) {
  Rig rig;
  Server worker(Accept);
  rig.Workers({worker.address()});
  Caller client(rig.port()), agent(rig.port());
  for (int i = 0; i < 3; ++i) {
    const std::string id = "j" + std::to_string(i);
    client.SendJob(id);
    RunUntil([&] { return worker.got.size() > static_cast<std::size_t>(i); });
    agent.SendUpdate(id, "s-0", "done");
    EXPECT_EQ(client.Status(static_cast<std::size_t>(i)), 200);
    worker.CloseAll();
  }
  EXPECT_EQ(worker.streams.size(), 3u);
}

TEST(Story, AFullWorkersJobGoesOutAgain) {
  Rig rig;
  int calls = 0;
  Server worker([&](const Message&) {
    return ++calls == 1 ? http::WriteResponse(503, {{"X-Not-Processed", "1"}}, "", true)
                        : kAccepted;
  });
  rig.Workers({worker.address()});
  Caller client(rig.port()), agent(rig.port());
  client.SendJob("j");
  RunUntil([&] { return calls == 2; });
  RunFor(5 * kMs);  // for its 202 to arrive
  agent.SendUpdate("j", "s-0", "returned");
  RunUntil([&] { return calls == 3; });
  agent.SendUpdate("j", "s-0", "done");
  EXPECT_EQ(client.Status(), 200);
  rig.ExpectClean();
}

TEST(Story, ASilentWorkerCostsItsJobTheDeadlineAndNothingElse) {
  Rig rig;
  Server worker(Silent);
  rig.Workers({worker.address()});
  Caller client(rig.port());
  client.SendJob("j", "commit", "300m");
  EXPECT_EQ(client.Status(), 504);
  rig.ExpectClean();
  EXPECT_EQ(rig.node.worker_connections(), 0u) << "the hung connection is closed";
  EXPECT_EQ(CountOf("answered_overdue"), 0u);
}

// A refusal carries the Dispatcher's retry-after time, capped at the configured maximum.
TEST(Story, AJobNeverSentIsRefusedByItsDeadlineAndToldWhenToComeBack) {
  Config config = BaseConfig();
  config.site.settings.max_retry_after = 1500 * kMs;
  Rig rig(config);
  Caller client(rig.port());
  client.SendJob("j", "commit", "200000u");
  EXPECT_EQ(client.Status(), 503);
  const std::string* back = client.answers[0].Find("Retry-After");
  ASSERT_NE(back, nullptr);
  EXPECT_EQ(*back, "1.500");
  rig.ExpectClean();
}

// A limit that the fleet shares is checked before the Dispatcher: the client is refused at once,
// with the time until there will be room, and no worker sees the job.
TEST(Story, AJobBeyondALimitIsRefusedAtOnceAndToldWhenThereWillBeRoom) {
  Config config = BaseConfig();
  config.site.settings.max_retry_after = 5 * kSecond;
  Rig rig(config);
  Server worker(Accept);
  rig.Workers({worker.address()});
  int tenant = -2;
  rig.node.SetAdmissionCheck([&](int t, bool) {
    tenant = t;
    return Admission{true, 250 * kMs, {}};
  });
  Caller client(rig.port());
  client.SendJob("j", "commit", "5000m", "X-Tenant-Id: acme\r\n");
  EXPECT_EQ(client.Status(), 503);
  EXPECT_EQ(tenant, 0);
  ASSERT_NE(client.answers[0].Find("Retry-After"), nullptr);
  EXPECT_EQ(*client.answers[0].Find("Retry-After"), "0.250");
  EXPECT_TRUE(worker.got.empty());
  rig.ExpectClean();
}

TEST(Story, AWitnessHearsOfEveryAttemptAndWhatOthersSawReachesTheModule) {
  struct RecordingObserver : WorkerObserver {
    void OnListed(const std::string& w, const ListedWorker&) override { all += "+" + w + " "; }
    void OnGone(const std::string& w) override { all += "-" + w + " "; }
    void OnSent(const std::string& w) override { all += "sent:" + w + " "; }
    void OnAttemptUpdate(const std::string&) override { ++updates; }
    void OnEnded(const std::string& w, dispatch::Outcome o, int, Micros) override {
      all += "ended:" + w + ":" + std::to_string(static_cast<int>(o)) + " ";
    }
    std::string all;
    int updates = 0;
  } observer;
  Rig rig;
  rig.node.SetWorkerObserver(&observer);
  Server first(Accept), second(Accept);
  rig.Workers({first.address(), second.address()});
  // Two other nodes have ejected s-0: this node sends to s-1 only.
  rig.node.OnJudgement("s-0", {0, true, false, false, g_get_real_time(), {3, 7}});
  Caller client(rig.port()), agent(rig.port());
  client.SendJob("j");
  RunUntil([&] { return !second.got.empty(); });
  EXPECT_TRUE(first.got.empty());
  agent.SendUpdate("j", "s-1", "done");
  EXPECT_EQ(client.Status(), 200);
  EXPECT_EQ(observer.all, "+s-0 +s-1 sent:s-1 ended:s-1:0 ");
  EXPECT_GT(observer.updates, 0);
  rig.ExpectClean();
}

// The workers of a zone that the fleet has left are drained, whatever the list reports.
TEST(Story, AShutWorkerTakesNothingUntilItIsOpenAgain) {
  Rig rig;
  Server first(Accept), second(Accept);
  rig.Workers({first.address(), second.address()});
  Caller client(rig.port()), agent(rig.port());
  rig.node.SetZoneDrain("s-0", true);
  rig.Workers({first.address(), second.address()});  // the same list again
  for (const char* job : {"a", "b"}) {
    client.SendJob(job);
    const std::size_t before = second.got.size();
    RunUntil([&] { return second.got.size() > before; });
    agent.SendUpdate(job, "s-1", "done");
    client.Status(client.answers.size());
  }
  EXPECT_TRUE(first.got.empty());
  rig.node.SetZoneDrain("s-0", false);
  rig.node.SetZoneDrain("s-1", true);
  client.SendJob("c");
  RunUntil([&] { return !first.got.empty(); });
  EXPECT_EQ(first.got.size(), 1u);
  agent.SendUpdate("c", "s-0", "done");
  client.Status(client.answers.size());
  rig.ExpectClean();
}

TEST(Story, AClientThatLeavesTakesItsJobAlong) {
  Rig rig;
  Server worker(Accept);
  rig.Workers({worker.address()});
  {
    Caller client(rig.port());
    client.SendJob("j");
    RunUntil([&] { return !worker.got.empty(); });
    RunFor(5 * kMs);
  }
  RunUntil([&] { return worker.got.size() == 2; });
  ASSERT_EQ(worker.got.size(), 2u);
  EXPECT_EQ(worker.got[1].method, "DELETE");
  EXPECT_EQ(worker.got[1].target, "/jobs/j");
  rig.ExpectClean();
}

TEST(Story, BadInputGetsItsAnswerAndTheConnectionGoesOn) {
  Rig rig;
  Caller client(rig.port());
  const auto ask = [&](const std::string& target, const std::string& headers) {
    client.stream->Write("POST " + target + " HTTP/1.1\r\n" + headers + "\r\n");
    return client.Status(client.answers.size());
  };
  const std::string good = "X-Request-ID: a\r\nX-Priority-Class: commit\r\n";
  EXPECT_EQ(ask("/nothing", good), 404);
  EXPECT_EQ(ask("/commit", ""), 400);
  EXPECT_EQ(ask("/commit", "X-Request-ID: a\r\nX-Priority-Class: sync\r\n"), 400);
  EXPECT_EQ(ask("/sync", "X-Request-ID: a\r\nX-Priority-Class: sync\r\n"), 400);  // no key
  for (const char* timeout : {"", "5", "m", "-5m", "5s", "5.5m"})
    EXPECT_EQ(ask("/commit", good + "X-Timeout: " + timeout + "\r\n"), 400) << timeout;
  EXPECT_EQ(ask("/commit", good + "X-Attrs: slots=x\r\n"), 400);
  client.stream->Write("GET /commit HTTP/1.1\r\n\r\n");
  EXPECT_EQ(client.Status(client.answers.size()), 405);
  client.stream->Write("GET /ready HTTP/1.1\r\n\r\n");
  EXPECT_EQ(client.Status(client.answers.size()), 503) << "no worker list yet";
  rig.Workers({});
  client.SendJob("a");
  Caller twin(rig.port());
  RunUntil([&] { return rig.node.records() == 1; });
  twin.SendJob("a");
  EXPECT_EQ(twin.Status(), 409);
  EXPECT_EQ(ask("/commit", "Content-Length: 70000\r\n"), 503)
      << "the earlier job on this connection: no worker";
  RunUntil([&] { return client.closed; });
  EXPECT_TRUE(client.closed);
  EXPECT_EQ(client.answers.back().status, 413);
}

// A job that a worker rejects as invalid must not be sent to other workers, nor count against the
// health of the worker.
TEST(Story, AJobThatAWorkerFindsBadIsEndedAndSpoilsNothing) {
  Rig rig;
  Server worker([](const Message& m) {
    return *m.Find("X-Request-ID") == "bad" ? http::WriteResponse(400, {}, "", true) : kAccepted;
  });
  rig.Workers({worker.address()});
  Caller client(rig.port()), agent(rig.port());
  for (int i = 0; i < 3; ++i) {
    client.SendJob("bad", "sync", "5000m", "Idempotency-Key: k\r\n");
    EXPECT_EQ(client.Status(static_cast<std::size_t>(i)), 400);
  }
  EXPECT_EQ(worker.got.size(), 3u) << "each job is sent once";
  client.SendJob("j", "commit", "200m");  // would time out if the worker were on trial
  RunUntil([&] { return worker.got.size() == 4; });
  agent.SendUpdate("j", "s-0", "done");
  EXPECT_EQ(client.Status(3), 200);
  rig.ExpectClean();
}

// A connection whose first request does not arrive in time is closed, even if bytes trickle in.
TEST(Story, AFirstRequestThatDoesNotComeEndsItsConnectionHoweverItDrips) {
  Rig rig;
  const auto silent_before = CountOf("silent_closed"), overdue_before = CountOf("request_overdue");
  Caller silent(rig.port()), half(rig.port()), dripping(rig.port());
  half.SendJob("j");
  // The second request on a connection has no such limit.
  half.stream->Write("POST /commit HTTP/1.1\r\nX-Req");
  Caller first(rig.port());
  first.stream->Write("POST /commit HTTP/1.1\r\nX-Req");
  for (int i = 0; i < 25 && dripping.answers.empty(); ++i) {
    dripping.stream->Write("P");
    RunFor(200 * kMs);
  }
  ASSERT_EQ(dripping.answers.size(), 1u);
  EXPECT_EQ(dripping.answers[0].status, 408);
  EXPECT_EQ(first.Status(), 408);
  RunUntil([&] { return silent.closed; });
  EXPECT_TRUE(silent.closed && silent.answers.empty());
  EXPECT_EQ(CountOf("silent_closed") - silent_before, 1u);
  EXPECT_EQ(CountOf("request_overdue") - overdue_before, 2u);
  EXPECT_FALSE(half.closed);
}

// A client that sends a body of 60 MB must receive the error response, not a reset.
TEST(Story, ASenderOfALongBodyReadsItsError) {
  Rig rig;
  GSocketAddress* at = ParseAddress("127.0.0.1:" + std::to_string(rig.port()));
  GSocket* sender =
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
  ASSERT_TRUE(g_socket_connect(sender, at, nullptr, nullptr));
  std::string bytes = "POST /commit HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n";
  for (int i = 0; i < 3; ++i) {
    EXPECT_GT(g_socket_send(sender, bytes.data(), bytes.size(), nullptr, nullptr), 0);
    RunFor(700 * kMs);
    bytes.assign(10'000, 'x');
  }
  char answer[100] = {};
  EXPECT_GT(g_socket_receive(sender, answer, sizeof answer - 1, nullptr, nullptr), 0);
  EXPECT_EQ(std::string(answer).substr(0, 12), "HTTP/1.1 413");
  g_object_unref(sender);
  g_object_unref(at);
}

// A connection may stay open without any further answer although its worker is healthy.
TEST(Story, AJobOnASilentConnectionGoesOutOnAnotherOrFailsSoon) {
  Config config = BaseConfig();
  config.site.settings.connect_timeout = 200 * kMs;
  Rig rig(config);
  Server worker([](const Message& m) {
    return m.target == "/commit/x?y=1" ? "" : m.method == "POST" ? kAccepted : "";
  });
  rig.Workers({worker.address()});
  Caller client(rig.port());
  client.SendJob("j");
  RunUntil([&] { return worker.got.size() == 1; });
  const Micros sent = Now();
  EXPECT_EQ(client.Status(0), 502);
  EXPECT_LT(Now() - sent, 4 * kSecond) << "well before its deadline, as its slot is needed";
  int calls = 0;
  Server again([&](const Message&) { return ++calls == 1 ? std::string() : kAccepted; });
  rig.Workers({again.address()});
  client.SendJob("k", "sync", "5000m", "Idempotency-Key: k\r\n");
  RunUntil([&] { return calls == 2; });
  EXPECT_EQ(again.streams.size(), 2u);
  Caller agent(rig.port());
  agent.SendUpdate("k", "s-0", "done");
  EXPECT_EQ(client.Status(1), 200);
  rig.ExpectClean();
}

// With 64 descriptors the frontend's share is 8 connections.
struct Budget : testing::Test {
  Budget()
      : rig([] {
          Config config = BaseConfig();
          config.sockets = 64;
          return config;
        }()) {
    rig.Workers({});
  }
  Caller& Connect() {
    const std::size_t before = rig.front.connections();
    callers.push_back(std::make_unique<Caller>(rig.port()));
    RunUntil([&] { return rig.front.connections() > before; });
    return *callers.back();
  }
  Rig rig;
  std::vector<std::unique_ptr<Caller>> callers;
};

// Under overload, closing connections that were just accepted to make room would lose their first
// requests.
TEST_F(Budget, ANewConnectionIsNotClosedToMakeRoom) {
  for (int i = 0; i < 8; ++i) Connect();
  RunFor(1100 * kMs);
  Caller& ninth = Connect();
  ninth.SendJob("over");
  EXPECT_EQ(ninth.Status(), 503);
  EXPECT_FALSE(ninth.answers[0].keep_alive);
  for (int i = 0; i < 8; ++i)
    callers[static_cast<std::size_t>(i)]->SendJob("j" + std::to_string(i));
  RunUntil([&] { return rig.node.records() == 8; });
  EXPECT_EQ(rig.node.records(), 8u);
  callers.clear();
  rig.ExpectClean();
  Connect().stream->Write("GET /ready HTTP/1.1\r\n\r\n");
  EXPECT_EQ(callers[0]->Status(), 200);
}

TEST_F(Budget, OneIdleForLongIsAndNearTheLimitAnswersEndTheirConnections) {
  Caller& idle = Connect();
  idle.stream->Write("GET /ready HTTP/1.1\r\n\r\n");
  EXPECT_EQ(idle.Status(), 200);
  EXPECT_TRUE(idle.answers[0].keep_alive);
  for (int i = 1; i < 8; ++i) Connect().SendJob("j" + std::to_string(i));
  RunFor(1100 * kMs);
  callers.push_back(std::make_unique<Caller>(rig.port()));
  RunUntil([&] { return idle.closed; });
  EXPECT_TRUE(idle.closed);
  callers.back()->stream->Write("GET /ready HTTP/1.1\r\n\r\n");
  EXPECT_EQ(callers.back()->Status(), 200);
  EXPECT_FALSE(callers.back()->answers[0].keep_alive);
}

// Silent connections above the budget must not keep the workers' updates waiting in the backlog.
TEST_F(Budget, SilentConnectionsDoNotKeepTheNewsOut) {
  for (int i = 0; i < 24; ++i) Connect();  // 8 within the budget, and 16 above it
  Caller agent(rig.port());
  agent.SendUpdate("j", "s-0", "done");
  EXPECT_EQ(agent.Status(), 200);
}

// While accepting is paused, hundreds of silent connections are closed in turn.
TEST_F(Budget, HundredsOfSilentConnectionsAreLetGoInTurn) {
  for (int i = 0; i < 150; ++i) callers.push_back(std::make_unique<Caller>(rig.port()));
  const auto closed = [&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& c) { return c->closed; });
  };
  RunUntil(closed, 6 * kSecond);
  EXPECT_TRUE(closed());
}

// An answer that ends a connection must not postpone the sweep, or a steady flow of other clients
// would keep a connection that its peer never closes.
TEST(Story, APeerThatNeverClosesIsLetGoWhileOthersComeAndGo) {
  Rig rig;
  GSocketAddress* at = ParseAddress("127.0.0.1:" + std::to_string(rig.port()));
  GSocket* unclosed =
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
  ASSERT_TRUE(g_socket_connect(unclosed, at, nullptr, nullptr));
  const std::string last = "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
  g_socket_send(unclosed, last.data(), last.size(), nullptr, nullptr);
  for (int i = 0; i < 8; ++i) {
    Caller other(rig.port());
    other.stream->Write(last);
    EXPECT_EQ(other.Status(), 503);
    RunFor(200 * kMs);
  }
  EXPECT_EQ(rig.front.connections(), 0u);
  g_object_unref(unclosed);
  g_object_unref(at);
}

TEST(Story, DiscoveryIsWatchedThroughChangesNonsenseAndOutages) {
  std::vector<std::string> answers;  // given in turn; no response after the last
  Server discovery([&](const Message&) {
    if (answers.empty()) return std::string();
    const std::string body = answers.front();
    answers.erase(answers.begin());
    return http::WriteResponse(200, {}, body, true);
  });
  Server first(Accept), second(Accept);
  const auto entry = [](const std::string& id, const std::string& at, const std::string& state) {
    return R"({"id":")" + id + R"(","addr":")" + at + R"(","zone":"a","kind":"m","state":")" +
           state + R"("})";
  };
  answers = {R"({"version":4,"full":true,"servers":[)" + entry("s-0", first.address(), "up") + "," +
                 entry("s-1", second.address(), "up") + "]}",
             "nonsense",
             R"({"version":5,"full":true,"servers":[)" + entry("s-0", first.address(), "up") + "," +
                 entry("s-1", second.address(), "up") + "]}",
             R"({"version":6,"full":false,"servers":[)" +
                 entry("s-0", first.address(), "draining") + "]}"};
  Config config = BaseConfig();
  config.discovery = discovery.address();
  Listing known;
  known.version = 3;
  known.full = true;
  known.servers = {{"s-7", "127.0.0.1:1", "a", "m"}};  // stale: no longer listed
  config.known = known;
  Rig rig(config);
  rig.node.Start();
  EXPECT_TRUE(rig.node.ready());
  RunUntil([&] { return discovery.got.size() == 5; });
  ASSERT_EQ(discovery.got.size(), 5u);
  EXPECT_EQ(discovery.got[0].target, "/v1/endpoints?since=3&timeout_ms=5000");
  EXPECT_EQ(discovery.got[1].target, "/v1/endpoints?since=4&timeout_ms=5000");
  EXPECT_EQ(discovery.got[2].target, "/v1/endpoints")
      << "after an invalid answer it asks for the complete list";
  EXPECT_EQ(discovery.got[4].target, "/v1/endpoints?since=6&timeout_ms=5000");
  discovery.CloseAll();
  RunUntil([&] { return discovery.got.size() == 6; });
  EXPECT_EQ(discovery.got.back().target, "/v1/endpoints?since=6&timeout_ms=5000");
  Caller client(rig.port());
  for (int i = 0; i < 4; ++i) client.SendJob("j" + std::to_string(i));
  RunUntil([&] { return !second.got.empty(); });
  EXPECT_TRUE(first.got.empty()) << "the worker drains";
}

// After a 503 a node asks for the changes since its version. If the whole fleet asked for the
// complete list instead, discovery would stay overloaded.
TEST(Story, ABusyDiscoveryIsAskedForNoMoreThanWhatHasChanged) {
  int busy = 2;
  Server discovery([&](const Message&) {
    return busy-- > 0 ? http::WriteResponse(503, {}, "", true) : std::string();
  });
  Config config = BaseConfig();
  config.discovery = discovery.address();
  Listing known;
  known.version = 3;
  known.full = true;
  known.servers = {{"s-0", "127.0.0.1:1", "a", "m"}};
  config.known = known;
  Rig rig(config);
  rig.node.Start();
  RunUntil([&] { return discovery.got.size() == 3; });
  ASSERT_EQ(discovery.got.size(), 3u);
  for (const Message& m : discovery.got)
    EXPECT_EQ(m.target, "/v1/endpoints?since=3&timeout_ms=5000");
}

// A hundred nodes start at once, where each watch costs discovery work: nodes that have a list
// spread their first calls. A node without a list calls at once, and so do nodes whose agent
// receives the list without being called.
TEST(Story, NodesWithAListBeginTheirWatchesApart) {
  Server discovery(Silent);
  const auto start = [&](int sharing_nodes, std::optional<std::uint64_t> version, Micros most) {
    std::vector<std::unique_ptr<Discovery>> nodes;
    const std::size_t before = discovery.got.size();
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      nodes.push_back(std::make_unique<Discovery>(discovery.address(), sharing_nodes, seed,
                                                  [](const Listing&) {}));
      nodes.back()->Start(version);
    }
    RunUntil([&] { return discovery.got.size() - before == 20; }, most);
    return discovery.got.size() - before;
  };
  EXPECT_LT(start(100, 3, 200 * kMs), 20u);
  EXPECT_EQ(start(100, std::nullopt, 20 * kSecond), 20u);
  EXPECT_EQ(start(0, 3, 20 * kSecond), 20u);
}

std::string ListOf(int version, const std::string& id, const std::string& at) {
  return R"({"version":)" + std::to_string(version) + R"(,"full":true,"servers":[{"id":")" + id +
         R"(","addr":")" + at + R"(","zone":"a","kind":"m","state":"up"}]})";
}

// The new agent has its own version numbers. Until its first list arrives, the known workers are
// used.
TEST(Story, DiscoveryMovesAndTheWorkersStayUntilTheNewListIsIn) {
  Server worker(Accept), other(Accept);
  Server before([&](const Message& m) {
    const bool watch = m.target.find("since") != std::string::npos;
    return watch ? "" : http::WriteResponse(200, {}, ListOf(90, "s-0", worker.address()), true);
  });
  Server after(Silent);
  Config config = BaseConfig();
  config.discovery = before.address();
  Rig rig(config);
  rig.node.Start();
  RunUntil([&] { return before.got.size() == 2; });
  Caller client(rig.port()), agent(rig.port());
  client.SendJob("j");
  RunUntil([&] { return worker.got.size() == 1; });
  for (int i = 0; i < 3; ++i) rig.node.SetDiscoveryAddress(after.address());
  RunUntil([&] { return !after.got.empty(); });
  EXPECT_EQ(after.got[0].target, "/v1/endpoints") << "version 90 is not of this agent";
  agent.SendUpdate("j", "s-0", "done");
  EXPECT_EQ(client.Status(0), 200);
  client.SendJob("k");
  RunUntil([&] { return worker.got.size() == 2; });
  EXPECT_EQ(worker.streams.size(), 1u) << "its connection is kept, too";
  after.streams.back()->Write(
      http::WriteResponse(200, {}, ListOf(3, "s-1", other.address()), true));
  RunUntil([&] { return after.got.back().target == "/v1/endpoints?since=3&timeout_ms=5000"; });
  EXPECT_EQ(after.got.back().target, "/v1/endpoints?since=3&timeout_ms=5000");
  agent.SendUpdate("k", "s-0", "done");
  EXPECT_EQ(client.Status(1), 200) << "a job at a delisted worker still ends normally";
  client.SendJob("l");
  RunUntil([&] { return other.got.size() == 1; });
  EXPECT_EQ(worker.got.size(), 2u);
}

// The program must reload its configuration on SIGHUP and not exit, which would lose its open jobs.
TEST(Story, TheProgramOutlivesSighupsAndEndsCleanlyAfterOne) {
  Server worker(Accept);
  const auto serve_list = [&](const Message& m) {
    return m.target == "/v1/endpoints"
               ? http::WriteResponse(200, {}, ListOf(1, "s-0", worker.address()), true)
               : std::string();
  };
  Server before(serve_list), after(serve_list);
  const std::string path = testing::TempDir() + "pearreach_program_" + std::to_string(getpid());
  const auto write = [&](const std::string& text) { std::ofstream(path) << text; };
  const auto config = [](const std::string& discovery) {
    return R"({"listen":"127.0.0.1:0","discovery":")" + discovery +
           R"(","settings":{"RequestClasses":[{"Name":"c","Effect":"once"}],"Models":["m"],"RoundMs":2.0}})";
  };
  write(config(before.address()));
  const std::string own = path + ".xml", captures = path + ".captures";
  const auto write_own = [&](const std::string& text) { std::ofstream(own) << text; };
  write_own("<pearreach><capture folder='" + captures + "'/></pearreach>");
  GSubprocess* program =
      g_subprocess_new(G_SUBPROCESS_FLAGS_STDERR_SILENCE, nullptr, PEARREACH_PROGRAM, "serve",
                       "--config", path.c_str(), "--operator", own.c_str(), nullptr);
  ASSERT_NE(program, nullptr);
  RunUntil([&] { return before.got.size() == 2; });
  EXPECT_EQ(before.got.size(), 2u);
  write("nonsense");
  // Invalid: the capture continues unchanged.
  write_own("<pearreach><log format='xml'/></pearreach>");
  g_subprocess_send_signal(program, SIGHUP);
  RunFor(100 * kMs);
  write(config(after.address()));
  for (int i = 0; i < 3; ++i) g_subprocess_send_signal(program, SIGHUP);
  RunUntil([&] { return after.got.size() == 2; });
  EXPECT_EQ(after.got.size(), 2u) << "one call for the list and one watch";
  g_subprocess_send_signal(program, SIGTERM);
  g_subprocess_send_signal(program, SIGHUP);
  bool ended = false;
  g_subprocess_wait_async(
      program, nullptr, [](GObject*, GAsyncResult*, gpointer e) { *static_cast<bool*>(e) = true; },
      &ended);
  RunUntil([&] { return ended; });
  ASSERT_TRUE(ended);
  EXPECT_TRUE(g_subprocess_get_if_exited(program) && g_subprocess_get_exit_status(program) == 0);
  g_object_unref(program);
  capture::Segment segment(captures + "/pearreach.00000001.prcap");
  EXPECT_FALSE(capture::Replay(&segment, {}).difference);
  EXPECT_TRUE(segment.ending());
  EXPECT_FALSE(std::filesystem::exists(captures + "/pearreach.00000002.prcap"));
  std::filesystem::remove_all(captures);
  std::remove(own.c_str());
  std::remove(path.c_str());
}

// Reloads move discovery and switch the capture off and on. Each segment must replay by itself, and
// the jobs must not be affected.
TEST(Story, CaptureGoesOnAcrossReloads) {
  std::string folder = testing::TempDir() + "pearreach-XXXXXX";
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  Config config = BaseConfig();
  config.settings = lab::BaseSettings();
  config.site = dispatch::ReadSite(dispatch::Conf(config.settings));
  Rig rig(config);
  const CaptureSettings settings{.folder = folder, .flush_every = 20 * kMs};
  rig.node.SetCapture(settings, "test", 1);
  Server worker(Accept), other(Silent);
  rig.Workers({worker.address()});
  Caller client(rig.port()), agent(rig.port());
  std::size_t jobs = 0;
  const auto serve = [&](const std::string& id) {
    client.SendJob(id);
    RunUntil([&] { return worker.got.size() == jobs + 1; });
    agent.SendUpdate(id, "s-0", "started");
    agent.SendUpdate(id, "s-0", "done");
    EXPECT_EQ(client.Status(jobs), 200);
    ++jobs;
  };
  serve("a");
  rig.node.SetDiscoveryAddress(other.address());
  rig.node.AnnotateCapture("configuration read again");
  serve("b");
  rig.node.SetCapture(settings, "test", 1);  // reloaded without a change: the segment continues
  serve("c");
  rig.node.SetCapture(std::nullopt, "test", 1);
  serve("d");
  rig.node.SetCapture(settings, "test", 1);  // started in mid-run: begins with a checkpoint
  serve("e");
  rig.node.SetCapture(std::nullopt, "test", 1);
  std::string marks, ids;
  int checkpoints = 0;
  for (const char* name : {"/pearreach.00000001.prcap", "/pearreach.00000002.prcap"}) {
    capture::Segment segment(folder + name), again(folder + name);
    const capture::Replayed r = capture::Replay(&segment, {});
    EXPECT_FALSE(r.difference);
    EXPECT_TRUE(r.ended);
    checkpoints += segment.checkpoint() ? 1 : 0;
    for (capture::Turn t; again.Next(&t);) {
      marks += t.mark;
      for (const capture::Note& n : t.notes) ids += n.id;
    }
  }
  EXPECT_EQ(ids, "abce");
  EXPECT_EQ(marks, "configuration read again");
  EXPECT_EQ(checkpoints, 1);
  std::filesystem::remove_all(folder);
}

// Each list repeats the start time of a worker. Converted with a newly measured clock offset it
// would look like a restart.
TEST(Story, AStartToldTwiceIsOneStart) {
  Rig rig;
  const std::int64_t unix_ms = g_get_real_time() / 1000 - 500;
  const Micros first = rig.node.FromUnixMs(unix_ms);
  EXPECT_LE(std::abs(Now() - 500 * kMs - first), 100 * kMs);
  for (int i = 0; i < 5; ++i) {
    RunFor(3 * kMs);
    EXPECT_EQ(rig.node.FromUnixMs(unix_ms), first);
  }
  EXPECT_EQ(rig.node.FromUnixMs(0), 0) << "long ago";
  EXPECT_GT(rig.node.FromUnixMs(1), 0) << "distinct from 0, which means long ago";
}

// A restarted node restores its knowledge only of workers whose process is the same. A worker that
// has restarted meanwhile is new to it; knowledge of a worker that is listed later is restored
// then.
TEST(Story, ARestartedNodeRecallsTheSameProcessesOnly) {
  Server first(Accept), second(Accept);
  const auto listing = [&](std::int64_t second_started) {
    Listing list;
    list.full = true;
    list.servers.push_back({"s-0", first.address(), "a", "m"});
    if (second_started >= 0) {
      list.servers.push_back({"s-1", second.address(), "a", "m"});
      list.servers.back().started_ms = second_started;
    }
    return list;
  };
  Config config = BaseConfig();
  config.name = "n0";
  std::optional<knowledge::Recall> recall;
  std::string why;
  {
    Rig rig(config);
    rig.node.OnListing(listing(1000));
    Caller one(rig.port()), other(rig.port()), agent(rig.port());
    for (int i = 0; i < 4; ++i) {  // two jobs at a time, one for each worker
      one.SendJob("a" + std::to_string(i));
      other.SendJob("b" + std::to_string(i));
      const auto n = static_cast<std::size_t>(i + 1);
      RunUntil([&] { return first.got.size() == n && second.got.size() == n; });
      for (const auto& [worker, name] : {std::pair(&first, "s-0"), std::pair(&second, "s-1")}) {
        const std::string id = *worker->got.back().Find("X-Request-ID");
        agent.SendUpdate(id, name, "started");
        agent.SendUpdate(id, name, "done");
      }
      ASSERT_EQ(one.Status(n - 1), 200);
      ASSERT_EQ(other.Status(n - 1), 200);
    }
    const knowledge::Memory learned = rig.node.ExportKnowledge();
    ASSERT_EQ(learned.workers.size(), 2u);
    EXPECT_EQ(learned.workers[1].started_ms, 1000);
    EXPECT_GT(learned.pools.at(0).what.limit, 1);
    recall = knowledge::ForNode(learned, config.site, "n0", learned.written + kSecond, &why);
    ASSERT_TRUE(recall) << why;
  }
  const std::uint64_t known = CountOf("recalled_workers");
  const std::uint64_t others = CountOf("recalled_another_process");
  {
    Rig rig(config);
    rig.node.RestoreKnowledge(*recall);
    rig.node.OnListing(listing(2000));
    EXPECT_EQ(CountOf("recalled_workers"), known + 1);
    EXPECT_EQ(CountOf("recalled_another_process"), others + 1);
    RunFor(50 * kMs);
    EXPECT_GT(rig.node.ExportKnowledge().pools.at(0).what.limit, 1)
        << "the restored limit is in use";
  }
  {
    Rig rig(config);
    rig.node.RestoreKnowledge(*recall);
    rig.node.OnListing(listing(-1));
    EXPECT_EQ(CountOf("recalled_workers"), known + 2);
    rig.node.OnListing(listing(1000));
    EXPECT_EQ(CountOf("recalled_workers"), known + 3) << "restored once the list names the worker";
    rig.node.OnListing(listing(1000));
    EXPECT_EQ(CountOf("recalled_workers"), known + 3) << "restored only once";
  }
}

// The program, killed and started again, restores the knowledge that it has stored. A file that is
// damaged or signed with another key is logged and does not keep the program from starting.
TEST(Story, TheProgramRecallsWhatItKept) {
  Server worker(Accept);
  Server discovery([&](const Message& m) {
    return m.target == "/v1/endpoints"
               ? http::WriteResponse(200, {}, ListOf(1, "s-0", worker.address()), true)
               : std::string();
  });
  std::string folder = testing::TempDir() + "pearreach-XXXXXX";
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  std::ofstream(folder + "/key") << std::string(40, 'k');
  std::ofstream(folder + "/config.json")
      << R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" + discovery.address() +
             R"(","settings":{"RequestClasses":[{"Name":"c","Effect":"once"}],"Models":["m"],"RoundMs":2.0}})";
  std::ofstream(folder + "/own.xml") << "<pearreach><knowledge folder='" + folder +
                                            "/k' every-ms='100' key-file='" + folder +
                                            "/key'/></pearreach>";
  std::string log_text;
  const auto run = [&](int signal) {
    const std::string log = folder + "/log";
    GSubprocessLauncher* launcher = g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
    g_subprocess_launcher_set_stderr_file_path(launcher, log.c_str());
    GSubprocess* program = g_subprocess_launcher_spawn(
        launcher, nullptr, PEARREACH_PROGRAM, "serve", "--config",
        (folder + "/config.json").c_str(), "--operator", (folder + "/own.xml").c_str(), nullptr);
    const std::size_t before = discovery.got.size();
    RunUntil([&] { return discovery.got.size() >= before + 2; });
    const auto written = [&] {
      std::error_code none;
      return std::filesystem::exists(folder + "/k/n0.0.know", none) &&
             std::filesystem::exists(folder + "/k/n0.1.know", none);
    };
    RunUntil([&] { return written() || signal == SIGTERM; });
    g_subprocess_send_signal(program, signal);
    g_subprocess_wait(program, nullptr, nullptr);
    g_object_unref(program);
    g_object_unref(launcher);
    std::ifstream in(log);
    log_text.assign(std::istreambuf_iterator<char>(in), {});
  };
  run(SIGKILL);
  EXPECT_EQ(log_text.find("recalled"), std::string::npos);
  run(SIGTERM);
  EXPECT_NE(log_text.find("recalled what was learned 0 s ago of "), std::string::npos) << log_text;
  std::ofstream(folder + "/key") << std::string(40, 'x');
  run(SIGTERM);
  EXPECT_NE(log_text.find("its hash is not of this key"), std::string::npos) << log_text;
  EXPECT_EQ(log_text.find("recalled what"), std::string::npos) << log_text;
  run(SIGTERM);
  EXPECT_NE(log_text.find("recalled what"), std::string::npos)
      << "the clean shutdown stored it under the new key";
  std::filesystem::remove_all(folder);
}

TEST(Story, ATermAnswersWhatWasTakenAndClosesTheRest) {
  Rig rig;
  Server worker(Accept);
  rig.Workers({worker.address()});
  Caller busy(rig.port()), idle(rig.port()), agent(rig.port());
  busy.SendJob("j");
  idle.stream->Write("GET /ready HTTP/1.1\r\n\r\n");
  EXPECT_EQ(idle.Status(), 200);
  agent.SendUpdate("other", "s-0", "done");
  EXPECT_EQ(agent.Status(), 200);
  RunUntil([&] { return !worker.got.empty(); });
  agent.SendUpdate("j", "s-0", "started");  // frees a slot for the next job
  bool done = false;
  rig.front.Drain([&] { done = true; });
  Caller late(rig.port());  // still accepted
  late.SendJob("k");
  RunUntil([&] { return worker.got.size() == 2; });
  agent.SendUpdate("k", "s-0", "done");
  EXPECT_EQ(late.Status(), 200);
  EXPECT_TRUE(late.answers[0].keep_alive);
  // Client connections stay open for a while: with two nodes, the other one may not be back yet,
  // and the clients would have no node to connect to.
  RunFor(1000 * kMs);
  idle.SendJob("m", "commit", "4900m");
  RunUntil([&] { return worker.got.size() == 3; });
  agent.SendUpdate("m", "s-0", "done");
  EXPECT_EQ(idle.Status(1), 200) << "a connection that was kept open is still served";
  idle.SendJob("n", "commit", "4900m");
  RunUntil([&] { return worker.got.size() == 4; });
  const int wait = std::stoi(*worker.got.back().Find("X-Timeout"));
  EXPECT_LT(wait, 3000) << "limited to the time until the node must exit";
  agent.SendUpdate("n", "s-0", "done");
  EXPECT_EQ(idle.Status(2), 200);
  RunUntil([&] { return idle.closed && late.closed; });
  EXPECT_TRUE(idle.closed && late.closed);
  Caller later(rig.port());  // too late: it is refused
  later.SendJob("l");
  EXPECT_EQ(later.Status(), 503);
  EXPECT_FALSE(done);
  agent.SendUpdate("j", "s-0", "done");
  EXPECT_EQ(busy.Status(), 200) << "the workers' connections are closed after the clients'";
  RunUntil([&] { return done; });
  EXPECT_TRUE(done);
}

// Guards against requests that had been read behind another one, or in part, when a node ended.
TEST(Story, ATermRefusesWhatComesBehindAndWhatDoesNotComeWhole) {
  const std::string job =
      "POST /commit/x HTTP/1.1\r\nX-Request-ID: %\r\nX-Priority-Class: commit\r\n"
      "X-Timeout: 900m\r\nContent-Length: 4\r\n\r\nbody";
  const auto named = [&](const std::string& id) {
    return job.substr(0, job.find('%')) + id + job.substr(job.find('%') + 1);
  };
  Rig rig;
  Server worker(Accept);
  rig.Workers({worker.address()});
  Caller partial(rig.port()), slow(rig.port());
  for (Caller* caller : {&partial, &slow}) {
    caller->stream->Write("GET /ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(caller->Status(), 200);
  }
  bool done = false;
  rig.front.Drain([&] { done = true; });
  const Micros began = Now();
  const std::string whole = named("s");
  slow.stream->Write(whole.substr(0, whole.size() - 2));
  partial.stream->Write(whole.substr(0, whole.size() - 1));
  RunFor(2000 * kMs);  // from then on it refuses
  Caller late(rig.port());
  late.stream->Write(named("a") + named("b") + named("c"));
  EXPECT_EQ(late.Status(2), 503);
  ASSERT_EQ(late.answers.size(), 3u);
  EXPECT_TRUE(late.answers[0].keep_alive);
  EXPECT_FALSE(late.answers[2].keep_alive);
  EXPECT_FALSE(done) << "requests have begun to come";
  slow.stream->Write("dy");
  EXPECT_EQ(slow.Status(1), 503);
  EXPECT_EQ(partial.Status(1), 503);
  RunUntil([&] { return done; });
  EXPECT_TRUE(done);
  EXPECT_LT(Now() - began, 3700 * kMs) << "SIGKILL may come then";
}

// A worker that operators have detached is draining for the Dispatcher until it is attached again,
// whatever later lists report. An id that no list has named cannot be detached.
TEST(Story, ABannedWorkerIsADrainThatNoListEnds) {
  Server first(Accept), second(Accept);
  const auto entry = [](const std::string& id, const std::string& at) {
    return R"({"id":")" + id + R"(","addr":")" + at + R"(","zone":"a","kind":"m","state":"up"})";
  };
  bool list_sent = false;
  Server discovery([&](const Message&) {
    if (std::exchange(list_sent, true)) return std::string();
    return http::WriteResponse(200, {},
                               R"({"version":4,"full":true,"servers":[)" +
                                   entry("s-0", first.address()) + "," +
                                   entry("s-1", second.address()) + "]}",
                               true);
  });
  Config config = BaseConfig();
  config.discovery = discovery.address();
  config.known =
      Listing{3, true, {{"s-0", first.address(), "a", "m"}, {"s-1", second.address(), "a", "m"}}};
  Rig rig(config);
  EXPECT_FALSE(rig.node.Ban("s-9")) << "never listed";
  rig.node.Start();
  ASSERT_TRUE(rig.node.Ban("s-0"));
  ASSERT_TRUE(rig.node.Ban("s-0")) << "repeated: no effect";
  EXPECT_EQ(rig.node.hosts_listed(), 2u);
  EXPECT_EQ(rig.node.hosts_down(), 1u);
  RunUntil([&] { return list_sent; });  // a complete list that reports s-0 as up
  // One job at a time, each served: the limit grows, so that the Dispatcher could choose either
  // worker.
  Caller client(rig.port()), agent(rig.port());
  for (std::size_t i = 0; i < 6; ++i) {
    const std::string id = "j" + std::to_string(i);
    client.SendJob(id);
    RunUntil([&] { return second.got.size() > i || !first.got.empty(); });
    ASSERT_EQ(second.got.size(), i + 1);
    agent.SendUpdate(id, "s-1", "done");
    EXPECT_EQ(client.Status(i), 200);
  }
  EXPECT_TRUE(first.got.empty()) << "banned, whatever the list reports";
  EXPECT_TRUE(rig.node.Unban("s-0"));
  EXPECT_EQ(rig.node.hosts_down(), 0u);
  EXPECT_FALSE(rig.node.Unban("s-9"));
}

}  // namespace
}  // namespace pearreach
