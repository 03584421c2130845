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
using marlquay::Effect;

constexpr Micros kSweepEvery = 1 * kSecond;
constexpr Micros kStoreAway = 1 * kSecond;  // told to clients that the store could not serve

jobs::UnixMicros UnixNow() { return g_get_real_time(); }

}  // namespace

Keeper::Keeper(Node* node, std::unique_ptr<store::Store> store, const jobs::Policy& policy,
               const std::string& orders, std::vector<std::string> callback_prefixes)
    : node_(node),
      store_(std::move(store)),
      policy_(policy),
      pacer_(policy.recovered_at_once),
      orders_(orders),
      prefixes_(std::move(callback_prefixes)),
      callback_alarm_([this] { CallBack(); }),
      sweep_([this] { Sweep(); }) {
  if (store_ == nullptr) return;
  // Blocking, before the node serves: what was acknowledged must be known to all that comes.
  store_->Load([this](jobs::Job job) {
    Record& r = jobs_[job.seq];
    r.durable = true;
    by_id_[job.id] = job.seq;
    by_request_[job.request_id] = job.seq;
    if (!job.idempotency_key.empty())
      by_key_[job.cls + '\n' + job.tenant + '\n' + job.idempotency_key] = job.seq;
    if (jobs::IsEnd(job.state)) ends_.push_back({job.ended, job.seq});
    if (job.state == State::kInDoubt) doubts_.insert(job.seq);
    for (const jobs::Attempt& a : job.attempts)
      if (a.knows_fences) knows_fences_.insert(a.worker);
    r.job = std::move(job);
  });
  std::sort(ends_.begin(), ends_.end());
  for (const auto& [seq, r] : jobs_)
    if (jobs::IsEnd(r.job.state)) PlanCallback(r);
  node_->OnFirstList([this] { Recover(); });
  node_->OnOrphan([this](const News& news) {
    const auto it = by_request_.find(news.job);
    if (it == by_request_.end()) return false;
    Record& r = jobs_.at(it->second);
    if (news.state == News::State::kStarted || news.state == News::State::kRunning) return false;
    const jobs::Word word = news.state == News::State::kDone       ? jobs::Word::kDone
                            : news.state == News::State::kFailed   ? jobs::Word::kFailed
                            : news.state == News::State::kReturned ? jobs::Word::kReturned
                                                                   : jobs::Word::kLost;
    const jobs::Resolution what = jobs::Resolve(r.job, news.from, word);
    if (!what.resolves) return false;
    Count("doubts_resolved_by_worker");
    r.job.result = news.state == News::State::kDone ? news.result : "";
    End(r, what.state, what.reason, std::exchange(hearing_, nullptr));
    return true;
  });
  sweep_.Set(Now() + kSweepEvery);
}

Keeper::~Keeper() { *alive_ = false; }

std::string Keeper::NewId() {
  unsigned char bytes[16];
  randombytes_buf(bytes, sizeof bytes);
  char text[2 * sizeof bytes + 1];
  sodium_bin2hex(text, sizeof text, bytes, sizeof bytes);
  return text;
}

const marlquay::ClassSettings* Keeper::ClassOf(const jobs::Job& job) const {
  const int cls = marlquay::IndexOf(site().classes, job.cls);
  return cls < 0 ? nullptr : &site().settings.classes[static_cast<std::size_t>(cls)];
}

Keeper::Record* Keeper::Find(Ticket ticket) {
  const auto it = by_ticket_.find(ticket);
  return it == by_ticket_.end() ? nullptr : &jobs_.at(it->second);
}

// ---------------------------------------------------------------- intake

std::optional<Ticket> Keeper::Submit(Job job, Client* client) {
  // An id that a durable job has is open as long as that job is.
  if (const auto it = by_request_.find(job.id);
      it != by_request_.end() && !jobs::IsEnd(jobs_.at(it->second).job.state))
    return std::nullopt;
  return node_->Submit(std::move(job), client);
}

