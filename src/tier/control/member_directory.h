// The members that this node may call for the control state: live members in this node's own order
// of preference, which spreads the clients over the quorum members. Owned by the control node. Loop
// thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_MEMBER_DIRECTORY_H_
#define PEARREACH_SRC_TIER_CONTROL_MEMBER_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "tier/coordination/chain.h"
#include "tier/coordination/membership.h"

namespace pearreach::control {

using MemberMap = std::map<std::string, coordination::Member>;

struct Contact {
  std::string name;  // empty: only its address is known
  std::string address;
};

// Alive or suspect.
bool IsLive(const coordination::Member& member);
// The part of "ip:port" before the port.
std::string IpOf(const std::string& address);

class MemberDirectory {
 public:
  // `seeds`: transport addresses to use while too few members are known. `regions`: by zone.
  MemberDirectory(const MemberMap* members, std::string self, std::vector<std::string> seeds,
                  std::map<std::string, std::string> regions = {});

  const MemberMap& members() const { return *members_; }
  const std::string& self() const { return self_; }
  const std::vector<std::string>& seeds() const { return seeds_; }
  // Also dead members; null: unknown.
  const coordination::Member* Find(const std::string& name) const;
  // A live other member of that name; null: none.
  const coordination::Member* FindLive(const std::string& name) const;
  // Live other quorum members, most preferred first, suspects last.
  std::vector<Contact> QuorumContacts() const;
  // Live other members outside the quorum, in the same order.
  std::vector<Contact> NonQuorumContacts() const { return Ranked(false); }
  // Quorum members, then all other live members, then the seeds.
  std::vector<Contact> AllContacts() const;
  // All quorum members, including this node, in the form that the chain replica takes.
  std::vector<coordination::Peer> Peers() const;

 private:
  std::vector<Contact> Ranked(bool quorum) const;

  const MemberMap* members_;
  std::string self_;
  std::vector<std::string> seeds_;
  std::map<std::string, std::string> regions_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_MEMBER_DIRECTORY_H_
