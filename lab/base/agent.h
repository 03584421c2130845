// A worker machine's agent, as far as it tells a node news of jobs: each call on a connection that
// carries one at a time, said again until it is answered, at most ten times, and the news of one
// job in their order. It owns its connections and what waits; it must never forget news that it
// still has tries for.
#ifndef PEARREACH_LAB_BASE_AGENT_H_
#define PEARREACH_LAB_BASE_AGENT_H_

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "common/event_loop/io.h"
#include "common/http/http.h"

namespace pearreach::lab {

class NewsAgent {
 public:
  explicit NewsAgent(std::string address, int connections = 4);
  ~NewsAgent();
  NewsAgent(const NewsAgent&) = delete;
  NewsAgent& operator=(const NewsAgent&) = delete;

  void Tell(const std::string& job, std::string body);
  // What waits and what is on its way is forgotten, and the connections end: the process died.
  void Drop();
  std::size_t waiting() const;
  std::uint64_t told = 0, given_up = 0;

 private:
  struct Call {
    std::string body;
    int tries = 0;
  };
  struct Link {
    std::shared_ptr<Stream> stream;
    http::Parser parser{http::Parser::Kind::kResponse};
    std::deque<Call> calls;  // the first is on its way, if busy
    bool busy = false;
    Micros at = 0;  // busy: given up then; else: not before
  };
  void Pump(Link* link);
  void Heard(Link* link, bool good);
  void Tick();

  std::string address_;
  std::vector<std::unique_ptr<Link>> links_;
  Alarm tick_;
};

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_BASE_AGENT_H_
