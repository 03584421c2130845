#include "lab/soak/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <limits>
#include <utility>

#include "lab/soak/http_connection.h"

namespace pearreach::soak {
namespace {

// Of the stores' links: so slow that filling a store takes a while.
constexpr int kStoreLinkMbps = 1, kLinkMbps = 1000;
constexpr int kEdgeDiskMb = 64;

constexpr std::array<const char*, 3> kKindNames = {"edge", "store", "worker"};
constexpr int kEdgeNet = 10, kStoreNet = 20, kWorkerNet = 30;
constexpr int kWorkerPort = 19180;
constexpr int kFramedWorkers = 4;  // one worker in so many has streams in chunks
constexpr Microseconds kLateHeartbeat = 6 * kSecond, kServeOn = 7 * kSecond;
constexpr int kPorts = 16, kFirstPort = 19160;
// A node that has started is behind until it has joined and read the state.
constexpr Microseconds kAfterwards = 4 * kSecond;

std::string IpOf(const FleetOptions& options, Member::Kind kind, int index) {
  const std::array<int, 3> nets = {kEdgeNet, kStoreNet, kWorkerNet};
  return fmt::format("127.{}.{}.{}", options.network, nets[static_cast<std::size_t>(kind)], index);
}

std::string NameOf(Member::Kind kind, int index) {
  return fmt::format("{}-{}", kKindNames[static_cast<std::size_t>(kind)], index);
}

std::string ZoneOf(int index) { return index % 2 == 1 ? "loop-a" : "loop-b"; }

std::string ControlOf(const FleetOptions& options, int edge) {
  return fmt::format("{}:{}", IpOf(options, Member::Kind::kEdge, edge), kControlPort);
}

}  // namespace

int FreeNetwork(int first, int last) {
  for (int tried = 0, network = first; tried < last; ++tried, network = network % last + 1) {
    FleetOptions options;
    options.network = network;
    const std::string ip = IpOf(options, Member::Kind::kEdge, 1);
    const bool in_use =
        HttpConnection(ip, kControlPort).Connect() || HttpConnection(ip, kFirstPort).Connect();
    if (!in_use) return network;
  }
  return first;
}

Member::Member(const FleetOptions& options, Kind kind, int index)
    : options_(options),
      kind_(kind),
      name_(NameOf(kind, index)),
      ip_(IpOf(options, kind, index)),
      keeps_data_(kind == Kind::kStore || (kind == Kind::kEdge && index <= kMaxMembersOfEdges)) {}

void Member::Start() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++starts_;
  if (std::exchange(disk_is_lost_, false)) lost_disk_returns_.push_back(Now());
  if (kind_ != Kind::kWorker) WriteSettings();
  process_ = std::make_unique<ChildProcess>(kind_ == Kind::kWorker ? WorkerWords() : NodeWords(),
                                            options_.folder + "/" + name_ + ".log");
}

void Member::RemoveDisk() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::filesystem::remove_all(DataPath());
  disk_is_lost_ = true;
}

std::vector<Microseconds> Member::lost_disk_returns() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return lost_disk_returns_;
}

void Member::Signal(int number) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (number == SIGKILL) kills_.push_back(Now());
  if (process_) process_->Signal(number);
}

std::optional<int> Member::AwaitEnd(Microseconds longest) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return process_ ? process_->AwaitEnd(longest) : 0;
}

bool Member::Runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return process_ && !process_->Ended();
}

pid_t Member::process_id() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return process_ ? process_->id() : 0;
}

int Member::memory_mb() const {
  if (kind_ == Kind::kWorker) return 0;
  return kind_ == Kind::kEdge ? options_.edge_memory_mb : options_.store_memory_mb;
}

void Member::BeginDisturbance(bool abrupt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  disturbances_.push_back({Now(), std::numeric_limits<Microseconds>::max(), abrupt});
}

void Member::EndDisturbance() {
  const std::lock_guard<std::mutex> lock(mutex_);
  disturbances_.back().to = Now() + kAfterwards;
}

bool Member::Disturbed(Microseconds from, Microseconds to, bool abrupt_only) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::any_of(disturbances_.begin(), disturbances_.end(), [&](const Disturbance& each) {
    return each.from <= to && each.to >= from && (each.abrupt || !abrupt_only);
  });
}

std::optional<Microseconds> Member::KillIn(Microseconds from, Microseconds to) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto kill = kills_.rbegin(); kill != kills_.rend(); ++kill)
    if (*kill >= from && *kill <= to) return *kill;
  return std::nullopt;
}

bool Member::ChangedIn(Microseconds from, Microseconds to) const {
  const auto in_span = [&](Microseconds time) { return time >= from && time <= to; };
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::any_of(disturbances_.begin(), disturbances_.end(), [&](const Disturbance& each) {
    return in_span(each.from) || in_span(each.to - kAfterwards);
  });
}

int Member::index() const { return std::stoi(name_.substr(name_.find('-') + 1)); }

bool Member::departs_with_late_heartbeat() const {
  return kind_ == Kind::kWorker && index() > options_.workers;
}

bool Member::streams_without_length() const {
  return kind_ == Kind::kWorker && index() % kFramedWorkers != 1;
}

