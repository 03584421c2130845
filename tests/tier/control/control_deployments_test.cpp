// Deployments of many shapes: a configuration is taken within the bound, outlasts what may be lost
// at once, and the next one is taken without the lost machines.
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "tier/control/control_node.h"
#include "tier/control/control_timing.h"
#include "tier/control/sample_config.h"
#include "tier/control/virtual_environment.h"

namespace pearreach::control {
namespace {

using coordination::ChangeStatus;

struct Shape {
  int machines, zones, far_zones;  // the last `far_zones` zones are in another region
  Micros sync_time, far_delay;
  settings::Tolerance tolerance;
};

class Deployment {
 public:
  explicit Deployment(const Shape& shape) : shape_(shape) {
    network_.far_delay = shape.far_delay;
    for (int i = 0; i < shape.machines; ++i) {
      if (IsFar(i)) network_.far.insert(AddressOf(i));
      disks_.push_back(std::make_unique<VirtualDisk>(&time_, DiskId(), shape.sync_time));
      transports_.emplace_back();
      nodes_.emplace_back();
    }
    for (int i = 0; i < shape.machines; ++i) Start(i, true);
    time_.RunFor(8 * kSecond);
  }
  ~Deployment() {
    for (int i = 0; i < shape_.machines; ++i) Stop(i);
  }

  int ZoneOf(int index) const { return index % shape_.zones; }
  bool IsFar(int index) const { return ZoneOf(index) >= shape_.zones - shape_.far_zones; }
  void Start(int index, bool bootstrap) {
    transports_[index] = std::make_unique<VirtualTransport>(&network_, AddressOf(index));
    nodes_[index] = std::make_unique<ControlNode>(std::make_unique<VirtualTimeSource>(&time_),
                                                  transports_[index].get(), disks_[index].get(),
                                                  SettingsOf(index, bootstrap), ++incarnation_);
  }
  void Stop(int index) {
    nodes_[index].reset();
    transports_[index].reset();
  }
  void Wipe(int index) {
    wiped_.push_back(std::move(disks_[index]));  // writes under way still end on it
    disks_[index] = std::make_unique<VirtualDisk>(&time_, DiskId(), shape_.sync_time);
  }
  void RunFor(Micros span) { time_.RunFor(span); }

  // Until a change through some running node is acknowledged; the operator goes from node to node.
  std::optional<Micros> TimeToChange(std::uint64_t expected, int version, Micros within) {
    const Micros begin = time_.now();
    for (int turn = 0; time_.now() - begin < within; ++turn) {
      ControlNode* node = nodes_[turn % shape_.machines].get();
      if (node == nullptr) continue;
      auto outcome = std::make_shared<std::optional<ChangeOutcome>>();
      node->Change({kConfigKey, expected, SampleConfig(version)}, 900 * kMs,
                   [outcome](const ChangeOutcome& given) { *outcome = given; });
      while (!outcome->has_value()) time_.RunFor(5 * kMs);
      if ((*outcome)->status == ChangeStatus::kCommitted) return time_.now() - begin;
      if ((*outcome)->status == ChangeStatus::kConflict && Newest() == version) {
        return time_.now() - begin;
      }
      time_.RunFor(50 * kMs);
    }
    return std::nullopt;
  }
  // By a strict read at a running node; 0: nothing sure.
  int Newest() {
    for (const auto& node : nodes_) {
      if (node == nullptr) continue;
      auto version = std::make_shared<int>(0);
      auto done = std::make_shared<bool>(false);
      node->LinearizableRead(900 * kMs, [version, done](const auto& snapshot) {
        *done = true;
        if (snapshot.ok() && (*snapshot)->routes) *version = (*snapshot)->routes->version();
      });
      while (!*done) time_.RunFor(5 * kMs);
      return *version;
    }
    return 0;
  }

 private:
  static std::string AddressOf(int index) { return "10.0.0." + std::to_string(index) + ":7000"; }
  std::string DiskId() { return "disk" + std::to_string(++disk_ids_); }

  settings::NodeSettings SettingsOf(int index, bool bootstrap) const {
    settings::NodeSettings settings;
    settings.node_name = "n" + std::to_string(index);
    settings.ip = "10.0.0." + std::to_string(index);
    settings.port_range = {7000, 7015};
    for (int i = 0; i < std::min(3, shape_.machines); ++i) {
      settings.seed_nodes.push_back("10.0.0." + std::to_string(i) + ":80");
    }
    settings.serves = {"edge", "control"};
    settings.quorum_member = true;
    settings.bootstrap = bootstrap;
    settings.tolerance = shape_.tolerance;
    settings.zone = "z" + std::to_string(ZoneOf(index));
    for (int zone = 0; zone < shape_.zones; ++zone) {
      settings.zones["z" + std::to_string(zone)] =
          zone >= shape_.zones - shape_.far_zones ? "far" : "near";
    }
    return settings;
  }

