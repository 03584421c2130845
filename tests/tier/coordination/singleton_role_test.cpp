// A duty under an epoch: the rules of a holder alone, and days on which nodes are wrong about who
// is the first live one, frozen, cut off or killed. Checked: an epoch has one doer, and none acts
// below the greatest epoch that the control state has seen.
#include "tier/coordination/singleton_role.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <set>

#include "chain_cluster.h"

namespace pearreach::coordination {
namespace {

constexpr Micros kPause = 200 * kMillisecond;
constexpr char kDutyKey[] = "duty/test", kTableKey[] = "table";

// Nodes that do a duty over a chain cluster. Each is told who is the first live one and acts as
// long as it takes itself for the holder; a claim and an action reach the head some time after they
// were decided, as over a relay.
class DutyDay {
 public:
  DutyDay(std::uint64_t seed, double loss = 0) : cluster_(OptionsOf(seed, loss)) {}

  ChainCluster& cluster() { return cluster_; }
  // What each node takes for the first live one.
  std::function<std::string(const std::string&)> first = [this](const std::string& node) {
    return FirstLive(node);
  };

  bool Begin() {
    if (!cluster_.CommitsWithin(15 * kSecond)) return false;
    for (const std::string& name : cluster_.Names()) Turn(name);
    return cluster_.RunUntil(10 * kSecond, [&] { return !Holder().empty(); });
  }
  void RunFor(Micros span) { cluster_.RunFor(span); }

  // The holder by the newest map that anybody has: node, or nothing.
  std::string Holder() const {
    const SingletonRoleRecord record = Newest();
    return record.holder.substr(0, record.holder.find('#'));
  }
  std::uint64_t Epoch() const { return Newest().epoch; }
  std::size_t ActionsUnder(std::uint64_t epoch) const {
    std::size_t actions = 0;
    for (const Action& action : Actions()) actions += action.epoch == epoch ? 1 : 0;
    return actions;
  }

  // Empty: nothing is wrong.
  std::string Check() {
    std::string wrong;
    for (const std::string& finding : cluster_.history().findings()) wrong += finding + "; ";
    std::map<std::uint64_t, std::set<std::string>> doers;
    for (const Action& action : Actions()) {
      doers[action.epoch].insert(action.doer);
      if (action.epoch != action.greatest) {
        wrong += "epoch " + std::to_string(action.epoch) + " acted below " +
                 std::to_string(action.greatest) + "; ";
      }
    }
    for (const auto& [epoch, names] : doers) {
      if (names.size() > 1) wrong += "two doers of epoch " + std::to_string(epoch) + "; ";
    }
    return wrong;
  }

 private:
  struct Action {
    std::uint64_t epoch = 0, greatest = 0;  // the greatest epoch that its map shows
    std::string doer;
  };

  static ClusterOptions OptionsOf(std::uint64_t seed, double loss) {
    ClusterOptions options;
    options.seed = seed;
    options.loss = loss;
    return options;
  }

  SingletonRoleRecord Newest() const {
    if (cluster_.maps().empty()) return {};
    return RecordOf(*cluster_.maps().rbegin()->second);
  }
  static SingletonRoleRecord RecordOf(const Map& map) {
    const auto found = map.find(kDutyKey);
    if (found == map.end()) return {};
    const std::string& value = found->second.value;  // "HOLDER CLAIM"
    return {found->second.revision, value.substr(0, value.find(' '))};
  }

  // In the order of their revisions; each with the first map that shows it.
  std::vector<Action> Actions() const {
    std::vector<Action> actions;
    std::uint64_t last = 0;
    for (const auto& [version, map] : cluster_.maps()) {
      const auto found = map->find(kTableKey);
      if (found == map->end() || found->second.revision <= last) continue;
      last = found->second.revision;
      const std::string& value = found->second.value;  // "EPOCH DOER NUMBER"
      const std::size_t space = value.find(' ');
      actions.push_back({std::stoull(value), RecordOf(*map).epoch,
                         value.substr(space + 1, value.rfind(' ') - space - 1)});
    }
    return actions;
  }

