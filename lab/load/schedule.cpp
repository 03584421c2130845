#include "lab/load/schedule.h"

#include <csv.h>

#include <algorithm>
#include <cstring>
#include <map>

#include "dispatch/settings/settings_reader.h"
#include "lab/stats/stats.h"
#include "node/capture/segment.h"

namespace pearreach::lab {
namespace {

using dispatch::Malformed;

constexpr std::size_t kMaxJobs = 20'000'000;

// The index of one that is there, or is added.
template <class Spec>
int IndexOfNamed(std::vector<Spec>* all, const std::string& name) {
  for (std::size_t i = 0; i < all->size(); ++i)
    if ((*all)[i].name == name) return static_cast<int>(i);
  Spec spec;
  spec.name = name;
  all->push_back(spec);
  return static_cast<int>(all->size()) - 1;
}

// Rows as libcsv hands them out.
struct Rows {
  std::string name;
  LoadPlan* plan = nullptr;
  std::size_t line = 1;
  std::vector<std::string> cells;
  std::map<std::string, std::size_t> columns;

  [[noreturn]] void Fail(const std::string& what) const {
    throw Malformed(name + ":" + std::to_string(line) + ": " + what);
  }
  const std::string& Cell(const char* column) const {
    static const std::string kNone;
    const auto it = columns.find(column);
    return it == columns.end() ? kNone : cells.at(it->second);
  }
  void End() {
    if (columns.empty()) {
      for (std::size_t i = 0; i < cells.size(); ++i) columns[cells[i]] = i;
      if (!columns.contains("at_ms") || !columns.contains("class"))
        Fail("the first line names no at_ms or no class");
    } else if (cells.size() != 1 || !cells[0].empty()) {
      if (cells.size() < columns.size()) Fail("too few cells");
      try {
        Take();
      } catch (const Malformed& wrong) {
        Fail(wrong.what());
      }
    }
    cells.clear();
    ++line;
  }
  void Take() {
    Arrival a;
    const double ms = dispatch::ParseNumber<double>(Cell("at_ms"), "at_ms");
    if (ms < 0 || ms > 7 * 86400e3) throw Malformed("at_ms out of its bounds");
    a.at = static_cast<Micros>(ms * 1000);
    if (Cell("class").empty()) throw Malformed("no class");
    a.cls = IndexOfNamed(&plan->classes, Cell("class"));
    if (!Cell("account").empty()) a.account = IndexOfNamed(&plan->accounts, Cell("account"));
    if (!Cell("slots").empty()) a.slots = dispatch::ParseNumber<double>(Cell("slots"), "slots");
    if (a.slots <= 0 || a.slots > 1e6) throw Malformed("slots out of their bounds");
    if (plan->jobs.size() >= kMaxJobs) throw Malformed("more jobs than a plan holds");
    plan->jobs.push_back(a);
  }
};

void Sort(LoadPlan* plan) {
  std::stable_sort(plan->jobs.begin(), plan->jobs.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
}

}  // namespace

void Draw(const Arrivals& a, LoadPlan* plan) {
  double most = 1, shares = 0, account_shares = 0;
  for (const Phase& p : a.phases)
    most = std::max({most, p.factor, p.factor_end, p.tenant.empty() ? 1 : 1 + p.factor});
  for (const ClassSpec& c : plan->classes) shares += c.share;
  for (const TenantSpec& t : plan->accounts) account_shares += t.share;
  if (a.per_second * most * static_cast<double>(a.length) / 1e6 > static_cast<double>(kMaxJobs))
    throw Malformed("more jobs than a plan holds");
  Chance chance(SeedOf(plan->seed, 10, 0));
  const auto pick = [&](const auto& all, double sum) {
    double at = chance.Uniform() * sum;
    int i = 0;
    while (at >= all[static_cast<std::size_t>(i)].share && i + 1 < static_cast<int>(all.size()))
      at -= all[static_cast<std::size_t>(i++)].share;
    return i;
  };
  // Constant: the next job when one more is due by the rate up to there. Poisson: thinned.
  double clock = 0, due = 0;
  const double step = 1e6 / (a.per_second * most);
  while (true) {
    clock += a.constant ? step : step * chance.Exponential();
    if (clock >= static_cast<double>(a.length)) break;
    Arrival job;
    job.at = static_cast<Micros>(clock);
    if (!plan->accounts.empty()) job.account = pick(plan->accounts, account_shares);
    job.cls = pick(plan->classes, shares);
    job.slots = plan->classes[static_cast<std::size_t>(job.cls)].slots;
    const double part =
        FactorAt(
            a.phases, job.at,
            job.account < 0 ? "" : plan->accounts[static_cast<std::size_t>(job.account)].name) /
        most;
    if (a.constant) {
      due += part;
      if (due < 1 - 1e-9) continue;
      due -= 1;
    } else if (chance.Uniform() >= part) {
      continue;
    }
    plan->jobs.push_back(job);
  }
}

void ReadTrace(std::string_view text, const std::string& name, LoadPlan* plan) {
  Rows rows{.name = name, .plan = plan, .cells = {}, .columns = {}};
  csv_parser parser;
  if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_EMPTY_IS_NULL) != 0)
    throw Malformed("no memory for a trace");
  struct Free {
    csv_parser* parser;
    ~Free() { csv_free(parser); }
  } free{&parser};
  // An exception must not pass through the library's C: it is kept, and thrown behind it.
  struct Context {
    Rows* rows;
    std::string wrong;
  } context{&rows, ""};
  const auto cell = [](void* bytes, std::size_t size, void* c) {
    static_cast<Context*>(c)->rows->cells.emplace_back(
        bytes == nullptr ? "" : std::string(static_cast<const char*>(bytes), size));
  };
  const auto end = [](int, void* c) {
    auto* context = static_cast<Context*>(c);
    if (!context->wrong.empty()) return;
    try {
      context->rows->End();
    } catch (const Malformed& wrong) {
      context->wrong = wrong.what();
    }
  };
  const std::size_t read = csv_parse(&parser, text.data(), text.size(), cell, end, &context);
  if (context.wrong.empty() && (read != text.size() || csv_fini(&parser, cell, end, &context) != 0))
    rows.Fail(csv_strerror(csv_error(&parser)));
  if (!context.wrong.empty()) throw Malformed(context.wrong);
  if (rows.columns.empty()) rows.Fail("an empty trace");
  Sort(plan);
}

