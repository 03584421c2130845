// A fleet of match workers and its discovery on real sockets, after the platform's protocol, around
// the same model of a worker as the world in virtual time. It owns its listeners, one for each
// worker and node (a node is known by the address that it calls), the jobs' running times and the
// failures, which come by script; it must never address anything but the loopback interface.
#ifndef PEARREACH_LAB_EMULATE_FLEET_H_
#define PEARREACH_LAB_EMULATE_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/base/agent.h"
#include "lab/base/standins.h"
#include "lab/model/worker.h"
#include "lab/sim/scenario.h"
#include "lab/stats/stats.h"

namespace pearreach::lab {

struct FleetOptions {
  std::vector<std::string> nodes;    // addresses that news goes to
  Scenario scenario;                 // its workers, kinds, classes (their work), troubles, notices
  std::string listen = "127.0.0.1";  // discovery's ports are free ones; so are the workers'
  std::uint64_t seed = 1;
  bool tells_progress = true;
  double news_lost = 0;  // part of the news whose first telling is lost on its way
  Micros news_late = 0;  // all of it comes so much later
  double errors = 0;     // part of the jobs that end as failed
  // The address that a node is told in place of a worker's own, say of a relay between them.
  std::function<std::string(std::size_t worker, std::size_t node, const std::string& address)> via;
  // What workers and discovery do: "took", "full", "done", "failed", "fell", "silent", "died",
  // "started" and, of a change of the list as a node was told it, "told".
  struct Word {
    const char* what = "";
    std::string worker, job, node;  // the node's number
    std::string detail;             // the list's state of it
    std::int64_t started_ms = 0;
  };
  std::function<void(const Word&)> tell;
};

class EmulatedFleet {
 public:
  explicit EmulatedFleet(const FleetOptions& options);
  ~EmulatedFleet();
  EmulatedFleet(const EmulatedFleet&) = delete;
  EmulatedFleet& operator=(const EmulatedFleet&) = delete;

  // Discovery as this node reaches it.
  std::string discovery(std::size_t node) const;
  // Troubles begin at their times from now on.
  void Start();
  // Ends all connections and drops what runs, as if the machine had gone; back by Restart alone.
  void Silence(std::size_t worker);
  void Restart(std::size_t worker, Micros down);
  void Drain(std::size_t worker, bool draining);
  // From now on so large a part of its jobs fails, and each takes so many times as long.
  void Grey(std::size_t worker, double errors, double times);
  // No change of the list reaches this node's agent until it is called with false.
  void HoldList(std::size_t node, bool held);

  struct Figures {
    std::uint64_t taken = 0, full = 0, done = 0, failed = 0, cancelled = 0, lost = 0, falls = 0;
    std::uint64_t second_copies = 0;       // an attempt came while another of its request was held
    std::uint64_t sent_while_drained = 0;  // more than the grace after all nodes were told
    double busy = 0;                       // slots, on average
  };
  Figures figures();
  const WorkerModel& model(std::size_t worker) const;

 private:
  class Discovery;
  struct Worker;
  struct Job {
    std::string id;
    std::size_t node = 0;
    std::uint64_t key = 0;
    bool started = false;
  };
  std::string Take(Worker* w, std::size_t node, const http::Message& message,
                   const std::shared_ptr<Stream>& stream);
  void Catch(Worker* w);
  void Tell(Worker* w, const Job& job, const char* state, const std::string& more);
  void Die(Worker* w, bool tells);
  void Changed(Worker* w);
  void Progress();
  void TellLater();
  Micros DrawWork(const std::string& cls);
  std::string Load(const Worker& w) const;
  void Say(const char* what, const Worker& w, const std::string& job = "", std::size_t node = 0);

  FleetOptions options_;
  Chance chance_;
  std::vector<std::unique_ptr<Discovery>> discoveries_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Alarm>> scripts_;
  std::multimap<Micros, std::pair<NewsAgent*, std::pair<std::string, std::string>>> later_;
  Alarm progress_, later_alarm_;
  Figures figures_;
  std::uint64_t last_key_ = 0;
  Micros began_ = 0;
};

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_EMULATE_FLEET_H_
