#include "tier/control/state_poller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "tier/codec/archive.h"
#include "tier/control/announced_state_fetcher.h"
#include "tier/control/poll_server.h"
#include "tier/control/sample_config.h"
#include "tier/control/virtual_environment.h"

namespace pearreach::control {
namespace {

using coordination::MemberInfo;
using coordination::MemberStatus;
using coordination::Version;

std::string AddressOf(const std::string& name) { return "10.0.0." + name.substr(1) + ":7"; }

// A node that only answers polls.
struct Server {
  Server(VirtualTime* time, VirtualNetwork* network, const std::string& name)
      : source(time), transport(network, AddressOf(name)), polls(&source, &transport, &snapshots) {}
  VirtualTimeSource source;
  VirtualTransport transport;
  SnapshotStore snapshots;
  PollServer polls;
};

std::shared_ptr<const coordination::Map> MapWith(int config) {
  auto map = std::make_shared<coordination::Map>();
  (*map)[kConfigKey] = {SampleConfig(config), static_cast<std::uint64_t>(config)};
  return map;
}

class StatePollerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatePollerTest);
  CPPUNIT_TEST(KeepsTwoPollsOpen);
  CPPUNIT_TEST(PollsSeedsBeforeMembersAreKnown);
  CPPUNIT_TEST(IsolatedMemberDelaysNobody);
  CPPUNIT_TEST(ChoosesOtherMembersAfterFailures);
  CPPUNIT_TEST(VersionNeverDecreases);
  CPPUNIT_TEST(PollNeverGivesInitialState);
  CPPUNIT_TEST(InitialStateIsConfirmed);
  CPPUNIT_TEST(UpdatesOmitKnownEntries);
  CPPUNIT_TEST(FetchesAnnouncedVersion);
  CPPUNIT_TEST(DoesNotFetchWhatWasPolledInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    members_.clear();
    servers_.clear();
    for (const std::string name : {"n1", "n2", "n3"}) {
      servers_.push_back(std::make_unique<Server>(&time_, &network_, name));
    }
    AddMember("n9", MemberInfo::kServesEdge);
    // All know a first state, without a configuration.
    const auto empty = std::make_shared<const coordination::Map>();
    snapshots_.ApplyConfirmed({1, 0}, empty);
    for (auto& server : servers_) server->snapshots.ApplyConfirmed({1, 0}, empty);
    poller_ = std::make_unique<StatePoller>(&source_, &transport_, &snapshots_, &directory_);
    state_fetcher_ =
        std::make_unique<AnnouncedStateFetcher>(&source_, &transport_, &snapshots_, &directory_);
  }
  void tearDown() override {
    poller_.reset();
    state_fetcher_.reset();
    servers_.clear();
  }

