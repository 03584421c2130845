// The file in which a node keeps what it has accepted of the rules' versions. It owns the form and
// the order of the system calls: written aside, synced, renamed, the folder synced; it must never
// leave half a file, nor give bytes for good that their hash does not vouch for.
#ifndef PEARREACH_SRC_NODE_FLEET_RULES_FILE_H_
#define PEARREACH_SRC_NODE_FLEET_RULES_FILE_H_

#include <optional>
#include <string>

#include "node/knowledge/disk.h"
#include "node/rules/rules.h"

namespace pearreach {

class RulesFile {
 public:
  explicit RulesFile(std::string path, knowledge::Disk* disk = &knowledge::SystemDisk())
      : path_(std::move(path)), disk_(disk) {}

  // None: there is no file, or (`*wrong`) it is none of these.
  std::optional<rules::PersistentState> Load(std::string* wrong) const;
  // Empty, or what went wrong: what was there before is there still. Blocking.
  std::string Save(const rules::PersistentState& kept) const;

 private:
  std::string path_;
  knowledge::Disk* disk_;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_FLEET_RULES_FILE_H_
