// Stand-ins on real loopback sockets for what surrounds a node: match workers, discovery, clients,
// and the node's own process. They speak docs' platform protocol on the main loop of the program
// that holds them. They own their sockets and end with it; they must never address anything but the
// loopback interface.
#ifndef PEARREACH_LAB_BASE_STANDINS_H_
#define PEARREACH_LAB_BASE_STANDINS_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/event_loop/io.h"
#include "common/http/http.h"
#include "lab/base/agent.h"
#include "lab/base/process.h"

namespace pearreach::lab {

// Serves HTTP at a loopback address, by default with a free port; the handler gives the whole
// answer, or nothing and keeps the stream to write it later.
class HttpServer {
 public:
  using Handler = std::function<std::string(const http::Message&, const std::shared_ptr<Stream>&)>;
  explicit HttpServer(Handler handler, const std::string& address = "127.0.0.1:0");
  std::string address() const;
  void CloseAll();

 private:
  Handler handler_;
  std::map<Stream*, std::shared_ptr<Stream>> streams_;
  Listener listener_;
};

struct MatchWorkerOptions {
  std::string id;
  int slots = 4;
  Micros work = 20 * kMs;  // of one job
  double fails = 0;        // share of its jobs that end as failed
  std::string kind = "standin", listen = "127.0.0.1:0";
};

// Takes jobs, runs a few at a time, tells the node that sent them of their start and end.
class MatchWorker {
 public:
  MatchWorker(const MatchWorkerOptions& options, std::uint64_t seed);
  // Where news of a job goes: the node whose name is in the job's path, or the only one.
  void AddNode(const std::string& name, const std::string& address);
  std::string address() const { return server_.address(); }
  const MatchWorkerOptions& options() const { return options_; }

  std::uint64_t taken = 0, served = 0, failed = 0;

 private:
  struct Job {
    std::string id, node;
  };
  std::string Take(const http::Message& message);
  void Begin();
  void Finish();
  void Tell(const Job& job, const std::string& state, const std::string& more);

  MatchWorkerOptions options_;
  std::mt19937_64 random_;
  std::map<std::string, std::unique_ptr<NewsAgent>> nodes_;
  std::deque<Job> waiting_;
  std::deque<std::pair<Micros, Job>> running_;  // by their end
  Alarm ended_;
  HttpServer server_;
};

// Answers with one list; a watch of it stays open.
class StandInDiscovery {
 public:
  explicit StandInDiscovery(const std::string& listen = "127.0.0.1:0");
  std::string address() const { return server_.address(); }
  void SetWorkers(const std::vector<const MatchWorker*>& workers);
  // Of workers by name and address.
  void SetList(const std::vector<std::pair<std::string, std::string>>& workers,
               const std::string& kind = "standin");

 private:
  std::string list_;
  std::vector<std::weak_ptr<Stream>> watches_;
  HttpServer server_;
};

// Sends jobs to a node by a schedule, whatever its answers do, over as many connections as it
// takes.
class JobSource {
 public:
  JobSource(std::string node, std::string address, std::uint64_t seed);
  void Send(const std::string& cls);  // one job, now
  std::size_t open() const { return open_; }

  std::uint64_t sent = 0, served = 0, refused = 0, failed = 0, broken = 0;
  std::vector<Micros> latencies;  // of those served
  std::string example_refusal;    // an answer that was no 200, for people

 private:
  struct Link {
    std::shared_ptr<Stream> stream;
    http::Parser parser{http::Parser::Kind::kResponse};
    bool busy = false;
    Micros sent = 0;
  };
  void Done(Link* link, const http::Message& answer);

  std::string node_, address_;
  std::uint64_t next_id_;
  std::size_t open_ = 0;
  std::vector<std::unique_ptr<Link>> links_;
};

// A node's own process. Its files stand in `folder`.
class NodeProcess : public Process {
 public:
  NodeProcess(const std::string& program, const std::string& name, const std::string& folder,
              const std::string& discovery, const std::string& operator_file,
              const std::string& address = "");
  // With a configuration of the caller's own, a JSON text, which names `address`.
  struct Own {
    std::string config;
  };
  NodeProcess(const std::string& program, const std::string& name, const std::string& folder,
              const Own& own, const std::string& operator_file, const std::string& address);
  ~NodeProcess() { Stop(); }  // SIGTERM; SIGKILL if it does not end
  const std::string& address() const { return address_; }
  bool Ready(Micros most);  // waits until it answers

 private:
  static std::vector<std::string> Words(const std::string& program, const std::string& name,
                                        const std::string& folder, const std::string& discovery,
                                        const std::string& operator_file,
                                        const std::string& address);
  static std::vector<std::string> Written(const std::string& program, const std::string& name,
                                          const std::string& folder, const std::string& config,
                                          const std::string& operator_file);
  NodeProcess(const std::string& program, const std::string& name, const std::string& folder,
              const std::string& discovery, const std::string& operator_file,
              const std::string& address, int);
  std::string address_;
};

// Runs the main loop until `done` or so long.
bool RunUntil(const std::function<bool()>& done, Micros most);

// A free loopback port, as "127.0.0.1:PORT".
std::string FreeAddress();

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_BASE_STANDINS_H_
