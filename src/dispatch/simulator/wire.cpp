#include "dispatch/simulator/wire.h"

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

#include "dispatch/settings/settings_reader.h"
#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {
namespace {

// Reads the values of one line in order. A value is absent if it is '-' or missing at the end.
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
    if (!part) throw Malformed("missing " + std::string(what));
    return *part;
  }
  Text Rest() { return std::exchange(rest_, Text()); }

 private:
  Text rest_;
};

// ---------------------------------------------------------------- instances

// One entry of a worker list as the protocol sends it.
struct Row {
  std::string executor, zone, kind;
  int cell = 0;
  Health health = Health::kInService;
  double weight = 1;
  Micros ready_at = 0;
};

struct HashText {
  using is_transparent = void;
  std::size_t operator()(Text text) const { return std::hash<Text>()(text); }
};

// One simulated node: its Dispatcher and the names of its workers.
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
    if (it == ids.end())
      throw Malformed("unknown executor " + Quote(name) + ": not in any list so far");
    return it->second;
  }

  Site site;
  Dispatcher dispatcher;
  std::unordered_map<std::string, WorkerId, HashText, std::equal_to<>> ids;
  Names names;
  std::vector<Event> events;  // of the current batch
};

// A request id is written as 16 lower-case hex digits.
RequestId ReadId(Text text) {
  if (text.size() != 16 || text.find_first_not_of("0123456789abcdef") != Text::npos)
    throw Malformed("bad request id " + Quote(text) + ": expected 16 lower-case hex digits");
  return ParseNumber<RequestId>(text, "request id", 16);
}

Outcome ReadOutcome(Text text) {
  static constexpr std::pair<Text, Outcome> kCodes[] = {
      {"GOOD", Outcome::kGood},     {"BAD", Outcome::kError},           {"FULL", Outcome::kFull},
      {"LATE", Outcome::kTimeout},  {"NOCONN", Outcome::kNoConnection}, {"RST", Outcome::kReset},
      {"CXL", Outcome::kCancelled}, {"NOP", Outcome::kNotSent}};
  for (const auto& [name, outcome] : kCodes)
    if (name == text) return outcome;
  throw Malformed("unknown outcome " + Quote(text));
}

