#include "tier/coordination/membership_cluster.h"

#include <algorithm>
#include <utility>

#include "tier/coordination/membership_merge.h"

namespace pearreach::coordination {
namespace {

int IndexOf(const std::string& name) { return std::stoi(name.substr(name.rfind('-') + 1)); }

}  // namespace

Cluster::Cluster(std::uint64_t seed, Network net) : network(net), random_(seed) {}

std::uint64_t Cluster::IncarnationOf(int i) const {
  const Node& node = nodes_.at(i);
  if (node.machine == nullptr) return node.incarnation;
  return node.machine->members().at(NameOf(i)).info.incarnation;
}

void Cluster::Start(int i, const std::string& address, std::uint64_t incarnation) {
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
  NoteEvent();
}

void Cluster::StartAll(int count) {
  for (int i = 0; i < count; ++i) {
    Start(i);
    RunFor(static_cast<Micros>(Draw() * 300 * kMilli) / count);
  }
}

void Cluster::Kill(int i) {
  nodes_.at(i).machine.reset();
  nodes_.at(i).frozen = false;
  nodes_.at(i).waiting.clear();
  NoteEvent();
}

void Cluster::Leave(int i) {
  std::vector<Datagram> out;
  At(i).Leave(now_, &out);
  Carry(i, std::move(out));
  Kill(i);
}

void Cluster::Freeze(int i) {
  nodes_.at(i).frozen = true;
  NoteEvent();
}

void Cluster::Thaw(int i, bool lost) {
  Node& node = nodes_.at(i);
  node.frozen = false;
  NoteEvent();
  if (lost) node.waiting.clear();
  for (auto& [ip, bytes] : std::exchange(node.waiting, {})) {
    std::vector<Datagram> out;
    node.machine->Receive(now_, ip, bytes, &out);
    Carry(i, std::move(out));
  }
}

void Cluster::Cut(int from, int to) {
  cuts_.insert({from, to});
  NoteEvent();
}

void Cluster::CutBoth(int a, int b) {
  Cut(a, b);
  Cut(b, a);
}

void Cluster::Isolate(int i) { Split({i}); }

void Cluster::Split(const std::set<int>& one_side) {
  for (const int a : one_side) {
    for (const auto& [b, node] : nodes_) {
      if (!one_side.contains(b)) CutBoth(a, b);
    }
  }
}

void Cluster::Heal() {
  cuts_.clear();
  NoteEvent();
}

void Cluster::Carry(int from, std::vector<Datagram> datagrams) {
  for (Datagram& datagram : datagrams) {
    ++sent;
    sent_bytes += datagram.bytes.size();
    largest = std::max<std::uint64_t>(largest, datagram.bytes.size());
    const int copies = Draw() < network.doubled ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (Draw() < network.loss) continue;
      const double share = Draw();
      const Micros delay =
          network.shortest +
          static_cast<Micros>(share * static_cast<double>(network.longest - network.shortest));
      flights_.emplace(now_ + delay, Flight{from, datagram.to, datagram.bytes});
    }
  }
}

void Cluster::Deliver(const Flight& flight) {
  for (auto& [i, node] : nodes_) {
    if (node.machine == nullptr || node.address != flight.to) continue;
    if (cuts_.contains({flight.from, i})) return;
    const std::string from = nodes_.at(flight.from).address;
    const std::string ip = from.substr(0, from.find(':'));
    if (node.frozen) {
      node.waiting.emplace_back(ip, flight.bytes);
      return;
    }
    std::vector<Datagram> out;
    node.machine->Receive(now_, ip, flight.bytes, &out);
    Carry(i, std::move(out));
    Check(i);
    return;
  }
}

void Cluster::TickOne(int i) {
  ++ticks;
  std::vector<Datagram> out;
  nodes_.at(i).machine->Tick(now_, &out);
  Carry(i, std::move(out));
  Check(i);
  if (nodes_.at(i).machine->NextTick() <= now_) violations.push_back("a tick leaves work undone");
}

void Cluster::Check(int i) {
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
    const bool wrong = Running(target) && member.info.incarnation == IncarnationOf(target) &&
                       !IsLive(member.status);
    if (wrong && !wrong_since_.contains({i, target})) {
      ++wrong_deaths;
      wrong_since_[{i, target}] = now_;
    }
    if (!wrong) wrong_since_.erase({i, target});
  }
  for (const auto& [pair, since] : wrong_since_) {
    const auto& [observer, target] = pair;
    const bool counts = Running(observer) && Running(target) && cuts_.empty();
    if (counts) longest_wrong = std::max(longest_wrong, now_ - std::max(since, last_event_));
  }
}

void Cluster::RunFor(Micros span) {
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

bool Cluster::Settle(Micros bound) {
  const Micros end = now_ + bound;
  while (!Agreed()) {
    if (now_ >= end) return false;
    RunFor(50 * kMilli);
  }
  return true;
}

bool Cluster::Agreed() const { return Disagreement().empty(); }

std::string Cluster::Disagreement() const {
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

bool Cluster::Knows(int observer, int target) const {
  return nodes_.at(observer).machine->members().contains(NameOf(target));
}

MemberStatus Cluster::StatusAt(int observer, int target) const {
  return nodes_.at(observer).machine->members().at(NameOf(target)).status;
}

int Cluster::HeldLiveBy(int target) const {
  int count = 0;
  for (const auto& [i, node] : nodes_) {
    if (Running(i) && i != target && Knows(i, target) && IsLive(StatusAt(i, target))) ++count;
  }
  return count;
}

}  // namespace pearreach::coordination
