#include "node/config/config.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "common/event_loop/io.h"

namespace pearreach {
namespace {

using dispatch::Conf;
using dispatch::Malformed;
using rapidjson::Value;

// Iterative: a deeply nested text must not exhaust the stack.
constexpr unsigned kFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;

std::string_view TextOf(const Value& v) { return {v.GetString(), v.GetStringLength()}; }

const Value* Member(const Value& object, const char* name) {
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

std::string String(const Value& object, const char* name) {
  const Value* v = Member(object, name);
  return v != nullptr && v->IsString() ? std::string(TextOf(*v)) : std::string();
}

double Real(const Value& object, const char* name, double fallback) {
  const Value* v = Member(object, name);
  return v != nullptr && v->IsNumber() ? v->GetDouble() : fallback;
}

// The wire's paths: PATH.count and PATH.0 for lists of objects, commas for lists of plain values,
// and '_' for a space or comma inside a value.
std::string Plain(const Value& v) {
  if (v.IsBool()) return v.GetBool() ? "true" : "false";
  std::string text(TextOf(v));  // numbers are kept as they were written
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return text;
}

void Flatten(const Value& v, const std::string& path, int depth, Conf::Values* out) {
  if (depth > 8) throw Malformed("settings: " + path + " is nested too deep");
  const std::string prefix = path.empty() ? "" : path + ".";
  if (v.IsObject()) {
    for (const auto& m : v.GetObject())
      Flatten(m.value, prefix + std::string(TextOf(m.name)), depth + 1, out);
  } else if (v.IsArray()) {
    const bool objects = !v.Empty() && v[0].IsObject();
    if (objects) (*out)[prefix + "count"] = std::to_string(v.Size());
    std::string joined;
    for (rapidjson::SizeType i = 0; i < v.Size(); ++i) {
      if (objects != v[i].IsObject() || v[i].IsArray())
        throw Malformed("settings: " + path + " mixes values of several forms");
      if (objects)
        Flatten(v[i], prefix + std::to_string(i), depth + 1, out);
      else
        joined += (i > 0 ? "," : "") + Plain(v[i]);
    }
    if (!objects) (*out)[path] = joined;
  } else if (!v.IsNull()) {
    (*out)[path] = Plain(v);
  }
}

std::optional<Listing> ListingOf(const Value& v) {
  const Value *version = nullptr, *servers = nullptr;
  if (v.IsObject()) {
    version = Member(v, "version");
    servers = Member(v, "servers");
  }
  if (version == nullptr || !version->IsUint64() || servers == nullptr || !servers->IsArray())
    return std::nullopt;
  Listing list;
  list.version = version->GetUint64();
  const Value* full = Member(v, "full");
  list.full = full != nullptr && full->IsBool() && full->GetBool();
  for (const Value& s : servers->GetArray()) {
    ServerEntry e;
    std::string state;
    if (s.IsObject()) {
      e.id = String(s, "id");
      e.address = String(s, "addr");
      e.zone = String(s, "zone");
      e.kind = String(s, "kind");
      e.cell = static_cast<int>(std::clamp(Real(s, "cell", 0), 0.0, 1e9));
      e.weight = Real(s, "weight", 1);
      e.started_ms = static_cast<std::int64_t>(std::clamp(Real(s, "started_ms", 0), 0.0, 9e15));
      state = String(s, "state");
    }
    if (state == "draining")
      e.health = dispatch::Health::kDraining;
    else if (state == "removed")
      e.health = dispatch::Health::kGone;
    else if (state != "up")
      e.id.clear();
    if (e.id.empty() || (e.address.empty() && e.health != dispatch::Health::kGone)) {
      CountFault("bad_list_entry", "'" + e.id + "' in state '" + state + "' is left out");
      continue;
    }
    list.servers.push_back(std::move(e));
  }
  return list;
}

dispatch::LoadReport TakeLoad(const Value& load, const dispatch::Site& site) {
  dispatch::LoadReport report;
  if (!load.IsObject()) return report;
  for (const auto& m : load.GetObject())
    if (m.value.IsNumber())
      dispatch::ReadLoadValue(site, TextOf(m.name), std::to_string(m.value.GetDouble()), &report);
  return report;
}

void CheckAddress(const std::string& what, const std::string& address) {
  GSocketAddress* parsed = ParseAddress(address);
  if (parsed == nullptr) throw Malformed(what + ": '" + address + "' is no ip:port");
  g_object_unref(parsed);
}

}  // namespace

std::optional<Listing> ReadListing(std::string_view json) {
  rapidjson::Document d;
  d.Parse<kFlags>(json.data(), json.size());
  return d.HasParseError() ? std::nullopt : ListingOf(d);
}

static constexpr std::pair<std::string_view, News::State> kStates[] = {
    {"started", News::State::kStarted},   {"running", News::State::kRunning},
    {"done", News::State::kDone},         {"failed", News::State::kFailed},
    {"returned", News::State::kReturned}, {"lost", News::State::kLost}};

std::string WriteNews(const News& news) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  const auto put = [&](const char* key, std::string_view value) {
    writer.Key(key);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartObject();
  put("id", news.job);
  put("from", news.from);
  put("state", std::find_if(std::begin(kStates), std::end(kStates), [&](const auto& s) {
                 return s.second == news.state;
               })->first);
  put("result", news.result);
  writer.Key("share");
  writer.Double(news.share);
  writer.Key("fence");
  writer.Double(static_cast<double>(news.fence));
  writer.EndObject();
  return {text.GetString(), text.GetSize()};
}

std::optional<News> ReadNews(std::string_view json, const dispatch::Site& site) {
  rapidjson::Document d;
  d.Parse<kFlags>(json.data(), json.size());
  if (d.HasParseError() || !d.IsObject()) return std::nullopt;
  News news;
  news.job = String(d, "id");
  news.from = String(d, "from");
  const std::string state = String(d, "state");
  const auto* known = std::find_if(std::begin(kStates), std::end(kStates),
                                   [&](const auto& s) { return s.first == state; });
  if (news.job.empty() || news.from.empty() || known == std::end(kStates)) return std::nullopt;
  news.state = known->second;
  news.share = Real(d, "share", 0);
  news.fence = static_cast<std::uint64_t>(std::clamp(Real(d, "fence", 0), 0.0, 9e15));
  if (const Value* result = Member(d, "result")) {
    if (result->IsString()) {
      news.result = TextOf(*result);
    } else {
      rapidjson::StringBuffer text;
      rapidjson::Writer<rapidjson::StringBuffer> writer(text);
      result->Accept(writer);
      news.result.assign(text.GetString(), text.GetSize());
    }
  }
  if (const Value* load = Member(d, "load")) news.load = TakeLoad(*load, site);
  return news;
}

dispatch::LoadReport ReadLoadHeader(std::string_view text, const dispatch::Site& site) {
  dispatch::LoadReport report;
  if (!text.starts_with("TEXT ")) return report;
  for (std::string_view pair : dispatch::Split(text.substr(5), ',')) {
    while (pair.starts_with(' ')) pair.remove_prefix(1);
    const std::size_t eq = pair.find('=');
    if (eq == std::string_view::npos) continue;
    try {
      dispatch::ReadLoadValue(site, pair.substr(0, eq), pair.substr(eq + 1), &report);
    } catch (const Malformed& wrong) {
      CountFault("bad_load_report", wrong.what());
    }
  }
  return report;
}

Config ReadConfig(std::string_view json) {
  rapidjson::Document d;
  // Numbers stay text, so that the shared reader sees what the wire would have carried.
  d.Parse<kFlags | rapidjson::kParseNumbersAsStringsFlag>(json.data(), json.size());
  if (d.HasParseError())
    throw Malformed("not JSON at byte " + std::to_string(d.GetErrorOffset()) + ": " +
                    rapidjson::GetParseError_En(d.GetParseError()));
  if (!d.IsObject()) throw Malformed("the configuration is no object");
  Config c;
  if (const std::string name = String(d, "name"); !name.empty()) c.name = name;
  c.listen = String(d, "listen");
  c.discovery = c.named_discovery = String(d, "discovery");
  c.operator_listen = String(d, "operator");
  c.peer_listen = String(d, "peer_listen");
  c.peers_all = String(d, "peers_all");
  if (const Value* peers = Member(d, "peers")) {
    if (!peers->IsArray()) throw Malformed("peers: not a list of addresses");
    for (const Value& p : peers->GetArray()) {
      if (!p.IsString()) throw Malformed("peers: not a list of addresses");
      c.peers.emplace_back(TextOf(p));
    }
  }
  if (const std::string seed = String(d, "seed"); !seed.empty())
    c.seed = dispatch::ParseNumber<std::uint64_t>(seed, "seed", 16);
  if (const Value* limits = Member(d, "limits"); limits != nullptr && limits->IsObject()) {
    if (const std::string sockets = String(*limits, "sockets"); !sockets.empty())
      c.sockets = static_cast<int>(dispatch::ParseNumber<double>(sockets, "limits.sockets"));
    if (const std::string memory = String(*limits, "memory_mb"); !memory.empty())
      c.memory_mb = static_cast<int>(dispatch::ParseNumber<double>(memory, "limits.memory_mb"));
  }
  if (c.sockets < 64) throw Malformed("limits.sockets: a node needs 64 descriptors at least");
  const Value* settings = Member(d, "settings");
  if (settings == nullptr || !settings->IsObject()) throw Malformed("no settings");
  Conf::Values values;
  Flatten(*settings, "", 0, &values);
  c.settings = values;
  c.site = dispatch::ReadSite(Conf(std::move(values)));
  // The list is read a second time for its numbers.
  rapidjson::Document again;
  again.Parse<kFlags>(json.data(), json.size());
  if (const Value* known = Member(again, "known")) {
    c.known = ListingOf(*known);
    if (!c.known) throw Malformed("known: not a list of servers");
    c.known->full = true;
  }
  return c;
}

Config LoadConfig(const std::string& path) {
  const auto env = [](const char* name) {
    const char* value = std::getenv(name);
    return std::string(value == nullptr ? "" : value);
  };
  const std::string file = path.empty() ? env("EDGE_CONFIG") : path;
  if (file.empty()) throw Malformed("no configuration: set EDGE_CONFIG or give --config FILE");
  std::ifstream in(file, std::ios::binary);
  if (!in) throw Malformed(file + ": cannot be read");
  const std::string json{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  try {
    Config c = ReadConfig(json);
    if (const std::string name = env("EDGE_NAME"); !name.empty()) c.name = name;
    if (const std::string listen = env("EDGE_LISTEN"); !listen.empty()) c.listen = listen;
    if (const std::string at = env("EDGE_DISCOVERY"); !at.empty()) c.discovery = at;
    if (const std::string door = env("EDGE_OPERATOR"); !door.empty()) c.operator_listen = door;
    CheckAddress("listen", c.listen);
    CheckAddress("discovery", c.discovery);
    if (!c.operator_listen.empty()) CheckAddress("operator", c.operator_listen);
    if (!c.peer_listen.empty()) CheckAddress("peer_listen", c.peer_listen);
    if (!c.peers_all.empty()) CheckAddress("peers_all", c.peers_all);
    for (const std::string& peer : c.peers) CheckAddress("peers", peer);
    return c;
  } catch (const Malformed& wrong) {
    throw Malformed(file + ": " + wrong.what());
  }
}

bool ReloadConfig(const std::string& path, Config* config) {
  Config next = LoadConfig(path);
  const auto waits = [](bool changed, const char* what) {
    if (changed)
      Log("configuration_waits", {{"setting", what}},
          std::string("configuration: a new ") + what + " waits for a restart");
  };
  waits(next.name != config->name, "name");
  waits(next.listen != config->listen, "listen");
  waits(next.sockets != config->sockets, "limits.sockets");
  waits(next.memory_mb != config->memory_mb, "limits.memory_mb");
  waits(next.peers != config->peers || next.peer_listen != config->peer_listen ||
            next.peers_all != config->peers_all,
        "peers");
  waits(next.settings != config->settings, "settings");
  // Guards a node whose address came from EDGE_DISCOVERY: the variable is of the start and still
  // names the old place. The file counts from when it names another one than it did.
  if (next.named_discovery == config->named_discovery) return false;
  GSocketAddress* parsed = ParseAddress(next.named_discovery);
  if (parsed == nullptr) throw Malformed("discovery: '" + next.named_discovery + "' is no ip:port");
  g_object_unref(parsed);
  config->named_discovery = next.named_discovery;
  const bool moved = config->discovery != next.named_discovery;
  config->discovery = next.named_discovery;
  return moved;
}

std::string PeersWrong(const Config& config) {
  if (config.peer_listen.empty()) return "peers: the configuration has no peer_listen";
  const int self = config.site.settings.self;
  if (config.peers.size() < 2 || self < 0 || static_cast<std::size_t>(self) >= config.peers.size())
    return "peers: the configuration names " + std::to_string(config.peers.size()) +
           " nodes, and this one is number " + std::to_string(self);
  const auto allowed = config.settings.find("Limits.PeerMessages");
  if (allowed != config.settings.end() && allowed->second == "false")
    return "peers: the settings do not allow words between nodes";
  return "";
}

}  // namespace pearreach
