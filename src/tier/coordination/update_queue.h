// The members whose changed records a node still disseminates with its packets: each a bounded
// number of times, those that were sent least often first and, among these, the newest first. Owned
// by PacketSender; not thread-safe.
#ifndef PEARREACH_SRC_TIER_COORDINATION_UPDATE_QUEUE_H_
#define PEARREACH_SRC_TIER_COORDINATION_UPDATE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace pearreach::coordination {

class UpdateQueue {
 public:
  // What became of an update that was offered to a packet.
  enum class OfferResult { kIncluded, kTooLarge, kObsolete };

  // The member has changed: an earlier update of it is replaced.
  void Add(const std::string& name);
  bool empty() const { return order_.empty(); }
  std::size_t size() const { return order_.size(); }
  // Offers the updates in order until one is too large; one that was included `limit` times is
  // removed.
  void Offer(int limit, const std::function<OfferResult(const std::string& name)>& take);

 private:
  struct Priority {
    int sent = 0;
    std::uint64_t added = 0;
    bool operator<(const Priority& other) const {
      if (sent != other.sent) return sent < other.sent;
      return added > other.added;
    }
  };

  std::map<Priority, std::string> order_;
  std::map<std::string, Priority> priorities_;
  std::uint64_t last_ = 0;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_UPDATE_QUEUE_H_
