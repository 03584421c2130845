#include "node/cli/takeover.h"

#include <utility>

#include "common/diagnostics/log.h"
#include "node/knowledge/saver.h"

namespace pearreach::cli {
namespace {

constexpr Micros kAskFor = 2 * kSecond, kAskEvery = 20 * kMs, kAskAgainFor = 10 * kSecond;
constexpr Micros kLook = 5 * kMs;

}  // namespace

Takeover::Takeover(const OperatorSettings& settings, const Config& config, Node* node, Front* front,
                   GMainLoop* loop)
    : config_(config), node_(node), front_(front), loop_(loop), ready_([this] { Look(); }) {
  if (!settings.handover) return;
  over_.emplace(settings.handover->path, config.name, Events());
  node_->SetUnknownJobHandler([this](const News& news) {
    if (forwarded_ || !over_->Forward(WriteNews(news))) return false;
    Count("news_forwarded");
    return true;
  });
}

HandOver::Events Takeover::Events() {
  return {.listener = [this] { return front_->descriptor(); },
          .knowledge = [this] { return knowledge::Encode(node_->ExportKnowledge(), 1, {}); },
          .leave = [this] { Leave(); },
          .stay = [this] { Stay(); },
          .alone = [this] { alone_ = true; },
          .news =
              [this](const std::string& json) {
                forwarded_ = true;  // and goes no further
                if (const auto news = ReadNews(json, config_.site)) node_->ApplyJobUpdate(*news);
                forwarded_ = false;
              },
          .connection = [this](int fd) { front_->Adopt(fd); }};
}

std::string Takeover::Begin() {
  if (!over_) return front_->Open(config_.listen);
  // A process may be about to serve at the path, or be taken up with another hand-over: while the
  // address is in use, there is somebody to ask.
  for (const Micros until = Now() + kAskAgainFor;; g_usleep(kAskEvery)) {
    std::string why;
    if (auto taken = over_->Ask(kAskFor, &why)) return Use(std::move(*taken));
    std::string wrong = front_->Open(config_.listen);
    if (!wrong.empty() && Now() < until) continue;
    if (!why.empty()) Log("not_handed_over", {{"why", why}}, "no hand-over: " + why);
    return wrong;
  }
}

void Takeover::Serve() {
  if (!over_) return;
  if (taken_) return Look();
  if (const std::string wrong = over_->Serve(); !wrong.empty()) CountFault("hand_over_path", wrong);
}

std::string Takeover::Use(HandOver::Taken taken) {
  taken_ = true;
  alone_ = false;
  knowledge_ = std::move(taken.knowledge);
  if (std::string wrong = front_->Take(taken.listener); !wrong.empty()) return wrong;
  const std::string port = config_.listen.substr(config_.listen.rfind(':') + 1);
  return port == "0" || port == std::to_string(front_->port())
             ? ""
             : "the process before listens at port " + std::to_string(front_->port());
}

// Accepts as soon as it has a list: until then the process before it does.
void Takeover::Look() {
  if (!node_->ready()) return ready_.Set(Now() + kLook);
  front_->Accept(true);
  Log("taken_over", {}, "accepting in place of the process before");
  over_->Serve();
}

void Takeover::Leave() {
  alone_ = false;
  if (fleet_ != nullptr) fleet_->Yield();
  front_->Accept(false);
  Log("handing_over", {}, "the next process accepts: answering what was taken");
  front_->HandOff([this](int fd) { return over_->Pass(fd); });
  front_->Drain([this] { g_main_loop_quit(loop_); });
}

void Takeover::Stay() {
  alone_ = true;
  if (ending_) return;
  if (fleet_ != nullptr) fleet_->Resume();
  front_->HandOff(nullptr);
  front_->StopDraining();
  front_->Accept(true);
  Log("taken_back", {}, "the next process is gone: accepting again");
}

}  // namespace pearreach::cli
