#include "node/capture/explain.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace pearreach::capture {
namespace {

using dispatch::Action;
using dispatch::Event;

struct Kept {
  dispatch::Choice choice;
  std::vector<dispatch::Candidate> sampled;
};

class Watcher : public dispatch::Observer {
 public:
  void OnChoice(const dispatch::Choice& choice) override {
    Kept& kept = choices.emplace_back(Kept{choice, {}});
    kept.sampled.assign(choice.sampled.begin(), choice.sampled.end());
  }
  std::vector<Kept> choices;
};

std::string Seconds(Micros t) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f s", static_cast<double>(t) / 1e6);
  return text;
}

// Which request and which workers an event or an action is about.
struct About {
  std::optional<dispatch::RequestId> request;
  std::vector<dispatch::WorkerId> workers;

  template <class T>
  void Take(const T& v) {
    if constexpr (requires { v.request; }) request = v.request;
    if constexpr (requires { v.worker; }) workers.push_back(v.worker);
  }
  void Take(const dispatch::WorkerList& list) {
    for (const auto& e : list.entries) workers.push_back(e.worker);
  }
  void Take(const dispatch::Knowledge& k) {
    for (const auto& w : k.workers) workers.push_back(w.worker);
  }
  void Take(const dispatch::LogLine& line) {
    using Kind = dispatch::LogLine::Kind;
    if (line.kind == Kind::kWorkerSilent || line.kind == Kind::kWorkerRecovered)
      workers.push_back(line.worker);
  }
};

template <class Variant>
About AboutOf(const Variant& v) {
  About about;
  std::visit([&](const auto& x) { about.Take(x); }, v);
  return about;
}

class Teller {
 public:
  Teller(Segment* segment, const Subject& subject, const Window& window,
         const std::function<void(const Line&)>& out)
      : segment_(segment), subject_(subject), window_(window), out_(out) {}

  Explained Run() {
    dispatch::Dispatcher dispatcher = segment_->Restore();
    Watcher watcher;
    dispatcher.Observe(&watcher);
    Turn turn;
    std::vector<Action> actions;
    while (segment_->Next(&turn)) {
      if (turn.now - segment_->origin().clock >= window_.until) break;
      Look(turn);
      watcher.choices.clear();
      actions.clear();
      dispatcher.Handle(turn.now, turn.events, &actions);
      result_.identical = result_.identical && actions == turn.actions;
      Tell(turn, watcher.choices);
    }
    result_.damage = segment_->damage();
    result_.missing = segment_->missing();
    return result_;
  }

 private:
  // Finds the subject's number among what is new, and notes what is needed later.
  void Look(const Turn& turn) {
    for (; names_seen_ < segment_->workers().size(); ++names_seen_)
      if (segment_->workers()[names_seen_] == subject_.worker)
        worker_ = static_cast<dispatch::WorkerId>(names_seen_);
    for (std::size_t i = 0; i < turn.events.size(); ++i) {
      const auto* arrived = std::get_if<dispatch::RequestArrived>(&turn.events[i]);
      if (arrived == nullptr || subject_.job.empty()) continue;
      if (turn.notes[i].id == subject_.job || std::to_string(arrived->request) == subject_.job)
        jobs_.insert(arrived->request);
    }
  }

  bool Wanted(const About& about) {
    bool wanted = false;
    if (!subject_.worker.empty())
      wanted = worker_ && std::find(about.workers.begin(), about.workers.end(), *worker_) !=
                              about.workers.end();
    if (!subject_.job.empty()) {
      const bool job = about.request && (jobs_.contains(*about.request) ||
                                         std::to_string(*about.request) == subject_.job);
      wanted = job && (subject_.worker.empty() || wanted);
    }
    result_.known = result_.known || wanted;
    return wanted;
  }

  void Say(Micros at, const char* kind, const std::string& text) {
    const Micros since = at - segment_->origin().clock;
    if (!window_.Holds(since)) return;
    ++result_.lines;
    out_({since, kind, text});
  }

