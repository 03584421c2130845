// Plays one seeded run of tier processes, workers, clients, an operator and signals on loopback.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "lab/soak/batch_job_ender.h"
#include "lab/soak/checks.h"
#include "lab/soak/client.h"
#include "lab/soak/closing_faults.h"
#include "lab/soak/configuration_history.h"
#include "lab/soak/crowd.h"
#include "lab/soak/faults.h"
#include "lab/soak/fleet.h"
#include "lab/soak/http_connection.h"
#include "lab/soak/long_caller.h"
#include "lab/soak/operator.h"
#include "lab/soak/process_group.h"
#include "lab/soak/process_usage.h"

ABSL_FLAG(std::string, program, "build-dev", "Folder of pearreach-tier and stand-in-worker");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the run");
ABSL_FLAG(int, seconds, 40, "Time of load and faults");
ABSL_FLAG(int, edges, 4, "Edge nodes; the first three are quorum members");
ABSL_FLAG(int, stores, 3, "Stores");
ABSL_FLAG(int, workers, 4, "Stand-in workers");
ABSL_FLAG(int, hostile, 24, "Connections outside the limits at each edge node");
ABSL_FLAG(std::string, logs, "", "Folder that keeps the logs of a run with findings; empty: /tmp");
ABSL_FLAG(bool, keep, false, "Keep the logs of a run without findings, too");

namespace pearreach::soak {
namespace {

constexpr int kNetworks = 200;  // 127.1 to 127.200, the first free one from the seed on
constexpr int kClientsPerEdge = 4, kStreamClientsPerEdge = 2;
constexpr Microseconds kEndedBefore = 3 * kSecond;  // a store was away
// Of clients outside the limits. None of their requests comes whole, so that none runs.
constexpr BodyForm kHostileForms[] = {BodyForm::kShortOfLength, BodyForm::kPiecesOfLength,
                                      BodyForm::kLargeChunks,   BodyForm::kChunksOfOneByte,
                                      BodyForm::kEndlessChunks, BodyForm::kAnnouncedOnly};
constexpr std::size_t kHostileBody = 4 << 20, kMegabyte = 1 << 20;
constexpr Microseconds kHostilePause = 500 * kMillisecond, kUsageLook = 100 * kMillisecond;
constexpr int kEdgeMemoryMb = 160, kStoreMemoryMb = 270;
constexpr RequestForm kLongForms[] = {RequestForm::kAfterStream, RequestForm::kInPieces,
                                      RequestForm::kPipelined, RequestForm::kHeldRead,
                                      RequestForm::kKeptControl};
// `grace_s` of a run, by its seed.
constexpr Microseconds kGraces[] = {4 * kSecond, 8 * kSecond, 2 * kSecond};
constexpr Microseconds kReady = 30 * kSecond, kSettle = 8 * kSecond, kRetry = 200 * kMillisecond;
constexpr Microseconds kFirstItemLength = 100 * kMillisecond;
// Beyond `tolerance` service may rest for `recover_s` after all are back.
constexpr Microseconds kLongestRest = 15 * kSecond;
// From the return of a store without its disk until it is filled, at most.
constexpr Microseconds kFilling = 4 * kSecond;
// A line of a store's log, but for the count of partitions.
constexpr char kOnFewerReplicas[] = "changes are acknowledged on fewer replicas";
constexpr char kOnNoPartition[] = "\"partitions\":\"0\"";
constexpr const char* kMustCome[] = {
    "answer to a client outside the limits",
    "checked: memory of a process",
    "SIGTERM",
    "SIGTERM twice",
    "SIGTERM, then SIGHUP",
    "SIGKILL",
    "SIGSTOP",
    "disk lost while another member is down",
    "disk of a store lost while another store is down",
    "store restarted while a lost disk of a store is filled",
    "batch job accepted just after a lost disk was replaced",
    "batch jobs acknowledged on fewer replicas beside a lost disk",
    "checked: batch job at the end",
    "plain 200",
    "plain 401",
    "plain 429",
    "effect 200",
    "stream 200",
    "lots-in 202",
    "Config.Replace 200",
    "forged X-Tenant",
    "node behind a client is gone",
    "checked: X-Tenant at a worker",
    "checked: ran at a node in touch",
    "checked: 401 at a node in touch",
    "checked: window of a limited tenant",
    "window at half of the bound or more",
    "checked: 429 at a node in touch",
    "leaving: request after a stream",
    "leaving: body in pieces",
    "leaving: pipelined request",
    "leaving: held read",
    "leaving: control call",
    "checked: end of a stream",
    "worker killed within an event of a stream without a length",
    "batch job with items left ended before a store was away",
    "late heartbeat after a kill of all edge nodes",
};

FleetOptions OptionsFromFlags(const std::string& folder) {
  FleetOptions options;
  options.programs = std::filesystem::absolute(absl::GetFlag(FLAGS_program)).string();
  options.folder = folder;
  options.network =
      FreeNetwork(1 + static_cast<int>(absl::GetFlag(FLAGS_seed) % kNetworks), kNetworks);
  options.edges = absl::GetFlag(FLAGS_edges);
  options.stores = absl::GetFlag(FLAGS_stores);
  options.workers = absl::GetFlag(FLAGS_workers);
  options.edge_memory_mb = kEdgeMemoryMb;
  options.store_memory_mb = kStoreMemoryMb;
  options.grace = kGraces[absl::GetFlag(FLAGS_seed) % std::size(kGraces)];
  return options;
}

class Soak {
 public:
  explicit Soak(const std::string& folder)
      : folder_(folder),
        fleet_(OptionsFromFlags(folder)),
        random_(absl::GetFlag(FLAGS_seed)),
        operator_(random_(), &fleet_, &history_, &log_),
        closing_faults_(absl::GetFlag(FLAGS_seed), &fleet_, &log_) {}

