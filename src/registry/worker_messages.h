// What nodes tell one another of workers.
#ifndef PEARREACH_SRC_REGISTRY_WORKER_MESSAGES_H_
#define PEARREACH_SRC_REGISTRY_WORKER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "codec/archive.h"
#include "registry/worker_table.h"

namespace pearreach::registry {

// Records that changed, or that the receiver asked for. Times are spans, as clocks differ.
struct WorkerUpdate {
  struct Item {
    WorkerRecord record;  // its warm_at is meaningless to others
    std::int64_t warm_left_ms = 0;
    std::int64_t unheard_ms = 0;  // since the worker's last heartbeat at anybody
    template <class Archive>
    void serialize(Archive& archive, unsigned) {
      archive& record& warm_left_ms& unheard_ms;
    }
  };
  std::vector<Item> items;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& items;
  }
};

// The workers whose heartbeats came to the sender since its last summary.
struct WorkerSummary {
  struct Item {
    std::string worker_id;
    std::uint64_t call_seq = 0;
    WorkerPhase phase = WorkerPhase::kReady;
    template <class Archive>
    void serialize(Archive& archive, unsigned) {
      archive& worker_id& call_seq& phase;
    }
  };
  std::vector<Item> items;
  bool want_all = false;  // the sender has just started: answer with all that is known
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& items& want_all;
  }
};

// What the receiver of a summary knows less, or more, of.
struct WorkerSummaryAnswer {
  std::vector<std::string> unknown;  // send these whole
  WorkerUpdate known;                // for want_all
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& unknown& known;
  }
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_REGISTRY_WORKER_MESSAGES_H_
