#include "lab/trial/fault.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iterator>

#include "dispatch/settings/settings_reader.h"
#include "lab/stats/stats.h"
#include "lab/trial/trial_schema.h"
#include "node/config/xml.h"

namespace pearreach::lab {
namespace {

constexpr const char* kNames[] = {"lose",     "late",      "double",     "damage",      "cut-tcp",
                                  "hold-tcp", "late-list", "stall",      "kill",        "restart",
                                  "twin",     "reload",    "silence",    "die",         "drain",
                                  "fail",     "slow",      "leave-zone", "return-zone", "propose"};

template <typename T>
void Take(const xmlNode* node, const char* attribute, double unit, T* to) {
  const std::string text = xml::Text(node, attribute);
  if (!text.empty()) *to = static_cast<T>(dispatch::ParseNumber<double>(text, attribute) * unit);
}

}  // namespace

const char* NameOf(Fault::What what) { return kNames[static_cast<std::size_t>(what)]; }

std::string Words(const Fault& f) {
  char text[200];
  std::snprintf(text, sizeof text, "%s %s>%s %.1f+%.1f s", NameOf(f.what), f.from.c_str(),
                f.to.c_str(), static_cast<double>(f.at) / 1e6, static_cast<double>(f.length) / 1e6);
  std::string words = text;
  if (f.share < 1) words += " " + std::to_string(static_cast<int>(f.share * 100)) + "%";
  if (f.late > 0) words += " by " + std::to_string(f.late / 1000) + " ms";
  return words;
}

TrialPlan ReadPlan(std::string_view text, const std::string& name) {
  const xml::Document document = xml::Read(text, name, kTrialSchema);
  const xmlNode* root = xml::Root(document);
  TrialPlan p;
  if (std::string n = xml::Text(root, "name"); !n.empty()) p.name = n;
  Take(root, "nodes", 1, &p.nodes);
  Take(root, "zones", 1, &p.zones);
  Take(root, "workers", 1, &p.workers);
  Take(root, "length-ms", 1e3, &p.length);
  Take(root, "load", 1, &p.load);
  Take(root, "seed", 1, &p.seed);
  Take(root, "period-ms", 1e3, &p.period);
  xml::Each(root, [&](const std::string&, const xmlNode* n) {
    Fault f;
    const std::string what = xml::Text(n, "what");
    f.what = static_cast<Fault::What>(std::find(std::begin(kNames), std::end(kNames), what) -
                                      std::begin(kNames));
    Take(n, "at-ms", 1e3, &f.at);
    Take(n, "length-ms", 1e3, &f.length);
    Take(n, "share", 1, &f.share);
    Take(n, "late-ms", 1e3, &f.late);
    if (std::string from = xml::Text(n, "from"); !from.empty()) f.from = from;
    if (std::string to = xml::Text(n, "to"); !to.empty()) f.to = to;
    const auto number = [](const std::string& party, std::size_t prefix) {
      return std::atoi(party.c_str() + prefix);
    };
    for (const std::string& party : {f.from, f.to}) {
      if ((party[0] == 'n' && number(party, 1) >= p.nodes) ||
          (party[0] == 's' && number(party, 2) >= p.workers) ||
          (party[0] == 'z' && number(party, 1) >= p.zones))
        xml::Fail(name, xml::Line(n), "there is no " + party);
    }
    if (f.what >= Fault::What::kLeaveZone && (f.from[0] != 'n' || f.to[0] != 'z'))
      xml::Fail(name, xml::Line(n), what + " wants a node and a zone");
    if (f.at + f.length > p.length) xml::Fail(name, xml::Line(n), "a fault outlasts the trial");
    p.faults.push_back(f);
  });
  return p;
}

TrialPlan LoadPlanFile(const std::string& path) { return ReadPlan(xml::LoadText(path), path); }

std::string WritePlan(const TrialPlan& p) {
  char line[400];
  std::snprintf(line, sizeof line,
                "<trial nodes=\"%d\" zones=\"%d\" workers=\"%d\" length-ms=\"%lld\" load=\"%g\" "
                "seed=\"%llu\" period-ms=\"%lld\">\n",
                p.nodes, p.zones, p.workers, static_cast<long long>(p.length / 1000), p.load,
                static_cast<unsigned long long>(p.seed), static_cast<long long>(p.period / 1000));
  std::string text = line;
  for (const Fault& f : p.faults) {
    std::snprintf(line, sizeof line,
                  "  <fault what=\"%s\" at-ms=\"%lld\" length-ms=\"%lld\" from=\"%s\" to=\"%s\" "
                  "share=\"%g\" late-ms=\"%lld\"/>\n",
                  NameOf(f.what), static_cast<long long>(f.at / 1000),
                  static_cast<long long>(f.length / 1000), f.from.c_str(), f.to.c_str(), f.share,
                  static_cast<long long>(f.late / 1000));
    text += line;
  }
  return text + "</trial>\n";
}

bool Selects(const std::string& selector, const std::string& party, int zones) {
  if (selector == "*" || selector == party) return true;
  if (selector[0] != 'z') return false;
  const int number = std::atoi(party.c_str() + (party[0] == 's' ? 2 : 1));
  return number % zones == std::atoi(selector.c_str() + 1);
}

void DrawFaults(const DrawOptions& options, TrialPlan* plan) {
  using What = Fault::What;
  Chance chance(SeedOf(plan->seed, 30, 0));
  const auto below = [&](int n) {
    return static_cast<int>(chance.Below(static_cast<std::uint64_t>(n)));
  };
  const auto node = [&] { return "n" + std::to_string(below(plan->nodes)); };
  const auto worker = [&] { return "s-" + std::to_string(below(plan->workers)); };
  const auto some = [&]() -> std::string {
    const int what = below(10);
    return what < 5 ? node() : what < 8 ? "z" + std::to_string(below(plan->zones)) : "*";
  };
  const auto ms = [&](int least, int most) -> Micros {
    return (least + below(most - least + 1)) * Micros{1000};
  };
  for (int i = 0; i < options.faults; ++i) {
    Fault f;
    const int kind = below(options.workers ? 100 : options.processes ? 75 : 45);
    if (kind < 45) {
      f.what = kind < 22   ? What::kLose
               : kind < 31 ? What::kLate
               : kind < 39 ? What::kDouble
                           : What::kDamage;
      f.from = some();
      f.to = some();
      constexpr double kShares[] = {0.05, 0.2, 0.5, 1, 1, 1};
      f.share = kShares[below(6)];
      if (f.what == What::kDamage) f.share = kShares[below(3)];
      f.late = f.what == What::kLate || f.what == What::kDouble ? ms(20, 3000) : 0;
      f.length = ms(500, 10000);
    } else if (kind < 75 && options.processes) {
      f.from = node();
      f.to = "*";
      f.what = kind < 55   ? What::kStall
               : kind < 65 ? What::kKill
               : kind < 69 ? What::kRestart
               : kind < 72 ? What::kTwin
                           : What::kReload;
      f.length = f.what == What::kStall ? ms(100, 6000) : ms(100, 4000);
    } else if (kind < 83) {
      f.what = kind < 80 ? What::kCutTcp : What::kHoldTcp;
      f.from = node();
      f.to = below(4) == 0 ? "discovery" : below(3) == 0 ? "*" : worker();
      f.length = ms(200, 3000);
    } else if (kind < 87) {
      f.what = What::kLateList;
      f.from = node();
      f.length = ms(500, 4000);
    } else {
      f.what = kind < 92 ? What::kSilence : kind < 96 ? What::kDie : What::kDrain;
      f.from = worker();
      f.length = ms(500, 5000);
    }
    // In place of one worker, a whole zone.
    if (options.zones && f.what >= What::kSilence && below(2) == 0) {
      f.from = "z" + std::to_string(below(plan->zones));
      constexpr What kZoneFaults[] = {What::kSilence, What::kSilence, What::kDie, What::kFail,
                                      What::kSlow};
      f.what = kZoneFaults[below(5)];
      f.share = f.what == What::kFail ? 0.4 : 1;
      f.length = ms(1500, 8000);
    } else if (options.zones && f.what == What::kLateList && below(2) == 0) {
      f.what = below(3) > 0 ? What::kLeaveZone : What::kReturnZone;
      f.to = "z" + std::to_string(below(plan->zones));
    } else if (options.zones && f.what == What::kCutTcp && below(2) == 0) {
      f.from = f.to = "z" + std::to_string(below(plan->zones));  // a zone against one other
      while (f.to == f.from && plan->zones > 1) f.to = "z" + std::to_string(below(plan->zones));
      f.length = ms(1500, 6000);
    }
    const Micros room = plan->length * 4 / 5;
    f.length = std::min(f.length, room / 2);
    f.at =
        static_cast<Micros>(chance.Uniform() * static_cast<double>(room - f.length)) / 1000 * 1000;
    plan->faults.push_back(f);
  }
  for (int i = 0; i < options.proposals; ++i) {
    const Micros length = ms(500, 6000);
    const double at = chance.Uniform() * static_cast<double>(plan->length * 4 / 5);
    Fault f{What::kPropose, static_cast<Micros>(at) / 1000 * 1000, length, node(), "*"};
    f.share = (1 + below(99)) / 100.0;
    plan->faults.push_back(f);
  }
  std::stable_sort(plan->faults.begin(), plan->faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
}

}  // namespace pearreach::lab
