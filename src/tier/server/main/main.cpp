// pearreach-tier: one program for all machines of the serving tier.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <fmt/format.h>
#include <glib-unix.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "common/memory/memory_budget.h"
#include "tier/logging/log.h"
#include "tier/server/node.h"
#include "tier/settings/node_settings.h"

ABSL_FLAG(std::string, settings, "", "Settings file (YAML); default: $PEARREACH_BOOT");
ABSL_FLAG(std::string, policy, "",
          "File (YAML) in place of the settings' section `policy`, for measurements");
ABSL_FLAG(std::string, log_level, "info",
          "Least severity that is logged: debug, info, warning, error");

namespace {

using pearreach::settings::NodeSettings;
namespace logging = pearreach::logging;

constexpr int kUsageError = 2;
constexpr char kUsage[] =
    "pearreach-tier COMMAND [--settings FILE] [--policy FILE] [--log_level LEVEL]\n\n"
    "  serve    run this machine's part of the tier until SIGTERM or SIGINT\n"
    "  check    read the settings and say what is wrong with them\n"
    "  version  print the version";

std::string SettingsPath() {
  std::string path = absl::GetFlag(FLAGS_settings);
  if (!path.empty()) return path;
  const char* from_environment = std::getenv("PEARREACH_BOOT");
  return from_environment == nullptr ? "" : from_environment;
}

bool SetLogLevel(const std::string& level) {
  if (level == "debug") return logging::SetMinimum(logging::Severity::kDebug), true;
  if (level == "info") return logging::SetMinimum(logging::Severity::kInfo), true;
  if (level == "warning") return logging::SetMinimum(logging::Severity::kWarning), true;
  if (level == "error") return logging::SetMinimum(logging::Severity::kError), true;
  return false;
}

absl::StatusOr<NodeSettings> ReadSettings() {
  const std::string path = SettingsPath();
  if (path.empty())
    return absl::InvalidArgumentError("no settings: give --settings or set PEARREACH_BOOT");
  auto settings = pearreach::settings::ReadSettingsFile(path);
  const std::string policy_path = absl::GetFlag(FLAGS_policy);
  if (!settings.ok() || policy_path.empty()) return settings;
  const auto policy = pearreach::settings::ReadPolicyFile(policy_path);
  if (!policy.ok()) return policy.status();
  settings->policy = *policy;
  return settings;
}

struct Running {
  GMainLoop* loop = nullptr;
  pearreach::server::Node* node = nullptr;
};

gboolean OnTerminate(gpointer running) {
  static_cast<Running*>(running)->node->Stop();
  return G_SOURCE_CONTINUE;
}

gboolean OnHangUp(gpointer running) {
  const auto settings = ReadSettings();
  if (settings.ok())
    static_cast<Running*>(running)->node->Reload(*settings);
  else
    logging::Error("main", "settings not taken over",
                   {logging::F("why", std::string(settings.status().message()))});
  return G_SOURCE_CONTINUE;
}

int RefuseSettings(const absl::Status& status) {
  fmt::print(stderr, "{}\n", std::string(status.message()));
  return kUsageError;
}

int Serve() {
  std::signal(SIGPIPE, SIG_IGN);
  pearreach::memory::ReturnFreedMemory();
  Running running;
  running.loop = g_main_loop_new(nullptr, FALSE);
  // Before the settings are read, so that a signal that comes meanwhile is handled by the loop.
  g_unix_signal_add(SIGTERM, OnTerminate, &running);
  g_unix_signal_add(SIGINT, OnTerminate, &running);
  g_unix_signal_add(SIGHUP, OnHangUp, &running);
  const auto settings = ReadSettings();
  if (!settings.ok()) return RefuseSettings(settings.status());
  pearreach::server::Node node(*settings, [&running] { g_main_loop_quit(running.loop); });
  running.node = &node;
  const absl::Status started = node.Start();
  if (!started.ok()) {
    logging::Error("main", "cannot start", {logging::F("why", std::string(started.message()))});
    return 1;
  }
  g_main_loop_run(running.loop);
  g_main_loop_unref(running.loop);
  return 0;
}

int Run(const std::vector<char*>& arguments) {
  if (arguments.size() != 2 || !SetLogLevel(absl::GetFlag(FLAGS_log_level))) {
    fmt::print(stderr, "{}\n", kUsage);
    return kUsageError;
  }
  const std::string command = arguments[1];
  if (command == "version") {
    fmt::print("pearreach-tier {}\n", PEARREACH_VERSION);
    return 0;
  }
  if (command != "serve" && command != "check") {
    fmt::print(stderr, "unknown command '{}'\n{}\n", command, kUsage);
    return kUsageError;
  }
  if (command == "serve") return Serve();
  const auto settings = ReadSettings();
  if (!settings.ok()) return RefuseSettings(settings.status());
  fmt::print("{}: good\n", SettingsPath());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  return Run(absl::ParseCommandLine(argc, argv));
}
