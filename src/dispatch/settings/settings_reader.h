// The settings reader shared by the simulator adapter and the node. It converts settings in flat
// form, a map from dotted paths to text, into the Settings of the dispatcher and the names of their
// classes, tenants, zones and kinds. The source of the text is up to the caller. A value that
// cannot be parsed throws Malformed; unknown paths are ignored.
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

// Thrown for input that cannot be parsed; what() says what was expected and found.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string Quote(Text t);

// Parses a finite number that takes up the whole text.
template <typename T>
T ParseNumber(Text text, Text what, int base = 10) {
  T value{};
  std::from_chars_result r{};
  if constexpr (std::is_floating_point_v<T>) {
    r = std::from_chars(text.data(), text.data() + text.size(), value);
  } else {
    r = std::from_chars(text.data(), text.data() + text.size(), value, base);
  }
  bool good = r.ec == std::errc() && r.ptr == text.data() + text.size();
  if constexpr (std::is_floating_point_v<T>) good = good && std::isfinite(value);
  if (!good)
    throw Malformed("bad " + std::string(what) + " " + Quote(text) +
                    ": expected a number in range");
  return value;
}

// Parses milliseconds. `what` names the value in the error message.
Micros ParseMillis(Text text, Text what);
bool ParseBool(Text text, Text what);
std::vector<Text> Split(Text text, char separator);
int IndexOf(const Names& names, Text name);  // -1 if `names` does not contain it
std::uint64_t HashName(Text name);           // the same on every node and in every build

// Settings by path. A list of plain values is joined by commas. A list of objects has its length
// under PATH.count and its items under PATH.0, PATH.1 and so on. No value contains a space or a
// comma.
class Conf {
 public:
  using Values = std::map<std::string, std::string, std::less<>>;
  explicit Conf(Values values) : values_(std::move(values)) {}

  Text Get(const std::string& path) const;
  const Values& values() const { return values_; }
  template <typename T>
  T Num(const std::string& path, T fallback) const {
    const Text text = Get(path);
    return text.empty() ? fallback : ParseNumber<T>(text, path);
  }
  Micros Ms(const std::string& path, Micros fallback = 0) const;
  bool Flag(const std::string& path) const;
  Names List(const std::string& path) const;
  int Count(const std::string& path) const;

 private:
  Values values_;
};

// Parses the form of the simulator protocol: path=value pairs separated by single spaces.
Conf ReadPairs(Text text);

// Settings, with the names of the entities that the dispatcher knows by index only.
struct Site {
  Settings settings;
  Names classes, tenants, zones, kinds;
  bool x0_is_free_slots = false;  // the value x0 of a load report is the number of free slots
};

Site ReadSite(const Conf& conf);

// Formats a line for the log. `workers` are the names by WorkerId.
std::string FormatLogLine(const LogLine& line, const Site& site, const Names& workers);

// Reads one value of a load report into `load`. Values that the dispatcher does not use are
// ignored.
void ReadLoadValue(const Site& site, Text name, Text value, LoadReport* load);

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_SETTINGS_SETTINGS_READER_H_
