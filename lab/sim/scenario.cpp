#include "lab/sim/scenario.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "lab/stats/stats.h"

namespace pearreach::lab {
namespace {

std::string Text(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.9g", value);
  return text;
}

}  // namespace

double FactorAt(const std::vector<Phase>& phases, Micros at, const std::string& tenant) {
  double factor = 1;
  for (const Phase& p : phases) {
    if (at < p.from || at >= p.until || (!p.tenant.empty() && p.tenant != tenant)) continue;
    const double part = static_cast<double>(at - p.from) / static_cast<double>(p.until - p.from);
    factor *= p.factor + (p.factor_end - p.factor) * part;
  }
  return factor;
}

double CapacityOf(const Scenario& s) {
  double parts = 0, capacity = 0;
  for (const KindSpec& k : s.kinds) parts += k.part;
  for (const KindSpec& k : s.kinds)
    capacity += s.workers * k.part / parts * k.worker.slots * k.worker.speed;
  return capacity;
}

double JobsPerSecond(const Scenario& s) {
  double shares = 0, work = 0;
  for (const ClassSpec& c : s.classes) {
    shares += c.share;
    work += c.share * static_cast<double>(c.work) * c.slots;
  }
  return 1e6 * CapacityOf(s) / (work / shares);
}

dispatch::Conf::Values SettingsOf(const Scenario& s, int node) {
  const auto zone = [](int i) { return "z" + std::to_string(i); };
  std::string zones, models;
  for (int z = 0; z < s.zones; ++z) zones += (z > 0 ? "," : "") + zone(z);
  for (const KindSpec& k : s.kinds) models += (models.empty() ? "" : ",") + k.name;
  double multiple = 1e9, share = 1, cold_ms = 0, fall_ms = 1000;
  for (const KindSpec& k : s.kinds) {  // what the contract promises holds for each kind
    multiple = std::min(multiple, k.worker.fall_multiple);
    share = std::min(share, k.worker.cold_share);
    cold_ms = std::max(cold_ms, static_cast<double>(k.worker.cold_time) / 1000);
    fall_ms = static_cast<double>(k.worker.fall_time) / 1000;
  }
  dispatch::Conf::Values v = {{"Balancers", std::to_string(s.nodes)},
                              {"Ordinal", std::to_string(node)},
                              {"Locality", zone(node % s.zones)},
                              {"Zones", zones},
                              {"Models", models},
                              {"RoundMs", "2.0"},
                              {"RequestClasses.count", std::to_string(s.classes.size())},
                              {"Accounts.count", std::to_string(s.tenants.size())},
                              {"FamilyInfo.TellsStart", "true"},
                              {"FamilyInfo.ProgressMs", "1000"},
                              {"FamilyInfo.ReportX0", "free_slots"},
                              {"Limits.Cancel", "true"},
                              {"Limits.MayDuplicate", "true"},
                              {"Limits.TryLimit", "3"},
                              {"Limits.ConnectTimeoutMs", "200"},
                              {"Limits.ConnIdleMs", "60000"},
                              {"Limits.MaxRetryAfterMs", "2000"},
                              {"Contract.AnswerSlackMs", "50"},
                              {"Contract.StopSendingWithinMs", "1000"},
                              {"Contract.ColdShare", Text(share)},
                              {"Contract.ColdMs", Text(cold_ms)},
                              {"Contract.FallMultiple", Text(multiple)},
                              {"Contract.FallMs", Text(fall_ms)}};
  if (s.zones > 1) v["Prices.CrossZone"] = "0.1";
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const ClassSpec& c = s.classes[i];
    const std::string at = "RequestClasses." + std::to_string(i) + ".";
    v[at + "Name"] = c.name;
    v[at + "Effect"] = c.effect;
    if (c.effect == "by_key") {
      v[at + "KeyScope"] = "all";
      v[at + "WindowMs"] = Text(1.5 * static_cast<double>(c.deadline) / 1000);
    }
    v[at + "AimMs"] = Text(static_cast<double>(c.aim) / 1000);
    v[at + "AimStretch"] = Text(c.stretch);
    v[at + "DeadlineMs"] = Text(static_cast<double>(c.deadline) / 1000);
    v[at + "Credit"] = Text(c.worth);
    v[at + "LateValue"] = Text(c.late);
  }
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    const std::string at = "Accounts." + std::to_string(i) + ".";
    v[at + "Name"] = s.tenants[i].name;
    v[at + "QuotaRps"] = Text(s.tenants[i].quota > 0 ? s.tenants[i].quota * JobsPerSecond(s) : 1e9);
  }
  for (const auto& [path, value] : s.settings) v[path] = value;
  return v;
}

std::vector<std::uint32_t> StruckBy(const Trouble& t, std::uint32_t of, std::uint64_t seed,
                                    std::size_t index) {
  std::vector<std::uint32_t> all(of);
  for (std::uint32_t i = 0; i < of; ++i) all[i] = i;
  Chance chance(SeedOf(seed, 5, index));
  const auto n = std::min<std::size_t>(
      of, std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(t.part * of))));
  for (std::size_t i = 0; i < n; ++i) std::swap(all[i], all[i + chance.Below(of - i)]);
  all.resize(n);
  return all;
}

}  // namespace pearreach::lab
