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

enum Kind { kPing = 1, kAck = 2, kPingRequest = 3, kNack = 4 };

constexpr double kResendPeriods = 0.15;  // of a period without an answer: the ping is sent again
constexpr Micros kMinResendMicros = 40'000;  // a round trip, by the platform's protocol
constexpr int kMaxPings = 3;                 // per probe
constexpr std::uint64_t kUnreachableProbesPerPeriod = 4;  // of all nodes together
constexpr double kDirectPeriods = 0.45;  // of a period without an answer: helpers are asked
constexpr double kNackPeriods = 0.3;     // of a period without an answer: a helper sends a nack
constexpr int kMaxConfirmations = 3;     // with so many confirmations the timeout is the minimum
constexpr Micros kMinStallMicros = 100'000;  // a shorter delay of Tick is not a stall
constexpr int kIsolatedPeriods = 10;         // without any datagram for so long, a node is isolated
constexpr std::size_t kMaxRelays = 64;
constexpr int kMaxRequestedEntries = 6;  // per section
// Entries per section for a node with another digest: the latest changes, then others in turn.
constexpr std::size_t kLatestEntries = 3, kEntriesInTurn = 4;

}  // namespace

const char* NameOf(Status status) {
  constexpr const char* kNames[] = {"alive", "suspect", "unreachable", "left"};
  return kNames[static_cast<std::size_t>(status)];
}

bool Supersedes(const Entry& a, const Entry& b) {
  const auto key = [](const Entry& e) {
    return std::tuple(e.process, e.status == Status::kLeft, e.version, e.status);
  };
  return key(a) > key(b);
}

double Members::MinSuspicionPeriods(const Options& o) {
  return o.suspicion_multiplier * std::max(1.0, std::log10(static_cast<double>(o.nodes)));
}

Members::Members(const Options& options, std::uint64_t seed, Micros now, std::uint64_t process)
    : options_(options),
      window_(Window(options.nodes)),
      random_(seed),
      peers_(static_cast<std::size_t>(options.nodes)) {
  for (int n = 0; n < options_.nodes; ++n) digest_ ^= HashOf(n);
  started_ = last_received_ = now;
  SetEntry(now, options_.self, {std::max<std::uint64_t>(process, kEpoch + 1), 0, Status::kAlive},
           options_.self);
  // A random offset keeps the nodes from probing at the same time.
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
    at = std::min(at, p.indirect || p.acked ? p.deadline
                      : p.resend_at != 0    ? p.resend_at
                                            : p.direct_deadline);
  for (const Relay& r : relays_) at = std::min(at, r.nack_at != 0 ? r.nack_at : r.deadline);
  for (const Peer& p : peers_)
    if (p.deadline != 0) at = std::min(at, p.deadline);
  return at;
}

// Detects that this process was stopped. It could not receive anything meanwhile, so the missing
// answers are no evidence against other nodes: pending probes are dropped, suspicion timeouts are
// extended by the stall, and no node is suspected until a probe is answered.
void Members::DetectStall(Micros now) {
  const Micros late = now - next();
  if (late < std::max(kMinStallMicros, options_.period / 2)) return;
  ++counts_.stalls;
  probes_.clear();
  relays_.clear();
  for (Peer& p : peers_)
    if (p.deadline != 0) p.deadline = std::max(p.deadline + late, now + options_.period);
  next_period_ = now;
  last_received_ += late;
  unconfirmed_after_stall_ = true;
  resumed_at_ = now;
  AdjustHealthScore(2);
}

void Members::AdjustHealthScore(int delta) {
  if (options_.lifeguard) health_score_ = std::clamp(health_score_ + delta, 0, kMaxHealthScore);
}

bool Members::IsIsolated(Micros now) const {
  if (options_.nodes < 2 || now - last_received_ <= kIsolatedPeriods * options_.period)
    return false;
  return std::none_of(results_.begin(), results_.end(),
                      [&](const Result& r) { return r.acked && r.at > last_received_; });
}

