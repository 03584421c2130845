// A cluster of Membership objects in virtual time over a network that loses, delays and duplicates
// datagrams and whose links can fail. Deterministic for a seed.
#ifndef PEARREACH_TESTS_TIER_COORDINATION_MEMBERSHIP_CLUSTER_H_
#define PEARREACH_TESTS_TIER_COORDINATION_MEMBERSHIP_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tier/coordination/membership.h"

namespace pearreach::coordination {

constexpr Micros kMilli = 1000, kSecond = 1000 * kMilli;

struct NetworkConditions {
  double loss = 0, doubled = 0;
  Micros min_delay = 1 * kMilli, max_delay = 30 * kMilli;  // delay of a datagram
};

class MembershipCluster {
 public:
  explicit MembershipCluster(std::uint64_t seed, NetworkConditions network = {});

  // Starts node `i`, or starts it again: a later incarnation, or the one that is given, at
  // `address` where that is given.
  void Start(int i, const std::string& address = "", std::uint64_t incarnation = 0);
  void StartAll(int count);
  void Kill(int i);
  void AnnounceShutdown(int i);
  void Freeze(int i);
  // Datagrams that arrived meanwhile are received now, or `lost`.
  void Thaw(int i, bool lost = false);
  void BlockLink(int from, int to);  // one way
  void BlockBothDirections(int a, int b);
  void Isolate(int i);                        // both ways, from all
  void Split(const std::set<int>& one_side);  // all links between it and the others
  void Heal();                                // all links
  void RunFor(Micros span);
  // Runs until all running nodes agree on who is live; false: not within `bound`.
  bool RunUntilAgreed(Micros bound);

  bool Agreed() const;
  std::string Disagreement() const;
  bool Up(int i) const { return nodes_.contains(i) && nodes_.at(i).machine != nullptr; }
  Membership& At(int i) { return *nodes_.at(i).machine; }
  MemberStatus StatusAt(int observer, int target) const;
  bool Knows(int observer, int target) const;
  // The running nodes that see `target` as live.
  int CountSeeingLive(int target) const;
  Micros now() const { return now_; }

  // Of its running process, else of the last one.
  std::uint64_t IncarnationOf(int i) const;
  static std::string NameOf(int i) { return "edge-zone-" + std::to_string(i); }
  static std::string AddressOf(int i) { return "10.0.0." + std::to_string(i) + ":7660"; }

  NetworkConditions network;
  std::vector<std::string> seeds = {AddressOf(0), AddressOf(1), AddressOf(2)};
  MembershipOptions defaults;  // all but self and seeds
  std::uint64_t sent = 0, sent_bytes = 0, ticks = 0, largest = 0;
  std::vector<std::string> violations;
  // Longest time that a running, reachable, thawed node was seen as dead by another one since
  // the last event, and how often a running one was seen as dead at all.
  Micros max_false_death = 0;
  int false_deaths = 0;

 private:
  struct Node {
    std::unique_ptr<Membership> machine;
    std::string address;
    std::uint64_t incarnation = 0;
    bool frozen = false;
    std::vector<std::pair<std::string, std::string>>
        waiting;                                // sender's IP and bytes, while frozen
    std::map<std::string, std::uint64_t> seen;  // incarnations
  };
  struct Flight {
    int from = 0;
    std::string to, bytes;
  };

  bool Running(int i) const { return Up(i) && !nodes_.at(i).frozen; }
  void Transmit(int from, std::vector<Datagram> datagrams);
  void Deliver(const Flight& flight);
  void TickOne(int i);
  void Check(int i);
  void RecordEvent() {
    last_event_ = now_;
    false_death_since_.clear();
  }
  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  std::mt19937_64 random_;
  Micros now_ = 1000 * kSecond, last_event_ = 0;
  std::map<int, Node> nodes_;
  std::set<std::pair<int, int>> blocked_links_;
  std::multimap<Micros, Flight> flights_;
  std::map<std::pair<int, int>, Micros> false_death_since_;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_TESTS_TIER_COORDINATION_MEMBERSHIP_CLUSTER_H_
