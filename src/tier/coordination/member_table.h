// The members that one node knows, with their status: merges the records that arrive, refutes wrong
// ones about the node itself and picks members at random. Owned by Membership, which observes it;
// not thread-safe.
#ifndef PEARREACH_SRC_TIER_COORDINATION_MEMBER_TABLE_H_
#define PEARREACH_SRC_TIER_COORDINATION_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tier/coordination/member.h"
#include "tier/coordination/membership_wire.h"

namespace pearreach::coordination {

class MemberTable {
 public:
  // Called while a record is merged, after the table has taken it over but where said otherwise.
  class Observer {
   public:
    virtual ~Observer() = default;
    // Another member's status, incarnation or address changed. `replaced`: the record is the first
    // one of its process.
    virtual void OnMemberChanged(Micros now, const Member& member, bool replaced) = 0;
    // This node's own record must be sent to others.
    virtual void OnSelfChanged() = 0;
    // The first other live member is about to be inserted.
    virtual void OnFirstLiveMember() = 0;
    virtual void OnLastLiveMemberRemoved() = 0;
  };

  // `random` and `observer` must outlive the table.
  MemberTable(const MemberInfo& self, Micros dead_retention, std::mt19937_64* random,
              Observer* observer, Micros now);

  const Member& Self() const { return members_.at(self_name_); }
  const std::map<std::string, Member>& members() const { return members_; }
  // Null: not known.
  const Member* Find(const std::string& name) const;
  // Null: this process of that name is not known.
  const Member* FindIncarnation(const std::string& name, std::uint64_t incarnation) const;
  // Names whose status, info or versions changed since the last call.
  std::vector<std::string> TakeChanged();
  // The names of the other live members, in the order in which they are probed.
  const std::vector<std::string>& live() const { return live_; }
  // A sum over the live members that does not depend on their order: equal tables, equal digests.
  std::uint64_t Digest();

  // Takes over `record` where it supersedes what is known.
  void Merge(Micros now, const MemberRecord& record);
  // Takes over what a packet proves about its sender. False: the sender's process has been replaced
  // or has left, and the packet must be ignored.
  bool RecordContact(Micros now, const MemberPacket& packet);
  // Answers a suspicion of this node that carries `refutations` by a greater number.
  void Refute(std::uint32_t refutations);
  // False: nothing changed, or the name or the number of versions is too large to be sent.
  bool SetOwnVersion(const std::string& name, std::uint64_t version);
  // This process ends on purpose.
  void SetSelfLeft() { MutableSelf().status = MemberStatus::kLeft; }

  MemberRecord MakeRecord(Micros now, const Member& member) const;

  // The next member to probe, each once in a round of random order; null: there is none.
  const Member* NextProbeTarget();
  // At most `count` different live members that are not suspected, without `except`.
  std::vector<std::string> RandomLive(std::size_t count, const std::string& except);

  // When a suspect was last probed for that reason; 0: never.
  Micros last_suspect_probe(const std::string& name) { return peer_states_[name].last_probed; }
  void set_last_suspect_probe(const std::string& name, Micros now) {
    peer_states_[name].last_probed = now;
  }

  // Removes the members that have been dead or left for longer than the retention.
  void ForgetExpired(Micros now);
  bool HasEndedMembers() const;
  std::vector<const Member*> DeadMembers() const;

 private:
  // Local bookkeeping about another member that is not sent to others.
  struct PeerState {
    bool has_number = false;
    std::uint32_t number = 0;  // of the newest packet received
    Micros since = 0;          // dead or left: when that began
    Micros last_probed = 0;    // see last_suspect_probe
  };

  Member& MutableSelf() { return members_.at(self_name_); }
  void MergeSelf(const MemberRecord& record);
  void AdvanceIncarnation(std::uint64_t incarnation);
  void SetLive(const std::string& name, bool live);

  const std::string self_name_;
  const Micros dead_retention_;
  std::mt19937_64* const random_;
  Observer* const observer_;
  std::map<std::string, Member> members_;
  std::map<std::string, PeerState> peer_states_;  // by name, of the other members
  std::vector<std::string> live_;
  std::size_t probe_index_ = 0;  // in live_, of the next member to probe
  std::set<std::string> changed_;
  std::uint64_t digest_ = 0;
  bool digest_known_ = false;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_MEMBER_TABLE_H_
