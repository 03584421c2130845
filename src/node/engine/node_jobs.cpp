// Jobs: submission, answer and release.
#include <algorithm>
#include <iterator>
#include <utility>

#include "common/memory/release.h"
#include "node/engine/answer_grace.h"
#include "node/engine/node.h"

namespace pearreach {
namespace {

// The client's time-out starts when it sends the request. The time in transit is unknown, so this
// much is allowed for it.
constexpr Micros kRequestTransitTime = 5 * kMs;

}  // namespace

std::optional<Ticket> Node::Submit(Job job, Client* client) {
  return SubmitGuarded(std::move(job), client, nullptr, {});
}

std::optional<Ticket> Node::SubmitGuarded(Job job, Client* client, AttemptGuard* guard,
                                          const std::vector<AdoptedAttempt>& attempts) {
  const auto [slot, inserted] = tickets_by_job_id_.try_emplace(job.id, last_ticket_ + 1);
  if (!inserted) return std::nullopt;
  const Ticket ticket = ++last_ticket_;
  Count("jobs");
  dispatch::RequestArrived e;
  e.request = ticket;
  e.cls = job.cls;
  e.tenant = job.tenant;
  e.slots = job.slots;
  e.is_repeat = job.is_repeat;
  e.key = job.key;
  e.due = job.received + job.client_timeout - std::min(kRequestTransitTime, job.client_timeout / 2);
  Admission admission;
  if (admission_check_ && guard == nullptr) admission = admission_check_(job.tenant, job.is_repeat);
  e.over_quota = admission.over_share;
  capture::Note note;
  if (recorder_ != nullptr) note.id = job.id;
  Record& r = records_[ticket];
  r.job = std::move(job);
  r.client = client;
  r.guard = guard;
  r.deadline = e.due;
  ++open_jobs_;
  deadlines_.insert({r.deadline, ticket});
  if (admission.refused) {
    over_limit_.emplace_back(ticket, admission.retry_after);
    ScheduleTurn();
    return ticket;
  }
  Post(e, std::move(note));
  for (const AdoptedAttempt& a : attempts) {
    dispatch::AttemptAdopted adopted{ticket, WorkerIdOf(a.worker), a.sent, a.started, a.state};
    const bool out = a.state == dispatch::AttemptAdopted::State::kInFlight;
    r.attempts.push_back({adopted.worker, a.sent, out, true});
    if (out) {
      ++r.in_flight;
      Attempt& own = r.attempts.back();
      own.last_update = Now();  // a full lease: the worker may have had no node to report to
      if (r.job.lease > 0)
        leases_.insert(
            {own.last_update + r.job.lease, {ticket, static_cast<int>(r.attempts.size()) - 1}});
    }
    Post(adopted);
  }
  if (!leases_.empty()) lease_alarm_.Set(leases_.begin()->first);
  return ticket;
}

void Node::Abandon(Ticket ticket) {
  const auto it = records_.find(ticket);
  if (it == records_.end() || it->second.answered) return;
  Count("abandoned");
  it->second.answered = true;
  it->second.client = nullptr;
  --open_jobs_;
  Post(dispatch::RequestAbandoned{ticket});
  MaybeRelease(ticket);
}

void Node::AnswerClient(Ticket ticket, Record& r, const Answer& answer) {
  if (!Must(!r.answered, "second_answer")) return;
  r.answered = true;
  --open_jobs_;
  if (r.job.cls >= 0 && static_cast<std::size_t>(r.job.cls) < answer_counts_.size()) {
    AnswerCounts& t = answer_counts_[static_cast<std::size_t>(r.job.cls)];
    ++(answer.kind == Answer::Kind::kServed    ? t.success
       : answer.kind == Answer::Kind::kRefused ? t.busy
                                               : t.failure);
  }
  r.client->OnAnswer(ticket, answer);
}

void Node::MaybeRelease(Ticket ticket) {
  const auto it = records_.find(ticket);
  if (it == records_.end() || !it->second.answered) return;
  Record& r = it->second;
  if (r.in_flight > 0) {
    memory::Release(&r.job.body);  // large, and no longer needed
    return;
  }
  deadlines_.erase({r.deadline, ticket});
  deadlines_.erase({r.deadline + kAnswerGrace, ticket});
  tickets_by_job_id_.erase(r.job.id);
  records_.erase(it);
}

}  // namespace pearreach
