// The bans of workers that hold at this node: those of the operators' door and those of the rules,
// each whatever the other says.
#ifndef PEARREACH_SRC_NODE_CLI_BAN_LIST_H_
#define PEARREACH_SRC_NODE_CLI_BAN_LIST_H_

#include <optional>
#include <set>
#include <string>

#include "common/event_loop/io.h"
#include "node/admin/bans.h"
#include "node/engine/node.h"

namespace pearreach::cli {

class BanList {
 public:
  // `file`: in which the door's bans outlive a process and reach the other one while two run;
  // empty: they end with this one.
  BanList(Node* node, const std::string& file);

  // False: no list has named that worker.
  bool SetByHand(const std::string& id, bool banned);
  void SetByRules(const std::set<std::string>& ids);

 private:
  void ReadFile();
  void Apply();

  Node* node_;
  std::optional<admin::BanFile> file_;
  admin::Bans by_hand_, by_rules_;
  Alarm look_;
};

}  // namespace pearreach::cli

#endif  // PEARREACH_SRC_NODE_CLI_BAN_LIST_H_
