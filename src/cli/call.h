// One call at a node's operators' door, for the sub-commands that speak to a node that runs. It
// owns its connection; it must never wait for longer than a few seconds.
#ifndef PEARREACH_SRC_CLI_CALL_H_
#define PEARREACH_SRC_CLI_CALL_H_

#include <string>

namespace pearreach::cli {

// Blocking. The answer's status with `*body`, or 0 with what is wrong in it.
int CallDoor(const std::string& door, const std::string& method, const std::string& target,
             const std::string& said, std::string* body);

}  // namespace pearreach::cli

#endif  // PEARREACH_SRC_CLI_CALL_H_