void ReadCapture(const std::string& path, LoadPlan* plan) {
  capture::Segment segment(path);
  const dispatch::Site& site = segment.site();
  std::optional<Micros> first;
  for (capture::Turn turn; segment.Next(&turn);)
    for (std::size_t i = 0; i < turn.events.size(); ++i) {
      const auto* e = std::get_if<dispatch::RequestArrived>(&turn.events[i]);
      if (e == nullptr || e->cls < 0 || e->cls >= static_cast<int>(site.classes.size())) continue;
      Arrival a;
      // When it was seen on its socket; the turn came up to a round later.
      const Micros at =
          i < turn.notes.size() && turn.notes[i].seen > 0 ? turn.notes[i].seen : turn.now;
      if (!first) first = at;
      a.at = std::max<Micros>(0, at - *first);
      const auto cls = static_cast<std::size_t>(e->cls);
      a.cls = IndexOfNamed(&plan->classes, site.classes[cls]);
      ClassSpec& spec = plan->classes[static_cast<std::size_t>(a.cls)];
      spec.aim = site.settings.classes[cls].latency_target;
      spec.deadline = site.settings.classes[cls].deadline;
      spec.worth = site.settings.classes[cls].value;
      spec.late = site.settings.classes[cls].late_value;
      if (e->tenant >= 0 && e->tenant < static_cast<int>(site.tenants.size()))
        a.account =
            IndexOfNamed(&plan->accounts, site.tenants[static_cast<std::size_t>(e->tenant)]);
      a.slots = e->slots;
      plan->jobs.push_back(a);
    }
  Sort(plan);
}

}  // namespace pearreach::lab