void Keeper::Take(Job job, Taken taken) {
  if (store_ == nullptr || store_->lost()) return taken({TakeResult::Kind::kAway, "", kStoreAway});
  if (!job.callback.empty() && !ReadCallbackUrl(job.callback, prefixes_))
    return taken({TakeResult::Kind::kBad, "", 0});
  const std::string cls = site().classes[static_cast<std::size_t>(job.cls)];
  const std::string tenant =
      job.tenant < 0 ? "" : site().tenants[static_cast<std::size_t>(job.tenant)];
  const std::string key = cls + '\n' + tenant + '\n' + job.idempotency_key;
  if (!job.idempotency_key.empty()) {
    if (const auto it = by_key_.find(key); it != by_key_.end()) {
      Record& r = jobs_.at(it->second);
      Count("durable_repeats");
      if (!r.durable) return r.asking.push_back(std::move(taken));
      return taken({TakeResult::Kind::kTaken, r.job.id, 0});
    }
  }
  if (by_request_.contains(job.id) || node_->IsOpen(job.id))
    return taken({TakeResult::Kind::kConflict, "", 0});
  jobs::Job j;
  j.seq = store_->NextSeq();
  j.id = NewId();
  j.request_id = job.id;
  j.path = std::move(job.path);
  j.body = std::move(job.body);
  j.idempotency_key = job.idempotency_key;
  j.content_type = std::move(job.content_type);
  j.cls = cls;
  j.tenant = tenant;
  j.slots = job.slots;
  j.key = job.key;
  j.created = UnixNow();
  j.due = j.created + std::min(job.patience, policy_.longest);
  j.callback = std::move(job.callback);
  const std::uint64_t seq = j.seq;
  by_id_[j.id] = by_request_[j.request_id] = seq;
  if (!j.idempotency_key.empty()) by_key_[key] = seq;
  Record& r = jobs_[seq];
  r.job = std::move(j);
  r.asking.push_back(std::move(taken));
  store::PutJob put{r.job, true};
  store_->Submit({{std::move(put)}, [this, seq, key, alive = alive_](const std::string& error) {
                    if (!*alive) return;
                    const auto it = jobs_.find(seq);
                    if (it == jobs_.end()) return;
                    Record& r = it->second;
                    const std::vector<Taken> asking = std::exchange(r.asking, {});
                    const TakeResult result =
                        error.empty() ? TakeResult{TakeResult::Kind::kTaken, r.job.id, 0}
                                      : TakeResult{TakeResult::Kind::kAway, "", kStoreAway};
                    if (error.empty()) {
                      Count("durable_jobs");
                      r.durable = true;
                      HandOver(r, false);
                    } else {
                      CountFault("store_failed", error);
                      by_id_.erase(r.job.id);
                      by_request_.erase(r.job.request_id);
                      by_key_.erase(key);
                      jobs_.erase(it);
                    }
                    for (const Taken& told : asking) told(result);
                  }});
}

// To the module, as a job that waits or with its attempts as they are known.
void Keeper::HandOver(Record& r, bool adopt) {
  if (!Must(r.ticket == 0, "handed_over_twice")) return;
  const jobs::UnixMicros now = UnixNow();
  Job job;
  job.id = r.job.request_id;
  job.path = r.job.path;
  job.body = r.job.body;
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
  std::vector<Node::Adopted> attempts;
  for (const jobs::Attempt& a : r.job.attempts) {
    if (a.ran == Ran::kFenced || (a.ran == Ran::kNever && !adopt)) continue;
    attempts.push_back({a.worker, Now() - std::max<Micros>(0, now - a.sent), a.started,
                        a.ran == Ran::kOut     ? marlquay::AttemptAdopted::Was::kOut
                        : a.ran == Ran::kNever ? marlquay::AttemptAdopted::Was::kNeverRan
                                               : marlquay::AttemptAdopted::Was::kMayHaveRun});
  }
  const auto ticket = node_->SubmitGuarded(std::move(job), this, this, attempts);
  if (!ticket) {  // an ordinary job of this id is open: it ends by its deadline
    return End(r, State::kFailed, "another request of its id is open", nullptr);
  }
  r.ticket = *ticket;
  by_ticket_[*ticket] = r.job.seq;
}

