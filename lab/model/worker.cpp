#include "lab/model/worker.h"

#include <algorithm>
#include <cmath>

namespace pearreach::lab {

double WorkerModel::Warmth(Micros now) const {
  if (started_ == 0 || spec_.cold_time <= 0 || now >= started_ + spec_.cold_time) return 1;
  const double age = static_cast<double>(std::max<Micros>(0, now - started_)) /
                     static_cast<double>(spec_.cold_time);
  return spec_.cold_share + (1 - spec_.cold_share) * age;
}

// The speed rises evenly while it is cold, so the work done is a quadratic of the time.
Micros WorkerModel::DoneAt(Micros now, Micros work) const {
  const double speed = spec_.speed * factor_, wanted = static_cast<double>(work) / speed;
  const double warm = Warmth(now);
  if (warm >= 1) return now + static_cast<Micros>(std::llround(wanted));
  const double left = static_cast<double>(started_ + spec_.cold_time - now);
  const double slope = (1 - spec_.cold_share) / static_cast<double>(spec_.cold_time);
  const double while_cold = warm * left + slope * left * left / 2;
  const double time = wanted >= while_cold
                          ? left + (wanted - while_cold)
                          : (std::sqrt(warm * warm + 2 * slope * wanted) - warm) / slope;
  return now + static_cast<Micros>(std::llround(time));
}

WorkerModel::Offered WorkerModel::Offer(Micros now, JobId job, double slots, Micros work) {
  if (!up_) return Offered::kDown;
  if (Warmth(now) < 1) {
    offered_.push_back({now, slots * static_cast<double>(work)});
    double sum = 0;
    while (!offered_.empty() && offered_.front().first <= now - spec_.fall_time)
      offered_.pop_front();
    for (const auto& [at, amount] : offered_) sum += amount;
    const double can =
        Warmth(now) * spec_.speed * spec_.slots * static_cast<double>(spec_.fall_time);
    if (sum > spec_.fall_multiple * can) return Offered::kFell;
  }
  const bool fits = waiting_.empty() || spec_.order == WorkerSpec::Order::kBackfill;
  const bool starts = fits && busy_ + slots <= spec_.slots;
  if (slots > spec_.slots || (!starts && static_cast<int>(waiting_.size()) >= spec_.room))
    return Offered::kFull;
  if (!jobs_.insert({job, {slots, work, false, ++order_}}).second) return Offered::kFull;
  waiting_.push_back(job);
  Fill(now);
  return Offered::kTaken;
}

void WorkerModel::Fill(Micros now) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    Job& job = jobs_.at(*it);
    if (busy_ + job.slots > spec_.slots) {
      if (spec_.order == WorkerSpec::Order::kInOrder) return;
      ++it;
      continue;
    }
    busy_ += job.slots;
    job.running = true;
    running_.insert({DoneAt(now, job.work), *it});
    starts_.push_back({Happened::What::kStarted, now, *it});
    it = waiting_.erase(it);
  }
}

bool WorkerModel::Cancel(Micros now, JobId job) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return false;
  if (it->second.running) {
    busy_ -= it->second.slots;
    for (auto r = running_.begin(); r != running_.end(); ++r)
      if (r->second == job) {
        running_.erase(r);
        break;
      }
    std::erase_if(starts_, [&](const Happened& h) { return h.job == job; });
  } else {
    std::erase(waiting_, job);
  }
  jobs_.erase(it);
  Fill(now);
  return true;
}

std::optional<Micros> WorkerModel::Next() const {
  if (!starts_.empty()) return starts_.front().at;
  if (running_.empty()) return std::nullopt;
  return running_.begin()->first;
}

void WorkerModel::Run(Micros until, std::vector<Happened>* out) {
  for (;;) {
    out->insert(out->end(), starts_.begin(), starts_.end());
    starts_.clear();
    if (running_.empty() || running_.begin()->first > until) return;
    const auto [at, job] = *running_.begin();
    running_.erase(running_.begin());
    const auto it = jobs_.find(job);
    busy_ -= it->second.slots;
    jobs_.erase(it);
    out->push_back({Happened::What::kDone, at, job});
    Fill(at);
  }
}

std::vector<WorkerModel::JobId> WorkerModel::Die() {
  std::vector<std::pair<std::uint64_t, JobId>> all;
  for (const auto& [id, job] : jobs_) all.push_back({job.order, id});
  std::sort(all.begin(), all.end());
  std::vector<JobId> lost;
  for (const auto& [order, id] : all) lost.push_back(id);
  jobs_.clear();
  waiting_.clear();
  running_.clear();
  starts_.clear();
  offered_.clear();
  busy_ = 0;
  up_ = false;
  return lost;
}

void WorkerModel::Start(Micros now) {
  up_ = true;
  started_ = now;
}

}  // namespace pearreach::lab
