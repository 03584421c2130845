// A toy to try a node with: one match worker and its discovery, both on the loopback interface. It
// takes every job, runs a few at a time for half a second each, and reports what became of them.
// It must never be taken for a load generator: it makes no requests but its call-backs.
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/io.h"
#include "http/http.h"

namespace {

using namespace pearreach;

constexpr int kSlots = 4;
constexpr Micros kRun = 500 * kMs;

using Handler = std::function<std::string(const http::Message&, std::weak_ptr<Stream>)>;

// Serves one address; the handler gives the whole answer, or nothing and writes it later.
class Toy {
 public:
  Toy(const std::string& address, Handler answer)
      : answer_(std::move(answer)), listener_([this](std::shared_ptr<Stream> stream) {
          Stream* key = stream.get();
          const auto parser = std::make_shared<http::Parser>(http::Parser::Kind::kRequest);
          streams_[key] = stream;
          stream->Listen({[] {},
                          [this, key, parser](std::string_view bytes) {
                            parser->Feed(bytes);
                            while (parser->Next() == http::Parser::State::kMessage)
                              if (const std::string text = answer_(parser->Take(), streams_[key]);
                                  !text.empty())
                                key->Write(text);
                          },
                          [this, key] { streams_.erase(key); }});
        }) {
    if (const std::string wrong = listener_.Open(address); !wrong.empty())
      Log("failed", {}, address + ": " + wrong);
    else
      Log("listening", {}, "listening at " + address);
  }

 private:
  Handler answer_;
  std::map<Stream*, std::shared_ptr<Stream>> streams_;
  Listener listener_;
};

class Worker {
 public:
  explicit Worker(const std::string& node)
      : node_(node),
        ended_([this] { Finish(); }),
        toy_("127.0.0.1:4000", [this](const auto& m, const auto&) { return Take(m); }) {}

 private:
  std::string Take(const http::Message& m) {
    const std::string* id = m.Find("X-Request-ID");
    if (id == nullptr) return http::WriteResponse(404, {}, "", true);
    if (m.method == "POST") {
      Log("job", {{"job", *id}}, "job " + *id + ": " + m.target);
      waiting_.push_back(*id);
      Begin();
    }
    return http::WriteResponse(202, {}, "", true);
  }
  void Begin() {
    while (running_.size() < kSlots && !waiting_.empty()) {
      Tell(waiting_.front(), "started", "");
      running_.push_back({Now() + kRun, waiting_.front()});
      waiting_.pop_front();
    }
    if (!running_.empty()) ended_.Set(running_.front().first);
  }
  void Finish() {
    for (; !running_.empty() && running_.front().first <= Now(); running_.pop_front())
      Tell(running_.front().second, "done", R"(,"result":"matched by a toy","load":{"x0":1})");
    Begin();
  }
  void Tell(const std::string& id, const std::string& state, const std::string& more) {
    if (back_ == nullptr || !back_->Quiet()) {
      if (back_ != nullptr) back_->Close();
      back_ = Stream::Connect(node_, {[] {}, [](std::string_view) {}, [] {}});
    }
    back_->Write(http::WriteRequest(
        "POST", "/_jobs/news", {{"Host", node_}},
        R"({"id":")" + id + R"(","from":"s-toy","state":")" + state + "\"" + more + "}"));
  }

  std::string node_;
  std::shared_ptr<Stream> back_;
  std::deque<std::string> waiting_;
  std::deque<std::pair<Micros, std::string>> running_;  // by their end
  Alarm ended_;
  Toy toy_;
};

}  // namespace

int main(int argc, char** argv) {
  SetLogName("toy");
  // A watch ends after the time it asked for, as nothing ever changes here.
  std::deque<std::pair<Micros, std::weak_ptr<Stream>>> watches;
  Alarm* next = nullptr;
  Alarm watch_ends([&] {
    for (; !watches.empty() && watches.front().first <= Now(); watches.pop_front())
      if (const auto stream = watches.front().second.lock())
        stream->Write(
            http::WriteResponse(200, {}, R"({"version":1,"full":false,"servers":[]})", true));
    if (!watches.empty()) next->Set(watches.front().first);
  });
  next = &watch_ends;
  Toy discovery("127.0.0.1:8500", [&](const auto& m, const auto& stream) -> std::string {
    if (const std::size_t at = m.target.find("timeout_ms="); at != std::string::npos) {
      watches.push_back({Now() + std::atoll(m.target.c_str() + at + 11) * kMs, stream});
      next->Set(watches.front().first);
      return "";
    }
    return http::WriteResponse(200, {},
                               R"({"version":1,"full":true,"servers":[{"id":"s-toy",)"
                               R"("addr":"127.0.0.1:4000","zone":"here","kind":"toy","cell":0,)"
                               R"("state":"up","weight":1.0,"started_ms":0}]})",
                               true);
  });
  Worker worker(argc > 1 ? argv[1] : "127.0.0.1:3000");
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
}
