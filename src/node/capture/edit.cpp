#include "node/capture/edit.h"

#include <sodium.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <sstream>

#include "dispatch/policy/checkpoint.h"
#include "dispatch/simulator/wire.h"

namespace pearreach::capture {
namespace {

using dispatch::Action;
using dispatch::Event;
using dispatch::Text;

void MustBeWhole(const Segment& segment) {
  if (!segment.damage().empty()) throw Unreadable(segment.name() + ": " + segment.damage());
}

}  // namespace

// ---------------------------------------------------------------- cut

std::string Cut(Segment* segment, const Window& window) {
  dispatch::Dispatcher dispatcher = segment->Restore();
  Origin origin = segment->origin();
  std::optional<SegmentWriter> writer;
  std::uint64_t before = 0;
  Turn turn;
  std::vector<Action> actions;
  Micros clock = origin.clock;
  std::int64_t unix_us = origin.unix_us;
  while (segment->Next(&turn)) {
    const Micros since = turn.now - segment->origin().clock;
    if (since >= window.until) break;
    if (window.Holds(since)) {
      if (!writer) {
        origin.unix_us = unix_us + (clock - origin.clock);
        origin.clock = clock;
        origin.first_turn += before;
        origin.workers.assign(
            segment->workers().begin(),
            segment->workers().end() - static_cast<std::ptrdiff_t>(turn.workers.size()));
        origin.edited = true;
        const bool fresh = before == 0 && !segment->checkpoint();
        const std::string state = fresh ? "" : dispatch::Checkpoint::Save(dispatcher);
        writer.emplace(origin, fresh ? nullptr : &state);
      }
      writer->Add(turn);
      continue;
    }
    actions.clear();
    dispatcher.Handle(turn.now, turn.events, &actions);
    if (actions != turn.actions)
      throw Unreadable(segment->name() + ": this build decides otherwise at turn " +
                       std::to_string(before) + ", before the part asked for");
    ++before;
    clock = turn.now;
  }
  MustBeWhole(*segment);
  if (!writer) throw Unreadable(segment->name() + ": no turn in that time");
  return writer->Finish("cut");
}

// ---------------------------------------------------------------- anonymise

namespace {

// The inverse of dispatch::Mix (splitmix64's last step), so that identities can be chosen by the
// place that they give a worker in the common order.
std::uint64_t Unmix(std::uint64_t x) {
  x = (x ^ (x >> 31) ^ (x >> 62)) * 0x319642b2d24d8ec3u;
  x = (x ^ (x >> 27) ^ (x >> 54)) * 0x96de1b173f119089u;
  x = x ^ (x >> 30) ^ (x >> 60);
  return x - 0x9e3779b97f4a7c15u;
}
std::uint64_t Mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

class Masks {
 public:
  explicit Masks(const std::string& key) : key_(key) {}

  std::uint64_t Number(std::string_view kind, std::string_view of) const {
    unsigned char out[16];
    crypto_generichash_state state;
    crypto_generichash_init(&state, reinterpret_cast<const unsigned char*>(key_.data()),
                            key_.size(), sizeof out);
    for (const std::string_view part : {kind, std::string_view("\0", 1), of})
      crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                                part.size());
    crypto_generichash_final(&state, out, sizeof out);
    std::uint64_t n = 0;
    for (int i = 0; i < 8; ++i) n = n << 8 | out[i];
    return n;
  }
  std::string Name(const char* kind, std::string_view of) const {
    char text[24];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(Number(kind, of)));
    return std::string(kind) + "-" + text;
  }
  std::uint64_t Request(std::uint64_t id) const { return Number("request", std::to_string(id)); }

 private:
  std::string key_;
};

// What ReadSite uses; all else is dropped, as nobody knows what it tells.
bool IsUsed(std::string_view path) {
  static constexpr std::string_view kWhole[] = {
      "Zones",        "Models",         "Balancers",      "Ordinal",
      "Locality",     "RoundMs",        "OverShareWorth", "WorthBy",
      "WeightSource", "MembershipMode", "Accounts.count", "RequestClasses.count"};
  static constexpr std::string_view kBegin[] = {"Limits.", "Prices.", "Contract.", "ObjectiveMix.",
                                                "FamilyInfo."};
  static constexpr std::string_view kEnd[] = {
      ".Name",  ".QuotaRps",   ".Effect", ".KeyScope",  ".WindowMs",
      ".AimMs", ".DeadlineMs", ".Credit", ".LateValue", ".AimStretch"};
  const auto begins = [&](std::string_view p) { return path.starts_with(p); };
  if (std::find(std::begin(kWhole), std::end(kWhole), path) != std::end(kWhole)) return true;
  if (begins("Accounts.") || begins("RequestClasses."))
    return std::any_of(std::begin(kEnd), std::end(kEnd),
                       [&](std::string_view e) { return path.ends_with(e); });
  return std::any_of(std::begin(kBegin), std::end(kBegin), begins);
}

