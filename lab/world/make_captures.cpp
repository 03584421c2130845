// Plays the scripted days and writes their captures: pearreach_captures FOLDER. The regression
// suite in tests/captures was made by it.
#include <iostream>

#include "lab/world/scenarios.h"
#include "node/capture/segment.h"

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: pearreach_captures FOLDER\n";
    return 2;
  }
  for (const auto& scenario : pearreach::lab::Scenarios()) {
    const auto world = pearreach::lab::Play(scenario);
    const std::string bytes = world->Capture();
    const std::string path = std::string(argv[1]) + "/" + scenario.name + ".prcap";
    try {
      pearreach::capture::WriteFile(path, bytes);
    } catch (const pearreach::capture::Unreadable& wrong) {
      std::cerr << wrong.what() << '\n';
      return 2;
    }
    std::cout << path << ": " << scenario.what << "; " << world->turns().size() << " turns, "
              << world->served() << " served, " << world->refused() << " refused, "
              << world->failed() << " failed, " << bytes.size() << " bytes\n";
  }
}
