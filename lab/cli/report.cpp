// The sub-command report: a page out of an experiment's results or a capture.
#include <fstream>
#include <iostream>

#include "dispatch/settings/settings_reader.h"
#include "lab/cli/commands.h"
#include "lab/report/page.h"
#include "lab/report/trial_page.h"
#include "node/config/xml.h"

namespace pearreach::lab {

int ReportCommand(int argc, char** argv) {
  cxxopts::Options options("pearreach-lab report",
                           "One self-contained page with plots, of results (FILE.json), a capture\n"
                           "(FILE.prcap) or a trial (FILE.history): report FILE --out PAGE.html");
  options.add_options()("words", "", cxxopts::value<std::vector<std::string>>())(
      "out", "", cxxopts::value<std::string>(), "PAGE");
  options.parse_positional({"words"});
  const auto args = Parse(&options, argc, argv);
  if (!args) return 0;
  if (args->count("words") != 1 || args->count("out") == 0)
    throw dispatch::Malformed("report wants one FILE and --out PAGE");
  const std::string path = (*args)["words"].as<std::vector<std::string>>().at(0);
  const std::string out = (*args)["out"].as<std::string>();
  std::string page;
  if (path.ends_with(".prcap")) {
    page = ReportOfCapture(path);
  } else if (path.ends_with(".history")) {
    History history = ReadHistory(xml::LoadText(path), path);
    Sort(&history);
    page = ReportOfTrial(history, path.substr(path.rfind('/') + 1));
  } else {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw dispatch::Malformed(path + ": cannot be read");
    const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    page = ReportOf(ReadResults(text, path));
  }
  std::ofstream file(out, std::ios::binary);
  file << page;
  if (!file.flush()) throw dispatch::Malformed(out + ": cannot be written");
  std::cout << out << ": " << page.size() << " bytes\n";
  return 0;
}

}  // namespace pearreach::lab