int Members::NextTarget() {
  // Each round has a new random order, so every node is probed within two rounds.
  for (std::size_t looked = 0; looked <= 2 * peers_.size(); ++looked) {
    if (next_in_order_ >= probe_order_.size()) {
      probe_order_.clear();
      for (int n = 0; n < options_.nodes; ++n)
        if (n != options_.self) probe_order_.push_back(n);
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
      next_in_order_ = 0;
      if (probe_order_.empty()) return -1;
    }
    const int n = probe_order_[next_in_order_++];
    const Entry& e = entry(n);
    if (e.status == Status::kAlive || e.status == Status::kSuspect || e.process == 0) return n;
  }
  return -1;
}

std::vector<int> Members::RandomAlive(int count, int excluded) {
  std::vector<int> alive;
  for (int n = 0; n < options_.nodes; ++n)
    if (n != options_.self && n != excluded && entry(n).status == Status::kAlive)
      alive.push_back(n);
  std::vector<int> chosen;
  for (; count > 0 && !alive.empty(); --count) {
    const std::size_t i = random_() % alive.size();
    chosen.push_back(alive[i]);
    alive[i] = alive.back();
    alive.pop_back();
  }
  return chosen;
}

void Members::StartProbe(Micros now, int target, bool is_second, std::vector<Outgoing>* out) {
  if (std::any_of(probes_.begin(), probes_.end(),
                  [&](const Probe& p) { return p.target == target; }))
    return;
  ++counts_.probes;
  const auto scaled = [&](double periods) {
    return static_cast<Micros>(periods * (1 + health_score_) *
                               static_cast<double>(options_.period));
  };
  Probe p;
  p.number = ++last_probe_;
  p.target = target;
  p.process = entry(target).process;
  p.is_second = is_second;
  p.to_unreachable = entry(target).status == Status::kUnreachable && p.process != 0;
  p.sent_at = now;
  p.resend_at = p.to_unreachable ? 0 : now + std::max(kMinResendMicros, scaled(kResendPeriods));
  p.direct_deadline = now + scaled(p.to_unreachable ? 1 : kDirectPeriods);
  p.deadline = now + scaled(1);
  probes_.push_back(p);
  Send(now, target, kPing, p.number, -1, out);
}

void Members::StartPeriod(Micros now, std::vector<Outgoing>* out) {
  next_period_ = std::max(next_period_ + options_.period, now + options_.period / 2);
  if (leaving_) return;
  if (const int target = NextTarget(); target >= 0) StartProbe(now, target, false, out);
  // Unreachable nodes are probed as well, since after a network partition one side has to make
  // contact. All nodes together send about kUnreachableProbesPerPeriod such probes per period.
  std::vector<int> unreachable;
  int alive = 0;
  for (int n = 0; n < options_.nodes; ++n) {
    if (n == options_.self || entry(n).process == 0) continue;
    alive += entry(n).status == Status::kAlive ? 1 : 0;
    if (entry(n).status == Status::kUnreachable) unreachable.push_back(n);
  }
  if (unreachable.empty() ||
      random_() % static_cast<std::uint64_t>(alive + 1) >= kUnreachableProbesPerPeriod)
    return;
  StartProbe(now, unreachable[random_() % unreachable.size()], false, out);
}

void Members::Tick(Micros now, std::vector<Outgoing>* out) {
  DetectStall(now);
  for (std::size_t i = 0; i < probes_.size(); ++i) {
    Probe& p = probes_[i];
    if (!p.acked && p.resend_at != 0 && p.resend_at <= now) {
      p.resend_at =
          ++p.pings < kMaxPings
              ? now + std::max(kMinResendMicros, (p.resend_at - p.sent_at) / (p.pings - 1))
              : 0;
      const Probe resent = p;  // a copy, because Send may add probes
      Send(now, resent.target, kPing, resent.number, -1, out);
    }
    if (!p.acked && !p.indirect && p.direct_deadline <= now) {
      p.indirect = true;
      p.resend_at = 0;
      if (p.to_unreachable) continue;
      const std::vector<int> helpers = RandomAlive(options_.indirect_probes, p.target);
      p.helpers = static_cast<int>(helpers.size());
      counts_.ping_requests += helpers.size();
      const Probe current = p;
      for (const int h : helpers) Send(now, h, kPingRequest, current.number, current.target, out);
    }
  }
  for (std::size_t i = 0; i < probes_.size();) {
    if (probes_[i].deadline > now) {
      ++i;
      continue;
    }
    const Probe p = probes_[i];
    probes_.erase(probes_.begin() + static_cast<std::ptrdiff_t>(i));
    FinishProbe(now, p, out);
  }
  for (std::size_t i = 0; i < relays_.size();) {
    Relay& r = relays_[i];
    if (r.nack_at != 0 && r.nack_at <= now) {
      r.nack_at = 0;
      const Relay expired = r;
      Send(now, expired.requester, kNack, expired.requester_probe, expired.target, out);
    }
    if (relays_[i].deadline <= now)
      relays_.erase(relays_.begin() + static_cast<std::ptrdiff_t>(i));
    else
      ++i;
  }
  const bool isolated = IsIsolated(now);
  for (int n = 0; n < options_.nodes; ++n) {
    Peer& p = PeerAt(n);
    if (p.deadline == 0 || p.deadline > now) continue;
    // An isolated or stalled node has no evidence against the others.
    if (isolated || unconfirmed_after_stall_) {
      p.deadline = now + options_.period;
      continue;
    }
    SetEntry(now, n, {p.entry.process, p.entry.version, Status::kUnreachable}, options_.self);
  }
  if (next_period_ <= now) StartPeriod(now, out);
}

