// The jobs that a process finds in the store: queued ones walk back into the node's hands, those in
// doubt are asked for, a page at a time.
#include <utility>

#include "node/durable_jobs/job_times.h"
#include "node/durable_jobs/keeper.h"

namespace pearreach {
namespace {

using job_state::ExecutionState;
using job_state::State;

constexpr int kPage = 64;  // jobs that a walk asks for at once

}  // namespace

void Keeper::Recover() {
  recovered_ = true;
  const auto counts = found_;
  std::vector<std::uint64_t> running;
  for (const auto& [seq, r] : records_)
    if (r.job.state == State::kRunning) running.push_back(seq);
  std::sort(running.begin(), running.end());
  // At once, and beside the window: their slots are in use, whether the module knows it or not.
  for (const std::uint64_t seq : running) {
    Judge(records_.at(seq), true);
    MaybeDrop(seq);
  }
  if (counts[0] + counts[1] + counts[2] > 0)
    Log("recovered",
        {{"queued", std::to_string(counts[0])},
         {"running", std::to_string(counts[1])},
         {"in_doubt", std::to_string(counts[2])}},
        "durable jobs recovered: " + std::to_string(counts[0]) + " queued, " +
            std::to_string(counts[1]) + " running, " + std::to_string(counts[2]) + " in doubt");
  EndOverdue();
  for (Walk* walk : {&queued_, &doubts_}) {
    walk->after = 0;
    walk->wanted = true;
  }
  PumpBoth();
}

// It waits in the store until there is room for it.
void Keeper::ToBacklog(std::uint64_t seq) {
  if (!queued_.wanted) {
    queued_.wanted = true;
    queued_.after = seq - 1;
  } else if (seq <= queued_.after) {
    MeetAgain(&queued_, seq);
  }
  // One that comes after the walk's place is met by it in its turn.
  Pump(&queued_);
}

// In the walk that the next sweep begins: at once, and what cannot be settled would go round.
void Keeper::MeetAgain(Walk* walk, std::uint64_t seq) {
  walk->again = walk->again == 0 ? seq : std::min(walk->again, seq);
}

void Keeper::PumpBoth() {
  Pump(&queued_);
  Pump(&doubts_);
}

void Keeper::Pump(Walk* walk) {
  if (!recovered_ || !walk->wanted || walk->asking) return;
  const int limit = std::min(kPage, pacer_.RoomForBacklog() - fencing_);
  if (limit <= 0) return;
  walk->asking = true;
  store_->Ask({job_store::InState{walk->state, walk->after, limit},
               [this, walk, limit, alive = alive_](job_store::Found found) {
                 if (!*alive) return;
                 walk->asking = false;
                 if (!found.error.empty()) return CountFault("store_failed", found.error);
                 const bool last = found.jobs.size() < static_cast<std::size_t>(limit);
                 for (job_state::Job& job : found.jobs) {
                   walk->after = job.seq;
                   if (!records_.contains(job.seq)) walk->each(std::move(job));
                 }
                 // What must be seen again waits for the next sweep, or this would go round.
                 if (last) walk->wanted = false;
                 PumpBoth();
               }});
}

void Keeper::MeetQueued(job_state::Job job) {
  const std::uint64_t seq = job.seq;
  Record& r = Hold(std::move(job));
  r.backlog = true;
  Judge(r, true);
  MaybeDrop(seq);
}

// A job in doubt whose attempts are all at workers that know fences goes out once more: with a
// higher fence the old ones can no longer take effect, and one that has taken effect is told again.
void Keeper::MeetDoubt(job_state::Job job) {
  // An attempt that got no answer is at a worker that may have said so of another.
  for (job_state::Attempt& a : job.attempts)
    a.knows_fences = a.knows_fences || knows_fences_.contains(a.worker);
  if (!job_state::MayFence(job) || UnixNow() >= job.due || ClassOf(job) == nullptr) return;
  Count("doubts_fenced");
  std::vector<job_store::Change> changes;
  for (job_state::Attempt& a : job.attempts) {
    if (a.execution == ExecutionState::kNeverRan) continue;
    a.execution = ExecutionState::kFenced;
    changes.emplace_back(job_store::PutAttempt{job.seq, a});
  }
  job.state = State::kQueued;
  job.reason.clear();
  job.ended = 0;
  changes.insert(changes.begin(), job_store::PutJob{job});
  const std::uint64_t seq = job.seq;
  Record& r = Hold(std::move(job));
  r.backlog = true;
  ++fencing_;
  Write(r, std::move(changes), [this, seq](bool good) {
    --fencing_;
    Record& r = records_.at(seq);
    if (r.job.state != State::kQueued || r.ticket != 0) return;
    // Not written for certain: it is let go, and met again as whatever the disk says it is.
    if (!good) {
      r.unsaved = false;
      MeetAgain(&doubts_, seq);
    }
    if (!good || !HandOver(r, true, false)) ToBacklog(seq);
  });
}

void Keeper::Learn(const std::string& worker) {
  if (!knows_fences_.insert(worker).second) return;
  store_->Submit({{job_store::KnowsFences{worker}}, nullptr});
  MeetAgain(&doubts_, 1);  // those at this worker may be settled now
}

}  // namespace pearreach
