#include "node/zones/messages.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "node/zones/zones.pb.h"

namespace pearreach::zones {
namespace {

constexpr std::int64_t kEpochMs = 1'767'225'600'000;  // 2026-01-01, Unix ms
constexpr int kMaxEntries = 64;                       // per column; a datagram holds fewer
constexpr std::uint64_t kMaxValue = 1'000'000'000'000'000;
constexpr std::uint32_t kMaxNode = 1'000'000;

std::int64_t AgeMs(const wire::Section& s, Micros at) {
  return kEpochMs + static_cast<std::int64_t>(s.at()) - at / 1000;
}

void Put(const Decision& v, wire::Section* to) {
  to->add_verdict_target(v.target);
  to->add_verdict_for(static_cast<std::uint32_t>(v.for_zone + 1));
  to->add_verdict_number(v.number);
  to->add_verdict_step(v.step);
  to->add_verdict_cause(static_cast<std::uint32_t>(v.cause));
  to->add_verdict_by(static_cast<std::uint32_t>(v.decided_by));
  to->add_verdict_age(AgeMs(*to, v.decided_at));
  to->add_verdict_leaves(v.ejections);
}
void Put(const Order& o, wire::Section* to) {
  to->add_order_target(o.target);
  to->add_order_number(o.number);
  to->add_order_what(static_cast<std::uint32_t>(o.action));
  to->add_order_by(static_cast<std::uint32_t>(o.issued_by));
  to->add_order_age(AgeMs(*to, o.issued_at));
}
void Put(const Report& r, wire::Section* to) {
  to->add_report_target(r.target);
  to->add_report_node(static_cast<std::uint32_t>(r.reporter));
  to->add_report_zone(static_cast<std::uint32_t>(r.reporter_zone));
  to->add_report_process(r.reporter_process > static_cast<std::uint64_t>(kEpochMs)
                             ? r.reporter_process - kEpochMs
                             : 0);
  to->add_report_number(r.sequence);
  to->add_report_seen(r.tried | (r.bad << 8) | (static_cast<std::uint32_t>(r.cause) << 16) |
                      (r.overloaded ? 1u << 24 : 0));
  to->add_report_age(AgeMs(*to, r.reported_at));
  to->add_report_about(r.decision_number);
  to->add_report_good(r.succeeded);
  to->add_report_failed(r.failed);
}

// Columns of one kind of entry must have the same length.
template <class... Column>
bool SameSize(const Column&... columns) {
  const int sizes[] = {columns.size()...};
  return sizes[0] <= kMaxEntries &&
         std::all_of(std::begin(sizes), std::end(sizes), [&](int s) { return s == sizes[0]; });
}
bool Bounded(std::uint64_t value) { return value <= kMaxValue; }
bool BoundedAge(std::int64_t age) {
  return age <= static_cast<std::int64_t>(kMaxValue / 1000) &&
         age >= -static_cast<std::int64_t>(kMaxValue / 1000);
}

}  // namespace

const char* NameOf(Cause cause) {
  static constexpr const char* kNames[] = {"none", "slow", "failing", "silent", "dead"};
  return kNames[static_cast<std::size_t>(cause)];
}
const char* NameOf(Order::Action action) {
  static constexpr const char* kNames[] = {"none", "leave", "return"};
  return kNames[static_cast<std::size_t>(action)];
}

bool Supersedes(const Decision& a, const Decision& b) {
  // Under one number the stricter wins: ejected first, then the lower step, fully in use last.
  const auto strict = [](const Decision& v) { return v.step == kInUse ? 0 : 100 - v.step; };
  return std::tuple(a.number, strict(a), b.decided_by, a.decided_at, a.ejections, a.cause) >
         std::tuple(b.number, strict(b), a.decided_by, b.decided_at, b.ejections, b.cause);
}
bool Supersedes(const Order& a, const Order& b) {
  const auto strict = [](const Order& o) {
    return o.action == Order::Action::kLeave ? 2 : o.action == Order::Action::kNone ? 1 : 0;
  };
  return std::tuple(a.number, strict(a), b.issued_by, a.issued_at) >
         std::tuple(b.number, strict(b), a.issued_by, b.issued_at);
}
bool Supersedes(const Report& a, const Report& b) {
  return std::tie(a.reporter_process, a.sequence) > std::tie(b.reporter_process, b.sequence);
}

std::string Encode(const Message& message, std::size_t max_bytes, int* left_out) {
  wire::Section s;
  s.set_zone(static_cast<std::uint32_t>(message.zone));
  s.set_at(static_cast<std::uint64_t>(std::max<std::int64_t>(0, message.at / 1000 - kEpochMs)));
  s.set_asks(message.requests_state);
  int omitted = 0;
  std::string bytes = s.SerializeAsString();
  // The size of an entry is known only once it is added: `bytes` keeps the last state that fits.
  const auto add = [&](const auto& entry) {
    if (omitted > 0) return void(++omitted);
    Put(entry, &s);
    if (s.ByteSizeLong() > max_bytes)
      ++omitted;
    else
      s.SerializeToString(&bytes);
  };
  for (const Order& o : message.orders) add(o);
  for (const Decision& v : message.decisions) add(v);
  for (const Report& r : message.reports) add(r);
  if (left_out != nullptr) *left_out = omitted;
  return bytes.size() <= max_bytes ? bytes : std::string();
}

std::optional<Message> Decode(std::string_view bytes) {
  wire::Section s;
  if (!s.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (!SameSize(s.verdict_target(), s.verdict_for(), s.verdict_number(), s.verdict_step(),
                s.verdict_cause(), s.verdict_by(), s.verdict_age(), s.verdict_leaves()) ||
      !SameSize(s.order_target(), s.order_number(), s.order_what(), s.order_by(), s.order_age()) ||
      !SameSize(s.report_target(), s.report_node(), s.report_zone(), s.report_process(),
                s.report_number(), s.report_seen(), s.report_age(), s.report_about(),
                s.report_good(), s.report_failed()) ||
      !Bounded(s.at()) || s.at() > kMaxValue / 1000 || s.zone() > 10'000)
    return std::nullopt;
  Message w;
  w.zone = static_cast<int>(s.zone());
  w.at = (kEpochMs + static_cast<Micros>(s.at())) * 1000;
  w.requests_state = s.asks();
  for (int i = 0; i < s.verdict_target_size(); ++i) {
    if (s.verdict_for(i) > 10'000 || !Bounded(s.verdict_number(i)) ||
        s.verdict_step(i) > kLastStep || s.verdict_cause(i) > 4 || s.verdict_by(i) > kMaxNode ||
        !BoundedAge(s.verdict_age(i)) || s.verdict_leaves(i) > 255)
      return std::nullopt;
    w.decisions.push_back({s.verdict_target(i), static_cast<int>(s.verdict_for(i)) - 1,
                           s.verdict_number(i), static_cast<std::uint8_t>(s.verdict_step(i)),
                           static_cast<Cause>(s.verdict_cause(i)),
                           static_cast<int>(s.verdict_by(i)), w.at - s.verdict_age(i) * 1000,
                           static_cast<std::uint8_t>(s.verdict_leaves(i))});
  }
  for (int i = 0; i < s.order_target_size(); ++i) {
    if (!Bounded(s.order_number(i)) || s.order_what(i) > 2 || s.order_by(i) > kMaxNode ||
        !BoundedAge(s.order_age(i)))
      return std::nullopt;
    w.orders.push_back({s.order_target(i), s.order_number(i),
                        static_cast<Order::Action>(s.order_what(i)),
                        static_cast<int>(s.order_by(i)), w.at - s.order_age(i) * 1000});
  }
  for (int i = 0; i < s.report_target_size(); ++i) {
    const std::uint32_t seen = s.report_seen(i);
    if (s.report_node(i) > kMaxNode || s.report_zone(i) > 10'000 || !Bounded(s.report_process(i)) ||
        seen >> 25 != 0 || ((seen >> 16) & 0xff) > 4 || !BoundedAge(s.report_age(i)) ||
        !Bounded(s.report_about(i)))
      return std::nullopt;
    w.reports.push_back(
        {s.report_target(i), static_cast<int>(s.report_node(i)), static_cast<int>(s.report_zone(i)),
         kEpochMs + s.report_process(i), s.report_number(i), static_cast<std::uint8_t>(seen & 0xff),
         static_cast<std::uint8_t>((seen >> 8) & 0xff), static_cast<Cause>((seen >> 16) & 0xff),
         (seen >> 24) != 0, w.at - s.report_age(i) * 1000, s.report_about(i), s.report_good(i),
         s.report_failed(i)});
  }
  return w;
}

}  // namespace pearreach::zones
