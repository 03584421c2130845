// The sub-command knowledge: looks at what a node has learned and keeps in its folder. It owns the
// words that it prints; it must never write a file of knowledge.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <iostream>

#include "node/cli/cli.h"
#include "node/config/config.h"
#include "node/knowledge/file.h"

namespace pearreach::cli {
namespace {

using knowledge::Decoded;
using knowledge::Memory;
using Json = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr double kSecondsOf = 1e6;

struct Options {
  bool json = false;
  knowledge::Key key;
  std::vector<std::string> files;
};

Decoded Read(const std::string& path, const knowledge::Key& key) {
  std::string bytes;
  if (knowledge::SystemDisk().Read(path, knowledge::kMaxBytes, &bytes) != 0)
    throw dispatch::Malformed(path + ": " + std::strerror(errno));
  return knowledge::Decode(bytes, key);
}

std::string Text(double v) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", v);
  return text;
}

void PrintJson(const std::string& path, const Memory& m, std::uint64_t generation) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  const auto put = [&](const char* key, double value) {
    json.Key(key);
    json.Double(value);
  };
  const auto name = [&](const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  json.StartObject();
  name("file", path);
  name("node", m.node);
  json.Key("generation");
  json.Uint64(generation);
  put("written_s", static_cast<double>(m.written) / kSecondsOf);
  json.Key("pools");
  json.StartArray();
  for (const Memory::Pool& p : m.pools) {
    json.StartObject();
    name("kind", p.kind);
    put("limit", p.what.limit);
    put("found", p.what.proven_limit);
    put("slots_seen", p.what.slots_seen);
    put("ran_ms", p.what.mean_running / 1000);
    put("work_ms", p.what.mean_work / 1000);
    json.EndObject();
  }
  json.EndArray();
  json.Key("workers");
  json.StartArray();
  for (const Memory::Worker& w : m.workers) {
    json.StartObject();
    name("id", w.id);
    json.Key("started_ms");
    json.Int64(w.started_ms);
    put("slowness", w.what.slowness);
    put("failures", w.what.failures);
    json.Key("silent");
    json.Bool(w.what.silent);
    if (w.what.died_at != 0) put("died_ago_s", static_cast<double>(w.what.died_at) / kSecondsOf);
    json.EndObject();
  }
  json.EndArray();
  json.Key("classes");
  json.StartArray();
  for (const Memory::Class& c : m.classes) {
    json.StartObject();
    name("name", c.name);
    put("work_ms", c.what.work / 1000);
    json.EndObject();
  }
  json.EndArray();
  json.Key("accounts");
  json.StartArray();
  for (const Memory::Tenant& t : m.tenants) {
    json.StartObject();
    name("name", t.name);
    put("left", t.what.tokens);
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  std::puts(buffer.GetString());
}

void Print(const std::string& path, const Memory& m, std::uint64_t generation) {
  const std::time_t at = static_cast<std::time_t>(m.written / 1'000'000);
  char when[40] = "";
  std::tm utc{};
  if (gmtime_r(&at, &utc) != nullptr) std::strftime(when, sizeof when, "%Y-%m-%d %H:%M:%S", &utc);
  std::printf("%s: node %s, generation %llu, written %s UTC\n", path.c_str(), m.node.c_str(),
              static_cast<unsigned long long>(generation), when);
  for (const Memory::Pool& p : m.pools)
    std::printf("  kind %s: limit %s slots, %s found, %s seen on one worker, work x %s\n",
                p.kind.c_str(), Text(p.what.limit).c_str(), Text(p.what.proven_limit).c_str(),
                Text(p.what.slots_seen).c_str(),
                Text(p.what.mean_work > 0 ? p.what.mean_running / p.what.mean_work : 1).c_str());
  for (const Memory::Class& c : m.classes)
    std::printf("  class %s: %s ms of work\n", c.name.c_str(), Text(c.what.work / 1000).c_str());
  for (const Memory::Tenant& t : m.tenants)
    std::printf("  account %s: %s requests left\n", t.name.c_str(), Text(t.what.tokens).c_str());
  for (const Memory::Worker& w : m.workers)
    std::printf("  worker %s since %lld: time x %s, failures %s%s%s\n", w.id.c_str(),
                static_cast<long long>(w.started_ms), Text(w.what.slowness).c_str(),
                Text(w.what.failures).c_str(), w.what.silent ? ", silent" : "",
                w.what.died_at != 0 ? ", its process died" : "");
}

int Show(const Options& o, const dispatch::Site* site, double later) {
  for (const std::string& path : o.files) {
    const Decoded d = Read(path, o.key);
    if (!d.memory) throw dispatch::Malformed(path + ": " + d.wrong);
    Memory m = *d.memory;
    if (site != nullptr)
      m = knowledge::Aged(m, *site, {static_cast<knowledge::Micros>(later * kSecondsOf), false});
    o.json ? PrintJson(path, m, d.generation) : Print(path, m, d.generation);
  }
  return kGood;
}

int Verify(const Options& o) {
  bool sound = true;
  for (const std::string& path : o.files) {
    const Decoded d = Read(path, o.key);
    sound = sound && d.memory.has_value();
    if (o.json) {
      rapidjson::StringBuffer buffer;
      Json json(buffer);
      json.StartObject();
      json.Key("file");
      json.String(path.c_str());
      json.Key("sound");
      json.Bool(d.memory.has_value());
      json.Key("wrong");
      json.String(d.wrong.c_str());
      json.EndObject();
      std::puts(buffer.GetString());
    } else {
      std::printf("%s: %s\n", path.c_str(), d.memory ? "sound" : d.wrong.c_str());
    }
  }
  return sound ? kGood : kNo;
}

}  // namespace

int KnowledgeTools(int argc, char** argv) {
  cxxopts::Options options(
      "pearreach knowledge",
      "What nodes have learned and keep in a folder (NODE.0.know and NODE.1.know):\n"
      "  show FILE..., verify FILE..., age FILE... --by SECONDS --config FILE, drop FOLDER --node "
      "N.\n"
      "Exit code 1: a file is not sound.");
  options.add_options()("words", "", cxxopts::value<std::vector<std::string>>())(
      "key-file", "the key that they are signed with",
      cxxopts::value<std::string>()->default_value(""),
      "FILE")("by", "age: what would be left of it so much later",
              cxxopts::value<double>()->default_value("60"), "SECONDS")(
      "config", "age: the node's configuration", cxxopts::value<std::string>()->default_value(""),
      "FILE")("node", "drop: of this node", cxxopts::value<std::string>()->default_value(""),
              "NAME")("json", "print JSON, an object a file");
  options.parse_positional({"words"});
  options.positional_help("WHAT FILE...");
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  Options o;
  o.json = args.count("json") > 0;
  if (args.count("words") > 0) o.files = args["words"].as<std::vector<std::string>>();
  const std::string what = o.files.empty() ? "" : o.files[0];
  if (what != "show" && what != "verify" && what != "age" && what != "drop")
    throw dispatch::Malformed("knowledge wants show, verify, age or drop");
  o.files.erase(o.files.begin());
  if (o.files.empty()) throw dispatch::Malformed("knowledge " + what + " wants a path");
  if (const std::string key = args["key-file"].as<std::string>(); !key.empty())
    o.key = knowledge::ReadKeyFile(key);
  if (what == "show") return Show(o, nullptr, 0);
  if (what == "verify") return Verify(o);
  if (what == "age") {
    const double by = args["by"].as<double>();
    if (!(by >= 0 && by <= 1e9)) throw dispatch::Malformed("--by is out of range");
    const Config config = LoadConfig(args["config"].as<std::string>());
    return Show(o, &config.site, by);
  }
  const std::string node = args["node"].as<std::string>();
  if (node.empty() || o.files.size() != 1)
    throw dispatch::Malformed("knowledge drop wants one folder and --node NAME");
  if (const std::string wrong = knowledge::Folder(o.files[0], node, {}).Drop(); !wrong.empty())
    throw dispatch::Malformed(wrong);
  std::printf("%s: nothing of %s is kept\n", o.files[0].c_str(), node.c_str());
  return kGood;
}

}  // namespace pearreach::cli
