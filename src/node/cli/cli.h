// The command line of pearreach: one function a sub-command, each with its own options. Exit codes:
// 0 good, 1 the answer is no (a difference, a broken rule, a node that could not serve), 2 wrong
// use or bad input. Results go to standard output, complaints to standard error in one line.
#ifndef PEARREACH_SRC_NODE_CLI_CLI_H_
#define PEARREACH_SRC_NODE_CLI_CLI_H_

#include <cstdint>
#include <cxxopts.hpp>
#include <functional>
#include <string>

namespace pearreach::cli {

constexpr int kGood = 0, kNo = 1, kUsage = 2;

extern const char kVersion[];
extern const std::uint64_t kPolicyHash;  // of the files that decide, at build time

// `argv` begins with the sub-command's name.
using Command = int (*)(int argc, char** argv);
int Serve(int argc, char** argv);
int Check(int argc, char** argv);
int Replay(int argc, char** argv);
int Explain(int argc, char** argv);
int Audit(int argc, char** argv);
int CaptureTools(int argc, char** argv);
int JobsTools(int argc, char** argv);
int KnowledgeTools(int argc, char** argv);
int RulesTools(int argc, char** argv);
int Zone(int argc, char** argv);

// Reads the options of a sub-command; prints its help and sets `done` where that was asked for.
cxxopts::ParseResult Parse(cxxopts::Options* options, int argc, char** argv, bool* done);

// Draws a bar on standard error where that is a terminal and the work takes over a second.
std::function<void(double)> ProgressBar();

}  // namespace pearreach::cli

#endif  // PEARREACH_SRC_NODE_CLI_CLI_H_