  // Whether there are no findings.
  bool Play() {
    fleet_.StartNodes();
    if (!operator_.PutFirst()) log_.Find("CONFIG", "the first version was not taken in 30 s");
    fleet_.StartWorkers();
    if (log_.findings().empty() && AwaitService()) {
      Load();
      SleepFor(kSettle);
      CheckEnds();
      ReadBatchJobs();
      const std::vector<WorkerRun> runs = ReadRuns(fleet_);
      CheckRun(history_.All(), fleet_, runs, &log_);
      CountClosingFaults(runs);
      CheckSituations();
    }
    return Report();
  }

 private:
  bool AwaitService() {
    const Microseconds until = Now() + kReady;
    for (const Member* edge : fleet_.Of(Member::Kind::kEdge)) {
      HttpConnection connection(edge->ip(), kEdgePort);
      HttpRequest request{"POST", "/plain/1", {{"X-Attempt-Id", "first-" + edge->name()}}, ""};
      request.headers.emplace_back("Authorization", "Token key-0-a");
      SentRequest sent;
      while (sent.status != 200 && Now() < until) {
        sent.attempt_id = request.headers[0].second, sent.key = "key-0-a", sent.node = edge;
        sent.sent_at = Now(), sent.status = connection.Ask(request).status;
        sent.ended_at = Now(), sent.complete = true;
        if (sent.status != 200) SleepFor(kRetry);
      }
      if (sent.status != 200) {
        log_.Find("SERVICE", edge->name() + " did not serve 30 s after the first version");
        return false;
      }
      log_.Add(sent);
    }
    return AwaitBatchJobs(until);
  }

