// The hand-over of a node from one process to the next, on one machine, over a socket in the file
// system: the listener, what was learned, and the words of jobs that came to the wrong one of the
// two. It owns that socket and the link between the two; it must never leave the listener with
// nobody who accepts, whichever of the two dies, and never touch a connection of a client.
//
//   next: TAKE name          before it serves anything
//   old:  LISTENER (with the descriptor), KNOWLEDGE
//   next: READY              it accepts from now on
//   old:  YOURS              it accepts no more, answers what it took, and has left the path
//   both: NEWS               a word of a job that the sender does not have
//   old:  CONNECTION (with the descriptor)   a client's, between two requests
//
// The old one goes back to accepting where the link ends before it has answered all that it took.
#ifndef PEARREACH_SRC_NODE_HOT_RESTART_HANDOVER_H_
#define PEARREACH_SRC_NODE_HOT_RESTART_HANDOVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/io.h"

namespace pearreach {

class HandOver {
 public:
  struct Events {
    std::function<int()> listener;           // the descriptor that is handed over
    std::function<std::string()> knowledge;  // likewise, as bytes
    std::function<void()> leave;             // the next one accepts: answer what was taken, and end
    std::function<void()> stay;              // it has died: accept again
    std::function<void()> alone;             // the one before has left, or there was none
    std::function<void(const std::string&)> news;
    // A client's connection from the process before, the caller's now; none: it is closed.
    std::function<void(int)> connection;
  };
  // `path`: of the socket, for this node alone. `name`: the node's; another is not served.
  HandOver(std::string path, std::string name, Events events);
  ~HandOver();
  HandOver(const HandOver&) = delete;
  HandOver& operator=(const HandOver&) = delete;

  struct Taken {
    int listener = -1;  // a descriptor that is the caller's now
    std::string knowledge;
  };
  // Asks the process that serves now; blocks for so long at the most. Nothing: there is none, or it
  // does not answer, and `why` says so (empty: there is none).
  std::optional<Taken> Ask(Micros patience, std::string* why);
  // This process accepts: the one before may leave, and the next one may come. Empty, or what is
  // wrong with the path.
  std::string Serve();
  // To the other process, if there is one.
  bool Forward(const std::string& news);
  // A client's connection to the next process, once it accepts. True: it has it, and this one's
  // descriptor may be closed.
  bool Pass(int descriptor);

  bool leaving() const { return leaving_; }

 private:
  struct Link {
    std::shared_ptr<Stream> stream;
    std::string in;
  };
  std::string Open();
  void OnNext(std::shared_ptr<Stream> stream);
  void OnData(Link* link, std::string_view bytes);
  void OnFrame(Link* link, char type, const std::string& payload);
  void OnClosed(Link* link);
  void Drop(Link* link);

  std::string path_, name_;
  Events events_;
  Link before_, next_;     // the process before this one, and the one after it
  std::vector<int> came_;  // descriptors from the one before, for the frames that carry them
  bool leaving_ = false, serving_ = false;
  std::unique_ptr<Listener> listener_;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_HOT_RESTART_HANDOVER_H_
