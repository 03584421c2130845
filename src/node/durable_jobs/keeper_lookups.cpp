// What clients ask of a durable job: its state, the wait for its end, its cancel.
#include <utility>

#include "node/durable_jobs/job_times.h"
#include "node/durable_jobs/keeper.h"
#include "node/engine/job_view.h"

namespace pearreach {
namespace {

using job_state::State;

}  // namespace

JobView Keeper::View(const job_state::Job& job) {
  JobView v;
  v.id = job.id;
  v.state = job_state::kStateNames[static_cast<int>(job.state)];
  v.cls = job.cls;
  v.ended = job_state::IsEnd(job.state);
  v.served = job.state == State::kServed;
  v.refused = job.state == State::kRefused;
  v.deadline_exceeded = job.reason.starts_with(kOverdue);
  v.attempts = static_cast<int>(job.attempts.size());
  v.result = job.result;
  v.reason = job.reason;
  v.retry_after = job.retry_after;
  return v;
}

void Keeper::QueryDurable(const std::string& id, Micros wait, JobViewCallback seen) {
  if (store_ == nullptr) return seen(std::nullopt);
  const Micros until = Now() + wait;
  Bring(job_store::ById{id}, [this, id, wait, until, seen = std::move(seen)](Record* r) {
    if (r == nullptr) return seen(std::nullopt);
    const bool told = job_state::IsEnd(r->job.state) && r->writes == 0 && !r->unsaved;
    if (told || wait <= 0) {
      JobView view = View(r->job);
      // An end that is not on the disk yet may be another after a crash.
      if (view.ended && !told) {
        view.state = job_state::kStateNames[static_cast<int>(State::kRunning)];
        view.ended = view.served = view.refused = false;
        view.reason.clear();
      }
      return seen(view);
    }
    const std::uint64_t key = ++last_wait_;
    waits_[key] = {r->job.seq, id, until, seen};
    waits_by_seq_.insert({r->job.seq, key});
    waits_due_.insert({until, key});
    wait_alarm_.Set(waits_due_.begin()->first);
  });
}

void Keeper::TellWaits(Record& r) {
  const auto [from, to] = waits_by_seq_.equal_range(r.job.seq);
  std::vector<JobViewCallback> told;
  for (auto it = from; it != to; ++it) {
    const auto wait = waits_.find(it->second);
    waits_due_.erase({wait->second.until, wait->first});
    told.push_back(std::move(wait->second.seen));
    waits_.erase(wait);
  }
  waits_by_seq_.erase(from, to);
  const JobView view = View(r.job);
  for (const JobViewCallback& seen : told) seen(view);
}

void Keeper::RunWaits() {
  while (!waits_due_.empty() && waits_due_.begin()->first <= Now()) {
    const std::uint64_t key = waits_due_.begin()->second;
    waits_due_.erase(waits_due_.begin());
    const Wait wait = std::move(waits_.at(key));
    waits_.erase(key);
    const auto [from, to] = waits_by_seq_.equal_range(wait.seq);
    for (auto it = from; it != to; ++it)
      if (it->second == key) {
        waits_by_seq_.erase(it);
        break;
      }
    QueryDurable(wait.id, 0, wait.seen);
  }
  if (!waits_due_.empty()) wait_alarm_.Set(waits_due_.begin()->first);
}

void Keeper::AnswerWaiters() {
  std::set<std::pair<Micros, std::uint64_t>> due;
  for (const auto& [at, key] : waits_due_) {
    waits_.at(key).until = 0;
    due.insert({0, key});
  }
  waits_due_ = std::move(due);
  RunWaits();
}

void Keeper::CancelDurable(const std::string& id, JobViewCallback seen) {
  if (store_ == nullptr) return seen(std::nullopt);
  Bring(job_store::ById{id}, [this, seen = std::move(seen)](Record* r) {
    if (r == nullptr) return seen(std::nullopt);
    if (!job_state::IsEnd(r->job.state) && r->job.state != State::kInDoubt) {
      const bool out = r->job.state == State::kRunning;
      if (r->ticket != 0) node_->Abandon(r->ticket);
      Count("durable_given_up");
      return End(*r, State::kCancelled,
                 out ? "given up while it may have run" : "given up before it was sent",
                 [this, seen, seq = r->job.seq](bool) { seen(View(records_.at(seq).job)); });
    }
    seen(View(r->job));
  });
}

}  // namespace pearreach
