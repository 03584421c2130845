#include "node/membership/members.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "node/membership/members.pb.h"

namespace pearreach::membership {
namespace {

enum Kind { kPing = 1, kAck = 2, kAsk = 3, kNack = 4 };

constexpr double kAgain = 0.15;         // of a period without an answer: then it is asked again
constexpr Micros kAgainLeast = 40'000;  // there and back, by the platform's protocol
constexpr int kPings = 3;               // of one probe
constexpr std::uint64_t kTries = 4;
constexpr double kDirect = 0.45;    // likewise: then others are asked to
constexpr double kNackAfter = 0.3;  // likewise, of a helper's patience
constexpr int kShared = 3;          // nodes that share a suspicion and so make it shortest
constexpr Micros kMinStall = 100'000;
constexpr int kNobody = 10;  // periods without any word: it hears nobody
constexpr std::size_t kMaxRelays = 64;
constexpr int kWants = 6;                        // asked for in one word
constexpr std::size_t kLatest = 3, kInTurn = 4;  // entries for one whose digest is another

}  // namespace

const char* NameOf(Status status) {
  constexpr const char* kNames[] = {"alive", "suspect", "unreachable", "left"};
  return kNames[static_cast<std::size_t>(status)];
}

bool Later(const Entry& a, const Entry& b) {
  const auto key = [](const Entry& e) {
    return std::tuple(e.process, e.status == Status::kLeft, e.version, e.status);
  };
  return key(a) > key(b);
}

double Members::SuspicionLeast(const Options& o) {
  return o.suspicion * std::max(1.0, std::log10(static_cast<double>(o.nodes)));
}

Members::Members(const Options& options, std::uint64_t seed, Micros now, std::uint64_t process)
    : options_(options),
      window_(Window(options.nodes)),
      random_(seed),
      peers_(static_cast<std::size_t>(options.nodes)) {
  for (int n = 0; n < options_.nodes; ++n) digest_ ^= HashOf(n);
  started_ = last_any_ = now;
  Adopt(now, options_.self, {std::max<std::uint64_t>(process, kEpoch + 1), 0, Status::kAlive},
        options_.self);
  // The fleet's nodes do not all probe at one moment.
  next_period_ = now + static_cast<Micros>(random_() % static_cast<std::uint64_t>(options_.period));
}

std::uint32_t Members::HashOf(int node) const {
  const Entry& e = entry(node);
  const std::uint64_t words[] = {static_cast<std::uint64_t>(node), e.process, e.version,
                                 static_cast<std::uint64_t>(e.status)};
  return XXH32(words, sizeof words, 0);
}

Micros Members::next() const {
  Micros at = next_period_;
  for (const Probe& p : probes_)
    at = std::min(at, p.asked || p.answered ? p.until
                      : p.again_at != 0     ? p.again_at
                                            : p.direct_until);
  for (const Relay& r : relays_) at = std::min(at, r.nack_at != 0 ? r.nack_at : r.until);
  for (const Peer& p : peers_)
    if (p.deadline != 0) at = std::min(at, p.deadline);
  return at;
}

// Guards the others against a node that was stopped: what it did not hear meanwhile is its own
// fault. Probes that were out are void, suspicions get the time back, and until somebody answers
// it suspects nobody.
void Members::Wake(Micros now) {
  const Micros late = now - next();
  if (late < std::max(kMinStall, options_.period / 2)) return;
  ++counts_.stalls;
  probes_.clear();
  relays_.clear();
  for (Peer& p : peers_)
    if (p.deadline != 0) p.deadline = std::max(p.deadline + late, now + options_.period);
  next_period_ = now;
  last_any_ += late;
  doubts_ = true;
  woke_ = now;
  Slower(2);
}

void Members::Slower(int by) {
  if (options_.lifeguard) slow_ = std::clamp(slow_ + by, 0, kMaxSlow);
}

bool Members::HearsNobody(Micros now) const {
  if (options_.nodes < 2 || now - last_any_ <= kNobody * options_.period) return false;
  return std::none_of(results_.begin(), results_.end(),
                      [&](const Result& r) { return r.answered && r.at > last_any_; });
}

int Members::NextTarget() {
  // Rounds in a new order each: every node is asked within two rounds, whatever is drawn.
  for (std::size_t looked = 0; looked <= 2 * peers_.size(); ++looked) {
    if (at_ >= ring_.size()) {
      ring_.clear();
      for (int n = 0; n < options_.nodes; ++n)
        if (n != options_.self) ring_.push_back(n);
      std::shuffle(ring_.begin(), ring_.end(), random_);
      at_ = 0;
      if (ring_.empty()) return -1;
    }
    const int n = ring_[at_++];
    const Entry& e = entry(n);
    if (e.status == Status::kAlive || e.status == Status::kSuspect || e.process == 0) return n;
  }
  return -1;
}

std::vector<int> Members::Some(int count, int but) {
  std::vector<int> all;
  for (int n = 0; n < options_.nodes; ++n)
    if (n != options_.self && n != but && entry(n).status == Status::kAlive) all.push_back(n);
  std::vector<int> some;
  for (; count > 0 && !all.empty(); --count) {
    const std::size_t i = random_() % all.size();
    some.push_back(all[i]);
    all[i] = all.back();
    all.pop_back();
  }
  return some;
}

void Members::Begin(Micros now, int target, bool second, std::vector<Out>* out) {
  if (std::any_of(probes_.begin(), probes_.end(),
                  [&](const Probe& p) { return p.target == target; }))
    return;
  ++counts_.probes;
  const auto part = [&](double periods) {
    return static_cast<Micros>(periods * (1 + slow_) * static_cast<double>(options_.period));
  };
  Probe p;
  p.number = ++last_probe_;
  p.target = target;
  p.process = entry(target).process;
  p.second = second;
  p.lost = entry(target).status == Status::kUnreachable && p.process != 0;
  p.sent = now;
  p.again_at = p.lost ? 0 : now + std::max(kAgainLeast, part(kAgain));
  p.direct_until = now + part(p.lost ? 1 : kDirect);
  p.until = now + part(1);
  probes_.push_back(p);
  Say(now, target, kPing, p.number, -1, out);
}

void Members::Period(Micros now, std::vector<Out>* out) {
  next_period_ = std::max(next_period_ + options_.period, now + options_.period / 2);
  if (leaving_) return;
  if (const int target = NextTarget(); target >= 0) Begin(now, target, false, out);
  // Those that are unreachable are asked for, too: after a cut somebody has to begin. About kTries
  // words a period go to them from all nodes together, whatever their number.
  std::vector<int> lost;
  int others = 0;
  for (int n = 0; n < options_.nodes; ++n) {
    if (n == options_.self || entry(n).process == 0) continue;
    others += entry(n).status == Status::kAlive ? 1 : 0;
    if (entry(n).status == Status::kUnreachable) lost.push_back(n);
  }
  if (lost.empty() || random_() % static_cast<std::uint64_t>(others + 1) >= kTries) return;
  Begin(now, lost[random_() % lost.size()], false, out);
}

void Members::Tick(Micros now, std::vector<Out>* out) {
  Wake(now);
  for (std::size_t i = 0; i < probes_.size(); ++i) {
    Probe& p = probes_[i];
    if (!p.answered && p.again_at != 0 && p.again_at <= now) {
      p.again_at = ++p.pings < kPings
                       ? now + std::max(kAgainLeast, (p.again_at - p.sent) / (p.pings - 1))
                       : 0;
      const Probe again = p;  // what is said may add probes
      Say(now, again.target, kPing, again.number, -1, out);
    }
    if (!p.answered && !p.asked && p.direct_until <= now) {
      p.asked = true;
      p.again_at = 0;
      if (p.lost) continue;
      const std::vector<int> helpers = Some(options_.helpers, p.target);
      p.helpers = static_cast<int>(helpers.size());
      counts_.asks += helpers.size();
      const Probe asked = p;
      for (const int h : helpers) Say(now, h, kAsk, asked.number, asked.target, out);
    }
  }
  for (std::size_t i = 0; i < probes_.size();) {
    if (probes_[i].until > now) {
      ++i;
      continue;
    }
    const Probe p = probes_[i];
    probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(i));
    Resolve(now, p, out);
  }
  for (std::size_t i = 0; i < relays_.size();) {
    Relay& r = relays_[i];
    if (r.nack_at != 0 && r.nack_at <= now) {
      r.nack_at = 0;
      const Relay late = r;
      Say(now, late.asker, kNack, late.theirs, late.target, out);
    }
    if (relays_[i].until <= now)
      relays_.erase(relays_.begin() + static_cast<std::ptrdiff_t>(i));
    else
      ++i;
  }
  const bool nobody = HearsNobody(now);
  for (int n = 0; n < options_.nodes; ++n) {
    Peer& p = At(n);
    if (p.deadline == 0 || p.deadline > now) continue;
    // "I hear nobody" is no word about them.
    if (nobody || doubts_) {
      p.deadline = now + options_.period;
      continue;
    }
    Adopt(now, n, {p.entry.process, p.entry.version, Status::kUnreachable}, options_.self);
  }
  if (next_period_ <= now) Period(now, out);
}

