#include "node/engine/node.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "node/engine/answer_grace.h"

namespace pearreach {
namespace {

using dispatch::Outcome;

constexpr Micros kRestoreWindow = 60 * kSecond;  // for a worker's first mention by the list
constexpr int kWorkerSocketDivisor = 8;  // a part of so many of the descriptors leads to workers

// The platform's workers answer 202 as soon as they have a job.
dispatch::Settings WithAcceptedEvents(dispatch::Settings settings) {
  settings.reports_accept = true;
  return settings;
}

}  // namespace

Node::Node(const Config& config)
    : site_(config.site),
      origin_{.node = config.name,
              .build = {},
              .seed = config.seed,
              .settings = config.settings,
              .tells_taken = true,
              .workers = {}},
      clock_offset_(g_get_real_time() - Now()),
      start_time_(Now()),
      dispatcher_(WithAcceptedEvents(site_.settings), config.seed, start_time_),
      workers_(site_, config.sockets / kWorkerSocketDivisor,
               {[this](AttemptKey key, bool fences) {
                  const auto it = records_.find(key.job);
                  if (it == records_.end()) return;
                  Attempt& a = it->second.attempts[static_cast<std::size_t>(key.number)];
                  a.accepted = true;
                  RecordAttemptUpdate(
                      key.job, a,
                      fences ? AttemptState::kAcceptedWithFencing : AttemptState::kAccepted);
                  Post(dispatch::AttemptAccepted{key.job, key.number, a.worker});
                },
                [this](AttemptKey key) { RejectJob(key); },
                [this](AttemptKey key, Outcome outcome, const dispatch::LoadReport& load) {
                  EndAttempt(key, outcome, load);
                }}),
      discovery_(config.discovery, site_.settings.must_subscribe ? site_.settings.balancers : 0,
                 config.seed, [this](const Listing& list) { OnListing(list); }),
      initial_listing_(config.known),
      answer_counts_(site_.classes.size()),
      lease_alarm_([this] { ExpireLeases(); }),
      turn_alarm_([this] { RunTurn(); }) {}

void Node::Start() {
  if (initial_listing_) OnListing(*initial_listing_);
  discovery_.Start(initial_listing_ ? std::optional(initial_listing_->version) : std::nullopt);
  initial_listing_.reset();
}

void Node::Post(dispatch::Event event, capture::Note note) {
  if (recorder_ != nullptr) {
    note.seen = Now();
    notes_.resize(events_.size());
    notes_.push_back(std::move(note));
  }
  events_.push_back(std::move(event));
  ScheduleTurn();
}

// The next turn: when something has come, a timer or a deadline is due, and no sooner than a round
// after the last, so that the module is handed what is ready in one go and not in crumbs.
void Node::ScheduleTurn() {
  Micros at = std::numeric_limits<Micros>::max();
  if (!events_.empty() || !over_limit_.empty()) at = 0;
  if (!timers_.empty()) at = std::min(at, timers_.top());
  if (!deadlines_.empty()) at = std::min(at, deadlines_.begin()->first);
  if (at == std::numeric_limits<Micros>::max()) return turn_alarm_.Clear();
  turn_alarm_.Set(std::max(at, last_turn_ + site_.settings.min_handle_interval));
}

void Node::RunTurn() {
  const Micros now = Now();
  last_turn_ = now;
  bool rang = false;
  for (; !timers_.empty() && timers_.top() <= now; rang = true) timers_.pop();
  if (rang) events_.emplace_back(dispatch::TimerFired{});
  ExpireDeadlines(now);
  RefuseOverLimit();
  const std::vector<dispatch::Event> events = std::exchange(events_, {});
  const std::vector<capture::Note> notes = std::exchange(notes_, {});
  actions_.clear();
  dispatcher_.Handle(now, events, &actions_);
  const std::vector<dispatch::Action> actions = std::exchange(actions_, {});
  for (const dispatch::Action& action : actions) Execute(action);
  if (recorder_ != nullptr)
    recorder_->OnTurn(now, events, notes, actions, dispatcher_, worker_names_);
  ScheduleTurn();
}

// Jobs beyond a limit: refused at once, and the module never hears of them.
void Node::RefuseOverLimit() {
  for (const auto& [ticket, wait] : std::exchange(over_limit_, {})) {
    const auto it = records_.find(ticket);
    if (it == records_.end() || it->second.answered) continue;
    Count("refused_by_limit");
    AnswerClient(
        ticket, it->second,
        {Answer::Kind::kRefused, "", std::min(wait, site_.settings.max_retry_after), false});
    MaybeRelease(ticket);
  }
}

void Node::OnJudgement(const std::string& worker, dispatch::HealthVerdict judgement) {
  const auto it = worker_ids_.find(worker);
  if (it == worker_ids_.end()) return;
  judgement.worker = it->second;
  judgement.observed_at -= clock_offset_;
  Count(judgement.ejected ? "judged_out" : judgement.cold ? "judged_cold" : "judged_well");
  Post(std::move(judgement));
}

void Node::SetCapture(const std::optional<CaptureSettings>& settings, const std::string& build,
                      std::uint64_t policy_hash) {
  if (settings == capture_settings_) return;
  capture_settings_ = settings;
  recorder_.reset();
  if (!settings) return;
  origin_.build = build;
  origin_.policy_hash = policy_hash;
  // Before the first turn the module is as its settings and seed make it.
  recorder_ =
      std::make_unique<capture::Recorder>(*settings, origin_, dispatcher_, worker_names_,
                                          last_turn_ == 0 ? start_time_ : Now(), last_turn_ == 0);
}

void Node::RestoreKnowledge(knowledge::Recall recall) {
  restored_knowledge_ = std::move(recall);
  restore_until_ = Now() + kRestoreWindow;
}

knowledge::Memory Node::ExportKnowledge() const {
  const Micros now = Now();
  return knowledge::Collect(dispatcher_.Learned(now), now, site_, worker_names_,
                            process_started_ms_, origin_.node, g_get_real_time());
}

// Guards against taking one process for another: a worker that was started anew meanwhile, or
// another machine at its address, is not the one that something was learned of.
void Node::PostRestoredKnowledge(const Listing& list) {
  const Micros now = Now();
  dispatch::Knowledge told = std::exchange(restored_knowledge_->common, {});
  for (const ServerEntry& s : list.servers) {
    const auto it = restored_knowledge_->workers.find(s.id);
    if (it == restored_knowledge_->workers.end() || s.health == dispatch::Health::kGone) continue;
    if (it->second.started_ms == s.started_ms)
      told.workers.push_back(knowledge::ForModule(it->second, WorkerIdOf(s.id), now));
    else
      Count("recalled_another_process");
    restored_knowledge_->workers.erase(it);
  }
  Count("recalled_workers", told.workers.size());
  if (now >= restore_until_ || restored_knowledge_->workers.empty()) restored_knowledge_.reset();
  if (!told.pools.empty() || !told.workers.empty()) Post(std::move(told));
}

void Node::AnnotateCapture(const std::string& what) {
  if (recorder_ != nullptr) recorder_->Mark(what);
}

// The node stops waiting for what is out at the deadline; the module, told so, gives the answer.
void Node::ExpireDeadlines(Micros now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const Ticket ticket = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto it = records_.find(ticket);
    if (it == records_.end()) continue;
    Record& r = it->second;
    if (now < r.deadline + kAnswerGrace) {
      // Before this one is failed here, the module has a turn to answer it.
      deadlines_.insert({r.deadline + kAnswerGrace, ticket});
      std::vector<std::pair<AttemptKey, Attempt>> out;  // End may take the record with it
      for (std::size_t i = 0; i < r.attempts.size(); ++i)
        if (r.attempts[i].in_flight) out.push_back({{ticket, static_cast<int>(i)}, r.attempts[i]});
      const std::string id = r.job.id;
      for (const auto& [key, attempt] : out) {
        if (attempt.awaiting_intent) {
          EndAttempt(key, Outcome::kNotSent, {});
          continue;
        }
        if (!attempt.accepted) workers_.CancelAttempt(key, attempt.worker, id);
        EndAttempt(key, Outcome::kTimeout, {});
      }
    } else if (!r.answered) {
      Count("answered_overdue");
      AnswerClient(ticket, r, {Answer::Kind::kFailed, "", 0, true});
      Post(dispatch::RequestAbandoned{ticket});
    } else {
      Must(r.in_flight == 0, "outcome_missing");
      MaybeRelease(ticket);
    }
  }
}

