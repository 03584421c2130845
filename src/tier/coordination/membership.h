// Which nodes are there, as one of them sees it: SWIM-style probes, second opinions through others
// and suspicion before removal, over a set of nodes that is not known beforehand. A pure machine:
// no socket, no clock, no thread; hand it the time, datagrams and ticks, send what it returns. It
// says nothing of what the nodes do.
#ifndef PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_H_
#define PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tier/coordination/membership_changes.h"

namespace pearreach::coordination {

using Micros = std::int64_t;  // on the caller's steady clock

enum class MemberStatus : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// What a node says of itself. A later incarnation of the same name replaces the earlier one.
struct MemberInfo {
  std::string name;
  std::string address;  // "ip:port" of the mesh
  std::string zone;
  std::string machine_class;
  std::string disk_id;            // of its disk's contents; empty: no disk
  std::uint64_t incarnation = 0;  // of the process: greater for a later one
  std::uint8_t roles = 0;         // bits of kServesEdge and others
  static constexpr std::uint8_t kServesEdge = 1, kServesControl = 2, kServesStorage = 4,
                                kQuorumMember = 8;
  bool Is(std::uint8_t role) const { return (roles & role) != 0; }
};

struct Member {
  MemberInfo info;
  MemberStatus status = MemberStatus::kAlive;
  std::uint32_t refutations = 0;                  // version of the status within one incarnation
  Micros last_contact = 0;                        // last direct sign of it; 0: never
  std::map<std::string, std::uint64_t> versions;  // what it last announced (see Announce)
};

struct MembershipOptions {
  MemberInfo self;
  std::vector<std::string> seeds;      // mesh addresses to join through; may be wrong or down
  Micros probe_period = 200'000;       // one probe each
  Micros probe_timeout = 250'000;      // then second opinions are asked for
  Micros suspicion = 1'000'000;        // from suspicion to dead
  Micros dead_retention = 60'000'000;  // a dead node's entry is kept this long
  int indirect_probes = 3;             // nodes asked for a second opinion
  std::size_t datagram_bytes = 1300;
};

struct Datagram {
  std::string to;  // "ip:port"
  std::string bytes;
};

struct MemberPacket;  // membership_wire.h
struct MemberRecord;
struct ReceiverView;
enum class PacketKind : std::uint8_t;

class Membership {
 public:
  Membership(MembershipOptions options, std::uint64_t seed, Micros now);

  Micros NextTick() const;
  void Tick(Micros now, std::vector<Datagram>* out);
  // Bytes are not trusted: what cannot be read is counted and passed over.
  void Receive(Micros now, const std::string& from_ip, std::string_view bytes,
               std::vector<Datagram>* out);
  // Tells others that this process ends on purpose.
  void AnnounceShutdown(Micros now, std::vector<Datagram>* out);
  // A version of something shared that rides on this node's own messages (and nowhere else), so
  // that others learn that this node has a newer one. Names are short.
  void Announce(const std::string& name, std::uint64_t version);

  // Members to be heard often whatever the size of the cluster (see HasContactWithMajority): those
  // that have not been heard for a while are asked, one with each probe. Meant for a few names.
  void Watch(std::vector<std::string> names) { watched_ = std::move(names); }

  // By name; this node itself is among them, alive.
  const std::map<std::string, Member>& members() const { return members_; }
  std::vector<std::string> TakeChanged();  // names whose status, info or versions changed since
  // Every other node that is alive or suspect was last heard within `span`, directly.
  bool HasContactWithMajority(const std::vector<std::string>& names, Micros now, Micros span) const;
  std::uint64_t malformed() const { return malformed_; }

 private:
  // A direct question that waits for its answer.
  struct Probe {
    std::string target;
    Micros started = 0, due = 0;
    bool indirect_probes_requested = false;
  };
  // A ping that was made for another node.
  struct Relay {
    std::string requester;  // address
    std::uint32_t probe = 0;
    std::string target;
    Micros expires = 0;
  };
  // What is kept of another member and not told.
  struct PeerState {
    bool has_number = false;
    std::uint32_t number = 0;  // of its newest packet
    Micros since = 0;          // dead or left
    Micros last_probed = 0;    // suspect: last asked
  };