void Members::Resolve(Micros now, const Probe& p, std::vector<Out>* out) {
  const Peer& target = At(p.target);
  results_.push_back(
      {now, p.target, target.direct >= p.sent - window_ * options_.period, p.direct});
  while (results_.size() > static_cast<std::size_t>(window_)) results_.pop_front();
  if (p.answered) return Slower(-1);
  ++counts_.failed;
  // Helpers that said nothing at all hint that it is this node that does not hear.
  Slower(p.helpers > 0 ? std::max(0, p.helpers - p.nacks) > 0 ? 1 : 0 : 1);
  // Of a process that has come up since it says nothing.
  if (target.entry.process == 0 || target.entry.process != p.process ||
      target.entry.status == Status::kUnreachable || target.entry.status == Status::kLeft)
    return;
  if (doubts_ || HearsNobody(now)) {
    ++counts_.held_back;
    return;
  }
  // What is said to all has to be refuted to all: one more probe, before it is said.
  if (!p.second && target.entry.status == Status::kAlive) return Begin(now, p.target, true, out);
  Suspect(now, p.target);
}

void Members::Suspect(Micros now, int node) {
  Peer& p = At(node);
  if (p.entry.status == Status::kAlive) {
    ++counts_.suspicions;
    Adopt(now, node, {p.entry.process, p.entry.version, Status::kSuspect}, options_.self);
  } else {
    Share(node, options_.self);
  }
}