  // By the peers as membership tells them, in the order of names.
  std::string FirstLive(const std::string& node) {
    for (const auto& [name, peer] : cluster_.machine(node).peers) {
      if (name < node && peer.alive) return name;
    }
    return node;
  }

  SingletonRole& DutyOf(const std::string& node) {
    const std::uint64_t life = cluster_.machine(node).life;
    auto& [known, duty] = duties_[node];
    if (duty == nullptr || known != life) {
      known = life;
      duty = std::make_unique<SingletonRole>(node + "#" + std::to_string(life), kPause);
    }
    return *duty;
  }

  // One look of a node; a frozen one looks when it thaws.
  void Turn(const std::string& node) {
    cluster_.At(cluster_.now() + Between(20, 60) * kMillisecond, [this, node] { Turn(node); });
    ChainCluster::Machine& machine = cluster_.machine(node);
    if (!machine.up() || machine.frozen || machine.gone) return;
    SingletonRole& duty = DutyOf(node);
    const auto map = machine.replica->committed();
    if (map) duty.Observe(RecordOf(*map));
    duty.SetCandidate(first(node) == node);
    if (const auto epoch = duty.NextClaim(cluster_.now())) Claim(node, *epoch);
    if (duty.owned_epoch() && map) Act(node, *duty.owned_epoch(), *map);
  }

  // A claim's outcome is lost on its way back now and then: it shows in the record then.
  void Claim(const std::string& node, std::uint64_t epoch) {
    const std::uint64_t life = cluster_.machine(node).life;
    const std::string value = node + "#" + std::to_string(life) + " " + std::to_string(++claims_);
    Relay({0, kDutyKey, epoch, value, {}});
    cluster_.At(cluster_.now() + kSecond, [this, node, life] {
      if (cluster_.machine(node).life != life) return;
      DutyOf(node).OnClaimCompleted(ChangeStatus::kUnavailable, 0);
    });
  }

  void Act(const std::string& node, std::uint64_t epoch, const Map& map) {
    const auto found = map.find(kTableKey);
    const std::uint64_t revision = found == map.end() ? 0 : found->second.revision;
    const std::string doer = node + "#" + std::to_string(cluster_.machine(node).life);
    const std::string value = std::to_string(epoch) + " " + doer + " " + std::to_string(++actions_);
    Relay({0, kTableKey, revision, value, {kDutyKey, epoch}});
  }

  // Some actions are late and reach the head long after.
  void Relay(ChangeRequest request) {
    const Micros delay = Between(0, 9) == 0 ? Between(100, 3000) : Between(1, 20);
    cluster_.At(cluster_.now() + delay * kMillisecond, [this, request = std::move(request)] {
      const std::string head = cluster_.HeadName();
      if (head.empty()) return;
      ChangeRequest current = request;
      const auto map =
          cluster_.machine(head).up() ? cluster_.machine(head).replica->committed() : nullptr;
      // A late action is tried on top of the newest table: only its epoch may keep it out.
      if (map != nullptr && request.key == kTableKey) {
        const auto found = map->find(kTableKey);
        current.expected = found == map->end() ? 0 : found->second.revision;
      }
      cluster_.TryRequest(head, std::move(current));
    });
  }

  Micros Between(Micros least, Micros most) {
    return std::uniform_int_distribution<Micros>(least, most)(cluster_.random());
  }

  ChainCluster cluster_;
  std::map<std::string, std::pair<std::uint64_t, std::unique_ptr<SingletonRole>>> duties_;
  std::uint64_t actions_ = 0, claims_ = 0;
};

class DutyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DutyTest);
  CPPUNIT_TEST(TakesADutyThatNobodyHolds);
  CPPUNIT_TEST(ActsOnlyWhileFirstAndNewest);
  CPPUNIT_TEST(AnUnclearClaimShowsInTheRecord);
  CPPUNIT_TEST(ClaimsAreSpaced);
  CPPUNIT_TEST(TheControlStateRefusesAnEarlierEpoch);
  CPPUNIT_TEST(HolderFrozenAndThawed);
  CPPUNIT_TEST(HolderCutOff);
  CPPUNIT_TEST(KilledRightAfterTakingOver);
  CPPUNIT_TEST(TwoClaimAtOnce);
  CPPUNIT_TEST(ViewsLag);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kSeeds = 30;

