#include "lab/chaos/chaos.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "lab/base/relay.h"
#include "lab/base/standins.h"
#include "lab/chaos/memory.h"

namespace pearreach::lab {
namespace {

constexpr int kWorkers = 4;

// ---------------------------------------------------------------- the schedule of faults

enum class What { kKillNode, kFreezeNode, kKillWorker, kFreezeWorker, kCutLink, kHoldLink };
constexpr std::array<const char*, 6> kWhatNames = {"node killed",   "node frozen", "worker killed",
                                                   "worker frozen", "link cut",    "link held up"};
struct Fault {
  Micros at = 0, length = 0;  // since the start
  What what = What::kKillNode;
  int target = 0;  // a worker; kWorkers: the way back from all of them to the node
};

// All of it is drawn ahead, so that a seed is a schedule, whatever the run makes of it.
std::vector<Fault> Schedule(std::uint64_t seed, Micros until) {
  std::mt19937_64 random(seed);
  const auto draw = [&](int low, int high) {
    return low + static_cast<int>(random() % static_cast<std::uint64_t>(high - low + 1));
  };
  std::vector<Fault> faults;
  for (Micros at = 300 * kMs; at < until; at += draw(150, 600) * kMs) {
    const int what = draw(0, 99);
    Fault f{at, draw(200, 1500) * kMs, What::kKillNode, draw(0, kWorkers - 1)};
    if (what < 20) {
      f.length = draw(20, 300) * kMs;
    } else if (what < 30) {
      f.what = What::kFreezeNode;
    } else if (what < 50) {
      f.what = What::kKillWorker;
      f.length = draw(20, 800) * kMs;
    } else if (what < 70) {
      f.what = What::kFreezeWorker;
    } else {
      f.what = what < 85 ? What::kCutLink : What::kHoldLink;
      if (draw(0, 4) == 0) f.target = kWorkers;
    }
    faults.push_back(f);
  }
  return faults;
}

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

// ---------------------------------------------------------------- the parties

class Scene {
 public:
  Scene(const ChaosOptions& o, const std::string& folder)
      : o_(o), folder_(folder), node_address_(FreeAddress()), back_(node_address_) {
    std::ofstream(folder + "/operator.xml")
        << "<pearreach><jobs store='" << folder << "/jobs.db' lease-ms='700' keep-seconds='3600'"
        << " in-hand='" << o.in_hand << "'/></pearreach>";
    std::vector<std::pair<std::string, std::string>> listed;
    for (int i = 0; i < kWorkers; ++i) {
      worker_addresses_.push_back(FreeAddress());
      links_.push_back(std::make_unique<Relay>(worker_addresses_.back()));
      listed.push_back({"s-" + std::to_string(i), links_.back()->address()});
      workers_.push_back(nullptr);
      StartWorker(i);
    }
    discovery_.SetList(listed);
    StartNode();
  }
  ~Scene() {
    for (auto& w : workers_)
      if (w != nullptr) w->Thaw();
    if (node_ != nullptr) node_->Thaw();
  }

  const std::string& address() const { return node_address_; }
  bool Ready() { return node_->Ready(10 * kSecond); }

  // Begins the faults that are due, and ends those whose time is over.
  void Run(const std::vector<Fault>& faults, Micros begin) {
    while (next_ < faults.size() && begin + faults[next_].at <= Now()) {
      const Fault& f = faults[next_++];
      if (Begin(f)) ++done[static_cast<std::size_t>(f.what)];
    }
    Mend(Now());
  }
  void MendAll() { Mend(Now() + 3600 * kSecond); }
  void StopNode() { node_->Stop(); }

  std::array<int, kWhatNames.size()> done{};

 private:
  void StartNode() {
    node_ = std::make_unique<NodeProcess>(o_.program, "n0", folder_, discovery_.address(),
                                          folder_ + "/operator.xml", node_address_);
  }
  void StartWorker(int i) {
    const auto at = static_cast<std::size_t>(i);
    std::vector<std::string> words = {
        o_.self,    "chaos-worker",         "--id",   "s-" + std::to_string(i),
        "--listen", worker_addresses_[at],  "--news", back_.address(),
        "--memory", folder_ + "/memory.db", "--seed", std::to_string(o_.seed * 100 + ++lives_)};
    if (!o_.fences) words.push_back("--no-fences");
    workers_[at] = std::make_unique<Process>(words, folder_ + "/workers.log");
  }

