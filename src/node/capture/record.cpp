#include "node/capture/record.h"

#include <google/protobuf/arena.h>

#include <cmath>
#include <cstdio>
#include <limits>

#include "node/capture/capture.pb.h"

namespace pearreach::capture {
namespace {

using dispatch::Action;
using dispatch::Event;

// A record's kind is the place among the events, or actions, and one more.
static_assert(wire::EventKind_MAX == std::variant_size_v<Event>);
static_assert(wire::ActionKind_MAX == std::variant_size_v<Action>);

// What the module may be handed: sums of such times and figures cannot overflow in it.
constexpr Micros kMaxTime = Micros{1} << 60;
constexpr Micros kMaxHint = 10'000'000'000'000'000;  // what the wire lets through
constexpr double kMaxFigure = 1e15;

bool Within(Micros t, Micros most) { return t >= -most && t <= most; }
// Times are written from the turn on, which is short.
bool Plus(Micros a, std::int64_t b, Micros* sum) {
  return !__builtin_add_overflow(a, b, sum) && Within(*sum, kMaxTime);
}

struct EventWriter {
  wire::Event* out;
  Micros now;

  void Attempt(std::uint64_t request, int attempt, std::uint32_t worker) {
    out->set_request(request);
    out->set_attempt(attempt);
    out->set_worker(worker);
  }
  void Load(const dispatch::LoadReport& load) {
    if (load.free_slots) out->set_free_slots(*load.free_slots);
    if (load.in_flight) out->set_in_flight(*load.in_flight);
  }
  void operator()(const dispatch::WorkerList& e) {
    out->set_form(static_cast<std::uint32_t>(e.form));
    for (const dispatch::WorkerEntry& entry : e.entries) {
      wire::Entry* to = out->add_entries();
      to->set_worker(entry.worker);
      to->set_identity(entry.identity);
      to->set_zone(entry.zone);
      to->set_kind(entry.kind);
      to->set_cell(entry.cell);
      to->set_health(static_cast<std::uint32_t>(entry.health));
      to->set_weight(entry.weight);
      to->set_ready_at(entry.ready_at);
    }
  }
  void operator()(const dispatch::RequestArrived& e) {
    out->set_request(e.request);
    out->set_cls(e.cls);
    out->set_tenant(e.tenant);
    out->set_due_in(e.due - now);
    out->set_slots(e.slots);
    out->set_is_repeat(e.is_repeat);
    if (e.hint) out->set_hint(*e.hint);
    if (e.key) out->set_key(*e.key);
    if (e.over_quota) out->set_over_share(*e.over_quota);
    for (const dispatch::WorkerId worker : e.preferred) out->add_preferred(worker);
  }
  void operator()(const dispatch::AttemptAccepted& e) { Attempt(e.request, e.attempt, e.worker); }
  void operator()(const dispatch::AttemptStarted& e) { Attempt(e.request, e.attempt, e.worker); }
  void operator()(const dispatch::AttemptProgress& e) {
    Attempt(e.request, e.attempt, e.worker);
    out->set_share(e.share_done);
  }
  void operator()(const dispatch::StreamBegan& e) { Attempt(e.request, e.attempt, e.worker); }
  void operator()(const dispatch::AttemptEnded& e) {
    Attempt(e.request, e.attempt, e.worker);
    out->set_outcome(static_cast<std::uint32_t>(e.outcome));
    out->set_latency(e.latency);
    out->set_settled(e.settled);
    Load(e.load);
  }
  void operator()(const dispatch::RequestAbandoned& e) { out->set_request(e.request); }
  void operator()(const dispatch::TimerFired&) {}
  void operator()(const dispatch::ProbeEnded& e) {
    out->set_worker(e.worker);
    out->set_good(e.good);
    Load(e.load);
  }
  void operator()(const dispatch::PeerMessage& e) {
    out->set_from(e.from);
    out->set_data(e.data);
  }
  void operator()(const dispatch::AttemptAdopted& e) {
    Attempt(e.request, 0, e.worker);
    out->set_sent_ago(now - e.sent);
    out->set_started(e.started);
    out->set_was(static_cast<std::uint32_t>(e.state));
  }
  void operator()(const dispatch::HealthVerdict& e) {
    out->set_worker(e.worker);
    out->set_out(e.ejected);
    out->set_trial(e.trial);
    out->set_cold(e.cold);
    out->set_judged_ago(now - e.observed_at);
    for (const int witness : e.witnesses) out->add_witnesses(witness);
  }
  void operator()(const dispatch::Knowledge& e) {
    wire::Knowledge* to = out->mutable_knowledge();
    for (const dispatch::PoolKnowledge& p : e.pools) {
      wire::PoolKnowledge* k = to->add_pools();
      k->set_pool(p.pool);
      k->set_limit(p.limit);
      k->set_found(p.proven_limit);
      k->set_slots_seen(p.slots_seen);
      k->set_ran(p.mean_running);
      k->set_worked(p.mean_work);
      k->set_tell(p.start_report_delay);
    }
    for (const dispatch::WorkerKnowledge& w : e.workers) {
      wire::WorkerKnowledge* k = to->add_workers();
      k->set_worker(w.worker);
      k->set_slowness(w.slowness);
      k->set_failures(w.failures);
      k->set_silent(w.silent);
      if (w.died_at != 0) k->set_died_ago(now - w.died_at);
      for (const auto& [at, work] : w.cold_sends) {
        wire::ColdSend* send = k->add_cold_sends();
        send->set_ago(now - at);
        send->set_work(work);
      }
    }
    for (const dispatch::ClassKnowledge& c : e.classes) Figure(c.cls, c.work, to->add_classes());
    for (const dispatch::TenantKnowledge& t : e.tenants)
      Figure(t.tenant, t.tokens, to->add_tenants());
  }
  static void Figure(int index, double value, wire::Figure* to) {
    to->set_index(index);
    to->set_value(value);
  }
};

struct ActionWriter {
  wire::Action* out;
  Micros now;

