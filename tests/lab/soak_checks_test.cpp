// Each rule of the soak finds a history that breaks it, and leaves one alone that does not.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "lab/soak/checks.h"
#include "lab/soak/configuration_history.h"
#include "lab/soak/fleet.h"
#include "lab/soak/request_log.h"

namespace pearreach::soak {
namespace {

constexpr Microseconds kStart = 1000 * kSecond;
constexpr Microseconds kLeavingFor = 60 * kSecond;
constexpr Microseconds kLate = kStart + 60 * kSecond;  // all versions have been applied

class SoakChecksTest : public testing::Test {
 protected:
  SoakChecksTest() : fleet_(FleetOptions()), edge_(fleet_.Of(Member::Kind::kEdge).front()) {
    Configuration first;
    first.tenants["one"] = {{"key-one", "key-moves"}, 0, 0};
    first.tenants["two"] = {{"key-two", "key-goes"}, 0, 0};
    first.tenants["limited"] = {{"key-limited"}, 2, 0};
    AddVersion(first, 1, kStart);
    Configuration second = first;
    second.tenants["one"].keys = {"key-one"};
    second.tenants["two"].keys = {"key-two", "key-moves"};
    second.has_extra_route = false;
    AddVersion(second, 2, kStart + 10 * kSecond);
  }

  void AddVersion(const Configuration& configuration, std::uint64_t number, Microseconds at) {
    versions_.push_back({configuration, number, at, at + kMillisecond, false});
  }

  SentRequest Sent(const std::string& id, const std::string& key, Microseconds at, int status) {
    SentRequest request;
    request.attempt_id = id;
    request.key = key;
    request.node = edge_;
    request.sent_at = at;
    request.ended_at = at + 50 * kMillisecond;
    request.status = status;
    request.complete = status != 0;
    request.promises_not_run = status == 401 || status == 429 || status == 503;
    return request;
  }

  void Ran(const std::string& id, const std::string& tenant, Microseconds at,
           bool authorized = false) {
    runs_.push_back({at + 10 * kMillisecond, id, tenant, authorized, nullptr});
  }

  // The rules with findings, in order, a blank after each.
  std::string Findings() {
    CheckRun(versions_, fleet_, runs_, &log_);
    std::string rules;
    for (const std::string& finding : log_.findings())
      rules += finding.substr(0, finding.find(':')) + " ";
    return rules;
  }

