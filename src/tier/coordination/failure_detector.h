// SWIM's failure detection: probes the members in turn, has others probe an unresponsive one, and
// declares a suspect dead after a time unless it refutes the suspicion. While nobody at all answers
// it declares nobody dead, because then this node is probably the one that is cut off. Owned by
// Membership; not thread-safe.
#ifndef PEARREACH_SRC_TIER_COORDINATION_FAILURE_DETECTOR_H_
#define PEARREACH_SRC_TIER_COORDINATION_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "tier/coordination/member.h"
#include "tier/coordination/member_table.h"
#include "tier/coordination/membership_wire.h"
#include "tier/coordination/packet_sender.h"

namespace pearreach::coordination {

class FailureDetector {
 public:
  // The pointers must outlive the detector, and `options` too.
  FailureDetector(const MembershipOptions& options, MemberTable* table, PacketSender* sender,
                  std::mt19937_64* random, Micros now);

  Micros NextTick() const;
  void Tick(Micros now, std::vector<Datagram>* out);

  // See Membership::Watch.
  void Watch(std::vector<std::string> names) { watched_ = std::move(names); }

  // The first other live member is there: probing starts.
  void Start(Micros now);
  void Stop();
  void OnStatusChanged(Micros now, const std::string& name, MemberStatus status);
  // This process did not run for `span`: what did not arrive meanwhile proves nothing.
  void OnStall(Micros span);

  void OnAck(Micros now, const MemberPacket& packet, std::vector<Datagram>* out);
  void OnPingRequest(Micros now, const MemberPacket& packet, const std::string& from,
                     std::vector<Datagram>* out);
  void OnIndirectAck(Micros now, const MemberPacket& packet);

 private:
  // A ping of this node that has not been acknowledged yet.
  struct Probe {
    std::string target;
    Micros started = 0, due = 0;
    bool indirect_probes_requested = false;
  };
  // A ping that was sent on behalf of another node.
  struct Relay {
    std::string requester;  // address
    std::uint32_t probe = 0;
    std::string target;
    Micros expires = 0;
  };

  void OnResponse(Micros now);
  void CheckProbeTimeouts(Micros now, std::vector<Datagram>* out);
  void RequestIndirectProbes(Micros now, std::uint32_t id, Probe* probe,
                             std::vector<Datagram>* out);
  void Suspect(Micros now, const Probe& probe);
  void CheckSuspicionTimeouts(Micros now);
  void StartProbe(Micros now, std::vector<Datagram>* out);
  void ProbeSuspects(Micros now, std::vector<Datagram>* out);
  void ProbeWatched(Micros now, std::vector<Datagram>* out);
  void ProbeWhenUnanswered(Micros now, std::vector<Datagram>* out);
  void EraseProbe(std::uint32_t id, const std::string& target);

  const MembershipOptions& options_;
  MemberTable* const table_;
  PacketSender* const sender_;
  std::mt19937_64* const random_;
  std::map<std::uint32_t, Probe> probes_;
  std::map<std::uint32_t, Relay> relays_;
  std::map<std::string, Micros>
      suspicion_deadlines_;  // by name; kNever while this node is isolated
  std::vector<std::string> watched_;
  bool isolated_ = false;  // nobody has answered for too long: suspicions do not time out
  Micros last_response_;
  Micros next_probe_;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_FAILURE_DETECTOR_H_
