// Stories of durable jobs over loopback sockets: a node with its keeper, front and store, against
// scripted workers. A crash is a node that is dropped where it stands and another on the same
// store.
#include "node/durable_jobs/keeper.h"

#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <map>

#include "lab/base/agent.h"
#include "lab/world/world.h"
#include "node/capture/replay.h"
#include "node/durable_jobs/orders.h"
#include "node/http_frontend/front.h"
#include "tests/node/engine/rig.h"

namespace pearreach {
namespace {

namespace fs = std::filesystem;
using namespace rig;
using http::Message;

Config TestConfig() {
  Config c;
  c.discovery = "127.0.0.1:1";
  c.settings = lab::BaseSettings();
  c.site = dispatch::ReadSite(dispatch::Conf(c.settings));
  return c;
}

// Takes jobs with a 202, and says that it knows fences if it does.
std::string Fenced(const Message&) {
  return http::WriteResponse(202, {{"X-Fences", "1"}}, "", true);
}

class Durable : public testing::Test {
 protected:
  struct Life {
    Life(const std::string& path, job_state::Policy policy, job_store::Fault fault,
         const std::string& address = "127.0.0.1:0")
        : node(TestConfig()),
          keeper(&node,
                 job_store::OpenSqlite({.path = path, .owner = "n0", .fault = std::move(fault)}),
                 policy, path),
          front(&keeper, 1024) {
      EXPECT_EQ(front.Open(address), "");
    }
    Node node;
    Keeper keeper;
    Front front;
  };

  Durable() {
    std::string name = (fs::temp_directory_path() / "pearreach-XXXXXX").string();
    folder_ = mkdtemp(name.data());
    path_ = folder_ + "/jobs.db";
  }
  ~Durable() override {
    life.reset();
    fs::remove_all(folder_);
  }

  void Start(job_store::Fault fault = {}, const std::string& address = "127.0.0.1:0") {
    life.reset();
    life = std::make_unique<Life>(path_, policy, std::move(fault), address);
    ListWorkers();
  }
  void ListWorkers() {
    Listing list;
    list.full = true;
    list.version = 1;
    for (std::size_t i = 0; i < workers.size(); ++i)
      list.servers.push_back({"s-" + std::to_string(i), workers[i]->address(), "a", "m"});
    life->node.OnListing(list);
  }

