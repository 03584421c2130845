#include "lab/trial/virtual.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>

#include "lab/stats/stats.h"
#include "lab/trial/checkers.h"
#include "lab/trial/links.h"
#include "node/peer_transport/gate.h"

namespace pearreach::lab {
namespace {

constexpr Micros kViewEvery = 200'000;
constexpr Micros kUnix = 1'800'000'000'000'000;  // of the trial's begin
constexpr Micros kCold = 3'000'000;              // a worker that came back
constexpr Micros kReturn = 300'000;              // a restarted process speaks again

class World {
 public:
  explicit World(const VirtualOptions& o)
      : o_(o),
        plan_(o.plan),
        chance_(SeedOf(o.plan.seed, 32, 0)),
        faults_(o.plan.zones, SeedOf(o.plan.seed, 31, 0)),
        nodes_(static_cast<std::size_t>(o.plan.nodes)) {
    o_.members.nodes = plan_.nodes;
    o_.members.period = plan_.period;
    if (o_.extra == 0) o_.extra = AgreementWithin(plan_.nodes, plan_.period) + 2 * kViewEvery;
  }

  VirtualResult Run() {
    Say("trial", "plan",
        {{"nodes", std::to_string(plan_.nodes)},
         {"zones", std::to_string(plan_.zones)},
         {"seed", std::to_string(plan_.seed)},
         {"faults", std::to_string(plan_.faults.size())},
         {"workers", std::to_string(plan_.workers)},
         {"leaves_zones", o_.zones != nullptr ? "1" : "0"},
         {"period_us", std::to_string(plan_.period)}});
    for (int n = 0; n < plan_.nodes; ++n)
      At(static_cast<Micros>(chance_.Uniform() * 100'000), [this, n] { Start(n); });
    Micros quiet = plan_.length;
    for (std::size_t i = 0; i < plan_.faults.size(); ++i) {
      const Fault& f = plan_.faults[i];
      At(f.at, [this, i] { Begin(i); });
      quiet = std::max(quiet, f.at + f.length + kReturn);
    }
    At(quiet, [this] { Say("trial", "quiet", {}); });
    const Micros end = quiet + o_.extra;
    if (o_.views) At(kViewEvery, [this] { Views(); });
    if (o_.shared != nullptr) BeginShared();
    while (!queue_.empty() && queue_.top().at <= end) {
      const Event event = queue_.top();
      queue_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
    for (int n = 0; n < plan_.nodes; ++n) Say("trial", "ending", {{"node", Name(n)}});
    result_.length = end;
    for (const Node& node : nodes_)
      if (node.zones != nullptr) result_.held_back += node.zones->stats().blocked_by_capacity;
    result_.history = std::move(history_);
    return std::move(result_);
  }

 private:
  struct Event {
    Micros at = 0;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : number > o.number; }
  };
  struct Node {
    std::unique_ptr<membership::Members> machine;  // none: its process is not there
    std::unique_ptr<peer_transport::DatagramFilter> gate;
    std::uint32_t number = 0;
    int stalls = 0, deaths = 0;
    std::vector<std::pair<int, std::string>> waiting;  // came while it was stopped
    std::uint64_t life = 0;
    bool doubts = false;
    std::unique_ptr<shared_state::SharedState> shared;
    std::unique_ptr<zones::ZoneFailover> zones;
    std::vector<int> jobs;  // accounts' jobs that came while it was stopped
    double weight = 1;      // of the load
  };
  struct Worker {
    int faults = 0;  // silent or dead
    bool dead = false;
    double errors = 0, times = 1;
    std::deque<Micros> cold_sends;
    std::int64_t start = 0;
    Micros back = 0;  // the last time that it was well again
  };

  static std::string Name(int n) { return "n" + std::to_string(n); }
  Node& Of(int n) { return nodes_[static_cast<std::size_t>(n)]; }
  void At(Micros at, std::function<void()> run) { queue_.push({at, ++number_, std::move(run)}); }
  void Say(const std::string& who, const std::string& what,
           std::map<std::string, std::string> more) {
    history_.push_back({now_, who, what, std::move(more)});
  }

  void Start(int n) {
    Node& node = Of(n);
    if (node.machine != nullptr || node.deaths > 0) return;
    ++node.life;
    node.number = 0;
    membership::Options options = o_.members;
    options.self = n;
    node.machine = std::make_unique<membership::Members>(
        options, SeedOf(plan_.seed, 33, static_cast<std::uint64_t>(n) * 1000 + node.life), now_,
        static_cast<std::uint64_t>((kUnix + now_) / 1000));
    node.machine->TakeChanges();
    node.gate = std::make_unique<peer_transport::DatagramFilter>(n, plan_.nodes);
    node.doubts = false;
    Say("trial", "started", {{"node", Name(n)}});
    Say(Name(n), "peers_open", {{"process", std::to_string(node.machine->process())}});
    Say(Name(n), "serving", {});
    Arm(n);
    if (o_.shared != nullptr) StartShared(n);
  }
  void Arm(int n) {
    Node& node = Of(n);
    if (node.machine == nullptr || node.stalls > 0) return;
    At(std::max(now_, node.machine->next()), [this, n, life = node.life] {
      Node& node = Of(n);
      if (node.life != life || node.machine == nullptr || node.stalls > 0 ||
          node.machine->next() > now_)
        return;
      std::vector<membership::Outgoing> out;
      node.machine->Tick(now_, &out);
      Send(n, out);
    });
  }
  void Send(int n, const std::vector<membership::Outgoing>& out) {
    Node& node = Of(n);
    for (const membership::Outgoing& o : out) {
      peer_transport::Writer writer(n, node.machine->process(), ++node.number);
      writer.Add(peer_transport::Topic::kMembers, o.section);
      const std::string bytes = writer.Take();
      ++result_.words;
      result_.bytes += bytes.size();
      Pass(n, o.to, bytes);
    }
    Report(n);
    Arm(n);
  }
  // On its way, through what is at fault.
  void Pass(int n, int to, const std::string& bytes) {
    result_.most_bytes = std::max<std::uint64_t>(result_.most_bytes, bytes.size());
    if (chance_.Uniform() < o_.lost) return;
    for (const WordFaults::Copy& c : faults_.Pass(n, to, bytes)) {
      const Micros way =
          o_.way_least +
          static_cast<Micros>(chance_.Uniform() * static_cast<double>(o_.way_most - o_.way_least));
      At(now_ + way + c.later, [this, n, to, bytes = c.bytes] { Arrive(n, to, bytes); });
    }
  }

  // ---- what nodes share

  Micros Unix() const { return kUnix + now_; }
  shared_state::WorkerKey KeyOf(std::size_t worker) const {
    return static_cast<shared_state::WorkerKey>(0x9000 + worker);
  }
  std::vector<int> AliveFor(int n) const {
    std::vector<int> alive;
    const Node& node = nodes_[static_cast<std::size_t>(n)];
    for (int other = 0; other < plan_.nodes; ++other)
      if (other != n && node.machine->entry(other).status == membership::Status::kAlive)
        alive.push_back(other);
    return alive;
  }
  void BeginShared() {
    const SharedLoad& load = *o_.shared;
    workers_.resize(static_cast<std::size_t>(plan_.workers));
    counted_.resize(load.asked.size());
    spent_.resize(load.asked.size());
    double sum = 0;
    for (int n = 0; n < plan_.nodes; ++n)
      sum += Of(n).weight = n == 0 ? load.uneven : 0.2 + chance_.Uniform();
    for (int n = 0; n < plan_.nodes; ++n) Of(n).weight /= sum;
    for (std::size_t k = 0; k < load.asked.size(); ++k)
      for (int n = 0; n < plan_.nodes; ++n) NextJob(n, static_cast<int>(k));
    for (int n = 0; n < plan_.nodes; ++n)
      for (std::size_t w = 0; w < workers_.size(); ++w) NextSend(n, w);
    At(SumsEvery(), [this] { Sums(); });
  }
  // A look costs the square of the nodes.
  Micros SumsEvery() const {
    return std::max<Micros>(20'000, Micros{10} * plan_.nodes * plan_.nodes);
  }
  void StartShared(int n) {
    Node& node = Of(n);
    shared_state::SharedStateOptions options = o_.shared->options;
    options.self = n;
    options.nodes = plan_.nodes;
    options.zones = plan_.zones;
    options.zone = n % plan_.zones;
    if (node.life > 1 && n % 2 == 0 && !o_.shared->lowered.empty())
      options.quotas = o_.shared->lowered;
    node.shared = std::make_unique<shared_state::SharedState>(
        options, node.machine->process(),
        SeedOf(plan_.seed, 34, static_cast<std::uint64_t>(n) * 1000 + node.life), Unix());
    node.shared->budgets().DisableGuards(o_.shared->without);
    for (std::size_t w = 0; w < workers_.size(); ++w)
      node.shared->health().OnListed(KeyOf(w), 0, workers_[w].start, true);
    ArmShared(n);
    if (o_.zones != nullptr) StartZones(n);
  }
  void StartZones(int n) {
    Node& node = Of(n);
    zones::Options options = o_.zones->options;
    options.self = n;
    options.nodes = plan_.nodes;
    options.zone = n % plan_.zones;
    for (int z = 0; z < plan_.zones; ++z) options.zones.push_back("z" + std::to_string(z));
    node.zones = std::make_unique<zones::ZoneFailover>(options, node.machine->process(), Unix());
    node.zones->DisableGuards(o_.zones->without);
    for (std::size_t w = 0; w < workers_.size(); ++w) ListZone(n, w);
    ArmZones(n);
  }
  void ListZone(int n, std::size_t w) {
    if (Of(n).zones == nullptr) return;
    const int zone = static_cast<int>(w) % plan_.zones;
    const bool lone = o_.zones->lone_kind && zone == plan_.zones - 1;
    Of(n).zones->OnListed(KeyOf(w), zone, lone ? 1 : 0, 1, workers_[w].start * 1000, true);
  }
  void ArmZones(int n) {
    Node& node = Of(n);
    At(std::max(now_, node.zones->next() - kUnix), [this, n, life = node.life] {
      Node& node = Of(n);
      if (node.life != life || node.zones == nullptr || node.stalls > 0) return;
      ZonesTurn(n);
      ArmZones(n);
    });
  }
  void ZonesTurn(int n) {
    Node& node = Of(n);
    for (std::size_t w = 0; w < workers_.size(); ++w)
      node.zones->SetOwnHealth(
          KeyOf(w), static_cast<zones::Cause>(node.shared->health().own_status(KeyOf(w))),
          node.shared->health().own_status_at(KeyOf(w)));
    std::vector<zones::ZoneFailover::OutgoingMessage> out;
    node.zones->Tick(Unix(), AliveFor(n), node.machine->view(now_).unconfirmed_after_stall, &out);
    if (n == o_.zones->liar) Lie(n, &out);
    SendZones(n, out);
  }
  // A node that claims of all other zones that they are gone.
  void Lie(int n, std::vector<zones::ZoneFailover::OutgoingMessage>* out) {
    zones::Message w;
    w.zone = n % plan_.zones;
    w.at = Unix() / 1000 * 1000;
    for (int z = 0; z < plan_.zones; ++z)
      if (z != w.zone)
        w.decisions.push_back({zones::KeyOf("z" + std::to_string(z)), -1, 50, zones::kEjected,
                               zones::Cause::kDead, n, w.at, 1});
    for (int other = 0; other < plan_.nodes; ++other)
      if (other != n) out->push_back({other, zones::Encode(w, 180, nullptr)});
  }
  void SendZones(int n, const std::vector<zones::ZoneFailover::OutgoingMessage>& out) {
    Node& node = Of(n);
    for (const zones::ZoneFailover::OutgoingMessage& o : out) {
      peer_transport::Writer writer(n, node.machine->process(), ++node.number);
      writer.Add(peer_transport::Topic::kZones, o.section);
      const std::string bytes = writer.Take();
      ++result_.zone_words;
      result_.zone_bytes += bytes.size();
      Pass(n, o.to, bytes);
    }
    SayZones(n);
  }
  void SayZones(int n) {
    for (const zones::ZoneStatus& s : Of(n).zones->TakeChanges()) {
      std::string witnesses;
      for (const int w : s.reporters)
        witnesses += (witnesses.empty() ? "" : " ") + std::to_string(w);
      Say(Name(n), "zone",
          {{"zone", "z" + std::to_string(s.zone)},
           {"step", std::to_string(s.step)},
           {"number", std::to_string(s.number)},
           {"cause", NameOf(s.cause)},
           {"by_hand", s.by_operator ? "1" : "0"},
           {"own", s.served_from_inside ? "1" : "0"},
           {"whose", s.for_zone < 0 ? "all" : "z" + std::to_string(s.for_zone)},
           {"witnesses", witnesses}});
    }
  }
  void ArmShared(int n) {
    Node& node = Of(n);
    At(std::max(now_, node.shared->next_tick() - kUnix), [this, n, life = node.life] {
      Node& node = Of(n);
      if (node.life != life || node.shared == nullptr || node.stalls > 0) return;
      const std::vector<int> alive = AliveFor(n);
      node.shared->health().Update(Unix(), alive);
      if (n == o_.shared->liar)
        for (std::size_t w = 0; w < workers_.size(); ++w) {
          node.shared->health().OnJobSent(Unix() - 3'000'000, KeyOf(w));
        }
      std::vector<shared_state::SharedState::OutgoingMessage> out;
      node.shared->Tick(Unix(), alive, &out);
      SendShared(n, out);
      ArmShared(n);
    });
  }
  void SendShared(int n, const std::vector<shared_state::SharedState::OutgoingMessage>& out) {
    Node& node = Of(n);
    for (const shared_state::SharedState::OutgoingMessage& o : out) {
      peer_transport::Writer writer(n, node.machine->process(), ++node.number);
      writer.Add(peer_transport::Topic::kShared, o.section);
      const std::string bytes = writer.Take();
      ++result_.shared_words;
      result_.shared_bytes += bytes.size();
      Pass(n, o.to, bytes);
    }
  }
  // Clients keep coming to a node that is stopped: what came is taken when it wakes, at once.
  void NextJob(int n, int account) {
    const SharedLoad& load = *o_.shared;
    const bool flood = account == 0 && now_ >= load.flood_from && now_ < load.flood_until;
    const double rate =
        load.asked[static_cast<std::size_t>(account)] * Of(n).weight * (flood ? load.flood : 1);
    At(now_ + static_cast<Micros>(chance_.Exponential() * 1e6 / std::max(rate, 0.01)),
       [this, n, account] {
         Node& node = Of(n);
         if (node.shared != nullptr && node.stalls > 0) node.jobs.push_back(account);
         if (node.shared != nullptr && node.stalls == 0) Job(n, account);
         NextJob(n, account);
       });
  }
  void Job(int n, int account) {
    const auto a = Of(n).shared->Admit(Unix(), account, false);
    ++result_.jobs;
    if (a.rejected) {
      ++result_.over_ceiling;
      return;
    }
    counted_[static_cast<std::size_t>(account)].push_back(now_);
    if (a.over_quota) return;
    ++result_.in_share;
    spent_[static_cast<std::size_t>(account)].push_back(now_);
  }
  void NextSend(int n, std::size_t w) {
    At(now_ + static_cast<Micros>(chance_.Exponential() * 1e6 / o_.shared->sends), [this, n, w] {
      Node& node = Of(n);
      if (node.shared != nullptr && node.stalls == 0) SendJob(n, w);
      NextSend(n, w);
    });
  }
  bool Cut(int n, std::size_t w) const {
    return std::any_of(cuts_.begin(), cuts_.end(), [&](const Fault& f) {
      return Selects(f.from, Name(n), plan_.zones) &&
             Selects(f.to, "s-" + std::to_string(w), plan_.zones);
    });
  }
  void SendJob(int n, std::size_t w) {
    using End = shared_state::WorkerHealth::JobOutcome;
    Node& node = Of(n);
    shared_state::WorkerHealth& judge = node.shared->health();
    const auto it = judge.statuses().find(KeyOf(w));
    const zones::Use use =
        node.zones == nullptr ? zones::Use::kOpen : node.zones->use(Unix(), KeyOf(w));
    if (use == zones::Use::kClosed) return;
    if (use == zones::Use::kProbe) ++result_.trials;
    if (use == zones::Use::kOpen && it != judge.statuses().end() && it->second.ejected) {
      if (!it->second.probe) return;
      ++result_.trials;
    }
    Worker& worker = workers_[w];
    judge.OnJobSent(Unix(), KeyOf(w));
    if (node.zones != nullptr) node.zones->OnJobSent(Unix(), KeyOf(w));
    ++result_.sends;
    if (worker.back > 0 && now_ - worker.back < kCold) {
      worker.cold_sends.push_back(now_);
      const auto recent = static_cast<double>(Within(&worker.cold_sends, 1'000'000));
      result_.most_cold = std::max(result_.most_cold, recent / (plan_.nodes * o_.shared->sends));
    }
    const bool gone = worker.faults > 0, cut = Cut(n, w);
    result_.sends_lost += gone ? 1 : 0;
    const auto later = [this, n, w, life = node.life](Micros after, End end) {
      At(now_ + after, [this, n, w, life, end, after] {
        if (Of(n).life != life || Of(n).shared == nullptr) return;
        Of(n).shared->health().OnJobEnded(Unix(), KeyOf(w), end, 1);
        using ZoneEnd = zones::ZoneFailover::JobOutcome;
        if (Of(n).zones != nullptr)
          Of(n).zones->OnJobEnded(Unix(), KeyOf(w),
                                  end == End::kServed   ? ZoneEnd::kServed
                                  : end == End::kFailed ? ZoneEnd::kFailed
                                                        : ZoneEnd::kNoResponse,
                                  0, end == End::kServed ? after : 0);
      });
    };
    if (gone && worker.dead)
      later(1'000, End::kNoConnection);
    else if (gone || cut)
      later(1'000'000, End::kTimedOut);
    else
      later(static_cast<Micros>(30'000 * worker.times),
            worker.errors > 0 && chance_.Uniform() < worker.errors ? End::kFailed : End::kServed);
  }
  // A worker that comes back is another process, as its list says to each node some time later.
  void Mended(std::size_t w) {
    Worker& worker = workers_[w];
    if (--worker.faults > 0) return;
    worker.start = (kUnix + now_) / 1000;
    worker.back = now_;
    for (int n = 0; n < plan_.nodes; ++n)
      At(now_ + 100'000 + static_cast<Micros>(chance_.Uniform() * 900'000), [this, n, w] {
        if (Of(n).shared != nullptr)
          Of(n).shared->health().OnListed(KeyOf(w), 0, workers_[w].start, true);
        ListZone(n, w);
      });
  }
  std::size_t Within(std::deque<Micros>* times, Micros window) const {
    while (!times->empty() && times->front() <= now_ - window) times->pop_front();
    return times->size();
  }
  // At every moment: the parts of all that run add up to no more than the whole, what was spent
  // within a second to no more than that and what was saved up, and no reading leaves its bound.
  void Sums() {
    const SharedLoad& load = *o_.shared;
    for (std::size_t k = 0; k < load.asked.size(); ++k) {
      const int account = static_cast<int>(k);
      std::int64_t parts = 0;
      for (Node& node : nodes_) {
        if (node.shared == nullptr) continue;
        parts += node.shared->budgets().allocation(Unix(), account);
        burst_ = std::max(burst_, node.shared->budgets().burst_seconds(account));
      }
      const double whole = load.options.quotas[k];
      result_.most_parts = std::max(result_.most_parts, static_cast<double>(parts) / 1000 / whole);
      Say("trial", "parts",
          {{"budget", std::to_string(k)},
           {"parts", std::to_string(parts)},
           {"whole", std::to_string(static_cast<std::int64_t>(whole * 1000))}});
      const std::size_t spent = Within(&spent_[k], 1'000'000);
      Say("trial", "spent",
          {{"budget", std::to_string(k)},
           {"spent", std::to_string(spent)},
           {"most", std::to_string(whole * (1 + burst_) + 1)}});
      const auto total = static_cast<double>(Within(&counted_[k], load.options.window));
      for (int n = 0; n < plan_.nodes; ++n) {
        Node& node = Of(n);
        if (node.shared == nullptr || node.stalls > 0) continue;
        const shared_state::UsageEstimate r = node.shared->usage().Estimate(Unix(), account);
        ++result_.readings;
        // In the first window nobody knows what was before it.
        if (now_ > load.options.window + 1'000'000) {
          ++result_.settled;
          result_.width += (r.upper - r.lower) / std::max(1.0, total);
          result_.off += std::abs(r.estimate - total) / std::max(1.0, total);
        }
        if (total >= r.lower - 1e-6 && total <= r.upper + 1e-6) continue;
        Say(Name(n), "reading",
            {{"account", std::to_string(k)},
             {"least", std::to_string(r.lower)},
             {"most", std::to_string(r.upper)},
             {"true", std::to_string(total)}});
      }
    }
    for (int n = 0; n < plan_.nodes; ++n) {
      Node& node = Of(n);
      if (node.shared == nullptr || node.stalls > 0) continue;
      int out = 0;
      for (const auto& [key, s] : node.shared->health().statuses()) {
        if (!s.ejected) continue;
        ++out;
        const Worker& w = workers_[key - 0x9000];
        std::string zones;
        for (const int witness : s.reporters)
          if (zones.find(std::to_string(witness % plan_.zones)) == std::string::npos)
            zones += std::to_string(witness % plan_.zones);
        Say(Name(n), "worker_out",
            {{"worker", "s-" + std::to_string(key - 0x9000)},
             {"gone", w.faults > 0 ? "1" : "0"},
             {"well_us", std::to_string(w.faults > 0 ? 0 : now_ - w.back)},
             {"verdict", NameOf(s.status)},
             {"witnesses", std::to_string(s.reporters.size())},
             {"seen_ago_us", std::to_string(Unix() - s.observed_at)},
             {"zones", zones}});
      }
      if (out > 0)
        Say(Name(n), "workers_out",
            {{"out", std::to_string(out)}, {"of", std::to_string(workers_.size())}});
    }
    At(now_ + SumsEvery(), [this] { Sums(); });
  }

  void Arrive(int from, int to, const std::string& bytes) {
    Node& node = Of(to);
    if (node.machine == nullptr) return;
    if (node.stalls > 0) {
      node.waiting.push_back({from, bytes});
      return;
    }
    peer_transport::DropReason why{};
    const auto word = node.gate->Admit(bytes, from, &why);
    if (!word) {
      if (why == peer_transport::DropReason::kReplaced) node.machine->NoteReplacedSender(from);
      return;
    }
    std::vector<membership::Outgoing> out;
    for (const peer_transport::Section& s : word->datagram.sections) {
      if (s.topic == static_cast<std::uint8_t>(peer_transport::Topic::kShared)) {
        std::vector<shared_state::SharedState::OutgoingMessage> said;
        if (node.shared != nullptr)
          node.shared->OnMessage(Unix(), from, word->datagram.process, s.bytes, &said);
        SendShared(to, said);
        continue;
      }
      if (s.topic == static_cast<std::uint8_t>(peer_transport::Topic::kZones)) {
        if (node.zones == nullptr) continue;
        std::vector<zones::ZoneFailover::OutgoingMessage> said;
        node.zones->OnMessage(Unix(), from, word->datagram.process, s.bytes, &said);
        SendZones(to, said);
        continue;
      }
      node.machine->Receive(now_, from, word->datagram.process, word->late, s.bytes, &out);
    }
    Send(to, out);
  }
  void Report(int n) {
    Node& node = Of(n);
    for (const membership::Change& c : node.machine->TakeChanges()) {
      if (c.node != n && c.after.process > c.before.process)
        node.gate->ObserveProcess(c.node, c.after.process);
      const Node& other = Of(c.node);
      const bool runs = other.machine != nullptr && other.stalls == 0 &&
                        other.machine->process() == c.after.process;
      if (runs && c.reported_by == n && c.node != n) {
        result_.false_suspicions += c.after.status == membership::Status::kSuspect ? 1 : 0;
        result_.false_unreachable += c.after.status == membership::Status::kUnreachable ? 1 : 0;
      }
      Say(Name(n), "member",
          {{"peer", std::to_string(c.node)},
           {"status", NameOf(c.after.status)},
           {"process", std::to_string(c.after.process)},
           {"version", std::to_string(c.after.version)},
           {"by", std::to_string(c.reported_by)}});
    }
    const bool doubts = node.machine->view(now_).unconfirmed_after_stall;
    if (doubts != node.doubts) {
      node.doubts = doubts;
      Say(Name(n), doubts ? "doubts_itself" : "trusts_itself", {});
    }
  }
  void Views() {
    for (int n = 0; n < plan_.nodes; ++n) {
      const Node& node = Of(n);
      if (node.machine == nullptr || node.stalls > 0) continue;
      std::string entries;
      for (int other = 0; other < plan_.nodes; ++other) {
        const membership::Entry& e = node.machine->entry(other);
        entries += (other > 0 ? " " : "") + std::to_string(other) + ":" +
                   (e.process == 0 ? "unknown" : NameOf(e.status)) + ":" +
                   std::to_string(e.process) + ":" + std::to_string(e.version);
      }
      Say(Name(n), "view", {{"entries", entries}});
    }
    At(now_ + kViewEvery, [this] { Views(); });
  }

  void Kill(int n, const char* how) {
    Node& node = Of(n);
    if (node.machine == nullptr) return;
    node.machine.reset();
    node.shared.reset();
    if (node.zones != nullptr) result_.held_back += node.zones->stats().blocked_by_capacity;
    node.zones.reset();
    node.jobs.clear();
    node.waiting.clear();
    ++node.life;
    Say("trial", "ended", {{"node", Name(n)}, {"how", how}});
  }
  void Begin(std::size_t number) {
    using What = Fault::What;
    const Fault& f = plan_.faults[number];
    Say("trial", "fault",
        {{"number", std::to_string(number)},
         {"kind", NameOf(f.what)},
         {"from", f.from},
         {"to", f.to},
         {"length_us", std::to_string(f.length)}});
    At(now_ + f.length, [this, number] {
      Say("trial", "mended", {{"number", std::to_string(number)}});
    });
    if (f.what <= What::kDamage) {
      faults_.Begin(f);
      return At(now_ + f.length, [this, f] { faults_.End(f); });
    }
    if (f.what == What::kCutTcp || f.what == What::kHoldTcp) {
      cuts_.push_back(f);
      return At(now_ + f.length,
                [this, f] { cuts_.erase(std::find(cuts_.begin(), cuts_.end(), f)); });
    }
    if (f.what == What::kFail || f.what == What::kSlow) {
      for (std::size_t w = 0; w < workers_.size(); ++w) {
        if (!Selects(f.from, "s-" + std::to_string(w), plan_.zones)) continue;
        const bool fails = f.what == What::kFail;
        (fails ? workers_[w].errors : workers_[w].times) = fails ? f.share : 5;
        At(now_ + f.length,
           [this, w, fails] { (fails ? workers_[w].errors : workers_[w].times) = fails ? 0 : 1; });
      }
      return;
    }
    if (f.what == What::kLeaveZone || f.what == What::kReturnZone) {
      Order(f, f.what == What::kLeaveZone ? zones::Order::Action::kLeave
                                          : zones::Order::Action::kReturn);
      return At(now_ + f.length, [this, f] { Order(f, zones::Order::Action::kNone); });
    }
    if (f.what == What::kSilence || f.what == What::kDie) {
      for (std::size_t w = 0; w < workers_.size(); ++w) {
        if (!Selects(f.from, "s-" + std::to_string(w), plan_.zones)) continue;
        ++workers_[w].faults;
        workers_[w].dead = f.what == What::kDie;
        At(now_ + f.length, [this, w] { Mended(w); });
      }
      return;
    }
    for (int n = 0; n < plan_.nodes; ++n) {
      if (!Selects(f.from, Name(n), plan_.zones)) continue;
      Node& node = Of(n);
      if (f.what == What::kStall) {
        if (++node.stalls == 1) Say("trial", "stalled", {{"node", Name(n)}});
        At(now_ + f.length, [this, n] { Thaw(n); });
      } else if (f.what == What::kKill) {
        ++node.deaths;
        Kill(n, "kill");
        At(now_ + f.length, [this, n] {
          --Of(n).deaths;
          Start(n);
        });
      } else if (f.what == What::kRestart && node.machine != nullptr && node.stalls == 0) {
        Say("trial", "ending", {{"node", Name(n)}});
        std::vector<membership::Outgoing> out;
        node.machine->Leave(now_, &out);
        Send(n, out);
        At(now_ + kReturn / 2, [this, n, life = node.life] {
          if (Of(n).life == life) Kill(n, "term");
        });
        At(now_ + kReturn, [this, n] { Start(n); });
      }
    }
  }
  void Order(const Fault& f, zones::Order::Action what) {
    for (int n = 0; n < plan_.nodes; ++n) {
      Node& node = Of(n);
      if (!Selects(f.from, Name(n), plan_.zones) || node.zones == nullptr) continue;
      node.zones->Command(Unix(), f.to, what);
      Say(Name(n), "ordered", {{"zone", f.to}, {"what", NameOf(what)}});
      SayZones(n);
    }
  }
  // As of a real process: what came meanwhile lies in its socket, and may be read before its own
  // clock rings.
  void Thaw(int n) {
    Node& node = Of(n);
    if (--node.stalls > 0) return;
    if (node.machine == nullptr) return;
    Say("trial", "resumed", {{"node", Name(n)}});
    const auto waiting = std::exchange(node.waiting, {});
    const bool clock_first = chance_.Uniform() < 0.5;
    if (clock_first) {
      std::vector<membership::Outgoing> out;
      node.machine->Tick(now_, &out);
      Send(n, out);
    }
    for (const auto& [from, bytes] : waiting) Arrive(from, n, bytes);
    Arm(n);
    if (node.shared == nullptr) return;
    for (const int account : std::exchange(node.jobs, {})) Job(n, account);
    ArmShared(n);
    if (node.zones != nullptr) ArmZones(n);
  }

  VirtualOptions o_;
  TrialPlan plan_;
  Chance chance_;
  WordFaults faults_;
  std::vector<Node> nodes_;
  std::priority_queue<Event> queue_;
  std::vector<Worker> workers_;
  std::vector<Fault> cuts_;
  std::vector<std::deque<Micros>> counted_, spent_;  // the truth, by account: when
  double burst_ = 0;                                 // seconds that a part saves up, the most
  std::uint64_t number_ = 0;
  Micros now_ = 0;
  History history_;
  VirtualResult result_;
};

}  // namespace

VirtualResult RunVirtual(const VirtualOptions& options) { return World(options).Run(); }

}  // namespace pearreach::lab
