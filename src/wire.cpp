#include "wire.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <functional>
#include <istream>
#include <map>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "marlquay/dispatcher.h"

namespace marlquay {
namespace {

using Text = std::string_view;

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string Quote(Text t) { return "'" + std::string(t) + "'"; }

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

Micros Millis(Text text, Text what) {
  const double ms = Number<double>(text, what);
  if (std::abs(ms) > 9e12) throw Malformed("bad " + std::string(what) + " " + Quote(text));
  return std::llround(ms * 1000);
}

bool Bool(Text text, Text what) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  throw Malformed("bad " + std::string(what) + " " + Quote(text));
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

// The values of one line, taken in order. '-' and a value left off at the end are absent.
class Fields {
 public:
  explicit Fields(Text line) : rest_(line) {}

  Text Next() {
    const std::size_t end = rest_.find(' ');
    const Text part = rest_.substr(0, end);
    rest_.remove_prefix(end == Text::npos ? rest_.size() : end + 1);
    return part;
  }
  std::optional<Text> Optional() {
    const Text part = Next();
    if (part.empty() || part == "-") return std::nullopt;
    return part;
  }
  Text Required(Text what) {
    const auto part = Optional();
    if (!part) throw Malformed("no " + std::string(what));
    return *part;
  }
  Text Rest() { return std::exchange(rest_, Text()); }