void Members::FinishProbe(Micros now, const Probe& p, std::vector<Outgoing>* out) {
  const Peer& target = PeerAt(p.target);
  results_.push_back({now, p.target, target.last_direct >= p.sent_at - window_ * options_.period,
                      p.acked_directly});
  while (results_.size() > static_cast<std::size_t>(window_)) results_.pop_front();
  if (p.acked) return AdjustHealthScore(-1);
  ++counts_.failed_probes;
  // Missing nacks from helpers indicate that this node itself is slow or cut off (Lifeguard).
  AdjustHealthScore(p.helpers > 0 ? std::max(0, p.helpers - p.nacks) > 0 ? 1 : 0 : 1);
  // The result says nothing about a process that replaced the probed one.
  if (target.entry.process == 0 || target.entry.process != p.process ||
      target.entry.status == Status::kUnreachable || target.entry.status == Status::kLeft)
    return;
  if (unconfirmed_after_stall_ || IsIsolated(now)) {
    ++counts_.withheld_suspicions;
    return;
  }
  // A false suspicion has to be refuted to all nodes, so a second probe comes before it.
  if (!p.is_second && target.entry.status == Status::kAlive)
    return StartProbe(now, p.target, true, out);
  Suspect(now, p.target);
}

void Members::Suspect(Micros now, int node) {
  Peer& p = PeerAt(node);
  if (p.entry.status == Status::kAlive) {
    ++counts_.suspicions;
    SetEntry(now, node, {p.entry.process, p.entry.version, Status::kSuspect}, options_.self);
  } else {
    AddSuspicion(node, options_.self);
  }
}

void Members::AddSuspicion(int node, int reporter) {
  Peer& p = PeerAt(node);
  if (p.entry.status != Status::kSuspect ||
      std::find(p.suspected_by.begin(), p.suspected_by.end(), reporter) != p.suspected_by.end())
    return;
  if (p.suspected_by.size() > kMaxConfirmations) return;
  p.suspected_by.push_back(reporter);
  if (reporter == options_.self) p.transmissions = 0;  // this node's own suspicion is a new update
  SetDeadline(&p);
}

void Members::SetDeadline(Peer* p) {
  const double min_wait = MinSuspicionPeriods(options_) * static_cast<double>(options_.period);
  double wait = min_wait;
  if (options_.lifeguard) {
    const int confirmations = std::min<int>({static_cast<int>(p->suspected_by.size()) - 1,
                                             kMaxConfirmations, std::max(0, options_.nodes - 2)});
    const int max_confirmations = std::min(kMaxConfirmations, std::max(1, options_.nodes - 2));
    const double fraction =
        std::log(1 + std::max(0, confirmations)) / std::log(1 + max_confirmations);
    wait = min_wait * options_.max_suspicion_factor -
           (min_wait * options_.max_suspicion_factor - min_wait) * fraction;
  }
  p->deadline = std::max<Micros>(p->suspected_at + static_cast<Micros>(wait), 1);
}

