// The sub-commands load and emulate: their options and words.
#include <glib-unix.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iostream>

#include "dispatch/settings/settings_reader.h"
#include "lab/cli/commands.h"
#include "lab/emulate/fleet.h"
#include "lab/experiment/settings.h"
#include "lab/load/sender.h"
#include "node/config/xml.h"

namespace pearreach::lab {
namespace {

using cxxopts::value;
using dispatch::Malformed;

// NAME=SHARE:AIM_MS:DEADLINE_MS, the last two if they differ from 300 and 5,000.
ClassSpec ReadClassOption(const std::string& text) {
  const std::size_t eq = text.find('=');
  ClassSpec c;
  c.name = text.substr(0, eq);
  if (eq == std::string::npos) return c;
  const std::string rest = text.substr(eq + 1);
  const auto parts = dispatch::Split(rest, ':');
  c.share = dispatch::ParseNumber<double>(parts[0], "share");
  if (parts.size() > 1)
    c.aim = static_cast<Micros>(dispatch::ParseNumber<double>(parts[1], "aim") * 1000);
  if (parts.size() > 2)
    c.deadline = static_cast<Micros>(dispatch::ParseNumber<double>(parts[2], "deadline") * 1000);
  if (c.name.empty() || c.share <= 0 || c.aim < 0 || c.deadline <= 0 || parts.size() > 3)
    throw Malformed("a class is NAME=SHARE:AIM_MS:DEADLINE_MS, not " + dispatch::Quote(text));
  return c;
}

// FACTOR:FROM:LENGTH[:ACCOUNT]; a ramp is FACTOR-FACTOR:FROM:LENGTH[:ACCOUNT].
Phase ReadPhaseOption(const std::string& text) {
  const auto parts = dispatch::Split(text, ':');
  if (parts.size() != 3 && parts.size() != 4)
    throw Malformed("a phase is FACTOR:FROM:LENGTH[:ACCOUNT], not " + dispatch::Quote(text));
  Phase p;
  const auto ramp = dispatch::Split(parts[0], '-');
  p.factor = dispatch::ParseNumber<double>(ramp[0], "factor");
  p.factor_end = ramp.size() > 1 ? dispatch::ParseNumber<double>(ramp[1], "factor") : p.factor;
  p.from = static_cast<Micros>(dispatch::ParseNumber<double>(parts[1], "time") * 1e6);
  p.until = p.from + static_cast<Micros>(dispatch::ParseNumber<double>(parts[2], "length") * 1e6);
  if (parts.size() == 4) p.tenant = std::string(parts[3]);
  if (p.factor < 0 || p.factor_end < 0 || p.until <= p.from)
    throw Malformed("a phase out of bounds");
  return p;
}

void Row(const std::string& name, const Tally& t, const TimeHistogram* times) {
  std::printf(
      "  %-14.14s %8llu jobs, service %.4f, late %llu, refused %llu, failed %llu, tries %.3f",
      name.c_str(), static_cast<unsigned long long>(t.jobs), t.service(),
      static_cast<unsigned long long>(t.late), static_cast<unsigned long long>(t.refused),
      static_cast<unsigned long long>(t.failed),
      static_cast<double>(t.tries) / static_cast<double>(std::max<std::uint64_t>(1, t.jobs)));
  if (times != nullptr)
    std::printf("; ms p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, most %.2f",
                times->Quantile(0.5) / 1000, times->Quantile(0.9) / 1000,
                times->Quantile(0.99) / 1000, times->Quantile(0.999) / 1000,
                static_cast<double>(times->Most()) / 1000);
  std::printf("\n");
}

}  // namespace

int LoadCommand(int argc, char** argv) {
  cxxopts::Options options(
      "pearreach-lab load",
      "Sends jobs to nodes when they are meant to go out, whatever the answers do; latency counts\n"
      "from there. Exit code 1: the load itself ran late, and its figures are void.");
  options.add_options()("to", "a node's address, ip:port; several go in turn",
                        value<std::vector<std::string>>())("rate", "jobs a second",
                                                           value<double>()->default_value("100"))(
      "seconds", "", value<double>()->default_value("10"))(
      "constant", "even arrivals, not Poisson")("class", "NAME=SHARE:AIM_MS:DEADLINE_MS",
                                                value<std::vector<std::string>>())(
      "account", "NAME=SHARE", value<std::vector<std::string>>())(
      "phase",
      "FACTOR:FROM:LENGTH[:ACCOUNT], seconds; 2:5:5 is twice the rate from 5 s for five"
      " seconds, 1-3:0:10 a ramp",
      value<std::vector<std::string>>())("trace", "jobs from a CSV file in place of drawn ones",
                                         value<std::string>(), "FILE")(
      "capture", "likewise, from a node's capture", value<std::string>(), "FILE")(
      "path", "behind the class", value<std::string>()->default_value("/load"))(
      "tries", "of a client", value<int>()->default_value("3"))(
      "connections", "at most", value<int>()->default_value("4000"))(
      "closed", "so many clients that wait for their answers: shows what that hides",
      value<int>()->default_value("0"))("late-ms", "the load's own lateness that voids it",
                                        value<double>()->default_value("5"))(
      "seed", "", value<std::uint64_t>()->default_value("1"));
  const auto args = Parse(&options, argc, argv);
  if (!args) return 0;
  if (args->count("to") == 0) throw Malformed("load wants --to ADDRESS");
  LoadPlan plan;
  plan.seed = (*args)["seed"].as<std::uint64_t>();
  plan.tries = std::clamp((*args)["tries"].as<int>(), 1, 20);
  if (args->count("class") > 0)
    for (const auto& c : (*args)["class"].as<std::vector<std::string>>())
      plan.classes.push_back(ReadClassOption(c));
  if (args->count("account") > 0)
    for (const auto& a : (*args)["account"].as<std::vector<std::string>>()) {
      const ClassSpec c = ReadClassOption(a);
      plan.accounts.push_back({c.name, c.share, 0});
    }
  if (args->count("trace") > 0) {
    const std::string path = (*args)["trace"].as<std::string>();
    ReadTrace(xml::LoadText(path), path, &plan);
  } else if (args->count("capture") > 0) {
    ReadCapture((*args)["capture"].as<std::string>(), &plan);
  } else {
    if (plan.classes.empty()) plan.classes.emplace_back();
    Arrivals arrivals;
    arrivals.per_second = (*args)["rate"].as<double>();
    arrivals.length = static_cast<Micros>((*args)["seconds"].as<double>() * 1e6);
    arrivals.constant = args->count("constant") > 0;
    if (arrivals.per_second <= 0 || arrivals.length <= 0) throw Malformed("no rate or no time");
    if (args->count("phase") > 0)
      for (const auto& p : (*args)["phase"].as<std::vector<std::string>>())
        arrivals.phases.push_back(ReadPhaseOption(p));
    Draw(arrivals, &plan);
  }
  const int closed = std::max(0, (*args)["closed"].as<int>());
  LoadBook book(plan, Now() + 10 * kMs, closed);
  Sender sender(&book, plan, (*args)["to"].as<std::vector<std::string>>(),
                (*args)["path"].as<std::string>(),
                static_cast<std::size_t>(std::clamp((*args)["connections"].as<int>(), 1, 60000)));
  sender.Run();
  const double late = book.lateness().Quantile(0.99) / 1000;
  const double most = (*args)["late-ms"].as<double>();
  Row("all", book.all(), nullptr);
  for (std::size_t i = 0; i < plan.classes.size(); ++i)
    Row(plan.classes[i].name, book.classes()[i], &book.times()[i]);
  for (std::size_t i = 0; i < plan.accounts.size(); ++i)
    Row(plan.accounts[i].name, book.accounts()[i], nullptr);
  std::printf(
      "  connections %zu at most, broken %llu, without one %llu; %.1f us of processor time a job\n",
      sender.most_open, static_cast<unsigned long long>(book.broken()),
      static_cast<unsigned long long>(sender.without),
      1e6 * sender.cpu_seconds / static_cast<double>(std::max<std::uint64_t>(1, book.all().tries)));
  if (closed > 0)
    std::printf(
        "  a closed loop of %d clients: latency counts from the send, which waits for answers\n",
        closed);
  else
    std::printf("  the load itself was late by %.2f ms (p99)%s\n", late,
                late <= most ? "" : ": ITS FIGURES ARE VOID");
  return closed > 0 || book.KeptTime(static_cast<Micros>(most * 1000)) ? 0 : 1;
}

int EmulateCommand(int argc, char** argv) {
  cxxopts::Options options(
      "pearreach-lab emulate",
      "Match workers and discovery on loopback sockets for nodes whose addresses\n"
      "are known; prints discovery's address for each. SIGINT ends it with its figures.");
  options.add_options()("node", "a node's address, ip:port", value<std::vector<std::string>>())(
      "file", "an experiment's file: its first scenario's fleet, classes and troubles",
      value<std::string>()->default_value(""),
      "FILE")("workers", "", value<int>()->default_value("0"))("trouble", "as for simulate",
                                                               value<std::vector<std::string>>())(
      "errors", "part of the jobs that fail", value<double>()->default_value("0"))(
      "news-lost", "part of the news whose first telling is lost",
      value<double>()->default_value("0"))("news-late-ms", "", value<double>()->default_value("0"))(
      "seconds", "0: until SIGINT", value<double>()->default_value("0"))(
      "seed", "", value<std::uint64_t>()->default_value("1"));
  const auto args = Parse(&options, argc, argv);
  if (!args) return 0;
  if (args->count("node") == 0) throw Malformed("emulate wants --node ADDRESS");
  FleetOptions fleet_options;
  fleet_options.nodes = (*args)["node"].as<std::vector<std::string>>();
  if (const auto file = (*args)["file"].as<std::string>(); !file.empty())
    fleet_options.scenario = LoadExperiment(file).scenarios.at(0);
  if (const int n = (*args)["workers"].as<int>(); n > 0) fleet_options.scenario.workers = n;
  if (args->count("trouble") > 0)
    for (const auto& t : (*args)["trouble"].as<std::vector<std::string>>())
      fleet_options.scenario.troubles.push_back(ReadTrouble(t));
  fleet_options.errors = (*args)["errors"].as<double>();
  fleet_options.news_lost = (*args)["news-lost"].as<double>();
  fleet_options.news_late = static_cast<Micros>((*args)["news-late-ms"].as<double>() * 1000);
  fleet_options.seed = (*args)["seed"].as<std::uint64_t>();
  EmulatedFleet fleet(fleet_options);
  for (std::size_t n = 0; n < fleet_options.nodes.size(); ++n)
    std::printf("node %s: discovery %s\n", fleet_options.nodes[n].c_str(),
                fleet.discovery(n).c_str());
  std::fflush(stdout);
  fleet.Start();
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  const auto stop = [](gpointer l) -> gboolean {
    g_main_loop_quit(static_cast<GMainLoop*>(l));
    return G_SOURCE_CONTINUE;
  };
  g_unix_signal_add(SIGINT, stop, loop);
  g_unix_signal_add(SIGTERM, stop, loop);
  Alarm end([loop] { g_main_loop_quit(loop); });
  if (const double seconds = (*args)["seconds"].as<double>(); seconds > 0)
    end.Set(Now() + static_cast<Micros>(seconds * 1e6));
  g_main_loop_run(loop);
  const EmulatedFleet::Figures f = fleet.figures();
  std::printf(
      "taken %llu, full %llu, done %llu, failed %llu, cancelled %llu, lost %llu; falls %llu,"
      " second copies %llu, sent while drained %llu; %.1f slots busy\n",
      static_cast<unsigned long long>(f.taken), static_cast<unsigned long long>(f.full),
      static_cast<unsigned long long>(f.done), static_cast<unsigned long long>(f.failed),
      static_cast<unsigned long long>(f.cancelled), static_cast<unsigned long long>(f.lost),
      static_cast<unsigned long long>(f.falls), static_cast<unsigned long long>(f.second_copies),
      static_cast<unsigned long long>(f.sent_while_drained), f.busy);
  g_main_loop_unref(loop);
  return f.second_copies + f.sent_while_drained == 0 ? 0 : 1;
}

}  // namespace pearreach::lab
