// A client whose calls last long enough for signals to fall into them, each kind over and over: a
// slow request on the connection of a stream that has just ended, a read that is held, a body in
// pieces, pipelined requests, calls to the control address on a kept connection.
#ifndef PEARREACH_LAB_SOAK_LONG_CALLER_H_
#define PEARREACH_LAB_SOAK_LONG_CALLER_H_

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "lab/soak/fleet.h"
#include "lab/soak/http_connection.h"
#include "lab/soak/request_log.h"

namespace pearreach::soak {

// A submission of a batch job with one item, `id`-item, that keeps a worker busy for `length`.
HttpRequest OneItemBatchJob(const std::string& id, const std::string& key, Microseconds length);

struct LongCallerOptions {
  std::string name;
  std::uint64_t seed = 0;
  const Member* node = nullptr;
  std::string key;
  RequestForm form = RequestForm::kAfterStream;
};

class LongCaller {
 public:
  LongCaller(const LongCallerOptions& options, RequestLog* log);

  void Run(const std::atomic<bool>& stops);

 private:
  void CallOnce();
  void StreamThenRequest();
  void HeldRead();
  void InPieces();
  void Pipelined();
  void KeptControl();

  HttpRequest Post(const std::string& path, const std::string& id, Microseconds deadline) const;
  HttpRequest Stream(const std::string& id, Microseconds length) const;
  HttpRequest Work(const std::string& id, Microseconds work, Microseconds deadline) const;
  SentRequest Begin(const std::string& id, RequestKind kind, RequestForm form) const;
  void Ask(HttpConnection* connection, const HttpRequest& request, SentRequest sent);
  void End(const HttpAnswer& answer, SentRequest sent);
  // So that the first call ends within the grace of the first SIGTERM, later ones at any time.
  Microseconds DrawLength();
  int Draw(int low, int high);
  std::string NextId();

  const LongCallerOptions options_;
  RequestLog* const log_;
  std::mt19937_64 random_;
  std::uint64_t calls_ = 0, ids_ = 0;
};

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_LONG_CALLER_H_