  // The first SIGTERM comes a second after the load begins, and must find a held read of one.
  bool AwaitBatchJobs(Microseconds until) {
    for (int attempt = 0; Now() < until; ++attempt) {
      const Member* edge = fleet_.Of(Member::Kind::kEdge).back();
      HttpConnection connection(edge->ip(), kEdgePort);
      SentRequest sent;
      sent.attempt_id = fmt::format("first-batch-job-{}", attempt), sent.key = kKeptKey;
      sent.kind = RequestKind::kBatch, sent.node = edge;
      sent.items = {sent.attempt_id + "-item"}, sent.sent_at = Now();
      const HttpAnswer answer =
          connection.Ask(OneItemBatchJob(sent.attempt_id, sent.key, kFirstItemLength));
      sent.status = answer.status, sent.ended_at = Now(), sent.complete = answer.complete;
      log_.Add(sent);
      if (answer.status == 202) return true;
      SleepFor(kRetry);
    }
    log_.Find("SERVICE", "no batch job was accepted 30 s after the first version");
    return false;
  }

  void Load() {
    std::vector<std::thread> threads, late_threads;
    std::vector<std::unique_ptr<Client>> clients;
    std::vector<std::unique_ptr<LongCaller>> long_callers;
    OpenHostile();
    std::thread usage([this] { WatchMemory(); });
    std::vector<std::unique_ptr<BatchJobEnder>> enders;
    const auto add_client = [&](const Member* edge, const std::string& key,
                                std::optional<RequestKind> kind = std::nullopt) {
      const std::string name = fmt::format("c{}", clients.size());
      const ClientOptions options{name, random_(), edge, key, kind};
      clients.push_back(std::make_unique<Client>(options, &history_, &log_));
    };
    for (const Member* edge : fleet_.Of(Member::Kind::kEdge)) {
      for (int count = 0; count < kClientsPerEdge; ++count) add_client(edge, "");
      for (const char* key : {kHotKey, kSteadyKey}) add_client(edge, key);
      for (int count = 0; count < kStreamClientsPerEdge; ++count)
        add_client(edge, "", RequestKind::kStreamed);
      const BatchJobEnderOptions ender{"e" + edge->name(), random_(), edge, kKeptKey};
      enders.push_back(std::make_unique<BatchJobEnder>(ender, &log_));
      for (const RequestForm form : kLongForms) {
        const std::string name = fmt::format("l{}", long_callers.size());
        const LongCallerOptions options{name, random_(), edge, kKeptKey, form};
        long_callers.push_back(std::make_unique<LongCaller>(options, &log_));
      }
    }
    std::vector<Member*> members, edges, workers;
    for (const auto& member : fleet_.members()) {
      if (member->departs_with_late_heartbeat()) continue;
      (member->keeps_data()                    ? members
       : member->kind() == Member::Kind::kEdge ? edges
                                               : workers)
          .push_back(member.get());
    }
    Faults of_members(random_(), members, &log_), of_edges(random_(), edges, &log_),
        of_workers(random_(), workers, &log_);
    for (const auto& client : clients) late_threads.emplace_back([&] { client->Run(ends_); });
    for (const auto& ender : enders) late_threads.emplace_back([&] { ender->Run(ends_); });
    for (const auto& caller : long_callers) late_threads.emplace_back([&] { caller->Run(ends_); });
    for (Faults* faults : {&of_members, &of_edges, &of_workers})
      threads.emplace_back([this, faults] { faults->Run(faults_end_); });
    threads.emplace_back([this] { operator_.Run(faults_end_); });
    SleepFor(absl::GetFlag(FLAGS_seconds) * kSecond);
    faults_end_ = true;
    for (std::thread& thread : threads) thread.join();
    closing_faults_.Run();
    ends_ = true;
    for (std::thread& thread : late_threads) thread.join();
    usage.join();
    CloseHostile();
  }

  // Clients outside the limits, at each edge node. They come back when they are closed, and use
  // their connections until the process behind them is gone.
  void OpenHostile() {
    const int connections = absl::GetFlag(FLAGS_hostile);
    for (const Member* edge : fleet_.Of(Member::Kind::kEdge)) {
      CrowdOptions options;
      options.ip = edge->ip();
      options.port = random_() % 4 == 0 ? kControlPort : kEdgePort;
      options.headers = {{"Authorization", std::string("Token ") + kKeptKey}};
      options.connections = connections;
      options.form = kHostileForms[random_() % std::size(kHostileForms)];
      options.body_bytes = kHostileBody;
      options.reconnects = true;
      options.reconnect_pause = kHostilePause;
      hostile_.push_back(std::make_unique<Crowd>(std::move(options)));
    }
  }