void Members::Share(int node, int by) {
  Peer& p = At(node);
  if (p.entry.status != Status::kSuspect ||
      std::find(p.suspects.begin(), p.suspects.end(), by) != p.suspects.end())
    return;
  if (p.suspects.size() > kShared) return;
  p.suspects.push_back(by);
  if (by == options_.self) p.sent = 0;  // that this node, too, suspects it is news
  SetDeadline(&p);
}

void Members::SetDeadline(Peer* p) {
  const double least = SuspicionLeast(options_) * static_cast<double>(options_.period);
  double wait = least;
  if (options_.lifeguard) {
    const int shared = std::min<int>(
        {static_cast<int>(p->suspects.size()) - 1, kShared, std::max(0, options_.nodes - 2)});
    const int most = std::min(kShared, std::max(1, options_.nodes - 2));
    const double part = std::log(1 + std::max(0, shared)) / std::log(1 + most);
    wait = least * options_.doubt - (least * options_.doubt - least) * part;
  }
  p->deadline = std::max<Micros>(p->suspected + static_cast<Micros>(wait), 1);
}

// The one way by which what is held of a node changes.
void Members::Adopt(Micros now, int node, const Entry& entry, int by) {
  Peer& p = At(node);
  digest_ ^= HashOf(node);
  const Entry before = p.entry;
  p.entry = entry;
  digest_ ^= HashOf(node);
  p.changed = now;
  p.sent = 0;
  p.suspects.clear();
  p.deadline = 0;
  if (entry.status == Status::kSuspect) {
    p.suspected = now;
    p.suspects = {by};
    SetDeadline(&p);
  }
  if (before.process != entry.process) p.refused = false;
  changes_.push_back({now, node, before, entry, by});
}