// ---------------------------------------------------------------- recovery

void Keeper::Recover() {
  const jobs::UnixMicros now = UnixNow();
  recovering_ = true;
  std::uint64_t queued = 0, adopted = 0, doubts = 0, ended = 0;
  for (auto& [seq, r] : jobs_) {
    // Came in before the list did: handed over already, or when its own record is written.
    if (r.ticket != 0 || !r.durable) continue;
    const jobs::Recovery what = jobs::Recover(r.job, ClassOf(r.job), policy_, now);
    switch (what.what) {
      case jobs::Recovery::What::kNothing:
        Fence(r);
        break;
      case jobs::Recovery::What::kQueue:
        ++queued;
        to_recover_.push_back(seq);
        break;
      case jobs::Recovery::What::kAdopt:
        ++adopted;  // at once: its slots are in use, whether the module knows it or not
        HandOver(r, true);
        break;
      case jobs::Recovery::What::kDoubt:
        ++doubts;
        End(r, State::kInDoubt, what.reason, nullptr);
        Fence(r);
        break;
      case jobs::Recovery::What::kEnd:
      case jobs::Recovery::What::kWithdraw:
        ++ended;
        End(r, State::kFailed, what.reason, nullptr);
        break;
    }
  }
  std::reverse(to_recover_.begin(), to_recover_.end());
  recovering_ = false;
  if (queued + adopted + doubts + ended > 0)
    Log("recovered",
        {{"queued", std::to_string(queued)},
         {"running", std::to_string(adopted)},
         {"in_doubt", std::to_string(doubts)},
         {"ended", std::to_string(ended)}},
        "durable jobs recovered: " + std::to_string(queued) + " queued, " +
            std::to_string(adopted) + " running, " + std::to_string(doubts) + " in doubt, " +
            std::to_string(ended) + " over time");
  Pump();
}

void Keeper::Pump() {
  while (!to_recover_.empty() && pacer_.Room() > 0) {
    const auto it = jobs_.find(to_recover_.back());
    to_recover_.pop_back();
    if (it == jobs_.end() || it->second.job.state != State::kQueued || it->second.ticket != 0)
      continue;
    Record& r = it->second;
    if (UnixNow() >= r.job.due) {
      End(r, State::kFailed, "its time ended", nullptr);
      continue;
    }
    r.recovered = true;
    pacer_.Out();
    HandOver(r, false);
  }
}

// ---------------------------------------------------------------- attempts

// A job in doubt whose attempts are all at workers that know fences goes out once more: with a
// higher fence the old ones can no longer take effect, and one that has taken effect is told again.
void Keeper::Fence(Record& r) {
  // An attempt that got no answer is at a worker that may have said so of another.
  for (jobs::Attempt& a : r.job.attempts)
    a.knows_fences = a.knows_fences || knows_fences_.contains(a.worker);
  if (!jobs::MayFence(r.job) || r.job.body.empty() || UnixNow() >= r.job.due) return;
  Count("doubts_fenced");
  doubts_.erase(r.job.seq);
  std::vector<store::Change> changes;
  for (jobs::Attempt& a : r.job.attempts) {
    if (a.ran == Ran::kNever) continue;
    a.ran = Ran::kFenced;
    changes.push_back(store::PutAttempt{r.job.seq, a});
  }
  r.job.state = State::kQueued;
  r.job.reason.clear();
  r.job.ended = 0;
  changes.insert(changes.begin(), store::PutJob{r.job, false});
  store_->Submit(
      {std::move(changes), [this, seq = r.job.seq, alive = alive_](const std::string& e) {
         if (!*alive) return;
         const auto it = jobs_.find(seq);
         if (it == jobs_.end() || it->second.job.state != State::kQueued) return;
         if (e.empty()) return HandOver(it->second, false);
         CountFault("store_failed", e);
         it->second.job.state = State::kInDoubt;
         doubts_.insert(seq);
       }});
}

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
  const int number = a.number;
  const std::uint64_t fence = a.fence;
  store_->Submit(
      {{store::PutJob{r->job, false}, store::PutAttempt{r->job.seq, a}},
       [this, seq = r->job.seq, number, fence, go, alive = alive_](const std::string& error) {
         if (!*alive) return;
         if (error.empty()) return go(fence);
         CountFault("store_failed", error);
         if (const auto it = jobs_.find(seq); it != jobs_.end())
           it->second.job.attempts[static_cast<std::size_t>(number)].ran = Ran::kNever;
         go(0);
       }});
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
      knows_fences_.insert(worker);
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
  SaveAttempt(*r, *a, [heard = std::exchange(hearing_, nullptr)](const std::string& error) {
    if (heard) heard(error.empty());
  });
}