std::string MaskList(const Masks& masks, const char* kind, Text list) {
  std::string out;
  for (const Text name : dispatch::Split(list, ','))
    out += (out.empty() ? "" : ",") + masks.Name(kind, name);
  return out;
}

dispatch::Conf::Values MaskSettings(const Masks& masks, const dispatch::Conf::Values& settings) {
  dispatch::Conf::Values out;
  for (const auto& [path, value] : settings) {
    if (!IsUsed(path)) continue;
    std::string text = value;
    if (path == "Zones" || path == "Locality") text = MaskList(masks, "zone", value);
    if (path == "Models") text = MaskList(masks, "kind", value);
    if (path.ends_with(".Name"))
      text = masks.Name(path.starts_with("Accounts.") ? "tenant" : "class", value);
    out[path] = text;
  }
  return out;
}

}  // namespace

Anonymised Anonymise(const std::string& path, const std::string& key) {
  if (sodium_init() < 0) throw Unreadable("the crypto library does not start");
  const Masks masks(key);
  const std::string bytes = ReadFile(path);

  // First what there is: all identities, and whether jobs have keys.
  std::set<std::uint64_t> identities;
  bool keyed = false;
  {
    Segment first(bytes, path);
    dispatch::Dispatcher dispatcher = first.Restore();
    dispatch::Checkpoint::ReplaceIds(
        &dispatcher, [](std::uint64_t id) { return id; },
        [&](std::uint64_t identity) { return identities.insert(identity), identity; }, &keyed);
    Turn turn;
    while (first.Next(&turn))
      for (const Event& e : turn.events) {
        if (const auto* list = std::get_if<dispatch::WorkerList>(&e))
          for (const auto& entry : list->entries) identities.insert(entry.identity);
        if (const auto* arrived = std::get_if<dispatch::RequestArrived>(&e))
          keyed = keyed || arrived->key.has_value();
      }
    MustBeWhole(first);
    if (!first.ending())
      throw Unreadable(path + ": it was cut off; make it whole with capture cut");
  }
  // Identities only order the workers: others in the same order do as well, but for keyed jobs,
  // each of which sees an order of its own.
  std::map<std::uint64_t, std::uint64_t> renamed;
  if (!keyed) {
    const std::uint64_t zero = Mix(0);
    std::vector<std::pair<std::uint64_t, std::uint64_t>> by_rank;
    std::set<std::uint64_t> places;
    by_rank.reserve(identities.size());
    for (const std::uint64_t i : identities) by_rank.emplace_back(Mix(i ^ zero), i);
    for (std::uint64_t i = 0; places.size() < identities.size(); ++i)
      places.insert(masks.Number("identity", std::to_string(i)));
    std::sort(by_rank.begin(), by_rank.end());
    auto place = places.begin();
    for (const auto& [rank, identity] : by_rank) renamed[identity] = Unmix(*place++) ^ zero;
  }
  const auto identity = [&](std::uint64_t i) { return keyed ? i : renamed.at(i); };
  const auto request = [&](std::uint64_t id) { return masks.Request(id); };

  Segment segment(bytes, path);
  dispatch::Dispatcher dispatcher = segment.Restore();
  Origin origin = segment.origin();
  origin.node = masks.Name("node", origin.node);
  origin.settings = MaskSettings(masks, origin.settings);
  for (std::string& w : origin.workers) w = masks.Name("worker", w);
  origin.edited = true;
  std::string state;
  if (segment.checkpoint()) {
    dispatch::Checkpoint::ReplaceIds(&dispatcher, request, identity, nullptr);
    state = dispatch::Checkpoint::Save(dispatcher);
  }
  SegmentWriter writer(origin, segment.checkpoint() ? &state : nullptr);
  Turn turn;
  while (segment.Next(&turn)) {
    turn.mark.clear();
    for (std::string& w : turn.workers) w = masks.Name("worker", w);
    for (Note& n : turn.notes)
      if (!n.id.empty()) n.id = masks.Name("job", n.id);
    const auto rename = [&](auto& v) {
      if constexpr (requires { v.request; }) v.request = request(v.request);
      if constexpr (requires { v.entries; })
        for (auto& entry : v.entries) entry.identity = identity(entry.identity);
      if constexpr (requires { v.data; }) v.data.assign(v.data.size(), '\0');
    };
    for (Event& e : turn.events) std::visit(rename, e);
    for (Action& a : turn.actions) std::visit(rename, a);
    writer.Add(turn);
  }
  Anonymised result{writer.Finish(segment.ending()->reason), keyed};

  Segment before(bytes, path), after(result.bytes, path + " anonymised");
  const bool was = !Replay(&before, {}).difference, is = !Replay(&after, {}).difference;
  if (was && !is) throw Unreadable(path + ": it would not replay identically without its names");
  return result;
}

