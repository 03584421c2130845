// The settings reader that the simulator's adapter and the real node share. It turns settings, flat
// as path=text with the wire's dotted paths, into the module's Settings and the names that go with
// them. It owns no connection to where the text came from and must never guess: what it cannot read
// is Malformed, and paths that it does not know are passed over.
#ifndef PEARREACH_SRC_DISPATCH_SETTINGS_SETTINGS_READER_H_
#define PEARREACH_SRC_DISPATCH_SETTINGS_SETTINGS_READER_H_

#include <charconv>
#include <cmath>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {

using Text = std::string_view;
using Names = std::vector<std::string>;

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string Quote(Text t);

template <typename T>
T Number(Text text, Text what, int base = 10) {
  T value{};
  std::from_chars_result r{};
  if constexpr (std::is_floating_point_v<T>) {
    r = std::from_chars(text.data(), text.data() + text.size(), value);
  } else {
    r = std::from_chars(text.data(), text.data() + text.size(), value, base);
  }
  bool good = r.ec == std::errc() && r.ptr == text.data() + text.size();
  if constexpr (std::is_floating_point_v<T>) good = good && std::isfinite(value);
  if (!good) throw Malformed("bad " + std::string(what) + " " + Quote(text));
  return value;
}

Micros Millis(Text text, Text what);
bool Bool(Text text, Text what);
std::vector<Text> Split(Text text, char separator);
int IndexOf(const Names& names, Text name);  // -1: not there
std::uint64_t HashName(Text name);           // the same everywhere

// Settings by path. A list of plain values is joined by commas; a list of objects has its length
// under PATH.count and its items under PATH.0 and so on; no value holds a space or a comma.
class Conf {
 public:
  using Values = std::map<std::string, std::string, std::less<>>;
  explicit Conf(Values values) : values_(std::move(values)) {}

  Text Get(const std::string& path) const;
  const Values& values() const { return values_; }
  template <typename T>
  T Num(const std::string& path, T fallback) const {
    const Text text = Get(path);
    return text.empty() ? fallback : Number<T>(text, path);
  }
  Micros Ms(const std::string& path, Micros fallback = 0) const;
  bool Flag(const std::string& path) const;
  Names List(const std::string& path) const;
  int Count(const std::string& path) const;

 private:
  Values values_;
};

// The wire's form: path=value pairs set apart by spaces.
Conf ReadPairs(Text text);

// Settings, and the names of what the module knows by index.
struct Site {
  Settings settings;
  Names classes, tenants, zones, kinds;
  bool x0_is_free_slots = false;
};

Site ReadSite(const Conf& conf);

// A line for the log in words; `workers` by WorkerId.
std::string Words(const LogLine& line, const Site& site, const Names& workers);

// One value of a load report; those that the module does not use are passed over.
void TakeLoad(const Site& site, Text name, Text value, LoadReport* load);

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_SETTINGS_SETTINGS_READER_H_
