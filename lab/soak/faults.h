// Signals to the processes of a run and losses of disks, drawn from a seed and overlapping. Never
// are more disks lost at once than `tolerance` allows; while one is, another member may be down.
#ifndef PEARREACH_LAB_SOAK_FAULTS_H_
#define PEARREACH_LAB_SOAK_FAULTS_H_

#include <atomic>
#include <cstdint>
#include <random>
#include <vector>

#include "lab/soak/fleet.h"
#include "lab/soak/request_log.h"

namespace pearreach::soak {

// From the beginning of the load to the first fault of each series, a SIGTERM.
inline constexpr Microseconds kFirstFault = 1 * kSecond;

// One fault at a time on one of `members`, until `stops`; then all of them run. Give all that keep
// data to one object, so that only one of them is lost at once.
class Faults {
 public:
  Faults(std::uint64_t seed, std::vector<Member*> members, RequestLog* log);

  void Run(const std::atomic<bool>& stops);

 private:
  Member* DrawMember();
  void PlayOne(Member* member);
  void Terminate(Member* member);
  void SignalWhileItStops(Member* member);
  void AwaitStop(Member* member, Microseconds from);  // SIGTERM came then
  // SIGKILL, and a start after `longest_down` at most.
  void RestartAbruptly(Member* member, Microseconds longest_down, bool loses_disk);
  void Kill(Member* member);
  void LoseDisk(Member* member);
  // `away` is down with its disk meanwhile.
  void LoseDiskWhileAnotherIsDown(Member* member, Member* away);
  // `source`, which may fill it again, starts again twice within the filling.
  void RestartWhileFilling(Member* member, Member* source);
  Member* DrawOther(const Member* member);
  void Freeze(Member* member);
  void Reload(Member* member);
  int Draw(int low, int high);

  const std::vector<Member*> members_;
  RequestLog* const log_;
  std::mt19937_64 random_;
  int played_ = 0;
};

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_FAULTS_H_
