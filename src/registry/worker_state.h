// What one node knows of all workers: merges of what workers and other nodes say, expiry of those
// that nobody hears any more, and the immutable table made of it. No I/O.
#ifndef PEARREACH_SRC_REGISTRY_WORKER_STATE_H_
#define PEARREACH_SRC_REGISTRY_WORKER_STATE_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/io.h"
#include "registry/worker_messages.h"
#include "registry/worker_table.h"

namespace pearreach::registry {

struct WorkerStateOptions {
  Micros expiry = 6 * kSecond;  // a worker that nobody has heard for so long leaves the table
  Micros keep_departed =
      120 * kSecond;  // departed ones are remembered, so that late calls do no harm
};

class WorkerState {
 public:
  explicit WorkerState(WorkerStateOptions options) : options_(options) {}

  // A heartbeat or departure that came to this node, or a record from another one, `unheard` since
  // the worker's own last sign. Returns whether it changed what others must know (a new worker, a
  // later phase, another address). Phases never go back within an incarnation.
  bool Merge(Micros now, const WorkerRecord& record, Micros unheard);
  bool Depart(Micros now, const std::string& worker_id);
  void Touch(Micros now, const std::string& worker_id, std::uint64_t call_seq);
  // A summary's item says nothing that is not known here.
  bool Covers(const WorkerSummary::Item& item) const;
  // Drops what has expired; true if the table changed.
  bool Expire(Micros now);

  const WorkerRecord* Find(const std::string& worker_id) const;
  std::vector<WorkerUpdate::Item> Export(Micros now) const;
  WorkerUpdate::Item ExportOne(Micros now, const std::string& worker_id) const;
  std::shared_ptr<const WorkerTable> BuildTable() const;
  std::size_t size() const { return known_.size(); }

 private:
  struct Known {
    WorkerRecord record;
    Micros heard = 0;    // the worker's last sign at anybody, on this clock
    bool listed = true;  // not expired
  };
  void DropOthersAt(const WorkerRecord& record);

  WorkerStateOptions options_;
  std::unordered_map<std::string, Known> known_;
};

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_REGISTRY_WORKER_STATE_H_