std::optional<Microseconds> Member::RecordedTime(const std::string& event) const {
  std::ifstream file(departure_path());
  std::string recorded;
  Microseconds time = 0;
  while (file >> recorded >> time)
    if (recorded == event) return time;
  return std::nullopt;
}

std::optional<Microseconds> Member::StopSignalIn(Microseconds from, Microseconds to) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  // The latest: an earlier one, whose aftermath reaches into the span, ended another process.
  for (auto each = disturbances_.rbegin(); each != disturbances_.rend(); ++each)
    if (!each->abrupt && each->from <= to && each->to >= from) return each->from;
  return std::nullopt;
}

void Member::WriteSettings() const {
  const bool edge = kind_ == Kind::kEdge;
  const std::string data = DataPath();
  if (keeps_data_) std::filesystem::create_directories(data);
  std::ofstream file(options_.folder + "/" + name_ + ".yaml");
  file << fmt::format("node_name: \"{}\"\nrole: \"{}\"\nmachine_class: \"{}\"\n", name_,
                      edge ? "edge" : "storage", edge ? "edge" : "storage");
  file << (edge ? "serves:\n  - \"edge\"\n  - \"control\"\n" : "serves:\n  - \"storage\"\n");
  file << fmt::format("ip: \"{}\"\nzone: \"{}\"\nregion: \"loop\"\n", ip_, ZoneOf(index()));
  file << "zones:\n  loop-a: \"loop\"\n  loop-b: \"loop\"\n";
  if (edge)
    file << fmt::format(
        "bind:\n  edge: \"{0}:{1}\"\n  readiness: \"{0}:{2}\"\n  control: \"{0}:{3}\"\n", ip_,
        kEdgePort, kReadinessPort, kControlPort);
  else
    file << "bind: {}\n";
  file << fmt::format("port_range:\n  - {}\n  - {}\n", kFirstPort, kFirstPort + kPorts - 1);
  file << "seed_nodes:\n";
  for (int seed = 1; seed <= std::min(kMaxMembersOfEdges, options_.edges); ++seed)
    file << fmt::format("  - \"{}\"\n", ControlOf(options_, seed));
  file << fmt::format("bootstrap: {}\nquorum_member: {}\n", starts_ == 1, keeps_data_);
  const int disk_mb = edge ? kEdgeDiskMb : options_.store_disk_mb;
  file << fmt::format("limits:\n  cpu_fraction: 1\n  cores: 1\n  memory_mb: {}\n  file_limit: {}\n",
                      memory_mb(), options_.file_limit)
       << fmt::format("  link_mbps: {}\n  disk_mb: {}\n", edge ? kLinkMbps : kStoreLinkMbps,
                      keeps_data_ ? disk_mb : 0);
  if (keeps_data_) file << fmt::format("data_path: \"{}\"\n", data);
  file << "beat_ms: 500\ntolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n";
  file << fmt::format("bounds:\n  grace_s: {}\n  apply_ms: {}\n",
                      static_cast<double>(options_.grace) / kSecond, kApply / kMillisecond);
}

std::vector<std::string> Member::NodeWords() const {
  return {options_.programs + "/pearreach-tier", "serve", "--settings",
          options_.folder + "/" + name_ + ".yaml"};
}

std::vector<std::string> Member::WorkerWords() const {
  std::string control;
  for (int edge = 1; edge <= options_.edges; ++edge)
    control += (control.empty() ? "" : ",") + ControlOf(options_, edge);
  std::vector<std::string> words = {options_.programs + "/stand-in-worker",
                                    "--worker_id",
                                    fmt::format("{}-{}", name_, starts_),
                                    "--address",
                                    fmt::format("{}:{}", ip_, kWorkerPort),
                                    "--control",
                                    control,
                                    "--service",
                                    "demo",
                                    "--zone",
                                    ZoneOf(index()),
                                    "--beat_ms",
                                    "500",
                                    "--drain_ms",
                                    "2500",
                                    "--capacity",
                                    "16",
                                    "--record",
                                    record_path()};
  if (streams_without_length()) words.push_back("--streams_without_length");
  if (departs_with_late_heartbeat()) {
    words.push_back(fmt::format("--late_beat_ms={}", kLateHeartbeat / kMillisecond));
    words.push_back(fmt::format("--serve_on_ms={}", kServeOn / kMillisecond));
    words.push_back("--departure_record=" + departure_path());
  }
  return words;
}

Fleet::Fleet(const FleetOptions& options) {
  const auto add = [&](Member::Kind kind, int count) {
    for (int index = 1; index <= count; ++index)
      members_.push_back(std::make_unique<Member>(options, kind, index));
  };
  add(Member::Kind::kEdge, options.edges);
  add(Member::Kind::kStore, options.stores);
  add(Member::Kind::kWorker, options.workers + 1);
}

void Fleet::StartNodes() {
  for (const auto& member : members_)
    if (member->kind() != Member::Kind::kWorker) member->Start();
}

void Fleet::StartWorkers() {
  for (Member* worker : Of(Member::Kind::kWorker)) worker->Start();
}

std::vector<Member*> Fleet::Of(Member::Kind kind) const {
  std::vector<Member*> found;
  for (const auto& member : members_)
    if (member->kind() == kind) found.push_back(member.get());
  return found;
}

}  // namespace pearreach::soak
