// A match worker that writes to the translation memory, for the kill test: a process of its own,
// which may be killed, frozen or cut off at any moment. It owns its listener and what it runs; it
// must never tell an end that the memory does not have.
#ifndef PEARREACH_LAB_CHAOS_WORKER_H_
#define PEARREACH_LAB_CHAOS_WORKER_H_

#include <cstdint>
#include <string>

namespace pearreach::lab {

struct ChaosWorkerOptions {
  std::string id, listen, news, memory;  // `news`: where the node hears it; `memory`: the file
  bool fences = true;
  std::uint64_t seed = 1;
};

// Serves until the process is ended.
int RunChaosWorker(const ChaosWorkerOptions& options);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_CHAOS_WORKER_H_
