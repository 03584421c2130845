#include "lab/experiment/results.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

#include "dispatch/settings/settings_reader.h"

namespace pearreach::lab {
namespace {

using Json = rapidjson::Writer<rapidjson::StringBuffer>;

void Put(Json& json, const char* key, const std::string& value) {
  json.Key(key);
  json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
void Put(Json& json, const char* key, double value) {
  json.Key(key);
  json.Double(value);
}
void Put(Json& json, const char* key, std::uint64_t value) {
  json.Key(key);
  json.Uint64(value);
}

void Write(Json& json, const Tally& t) {
  json.StartObject();
  Put(json, "service", t.service());
  Put(json, "jobs", t.jobs);
  Put(json, "in_aim", t.in_aim);
  Put(json, "late", t.late);
  Put(json, "refused", t.refused);
  Put(json, "failed", t.failed);
  Put(json, "tries", t.tries);
  Put(json, "attempts", t.attempts);
  json.EndObject();
}

}  // namespace

std::string ToJson(const Figures& f) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.SetMaxDecimalPlaces(6);
  json.StartObject();
  Put(json, "scenario", f.scenario);
  Put(json, "policy", f.policy);
  Put(json, "seed", f.seed);
  Put(json, "length_s", static_cast<double>(f.length) / 1e6);
  Put(json, "sample_s", static_cast<double>(f.sample_every) / 1e6);
  json.Key("all");
  Write(json, f.all);
  json.Key("figures");
  json.StartObject();
  for (const auto& [name, value] : Compared(f)) Put(json, name.c_str(), value);
  json.EndObject();
  const auto named = [&](const char* key, const std::vector<std::string>& names,
                         const std::vector<Tally>& tallies) {
    json.Key(key);
    json.StartArray();
    for (std::size_t i = 0; i < names.size(); ++i) {
      json.StartObject();
      Put(json, "name", names[i]);
      json.Key("tally");
      Write(json, tallies[i]);
      json.EndObject();
    }
    json.EndArray();
  };
  named("classes", f.class_names, f.classes);
  named("accounts", f.tenant_names, f.tenants);
  json.Key("times");  // by class: milliseconds, the part of all within them
  json.StartArray();
  for (const TimeHistogram& t : f.times) {
    json.StartArray();
    double last = -1;
    for (const auto& [us, part] : t.Curve()) {
      if (part - last < 0.002 && part < 0.999) continue;  // enough for a plot
      last = part;
      json.StartArray();
      json.Double(us / 1000);
      json.Double(part);
      json.EndArray();
    }
    json.EndArray();
  }
  json.EndArray();
  json.Key("seconds");  // asked, good, refusals, attempts, falls, and by class asked and good
  json.StartArray();
  for (const Second& s : f.seconds) {
    json.StartArray();
    for (const double v : {s.asked, s.good, static_cast<double>(s.refusals),
                           static_cast<double>(s.attempts), static_cast<double>(s.falls)})
      json.Double(v);
    for (const auto& [asked, good] : s.by_class) {
      json.Double(asked);
      json.Double(good);
    }
    json.EndArray();
  }
  json.EndArray();
  json.Key("nodes");  // of a few: limit, busy, open
  json.StartArray();
  for (const auto& samples : f.nodes) {
    json.StartArray();
    for (const NodeSample& s : samples) {
      json.StartArray();
      for (const float v : {s.limit, s.busy, s.open}) json.Double(static_cast<double>(v));
      json.EndArray();
    }
    json.EndArray();
  }
  json.EndArray();
  json.Key("workers");  // of a few: percent busy, or 200 cold + it, 400 away, 600 draining + it
  json.StartArray();
  for (const auto& samples : f.workers) {
    json.StartArray();
    for (const WorkerSample& s : samples) json.Int(200 * s.state + s.busy);
    json.EndArray();
  }
  json.EndArray();
  json.EndObject();
  return buffer.GetString();
}

std::vector<std::pair<std::string, double>> Compared(const Figures& f) {
  const double jobs = static_cast<double>(std::max<std::uint64_t>(1, f.all.jobs));
  TimeHistogram times;
  for (const TimeHistogram& t : f.times) times.Merge(t);
  double worst = 1, window = 1;
  for (const Tally& c : f.classes) worst = std::min(worst, c.service());
  for (const Tally& t : f.tenants) worst = std::min(worst, t.service());
  for (std::size_t i = 0; i + 10 <= f.seconds.size(); ++i) {
    double asked = 0, good = 0;
    for (std::size_t j = i; j < i + 10; ++j) {
      asked += f.seconds[j].asked;
      good += f.seconds[j].good;
    }
    if (asked > 0) window = std::min(window, good / asked);
  }
  return {{"service", f.all.service()},
          {"worst_group", worst},
          {"worst_10s", window},
          {"refused", static_cast<double>(f.all.refused) / jobs},
          {"failed", static_cast<double>(f.all.failed) / jobs},
          {"p50_ms", times.Quantile(0.5) / 1000},
          {"p99_ms", times.Quantile(0.99) / 1000},
          {"attempts", static_cast<double>(f.all.attempts) / jobs},
          {"tries", static_cast<double>(f.all.tries) / jobs},
          {"busy", f.busy_share},
          {"uneven_workers", f.imbalance},
          {"uneven_limits", f.limit_spread},
          {"cold_pressure", f.cold_pressure},
          {"falls", static_cast<double>(f.falls)},
          {"restart_10s", f.after_restart.service()},
          {"limits_back_s", f.limits_back_s},
          {"rules_broken", static_cast<double>(f.broken())},
          {"looks", static_cast<double>(f.looks) / jobs},
          {"cpu_us", f.cpu_us_a_job}};
}

std::string ProgressLine(const Run& run, std::size_t done, std::size_t of) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  Put(json, "event", std::string("run"));
  Put(json, "done", static_cast<std::uint64_t>(done));
  Put(json, "of", static_cast<std::uint64_t>(of));
  Put(json, "scenario", run.scenario);
  Put(json, "variant", run.variant);
  Put(json, "seed", run.seed);
  for (const auto& [name, value] : run.figures) Put(json, name.c_str(), value);
  json.EndObject();
  return buffer.GetString();
}

