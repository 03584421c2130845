#include "tier/coordination/membership_cluster.h"

#include <algorithm>
#include <utility>

#include "tier/coordination/membership_merge.h"

namespace pearreach::coordination {
namespace {

int IndexOf(const std::string& name) { return std::stoi(name.substr(name.rfind('-') + 1)); }

}  // namespace

MembershipCluster::MembershipCluster(std::uint64_t seed, NetworkConditions net)
    : network(net), random_(seed) {}

std::uint64_t MembershipCluster::IncarnationOf(int i) const {
  const Node& node = nodes_.at(i);
  if (node.machine == nullptr) return node.incarnation;
  return node.machine->members().at(NameOf(i)).info.incarnation;
}

void MembershipCluster::Start(int i, const std::string& address, std::uint64_t incarnation) {
  Node& node = nodes_[i];
  if (incarnation == 0) incarnation = std::max<std::uint64_t>(IncarnationOf(i) + 1, 1000);
  node = Node{};
  node.incarnation = incarnation;
  node.address = address.empty() ? AddressOf(i) : address;
  MembershipOptions options = defaults;
  options.seeds = seeds;
  options.self = {.name = NameOf(i),
                  .address = node.address,
                  .zone = "ahm-sanand",
                  .machine_class = "edge",
                  .disk_id = "disk-" + std::to_string(i) + "-0123456789abcdef",
                  .incarnation = incarnation,
                  .roles = MemberInfo::kServesEdge};
  node.machine = std::make_unique<Membership>(std::move(options), random_(), now_);
  RecordEvent();
}

void MembershipCluster::StartAll(int count) {
  for (int i = 0; i < count; ++i) {
    Start(i);
    RunFor(static_cast<Micros>(RandomFraction() * 300 * kMilli) / count);
  }
}

void MembershipCluster::Kill(int i) {
  nodes_.at(i).machine.reset();
  nodes_.at(i).frozen = false;
  nodes_.at(i).waiting.clear();
  RecordEvent();
}

void MembershipCluster::AnnounceShutdown(int i) {
  std::vector<Datagram> out;
  At(i).AnnounceShutdown(now_, &out);
  Transmit(i, std::move(out));
  Kill(i);
}

void MembershipCluster::Freeze(int i) {
  nodes_.at(i).frozen = true;
  RecordEvent();
}

void MembershipCluster::Thaw(int i, bool lost) {
  Node& node = nodes_.at(i);
  node.frozen = false;
  RecordEvent();
  if (lost) node.waiting.clear();
  for (auto& [ip, bytes] : std::exchange(node.waiting, {})) {
    std::vector<Datagram> out;
    node.machine->Receive(now_, ip, bytes, &out);
    Transmit(i, std::move(out));
  }
}

void MembershipCluster::BlockLink(int from, int to) {
  blocked_links_.insert({from, to});
  RecordEvent();
}

void MembershipCluster::BlockBothDirections(int a, int b) {
  BlockLink(a, b);
  BlockLink(b, a);
}

void MembershipCluster::Isolate(int i) { Split({i}); }

void MembershipCluster::Split(const std::set<int>& one_side) {
  for (const int a : one_side) {
    for (const auto& [b, node] : nodes_) {
      if (!one_side.contains(b)) BlockBothDirections(a, b);
    }
  }
}

void MembershipCluster::Heal() {
  blocked_links_.clear();
  RecordEvent();
}

void MembershipCluster::Transmit(int from, std::vector<Datagram> datagrams) {
  for (Datagram& datagram : datagrams) {
    ++sent;
    sent_bytes += datagram.bytes.size();
    largest = std::max<std::uint64_t>(largest, datagram.bytes.size());
    const int copies = RandomFraction() < network.doubled ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (RandomFraction() < network.loss) continue;
      const double fraction = RandomFraction();
      const Micros delay = network.min_delay +
                           static_cast<Micros>(fraction * static_cast<double>(network.max_delay -
                                                                              network.min_delay));
      flights_.emplace(now_ + delay, Flight{from, datagram.to, datagram.bytes});
    }
  }
}

