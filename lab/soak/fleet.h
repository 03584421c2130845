// The nodes and workers of a run: their settings, processes and the spans in which they were
// disturbed. It owns all child processes.
#ifndef PEARREACH_LAB_SOAK_FLEET_H_
#define PEARREACH_LAB_SOAK_FLEET_H_

#include <sys/types.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lab/soak/child_process.h"
#include "lab/soak/clock.h"

namespace pearreach::soak {

struct FleetOptions {
  std::string programs;  // folder of pearreach-tier and stand-in-worker
  std::string folder;    // for settings, data, logs and records
  int network = 1;       // addresses are 127.NETWORK.x.y
  int edges = 3, stores = 3,
      workers = 4;                   // and one worker more, which departs with a late heartbeat
  Microseconds grace = 8 * kSecond;  // from SIGTERM on, of the nodes
  // `limits` of the settings.
  int edge_memory_mb = 512, store_memory_mb = 512, file_limit = 1024, store_disk_mb = 64;
};

inline constexpr Microseconds kApply = 2500 * kMillisecond;
// `contact_ms`: so long after trouble of a member no node counts as in touch.
inline constexpr Microseconds kContact = 3 * kSecond;
inline constexpr int kMaxMembersOfEdges = 3;
inline constexpr int kEdgePort = 19144, kReadinessPort = 19140, kControlPort = 19146;

// The first network from `first` on, up to `last` and round again, at whose edge addresses nobody
// listens; `first` if there is none.
int FreeNetwork(int first, int last);

// One process at a time; thread-safe.
class Member {
 public:
  enum class Kind { kEdge, kStore, kWorker };

  Member(const FleetOptions& options, Kind kind, int index);

  void Start();
  // Of a process that has ended: all that it kept is gone, and it starts again with nothing.
  void RemoveDisk();
  // When it was started again after each loss of its disk.
  std::vector<Microseconds> lost_disk_returns() const;
  std::string log_path() const { return options_.folder + "/" + name_ + ".log"; }
  void Signal(int number);
  // Whether the process ended by itself, with code 0, within `longest`.
  std::optional<int> AwaitEnd(Microseconds longest);
  bool Runs();
  pid_t process_id() const;  // 0: none was started
  // From now on until `EndDisturbance`, and `kAfterwards` longer, it is not held to `kApply`.
  void BeginDisturbance(bool abrupt);
  void EndDisturbance();
  // When the signal of the latest disturbance that falls into the span, and is not abrupt, was
  // sent.
  std::optional<Microseconds> StopSignalIn(Microseconds from, Microseconds to) const;
  // Whether a disturbance (an abrupt one only) falls into the span.
  bool Disturbed(Microseconds from, Microseconds to, bool abrupt_only = false) const;

  // The latest SIGKILL in the span.
  std::optional<Microseconds> KillIn(Microseconds from, Microseconds to) const;
  // Whether a disturbance began or ended in the span.
  bool ChangedIn(Microseconds from, Microseconds to) const;
  // When the worker that departs had its departure and its late heartbeat acknowledged.
  std::optional<Microseconds> DepartureTime() const { return RecordedTime("departed"); }
  std::optional<Microseconds> LateHeartbeatTime() const { return RecordedTime("late"); }
  bool departs_with_late_heartbeat() const;
  // Its streams have no length, end with their connection and are within an event at any time.
  bool streams_without_length() const;

  // Of its machine, in MB; 0: not limited.
  int memory_mb() const;
  const std::string& name() const { return name_; }
  const std::string& ip() const { return ip_; }
  Kind kind() const { return kind_; }
  Microseconds grace() const { return options_.grace; }
  // A quorum member or a store.
  bool keeps_data() const { return keeps_data_; }
  std::string record_path() const { return options_.folder + "/" + name_ + ".record"; }

 private:
  struct Disturbance {
    Microseconds from = 0, to = 0;  // `to`: with kAfterwards
    bool abrupt = false;
  };

  std::optional<Microseconds> RecordedTime(const std::string& event) const;
  int index() const;
  std::string departure_path() const { return options_.folder + "/" + name_ + ".departure"; }
  std::string DataPath() const { return options_.folder + "/" + name_; }
  void WriteSettings() const;
  std::vector<std::string> NodeWords() const;
  std::vector<std::string> WorkerWords() const;

  const FleetOptions options_;
  const Kind kind_;
  const std::string name_, ip_;
  const bool keeps_data_;
  mutable std::mutex mutex_;
  int starts_ = 0;
  bool disk_is_lost_ = false;
  std::vector<Microseconds> lost_disk_returns_;
  std::unique_ptr<ChildProcess> process_;
  std::vector<Disturbance> disturbances_;
  std::vector<Microseconds> kills_;
};

class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);

  void StartNodes();
  void StartWorkers();
  Member* DepartingWorker() const { return members_.back().get(); }
  const std::vector<std::unique_ptr<Member>>& members() const { return members_; }
  std::vector<Member*> Of(Member::Kind kind) const;

 private:
  std::vector<std::unique_ptr<Member>> members_;
};

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_FLEET_H_