  static void Check(DutyDay& day, std::uint64_t seed) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(), day.Check());
  }

 public:
  void TakesADutyThatNobodyHolds() {
    SingletonRole duty("a#1", kPause);
    CPPUNIT_ASSERT(!duty.NextClaim(0));
    duty.SetCandidate(true);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, duty.NextClaim(0).value());
    CPPUNIT_ASSERT(!duty.owned_epoch());
    duty.OnClaimCompleted(ChangeStatus::kCommitted, 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, duty.owned_epoch().value());
    CPPUNIT_ASSERT(!duty.NextClaim(10 * kPause));
  }

  void ActsOnlyWhileFirstAndNewest() {
    SingletonRole duty("a#2", kPause);
    duty.SetCandidate(true);
    duty.Observe({4, "a#1"});  // an earlier process of this node
    CPPUNIT_ASSERT(!duty.owned_epoch());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, duty.NextClaim(0).value());
    duty.OnClaimCompleted(ChangeStatus::kCommitted, 5);
    duty.SetCandidate(false);
    CPPUNIT_ASSERT(!duty.owned_epoch());
    duty.SetCandidate(true);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, duty.owned_epoch().value());
    duty.Observe({6, "b#1"});
    CPPUNIT_ASSERT(!duty.owned_epoch());
    duty.Observe({5, "a#2"});  // late
    CPPUNIT_ASSERT(!duty.owned_epoch());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, duty.NextClaim(kPause).value());
  }

  void AnUnclearClaimShowsInTheRecord() {
    SingletonRole duty("a#1", kPause);
    duty.SetCandidate(true);
    duty.NextClaim(0);
    duty.OnClaimCompleted(ChangeStatus::kUnavailable, 0);
    CPPUNIT_ASSERT(!duty.owned_epoch());
    duty.Observe({1, "a#1"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, duty.owned_epoch().value());
  }

  void ClaimsAreSpaced() {
    SingletonRole duty("a#1", kPause);
    duty.SetCandidate(true);
    CPPUNIT_ASSERT(duty.NextClaim(0));
    CPPUNIT_ASSERT(!duty.NextClaim(kPause));  // still under way
    duty.OnClaimCompleted(ChangeStatus::kConflict, 3);
    CPPUNIT_ASSERT(!duty.NextClaim(kPause - 1));
    CPPUNIT_ASSERT(duty.NextClaim(kPause));
  }

  void TheControlStateRefusesAnEarlierEpoch() {
    ChainCluster cluster({});
    CPPUNIT_ASSERT(cluster.CommitsWithin(15 * kSecond));
    const std::string head = cluster.HeadName();
    const struct {
      ChangeRequest request;
      ChangeStatus status;
    } cases[] = {
        // A state in which the duty was never taken is that of epoch 0.
        {{0, kTableKey, 0, "t1", {kDutyKey, 0}}, ChangeStatus::kCommitted},
        {{0, kDutyKey, 0, "a", {}}, ChangeStatus::kCommitted},
        {{0, kTableKey, 1, "t2", {kDutyKey, 0}}, ChangeStatus::kFenced},
        {{0, kTableKey, 1, "t3", {kDutyKey, 1}}, ChangeStatus::kCommitted},
        {{0, kTableKey, 1, "t4", {kDutyKey, 1}}, ChangeStatus::kConflict},
        {{0, kTableKey, 2, "t5", {}}, ChangeStatus::kCommitted},  // an operator's
    };
    for (const auto& test : cases) {
      cluster.TryRequest(head, test.request);
      cluster.RunUntil(kSecond, [&] { return cluster.ResultOf(test.request.value).has_value(); });
      const auto result = cluster.ResultOf(test.request.value);
      CPPUNIT_ASSERT_MESSAGE(test.request.value, result.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.request.value, int(test.status), int(result->status));
    }
    // Given at once, a claim and an action under the epoch before do not share a version.
    cluster.TryRequest(head, {0, kDutyKey, 1, "b", {}});
    cluster.TryRequest(head, {0, kTableKey, 3, "t6", {kDutyKey, 1}});
    cluster.RunFor(kSecond);
    CPPUNIT_ASSERT_EQUAL(int(ChangeStatus::kCommitted), int(cluster.ResultOf("b")->status));
    CPPUNIT_ASSERT_EQUAL(int(ChangeStatus::kFenced), int(cluster.ResultOf("t6")->status));
  }

  void HolderFrozenAndThawed() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      DutyDay day(seed);
      CPPUNIT_ASSERT(day.Begin());
      const std::string holder = day.Holder();
      const std::uint64_t epoch = day.Epoch();
      day.cluster().Freeze(holder);
      CPPUNIT_ASSERT(day.cluster().RunUntil(10 * kSecond, [&] { return day.Holder() != holder; }));
      day.RunFor(kSecond);
      const std::size_t actions = day.ActionsUnder(epoch);
      day.cluster().Thaw(holder);
      day.RunFor(5 * kSecond);
      Check(day, seed);
      CPPUNIT_ASSERT_EQUAL(actions, day.ActionsUnder(epoch));
      CPPUNIT_ASSERT(day.ActionsUnder(day.Epoch()) > 0);
    }
  }

  void HolderCutOff() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      DutyDay day(seed);
      CPPUNIT_ASSERT(day.Begin());
      const std::string holder = day.Holder();
      for (const std::string& name : day.cluster().Names()) {
        if (name == holder) continue;
        day.cluster().Cut(holder, name);
        day.cluster().Cut(name, holder);
      }
      for (const std::string& name : day.cluster().Names()) {
        if (name == holder) continue;
        day.cluster().MisreportDead(name, holder);  // rightly, as nothing comes through
        day.cluster().MisreportDead(holder, name);
      }
      CPPUNIT_ASSERT(day.cluster().RunUntil(15 * kSecond, [&] { return day.Holder() != holder; }));
      const std::uint64_t epoch = day.Epoch();
      day.RunFor(kSecond);
      CPPUNIT_ASSERT(day.ActionsUnder(epoch) > 0);
      day.cluster().Heal();
      day.RunFor(5 * kSecond);
      Check(day, seed);
    }
  }

  void KilledRightAfterTakingOver() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      DutyDay day(seed);
      CPPUNIT_ASSERT(day.Begin());
      for (int round = 0; round < 3; ++round) {
        const std::string holder = day.Holder();
        const std::uint64_t epoch = day.Epoch();
        day.cluster().Crash(holder);
        const auto taken = [&] { return day.Epoch() > epoch; };
        CPPUNIT_ASSERT(day.cluster().RunUntil(15 * kSecond, taken));
        day.cluster().Start(holder);
        day.RunFor(2 * kSecond);
      }
      day.RunFor(5 * kSecond);
      Check(day, seed);
      CPPUNIT_ASSERT(day.ActionsUnder(day.Epoch()) > 0);
    }
  }

  // All take themselves for the first: each epoch still has one doer.
  void TwoClaimAtOnce() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      DutyDay day(seed, 0.05);
      day.first = [](const std::string& node) { return node; };
      CPPUNIT_ASSERT(day.Begin());
      day.RunFor(8 * kSecond);
      Check(day, seed);
      CPPUNIT_ASSERT(day.Epoch() > 3);
    }
  }

  // Every node takes another one for dead now and then.
  void ViewsLag() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      DutyDay day(seed, 0.02);
      CPPUNIT_ASSERT(day.Begin());
      const auto names = day.cluster().Names();
      for (int round = 0; round < 12; ++round) {
        const std::string& observer = names[round % names.size()];
        day.cluster().MisreportDead(observer, names[(seed + round) % names.size()]);
        day.RunFor(700 * kMillisecond);
      }
      day.RunFor(5 * kSecond);
      Check(day, seed);
      CPPUNIT_ASSERT(day.ActionsUnder(day.Epoch()) > 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DutyTest);

}  // namespace
}  // namespace pearreach::coordination
