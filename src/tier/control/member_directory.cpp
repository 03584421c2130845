#include "tier/control/member_directory.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace pearreach::control {

using coordination::Member;
using coordination::MemberInfo;
using coordination::MemberStatus;

bool IsLive(const Member& member) {
  return member.status == MemberStatus::kAlive || member.status == MemberStatus::kSuspect;
}

std::string IpOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

MemberDirectory::MemberDirectory(const MemberMap* members, std::string self,
                                 std::vector<std::string> seeds,
                                 std::map<std::string, std::string> regions)
    : members_(members),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      regions_(std::move(regions)) {}

const Member* MemberDirectory::Find(const std::string& name) const {
  const auto found = members_->find(name);
  return found == members_->end() ? nullptr : &found->second;
}

const Member* MemberDirectory::FindLive(const std::string& name) const {
  const Member* member = name == self_ ? nullptr : Find(name);
  return member != nullptr && IsLive(*member) ? member : nullptr;
}

std::vector<Contact> MemberDirectory::Ranked(bool quorum) const {
  using Rank = std::pair<bool, std::size_t>;  // suspects last
  std::vector<std::pair<Rank, Contact>> ranked;
  for (const auto& [name, member] : *members_) {
    if (name == self_ || !IsLive(member)) continue;
    if (member.info.Is(MemberInfo::kQuorumMember) != quorum) continue;
    const Rank rank = {member.status != MemberStatus::kAlive,
                       std::hash<std::string>()(self_ + "\n" + name)};
    ranked.push_back({rank, {name, member.info.address}});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<Contact> contacts;
  contacts.reserve(ranked.size());
  for (auto& [rank, contact] : ranked) contacts.push_back(std::move(contact));
  return contacts;
}

std::vector<Contact> MemberDirectory::QuorumContacts() const { return Ranked(true); }

std::vector<Contact> MemberDirectory::AllContacts() const {
  std::vector<Contact> contacts = Ranked(true);
  for (Contact& contact : Ranked(false)) contacts.push_back(std::move(contact));
  for (const std::string& seed : seeds_) {
    const bool listed = std::any_of(contacts.begin(), contacts.end(),
                                    [&](const Contact& c) { return c.address == seed; });
    if (!listed) contacts.push_back({"", seed});
  }
  return contacts;
}

std::vector<coordination::Peer> MemberDirectory::Peers() const {
  std::vector<coordination::Peer> peers;
  for (const auto& [name, member] : *members_) {
    if (!member.info.Is(MemberInfo::kQuorumMember)) continue;
    const std::string& zone = member.info.zone;
    const auto region = regions_.find(zone);
    peers.push_back({{name, member.info.disk_id},
                     name == self_ || IsLive(member),
                     zone,
                     region == regions_.end() ? std::string() : region->second});
  }
  return peers;
}

}  // namespace pearreach::control