// Word of a node's entry, from `from`; `by` is who says so first.
void Members::Learn(Micros now, int node, const Entry& said, int by, int from) {
  Peer& p = At(node);
  if (node == options_.self) {
    // Of an earlier process at this address: nothing to do with this one. Of this one: it is
    // alive, and says so with a version that nobody can have said before.
    if (said.process < p.entry.process || leaving_) return;
    if (said.process > p.entry.process) {
      // Another process had this address later by its clock: to be heard, this one must be later.
      ++counts_.refutations;
      Adopt(now, node, {said.process + 1, 0, Status::kAlive}, options_.self);
    } else if (said.status != Status::kAlive && said.version >= p.entry.version) {
      ++counts_.refutations;
      if (said.status == Status::kSuspect) Slower(1);
      // What has left is final for its process, so that one has to be another.
      if (said.status == Status::kLeft)
        Adopt(now, node, {said.process + 1, 0, Status::kAlive}, options_.self);
      else
        Adopt(now, node, {said.process, said.version + 1, Status::kAlive}, options_.self);
    }
    return;
  }
  if (said == p.entry) {
    if (said.status == Status::kSuspect) Share(node, by);
    return;
  }
  if (!Later(said, p.entry)) {
    if (from != node) At(from).differs = true;  // it does not know yet
    return;
  }
  if (said.status == Status::kAlive) {
    p.heard = now;
    p.heard_from = from;
  }
  Adopt(now, node, said, by);
}

void Members::Hear(Micros now, int from, std::uint64_t process, bool late, std::string_view section,
                   std::vector<Out>* out) {
  Wake(now);
  wire::Section s;
  if (!Valid(from) || from == options_.self ||
      !s.ParseFromArray(section.data(), static_cast<int>(section.size())) ||
      s.process_size() != s.node_size() || s.entry_version_size() != s.node_size() ||
      s.status_size() != s.node_size() || s.by_size() != s.node_size()) {
    ++counts_.malformed;
    return;
  }
  Peer& p = At(from);
  if (process < p.entry.process) return Refused(from);
  Learn(now, from, {process, s.version(), Status::kAlive}, from, from);
  if (!late) {
    p.heard = p.direct = last_any_ = now;
    p.heard_from = from;
    p.asked = static_cast<int>(std::min<std::uint32_t>(s.asked(), 255));
    p.heard_of = static_cast<int>(std::min<std::uint32_t>(s.heard(), s.asked()));
  }
  for (int i = 0; i < s.node_size(); ++i) {
    const int node = static_cast<int>(s.node(i)), by = static_cast<int>(s.by(i)) - 1;
    if (!Valid(node) || !Valid(by) || s.status(i) > 3 || s.process(i) == 0 ||
        s.process(i) > (std::uint64_t{1} << 47)) {
      ++counts_.malformed;
      continue;
    }
    // Of itself the sender can only say that it leaves.
    if (node != from || static_cast<Status>(s.status(i)) == Status::kLeft)
      Learn(now, node,
            {s.process(i) + kEpoch, s.entry_version(i), static_cast<Status>(s.status(i))}, by,
            from);
  }
  p.differs = s.digest() != digest_;
  p.wants.clear();
  for (int i = 0; i < std::min(kWants, s.want_size()); ++i)
    if (Valid(static_cast<int>(s.want(i)))) p.wants.push_back(static_cast<int>(s.want(i)));
  const int about = static_cast<int>(s.about()) - 1;
  switch (s.kind()) {
    case kPing:
      if (!leaving_) Say(now, from, kAck, s.probe(), -1, out);
      return;
    case kAsk:
      return OnPingRequest(now, from, s.probe(), about, out);
    case kAck:
      return OnAck(now, from, s.probe(), about, out);
    case kNack:
      for (Probe& probe : probes_)
        if (probe.number == s.probe() && probe.target == about) ++probe.nacks;
      return;
    default:
      return;  // of a later version
  }
}

