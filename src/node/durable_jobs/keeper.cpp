#include "node/durable_jobs/keeper.h"

#include <algorithm>
#include <utility>

#include "node/durable_jobs/job_times.h"
#include "node/durable_jobs/orders.h"

namespace pearreach {
namespace {

using job_state::State;

constexpr Micros kSweepEvery = 1 * kSecond;
constexpr int kForgetAtOnce = 1000;  // in one write

}  // namespace

Keeper::Keeper(Node* node, std::unique_ptr<job_store::Store> store, const job_state::Policy& policy,
               const std::string& orders, std::vector<std::string> callback_prefixes)
    : node_(node),
      store_(std::move(store)),
      policy_(policy),
      pacer_(policy),
      queued_{State::kQueued, [this](job_state::Job job) { MeetQueued(std::move(job)); }},
      doubts_{State::kInDoubt, [this](job_state::Job job) { MeetDoubt(std::move(job)); }},
      orders_(orders),
      prefixes_(std::move(callback_prefixes)),
      call_alarm_([this] { CallBack(); }),
      wait_alarm_([this] { RunWaits(); }),
      sweep_([this] { Sweep(); }) {
  if (store_ == nullptr) return;
  // Blocking, before the node serves: whatever comes must find the jobs that may be running. They
  // are no more than the workers had slots; all others stay where they are.
  store_->LoadState(State::kRunning, [this](job_state::Job job) { Hold(std::move(job)); });
  found_ = store_->CountOpen();
  for (const std::string& worker : store_->FencingWorkers()) knows_fences_.insert(worker);
  node_->SetFirstListingCallback([this] { Recover(); });
  node_->SetUnknownJobHandler([this](const News& news) {
    if (news.state == News::State::kStarted || news.state == News::State::kRunning) return false;
    Orphan(news, std::exchange(hearing_, nullptr));
    return true;
  });
  sweep_.Set(Now() + kSweepEvery);
}

Keeper::~Keeper() { *alive_ = false; }

const dispatch::ClassSettings* Keeper::ClassOf(const job_state::Job& job) const {
  const int cls = dispatch::IndexOf(site().classes, job.cls);
  return cls < 0 ? nullptr : &site().settings.classes[static_cast<std::size_t>(cls)];
}

Keeper::Record& Keeper::Hold(job_state::Job job) {
  const std::uint64_t seq = job.seq;
  Record& r = records_[seq];
  Must(r.job.seq == 0, "held_twice");
  r.job = std::move(job);
  if (!job_state::IsEnd(r.job.state)) by_request_[r.job.request_id] = seq;
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

void Keeper::Bring(job_store::Question question, std::function<void(Record*)> use) {
  store_->Ask(
      {std::move(question), [this, use = std::move(use), alive = alive_](job_store::Found found) {
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

void Keeper::Write(Record& record, std::vector<job_store::Change> changes, Written done) {
  ++record.writes;
  store_->Submit({std::move(changes), [this, seq = record.job.seq, done = std::move(done),
                                       alive = alive_](const job_store::Outcome& outcome) {
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
  std::vector<job_store::Change> changes = {job_store::PutJob{r.job}};
  for (const job_state::Attempt& a : r.job.attempts)
    changes.emplace_back(job_store::PutAttempt{r.job.seq, a});
  r.unsaved = false;
  Write(r, std::move(changes), [this, seq = r.job.seq](bool good) {
    if (good) AfterEnd(records_.at(seq));
  });
}

void Keeper::EndOverdue() {
  if (ending_overdue_ || !recovered_) return;
  ending_overdue_ = true;
  constexpr int kLimit = 256;
  store_->Ask(
      {job_store::Overdue{UnixNow(), kLimit}, [this, alive = alive_](job_store::Found found) {
         if (!*alive) return;
         ending_overdue_ = false;
         if (!found.error.empty()) return CountFault("store_failed", found.error);
         bool ended = false;
         for (job_state::Job& job : found.jobs) {
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
  store_->Submit({{job_store::Forget{UnixNow(), kForgetAtOnce}},
                  [this, alive = alive_](const job_store::Outcome& outcome) {
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
      Bring(job_store::ById{order.id}, [this, order](Record* r) {
        if (r == nullptr || r->job.state != State::kInDoubt || r->ticket != 0) return;
        Count("doubts_resolved_by_person");
        End(*r, order.state, order.reason, nullptr);
      });
  std::vector<std::uint64_t> unsaved;
  for (const auto& [seq, r] : records_)
    if (r.unsaved && r.writes == 0) unsaved.push_back(seq);
  for (const std::uint64_t seq : unsaved) SaveWhole(records_.at(seq));
  const job_store::Figures figures = store_->figures();
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
