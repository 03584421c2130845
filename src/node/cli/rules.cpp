// The sub-command rules: versions of the rules on which all nodes agree, proposed, shown and waited
// for at a node's door.
#include <glib.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "dispatch/settings/settings_reader.h"
#include "node/cli/call.h"
#include "node/cli/cli.h"
#include "node/config/xml.h"
#include "node/rules/document.h"

namespace pearreach::cli {
namespace {

constexpr gulong kPollMicros = 100'000;

int Say(const std::string& door, int status, const std::string& body) {
  if (status == 0) {
    std::cerr << "pearreach rules: " << door << ": " << body << '\n';
    return kUsage;
  }
  (status < 300 ? std::cout : std::cerr) << body;
  return status < 300 ? kGood : status == 400 ? kUsage : kNo;
}

std::string Escape(const std::string& text) {
  char* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
  std::string all = escaped;
  g_free(escaped);
  return all;
}

bool IsNumber(const std::string& text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
}

// The words after `name` in the line that begins with it.
std::string LineOf(const std::string& text, const std::string& name) {
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t end = std::min(text.find('\n', at), text.size());
    const std::string line = text.substr(at, end - at);
    if (line.starts_with(name + " ")) return line.substr(name.size() + 1);
    at = end + 1;
  }
  return {};
}

int Propose(const std::string& door, const std::string& file, const std::string& after,
            gint64 until) {
  const std::string text = xml::LoadText(file);
  // Its lines are told here, by the file's name; which nodes there are the node knows.
  rules::ReadXml(text, file, {0}, 1000);
  std::string body;
  int status =
      CallDoor(door, "POST", "/_rules/propose" + (after.empty() ? "" : "?after=" + Escape(after)),
               text, &body);
  if (status != 202) return Say(door, status, body);
  const std::string number = body.substr(0, body.find('\n'));
  while (status == 202 && g_get_monotonic_time() < until) {
    g_usleep(kPollMicros);
    status = CallDoor(door, "GET", "/_rules/proposal?number=" + number, "", &body);
  }
  if (status != 202) return Say(door, status, body);
  std::cerr << "pearreach rules: " << door << ": not decided yet: proposal " << number << '\n';
  return kNo;
}

// Until every node that is heard has it.
int Wait(const std::string& door, const std::string& version, gint64 until) {
  const std::uint64_t wanted = dispatch::ParseNumber<std::uint64_t>(version, "VERSION");
  std::string body;
  for (;;) {
    const int status = CallDoor(door, "GET", "/_rules/have", "", &body);
    if (status != 0 && status != 200) return Say(door, status, body);
    if (status == 200) {
      const auto number = std::strtoull(body.c_str(), nullptr, 10);
      const std::string has = LineOf(body, "has"), lacks = LineOf(body, "not");
      if (number >= wanted && lacks.empty() && !has.empty()) {
        std::cout << "version " << number << ": nodes " << has << " have it\n";
        return kGood;
      }
    }
    if (g_get_monotonic_time() >= until) {
      if (status == 0) return Say(door, 0, body);
      const std::string refuses = LineOf(body, "refuses");
      const std::string in_force = body.substr(0, body.find(' '));
      if (dispatch::ParseNumber<std::uint64_t>(in_force, "version") < wanted) {
        std::cerr << "pearreach rules: version " << wanted << " is not there; " << in_force
                  << " is the latest at that node\n";
        return kNo;
      }
      std::cerr << "pearreach rules: version " << in_force
                << "; heard and without it: " << LineOf(body, "not")
                << (refuses.empty() ? "" : "; cannot read it: " + refuses) << '\n';
      return kNo;
    }
    g_usleep(kPollMicros);
  }
}

}  // namespace

int RulesTools(int argc, char** argv) {
  cxxopts::Options options(
      "pearreach rules",
      "Versions of the rules on which all nodes agree, at any node's door:\n"
      "  rules propose FILE          the next version; waits until it is chosen, or says what "
      "stands\n"
      "                              in its way\n"
      "  rules show                  what is in force at that node, and who has it\n"
      "  rules diff FROM TO          what differs between two versions\n"
      "  rules history               versions that the node holds\n"
      "  rules wait VERSION          until every node that is heard has it, else names those\n"
      "  rules force NODE...         a majority of the voters is lost for good: these go on\n"
      "Exit codes: 0 done, 1 the node says no, 2 wrong use or no node there.");
  options.add_options()(
      "after", "the version that the proposal was made for: refused if another is in force",
      cxxopts::value<std::string>()->default_value(""),
      "VERSION")("seconds", "to wait for a proposal or a version",
                 cxxopts::value<int>()->default_value("15"), "N");
  options.positional_help("propose|show|diff|history|wait|force [...]");
  DoorCall call;
  if (!ReadDoorCall(&options, argc, argv, &call)) return kGood;
  const std::vector<std::string>& words = call.words;
  const std::string& door = call.door;
  const cxxopts::ParseResult& args = call.args;
  const std::string verb = words.empty() ? "" : words[0];
  const gint64 until =
      g_get_monotonic_time() + G_USEC_PER_SEC * static_cast<gint64>(args["seconds"].as<int>());
  const auto need_door = [&] {
    if (door.empty()) throw dispatch::Malformed("rules wants --door ip:port, or $EDGE_OPERATOR");
  };
  std::string body;
  if (verb == "propose" && words.size() == 2) {
    need_door();
    return Propose(door, words[1], args["after"].as<std::string>(), until);
  }
  if (verb == "wait" && words.size() == 2 && IsNumber(words[1])) {
    need_door();
    return Wait(door, words[1], until);
  }
  if ((verb == "show" || verb == "history") && words.size() == 1) {
    need_door();
    const int status =
        CallDoor(door, "GET", verb == "show" ? "/_rules" : "/_rules/history", "", &body);
    return Say(door, status, body);
  }
  if (verb == "diff" && words.size() == 3 && IsNumber(words[1]) && IsNumber(words[2])) {
    need_door();
    const int status =
        CallDoor(door, "GET", "/_rules/diff?from=" + words[1] + "&to=" + words[2], "", &body);
    return Say(door, status, body);
  }
  if (verb == "force" && words.size() >= 2) {
    need_door();
    std::string voters;
    for (std::size_t i = 1; i < words.size(); ++i) {
      if (!IsNumber(words[i]))
        throw dispatch::Malformed("rules force: " + words[i] + " is no node's number");
      voters += (i > 1 ? " " : "") + words[i];
    }
    const int status = CallDoor(door, "POST", "/_rules/force?voters=" + Escape(voters), "", &body);
    return Say(door, status, body);
  }
  throw dispatch::Malformed(
      "rules wants propose FILE, show, diff FROM TO, history, wait VERSION or force NODE...");
}

}  // namespace pearreach::cli