void Members::OnPingRequest(Micros now, int from, std::uint32_t probe, int about,
                            std::vector<Out>* out) {
  if (!Valid(about) || about == options_.self || leaving_ || relays_.size() >= kMaxRelays) return;
  Relay relay;
  relay.number = ++last_probe_;
  relay.theirs = probe;
  relay.target = about;
  relay.asker = from;
  relay.until = now + options_.period;
  relay.nack_at = now + static_cast<Micros>(kNackAfter * static_cast<double>(options_.period));
  relays_.push_back(relay);
  Say(now, about, kPing, relay.number, -1, out);
}

void Members::OnAck(Micros now, int from, std::uint32_t number, int about, std::vector<Out>* out) {
  for (Probe& probe : probes_) {
    if (probe.number != number || probe.target != (about >= 0 ? about : from)) continue;
    probe.answered = true;
    probe.direct = probe.direct || about < 0;
    if (probe.sent >= woke_) doubts_ = false;
    if (about >= 0) {
      At(probe.target).heard = now;
      At(probe.target).heard_from = from;
    }
  }
  for (std::size_t i = 0; i < relays_.size(); ++i) {
    const Relay relay = relays_[i];
    if (about >= 0 || relay.number != number || relay.target != from) continue;
    relays_.erase(relays_.begin() + static_cast<std::ptrdiff_t>(i));
    return Say(now, relay.asker, kAck, relay.theirs, relay.target, out);
  }
}

void Members::Refused(int from) {
  if (Valid(from)) At(from).refused = true;
}

void Members::Leave(Micros now, std::vector<Out>* out) {
  if (leaving_) return;
  const Entry mine = entry(options_.self);
  Adopt(now, options_.self, {mine.process, mine.version + 1, Status::kLeft}, options_.self);
  leaving_ = true;
  // Enough that one of them hears it though half of all words are lost, and each more often lost.
  for (const int n : Some(2 * options_.helpers, -1)) Say(now, n, kAck, 0, -1, out);
}