LoadReport ReadLoad(const std::optional<Text>& text, const Site& site) {
  LoadReport load;
  if (!text) return load;
  for (const Text pair : Split(*text, ',')) {
    const std::size_t colon = pair.find(':');
    if (colon == Text::npos)
      throw Malformed("bad load report " + Quote(pair) + ": expected name:value");
    ReadLoadValue(site, pair.substr(0, colon), pair.substr(colon + 1), &load);
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

// Writes the actions of one instance.
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
    out_ += ' ';
    out_ += FormatLogLine(a, instance_.site, instance_.names);
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

// ---------------------------------------------------------------- the processing of batches

// Parses the input line by line, collects the events of a batch and runs the instances at its end.
class BatchProcessor {
 public:
  explicit BatchProcessor(WireObserver* observer) : observer_(observer) {}

  // Processes one line. Returns true if it completed a batch, whose reply is then in `reply`.
  bool ProcessLine(Text line, std::string* reply) {
    if (rows_left_ > 0) return ParseRow(line), false;
    Fields f(line);
    const Text verb = f.Next();
    if (verb == "begin_batch") {
      if (in_batch_) throw Malformed("begin_batch inside a batch: expected eof_batch first");
      const Micros now = ParseMillis(f.Required("clock"), "clock");
      if (now < now_)
        throw Malformed("clock ran backwards by " + std::to_string(now_ - now) + " us");
      now_ = now;
      in_batch_ = true;
      return false;
    }
    if (!in_batch_) throw Malformed("expected begin_batch, got " + Quote(verb));
    if (verb == "eof_batch") return Reply(reply), true;
    if (verb == "list") return StartList(f), false;
    const auto node = ParseNumber<std::uint64_t>(f.Required("node"), "node");
    if (verb == "start") return Start(node, f), false;
    const auto it = instances_.find(node);
    if (it == instances_.end())
      throw Malformed("instance " + std::to_string(node) + " not started");
    if (verb == "kill") {
      instances_.erase(it);
      std::erase(instances_with_events_, node);
      return false;
    }
    Instance& instance = *it->second;
    if (instance.events.empty()) instances_with_events_.push_back(node);
    instance.events.push_back(Parse(verb, f, instance));
    return false;
  }

  bool Idle() const { return !in_batch_; }

 private:
  void StartList(Fields& f) {
    list_ = &lists_[ListIndex(f.Required("list number"))];
    rows_left_ = ParseNumber<std::size_t>(f.Required("number of entries"), "number of entries");
    list_->clear();
  }

  std::size_t ListIndex(Text text) const {
    const auto index = ParseNumber<std::size_t>(text, "list number");
    if (index >= lists_.size())
      throw Malformed("bad list number " + Quote(text) + ": expected less than " +
                      std::to_string(lists_.size()));
    return index;
  }

  void ParseRow(Text line) {
    Fields f(line);
    if (const Text verb = f.Next(); verb != "row")
      throw Malformed("expected row, got " + Quote(verb) + ": " + std::to_string(rows_left_) +
                      " rows of the list are missing");
    Row row;
    row.executor = f.Required("executor");
    row.zone = f.Required("zone");
    row.kind = f.Required("kind");
    if (const auto cell = f.Optional()) row.cell = ParseNumber<int>(*cell, "cell");
    const Text health = f.Required("health");
    if (health == "terminating")
      row.health = Health::kDraining;
    else if (health == "terminated")
      row.health = Health::kGone;
    else if (health != "in_service")
      throw Malformed("unknown health " + Quote(health) +
                      ": expected in_service, terminating or terminated");
    if (const auto weight = f.Optional())
      row.weight = ParseNumber<double>(*weight, "capacity hint");
    if (const auto at = f.Optional()) row.ready_at = ParseMillis(*at, "start time");
    list_->push_back(std::move(row));
    --rows_left_;
  }

  void Start(std::uint64_t node, Fields& f) {
    const auto seed = ParseNumber<std::uint64_t>(f.Required("seed"), "seed");
    if (instances_.contains(node))
      throw Malformed("instance " + std::to_string(node) + " started twice");
    const Conf conf = ReadPairs(f.Rest());
    instances_[node] = std::make_unique<Instance>(ReadSite(conf), seed, now_);
    if (observer_ != nullptr) observer_->OnStart(node, seed, now_, conf.values());
  }

  Event Parse(Text verb, Fields& f, Instance& instance) {
    if (verb == "discovery") return ParseDiscovery(f, instance);
    if (verb == "request") return ParseRequest(f, instance.site);
    if (verb == "elapsed") {
      ParseNumber<std::uint64_t>(f.Required("timer mark"), "timer mark");
      return TimerFired{};
    }
    if (verb == "lapsed") return RequestAbandoned{ReadId(f.Required("request id"))};
    if (verb == "hint_update") return ParseNote(f, instance);
    if (verb == "ended") return ParseEnded(f, instance);
    if (verb == "begun") {
      StreamBegan e;
      e.request = ReadId(f.Required("request id"));
      f.Optional();
      e.worker = instance.Find(f.Required("executor"));
      e.attempt = ParseNumber<int>(f.Required("attempt"), "attempt");
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
    if (verb == "datagram") return ParseDatagram(f);
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
      throw Malformed("unknown form of list " + Quote(form) + ": expected D, F, C or X");
    if (list.form == WorkerList::Form::kFailed) return list;
    f.Optional();
    for (const Row& row : lists_[ListIndex(f.Required("list number"))]) {
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
    e.due = ParseMillis(f.Required("due time"), "due time");
    if (const auto width = f.Optional()) e.slots = ParseNumber<double>(*width, "width");
    const Text cls = f.Required("class");
    e.cls = IndexOf(site.classes, cls);
    if (e.cls < 0) throw Malformed("unknown class " + Quote(cls));
    f.Optional();  // memory
    int options = 0;
    if (const auto text = f.Optional()) options = ParseNumber<int>(*text, "options");
    e.is_repeat = (options & 2) != 0;
    if (const auto hint = f.Optional(); hint && (options & 1) != 0)
      e.hint = ParseMillis(*hint, "hint");
    if (const auto key = f.Optional()) e.key = ParseNumber<std::uint64_t>(*key, "key");
    return e;
  }

  Event ParseDatagram(Fields& f) {
    PeerMessage e;
    e.from = ParseNumber<int>(f.Required("sender"), "sender");
    const Text hex = f.Optional().value_or(Text());
    if (hex.size() % 2 != 0)
      throw Malformed("bad datagram " + Quote(hex) + ": expected an even number of hex digits");
    for (std::size_t i = 0; i < hex.size(); i += 2)
      e.data += static_cast<char>(ParseNumber<unsigned char>(hex.substr(i, 2), "datagram", 16));
    return e;
  }

  Event ParseNote(Fields& f, Instance& instance) {
    const RequestId id = ReadId(f.Required("request id"));
    const int attempt = ParseNumber<int>(f.Required("attempt"), "attempt");
    const WorkerId worker = instance.Find(f.Required("executor"));
    const int kind = ParseNumber<int>(f.Required("kind of note"), "kind of note");
    if (kind == 1) return AttemptStarted{id, attempt, worker};
    if (kind != 2) return TimerFired{};  // unknown kinds of notes are ignored
    const auto level = f.Optional();
    return AttemptProgress{id, attempt, worker, level ? ParseNumber<double>(*level, "level") : 0};
  }

  Event ParseEnded(Fields& f, Instance& instance) {
    AttemptEnded e;
    e.request = ReadId(f.Required("request id"));
    e.attempt = ParseNumber<int>(f.Required("attempt"), "attempt");
    e.worker = instance.Find(f.Required("executor"));
    e.outcome = ReadOutcome(f.Required("outcome"));
    if (const auto latency = f.Optional()) e.latency = ParseMillis(*latency, "latency");
    e.settled = ParseBool(f.Required("settled flag"), "settled flag");
    f.Optional();  // detail
    e.load = ReadLoad(f.Optional(), instance.site);
    return e;
  }

  void Reply(std::string* reply) {
    reply->clear();
    for (const std::uint64_t node : instances_with_events_) {
      Instance& instance = *instances_.at(node);
      actions_.clear();
      instance.dispatcher.Handle(now_, instance.events, &actions_);
      if (observer_ != nullptr)
        observer_->OnTurn(node, batch_, now_, instance.events, actions_, instance.names);
      instance.events.clear();
      Writer writer(*reply, node, instance);
      for (const Action& action : actions_) std::visit(writer, action);
    }
    instances_with_events_.clear();
    *reply += "end\n";
    ++batch_;
    in_batch_ = false;
  }

  WireObserver* observer_;
  std::size_t batch_ = 0;
  Micros now_ = std::numeric_limits<Micros>::min();
  bool in_batch_ = false;
  std::array<std::vector<Row>, 16> lists_;
  std::vector<Row>* list_ = nullptr;
  std::size_t rows_left_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Instance>> instances_;  // never iterated
  std::vector<std::uint64_t>
      instances_with_events_;  // instances with events, in the order of their first event
  std::vector<Action> actions_;
};

}  // namespace

int ServeWire(std::istream& in, std::ostream& out, std::ostream& err, WireObserver* observer) {
  BatchProcessor processor(observer);
  std::string line, reply;
  std::size_t number = 0;
  try {
    while (std::getline(in, line)) {
      ++number;
      if (!processor.ProcessLine(line, &reply)) continue;
      out << reply << std::flush;
      if (!out) throw Malformed("cannot write to standard output");
    }
    if (!processor.Idle()) throw Malformed("the input ends inside a batch: expected eof_batch");
  } catch (const Malformed& error) {
    err << "pearreach-simulator-adapter: line " << number << ": " << error.what() << '\n';
    return 1;
  }
  return 0;
}

}  // namespace pearreach::dispatch
