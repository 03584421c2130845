// PoolDispatcher: start and growth of the concurrency limit, and preferred workers of a placement.
#include "tier/proxy/pool_dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

#include "proxy_rig.h"

namespace pearreach::proxy {
namespace {

class RecordingClient final : public PlacementClient {
 public:
  void OnPlaced(PlacementId placement, dispatch::WorkerId worker) override {
    placed[placement] = worker;
  }
  void OnRefused(PlacementId, Micros) override { ++refused; }

  std::map<PlacementId, dispatch::WorkerId> placed;
  int refused = 0;
};

struct Pool {
  explicit Pool(int count) : workers(&timers, "here"), dispatcher(&timers, &workers, "svc", 7) {
    workers.BeginUpdate();
    for (int i = 0; i < count; ++i) workers.Update(Record(i));
    dispatcher.OnWorkers(workers.EndUpdate());
  }
  static registry::WorkerRecord Record(int number) {
    registry::WorkerRecord record;
    record.worker_id = "w" + std::to_string(number);
    record.service = "svc";
    record.address = "127.0.0.1:9";
    record.zone = "here";
    record.capacity = 8;
    record.call_seq = 1;
    return record;
  }
  PlacementId Enqueue(std::vector<dispatch::WorkerId> preferred = {}) {
    Placement placement;
    placement.traffic_class.target = 200 * kMs;
    placement.traffic_class.streamed = true;
    placement.deadline = Now() + 5 * kSecond;
    placement.preferred = std::move(preferred);
    return dispatcher.Enqueue(placement, &client);
  }
  bool AwaitPlaced(std::size_t count) {
    return RunUntil([&] { return client.placed.size() >= count; }, 2 * kSecond);
  }
  // Places and completes requests one after the other, which raises the limit.
  void ServeRequests(int count, std::vector<dispatch::WorkerId> preferred = {}) {
    for (int i = 0; i < count; ++i) {
      const PlacementId id = Enqueue(preferred);
      CPPUNIT_ASSERT(RunUntil([&] { return client.placed.contains(id); }));
      dispatcher.OnEnded(id, dispatch::Outcome::kGood, kMs, {});
    }
    client.placed.clear();
  }
  // Number of requests placed in the first run after the enqueues, before any periodic check.
  std::size_t PlacedInFirstRun() {
    bool has_run = false;
    timers.After(0, [&] { has_run = true; });
    RunUntil([&] { return has_run; });
    return client.placed.size();
  }

  Timers timers;
  ServiceWorkers workers;
  RecordingClient client;
  PoolDispatcher dispatcher;
};

class PoolDispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoolDispatcherTest);
  CPPUNIT_TEST(LimitStartsAtZero);
  CPPUNIT_TEST(BacklogRaisesTheLimit);
  CPPUNIT_TEST(ServedJobsRaiseTheLimit);
  CPPUNIT_TEST(NewSettingsKeepTheLimit);
  CPPUNIT_TEST(PrefersHomesInOrder);
  CPPUNIT_TEST(PassesOverHomesOutOfService);
  CPPUNIT_TEST(HomesWaitUnderTheLimitToo);
  CPPUNIT_TEST(OutcomesOfHomesCount);
  CPPUNIT_TEST_SUITE_END();

 public:
  // 32 slots are free, but a limit of zero lets only one request pass at first.
  void LimitStartsAtZero() {
    Pool pool(4);
    for (int i = 0; i < 8; ++i) pool.Enqueue();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.PlacedInFirstRun());
    CPPUNIT_ASSERT(pool.dispatcher.IsLimitGrowing());
  }

  void BacklogRaisesTheLimit() {
    Pool pool(4);
    for (int i = 0; i < 8; ++i) pool.Enqueue();
    CPPUNIT_ASSERT(pool.AwaitPlaced(8));  // no request has ended yet
    CPPUNIT_ASSERT_EQUAL(0, pool.client.refused);
  }

  void ServedJobsRaiseTheLimit() {
    Pool pool(4);
    pool.ServeRequests(4);
    for (int i = 0; i < 12; ++i) pool.Enqueue();
    const std::size_t at_once = pool.PlacedInFirstRun();
    CPPUNIT_ASSERT(at_once >= 2 && at_once <= 4);
  }

  void NewSettingsKeepTheLimit() {
    Pool pool(4);
    pool.ServeRequests(4);
    pool.dispatcher.SetFleetPosition({2, 1});
    for (int i = 0; i < 12; ++i) pool.Enqueue();
    const std::size_t at_once = pool.PlacedInFirstRun();
    CPPUNIT_ASSERT(at_once >= 2 && at_once <= 4);
  }

  void PrefersHomesInOrder() {
    Pool pool(6);
    pool.ServeRequests(4, {3, 5});
    for (int i = 0; i < 8; ++i) {
      const PlacementId id = pool.Enqueue({3, 5});
      CPPUNIT_ASSERT(pool.AwaitPlaced(1));
      CPPUNIT_ASSERT_EQUAL(dispatch::WorkerId{3}, pool.client.placed.at(id));
      pool.dispatcher.OnEnded(id, dispatch::Outcome::kGood, kMs, {});
      pool.client.placed.clear();
    }
  }

  void PassesOverHomesOutOfService() {
    Pool pool(4);
    pool.ServeRequests(4, {2, 3});
    pool.workers.BeginUpdate();
    for (int i = 0; i < 2; ++i) pool.workers.Update(Pool::Record(i));
    pool.workers.Update(Pool::Record(3));
    pool.dispatcher.OnWorkers(pool.workers.EndUpdate());
    const PlacementId second = pool.Enqueue({2, 3});
    CPPUNIT_ASSERT(pool.AwaitPlaced(1));
    CPPUNIT_ASSERT_EQUAL(dispatch::WorkerId{3}, pool.client.placed.at(second));
    const PlacementId any = pool.Enqueue({2});
    CPPUNIT_ASSERT(pool.AwaitPlaced(2));
    CPPUNIT_ASSERT(pool.client.placed.at(any) != 2);
  }

  void HomesWaitUnderTheLimitToo() {
    Pool pool(4);
    pool.ServeRequests(1, {1});
    for (int i = 0; i < 8; ++i) pool.Enqueue({1});
    CPPUNIT_ASSERT(pool.PlacedInFirstRun() <= 2);
    CPPUNIT_ASSERT(pool.AwaitPlaced(8));
    // waiting does not make another worker preferable
    for (const auto& [id, worker] : pool.client.placed)
      CPPUNIT_ASSERT_EQUAL(dispatch::WorkerId{1}, worker);
    CPPUNIT_ASSERT_EQUAL(0, pool.client.refused);
  }

  // A request at a preferred worker raises the limit like any other.
  void OutcomesOfHomesCount() {
    Pool pool(4);
    pool.ServeRequests(1, {1});
    pool.ServeRequests(6, {1});
    for (int i = 0; i < 12; ++i) pool.Enqueue();
    CPPUNIT_ASSERT(pool.PlacedInFirstRun() >= 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolDispatcherTest);

}  // namespace
}  // namespace pearreach::proxy