  void KeepsTwoPollsOpen() {
    AddAllMembers();
    poller_->SetActive(true);
    time_.RunFor(10 * kMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), TotalPendingPolls());
    time_.RunFor(5 * kMaxPollWait);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), TotalPendingPolls());
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), transport_.calls.size());
    for (auto& server : servers_) CPPUNIT_ASSERT(server->polls.pending() <= 1);
    for (auto& server : servers_) server->snapshots.Apply({1, 1}, MapWith(4));
    time_.RunFor(2 * VirtualNetwork::kDelay);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(4), snapshots_.current()->routes->version());
    poller_->SetActive(false);
    time_.RunFor(2 * kMaxPollWait);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), TotalPendingPolls());
  }

  void PollsSeedsBeforeMembersAreKnown() {
    servers_[0]->snapshots.Apply({1, 1}, MapWith(4));
    poller_->SetActive(true);
    time_.RunFor(2 * VirtualNetwork::kDelay);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(4), snapshots_.current()->routes->version());
  }

  void IsolatedMemberDelaysNobody() {
    AddAllMembers();
    poller_->SetActive(true);
    time_.RunFor(10 * kMs);
    for (auto& server : servers_) {
      if (server->polls.pending() == 0) continue;
      for (auto& other : servers_) {
        if (other != server) other->snapshots.Apply({1, 1}, MapWith(4));
      }
      break;
    }
    time_.RunFor(2 * VirtualNetwork::kDelay);
    CPPUNIT_ASSERT_EQUAL(Version({1, 1}).sequence, snapshots_.current()->version.sequence);
  }

  void ChoosesOtherMembersAfterFailures() {
    AddAllMembers();
    poller_->SetActive(true);
    time_.RunFor(10 * kMs);
    const std::size_t first = HasPendingPoll(0) ? 0 : 1;
    const std::string dead = "n" + std::to_string(first + 1);
    network_.Isolate(AddressOf(dead));
    members_[dead].status = MemberStatus::kDead;
    poller_->Refresh();
    time_.RunFor(10 * kMs);
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (i != first) CPPUNIT_ASSERT(HasPendingPoll(i));
    }
    // Refused calls are not repeated without a pause.
    network_.Heal();
    servers_.clear();
    transport_.calls.clear();
    time_.RunFor(10 * kSecond);
    CPPUNIT_ASSERT(transport_.calls.size() > 10);
    CPPUNIT_ASSERT(transport_.calls.size() < 150);
  }

  void VersionNeverDecreases() {
    AddAllMembers();
    servers_[0]->snapshots.Apply({2, 1}, MapWith(9));
    servers_[1]->snapshots.Apply({1, 8}, MapWith(8));
    servers_[2]->snapshots.Apply({1, 5}, MapWith(5));
    Version last;
    int changes = 0;
    snapshots_.OnChange([&] {
      ++changes;
      CPPUNIT_ASSERT(snapshots_.current()->version > last);
      last = snapshots_.current()->version;
    });
    poller_->SetActive(true);
    for (int turn = 0; turn < 6; ++turn) {
      for (const std::string name : {"n1", "n2", "n3"}) {
        const bool live = (turn + name[1]) % 3 != 0;
        members_[name].status = live ? MemberStatus::kAlive : MemberStatus::kDead;
      }
      poller_->Refresh();
      time_.RunFor(kMaxPollWait);
    }
    CPPUNIT_ASSERT(last == Version({2, 1}));
    CPPUNIT_ASSERT(changes <= 3);
    CPPUNIT_ASSERT(!snapshots_.Apply({2, 1}, MapWith(1)));
    CPPUNIT_ASSERT(!snapshots_.Apply({1, 9}, MapWith(1)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(9), snapshots_.current()->routes->version());
  }

  // Also not when something newer comes while the call is held.
  void PollNeverGivesInitialState() {
    servers_[0]->snapshots.Apply({1, 1}, MapWith(4));
    for (const bool wait_for_update : {false, true}) {
      const PollRequest request{{}, {}, wait_for_update};
      std::optional<StateUpdate> answer;
      transport_.Call(AddressOf("n1"), rpc::MessageType::kControlPoll, codec::Encode(request),
                      kSecond,
                      [&](const auto& bytes) { answer = *codec::Decode<StateUpdate>(*bytes); });
      time_.RunFor(10 * kMs);
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT(!answer->present);
    }
    // A node that knows nothing has no poll open either, and takes nothing that was announced.
    SnapshotStore uninitialized;
    AnnouncedStateFetcher fetch(&source_, &transport_, &uninitialized, &directory_);
    AddAllMembers();
    members_["n1"].versions[kControlVersionName] = Packed({1, 1});
    transport_.calls.clear();
    fetch.MembersChanged({"n1"});
    time_.RunFor(5 * kSecond);
    CPPUNIT_ASSERT(transport_.calls.empty());
    CPPUNIT_ASSERT(!uninitialized.known());
  }

  // What came before is kept aside, and is in force afterwards if it is newer.
  void InitialStateIsConfirmed() {
    for (const int early : {3, 7}) {
      SnapshotStore store;
      int changes = 0;
      store.OnChange([&] { ++changes; });
      CPPUNIT_ASSERT(!store.Apply({1, 1}, MapWith(1)));
      CPPUNIT_ASSERT(!store.Apply({1, static_cast<std::uint64_t>(early)}, MapWith(early)));
      CPPUNIT_ASSERT(!store.Apply(UpdateFor({}, {1, 9}, *MapWith(9))));
      CPPUNIT_ASSERT(!store.known());
      CPPUNIT_ASSERT(store.current()->routes == nullptr);
      CPPUNIT_ASSERT_EQUAL(0, changes);
      CPPUNIT_ASSERT(store.ApplyConfirmed({1, 5}, MapWith(5)));
      CPPUNIT_ASSERT_EQUAL(std::int64_t(std::max(early, 5)), store.current()->routes->version());
      CPPUNIT_ASSERT_EQUAL(early > 5 ? 2 : 1, changes);
      CPPUNIT_ASSERT(!store.ApplyConfirmed({1, 4}, MapWith(4)));
      CPPUNIT_ASSERT(store.Apply({1, 8}, MapWith(8)));
    }
  }

  void UpdatesOmitKnownEntries() {
    auto map = std::make_shared<coordination::Map>(*MapWith(4));
    (*map)[kStoresKey] = {"placement", 1};
    const StateUpdate whole = UpdateFor({}, {1, 2}, *map);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), whole.entries.size());
    snapshots_.Apply({1, 1}, MapWith(4));
    const StateUpdate less = UpdateFor(RevisionsOf(*snapshots_.current()), {1, 2}, *map);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), less.entries.size());
    CPPUNIT_ASSERT(snapshots_.Apply(less));
    CPPUNIT_ASSERT_EQUAL(SampleConfig(4), snapshots_.current()->config_json);
    CPPUNIT_ASSERT_EQUAL(std::string("placement"), snapshots_.current()->stores);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), snapshots_.current()->stores_revision);
  }

  void FetchesAnnouncedVersion() {
    AddAllMembers();
    servers_[2]->snapshots.Apply({1, 7}, MapWith(7));
    members_["n3"].versions[kControlVersionName] = Packed({1, 7});
    state_fetcher_->MembersChanged({"n3"});
    time_.RunFor(90 * kMs);
    CPPUNIT_ASSERT(transport_.calls.empty());
    time_.RunFor(20 * kMs);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(7), snapshots_.current()->routes->version());
    time_.RunFor(10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), transport_.calls.size());
  }

  void DoesNotFetchWhatWasPolledInTime() {
    AddAllMembers();
    members_["n3"].versions[kControlVersionName] = Packed({1, 7});
    state_fetcher_->MembersChanged({"n3"});
    time_.RunFor(50 * kMs);
    snapshots_.Apply({1, 7}, MapWith(7));
    time_.RunFor(10 * kSecond);
    CPPUNIT_ASSERT(transport_.calls.empty());
  }

 private:
  void AddMember(const std::string& name, std::uint8_t roles) {
    coordination::Member& member = members_[name];
    member.info.name = name;
    member.info.address = AddressOf(name);
    member.info.roles = roles;
  }
  void AddAllMembers() {
    for (const std::string name : {"n1", "n2", "n3"}) AddMember(name, MemberInfo::kQuorumMember);
  }
  bool HasPendingPoll(std::size_t index) const { return servers_[index]->polls.pending() > 0; }
  std::size_t TotalPendingPolls() const {
    std::size_t pending = 0;
    for (const auto& server : servers_) pending += server->polls.pending();
    return pending;
  }

  VirtualTime time_;
  VirtualNetwork network_{&time_};
  VirtualTimeSource source_{&time_};
  VirtualTransport transport_{&network_, AddressOf("n9")};
  SnapshotStore snapshots_;
  MemberMap members_;
  MemberDirectory directory_{&members_, "n9", {AddressOf("n1"), AddressOf("n2")}};
  std::vector<std::unique_ptr<Server>> servers_;
  std::unique_ptr<StatePoller> poller_;
  std::unique_ptr<AnnouncedStateFetcher> state_fetcher_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatePollerTest);

}  // namespace
}  // namespace pearreach::control
