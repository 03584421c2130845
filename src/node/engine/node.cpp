#include "node/engine/node.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "node/engine/answer_grace.h"

namespace pearreach {
namespace {

using dispatch::Outcome;

// Restored knowledge of a worker is dropped if no list has named it by then.
constexpr Micros kRestoreWindow = 60 * kSecond;
// One in this many of the process's descriptors may be a connection to a worker.
constexpr int kWorkerSocketDivisor = 8;

// The platform's workers answer 202 as soon as they have accepted a job.
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
               {[this](AttemptKey key, bool supports_fencing) {
                  const auto it = records_.find(key.job);
                  if (it == records_.end()) return;
                  Attempt& a = it->second.attempts[static_cast<std::size_t>(key.number)];
                  a.accepted = true;
                  RecordAttemptUpdate(key.job, a,
                                      supports_fencing ? AttemptState::kAcceptedWithFencing
                                                       : AttemptState::kAccepted);
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

// The next turn is due when an event is queued or a timer or deadline expires, but no sooner than
// the minimum interval after the last one, so that the Dispatcher gets events in batches.
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
  bool timer_fired = false;
  for (; !timers_.empty() && timers_.top() <= now; timer_fired = true) timers_.pop();
  if (timer_fired) events_.emplace_back(dispatch::TimerFired{});
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

// Refuses the jobs over a limit at once. The Dispatcher never sees them.
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

void Node::OnJudgement(const std::string& worker, dispatch::HealthVerdict verdict) {
  const auto it = worker_ids_.find(worker);
  if (it == worker_ids_.end()) return;
  verdict.worker = it->second;
  verdict.observed_at -= clock_offset_;
  Count(verdict.ejected ? "judged_out" : verdict.cold ? "judged_cold" : "judged_well");
  Post(std::move(verdict));
}

void Node::SetCapture(const std::optional<CaptureSettings>& settings, const std::string& build,
                      std::uint64_t policy_hash) {
  if (settings == capture_settings_) return;
  capture_settings_ = settings;
  recorder_.reset();
  if (!settings) return;
  origin_.build = build;
  origin_.policy_hash = policy_hash;
  // Before the first turn the Dispatcher's state follows from its settings and seed alone, and no
  // checkpoint is needed.
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

// Knowledge is restored only for the same worker process: it does not apply to a worker that has
// restarted, or to another machine at its address.
void Node::PostRestoredKnowledge(const Listing& list) {
  const Micros now = Now();
  dispatch::Knowledge knowledge = std::exchange(restored_knowledge_->common, {});
  for (const ServerEntry& s : list.servers) {
    const auto it = restored_knowledge_->workers.find(s.id);
    if (it == restored_knowledge_->workers.end() || s.health == dispatch::Health::kGone) continue;
    if (it->second.started_ms == s.started_ms)
      knowledge.workers.push_back(knowledge::ForModule(it->second, WorkerIdOf(s.id), now));
    else
      Count("recalled_another_process");
    restored_knowledge_->workers.erase(it);
  }
  Count("recalled_workers", knowledge.workers.size());
  if (now >= restore_until_ || restored_knowledge_->workers.empty()) restored_knowledge_.reset();
  if (!knowledge.pools.empty() || !knowledge.workers.empty()) Post(std::move(knowledge));
}

void Node::AnnotateCapture(const std::string& note) {
  if (recorder_ != nullptr) recorder_->Mark(note);
}

// At a job's deadline its attempts in flight end as timed out, and the Dispatcher gives the answer.
// If it has not done so within kAnswerGrace, the node fails the job.
void Node::ExpireDeadlines(Micros now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const Ticket ticket = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto it = records_.find(ticket);
    if (it == records_.end()) continue;
    Record& r = it->second;
    if (now < r.deadline + kAnswerGrace) {
      // Give the Dispatcher a turn to answer before the node fails the job.
      deadlines_.insert({r.deadline + kAnswerGrace, ticket});
      std::vector<std::pair<AttemptKey, Attempt>> out;  // EndAttempt may drop the record
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
    // The worker protocol has no probes, and the settings tell the Dispatcher not to ask for any.
    CountFault("probe_not_possible", WorkerName(probe->worker));
    Post(dispatch::ProbeEnded{probe->worker, false, {}});
  } else if (const auto* line = std::get_if<dispatch::LogLine>(&action)) {
    LogDecision(*line);
  }
  // Subscribe needs no action: the watch has been running since the start.
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
  std::vector<std::string> names;  // must outlive `fields`
  names.reserve(2 * site_.kinds.size());
  std::vector<LogField> fields = {{"open", std::to_string(open_jobs_)},
                                  {"workers", std::to_string(dispatcher_.KnownWorkers())}};
  std::string line = "figures: open=" + fields[0].value + " workers=" + fields[1].value;
  for (std::size_t k = 0; k < site_.kinds.size(); ++k) {
    const int pool = static_cast<int>(k);
    for (const auto& [prefix, value] : {std::pair("limit_", dispatcher_.PoolLimit(pool)),
                                        std::pair("busy_", dispatcher_.PoolBusy(pool))}) {
      names.push_back(prefix + site_.kinds[k]);
      fields.push_back({names.back().c_str(), text(value)});
      line += " " + names.back() + "=" + fields.back().value;
    }
  }
  Log("figures", fields, line);
}

}  // namespace pearreach
