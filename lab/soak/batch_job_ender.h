// A client that hands in batch jobs at one edge node and ends each while most of its items wait.
#ifndef PEARREACH_LAB_SOAK_BATCH_JOB_ENDER_H_
#define PEARREACH_LAB_SOAK_BATCH_JOB_ENDER_H_

#include <atomic>
#include <cstdint>
#include <random>
#include <string>

#include "lab/soak/fleet.h"
#include "lab/soak/http_connection.h"
#include "lab/soak/request_log.h"

namespace pearreach::soak {

struct BatchJobEnderOptions {
  std::string name;
  std::uint64_t seed = 0;
  const Member* node = nullptr;
  std::string key;
};

class BatchJobEnder {
 public:
  BatchJobEnder(const BatchJobEnderOptions& options, RequestLog* log);

  void Run(const std::atomic<bool>& stops);

 private:
  void SubmitAndEnd();
  HttpRequest Submission(const SentRequest& job) const;
  HttpAnswer Ask(const HttpRequest& request) const;

  const BatchJobEnderOptions options_;
  RequestLog* const log_;
  std::mt19937_64 random_;
  int jobs_ = 0;
};

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_BATCH_JOB_ENDER_H_
