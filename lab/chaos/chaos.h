// The kill test of durable jobs: a node's process, stand-in workers as processes and the links
// between them are killed, frozen, cut and held up at random under load, and the stand-in of the
// translation memory counts how often each job has taken effect. The seed is the schedule of
// faults. It must never call a job right that it has not seen end, nor leave a process behind.
#ifndef PEARREACH_LAB_CHAOS_CHAOS_H_
#define PEARREACH_LAB_CHAOS_CHAOS_H_

#include <cstdint>
#include <string>

namespace pearreach::lab {

struct ChaosOptions {
  std::string program;  // the node's
  std::string self;     // this program, which is also the workers'
  int jobs = 300;
  std::uint64_t seed = 1;
  bool fences = true;
  double rate = 150;  // jobs a second
  int in_hand = 64;   // durable jobs that the module may have; the others wait in the store
};

// 0: each job that was acknowledged has ended, and the memory agrees with its state.
int RunChaos(const ChaosOptions& options);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_CHAOS_CHAOS_H_
