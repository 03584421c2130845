// The sub-commands serve and check: they read the configuration and the operator's file. A node
// must never listen before both are known to be good.
#include <cstdlib>
#include <iostream>
#include <string>

#include "node/cli/cli.h"
#include "node/cli/node_process.h"
#include "node/config/config.h"
#include "node/config/operator.h"

namespace pearreach::cli {
namespace {

Sources ReadSources(const cxxopts::ParseResult& args) {
  return {args["config"].as<std::string>(), args["operator"].as<std::string>()};
}

void AddSources(cxxopts::Options* options) {
  options->add_options()("config", "the platform's configuration; $EDGE_CONFIG if not given",
                         cxxopts::value<std::string>()->default_value(""), "FILE")(
      "operator", "the operator's own file, XML; all that it sets is off if not given",
      cxxopts::value<std::string>()->default_value(""), "FILE");
}

}  // namespace

int Serve(int argc, char** argv) {
  cxxopts::Options options(
      "pearreach serve",
      "Runs a node. EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY override the "
      "configuration. SIGTERM and\nSIGINT end it once all that it has taken is "
      "answered; SIGHUP makes it read both files again.");
  AddSources(&options);
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  const Sources sources = ReadSources(args);
  const Config config = LoadConfig(sources.config);
  return NodeProcess(config, LoadOperator(sources), sources).Run();
}

int Check(int argc, char** argv) {
  cxxopts::Options options("pearreach check",
                           "Reads the configuration, the operator's file or both, and says whether "
                           "they are good.");
  AddSources(&options);
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  const Sources sources = ReadSources(args);
  if (!sources.operator_file.empty()) {
    const OperatorSettings settings = LoadOperator(sources);
    std::cout << "good: " << sources.operator_file << ": log in "
              << (settings.log_format == LogFormat::kJson ? "JSON" : "text") << ", capture "
              << (settings.capture ? "to " + settings.capture->folder : std::string("off"))
              << ", durable jobs "
              << (settings.jobs ? "in " + settings.jobs->store : std::string("off"))
              << ", knowledge "
              << (settings.knowledge ? "in " + settings.knowledge->folder : std::string("off"))
              << '\n';
    if (sources.config.empty() && std::getenv("EDGE_CONFIG") == nullptr) return kGood;
  }
  const Config config = LoadConfig(sources.config);
  std::cout << "good: " << config.site.classes.size() << " classes, " << config.site.kinds.size()
            << " kinds of workers, listening at " << config.listen << '\n';
  return kGood;
}

}  // namespace pearreach::cli