void Members::Say(Micros now, int to, int kind, std::uint32_t probe, int about,
                  std::vector<Out>* out) {
  wire::Section s;
  s.set_kind(static_cast<std::uint32_t>(kind));
  s.set_probe(probe);
  s.set_about(static_cast<std::uint32_t>(about + 1));
  s.set_version(entry(options_.self).version);
  s.set_digest(digest_);
  const View seen = view(now);
  s.set_asked(static_cast<std::uint32_t>(seen.asked));
  s.set_heard(static_cast<std::uint32_t>(seen.heard));
  // A fleet that starts all at once would else wait for the last few names by chance.
  const std::size_t first = random_() % peers_.size();
  for (std::size_t i = 0; i < peers_.size() && s.want_size() < kWants; ++i) {
    const std::size_t n = (first + i) % peers_.size();
    if (peers_[n].entry.process == 0) s.add_want(static_cast<std::uint32_t>(n));
  }
  std::vector<bool> said(peers_.size());
  // Columns cost a tag and a length each, then what the entry takes.
  std::size_t room = options_.bytes - std::min(options_.bytes, s.ByteSizeLong() + 10);
  const auto add = [&](int node) {
    Peer& p = At(node);
    if (said[static_cast<std::size_t>(node)] || p.entry.process == 0) return true;
    const auto varint = [](std::uint64_t v) {
      std::size_t n = 1;
      for (; v >= 128; v >>= 7) ++n;
      return n;
    };
    const bool mine =
        std::find(p.suspects.begin(), p.suspects.end(), options_.self) != p.suspects.end();
    const int by = p.suspects.empty() ? node : mine ? options_.self : p.suspects.front();
    const std::size_t size = varint(static_cast<std::uint64_t>(node)) +
                             varint(p.entry.process - kEpoch) + varint(p.entry.version) + 1 +
                             varint(static_cast<std::uint64_t>(by) + 1);
    if (size > room) return false;
    room -= size;
    said[static_cast<std::size_t>(node)] = true;
    s.add_node(static_cast<std::uint32_t>(node));
    s.add_process(p.entry.process - kEpoch);
    s.add_entry_version(p.entry.version);
    s.add_status(static_cast<std::uint32_t>(p.entry.status));
    s.add_by(static_cast<std::uint32_t>(by + 1));
    ++p.sent;
    return true;
  };
  Peer& receiver = At(to);
  // Whom it concerns hears it first: only it can refute it.
  if (receiver.entry.status != Status::kAlive || receiver.refused) add(to);
  receiver.refused = false;
  for (const int n : std::exchange(receiver.wants, {})) add(n);
  // News, the least told first, so often that it reaches everybody.
  const int often = 4 * static_cast<int>(std::ceil(std::log10(options_.nodes + 1.0)));
  std::vector<std::pair<int, int>> news;
  for (int n = 0; n < options_.nodes; ++n)
    if (At(n).sent < often) news.emplace_back(At(n).sent, n);
  std::sort(news.begin(), news.end());
  bool fits = true;
  for (const auto& [sent, n] : news)
    if (!(fits = add(n))) break;
  // Where its digest was another: what changed last, then all in turn.
  if (fits && receiver.differs) {
    receiver.differs = false;
    std::vector<std::pair<Micros, int>> latest;
    latest.reserve(options_.nodes);
    for (int n = 0; n < options_.nodes; ++n) latest.emplace_back(-At(n).changed, n);
    const std::size_t some = std::min(kLatest, latest.size());
    std::partial_sort(latest.begin(), latest.begin() + static_cast<std::ptrdiff_t>(some),
                      latest.end());
    for (std::size_t i = 0; i < some && fits; ++i) fits = add(latest[i].second);
    for (std::size_t i = 0; i < std::min(kInTurn, peers_.size()) && fits; ++i) {
      fits = add(static_cast<int>(cursor_ % peers_.size()));
      if (fits) ++cursor_;
    }
  }
  out->push_back({to, s.SerializeAsString()});
}

std::vector<Change> Members::TakeChanges() { return std::exchange(changes_, {}); }

std::pair<int, int> Members::says(int node) const {
  const Peer& p = peers_[static_cast<std::size_t>(node)];
  return {p.asked, p.heard_of};
}

View Members::view(Micros now) const {
  View v;
  for (int n = 0; n < options_.nodes; ++n) {
    if (n == options_.self) continue;
    const Entry& e = entry(n);
    ++(e.process == 0                     ? v.unknown
       : e.status == Status::kAlive       ? v.alive
       : e.status == Status::kSuspect     ? v.suspect
       : e.status == Status::kUnreachable ? v.unreachable
                                          : v.left);
  }
  // The last word of each target counts.
  std::vector<int> seen;
  for (auto it = results_.rbegin(); it != results_.rend(); ++it) {
    if (std::find(seen.begin(), seen.end(), it->target) != seen.end()) continue;
    seen.push_back(it->target);
    if (entry(it->target).status == Status::kLeft) continue;
    ++v.asked;
    v.heard += it->heard ? 1 : 0;
    v.heard_by += it->answered ? 1 : 0;
  }
  v.hears_nobody = HearsNobody(now);
  v.doubts_itself = doubts_;
  v.digest = digest_;
  return v;
}

std::size_t Members::bytes() const {
  std::size_t sum = sizeof *this + ring_.capacity() * sizeof(int) +
                    peers_.capacity() * sizeof(Peer) + probes_.capacity() * sizeof(Probe) +
                    relays_.capacity() * sizeof(Relay) + results_.size() * sizeof(Result) +
                    changes_.capacity() * sizeof(Change);
  for (const Peer& p : peers_) sum += p.suspects.capacity() * sizeof(int);
  return sum;
}

}  // namespace pearreach::membership
