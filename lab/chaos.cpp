// The kill test of durable jobs: a node's process and stand-in workers are killed, paused and cut
// off at random under load, and the stand-in of the translation memory counts how often each job
// has taken effect. The seed replays the schedule of faults. It must never call a job right that it
// has not seen end, nor leave a process behind.
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <set>

#include "durable/callback.h"
#include "lab/standins.h"

namespace pearreach::lab {
namespace {

namespace fs = std::filesystem;

// What the workers write to: shared by all, and outliving each of them.
struct Memory {
  struct Entry {
    int applied = 0;
    std::uint64_t seen = 0;  // the highest fence met
  };
  std::map<std::string, Entry> entries;
};

class ChaosWorker {
 public:
  ChaosWorker(std::string id, std::string node, Memory* memory, bool fences, std::uint64_t seed)
      : id_(std::move(id)),
        node_(std::move(node)),
        memory_(memory),
        fences_(fences),
        random_(seed),
        tick_([this] { Tick(); }),
        server_(
            [this](const http::Message& m, const std::shared_ptr<Stream>&) { return Take(m); }) {}
  std::string address() const { return server_.address(); }
  const std::string& id() const { return id_; }
  // The process dies: what it ran and had to say is gone, what it wrote stays.
  void Die() {
    plan_.clear();
    server_.CloseAll();
  }
  // It neither hears nor speaks, and its jobs run on.
  void Pause(Micros length) { paused_until_ = Now() + length; }
  void Cut() { server_.CloseAll(); }

 private:
  struct Step {
    std::string job, state;  // state: what is told; "run": it takes effect
    std::uint64_t fence = 0;
    int tries = 0;
  };
  bool paused() const { return Now() < paused_until_; }

  std::string Take(const http::Message& m) {
    const std::string* id = m.Find("X-Request-ID");
    const std::string* fence = m.Find("X-Fence");
    if (paused()) return "";
    if (m.method != "POST" || id == nullptr) return http::WriteResponse(202, {}, "", true);
    const std::uint64_t f = fence == nullptr ? 0 : std::strtoull(fence->c_str(), nullptr, 10);
    Memory::Entry& e = memory_->entries[*id];
    if (fences_) {
      if (f < e.seen) return http::WriteResponse(503, {{"X-Not-Processed", "1"}}, "", true);
      e.seen = f;
    }
    Plan(1 * kMs, {*id, "started", f, 0});
    Plan(Draw(3, 40) * kMs, {*id, "run", f, 0});
    std::vector<http::Header> headers;
    if (fences_) headers.push_back({"X-Fences", "1"});
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
      if (step.state == "run") {
        Memory::Entry& e = memory_->entries[step.job];
        if (!fences_)
          ++e.applied;
        else if (e.applied == 0 && step.fence >= e.seen)
          ++e.applied;
        step.state = !fences_ || e.applied > 0 ? "done" : "failed";
      }
      if (paused()) {  // said later
        Plan(50 * kMs, step);
        continue;
      }
      const std::string body = R"({"id":")" + step.job + R"(","from":")" + id_ + R"(","state":")" +
                               step.state + R"(","result":"matched","fence":)" +
                               std::to_string(step.fence) + "}";
      out_.Post({node_, "/_jobs/news"}, body, [this, step](bool heard) mutable {
        if (!heard && ++step.tries < 10) Plan(200 * kMs, step);
      });
    }
    if (!plan_.empty()) tick_.Set(plan_.begin()->first);
  }
  std::int64_t Draw(int low, int high) {
    return low + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(high - low + 1));
  }

  std::string id_, node_;
  Memory* memory_;
  bool fences_;
  std::mt19937_64 random_;
  Micros paused_until_ = 0;
  std::multimap<Micros, Step> plan_;
  Alarm tick_;
  Callbacks out_;
  HttpServer server_;
};

// One request over a connection of its own; status 0: it broke, or took too long.
class Asker {
 public:
  using Done = std::function<void(int status, const http::Message& answer)>;
  void Ask(const std::string& address, const std::string& bytes, Done done) {
    auto owned = std::make_unique<Call>();
    Call* call = owned.get();
    calls_.push_back(std::move(owned));
    call->done = std::move(done);
    call->until = Now() + 3 * kSecond;
    call->stream = Stream::Connect(
        address, {[] {},
                  [call](std::string_view text) {
                    call->parser.Feed(text);
                    if (!call->over && call->parser.Next() == http::Parser::State::kMessage) {
                      call->answer = call->parser.Take();
                      call->over = true;
                    }
                  },
                  [call] { call->over = true; }});
    if (call->stream != nullptr) call->stream->Write(bytes);
  }
  // Tells what has come; to be called between turns of the loop.
  void Settle() {
    std::vector<std::unique_ptr<Call>> over;
    for (auto it = calls_.begin(); it != calls_.end();) {
      if ((*it)->over || (*it)->stream == nullptr || Now() > (*it)->until) {
        over.push_back(std::move(*it));
        it = calls_.erase(it);
      } else {
        ++it;
      }
    }
    for (const auto& call : over) {
      if (call->stream != nullptr) call->stream->Close();
      call->done(call->answer.status, call->answer);
    }
  }
  std::size_t open() const { return calls_.size(); }

