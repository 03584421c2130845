#include "durable/keeper.h"

#include <sodium.h>

#include <algorithm>
#include <utility>

#include "durable/orders.h"
#include "node/job_view.h"

namespace pearreach {
namespace {

using jobs::Ran;
using jobs::State;

constexpr Micros kSweepEvery = 1 * kSecond;
constexpr Micros kStoreAway = 1 * kSecond;  // told to clients that the store could not serve
constexpr int kPage = 64;                   // jobs that a walk asks for at once
constexpr int kForgetAtOnce = 1000;         // in one write
constexpr std::size_t kMostCalls = 1024;    // planned call-backs in memory; the rest in the store
constexpr const char* kOverdue = "its time ended";

jobs::UnixMicros UnixNow() { return g_get_real_time(); }

std::uint64_t Chance() {
  std::uint64_t chance = 0;
  randombytes_buf(&chance, sizeof chance);
  return chance;
}

}  // namespace

Keeper::Keeper(Node* node, std::unique_ptr<store::Store> store, const jobs::Policy& policy,
               const std::string& orders, std::vector<std::string> callback_prefixes)
    : node_(node),
      store_(std::move(store)),
      policy_(policy),
      pacer_(policy),
      queued_{State::kQueued, [this](jobs::Job job) { MeetQueued(std::move(job)); }},
      doubts_{State::kInDoubt, [this](jobs::Job job) { MeetDoubt(std::move(job)); }},
      orders_(orders),
      prefixes_(std::move(callback_prefixes)),
      call_alarm_([this] { CallBack(); }),
      wait_alarm_([this] { RunWaits(); }),
      sweep_([this] { Sweep(); }) {
  if (store_ == nullptr) return;
  // Blocking, before the node serves: whatever comes must find the jobs that may be running. They
  // are no more than the workers had slots; all others stay where they are.
  store_->LoadState(State::kRunning, [this](jobs::Job job) { Hold(std::move(job)); });
  found_ = store_->CountOpen();
  for (const std::string& worker : store_->FencingWorkers()) knows_fences_.insert(worker);
  node_->OnFirstList([this] { Recover(); });
  node_->OnOrphan([this](const News& news) {
    if (news.state == News::State::kStarted || news.state == News::State::kRunning) return false;
    Orphan(news, std::exchange(hearing_, nullptr));
    return true;
  });
  sweep_.Set(Now() + kSweepEvery);
}

Keeper::~Keeper() { *alive_ = false; }

const marlquay::ClassSettings* Keeper::ClassOf(const jobs::Job& job) const {
  const int cls = marlquay::IndexOf(site().classes, job.cls);
  return cls < 0 ? nullptr : &site().settings.classes[static_cast<std::size_t>(cls)];
}

// ---------------------------------------------------------------- records in memory

Keeper::Record& Keeper::Hold(jobs::Job job) {
  const std::uint64_t seq = job.seq;
  Record& r = records_[seq];
  Must(r.job.seq == 0, "held_twice");
  r.job = std::move(job);
  if (!jobs::IsEnd(r.job.state)) by_request_[r.job.request_id] = seq;
  return r;
}

// What neither the node has nor a write is under way for is in the store as it is here.
void Keeper::MaybeDrop(std::uint64_t seq) {
  const auto it = records_.find(seq);
  if (it == records_.end()) return;
  const Record& r = it->second;
  if (r.ticket != 0 || r.writes > 0 || r.unsaved) return;
  if (!recovered_ && r.job.state == State::kRunning) return;  // to be adopted
  if (const auto named = by_request_.find(r.job.request_id);
      named != by_request_.end() && named->second == seq)
    by_request_.erase(named);
  records_.erase(it);
}

Keeper::Record* Keeper::Find(Ticket ticket) {
  const auto it = by_ticket_.find(ticket);
  return it == by_ticket_.end() ? nullptr : &records_.at(it->second);
}

Keeper::Record* Keeper::ByRequest(const std::string& request_id) {
  const auto it = by_request_.find(request_id);
  return it == by_request_.end() ? nullptr : &records_.at(it->second);
}

void Keeper::Bring(store::Question question, std::function<void(Record*)> use) {
  store_->Ask(
      {std::move(question), [this, use = std::move(use), alive = alive_](store::Found found) {
         if (!*alive) return;
         if (!found.error.empty()) CountFault("store_failed", found.error);
         if (found.jobs.empty()) return use(nullptr);
         const std::uint64_t seq = found.jobs.front().seq;
         // Where it is held here, it is newer here.
         const auto it = records_.find(seq);
         use(it != records_.end() ? &it->second : &Hold(std::move(found.jobs.front())));
         MaybeDrop(seq);
       }});
}

void Keeper::Write(Record& record, std::vector<store::Change> changes, Written done) {
  ++record.writes;
  store_->Submit({std::move(changes), [this, seq = record.job.seq, done = std::move(done),
                                       alive = alive_](const store::Outcome& outcome) {
                    if (!*alive) return;
                    const bool good = outcome.error.empty();
                    if (!good) CountFault("store_failed", outcome.error);
                    Record& r = records_.at(seq);
                    --r.writes;
                    r.unsaved = r.unsaved || !good;
                    if (done) done(good);
                    if (r.writes == 0)
                      for (const Written& heard : std::exchange(r.heard, {})) heard(!r.unsaved);
                    MaybeDrop(seq);
                  }});
}

// After a failed write nobody knows what of it is on the disk: the whole record goes again.
void Keeper::SaveWhole(Record& r) {
  std::vector<store::Change> changes = {store::PutJob{r.job}};
  for (const jobs::Attempt& a : r.job.attempts) changes.push_back(store::PutAttempt{r.job.seq, a});
  r.unsaved = false;
  Write(r, std::move(changes), [this, seq = r.job.seq](bool good) {
    if (good) AfterEnd(records_.at(seq));
  });
}

// ---------------------------------------------------------------- intake

std::optional<Ticket> Keeper::Submit(Job job, Client* client) {
  // An id that a durable job has is open as long as the node has that job.
  if (by_request_.contains(job.id) || taking_.contains(job.id)) return std::nullopt;
  return node_->Submit(std::move(job), client);
}

void Keeper::Take(Job job, Taken taken) {
  if (store_ == nullptr || store_->lost()) return taken({TakeResult::Kind::kAway, "", kStoreAway});
  if (!job.callback.empty() && !ReadCallbackUrl(job.callback, prefixes_))
    return taken({TakeResult::Kind::kBad, "", 0});
  // Of one that is being written the store tells whether this is its twin or in its way.
  if (node_->IsOpen(job.id) && !by_request_.contains(job.id))
    return taken({TakeResult::Kind::kConflict, "", 0});
  jobs::Job j;
  j.seq = store_->NextSeq();
  j.id = jobs::MakeId(j.seq, Chance());
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
  j.due = j.created + std::min(job.patience, policy_.longest);
  j.callback = std::move(job.callback);
  const bool marks = taking_.insert(j.request_id).second;
  store::TakeJob take{j};
  store_->Submit({{std::move(take)},
                  [this, j = std::move(j), marks, taken = std::move(taken),
                   alive = alive_](const store::Outcome& outcome) mutable {
                    if (!*alive) return;
                    if (marks) taking_.erase(j.request_id);
                    using Kind = store::Outcome::Kind;
                    if (!outcome.error.empty()) {
                      CountFault("store_failed", outcome.error);
                      return taken({TakeResult::Kind::kAway, "", kStoreAway});
                    }
                    if (outcome.kind == Kind::kConflict)
                      return taken({TakeResult::Kind::kConflict, "", 0});
                    if (outcome.kind == Kind::kTwin) {
                      Count("durable_repeats");
                      return taken({TakeResult::Kind::kTaken, outcome.id, 0});
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
                    taken({TakeResult::Kind::kTaken, id, 0});
                  }});
}

// What becomes of a job that waits: to the module, or to its end where its time is over.
void Keeper::Judge(Record& r, bool fits) {
  const jobs::Recovery what = jobs::Recover(r.job, ClassOf(r.job), policy_, UnixNow());
  switch (what.what) {
    case jobs::Recovery::What::kNothing:
      return;
    case jobs::Recovery::What::kQueue:
      // Guards news by id: an ordinary job of this id is open, and ends by its deadline.
      if (fits && !HandOver(r, r.backlog, false)) MeetAgain(&queued_, r.job.seq);
      return;
    case jobs::Recovery::What::kAdopt:
      if (!HandOver(r, r.backlog, true))
        End(r, State::kInDoubt, "another request of its id is open", nullptr);
      return;
    case jobs::Recovery::What::kDoubt:
      return End(r, State::kInDoubt, what.reason, nullptr);
    case jobs::Recovery::What::kEnd:
    case jobs::Recovery::What::kWithdraw:
      return End(r, State::kFailed, what.reason, nullptr);
  }
}

// To the module, as a job that waits or with its attempts as they are known.
bool Keeper::HandOver(Record& r, bool backlog, bool adopt) {
  if (!Must(r.ticket == 0, "handed_over_twice")) return true;
  const jobs::UnixMicros now = UnixNow();
  Job job;
  job.id = r.job.request_id;
  job.path = r.job.path;
  job.idempotency_key = r.job.idempotency_key;
  job.content_type = r.job.content_type;
  job.cls = marlquay::IndexOf(site().classes, r.job.cls);
  job.tenant = marlquay::IndexOf(site().tenants, r.job.tenant);
  job.slots = r.job.slots;
  job.key = r.job.key;
  job.received = Now();
  job.patience = std::max<Micros>(r.job.due - now, kMs);
  job.lease = policy_.lease;
  job.fence = jobs::NextFence(r.job) - 1;  // of the last attempt, if one is adopted
  if (node_->IsOpen(job.id)) return false;
  job.body = std::exchange(r.job.body, {});
  r.bytes = job.body.size();
  std::vector<Node::Adopted> attempts;
  for (const jobs::Attempt& a : r.job.attempts) {
    if (a.ran == Ran::kFenced || (a.ran == Ran::kNever && !adopt)) continue;
    attempts.push_back({a.worker, Now() - std::max<Micros>(0, now - a.sent), a.started,
                        a.ran == Ran::kOut     ? marlquay::AttemptAdopted::Was::kOut
                        : a.ran == Ran::kNever ? marlquay::AttemptAdopted::Was::kNeverRan
                                               : marlquay::AttemptAdopted::Was::kMayHaveRun});
  }
  const auto ticket = node_->SubmitGuarded(std::move(job), this, this, attempts);
  if (!Must(ticket.has_value(), "open_after_all")) return false;
  r.ticket = *ticket;
  r.backlog = backlog;
  by_ticket_[*ticket] = r.job.seq;
  pacer_.Out(r.backlog, r.bytes);
  return true;
}

void Keeper::Back(Record& r, jobs::Pacer::End end) {
  if (r.ticket == 0) return;
  by_ticket_.erase(r.ticket);
  r.ticket = 0;
  pacer_.Back(r.backlog, r.bytes, end);
}

// ---------------------------------------------------------------- recovery and backlog

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
  store_->Ask({store::InState{walk->state, walk->after, limit},
               [this, walk, limit, alive = alive_](store::Found found) {
                 if (!*alive) return;
                 walk->asking = false;
                 if (!found.error.empty()) return CountFault("store_failed", found.error);
                 const bool last = found.jobs.size() < static_cast<std::size_t>(limit);
                 for (jobs::Job& job : found.jobs) {
                   walk->after = job.seq;
                   if (!records_.contains(job.seq)) walk->each(std::move(job));
                 }
                 // What must be seen again waits for the next sweep, or this would go round.
                 if (last) walk->wanted = false;
                 PumpBoth();
               }});
}

void Keeper::MeetQueued(jobs::Job job) {
  const std::uint64_t seq = job.seq;
  Record& r = Hold(std::move(job));
  r.backlog = true;
  Judge(r, true);
  MaybeDrop(seq);
}

// A job in doubt whose attempts are all at workers that know fences goes out once more: with a
// higher fence the old ones can no longer take effect, and one that has taken effect is told again.
void Keeper::MeetDoubt(jobs::Job job) {
  // An attempt that got no answer is at a worker that may have said so of another.
  for (jobs::Attempt& a : job.attempts)
    a.knows_fences = a.knows_fences || knows_fences_.contains(a.worker);
  if (!jobs::MayFence(job) || UnixNow() >= job.due || ClassOf(job) == nullptr) return;
  Count("doubts_fenced");
  std::vector<store::Change> changes;
  for (jobs::Attempt& a : job.attempts) {
    if (a.ran == Ran::kNever) continue;
    a.ran = Ran::kFenced;
    changes.push_back(store::PutAttempt{job.seq, a});
  }
  job.state = State::kQueued;
  job.reason.clear();
  job.ended = 0;
  changes.insert(changes.begin(), store::PutJob{job});
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
  store_->Submit({{store::KnowsFences{worker}}, nullptr});
  MeetAgain(&doubts_, 1);  // those at this worker may be settled now
}

// ---------------------------------------------------------------- attempts

// Nothing goes out before its intent is on the disk.
void Keeper::BeforeSend(Ticket ticket, const std::string& worker, Go go) {
  Record* r = Find(ticket);
  if (!Must(r != nullptr, "guarded_job_unknown")) return go(0);
  jobs::Attempt a;
  a.number = static_cast<int>(r->job.attempts.size());
  a.worker = worker;
  a.fence = jobs::NextFence(r->job);
  a.sent = UnixNow();
  a.lease_until = a.sent + policy_.lease;
  r->job.attempts.push_back(a);
  r->job.state = State::kRunning;
  Write(*r, {store::PutJob{r->job}, store::PutAttempt{r->job.seq, a}},
        [this, seq = r->job.seq, a, go](bool good) {
          if (good) return go(a.fence);
          records_.at(seq).job.attempts[static_cast<std::size_t>(a.number)].ran = Ran::kNever;
          go(0);
        });
}

jobs::Attempt* Keeper::OutAt(Record& r, const std::string& worker) {
  for (auto it = r.job.attempts.rbegin(); it != r.job.attempts.rend(); ++it)
    if (it->worker == worker && it->ran == Ran::kOut) return &*it;
  return nullptr;
}

void Keeper::OnAttempt(Ticket ticket, const std::string& worker, AttemptState state) {
  Record* r = Find(ticket);
  jobs::Attempt* a = r == nullptr ? nullptr : OutAt(*r, worker);
  if (a == nullptr) return;
  const jobs::UnixMicros now = UnixNow();
  bool save = true;
  switch (state) {
    case AttemptState::kTakenKnowsFences:
      a->knows_fences = true;
      Learn(worker);
      break;
    case AttemptState::kTaken:
      save = false;
      break;
    case AttemptState::kStarted:
      a->started = true;
      break;
    case AttemptState::kProgress:
      // A heartbeat is not worth a sync each: the record is renewed when half a lease is gone.
      save = a->lease_until - now < policy_.lease / 2;
      break;
    case AttemptState::kSaidEnd:
      a->ran = Ran::kDone;
      break;
    case AttemptState::kNeverRan:
      a->ran = Ran::kNever;
      r->job.state = State::kQueued;
      break;
    case AttemptState::kMayHaveRun:
      a->ran = Ran::kMaybe;
      break;
  }
  if (save || state == AttemptState::kTaken)
    a->lease_until = std::max(a->lease_until, now + policy_.lease);
  if (!save) return;
  // The word that brought this is acknowledged when it is durable.
  Write(*r, {store::PutJob{r->job}, store::PutAttempt{r->job.seq, *a}},
        std::exchange(hearing_, nullptr));
}

void Keeper::Tell(const News& news, Heard heard) {
  hearing_ = std::move(heard);
  node_->TellNode(news);
  if (hearing_) std::exchange(hearing_, nullptr)(true);
}

// A word about a job that the node does not have: of one that ended, or that is in doubt.
void Keeper::Orphan(const News& news, Heard heard) {
  const auto hear = [heard](bool good) {
    if (heard) heard(good);
  };
  Bring(store::ByRequest{news.job}, [this, news, hear](Record* r) {
    if (r == nullptr) {
      Count("news_passed_over");
      return hear(true);
    }
    // Its end is not on the disk yet: said again until it is.
    if (jobs::IsEnd(r->job.state) && r->unsaved) SaveWhole(*r);
    if (jobs::IsEnd(r->job.state) && r->writes > 0) {
      r->heard.push_back(hear);
      return;
    }
    const jobs::Word word = news.state == News::State::kDone       ? jobs::Word::kDone
                            : news.state == News::State::kFailed   ? jobs::Word::kFailed
                            : news.state == News::State::kReturned ? jobs::Word::kReturned
                                                                   : jobs::Word::kLost;
    const jobs::Resolution what = jobs::Resolve(r->job, news.from, word);
    if (!what.resolves) {
      Count("news_passed_over");
      return hear(true);
    }
    Count("doubts_resolved_by_worker");
    r->job.result = news.state == News::State::kDone ? news.result : "";
    End(*r, what.state, what.reason, hear);
  });
}

// ---------------------------------------------------------------- ends

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
      const marlquay::ClassSettings* cls = ClassOf(r->job);
      const State end = cls == nullptr ? State::kFailed : jobs::EndOfFailure(r->job, *cls);
      if (end == State::kInDoubt) Count("doubts");
      return End(*r, end,
                 end == State::kInDoubt ? "it may have run, and no word of it came"
                 : answer.overdue       ? kOverdue
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
  Back(r, state == State::kServed    ? jobs::Pacer::End::kServed
          : state == State::kRefused ? jobs::Pacer::End::kRefused
                                     : jobs::Pacer::End::kOther);
  if (jobs::IsEnd(state)) {
    jobs::PlanAfterEnd(&r.job, policy_, r.job.ended, g_random_double());
    if (const auto it = by_request_.find(r.job.request_id);
        it != by_request_.end() && it->second == r.job.seq)
      by_request_.erase(it);
  }
  std::vector<store::Change> changes = {store::PutJob{r.job}};
  if (!r.job.attempts.empty())
    changes.push_back(store::PutAttempt{r.job.seq, r.job.attempts.back()});
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
    store_->Ask({store::BySeq{r.job.seq}, [this, alive = alive_](store::Found found) {
                   if (*alive && !found.jobs.empty() && !records_.contains(found.jobs[0].seq) &&
                       found.jobs[0].state == State::kInDoubt)
                     MeetDoubt(std::move(found.jobs[0]));
                 }});
  }
  if (!jobs::IsEnd(r.job.state)) return;
  PlanCall(r.job);
  TellWaits(r);
}

