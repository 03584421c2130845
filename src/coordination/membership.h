// Which nodes are there, as one of them sees it: SWIM-style probes, second opinions through others
// and suspicion before removal, over a set of nodes that is not known beforehand. A pure machine:
// no socket, no clock, no thread; hand it the time, datagrams and ticks, send what it returns. It
// says nothing of what the nodes do.
#ifndef PEARREACH_SRC_COORDINATION_MEMBERSHIP_H_
#define PEARREACH_SRC_COORDINATION_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace pearreach::coordination {

using Micros = std::int64_t;  // on the caller's steady clock

enum class MemberStatus : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// What a node says of itself. A later incarnation of the same name replaces the earlier one.
struct MemberInfo {
  std::string name;
  std::string address;             // "ip:port" of the mesh
  std::string zone;
  std::string machine_class;
  std::string disk_id;             // of its disk's contents; empty: no disk
  std::uint64_t incarnation = 0;   // of the process: greater for a later one
  std::uint8_t roles = 0;          // bits of kServesEdge and others
  static constexpr std::uint8_t kServesEdge = 1, kServesControl = 2, kServesStorage = 4,
                                kQuorumMember = 8;
  bool Is(std::uint8_t role) const { return (roles & role) != 0; }
};

struct Member {
  MemberInfo info;
  MemberStatus status = MemberStatus::kAlive;
  std::uint32_t refutations = 0;  // version of the status within one incarnation
  Micros heard = 0;               // last direct sign of it; 0: never
  std::map<std::string, std::uint64_t> versions;  // what it last announced (see Announce)
};

struct MembershipOptions {
  MemberInfo self;
  std::vector<std::string> seeds;       // mesh addresses to join through; may be wrong or down
  Micros probe_period = 200'000;        // one probe each
  Micros probe_timeout = 250'000;       // then second opinions are asked for
  Micros suspicion = 1'000'000;         // from suspicion to dead
  Micros forget_dead = 60'000'000;      // a dead node's entry is kept this long
  int helpers = 3;                      // nodes asked for a second opinion
  std::size_t datagram_bytes = 1300;
};

struct Datagram {
  std::string to;  // "ip:port"
  std::string bytes;
};

class Membership {
 public:
  Membership(MembershipOptions options, std::uint64_t seed, Micros now);

  Micros NextTick() const;
  void Tick(Micros now, std::vector<Datagram>* out);
  // Bytes are not trusted: what cannot be read is counted and passed over.
  void Receive(Micros now, const std::string& from_ip, std::string_view bytes,
               std::vector<Datagram>* out);
  // Tells others that this process ends on purpose.
  void Leave(Micros now, std::vector<Datagram>* out);
  // A version of something shared that rides on this node's own messages (and nowhere else), so
  // that others learn that this node has a newer one. Names are short.
  void Announce(const std::string& name, std::uint64_t version);

  // By name; this node itself is among them, alive.
  const std::map<std::string, Member>& members() const { return members_; }
  std::vector<std::string> TakeChanged();  // names whose status, info or versions changed since
  // Every other node that is alive or suspect was last heard within `span`, directly.
  bool HearsMostOf(const std::vector<std::string>& names, Micros now, Micros span) const;
  std::uint64_t malformed() const { return malformed_; }

 private:
  std::map<std::string, Member> members_;
  std::uint64_t malformed_ = 0;
  // (the rest is the implementation's)
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_COORDINATION_MEMBERSHIP_H_
