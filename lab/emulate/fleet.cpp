#include "lab/emulate/fleet.h"

#include <algorithm>
#include <cstdlib>
#include <unordered_map>
#include <utility>

namespace pearreach::lab {
namespace {

constexpr Micros kFallDown = 2 * kSecond;
constexpr Micros kMaxWatch = 60 * kSecond;

// The number behind "name=" in a query; -1: it is not there.
std::int64_t Query(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  return at == std::string::npos ? -1 : std::atoll(target.c_str() + at + name.size() + 1);
}

}  // namespace

// The list as one node is told it: changes come later to some than to others.
class EmulatedFleet::Discovery {
 public:
  using Told = std::function<void(const std::string& id, const std::string& entry)>;
  Discovery(const std::string& listen, Told told)
      : told_(std::move(told)),
        alarm_([this] { Answer(); }),
        server_(
            [this](const http::Message& m, const std::shared_ptr<Stream>& s) { return Take(m, s); },
            listen + ":0") {}
  std::string address() const { return server_.address(); }

  void Put(const std::string& id, const std::string& entry, Micros at) {
    coming_.insert({at, {id, entry}});
    alarm_.Set(coming_.begin()->first);
  }
  void Hold(bool held) {
    held_ = held;
    Answer();
  }

 private:
  struct Entry {
    std::uint64_t version = 0;
    std::string json;
  };
  struct Watch {
    std::weak_ptr<Stream> stream;
    std::uint64_t since = 0;
    Micros until = 0;
  };
  std::string Body(std::uint64_t since, bool full) const {
    std::string servers;
    for (const auto& [id, entry] : entries_) {
      if (!full && entry.version <= since) continue;
      servers += (servers.empty() ? "" : ",") + entry.json;
      if (told_) told_(id, entry.json);
    }
    return R"({"version":)" + std::to_string(version_) + R"(,"full":)" + (full ? "true" : "false") +
           R"(,"servers":[)" + servers + "]}";
  }
  std::string Take(const http::Message& m, const std::shared_ptr<Stream>& stream) {
    if (m.method != "GET" || !m.target.starts_with("/v1/endpoints"))
      return http::WriteResponse(404, {}, "", true);
    Answer();
    const std::int64_t since = Query(m.target, "since"), wait = Query(m.target, "timeout_ms");
    if (since < 0) return http::WriteResponse(200, {}, Body(0, true), true);
    if (static_cast<std::uint64_t>(since) < version_ || wait <= 0)
      return http::WriteResponse(200, {}, Body(static_cast<std::uint64_t>(since), false), true);
    watches_.push_back({stream, static_cast<std::uint64_t>(since),
                        Now() + std::min<Micros>(wait * kMs, kMaxWatch)});
    alarm_.Set(std::min(watches_.back().until,
                        coming_.empty() || held_ ? watches_.back().until : coming_.begin()->first));
    return "";
  }
  // Takes what has become known by now, and answers the watches that it or their time concerns.
  void Answer() {
    for (; !held_ && !coming_.empty() && coming_.begin()->first <= Now();
         coming_.erase(coming_.begin()))
      entries_[coming_.begin()->second.first] = {++version_, coming_.begin()->second.second};
    Micros next = coming_.empty() || held_ ? 0 : coming_.begin()->first;
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (it->since < version_ || it->until <= Now()) {
        if (const auto stream = it->stream.lock(); stream != nullptr && stream->open())
          stream->Write(http::WriteResponse(200, {}, Body(it->since, false), true));
        it = watches_.erase(it);
        continue;
      }
      if (next == 0 || it->until < next) next = it->until;
      ++it;
    }
    if (next != 0) alarm_.Set(next);
  }

  Told told_;
  bool held_ = false;
  std::uint64_t version_ = 0;
  std::map<std::string, Entry> entries_;
  std::multimap<Micros, std::pair<std::string, std::string>> coming_;
  std::vector<Watch> watches_;
  Alarm alarm_;
  HttpServer server_;
};

struct EmulatedFleet::Worker {
  explicit Worker(const WorkerSpec& spec) : model(spec) {}
  std::size_t index = 0;
  std::string id, kind;
  int zone = 0;
  WorkerModel model;
  std::unordered_map<std::uint64_t, Job> jobs;
  std::unordered_map<std::string, std::uint64_t> by_id;
  bool silent = false, draining = false;
  double errors = 0, times = 1;
  Micros drained_at = 0, busy_since = 0;
  std::int64_t started_ms = 0;
  double busy_sum = 0;
  std::vector<std::unique_ptr<NewsAgent>> agents;    // by node
  std::vector<std::unique_ptr<HttpServer>> servers;  // likewise
  std::vector<std::string> told_at;                  // likewise: the address that the list names
  std::unique_ptr<Alarm> next, back;
};