  void operator()(const dispatch::Send& a) {
    out->set_request(a.request);
    out->set_worker(a.worker);
  }
  void operator()(const dispatch::Refuse& a) {
    out->set_request(a.request);
    out->set_time(a.retry_after);
  }
  void operator()(const dispatch::Fail& a) { out->set_request(a.request); }
  void operator()(const dispatch::Cancel& a) {
    out->set_request(a.request);
    out->set_attempt(a.attempt);
  }
  void operator()(const dispatch::SetTimer& a) { out->set_time(a.at - now); }
  void operator()(const dispatch::Probe& a) { out->set_worker(a.worker); }
  void operator()(const dispatch::Subscribe&) {}
  void operator()(const dispatch::LogLine& a) {
    out->set_what(static_cast<std::uint32_t>(a.kind));
    out->set_worker(a.worker);
    out->set_pool(a.pool);
    out->set_value(a.value);
  }
};

// Reads events back; what makes no sense is a word in `wrong`.
class EventReader {
 public:
  EventReader(Micros now, std::size_t workers) : now_(now), workers_(workers) {}

  Event Read(const wire::Event& in) {
    switch (in.kind()) {
      case wire::WORKER_LIST:
        return List(in);
      case wire::REQUEST_ARRIVED: {
        dispatch::RequestArrived e;
        e.request = in.request();
        e.cls = in.cls();
        e.tenant = in.tenant();
        Must(Plus(now_, in.due_in(), &e.due), "a due time");
        e.slots = Real(in.slots());
        e.is_repeat = in.is_repeat();
        if (in.has_hint()) e.hint = in.hint();
        Must(Within(e.hint.value_or(0), kMaxHint), "a hint out of range");
        if (in.has_key()) e.key = in.key();
        if (in.has_over_share()) e.over_quota = in.over_share();
        for (const std::uint32_t worker : in.preferred()) e.preferred.push_back(Worker(worker));
        return e;
      }
      case wire::ATTEMPT_TAKEN:
        return Attempt<dispatch::AttemptAccepted>(in);
      case wire::ATTEMPT_STARTED:
        return Attempt<dispatch::AttemptStarted>(in);
      case wire::ATTEMPT_PROGRESS: {
        auto e = Attempt<dispatch::AttemptProgress>(in);
        e.share_done = Real(in.share());
        return e;
      }
      case wire::STREAM_BEGAN:
        return Attempt<dispatch::StreamBegan>(in);
      case wire::ATTEMPT_ENDED: {
        auto e = Attempt<dispatch::AttemptEnded>(in);
        e.outcome = Enum<dispatch::Outcome>(in.outcome(), 7);
        e.latency = in.latency();
        e.settled = in.settled();
        e.load = Load(in);
        return e;
      }
      case wire::REQUEST_LAPSED:
        return dispatch::RequestAbandoned{in.request()};
      case wire::TIMER_FIRED:
        return dispatch::TimerFired{};
      case wire::PROBE_ENDED: {
        dispatch::ProbeEnded e;
        e.worker = Worker(in.worker());
        e.good = in.good();
        e.load = Load(in);
        return e;
      }
      case wire::PEER_MESSAGE:
        return dispatch::PeerMessage{in.from(), in.data()};
      case wire::ATTEMPT_ADOPTED: {
        dispatch::AttemptAdopted e;
        e.request = in.request();
        e.worker = Worker(in.worker());
        Must(Within(in.sent_ago(), kMaxTime) && Plus(now_, -in.sent_ago(), &e.sent), "a time");
        e.started = in.started();
        e.state = Enum<dispatch::AttemptAdopted::State>(in.was(), 2);
        return e;
      }
      case wire::KNOWLEDGE:
        return Knowledge(in.knowledge());
      case wire::JUDGEMENT: {
        dispatch::HealthVerdict e;
        e.worker = Worker(in.worker());
        e.ejected = in.out();
        e.trial = in.trial();
        e.cold = in.cold();
        e.observed_at = Ago(in.judged_ago());
        e.witnesses.assign(in.witnesses().begin(), in.witnesses().end());
        return e;
      }
      default:
        Must(false, "an event of a kind not known here");
        return dispatch::TimerFired{};
    }
  }

