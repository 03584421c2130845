#include "tier/control/control_node.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "tier/control/config_api.h"
#include "tier/control/fake_exchange.h"
#include "tier/control/sample_config.h"
#include "tier/control/virtual_environment.h"

namespace pearreach::control {
namespace {

using coordination::ChangeStatus;

constexpr int kQuorum = 3, kNonMembers = 2, kNodes = kQuorum + kNonMembers;

settings::NodeSettings SettingsOf(int index, bool bootstrap) {
  settings::NodeSettings settings;
  settings.node_name = "n" + std::to_string(index);
  settings.ip = "10.0.0." + std::to_string(index);
  settings.port_range = {7000, 7015};
  settings.seed_nodes = {"10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80"};
  settings.serves = {"edge"};
  if (index < kQuorum) settings.serves.push_back("control");
  settings.quorum_member = index < kQuorum;
  settings.bootstrap = bootstrap;
  settings.tolerance.machines = 1;
  return settings;
}

std::string AddressOf(int index) { return "10.0.0." + std::to_string(index) + ":7000"; }

class ControlNodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlNodeTest);
  CPPUNIT_TEST(DescribesItself);
  CPPUNIT_TEST(ChangeReachesAllNodes);
  CPPUNIT_TEST(RejectsChangeOfOldRevision);
  CPPUNIT_TEST(HasOneSingletonRoleCandidate);
  CPPUNIT_TEST(StateSurvivesRestartOfAllNodes);
  CPPUNIT_TEST(ReplacesPartitionedHead);
  CPPUNIT_TEST(ReplacesLostHead);
  CPPUNIT_TEST(ReportsUnavailableWithinTimeout);
  CPPUNIT_TEST(CommitsSoonAfterLosingHead);
  CPPUNIT_TEST(RecoversFromFullDisk);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    time_ = std::make_unique<VirtualTime>();
    network_ = std::make_unique<VirtualNetwork>(time_.get());
    incarnation_ = 0;
    for (int i = 0; i < kQuorum; ++i) {
      disks_[i] = std::make_unique<VirtualDisk>(time_.get(), "disk" + std::to_string(i));
    }
  }
  void tearDown() override {
    for (int i = 0; i < kNodes; ++i) Stop(i);
    network_.reset();
    time_.reset();
  }

  void DescribesItself() {
    const settings::NodeSettings quorum = SettingsOf(0, true);
    const auto self = DescribeSelf(quorum, disks_[0].get(), 9);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.0:7000"), self.address);
    CPPUNIT_ASSERT_EQUAL(std::string("disk0"), self.disk_id);
    CPPUNIT_ASSERT(self.Is(coordination::MemberInfo::kQuorumMember));
    CPPUNIT_ASSERT(!DescribeSelf(quorum, nullptr, 9).Is(coordination::MemberInfo::kQuorumMember));
    CPPUNIT_ASSERT_EQUAL(AddressOf(1), SeedAddresses(quorum)[1]);
  }

  void ChangeReachesAllNodes() {
    StartAll(true);
    for (int i = 0; i < kNodes; ++i) CPPUNIT_ASSERT(Node(i).Current()->routes == nullptr);
    for (int i = 0; i < kNodes; ++i) {
      const auto outcome = Change(i, i, SampleConfig(i + 1));
      CPPUNIT_ASSERT(outcome.has_value());
      CPPUNIT_ASSERT_EQUAL(int(ChangeStatus::kCommitted), int(outcome->status));
      time_->RunFor(100 * kMs);
      for (int j = 0; j < kNodes; ++j) {
        CPPUNIT_ASSERT(Node(j).Current()->routes != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(i + 1), Node(j).Current()->routes->version());
      }
    }
  }

  void RejectsChangeOfOldRevision() {
    StartAll(true);
    CPPUNIT_ASSERT_EQUAL(int(ChangeStatus::kCommitted), int(Change(3, 0, SampleConfig(1))->status));
    CPPUNIT_ASSERT_EQUAL(int(ChangeStatus::kConflict), int(Change(4, 0, SampleConfig(2))->status));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), LinearizableVersion(3));
  }

  void HasOneSingletonRoleCandidate() {
    StartAll(true);
    time_->RunFor(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(1, SingletonRoleCandidates());
    const int head = Head();
    network_->Isolate(AddressOf(head));
    time_->RunFor(1500 * kMs);
    CPPUNIT_ASSERT(!Node(head).IsSingletonRoleCandidate());
    time_->RunFor(15 * kSecond);
    CPPUNIT_ASSERT_EQUAL(1, SingletonRoleCandidates());
    CPPUNIT_ASSERT(!Node(head).IsSingletonRoleCandidate());
  }

  void StateSurvivesRestartOfAllNodes() {
    StartAll(true);
    Change(4, 0, SampleConfig(6));
    for (int i = 0; i < kNodes; ++i) Stop(i);
    time_->RunFor(kSecond);
    StartAll(false);
    for (int i = 0; i < kNodes; ++i) CPPUNIT_ASSERT_EQUAL(std::int64_t(6), LinearizableVersion(i));
    time_->RunFor(kSecond);
    for (int i = 0; i < kNodes; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::int64_t(6), Node(i).Current()->routes->version());
    }
    // A node without a disk knows nothing at first, and asks at once.
    Stop(4);
    Start(4, false);
    CPPUNIT_ASSERT(Node(4).Current()->routes == nullptr);
    time_->RunFor(50 * kMs);
    CPPUNIT_ASSERT(Node(4).Current()->routes != nullptr);
  }

  void ReplacesPartitionedHead() {
    StartAll(true);
    Change(4, 0, SampleConfig(1));
    const int head = Head();
    for (int i = 0; i < kQuorum; ++i) {
      if (i != head) network_->Partition(AddressOf(head), AddressOf(i));
    }
    // Nodes that still reach the old head are not kept back by it.
    time_->RunFor(15 * kSecond);
    CPPUNIT_ASSERT_EQUAL(int(ChangeStatus::kCommitted), int(ChangeUntil(4, 1, SampleConfig(2))));
    time_->RunFor(kSecond);
    for (int i = 0; i < kNodes; ++i) {
      if (i == head) continue;
      CPPUNIT_ASSERT_EQUAL(std::int64_t(2), Node(i).Current()->routes->version());
    }
    // The old head is sure of nothing by itself, and learns of it over the others.
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), Node(head).Current()->routes->version());
    network_->Heal();
    time_->RunFor(15 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), LinearizableVersion(head));
  }

  void ReplacesLostHead() {
    StartAll(true);
    Change(4, 0, SampleConfig(1));
    const int head = Head();
    Stop(head);
    time_->RunFor(10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(int(ChangeStatus::kCommitted), int(ChangeUntil(3, 1, SampleConfig(2))));
    disks_[head] = std::make_unique<VirtualDisk>(time_.get(), "another");
    Start(head, false);
    time_->RunFor(15 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), LinearizableVersion(head));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(2), Node(head).Current()->routes->version());
  }

  void ReportsUnavailableWithinTimeout() {
    StartAll(true);
    for (int i = 0; i < kQuorum; ++i) network_->Isolate(AddressOf(i));
    for (int i = 0; i < kNodes; ++i) {
      const Micros begin = time_->now();
      std::optional<Micros> changed, read;
      Node(i).Change({kConfigKey, 0, SampleConfig(1)}, 600 * kMs,
                     [&](const ChangeOutcome& outcome) {
                       CPPUNIT_ASSERT_EQUAL(int(ChangeStatus::kUnavailable), int(outcome.status));
                       changed = time_->now() - begin;
                     });
      Node(i).LinearizableRead(600 * kMs, [&](const auto& snapshot) {
        CPPUNIT_ASSERT(!snapshot.ok());
        read = time_->now() - begin;
      });
      time_->RunFor(3 * kSecond);
      CPPUNIT_ASSERT(changed.has_value() && *changed <= 650 * kMs);
      CPPUNIT_ASSERT(read.has_value() && *read <= 650 * kMs);
    }
  }

  // A replica whose disk is full for a while takes part again once it has room: nothing is lost.
  void RecoversFromFullDisk() {
    for (int full = 0; full < kQuorum; ++full) {
      tearDown();
      setUp();
      StartAll(true);
      Change(4, 0, SampleConfig(1));
      disks_[full]->SetFull(true);
      const auto during = Change(4, 1, SampleConfig(2));
      CPPUNIT_ASSERT(during->status != ChangeStatus::kConflict);
      time_->RunFor(5 * kSecond);
      disks_[full]->SetFull(false);
      time_->RunFor(kSecond);
      const std::int64_t version = LinearizableVersion(3);
      CPPUNIT_ASSERT(version == 1 || version == 2);
      const int next = static_cast<int>(version) + 1;
      CPPUNIT_ASSERT_EQUAL(int(ChangeStatus::kCommitted),
                           int(ChangeUntil(3, version, SampleConfig(next))));
      for (int i = 0; i < kQuorum; ++i) Stop(i);
      time_->RunFor(kSecond);
      for (int i = 0; i < kQuorum; ++i) Start(i, false);
      time_->RunFor(5 * kSecond);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(next), LinearizableVersion(full));
    }
  }

  // The operator sends on to the next node after a second of silence or an error, with a pause.
  void CommitsSoonAfterLosingHead() {
    for (const bool isolate : {false, true}) {
      for (int phase = 0; phase < 10; ++phase) {
        tearDown();
        setUp();
        StartAll(true);
        Change(4, 0, SampleConfig(1));
        time_->RunFor(phase * 50 * kMs);
        const int head = Head();
        if (isolate) {
          network_->Isolate(AddressOf(head));
        } else {
          Stop(head);
        }
        const Micros took = TimeToReplace(head, 1, SampleConfig(2));
        // Of this, a second passes until the head counts as lost.
        CPPUNIT_ASSERT(took < (isolate ? 2200 : 1800) * kMs);
      }
    }
  }

 private:
  Micros TimeToReplace(int lost, int parent, const std::string& json) {
    const Micros begin = time_->now();
    for (int attempts = 0, to = 0; attempts < 20; ++to) {
      if (to % kNodes == lost) continue;
      ++attempts;
      ConfigApi api(&Node(to % kNodes), [this] { return time_->now(); });
      ApiRouter router;
      api.Register(&router);
      auto exchange = std::make_shared<FakeExchange>("POST", "/Config.Replace", time_->now());
      exchange->mutable_request().body = json;
      exchange->mutable_request().headers.push_back({"x-parent-version", std::to_string(parent)});
      router.Dispatch(exchange);
      const Micros sent = time_->now();
      while (exchange->answers == 0 && time_->now() < sent + kSecond) time_->RunFor(5 * kMs);
      if (exchange->status == 200) return time_->now() - begin;
      time_->RunFor(kSecond / 10);
    }
    return 60 * kSecond;
  }
  ControlNode& Node(int index) { return *nodes_[index]; }

  void Start(int index, bool bootstrap) {
    transports_[index] = std::make_unique<VirtualTransport>(network_.get(), AddressOf(index));
    VirtualDisk* disk = index < kQuorum ? disks_[index].get() : nullptr;
    nodes_[index] = std::make_unique<ControlNode>(std::make_unique<VirtualTimeSource>(time_.get()),
                                                  transports_[index].get(), disk,
                                                  SettingsOf(index, bootstrap), ++incarnation_);
  }
  void Stop(int index) {
    nodes_[index].reset();
    transports_[index].reset();
  }
  void StartAll(bool bootstrap) {
    for (int i = 0; i < kNodes; ++i) Start(i, bootstrap);
    time_->RunFor(5 * kSecond);
  }
  int SingletonRoleCandidates() {
    int candidates = 0;
    for (int i = 0; i < kNodes; ++i) candidates += Node(i).IsSingletonRoleCandidate() ? 1 : 0;
    return candidates;
  }
  int Head() {
    for (int i = 0; i < kNodes; ++i) {
      if (Node(i).IsSingletonRoleCandidate()) return i;
    }
    CPPUNIT_FAIL("no head");
    return -1;
  }
  std::optional<ChangeOutcome> Change(int index, std::uint64_t expected, const std::string& json) {
    auto outcome = std::make_shared<std::optional<ChangeOutcome>>();
    Node(index).Change({kConfigKey, expected, json}, kSecond,
                       [outcome](const ChangeOutcome& given) { *outcome = given; });
    time_->RunFor(1100 * kMs);
    return *outcome;
  }
  // As the operator does: repeats an unclear change.
  ChangeStatus ChangeUntil(int index, std::uint64_t expected, const std::string& json) {
    for (int attempts = 0; attempts < 10; ++attempts) {
      const auto outcome = Change(index, expected, json);
      if (outcome->status != ChangeStatus::kUnavailable) return outcome->status;
    }
    return ChangeStatus::kUnavailable;
  }
  std::int64_t LinearizableVersion(int index) {
    auto version = std::make_shared<std::int64_t>(-1);
    Node(index).LinearizableRead(900 * kMs, [version](const auto& snapshot) {
      if (snapshot.ok()) *version = (*snapshot)->routes ? (*snapshot)->routes->version() : 0;
    });
    time_->RunFor(kSecond);
    return *version;
  }

  std::unique_ptr<VirtualTime> time_;
  std::unique_ptr<VirtualNetwork> network_;
  std::unique_ptr<VirtualDisk> disks_[kQuorum];
  std::unique_ptr<VirtualTransport> transports_[kNodes];
  std::unique_ptr<ControlNode> nodes_[kNodes];
  std::uint64_t incarnation_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlNodeTest);

}  // namespace
}  // namespace pearreach::control
