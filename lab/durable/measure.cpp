// Measures durable jobs on this machine, in one run: intake against the same jobs without
// durability, syncs a job, recovery and memory by the number of jobs that wait, growth of the
// store. It owns the processes and files of its runs; it must never mix the figures of two of them.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <vector>

#include "lab/base/standins.h"
#include "lab/cli/commands.h"
#include "node/job_state/ledger.h"
#include "node/job_store/store.h"

namespace pearreach::lab {
namespace {

namespace fs = std::filesystem;

constexpr int kWorkers = 64;  // enough that they do not bound what is measured

// Clients that send their next job when the last is answered.
class ClosedLoop {
 public:
  enum class How { kPlain, kDurable, kDurableAndWaits };

  ClosedLoop(std::string address, How how, int connections, std::uint64_t first_id)
      : address_(std::move(address)), how_(how), id_(first_id) {
    for (int i = 0; i < connections; ++i) {
      Link* link = links_.emplace_back(std::make_unique<Link>()).get();
      Open(link);
    }
  }
  ~ClosedLoop() {
    for (const auto& link : links_)
      if (link->stream != nullptr) link->stream->Close();
  }
  void Run(Micros time) {
    end_ = Now() + time;
    begin_ = Now();
    for (const auto& link : links_) Send(link.get());
    RunUntil([&] { return busy_ == 0; }, time + 30 * kSecond);
    seconds_ = static_cast<double>(last_ - begin_) / 1e6;
  }
  double per_second() const { return static_cast<double>(times_.size()) / seconds_; }
  std::uint64_t good() const { return times_.size(); }
  std::uint64_t bad() const { return bad_; }
  double Ms(double q) {
    if (times_.empty()) return 0;
    std::sort(times_.begin(), times_.end());
    return static_cast<double>(
               times_[static_cast<std::size_t>(q * static_cast<double>(times_.size() - 1))]) /
           1000;
  }

 private:
  struct Link {
    std::shared_ptr<Stream> stream;
    http::Parser parser{http::Parser::Kind::kResponse};
    Micros sent = 0;
    bool busy = false;
  };
  void Open(Link* link) {
    link->parser = http::Parser(http::Parser::Kind::kResponse);
    link->stream =
        Stream::Connect(address_, {[] {},
                                   [this, link](std::string_view bytes) {
                                     link->parser.Feed(bytes);
                                     if (link->parser.Next() == http::Parser::State::kMessage)
                                       Done(link, link->parser.Take());
                                   },
                                   [this, link] {
                                     if (std::exchange(link->busy, false)) {
                                       --busy_;
                                       ++bad_;
                                     }
                                   }});
  }
  void Done(Link* link, const http::Message& answer) {
    link->busy = false;
    --busy_;
    last_ = Now();
    if (answer.status == 200 || answer.status == 202)
      times_.push_back(Now() - link->sent);
    else
      ++bad_;
    if (!answer.keep_alive) {
      link->stream->Close();
      Open(link);
    }
    if (Now() < end_) Send(link);
  }
  void Send(Link* link) {
    char id[24];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++id_));
    std::vector<http::Header> headers = {
        {"Host", address_},      {"X-Request-ID", id},     {"X-Priority-Class", "commit"},
        {"X-Tenant-Id", "acme"}, {"X-Timeout", "600000m"}, {"X-Attrs", "slots=1"}};
    if (how_ != How::kPlain)
      headers.push_back(
          {"Prefer", how_ == How::kDurable ? "respond-async" : "respond-async, wait=60"});
    link->busy = true;
    ++busy_;
    link->sent = Now();
    link->stream->Write(http::WriteRequest("POST", "/commit/n0", headers, std::string(400, 'b')));
  }

  std::string address_;
  How how_;
  std::uint64_t id_;
  std::vector<std::unique_ptr<Link>> links_;
  Micros begin_ = 0, end_ = 0, last_ = 0;
  double seconds_ = 0;
  int busy_ = 0;
  std::uint64_t bad_ = 0;
  std::vector<Micros> times_;
};