EmulatedFleet::EmulatedFleet(const FleetOptions& options)
    : options_(options),
      chance_(SeedOf(options.seed, 20, 0)),
      progress_([this] { Progress(); }),
      later_alarm_([this] { TellLater(); }) {
  const Scenario& s = options_.scenario;
  for (std::size_t n = 0; n < options_.nodes.size(); ++n)
    discoveries_.push_back(std::make_unique<Discovery>(
        options_.listen, [this, n](const std::string& id, const std::string& entry) {
          if (!options_.tell) return;
          const bool draining = entry.find(R"("state":"draining")") != std::string::npos;
          const std::size_t at = entry.find(R"("started_ms":)");
          options_.tell({"told", id, "", std::to_string(n), draining ? "draining" : "up",
                         std::atoll(entry.c_str() + at + 13)});
        }));
  double parts = 0;
  for (const KindSpec& k : s.kinds) parts += k.part;
  for (int i = 0; i < s.workers; ++i) {
    double at = (i + 0.5) / s.workers * parts;
    std::size_t kind = 0;
    while (at >= s.kinds[kind].part && kind + 1 < s.kinds.size()) at -= s.kinds[kind++].part;
    WorkerSpec spec = s.kinds[kind].worker;
    Chance chance(SeedOf(options_.seed, 6, static_cast<std::uint64_t>(i)));
    spec.speed *= 1 + s.kinds[kind].speed_spread * (2 * chance.Uniform() - 1);
    Worker* w = workers_.emplace_back(std::make_unique<Worker>(spec)).get();
    w->index = static_cast<std::size_t>(i);
    w->id = "s-" + std::to_string(i);
    w->kind = s.kinds[kind].name;
    w->zone = i % s.zones;
    w->next = std::make_unique<Alarm>([this, w] { Catch(w); });
    w->back = std::make_unique<Alarm>([this, w] {
      w->silent = false;
      w->model.Start(Now());
      w->started_ms = g_get_real_time() / 1000;
      Say("started", *w);
      Changed(w);
    });
    w->busy_since = Now();
    for (std::size_t n = 0; n < options_.nodes.size(); ++n) {
      w->agents.push_back(std::make_unique<NewsAgent>(options_.nodes[n]));
      w->servers.push_back(std::make_unique<HttpServer>(
          [this, w, n](const http::Message& m, const std::shared_ptr<Stream>& stream) {
            return Take(w, n, m, stream);
          },
          options_.listen + ":0"));
      const std::string at = w->servers.back()->address();
      w->told_at.push_back(options_.via ? options_.via(w->index, n, at) : at);
    }
    Changed(w);
  }
  began_ = Now();
  progress_.Set(Now() + kSecond);
}

EmulatedFleet::~EmulatedFleet() = default;

std::string EmulatedFleet::discovery(std::size_t node) const {
  return discoveries_.at(node)->address();
}

const WorkerModel& EmulatedFleet::model(std::size_t worker) const {
  return workers_.at(worker)->model;
}

// Each node hears of it in its own time; at the start at once.
void EmulatedFleet::Changed(Worker* w) {
  for (std::size_t n = 0; n < discoveries_.size(); ++n) {
    const std::string entry =
        R"({"id":")" + w->id + R"(","addr":")" + w->told_at[n] + R"(","zone":"z)" +
        std::to_string(w->zone) + R"(","kind":")" + w->kind + R"(","cell":0,"state":")" +
        (w->draining ? "draining" : "up") + R"(","weight":1.0,"started_ms":)" +
        std::to_string(w->started_ms) + "}";
    const Scenario& s = options_.scenario;
    const Micros wait =
        began_ == 0 ? 0
                    : s.notice_least +
                          static_cast<Micros>(chance_.Uniform() *
                                              static_cast<double>(s.notice_most - s.notice_least));
    discoveries_[n]->Put(w->id, entry, Now() + wait);
  }
}

Micros EmulatedFleet::DrawWork(const std::string& cls) {
  const ClassSpec* spec = &options_.scenario.classes.front();
  for (const ClassSpec& c : options_.scenario.classes)
    if (c.name == cls) spec = &c;
  const double size = spec->spread == ClassSpec::Spread::kExponential ? chance_.Exponential()
                      : spec->spread == ClassSpec::Spread::kPareto    ? chance_.Pareto(1.5)
                                                                      : 1;
  return std::max<Micros>(500, static_cast<Micros>(size * static_cast<double>(spec->work)));
}