 private:
  Text rest_;
};

// ---------------------------------------------------------------- settings

using Names = std::vector<std::string>;

int IndexOf(const Names& names, Text name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

class Conf {
 public:
  explicit Conf(Text text) {
    for (const Text pair : Split(text, ' ')) {
      const std::size_t eq = pair.find('=');
      if (eq == Text::npos || eq == 0) throw Malformed("bad setting " + Quote(pair));
      values_[std::string(pair.substr(0, eq))] = pair.substr(eq + 1);
    }
  }
  Text Get(const std::string& path) const {
    const auto it = values_.find(path);
    return it == values_.end() ? Text() : it->second;
  }
  template <typename T>
  T Num(const std::string& path, T fallback) const {
    const Text text = Get(path);
    return text.empty() ? fallback : Number<T>(text, path);
  }
  Micros Ms(const std::string& path, Micros fallback = 0) const {
    const Text text = Get(path);
    return text.empty() ? fallback : Millis(text, path);
  }
  bool Flag(const std::string& path) const {
    const Text text = Get(path);
    return !text.empty() && Bool(text, path);
  }
  Names List(const std::string& path) const {
    Names names;
    for (const Text t : Split(Get(path), ',')) names.emplace_back(t);
    return names;
  }
  int Count(const std::string& path) const {
    const int n = Num<int>(path + ".count", 0);
    if (n < 0 || n > 10000) throw Malformed("bad " + path + ".count");
    return n;
  }

 private:
  std::map<std::string, Text, std::less<>> values_;
};

struct Site {
  Settings settings;
  Names classes, tenants, zones, kinds;
  bool x0_is_free_slots = false;
};

ClassSettings ReadClass(const Conf& conf, int i) {
  const std::string path = "RequestClasses." + std::to_string(i) + ".";
  ClassSettings c;
  const Text effect = conf.Get(path + "Effect");
  if (effect == "repeatable")
    c.effect = Effect::kRepeatable;
  else if (effect == "by_key")
    c.effect = Effect::kByKey;
  else if (effect != "once")
    throw Malformed("bad " + path + "Effect " + Quote(effect));
  const Text scope = conf.Get(path + "KeyScope");
  if (scope == "zone")
    c.key_scope = KeyScope::kZone;
  else if (scope == "cell")
    c.key_scope = KeyScope::kCell;
  else if (!scope.empty() && scope != "all")
    throw Malformed("bad " + path + "KeyScope " + Quote(scope));
  c.key_window = conf.Ms(path + "WindowMs");
  c.aim = conf.Ms(path + "AimMs");
  c.deadline = conf.Ms(path + "DeadlineMs");
  c.worth = conf.Num<double>(path + "Credit", 1);
  c.late_value = conf.Num<double>(path + "LateValue", 0);
  const Names stretch = conf.List("FamilyInfo.ClassStretch");
  const Names kind = conf.List("FamilyInfo.ClassKind");
  const auto at = static_cast<std::size_t>(i);
  if (at < stretch.size()) c.aim_stretch = Number<double>(stretch[at], "FamilyInfo.ClassStretch");
  if (at < kind.size()) c.kind = Number<int>(kind[at], "FamilyInfo.ClassKind");
  c.aim_stretch = conf.Num<double>(path + "AimStretch", c.aim_stretch);
  return c;
}

Site ReadSite(Text text) {
  const Conf conf(text);
  Site site;
  Settings& s = site.settings;
  site.zones = conf.List("Zones");
  site.kinds = conf.List("Models");
  s.balancers = conf.Num<int>("Balancers", 1);
  s.self = conf.Num<int>("Ordinal", 0);
  s.zone = IndexOf(site.zones, conf.Get("Locality"));
  s.kinds = static_cast<int>(site.kinds.size());
  s.round = conf.Ms("RoundMs");
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
  s.over_share_worth = conf.Num<double>("OverShareWorth", 1);
  s.worth_by_work = conf.Get("WorthBy") == "work";
  s.goal_whole = conf.Num<double>("ObjectiveMix.Whole", 1);
  s.goal_worst_class = conf.Num<double>("ObjectiveMix.WorstClass", 0);
  const Text weights = conf.Get("WeightSource");
  s.weighted_workers = weights == "nominal" || weights == "rough" || weights == "live";
  s.tells_start = conf.Flag("FamilyInfo.TellsStart");
  s.progress_every = conf.Ms("FamilyInfo.ProgressMs");
  s.must_subscribe = conf.Get("MembershipMode") == "subscribe";
  s.may_cancel = conf.Flag("Limits.Cancel");
  s.may_probe = conf.Flag("Limits.MayProbe");
  s.may_duplicate = conf.Flag("Limits.MayDuplicate");
  s.retry_after = conf.Flag("Limits.RetryAfter");
  s.max_retry_after = conf.Ms("Limits.MaxRetryAfterMs");
  s.try_limit = conf.Num<int>("Limits.TryLimit", 1);
  s.connect_timeout = conf.Ms("Limits.ConnectTimeoutMs");
  s.connect_price = conf.Num<double>("Prices.Handshake", 0);
  s.connection_idle = conf.Ms("Limits.ConnIdleMs");
  s.stop_sending_within = conf.Ms("Contract.StopSendingWithinMs");
  s.cold_share = conf.Num<double>("Contract.ColdShare", 1);
  s.cold_time = conf.Ms("Contract.ColdMs");
  s.fall_multiple = conf.Num<double>("Contract.FallMultiple", 1);
  s.fall_time = conf.Ms("Contract.FallMs");
  site.x0_is_free_slots = conf.Get("FamilyInfo.ReportX0") == "free_slots";
  if (const std::string wrong = ValidateSettings(s); !wrong.empty()) throw Malformed(wrong);
  return site;
}

// ---------------------------------------------------------------- instances

struct Row {
  std::string executor, zone, kind;
  int cell = 0;
  Health health = Health::kInService;
  double weight = 1;
  Micros ready_at = 0;
};

std::uint64_t HashName(Text name) {  // FNV-1a
  std::uint64_t h = 0xcbf29ce484222325u;
  for (const unsigned char c : name) h = (h ^ c) * 0x100000001b3u;
  return h;
}

struct HashText {
  using is_transparent = void;
  std::size_t operator()(Text text) const { return std::hash<Text>()(text); }
};

struct Instance {
  Instance(Site read, std::uint64_t seed, Micros now)
      : site(std::move(read)), dispatcher(site.settings, seed, now) {}

  WorkerId IdOf(const std::string& name) {
    const auto [it, fresh] = ids.try_emplace(name, static_cast<WorkerId>(names.size()));
    if (fresh) names.push_back(name);
    return it->second;
  }
  WorkerId Find(Text name) const {
    const auto it = ids.find(name);
    if (it == ids.end()) throw Malformed("executor " + Quote(name) + " was never listed");
    return it->second;
  }

  Site site;
  Dispatcher dispatcher;
  std::unordered_map<std::string, WorkerId, HashText, std::equal_to<>> ids;
  Names names;
  std::vector<Event> events;  // of the batch being read
};

// Requests travel by the number their 16 hex digits spell.
RequestId ReadId(Text text) {
  if (text.size() != 16 || text.find_first_not_of("0123456789abcdef") != Text::npos)
    throw Malformed("bad request id " + Quote(text));
  return Number<RequestId>(text, "request id", 16);
}

Outcome ReadOutcome(Text text) {
  static constexpr std::pair<Text, Outcome> kCodes[] = {
      {"GOOD", Outcome::kGood},           {"BAD", Outcome::kError},
      {"FULL", Outcome::kFull},           {"LATE", Outcome::kTimeout},
      {"NOCONN", Outcome::kNoConnection}, {"RST", Outcome::kReset},
      {"CXL", Outcome::kCancelled},       {"NOP", Outcome::kMoot}};
  for (const auto& [name, outcome] : kCodes)
    if (name == text) return outcome;
  throw Malformed("unknown outcome " + Quote(text));
}

LoadReport ReadLoad(const std::optional<Text>& text, const Site& site) {
  LoadReport load;
  if (!text) return load;
  for (const Text pair : Split(*text, ',')) {
    const std::size_t colon = pair.find(':');
    if (colon == Text::npos) throw Malformed("bad load report " + Quote(pair));
    const Text name = pair.substr(0, colon), value = pair.substr(colon + 1);
    if (name == "x0" && site.x0_is_free_slots) load.free_slots = Number<double>(value, "x0");
    if (name == "rif") load.in_flight = Number<double>(value, "rif");
  }
  return load;
}

// ---------------------------------------------------------------- actions

void Append(std::string& out, std::uint64_t value) {
  char buffer[24];
  out.append(buffer, std::to_chars(buffer, buffer + sizeof buffer, value).ptr);
}

void AppendHexId(std::string& out, RequestId id) {
  for (int shift = 60; shift >= 0; shift -= 4) out += "0123456789abcdef"[(id >> shift) & 15];
}

void AppendMillis(std::string& out, Micros t) {
  if (t < 0) out += '-';
  const std::uint64_t us = static_cast<std::uint64_t>(std::abs(t));
  Append(out, us / 1000);
  out += '.';
  for (const std::uint64_t unit : {100u, 10u, 1u}) out += static_cast<char>('0' + us / unit % 10);
}

class Writer {
 public:
  Writer(std::string& out, std::uint64_t node, const Instance& instance)
      : out_(out), node_(node), instance_(instance) {}

  void operator()(const Send& a) {
    Begin("hand_off");
    Id(a.request);
    Name(a.worker);
    out_ += " 0\n";
  }
  void operator()(const Refuse& a) {
    Begin("overload_reply");
    Id(a.request);
    Time(a.retry_after);
    out_ += '\n';
  }
  void operator()(const Fail& a) {
    Begin("give_up");
    Id(a.request);
    out_ += '\n';
  }
  void operator()(const Cancel& a) {
    Begin("withdraw");
    Id(a.request);
    out_ += ' ';
    Append(out_, static_cast<std::uint64_t>(a.attempt));
    out_ += '\n';
  }
  void operator()(const SetTimer& a) {
    Begin("remind");
    Time(a.at);
    out_ += " 0\n";
  }
  void operator()(const Probe& a) {
    Begin("touch");
    Name(a.worker);
    out_ += '\n';
  }
  void operator()(const Subscribe&) {
    Begin("follow");
    out_ += " 1\n";
  }
  void operator()(const LogLine& a) {
    Begin("log");
    switch (a.what) {
      case LogLine::What::kWorkerSilent:
        out_ += " worker silent:";
        Name(a.worker);
        break;
      case LogLine::What::kWorkerBack:
        out_ += " worker back:";
        Name(a.worker);
        break;
      case LogLine::What::kLimitCut:
        out_ += " limit cut: pool " + instance_.site.kinds.at(static_cast<std::size_t>(a.pool)) +
                " to " + std::to_string(std::lround(a.value)) + " slots";
        break;
      case LogLine::What::kShedding:
        out_ += " shedding: " + std::to_string(std::lround(a.value)) + " requests refused";
        break;
      case LogLine::What::kListFailed:
        out_ += " worker list: call failed";
        break;
    }
    out_ += '\n';
  }

 private:
  void Begin(Text verb) {
    out_ += verb;
    out_ += ' ';
    Append(out_, node_);
  }
  void Id(RequestId id) {
    out_ += ' ';
    AppendHexId(out_, id);
  }
  void Name(WorkerId id) {
    out_ += ' ';
    out_ += instance_.names.at(id);
  }
  void Time(Micros t) {
    out_ += ' ';
    AppendMillis(out_, t);
  }

  std::string& out_;
  std::uint64_t node_;
  const Instance& instance_;
};

// ---------------------------------------------------------------- the reader of batches

class Host {
 public:
  // Takes one line. True when a reply is ready in `reply`.
  bool Take(Text line, std::string* reply) {
    if (rows_left_ > 0) return TakeRow(line), false;
    Fields f(line);
    const Text verb = f.Next();
    if (verb == "begin_batch") {
      if (in_batch_) throw Malformed("begin_batch inside a batch");
      const Micros now = Millis(f.Required("clock"), "clock");
      if (now < now_) throw Malformed("the clock ran backwards");
      now_ = now;
      in_batch_ = true;
      return false;
    }
    if (!in_batch_) throw Malformed("expected begin_batch, got " + Quote(verb));
    if (verb == "eof_batch") return Reply(reply), true;
    if (verb == "list") return TakeList(f), false;
    const auto node = Number<std::uint64_t>(f.Required("node"), "node");
    if (verb == "start") return Start(node, f), false;
    const auto it = instances_.find(node);
    if (it == instances_.end())
      throw Malformed("instance " + std::to_string(node) + " not started");
    if (verb == "kill") {
      instances_.erase(it);
      std::erase(touched_, node);
      return false;
    }
    Instance& instance = *it->second;
    if (instance.events.empty()) touched_.push_back(node);
    instance.events.push_back(Parse(verb, f, instance));
    return false;
  }

  bool Idle() const { return !in_batch_; }

 private:
  void TakeList(Fields& f) {
    list_ = &lists_[Slot(f.Required("list number"))];
    rows_left_ = Number<std::size_t>(f.Required("number of entries"), "number of entries");
    list_->clear();
  }

  std::size_t Slot(Text text) const {
    const auto slot = Number<std::size_t>(text, "list number");
    if (slot >= lists_.size()) throw Malformed("bad list number " + Quote(text));
    return slot;
  }

  void TakeRow(Text line) {
    Fields f(line);
    if (f.Next() != "row") throw Malformed("expected a row of the list");
    Row row;
    row.executor = f.Required("executor");
    row.zone = f.Required("zone");
    row.kind = f.Required("kind");
    if (const auto cell = f.Optional()) row.cell = Number<int>(*cell, "cell");
    const Text health = f.Required("health");
    if (health == "terminating")
      row.health = Health::kDraining;
    else if (health == "terminated")
      row.health = Health::kGone;
    else if (health != "in_service")
      throw Malformed("unknown health " + Quote(health));
    if (const auto weight = f.Optional()) row.weight = Number<double>(*weight, "capacity hint");
    if (const auto at = f.Optional()) row.ready_at = Millis(*at, "start time");
    list_->push_back(std::move(row));
    --rows_left_;
  }

  void Start(std::uint64_t node, Fields& f) {
    const auto seed = Number<std::uint64_t>(f.Required("seed"), "seed");
    if (instances_.contains(node))
      throw Malformed("instance " + std::to_string(node) + " started twice");
    instances_[node] = std::make_unique<Instance>(ReadSite(f.Rest()), seed, now_);
  }

  Event Parse(Text verb, Fields& f, Instance& instance) {
    if (verb == "discovery") return ParseDiscovery(f, instance);
    if (verb == "request") return ParseRequest(f, instance.site);
    if (verb == "elapsed") {
      Number<std::uint64_t>(f.Required("timer mark"), "timer mark");
      return TimerFired{};
    }
    if (verb == "lapsed") return RequestLapsed{ReadId(f.Required("request id"))};
    if (verb == "hint_update") return ParseNote(f, instance);
    if (verb == "ended") return ParseEnded(f, instance);
    if (verb == "begun") {
      StreamBegan e;
      e.request = ReadId(f.Required("request id"));
      f.Optional();
      e.worker = instance.Find(f.Required("executor"));
      e.attempt = Number<int>(f.Required("attempt"), "attempt");
      return e;
    }
    if (verb == "probe_done") {
      ProbeEnded e;
      e.worker = instance.Find(f.Required("executor"));
      e.good = ReadOutcome(f.Required("outcome")) == Outcome::kGood;
      f.Optional();
      e.load = ReadLoad(f.Optional(), instance.site);
      return e;
    }
    if (verb == "datagram") return TimerFired{};  // nodes tell each other nothing: a mere wake-up
    throw Malformed("unknown message " + Quote(verb));
  }

  Event ParseDiscovery(Fields& f, Instance& instance) {
    WorkerList list;
    const Text form = f.Required("form");
    if (form == "D")
      list.form = WorkerList::Form::kChanges;
    else if (form == "F" || form == "C")
      list.form = WorkerList::Form::kComplete;
    else if (form == "X")
      list.form = WorkerList::Form::kFailed;
    else
      throw Malformed("unknown form of list " + Quote(form));
    if (list.form == WorkerList::Form::kFailed) return list;
    f.Optional();
    for (const Row& row : lists_[Slot(f.Required("list number"))]) {
      WorkerEntry e;
      e.worker = instance.IdOf(row.executor);
      e.identity = HashName(row.executor);
      e.zone = IndexOf(instance.site.zones, row.zone);
      e.kind = IndexOf(instance.site.kinds, row.kind);
      e.cell = row.cell;
      e.health = row.health;
      e.weight = row.weight;
      e.ready_at = row.ready_at;
      list.entries.push_back(e);
    }
    return list;
  }

  Event ParseRequest(Fields& f, const Site& site) {
    RequestArrived e;
    e.request = ReadId(f.Required("request id"));
    if (const auto tenant = f.Optional()) e.tenant = IndexOf(site.tenants, *tenant);
    e.due = Millis(f.Required("due time"), "due time");
    if (const auto width = f.Optional()) e.slots = Number<double>(*width, "width");
    const Text cls = f.Required("class");
    e.cls = IndexOf(site.classes, cls);
    if (e.cls < 0) throw Malformed("unknown class " + Quote(cls));
    f.Optional();  // memory
    int options = 0;
    if (const auto text = f.Optional()) options = Number<int>(*text, "options");
    e.is_repeat = (options & 2) != 0;
    if (const auto hint = f.Optional(); hint && (options & 1) != 0) e.hint = Millis(*hint, "hint");
    if (const auto key = f.Optional()) e.key = Number<std::uint64_t>(*key, "key");
    return e;
  }

  Event ParseNote(Fields& f, Instance& instance) {
    const RequestId id = ReadId(f.Required("request id"));
    const int attempt = Number<int>(f.Required("attempt"), "attempt");
    const WorkerId worker = instance.Find(f.Required("executor"));
    const int kind = Number<int>(f.Required("kind of note"), "kind of note");
    if (kind == 1) return AttemptStarted{id, attempt, worker};
    if (kind != 2) return TimerFired{};  // a note of a kind not known yet
    const auto level = f.Optional();
    return AttemptProgress{id, attempt, worker, level ? Number<double>(*level, "level") : 0};
  }

  Event ParseEnded(Fields& f, Instance& instance) {
    AttemptEnded e;
    e.request = ReadId(f.Required("request id"));
    e.attempt = Number<int>(f.Required("attempt"), "attempt");
    e.worker = instance.Find(f.Required("executor"));
    e.outcome = ReadOutcome(f.Required("outcome"));
    if (const auto latency = f.Optional()) e.latency = Millis(*latency, "latency");
    e.settled = Bool(f.Required("settled flag"), "settled flag");
    f.Optional();  // detail
    e.load = ReadLoad(f.Optional(), instance.site);
    return e;
  }

  void Reply(std::string* reply) {
    reply->clear();
    for (const std::uint64_t node : touched_) {
      Instance& instance = *instances_.at(node);
      actions_.clear();
      instance.dispatcher.Handle(now_, instance.events, &actions_);
      instance.events.clear();
      Writer writer(*reply, node, instance);
      for (const Action& action : actions_) std::visit(writer, action);
    }
    touched_.clear();
    *reply += "end\n";
    in_batch_ = false;
  }

  Micros now_ = std::numeric_limits<Micros>::min();
  bool in_batch_ = false;
  std::array<std::vector<Row>, 16> lists_;
  std::vector<Row>* list_ = nullptr;
  std::size_t rows_left_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Instance>> instances_;  // never walked
  std::vector<std::uint64_t> touched_;  // instances with events, in the order of their first
  std::vector<Action> actions_;
};

}  // namespace

int ServeWire(std::istream& in, std::ostream& out, std::ostream& err) {
  Host host;
  std::string line, reply;
  std::size_t number = 0;
  try {
    while (std::getline(in, line)) {
      ++number;
      if (!host.Take(line, &reply)) continue;
      out << reply << std::flush;
      if (!out) throw Malformed("standard output is closed");
    }
    if (!host.Idle()) throw Malformed("the input ends inside a batch");
  } catch (const Malformed& wrong) {
    err << "marlquay_wirehost: line " << number << ": " << wrong.what() << '\n';
    return 1;
  }
  return 0;
}

}  // namespace marlquay
