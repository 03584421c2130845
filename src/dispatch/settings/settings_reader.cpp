#include "dispatch/settings/settings_reader.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pearreach::dispatch {

std::string Quote(Text t) { return std::string(1, '\'').append(t).append(1, '\''); }

Micros ParseMillis(Text text, Text what) {
  const double ms = ParseNumber<double>(text, what);
  if (std::abs(ms) > 9e12)
    throw Malformed("bad " + std::string(what) + " " + Quote(text) + ": expected at most 9e12 ms");
  return std::llround(ms * 1000);
}

bool ParseBool(Text text, Text what) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  throw Malformed("bad " + std::string(what) + " " + Quote(text) +
                  ": expected 0, 1, false or true");
}

std::vector<Text> Split(Text text, char separator) {
  std::vector<Text> parts;
  if (text.empty()) return parts;
  for (;;) {
    const std::size_t end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == Text::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

int IndexOf(const Names& names, Text name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

std::uint64_t HashName(Text name) {  // FNV-1a
  std::uint64_t h = 0xcbf29ce484222325u;
  for (const unsigned char c : name) h = (h ^ c) * 0x100000001b3u;
  return h;
}

Text Conf::Get(const std::string& path) const {
  const auto it = values_.find(path);
  return it == values_.end() ? Text() : it->second;
}

Micros Conf::Ms(const std::string& path, Micros fallback) const {
  const Text text = Get(path);
  return text.empty() ? fallback : ParseMillis(text, path);
}

bool Conf::Flag(const std::string& path) const {
  const Text text = Get(path);
  return !text.empty() && ParseBool(text, path);
}

Names Conf::List(const std::string& path) const {
  Names names;
  for (const Text t : Split(Get(path), ',')) names.emplace_back(t);
  return names;
}

int Conf::Count(const std::string& path) const {
  const int n = Num<int>(path + ".count", 0);
  if (n < 0 || n > 10000)
    throw Malformed("bad " + path + ".count " + std::to_string(n) + ": expected 0 to 10000");
  return n;
}

Conf ReadPairs(Text text) {
  Conf::Values values;
  for (const Text pair : Split(text, ' ')) {
    const std::size_t eq = pair.find('=');
    if (eq == Text::npos || eq == 0)
      throw Malformed("bad setting " + Quote(pair) + ": expected path=value");
    values[std::string(pair.substr(0, eq))] = pair.substr(eq + 1);
  }
  return Conf(std::move(values));
}

namespace {

ClassSettings ReadClass(const Conf& conf, int i) {
  const std::string path = "RequestClasses." + std::to_string(i) + ".";
  ClassSettings c;
  const Text effect = conf.Get(path + "Effect");
  if (effect == "repeatable")
    c.effect = Effect::kRepeatable;
  else if (effect == "by_key")
    c.effect = Effect::kByKey;
  else if (effect != "once")
    throw Malformed("bad " + path + "Effect " + Quote(effect) +
                    ": expected repeatable, by_key or once");
  const Text scope = conf.Get(path + "KeyScope");
  if (scope == "zone")
    c.key_scope = KeyScope::kZone;
  else if (scope == "cell")
    c.key_scope = KeyScope::kCell;
  else if (!scope.empty() && scope != "all")
    throw Malformed("bad " + path + "KeyScope " + Quote(scope) + ": expected all, zone or cell");
  c.key_window = conf.Ms(path + "WindowMs");
  c.latency_target = conf.Ms(path + "AimMs");
  c.deadline = conf.Ms(path + "DeadlineMs");
  c.value = conf.Num<double>(path + "Credit", 1);
  c.late_value = conf.Num<double>(path + "LateValue", 0);
  const Names stretch = conf.List("FamilyInfo.ClassStretch");
  const Names kind = conf.List("FamilyInfo.ClassKind");
  const auto at = static_cast<std::size_t>(i);
  if (at < stretch.size())
    c.latency_target_stretch = ParseNumber<double>(stretch[at], "FamilyInfo.ClassStretch");
  if (at < kind.size()) c.kind = ParseNumber<int>(kind[at], "FamilyInfo.ClassKind");
  c.latency_target_stretch = conf.Num<double>(path + "AimStretch", c.latency_target_stretch);
  return c;
}

}  // namespace

Site ReadSite(const Conf& conf) {
  Site site;
  Settings& s = site.settings;
  site.zones = conf.List("Zones");
  site.kinds = conf.List("Models");
  s.balancers = conf.Num<int>("Balancers", 1);
  s.self = conf.Num<int>("Ordinal", 0);
  s.zone = IndexOf(site.zones, conf.Get("Locality"));
  s.kinds = static_cast<int>(site.kinds.size());
  s.min_handle_interval = conf.Ms("RoundMs");
  const int classes = conf.Count("RequestClasses");
  for (int i = 0; i < classes; ++i) {
    site.classes.emplace_back(conf.Get("RequestClasses." + std::to_string(i) + ".Name"));
    s.classes.push_back(ReadClass(conf, i));
  }
  const int tenants = conf.Count("Accounts");
  for (int i = 0; i < tenants; ++i) {
    const std::string path = "Accounts." + std::to_string(i) + ".";
    site.tenants.emplace_back(conf.Get(path + "Name"));
    s.tenants.push_back({conf.Num<double>(path + "QuotaRps", 0)});
  }
  s.over_quota_value = conf.Num<double>("OverShareWorth", 1);
  s.value_by_work = conf.Get("WorthBy") == "work";
  s.objective_total = conf.Num<double>("ObjectiveMix.Whole", 1);
  s.objective_worst_class = conf.Num<double>("ObjectiveMix.WorstClass", 0);
  const Text weights = conf.Get("WeightSource");
  s.weighted_workers = weights == "nominal" || weights == "rough" || weights == "live";
  s.reports_start = conf.Flag("FamilyInfo.TellsStart");
  s.progress_interval = conf.Ms("FamilyInfo.ProgressMs");
  s.must_subscribe = conf.Get("MembershipMode") == "subscribe";
  s.may_cancel = conf.Flag("Limits.Cancel");
  s.may_probe = conf.Flag("Limits.MayProbe");
  s.may_duplicate = conf.Flag("Limits.MayDuplicate");
  s.retry_after = conf.Flag("Limits.RetryAfter");
  s.max_retry_after = conf.Ms("Limits.MaxRetryAfterMs");
  s.max_attempts = conf.Num<int>("Limits.TryLimit", 1);
  s.connect_timeout = conf.Ms("Limits.ConnectTimeoutMs");
  s.cross_zone_price = conf.Num<double>("Prices.CrossZone", 0);
  s.connect_price = conf.Num<double>("Prices.Handshake", 0);
  s.connection_idle = conf.Ms("Limits.ConnIdleMs");
  s.stop_sending_within = conf.Ms("Contract.StopSendingWithinMs");
  s.cold_share = conf.Num<double>("Contract.ColdShare", 1);
  s.cold_time = conf.Ms("Contract.ColdMs");
  s.overload_multiple = conf.Num<double>("Contract.FallMultiple", 1);
  s.overload_time = conf.Ms("Contract.FallMs");
  site.x0_is_free_slots = conf.Get("FamilyInfo.ReportX0") == "free_slots";
  if (const std::string error = ValidateSettings(s); !error.empty()) throw Malformed(error);
  return site;
}

std::string FormatLogLine(const LogLine& line, const Site& site, const Names& workers) {
  switch (line.kind) {
    case LogLine::Kind::kWorkerSilent:
      return "worker silent: " + workers.at(line.worker);
    case LogLine::Kind::kWorkerRecovered:
      return "worker back: " + workers.at(line.worker);
    case LogLine::Kind::kLimitCut:
      return "limit cut: pool " + site.kinds.at(static_cast<std::size_t>(line.pool)) + " to " +
             std::to_string(std::lround(line.value)) + " slots";
    case LogLine::Kind::kShedding:
      return "shedding: " + std::to_string(std::lround(line.value)) + " requests refused";
    case LogLine::Kind::kListFailed:
      return "worker list: call failed";
  }
  return "";
}

void ReadLoadValue(const Site& site, Text name, Text value, LoadReport* load) {
  if (name == "x0" && site.x0_is_free_slots) load->free_slots = ParseNumber<double>(value, "x0");
  if (name == "rif") load->in_flight = ParseNumber<double>(value, "rif");
}

}  // namespace pearreach::dispatch