 private:
  struct Call {
    std::shared_ptr<Stream> stream;
    http::Parser parser{http::Parser::Kind::kResponse};
    http::Message answer;
    Done done;
    Micros until = 0;
    bool over = false;
  };
  std::vector<std::unique_ptr<Call>> calls_;
};

struct ChaosOptions {
  std::string program;
  int jobs = 300;
  std::uint64_t seed = 1;
  bool fences = true;
  double rate = 150;
};

int Chaos(const ChaosOptions& o) {
  std::string folder = (fs::temp_directory_path() / "pearreach-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) return 2;
  struct Clean {
    std::string path;
    ~Clean() { fs::remove_all(path); }
  } clean{folder};
  const std::string file = folder + "/operator.xml", store = folder + "/jobs.db";
  std::ofstream(file) << "<pearreach><jobs store='" << store
                      << "' lease-ms='700' keep-seconds='3600'/></pearreach>";
  std::mt19937_64 random(o.seed);
  const auto draw = [&](int low, int high) {
    return low + static_cast<int>(random() % static_cast<std::uint64_t>(high - low + 1));
  };
  Memory memory;
  const std::string address = FreeAddress();
  std::vector<std::unique_ptr<ChaosWorker>> workers;
  std::vector<std::pair<std::string, std::string>> listed;
  for (int i = 0; i < 4; ++i) {
    workers.push_back(std::make_unique<ChaosWorker>("s-" + std::to_string(i), address, &memory,
                                                    o.fences,
                                                    o.seed + static_cast<std::uint64_t>(i)));
    listed.push_back({workers.back()->id(), workers.back()->address()});
  }
  StandInDiscovery discovery;
  discovery.SetList(listed);
  const auto start = [&] {
    return std::make_unique<NodeProcess>(o.program, "n0", folder, discovery.address(), file,
                                         address);
  };
  auto node = start();
  if (!node->Ready(10 * kSecond)) {
    std::cerr << "chaos: the node did not start\n" << std::ifstream(folder + "/n0.log").rdbuf();
    return 1;
  }

  struct Client {
    std::string path;  // acknowledged
    std::string state;
    int tries = 0;
  };
  std::vector<Client> clients(static_cast<std::size_t>(o.jobs));
  const auto id_of = [&](std::size_t i) {
    char id[24];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(i + 1));
    return std::string(id);
  };
  Asker asker;
  std::multimap<Micros, std::size_t> due;
  const Micros begin = Now();
  for (std::size_t i = 0; i < clients.size(); ++i)
    due.insert({begin + static_cast<Micros>(static_cast<double>(i) * 1e6 / o.rate), i});
  std::size_t acknowledged = 0;
  int node_kills = 0, worker_kills = 0, pauses = 0, cuts = 0;
  const auto send = [&](std::size_t i) {
    ++clients[i].tries;
    asker.Ask(address,
              http::WriteRequest("POST", "/commit/n0",
                                 {{"Host", address},
                                  {"X-Request-ID", id_of(i)},
                                  {"X-Priority-Class", "commit"},
                                  {"X-Tenant-Id", "acme"},
                                  {"X-Timeout", "600000m"},
                                  {"X-Attrs", "slots=1"},
                                  {"Prefer", "respond-async"},
                                  {"Idempotency-Key", id_of(i)},
                                  {"Connection", "close"}},
                                 "strings"),
              [&, i](int status, const http::Message& answer) {
                const std::string* where = answer.Find("Location");
                if (status == 202 && where != nullptr) {
                  clients[i].path = *where;
                  ++acknowledged;
                } else if (clients[i].tries < 200) {
                  due.insert({Now() + 100 * kMs, i});  // the same key: it is the same job
                }
              });
  };
  Alarm tick([] {});
  Micros next_fault = begin + 300 * kMs, back_at = 0;
  const Micros latest = begin + 120 * kSecond + static_cast<Micros>(o.jobs) * 20 * kMs;
  const auto turn = [&](bool faults) {
    if (back_at != 0 && Now() >= back_at) {
      back_at = 0;
      node = start();
    }
    if (faults && Now() >= next_fault) {
      next_fault = Now() + draw(150, 600) * kMs;
      ChaosWorker& w = *workers[static_cast<std::size_t>(draw(0, 3))];
      const int what = draw(0, 99), length = draw(300, 1500);
      if (what < 25 && back_at == 0) {
        node->Kill();
        ++node_kills;
        back_at = Now() + draw(20, 300) * kMs;
      } else if (what < 55) {
        w.Die();
        ++worker_kills;
      } else if (what < 85) {
        w.Pause(length * kMs);
        ++pauses;
      } else {
        w.Cut();
        ++cuts;
      }
    }
    asker.Settle();
    while (!due.empty() && due.begin()->first <= Now() && asker.open() < 64) {
      const std::size_t i = due.begin()->second;
      due.erase(due.begin());
      send(i);
    }
    tick.Set(Now() + 2 * kMs);
    g_main_context_iteration(nullptr, TRUE);
  };
  while (acknowledged < clients.size() && Now() < latest) turn(true);
  // Quiet now: all that was acknowledged must come to an end, or to a doubt that is shown.
  std::set<std::size_t> open;
  for (std::size_t i = 0; i < clients.size(); ++i)
    if (!clients[i].path.empty()) open.insert(i);
  Micros look = Now();
  const Micros patience = Now() + 60 * kSecond;
  while (!open.empty() && Now() < patience) {
    if (Now() >= look && asker.open() == 0) {
      look = Now() + 300 * kMs;
      for (const std::size_t i : open)
        asker.Ask(address,
                  http::WriteRequest("GET", clients[i].path,
                                     {{"Host", address}, {"Connection", "close"}}, ""),
                  [&, i](int status, const http::Message& answer) {
                    if (status != 200) return;
                    const std::string key = "\"state\":\"";
                    const std::size_t at = answer.body.find(key) + key.size();
                    clients[i].state = answer.body.substr(at, answer.body.find('"', at) - at);
                    const std::string& s = clients[i].state;
                    if (s != "queued" && s != "running" && (s != "in doubt" || !o.fences))
                      open.erase(i);
                  });
    }
    turn(false);
  }
  node->Stop();

  std::map<std::string, int> states;
  int twice = 0, lost = 0, wrong = 0;
  for (std::size_t i = 0; i < clients.size(); ++i) {
    const Client& c = clients[i];
    const int applied = memory.entries[id_of(i)].applied;
    twice += applied > 1 ? 1 : 0;
    if (c.path.empty()) continue;
    ++states[c.state];
    lost += c.state.empty() ? 1 : 0;
    // Served is one effect; what ended otherwise has none. Only a doubt may be either.
    if (c.state == "served" && applied != 1) ++wrong;
    if ((c.state == "refused" || c.state == "failed") && applied != 0) ++wrong;
    if (o.fences && c.state != "served") ++wrong;
  }
  std::printf(
      "%d jobs, seed %llu, workers that %s fences: node killed %d times, workers %d, paused %d,"
      " cut off %d\n",
      o.jobs, static_cast<unsigned long long>(o.seed), o.fences ? "know" : "do not know",
      node_kills, worker_kills, pauses, cuts);
  std::printf("%zu acknowledged, %zu still open", acknowledged, open.size());
  for (const auto& [state, n] : states)
    std::printf(", %d %s", n, state.empty() ? "unknown" : state.c_str());
  std::printf("; applied twice: %d, lost: %d, state and memory at odds: %d\n", twice, lost, wrong);
  const bool good =
      twice == 0 && lost == 0 && wrong == 0 && open.empty() && acknowledged == clients.size();
  if (!good) {
    for (std::size_t i = 0, shown = 0; i < clients.size() && shown < 10; ++i) {
      const int applied = memory.entries[id_of(i)].applied;
      if (applied == 1 && clients[i].state == "served") continue;
      ++shown;
      std::printf("  job %s: %s, applied %d times\n", id_of(i).c_str(), clients[i].state.c_str(),
                  applied);
    }
    std::cout << std::ifstream(folder + "/n0.log").rdbuf();
  }
  return good ? 0 : 1;
}

}  // namespace
}  // namespace pearreach::lab

int main(int argc, char** argv) {
  cxxopts::Options options("pearreach_chaos", "Kills a node and its workers under durable jobs.");
  options.add_options()("node", "the program", cxxopts::value<std::string>(), "PATH")(
      "jobs", "how many", cxxopts::value<int>()->default_value("300"))(
      "seed", "of the faults", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rate", "jobs a second", cxxopts::value<double>()->default_value("150"))(
      "no-fences", "workers that do not know fences")("h,help", "print this");
  try {
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0 || args.count("node") == 0) {
      std::cout << options.help();
      return args.count("help") > 0 ? 0 : 2;
    }
    return pearreach::lab::Chaos(
        {.program = std::filesystem::absolute(args["node"].as<std::string>()),
         .jobs = std::clamp(args["jobs"].as<int>(), 1, 100000),
         .seed = args["seed"].as<std::uint64_t>(),
         .fences = args.count("no-fences") == 0,
         .rate = std::clamp(args["rate"].as<double>(), 1.0, 2000.0)});
  } catch (const cxxopts::exceptions::exception& wrong) {
    std::cerr << "pearreach_chaos: " << wrong.what() << '\n';
    return 2;
  }
}