  Action Read(const wire::Action& in) {
    switch (in.kind()) {
      case wire::SEND:
        return dispatch::Send{in.request(), Worker(in.worker())};
      case wire::REFUSE:
        return dispatch::Refuse{in.request(), in.time()};
      case wire::FAIL:
        return dispatch::Fail{in.request()};
      case wire::CANCEL:
        return dispatch::Cancel{in.request(), in.attempt()};
      case wire::SET_TIMER: {
        dispatch::SetTimer a;
        Must(Plus(now_, in.time(), &a.at), "a timer");
        return a;
      }
      case wire::PROBE:
        return dispatch::Probe{Worker(in.worker())};
      case wire::SUBSCRIBE:
        return dispatch::Subscribe{};
      case wire::LOG_LINE: {
        const auto what = Enum<dispatch::LogLine::Kind>(in.what(), 4);
        const bool names = what == dispatch::LogLine::Kind::kWorkerSilent ||
                           what == dispatch::LogLine::Kind::kWorkerRecovered;
        return dispatch::LogLine{what, names ? Worker(in.worker()) : in.worker(), in.pool(),
                                 Real(in.value())};
      }
      default:
        Must(false, "an action of a kind not known here");
        return dispatch::Subscribe{};
    }
  }

  const char* wrong() const { return wrong_; }

