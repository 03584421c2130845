#include "node/config/operator.h"

#include <algorithm>
#include <cstdlib>
#include <set>

#include "dispatch/settings/settings_reader.h"
#include "node/config/operator_schema.h"
#include "node/config/xml.h"

namespace pearreach {
namespace {

using xml::Fail;
using xml::Text;

// A path as the file has it, with each ${NAME} replaced by that environment variable, as HAProxy's
// configuration does: the platform's $TMPDIR is known only at the start. An unset or empty one,
// or a "${" without its end, is the file's fault.
std::string Path(const xmlNode* node, const char* attribute, const std::string& name) {
  const std::string text = Text(node, attribute);
  std::string path;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t open = text.find("${", at);
    if (open == std::string::npos) {
      path += text.substr(at);
      break;
    }
    const std::size_t close = text.find('}', open);
    if (close == std::string::npos)
      Fail(name, xml::Line(node), std::string(attribute) + ": '" + text + "' has no '}'");
    const std::string variable = text.substr(open + 2, close - open - 2);
    const char* value = std::getenv(variable.c_str());
    if (value == nullptr || *value == '\0')
      Fail(name, xml::Line(node), std::string(attribute) + ": ${" + variable + "} is not set");
    path += text.substr(at, open - at) + value;
    at = close + 1;
  }
  return path;
}

// The schema has seen to it that a number is there, or nothing, and within its bounds.
template <typename T>
void Take(const xmlNode* node, const char* attribute, std::int64_t unit, T* to) {
  const std::string text = Text(node, attribute);
  if (!text.empty())
    *to = static_cast<T>(dispatch::ParseNumber<std::int64_t>(text, attribute) * unit);
}

CaptureSettings ReadCapture(const xmlNode* node, const std::string& name) {
  CaptureSettings c;
  const int line = xml::Line(node);
  c.folder = Path(node, "folder", name);
  Take(node, "memory-kib", 1 << 10, &c.memory);
  Take(node, "segment-kib", 1 << 10, &c.segment_bytes);
  Take(node, "segment-seconds", kSecond, &c.segment_age);
  Take(node, "total-kib", 1 << 10, &c.total_bytes);
  Take(node, "flush-ms", kMs, &c.flush_every);
  if (c.folder.front() != '/')
    Fail(name, line, "capture: folder '" + c.folder + "' is not absolute");
  if (c.total_bytes < 2 * c.segment_bytes)
    Fail(name, line, "capture: total-kib holds less than two segments");
  return c;
}

JobsSettings ReadJobs(const xmlNode* node, const std::string& name) {
  JobsSettings j;
  j.store = Path(node, "store", name);
  Take(node, "lease-ms", kMs, &j.lease);
  Take(node, "keep-seconds", kSecond, &j.keep);
  Take(node, "recovered-at-once", 1, &j.recovered_at_once);
  Take(node, "in-hand", 1, &j.in_hand);
  Take(node, "in-hand-kib", 1024, &j.in_hand_bytes);
  const std::string prefixes = Text(node, "callback-prefixes");  // outlives the views of it
  for (const dispatch::Text prefix : dispatch::Split(prefixes, ' '))
    if (!prefix.empty()) j.callback_prefixes.emplace_back(prefix);
  if (j.store.front() != '/')
    Fail(name, xml::Line(node), "jobs: store '" + j.store + "' is not absolute");
  return j;
}

KnowledgeSettings ReadKnowledge(const xmlNode* node, const std::string& name) {
  KnowledgeSettings k;
  k.folder = Path(node, "folder", name);
  k.key_file = Path(node, "key-file", name);
  Take(node, "every-ms", kMs, &k.every);
  for (const std::string* path : {&k.folder, &k.key_file})
    if (!path->empty() && path->front() != '/')
      Fail(name, xml::Line(node), "knowledge: '" + *path + "' is not absolute");
  return k;
}

PeerSettings ReadPeers(const xmlNode* node) {
  PeerSettings p;
  Take(node, "period-ms", kMs, &p.period);
  Take(node, "bytes-per-second", 1, &p.bytes_per_second);
  Take(node, "lines-per-minute", 1, &p.lines_per_minute);
  Take(node, "view-ms", kMs, &p.view_every);
  return p;
}

SharedSettings ReadShared(const xmlNode* node, const std::string& name) {
  SharedSettings s;
  Take(node, "every-ms", kMs, &s.every);
  Take(node, "lease-ms", kMs, &s.lease);
  Take(node, "window-ms", kMs, &s.window);
  Take(node, "skew-ms", kMs, &s.skew);
  std::int64_t percent = 50;
  Take(node, "floor-percent", 1, &percent);
  s.floor = static_cast<double>(percent) / 100;
  Take(node, "repeats-per-second", 1, &s.repeats);
  s.counts = Text(node, "counts") != "off";
  s.judgements = Text(node, "judgements") != "off";
  if (s.lease < 4 * s.skew)
    Fail(name, xml::Line(node), "shared: lease-ms is less than four times skew-ms");
  if (s.lease < 2 * s.every)
    Fail(name, xml::Line(node), "shared: lease-ms is less than twice every-ms");
  return s;
}

ZoneSettings ReadZones(const xmlNode* node, const std::string& name) {
  ZoneSettings z;
  z.orders = Path(node, "orders", name);
  if (!z.orders.empty() && z.orders.front() != '/')
    Fail(name, xml::Line(node), "zones: orders '" + z.orders + "' is not absolute");
  Take(node, "every-ms", kMs, &z.every);
  Take(node, "trial-wait-ms", kMs, &z.trial_wait);
  Take(node, "hold-ms", kMs, &z.hold);
  std::int64_t percent = 40;
  Take(node, "least-left-percent", 1, &percent);
  z.least_left = static_cast<double>(percent) / 100;
  std::set<std::string> names, grouped;
  xml::Each(node, [&](const std::string&, const xmlNode* n) {
    ZoneSettings::Region r;
    r.name = Text(n, "name");
    r.line = xml::Line(n);
    if (!names.insert(r.name).second) Fail(name, r.line, "region " + r.name + " is there twice");
    const std::string zones = Text(n, "zones");  // outlives the views of it
    for (const dispatch::Text zone : dispatch::Split(zones, ' ')) {
      if (zone.empty()) continue;
      if (!grouped.insert(std::string(zone)).second)
        Fail(name, r.line, "zone " + std::string(zone) + " is in two regions, or twice in one");
      r.zones.emplace_back(zone);
    }
    if (r.zones.size() < 2)
      Fail(name, r.line, "region " + r.name + " has no two zones: a zone is one by itself");
    z.regions.push_back(std::move(r));
  });
  return z;
}

RuleSettings ReadRules(const xmlNode* node, const std::string& name) {
  RuleSettings r;
  r.line = xml::Line(node);
  r.keep = Path(node, "keep", name);
  if (!r.keep.empty() && r.keep.front() != '/')
    Fail(name, r.line, "rules: keep '" + r.keep + "' is not absolute");
  Take(node, "within-ms", kMs, &r.within);
  Take(node, "every-ms", kMs, &r.every);
  Take(node, "ready-ms", kMs, &r.ready);
  const std::string voters = Text(node, "voters");  // outlives the views of it
  for (const dispatch::Text voter : dispatch::Split(voters, ' ')) {
    if (voter.empty()) continue;
    r.voters.push_back(dispatch::ParseNumber<int>(voter, "voters"));
  }
  std::sort(r.voters.begin(), r.voters.end());
  if (std::adjacent_find(r.voters.begin(), r.voters.end()) != r.voters.end())
    Fail(name, r.line, "rules: a voter is there twice");
  return r;
}

}  // namespace