  // False: its target has another fault.
  bool Begin(const Fault& f) {
    const bool node = f.what == What::kKillNode || f.what == What::kFreezeNode;
    const bool link = f.what == What::kCutLink || f.what == What::kHoldLink;
    const int key = node ? 100 : (link ? 200 : 300) + f.target;
    if (!busy_.insert(key).second) return false;
    const auto target = static_cast<std::size_t>(f.target);
    Relay* relay = link ? (f.target == kWorkers ? &back_ : links_[target].get()) : nullptr;
    std::function<void()> mend;
    switch (f.what) {
      case What::kKillNode:
        node_->Kill();
        mend = [this] { StartNode(); };
        break;
      case What::kFreezeNode:
        node_->Freeze();
        mend = [this] { node_->Thaw(); };
        break;
      case What::kKillWorker:
        workers_[target]->Kill();
        mend = [this, i = f.target] { StartWorker(i); };
        break;
      case What::kFreezeWorker:
        workers_[target]->Freeze();
        mend = [this, target] { workers_[target]->Thaw(); };
        break;
      case What::kCutLink:
        relay->Cut();
        mend = [relay] { relay->Mend(); };
        break;
      case What::kHoldLink:
        relay->Hold();
        mend = [relay] { relay->Mend(); };
        break;
    }
    mends_.insert({Now() + f.length, {key, std::move(mend)}});
    return true;
  }
  void Mend(Micros by) {
    while (!mends_.empty() && mends_.begin()->first <= by) {
      const auto [key, mend] = mends_.begin()->second;
      mends_.erase(mends_.begin());
      busy_.erase(key);
      mend();
    }
  }

  ChaosOptions o_;
  std::string folder_, node_address_;
  Relay back_;
  std::vector<std::string> worker_addresses_;
  std::vector<std::unique_ptr<Relay>> links_;
  std::vector<std::unique_ptr<Process>> workers_;
  StandInDiscovery discovery_;
  std::unique_ptr<NodeProcess> node_;
  std::multimap<Micros, std::pair<int, std::function<void()>>> mends_;
  std::set<int> busy_;
  std::size_t next_ = 0;
  std::uint64_t lives_ = 0;
};

}  // namespace

int RunChaos(const ChaosOptions& o) {
  Folder temporary;
  const std::string& folder = temporary.path();
  TranslationMemory memory(folder + "/memory.db");  // made before the workers open it
  Scene scene(o, folder);
  const std::string address = scene.address();
  if (!scene.Ready()) {
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
  const Micros latest = begin + 120 * kSecond + static_cast<Micros>(o.jobs) * 20 * kMs;
  const std::vector<Fault> faults = Schedule(o.seed, latest - begin);
  const auto turn = [&](bool strike) {
    if (strike) scene.Run(faults, begin);
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
  scene.MendAll();
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
  scene.StopNode();
  std::map<std::string, TranslationMemory::Entry> entries = memory.All();

  std::map<std::string, int> states;
  int twice = 0, lost = 0, wrong = 0;
  for (std::size_t i = 0; i < clients.size(); ++i) {
    const Client& c = clients[i];
    const int applied = entries[id_of(i)].applied;
    twice += applied > 1 ? 1 : 0;
    if (c.path.empty()) continue;
    ++states[c.state];
    lost += c.state.empty() ? 1 : 0;
    // Served is one effect; what ended otherwise has none. Only a doubt may be either.
    if (c.state == "served" && applied != 1) ++wrong;
    if ((c.state == "refused" || c.state == "failed") && applied != 0) ++wrong;
    if (o.fences && c.state != "served") ++wrong;
  }
  std::printf("%d jobs, seed %llu, workers that %s fences:", o.jobs,
              static_cast<unsigned long long>(o.seed), o.fences ? "know" : "do not know");
  for (std::size_t i = 0; i < kWhatNames.size(); ++i)
    std::printf("%s %s %d times", i == 0 ? "" : ",", kWhatNames[i], scene.done[i]);
  std::printf("\n");
  std::printf("%zu acknowledged, %zu still open", acknowledged, open.size());
  for (const auto& [state, n] : states)
    std::printf(", %d %s", n, state.empty() ? "unknown" : state.c_str());
  std::printf("; applied twice: %d, lost: %d, state and memory at odds: %d\n", twice, lost, wrong);
  const bool good =
      twice == 0 && lost == 0 && wrong == 0 && open.empty() && acknowledged == clients.size();
  if (!good) {
    for (std::size_t i = 0, shown = 0; i < clients.size() && shown < 10; ++i) {
      const int applied = entries[id_of(i)].applied;
      if (applied == 1 && clients[i].state == "served") continue;
      ++shown;
      std::printf("  job %s: %s, applied %d times\n", id_of(i).c_str(), clients[i].state.c_str(),
                  applied);
    }
    std::cout << std::ifstream(folder + "/n0.log").rdbuf();
  }
  return good ? 0 : 1;
}

}  // namespace pearreach::lab
