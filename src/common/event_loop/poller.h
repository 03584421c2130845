// Which descriptors are ready, for all streams of the process: one epoll set that GLib's main loop
// polls as a single source, so that a turn of the loop costs what is ready and not what is open. It
// owns the set; it must never call back for a descriptor after Remove, nor close one.
#ifndef PEARREACH_SRC_COMMON_EVENT_LOOP_POLLER_H_
#define PEARREACH_SRC_COMMON_EVENT_LOOP_POLLER_H_

#include <glib.h>
#include <sys/epoll.h>

#include <cstdint>
#include <vector>

namespace pearreach {

class Poller {
 public:
  // On the default main loop; used by its thread only.
  static Poller& Default();

  class Client {
   public:
    virtual void OnReady(std::uint32_t events) = 0;  // EPOLLIN, EPOLLOUT, EPOLLERR, EPOLLHUP

   protected:
    ~Client() = default;
  };

  // Watches `fd` for these events (errors and hang-ups always) until Remove; level-triggered.
  // False: the system takes no more.
  bool Set(int fd, std::uint32_t events, Client* client);
  void Remove(int fd);

 private:
  Poller();
  void Dispatch();

  struct Slot {
    Client* client = nullptr;
    std::uint32_t generation = 0;  // what was ready for an earlier owner of this number is stale
    std::uint32_t events = 0;
  };
  std::vector<Slot> slots_;  // by descriptor
  int set_ = -1;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_COMMON_EVENT_LOOP_POLLER_H_
