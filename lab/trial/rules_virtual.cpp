#include "lab/trial/rules_virtual.h"

#include <algorithm>
#include <map>
#include <memory>
#include <queue>

#include "lab/stats/stats.h"
#include "lab/trial/links.h"
#include "node/peer_transport/datagram.h"

namespace pearreach::lab {
namespace {

using rules::Consensus;
using rules::VersionId;

constexpr Micros kReturn = 300'000;  // a restarted process speaks again
constexpr Micros kBegun = 6'000'000;

class World {
 public:
  explicit World(const RulesPlan& p)
      : p_(p),
        chance_(SeedOf(p.plan.seed, 51, 0)),
        faults_(p.plan.zones, SeedOf(p.plan.seed, 52, 0)),
        nodes_(static_cast<std::size_t>(p.plan.nodes)) {}

  RulesResult Run() {
    Micros quiet = p_.plan.length;
    for (const Fault& f : p_.plan.faults) {
      At(f.at, [this, &f] { Begin(f); });
      quiet = std::max(quiet, f.at + f.length + kReturn);
    }
    for (const RulesPlan::Call& c : p_.calls)
      At(c.at, [this, &c] {
        Node& node = nodes_[static_cast<std::size_t>(c.node)];
        if (node.machine == nullptr || node.stalls > 0) return;
        c.call(node.machine.get(), Clock(c.node));
        Arm(c.node);
      });
    for (int n = 0; n < p_.plan.nodes; ++n) {
      nodes_[static_cast<std::size_t>(n)].ahead =
          static_cast<Micros>(chance_.Uniform() * static_cast<double>(p_.ahead));
      At(static_cast<Micros>(chance_.Uniform() * 100'000), [this, n] { Start(n); });
    }
    propose_until_ = p_.plan.length;
    if (p_.propose_every > 0) At(kBegun, [this] { Propose(); });
    At(LookEvery(), [this] { Look(); });
    const Micros end = quiet + p_.settle;
    while (!queue_.empty() && queue_.top().at <= end) {
      const Event event = queue_.top();
      queue_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
    Finish();
    return std::move(r_);
  }

 private:
  struct Event {
    Micros at = 0;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : number > o.number; }
  };
  struct Node {
    std::unique_ptr<Consensus> machine;
    int stalls = 0, deaths = 0;
    std::uint64_t life = 0, bytes = 0;
    Micros ahead = 0;
    std::optional<rules::PersistentState> kept;
    std::vector<std::pair<int, std::string>> waiting;
    int writes_left = 0;  // until it is killed; 0: never
  };
  struct Truth {
    std::string bytes;
    rules::Document document;
    Micros in_force = 0;
  };

  Node& Of(int n) { return nodes_[static_cast<std::size_t>(n)]; }
  void At(Micros at, std::function<void()> run) { queue_.push({at, ++number_, std::move(run)}); }
  void Line(const std::string& text) {
    r_.lines.push_back(std::to_string(now_ / 1000) + " ms " + text);
  }
  Micros Clock(int n) {
    const double rate = n == 0 ? 1 + p_.drift : 1;
    return 1'000'000'000 + Of(n).ahead + static_cast<Micros>(static_cast<double>(now_) * rate);
  }
  Micros FromClock(int n, Micros clock) {
    const double rate = n == 0 ? 1 + p_.drift : 1;
    return static_cast<Micros>(static_cast<double>(clock - 1'000'000'000 - Of(n).ahead) / rate);
  }
  std::vector<int> Alive(int n) {
    std::vector<int> alive;
    for (int other = 0; other < p_.plan.nodes; ++other)
      if (other != n && Of(other).machine != nullptr) alive.push_back(other);
    return alive;
  }

  void Start(int n) {
    Node& node = Of(n);
    if (node.machine != nullptr || node.deaths > 0) return;
    ++node.life;
    rules::Options o = p_.options;
    o.self = n;
    o.nodes = p_.plan.nodes;
    if (n == p_.old_node) o.schema = 1;
    node.machine = std::make_unique<Consensus>(
        o, SeedOf(p_.plan.seed, 53, static_cast<std::uint64_t>(n) * 1000 + node.life), Clock(n),
        p_.disks ? node.kept : std::nullopt);
    node.machine->DisableGuards(p_.without);
    Arm(n);
  }
  void Arm(int n) {
    Node& node = Of(n);
    if (node.machine == nullptr || node.stalls > 0) return;
    At(std::max(now_, FromClock(n, node.machine->next_tick()) + 1), [this, n, life = node.life] {
      Node& node = Of(n);
      if (node.life != life || node.machine == nullptr || node.stalls > 0 ||
          node.machine->next_tick() > Clock(n))
        return;
      std::vector<Consensus::Outgoing> out;
      node.machine->Tick(Clock(n), Alive(n), &out);
      Send(n, out);
      Arm(n);
    });
  }
  // What is to be kept is kept before anything is said.
  void Send(int n, const std::vector<Consensus::Outgoing>& out) {
    Node& node = Of(n);
    if (node.machine->dirty()) {
      node.kept = node.machine->TakeState();
      if (node.writes_left > 0 && --node.writes_left == 0) {
        Line("n" + std::to_string(n) + " dies after a write");
        Kill(n);
        At(now_ + 2'000'000, [this, n] { Start(n); });
        return;
      }
    }
    for (const auto& o : node.machine->TakeOutcomes()) Outcome(n, o);
    for (const Consensus::Outgoing& o : out) {
      const std::size_t size =
          o.section.size() + peer_transport::kHeaderBytes + peer_transport::kSectionHeaderBytes;
      ++r_.words;
      r_.bytes += size;
      node.bytes += size;
      r_.most_bytes = std::max<std::uint64_t>(r_.most_bytes, size);
      if (chance_.Uniform() < p_.lost) continue;
      for (const WordFaults::Copy& c : faults_.Pass(n, o.to, o.section)) {
        // Damaged words do not pass the datagram's checksum.
        if (c.bytes != o.section) continue;
        const Micros way =
            p_.way_least + static_cast<Micros>(chance_.Uniform() *
                                               static_cast<double>(p_.way_most - p_.way_least));
        At(now_ + way + c.later, [this, n, to = o.to, bytes = c.bytes] { Arrive(n, to, bytes); });
      }
    }
  }
  void Arrive(int from, int to, const std::string& bytes) {
    Node& node = Of(to);
    if (node.machine == nullptr) return;
    if (node.stalls > 0) return node.waiting.push_back({from, bytes});
    std::vector<Consensus::Outgoing> out;
    node.machine->Receive(Clock(to), from, bytes, &out);
    Send(to, out);
    Arm(to);
  }
  void Kill(int n) {
    Node& node = Of(n);
    node.machine.reset();
    node.waiting.clear();
    ++node.life;
    // Where nobody is left and nothing was kept, numbers begin anew and nobody acts on old ones.
    if (p_.disks || std::any_of(nodes_.begin(), nodes_.end(),
                                [](const Node& o) { return o.machine != nullptr; }))
      return;
    truth_.clear();
    waiting_.clear();
    r_.versions = 0;
  }

  void Propose() {
    if (now_ > propose_until_) return;
    At(now_ + static_cast<Micros>(chance_.Exponential() * static_cast<double>(p_.propose_every)),
       [this] { Propose(); });
    const int n = static_cast<int>(chance_.Below(static_cast<std::uint64_t>(p_.plan.nodes)));
    Node& node = Of(n);
    if (node.machine == nullptr || node.stalls > 0) return;
    rules::Document d;
    if (node.machine->current() == nullptr) return;
    d.voters = node.machine->voters();
    // Of each kind something that the next version may well forbid.
    const double share = chance_.Uniform() * 10;
    d.rules.shares = {{"a", share}, {"b", 10 - share}};
    if (chance_.Uniform() < 0.5) d.rules.attempts = 1 + static_cast<int>(chance_.Below(4));
    if (chance_.Uniform() < 0.5) d.rules.bans.insert("s-" + std::to_string(chance_.Below(3)));
    if (chance_.Uniform() < 0.5)
      d.rules.zone_left["z" + std::to_string(chance_.Below(3))] = chance_.Uniform() < 0.5;
    if (chance_.Uniform() < 0.2 && p_.plan.nodes >= 5) {
      std::set<int> voters;
      while (voters.size() < 3)
        voters.insert(static_cast<int>(chance_.Below(static_cast<std::uint64_t>(p_.plan.nodes))));
      d.voters.assign(voters.begin(), voters.end());
    }
    std::string why;
    ++r_.proposed;
    const std::uint64_t number = node.machine->Propose(Clock(n), d, std::nullopt, 0, &why);
    if (number == 0) {
      ++r_.refused;
      return;
    }
    asked_[{n, node.life, number}] = now_;
    if (p_.kill_after > 0 && r_.proposed % 2 == 1) node.writes_left = p_.kill_after;
    Arm(n);
  }
  void Outcome(int n, const Consensus::Outcome& o) {
    using What = Consensus::Outcome::Result;
    Line("n" + std::to_string(n) + ": " + o.text);
    r_.chosen += o.result == What::kChosen ? 1 : 0;
    r_.lost += o.result == What::kLost ? 1 : 0;
    r_.open += o.result == What::kOpen ? 1 : 0;
    r_.no_majority += o.result == What::kNoMajority ? 1 : 0;
    const auto it = asked_.find({n, Of(n).life, o.proposal});
    if (o.result == What::kChosen && it != asked_.end()) waiting_[o.version] = it->second;
  }

  Micros LookEvery() const { return 20'000 + 200 * p_.plan.nodes; }
  struct Acts {
    std::vector<std::uint64_t> numbers;
    VersionId head;
    Consensus::Basis basis{};
    rules::Rules rules;
    bool operator<(const Acts& o) const {
      return std::tie(head, basis, numbers) < std::tie(o.head, o.basis, o.numbers);
    }
  };
  // At every moment: what each process that runs would do with a job that came now.
  void Look() {
    std::map<Acts, int> all;
    int running = 0, floors = 0;
    for (int n = 0; n < p_.plan.nodes; ++n) {
      Node& node = Of(n);
      if (node.machine == nullptr || node.stalls > 0) continue;
      const Consensus::EffectiveRules a = node.machine->effective_rules(Clock(n));
      const rules::Version* v = node.machine->current();
      ++running;
      floors += a.basis == Consensus::Basis::kFloor ? 1 : 0;
      if (v != nullptr && a.basis != Consensus::Basis::kFloor) {
        const auto [it, fresh] = truth_.emplace(std::pair(v->id.epoch, v->id.number),
                                                Truth{v->bytes, v->document, now_});
        if (!fresh && it->second.bytes != v->bytes && forked_.insert(it->first).second) {
          ++r_.forks;
          Line("n" + std::to_string(n) + " acts on another version " +
               std::to_string(v->id.number));
        }
        r_.versions = std::max(r_.versions, v->id.number);
      }
      all.emplace(Acts{a.versions, v != nullptr ? v->id : VersionId{}, a.basis, a.rules}, n);
    }
    if (now_ > kBegun && running > 0) {
      floor_time_ += static_cast<double>(floors) / running;
      ++looks_;
    }
    for (auto x = all.begin(); x != all.end(); ++x)
      for (auto y = all.begin(); y != all.end(); ++y)
        if (x != y) Compare(x->first, x->second, y->first, y->second);
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      bool everyone = true;
      for (Node& node : nodes_)
        everyone =
            everyone &&
            (node.machine == nullptr || node.stalls > 0 ||
             (node.machine->version_id() >= it->first && node.machine->current() != nullptr));
      if (everyone) r_.to_all.push_back(now_ - it->second);
      it = everyone ? waiting_.erase(it) : std::next(it);
    }
    At(now_ + LookEvery(), [this] { Look(); });
  }
  // `x` is looser than the newest version that `y` acts on, and `y` has given up what `x` acts on.
  void Compare(const Acts& x, int xn, const Acts& y, int yn) {
    if (y.basis == Consensus::Basis::kFloor) return;
    if (std::pair(x.head.epoch, x.head.number) > std::pair(y.head.epoch, y.head.number)) return;
    const auto newest = truth_.find({y.head.epoch, y.head.number});
    if (newest == truth_.end()) return;
    const bool common = std::any_of(x.numbers.begin(), x.numbers.end(), [&](std::uint64_t number) {
      return x.head.epoch == y.head.epoch &&
             std::find(y.numbers.begin(), y.numbers.end(), number) != y.numbers.end();
    });
    if (common || rules::Satisfies(x.rules, newest->second.document.rules)) return;
    const Micros since = now_ - newest->second.in_force;
    if (x.basis == Consensus::Basis::kFloor) {
      r_.unheard = std::max(r_.unheard, since);
      return;
    }
    Micros& most = pairs_[{x.head, y.head}];
    if (most == 0)
      Line("n" + std::to_string(xn) + " on " + std::to_string(x.head.number) + " contradicts n" +
           std::to_string(yn) + " on " + std::to_string(y.head.number));
    most = std::max<Micros>({most, since, 1});
    r_.longest = std::max({r_.longest, since, Micros{1}});
  }

  void Begin(const Fault& f) {
    using What = Fault::What;
    Line("fault " + Words(f));
    if (f.what <= What::kDamage) {
      faults_.Begin(f);
      return At(now_ + f.length, [this, f] { faults_.End(f); });
    }
    for (int n = 0; n < p_.plan.nodes; ++n) {
      if (!Selects(f.from, "n" + std::to_string(n), p_.plan.zones)) continue;
      Node& node = Of(n);
      if (f.what == What::kStall) {
        ++node.stalls;
        At(now_ + f.length, [this, n] { Thaw(n); });
      } else if (f.what == What::kKill) {
        ++node.deaths;
        Kill(n);
        At(now_ + f.length, [this, n] {
          --Of(n).deaths;
          Start(n);
        });
      } else if (f.what == What::kRestart && node.machine != nullptr && node.stalls == 0) {
        Kill(n);
        At(now_ + kReturn, [this, n] { Start(n); });
      }
    }
  }
  void Thaw(int n) {
    Node& node = Of(n);
    if (--node.stalls > 0 || node.machine == nullptr) return;
    // It acts before it has read anything or its own clock has rung.
    Look1(n);
    const auto waiting = std::exchange(node.waiting, {});
    for (const auto& [from, bytes] : waiting) Arrive(from, n, bytes);
    Arm(n);
  }
  void Look1(int n) {
    Node& node = Of(n);
    const Consensus::EffectiveRules a = node.machine->effective_rules(Clock(n));
    const rules::Version* v = node.machine->current();
    const Acts x{a.versions, v != nullptr ? v->id : VersionId{}, a.basis, a.rules};
    for (int other = 0; other < p_.plan.nodes; ++other) {
      Node& o = Of(other);
      if (other == n || o.machine == nullptr || o.stalls > 0) continue;
      const Consensus::EffectiveRules b = o.machine->effective_rules(Clock(other));
      const rules::Version* w = o.machine->current();
      Compare(x, n, {b.versions, w != nullptr ? w->id : VersionId{}, b.basis, b.rules}, other);
    }
  }
  void Finish() {
    r_.length = now_;
    VersionId highest;
    for (Node& node : nodes_)
      if (node.machine != nullptr) highest = std::max(highest, node.machine->version_id());
    r_.agreed = true;
    for (int n = 0; n < p_.plan.nodes; ++n) {
      Node& node = Of(n);
      r_.busiest_bytes = std::max(r_.busiest_bytes, node.bytes);
      if (node.machine == nullptr) continue;
      const bool same = node.machine->version_id() == highest &&
                        node.machine->current() != nullptr &&
                        node.machine->effective_rules(Clock(n)).basis == Consensus::Basis::kVersion;
      if (!same)
        Line("n" + std::to_string(n) + " ends on " +
             std::to_string(node.machine->version_id().number) + " of epoch " +
             std::to_string(node.machine->version_id().epoch) + ", basis " +
             std::to_string(static_cast<int>(node.machine->effective_rules(Clock(n)).basis)) +
             (node.machine->recovering() ? ", recovering" : ""));
      r_.agreed = r_.agreed && same;
    }
    if (r_.versions > highest.number) r_.forgotten = static_cast<int>(r_.versions - highest.number);
    r_.floors = looks_ > 0 ? floor_time_ / looks_ : 0;
    for (const auto& [pair, most] : pairs_) r_.each.push_back(most);
  }

  const RulesPlan& p_;
  Chance chance_;
  WordFaults faults_;
  std::vector<Node> nodes_;
  std::priority_queue<Event> queue_;
  std::uint64_t number_ = 0;
  Micros now_ = 0, propose_until_ = 0;
  std::map<std::pair<std::uint64_t, std::uint64_t>, Truth> truth_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> forked_;
  std::map<std::pair<VersionId, VersionId>, Micros> pairs_;
  std::map<std::tuple<int, std::uint64_t, std::uint64_t>, Micros> asked_;
  std::map<VersionId, Micros> waiting_;
  double floor_time_ = 0;
  std::uint64_t looks_ = 0;
  RulesResult r_;
};

}  // namespace

RulesResult RunRules(const RulesPlan& plan) { return World(plan).Run(); }

}  // namespace pearreach::lab