void Node::Execute(const dispatch::Action& action) {
  const auto answer = [this](Ticket ticket, const Answer& a) {
    const auto it = records_.find(ticket);
    if (it == records_.end() || it->second.answered) return Count("answers_passed_over");
    AnswerClient(ticket, it->second, a);
    MaybeRelease(ticket);
  };
  if (const auto* send = std::get_if<dispatch::Send>(&action)) {
    SendAttempt(*send);
  } else if (const auto* refuse = std::get_if<dispatch::Refuse>(&action)) {
    Count("refused");
    const Micros wait = std::min(refuse->retry_after, site_.settings.max_retry_after);
    answer(refuse->request, {Answer::Kind::kRefused, "", wait, false});
  } else if (const auto* fail = std::get_if<dispatch::Fail>(&action)) {
    Count("failed");
    const auto it = records_.find(fail->request);
    const bool overdue = it != records_.end() && Now() >= it->second.deadline;
    answer(fail->request, {Answer::Kind::kFailed, "", 0, overdue});
  } else if (const auto* cancel = std::get_if<dispatch::Cancel>(&action)) {
    CancelAttempt(*cancel);
  } else if (const auto* timer = std::get_if<dispatch::SetTimer>(&action)) {
    timers_.push(timer->at);
  } else if (const auto* probe = std::get_if<dispatch::Probe>(&action)) {
    // This platform's protocol has no probe; the module asks for none where the settings say so.
    CountFault("probe_not_possible", WorkerName(probe->worker));
    Post(dispatch::ProbeEnded{probe->worker, false, {}});
  } else if (const auto* line = std::get_if<dispatch::LogLine>(&action)) {
    LogDecision(*line);
  }
  // Subscribe needs nothing: the watch runs from the start.
}

