// The laboratory's sub-commands that have a file of their own. A wrong command line is thrown as an
// exception, which main turns into one line and exit code 2.
#ifndef PEARREACH_LAB_CLI_COMMANDS_H_
#define PEARREACH_LAB_CLI_COMMANDS_H_

#include <cxxopts.hpp>
#include <optional>
#include <string>

namespace pearreach::lab {

// Nothing: help was asked for and printed.
std::optional<cxxopts::ParseResult> Parse(cxxopts::Options* options, int argc, char** argv);

// The node's program: `named`, or the one beside this program.
std::string NodeProgram(const std::string& named);

int Durable(int argc, char** argv);
int ExperimentCommand(int argc, char** argv);
int EmulateCommand(int argc, char** argv);
int KnowledgeCommand(int argc, char** argv);
int LoadCommand(int argc, char** argv);
int ReportCommand(int argc, char** argv);
int SimulateCommand(int argc, char** argv);
int TopCommand(int argc, char** argv);
int TrialCommand(int argc, char** argv);
int Try(int argc, char** argv);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_CLI_COMMANDS_H_