  Fleet fleet_;
  Member* const edge_;
  std::vector<Version> versions_;
  std::vector<WorkerRun> runs_;
  RequestLog log_;
};

TEST_F(SoakChecksTest, AllowsWhatTheVersionsInForceAllow) {
  log_.Add(Sent("a", "key-one", kLate, 200));
  Ran("a", "one", kLate);
  log_.Add(Sent("b", "key-moves", kLate, 200));
  Ran("b", "two", kLate);
  log_.Add(Sent("c", "key-goes", kLate, 401));
  log_.Add(Sent("d", "key-unknown", kLate, 401));
  // The second version may not be applied yet.
  const Microseconds early = kStart + 10 * kSecond + kApply / 2;
  log_.Add(Sent("e", "key-moves", early, 200));
  Ran("e", "one", early);
  EXPECT_EQ(Findings(), "");
}

TEST_F(SoakChecksTest, FindsAForgedTenant) {
  log_.Add(Sent("a", "key-one", kLate, 200));
  Ran("a", "two", kLate);
  EXPECT_EQ(Findings(), "UNASKED ");
}

TEST_F(SoakChecksTest, FindsAKeyPassedToAWorker) {
  log_.Add(Sent("a", "key-one", kLate, 200));
  Ran("a", "one", kLate, /*authorized=*/true);
  EXPECT_EQ(Findings(), "UNASKED ");
}

TEST_F(SoakChecksTest, FindsAnIdThatWasNeverSent) {
  Ran("a", "one", kLate);
  EXPECT_EQ(Findings(), "UNASKED ");
}

TEST_F(SoakChecksTest, FindsAnUnknownKeyThatRan) {
  log_.Add(Sent("a", "key-unknown", kLate, 200));
  Ran("a", "-", kLate);
  EXPECT_EQ(Findings(), "ROUTE ");
}

TEST_F(SoakChecksTest, FindsAWithdrawnKeyThatRan) {
  versions_.back().configuration.tenants["two"].keys.erase("key-goes");
  log_.Add(Sent("a", "key-goes", kLate, 200));
  Ran("a", "two", kLate);
  EXPECT_EQ(Findings(), "CONFIG ");
}

TEST_F(SoakChecksTest, FindsAKeyThatRanAsItsFormerTenant) {
  log_.Add(Sent("a", "key-moves", kLate, 200));
  Ran("a", "one", kLate);
  EXPECT_EQ(Findings(), "CONFIG ");
}

TEST_F(SoakChecksTest, FindsARemovedRouteThatRan) {
  SentRequest request = Sent("a", "key-one", kLate, 200);
  request.kind = RequestKind::kExtra;
  log_.Add(request);
  Ran("a", "one", kLate);
  EXPECT_EQ(Findings(), "CONFIG ");
}

TEST_F(SoakChecksTest, FindsAValidKeyThatWasRefused) {
  log_.Add(Sent("a", "key-one", kLate, 401));
  log_.Add(Sent("b", "key-one", kLate, 404));
  EXPECT_EQ(Findings(), "CONFIG CONFIG ");
}

TEST_F(SoakChecksTest, HoldsNoNodeWithAFaultToAnOlderVersion) {
  log_.Add(Sent("a", "key-moves", Now(), 200));
  Ran("a", "one", Now());
  edge_->BeginDisturbance(/*abrupt=*/true);
  versions_[0].sent_at = versions_[1].sent_at = 0;
  EXPECT_EQ(Findings(), "");
}

TEST_F(SoakChecksTest, FindsAnEffectfulRequestThatRanTwice) {
  SentRequest request = Sent("a", "key-one", kLate, 200);
  request.kind = RequestKind::kEffectful;
  log_.Add(request);
  Ran("a", "one", kLate);
  Ran("a", "one", kLate);
  EXPECT_EQ(Findings(), "TWICE ");
}

TEST_F(SoakChecksTest, FindsARefusedRequestThatRan) {
  for (const int status : {429, 503}) {
    log_.Add(Sent(std::to_string(status), "key-limited", kLate, status));
    Ran(std::to_string(status), "limited", kLate);
  }
  EXPECT_EQ(Findings(), "REFUSED REFUSED ");
}

TEST_F(SoakChecksTest, FindsARequestThatRanAndGotNoAnswer) {
  log_.Add(Sent("a", "key-one", kLate, 0));
  Ran("a", "one", kLate);
  EXPECT_EQ(Findings(), "LOST ");
}

TEST_F(SoakChecksTest, FindsWhatALeavingNodeOwes) {
  AddVersion(versions_[0].configuration, 1, Now() - kLeavingFor);
  edge_->BeginDisturbance(/*abrupt=*/false);
  const Microseconds signal = Now();
  const auto cut = [&](const std::string& id, Microseconds sent, Microseconds ended, bool ran) {
    SentRequest request = Sent(id, "key-one", signal + sent, 0);
    request.ended_at = signal + ended;
    if (ran) Ran(id, "one", signal + sent);
    return request;
  };
  const Microseconds last_sixth = edge_->grace() * 5 / 6;
  log_.Add(cut("in the last sixth", kSecond, last_sixth + kMillisecond, true));
  log_.Add(cut("crosses the close", kSecond, kSecond + 150 * kMillisecond, false));
  SentRequest late = cut("deadline is over", kSecond, 5 * kSecond, true);
  late.deadline = 4 * kSecond;
  log_.Add(late);
  SentRequest partial = cut("not sent whole", kSecond, 5 * kSecond, false);
  partial.sent = false;
  log_.Add(partial);
  EXPECT_EQ(Findings(), "");
  log_.Add(cut("sent too late", 4 * kSecond, last_sixth + kMillisecond, true));
  log_.Add(cut("before the last sixth", kSecond, last_sixth - kMillisecond, true));
  log_.Add(cut("read, not run", kSecond, 2 * kSecond, false));
  EXPECT_EQ(Findings(), "LOST LOST LOST ");
}

TEST_F(SoakChecksTest, ExcusesAnswersThatTheirWorkerBrokeOff) {
  log_.Add(Sent("a", "key-one", Now(), 0));
  AddVersion(versions_[0].configuration, 1, Now() - kLeavingFor);
  Member* const worker = fleet_.Of(Member::Kind::kWorker).front();
  runs_.push_back({Now(), "a", "one", false, worker});
  worker->BeginDisturbance(/*abrupt=*/true);
  EXPECT_EQ(Findings(), "");
}

TEST_F(SoakChecksTest, FindsAStreamThatEndsInAnEvent) {
  SentRequest request = Sent("a", "key-one", kLate, 200);
  request.kind = RequestKind::kStreamed;
  for (const bool inside : {false, true}) {
    request.ends_inside_event = inside;
    log_.Add(request);
  }
  request.complete = false;  // the client can tell
  log_.Add(request);
  EXPECT_EQ(Findings(), "ORDER ");
}

TEST_F(SoakChecksTest, FindsAnItemOfABatchJobEndedLongBefore) {
  SentRequest job = Sent("job", "key-one", kLate, 202);
  job.kind = RequestKind::kBatch;
  job.items = {"in-time", "late"};
  job.end_acknowledged_at = kLate + kSecond;
  log_.Add(job);
  Ran("in-time", "one", kLate + 3 * kSecond);
  Ran("late", "one", kLate + 5 * kSecond);
  EXPECT_EQ(Findings(), "UNASKED ");
}

TEST_F(SoakChecksTest, HoldsNobodyToTheEndOfABatchJobJustAfterTroubleOfANode) {
  SentRequest job = Sent("job", "key-one", Now() - 10 * kSecond, 202);
  job.kind = RequestKind::kBatch;
  job.items = {"late"};
  job.end_acknowledged_at = Now() - 5 * kSecond;
  log_.Add(job);
  versions_[0].sent_at = versions_[1].sent_at = 0;
  versions_[0].acknowledged_at = versions_[1].acknowledged_at = 0;
  fleet_.Of(Member::Kind::kStore).front()->BeginDisturbance(/*abrupt=*/true);
  Ran("late", "one", Now());
  EXPECT_EQ(Findings(), "");
}

TEST_F(SoakChecksTest, ExcusesItemsThatAFrozenWorkerReadsOnceItGoesOn) {
  SentRequest job = Sent("job", "key-one", Now() - 10 * kSecond, 202);
  job.kind = RequestKind::kBatch;
  job.items = {"at-frozen", "at-sound"};
  job.end_acknowledged_at = Now() - 5 * kSecond;
  log_.Add(job);
  versions_[0].sent_at = versions_[1].sent_at = 0;
  versions_[0].acknowledged_at = versions_[1].acknowledged_at = 0;
  const std::vector<Member*> workers = fleet_.Of(Member::Kind::kWorker);
  workers[0]->BeginDisturbance(/*abrupt=*/true);
  Ran("at-frozen", "one", Now());
  runs_.back().worker = workers[0];
  Ran("at-sound", "one", Now());
  runs_.back().worker = workers[1];
  EXPECT_EQ(Findings(), "UNASKED ");
}

TEST_F(SoakChecksTest, FindsAnUnlimitedTenantRefusedForItsLimit) {
  log_.Add(Sent("a", "key-limited", kLate, 429));
  EXPECT_EQ(Findings(), "");
  log_.Add(Sent("b", "key-one", kLate, 429));
  EXPECT_EQ(Findings(), "QUOTA ");
}

TEST_F(SoakChecksTest, CountsEachWindowOfALimitedTenant) {
  // (2 x 5 + 0) x 1.1 + 20 = 31 in 5 s.
  constexpr int kBound = 31;
  for (int each = 0; each < kBound; ++each) {
    const Microseconds at = kLate + each * 100 * kMillisecond;
    log_.Add(Sent(std::to_string(each), "key-limited", at, 200));
    Ran(std::to_string(each), "limited", at);
  }
  EXPECT_EQ(Findings(), "");
  log_.Add(Sent("one more", "key-limited", kLate + 4 * kSecond, 200));
  Ran("one more", "limited", kLate + 4 * kSecond);
  EXPECT_EQ(Findings(), "QUOTA ");
}

}  // namespace
}  // namespace pearreach::soak
