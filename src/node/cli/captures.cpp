// The sub-commands that look at captures: replay, explain, audit and capture. It owns the words and
// the JSON that they print; it must never change a file but the one that it was told to write.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sodium.h>

#include <cmath>
#include <cstdio>
#include <iostream>

#include "node/capture/audit.h"
#include "node/capture/edit.h"
#include "node/capture/explain.h"
#include "node/capture/replay.h"
#include "node/cli/cli.h"

namespace pearreach::cli {
namespace {

using capture::Segment;
using capture::Unreadable;
using dispatch::Micros;
using Json = rapidjson::Writer<rapidjson::StringBuffer>;

void Put(Json& json, const char* key, const std::string& value) {
  json.Key(key);
  json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
void Put(Json& json, const char* key, std::uint64_t value) {
  json.Key(key);
  json.Uint64(value);
}
void Put(Json& json, const char* key, double value) {
  json.Key(key);
  json.Double(value);
}
void Put(Json& json, const char* key, bool value) {
  json.Key(key);
  json.Bool(value);
}

std::string Seconds(Micros t) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f s", static_cast<double>(t) / 1e6);
  return text;
}

void AddFiles(cxxopts::Options* options) {
  options->add_options()("files", "", cxxopts::value<std::vector<std::string>>());
  options->parse_positional({"files"});
  options->positional_help("FILE...");
}
std::vector<std::string> Files(const cxxopts::ParseResult& args) {
  if (args.count("files") == 0) throw dispatch::Malformed("no capture named");
  return args["files"].as<std::vector<std::string>>();
}
std::string OneFile(const cxxopts::ParseResult& args) {
  const auto files = Files(args);
  if (files.size() != 1) throw dispatch::Malformed("one capture at a time");
  return files.front();
}

void AddWindow(cxxopts::Options* options) {
  options->add_options()("from", "seconds after the segment's begin",
                         cxxopts::value<std::string>()->default_value(""), "S")(
      "until", "likewise; left out itself", cxxopts::value<std::string>()->default_value(""), "S");
}
capture::Window ReadWindow(const cxxopts::ParseResult& args) {
  capture::Window w;
  const auto take = [&](const char* name, Micros* to) {
    const std::string text = args[name].as<std::string>();
    if (text.empty()) return;
    const double s = dispatch::ParseNumber<double>(text, std::string("--") + name);
    if (std::abs(s) > 1e9) throw dispatch::Malformed(std::string("--") + name + ": out of range");
    *to = static_cast<Micros>(std::llround(s * 1e6));
  };
  take("from", &w.from);
  take("until", &w.until);
  if (w.from >= w.until) throw dispatch::Malformed("--from is not before --until");
  return w;
}

void AddJson(cxxopts::Options* options) { options->add_options()("json", "print JSON"); }

// What was not read to its end, in one line; empty: all was.
std::string Short(const std::string& damage, std::size_t missing, bool ended) {
  if (!damage.empty()) return "damaged: " + damage;
  if (missing > 0)
    return "cut off: the last " + std::to_string(missing) + " bytes make no whole block";
  if (!ended) return "cut off: it has no end, as after a kill or a full disk";
  return "";
}

void PrintDifference(const capture::Difference& d, const Segment& segment) {
  std::cout << "  turn " << d.turn << " at " << Seconds(d.recorded.now - segment.origin().clock)
            << ", clock " << d.recorded.now << "\n  events:\n";
  for (std::size_t i = 0; i < d.recorded.events.size(); ++i)
    std::cout << "    "
              << capture::Words(d.recorded.events[i], d.recorded.notes[i], segment.site(),
                                segment.workers())
              << '\n';
  const std::size_t n = std::max(d.recorded.actions.size(), d.actual.size());
  std::cout << "  actions, recorded and now:\n";
  const auto words = [&](const std::vector<dispatch::Action>& all, std::size_t i) {
    return i < all.size() ? capture::Words(all[i], segment.site(), segment.workers()) : "-";
  };
  for (std::size_t i = 0; i < n; ++i) {
    const std::string a = words(d.recorded.actions, i), b = words(d.actual, i);
    std::cout << (a == b && i < d.recorded.actions.size() && i < d.actual.size() &&
                          d.recorded.actions[i] == d.actual[i]
                      ? "    = "
                      : "    ! ")
              << a << " | " << b << '\n';
  }
  for (const std::string& f : d.figures) std::cout << "  " << f << '\n';
}

int PrintReplay(const std::string& file, Segment* segment, const capture::Window& window,
                bool as_json) {
  segment->OnProgress(ProgressBar());
  const capture::Replayed r = capture::Replay(segment, window);
  const std::string cut = window.until == capture::Window().until || !r.damage.empty()
                              ? Short(r.damage, r.missing, r.ended || r.difference)
                              : "";
  const double times = r.seconds > 0 ? static_cast<double>(r.span) / 1e6 / r.seconds : 0;
  const bool good = !r.difference && r.damage.empty();
  if (as_json) {
    rapidjson::StringBuffer buffer;
    Json json(buffer);
    json.StartObject();
    Put(json, "file", file);
    Put(json, "identical", good);
    Put(json, "turns", r.turns);
    Put(json, "events", r.events);
    Put(json, "decisions", r.decisions);
    Put(json, "times_real_time", times);
    if (r.difference) Put(json, "first_difference", r.difference->turn);
    if (!cut.empty()) Put(json, "short", cut);
    json.EndObject();
    std::cout << buffer.GetString() << '\n';
  } else {
    char figures[160];
    std::snprintf(
        figures, sizeof figures, "%llu turns, %llu events, %llu decisions, %.0f times real time",
        static_cast<unsigned long long>(r.turns), static_cast<unsigned long long>(r.events),
        static_cast<unsigned long long>(r.decisions), times);
    if (r.difference) {
      std::cout << "different: " << file << ": after " << figures << '\n';
      PrintDifference(*r.difference, *segment);
    } else if (good) {
      std::cout << "identical: " << figures << '\n';
    }
    if (!cut.empty()) std::cout << cut << " (" << figures << " read)\n";
  }
  if (!r.damage.empty()) return kUsage;
  return r.difference ? kNo : kGood;
}

int PrintChanges(const std::string& file, const Segment& segment, const capture::Changes& c,
                 bool as_json, const char* what) {
  if (as_json) {
    rapidjson::StringBuffer buffer;
    Json json(buffer);
    json.StartObject();
    Put(json, "file", file);
    Put(json, "answers_to_recorded_outcomes", true);
    Put(json, "turns", c.turns);
    Put(json, "turns_that_differ", c.turns_that_differ);
    Put(json, "sent_elsewhere", c.sent_elsewhere);
    json.Key("kinds");
    json.StartObject();
    for (std::size_t i = 0; i < c.kinds.size(); ++i) {
      json.Key(capture::kActionKinds[i]);
      json.StartArray();
      json.Uint64(c.kinds[i].first);
      json.Uint64(c.kinds[i].second);
      json.EndArray();
    }
    json.EndObject();
    json.Key("sends");
    json.StartObject();
    for (const auto& [worker, pair] : c.sends) {
      json.Key(segment.workers().at(worker).c_str());
      json.StartArray();
      json.Uint64(pair.first);
      json.Uint64(pair.second);
      json.EndArray();
    }
    json.EndObject();
    json.EndObject();
    std::cout << buffer.GetString() << '\n';
    return kGood;
  }
  std::cout << what << ": " << file << ": " << c.turns_that_differ << " of " << c.turns
            << " turns differ, " << c.sent_elsewhere
            << " jobs sent elsewhere (answers to recorded outcomes, no forecast)\n";
  const auto row = [](const std::string& name, std::pair<std::uint64_t, std::uint64_t> p) {
    std::printf("  %-24s %9llu -> %9llu\n", name.c_str(), static_cast<unsigned long long>(p.first),
                static_cast<unsigned long long>(p.second));
  };
  std::cout << "  kind of decision          recorded ->       now\n" << std::flush;
  for (std::size_t i = 0; i < c.kinds.size(); ++i)
    if (c.kinds[i].first + c.kinds[i].second > 0) row(capture::kActionKinds[i], c.kinds[i]);
  std::printf("  sends by worker\n");
  for (const auto& [worker, pair] : c.sends) row(segment.workers().at(worker), pair);
  std::fflush(stdout);
  return kGood;
}

}  // namespace

int Replay(int argc, char** argv) {
  cxxopts::Options options("pearreach replay",
                           "Hands each capture's events to the module of this build and compares "
                           "its decisions with the\nrecorded ones. Exit code 1: they differ.");
  AddFiles(&options);
  AddWindow(&options);
  AddJson(&options);
  options.add_options()("set",
                        "go on with another setting, e.g. Limits.TryLimit=1; count what differs",
                        cxxopts::value<std::vector<std::string>>(), "PATH=VALUE")(
      "accept", "rewrite the captures with the decisions of this build, after a change on purpose");
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  const capture::Window window = ReadWindow(args);
  dispatch::Conf::Values set;
  if (args.count("set") > 0)
    for (const std::string& pair : args["set"].as<std::vector<std::string>>()) {
      const std::size_t eq = pair.find('=');
      if (eq == std::string::npos || eq == 0)
        throw dispatch::Malformed("--set wants PATH=VALUE, not '" + pair + "'");
      set[pair.substr(0, eq)] = pair.substr(eq + 1);
    }
  const bool as_json = args.count("json") > 0;
  if (args.count("accept") > 0 && !set.empty())
    throw dispatch::Malformed("--accept and --set do not go together");
  int result = kGood;
  for (const std::string& file : Files(args)) {
    Segment segment(file);
    if (args.count("accept") > 0) {
      capture::Changes changes;
      const std::string bytes = capture::Accept(&segment, kVersion, kPolicyHash, &changes);
      // The rules hold whatever was changed on purpose.
      Segment rewritten(bytes, file);
      const capture::Audit audit = capture::RunAudit(&rewritten);
      if (audit.breach_count > 0) {
        std::cout << "not accepted: " << file << ": " << audit.breaches.front().what << '\n';
        result = kNo;
        continue;
      }
      capture::WriteFile(file, bytes);
      PrintChanges(file, segment, changes, as_json, "accepted");
    } else if (!set.empty()) {
      segment.OnProgress(ProgressBar());
      const capture::Changes changes = capture::WhatIf(&segment, set, window);
      if (!changes.damage.empty()) throw Unreadable(file + ": " + changes.damage);
      PrintChanges(file, segment, changes, as_json, "what if");
    } else {
      result = std::max(result, PrintReplay(file, &segment, window, as_json));
    }
  }
  return result;
}

int Explain(int argc, char** argv) {
  cxxopts::Options options(
      "pearreach explain",
      "Tells in order what the module knew of a worker or a job and why it "
      "chose as it did. Exit code 1:\nthe capture knows no such worker or job.");
  AddFiles(&options);
  AddWindow(&options);
  AddJson(&options);
  options.add_options()("worker", "by name", cxxopts::value<std::string>()->default_value(""), "W")(
      "job", "the client's id of it, or the node's number",
      cxxopts::value<std::string>()->default_value(""), "ID");
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  const capture::Subject subject{args["worker"].as<std::string>(), args["job"].as<std::string>()};
  if (subject.worker.empty() && subject.job.empty())
    throw dispatch::Malformed("explain what? Give --worker or --job");
  const std::string file = OneFile(args);
  Segment segment(file);
  const bool as_json = args.count("json") > 0;
  const capture::Explained r =
      capture::Explain(&segment, subject, ReadWindow(args), [&](const capture::Line& line) {
        if (!as_json) {
          std::printf("%12s  %-8s  %s\n", Seconds(line.since).c_str(), line.kind.c_str(),
                      line.text.c_str());
          return;
        }
        rapidjson::StringBuffer buffer;
        Json json(buffer);
        json.StartObject();
        Put(json, "since_s", static_cast<double>(line.since) / 1e6);
        Put(json, "kind", line.kind);
        Put(json, "text", line.text);
        json.EndObject();
        std::printf("%s\n", buffer.GetString());
      });
  std::fflush(stdout);
  if (!r.identical)
    std::cerr << "pearreach: this build decides otherwise than was recorded; the choices shown are "
                 "its own\n";
  if (!r.damage.empty()) throw Unreadable(file + ": " + r.damage);
  if (r.missing > 0)
    std::cerr << "pearreach: the last " << r.missing << " bytes make no whole block\n";
  if (r.known) return kGood;
  std::cerr << "pearreach: " << file << ": nothing of "
            << (subject.worker.empty() ? subject.job : subject.worker) << " there\n";
  return kNo;
}

int Audit(int argc, char** argv) {
  cxxopts::Options options("pearreach audit",
                           "Checks the four rules over captures, by books of its own. Exit code 1: "
                           "one is broken.");
  AddFiles(&options);
  AddJson(&options);
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  int result = kGood;
  for (const std::string& file : Files(args)) {
    Segment segment(file);
    segment.OnProgress(ProgressBar());
    const capture::Audit a = capture::RunAudit(&segment);
    if (args.count("json") > 0) {
      rapidjson::StringBuffer buffer;
      Json json(buffer);
      json.StartObject();
      Put(json, "file", file);
      Put(json, "jobs", a.jobs);
      Put(json, "answered", a.answered);
      Put(json, "open", a.open);
      Put(json, "sends", a.sends);
      Put(json, "drains", a.drains);
      Put(json, "cold_sends", a.cold_sends);
      if (a.cold_share >= 0) Put(json, "cold_share", a.cold_share);
      Put(json, "broken", a.breach_count);
      json.Key("breaches");
      json.StartArray();
      for (const capture::Breach& b : a.breaches) {
        json.StartObject();
        Put(json, "rule", static_cast<std::uint64_t>(b.rule));
        Put(json, "since_s", static_cast<double>(b.since) / 1e6);
        Put(json, "what", b.what);
        json.EndObject();
      }
      json.EndArray();
      json.EndObject();
      std::cout << buffer.GetString() << '\n';
    } else {
      std::printf(
          "%s: %s: %llu jobs, %llu answered, %llu open, %llu sends, %llu workers told to "
          "leave, %llu sends to cold ones",
          a.breach_count == 0 ? "kept" : "broken", file.c_str(),
          static_cast<unsigned long long>(a.jobs), static_cast<unsigned long long>(a.answered),
          static_cast<unsigned long long>(a.open), static_cast<unsigned long long>(a.sends),
          static_cast<unsigned long long>(a.drains), static_cast<unsigned long long>(a.cold_sends));
      if (a.cold_share >= 0) std::printf(" (at most %.0f%% of a budget)", 100 * a.cold_share);
      std::printf("\n");
      for (const capture::Breach& b : a.breaches)
        std::printf("  rule %d at %s: %s\n", b.rule, Seconds(b.since).c_str(), b.what.c_str());
      std::fflush(stdout);
    }
    if (!a.damage.empty()) throw Unreadable(file + ": " + a.damage);
    if (a.breach_count > 0) result = kNo;
  }
  return result;
}

namespace {

void AddOut(cxxopts::Options* options) {
  options->add_options()("o,output", "the capture to write", cxxopts::value<std::string>(), "FILE");
}
std::string Out(const cxxopts::ParseResult& args) {
  if (args.count("output") == 0) throw dispatch::Malformed("no -o FILE to write to");
  return args["output"].as<std::string>();
}

int Info(int argc, char** argv) {
  cxxopts::Options options("pearreach capture info", "Says what a capture holds.");
  AddFiles(&options);
  AddJson(&options);
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  int result = kGood;
  for (const std::string& file : Files(args)) {
    Segment segment(file);
    segment.OnProgress(ProgressBar());
    const capture::Origin o = segment.origin();
    std::uint64_t turns = 0, events = 0, actions = 0;
    std::vector<std::string> marks, steps;
    Micros last = o.clock, wall_at = o.clock;
    std::int64_t wall = o.unix_us;
    capture::Turn turn;
    while (segment.Next(&turn)) {
      ++turns;
      events += turn.events.size();
      actions += turn.actions.size();
      last = turn.now;
      if (!turn.mark.empty()) marks.push_back(Seconds(turn.now - o.clock) + " " + turn.mark);
      if (turn.unix_us == 0) continue;
      // The two clocks drift by little; a jump of one against the other is a step of the wall
      // clock.
      const Micros step = (turn.unix_us - wall) - (turn.now - wall_at);
      if (std::abs(step) > 100'000 && wall > 0)
        steps.push_back(Seconds(turn.now - o.clock) + " the wall clock stepped by " +
                        Seconds(step));
      wall = turn.unix_us;
      wall_at = turn.now;
    }
    const std::string cut =
        Short(segment.damage(), segment.missing(), segment.ending().has_value());
    char hash[20];
    std::snprintf(hash, sizeof hash, "%016llx", static_cast<unsigned long long>(o.policy_hash));
    if (args.count("json") > 0) {
      rapidjson::StringBuffer buffer;
      Json json(buffer);
      json.StartObject();
      Put(json, "file", file);
      Put(json, "node", o.node);
      Put(json, "build", o.build);
      Put(json, "policy", std::string(hash));
      Put(json, "segment", o.segment);
      Put(json, "edited", o.edited);
      Put(json, "checkpoint", segment.checkpoint() ? segment.checkpoint()->size() : 0ul);
      Put(json, "unix_s", static_cast<double>(o.unix_us) / 1e6);
      Put(json, "seconds", static_cast<double>(last - o.clock) / 1e6);
      Put(json, "first_turn", o.first_turn);
      Put(json, "turns", turns);
      Put(json, "events", events);
      Put(json, "decisions", actions);
      Put(json, "bytes", static_cast<std::uint64_t>(segment.file_bytes()));
      Put(json, "raw_bytes", static_cast<std::uint64_t>(segment.raw_bytes()));
      Put(json, "workers", static_cast<std::uint64_t>(segment.workers().size()));
      if (!cut.empty()) Put(json, "short", cut);
      json.EndObject();
      std::cout << buffer.GetString() << '\n';
    } else {
      std::cout << file << ": node " << o.node << ", build " << o.build << ", policy " << hash
                << (o.edited ? ", edited" : "") << "\n  segment " << o.segment << ", begins "
                << (segment.checkpoint()
                        ? "with a checkpoint of " + std::to_string(segment.checkpoint()->size()) +
                              " bytes"
                        : std::string("with the node"))
                << ", after " << o.first_turn << " turns\n  " << Seconds(last - o.clock) << ", "
                << turns << " turns, " << events << " events, " << actions << " decisions, "
                << segment.workers().size() << " workers\n  " << segment.file_bytes() << " bytes, "
                << segment.raw_bytes() << " before compression";
      if (events > 0)
        std::printf(", %.1f an event",
                    static_cast<double>(segment.file_bytes()) / static_cast<double>(events));
      std::cout << '\n';
      for (const std::string& line : marks) std::cout << "  mark " << line << '\n';
      for (const std::string& line : steps) std::cout << "  " << line << '\n';
      if (segment.ending()) std::cout << "  ended: " << segment.ending()->reason << '\n';
      if (!cut.empty()) std::cout << "  " << cut << '\n';
    }
    if (!segment.damage().empty()) result = kUsage;
  }
  return result;
}

int CutPart(int argc, char** argv) {
  cxxopts::Options options("pearreach capture cut",
                           "Writes the turns of a window as a capture that replays alone.");
  AddFiles(&options);
  AddWindow(&options);
  AddOut(&options);
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  Segment segment(OneFile(args));
  segment.OnProgress(ProgressBar());
  capture::WriteFile(Out(args), capture::Cut(&segment, ReadWindow(args)));
  return kGood;
}

int AnonymiseFile(int argc, char** argv) {
  cxxopts::Options options("pearreach capture anonymise",
                           "Replaces names and ids by keyed hashes; what is written still replays "
                           "identically. With one key\nthe same names become the same hashes in "
                           "every capture; without --key it is thrown away.");
  AddFiles(&options);
  AddOut(&options);
  options.add_options()("key", "a file of 16 to 64 bytes", cxxopts::value<std::string>(), "FILE");
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  std::string key(crypto_generichash_KEYBYTES, '\0');
  if (sodium_init() < 0) throw Unreadable("the crypto library does not start");
  randombytes_buf(key.data(), key.size());
  if (args.count("key") > 0) {
    const std::string path = args["key"].as<std::string>();
    key = capture::ReadFile(path);
    if (key.size() < crypto_generichash_KEYBYTES_MIN ||
        key.size() > crypto_generichash_KEYBYTES_MAX)
      throw Unreadable(path + ": a key has 16 to 64 bytes, not " + std::to_string(key.size()));
  }
  const std::string file = OneFile(args);
  const capture::Anonymised a = capture::Anonymise(file, key);
  capture::WriteFile(Out(args), a.bytes);
  if (a.identities_kept)
    std::cerr << "pearreach: " << file
              << ": jobs carry subjects' keys: the workers' identity numbers and those keys had to "
                 "stay\n";
  return kGood;
}

int Import(int argc, char** argv) {
  cxxopts::Options options("pearreach capture import-tap",
                           "Turns what lbsim --tap recorded of one instance into a capture. Exit "
                           "code 1: this build's module\ndecides otherwise than was recorded.");
  AddFiles(&options);
  AddOut(&options);
  AddJson(&options);
  options.add_options()("instance", "its number",
                        cxxopts::value<std::uint64_t>()->default_value("0"),
                        "N")("life", "which of its starts, from 1 on",
                             cxxopts::value<std::uint64_t>()->default_value("1"), "K");
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  const std::string file = OneFile(args), out = Out(args);
  const capture::Imported i =
      capture::ImportTap(capture::ReadFile(file), file, args["instance"].as<std::uint64_t>(),
                         args["life"].as<std::uint64_t>(), kVersion, kPolicyHash);
  capture::WriteFile(out, i.bytes);
  if (args.count("json") > 0) {
    rapidjson::StringBuffer buffer;
    Json json(buffer);
    json.StartObject();
    Put(json, "file", out);
    Put(json, "turns", i.turns);
    Put(json, "identical", i.identical);
    Put(json, "log_lines_lost", i.log_lines_lost);
    json.EndObject();
    std::cout << buffer.GetString() << '\n';
    return i.identical ? kGood : kNo;
  }
  std::cout << out << ": " << i.turns << " turns, "
            << (i.identical ? "decided alike by this build" : "decided otherwise by this build");
  if (i.log_lines_lost > 0) std::cout << ", " << i.log_lines_lost << " log lines left out";
  std::cout << '\n';
  return i.identical ? kGood : kNo;
}

}  // namespace

int CaptureTools(int argc, char** argv) {
  static constexpr struct {
    const char* name;
    Command run;
  } kTools[] = {
      {"info", Info}, {"cut", CutPart}, {"anonymise", AnonymiseFile}, {"import-tap", Import}};
  const std::string tool = argc > 1 ? argv[1] : "--help";
  if (tool == "--help" || tool == "-h") {
    std::cout << "pearreach capture info FILE...\n"
                 "pearreach capture cut FILE --from S --until S -o FILE\n"
                 "pearreach capture anonymise FILE [--key FILE] -o FILE\n"
                 "pearreach capture import-tap TAP [--instance N] [--life K] -o FILE\n\n"
                 "Each has its options: pearreach capture TOOL --help.\n";
    return kGood;
  }
  for (const auto& t : kTools)
    if (tool == t.name) return t.run(argc - 1, argv + 1);
  std::cerr << "pearreach: unknown command 'capture " << tool
            << "'; see 'pearreach capture --help'\n";
  return kUsage;
}

}  // namespace pearreach::cli