// ---------------------------------------------------------------- import-tap

namespace {

struct TapTurn {
  std::size_t batch = 0;
  Micros now = 0;
  std::vector<Event> events;
  std::vector<Action> actions;  // of this build
  dispatch::Names workers;      // new ones
};

// Keeps what one life of one instance was told.
class Watch : public dispatch::WireObserver {
 public:
  Watch(std::uint64_t instance, std::uint64_t life) : instance_(instance), life_(life) {}

  void OnStart(std::uint64_t node, std::uint64_t seed, Micros now,
               const dispatch::Conf::Values& settings) override {
    if (node != instance_ || ++lives_ != life_) return;
    origin.node = "instance-" + std::to_string(node);
    origin.seed = seed;
    origin.clock = now;
    origin.settings = settings;
    found = true;
  }
  void OnTurn(std::uint64_t node, std::size_t batch, Micros now, const std::vector<Event>& events,
              const std::vector<Action>& actions, const dispatch::Names& workers) override {
    if (node != instance_ || lives_ != life_) return;
    TapTurn turn{batch, now, events, actions, {}};
    turn.workers.assign(workers.begin() + static_cast<std::ptrdiff_t>(names.size()), workers.end());
    names = workers;
    turns.push_back(std::move(turn));
  }

  Origin origin;
  bool found = false;
  std::vector<TapTurn> turns;
  dispatch::Names names;

 private:
  std::uint64_t instance_, life_, lives_ = 0;
};

struct Frames {
  std::string in, out;
};

// ">> process N, B bytes", B bytes; "<<" for the replies.
std::map<std::uint64_t, Frames> ReadFrames(std::string_view tap, const std::string& name) {
  std::map<std::uint64_t, Frames> processes;
  std::size_t at = 0;
  while (at < tap.size()) {
    const std::size_t end = tap.find('\n', at);
    const std::string_view line = tap.substr(at, end - at);
    const bool in = line.starts_with(">> process ");
    const std::size_t comma = line.find(", ");
    if (end == std::string_view::npos || (!in && !line.starts_with("<< process ")) ||
        comma == std::string_view::npos || !line.ends_with(" bytes"))
      throw Unreadable(name + ": byte " + std::to_string(at) + " begins no frame of a tap");
    try {
      const auto process =
          dispatch::ParseNumber<std::uint64_t>(line.substr(11, comma - 11), "process");
      const auto size = dispatch::ParseNumber<std::uint64_t>(
          line.substr(comma + 2, line.size() - comma - 8), "length");
      if (size > tap.size() - end - 1) throw dispatch::Malformed("cut off inside a frame");
      (in ? processes[process].in : processes[process].out) += tap.substr(end + 1, size);
      at = end + 1 + size;
    } catch (const dispatch::Malformed& wrong) {
      throw Unreadable(name + ": byte " + std::to_string(at) + ": " + wrong.what());
    }
  }
  return processes;
}

// A recorded reply line as an action; nothing for a line of the log.
std::optional<Action> ReadReply(const std::vector<Text>& words,
                                const std::map<std::string, dispatch::WorkerId, std::less<>>& ids) {
  const auto id = [&] {
    return dispatch::ParseNumber<dispatch::RequestId>(words.at(2), "request id", 16);
  };
  const auto worker = [&] {
    const auto it = ids.find(words.at(2));
    if (it == ids.end()) throw dispatch::Malformed("an executor that was never listed");
    return it->second;
  };
  const Text verb = words.at(0);
  if (verb == "hand_off") {
    const auto it = ids.find(words.at(3));
    if (it == ids.end()) throw dispatch::Malformed("an executor that was never listed");
    return dispatch::Send{id(), it->second};
  }
  if (verb == "overload_reply")
    return dispatch::Refuse{id(), words.size() > 3 ? dispatch::ParseMillis(words[3], "time") : 0};
  if (verb == "give_up") return dispatch::Fail{id()};
  if (verb == "withdraw")
    return dispatch::Cancel{id(), dispatch::ParseNumber<int>(words.at(3), "attempt")};
  if (verb == "remind") return dispatch::SetTimer{dispatch::ParseMillis(words.at(2), "time")};
  if (verb == "touch") return dispatch::Probe{worker()};
  if (verb == "follow") return dispatch::Subscribe{};
  if (verb == "log") return std::nullopt;
  throw dispatch::Malformed("a reply not known here: " + dispatch::Quote(verb));
}

}  // namespace

