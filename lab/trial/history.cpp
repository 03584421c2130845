#include "lab/trial/history.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>

#include "dispatch/settings/settings_reader.h"

namespace pearreach::lab {
namespace {

using dispatch::Malformed;

std::string TextOf(const rapidjson::Value& v) {
  if (v.IsString()) return {v.GetString(), v.GetStringLength()};
  if (v.IsInt64()) return std::to_string(v.GetInt64());
  if (v.IsNumber()) return std::to_string(v.GetDouble());
  if (v.IsBool()) return v.GetBool() ? "true" : "false";
  return "";
}

}  // namespace

const std::string& Moment::Of(const std::string& name) const {
  static const std::string kNone;
  const auto it = more.find(name);
  return it == more.end() ? kNone : it->second;
}

std::int64_t Moment::Number(const std::string& name) const {
  return std::strtoll(Of(name).c_str(), nullptr, 10);
}

void Sort(History* history) {
  std::stable_sort(history->begin(), history->end(),
                   [](const Moment& a, const Moment& b) { return a.at < b.at; });
}

std::string WriteHistory(const History& history) {
  std::string text;
  rapidjson::StringBuffer buffer;
  for (const Moment& m : history) {
    buffer.Clear();
    rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
    const auto put = [&](const std::string& key, const std::string& value) {
      json.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
      json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    json.StartObject();
    json.Key("at");
    json.Int64(m.at);
    put("who", m.who);
    put("what", m.what);
    for (const auto& [name, value] : m.more) put(name, value);
    json.EndObject();
    text.append(buffer.GetString(), buffer.GetSize());
    text += '\n';
  }
  return text;
}

History ReadHistory(std::string_view text, const std::string& name) {
  History history;
  int line = 0;
  while (!text.empty()) {
    ++line;
    const std::size_t end = text.find('\n');
    const std::string_view row = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (row.empty()) continue;
    const auto fail = [&](const std::string& what) {
      throw Malformed(name + ":" + std::to_string(line) + ": " + what);
    };
    rapidjson::Document d;
    d.Parse(row.data(), row.size());
    if (d.HasParseError())
      fail(std::string("not JSON: ") + rapidjson::GetParseError_En(d.GetParseError()));
    if (!d.IsObject()) fail("not an object");
    Moment m;
    bool timed = false;
    const rapidjson::Value& object = d;
    for (const auto& member : object.GetObject()) {
      const std::string key = TextOf(member.name);
      if (key == "at") {
        if (!member.value.IsInt64()) fail("'at' is no whole number");
        m.at = member.value.GetInt64();
        timed = true;
      } else if (key == "who") {
        m.who = TextOf(member.value);
      } else if (key == "what") {
        m.what = TextOf(member.value);
      } else {
        m.more[key] = TextOf(member.value);
      }
    }
    if (!timed || m.who.empty() || m.what.empty()) fail("'at', 'who' or 'what' is missing");
    history.push_back(std::move(m));
  }
  return history;
}

bool ReadLogLine(std::string_view line, Micros began_unix, Moment* moment) {
  rapidjson::Document d;
  d.Parse(line.data(), line.size());
  if (d.HasParseError() || !d.IsObject()) return false;
  Moment m;
  const rapidjson::Value& object = d;
  for (const auto& member : object.GetObject()) {
    const std::string key = TextOf(member.name);
    if (key == "time" && member.value.IsNumber())
      m.at = static_cast<Micros>(std::llround(member.value.GetDouble() * 1e6)) - began_unix;
    else if (key == "node")
      m.who = TextOf(member.value);
    else if (key == "event")
      m.what = TextOf(member.value);
    else
      m.more[key] = TextOf(member.value);
  }
  if (m.who.empty() || m.what.empty()) return false;
  *moment = std::move(m);
  return true;
}

std::string Words(const Moment& m) {
  char at[32];
  std::snprintf(at, sizeof at, "%9.3f s ", static_cast<double>(m.at) / 1e6);
  std::string line = at + m.who + " " + m.what;
  for (const auto& [name, value] : m.more)
    if (name != "text") line += " " + name + "=" + value;
  return line;
}

}  // namespace pearreach::lab
