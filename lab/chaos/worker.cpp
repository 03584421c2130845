#include "lab/chaos/worker.h"

#include <cstdlib>
#include <map>
#include <random>
#include <vector>

#include "lab/base/standins.h"
#include "lab/chaos/memory.h"

namespace pearreach::lab {
namespace {

class ChaosWorker {
 public:
  explicit ChaosWorker(const ChaosWorkerOptions& options)
      : options_(options),
        memory_(options.memory),
        random_(options.seed),
        out_(options.news),
        tick_([this] { Tick(); }),
        server_([this](const http::Message& m, const std::shared_ptr<Stream>&) { return Take(m); },
                options.listen) {}

 private:
  struct Step {
    std::string job, state;  // state: what is told; "run": it takes effect
    std::uint64_t fence = 0;
  };

  std::string Take(const http::Message& m) {
    const std::string* id = m.Find("X-Request-ID");
    const std::string* fence = m.Find("X-Fence");
    if (m.method != "POST" || id == nullptr) return http::WriteResponse(202, {}, "", true);
    const std::uint64_t f = fence == nullptr ? 0 : std::strtoull(fence->c_str(), nullptr, 10);
    if (options_.fences && !memory_.Meet(*id, f))
      return http::WriteResponse(503, {{"X-Not-Processed", "1"}}, "", true);
    Plan(1 * kMs, {*id, "started", f});
    Plan(Draw(3, 40) * kMs, {*id, "run", f});
    std::vector<http::Header> headers;
    if (options_.fences) headers.push_back({"X-Fences", "1"});
    return http::WriteResponse(202, headers, "", true);
  }

  void Plan(Micros wait, Step step) {
    plan_.insert({Now() + wait, std::move(step)});
    tick_.Set(plan_.begin()->first);
  }

  void Tick() {
    while (!plan_.empty() && plan_.begin()->first <= Now()) {
      Step step = plan_.begin()->second;
      plan_.erase(plan_.begin());
      if (step.state == "run")
        step.state = memory_.Apply(step.job, step.fence, options_.fences) ? "done" : "failed";
      const std::string body = R"({"id":")" + step.job + R"(","from":")" + options_.id +
                               R"(","state":")" + step.state + R"(","result":"matched","fence":)" +
                               std::to_string(step.fence) + "}";
      out_.Tell(step.job, body);
    }
    if (!plan_.empty()) tick_.Set(plan_.begin()->first);
  }
  std::int64_t Draw(int low, int high) {
    return low + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(high - low + 1));
  }

  ChaosWorkerOptions options_;
  TranslationMemory memory_;
  std::mt19937_64 random_;
  std::multimap<Micros, Step> plan_;
  NewsAgent out_;
  Alarm tick_;
  HttpServer server_;
};

}  // namespace

int RunChaosWorker(const ChaosWorkerOptions& options) {
  ChaosWorker worker(options);
  for (;;) g_main_context_iteration(nullptr, TRUE);
}

}  // namespace pearreach::lab
