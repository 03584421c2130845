#include "lab/stand_in_worker/life.h"

#include <fmt/format.h>

#include <utility>

#include "tier/logging/log.h"

namespace pearreach::stand_in {
namespace {

constexpr char kModule[] = "stand-in worker";
constexpr int kMaxDrainingBeats = 3;  // then it ends all the same

}  // namespace

Life::Life(Timers* timers, Worker* worker, LifeOptions options, std::function<void()> finished)
    : timers_(timers),
      worker_(worker),
      options_(std::move(options)),
      finished_(std::move(finished)),
      caller_(timers, options_.control) {}

Life::~Life() { timers_->Cancel(&next_); }

std::string Life::BeatText() {
  return fmt::format(
      R"({{"target":"{}","address":"{}","zone":"{}","version_no":"v1","capacity":{},"phase":"{}",)"
      R"("warmup_left_ms":0,"call_seq":{}}})",
      options_.service, options_.address, options_.zone, worker_->options().capacity,
      stopping_ ? "draining" : "ready", ++calls_);
}

void Life::Beat() {
  if (stopping_) ++draining_beats_;
  caller_.Post("/Workers.Heartbeat/" + worker_->options().worker_id, BeatText(),
               [this](bool acknowledged) { OnBeatDone(acknowledged); });
}

void Life::OnBeatDone(bool acknowledged) {
  if (leaves_) return;
  if (acknowledged && !std::exchange(heard_, true))
    logging::Info(kModule, "first heartbeat acknowledged",
                  {logging::F("worker", worker_->options().worker_id)});
  timers_->Cancel(&next_);
  const bool over = stopping_ && (acknowledged || draining_beats_ == kMaxDrainingBeats);
  if (over) {
    leaves_ = true;
    next_ = timers_->After(options_.drain, [this] { Depart(); });
    return;
  }
  next_ = timers_->After(options_.beat, [this] { Beat(); });
}

void Life::Stop() {
  if (std::exchange(stopping_, true)) return;
  worker_->SetDraining();
  timers_->Cancel(&next_);
  Beat();
}

void Life::Depart() {
  caller_.Post("/Workers.Departure/" + worker_->options().worker_id, "",
               [this](bool) { finished_(); });
}

}  // namespace pearreach::stand_in