std::string EmulatedFleet::Load(const Worker& w) const {
  return R"(,"load":{"x0":)" + std::to_string(static_cast<int>(w.model.free_slots())) + "}";
}

std::string EmulatedFleet::Take(Worker* w, std::size_t node, const http::Message& m,
                                const std::shared_ptr<Stream>& stream) {
  if (w->silent) return "";  // its connections stay open and say nothing
  if (!w->model.up()) {
    stream->Close();
    return "";
  }
  Catch(w);
  if (m.method == "DELETE") {
    const auto it = w->by_id.find(m.target.substr(m.target.rfind('/') + 1));
    if (it != w->by_id.end()) {
      const std::uint64_t key = it->second;
      w->model.Cancel(Now(), key);
      w->jobs.erase(key);
      w->by_id.erase(it);
      ++figures_.cancelled;
      Catch(w);
    }
    return http::WriteResponse(200, {}, "", true);
  }
  const std::string* id = m.Find("X-Request-ID");
  if (m.method != "POST" || id == nullptr) return http::WriteResponse(404, {}, "", true);
  if (w->by_id.contains(*id)) {
    ++figures_.second_copies;
    return http::WriteResponse(503, {{"X-Not-Processed", "1"}}, "", true);
  }
  if (w->draining && Now() > w->drained_at + options_.scenario.notice_most + kSecond)
    ++figures_.sent_while_drained;
  double slots = 1;
  if (const std::string* attrs = m.Find("X-Attrs"))
    if (const std::size_t at = attrs->find("slots="); at != std::string::npos)
      slots = std::max(1.0, std::strtod(attrs->c_str() + at + 6, nullptr));
  const std::string cls = m.target.substr(1, m.target.find('/', 1) - 1);
  const std::uint64_t key = ++last_key_;
  switch (w->model.Offer(Now(), key, slots,
                         static_cast<Micros>(w->times * static_cast<double>(DrawWork(cls))))) {
    case WorkerModel::Offered::kTaken:
      break;
    case WorkerModel::Offered::kFull:
      ++figures_.full;
      Say("full", *w, *id, node);
      return http::WriteResponse(503, {{"X-Not-Processed", "1"}}, "", true);
    case WorkerModel::Offered::kFell:
      ++figures_.falls;
      Say("fell", *w, *id, node);
      Restart(w->index, kFallDown);
      return "";
    case WorkerModel::Offered::kDown:
      stream->Close();
      return "";
  }
  ++figures_.taken;
  Say("took", *w, *id, node);
  w->jobs[key] = {*id, node, key, false};
  w->by_id[*id] = key;
  // The 202 goes first: its news may come before it, but need not.
  stream->Write(http::WriteResponse(202, {}, "", true));
  Catch(w);
  return "";
}

// Tells what the model has done by now.
void EmulatedFleet::Catch(Worker* w) {
  if (w->silent) return;
  std::vector<WorkerModel::Happened> happened;
  const double busy = w->model.busy();
  w->model.Run(Now(), &happened);
  w->busy_sum += busy * static_cast<double>(Now() - w->busy_since);
  w->busy_since = Now();
  for (const auto& h : happened) {
    const auto it = w->jobs.find(h.job);
    if (it == w->jobs.end()) continue;
    if (h.what == WorkerModel::Happened::What::kStarted) {
      it->second.started = true;
      Tell(w, it->second, "started", "");
      continue;
    }
    const Job job = it->second;
    w->jobs.erase(it);
    w->by_id.erase(job.id);
    const bool fails = chance_.Uniform() < std::max(options_.errors, w->errors);
    ++(fails ? figures_.failed : figures_.done);
    Say(fails ? "failed" : "done", *w, job.id, job.node);
    Tell(w, job, fails ? "failed" : "done",
         (fails ? "" : R"(,"result":"matched )" + job.id + "\"") + Load(*w));
  }
  if (const auto next = w->model.Next()) w->next->Set(*next);
}