  const Shape shape_;
  VirtualTime time_;
  VirtualNetwork network_{&time_};
  std::vector<std::unique_ptr<VirtualDisk>> disks_, wiped_;
  std::vector<std::unique_ptr<VirtualTransport>> transports_;
  std::vector<std::unique_ptr<ControlNode>> nodes_;
  std::uint64_t incarnation_ = 0;
  int disk_ids_ = 0;
};

std::string Text(const Shape& shape) {
  return std::to_string(shape.machines) + " machines in " + std::to_string(shape.zones) +
         " zones, " + std::to_string(shape.far_zones) + " of them far, tolerance " +
         std::to_string(shape.tolerance.machines) + "/" + std::to_string(shape.tolerance.zones) +
         "/" + std::to_string(shape.tolerance.regions);
}

class ControlDeploymentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlDeploymentsTest);
  CPPUNIT_TEST(CommitsConfigurations);
  CPPUNIT_TEST(CommitsWithoutAMachine);
  CPPUNIT_TEST(CommitsWithoutAZone);
  CPPUNIT_TEST(StateSurvivesLossOfAZone);
  CPPUNIT_TEST(TimeoutsFollowBounds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CommitsConfigurations() {
    for (const Shape& shape : std::vector<Shape>{{1, 1, 0, 500, 500, {0, 0, 0}},
                                                 {2, 2, 0, 20'000, 500, {1, 0, 0}},
                                                 {3, 1, 0, 5'000, 500, {1, 0, 0}},
                                                 {5, 6, 0, 20'000, 500, {1, 0, 0}},
                                                 {9, 3, 0, 20'000, 500, {2, 1, 0}},
                                                 {9, 6, 2, 20'000, 25'000, {2, 1, 0}}}) {
      Deployment deployment(shape);
      const auto took = deployment.TimeToChange(0, 5, 4 * kSecond);
      CPPUNIT_ASSERT_MESSAGE(Text(shape), took.has_value());
      CPPUNIT_ASSERT_MESSAGE(Text(shape), *took < kSecond);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(shape), 5, deployment.Newest());
    }
  }

  void CommitsWithoutAMachine() {
    for (const Shape& shape : std::vector<Shape>{{3, 3, 0, 5'000, 500, {1, 0, 0}},
                                                 {5, 2, 0, 20'000, 500, {1, 0, 0}},
                                                 {9, 6, 2, 500, 25'000, {2, 1, 0}}}) {
      for (const int lost : {0, 1, shape.machines - 1}) {
        Deployment deployment(shape);
        CPPUNIT_ASSERT(deployment.TimeToChange(0, 5, 4 * kSecond).has_value());
        deployment.Stop(lost);
        const auto took = deployment.TimeToChange(1, 6, 4 * kSecond);
        CPPUNIT_ASSERT_MESSAGE(Text(shape), took.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(shape), 6, deployment.Newest());
      }
    }
  }

  void CommitsWithoutAZone() {
    for (const Shape& shape : std::vector<Shape>{{3, 3, 0, 5'000, 500, {1, 1, 0}},
                                                 {9, 3, 0, 20'000, 500, {1, 1, 0}},
                                                 {5, 4, 1, 500, 25'000, {1, 1, 0}}}) {
      Deployment deployment(shape);
      CPPUNIT_ASSERT(deployment.TimeToChange(0, 5, 4 * kSecond).has_value());
      for (int i = 0; i < shape.machines; ++i) {
        if (deployment.ZoneOf(i) == 1) deployment.Stop(i);
      }
      CPPUNIT_ASSERT_MESSAGE(Text(shape), deployment.TimeToChange(1, 6, 4 * kSecond).has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(shape), 6, deployment.Newest());
    }
  }

  // All processes end right after the acknowledgement, and the machines of one zone lose their
  // disks.
  void StateSurvivesLossOfAZone() {
    for (const Shape& shape : std::vector<Shape>{{3, 3, 0, 5'000, 500, {0, 1, 0}},
                                                 {4, 3, 0, 5'000, 500, {0, 1, 0}},
                                                 {9, 3, 0, 500, 500, {1, 1, 0}}}) {
      for (int lost = 0; lost < shape.zones; ++lost) {
        Deployment deployment(shape);
        CPPUNIT_ASSERT(deployment.TimeToChange(0, 5, 4 * kSecond).has_value());
        for (int i = 0; i < shape.machines; ++i) deployment.Stop(i);
        for (int i = 0; i < shape.machines; ++i) {
          if (deployment.ZoneOf(i) == lost) deployment.Wipe(i);
          deployment.Start(i, false);
        }
        deployment.RunFor(5 * kSecond);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(shape), 5, deployment.Newest());
        CPPUNIT_ASSERT(deployment.TimeToChange(1, 6, 4 * kSecond).has_value());
      }
    }
  }

  void TimeoutsFollowBounds() {
    settings::Bounds bounds;
    const ControlTiming usual = TimingOf(bounds);
    CPPUNIT_ASSERT_EQUAL(Micros{kSecond}, usual.unreachable_timeout);
    CPPUNIT_ASSERT_EQUAL(Micros{kSecond}, usual.call_timeout);
    bounds.contact_ms = 1500;
    CPPUNIT_ASSERT_EQUAL(Micros{500 * kMs}, TimingOf(bounds).suspicion);
    bounds.contact_ms = 60'000;  // an acknowledgement is due long before
    CPPUNIT_ASSERT_EQUAL(Micros{kSecond}, TimingOf(bounds).suspicion);
    bounds.contact_ms = 1;
    CPPUNIT_ASSERT(TimingOf(bounds).heartbeat_period >= 50 * kMs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlDeploymentsTest);

}  // namespace
}  // namespace pearreach::control
