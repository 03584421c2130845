#include <fmt/format.h>

#include <memory>
#include <utility>
#include <vector>

#include "lab/hollow/measure.h"
#include "lab/hollow/process_cost.h"
#include "lab/hollow/virtual_network.h"
#include "tier/control/control_timing.h"
#include "tier/control/membership_driver.h"

namespace pearreach::lab::hollow {
namespace {

using coordination::MemberStatus;

constexpr Micros kIdleSpan = 3 * kSecond;         // measured while nothing changes
constexpr Micros kMaxConvergence = 60 * kSecond;  // a longer one is reported as not reached
constexpr Micros kSettleSpan = 5 * kSecond;       // between the start and the idle measurement
constexpr Micros kPollInterval = 50 * kMs;
constexpr Micros kStartSpread = kSecond;  // nodes start within it
constexpr int kSeeds = 3;

// The nodes of a fleet with nothing but membership, in virtual time.
struct Fleet {
  explicit Fleet(const FleetSize& size);
  bool AllSee(std::size_t live) const;

  VirtualTime time;
  VirtualNetwork network;
  // Null: the node has ended.
  std::vector<std::unique_ptr<VirtualMesh>> meshes;
  std::vector<std::unique_ptr<VirtualTimeSource>> sources;
  std::vector<std::unique_ptr<control::MembershipDriver>> drivers;
  std::vector<std::size_t> live;  // members that each sees as live
};

std::size_t CountLive(const control::MembershipDriver& driver) {
  std::size_t count = 0;
  for (const auto& [name, member] : driver.members())
    count += member.status == MemberStatus::kAlive || member.status == MemberStatus::kSuspect;
  return count;
}

Fleet::Fleet(const FleetSize& size) : network(&time, size.loss, size.seed) {
  std::mt19937_64 random(size.seed);
  const auto count = static_cast<std::size_t>(size.nodes);
  const auto address = [](std::size_t i) {
    return fmt::format("10.{}.{}.{}:7660", i / 62500, i / 250 % 250, i % 250 + 1);
  };
  live.resize(count);
  for (std::size_t i = 0; i < count; ++i) {
    coordination::MembershipOptions options;
    options.self.name = fmt::format("edge-zone-{}-{}", i % static_cast<std::size_t>(size.zones), i);
    options.self.address = address(i);
    options.self.zone = fmt::format("zone-{}", i % static_cast<std::size_t>(size.zones));
    options.self.machine_class = "edge";
    options.self.incarnation = 1;
    options.self.roles = coordination::MemberInfo::kServesEdge;
    for (std::size_t seed = 0; seed < kSeeds; ++seed) options.seeds.push_back(address(seed));
    meshes.push_back(std::make_unique<VirtualMesh>(&network, options.self.address));
    sources.push_back(std::make_unique<VirtualTimeSource>(&time));
    drivers.push_back(std::make_unique<control::MembershipDriver>(
        sources.back().get(), meshes.back().get(), std::move(options),
        control::ControlTiming().stall_tolerance, size.seed * 7919 + i));
    drivers.back()->OnChange(
        [this, i](const std::vector<std::string>&) { live[i] = CountLive(*drivers[i]); });
    time.After(static_cast<Micros>(random() % kStartSpread), [this, i] { drivers[i]->Start(); });
  }
}

bool Fleet::AllSee(std::size_t count) const {
  for (std::size_t i = 0; i < drivers.size(); ++i)
    if (drivers[i] != nullptr && live[i] != count) return false;
  return true;
}

}  // namespace

Figures MeasureMembership(const FleetSize& size) {
  Figures figures;
  const ProcessCost before;
  Fleet fleet(size);
  const double nodes = size.nodes;
  const auto ms = [](Micros span) { return static_cast<double>(span) / kMs; };
  ProcessCost cost;
  const Micros started = fleet.time.now();
  const auto all_know = [&] { return fleet.AllSee(fleet.drivers.size()); };
  if (fleet.time.RunUntil(all_know, kMaxConvergence, kPollInterval))
    figures.all_know_ms = ms(fleet.time.now() - started);
  figures.start_processor_ms = cost.ProcessorMs() / nodes;
  figures.start_kb = static_cast<double>(fleet.network.total.bytes) / nodes / 1e3;
  figures.start_messages = static_cast<double>(fleet.network.total.messages) / nodes;

  fleet.time.RunFor(kSettleSpan);
  cost = ProcessCost();
  const Traffic before_idle = fleet.network.total;
  fleet.time.RunFor(kIdleSpan);
  const double seconds = static_cast<double>(kIdleSpan) / kSecond;
  figures.idle_processor_percent = cost.ProcessorMs() / nodes / seconds / 10;
  figures.idle_bytes_s =
      static_cast<double>(fleet.network.total.bytes - before_idle.bytes) / nodes / seconds;
  figures.idle_messages_s =
      static_cast<double>(fleet.network.total.messages - before_idle.messages) / nodes / seconds;
  figures.memory_kb = (ProcessCost().ResidentKb() - before.ResidentKb()) / nodes;

  const Micros ended = fleet.time.now();
  fleet.drivers.back() = nullptr;
  fleet.meshes.back() = nullptr;
  const auto all_know_death = [&] { return fleet.AllSee(fleet.drivers.size() - 1); };
  if (fleet.time.RunUntil(all_know_death, kMaxConvergence, kPollInterval))
    figures.death_ms = ms(fleet.time.now() - ended);
  return figures;
}

}  // namespace pearreach::lab::hollow
