// Seeded runs of the forwarding path against workers that duplicate responses, delay the copy until
// the next request is on the connection, respond early, without a length or not at all, close or
// reset the connection at any byte, or send unsolicited bytes. A client must never get the response
// to another request (MIXED), a call that runs twice (TWICE) or a guarantee that does not hold
// (REFUSED), and a worker must never get a request that was not sent (UNASKED). Each run counts the
// faults that occurred.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <random>

#include "tier/proxy/proxy_rig.h"
#include "tier/seeds.h"

namespace pearreach::proxy {
namespace {

constexpr int kRequests = 12;
constexpr std::size_t kLargeBodyBytes = 256 << 10;  // larger than one read

// Number of occurrences over all seeds.
struct Tally {
  int surplus_before_response = 0, surplus_while_idle = 0, same_id_again = 0, cut = 0, early = 0,
      unframed = 0, not_run = 0, reset = 0, complete = 0, refused = 0;
};

// Draws a fault for each response and records which calls ran.
class FaultyWorkers {
 public:
  FaultyWorkers(std::uint64_t seed, Tally* tally) : random_(seed), tally_(tally) {}

  // Responds before the body has arrived, with a guarantee or a success.
  ScriptedWorker::EarlyStep EarlyStep() {
    return [this](const std::string& head, Stream* stream) {
      constexpr std::string_view kIdHeader = "X-Attempt-Id: ";
      const std::size_t at = head.find(kIdHeader);
      if (at == std::string::npos || !Chance(50)) return false;
      const std::size_t begin = at + kIdHeader.size();
      const std::string id = head.substr(begin, head.find("\r\n", begin) - begin);
      ++tally_->early;
      if (Chance(50)) {
        ++tally_->not_run;
        stream->Write(ResponseText(id, 503, "X-Not-Run: full\r\n", ""));
        return true;
      }
      ++runs_[id];
      stream->Write(ResponseText(id, 200, "X-Seal: s\r\n", BodyOf(id)));
      return true;
    };
  }
  ScriptedWorker::Step Step() {
    return [this](ScriptedWorker::Call& call) { Respond(call); };
  }
  int RunsOf(const std::string& id) const {
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }
  static std::string BodyOf(const std::string& id) { return "body of " + id; }
  static std::string RequestBodyOf(const std::string& id) { return "request " + id + " "; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Connection {
    std::string delayed_copy, delayed_id;
  };

  bool Chance(int percent) { return static_cast<int>(random_() % 100) < percent; }

  void Respond(ScriptedWorker::Call& call) {
    const std::string id = IdOf(call);
    CheckRequest(call, id);
    Connection& connection = connections_[call.stream.get()];
    // The delayed copy arrives where the response to this request is expected.
    if (!connection.delayed_copy.empty()) {
      ++tally_->surplus_before_response;
      tally_->same_id_again += connection.delayed_id == id ? 1 : 0;
      call.stream->Write(std::exchange(connection.delayed_copy, ""));
    }
    const int choice = static_cast<int>(random_() % 100);
    if (choice < 30) return Refuse(call, id, &connection);
    ++runs_[id];
    if (choice < 45) return CutConnection(call, id);
    if (choice < 55) return RespondWithoutLength(call, id);
    const std::string response = ResponseText(id, 200, "X-Seal: s\r\n", BodyOf(id));
    call.stream->Write(response);
    Duplicate(call, response, id, &connection);
  }
  void Refuse(ScriptedWorker::Call& call, const std::string& id, Connection* connection);
  void CutConnection(ScriptedWorker::Call& call, const std::string& id);
  void RespondWithoutLength(ScriptedWorker::Call& call, const std::string& id);
  void Duplicate(ScriptedWorker::Call& call, const std::string& response, const std::string& id,
                 Connection* connection);
  void CheckRequest(const ScriptedWorker::Call& call, const std::string& id);

  std::mt19937_64 random_;
  Tally* tally_;
  std::map<std::string, int> runs_;
  std::map<Stream*, Connection> connections_;
  std::vector<std::string> violations_;
};

// Responds with a 503 and X-Not-Run; a copy of it may be delayed.
void FaultyWorkers::Refuse(ScriptedWorker::Call& call, const std::string& id,
                           Connection* connection) {
  ++tally_->not_run;
  const std::string response = ResponseText(id, 503, "X-Not-Run: full\r\n", "");
  call.stream->Write(response);
  Duplicate(call, response, id, connection);
}

void FaultyWorkers::Duplicate(ScriptedWorker::Call& call, const std::string& response,
                              const std::string& id, Connection* connection) {
  if (Chance(40)) {
    connection->delayed_copy = response;
    connection->delayed_id = id;
  } else if (Chance(20)) {
    ++tally_->surplus_while_idle;
    call.stream->Write(response);
  }
}

// Closes or resets the connection at a random byte of the response.
void FaultyWorkers::CutConnection(ScriptedWorker::Call& call, const std::string& id) {
  const std::string response = ResponseText(id, 200, "X-Seal: s\r\n", BodyOf(id));
  call.stream->Write(response.substr(0, random_() % response.size()));
  ++tally_->cut;
  if (Chance(50)) return call.stream->CloseAfterWrite();
  ++tally_->reset;
  call.stream->ResetOnClose();
  call.stream->Close();
}

// Sends a response that is ended by the close of the connection; a reset leaves it incomplete.
void FaultyWorkers::RespondWithoutLength(ScriptedWorker::Call& call, const std::string& id) {
  ++tally_->unframed;
  const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Seal: s\r\n\r\n";
  const std::string body = BodyOf(id);
  if (Chance(50)) {
    call.stream->Write(head + body);
    return call.stream->CloseAfterWrite();
  }
  call.stream->Write(head + body.substr(0, random_() % body.size()));
  call.stream->ResetOnClose();
  call.stream->Close();
}

void FaultyWorkers::CheckRequest(const ScriptedWorker::Call& call, const std::string& id) {
  const http::Message& request = call.request;
  const bool is_intact =
      request.method == "POST" && request.target == "/p/" + id &&
      request.body.substr(0, RequestBodyOf(id).size()) == RequestBodyOf(id) &&
      request.body.find_first_not_of('x', RequestBodyOf(id).size()) == std::string::npos;
  if (!is_intact) violations_.push_back("UNASKED: " + request.method + " " + request.target);
}

RequestSpec RequestOf(const std::string& id, bool idempotent, std::size_t padding = 0) {
  RequestSpec spec = idempotent ? IdempotentRequest(3) : PlainRequest();
  spec.headers = {{"Host", "h.example"}, {"X-Attempt-Id", id}};
  spec.target = "/p/" + id;
  spec.body = FaultyWorkers::RequestBodyOf(id) + std::string(padding, 'x');
  spec.attempt_id = id;
  spec.deadline = Now() + kSecond;
  return spec;
}

class ForwardingFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardingFaultsTest);
  CPPUNIT_TEST(TestSeededRuns);
  CPPUNIT_TEST(TestALateCopyOfAPromiseIsNoPromise);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestSeededRuns() {
    Tally tally;
    for (std::uint64_t seed = FirstSeed(); seed < SeedsEnd(60); ++seed) RunSeed(seed, &tally);
    CPPUNIT_ASSERT(tally.surplus_before_response > 0);
    CPPUNIT_ASSERT(tally.surplus_while_idle > 0);
    CPPUNIT_ASSERT(tally.cut > 0 && tally.reset > 0);
    CPPUNIT_ASSERT(tally.unframed > 0);
    CPPUNIT_ASSERT(tally.early > 0);
    CPPUNIT_ASSERT(tally.complete > 0);
    CPPUNIT_ASSERT(tally.refused > 0);
    fmt::print(
        stderr,
        "forwarding faults: {} answers after a copy of an earlier one, {} copies at once, {} "
        "refusals, {} cut, {} of them by a reset, {} without a length, {} early; {} jobs "
        "complete, {} refused\n",
        tally.surplus_before_response, tally.surplus_while_idle, tally.not_run, tally.cut,
        tally.reset, tally.unframed, tally.early, tally.complete, tally.refused);
    // An attempt never uses a connection with a copy of a response to an earlier attempt of the
    // same request.
    CPPUNIT_ASSERT_EQUAL(0, tally.same_id_again);
  }