void EmulatedFleet::Tell(Worker* w, const Job& job, const char* state, const std::string& more) {
  std::string body = R"({"id":")" + job.id + R"(","from":")" + w->id + R"(","state":")" + state +
                     "\"" + more + "}";
  const Micros wait = options_.news_late + (chance_.Uniform() < options_.news_lost ? 200 * kMs : 0);
  if (wait == 0) return w->agents[job.node]->Tell(job.id, std::move(body));
  // A telling that was lost is said again when its time without an answer is over.
  later_.insert({Now() + wait, {w->agents[job.node].get(), {job.id, std::move(body)}}});
  later_alarm_.Set(later_.begin()->first);
}

void EmulatedFleet::TellLater() {
  for (; !later_.empty() && later_.begin()->first <= Now(); later_.erase(later_.begin())) {
    auto& [agent, news] = later_.begin()->second;
    agent->Tell(news.first, std::move(news.second));
  }
  if (!later_.empty()) later_alarm_.Set(later_.begin()->first);
}

void EmulatedFleet::Progress() {
  progress_.Set(Now() + kSecond);
  if (!options_.tells_progress) return;
  for (const auto& w : workers_) {
    if (w->silent || !w->model.up()) continue;
    for (const auto& [key, job] : w->jobs)
      if (job.started) Tell(w.get(), job, "running", R"(,"share":0.5)");
  }
}

void EmulatedFleet::Say(const char* what, const Worker& w, const std::string& job,
                        std::size_t node) {
  if (options_.tell) options_.tell({what, w.id, job, std::to_string(node), "", w.started_ms});
}

void EmulatedFleet::HoldList(std::size_t node, bool held) { discoveries_.at(node)->Hold(held); }

void EmulatedFleet::Die(Worker* w, bool tells) {
  Say("died", *w);
  figures_.lost += w->jobs.size();
  const auto jobs = std::exchange(w->jobs, {});
  w->by_id.clear();
  w->model.Die();
  for (const auto& server : w->servers) server->CloseAll();
  // The machine's agent saw the process die.
  if (tells)
    for (const auto& [key, job] : jobs) Tell(w, job, "lost", "");
}

void EmulatedFleet::Restart(std::size_t worker, Micros down) {
  Worker* w = workers_.at(worker).get();
  Die(w, !w->silent);
  w->back->Set(Now() + down);
}

void EmulatedFleet::Silence(std::size_t worker) {
  Worker* w = workers_.at(worker).get();
  Catch(w);
  w->silent = true;
  Say("silent", *w);
  for (const auto& agent : w->agents) agent->Drop();
}

void EmulatedFleet::Grey(std::size_t worker, double errors, double times) {
  workers_.at(worker)->errors = errors;
  workers_.at(worker)->times = times;
}

void EmulatedFleet::Drain(std::size_t worker, bool draining) {
  Worker* w = workers_.at(worker).get();
  w->draining = draining;
  w->drained_at = Now();
  Changed(w);
}

void EmulatedFleet::Start() {
  const auto at = [&](Micros when, std::function<void()> what) {
    scripts_.push_back(std::make_unique<Alarm>(std::move(what)));
    scripts_.back()->Set(Now() + when);
  };
  for (std::size_t i = 0; i < options_.scenario.troubles.size(); ++i) {
    const Trouble& t = options_.scenario.troubles[i];
    if (t.what == Trouble::What::kNodeDies || t.what == Trouble::What::kRolling ||
        t.what == Trouble::What::kLateList)
      continue;
    for (const std::uint32_t j :
         StruckBy(t, static_cast<std::uint32_t>(workers_.size()), options_.seed, i)) {
      Worker* w = workers_[j].get();
      switch (t.what) {
        case Trouble::What::kSilence:
          at(t.at, [this, j] { Silence(j); });
          at(t.at + t.length, [this, j] { Restart(j, 0); });
          break;
        case Trouble::What::kRestart:
          at(t.at, [this, j, &t] { Restart(j, t.length); });
          break;
        case Trouble::What::kSlow:
          at(t.at, [w, &t] { w->model.SetFactor(1 / t.factor); });
          at(t.at + t.length, [w] { w->model.SetFactor(1); });
          break;
        case Trouble::What::kDrain:
          at(t.at, [this, j] { Drain(j, true); });
          at(t.at + t.length, [this, j] { Drain(j, false); });
          break;
        default:
          break;
      }
    }
  }
}

EmulatedFleet::Figures EmulatedFleet::figures() {
  Figures f = figures_;
  double sum = 0;
  for (const auto& w : workers_) {
    Catch(w.get());
    sum += w->busy_sum;
  }
  f.busy = sum / static_cast<double>(std::max<Micros>(1, Now() - began_));
  return f;
}

}  // namespace pearreach::lab
