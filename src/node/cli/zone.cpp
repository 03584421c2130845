// The sub-command zone: an operator's order about a zone or region, said at a node's door, and what
// that node holds of all zones.
#include <glib.h>

#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "dispatch/settings/settings_reader.h"
#include "node/cli/call.h"
#include "node/cli/cli.h"

namespace pearreach::cli {
int Zone(int argc, char** argv) {
  cxxopts::Options options("pearreach zone",
                           "An operator's word about a zone or region, at any node's door; all "
                           "nodes follow it until it\n"
                           "is cleared:\n"
                           "  zone leave NAME    no new job goes there\n"
                           "  zone return NAME   it is in use, whatever the nodes see of it\n"
                           "  zone clear NAME    the nodes decide by what they see\n"
                           "  zone show          how this node uses each zone, and why\n"
                           "Exit codes: 0 done, 1 the node says no, 2 wrong use or no node there.");
  options.positional_help("leave|return|clear|show [NAME]");
  DoorCall call;
  if (!ReadDoorCall(&options, argc, argv, &call)) return kGood;
  const std::vector<std::string>& words = call.words;
  const std::string& door = call.door;
  const bool show = words.size() == 1 && words[0] == "show";
  const bool order =
      words.size() == 2 && (words[0] == "leave" || words[0] == "return" || words[0] == "clear");
  if (!show && !order)
    throw dispatch::Malformed("zone wants show, or leave, return or clear and a name");
  if (door.empty()) throw dispatch::Malformed("zone wants --door ip:port, or $EDGE_OPERATOR");
  std::string body;
  char* name = order ? g_uri_escape_string(words[1].c_str(), nullptr, FALSE) : nullptr;
  const int status =
      show ? CallDoor(door, "GET", "/_zones", "", &body)
           : CallDoor(door, "POST", "/_zones/" + words[0] + "?target=" + name, "", &body);
  g_free(name);
  if (status == 0) {
    std::cerr << "pearreach zone: " << door << ": " << body << '\n';
    return kUsage;
  }
  (status == 200 ? std::cout : std::cerr) << body;
  return status == 200 ? kGood : kNo;
}

}  // namespace pearreach::cli
