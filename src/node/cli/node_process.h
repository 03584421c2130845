// The process of a node: puts its parts together, serves until a signal, and ends cleanly.
#ifndef PEARREACH_SRC_NODE_CLI_NODE_PROCESS_H_
#define PEARREACH_SRC_NODE_CLI_NODE_PROCESS_H_

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "node/admin/door.h"
#include "node/cli/ban_list.h"
#include "node/cli/fleet_setup.h"
#include "node/cli/takeover.h"
#include "node/config/config.h"
#include "node/config/operator.h"
#include "node/durable_jobs/keeper.h"
#include "node/engine/node.h"
#include "node/http_frontend/front.h"
#include "node/knowledge/saver.h"

namespace pearreach::cli {

// What a node is started with and looks at again on SIGHUP.
struct Sources {
  std::string config, operator_file;  // paths; empty: $EDGE_CONFIG, none
};
OperatorSettings LoadOperator(const Sources& sources);

class NodeProcess {
 public:
  NodeProcess(Config config, OperatorSettings settings, Sources sources);

  // Serves until SIGTERM or SIGINT; an exit code of cli.h. Once a process.
  int Run();

 private:
  using RulesReply = std::optional<std::pair<int, std::string>>;

  void RaiseDescriptorLimit();
  // The start, in this order; an exit code other than kGood ends it.
  int MakeKeeper();
  int MakeListener();
  void OpenDoor();
  int MakeFleetAndKnowledge();
  void Serve();

  admin::AdminHandlers DoorCalls();
  admin::Vars Vars() const;
  bool Order(const std::string& target, const std::string& what);
  RulesReply OnRulesCall(const admin::AdminHandlers::RulesRequest& call);
  bool KnowsRules() const;
  void Apply(const OperatorSettings& settings);
  void Reload();
  void ReportCounts();
  void KeepKnowledge();
  void Stop();

  Config config_;
  const OperatorSettings settings_;
  const Sources sources_;
  int sockets_;
  std::function<void()> reload_;
  GMainLoop* loop_ = nullptr;
  std::optional<Node> node_;
  std::optional<Keeper> keeper_;
  std::optional<Front> front_;
  std::optional<Takeover> takeover_;
  std::optional<BanList> bans_;
  std::optional<admin::AdminServer> door_;
  std::unique_ptr<knowledge::Saver> saver_;
  std::unique_ptr<Fleet> fleet_;
  std::optional<FleetWitness> witness_;
  std::uint64_t saves_failed_ = 0;
  Alarm report_, keep_;
};

}  // namespace pearreach::cli

#endif  // PEARREACH_SRC_NODE_CLI_NODE_PROCESS_H_