  void CloseHostile() {
    for (const auto& crowd : hostile_) {
      crowd->Stop();
      for (int count = crowd->answers(); count > 0; --count)
        log_.Count("answer to a client outside the limits");
    }
    hostile_.clear();
  }

  // Each process stays within the memory of its machine, whatever befalls it.
  void WatchMemory() {
    while (!ends_) {
      for (const auto& member : fleet_.members()) {
        const pid_t process = member->process_id();
        if (member->memory_mb() == 0 || process == 0) continue;
        const std::size_t bytes = UnevictableBytes(process) + UnreadBytes(member->ip());
        log_.Count("checked: memory of a process");
        if (bytes > static_cast<std::size_t>(member->memory_mb()) * kMegabyte)
          log_.Find("MEMORY", fmt::format("{} holds {} MB of {}", member->name(), bytes / kMegabyte,
                                          member->memory_mb()));
      }
      SleepFor(kUsageLook);
    }
  }

  void CheckEnds() {
    for (const auto& member : fleet_.members())
      if (!member->departs_with_late_heartbeat() && !member->Runs())
        log_.Find("EXIT", member->name() + " has ended by itself");
  }

  // Each batch job that was taken can be read at the end, with another key of its tenant.
  void ReadBatchJobs() {
    const std::vector<Version> versions = history_.All();
    const Microseconds until = Now() + kLongestRest;
    for (const SentRequest& request : log_.requests())
      if (request.kind == RequestKind::kBatch && request.status == 202)
        ReadBatchJob(versions, request, until);
  }

  // Again after each failure until `until`, and once at least.
  void ReadBatchJob(const std::vector<Version>& versions, const SentRequest& request,
                    Microseconds until) {
    std::vector<std::string> keys;
    for (const Configuration* each : MayBeInForce(versions, Now(), Now(), 0))
      for (const auto& [name, tenant] : each->tenants)
        keys.insert(keys.end(), tenant.keys.begin(), tenant.keys.end());
    int status = ReadWithAnyKey(keys, request.attempt_id);
    while (status != 200 && Now() < until) {
      SleepFor(kRetry);
      status = ReadWithAnyKey(keys, request.attempt_id);
    }
    log_.Count("checked: batch job at the end");
    if (status != 200)
      log_.Find("LOST", fmt::format("batch job {} of {} cannot be read at the end: {}",
                                    request.attempt_id, request.key, status));
  }

  // The status of the first read whose key is known.
  int ReadWithAnyKey(const std::vector<std::string>& keys, const std::string& batch_job_id) {
    const std::vector<Member*> edges = fleet_.Of(Member::Kind::kEdge);
    int status = 401;
    for (std::size_t at = 0; at < keys.size() && status == 401; ++at) {
      HttpConnection connection(edges[++reads_ % edges.size()]->ip(), kEdgePort);
      HttpRequest read{"GET", "/lots/" + batch_job_id + "?start_after=0", {}, ""};
      read.headers = {{"Authorization", "Token " + keys[at]}};
      status = connection.Ask(read).status;
    }
    return status;
  }

  void CountLossesOfStores() {
    for (const Member* store : fleet_.Of(Member::Kind::kStore)) {
      for (const Microseconds back : store->lost_disk_returns()) CountAcceptedFrom(back);
      std::ifstream log(store->log_path());
      for (std::string line; std::getline(log, line);) {
        const bool is_over = line.find(kOnNoPartition) != std::string::npos;
        if (line.find(kOnFewerReplicas) != std::string::npos && !is_over)
          log_.Count("batch jobs acknowledged on fewer replicas beside a lost disk");
      }
    }
  }

