// A worker as the operators' pages have it: registers by beats, runs requests, declines those that
// name another worker. What it ran is written to the record.
#ifndef PEARREACH_REVIEW_TOOLS_2_WORKER_H_
#define PEARREACH_REVIEW_TOOLS_2_WORKER_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"

namespace review {

struct Run {
  std::string worker, attempt_id, path;
  std::int64_t at_ms = 0;
  Message request;
};

class Worker {
 public:
  // Writes the answer to a request that runs, on the connection; false: the connection is closed.
  using Behaviour = std::function<bool(Worker* worker, int fd, const Message& request)>;

  Worker(Record* record, std::string id, std::string service, std::string ip, int port,
         std::string zone);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  bool Serve();
  void set_behaviour(Behaviour behaviour) { behaviour_ = std::move(behaviour); }

  // The next beat, as bytes on the wire, with the next call_seq.
  std::string NextBeat(const std::string& phase);
  // Sends a beat to that control address; whether it was acknowledged.
  bool Beat(const std::string& control_ip, const std::string& phase);
  bool Depart(const std::string& control_ip);
  // Beats every `beat_ms` to one of these addresses, and to the next one where one fails.
  void StartBeats(std::vector<std::string> control_ips, int beat_ms);
  void StopBeats();
  // As if its machine had lost power: it reads and says nothing more on its connections, new ones
  // to it hang, and requests that it has not read are not run. It stays so.
  void GoDark();
  bool is_dark() const { return dark_; }

  std::vector<Run> Runs();
  const std::string& id() const { return id_; }
  std::string Seal() { return id_ + "." + std::to_string(++seals_); }

 private:
  void Accept();
  void ServeConnection(int fd);

  Record* record_;
  const std::string id_, service_, ip_, zone_;
  const int port_;
  Behaviour behaviour_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false}, beats_{false}, dark_{false};
  std::atomic<int> seq_{0}, seals_{0}, open_{0};
  std::thread acceptor_, beater_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::vector<int> fillers_;  // connections that fill the listener's queue
};

// Answers with a short body and a seal.
bool AnswerPlain(Worker* worker, int fd, const Message& request);

}  // namespace review

#endif  // PEARREACH_REVIEW_TOOLS_2_WORKER_H_