void Keeper::PlanCall(const jobs::Job& job) {
  if (job.callback_at == 0 || calling_.contains(job.seq)) return;
  calls_due_.insert({Now() + std::max<Micros>(0, job.callback_at - UnixNow()), job.seq});
  if (calls_due_.size() > kMostCalls) {  // the store knows the last one, too
    calls_due_.erase(std::prev(calls_due_.end()));
    more_calls_ = true;
  }
  call_alarm_.Set(calls_due_.begin()->first);
}

void Keeper::FillCallbacks() {
  if (!more_calls_ || filling_calls_ || !calls_due_.empty()) return;
  filling_calls_ = true;
  store_->Ask({store::WantCallback{}, [this, alive = alive_](store::Found found) {
                 if (!*alive) return;
                 filling_calls_ = false;
                 if (!found.error.empty()) return CountFault("store_failed", found.error);
                 more_calls_ = false;
                 for (const jobs::Job& job : found.jobs)
                   if (!records_.contains(job.seq)) PlanCall(job);
                 more_calls_ = more_calls_ || found.jobs.size() >= 256;
               }});
}

void Keeper::CallBack() {
  while (!calls_due_.empty() && calls_due_.begin()->first <= Now() && callbacks_.free() &&
         calling_.size() < Callbacks::kAtOnce) {
    const std::uint64_t seq = calls_due_.begin()->second;
    calls_due_.erase(calls_due_.begin());
    if (!calling_.insert(seq).second) continue;
    Bring(store::BySeq{seq}, [this, seq](Record* r) {
      const auto url = r == nullptr || r->job.callback_at == 0
                           ? std::nullopt
                           : ReadCallbackUrl(r->job.callback, prefixes_);
      if (!url) {  // forgotten, or no longer allowed
        calling_.erase(seq);
        return;
      }
      callbacks_.Post(*url, WriteJobView(View(r->job)), [this, seq](bool good) {
        Count(good ? "callbacks_told" : "callbacks_failed");
        Bring(store::BySeq{seq}, [this, seq, good](Record* r) {
          calling_.erase(seq);
          if (r == nullptr) return;
          ++r->job.callback_tries;
          r->job.callback_done = good;
          jobs::PlanAfterEnd(&r->job, policy_, UnixNow(), g_random_double());
          const jobs::Job planned = r->job;
          Write(*r, {store::PutJob{r->job}}, nullptr);
          PlanCall(planned);
        });
      });
    });
  }
  if (!calls_due_.empty())
    call_alarm_.Set(callbacks_.free() && calling_.size() < Callbacks::kAtOnce
                        ? calls_due_.begin()->first
                        : Now() + 100 * kMs);
}

