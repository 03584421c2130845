// Builds and numbers the packets that a node sends, and disseminates updates: each changed record
// is piggybacked on a bounded number of packets, and where there is no other traffic on packets of
// its own. Owned by Membership; not thread-safe.
#ifndef PEARREACH_SRC_TIER_COORDINATION_PACKET_SENDER_H_
#define PEARREACH_SRC_TIER_COORDINATION_PACKET_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tier/coordination/member.h"
#include "tier/coordination/member_table.h"
#include "tier/coordination/membership_wire.h"
#include "tier/coordination/update_queue.h"

namespace pearreach::coordination {

class PacketSender {
 public:
  // `table` must outlive the sender. Probe identifiers continue from `first_probe_id`.
  PacketSender(std::size_t datagram_bytes, MemberTable* table, std::uint32_t first_probe_id,
               Micros now);

  // A packet with everything that does not depend on its kind. `to`: null where not known.
  MemberPacket NewPacket(PacketKind kind, const Member* to);
  // Adds the updates that fit and appends the datagram to `out`.
  void Send(const std::string& address, MemberPacket packet, Micros now,
            std::vector<Datagram>* out);
  // Sends all known members, the first ones with the packet `first`.
  void SendList(const std::string& address, MemberPacket first, Micros now,
                std::vector<Datagram>* out);
  std::uint32_t NextProbeId() { return ++last_probe_id_; }
  void Ping(const Member& to, std::uint32_t probe_id, Micros now, std::vector<Datagram>* out);

  // The record of this member has changed: it is sent soon.
  void QueueUpdate(const std::string& name, Micros now);
  void ScheduleUpdates(Micros now);
  // Sends the queued updates to a few random members, where they are due.
  void SendDueUpdates(Micros now, std::vector<Datagram>* out);
  Micros NextTick() const { return next_update_; }

 private:
  const std::size_t datagram_bytes_;
  MemberTable* const table_;
  UpdateQueue updates_;
  std::uint32_t last_number_ = 0;
  std::uint32_t last_probe_id_;
  Micros last_update_;
  Micros next_update_;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_PACKET_SENDER_H_