  void CountAcceptedFrom(Microseconds back) {
    for (const SentRequest& request : log_.requests()) {
      const bool is_accepted = request.kind == RequestKind::kBatch && request.status == 202;
      if (is_accepted && request.sent_at >= back && request.ended_at < back + kFilling)
        log_.Count("batch job accepted just after a lost disk was replaced");
    }
  }

  void CountClosingFaults(const std::vector<WorkerRun>& runs) {
    std::set<std::string> ran;
    for (const WorkerRun& run : runs) ran.insert(run.attempt_id);
    const Microseconds away_at = closing_faults_.store_away_at();
    for (const SentRequest& request : log_.requests()) {
      const Microseconds end = request.end_acknowledged_at;
      if (end == 0 || end > away_at || end < away_at - kEndedBefore) continue;
      if (std::any_of(request.items.begin(), request.items.end(),
                      [&](const std::string& item) { return !ran.contains(item); }))
        log_.Count("batch job with items left ended before a store was away");
    }
    if (fleet_.DepartingWorker()->LateHeartbeatTime())
      log_.Count("late heartbeat after a kill of all edge nodes");
  }

  void CheckSituations() {
    CountLossesOfStores();
    const std::map<std::string, int> counts = log_.counts();
    for (const char* situation : kMustCome)
      if (!counts.contains(situation))
        log_.Find("SITUATION", fmt::format("never came up: {}", situation));
  }

  // What was sent, for those who trace a finding, beside the logs and the workers' records.
  void WriteHistory() const {
    std::ofstream requests(folder_ + "/requests.txt");
    for (const SentRequest& each : log_.requests())
      requests << fmt::format(
          "{} {} us {} ms {} key={} node={} status={} complete={} error={}\n", each.attempt_id,
          each.sent_at, (each.ended_at - each.sent_at) / kMillisecond, static_cast<int>(each.kind),
          each.key, each.node->name(), each.status, each.complete, each.error);
    std::ofstream versions(folder_ + "/versions.txt");
    for (const Version& each : history_.All())
      versions << fmt::format("sent {} us acknowledged {} us refused {} {}\n", each.sent_at,
                              each.acknowledged_at.value_or(0), each.refused,
                              each.configuration.Json(each.number));
  }

  bool Report() {
    WriteHistory();
    for (const auto& [situation, count] : log_.counts()) fmt::print("{:7} {}\n", count, situation);
    const std::vector<std::string> findings = log_.findings();
    for (const std::string& finding : findings) fmt::print("FINDING {}\n", finding);
    fmt::print("seed {}: {} findings\n", absl::GetFlag(FLAGS_seed), findings.size());
    return findings.empty();
  }

  const std::string folder_;
  Fleet fleet_;
  ConfigurationHistory history_;
  RequestLog log_;
  std::mt19937_64 random_;
  Operator operator_;
  ClosingFaults closing_faults_;
  std::vector<std::unique_ptr<Crowd>> hostile_;
  std::atomic<bool> faults_end_ = false, ends_ = false;
  std::size_t reads_ = 0;  // at the end, over the edge nodes in turn
};

std::string MakeFolder() {
  const std::string parent = absl::GetFlag(FLAGS_logs).empty() ? "/tmp" : absl::GetFlag(FLAGS_logs);
  std::filesystem::create_directories(parent);
  std::string path = fmt::format("{}/pearreach-soak-{}-XXXXXX", parent, absl::GetFlag(FLAGS_seed));
  return mkdtemp(path.data()) == nullptr ? "" : path;
}

int Run() {
  const std::string folder = MakeFolder();
  if (folder.empty()) {
    std::fputs("cannot make a folder for logs\n", stderr);
    return 1;
  }
  bool passed = false;
  {
    Soak soak(folder);
    passed = soak.Play();
  }
  if (passed && !absl::GetFlag(FLAGS_keep))
    std::filesystem::remove_all(folder);
  else
    fmt::print("logs: {}\n", folder);
  return passed ? 0 : 1;
}

}  // namespace
}  // namespace pearreach::soak

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return pearreach::soak::RunInGroup(pearreach::soak::Run);
}