// ---------------------------------------------------------------- those who ask

JobView Keeper::View(const jobs::Job& job) {
  JobView v;
  v.id = job.id;
  v.state = jobs::kStateNames[static_cast<int>(job.state)];
  v.cls = job.cls;
  v.ended = jobs::IsEnd(job.state);
  v.served = job.state == State::kServed;
  v.refused = job.state == State::kRefused;
  v.overdue = job.reason.starts_with(kOverdue);
  v.attempts = static_cast<int>(job.attempts.size());
  v.result = job.result;
  v.reason = job.reason;
  v.retry_after = job.retry_after;
  return v;
}

void Keeper::Look(const std::string& id, Micros wait, Seen seen) {
  if (store_ == nullptr) return seen(std::nullopt);
  const Micros until = Now() + wait;
  Bring(store::ById{id}, [this, id, wait, until, seen = std::move(seen)](Record* r) {
    if (r == nullptr) return seen(std::nullopt);
    const bool told = jobs::IsEnd(r->job.state) && r->writes == 0 && !r->unsaved;
    if (told || wait <= 0) {
      JobView view = View(r->job);
      // An end that is not on the disk yet may be another after a crash.
      if (view.ended && !told) {
        view.state = jobs::kStateNames[static_cast<int>(State::kRunning)];
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
  std::vector<Seen> told;
  for (auto it = from; it != to; ++it) {
    const auto wait = waits_.find(it->second);
    waits_due_.erase({wait->second.until, wait->first});
    told.push_back(std::move(wait->second.seen));
    waits_.erase(wait);
  }
  waits_by_seq_.erase(from, to);
  const JobView view = View(r.job);
  for (const Seen& seen : told) seen(view);
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
    Look(wait.id, 0, wait.seen);
  }
  if (!waits_due_.empty()) wait_alarm_.Set(waits_due_.begin()->first);
}

void Keeper::EndWaits() {
  std::set<std::pair<Micros, std::uint64_t>> due;
  for (const auto& [at, key] : waits_due_) {
    waits_.at(key).until = 0;
    due.insert({0, key});
  }
  waits_due_ = std::move(due);
  RunWaits();
}

void Keeper::GiveUp(const std::string& id, Seen seen) {
  if (store_ == nullptr) return seen(std::nullopt);
  Bring(store::ById{id}, [this, seen = std::move(seen)](Record* r) {
    if (r == nullptr) return seen(std::nullopt);
    if (!jobs::IsEnd(r->job.state) && r->job.state != State::kInDoubt) {
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

// ---------------------------------------------------------------- upkeep

void Keeper::EndOverdue() {
  if (ending_overdue_ || !recovered_) return;
  ending_overdue_ = true;
  constexpr int kLimit = 256;
  store_->Ask({store::Overdue{UnixNow(), kLimit}, [this, alive = alive_](store::Found found) {
                 if (!*alive) return;
                 ending_overdue_ = false;
                 if (!found.error.empty()) return CountFault("store_failed", found.error);
                 bool ended = false;
                 for (jobs::Job& job : found.jobs) {
                   const std::uint64_t seq = job.seq;
                   if (records_.contains(seq)) continue;  // the module's to end
                   ended = true;
                   Judge(Hold(std::move(job)), false);
                   MaybeDrop(seq);
                 }
                 if (ended && found.jobs.size() >= static_cast<std::size_t>(kLimit)) EndOverdue();
               }});
}

void Keeper::ForgetOld() {
  if (std::exchange(forgetting_, true)) return;
  store_->Submit({{store::Forget{UnixNow(), kForgetAtOnce}},
                  [this, alive = alive_](const store::Outcome& outcome) {
                    if (!*alive) return;
                    forgetting_ = false;
                    if (outcome.forgotten >= kForgetAtOnce) ForgetOld();
                  }});
}

// Carries out a person's orders, writes again what could not be written, and looks at what waits.
void Keeper::Sweep() {
  sweep_.Set(Now() + kSweepEvery);
  if (!orders_.empty())
    for (const Order& order : TakeOrders(orders_))
      Bring(store::ById{order.id}, [this, order](Record* r) {
        if (r == nullptr || r->job.state != State::kInDoubt || r->ticket != 0) return;
        Count("doubts_resolved_by_person");
        End(*r, order.state, order.reason, nullptr);
      });
  std::vector<std::uint64_t> unsaved;
  for (const auto& [seq, r] : records_)
    if (r.unsaved && r.writes == 0) unsaved.push_back(seq);
  for (const std::uint64_t seq : unsaved) SaveWhole(records_.at(seq));
  const store::Figures figures = store_->figures();
  Count("store_writes", figures.writes - counted_.writes);
  Count("store_syncs", figures.groups - counted_.groups);
  counted_ = figures;
  EndOverdue();
  ForgetOld();
  FillCallbacks();
  for (Walk* walk : {&queued_, &doubts_})
    if (walk->again != 0 && !walk->asking && !walk->wanted) {
      walk->after = std::exchange(walk->again, 0) - 1;
      walk->wanted = true;
    }
  PumpBoth();
}

}  // namespace pearreach
