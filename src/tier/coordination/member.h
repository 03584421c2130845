// The types of the membership protocol that other modules see: what is known of a member, the
// options and the datagrams. Plain values; no thread safety of their own.
#ifndef PEARREACH_SRC_TIER_COORDINATION_MEMBER_H_
#define PEARREACH_SRC_TIER_COORDINATION_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pearreach::coordination {

using Micros = std::int64_t;  // microseconds on the caller's steady clock

// Ordered by severity: of two records of the same incarnation and refutations the greater one wins.
enum class MemberStatus : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// What a node publishes about itself. A later incarnation of the same name replaces the earlier
// one.
struct MemberInfo {
  std::string name;
  std::string address;  // "ip:port" of the datagram socket
  std::string zone;
  std::string machine_class;
  std::string disk_id;            // identity of the disk's contents; empty: no disk
  std::uint64_t incarnation = 0;  // of the process: greater for a later start
  std::uint8_t roles = 0;         // bits of kServesEdge and others
  static constexpr std::uint8_t kServesEdge = 1, kServesControl = 2, kServesStorage = 4,
                                kQuorumMember = 8;
  bool Is(std::uint8_t role) const { return (roles & role) != 0; }
};

struct Member {
  MemberInfo info;
  MemberStatus status = MemberStatus::kAlive;
  std::uint32_t refutations = 0;                  // version of the status within one incarnation
  Micros last_contact = 0;                        // last packet received from it; 0: never
  std::map<std::string, std::uint64_t> versions;  // what it last announced (Membership::Announce)
};

struct MembershipOptions {
  MemberInfo self;
  std::vector<std::string> seeds;      // addresses to join through; may be wrong or down
  Micros probe_period = 200'000;       // one member is probed in each period
  Micros probe_timeout = 250'000;      // then indirect probes are requested
  Micros suspicion = 1'000'000;        // a suspect is declared dead after this time
  Micros dead_retention = 60'000'000;  // the entry of a dead member is kept this long
  int indirect_probes = 3;             // members that are asked to probe an unresponsive one
  std::size_t datagram_bytes = 1300;
};

struct Datagram {
  std::string to;  // "ip:port"
  std::string bytes;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_MEMBER_H_
