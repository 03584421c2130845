// The intake of durable jobs, and their way into the node's hands.
#include <sodium.h>

#include <utility>

#include "node/durable_jobs/job_times.h"
#include "node/durable_jobs/keeper.h"

namespace pearreach {
namespace {

using job_state::ExecutionState;
using job_state::State;

constexpr Micros kStoreAway = 1 * kSecond;  // told to clients that the store could not serve

std::uint64_t Chance() {
  std::uint64_t chance = 0;
  randombytes_buf(&chance, sizeof chance);
  return chance;
}

}  // namespace

std::optional<Ticket> Keeper::Submit(Job job, Client* client) {
  // An id that a durable job has is open as long as the node has that job.
  if (by_request_.contains(job.id) || taking_.contains(job.id)) return std::nullopt;
  return node_->Submit(std::move(job), client);
}

void Keeper::SubmitDurable(Job job, DurableSubmitCallback taken) {
  if (store_ == nullptr || store_->lost())
    return taken({DurableSubmitResult::Kind::kUnavailable, "", kStoreAway});
  if (!job.callback.empty() && !ReadCallbackUrl(job.callback, prefixes_))
    return taken({DurableSubmitResult::Kind::kBadCallback, "", 0});
  // Of one that is being written the store tells whether this is its twin or in its way.
  if (node_->IsOpen(job.id) && !by_request_.contains(job.id))
    return taken({DurableSubmitResult::Kind::kConflict, "", 0});
  job_state::Job j;
  j.seq = store_->NextSeq();
  j.id = job_state::MakeJobId(j.seq, Chance());
  j.request_id = job.id;
  j.path = std::move(job.path);
  j.body = std::move(job.body);
  j.idempotency_key = std::move(job.idempotency_key);
  j.content_type = std::move(job.content_type);
  j.cls = site().classes[static_cast<std::size_t>(job.cls)];
  if (job.tenant >= 0) j.tenant = site().tenants[static_cast<std::size_t>(job.tenant)];
  j.slots = job.slots;
  j.key = job.key;
  j.created = UnixNow();
  j.due = j.created + std::min(job.client_timeout, policy_.max_duration);
  j.callback = std::move(job.callback);
  const bool marks = taking_.insert(j.request_id).second;
  job_store::TakeJob take{j};
  store_->Submit({{std::move(take)},
                  [this, j = std::move(j), marks, taken = std::move(taken),
                   alive = alive_](const job_store::Outcome& outcome) mutable {
                    if (!*alive) return;
                    if (marks) taking_.erase(j.request_id);
                    using Kind = job_store::Outcome::Kind;
                    if (!outcome.error.empty()) {
                      CountFault("store_failed", outcome.error);
                      return taken({DurableSubmitResult::Kind::kUnavailable, "", kStoreAway});
                    }
                    if (outcome.kind == Kind::kConflict)
                      return taken({DurableSubmitResult::Kind::kConflict, "", 0});
                    if (outcome.kind == Kind::kTwin) {
                      Count("durable_repeats");
                      return taken({DurableSubmitResult::Kind::kAccepted, outcome.id, 0});
                    }
                    Count("durable_jobs");
                    const std::string id = j.id;
                    const std::uint64_t seq = j.seq;
                    if (recovered_ && pacer_.RoomForNew(j.body.size())) {
                      Judge(Hold(std::move(j)), true);
                      MaybeDrop(seq);
                    } else {
                      Count("durable_set_aside");
                      ToBacklog(seq);
                    }
                    taken({DurableSubmitResult::Kind::kAccepted, id, 0});
                  }});
}

// What becomes of a job that waits: to the module, or to its end where its time is over.
void Keeper::Judge(Record& r, bool fits) {
  const job_state::Recovery what = job_state::Recover(r.job, ClassOf(r.job), policy_, UnixNow());
  switch (what.action) {
    case job_state::Recovery::Action::kNone:
      return;
    case job_state::Recovery::Action::kRequeue:
      // Guards news by id: an ordinary job of this id is open, and ends by its deadline.
      if (fits && !HandOver(r, r.backlog, false)) MeetAgain(&queued_, r.job.seq);
      return;
    case job_state::Recovery::Action::kAdopt:
      if (!HandOver(r, r.backlog, true))
        End(r, State::kInDoubt, "another request of its id is open", nullptr);
      return;
    case job_state::Recovery::Action::kMarkInDoubt:
      return End(r, State::kInDoubt, what.reason, nullptr);
    case job_state::Recovery::Action::kFailOverdue:
    case job_state::Recovery::Action::kFailUnknownClass:
      return End(r, State::kFailed, what.reason, nullptr);
  }
}

// To the module, as a job that waits or with its attempts as they are known.
bool Keeper::HandOver(Record& r, bool backlog, bool adopt) {
  if (!Must(r.ticket == 0, "handed_over_twice")) return true;
  const job_state::UnixMicros now = UnixNow();
  Job job;
  job.id = r.job.request_id;
  job.path = r.job.path;
  job.idempotency_key = r.job.idempotency_key;
  job.content_type = r.job.content_type;
  job.cls = dispatch::IndexOf(site().classes, r.job.cls);
  job.tenant = dispatch::IndexOf(site().tenants, r.job.tenant);
  job.slots = r.job.slots;
  job.key = r.job.key;
  job.received = Now();
  job.client_timeout = std::max<Micros>(r.job.due - now, kMs);
  job.lease = policy_.lease;
  job.fence = job_state::NextFence(r.job) - 1;  // of the last attempt, if one is adopted
  if (node_->IsOpen(job.id)) return false;
  job.body = std::exchange(r.job.body, {});
  r.bytes = job.body.size();
  std::vector<Node::AdoptedAttempt> attempts;
  for (const job_state::Attempt& a : r.job.attempts) {
    if (a.execution == ExecutionState::kFenced ||
        (a.execution == ExecutionState::kNeverRan && !adopt))
      continue;
    attempts.push_back({a.worker, Now() - std::max<Micros>(0, now - a.sent), a.started,
                        a.execution == ExecutionState::kInFlight
                            ? dispatch::AttemptAdopted::State::kInFlight
                        : a.execution == ExecutionState::kNeverRan
                            ? dispatch::AttemptAdopted::State::kNeverRan
                            : dispatch::AttemptAdopted::State::kMayHaveRun});
  }
  const auto ticket = node_->SubmitGuarded(std::move(job), this, this, attempts);
  if (!Must(ticket.has_value(), "open_after_all")) return false;
  r.ticket = *ticket;
  r.backlog = backlog;
  by_ticket_[*ticket] = r.job.seq;
  pacer_.OnHandedOver(r.backlog, r.bytes);
  return true;
}

void Keeper::Back(Record& r, job_state::Pacer::Result end) {
  if (r.ticket == 0) return;
  by_ticket_.erase(r.ticket);
  r.ticket = 0;
  pacer_.OnFinished(r.backlog, r.bytes, end);
}

}  // namespace pearreach
