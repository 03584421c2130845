// What a stand-in worker answers: plain answers and streams of events with their ids, refusals that
// promise that nothing ran, and its health.
#ifndef PEARREACH_LAB_STAND_IN_WORKER_WORKER_H_
#define PEARREACH_LAB_STAND_IN_WORKER_WORKER_H_

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>

#include "common/event_loop/io.h"
#include "common/event_loop/timers.h"
#include "tier/http_server/exchange.h"

namespace pearreach::stand_in {

struct WorkerOptions {
  std::string worker_id;
  std::string health_path = "/health";
  int capacity = 4;                   // requests at once; more are refused
  Micros event_pause = 20 * kMs;      // between events, and before a plain answer without X-Work-Ms
  std::uint64_t default_events = 10;  // of a stream whose request names no tokens
  std::string record_path;            // a line for each request that runs; empty: none
  // Each event comes in two pieces: the second with the first one of the next event, so that a
  // stream is within an event at any time.
  bool splits_events = false;
};

class Worker {
 public:
  Worker(Timers* timers, WorkerOptions options);

  void Handle(std::shared_ptr<http_server::Exchange> exchange);
  void SetDraining() { draining_ = true; }
  const WorkerOptions& options() const { return options_; }
  int running() const { return running_; }

 private:
  struct Run;

  void AnswerHealth(http_server::Exchange* exchange) const;
  bool Refuses(http_server::Exchange* exchange) const;
  void BeginRun(std::shared_ptr<http_server::Exchange> exchange);
  // Adds "STEADY_US ATTEMPT_ID TENANT AUTHORIZATION TARGET" to the record; "-": no such header.
  void Record(const http::Message& request);
  void AnswerPlain(const std::shared_ptr<Run>& run);
  void SendEvent(const std::shared_ptr<Run>& run);
  void SendPieces(const std::shared_ptr<Run>& run);
  void After(const std::shared_ptr<Run>& run, Micros delay,
             void (Worker::*step)(const std::shared_ptr<Run>&));
  void End(const std::shared_ptr<Run>& run);

  Timers* const timers_;
  const WorkerOptions options_;
  bool draining_ = false;
  int running_ = 0;
  std::uint64_t runs_ = 0;  // begun so far
  std::ofstream record_;
};

}  // namespace pearreach::stand_in

#endif  // PEARREACH_LAB_STAND_IN_WORKER_WORKER_H_
