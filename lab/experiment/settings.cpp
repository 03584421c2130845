#include "lab/experiment/settings.h"

#include <algorithm>
#include <set>

#include "dispatch/settings/settings_reader.h"
#include "lab/experiment/experiment_schema.h"
#include "node/config/xml.h"

namespace pearreach::lab {
namespace {

using dispatch::Malformed;
using xml::Text;

// The schema has seen to it that a number is there, or nothing, and within its bounds.
template <typename T>
void Take(const xmlNode* node, const char* attribute, double unit, T* to) {
  const std::string text = Text(node, attribute);
  if (!text.empty()) *to = static_cast<T>(dispatch::ParseNumber<double>(text, attribute) * unit);
}
void Take(const xmlNode* node, const char* attribute, std::string* to) {
  if (std::string text = Text(node, attribute); !text.empty()) *to = std::move(text);
}

Trouble::What ReadWhat(std::string_view text) {
  using What = Trouble::What;
  if (text == "silence") return What::kSilence;
  if (text == "restart") return What::kRestart;
  if (text == "slow") return What::kSlow;
  if (text == "drain") return What::kDrain;
  if (text == "node-dies") return What::kNodeDies;
  if (text == "rolling") return What::kRolling;
  if (text == "late-list") return What::kLateList;
  throw Malformed("no trouble " + dispatch::Quote(text));
}

KindSpec ReadKind(const xmlNode* n) {
  KindSpec k;
  Take(n, "name", &k.name);
  Take(n, "part", 1, &k.part);
  Take(n, "slots", 1, &k.worker.slots);
  Take(n, "speed", 1, &k.worker.speed);
  Take(n, "speed-spread", 1, &k.speed_spread);
  Take(n, "room", 1, &k.worker.room);
  if (Text(n, "order") == "in-order") k.worker.order = WorkerSpec::Order::kInOrder;
  Take(n, "cold-share", 1, &k.worker.cold_share);
  Take(n, "cold-ms", 1e3, &k.worker.cold_time);
  Take(n, "fall-multiple", 1, &k.worker.fall_multiple);
  Take(n, "fall-ms", 1e3, &k.worker.fall_time);
  return k;
}

ClassSpec ReadClass(const xmlNode* n) {
  ClassSpec c;
  Take(n, "name", &c.name);
  Take(n, "effect", &c.effect);
  Take(n, "share", 1, &c.share);
  Take(n, "work-ms", 1e3, &c.work);
  const std::string spread = Text(n, "spread");
  if (spread == "fixed") c.spread = ClassSpec::Spread::kFixed;
  if (spread == "pareto") c.spread = ClassSpec::Spread::kPareto;
  Take(n, "slots", 1, &c.slots);
  Take(n, "aim-ms", 1e3, &c.aim);
  Take(n, "stretch", 1, &c.stretch);
  Take(n, "deadline-ms", 1e3, &c.deadline);
  Take(n, "worth", 1, &c.worth);
  Take(n, "late", 1, &c.late);
  return c;
}

Phase ReadPhase(const xmlNode* n) {
  Phase p;
  Take(n, "from", 1e6, &p.from);
  Take(n, "until", 1e6, &p.until);
  Take(n, "factor", 1, &p.factor);
  p.factor_end = p.factor;
  Take(n, "factor-end", 1, &p.factor_end);
  Take(n, "account", &p.tenant);
  return p;
}

Scenario::Recall ReadRecall(std::string_view text) {
  return text == "learned"   ? Scenario::Recall::kLearned
         : text == "swapped" ? Scenario::Recall::kSwapped
                             : Scenario::Recall::kNothing;
}

Scenario ReadScenario(const xmlNode* node, const std::string& name) {
  Scenario s;
  s.kinds.clear();
  s.classes.clear();
  Take(node, "name", &s.name);
  Take(node, "nodes", 1, &s.nodes);
  Take(node, "workers", 1, &s.workers);
  Take(node, "zones", 1, &s.zones);
  Take(node, "load", 1, &s.load);
  Take(node, "seconds", 1e6, &s.length);
  Take(node, "warm-up", 1e6, &s.warm_up);
  Take(node, "way-us", 1, &s.way);
  Take(node, "cross-way-us", 1, &s.cross_way);
  Take(node, "notice-least-ms", 1e3, &s.notice_least);
  Take(node, "notice-most-ms", 1e3, &s.notice_most);
  Take(node, "tries", 1, &s.client_tries);
  Take(node, "policy", &s.policy);
  s.recall = ReadRecall(Text(node, "recall"));
  Take(node, "recall-age", 1e6, &s.recall_age);
  xml::Each(node, [&](const std::string& element, const xmlNode* n) {
    if (element == "kind") s.kinds.push_back(ReadKind(n));
    if (element == "class") s.classes.push_back(ReadClass(n));
    if (element == "account") {
      TenantSpec t;
      Take(n, "name", &t.name);
      Take(n, "share", 1, &t.share);
      Take(n, "quota", 1, &t.quota);
      s.tenants.push_back(t);
    }
    if (element == "phase") s.phases.push_back(ReadPhase(n));
    if (element == "trouble") {
      Trouble t;
      t.what = ReadWhat(Text(n, "what"));
      Take(n, "at", 1e6, &t.at);
      Take(n, "length", 1e6, &t.length);
      Take(n, "part", 1, &t.part);
      Take(n, "factor", 1, &t.factor);
      s.troubles.push_back(t);
    }
    if (element == "setting") s.settings.push_back({Text(n, "path"), Text(n, "value")});
  });
  if (s.kinds.empty()) s.kinds.emplace_back();
  if (s.classes.empty()) s.classes.emplace_back();
  try {
    CheckScenario(s);
  } catch (const Malformed& wrong) {
    xml::Fail(name, xml::Line(node), "scenario " + s.name + ": " + wrong.what());
  }
  return s;
}

}  // namespace

void CheckScenario(const Scenario& s) {
  const auto must = [](bool holds, const char* what) {
    if (!holds) throw Malformed(what);
  };
  must(s.nodes >= 1 && s.nodes <= 1000, "1 to 1,000 nodes");
  must(s.workers >= 1 && s.workers <= 100'000, "1 to 100,000 workers");
  must(s.zones >= 1 && s.zones <= 100, "1 to 100 zones");
  must(s.load > 0 && s.load <= 100, "a load over 0 and up to 100");
  must(s.way >= 10, "a way of 10 us at least");
  must(s.length > s.warm_up, "it ends before the warm-up does");
  must(s.length <= 24 * 3600 * 1'000'000ll, "longer than a day");
  must(s.notice_least >= s.way && s.notice_most >= s.notice_least, "no time for news of the list");
  std::set<std::string> names;
  for (const KindSpec& k : s.kinds) {
    must(names.insert("kind " + k.name).second, "two kinds of one name");
    must(k.part > 0 && k.worker.slots > 0 && k.worker.speed > 0 && k.speed_spread < 1,
         "a kind without slots or speed");
    must(k.worker.cold_share > 0 && k.worker.cold_share <= 1, "a cold share of 0 to 1");
    must(k.worker.fall_time > 0 && k.worker.fall_multiple > 0, "a fall without time or multiple");
  }
  for (const ClassSpec& c : s.classes) {
    must(names.insert("class " + c.name).second, "two classes of one name");
    must(c.name.find(' ') == std::string::npos, "a space in a class's name");
    must(c.share > 0 && c.work > 0 && c.slots > 0 && c.deadline > 0, "a class without jobs");
    must(std::any_of(s.kinds.begin(), s.kinds.end(),
                     [&](const KindSpec& k) { return k.worker.slots >= c.slots; }),
         "a class that no worker has slots for");
  }
  for (const TenantSpec& t : s.tenants) {
    must(names.insert("account " + t.name).second, "two accounts of one name");
    must(t.share > 0, "an account without a share");
  }
  for (const Phase& p : s.phases) {
    must(p.from < p.until, "a phase that ends before it begins");
    must(p.tenant.empty() || names.contains("account " + p.tenant), "a phase of no account");
  }
  const auto settings = dispatch::ReadSite(dispatch::Conf(SettingsOf(s, 0))).settings;
  if (const std::string wrong = dispatch::ValidateSettings(settings); !wrong.empty())
    throw Malformed(wrong);
}

Experiment ReadExperiment(std::string_view text, const std::string& name) {
  const xml::Document document = xml::Read(text, name, kExperimentSchema);
  const xmlNode* root = xml::Root(document);
  Experiment e;
  Take(root, "name", &e.name);
  Take(root, "what", &e.what);
  Take(root, "first-seed", 1, &e.first_seed);
  Take(root, "seeds", 1, &e.seeds);
  std::set<std::string> names;
  xml::Each(root, [&](const std::string& element, const xmlNode* n) {
    if (!names.insert(element + Text(n, "name")).second)
      xml::Fail(name, xml::Line(n), "two of the name " + Text(n, "name"));
    if (element == "scenario") {
      e.scenarios.push_back(ReadScenario(n, name));
      return;
    }
    Variant v;
    Take(n, "name", &v.name);
    Take(n, "policy", &v.policy);
    Take(n, "nodes", 1, &v.nodes);
    Take(n, "workers", 1, &v.workers);
    Take(n, "load", 1, &v.load);
    Take(n, "words-lost", 1, &v.words_lost);
    Take(n, "cut-off", 1, &v.cut_off);
    if (const std::string recall = Text(n, "recall"); !recall.empty()) {
      v.recall = ReadRecall(recall);
      Take(n, "recall-age", 1e6, &v.recall_age);
    }
    xml::Each(n, [&](const std::string&, const xmlNode* s) {
      v.settings.push_back({Text(s, "path"), Text(s, "value")});
    });
    for (const Scenario& s : e.scenarios) {
      try {
        CheckScenario(With(s, v));
      } catch (const Malformed& wrong) {
        xml::Fail(name, xml::Line(n), "variant " + v.name + " of " + s.name + ": " + wrong.what());
      }
    }
    e.variants.push_back(std::move(v));
  });
  if (e.variants.empty()) {
    e.variants.emplace_back();
    e.variants.back().name = "as it is";
  }
  return e;
}

Experiment LoadExperiment(const std::string& path) {
  return ReadExperiment(xml::LoadText(path), path);
}

Scenario With(const Scenario& scenario, const Variant& v) {
  Scenario s = scenario;
  if (!v.policy.empty()) s.policy = v.policy;
  if (v.nodes > 0) s.nodes = v.nodes;
  if (v.workers > 0) s.workers = v.workers;
  if (v.load > 0) s.load = v.load;
  if (v.words_lost > 0) s.words_lost = v.words_lost;
  if (v.cut_off > 0) s.cut_off = v.cut_off;
  if (v.recall) s.recall = *v.recall, s.recall_age = v.recall_age;
  s.settings.insert(s.settings.end(), v.settings.begin(), v.settings.end());
  return s;
}

Trouble ReadTrouble(const std::string& text) {
  const auto parts = dispatch::Split(text, ':');
  if (parts.size() != 4 && parts.size() != 5)
    throw Malformed("a trouble is WHAT:PART:FROM:LENGTH[:FACTOR], not " + dispatch::Quote(text));
  Trouble t;
  t.what = ReadWhat(parts[0]);
  t.part = dispatch::ParseNumber<double>(parts[1], "part");
  t.at = static_cast<Micros>(dispatch::ParseNumber<double>(parts[2], "time") * 1e6);
  t.length = static_cast<Micros>(dispatch::ParseNumber<double>(parts[3], "length") * 1e6);
  if (parts.size() == 5) t.factor = dispatch::ParseNumber<double>(parts[4], "factor");
  if (t.part < 0 || t.part > 1 || t.at < 0 || t.length < 0 || t.factor <= 0)
    throw Malformed("a trouble out of its bounds: " + dispatch::Quote(text));
  return t;
}

}  // namespace pearreach::lab