  void Tell(const Turn& turn, const std::vector<Kept>& choices) {
    const auto& site = segment_->site();
    const auto& workers = segment_->workers();
    if (!turn.mark.empty()) Say(turn.now, "mark", turn.mark);
    for (std::size_t i = 0; i < turn.events.size(); ++i) {
      const Event& e = turn.events[i];
      if (Wanted(AboutOf(e)))
        Say(turn.notes[i].seen > 0 ? turn.notes[i].seen : turn.now,
            std::holds_alternative<dispatch::WorkerList>(e) ? "list" : "event",
            TellEvent(e, turn, i));
    }
    for (const Kept& kept : choices) {
      About about;
      about.request = kept.choice.request;
      if (kept.choice.chosen) about.workers.push_back(*kept.choice.chosen);
      if (Wanted(about)) SayChoice(kept, turn.now);
    }
    for (const Action& a : turn.actions)
      if (Wanted(AboutOf(a)))
        Say(turn.now, std::holds_alternative<dispatch::LogLine>(a) ? "log" : "decision",
            Words(a, site, workers));
  }

  // A job that waits is looked at again and again: said once, and how often when that ends.
  void SayChoice(const Kept& kept, Micros now) {
    const dispatch::Choice& c = kept.choice;
    const int reason = c.chosen ? 0 : c.pool_has_capacity ? 1 : 2;
    auto& [last, times] = waits_[c.request];
    if (reason != 0 && reason == last) {
      ++times;
      return;
    }
    std::string text = Why(kept, now);
    if (times > 0)
      text += "\n        it had been looked at " + std::to_string(times) + " times more";
    last = reason;
    times = 0;
    Say(now, "choice", text);
  }

  // Of a list, the worker asked for alone.
  std::string TellEvent(const Event& e, const Turn& turn, std::size_t i) const {
    if (const auto* list = std::get_if<dispatch::WorkerList>(&e); list != nullptr && worker_) {
      dispatch::WorkerList part{list->form, {}};
      for (const auto& entry : list->entries) {
        if (entry.worker != *worker_) continue;
        part.entries.push_back(entry);
        std::string text = Words(part, turn.notes[i], segment_->site(), segment_->workers());
        if (entry.ready_at <= 0) return text;
        return text + " started " + Seconds(turn.now - entry.ready_at) + " ago";
      }
    }
    return Words(e, turn.notes[i], segment_->site(), segment_->workers());
  }

  std::string Why(const Kept& kept, Micros now) const {
    const dispatch::Choice& c = kept.choice;
    std::string text = "job " + std::to_string(c.request) + ": ";
    char part[240];
    if (!c.chosen) {
      text += c.pool_has_capacity ? "waits, as none of the workers looked at will do"
                                  : "waits, as its pools are at their limit";
    } else {
      std::snprintf(part, sizeof part,
                    "%s is the cheapest of %zu; its pool has %.1f of %.1f slots busy",
                    Name(*c.chosen).c_str(), kept.sampled.size(), c.busy, c.limit);
      text += part;
    }
    for (const dispatch::Candidate& w : kept.sampled) {
      std::snprintf(part, sizeof part,
                    "\n      %c %s: cost %.2f, ours %.1f, others' %.1f, slowness %.2f, fails %.2f",
                    c.chosen && w.worker == *c.chosen ? '>' : ' ', Name(w.worker).c_str(), w.cost,
                    w.busy, w.used_by_others, w.slowness, w.failures);
      text += part;
      text += w.last_response > 0 ? ", heard " + Seconds(now - w.last_response) + " ago"
                                  : ", never heard";
      text += w.last_report ? ", report " + Seconds(now - *w.last_report) + " old" : ", no report";
      if (w.silent) text += ", silent (a trial)";
      if (w.cold) text += ", cold";
    }
    return text;
  }

  std::string Name(dispatch::WorkerId id) const {
    return id < segment_->workers().size() ? segment_->workers()[id] : "#" + std::to_string(id);
  }

  Segment* segment_;
  const Subject& subject_;
  const Window& window_;
  const std::function<void(const Line&)>& out_;
  std::size_t names_seen_ = 0;
  std::optional<dispatch::WorkerId> worker_;
  std::set<dispatch::RequestId> jobs_;
  std::map<dispatch::RequestId, std::pair<int, int>> waits_;  // the last reason, how often since
  Explained result_;
};

}  // namespace

Explained Explain(Segment* segment, const Subject& subject, const Window& window,
                  const std::function<void(const Line&)>& out) {
  return Teller(segment, subject, window, out).Run();
}

}  // namespace pearreach::capture