Imported ImportTap(std::string_view tap, const std::string& name, std::uint64_t instance,
                   std::uint64_t life, const std::string& build, std::uint64_t policy_hash) {
  for (const auto& [process, frames] : ReadFrames(tap, name)) {
    Watch watch(instance, life);
    std::istringstream in(frames.in);
    std::ostringstream out, err;
    if (dispatch::ServeWire(in, out, err, &watch) != 0)
      throw Unreadable(name + ": process " + std::to_string(process) + ": " + err.str());
    if (!watch.found) continue;

    // The recorded replies, by batch.
    std::vector<std::vector<Text>> batches(1);
    for (Text line : dispatch::Split(frames.out, '\n')) {
      if (line == "end")
        batches.emplace_back();
      else
        batches.back().push_back(line);
    }
    const dispatch::Site site = watch.origin.Site();
    Imported result;
    watch.origin.build = build;
    watch.origin.policy_hash = policy_hash;
    watch.origin.edited = true;
    SegmentWriter writer(watch.origin, nullptr);
    std::map<std::string, dispatch::WorkerId, std::less<>> ids;
    dispatch::Names names;
    const std::string number = std::to_string(instance);
    for (TapTurn& t : watch.turns) {
      for (const std::string& w : t.workers) {
        ids.emplace(w, static_cast<dispatch::WorkerId>(names.size()));
        names.push_back(w);
      }
      if (t.batch >= batches.size() || batches[t.batch].empty()) {
        if (t.batch + 1 >= batches.size()) break;  // the tap ends before the reply
      }
      Turn turn;
      turn.now = t.now;
      turn.workers = t.workers;
      for (const Event& e : t.events) {
        Note& note = turn.notes.emplace_back();
        if (const auto* arrived = std::get_if<dispatch::RequestArrived>(&e)) {
          char text[24];
          std::snprintf(text, sizeof text, "%016llx",
                        static_cast<unsigned long long>(arrived->request));
          note.id = text;
        }
      }
      for (const Text line : batches[t.batch]) {
        const std::vector<Text> words = dispatch::Split(line, ' ');
        if (words.size() < 2 || words[1] != number) continue;
        std::optional<Action> action;
        try {
          action = ReadReply(words, ids);
        } catch (const std::exception& wrong) {
          throw Unreadable(name + ": reply '" + std::string(line) + "': " + wrong.what());
        }
        if (!action)  // a line's figures are rounded on the wire: this build's are taken
          for (const Action& a : t.actions)
            if (const auto* log = std::get_if<dispatch::LogLine>(&a);
                log != nullptr && line.ends_with(" " + dispatch::FormatLogLine(*log, site, names)))
              action = a;
        if (action)
          turn.actions.push_back(*action);
        else
          ++result.log_lines_lost;
      }
      turn.events = std::move(t.events);
      result.identical = result.identical && turn.actions == t.actions;
      writer.Add(turn);
      ++result.turns;
    }
    result.bytes = writer.Finish("imported");
    return result;
  }
  throw Unreadable(name + ": instance " + std::to_string(instance) + " has no life " +
                   std::to_string(life) + " there");
}

}  // namespace pearreach::capture