  // membership.cpp: the state
  Member& Self() { return members_.at(options_.self.name); }
  const Member& Self() const { return members_.at(options_.self.name); }
  bool Apply(Micros now, const MemberRecord& update);
  void ApplyToSelf(const MemberRecord& update);
  void AdvanceIncarnation(std::uint64_t incarnation);
  void Refute(std::uint32_t refutations);
  void SetLive(const std::string& name, bool live);
  void RecordChange(Micros now, const std::string& name);
  void ExtendDeadlinesAfterStall(Micros now);
  void ScheduleUpdate(Micros now);
  std::uint64_t Digest();
  std::vector<std::string> RandomLive(std::size_t count, const std::string& except);
  Micros Jitter(Micros span);

  // membership_send.cpp: packets out
  MemberPacket NewPacket(PacketKind kind, const Member* to);
  MemberRecord MakeRecord(Micros now, const Member& member) const;
  void Send(Micros now, const std::string& address, MemberPacket packet,
            std::vector<Datagram>* out);
  void SendList(Micros now, const std::string& address, MemberPacket first,
                std::vector<Datagram>* out);
  void Ping(Micros now, const Member& to, std::uint32_t probe, std::vector<Datagram>* out);

  // membership_receive.cpp: packets in
  bool UpdateSender(Micros now, const MemberPacket& packet);
  void NotifySuperseded(Micros now, const std::string& from_ip, const MemberPacket& packet,
                        std::vector<Datagram>* out);
  bool ReconcileReceiverView(const ReceiverView& view);
  void OnResponse(Micros now);
  bool AdmitListTransfer(Micros now);
  void OnPing(Micros now, const MemberPacket& packet, const std::string& from, bool own_wanted,
              std::vector<Datagram>* out);
  void OnAck(Micros now, const MemberPacket& packet, const std::string& from,
             std::vector<Datagram>* out);
  void OnPingRequest(Micros now, const MemberPacket& packet, const std::string& from,
                     std::vector<Datagram>* out);
  void OnIndirectAck(Micros now, const MemberPacket& packet);
  void CompareDigest(Micros now, const MemberPacket& packet, const std::string& from,
                     std::vector<Datagram>* out);

  // membership_tick.cpp: what happens with time
  void CheckProbeTimeouts(Micros now, std::vector<Datagram>* out);
  void RequestIndirectProbes(Micros now, std::uint32_t id, Probe* probe,
                             std::vector<Datagram>* out);
  void Suspect(Micros now, const Probe& probe);
  void CheckSuspicionTimeouts(Micros now);
  void StartProbe(Micros now, std::vector<Datagram>* out);
  void ProbeSuspects(Micros now, std::vector<Datagram>* out);
  void ProbeWatched(Micros now, std::vector<Datagram>* out);
  void ProbeWhenUnanswered(Micros now, std::vector<Datagram>* out);
  void ContactSeeds(Micros now, std::vector<Datagram>* out);
  void ProbeDead(Micros now, std::vector<Datagram>* out);
  void SendUpdates(Micros now, std::vector<Datagram>* out);

  MembershipOptions options_;
  std::mt19937_64 random_;
  std::map<std::string, Member> members_;
  std::map<std::string, PeerState> peer_states_;  // by name, of the others
  std::vector<std::string> live_;           // names of the others that are live, in probing order
  std::size_t probe_index_ = 0;             // index of the next to probe
  std::map<std::string, Micros> suspects_;  // by name, when they become dead
  std::map<std::uint32_t, Probe> probes_;
  std::map<std::uint32_t, Relay> relays_;
  UpdateQueue changes_;
  std::vector<std::string> watched_;
  std::set<std::string> changed_;
  std::uint64_t digest_ = 0;
  bool digest_known_ = false;
  bool left_ = false;
  bool isolated_ = false;  // no answer of anybody for too long: suspicions are held back
  std::uint32_t last_number_ = 0, last_probe_ = 0;
  Micros latest_time_ = 0;   // the newest time seen
  Micros planned_tick_ = 0;  // the next tick as planned
  Micros last_response_ = 0, last_update_ = 0, last_sync_ = 0;
  Micros lists_paid_until_ = 0;  // lists handed out are within their budget up to here
  Micros mismatched_since_ = 0;  // others know other members; 0: they do not
  Micros next_probe_ = 0, next_update_ = 0, next_seed_ = 0, next_dead_ = 0;
  Micros seed_backoff_ = 0;
  std::uint64_t malformed_ = 0;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_H_
