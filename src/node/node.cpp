#include "node/node.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>
#include <variant>

namespace pearreach {
namespace {

using marlquay::Outcome;

// The deadline runs from when the client sent; the way here is not told, so it is allowed for.
constexpr Micros kWayHere = 5 * kMs;
// The module answers by the deadline. What is still unanswered so long after it is failed here.
constexpr Micros kAnswerGrace = 10 * kMs;
constexpr Micros kRecallFor = 60 * kSecond;  // for a worker's first mention by the list
constexpr int kWorkerShare = 8;  // a part of so many of the descriptors leads to workers

// The platform's workers answer 202 as soon as they have a job.
marlquay::Settings WithTaken(marlquay::Settings settings) {
  settings.tells_taken = true;
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
      started_(Now()),
      dispatcher_(WithTaken(site_.settings), config.seed, started_),
      workers_(site_, config.sockets / kWorkerShare,
               {[this](AttemptKey key, bool fences) {
                  const auto it = records_.find(key.job);
                  if (it == records_.end()) return;
                  Attempt& a = it->second.attempts[static_cast<std::size_t>(key.number)];
                  a.taken = true;
                  Hear(key.job, a, fences ? AttemptState::kTakenKnowsFences : AttemptState::kTaken);
                  Post(marlquay::AttemptTaken{key.job, key.number, a.worker});
                },
                [this](AttemptKey key) { Reject(key); },
                [this](AttemptKey key, Outcome outcome, const marlquay::LoadReport& load) {
                  End(key, outcome, load);
                }}),
      discovery_(config.discovery, site_.settings.must_subscribe ? site_.settings.balancers : 0,
                 config.seed, [this](const Listing& list) { OnListing(list); }),
      known_(config.known),
      tally_(site_.classes.size()),
      lease_alarm_([this] { RunLeases(); }),
      turn_([this] { Turn(); }) {}

void Node::Start() {
  if (known_) OnListing(*known_);
  discovery_.Start(known_ ? std::optional(known_->version) : std::nullopt);
  known_.reset();
}

// ---------------------------------------------------------------- the turn

void Node::Post(marlquay::Event event, capture::Note note) {
  if (recorder_ != nullptr) {
    note.seen = Now();
    notes_.resize(events_.size());
    notes_.push_back(std::move(note));
  }
  events_.push_back(std::move(event));
  ArmTurn();
}

// The next turn: when something has come, a timer or a deadline is due, and no sooner than a round
// after the last, so that the module is handed what is ready in one go and not in crumbs.
void Node::ArmTurn() {
  Micros at = std::numeric_limits<Micros>::max();
  if (!events_.empty() || !denied_.empty()) at = 0;
  if (!timers_.empty()) at = std::min(at, timers_.top());
  if (!deadlines_.empty()) at = std::min(at, deadlines_.begin()->first);
  if (at == std::numeric_limits<Micros>::max()) return turn_.Clear();
  turn_.Set(std::max(at, last_turn_ + site_.settings.round));
}

void Node::Turn() {
  const Micros now = Now();
  last_turn_ = now;
  bool rang = false;
  for (; !timers_.empty() && timers_.top() <= now; rang = true) timers_.pop();
  if (rang) events_.push_back(marlquay::TimerFired{});
  RunDeadlines(now);
  Deny();
  const std::vector<marlquay::Event> events = std::exchange(events_, {});
  const std::vector<capture::Note> notes = std::exchange(notes_, {});
  actions_.clear();
  dispatcher_.Handle(now, events, &actions_);
  const std::vector<marlquay::Action> actions = std::exchange(actions_, {});
  for (const marlquay::Action& action : actions) Carry(action);
  if (recorder_ != nullptr) recorder_->OnTurn(now, events, notes, actions, dispatcher_, names_);
  ArmTurn();
}

// Jobs beyond a limit: refused at once, and the module never hears of them.
void Node::Deny() {
  for (const auto& [ticket, wait] : std::exchange(denied_, {})) {
    const auto it = records_.find(ticket);
    if (it == records_.end() || it->second.answered) continue;
    Count("refused_by_limit");
    Reply(ticket, it->second,
          {Answer::Kind::kRefused, "", std::min(wait, site_.settings.max_retry_after), false});
    Forget(ticket);
  }
}

void Node::OnJudgement(const std::string& worker, marlquay::Judgement judgement) {
  const auto it = ids_.find(worker);
  if (it == ids_.end()) return;
  judgement.worker = it->second;
  judgement.at -= clock_offset_;
  Count(judgement.out ? "judged_out" : judgement.cold ? "judged_cold" : "judged_well");
  Post(std::move(judgement));
}

void Node::Capture(const std::optional<CaptureSettings>& settings, const std::string& build,
                   std::uint64_t policy_hash) {
  if (settings == recording_) return;
  recording_ = settings;
  recorder_.reset();
  if (!settings) return;
  origin_.build = build;
  origin_.policy_hash = policy_hash;
  // Before the first turn the module is as its settings and seed make it.
  recorder_ = std::make_unique<capture::Recorder>(
      *settings, origin_, dispatcher_, names_, last_turn_ == 0 ? started_ : Now(), last_turn_ == 0);
}

void Node::Recall(knowledge::Recall recall) {
  recall_ = std::move(recall);
  recall_until_ = Now() + kRecallFor;
}

knowledge::Memory Node::Learned() const {
  const Micros now = Now();
  return knowledge::Collect(dispatcher_.Learned(now), now, site_, names_, started_ms_, origin_.node,
                            g_get_real_time());
}

// Guards against taking one process for another: a worker that was started anew meanwhile, or
// another machine at its address, is not the one that something was learned of.
void Node::HandRecall(const Listing& list) {
  const Micros now = Now();
  marlquay::Knowledge told = std::exchange(recall_->common, {});
  for (const ServerEntry& s : list.servers) {
    const auto it = recall_->workers.find(s.id);
    if (it == recall_->workers.end() || s.health == marlquay::Health::kGone) continue;
    if (it->second.started_ms == s.started_ms)
      told.workers.push_back(knowledge::ForModule(it->second, IdOf(s.id), now));
    else
      Count("recalled_another_process");
    recall_->workers.erase(it);
  }
  Count("recalled_workers", told.workers.size());
  if (now >= recall_until_ || recall_->workers.empty()) recall_.reset();
  if (!told.pools.empty() || !told.workers.empty()) Post(std::move(told));
}

void Node::Mark(const std::string& what) {
  if (recorder_ != nullptr) recorder_->Mark(what);
}

// The node stops waiting for what is out at the deadline; the module, told so, gives the answer.
void Node::RunDeadlines(Micros now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const Ticket ticket = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto it = records_.find(ticket);
    if (it == records_.end()) continue;
    Record& r = it->second;
    if (now < r.due + kAnswerGrace) {
      // Before this one is failed here, the module has a turn to answer it.
      deadlines_.insert({r.due + kAnswerGrace, ticket});
      std::vector<std::pair<AttemptKey, Attempt>> out;  // End may take the record with it
      for (std::size_t i = 0; i < r.attempts.size(); ++i)
        if (r.attempts[i].out) out.push_back({{ticket, static_cast<int>(i)}, r.attempts[i]});
      const std::string id = r.job.id;
      for (const auto& [key, attempt] : out) {
        if (attempt.held) {
          End(key, Outcome::kMoot, {});
          continue;
        }
        if (!attempt.taken) workers_.GiveUp(key, attempt.worker, id);
        End(key, Outcome::kTimeout, {});
      }
    } else if (!r.answered) {
      Count("answered_overdue");
      Reply(ticket, r, {Answer::Kind::kFailed, "", 0, true});
      Post(marlquay::RequestLapsed{ticket});
    } else {
      Must(r.out == 0, "outcome_missing");
      Forget(ticket);
    }
  }
}

void Node::Carry(const marlquay::Action& action) {
  const auto answer = [this](Ticket ticket, const Answer& a) {
    const auto it = records_.find(ticket);
    if (it == records_.end() || it->second.answered) return Count("answers_passed_over");
    Reply(ticket, it->second, a);
    Forget(ticket);
  };
  if (const auto* send = std::get_if<marlquay::Send>(&action)) {
    Send(*send);
  } else if (const auto* refuse = std::get_if<marlquay::Refuse>(&action)) {
    Count("refused");
    const Micros wait = std::min(refuse->retry_after, site_.settings.max_retry_after);
    answer(refuse->request, {Answer::Kind::kRefused, "", wait, false});
  } else if (const auto* fail = std::get_if<marlquay::Fail>(&action)) {
    Count("failed");
    const auto it = records_.find(fail->request);
    const bool overdue = it != records_.end() && Now() >= it->second.due;
    answer(fail->request, {Answer::Kind::kFailed, "", 0, overdue});
  } else if (const auto* cancel = std::get_if<marlquay::Cancel>(&action)) {
    Cancel(*cancel);
  } else if (const auto* timer = std::get_if<marlquay::SetTimer>(&action)) {
    timers_.push(timer->at);
  } else if (const auto* probe = std::get_if<marlquay::Probe>(&action)) {
    // This platform's protocol has no probe; the module asks for none where the settings say so.
    CountFault("probe_not_possible", NameOf(probe->worker));
    Post(marlquay::ProbeEnded{probe->worker, false, {}});
  } else if (const auto* line = std::get_if<marlquay::LogLine>(&action)) {
    LogDecision(*line);
  }
  // Subscribe needs nothing: the watch runs from the start.
}

void Node::LogDecision(const marlquay::LogLine& line) {
  using What = marlquay::LogLine::What;
  const std::string text = marlquay::Words(line, site_, names_);
  const std::string value = std::to_string(std::lround(line.value));
  switch (line.what) {
    case What::kWorkerSilent:
      return Log("worker_silent", {{"worker", NameOf(line.worker)}}, text);
    case What::kWorkerBack:
      return Log("worker_back", {{"worker", NameOf(line.worker)}}, text);
    case What::kLimitCut:
      return Log("limit_cut",
                 {{"pool", site_.kinds.at(static_cast<std::size_t>(line.pool))}, {"slots", value}},
                 text);
    case What::kShedding:
      return Log("shedding", {{"refused", value}}, text);
    case What::kListFailed:
      return Log("list_failed", {}, text);
  }
}

// ---------------------------------------------------------------- jobs

std::optional<Ticket> Node::Submit(Job job, Client* client) {
  return SubmitGuarded(std::move(job), client, nullptr, {});
}

std::optional<Ticket> Node::SubmitGuarded(Job job, Client* client, Guard* guard,
                                          const std::vector<Adopted>& attempts) {
  const auto [slot, fresh] = by_id_.try_emplace(job.id, last_ticket_ + 1);
  if (!fresh) return std::nullopt;
  const Ticket ticket = ++last_ticket_;
  Count("jobs");
  marlquay::RequestArrived e;
  e.request = ticket;
  e.cls = job.cls;
  e.tenant = job.tenant;
  e.slots = job.slots;
  e.is_repeat = job.is_repeat;
  e.key = job.key;
  e.due = job.received + job.patience - std::min(kWayHere, job.patience / 2);
  Admission admission;
  if (admit_ && guard == nullptr) admission = admit_(job.tenant, job.is_repeat);
  e.over_share = admission.over_share;
  capture::Note note;
  if (recorder_ != nullptr) note.id = job.id;
  Record& r = records_[ticket];
  r.job = std::move(job);
  r.client = client;
  r.guard = guard;
  r.due = e.due;
  ++open_;
  deadlines_.insert({r.due, ticket});
  if (admission.refused) {
    denied_.push_back({ticket, admission.retry_after});
    ArmTurn();
    return ticket;
  }
  Post(e, std::move(note));
  for (const Adopted& a : attempts) {
    marlquay::AttemptAdopted adopted{ticket, IdOf(a.worker), a.sent, a.started, a.was};
    const bool out = a.was == marlquay::AttemptAdopted::Was::kOut;
    r.attempts.push_back({adopted.worker, a.sent, out, true});
    if (out) {
      ++r.out;
      Attempt& mine = r.attempts.back();
      mine.heard = Now();  // a whole lease from now on: the worker may have spoken to nobody
      if (r.job.lease > 0)
        leases_.insert(
            {mine.heard + r.job.lease, {ticket, static_cast<int>(r.attempts.size()) - 1}});
    }
    Post(adopted);
  }
  if (!leases_.empty()) lease_alarm_.Set(leases_.begin()->first);
  return ticket;
}

void Node::Abandon(Ticket ticket) {
  const auto it = records_.find(ticket);
  if (it == records_.end() || it->second.answered) return;
  Count("abandoned");
  it->second.answered = true;
  it->second.client = nullptr;
  --open_;
  Post(marlquay::RequestLapsed{ticket});
  Forget(ticket);
}

void Node::Reply(Ticket ticket, Record& r, const Answer& answer) {
  if (!Must(!r.answered, "second_answer")) return;
  r.answered = true;
  --open_;
  if (r.job.cls >= 0 && static_cast<std::size_t>(r.job.cls) < tally_.size()) {
    Tally& t = tally_[static_cast<std::size_t>(r.job.cls)];
    ++(answer.kind == Answer::Kind::kServed    ? t.success
       : answer.kind == Answer::Kind::kRefused ? t.busy
                                               : t.failure);
  }
  r.client->OnAnswer(ticket, answer);
}

// A record goes when it is answered and none of its attempts is out.
void Node::Forget(Ticket ticket) {
  const auto it = records_.find(ticket);
  if (it == records_.end() || !it->second.answered) return;
  Record& r = it->second;
  if (r.out > 0) {
    r.job.body = std::string();  // large, and of no more use
    return;
  }
  deadlines_.erase({r.due, ticket});
  deadlines_.erase({r.due + kAnswerGrace, ticket});
  by_id_.erase(r.job.id);
  records_.erase(it);
}

// ---------------------------------------------------------------- attempts

void Node::Send(const marlquay::Send& action) {
  const auto it = records_.find(action.request);
  // An answer given since the module was handed its events: to send now would break rule 1.
  if (it == records_.end() || it->second.answered) return Count("sends_passed_over");
  Record& r = it->second;
  const Micros now = Now();
  const AttemptKey key{action.request, static_cast<int>(r.attempts.size())};
  r.attempts.push_back({action.worker, now, true, false});
  ++r.out;
  Count("attempts");
  if (r.guard == nullptr) return Launch(key);
  r.attempts.back().held = true;
  r.guard->BeforeSend(key.job, NameOf(action.worker), [this, key](std::uint64_t fence) {
    const auto it = records_.find(key.job);
    if (it == records_.end()) return;
    Attempt& a = it->second.attempts[static_cast<std::size_t>(key.number)];
    a.held = false;
    if (!a.out) return;  // given up meanwhile: nothing of it has gone out
    if (fence == 0 || it->second.answered) return End(key, Outcome::kMoot, {});
    it->second.job.fence = fence;
    a.sent = a.heard = Now();
    if (it->second.job.lease > 0) {
      leases_.insert({a.heard + it->second.job.lease, key});
      lease_alarm_.Set(leases_.begin()->first);
    }
    Launch(key);
  });
}

void Node::Launch(AttemptKey key) {
  const Record& r = records_.at(key.job);
  if (witness_ != nullptr)
    witness_->OnSent(NameOf(r.attempts[static_cast<std::size_t>(key.number)].worker));
  workers_.Start(key, r.attempts[static_cast<std::size_t>(key.number)].worker, r.job,
                 r.due - Now());
}

// A word of an attempt renews its lease.
void Node::Hear(Ticket ticket, Attempt& a, AttemptState state) {
  a.heard = Now();
  if (state == AttemptState::kStarted && a.started == 0) a.started = a.heard;
  if (witness_ != nullptr) witness_->OnHeard(NameOf(a.worker));
  const auto it = records_.find(ticket);
  if (it != records_.end() && it->second.guard != nullptr)
    it->second.guard->OnAttempt(ticket, NameOf(a.worker), state);
}

// Attempts that were not heard of for their lease are given up; what that means for the job is
// decided elsewhere.
void Node::RunLeases() {
  const Micros now = Now();
  while (!leases_.empty() && leases_.begin()->first <= now) {
    const AttemptKey key = leases_.begin()->second;
    leases_.erase(leases_.begin());
    const auto it = records_.find(key.job);
    if (it == records_.end()) continue;
    const Attempt& a = it->second.attempts[static_cast<std::size_t>(key.number)];
    if (!a.out) continue;
    if (a.heard + it->second.job.lease > now) {
      leases_.insert({a.heard + it->second.job.lease, key});
      continue;
    }
    Count("leases_over");
    if (!a.taken) workers_.GiveUp(key, a.worker, it->second.job.id);
    End(key, Outcome::kTimeout, {});
  }
  if (!leases_.empty()) lease_alarm_.Set(leases_.begin()->first);
}

void Node::Cancel(const marlquay::Cancel& action) {
  const auto it = records_.find(action.request);
  if (it == records_.end()) return;
  Record& r = it->second;
  const auto at = static_cast<std::size_t>(action.attempt);
  if (!Must(at < r.attempts.size(), "cancel_of_nothing") || !r.attempts[at].out) return;
  const AttemptKey key{action.request, action.attempt};
  if (r.attempts[at].held) return End(key, Outcome::kMoot, {});
  workers_.GiveUp(key, r.attempts[at].worker, r.job.id);
  End(key, Outcome::kCancelled, {});
}

void Node::End(AttemptKey key, Outcome outcome, const marlquay::LoadReport& load) {
  static constexpr const char* kNames[] = {"good",          "error", "full",      "timeout",
                                           "no_connection", "reset", "cancelled", "moot"};
  const auto it = records_.find(key.job);
  if (it == records_.end()) return;
  Record& r = it->second;
  Attempt& a = r.attempts[static_cast<std::size_t>(key.number)];
  if (!a.out) return;
  a.out = false;
  --r.out;
  if (r.guard != nullptr) {
    const bool never =
        outcome == Outcome::kFull || outcome == Outcome::kNoConnection || outcome == Outcome::kMoot;
    const bool said = outcome == Outcome::kGood || outcome == Outcome::kError;
    r.guard->OnAttempt(key.job, NameOf(a.worker),
                       never  ? AttemptState::kNeverRan
                       : said ? AttemptState::kSaidEnd
                              : AttemptState::kMayHaveRun);
  }
  Count((std::string("ended_") + kNames[static_cast<int>(outcome)]).c_str());
  if (load.free_slots || load.in_flight) Count("load_reports");
  // What never went out says nothing of the worker.
  if (witness_ != nullptr && outcome != Outcome::kMoot)
    witness_->OnEnded(NameOf(a.worker), outcome, r.job.cls, a.started > 0 ? Now() - a.started : 0);
  marlquay::AttemptEnded e;
  e.request = key.job;
  e.attempt = key.number;
  e.worker = a.worker;
  e.outcome = outcome;
  e.latency = Now() - a.sent;
  e.settled = r.answered;
  e.load = load;
  Post(e);
  Forget(key.job);
}

// A worker finds the job itself bad: no other would take it either, and it is no word against the
// worker's health, which a bad client could otherwise spoil.
void Node::Reject(AttemptKey key) {
  const auto it = records_.find(key.job);
  if (it == records_.end()) return;
  CountFault("rejected_by_worker", it->second.job.id);
  if (!it->second.answered) Reply(key.job, it->second, {Answer::Kind::kRejected, "", 0, false});
  End(key, Outcome::kCancelled, {});
}

// News may come before the 202, come again, or be of a job or an attempt that has ended: it counts
// for an attempt that is out at the worker it comes from, and only once.
void Node::TellNode(const News& news) {
  const auto id = by_id_.find(news.job);
  const auto from = ids_.find(news.from);
  if (id == by_id_.end() || from == ids_.end()) {
    if (!orphan_ || !orphan_(news)) Count("news_passed_over");
    return;
  }
  const Ticket ticket = id->second;
  Record& r = records_.at(ticket);
  int number = -1;
  bool again = false;  // an earlier attempt went to the same worker
  for (std::size_t i = 0; i < r.attempts.size(); ++i) {
    if (r.attempts[i].worker != from->second) continue;
    again = again || !r.attempts[i].out;
    if (r.attempts[i].out) number = static_cast<int>(i);
  }
  if (number < 0) return Count("news_passed_over");
  Attempt& a = r.attempts[static_cast<std::size_t>(number)];
  const AttemptKey key{ticket, number};
  // Guards a job given out again to the same worker: what it says of the attempt that was fenced
  // off is no word of the new one, unless that the job has taken effect.
  if (news.fence != 0 && news.fence < r.job.fence && news.state != News::State::kDone)
    return Count("news_passed_over");
  // Guards rule 2: where this worker had an attempt before, its 'returned' said again must not be
  // read as a word of the new one, which would then be sent elsewhere though it may run.
  if (again && !a.taken && news.state == News::State::kReturned) return Count("news_passed_over");
  switch (news.state) {
    case News::State::kStarted:
      Hear(ticket, a, AttemptState::kStarted);
      return Post(marlquay::AttemptStarted{ticket, number, a.worker});
    case News::State::kRunning:
      Hear(ticket, a, AttemptState::kProgress);
      return Post(marlquay::AttemptProgress{ticket, number, a.worker, news.share});
    case News::State::kDone:
      workers_.Detach(key);
      if (!r.answered) {
        Count("served");
        Reply(ticket, r, {Answer::Kind::kServed, news.result, 0, false});
      }
      return End(key, Outcome::kGood, news.load);
    case News::State::kFailed:
    case News::State::kReturned:
    case News::State::kLost:
      workers_.Detach(key);
      return End(key,
                 news.state == News::State::kFailed     ? Outcome::kError
                 : news.state == News::State::kReturned ? Outcome::kFull
                                                        : Outcome::kReset,
                 news.load);
  }
}

// ---------------------------------------------------------------- the worker list

Micros Node::ClockOf(std::int64_t unix_ms) const {
  return unix_ms <= 0 ? 0 : std::max<Micros>(1, unix_ms * kMs - clock_offset_);
}

marlquay::WorkerId Node::IdOf(const std::string& name) {
  const auto [it, fresh] = ids_.try_emplace(name, static_cast<marlquay::WorkerId>(names_.size()));
  if (fresh) names_.push_back(name), started_ms_.push_back(0);
  return it->second;
}

void Node::OnListing(const Listing& list) {
  marlquay::WorkerList news;
  news.form =
      list.full ? marlquay::WorkerList::Form::kComplete : marlquay::WorkerList::Form::kChanges;
  if (list.full) hosts_.clear();
  for (const ServerEntry& s : list.servers) {
    marlquay::WorkerEntry e;
    e.worker = IdOf(s.id);
    e.identity = marlquay::HashName(s.id);
    e.zone = marlquay::IndexOf(site_.zones, s.zone);
    e.kind = marlquay::IndexOf(site_.kinds, s.kind);
    if (e.kind < 0 && s.health != marlquay::Health::kGone)
      CountFault("bad_list_entry", s.id + " is of unknown kind '" + s.kind + "'");
    e.cell = s.cell;
    e.health = s.health;
    e.weight = s.weight;
    e.ready_at = ClockOf(s.started_ms);
    if (s.health == marlquay::Health::kGone)
      workers_.Remove(e.worker);
    else
      workers_.SetAddress(e.worker, s.address);
    started_ms_[e.worker] = s.started_ms;
    if (witness_ != nullptr && s.health == marlquay::Health::kGone) witness_->OnGone(s.id);
    if (witness_ != nullptr && s.health != marlquay::Health::kGone)
      witness_->OnListed(
          s.id, {e.zone, e.kind, e.weight, s.started_ms, s.health == marlquay::Health::kInService});
    if (s.health == marlquay::Health::kGone) {
      hosts_.erase(e.worker);
    } else {
      hosts_[e.worker] = e;
      if (Barred(s.id)) e.health = marlquay::Health::kDraining;
    }
    news.entries.push_back(e);
  }
  Count("lists");
  listed_ = true;
  capture::Note note;
  note.version = list.version;
  Post(std::move(news), std::move(note));
  if (recall_) HandRecall(list);
  if (first_list_) std::exchange(first_list_, nullptr)();
}

// ---------------------------------------------------------------- bans

bool Node::Ban(const std::string& id) {
  const auto it = ids_.find(id);
  if (it == ids_.end()) return false;
  if (banned_.insert(id).second) {
    Count("bans");
    PostHealth(it->second);
  }
  return true;
}

bool Node::Unban(const std::string& id) {
  const auto it = ids_.find(id);
  if (it == ids_.end() && !banned_.contains(id)) return false;
  if (banned_.erase(id) > 0 && it != ids_.end()) {
    Count("bans_ended");
    PostHealth(it->second);
  }
  return true;
}

void Node::Shut(const std::string& worker, bool shut) {
  const auto it = ids_.find(worker);
  if ((shut ? shut_.insert(worker).second : shut_.erase(worker) > 0) && it != ids_.end())
    PostHealth(it->second);
}

void Node::SetBans(const std::set<std::string>& ids) {
  std::vector<std::string> changed;
  std::set_symmetric_difference(ids.begin(), ids.end(), banned_.begin(), banned_.end(),
                                std::back_inserter(changed));
  banned_ = ids;
  for (const std::string& id : changed)
    if (const auto it = ids_.find(id); it != ids_.end()) PostHealth(it->second);
}

std::size_t Node::hosts_down() const {
  std::size_t down = 0;
  for (const auto& [worker, entry] : hosts_)
    down += entry.health != marlquay::Health::kInService || banned_.contains(NameOf(worker));
  return down;
}

// A change of one worker, as the list would tell it; nothing where no list names it now.
void Node::PostHealth(marlquay::WorkerId worker) {
  const auto it = hosts_.find(worker);
  if (it == hosts_.end()) return;
  marlquay::WorkerList news;
  news.form = marlquay::WorkerList::Form::kChanges;
  news.entries.push_back(it->second);
  if (Barred(NameOf(worker))) news.entries.back().health = marlquay::Health::kDraining;
  Post(std::move(news));
}

void Node::LogFigures() const {
  const auto text = [](double value) {
    std::string t = std::to_string(value);
    return t.substr(0, t.find('.') + 2);
  };
  std::vector<std::string> names;  // outlive the fields
  names.reserve(2 * site_.kinds.size());
  std::vector<LogField> fields = {{"open", std::to_string(open_)},
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
