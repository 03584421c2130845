// One call at a node's operators' door, for the sub-commands that speak to a node that runs. It
// owns its connection; it must never wait for longer than a few seconds.
#ifndef PEARREACH_SRC_NODE_CLI_CALL_H_
#define PEARREACH_SRC_NODE_CLI_CALL_H_

#include <cxxopts.hpp>
#include <string>
#include <vector>

namespace pearreach::cli {

// The options of a sub-command that speaks to a node: its words, and --door. Reads them; false: its
// help was asked for and is printed.
struct DoorCall {
  std::vector<std::string> words;
  std::string door;  // empty: neither --door nor $EDGE_OPERATOR
  cxxopts::ParseResult args;
};
bool ReadDoorCall(cxxopts::Options* options, int argc, char** argv, DoorCall* call);

// Blocking. The answer's status with `*body`, or 0 with what is wrong in it.
int CallDoor(const std::string& door, const std::string& method, const std::string& target,
             const std::string& said, std::string* body);

}  // namespace pearreach::cli

#endif  // PEARREACH_SRC_NODE_CLI_CALL_H_
