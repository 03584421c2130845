// Jobs at the node: their intake, their answer, and when they are forgotten.
#include <algorithm>
#include <iterator>
#include <utility>

#include "node/engine/answer_grace.h"
#include "node/engine/node.h"

namespace pearreach {
namespace {

// The deadline runs from when the client sent; the way here is not told, so it is allowed for.
constexpr Micros kRequestTransitTime = 5 * kMs;

}  // namespace

std::optional<Ticket> Node::Submit(Job job, Client* client) {
  return SubmitGuarded(std::move(job), client, nullptr, {});
}

std::optional<Ticket> Node::SubmitGuarded(Job job, Client* client, AttemptGuard* guard,
                                          const std::vector<AdoptedAttempt>& attempts) {
  const auto [slot, fresh] = tickets_by_job_id_.try_emplace(job.id, last_ticket_ + 1);
  if (!fresh) return std::nullopt;
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
      Attempt& mine = r.attempts.back();
      mine.last_update = Now();  // a whole lease from now on: the worker may have spoken to nobody
      if (r.job.lease > 0)
        leases_.insert(
            {mine.last_update + r.job.lease, {ticket, static_cast<int>(r.attempts.size()) - 1}});
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

// A record goes when it is answered and none of its attempts is out.
void Node::MaybeRelease(Ticket ticket) {
  const auto it = records_.find(ticket);
  if (it == records_.end() || !it->second.answered) return;
  Record& r = it->second;
  if (r.in_flight > 0) {
    r.job.body = std::string();  // large, and of no more use
    return;
  }
  deadlines_.erase({r.deadline, ticket});
  deadlines_.erase({r.deadline + kAnswerGrace, ticket});
  tickets_by_job_id_.erase(r.job.id);
  records_.erase(it);
}

}  // namespace pearreach
