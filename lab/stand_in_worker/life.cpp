#include "lab/stand_in_worker/life.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

#include "tier/logging/log.h"

namespace pearreach::stand_in {
namespace {

constexpr char kModule[] = "stand-in worker";
constexpr int kMaxDrainingBeats = 3;  // then it ends all the same
constexpr Micros kRetry = 200 * kMs;  // of a departure or late heartbeat without acknowledgement

}  // namespace

Life::Life(Timers* timers, Worker* worker, LifeOptions options, std::function<void()> finished)
    : timers_(timers),
      worker_(worker),
      options_(std::move(options)),
      finished_(std::move(finished)),
      caller_(timers, options_.control) {
  if (!options_.departure_path.empty()) record_.open(options_.departure_path, std::ios::app);
}

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
  if (stopping_ || leaves_) return;
  if (options_.late_beat > 0) {
    leaves_ = true;
    late_text_ = BeatText();
    return DepartAtOnce();
  }
  stopping_ = true;
  worker_->SetDraining();
  timers_->Cancel(&next_);
  Beat();
}

void Life::Depart() {
  caller_.Post("/Workers.Departure/" + worker_->options().worker_id, "",
               [this](bool) { finished_(); });
}

void Life::DepartAtOnce() {
  timers_->Cancel(&next_);
  caller_.Post("/Workers.Departure/" + worker_->options().worker_id, "", [this](bool acknowledged) {
    if (!acknowledged) {
      next_ = timers_->After(kRetry, [this] { DepartAtOnce(); });
      return;
    }
    Record("departed");
    next_ = timers_->After(options_.late_beat, [this] { SendLateBeat(); });
  });
}

void Life::SendLateBeat() {
  caller_.Post("/Workers.Heartbeat/" + worker_->options().worker_id, late_text_,
               [this](bool acknowledged) {
                 if (!acknowledged) {
                   next_ = timers_->After(kRetry, [this] { SendLateBeat(); });
                   return;
                 }
                 Record("late");
                 next_ = timers_->After(options_.serve_on, finished_);
               });
}

void Life::Record(const char* event) {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  record_ << event << ' ' << std::chrono::duration_cast<std::chrono::microseconds>(now).count()
          << std::endl;
}

}  // namespace pearreach::stand_in