void Keeper::Tell(const News& news, Heard heard) {
  hearing_ = std::move(heard);
  node_->TellNode(news);
  if (hearing_) std::exchange(hearing_, nullptr)(true);
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
      End(*r, end,
          end == State::kInDoubt ? "it may have run, and no word of it came"
          : answer.overdue       ? "its time ended"
                                 : "it failed",
          std::move(heard));
      return Fence(*r);
    }
  }
}

// Its end, or its doubt; `done` is told whether that is durable.
void Keeper::End(Record& r, State state, const std::string& reason,
                 std::function<void(bool)> done) {
  r.job.state = state;
  r.job.reason = reason;
  r.job.ended = UnixNow();
  if (r.ticket != 0) by_ticket_.erase(r.ticket);
  r.ticket = 0;
  if (std::exchange(r.recovered, false)) pacer_.Back();
  if (state == State::kInDoubt) {
    doubts_.insert(r.job.seq);
  } else {
    doubts_.erase(r.job.seq);
    ends_.push_back({r.job.ended, r.job.seq});
    r.job.body.clear();  // of no more use; the store keeps it until the job is forgotten
    r.job.body.shrink_to_fit();
  }
  Save(r, [this, done, seq = r.job.seq, alive = alive_](const std::string& error) {
    if (!error.empty()) CountFault("store_failed", error);
    if (done) done(error.empty());
    if (!*alive || !error.empty()) return;
    // Its client is told what is durable.
    if (const auto it = jobs_.find(seq); it != jobs_.end()) PlanCallback(it->second);
  });
  if (!to_recover_.empty() && !recovering_) Pump();
}

void Keeper::Save(const Record& r, std::function<void(const std::string&)> done) {
  std::vector<store::Change> changes = {store::PutJob{r.job, false}};
  if (!r.job.attempts.empty())
    changes.push_back(store::PutAttempt{r.job.seq, r.job.attempts.back()});
  store_->Submit({std::move(changes), std::move(done)});
}

void Keeper::SaveAttempt(const Record& r, const jobs::Attempt& attempt,
                         std::function<void(const std::string&)> done) {
  store_->Submit(
      {{store::PutJob{r.job, false}, store::PutAttempt{r.job.seq, attempt}}, std::move(done)});
}

void Keeper::PlanCallback(const Record& r) {
  const jobs::Job& j = r.job;
  if (!jobs::IsEnd(j.state) || j.callback.empty() || j.callback_done ||
      j.callback_tries >= jobs::kMostCallbacks)
    return;
  const Micros wait =
      j.callback_tries == 0 ? 0 : jobs::CallbackWait(j.callback_tries - 1, g_random_double());
  callbacks_due_.insert({Now() + wait, j.seq});
  callback_alarm_.Set(callbacks_due_.begin()->first);
}

