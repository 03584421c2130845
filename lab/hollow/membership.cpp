#include <fmt/format.h>

#include <memory>
#include <utility>
#include <vector>

#include "lab/hollow/measure.h"
#include "lab/hollow/process_cost.h"
#include "lab/hollow/virtual_network.h"
#include "tier/control/membership_driver.h"

namespace pearreach::lab::hollow {
namespace {

using coordination::MemberStatus;

constexpr Micros kIdle = 3 * kSecond;
constexpr Micros kBound = 60 * kSecond;
constexpr Micros kStartSpread = kSecond;  // nodes start within it
constexpr int kSeeds = 3;

struct Fleet {
  explicit Fleet(const FleetSize& size);
  bool AllSee(std::size_t live) const;

  VirtualTime time;
  VirtualNetwork network;
  // Null: has ended.
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
        sources.back().get(), meshes.back().get(), std::move(options), size.seed * 7919 + i));
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
  const double n = size.nodes;
  const auto ms = [](Micros span) { return static_cast<double>(span) / kMs; };
  ProcessCost change_id;
  const Micros started = fleet.time.now();
  const auto all = [&] { return fleet.AllSee(fleet.drivers.size()); };
  if (fleet.time.RunUntil(all, kBound, 50 * kMs))
    figures.all_know_ms = ms(fleet.time.now() - started);
  figures.start_processor_ms = change_id.ProcessorMs() / n;
  figures.start_kb = static_cast<double>(fleet.network.total.bytes) / n / 1e3;
  figures.start_messages = static_cast<double>(fleet.network.total.messages) / n;

  fleet.time.RunFor(5 * kSecond);
  change_id = ProcessCost();
  const Traffic at_idle = fleet.network.total;
  fleet.time.RunFor(kIdle);
  const double seconds = static_cast<double>(kIdle) / kSecond;
  figures.idle_processor_percent = change_id.ProcessorMs() / n / seconds / 10;
  figures.idle_bytes_s =
      static_cast<double>(fleet.network.total.bytes - at_idle.bytes) / n / seconds;
  figures.idle_messages_s =
      static_cast<double>(fleet.network.total.messages - at_idle.messages) / n / seconds;
  figures.memory_kb = (ProcessCost().ResidentKb() - before.ResidentKb()) / n;

  const Micros ended = fleet.time.now();
  fleet.drivers.back() = nullptr;
  fleet.meshes.back() = nullptr;
  const auto seen = [&] { return fleet.AllSee(fleet.drivers.size() - 1); };
  if (fleet.time.RunUntil(seen, kBound, 50 * kMs)) figures.death_ms = ms(fleet.time.now() - ended);
  return figures;
}

}  // namespace pearreach::lab::hollow
