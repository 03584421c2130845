#include "node/shared_state/words.h"

#include <algorithm>
#include <cmath>

#include "node/shared_state/shared.pb.h"

namespace pearreach::shared_state {
namespace {

constexpr Micros kEpoch = kEpochMs * 1000;
constexpr int kMaxEntries = 64;  // per column; a datagram holds fewer
constexpr std::uint64_t kMaxValue = 1'000'000'000'000'000;

std::uint64_t ToWireMicros(Micros at) {
  return static_cast<std::uint64_t>(std::max<Micros>(0, at - kEpoch));
}
std::uint64_t ToWireMs(std::uint64_t ms) {
  return ms > static_cast<std::uint64_t>(kEpochMs) ? ms - kEpochMs : 0;
}
std::uint64_t ToWireRate(double per_second) {
  return static_cast<std::uint64_t>(std::ceil(std::max(0.0, per_second) * 1000));
}

void Put(const Grant& g, wire::Section* to) {
  to->add_grant_budget(static_cast<std::uint32_t>(g.budget));
  to->add_grant_number(g.number);
  to->add_grant_process(ToWireMs(g.to_process));
  to->add_grant_amount(static_cast<std::uint64_t>(g.amount));
  to->add_grant_until(ToWireMicros(g.expires_at));
}
void Put(const QuotaRequest& a, wire::Section* to) {
  to->add_ask_budget(static_cast<std::uint32_t>(a.budget));
  to->add_ask_amount(static_cast<std::uint64_t>(a.amount));
}
void Put(const HealthReport& o, wire::Section* to) {
  const Micros at = kEpoch + static_cast<Micros>(to->at());
  to->add_worker(o.worker);
  to->add_start(o.worker_start_ms <= kEpochMs
                    ? 0
                    : static_cast<std::uint64_t>(o.worker_start_ms - kEpochMs + 1));
  to->add_witness(static_cast<std::uint32_t>(o.reporter));
  to->add_witness_zone(static_cast<std::uint32_t>(o.reporter_zone));
  to->add_witness_process(ToWireMs(o.reporter_process));
  to->add_number(o.sequence);
  to->add_verdict(static_cast<std::uint32_t>(o.status));
  to->add_seen((at - o.observed_at) / 1000);
}
void PutOwnUsage(const UsageUpdate& w, double limit, wire::Section* to) {
  to->add_account(static_cast<std::uint32_t>(w.account));
  to->add_value(w.value);
  to->add_ceiling(ToWireRate(w.ceiling));
  to->add_whole(ToWireRate(limit));
}
void PutRelayedUsage(const UsageUpdate& w, wire::Section* to) {
  to->add_node(static_cast<std::uint32_t>(w.node));
  to->add_process(ToWireMs(w.process));
  to->add_age(static_cast<std::uint64_t>(
      std::max<Micros>(0, kEpoch + static_cast<Micros>(to->at()) - w.at)));
  to->add_node_account(static_cast<std::uint32_t>(w.account));
  to->add_node_value(w.value);
  to->add_node_ceiling(ToWireRate(w.ceiling));
}

// Columns of one kind of entry must have the same length.
template <class... Column>
bool SameSize(const Column&... columns) {
  const int sizes[] = {columns.size()...};
  return sizes[0] <= kMaxEntries &&
         std::all_of(std::begin(sizes), std::end(sizes), [&](int s) { return s == sizes[0]; });
}
bool Bounded(std::uint64_t value) { return value <= kMaxValue; }

}  // namespace

std::string Encode(const Message& message, std::size_t max_bytes, int* left_out) {
  wire::Section s;
  s.set_zone(static_cast<std::uint32_t>(message.zone));
  s.set_at(ToWireMicros(message.at));
  int omitted = 0;
  std::string bytes = s.SerializeAsString();
  // The size of an entry is known only once it is added: `bytes` keeps the last state that fits.
  const auto add = [&](auto put) {
    if (omitted > 0) return void(++omitted);
    put();
    if (s.ByteSizeLong() > max_bytes)
      ++omitted;
    else
      s.SerializeToString(&bytes);
  };
  for (const Grant& g : message.grants) add([&] { Put(g, &s); });
  for (const QuotaRequest& a : message.requests) add([&] { Put(a, &s); });
  for (const HealthReport& o : message.health_reports) add([&] { Put(o, &s); });
  for (std::size_t i = 0; i < message.own_usage.size(); ++i)
    add([&] {
      PutOwnUsage(message.own_usage[i], i < message.limits.size() ? message.limits[i] : 0, &s);
    });
  for (const UsageUpdate& w : message.relayed_usage) add([&] { PutRelayedUsage(w, &s); });
  if (left_out != nullptr) *left_out = omitted;
  return bytes.size() <= max_bytes ? bytes : std::string();
}

std::optional<Message> Decode(std::string_view bytes, int from, std::uint64_t process) {
  wire::Section s;
  if (!s.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (!SameSize(s.account(), s.value(), s.ceiling(), s.whole()) ||
      !SameSize(s.node(), s.process(), s.age(), s.node_account(), s.node_value(),
                s.node_ceiling()) ||
      !SameSize(s.ask_budget(), s.ask_amount()) ||
      !SameSize(s.grant_budget(), s.grant_number(), s.grant_process(), s.grant_amount(),
                s.grant_until()) ||
      !SameSize(s.worker(), s.start(), s.witness(), s.witness_zone(), s.witness_process(),
                s.number(), s.verdict(), s.seen()) ||
      !Bounded(s.at()) || s.zone() > 10'000)
    return std::nullopt;
  Message w;
  w.zone = static_cast<int>(s.zone());
  w.at = kEpoch + static_cast<Micros>(s.at());
  const auto checked_id = [](std::uint32_t n) { return n > 1'000'000 ? -1 : static_cast<int>(n); };
  for (int i = 0; i < s.account_size(); ++i) {
    if (!Bounded(s.value(i)) || !Bounded(s.ceiling(i)) || !Bounded(s.whole(i))) return std::nullopt;
    w.own_usage.push_back({from, checked_id(s.account(i)), process, w.at, s.value(i),
                           static_cast<double>(s.ceiling(i)) / 1000});
    w.limits.push_back(static_cast<double>(s.whole(i)) / 1000);
  }
  for (int i = 0; i < s.node_size(); ++i) {
    if (!Bounded(s.node_value(i)) || !Bounded(s.node_ceiling(i)) || !Bounded(s.age(i)) ||
        !Bounded(s.process(i)))
      return std::nullopt;
    w.relayed_usage.push_back({checked_id(s.node(i)), checked_id(s.node_account(i)),
                               kEpochMs + s.process(i), w.at - static_cast<Micros>(s.age(i)),
                               s.node_value(i), static_cast<double>(s.node_ceiling(i)) / 1000});
  }
  for (int i = 0; i < s.ask_budget_size(); ++i) {
    if (!Bounded(s.ask_amount(i))) return std::nullopt;
    w.requests.push_back({checked_id(s.ask_budget(i)), static_cast<std::int64_t>(s.ask_amount(i))});
  }
  for (int i = 0; i < s.grant_budget_size(); ++i) {
    if (!Bounded(s.grant_amount(i)) || !Bounded(s.grant_until(i)) || !Bounded(s.grant_process(i)))
      return std::nullopt;
    w.grants.push_back({checked_id(s.grant_budget(i)), s.grant_number(i),
                        kEpochMs + s.grant_process(i), static_cast<std::int64_t>(s.grant_amount(i)),
                        kEpoch + static_cast<Micros>(s.grant_until(i))});
  }
  for (int i = 0; i < s.worker_size(); ++i) {
    if (!Bounded(s.start(i)) || !Bounded(s.witness_process(i)) || s.verdict(i) > 4 ||
        !Bounded(static_cast<std::uint64_t>(std::abs(s.seen(i) / 2))))
      return std::nullopt;
    w.health_reports.push_back(
        {s.worker(i), s.start(i) == 0 ? 0 : kEpochMs + static_cast<std::int64_t>(s.start(i)) - 1,
         checked_id(s.witness(i)), checked_id(s.witness_zone(i)), kEpochMs + s.witness_process(i),
         s.number(i), static_cast<HealthStatus>(s.verdict(i)), w.at - s.seen(i) * 1000});
  }
  return w;
}

}  // namespace pearreach::shared_state