  // Hands a job in; its path, or the status of the refusal.
  std::string Take(const std::string& id, const std::string& cls = "commit",
                   const std::string& key = "", const std::string& timeout = "60000m") {
    Caller caller(life->front.port());
    caller.SendJob(
        id, cls, timeout,
        "Prefer: respond-async\r\n" + (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n"));
    const int status = caller.Status();
    if (status != 202) return std::to_string(status);
    return *caller.answers[0].Find("Location");
  }
  std::string Call(const std::string& method, const std::string& path) {
    Caller caller(life->front.port());
    caller.stream->Write(http::WriteRequest(method, path, {{"Host", "a"}}, ""));
    return caller.Status() == 200 ? caller.answers[0].body : std::to_string(caller.Status());
  }
  std::string Get(const std::string& path) { return Call("GET", path); }
  bool Becomes(const std::string& path, const std::string& state) {
    std::string last;
    for (int i = 0; i < 400; ++i) {
      last = Get(path);
      if (last.find("\"state\":\"" + state + "\"") != std::string::npos) return true;
      RunFor(10 * kMs);
    }
    ADD_FAILURE() << "still " << last;
    return false;
  }
  int News(const std::string& id, const std::string& from, const std::string& state) {
    Caller agent(life->front.port());
    agent.SendUpdate(id, from, state);
    return agent.Status();
  }
  std::size_t Sent() const {
    std::size_t n = 0;
    for (const auto& w : workers)
      for (const Message& m : w->got) n += m.method == "POST" ? 1 : 0;
    return n;
  }

  std::string folder_, path_;
  job_state::Policy policy;
  std::vector<std::unique_ptr<Server>> workers;
  std::unique_ptr<Life> life;
};

TEST_F(Durable, AJobIsTakenServedAndKept) {
  workers.push_back(std::make_unique<Server>(Accept));
  Start();
  const std::string path = Take("j1", "commit", "k1");
  ASSERT_EQ(path.substr(0, 7), "/_jobs/");
  RunUntil([&] { return Sent() == 1; });
  EXPECT_EQ(*workers[0]->got[0].Find("X-Fence"), "1");
  EXPECT_TRUE(Becomes(path, "running"));
  EXPECT_EQ(News("j1", "s-0", "started"), 200);
  EXPECT_EQ(News("j1", "s-0", "done"), 200);
  EXPECT_NE(Get(path).find("\"state\":\"served\""), std::string::npos);
  EXPECT_NE(Get(path).find("\"result\":\"r-j1\""), std::string::npos);
  EXPECT_EQ(Take("j2", "commit", "k1"), path) << "the same key is the same job";
  EXPECT_EQ(Take("j3", "commit", "k2") == path, false);
  Start();  // another life
  EXPECT_NE(Get(path).find("\"result\":\"r-j1\""), std::string::npos);
  EXPECT_EQ(Take("j4", "commit", "k1"), path);
  EXPECT_EQ(Get("/_jobs/nothing"), "404");
}

TEST_F(Durable, OneKeyFromTwoConnectionsAtOnceIsOneJob) {
  workers.push_back(std::make_unique<Server>(Accept));
  Start();
  Caller a(life->front.port()), b(life->front.port());
  const std::string head = "Prefer: respond-async\r\nIdempotency-Key: same\r\n";
  a.SendJob("j1", "commit", "60000m", head);
  b.SendJob("j2", "commit", "60000m", head);
  EXPECT_EQ(a.Status(), 202);
  EXPECT_EQ(b.Status(), 202);
  EXPECT_EQ(*a.answers[0].Find("Location"), *b.answers[0].Find("Location"));
  RunUntil([&] { return Sent() == 1; });
  RunFor(50 * kMs);
  EXPECT_EQ(Sent(), 1u);
}

// The intent cannot be written: nothing of it may reach a worker.
TEST_F(Durable, NothingGoesOutBeforeItsIntentIsDurable) {
  std::atomic<bool> full = false;
  Start([&](job_store::Stage s) {
    return s == job_store::Stage::kCommit && full ? std::string("disk full") : std::string();
  });
  const std::string path = Take("j1", "commit", "", "700m");
  ASSERT_EQ(path.substr(0, 7), "/_jobs/");
  full = true;
  workers.push_back(std::make_unique<Server>(Accept));
  ListWorkers();
  EXPECT_EQ(Take("j2"), "503") << "nothing can be taken on, and that is said";
  RunFor(900 * kMs);
  EXPECT_NE(Get(path).find("running"), std::string::npos) << "an end was told that is not durable";
  full = false;
  EXPECT_TRUE(Becomes(path, "refused")) << "it never ran";
  EXPECT_EQ(Sent(), 0u);
}

// The list comes while the record of a new job is being written: it is handed over once.
TEST_F(Durable, AJobTakenInWhileTheListComesIsOneJob) {
  workers.push_back(std::make_unique<Server>(Accept));
  life = std::make_unique<Life>(path_, policy, nullptr);
  Job job;
  job.id = "j1";
  job.path = "/commit/x";
  job.body = "body";
  job.received = Now();
  job.client_timeout = 9 * kSecond;
  std::string id;
  life->keeper.SubmitDurable(job, [&](const DurableSubmitResult& r) { id = r.id; });
  ListWorkers();
  RunUntil([&] { return Sent() == 1; });
  RunFor(50 * kMs);
  EXPECT_EQ(Sent(), 1u);
  EXPECT_NE(Get("/_jobs/" + id).find("running"), std::string::npos);
  EXPECT_EQ(CountOf("guarded_job_unknown"), 0u);
}

// Killed just after the worker has begun: the next life adopts the attempt and does not send it
// again.
TEST_F(Durable, ARunningJobIsAdoptedAndItsLateWordFindsIt) {
  for (int i = 0; i < 3; ++i) workers.push_back(std::make_unique<Server>(Accept));
  Start();
  const std::string path = Take("j1");
  RunUntil([&] { return Sent() == 1; });
  std::string at;
  for (std::size_t i = 0; i < 3; ++i)
    if (!workers[i]->got.empty()) at = "s-" + std::to_string(i);
  EXPECT_EQ(News("j1", at, "started"), 200);
  Start();
  EXPECT_TRUE(Becomes(path, "running"));
  RunFor(400 * kMs);
  EXPECT_EQ(Sent(), 1u) << "sent again on suspicion";
  EXPECT_GT(life->node.site().settings.classes.size(), 0u);
  EXPECT_EQ(News("j1", at, "done"), 200);
  EXPECT_TRUE(Becomes(path, "served"));
}

TEST_F(Durable, QueuedJobsComeBackInOrderAndPaced) {
  policy.initial_backlog_window = 2;
  Start();  // no worker: nothing can be sent
  std::vector<std::string> paths;
  for (int i = 0; i < 6; ++i) paths.push_back(Take("j" + std::to_string(i)));
  workers.push_back(std::make_unique<Server>(Accept));
  Start();
  for (std::size_t done = 0; done < 6; ++done) {
    RunUntil([&] { return Sent() > done; });
    ASSERT_GT(Sent(), done);
    EXPECT_LE(Sent(), 2 * done + 2) << "more than may be in the module's hands";
    const std::string id = *workers[0]->got[done].Find("X-Request-ID");
    EXPECT_EQ(News(id, "s-0", "done"), 200);
  }
  for (const std::string& path : paths) EXPECT_TRUE(Becomes(path, "served"));
  // They are handed over in the order of intake, one or two when another has been served; which of
  // those it has the module sends first is its own decision (the newest).
  for (int i = 0; i < 6; ++i) {
    const std::string id = *workers[0]->got[static_cast<std::size_t>(i)].Find("X-Request-ID");
    EXPECT_LE(std::stoi(id.substr(1)), 2 * i + 1) << "handed over before its turn";
  }
}

// A silent worker whose lease runs out while its job runs on, and which then says that it is done.
TEST_F(Durable, ALeaseThatRunsOutIsADoubtAndTheWorkersWordResolvesIt) {
  policy.lease = 300 * kMs;
  for (int i = 0; i < 2; ++i) workers.push_back(std::make_unique<Server>(Accept));
  Start();
  const std::string path = Take("j1");
  RunUntil([&] { return Sent() == 1; });
  const std::string at = workers[0]->got.empty() ? "s-1" : "s-0";
  EXPECT_EQ(News("j1", at, "started"), 200);
  EXPECT_TRUE(Becomes(path, "in doubt"));
  RunFor(300 * kMs);
  EXPECT_EQ(Sent(), 1u) << "a job in doubt was sent again";
  EXPECT_EQ(News("j1", at == "s-0" ? "s-1" : "s-0", "done"), 200) << "heard, and of no use";
  EXPECT_NE(Get(path).find("in doubt"), std::string::npos);
  EXPECT_EQ(News("j1", at, "done"), 200);
  EXPECT_TRUE(Becomes(path, "served"));
  EXPECT_NE(Get(path).find("r-j1"), std::string::npos);
}

// Workers that know fences: what is in doubt goes out again, under a higher fence, and only there.
TEST_F(Durable, ADoubtAtWorkersThatKnowFencesIsGivenOutAgain) {
  policy.lease = 300 * kMs;
  workers.push_back(std::make_unique<Server>(Fenced));
  Start();
  const std::string path = Take("j1");
  RunUntil([&] { return Sent() == 2; });
  ASSERT_EQ(Sent(), 2u);
  EXPECT_EQ(*workers[0]->got[0].Find("X-Fence"), "1");
  EXPECT_EQ(*workers[0]->got.back().Find("X-Fence"), "2");
  // The attempt that was fenced off says that it failed, at the same worker: no word of the new
  // one.
  Caller agent(life->front.port());
  agent.stream->Write(http::WriteRequest("POST", "/_jobs/news", {},
                                         R"({"id":"j1","from":"s-0","state":"failed","fence":1})"));
  EXPECT_EQ(agent.Status(), 200);
  RunFor(20 * kMs);
  EXPECT_NE(Get(path).find("running"), std::string::npos);
  EXPECT_EQ(News("j1", "s-0", "done"), 200);
  EXPECT_TRUE(Becomes(path, "served"));
}

TEST_F(Durable, ProgressRenewsTheLease) {
  policy.lease = 300 * kMs;
  workers.push_back(std::make_unique<Server>(Accept));
  Start();
  const std::string path = Take("j1");
  RunUntil([&] { return Sent() == 1; });
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(News("j1", "s-0", "running"), 200);
    RunFor(150 * kMs);
  }
  EXPECT_NE(Get(path).find("\"state\":\"running\""), std::string::npos);
}

TEST_F(Durable, ADoubtThatOutlivesTheNodeIsSettledByAPerson) {
  policy.lease = 200 * kMs;
  workers.push_back(std::make_unique<Server>(Accept));
  Start();
  const std::string path = Take("j1");
  EXPECT_TRUE(Becomes(path, "in doubt"));
  Start();
  EXPECT_NE(Get(path).find("in doubt"), std::string::npos);
  WriteOrder(path_, {path.substr(7), job_state::State::kServed, "found in the memory"});
  EXPECT_TRUE(Becomes(path, "served"));
  EXPECT_FALSE(OrderWaits(path_, path.substr(7)));
  EXPECT_EQ(Sent(), 1u);
}

TEST_F(Durable, WhatRanOutOfTimeMeanwhileEndsAtOnce) {
  Start();
  const std::string queued = Take("j1", "commit", "", "300m");
  life.reset();
  RunFor(400 * kMs);
  workers.push_back(std::make_unique<Server>(Accept));
  Start();
  EXPECT_TRUE(Becomes(queued, "failed"));
  RunFor(50 * kMs);
  EXPECT_EQ(Sent(), 0u);
}

TEST_F(Durable, AJobIsGivenUpByItsClient) {
  Start();
  const std::string path = Take("j1");
  EXPECT_NE(Call("DELETE", path).find("\"state\":\"cancelled\""), std::string::npos);
  workers.push_back(std::make_unique<Server>(Accept));
  ListWorkers();
  RunFor(100 * kMs);
  EXPECT_EQ(Sent(), 0u);
  EXPECT_EQ(Call("PUT", path), "405");
  EXPECT_EQ(Call("DELETE", "/_jobs/x"), "404");
}

// The word of an end is acknowledged once it is on the disk: a worker that hears 503 says it again.
TEST_F(Durable, AnEndThatCannotBeWrittenIsNotAcknowledged) {
  std::atomic<bool> full = false;
  workers.push_back(std::make_unique<Server>(Fenced));
  Start([&](job_store::Stage s) {
    return s == job_store::Stage::kCommit && full ? std::string("disk full") : std::string();
  });
  const std::string path = Take("j1");
  RunUntil([&] { return Sent() == 1; });
  EXPECT_EQ(News("j1", "s-0", "started"), 200);
  full = true;
  EXPECT_EQ(News("j1", "s-0", "done"), 503);
  EXPECT_EQ(News("j1", "s-0", "done"), 503) << "said again, and still on no disk";
  full = false;
  Start();  // as if it had been killed there: the store still has it running
  EXPECT_TRUE(Becomes(path, "running"));
  EXPECT_EQ(News("j1", "s-0", "done"), 200) << "said again, and found";
  EXPECT_TRUE(Becomes(path, "served"));
  EXPECT_EQ(Sent(), 1u);
}

// A client may wait and be safe at once: it hears the end if it comes in time, else where to ask.
TEST_F(Durable, AClientThatWaitsIsToldTheEnd) {
  workers.push_back(std::make_unique<Server>(Accept));
  Start();
  Caller waits(life->front.port()), leaves(life->front.port()), late(life->front.port());
  waits.SendJob("j1", "commit", "60000m", "Prefer: respond-async, wait=20\r\n");
  leaves.SendJob("j2", "commit", "60000m", "Prefer: respond-async, wait=20\r\n");
  RunUntil([&] { return life->keeper.waits() == 2; });
  leaves.stream->Close();
  for (std::size_t i = 0; i < 2; ++i) {
    RunUntil([&] { return Sent() > i; });
    EXPECT_EQ(News(*workers[0]->got[i].Find("X-Request-ID"), "s-0", "done"), 200);
  }
  EXPECT_EQ(waits.Status(), 200);
  EXPECT_EQ(waits.answers[0].body, "r-j1");
  ASSERT_NE(waits.answers[0].Find("Location"), nullptr);
  EXPECT_TRUE(Becomes(*waits.answers[0].Find("Location"), "served"));
  EXPECT_EQ(life->keeper.waits(), 0u);
  late.SendJob("j3", "commit", "60000m", "Prefer: respond-async, wait=1\r\n");
  EXPECT_EQ(late.Status(), 202) << "its time to wait is over, not the job's";
  const std::string path = *late.answers[0].Find("Location");
  Caller polls(life->front.port());
  polls.stream->Write(http::WriteRequest("GET", path, {{"Host", "a"}, {"Prefer", "wait=20"}}, ""));
  RunUntil([&] { return life->keeper.waits() == 1; });
  EXPECT_EQ(News("j3", "s-0", "done"), 200);
  EXPECT_EQ(polls.Status(), 200);
  EXPECT_NE(polls.answers[0].body.find("served"), std::string::npos);
  Caller bad(life->front.port());
  bad.SendJob("j4", "commit", "60000m", "Prefer: respond-async, wait=x\r\n");
  EXPECT_EQ(bad.Status(), 400);
}

// The node ends while a client waits: it is told where to ask, and its job outlives the node.
TEST_F(Durable, ADrainAnswersThoseThatWait) {
  Start();
  Caller waits(life->front.port());
  waits.SendJob("j1", "commit", "60000m", "Prefer: respond-async, wait=50\r\n");
  RunUntil([&] { return life->keeper.waits() == 1; });
  bool drained = false;
  life->front.Drain([&] { drained = true; });
  EXPECT_EQ(waits.Status(), 202);
  RunUntil([&] { return drained; });
  EXPECT_TRUE(drained);
  workers.push_back(std::make_unique<Server>(Accept));
  Start();
  RunUntil([&] { return Sent() == 1; });
  EXPECT_EQ(News("j1", "s-0", "done"), 200);
  EXPECT_TRUE(Becomes(*waits.answers[0].Find("Location"), "served"));
}

// What is in memory is bounded by what the module may have, however many jobs there are; all of
// them are served all the same, and what waits in the store can be seen and given up.
TEST_F(Durable, AFloodWaitsInTheStore) {
  policy.max_in_flight = 4;
  policy.initial_backlog_window = 2;
  Start();
  std::vector<std::string> paths;
  for (int i = 0; i < 40; ++i) {
    paths.push_back(Take("j" + std::to_string(i)));
    EXPECT_LE(life->keeper.records(), 8u);
  }
  EXPECT_NE(Get(paths[30]).find("queued"), std::string::npos);
  EXPECT_NE(Call("DELETE", paths[31]).find("cancelled"), std::string::npos);
  workers.push_back(std::make_unique<Server>(Accept));
  ListWorkers();
  for (std::size_t done = 0; done < 39; ++done) {
    RunUntil([&] { return Sent() > done; });
    ASSERT_GT(Sent(), done);
    EXPECT_LE(life->keeper.records(), 16u);
    EXPECT_EQ(News(*workers[0]->got[done].Find("X-Request-ID"), "s-0", "done"), 200);
  }
  for (std::size_t i = 0; i < paths.size(); ++i)
    EXPECT_TRUE(Becomes(paths[i], i == 31 ? "cancelled" : "served"));
  RunFor(50 * kMs);
  EXPECT_EQ(Sent(), 39u) << "one was given up while it waited in the store";
  EXPECT_EQ(life->keeper.records(), 0u);
}

// One that waits in the store ends when its time is over, though the module never saw it.
TEST_F(Durable, TimeRunsOutInTheStoreToo) {
  policy.max_in_flight = policy.initial_backlog_window = 1;
  Start();
  std::vector<std::string> paths;
  for (int i = 0; i < 5; ++i)
    paths.push_back(Take("j" + std::to_string(i), "commit", "", "60000m"));
  const std::string brief = Take("brief", "commit", "", "300m");
  EXPECT_TRUE(Becomes(brief, "failed"));
  EXPECT_NE(Get(paths[4]).find("queued"), std::string::npos);
}

// An ordinary request has the id of a durable job that waits: one is open at a time, and the
// durable one has its turn when the other has ended.
TEST_F(Durable, AnOrdinaryRequestOfItsIdHoldsItUp) {
  Start();
  const std::string path = Take("same");
  life.reset();
  workers.push_back(std::make_unique<Server>(Accept));
  life = std::make_unique<Life>(path_, policy, nullptr);
  Caller ordinary(life->front.port());
  ordinary.SendJob("same");
  RunUntil([&] { return life->node.IsOpen("same"); });
  ListWorkers();
  RunUntil([&] { return Sent() == 1; });
  EXPECT_EQ(workers[0]->got[0].Find("X-Fence"), nullptr);
  EXPECT_EQ(News("same", "s-0", "done"), 200);
  EXPECT_EQ(ordinary.Status(), 200);
  RunUntil([&] { return Sent() == 2; });
  ASSERT_EQ(Sent(), 2u);
  EXPECT_EQ(*workers[0]->got[1].Find("X-Fence"), "1");
  EXPECT_EQ(News("same", "s-0", "done"), 200);
  EXPECT_TRUE(Becomes(path, "served"));
}

// A node that keeps durable jobs, its crash and its recovery, as its capture tells them: every
// segment replays, decision for decision.
TEST_F(Durable, CapturesReplayAcrossACrash) {
  policy.lease = 300 * kMs;
  const CaptureSettings settings{.folder = folder_ + "/captures", .flush_every = 5 * kMs};
  for (int i = 0; i < 2; ++i) workers.push_back(std::make_unique<Server>(Accept));
  const auto start = [&] {
    life.reset();
    life = std::make_unique<Life>(path_, policy, nullptr);
    life->node.SetCapture(settings, "test", 1);
    ListWorkers();
  };
  start();
  std::vector<std::string> paths;
  for (int i = 0; i < 3; ++i)
    paths.push_back(Take("j" + std::to_string(i), "sync", "k" + std::to_string(i)));
  const std::string once = Take("j9");
  RunUntil([&] { return Sent() >= 2; });
  start();  // some of them run, some wait
  bool all = false;
  for (int round = 0; round < 100 && !all; ++round) {
    all = true;
    for (std::size_t i = 0; i < paths.size(); ++i) {
      if (Get(paths[i]).find("served") != std::string::npos) continue;
      all = false;
      for (const char* at : {"s-0", "s-1"}) News("j" + std::to_string(i), at, "done");
    }
    RunFor(10 * kMs);
  }
  EXPECT_TRUE(all);
  life->node.SetCapture(std::nullopt, "test", 1);
  life.reset();
  std::uint64_t decisions = 0, adopted = 0;
  for (const auto& file : fs::directory_iterator(folder_ + "/captures")) {
    if (file.path().extension() != ".prcap") continue;
    capture::Segment segment(file.path().string()), again(file.path().string());
    const capture::Replayed r = capture::Replay(&segment, {});
    EXPECT_FALSE(r.difference) << file.path();
    EXPECT_EQ(r.damage, "");
    decisions += r.decisions;
    for (capture::Turn t; again.Next(&t);)
      for (const dispatch::Event& e : t.events)
        adopted += std::holds_alternative<dispatch::AttemptAdopted>(e) ? 1 : 0;
  }
  EXPECT_GT(decisions, 8u);
  EXPECT_GT(adopted, 0u) << "the crash left nothing to adopt";
}

// The end is told until it is heard; an address that may not be called is refused at the door.
TEST_F(Durable, TheEndIsToldToTheCallback) {
  workers.push_back(std::make_unique<Server>(Accept));
  Start();
  int calls = 0;
  Server listener(
      [&](const Message&) { return http::WriteResponse(++calls == 1 ? 500 : 204, {}, "", false); });
  Caller caller(life->front.port());
  const std::string head = "Prefer: respond-async\r\nX-Callback-Url: ";
  caller.SendJob("j0", "commit", "9000m", head + "http://10.0.0.1:80/x\r\n");
  EXPECT_EQ(caller.Status(), 400);
  caller.SendJob("j1", "commit", "9000m", head + "http://" + listener.address() + "/told?a=1\r\n");
  EXPECT_EQ(caller.Status(1), 202);
  RunUntil([&] { return Sent() == 1; });
  EXPECT_EQ(News("j1", "s-0", "done"), 200);
  RunUntil([&] { return calls == 2; });
  ASSERT_EQ(calls, 2) << "said again after a 500";
  EXPECT_EQ(listener.got[1].target, "/told?a=1");
  EXPECT_NE(listener.got[1].body.find("\"result\":\"r-j1\""), std::string::npos);
  RunUntil([&] { return CountOf("callbacks_told") > 0; });
  Start();
  RunFor(100 * kMs);
  EXPECT_EQ(calls, 2) << "told is told, also after a start";
}

TEST(CallbackUrl, OnlyNumbersAndOnlyWhatIsAllowed) {
  EXPECT_TRUE(ReadCallbackUrl("http://127.0.0.1:80/x", {}));
  EXPECT_TRUE(ReadCallbackUrl("http://[::1]:80", {}));
  EXPECT_TRUE(ReadCallbackUrl("http://10.1.2.3:80/jobs/1", {"http://10.1.2.3:80/jobs/"}));
  for (const char* url :
       {"http://10.1.2.3:80/other", "https://127.0.0.1:80/", "http://localhost:80/",
        "http://127.0.0.1/", "http://127.0.0.1:80@10.1.1.1:80/", "ftp://x", "",
        "http://127.0.0.1:80/a b", "http://127.0.0.1:80/\r\nX: y"})
    EXPECT_FALSE(ReadCallbackUrl(url, {"http://10.1.2.3:80/jobs/"})) << url;
}

// What lies on the disk after each sync of a job's life is what a kill right then would leave:
// between its intake and its intent, between the intent and the first byte, between the start and
// the result, after the result. A node begins on each such image. What the workers were sent before
// the kill is known only to them: the next life must send the job again where no intent was
// written, and nowhere else; and as long as none was, nothing may have reached a worker.
TEST_F(Durable, KilledAfterAnySyncItGoesOnFromThere) {
  std::atomic<int> images = 0, reached = 0;
  std::vector<int> reached_by;  // a worker, when the image was made
  workers.push_back(std::make_unique<Server>([&](const Message& m) {
    ++reached;
    return Accept(m);
  }));
  Start([&](job_store::Stage s) {
    if (s != job_store::Stage::kSync) return std::string();
    g_usleep(20'000);  // what goes out too early has time to arrive
    reached_by.push_back(reached);
    const std::string image = folder_ + "/image-" + std::to_string(images++);
    for (const char* part : {"", "-wal"})
      if (fs::exists(path_ + part)) fs::copy_file(path_ + part, image + part);
    return std::string();
  });
  const std::string path = Take("j1");
  RunUntil([&] { return Sent() == 1; });
  EXPECT_EQ(News("j1", "s-0", "started"), 200);
  EXPECT_EQ(News("j1", "s-0", "done"), 200);
  EXPECT_TRUE(Becomes(path, "served"));
  life.reset();
  policy.lease = 200 * kMs;
  std::map<std::string, int> seen;
  for (int i = 0; i < images; ++i) {
    path_ = folder_ + "/image-" + std::to_string(i);
    std::vector<job_state::Job> held;
    job_store::OpenSqlite({.path = path_, .owner = "n0", .fault = {}})->Load([&](job_state::Job j) {
      held.push_back(std::move(j));
    });
    if (held.empty()) continue;  // before the intake
    const bool intent = !held[0].attempts.empty(), started = intent && held[0].attempts[0].started;
    const bool ended = job_state::IsEnd(held[0].state);
    const std::string at = ended ? "result" : started ? "start" : intent ? "intent" : "intake";
    ++seen[at];
    const int before = reached_by[static_cast<std::size_t>(i)];
    EXPECT_TRUE(before == 0 || (at != "intake" && at != "intent")) << "sent before its intent";
    workers.clear();
    workers.push_back(std::make_unique<Server>(Accept));
    Start();
    EXPECT_TRUE(Becomes(path, at == "intake" ? "running" : ended ? "served" : "in doubt")) << at;
    if (at == "intake") RunUntil([&] { return Sent() == 1; });
    RunFor(50 * kMs);
    EXPECT_EQ(Sent(), at == "intake" ? 1u : 0u) << "killed after the " << at;
    life.reset();
  }
  for (const char* at : {"intake", "intent", "start", "result"})
    EXPECT_GT(seen[at], 0) << "no kill after the " << at;
}

// The worker said that a `once` job failed, that was acknowledged, and the node died before the end
// stood in the store: the next life knows that it failed, and neither doubts nor repeats.
TEST_F(Durable, AFailureSaidBeforeTheKillIsNoDoubt) {
  workers.push_back(std::make_unique<Server>(Accept));
  Start();
  const std::string path = Take("j1");
  RunUntil([&] { return Sent() == 1; });
  life.reset();
  {
    const auto store = job_store::OpenSqlite({.path = path_, .owner = "n0", .fault = {}});
    job_state::Job job = store->AskNow(job_store::ByRequest{"j1"}).jobs.at(0);
    job.attempts[0].execution = job_state::ExecutionState::kDone;
    store->Submit({{job_store::PutAttempt{job.seq, job.attempts[0]}}, nullptr});
  }
  Start();
  EXPECT_TRUE(Becomes(path, "failed"));
  RunFor(50 * kMs);
  EXPECT_EQ(Sent(), 1u);
}

// The worker's machine tells the end while no node is there, and says it again until one is.
TEST_F(Durable, NewsToldWhileTheNodeIsDownFindsTheNextOne) {
  workers.push_back(std::make_unique<Server>(Accept));
  Start();
  const std::string path = Take("j1");
  RunUntil([&] { return Sent() == 1; });
  EXPECT_EQ(News("j1", "s-0", "started"), 200);
  const std::string other = Take("j2");
  RunUntil([&] { return Sent() == 2; });
  const std::string address = "127.0.0.1:" + std::to_string(life->front.port());
  life.reset();
  lab::NewsAgent agent(address);
  const auto told = [](const std::string& id) {
    return R"({"id":")" + id + R"(","from":"s-0","state":"done","result":"late )" + id + "\"}";
  };
  agent.Tell("j1", told("j1"));
  RunFor(300 * kMs);  // refused at least once
  EXPECT_EQ(agent.told, 0u);
  policy.lease = 500 * kMs;
  Start({}, address);
  RunUntil([&] { return agent.waiting() == 0; });
  EXPECT_EQ(agent.told, 1u);
  EXPECT_NE(Get(path).find("late j1"), std::string::npos) << Get(path);
  // All ten tries of the other one were in vain: at most once, and the doubt is shown.
  EXPECT_TRUE(Becomes(other, "in doubt"));
  EXPECT_EQ(Sent(), 2u);
}

// Ordinary jobs pass through a keeper as through the node itself.
TEST_F(Durable, OrdinaryJobsPassThrough) {
  workers.push_back(std::make_unique<Server>(Accept));
  Start();
  Caller client(life->front.port());
  client.SendJob("o1", "commit");
  RunUntil([&] { return Sent() == 1; });
  EXPECT_EQ(workers[0]->got[0].Find("X-Fence"), nullptr);
  EXPECT_EQ(News("o1", "s-0", "done"), 200);
  EXPECT_EQ(client.Status(), 200);
  EXPECT_EQ(life->keeper.records(), 0u);
}

}  // namespace
}  // namespace pearreach
