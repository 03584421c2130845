// SWIM-style membership: which nodes are there, as one of them sees it. Every node probes the
// others in turn, asks for indirect probes through others, suspects before it declares a member
// dead, and disseminates what it learns on its packets. The set of nodes is not known beforehand.
//
// A deterministic state machine without socket, clock or thread: the caller passes the time and the
// datagrams received, and sends those that are returned. Not thread-safe; one object per process,
// owned by the driver that has the socket. By concern:
//   member_table.h      the members and the merging of records about them
//   packet_sender.h     packets, and the dissemination of updates on them
//   failure_detector.h  probes, suspicions and their timeouts
//   anti_entropy.h      the comparison of digests and the exchange of whole lists
//   peer_discovery.h    seeds, and dead members that may be back
//   membership_wire.h   the packets as bytes
#ifndef PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_H_
#define PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tier/coordination/anti_entropy.h"
#include "tier/coordination/failure_detector.h"
#include "tier/coordination/member.h"
#include "tier/coordination/member_table.h"
#include "tier/coordination/packet_sender.h"
#include "tier/coordination/peer_discovery.h"

namespace pearreach::coordination {

class Membership : private MemberTable::Observer {
 public:
  // `seed` of the random choices: equal seeds and inputs give equal outputs.
  Membership(MembershipOptions options, std::uint64_t seed, Micros now);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // When Tick must be called next, at the latest.
  Micros NextTick() const;
  void Tick(Micros now, std::vector<Datagram>* out);
  // `from_ip`: without the port. The bytes are not trusted: malformed ones are counted and ignored.
  void Receive(Micros now, const std::string& from_ip, std::string_view bytes,
               std::vector<Datagram>* out);
  // Notifies others that this process ends on purpose. After this, the object does nothing more.
  void AnnounceShutdown(Micros now, std::vector<Datagram>* out);
  // Attaches the version of something shared to this node's own packets (and to no others), so that
  // others learn that this node has a newer one. Names longer than kMaxVersionName bytes, and more
  // than kMaxVersions names, are ignored.
  void Announce(const std::string& name, std::uint64_t version);

  // Members with which contact must be recent whatever the size of the cluster (see
  // HasContactWithMajority): one that has been quiet for a while is probed in each probe period.
  // Meant for a few names.
  void Watch(std::vector<std::string> names) { detector_.Watch(std::move(names)); }

  // By name; this node itself is among them, alive.
  const std::map<std::string, Member>& members() const { return table_.members(); }
  // Names whose status, info or versions changed since the last call.
  std::vector<std::string> TakeChanged() { return table_.TakeChanged(); }
  // Whether more than half of `names` are live and sent a packet to this node within the last
  // `span`; this node itself always counts.
  bool HasContactWithMajority(const std::vector<std::string>& names, Micros now, Micros span) const;
  // Datagrams that could not be decoded.
  std::uint64_t malformed() const { return malformed_; }

 private:
  void OnMemberChanged(Micros now, const Member& member, bool replaced) override;
  void OnSelfChanged() override;
  void OnFirstLiveMember() override { detector_.Start(latest_time_); }
  void OnLastLiveMemberRemoved() override { detector_.Stop(); }

  void ExtendDeadlinesAfterStall(Micros now);
  void HandlePacket(Micros now, const std::string& from_ip, const MemberPacket& packet,
                    std::vector<Datagram>* out);
  void RespondToPing(Micros now, const MemberPacket& packet, const Member* sender,
                     const std::string& from, bool include_self, std::vector<Datagram>* out);
  void NotifySuperseded(Micros now, const std::string& from_ip, const MemberPacket& packet,
                        std::vector<Datagram>* out);
  bool ReconcileReceiverView(const ReceiverView& view);

  const MembershipOptions options_;
  std::mt19937_64 random_;
  MemberTable table_;
  PacketSender sender_;
  FailureDetector detector_;
  AntiEntropy anti_entropy_;
  PeerDiscovery discovery_;
  bool left_ = false;
  Micros latest_time_;   // greatest time that was passed in
  Micros planned_tick_;  // NextTick as of the last call
  std::uint64_t malformed_ = 0;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_H_
