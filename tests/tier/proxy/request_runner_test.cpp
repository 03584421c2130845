// Jobs against workers that follow scripts: what each of a worker's ways to answer, fail or keep
// silent comes to, and how often workers are asked.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "proxy_rig.h"

namespace pearreach::proxy {
namespace {

struct EndCase {
  const char* name;
  std::vector<ScriptedWorker::Step> steps;  // of one worker
  bool idempotent;
  RequestEnd end;
  int status;  // passed on, 0: none
  std::size_t calls;
};

std::string NameOf(RequestEnd end) {
  return std::string(1, static_cast<char>('0' + static_cast<int>(end)));
}

std::string HeaderOf(const ScriptedWorker::Call& call, const char* name) {
  const std::string* value = call.request.Find(name);
  return value == nullptr ? "" : *value;
}

class JobRunnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobRunnerTest);
  CPPUNIT_TEST(PassesOnAnAnswer);
  CPPUNIT_TEST(EndsAsTheWorkerSays);
  CPPUNIT_TEST(GoesToAnotherWorkerAfterAPromise);
  CPPUNIT_TEST(RepeatsAtAnotherWorker);
  CPPUNIT_TEST(EverySendOfARequestIsForTheSameTenant);
  CPPUNIT_TEST(RefusesWithoutWorkers);
  CPPUNIT_TEST(RefusesWhatCannotBeInTime);
  CPPUNIT_TEST(RefusedConnectionIsNotRun);
  CPPUNIT_TEST(TimesOut);
  CPPUNIT_TEST(CancelClosesTheConnection);
  CPPUNIT_TEST(ReusesConnections);
  CPPUNIT_TEST(HeedsClose);
  CPPUNIT_TEST(SkipsSurplusAnswers);
  CPPUNIT_TEST(BytesAfterAnAnswerEndTheConnection);
  CPPUNIT_TEST(DrainingWorkersGetNothing);
  CPPUNIT_TEST(AnotherWorkerAtTheAddressIsDropped);
  CPPUNIT_TEST(NewClassesKeepJobs);
  CPPUNIT_TEST(BulkRoomFollowsSlots);
  CPPUNIT_TEST(BulkGoesOneByOneAfterAStart);
  CPPUNIT_TEST(BulkRoomFollowsTheNodes);
  CPPUNIT_TEST(BulkWithoutRoomGoesBack);
  CPPUNIT_TEST(BulkRunsOnceThereIsRoom);
  CPPUNIT_TEST(LeavesASilentWorkerForAnother);
  CPPUNIT_TEST(SharedPromptsGoToOneWorkerWhileThereIsRoom);
  CPPUNIT_TEST(LargeSharedPromptsMeetAtOneWorker);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PassesOnAnAnswer() {
    Rig rig;
    ScriptedWorker& worker =
        rig.Add({Answer(200, "X-Seal: s1\r\nX-Other: o\r\nKeep-Alive: timeout=5\r\n", "bytes")});
    RequestSpec spec = PlainJob();
    spec.headers.push_back({"X-Deadline-Ms", "99999"});
    const auto sink = rig.Run(spec);
    CPPUNIT_ASSERT_EQUAL(1, sink->heads);
    CPPUNIT_ASSERT_EQUAL(200, sink->status);
    CPPUNIT_ASSERT_EQUAL(std::string("bytes"), sink->body);
    CPPUNIT_ASSERT(sink->result.end == RequestEnd::kComplete);
    const auto has = [&](const char* name) {
      return std::any_of(sink->headers.begin(), sink->headers.end(),
                         [&](const http::Header& h) { return http::SameName(h.name, name); });
    };
    CPPUNIT_ASSERT(has("X-Seal") && has("X-Other") && !has("Keep-Alive") && !has("Content-Length"));
    const ScriptedWorker::Call& call = worker.calls().at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), call.request.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/p/1?q=2"), call.request.target);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), call.request.body);
    CPPUNIT_ASSERT_EQUAL(worker.id(), HeaderOf(call, "X-Target-Worker"));
    CPPUNIT_ASSERT_EQUAL(std::string("h.example"), HeaderOf(call, "Host"));
    const int left = std::stoi(HeaderOf(call, "X-Deadline-Ms"));
    CPPUNIT_ASSERT(left > 1000 && left <= 5000);
  }

  void EndsAsTheWorkerSays() {
    const std::string id = "a1";
    const std::vector<EndCase> cases = {
        {"own failure", {Answer(500, "", "why")}, false, RequestEnd::kComplete, 500, 1},
        {"404", {Answer(404, "", "no")}, false, RequestEnd::kComplete, 404, 1},
        {"no stamp", {Answer(200, "", "x")}, false, RequestEnd::kFailed, 0, 1},
        {"503 without promise", {Answer(503, "", "")}, false, RequestEnd::kFailed, 0, 1},
        {"429 without promise", {Answer(429, "", "")}, false, RequestEnd::kFailed, 0, 1},
        {"408", {Answer(408, "", "")}, false, RequestEnd::kFailed, 0, 1},
        {"cut", {Close()}, false, RequestEnd::kFailed, 0, 1},
        {"truncated",
         {Bytes("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nab",
                true)},
         false,
         RequestEnd::kFailed,
         0,
         1},
        {"garbage", {Bytes("\x01\x02 nothing\r\n\r\n", false)}, false, RequestEnd::kFailed, 0, 1},
        {"failure repeated", {Answer(500, "", "why")}, true, RequestEnd::kComplete, 500, 2},
        {"failure, then good",
         {Answer(500, "", "why"), Good("ok")},
         true,
         RequestEnd::kComplete,
         200,
         2},
        {"cut, then good", {Close(), Good("ok")}, true, RequestEnd::kComplete, 200, 2},
        {"cut twice", {Close()}, true, RequestEnd::kFailed, 0, 2},
        {"full after a run", {Close(), NotRun(503)}, true, RequestEnd::kFailed, 0, 0},
    };
    for (const EndCase& c : cases) {
      Rig rig;
      rig.Add(c.steps);
      RequestSpec spec = c.idempotent ? RepeatableJob() : PlainJob();
      const auto sink = rig.Run(spec);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, 1, sink->ends);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, NameOf(c.end), NameOf(sink->result.end));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.status, sink->status);
      if (c.calls > 0) CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.calls, rig.Calls());
    }
  }

  void GoesToAnotherWorkerAfterAPromise() {
    for (const int status : {503, 429, 400, 421}) {
      Rig rig;
      rig.Add({NotRun(status)});
      rig.Add({NotRun(status)});
      const auto refused = rig.Run(PlainJob());
      CPPUNIT_ASSERT_EQUAL(NameOf(RequestEnd::kNotRun), NameOf(refused->result.end));
      CPPUNIT_ASSERT(refused->result.retry_after > 0);
      CPPUNIT_ASSERT(rig.Calls() >= 1 && rig.Calls() <= 5);
    }
    Rig rig;
    ScriptedWorker& full = rig.Add({NotRun(503)});
    ScriptedWorker& good = rig.Add({Good("ok")});
    for (int i = 0; i < 8; ++i) {
      const auto sink = rig.Run(PlainJob());
      CPPUNIT_ASSERT_EQUAL(NameOf(RequestEnd::kComplete), NameOf(sink->result.end));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, good.calls().size());
    CPPUNIT_ASSERT(full.calls().size() < 8);
  }

  void RepeatsAtAnotherWorker() {
    Rig rig;
    rig.Add({Answer(500, "", "no")});
    rig.Add({Answer(500, "", "no")});
    ScriptedWorker& good = rig.Add({Good("ok")});
    const auto sink = rig.Run(RepeatableJob(3));
    CPPUNIT_ASSERT(rig.Calls() <= 3);
    CPPUNIT_ASSERT(sink->status == 200 || good.calls().empty());
  }

  // UNASKED: a request that is sent again says the same tenant, once, and the new worker's name.
  void EverySendOfARequestIsForTheSameTenant() {
    Rig rig;
    const std::vector<ScriptedWorker::Step> steps = {Close(), NotRun(503), Answer(500, "", "no"),
                                                     Good("ok")};
    std::size_t sends = 0;
    const ScriptedWorker::Step next = [&](ScriptedWorker::Call& call) {
      const std::size_t step = std::min(sends++, steps.size() - 1);
      steps[step](call);
    };
    rig.Add({next});
    rig.Add({next});
    RequestSpec spec = RepeatableJob(4);
    spec.headers.push_back({"X-Tenant", "acme"});
    CPPUNIT_ASSERT_EQUAL(200, rig.Run(spec)->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, rig.Calls());
    for (const auto& worker : rig.scripted) {
      for (const ScriptedWorker::Call& call : worker->calls()) {
        const auto tenants = std::count_if(
            call.request.headers.begin(), call.request.headers.end(),
            [](const http::Header& header) { return http::SameName(header.name, "X-Tenant"); });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, static_cast<std::ptrdiff_t>(tenants));
        CPPUNIT_ASSERT_EQUAL(std::string("acme"), HeaderOf(call, "X-Tenant"));
        CPPUNIT_ASSERT_EQUAL(worker->id(), HeaderOf(call, "X-Target-Worker"));
      }
    }
  }

  void RefusesWithoutWorkers() {
    Rig rig;
    const auto sink = std::make_shared<NotingSink>();
    rig.runner->Submit(PlainJob(), sink);
    CPPUNIT_ASSERT_EQUAL(0, sink->ends);  // never from inside Submit
    CPPUNIT_ASSERT(RunUntil([&] { return sink->ends > 0; }, kSecond));
    CPPUNIT_ASSERT_EQUAL(NameOf(RequestEnd::kNotRun), NameOf(sink->result.end));
    CPPUNIT_ASSERT(sink->result.retry_after > 0);
  }

  void RefusesWhatCannotBeInTime() {
    Rig rig;
    rig.Add({Good("ok")});
    RequestSpec spec = PlainJob();
    spec.deadline = Now() + kMs;
    const auto sink = rig.Run(spec);
    CPPUNIT_ASSERT_EQUAL(NameOf(RequestEnd::kNotRun), NameOf(sink->result.end));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig.Calls());
  }

  void RefusedConnectionIsNotRun() {
    Rig rig;
    registry::WorkerRecord nobody;
    {
      ScriptedWorker gone("gone", {Silence()});
      nobody = gone.Record();
    }
    rig.workers.Put(nobody);
    const auto sink = rig.Run(PlainJob());
    CPPUNIT_ASSERT_EQUAL(NameOf(RequestEnd::kNotRun), NameOf(sink->result.end));
    rig.Add({Good("ok")});
    const auto served = rig.Run(PlainJob());
    CPPUNIT_ASSERT_EQUAL(200, served->status);
  }

  void TimesOut() {
    Rig rig;
    ScriptedWorker& worker = rig.Add({Silence()});
    RequestSpec spec = RepeatableJob();
    spec.deadline = Now() + 100 * kMs;
    const auto sink = rig.Run(spec);
    CPPUNIT_ASSERT_EQUAL(NameOf(RequestEnd::kTimeout), NameOf(sink->result.end));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rig.Calls());
    CPPUNIT_ASSERT(RunUntil([&] { return worker.closed_by_peer() == 1; }));
  }

  void CancelClosesTheConnection() {
    Rig rig;
    ScriptedWorker& worker = rig.Add({Silence()});
    const auto sink = rig.Submit(PlainJob());
    CPPUNIT_ASSERT(RunUntil([&] { return rig.Calls() == 1; }));
    rig.runner->Cancel(rig.last_job);
    CPPUNIT_ASSERT(RunUntil([&] { return worker.closed_by_peer() == 1; }));
    CPPUNIT_ASSERT_EQUAL(0, sink->ends);
    rig.runner->Cancel(rig.last_job);  // again, and of a job that waits
    rig.Submit(PlainJob());
    rig.runner->Cancel(rig.last_job);
    RunFor(50 * kMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rig.Calls());
  }

  void ReusesConnections() {
    Rig rig;
    ScriptedWorker& worker = rig.Add({Good("ok")});
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, rig.Run(PlainJob("a" + std::to_string(i)))->status);
    }
    CPPUNIT_ASSERT_EQUAL(1, worker.connections());
    worker.CloseAll();  // while idle
    CPPUNIT_ASSERT_EQUAL(200, rig.Run(PlainJob("a5"))->status);
    CPPUNIT_ASSERT_EQUAL(2, worker.connections());
  }

  void HeedsClose() {
    for (const char* header : {"Connection: close\r\n", "Keep-Alive: timeout=0\r\n"}) {
      Rig rig;
      ScriptedWorker& worker = rig.Add({Answer(200, std::string("X-Seal: s\r\n") + header, "ok")});
      rig.Run(PlainJob("a1"));
      rig.Run(PlainJob("a2"));
      CPPUNIT_ASSERT_EQUAL(2, worker.connections());
    }
  }

  void SkipsSurplusAnswers() {
    Rig rig;
    const auto late = [](ScriptedWorker::Call& call) {
      call.stream->Write(AnswerText("older", 200, "X-Seal: s\r\n", "not yours"));
      call.stream->Write(AnswerText(IdOf(call), 200, "X-Seal: s\r\n", "yours"));
    };
    ScriptedWorker& worker = rig.Add({Good("first"), late, Good("third")});
    CPPUNIT_ASSERT_EQUAL(std::string("first"), rig.Run(PlainJob("a1"))->body);
    CPPUNIT_ASSERT_EQUAL(std::string("yours"), rig.Run(PlainJob("a2"))->body);
    CPPUNIT_ASSERT_EQUAL(std::string("third"), rig.Run(PlainJob("a3"))->body);
    CPPUNIT_ASSERT_EQUAL(2, worker.connections());  // not trusted after that
  }

  void BytesAfterAnAnswerEndTheConnection() {
    Rig rig;
    const auto more = [](ScriptedWorker::Call& call) {
      call.stream->Write(AnswerText(IdOf(call), 200, "X-Seal: s\r\n", "ok") + "and more");
    };
    ScriptedWorker& worker = rig.Add({more});
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), rig.Run(PlainJob("a1"))->body);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), rig.Run(PlainJob("a2"))->body);
    CPPUNIT_ASSERT_EQUAL(2, worker.connections());
  }

  void DrainingWorkersGetNothing() {
    Rig rig;
    ScriptedWorker& leaving = rig.Add({Good("ok")});
    ScriptedWorker& staying = rig.Add({Good("ok")});
    rig.Run(PlainJob());
    const std::size_t before = leaving.calls().size();
    const auto sink = rig.Submit(PlainJob());  // decided on before the drain is heard, or after
    registry::WorkerRecord record = leaving.Record();
    record.phase = registry::WorkerPhase::kDraining;
    rig.workers.Put(record);
    CPPUNIT_ASSERT(RunUntil([&] { return sink->ends > 0; }));
    for (int i = 0; i < 6; ++i) CPPUNIT_ASSERT_EQUAL(200, rig.Run(PlainJob())->status);
    CPPUNIT_ASSERT_EQUAL(before, leaving.calls().size());
    CPPUNIT_ASSERT(staying.calls().size() >= 7);
  }

  void AnotherWorkerAtTheAddressIsDropped() {
    Rig rig;
    ScriptedWorker& other = rig.Add({Answer(421, "", ""), Good("ok")});
    CPPUNIT_ASSERT_EQUAL(NameOf(RequestEnd::kNotRun), NameOf(rig.Run(PlainJob())->result.end));
    CPPUNIT_ASSERT_EQUAL(NameOf(RequestEnd::kNotRun), NameOf(rig.Run(PlainJob())->result.end));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.calls().size());
    registry::WorkerRecord record = other.Record();
    record.call_seq = 2;  // it was heard of anew
    rig.workers.Put(record);
    RunFor(50 * kMs);
    CPPUNIT_ASSERT_EQUAL(200, rig.Run(PlainJob())->status);
  }

  void NewClassesKeepJobs() {
    Rig rig;
    std::vector<ScriptedWorker::Call> waiting;
    rig.Add({[&](ScriptedWorker::Call& call) { waiting.push_back(call); }});
    std::vector<std::shared_ptr<NotingSink>> sinks;
    for (int i = 0; i < 4; ++i) {
      RequestSpec spec = PlainJob("id" + std::to_string(i));
      spec.rank = i;  // a class of its own each
      sinks.push_back(rig.Submit(spec));
      CPPUNIT_ASSERT(RunUntil([&] { return waiting.size() == static_cast<std::size_t>(i) + 1; }));
    }
    for (ScriptedWorker::Call& call : waiting)
      call.stream->Write(AnswerText(IdOf(call), 200, "X-Seal: s\r\n", "for " + IdOf(call)));
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT(RunUntil([&] { return sinks[static_cast<std::size_t>(i)]->ends == 1; }));
      CPPUNIT_ASSERT_EQUAL("for id" + std::to_string(i), sinks[static_cast<std::size_t>(i)]->body);
    }
  }

  void BulkRoomFollowsSlots() {
    Rig rig;
    CPPUNIT_ASSERT_EQUAL(0, rig.runner->BulkCapacity("svc"));
    rig.Add({Silence()});
    CPPUNIT_ASSERT_EQUAL(1, rig.runner->BulkCapacity("svc"));  // not used yet
    rig.Add({Silence()});
    RequestSpec spec = PlainJob();
    spec.bulk = true;
    rig.Submit(spec);
    CPPUNIT_ASSERT(RunUntil([&] { return rig.Calls() == 1; }));
    CPPUNIT_ASSERT_EQUAL(5, rig.runner->BulkCapacity("svc"));  // 0.85 of 8 slots, one in use
    for (int i = 0; i < 5; ++i) rig.Submit(PlainJob());
    CPPUNIT_ASSERT(RunUntil([&] { return rig.Calls() == 6; }));
    CPPUNIT_ASSERT_EQUAL(0, rig.runner->BulkCapacity("svc"));
  }

  // A node that has just started takes itself for the only one.
  void BulkGoesOneByOneAfterAStart() {
    Rig rig(10 * kSecond);
    for (int i = 0; i < 2; ++i) rig.Add({Silence()});
    RequestSpec spec = PlainJob();
    spec.bulk = true;
    rig.Submit(spec);
    CPPUNIT_ASSERT(RunUntil([&] { return rig.Calls() == 1; }));
    CPPUNIT_ASSERT_EQUAL(0, rig.runner->BulkCapacity("svc"));
  }

  void BulkRoomFollowsTheNodes() {
    Rig rig;
    for (int i = 0; i < 2; ++i) rig.Add({Good("ok")});
    rig.Run(PlainJob());
    CPPUNIT_ASSERT(rig.runner->BulkCapacity("svc") > 3);  // 0.85 of 8 slots
    for (const char* name : {"me", "other"}) {
      rig.control.members_[name].status = coordination::MemberStatus::kAlive;
      rig.control.members_[name].info.roles = coordination::MemberInfo::kServesEdge;
    }
    const auto halved = [&] {
      rig.Run(PlainJob());
      return rig.runner->BulkCapacity("svc") == 3;
    };
    CPPUNIT_ASSERT(RunUntil(halved, kSecond));
  }

  // An item that was taken before the room was used up goes back unrun, while live jobs go on.
  void BulkWithoutRoomGoesBack() {
    Rig rig;
    rig.Add({Silence()});
    for (int i = 0; i < 3; ++i) rig.Submit(PlainJob());  // 0.85 of 4 slots
    CPPUNIT_ASSERT(RunUntil([&] { return rig.Calls() == 3; }));
    RequestSpec item = PlainJob();
    item.bulk = true;
    const auto sink = rig.Run(item);
    CPPUNIT_ASSERT_EQUAL(NameOf(RequestEnd::kNotRun), NameOf(sink->result.end));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, rig.Calls());
  }

  void BulkRunsOnceThereIsRoom() {
    Rig rig;
    std::vector<ScriptedWorker::Call> waiting;
    rig.Add({[&](ScriptedWorker::Call& call) { waiting.push_back(call); }});
    for (int i = 0; i < 3; ++i) rig.Submit(PlainJob());
    CPPUNIT_ASSERT(RunUntil([&] { return waiting.size() == 3; }));
    RequestSpec item = PlainJob("item");
    item.bulk = true;
    rig.Submit(item);
    Good("ok")(waiting.front());
    CPPUNIT_ASSERT(RunUntil([&] { return waiting.size() == 4; }));
    CPPUNIT_ASSERT_EQUAL(std::string("item"), IdOf(waiting.back()));
  }

  void LeavesASilentWorkerForAnother() {
    Rig rig;
    std::size_t calls = 0;
    const auto first_silent = [&](ScriptedWorker::Call& call) {
      if (calls++ > 0) Good("ok")(call);
    };
    rig.Add({first_silent});
    rig.Add({first_silent});
    RequestSpec spec = RepeatableJob();
    const auto sink = rig.Run(spec);
    CPPUNIT_ASSERT_EQUAL(200, sink->status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, calls);
  }

  void SharedPromptsGoToOneWorkerWhileThereIsRoom() {
    Rig rig;
    for (int i = 0; i < 4; ++i) rig.Add({Silence()});
    RequestSpec spec = PlainJob();
    spec.prefix_key = 77;
    spec.shared_tokens = 5000;
    std::vector<std::shared_ptr<NotingSink>> sinks;
    for (int i = 0; i < 16; ++i) sinks.push_back(rig.Submit(spec));  // as many as there are slots
    CPPUNIT_ASSERT(RunUntil([&] { return rig.Calls() == 16; }, kSecond));
    for (const auto& worker : rig.scripted) CPPUNIT_ASSERT(worker->calls().size() <= 8);
  }

  void LargeSharedPromptsMeetAtOneWorker() {
    Rig rig;
    for (int i = 0; i < 6; ++i) rig.Add({Good("ok")});
    RequestSpec spec = PlainJob();
    spec.prefix_key = 77;
    spec.shared_tokens = 5000;
    spec.own_tokens = 100;
    rig.Run(spec);  // makes its class known
    std::vector<std::size_t> before;
    for (const auto& worker : rig.scripted) before.push_back(worker->calls().size());
    for (int i = 0; i < 8; ++i) CPPUNIT_ASSERT_EQUAL(200, rig.Run(spec)->status);
    std::size_t used = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
      used += rig.scripted[i]->calls().size() > before[i] ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, used);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobRunnerTest);

}  // namespace
}  // namespace pearreach::proxy
