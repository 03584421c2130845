// A link between two parties that can be cut, held up and mended: connections to its address go on
// to another. It owns both sides of each; it must never lose a byte of a connection that it leaves
// open.
#ifndef PEARREACH_LAB_BASE_RELAY_H_
#define PEARREACH_LAB_BASE_RELAY_H_

#include <list>
#include <memory>
#include <string>

#include "common/event_loop/io.h"

namespace pearreach::lab {

class Relay {
 public:
  explicit Relay(std::string target);  // at a free loopback port
  ~Relay();
  std::string address() const;
  // Ends all connections, and each new one, until mended.
  void Cut();
  // Nothing passes until mended; what comes meanwhile is passed on then.
  void Hold() { held_ = true; }
  void Mend();

 private:
  struct Link {
    std::shared_ptr<Stream> near, far;
    std::string to_near, to_far;  // held back
    bool over = false;
  };
  void Accept(std::shared_ptr<Stream> stream);
  void Sweep();

  std::string target_;
  bool cut_ = false, held_ = false;
  std::list<Link> links_;
  Alarm sweep_;
  Listener listener_;
};

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_BASE_RELAY_H_