OperatorSettings ReadOperatorFile(std::string_view text, const std::string& name) {
  const xml::Document document = xml::Read(text, name, kOperatorSchema);
  OperatorSettings settings;
  xml::Each(xml::Root(document), [&](const std::string& element, const xmlNode* n) {
    if (element == "log")
      settings.log_format = Text(n, "format") == "json" ? LogFormat::kJson : LogFormat::kText;
    if (element == "capture") settings.capture = ReadCapture(n, name);
    if (element == "jobs") settings.jobs = ReadJobs(n, name);
    if (element == "knowledge") settings.knowledge = ReadKnowledge(n, name);
    if (element == "peers") settings.peers = ReadPeers(n);
    if (element == "shared") settings.shared = ReadShared(n, name);
    if (element == "zones") settings.zones = ReadZones(n, name);
    if (element == "rules") settings.rules = ReadRules(n, name);
    if (element == "bans") {
      settings.bans = BanSettings{Path(n, "file", name)};
      if (settings.bans->file.front() != '/')
        Fail(name, xml::Line(n), "bans: file '" + settings.bans->file + "' is not absolute");
    }
    if (element == "handover") {
      settings.handover = HandOverSettings{Path(n, "path", name)};
      if (settings.handover->path.front() != '/')
        Fail(name, xml::Line(n),
             "handover: path '" + settings.handover->path + "' is not absolute");
    }
  });
  if (settings.shared && !settings.peers)
    Fail(name, xml::Line(xml::Root(document)), "shared needs peers: there is no way to others");
  if (settings.rules && !settings.peers)
    Fail(name, settings.rules->line, "rules needs peers: there is no way to others");
  if (settings.zones && (!settings.shared || !settings.shared->judgements))
    Fail(name, xml::Line(xml::Root(document)),
         "zones needs shared with judgements: they are what a zone is seen by");
  // Two processes would need the one store at the same time.
  if (settings.handover && settings.jobs)
    Fail(name, xml::Line(xml::Root(document)), "handover and jobs exclude each other");
  return settings;
}

OperatorSettings LoadOperatorFile(const std::string& path) {
  return ReadOperatorFile(xml::LoadText(path), path);
}

}  // namespace pearreach
