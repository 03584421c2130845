// The links between nodes: each node is told addresses of relays in place of the other nodes', so
// that every word passes here and each direction has faults of its own: lost, late, doubled, out of
// order, damaged. It owns the sockets and what is on its way; it must never change a word but by a
// fault, and only the loopback interface is addressed.
#ifndef PEARREACH_LAB_TRIAL_LINKS_H_
#define PEARREACH_LAB_TRIAL_LINKS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/event_loop/io.h"
#include "lab/stats/stats.h"
#include "lab/trial/fault.h"

namespace pearreach::lab {

// What the faults at work make of words from one node to another; also in virtual time.
class WordFaults {
 public:
  WordFaults(int zones, std::uint64_t seed) : zones_(zones), chance_(seed) {}
  void Begin(const Fault& fault) { active_.push_back(fault); }
  void End(const Fault& fault);

  struct Copy {
    Micros later = 0;
    std::string bytes;
  };
  // The copies that arrive; none: it is lost.
  std::vector<Copy> Pass(int from, int to, std::string_view bytes);

 private:
  int zones_;
  Chance chance_;
  std::vector<Fault> active_;
};
// The address of a node's own in 127.0.0.0/8, and of the relays beside it: others for each process
// of the laboratory, so that trials side by side do not take each other's ports.
std::string HostOf(int node, bool relay);

// Whether a fault of words touches that direction. A zone against all is the zone's edge.
bool Touches(const Fault& fault, int from, int to, int zones);

class WordLinks {
 public:
  WordLinks(int nodes, int zones, std::uint64_t seed);
  ~WordLinks();
  WordLinks(const WordLinks&) = delete;
  WordLinks& operator=(const WordLinks&) = delete;

  const std::string& listen(int node) const { return listen_[static_cast<std::size_t>(node)]; }
  std::string peer(int node, int other) const;  // as `node` is told it
  std::string all(int node) const;
  WordFaults& faults() { return faults_; }
  std::uint64_t passed = 0, lost = 0;

 private:
  class Port;
  void Take(int from, int to, std::string_view bytes);
  void Deliver(int from, int to, const std::string& bytes);
  void Later();

  int nodes_;
  WordFaults faults_;
  std::vector<std::string> listen_;
  std::vector<GSocketAddress*> listens_;
  std::vector<std::unique_ptr<Port>> ports_;  // [from * nodes + to]; the own one reaches all
  struct Word {
    int from = 0, to = 0;
    std::string bytes;
  };
  std::multimap<Micros, Word> coming_;
  Alarm later_;
};

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TRIAL_LINKS_H_