// Sets the entry of a node. All changes go through this function, which keeps the digest up to date
// and records the change.
void Members::SetEntry(Micros now, int node, const Entry& entry, int reporter) {
  Peer& p = PeerAt(node);
  digest_ ^= HashOf(node);
  const Entry previous = p.entry;
  p.entry = entry;
  digest_ ^= HashOf(node);
  p.changed_at = now;
  p.transmissions = 0;
  p.suspected_by.clear();
  p.deadline = 0;
  if (entry.status == Status::kSuspect) {
    p.suspected_at = now;
    p.suspected_by = {reporter};
    SetDeadline(&p);
  }
  if (previous.process != entry.process) p.replaced_sender = false;
  changes_.push_back({now, node, previous, entry, reporter});
}

// Merges an entry that `from` sent. `reporter` is the node that reported it first.
void Members::Merge(Micros now, int node, const Entry& update, int reporter, int from) {
  Peer& p = PeerAt(node);
  if (node == options_.self) {
    // Entries of an earlier process at this address do not concern this one. An entry that reports
    // this process as not alive is refuted with a version that no node has used yet.
    if (update.process < p.entry.process || leaving_) return;
    if (update.process > p.entry.process) {
      // Another process had this address, with a later start by its clock. Other nodes would reject
      // this process, so it takes a later start time.
      ++counts_.refutations;
      SetEntry(now, node, {update.process + 1, 0, Status::kAlive}, options_.self);
    } else if (update.status != Status::kAlive && update.version >= p.entry.version) {
      ++counts_.refutations;
      if (update.status == Status::kSuspect) AdjustHealthScore(1);
      // kLeft is final for a process, so this node continues under a new process time.
      if (update.status == Status::kLeft)
        SetEntry(now, node, {update.process + 1, 0, Status::kAlive}, options_.self);
      else
        SetEntry(now, node, {update.process, update.version + 1, Status::kAlive}, options_.self);
    }
    return;
  }
  if (update == p.entry) {
    if (update.status == Status::kSuspect) AddSuspicion(node, reporter);
    return;
  }
  if (!Supersedes(update, p.entry)) {
    if (from != node) PeerAt(from).digest_differs = true;  // the sender needs the later entry
    return;
  }
  if (update.status == Status::kAlive) {
    p.last_seen = now;
    p.last_seen_via = from;
  }
  SetEntry(now, node, update, reporter);
}

void Members::Receive(Micros now, int from, std::uint64_t process, bool late,
                      std::string_view section, std::vector<Outgoing>* out) {
  DetectStall(now);
  wire::Section message;
  if (!Valid(from) || from == options_.self ||
      !message.ParseFromArray(section.data(), static_cast<int>(section.size())) ||
      message.process_size() != message.node_size() ||
      message.entry_version_size() != message.node_size() ||
      message.status_size() != message.node_size() || message.by_size() != message.node_size()) {
    ++counts_.malformed;
    return;
  }
  Peer& p = PeerAt(from);
  if (process < p.entry.process) return NoteReplacedSender(from);
  Merge(now, from, {process, message.version(), Status::kAlive}, from, from);
  if (!late) {
    p.last_seen = p.last_direct = last_received_ = now;
    p.last_seen_via = from;
    p.reported_probed = static_cast<int>(std::min<std::uint32_t>(message.asked(), 255));
    p.reported_reachable =
        static_cast<int>(std::min<std::uint32_t>(message.heard(), message.asked()));
  }
  for (int i = 0; i < message.node_size(); ++i) {
    const int node = static_cast<int>(message.node(i)),
              reporter = static_cast<int>(message.by(i)) - 1;
    if (!Valid(node) || !Valid(reporter) || message.status(i) > 3 || message.process(i) == 0 ||
        message.process(i) > (std::uint64_t{1} << 47)) {
      ++counts_.malformed;
      continue;
    }
    // The sender's own status is known from the datagram, except that it leaves.
    if (node != from || static_cast<Status>(message.status(i)) == Status::kLeft)
      Merge(now, node,
            {message.process(i) + kEpoch, message.entry_version(i),
             static_cast<Status>(message.status(i))},
            reporter, from);
  }
  p.digest_differs = message.digest() != digest_;
  p.requested_entries.clear();
  for (int i = 0; i < std::min(kMaxRequestedEntries, message.want_size()); ++i)
    if (Valid(static_cast<int>(message.want(i))))
      p.requested_entries.push_back(static_cast<int>(message.want(i)));
  const int target = static_cast<int>(message.about()) - 1;
  switch (message.kind()) {
    case kPing:
      if (!leaving_) Send(now, from, kAck, message.probe(), -1, out);
      return;
    case kPingRequest:
      return OnPingRequest(now, from, message.probe(), target, out);
    case kAck:
      return OnAck(now, from, message.probe(), target, out);
    case kNack:
      for (Probe& probe : probes_)
        if (probe.number == message.probe() && probe.target == target) ++probe.nacks;
      return;
    default:
      return;  // a kind of a later version
  }
}

