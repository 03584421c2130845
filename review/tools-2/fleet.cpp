#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>

namespace review {
namespace {

constexpr int kPeerPort = 7660, kPeerPortEnd = 7675;

bool IsFree(const std::string& ip) {
  for (const int port : {kEdgePort, kReadinessPort, kControlPort, kPeerPort}) {
    const int fd = Listen(ip, port);
    if (fd < 0) return false;
    close(fd);
  }
  return true;
}

}  // namespace

void Record::Add(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  out_ << NowMs() << " " << line << std::endl;
}

Fleet::Fleet(Record* record, int edges, int stores) : record_(record) {
  const char* program = std::getenv("PROGRAM");
  program_ = program != nullptr ? program : "target/pearreach-tier";
  const char* temporary = std::getenv("TMPDIR");
  std::string folder = std::string(temporary != nullptr ? temporary : "/tmp") + "/fleet-XXXXXX";
  folder_ = mkdtemp(folder.data());
  int net = 20 + static_cast<int>(getpid() % 150);
  while (!IsFree("127." + std::to_string(net) + ".0.1")) net = 20 + (net - 19) % 200;
  net_ = "127." + std::to_string(net) + ".";
  for (int i = 0; i < edges; ++i)
    nodes_.push_back({"edge-" + std::to_string(i + 1), net_ + "0." + std::to_string(i + 1),
                      "zone-" + std::to_string(i + 1)});
  for (int i = 0; i < stores; ++i)
    nodes_.push_back({"store-" + std::to_string(i + 1), net_ + "1." + std::to_string(i + 1),
                      "zone-" + std::to_string(i + 1), true});
}

Fleet::~Fleet() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) Kill(i);
  const char* keep = std::getenv("KEEP");
  if (keep != nullptr) {
    std::filesystem::copy(folder_, keep, std::filesystem::copy_options::recursive);
  }
  std::filesystem::remove_all(folder_);
}

std::string Fleet::Address(int host) const { return net_ + "2." + std::to_string(host); }

std::vector<std::size_t> Fleet::Edges() const {
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (!nodes_[i].is_store) found.push_back(i);
  return found;
}

std::vector<std::size_t> Fleet::Stores() const {
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].is_store) found.push_back(i);
  return found;
}

// As in the operators' page on deployment, with the bounds of the smallest site.
std::string Fleet::Settings(const Node& node, bool bootstrap) const {
  std::ostringstream out;
  out << "node_name: \"" << node.name << "\"\n"
      << "role: \"" << (node.is_store ? "store" : "edge") << "\"\n"
      << "machine_class: \"" << (node.is_store ? "storage" : "edge") << "\"\n"
      << "serves:\n"
      << (node.is_store ? "  - \"storage\"\n" : "  - \"edge\"\n  - \"control\"\n") << "ip: \""
      << node.ip << "\"\n"
      << "zone: \"" << node.zone << "\"\nregion: \"loop\"\nzones:\n"
      << "  zone-1: \"loop\"\n  zone-2: \"loop\"\n  zone-3: \"loop\"\n";
  if (node.is_store) {
    out << "bind: {}\n";
  } else {
    out << "bind:\n  edge: \"" << node.ip << ":" << kEdgePort << "\"\n"
        << "  readiness: \"" << node.ip << ":" << kReadinessPort << "\"\n"
        << "  control: \"" << node.ip << ":" << kControlPort << "\"\n";
  }
  out << "port_range:\n  - " << kPeerPort << "\n  - " << kPeerPortEnd << "\nseed_nodes:\n";
  for (const Node& seed : nodes_)
    if (!seed.is_store) out << "  - \"" << seed.ip << ":" << kControlPort << "\"\n";
  out << "bootstrap: " << (bootstrap ? "true" : "false") << "\n"
      << "quorum_member: true\n"
      << "limits:\n  cpu_fraction: 0.5\n  cores: 1\n  memory_mb: " << (node.is_store ? 310 : 260)
      << "\n  file_limit: 4100\n  link_mbps: 600.0\n  disk_mb: " << (node.is_store ? 580 : 64)
      << "\ndata_path: \"" << folder_ << "/" << node.name << "\"\n"
      << "discovery: \"registration\"\nentry: \"virtual_ip\"\nbeat_ms: 1200\n"
      << "guarantees: [base, drain, config, cost, recover, batch, stream, engine]\n"
      << "tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n"
      << "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n"
      << "  sync_s: 5.1\n  drain_ms: 2000\n  grace_s: 8\n  slack_ms: 200\n  apply_ms: 2000\n"
      << "  revert_ms: 250\n  stretch_ms: 5000\n  recover_s: 12\n  pass_ms: 120\n  again_s: 0\n"
      << "  finish_s: 10\n  status_s: 120\n  cancel_ms: 3000\n  settle_ms: 1000\n"
      << "  quota_excess: 0.1\n";
  return out.str();
}

