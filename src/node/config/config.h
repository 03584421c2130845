// What a node is told at its start: EDGE_CONFIG and the variables beside it. It owns the reading of
// JSON into the types that the other files use; it must never listen, connect or carry on with half
// a configuration: what is wrong is said in one line.
#ifndef PEARREACH_SRC_NODE_CONFIG_CONFIG_H_
#define PEARREACH_SRC_NODE_CONFIG_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/settings/settings_reader.h"
#include "pearreach/dispatcher.h"

namespace pearreach {

// One line of the worker list, in an inventory's own words.
struct ServerEntry {
  std::string id, address, zone, kind;
  int cell = 0;
  dispatch::Health health = dispatch::Health::kInService;
  double weight = 1;
  std::int64_t started_ms = 0;  // Unix time; 0: long ago
};

struct Listing {
  std::uint64_t version = 0;
  bool full = false;
  std::vector<ServerEntry> servers;
};

// Discovery's form of a list. An entry that makes no sense is counted and left out; nothing is
// returned where the whole makes none.
std::optional<Listing> ReadListing(std::string_view json);

// News of a job as a worker tells it.
struct News {
  enum class State { kStarted, kRunning, kDone, kFailed, kReturned, kLost };
  std::string job, from;
  State state = State::kStarted;
  double share = 0;
  std::uint64_t fence = 0;  // of the attempt it is about, where the worker says so
  std::string result;
  dispatch::LoadReport load;
};

std::string WriteNews(const News& news);  // but for its load
std::optional<News> ReadNews(std::string_view json, const dispatch::Site& site);

// The header form of a load report: "TEXT name=value, name=value".
dispatch::LoadReport ReadLoadHeader(std::string_view text, const dispatch::Site& site);

struct Config {
  std::string name = "pearreach", listen, discovery;
  std::string operator_listen;  // the operators' door; empty: none
  // Words between nodes: where this one hears them, each node's address by its number in the
  // settings (its own included), and one that reaches all. Empty: none.
  std::string peer_listen, peers_all;
  std::vector<std::string> peers;
  std::string named_discovery;      // as the file has it: a variable may have overridden it
  dispatch::Conf::Values settings;  // as the file has them, to see whether they have changed
  std::uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 0;  // of the machine; 0: what the system has
  std::optional<Listing> known;
  dispatch::Site site;
};

// Throws dispatch::Malformed. The settings' nested JSON is flattened to the wire's dotted paths and
// read by the reader that the adapter uses.
Config ReadConfig(std::string_view json);
// The file named, or $EDGE_CONFIG if `path` is empty; the variables EDGE_* override what is in it.
Config LoadConfig(const std::string& path);
// Reads the file again for a node that runs. What may change while it runs, which is the address of
// discovery, is taken over into `config`; what else has changed is named in the log and waits for a
// restart. True: discovery has moved. Throws dispatch::Malformed, and `config` stays as it was.
bool ReloadConfig(const std::string& path, Config* config);

// Empty, or why this node cannot have words with others: what the configuration lacks, or that the
// platform's settings do not allow them.
std::string PeersWrong(const Config& config);

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_CONFIG_CONFIG_H_
