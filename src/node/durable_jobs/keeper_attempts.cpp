// Attempts of durable jobs: the intent before the send, what workers say, and the job's end.
#include <utility>

#include "node/durable_jobs/job_times.h"
#include "node/durable_jobs/keeper.h"

namespace pearreach {
namespace {

using job_state::ExecutionState;
using job_state::State;

}  // namespace

// Nothing goes out before its intent is on the disk.
void Keeper::BeforeSend(Ticket ticket, const std::string& worker, Proceed go) {
  Record* r = Find(ticket);
  if (!Must(r != nullptr, "guarded_job_unknown")) return go(0);
  job_state::Attempt a;
  a.number = static_cast<int>(r->job.attempts.size());
  a.worker = worker;
  a.fence = job_state::NextFence(r->job);
  a.sent = UnixNow();
  a.lease_until = a.sent + policy_.lease;
  r->job.attempts.push_back(a);
  r->job.state = State::kRunning;
  Write(*r, {job_store::PutJob{r->job}, job_store::PutAttempt{r->job.seq, a}},
        [this, seq = r->job.seq, a, go](bool good) {
          if (good) return go(a.fence);
          records_.at(seq).job.attempts[static_cast<std::size_t>(a.number)].execution =
              ExecutionState::kNeverRan;
          go(0);
        });
}

job_state::Attempt* Keeper::OutAt(Record& r, const std::string& worker) {
  for (auto it = r.job.attempts.rbegin(); it != r.job.attempts.rend(); ++it)
    if (it->worker == worker && it->execution == ExecutionState::kInFlight) return &*it;
  return nullptr;
}

void Keeper::OnAttempt(Ticket ticket, const std::string& worker, AttemptState state) {
  Record* r = Find(ticket);
  job_state::Attempt* a = r == nullptr ? nullptr : OutAt(*r, worker);
  if (a == nullptr) return;
  const job_state::UnixMicros now = UnixNow();
  bool save = true;
  switch (state) {
    case AttemptState::kAcceptedWithFencing:
      a->knows_fences = true;
      Learn(worker);
      break;
    case AttemptState::kAccepted:
      save = false;
      break;
    case AttemptState::kStarted:
      a->started = true;
      break;
    case AttemptState::kProgress:
      // A heartbeat is not worth a sync each: the record is renewed when half a lease is gone.
      save = a->lease_until - now < policy_.lease / 2;
      break;
    case AttemptState::kReportedEnd:
      a->execution = ExecutionState::kDone;
      break;
    case AttemptState::kNeverRan:
      a->execution = ExecutionState::kNeverRan;
      r->job.state = State::kQueued;
      break;
    case AttemptState::kMayHaveRun:
      a->execution = ExecutionState::kMayHaveRun;
      break;
  }
  if (save || state == AttemptState::kAccepted)
    a->lease_until = std::max(a->lease_until, now + policy_.lease);
  if (!save) return;
  // The word that brought this is acknowledged when it is durable.
  Write(*r, {job_store::PutJob{r->job}, job_store::PutAttempt{r->job.seq, *a}},
        std::exchange(hearing_, nullptr));
}

void Keeper::HandleJobUpdate(const News& news, JobUpdateAck heard) {
  hearing_ = std::move(heard);
  node_->ApplyJobUpdate(news);
  if (hearing_) std::exchange(hearing_, nullptr)(true);
}

// A word about a job that the node does not have: of one that ended, or that is in doubt.
void Keeper::Orphan(const News& news, JobUpdateAck heard) {
  const auto hear = [heard = std::move(heard)](bool good) {
    if (heard) heard(good);
  };
  Bring(job_store::ByRequest{news.job}, [this, news, hear](Record* r) {
    if (r == nullptr) {
      Count("news_passed_over");
      return hear(true);
    }
    // Its end is not on the disk yet: said again until it is.
    if (job_state::IsEnd(r->job.state) && r->unsaved) SaveWhole(*r);
    if (job_state::IsEnd(r->job.state) && r->writes > 0) {
      r->heard.emplace_back(hear);
      return;
    }
    const job_state::WorkerReport word =
        news.state == News::State::kDone       ? job_state::WorkerReport::kDone
        : news.state == News::State::kFailed   ? job_state::WorkerReport::kFailed
        : news.state == News::State::kReturned ? job_state::WorkerReport::kReturned
                                               : job_state::WorkerReport::kLost;
    const job_state::Resolution what = job_state::Resolve(r->job, news.from, word);
    if (!what.resolves) {
      Count("news_passed_over");
      return hear(true);
    }
    Count("doubts_resolved_by_worker");
    r->job.result = news.state == News::State::kDone ? news.result : "";
    End(*r, what.state, what.reason, hear);
  });
}

void Keeper::OnAnswer(Ticket ticket, const Answer& answer) {
  Record* r = Find(ticket);
  if (!Must(r != nullptr, "answer_without_request")) return;
  auto heard = std::exchange(hearing_, nullptr);
  switch (answer.kind) {
    case Answer::Kind::kServed:
      r->job.result = answer.result;
      return End(*r, State::kServed, "", std::move(heard));
    case Answer::Kind::kRefused:
      r->job.retry_after = answer.retry_after;
      return End(*r, State::kRefused, "no room for it in time", std::move(heard));
    case Answer::Kind::kRejected:
      return End(*r, State::kFailed, "no worker takes it", std::move(heard));
    case Answer::Kind::kFailed: {
      const dispatch::ClassSettings* cls = ClassOf(r->job);
      const State end =
          cls == nullptr ? State::kFailed : job_state::StateAfterFailure(r->job, *cls);
      if (end == State::kInDoubt) Count("doubts");
      return End(*r, end,
                 end == State::kInDoubt     ? "it may have run, and no word of it came"
                 : answer.deadline_exceeded ? kOverdue
                                            : "it failed",
                 std::move(heard));
    }
  }
}

// Its end, or its doubt; `done` is told whether that is durable.
void Keeper::End(Record& r, State state, const std::string& reason, Written done) {
  r.job.state = state;
  r.job.reason = reason;
  r.job.ended = UnixNow();
  Back(r, state == State::kServed    ? job_state::Pacer::Result::kServed
          : state == State::kRefused ? job_state::Pacer::Result::kRefused
                                     : job_state::Pacer::Result::kOther);
  if (job_state::IsEnd(state)) {
    job_state::ScheduleAfterEnd(&r.job, policy_, r.job.ended, g_random_double());
    if (const auto it = by_request_.find(r.job.request_id);
        it != by_request_.end() && it->second == r.job.seq)
      by_request_.erase(it);
  }
  std::vector<job_store::Change> changes = {job_store::PutJob{r.job}};
  if (!r.job.attempts.empty())
    changes.emplace_back(job_store::PutAttempt{r.job.seq, r.job.attempts.back()});
  Write(r, std::move(changes), [this, seq = r.job.seq, done = std::move(done)](bool good) {
    if (done) done(good);
    if (good) AfterEnd(records_.at(seq));
  });
  PumpBoth();
}

// Its client is told what is durable.
void Keeper::AfterEnd(Record& r) {
  if (r.job.state == State::kInDoubt) {
    // With its body, which is no longer here.
    store_->Ask({job_store::BySeq{r.job.seq}, [this, alive = alive_](job_store::Found found) {
                   if (*alive && !found.jobs.empty() && !records_.contains(found.jobs[0].seq) &&
                       found.jobs[0].state == State::kInDoubt)
                     MeetDoubt(std::move(found.jobs[0]));
                 }});
  }
  if (!job_state::IsEnd(r.job.state)) return;
  PlanCall(r.job);
  TellWaits(r);
}

}  // namespace pearreach