std::string WriteResults(const Results& results) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.SetMaxDecimalPlaces(9);
  json.StartObject();
  Put(json, "format", std::uint64_t{1});
  Put(json, "experiment", results.experiment);
  Put(json, "what", results.what);
  Put(json, "build", results.build);
  json.Key("runs");
  json.StartArray();
  for (const Run& run : results.runs) {
    json.StartObject();
    Put(json, "scenario", run.scenario);
    Put(json, "variant", run.variant);
    Put(json, "seed", run.seed);
    json.Key("figures");
    json.StartObject();
    for (const auto& [name, value] : run.figures) Put(json, name.c_str(), value);
    json.EndObject();
    if (!run.details.empty()) {
      json.Key("details");
      json.RawValue(run.details.data(), run.details.size(), rapidjson::kObjectType);
    }
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  return buffer.GetString();
}

Results ReadResults(std::string_view text, const std::string& name) {
  const auto fail = [&](const char* what) { throw dispatch::Malformed(name + ":1: " + what); };
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  if (document.HasParseError() || !document.IsObject()) fail("not the results of an experiment");
  const auto string = [&](const rapidjson::Value& in, const char* key) {
    const auto it = in.FindMember(key);
    if (it == in.MemberEnd() || !it->value.IsString()) fail("a name is missing");
    return std::string(it->value.GetString(), it->value.GetStringLength());
  };
  const auto format = document.FindMember("format");
  if (format == document.MemberEnd() || !format->value.IsUint() || format->value.GetUint() != 1)
    fail("not results of form 1");
  Results results{
      string(document, "experiment"), string(document, "what"), string(document, "build"), {}};
  const auto runs = document.FindMember("runs");
  if (runs == document.MemberEnd() || !runs->value.IsArray()) fail("there are no runs");
  for (const auto& r : runs->value.GetArray()) {
    if (!r.IsObject()) fail("a run is no object");
    Run run{string(r, "scenario"), string(r, "variant"), 0, {}, {}};
    const auto seed = r.FindMember("seed"), figures = r.FindMember("figures");
    if (seed == r.MemberEnd() || !seed->value.IsUint64() || figures == r.MemberEnd() ||
        !figures->value.IsObject())
      fail("a run without seed or figures");
    run.seed = seed->value.GetUint64();
    for (const auto& figure : figures->value.GetObject()) {
      if (!figure.value.IsNumber()) fail("a figure is no number");
      run.figures.push_back({figure.name.GetString(), figure.value.GetDouble()});
    }
    if (const auto details = r.FindMember("details"); details != r.MemberEnd()) {
      rapidjson::StringBuffer buffer;
      Json json(buffer);
      details->value.Accept(json);
      run.details = buffer.GetString();
    }
    results.runs.push_back(std::move(run));
  }
  return results;
}

}  // namespace pearreach::lab
