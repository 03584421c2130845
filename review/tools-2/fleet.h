// A small deployment of pearreach-tier: processes with settings as the operators' pages have them,
// on loopback addresses of their own, with data in a temporary folder.
#ifndef PEARREACH_REVIEW_TOOLS_2_FLEET_H_
#define PEARREACH_REVIEW_TOOLS_2_FLEET_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"

namespace review {

// The record of a run: one line for each thing that was sent, answered or run. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

constexpr int kEdgePort = 8144, kReadinessPort = 8140, kControlPort = 8146;

struct Node {
  std::string name, ip, zone;
  bool is_store = false;
  pid_t pid = -1;
  std::int64_t started_ms = 0;
};

class Fleet {
 public:
  // Each edge node has a disk and keeps the control state; tolerance.machines is 1.
  Fleet(Record* record, int edges, int stores);
  ~Fleet();  // ends all processes and removes the folder
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  bool Start(std::size_t node, bool bootstrap);
  bool StartAll();
  void Signal(std::size_t node, int signal);
  void Kill(std::size_t node);  // SIGKILL, and waits until it is gone
  // Whether all processes that were started still run.
  bool AllRun();

  const std::vector<Node>& nodes() const { return nodes_; }
  std::vector<std::size_t> Edges() const;
  std::vector<std::size_t> Stores() const;
  // An address of this run that no node has.
  std::string Address(int host) const;

  // Sends a whole configuration to the edge nodes in turn until it is acknowledged.
  bool PutConfiguration(const std::string& json, int parent, int timeout_ms);
  // Waits until each edge node is ready.
  bool AwaitReady(int timeout_ms);

 private:
  std::string Settings(const Node& node, bool bootstrap) const;

  Record* record_;
  std::string program_, folder_, net_;
  std::vector<Node> nodes_;
};

// The folder of the case: its first argument.
std::string CaseFolder(int argc, char** argv);
// Whether the disruption is to be left out.
bool WithoutTrouble();

}  // namespace review

#endif  // PEARREACH_REVIEW_TOOLS_2_FLEET_H_