// A node with a store and, where asked for, workers that are done at once.
struct Site {
  Site(const std::string& program, const Folder& folder, int workers, const std::string& more)
      : store(folder.path() + "/jobs.db") {
    const std::string file = folder.path() + "/operator.xml";
    std::ofstream(file) << "<pearreach><log format='json'/><jobs store='" << store << "' " << more
                        << "/></pearreach>";
    std::vector<const MatchWorker*> all;
    for (int i = 0; i < workers; ++i) {
      MatchWorkerOptions o;
      o.id = "s-" + std::to_string(i);
      o.slots = 64;
      o.work = 1;
      fleet.push_back(std::make_unique<MatchWorker>(o, static_cast<std::uint64_t>(i) + 1));
      all.push_back(fleet.back().get());
    }
    discovery.SetWorkers(all);
    log = folder.path() + "/n0.log";
    const Micros begin = Now();
    node = std::make_unique<NodeProcess>(program, "n0", folder.path(), discovery.address(), file);
    for (const auto& w : fleet) w->AddNode("n0", node->address());
    ready = node->Ready(60 * kSecond);
    ready_ms = static_cast<double>(Now() - begin) / 1000;
  }
  // The last value that the node's log gave of a count.
  std::uint64_t Counted(const std::string& name) const {
    std::ifstream in(log);
    std::uint64_t value = 0;
    const std::string key = "\"" + name + "\":";
    for (std::string line; std::getline(in, line);)
      if (const std::size_t at = line.find(key); at != std::string::npos)
        value = std::strtoull(line.c_str() + line.find_first_of("0123456789", at + key.size()),
                              nullptr, 10);
    return value;
  }
  std::uint64_t Served() const {
    std::uint64_t served = 0;
    for (const auto& w : fleet) served += w->served;
    return served;
  }
  std::string store, log;
  std::vector<std::unique_ptr<MatchWorker>> fleet;
  StandInDiscovery discovery;
  std::unique_ptr<NodeProcess> node;
  bool ready = false;
  double ready_ms = 0;
};

void Intake(const std::string& program, Micros time) {
  std::printf("%-9s %-28s %10s %10s %10s %12s\n", "parallel", "jobs of 400 bytes", "a second",
              "p50 ms", "p99 ms", "syncs a job");
  using How = ClosedLoop::How;
  for (const int parallel : {1, 10, 100, 1000}) {
    struct Row {
      How how;
      const char* name;
      int workers;
    };
    for (const Row& row : {Row{How::kDurable, "taken on (202), no worker", 0},
                           Row{How::kDurableAndWaits, "durable, waits for its end", kWorkers},
                           Row{How::kPlain, "the same, not durable", kWorkers}}) {
      Folder folder;
      Site site(program, folder, row.workers, "in-hand='4096'");
      if (!site.ready) {
        std::cout << std::ifstream(site.log).rdbuf();
        throw std::runtime_error("the node did not start");
      }
      ClosedLoop load(site.node->address(), row.how, parallel, 1);
      load.Run(time);
      RunUntil([] { return false; }, 1200 * kMs);  // counts are kept once a second
      site.node->Stop();
      std::printf("%-9d %-28s %10.0f %10.2f %10.2f", parallel, row.name, load.per_second(),
                  load.Ms(0.5), load.Ms(0.99));
      if (row.how == How::kPlain)
        std::printf(" %12s", "-");
      else
        std::printf(" %12.3f", static_cast<double>(site.Counted("store_syncs")) /
                                   static_cast<double>(std::max<std::uint64_t>(1, load.good())));
      if (load.bad() > 0) std::printf("  (%llu not)", static_cast<unsigned long long>(load.bad()));
      std::printf("\n");
      std::fflush(stdout);
    }
  }
}