bool Fleet::Start(std::size_t index, bool bootstrap) {
  Node& node = nodes_[index];
  const std::string settings = folder_ + "/" + node.name + ".yaml";
  std::ofstream(settings) << Settings(node, bootstrap);
  const std::string log = folder_ + "/" + node.name + ".log";
  node.started_ms = NowMs();
  node.pid = fork();
  if (node.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv("PEARREACH_BOOT", settings.c_str(), 1);
    execl(program_.c_str(), program_.c_str(), "serve", static_cast<char*>(nullptr));
    _exit(127);
  }
  record_->Add("start " + node.name + (bootstrap ? " (first start)" : ""));
  return node.pid > 0;
}

bool Fleet::StartAll() {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (!Start(i, true)) return false;
  return true;
}

void Fleet::Signal(std::size_t node, int signal) {
  if (nodes_[node].pid <= 0) return;
  record_->Add("signal " + std::to_string(signal) + " to " + nodes_[node].name);
  kill(nodes_[node].pid, signal);
}

void Fleet::Kill(std::size_t node) {
  if (nodes_[node].pid <= 0) return;
  kill(nodes_[node].pid, SIGKILL);
  waitpid(nodes_[node].pid, nullptr, 0);
  nodes_[node].pid = -1;
  record_->Add("killed " + nodes_[node].name);
}

bool Fleet::AllRun() {
  bool all = true;
  for (Node& node : nodes_) {
    if (node.pid <= 0) continue;
    int status = 0;
    if (waitpid(node.pid, &status, WNOHANG) != node.pid) continue;
    record_->Add("ended by itself: " + node.name + ", status " + std::to_string(status));
    node.pid = -1;
    all = false;
  }
  return all;
}

bool Fleet::PutConfiguration(const std::string& json, int parent, int timeout_ms) {
  const std::int64_t deadline = NowMs() + timeout_ms;
  for (std::size_t i = 0; NowMs() < deadline; ++i) {
    const std::vector<std::size_t> edges = Edges();
    const Node& node = nodes_[edges[i % edges.size()]];
    const Answer answer =
        Call(node.ip, kControlPort, "POST", "/Config.Replace",
             {"X-Parent-Version: " + std::to_string(parent), "Content-Type: application/json"},
             json, 1000);
    record_->Add("Config.Replace at " + node.name + ": " + std::to_string(answer.status));
    if (answer.status == 200) return true;
    SleepMs(200);
  }
  return false;
}

bool Fleet::AwaitReady(int timeout_ms) {
  const std::int64_t deadline = NowMs() + timeout_ms;
  for (const std::size_t i : Edges()) {
    while (Call(nodes_[i].ip, kReadinessPort, "GET", "/readiness", {}, "", 500).status != 200) {
      if (NowMs() > deadline) return false;
      SleepMs(50);
    }
  }
  return true;
}

std::string CaseFolder(int argc, char** argv) { return argc > 1 ? argv[1] : "."; }

bool WithoutTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::strcmp(trouble, "0") == 0;
}

}  // namespace review