  // The worker refuses the request and sends a copy of the refusal when the same request is on the
  // connection again. Taken for the response to the second attempt, the copy would allow a third
  // one although the second has run.
  void TestALateCopyOfAPromiseIsNoPromise() {
    for (const bool idempotent : {false, true}) {
      Rig rig;
      int runs = 0;
      const auto refuse = NotRun(503);
      const auto late_copy = [&](ScriptedWorker::Call& call) {
        if (call.connection == 0) {  // the reused connection
          call.stream->Write(ResponseText(IdOf(call), 503, "X-Not-Run: full\r\n", ""));
        }
        ++runs;
        call.stream->Write(ResponseText(IdOf(call), 200, "X-Seal: s\r\n", "ran"));
      };
      ScriptedWorker& worker = rig.Add({refuse, late_copy});
      const auto sink = rig.Run(RequestOf("a1", idempotent));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, worker.calls().size());
      CPPUNIT_ASSERT_EQUAL(1, runs);
      CPPUNIT_ASSERT(sink->result.end == RequestEnd::kComplete);
      CPPUNIT_ASSERT_EQUAL(std::string("ran"), sink->body);
      CPPUNIT_ASSERT_EQUAL(1, worker.calls()[1].connection);
    }
  }

 private:
  static void RunSeed(std::uint64_t seed, Tally* tally) {
    Rig rig;
    FaultyWorkers workers(seed, tally);
    for (int i = 0; i < 2; ++i) rig.Add({workers.Step()}).SetEarlyStep(workers.EarlyStep());
    std::map<std::string, std::shared_ptr<RecordingSink>> sinks;
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = fmt::format("j{}-{}", seed, i);
      sinks[id] = rig.Submit(RequestOf(id, i % 2 == 0, i % 3 == 0 ? kLargeBodyBytes : 0));
    }
    CPPUNIT_ASSERT(RunUntil([&] {
      return std::all_of(sinks.begin(), sinks.end(),
                         [](const auto& entry) { return entry.second->ends > 0; });
    }));
    CPPUNIT_ASSERT_MESSAGE(workers.violations().empty() ? "" : workers.violations().front(),
                           workers.violations().empty());
    for (const auto& [id, sink] : sinks) Check(id, *sink, workers, tally);
  }
  static void Check(const std::string& id, const RecordingSink& sink, const FaultyWorkers& workers,
                    Tally* tally) {
    const int runs = workers.RunsOf(id);
    const bool idempotent = (id.back() - '0') % 2 == 0;
    if (!idempotent) CPPUNIT_ASSERT_MESSAGE("TWICE: " + id, runs <= 1);
    if (sink.result.end == RequestEnd::kNotRun) {
      ++tally->refused;
      CPPUNIT_ASSERT_EQUAL_MESSAGE("REFUSED: " + id, 0, runs);
    }
    if (sink.result.end != RequestEnd::kComplete) return;
    ++tally->complete;
    CPPUNIT_ASSERT_EQUAL_MESSAGE("MIXED: " + id, FaultyWorkers::BodyOf(id), sink.body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingFaultsTest);

}  // namespace
}  // namespace pearreach::proxy