 private:
  void Must(bool holds, const char* what) {
    if (!holds && wrong_ == nullptr) wrong_ = what;
  }
  double Real(double v) {
    Must(std::abs(v) <= kMaxFigure, "a number that is none");
    return v;
  }
  // Ids are dense: without this check one record could ask the module for gigabytes.
  dispatch::WorkerId Worker(std::uint32_t id) {
    Must(id < workers_, "a worker without a name");
    return id;
  }
  template <typename T>
  T Enum(std::uint32_t v, std::uint32_t last) {
    Must(v <= last, "a value not known here");
    return static_cast<T>(v <= last ? v : 0);
  }
  template <typename T>
  T Attempt(const wire::Event& in) {
    T e;
    e.request = in.request();
    e.attempt = in.attempt();
    e.worker = Worker(in.worker());
    return e;
  }
  dispatch::LoadReport Load(const wire::Event& in) {
    dispatch::LoadReport load;
    if (in.has_free_slots()) load.free_slots = Real(in.free_slots());
    if (in.has_in_flight()) load.in_flight = Real(in.in_flight());
    return load;
  }
  Micros Ago(std::int64_t ago) {
    Micros at = 0;
    Must(Within(ago, kMaxTime) && Plus(now_, -ago, &at), "a time");
    return at;
  }
  Event Knowledge(const wire::Knowledge& in) {
    dispatch::Knowledge e;
    for (const wire::PoolKnowledge& p : in.pools()) {
      e.pools.push_back({p.pool(), Real(p.limit()), Real(p.found()), Real(p.slots_seen()),
                         Real(p.ran()), Real(p.worked()), Real(p.tell())});
      Must(p.ran() >= 0 && p.worked() >= 0, "a running time below nought");
    }
    for (const wire::WorkerKnowledge& w : in.workers()) {
      dispatch::WorkerKnowledge k;
      k.worker = Worker(w.worker());
      k.slowness = Real(w.slowness());
      k.failures = Real(w.failures());
      k.silent = w.silent();
      if (w.has_died_ago()) k.died_at = Ago(w.died_ago());
      for (const wire::ColdSend& s : w.cold_sends())
        k.cold_sends.emplace_back(Ago(s.ago()), Real(s.work()));
      e.workers.push_back(std::move(k));
    }
    for (const wire::Figure& f : in.classes()) e.classes.push_back({f.index(), Real(f.value())});
    for (const wire::Figure& f : in.tenants()) e.tenants.push_back({f.index(), Real(f.value())});
    return e;
  }
  Event List(const wire::Event& in) {
    dispatch::WorkerList list;
    list.form = Enum<dispatch::WorkerList::Form>(in.form(), 2);
    for (const wire::Entry& entry : in.entries()) {
      dispatch::WorkerEntry e;
      e.worker = Worker(entry.worker());
      e.identity = entry.identity();
      e.zone = entry.zone();
      e.kind = entry.kind();
      e.cell = entry.cell();
      e.health = Enum<dispatch::Health>(entry.health(), 2);
      e.weight = Real(entry.weight());
      e.ready_at = entry.ready_at();
      Must(Within(e.ready_at, kMaxTime), "a start out of range");
      list.entries.push_back(e);
    }
    return list;
  }

