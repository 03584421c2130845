// Call-backs of ended jobs: those that are due, in memory as far as they are near.
#include <algorithm>
#include <utility>

#include "node/durable_jobs/job_times.h"
#include "node/durable_jobs/keeper.h"
#include "node/engine/job_view.h"

namespace pearreach {
namespace {

constexpr std::size_t kMaxCalls = 1024;  // planned call-backs in memory; the rest in the store

}  // namespace

void Keeper::PlanCall(const job_state::Job& job) {
  if (job.next_callback_at == 0 || calling_.contains(job.seq)) return;
  calls_due_.insert({Now() + std::max<Micros>(0, job.next_callback_at - UnixNow()), job.seq});
  if (calls_due_.size() > kMaxCalls) {  // the store knows the last one, too
    calls_due_.erase(std::prev(calls_due_.end()));
    more_calls_ = true;
  }
  call_alarm_.Set(calls_due_.begin()->first);
}

void Keeper::FillCallbacks() {
  if (!more_calls_ || filling_calls_ || !calls_due_.empty()) return;
  filling_calls_ = true;
  store_->Ask({job_store::WantCallback{}, [this, alive = alive_](const job_store::Found& found) {
                 if (!*alive) return;
                 filling_calls_ = false;
                 if (!found.error.empty()) return CountFault("store_failed", found.error);
                 more_calls_ = false;
                 for (const job_state::Job& job : found.jobs)
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
    Bring(job_store::BySeq{seq}, [this, seq](Record* r) {
      const auto url = r == nullptr || r->job.next_callback_at == 0
                           ? std::nullopt
                           : ReadCallbackUrl(r->job.callback, prefixes_);
      if (!url) {  // forgotten, or no longer allowed
        calling_.erase(seq);
        return;
      }
      callbacks_.Post(*url, WriteJobView(View(r->job)), [this, seq](bool good) {
        Count(good ? "callbacks_told" : "callbacks_failed");
        Bring(job_store::BySeq{seq}, [this, seq, good](Record* r) {
          calling_.erase(seq);
          if (r == nullptr) return;
          ++r->job.callback_tries;
          r->job.callback_done = good;
          job_state::ScheduleAfterEnd(&r->job, policy_, UnixNow(), g_random_double());
          const job_state::Job planned = r->job;
          Write(*r, {job_store::PutJob{r->job}}, nullptr);
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

}  // namespace pearreach