// A store with so many queued jobs, as a crash would leave it.
void Fill(const std::string& path, int jobs) {
  const auto store = job_store::OpenSqlite({.path = path, .owner = "n0", .fault = {}});
  const std::int64_t now = g_get_real_time();
  int told = 0;
  for (int i = 0; i < jobs; ++i) {
    job_state::Job j;
    j.seq = store->NextSeq();
    j.id = job_state::MakeJobId(j.seq, 0x9e3779b97f4a7c15u * j.seq);
    char id[24];
    std::snprintf(id, sizeof id, "%016llx", 0x9e3779b97f4a7c15ull * j.seq);
    j.request_id = id;
    j.idempotency_key = std::string("k") + id;
    j.path = "/commit/n0";
    j.body.assign(400, 'b');
    j.cls = "commit";
    j.tenant = "acme";
    j.created = now;
    j.due = now + 3600'000'000ll;
    store->Submit({{job_store::TakeJob{std::move(j)}}, [&](const job_store::Outcome&) { ++told; }});
    while (i - told > 4000) g_main_context_iteration(nullptr, TRUE);
  }
  while (told < jobs) g_main_context_iteration(nullptr, TRUE);
}

void Recovery(const std::string& program, Micros time, int most) {
  std::printf("%-10s %12s %14s %16s %14s\n", "queued", "ready ms", "first sent ms",
              "served a second", "most MB");
  for (int jobs = 1000; jobs <= most; jobs *= 10) {
    Folder folder;
    Fill(folder.path() + "/jobs.db", jobs);
    const Micros begin = Now();
    Site site(program, folder, kWorkers, "");
    RunUntil([&] { return site.Served() > 0; }, 60 * kSecond);
    const double first_ms = static_cast<double>(Now() - begin) / 1000;
    const Micros from = Now();
    const std::uint64_t before = site.Served();
    RunUntil([&] { return site.Served() >= static_cast<std::uint64_t>(jobs); }, time);
    const double rate =
        static_cast<double>(site.Served() - before) * 1e6 / static_cast<double>(Now() - from);
    std::printf("%-10d %12.0f %14.0f %16.0f %14.1f\n", jobs, site.ready_ms, first_ms, rate,
                static_cast<double>(site.node->most_resident()) / 1e6);
    std::fflush(stdout);
    site.node->Kill();
  }
}

void Growth(const std::string& program, Micros time) {
  Folder folder;
  Site site(program, folder, kWorkers, "keep-seconds='1'");
  std::printf("ends kept 1 s, 100 clients in turn:");
  std::uint64_t first = 1;
  for (int part = 0; part < 6; ++part) {
    ClosedLoop load(site.node->address(), ClosedLoop::How::kDurableAndWaits, 100, first << 32);
    ++first;
    load.Run(time / 6);
    std::printf(" %.1f MB after %llu", static_cast<double>(fs::file_size(site.store)) / 1e6,
                static_cast<unsigned long long>(site.Served()));
    std::fflush(stdout);
  }
  RunUntil([] { return false; }, 4 * kSecond);
  std::printf(", %.1f MB at rest", static_cast<double>(fs::file_size(site.store)) / 1e6);
  site.node->Stop();
  std::printf(", %.1f MB compacted\n",
              static_cast<double>(job_store::CompactSqlite(site.store).second) / 1e6);
}

}  // namespace

int Durable(int argc, char** argv) {
  cxxopts::Options options("pearreach-lab durable",
                           "Measures durable jobs: intake, recovery, growth of the store.");
  options.add_options()("node", "the node's program",
                        cxxopts::value<std::string>()->default_value(""), "PATH")(
      "seconds", "of each run", cxxopts::value<int>()->default_value("4"))(
      "most", "jobs to recover", cxxopts::value<int>()->default_value("1000000"))(
      "only", "intake, recovery or growth", cxxopts::value<std::string>()->default_value(""));
  const auto args = Parse(&options, argc, argv);
  if (!args) return 0;
  const std::string program = NodeProgram((*args)["node"].as<std::string>());
  const Micros time = std::clamp((*args)["seconds"].as<int>(), 1, 600) * kSecond;
  const std::string only = (*args)["only"].as<std::string>();
  if (only.empty() || only == "intake") Intake(program, time);
  if (only.empty() || only == "recovery")
    Recovery(program, time, std::clamp((*args)["most"].as<int>(), 1000, 10'000'000));
  if (only.empty() || only == "growth") Growth(program, 6 * time);
  return 0;
}

}  // namespace pearreach::lab
