// Times the module alone: hands it the events of captures again and again and prints nanoseconds a
// turn, the least of many passes. Built twice, once with the module as it is and once without the
// observer's line, to show what that costs when it is off; --observe switches it on.
#include <chrono>
#include <cstdio>
#include <cstring>
#include <limits>

#include "node/capture/segment.h"

namespace {

struct Counter : pearreach::dispatch::Observer {
  void OnChoice(const pearreach::dispatch::Choice& choice) override {
    seen += choice.sampled.size();
  }
  std::size_t seen = 0;
};

}  // namespace

int main(int argc, char** argv) {
  using Clock = std::chrono::steady_clock;
  Counter counter;
  bool observe = false;
  double best_sum = 0;
  std::size_t turns_sum = 0;
  for (int i = 1; i < argc; ++i) {
    if (std::strcmp(argv[i], "--observe") == 0) {
      observe = true;
      continue;
    }
    pearreach::capture::Segment segment{std::string(argv[i])};
    std::vector<pearreach::capture::Turn> turns;
    for (pearreach::capture::Turn t; segment.Next(&t);) turns.push_back(t);
    double best = std::numeric_limits<double>::max();
    std::vector<pearreach::dispatch::Action> actions;
    for (int pass = 0; pass < 40; ++pass) {
      pearreach::dispatch::Dispatcher dispatcher = segment.Restore();
      if (observe) dispatcher.Observe(&counter);
      const auto begin = Clock::now();
      for (const auto& t : turns) {
        actions.clear();
        dispatcher.Handle(t.now, t.events, &actions);
      }
      best = std::min(best, std::chrono::duration<double, std::nano>(Clock::now() - begin).count());
    }
    best_sum += best;
    turns_sum += turns.size();
  }
  if (turns_sum == 0) {
    std::fprintf(stderr, "usage: bench_handle [--observe] CAPTURE...\n");
    return 2;
  }
  std::printf("%.1f\n", best_sum / static_cast<double>(turns_sum));
}