void Members::OnPingRequest(Micros now, int from, std::uint32_t probe, int target,
                            std::vector<Outgoing>* out) {
  if (!Valid(target) || target == options_.self || leaving_ || relays_.size() >= kMaxRelays) return;
  Relay relay;
  relay.number = ++last_probe_;
  relay.requester_probe = probe;
  relay.target = target;
  relay.requester = from;
  relay.deadline = now + options_.period;
  relay.nack_at = now + static_cast<Micros>(kNackPeriods * static_cast<double>(options_.period));
  relays_.push_back(relay);
  Send(now, target, kPing, relay.number, -1, out);
}

void Members::OnAck(Micros now, int from, std::uint32_t number, int target,
                    std::vector<Outgoing>* out) {
  for (Probe& probe : probes_) {
    if (probe.number != number || probe.target != (target >= 0 ? target : from)) continue;
    probe.acked = true;
    probe.acked_directly = probe.acked_directly || target < 0;
    if (probe.sent_at >= resumed_at_) unconfirmed_after_stall_ = false;
    if (target >= 0) {
      PeerAt(probe.target).last_seen = now;
      PeerAt(probe.target).last_seen_via = from;
    }
  }
  for (std::size_t i = 0; i < relays_.size(); ++i) {
    const Relay relay = relays_[i];
    if (target >= 0 || relay.number != number || relay.target != from) continue;
    relays_.erase(relays_.begin() + static_cast<std::ptrdiff_t>(i));
    return Send(now, relay.requester, kAck, relay.requester_probe, relay.target, out);
  }
}

void Members::NoteReplacedSender(int from) {
  if (Valid(from)) PeerAt(from).replaced_sender = true;
}

void Members::Leave(Micros now, std::vector<Outgoing>* out) {
  if (leaving_) return;
  const Entry own = entry(options_.self);
  SetEntry(now, options_.self, {own.process, own.version + 1, Status::kLeft}, options_.self);
  leaving_ = true;
  // Several nodes are informed, so that one of them very likely receives it even if half of all
  // datagrams are lost.
  for (const int n : RandomAlive(2 * options_.indirect_probes, -1)) Send(now, n, kAck, 0, -1, out);
}