void Keeper::CallBack() {
  while (!callbacks_due_.empty() && callbacks_due_.begin()->first <= Now() && callbacks_.free()) {
    const std::uint64_t seq = callbacks_due_.begin()->second;
    callbacks_due_.erase(callbacks_due_.begin());
    const auto it = jobs_.find(seq);
    if (it == jobs_.end()) continue;
    const auto url = ReadCallbackUrl(it->second.job.callback, prefixes_);
    if (!url) continue;  // no longer allowed
    callbacks_.Post(*url, WriteJobView(View(it->second)), [this, seq](bool good) {
      const auto it = jobs_.find(seq);
      if (it == jobs_.end()) return;
      jobs::Job& j = it->second.job;
      Count(good ? "callbacks_told" : "callbacks_failed");
      ++j.callback_tries;
      j.callback_done = good;
      Save(it->second, nullptr);
      PlanCallback(it->second);
    });
  }
  if (!callbacks_due_.empty())
    callback_alarm_.Set(callbacks_.free() ? callbacks_due_.begin()->first : Now() + 100 * kMs);
}

std::optional<JobView> Keeper::Look(const std::string& id) const {
  const auto it = by_id_.find(id);
  if (it == by_id_.end() || !jobs_.at(it->second).durable) return std::nullopt;
  return View(jobs_.at(it->second));
}

JobView Keeper::View(const Record& r) const {
  JobView v;
  v.id = r.job.id;
  v.state = jobs::kStateNames[static_cast<int>(r.job.state)];
  v.cls = r.job.cls;
  v.ended = jobs::IsEnd(r.job.state);
  v.served = r.job.state == State::kServed;
  v.attempts = static_cast<int>(r.job.attempts.size());
  v.result = r.job.result;
  v.reason = r.job.reason;
  v.retry_after = r.job.retry_after;
  return v;
}

std::optional<JobView> Keeper::GiveUp(const std::string& id) {
  const auto it = by_id_.find(id);
  if (it == by_id_.end() || !jobs_.at(it->second).durable) return std::nullopt;
  Record& r = jobs_.at(it->second);
  if (!jobs::IsEnd(r.job.state) && r.job.state != State::kInDoubt) {
    const bool out = r.job.state == State::kRunning;
    if (r.ticket != 0) node_->Abandon(r.ticket);
    Count("durable_given_up");
    End(r, State::kCancelled,
        out ? "given up while it may have run" : "given up before it was sent", nullptr);
  }
  return View(r);
}

bool Keeper::Settle(const std::string& id, State state, const std::string& reason) {
  const auto it = by_id_.find(id);
  if (it == by_id_.end()) return false;
  Record& r = jobs_.at(it->second);
  if (r.job.state != State::kInDoubt || !jobs::IsEnd(state)) return false;
  Count("doubts_resolved_by_person");
  End(r, state, reason, nullptr);
  return true;
}

// Carries out a person's orders, and forgets what has been kept for long enough.
void Keeper::Sweep() {
  sweep_.Set(Now() + kSweepEvery);
  if (!orders_.empty())
    for (const Order& order : TakeOrders(orders_)) Settle(order.id, order.state, order.reason);
  const std::vector<std::uint64_t> doubts(doubts_.begin(), doubts_.end());
  for (const std::uint64_t seq : doubts)
    if (const auto it = jobs_.find(seq); it != jobs_.end() && node_->ready()) Fence(it->second);
  const jobs::UnixMicros now = UnixNow();
  for (int left = 1000; left > 0 && !ends_.empty(); --left) {  // a sweep costs what it forgets
    const std::uint64_t seq = ends_.front().second;
    const auto it = jobs_.find(seq);
    if (it != jobs_.end() && !jobs::MayForget(it->second.job, policy_, now)) return;
    ends_.pop_front();
    if (it == jobs_.end()) continue;
    const jobs::Job& j = it->second.job;
    store_->Submit({{store::Forget{seq}}, nullptr});
    by_id_.erase(j.id);
    by_request_.erase(j.request_id);
    if (!j.idempotency_key.empty())
      by_key_.erase(j.cls + '\n' + j.tenant + '\n' + j.idempotency_key);
    jobs_.erase(it);
  }
}

}  // namespace pearreach