void Node::LogDecision(const dispatch::LogLine& line) {
  using Kind = dispatch::LogLine::Kind;
  const std::string text = dispatch::FormatLogLine(line, site_, worker_names_);
  const std::string value = std::to_string(std::lround(line.value));
  switch (line.kind) {
    case Kind::kWorkerSilent:
      return Log("worker_silent", {{"worker", WorkerName(line.worker)}}, text);
    case Kind::kWorkerRecovered:
      return Log("worker_back", {{"worker", WorkerName(line.worker)}}, text);
    case Kind::kLimitCut:
      return Log("limit_cut",
                 {{"pool", site_.kinds.at(static_cast<std::size_t>(line.pool))}, {"slots", value}},
                 text);
    case Kind::kShedding:
      return Log("shedding", {{"refused", value}}, text);
    case Kind::kListFailed:
      return Log("list_failed", {}, text);
  }
}

void Node::LogStats() const {
  const auto text = [](double value) {
    std::string t = std::to_string(value);
    return t.substr(0, t.find('.') + 2);
  };
  std::vector<std::string> names;  // outlive the fields
  names.reserve(2 * site_.kinds.size());
  std::vector<LogField> fields = {{"open", std::to_string(open_jobs_)},
                                  {"workers", std::to_string(dispatcher_.KnownWorkers())}};
  std::string line = "figures: open=" + fields[0].value + " workers=" + fields[1].value;
  for (std::size_t k = 0; k < site_.kinds.size(); ++k) {
    const int pool = static_cast<int>(k);
    for (const auto& [what, value] : {std::pair("limit_", dispatcher_.PoolLimit(pool)),
                                      std::pair("busy_", dispatcher_.PoolBusy(pool))}) {
      names.push_back(what + site_.kinds[k]);
      fields.push_back({names.back().c_str(), text(value)});
      line += " " + names.back() + "=" + fields.back().value;
    }
  }
  Log("figures", fields, line);
}

}  // namespace pearreach