void Members::Send(Micros now, int to, int kind, std::uint32_t probe, int target,
                   std::vector<Outgoing>* out) {
  wire::Section message;
  message.set_kind(static_cast<std::uint32_t>(kind));
  message.set_probe(probe);
  message.set_about(static_cast<std::uint32_t>(target + 1));
  message.set_version(entry(options_.self).version);
  message.set_digest(digest_);
  const View seen = view(now);
  message.set_asked(static_cast<std::uint32_t>(seen.probed));
  message.set_heard(static_cast<std::uint32_t>(seen.received_from));
  // Requests entries of unknown nodes. Otherwise, when a whole fleet starts at once, it would be up
  // to chance when the last few entries arrive.
  const std::size_t first = random_() % peers_.size();
  for (std::size_t i = 0; i < peers_.size() && message.want_size() < kMaxRequestedEntries; ++i) {
    const std::size_t n = (first + i) % peers_.size();
    if (peers_[n].entry.process == 0) message.add_want(static_cast<std::uint32_t>(n));
  }
  std::vector<bool> added(peers_.size());
  // Each column has a tag and a length, 10 bytes in all, in addition to the entries.
  std::size_t room = options_.max_section_bytes -
                     std::min(options_.max_section_bytes, message.ByteSizeLong() + 10);
  const auto add = [&](int node) {
    Peer& p = PeerAt(node);
    if (added[static_cast<std::size_t>(node)] || p.entry.process == 0) return true;
    const auto varint = [](std::uint64_t v) {
      std::size_t n = 1;
      for (; v >= 128; v >>= 7) ++n;
      return n;
    };
    const bool suspected_here = std::find(p.suspected_by.begin(), p.suspected_by.end(),
                                          options_.self) != p.suspected_by.end();
    const int reporter = p.suspected_by.empty() ? node
                         : suspected_here       ? options_.self
                                                : p.suspected_by.front();
    const std::size_t size = varint(static_cast<std::uint64_t>(node)) +
                             varint(p.entry.process - kEpoch) + varint(p.entry.version) + 1 +
                             varint(static_cast<std::uint64_t>(reporter) + 1);
    if (size > room) return false;
    room -= size;
    added[static_cast<std::size_t>(node)] = true;
    message.add_node(static_cast<std::uint32_t>(node));
    message.add_process(p.entry.process - kEpoch);
    message.add_entry_version(p.entry.version);
    message.add_status(static_cast<std::uint32_t>(p.entry.status));
    message.add_by(static_cast<std::uint32_t>(reporter + 1));
    ++p.transmissions;
    return true;
  };
  Peer& receiver = PeerAt(to);
  // The receiver's own entry goes first if it is not alive, since only the receiver can refute it.
  if (receiver.entry.status != Status::kAlive || receiver.replaced_sender) add(to);
  receiver.replaced_sender = false;
  for (const int n : std::exchange(receiver.requested_entries, {})) add(n);
  // Recent updates, the least often sent first. Sending each O(log n) times reaches all nodes.
  const int transmit_limit = 4 * static_cast<int>(std::ceil(std::log10(options_.nodes + 1.0)));
  std::vector<std::pair<int, int>> updates;
  for (int n = 0; n < options_.nodes; ++n)
    if (PeerAt(n).transmissions < transmit_limit) updates.emplace_back(PeerAt(n).transmissions, n);
  std::sort(updates.begin(), updates.end());
  bool fits = true;
  for (const auto& [sent, n] : updates)
    if (!(fits = add(n))) break;
  // For a receiver with another digest: the latest changes, then all entries in turn.
  if (fits && receiver.digest_differs) {
    receiver.digest_differs = false;
    std::vector<std::pair<Micros, int>> latest;
    latest.reserve(options_.nodes);
    for (int n = 0; n < options_.nodes; ++n) latest.emplace_back(-PeerAt(n).changed_at, n);
    const std::size_t count = std::min(kLatestEntries, latest.size());
    std::partial_sort(latest.begin(), latest.begin() + static_cast<std::ptrdiff_t>(count),
                      latest.end());
    for (std::size_t i = 0; i < count && fits; ++i) fits = add(latest[i].second);
    for (std::size_t i = 0; i < std::min(kEntriesInTurn, peers_.size()) && fits; ++i) {
      fits = add(static_cast<int>(sync_cursor_ % peers_.size()));
      if (fits) ++sync_cursor_;
    }
  }
  out->push_back({to, message.SerializeAsString()});
}

std::vector<Change> Members::TakeChanges() { return std::exchange(changes_, {}); }

std::pair<int, int> Members::reported_reachability(int node) const {
  const Peer& p = peers_[static_cast<std::size_t>(node)];
  return {p.reported_probed, p.reported_reachable};
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
  // The latest result of each target counts.
  std::vector<int> seen;
  for (auto it = results_.rbegin(); it != results_.rend(); ++it) {
    if (std::find(seen.begin(), seen.end(), it->target) != seen.end()) continue;
    seen.push_back(it->target);
    if (entry(it->target).status == Status::kLeft) continue;
    ++v.probed;
    v.received_from += it->received ? 1 : 0;
    v.acked_by += it->acked ? 1 : 0;
  }
  v.isolated = IsIsolated(now);
  v.unconfirmed_after_stall = unconfirmed_after_stall_;
  v.digest = digest_;
  return v;
}

std::size_t Members::memory_bytes() const {
  std::size_t sum = sizeof *this + probe_order_.capacity() * sizeof(int) +
                    peers_.capacity() * sizeof(Peer) + probes_.capacity() * sizeof(Probe) +
                    relays_.capacity() * sizeof(Relay) + results_.size() * sizeof(Result) +
                    changes_.capacity() * sizeof(Change);
  for (const Peer& p : peers_) sum += p.suspected_by.capacity() * sizeof(int);
  return sum;
}

}  // namespace pearreach::membership