void MembershipCluster::Deliver(const Flight& flight) {
  for (auto& [i, node] : nodes_) {
    if (node.machine == nullptr || node.address != flight.to) continue;
    if (blocked_links_.contains({flight.from, i})) return;
    const std::string from = nodes_.at(flight.from).address;
    const std::string ip = from.substr(0, from.find(':'));
    if (node.frozen) {
      node.waiting.emplace_back(ip, flight.bytes);
      return;
    }
    std::vector<Datagram> out;
    node.machine->Receive(now_, ip, flight.bytes, &out);
    Transmit(i, std::move(out));
    Check(i);
    return;
  }
}

void MembershipCluster::TickOne(int i) {
  ++ticks;
  std::vector<Datagram> out;
  nodes_.at(i).machine->Tick(now_, &out);
  Transmit(i, std::move(out));
  Check(i);
  if (nodes_.at(i).machine->NextTick() <= now_) violations.push_back("a tick leaves work undone");
}

void MembershipCluster::Check(int i) {
  Node& node = nodes_.at(i);
  for (const std::string& name : node.machine->TakeChanged()) {
    const auto found = node.machine->members().find(name);
    if (found == node.machine->members().end()) {
      node.seen.erase(name);
      continue;
    }
    const Member& member = found->second;
    std::uint64_t& seen = node.seen[name];
    if (member.info.incarnation < seen) violations.push_back("an incarnation goes back: " + name);
    seen = member.info.incarnation;
    const int target = IndexOf(name);
    const bool falsely_dead = Running(target) && member.info.incarnation == IncarnationOf(target) &&
                              !IsLive(member.status);
    if (falsely_dead && !false_death_since_.contains({i, target})) {
      ++false_deaths;
      false_death_since_[{i, target}] = now_;
    }
    if (!falsely_dead) false_death_since_.erase({i, target});
  }
  for (const auto& [pair, since] : false_death_since_) {
    const auto& [observer, target] = pair;
    const bool counts = Running(observer) && Running(target) && blocked_links_.empty();
    if (counts) max_false_death = std::max(max_false_death, now_ - std::max(since, last_event_));
  }
}

void MembershipCluster::RunFor(Micros span) {
  const Micros end = now_ + span;
  for (;;) {
    Micros next = flights_.empty() ? end + 1 : flights_.begin()->first;
    int ticking = -1;
    for (const auto& [i, node] : nodes_) {
      if (!Running(i)) continue;
      const Micros at = std::max(node.machine->NextTick(), now_);
      if (at < next) {
        next = at;
        ticking = i;
      }
    }
    if (next > end) break;
    now_ = next;
    if (ticking >= 0) {
      TickOne(ticking);
      continue;
    }
    const Flight flight = std::move(flights_.begin()->second);
    flights_.erase(flights_.begin());
    Deliver(flight);
  }
  now_ = end;
}

bool MembershipCluster::RunUntilAgreed(Micros bound) {
  const Micros end = now_ + bound;
  while (!Agreed()) {
    if (now_ >= end) return false;
    RunFor(50 * kMilli);
  }
  return true;
}

bool MembershipCluster::Agreed() const { return Disagreement().empty(); }

std::string MembershipCluster::Disagreement() const {
  std::string text;
  for (const auto& [i, node] : nodes_) {
    if (!Running(i)) continue;
    for (const auto& [j, other] : nodes_) {
      const bool live = Knows(i, j) && IsLive(StatusAt(i, j));
      const bool current =
          live && node.machine->members().at(NameOf(j)).info.incarnation == IncarnationOf(j);
      if (live == Running(j) && (!live || current)) continue;
      text +=
          std::to_string(i) + (live ? " holds live " : " holds gone ") + std::to_string(j) + "; ";
    }
  }
  return text;
}

bool MembershipCluster::Knows(int observer, int target) const {
  return nodes_.at(observer).machine->members().contains(NameOf(target));
}

MemberStatus MembershipCluster::StatusAt(int observer, int target) const {
  return nodes_.at(observer).machine->members().at(NameOf(target)).status;
}

int MembershipCluster::CountSeeingLive(int target) const {
  int count = 0;
  for (const auto& [i, node] : nodes_) {
    if (Running(i) && i != target && Knows(i, target) && IsLive(StatusAt(i, target))) ++count;
  }
  return count;
}

}  // namespace pearreach::coordination