  Micros now_;
  std::size_t workers_;
  const char* wrong_ = nullptr;
};

}  // namespace

dispatch::Site Origin::Site() const {
  dispatch::Site site = dispatch::ReadSite(dispatch::Conf(settings));
  site.settings.reports_accept = tells_taken;
  return site;
}

std::string WriteOrigin(const Origin& o) {
  wire::Head head;
  head.set_node(o.node);
  head.set_build(o.build);
  head.set_policy_hash(o.policy_hash);
  head.set_seed(o.seed);
  head.set_clock(o.clock);
  head.set_unix_us(o.unix_us);
  head.set_first_turn(o.first_turn);
  for (const auto& [path, value] : o.settings) {
    wire::Setting* to = head.add_settings();
    to->set_path(path);
    to->set_value(value);
  }
  head.set_tells_taken(o.tells_taken);
  head.set_layout(o.layout);
  for (const std::string& w : o.workers) head.add_workers(w);
  head.set_segment(o.segment);
  head.set_edited(o.edited);
  return head.SerializeAsString();
}

bool ReadOrigin(std::string_view bytes, Origin* o) {
  wire::Head head;
  if (!head.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
  o->node = head.node();
  o->build = head.build();
  o->policy_hash = head.policy_hash();
  o->seed = head.seed();
  o->clock = head.clock();
  o->unix_us = head.unix_us();
  o->first_turn = head.first_turn();
  for (const wire::Setting& s : head.settings()) o->settings[s.path()] = s.value();
  o->tells_taken = head.tells_taken();
  o->layout = head.layout();
  o->workers.assign(head.workers().begin(), head.workers().end());
  o->segment = head.segment();
  o->edited = head.edited();
  return true;
}

std::string WriteEnding(const Ending& e) {
  wire::End end;
  end.set_turns(e.turns);
  end.set_events(e.events);
  end.set_actions(e.actions);
  end.set_reason(e.reason);
  return end.SerializeAsString();
}

bool ReadEnding(std::string_view bytes, Ending* e) {
  wire::End end;
  if (!end.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
  *e = {end.turns(), end.events(), end.actions(), end.reason()};
  return true;
}

// ---------------------------------------------------------------- turns

struct TurnWriter::Scratch {
  wire::Turn turn;
};

TurnWriter::TurnWriter() : scratch_(std::make_unique<Scratch>()) {}
TurnWriter::~TurnWriter() = default;

void TurnWriter::Add(Micros before, Micros now, std::span<const Event> events,
                     std::span<const Note> notes, std::span<const Action> actions,
                     std::span<const std::string> workers, std::string_view mark,
                     std::int64_t unix_us) {
  wire::Turn& turn = scratch_->turn;
  turn.Clear();
  turn.set_elapsed(now - before);
  for (std::size_t i = 0; i < events.size(); ++i) {
    wire::Event* out = turn.add_events();
    out->set_kind(static_cast<wire::EventKind>(events[i].index() + 1));
    std::visit(EventWriter{out, now}, events[i]);
    if (i >= notes.size()) continue;
    const Note& note = notes[i];
    if (note.seen > 0 && note.seen < now) out->set_age(static_cast<std::uint32_t>(now - note.seen));
    if (!note.id.empty()) out->set_id(note.id);
    out->set_version(note.version);
  }
  for (const Action& action : actions) {
    wire::Action* out = turn.add_actions();
    out->set_kind(static_cast<wire::ActionKind>(action.index() + 1));
    std::visit(ActionWriter{out, now}, action);
  }
  for (const std::string& name : workers) turn.add_workers(name);
  if (!mark.empty()) turn.set_mark(std::string(mark));
  turn.set_unix_us(unix_us);
  // A block's bytes are those of a message Block: field 1, its length, the turn.
  const std::size_t size = turn.ByteSizeLong();
  bytes_ += '\x0a';
  for (std::size_t left = size;; left >>= 7) {
    bytes_ += static_cast<char>((left & 0x7f) | (left > 0x7f ? 0x80 : 0));
    if (left <= 0x7f) break;
  }
  const std::size_t at = bytes_.size();
  bytes_.resize(at + size);
  turn.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(bytes_.data() + at));
}

std::string TurnWriter::Take() { return std::exchange(bytes_, {}); }

std::string ReadTurns(std::string_view bytes, Micros* before, std::size_t* known,
                      std::vector<Turn>* turns) {
  google::protobuf::Arena arena;
  auto* block = google::protobuf::Arena::CreateMessage<wire::Block>(&arena);
  if (!block->ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return "its records cannot be read";
  for (const wire::Turn& in : block->turns()) {
    Turn& turn = turns->emplace_back();
    if (in.elapsed() < 0 || !Within(*before, kMaxTime) || !Plus(*before, in.elapsed(), &turn.now))
      return "its clock runs backwards";
    *before = turn.now;
    turn.workers.assign(in.workers().begin(), in.workers().end());
    *known += turn.workers.size();
    turn.mark = in.mark();
    turn.unix_us = in.unix_us();
    EventReader reader(turn.now, *known);
    turn.events.reserve(static_cast<std::size_t>(in.events_size()));
    for (const wire::Event& e : in.events()) {
      turn.events.push_back(reader.Read(e));
      turn.notes.push_back({turn.now - static_cast<Micros>(e.age()), e.id(), e.version()});
    }
    for (const wire::Action& a : in.actions()) turn.actions.push_back(reader.Read(a));
    if (reader.wrong() != nullptr) return std::string("it holds ") + reader.wrong();
  }
  return "";
}

// ---------------------------------------------------------------- words

namespace {

std::string NameOf(const dispatch::Names& names, std::int64_t at) {
  if (at < 0) return "none";
  const auto place = static_cast<std::size_t>(at);
  return place < names.size() ? names[place] : "#" + std::to_string(at);
}
std::string Ms(Micros t) {
  char text[40];
  std::snprintf(text, sizeof text, "%.3f ms", static_cast<double>(t) / 1000);
  return text;
}
std::string Figure(double v) {
  char text[40];
  std::snprintf(text, sizeof text, "%.3g", v);
  return text;
}
std::string LoadWords(const dispatch::LoadReport& load) {
  std::string text;
  if (load.free_slots) text += ", reports " + Figure(*load.free_slots) + " slots free";
  if (load.in_flight) text += ", reports " + Figure(*load.in_flight) + " in flight";
  return text;
}

struct EventWords {
  const Note& note;
  const dispatch::Site& site;
  const dispatch::Names& workers;

  std::string Attempt(const char* what, std::uint64_t request, int attempt,
                      std::uint32_t worker) const {
    return std::string(what) + ": job " + std::to_string(request) + " attempt " +
           std::to_string(attempt) + " at " + NameOf(workers, worker);
  }
  std::string operator()(const dispatch::WorkerList& e) const {
    static constexpr const char* kForms[] = {"changes", "complete", "failed"};
    static constexpr const char* kHealth[] = {"in service", "draining", "gone"};
    std::string text = std::string("list (") + kForms[static_cast<int>(e.form)] + ", version " +
                       std::to_string(note.version) + "):";
    for (const dispatch::WorkerEntry& w : e.entries)
      text += " " + NameOf(workers, w.worker) + " " + kHealth[static_cast<int>(w.health)] + ";";
    return text;
  }
  std::string operator()(const dispatch::RequestArrived& e) const {
    return "arrived: job " + std::to_string(e.request) + (note.id.empty() ? "" : " " + note.id) +
           " of " + NameOf(site.classes, e.cls) + " for " + NameOf(site.tenants, e.tenant) + ", " +
           Figure(e.slots) + " slots, due in " + Ms(e.due - note.seen) +
           (e.over_quota.value_or(false) ? ", over its share" : "");
  }
  std::string operator()(const dispatch::AttemptAccepted& e) const {
    return Attempt("taken", e.request, e.attempt, e.worker);
  }
  std::string operator()(const dispatch::AttemptStarted& e) const {
    return Attempt("started", e.request, e.attempt, e.worker);
  }
  std::string operator()(const dispatch::AttemptProgress& e) const {
    return Attempt("progress", e.request, e.attempt, e.worker) + ", " + Figure(e.share_done);
  }
  std::string operator()(const dispatch::StreamBegan& e) const {
    return Attempt("answer begun", e.request, e.attempt, e.worker);
  }
  std::string operator()(const dispatch::AttemptEnded& e) const {
    return Attempt("ended", e.request, e.attempt, e.worker) + ": " +
           kOutcomes[static_cast<int>(e.outcome)] + " after " + Ms(e.latency) +
           (e.settled ? ", settled" : "") + LoadWords(e.load);
  }
  std::string operator()(const dispatch::RequestAbandoned& e) const {
    return "client gone: job " + std::to_string(e.request);
  }
  std::string operator()(const dispatch::TimerFired&) const { return "timer"; }
  std::string operator()(const dispatch::ProbeEnded& e) const {
    return "probe of " + NameOf(workers, e.worker) + (e.good ? ": good" : ": bad") +
           LoadWords(e.load);
  }
  std::string operator()(const dispatch::AttemptAdopted& e) const {
    static constexpr const char* kWas[] = {"may be running", "never ran", "may have run"};
    return "adopted: job " + std::to_string(e.request) + " at " + NameOf(workers, e.worker) +
           ", sent " + Ms(note.seen - e.sent) + " ago, " + kWas[static_cast<int>(e.state)];
  }
  std::string operator()(const dispatch::Knowledge& e) const {
    return "knowledge of an earlier process: " + std::to_string(e.pools.size()) + " pools, " +
           std::to_string(e.workers.size()) + " workers";
  }
  // "left out because n3 and n7 ..."
  std::string operator()(const dispatch::HealthVerdict& e) const {
    std::string nodes;
    for (std::size_t i = 0; i < e.witnesses.size(); ++i)
      nodes += (i == 0                        ? "n"
                : i + 1 == e.witnesses.size() ? " and n"
                                              : ", n") +
               std::to_string(e.witnesses[i]);
    const std::string name = NameOf(workers, e.worker);
    if (!e.ejected && !e.cold)
      return name + " is in use again: no word of others stands against it";
    return name + (e.ejected ? " left out because " : " taken for cold because ") + nodes +
           (e.cold ? " saw its process die " : " heard nothing good of it since ") +
           Ms(note.seen - e.observed_at) + " ago" +
           (e.trial ? "; this node tries it with one job" : "");
  }
  std::string operator()(const dispatch::PeerMessage& e) const {
    return "message of node " + std::to_string(e.from) + ", " + std::to_string(e.data.size()) +
           " bytes";
  }
};

struct ActionWords {
  const dispatch::Site& site;
  const dispatch::Names& workers;

  std::string operator()(const dispatch::Send& a) const {
    return "send job " + std::to_string(a.request) + " to " + NameOf(workers, a.worker);
  }
  std::string operator()(const dispatch::Refuse& a) const {
    return "refuse job " + std::to_string(a.request) + ", back in " + Ms(a.retry_after);
  }
  std::string operator()(const dispatch::Fail& a) const {
    return "fail job " + std::to_string(a.request);
  }
  std::string operator()(const dispatch::Cancel& a) const {
    return "cancel job " + std::to_string(a.request) + " attempt " + std::to_string(a.attempt);
  }
  std::string operator()(const dispatch::SetTimer& a) const { return "set timer at " + Ms(a.at); }
  std::string operator()(const dispatch::Probe& a) const {
    return "probe " + NameOf(workers, a.worker);
  }
  std::string operator()(const dispatch::Subscribe&) const { return "subscribe"; }
  std::string operator()(const dispatch::LogLine& a) const {
    using Kind = dispatch::LogLine::Kind;
    if (a.kind == Kind::kLimitCut && (a.pool < 0 || a.pool >= static_cast<int>(site.kinds.size())))
      return "log line of a pool that is none";
    return "log: " + dispatch::FormatLogLine(a, site, workers);
  }
};

}  // namespace

std::string Words(const Event& event, const Note& note, const dispatch::Site& site,
                  const dispatch::Names& workers) {
  return std::visit(EventWords{note, site, workers}, event);
}

std::string Words(const Action& action, const dispatch::Site& site,
                  const dispatch::Names& workers) {
  return std::visit(ActionWords{site, workers}, action);
}

}  // namespace pearreach::capture
