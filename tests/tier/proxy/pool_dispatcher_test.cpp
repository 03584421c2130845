// How the admission of one service starts, grows and keeps to the homes of a placement.
#include "tier/proxy/pool_dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

#include "proxy_rig.h"

namespace pearreach::proxy {
namespace {

class NotingClient final : public PlacementClient {
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
  // One job after the other, each served: they raise the limit.
  void Serve(int count, std::vector<dispatch::WorkerId> preferred = {}) {
    for (int i = 0; i < count; ++i) {
      const PlacementId id = Enqueue(preferred);
      CPPUNIT_ASSERT(RunUntil([&] { return client.placed.contains(id); }));
      dispatcher.OnEnded(id, dispatch::Outcome::kGood, kMs, {});
    }
    client.placed.clear();
  }
  // Those that were placed in the turn that takes in what has arrived, before any check.
  std::size_t PlacedAtOnce() {
    bool turned = false;
    timers.After(0, [&] { turned = true; });
    RunUntil([&] { return turned; });
    return client.placed.size();
  }

  Timers timers;
  ServiceWorkers workers;
  NotingClient client;
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
  // 32 slots are free, yet only the one job that an empty limit lets through is sent at first.
  void LimitStartsAtZero() {
    Pool pool(4);
    for (int i = 0; i < 8; ++i) pool.Enqueue();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.PlacedAtOnce());
    CPPUNIT_ASSERT(pool.dispatcher.IsLimitGrowing());
  }

  void BacklogRaisesTheLimit() {
    Pool pool(4);
    for (int i = 0; i < 8; ++i) pool.Enqueue();
    CPPUNIT_ASSERT(pool.AwaitPlaced(8));  // none has ended
    CPPUNIT_ASSERT_EQUAL(0, pool.client.refused);
  }

  void ServedJobsRaiseTheLimit() {
    Pool pool(4);
    pool.Serve(4);
    for (int i = 0; i < 12; ++i) pool.Enqueue();
    const std::size_t at_once = pool.PlacedAtOnce();
    CPPUNIT_ASSERT(at_once >= 2 && at_once <= 4);
  }

  void NewSettingsKeepTheLimit() {
    Pool pool(4);
    pool.Serve(4);
    pool.dispatcher.SetFleetPosition({2, 1});
    for (int i = 0; i < 12; ++i) pool.Enqueue();
    const std::size_t at_once = pool.PlacedAtOnce();
    CPPUNIT_ASSERT(at_once >= 2 && at_once <= 4);
  }

  void PrefersHomesInOrder() {
    Pool pool(6);
    pool.Serve(4, {3, 5});
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
    pool.Serve(4, {2, 3});
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
    pool.Serve(1, {1});
    for (int i = 0; i < 8; ++i) pool.Enqueue({1});
    CPPUNIT_ASSERT(pool.PlacedAtOnce() <= 2);
    CPPUNIT_ASSERT(pool.AwaitPlaced(8));
    for (const auto& [id, worker] : pool.client.placed)  // the wait is no reason to go elsewhere
      CPPUNIT_ASSERT_EQUAL(dispatch::WorkerId{1}, worker);
    CPPUNIT_ASSERT_EQUAL(0, pool.client.refused);
  }

  // A job sent to a home raises the limit like any other.
  void OutcomesOfHomesCount() {
    Pool pool(4);
    pool.Serve(1, {1});
    pool.Serve(6, {1});
    for (int i = 0; i < 12; ++i) pool.Enqueue();
    CPPUNIT_ASSERT(pool.PlacedAtOnce() >= 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolDispatcherTest);

}  // namespace
}  // namespace pearreach::proxy
