// Sends an open-loop load to nodes over HTTP. It owns the connections, each with one request at a
// time, opened as they are needed; the book says what goes out when. It must never let a slow node
// keep the next job back: where no connection can be had the job counts as refused.
#ifndef PEARREACH_LAB_LOAD_SENDER_H_
#define PEARREACH_LAB_LOAD_SENDER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/event_loop/io.h"
#include "common/http/http.h"
#include "lab/load/book.h"

namespace pearreach::lab {

class Sender {
 public:
  // Jobs go to the nodes in turn. `path`: what follows the class in it.
  Sender(LoadBook* book, const LoadPlan& plan, std::vector<std::string> nodes, std::string path,
         std::size_t most_connections);
  ~Sender();
  // Runs until every job has its end.
  void Run();

  // What clients saw: "sent", "answered" (with its status), "broken", "gave_up".
  struct Word {
    const char* what = "";
    std::string id;
    std::size_t node = 0;
    int cls = 0, status = 0;
    Micros left = 0;  // "sent": until its client gives up
  };
  std::function<void(const Word&)> tell;
  // Clients wait so much longer than they tell the node: an answer that is on its way at the end of
  // their time still comes.
  Micros grace = 0;

  std::size_t most_open = 0;  // connections at once
  std::uint64_t without = 0;  // jobs that found none
  double cpu_seconds = 0;     // of this process, over the run

 private:
  struct Link {
    std::shared_ptr<Stream> stream;
    http::Parser parser{http::Parser::Kind::kResponse};
    std::size_t node = 0;
    std::uint64_t ticket = 0;  // 0: idle
    std::string id;            // of its request
    bool used = false;         // has carried an answer
    Micros idle_since = 0;
  };
  void Turn();
  void Send(const LoadBook::Send& send);
  void Over(Link* link, const http::Message* answer);
  Link* Take(std::size_t node);
  void Drop(Link* link);

  LoadBook* book_;
  const LoadPlan& plan_;
  std::vector<std::string> nodes_;
  std::string path_;
  std::size_t most_, next_node_ = 0;
  std::uint64_t run_;  // part of the requests' ids
  std::map<Link*, std::unique_ptr<Link>> links_;
  std::vector<std::vector<Link*>> idle_;  // by node, the last used last
  std::map<std::uint64_t, Link*> busy_;
  std::vector<std::unique_ptr<Link>> dropped_;  // not freed inside their own handlers
  Alarm tick_;
};

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_LOAD_SENDER_H_
