#include "node/cli/fleet_setup.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "common/diagnostics/log.h"
#include "node/admin/zone_orders.h"

namespace pearreach::cli {
namespace {

constexpr Micros kHeardOfLate = 500 * kMs;   // a worker heard of within it is waited for
constexpr Micros kRulesEveryNode = 8 * kMs;  // a round of questions lasts so long a node

shared_state::SharedStateOptions SharedOptionsOf(const SharedSettings& s,
                                                 const dispatch::Site& site) {
  shared_state::SharedStateOptions shares;
  shares.zone = std::max(0, site.settings.zone);
  shares.zones = std::max<int>(1, static_cast<int>(site.zones.size()));
  if (s.counts)
    for (const dispatch::TenantSettings& t : site.settings.tenants)
      shares.quotas.push_back(t.quota_per_s);
  shares.retry_limit = s.repeats;
  shares.send_interval = s.every;
  shares.lease = s.lease;
  shares.window = s.window;
  shares.skew = s.skew;
  shares.floor = s.floor;
  if (site.settings.progress_interval > 0)
    shares.health.silence_timeout = site.settings.progress_interval * 5 / 2;
  return shares;
}

std::string RegionWrong(const std::string& file, const ZoneSettings::Region& region,
                        const std::string& what) {
  return file + ":" + std::to_string(region.line) + ": region " + region.name + ": " + what;
}

zones::Target RegionOf(const ZoneSettings::Region& r, const std::string& file,
                       const dispatch::Site& site) {
  zones::Target region{r.name, {}};
  for (const std::string& zone : r.zones) {
    const int at = dispatch::IndexOf(site.zones, zone);
    if (at < 0) throw dispatch::Malformed(RegionWrong(file, r, "there is no zone " + zone));
    region.zones.push_back(at);
  }
  if (dispatch::IndexOf(site.zones, r.name) >= 0)
    throw dispatch::Malformed(RegionWrong(file, r, "a zone has that name"));
  if (region.zones.size() >= site.zones.size())
    throw dispatch::Malformed(RegionWrong(file, r, "it has all zones: none would be left"));
  return region;
}

zones::Options ZoneOptionsOf(const ZoneSettings& z, const std::string& file,
                             const dispatch::Site& site) {
  zones::Options zoned;
  zoned.zone = std::max(0, site.settings.zone);
  zoned.zones.assign(site.zones.begin(), site.zones.end());
  zoned.send_interval = z.every;
  zoned.min_remaining_capacity = z.least_left;
  zoned.probe_delay = z.trial_wait;
  zoned.min_step_duration = z.hold;
  for (const ZoneSettings::Region& r : z.regions) zoned.regions.push_back(RegionOf(r, file, site));
  return zoned;
}

RulesSettings RulesSettingsOf(const RuleSettings& r, const std::string& file,
                              const Config& config) {
  RulesSettings agreed;
  const int nodes = static_cast<int>(config.peers.size());
  const auto wrong = [&](const std::string& what) {
    throw dispatch::Malformed(file + ":" + std::to_string(r.line) + ": rules: " + what);
  };
  rules::Options& o = agreed.options;
  o.voters = r.voters;
  if (o.voters.empty())
    for (int n = 0; n < (nodes >= 5 ? 5 : nodes >= 3 ? 3 : 1); ++n) o.voters.push_back(n);
  if (o.voters.back() >= nodes)
    wrong("there is no node " + std::to_string(o.voters.back()) + " of " + std::to_string(nodes));
  o.round_interval = r.every > 0 ? r.every : std::max<Micros>(250 * kMs, nodes * kRulesEveryNode);
  o.lease =
      static_cast<Micros>(static_cast<double>(r.within - o.max_staleness) / (1 + 2 * o.drift));
  if (o.lease < 4 * o.round_interval)
    wrong("within-ms is too short for rounds of " + std::to_string(o.round_interval / kMs) +
          " ms: no lease would outlive three lost words");
  o.ready_timeout = r.ready;
  agreed.keep = r.keep;
  return agreed;
}

void ConnectShared(const SharedSettings& settings, Fleet* fleet, Node* node) {
  node->SetAdmissionCheck([fleet, counts = settings.counts](int tenant, bool is_repeat) {
    Admission to;
    if (const auto a = fleet->Admit(tenant, is_repeat)) {
      to.refused = a->rejected;
      to.retry_after = a->retry_after;
      if (counts && tenant >= 0) to.over_share = a->over_quota;
    }
    return to;
  });
  if (settings.judgements)
    fleet->OnJudged([node](const std::string& worker, const shared_state::WorkerStatus& s) {
      node->OnJudgement(worker, {0, s.ejected, s.probe, s.cold, s.observed_at, s.reporters});
    });
}

void ConnectZones(Fleet* fleet, Node* node) {
  fleet->OnUse([node, fleet](const std::string& worker, zones::Use use, bool gone) {
    node->SetZoneDrain(worker, use == zones::Use::kClosed);
    // The one job that tries it is none that may not be repeated; and what is out there when its
    // zone is left for silence is not waited for, unless it was heard of just now.
    if (use == zones::Use::kProbe)
      node->OnJudgement(worker, {0, true, true, false, g_get_real_time(), {}});
    else if (use == zones::Use::kClosed && gone)
      node->OnJudgement(worker, {0, true, false, false, g_get_real_time() - kHeardOfLate, {}});
    else if (use == zones::Use::kOpen)
      fleet->JudgeAgain(worker);
  });
  fleet->OnZoneLine([node](const std::string& line) { node->AnnotateCapture(line); });
}

// Operators' orders outlive a process in a file.
void KeepOrders(const std::string& path, Fleet* fleet) {
  std::vector<zones::Order> orders;
  for (const admin::ZoneOrder& o : admin::LoadZoneOrders(path))
    orders.push_back({zones::KeyOf(o.target), o.number,
                      o.command == "leave"    ? zones::Order::Action::kLeave
                      : o.command == "return" ? zones::Order::Action::kReturn
                                              : zones::Order::Action::kNone,
                      o.by, o.at_ms * 1000});
  fleet->RecallOrders(orders);
  fleet->OnOrders([path, fleet](const std::vector<zones::Order>& held) {
    std::vector<admin::ZoneOrder> kept;
    kept.reserve(held.size());
    for (const zones::Order& o : held)
      kept.push_back({fleet->zones()->name(o.target), o.number, NameOf(o.action), o.issued_by,
                      o.issued_at / 1000});
    admin::SaveZoneOrders(path, kept);
  });
}

}  // namespace

std::unique_ptr<Fleet> MakeFleet(const OperatorSettings& settings, const std::string& file,
                                 const Config& config, Node* node) {
  if (!settings.peers) return nullptr;
  if (const std::string wrong = PeersWrong(config); !wrong.empty()) {
    CountFault("peers_off", wrong);
    return nullptr;
  }
  const dispatch::Site& site = node->site();
  FleetSettings made{.listen = config.peer_listen,
                     .nodes = config.peers,
                     .all = config.peers_all,
                     .self = config.site.settings.self,
                     .period = settings.peers->period,
                     .bytes_per_second = settings.peers->bytes_per_second,
                     .lines_per_minute = settings.peers->lines_per_minute,
                     .view_every = settings.peers->view_every,
                     .seed = config.seed,
                     .shared = std::nullopt,
                     .accounts = site.tenants,
                     .zones = std::nullopt,
                     .rules = std::nullopt,
                     .tells_use = settings.log_format == LogFormat::kJson};
  if (settings.shared) made.shared = SharedOptionsOf(*settings.shared, site);
  if (settings.zones) made.zones = ZoneOptionsOf(*settings.zones, file, site);
  if (settings.rules) made.rules = RulesSettingsOf(*settings.rules, file, config);
  auto fleet = std::make_unique<Fleet>(std::move(made));
  fleet->OnTold(
      [node](int from, std::string bytes) { node->OnPeerMessage(from, std::move(bytes)); });
  if (settings.shared) ConnectShared(*settings.shared, fleet.get(), node);
  if (settings.shared && settings.zones) {
    ConnectZones(fleet.get(), node);
    if (!settings.zones->orders.empty()) KeepOrders(settings.zones->orders, fleet.get());
  }
  return fleet;
}

}  // namespace pearreach::cli
