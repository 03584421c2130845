// What decides in a node of the world in virtual time: the module, or a plain policy to hold it
// against. A plain one sends at once, sees nothing but its own tally and the list, and obeys the
// same rules on repeats. It owns its state; no clock, no I/O.
#ifndef PEARREACH_LAB_SIM_DECIDER_H_
#define PEARREACH_LAB_SIM_DECIDER_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "pearreach/dispatcher.h"

namespace pearreach::lab {

class Decider {
 public:
  virtual ~Decider() = default;
  virtual void Handle(dispatch::Micros now, std::span<const dispatch::Event> events,
                      std::vector<dispatch::Action>* actions) = 0;
  // Slots; 0 where there is no such thing.
  virtual double Limit(int) const { return 0; }
  virtual double Busy(int) const { return 0; }
  virtual std::size_t Open() const = 0;
  virtual std::uint64_t Looks() const { return 0; }
  // What it has learned by now; empty where it learns nothing.
  virtual dispatch::Knowledge Learned(dispatch::Micros) const { return {}; }
};

// module, random, least (in flight of all workers), two (the better of two drawn), greedy (the most
// free slots told last). Throws dispatch::Malformed for another name.
std::unique_ptr<Decider> MakeDecider(const std::string& policy, const dispatch::Settings& settings,
                                     std::uint64_t seed, dispatch::Micros now);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_SIM_DECIDER_H_
