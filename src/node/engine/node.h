// The node: the clock, the table of jobs, the Dispatcher and the only place where its actions turn
// into I/O. It owns a job from Submit to its one answer and an attempt from Send to its one
// outcome; it must never decide what the module decides, never answer a job twice, and never pass
// on an outcome twice. It knows no protocol: fronts reach it through core.h.
#ifndef PEARREACH_SRC_NODE_ENGINE_NODE_H_
#define PEARREACH_SRC_NODE_ENGINE_NODE_H_

#include <deque>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "node/capture/recorder.h"
#include "node/engine/core.h"
#include "node/engine/discovery.h"
#include "node/engine/workers.h"
#include "node/knowledge/memory.h"
#include "pearreach/dispatcher.h"

namespace pearreach {

// Keeps jobs durable: asked before each of their attempts goes out, and told of what becomes of it.
enum class AttemptState {
  kAccepted,
  kAcceptedWithFencing,
  kStarted,
  kProgress,
  kReportedEnd,  // the worker says that it is done or failed
  kNeverRan,     // proven
  kMayHaveRun,   // ended without a word
};
class AttemptGuard {
 public:
  using Proceed = std::function<void(std::uint64_t fence)>;  // 0: it must not go out
  virtual ~AttemptGuard() = default;
  virtual void BeforeSend(Ticket ticket, const std::string& worker, Proceed go) = 0;
  virtual void OnAttempt(Ticket ticket, const std::string& worker, AttemptState state) = 0;
};

// Sees what this node sees of the match workers: evidence for those who judge them together.
class WorkerObserver {
 public:
  virtual ~WorkerObserver() = default;
  struct ListedWorker {
    int zone = 0, kind = 0;
    double weight = 1;
    std::int64_t started_ms = 0;
    bool in_service = false;
  };
  virtual void OnListed(const std::string& worker, const ListedWorker& as) = 0;
  virtual void OnGone(const std::string& worker) = 0;
  virtual void OnSent(const std::string& worker) = 0;
  virtual void OnAttemptUpdate(const std::string& worker) = 0;  // any word of an attempt there
  // `run`: from its start on; 0: not known.
  virtual void OnEnded(const std::string& worker, dispatch::Outcome outcome, int cls,
                       Micros run) = 0;
};

class Node : public Core {
 public:
  // An attempt of a job that another process of this node made.
  struct AdoptedAttempt {
    std::string worker;
    Micros sent = 0;  // by Now(); may lie before this process began
    bool started = false;
    dispatch::AttemptAdopted::State state = dispatch::AttemptAdopted::State::kInFlight;
  };

  explicit Node(const Config& config);

  void Start();  // begins the watch of the worker list
  // Goes on with the list at another address; until it is in, the workers held stay.
  void SetDiscoveryAddress(const std::string& address) { discovery_.MoveTo(address); }

  // Records the module's turns from now on; none: stops. `build` and `policy_hash` stand at the
  // head of each segment.
  void SetCapture(const std::optional<CaptureSettings>& settings, const std::string& build,
                  std::uint64_t policy_hash);
  // What an earlier process of this node has learned: handed to the module with the first list, and
  // of each worker when the list names the process that it is about.
  void RestoreKnowledge(knowledge::Recall recall);
  // What this one has learned, for a later one.
  knowledge::Memory ExportKnowledge() const;
  // A word for people that goes into the recording, if there is one.
  void AnnotateCapture(const std::string& what);

  const dispatch::Site& site() const override { return site_; }
  bool ready() const override { return listed_; }
  std::size_t open_jobs() const override { return open_jobs_; }
  std::optional<Ticket> Submit(Job job, Client* client) override;
  void Abandon(Ticket ticket) override;
  void HandleJobUpdate(const News& news, JobUpdateAck heard) override {
    ApplyJobUpdate(news);
    heard(true);
  }
  void ApplyJobUpdate(const News& news);
  // Bytes that another node said for this one's module.
  void OnPeerMessage(int from, std::string bytes) {
    Post(dispatch::PeerMessage{from, std::move(bytes)});
  }

  // ---- for state that the fleet shares
  // Asked of each new job of a client; durable jobs were admitted when they were taken on.
  void SetAdmissionCheck(std::function<Admission(int tenant, bool is_repeat)> ask) {
    admission_check_ = std::move(ask);
  }
  void SetWorkerObserver(WorkerObserver* witness) { observer_ = witness; }
  // What several nodes have seen of a worker; `judgement.at` is Unix time in microseconds.
  void OnJudgement(const std::string& worker, dispatch::HealthVerdict judgement);

  // A worker of a zone that the fleet has left takes nothing new: told to the module as draining,
  // like a banned one, until it is open again.
  void SetZoneDrain(const std::string& worker, bool shut);

  // ---- for the keeper of durable jobs
  std::optional<Ticket> SubmitGuarded(Job job, Client* client, AttemptGuard* guard,
                                      const std::vector<AdoptedAttempt>& attempts);
  bool IsOpen(const std::string& id) const { return tickets_by_job_id_.contains(id); }
  void SetFirstListingCallback(std::function<void()> tell) { on_first_listing_ = std::move(tell); }
  // Asked about news of a job that is not open; true: it was of use.
  void SetUnknownJobHandler(std::function<bool(const News&)> ask) {
    unknown_job_handler_ = std::move(ask);
  }

  // Open jobs, workers, and limit and busy slots of each pool, as one event of the log.
  void LogStats() const;

  // ---- bans by operators. A banned worker is told to the module as draining, whatever the list
  // says of it, until it is let back: the module decides as for any drain. False: no list has
  // named that id in this process, and nothing changes.
  bool Ban(const std::string& id);
  bool Unban(const std::string& id);
  // As another process of this node has them; ids that no list has named yet are kept for later.
  void SetBans(const std::set<std::string>& ids);
  const std::set<std::string>& bans() const { return banned_; }
  std::size_t hosts_listed() const { return listed_workers_.size(); }  // named and not gone
  std::size_t hosts_down() const;  // of those, banned or draining by the list

  // The jobs of each class that were answered since the start, by kind of answer.
  struct AnswerCounts {
    std::uint64_t success = 0, busy = 0, failure = 0;
  };
  const std::vector<AnswerCounts>& answer_counts() const { return answer_counts_; }

  // Figures for tests and the log.
  std::size_t records() const { return records_.size(); }
  std::size_t worker_connections() const { return workers_.connections(); }
  // Unix time on the module's clock, by the one offset: taken anew it would differ by a little each
  // time and make every list look like a restart. 0 stays 0: long ago.
  Micros FromUnixMs(std::int64_t unix_ms) const;
  // A list from another source than discovery, in its form.
  void OnListing(const Listing& list);

 private:
  struct Attempt {
    dispatch::WorkerId worker = 0;
    Micros sent_at = 0;
    bool in_flight = true;         // its outcome has not been passed on
    bool accepted = false;         // the worker has answered 202
    bool awaiting_intent = false;  // its intent is not durable yet: nothing of it has gone out
    Micros started_at = 0;         // the word of its start; 0: none
    Micros last_update = 0;        // the last word of it, where it has a lease
  };
  struct Record {
    AttemptGuard* guard = nullptr;
    Job job;
    Client* client = nullptr;
    Micros deadline = 0;
    bool answered = false;
    std::vector<Attempt> attempts;
    int in_flight = 0;
  };

  void Post(dispatch::Event event, capture::Note note = {});
  void RefuseOverLimit();
  void RunTurn();
  void ScheduleTurn();
  void Execute(const dispatch::Action& action);
  void LogDecision(const dispatch::LogLine& line);
  void SendAttempt(const dispatch::Send& action);
  void CancelAttempt(const dispatch::Cancel& action);
  void AnswerClient(Ticket ticket, Record& record, const Answer& answer);
  // Passes an attempt's outcome on, once.
  void EndAttempt(AttemptKey key, dispatch::Outcome outcome, const dispatch::LoadReport& load);
  void RejectJob(AttemptKey key);
  void StartAttempt(AttemptKey key);
  void RecordAttemptUpdate(Ticket ticket, Attempt& attempt, AttemptState state);
  void ExpireLeases();
  void PostRestoredKnowledge(const Listing& list);
  dispatch::WorkerId WorkerIdOf(const std::string& name);
  void ExpireDeadlines(Micros now);
  void MaybeRelease(Ticket ticket);
  void PostHealth(dispatch::WorkerId worker);  // as listed, or draining where not to be used
  bool IsDrained(const std::string& id) const {
    return banned_.contains(id) || zone_drained_.contains(id);
  }
  const std::string& WorkerName(dispatch::WorkerId worker) const {
    return worker_names_.at(worker);
  }

  dispatch::Site site_;
  capture::Origin origin_;  // of what is recorded
  Micros clock_offset_;     // of Unix time before Now(), taken once
  Micros start_time_;       // the module's clock at its start
  dispatch::Dispatcher dispatcher_;
  Workers workers_;
  Discovery discovery_;
  std::optional<Listing> initial_listing_;
  bool listed_ = false;

  std::optional<knowledge::Recall> restored_knowledge_;  // what of it has not been handed over
  Micros restore_until_ = 0;  // a worker named later than this is known by itself

  std::unordered_map<dispatch::WorkerId, dispatch::WorkerEntry>
      listed_workers_;                           // as the list says
  std::set<std::string> banned_, zone_drained_;  // by operators; by zones that are left
  std::vector<AnswerCounts> answer_counts_;

  std::unordered_map<std::string, dispatch::WorkerId> worker_ids_;
  std::vector<std::int64_t> process_started_ms_;  // by id: of the process that the list names
  std::vector<std::string> worker_names_;

  std::unordered_map<Ticket, Record> records_;
  std::unordered_map<std::string, Ticket> tickets_by_job_id_;
  Ticket last_ticket_ = 0;
  std::size_t open_jobs_ = 0;
  std::set<std::pair<Micros, Ticket>> deadlines_;

  std::function<Admission(int, bool)> admission_check_;
  WorkerObserver* observer_ = nullptr;
  std::vector<std::pair<Ticket, Micros>>
      over_limit_;  // to be refused in the next turn; come back in

  std::set<std::pair<Micros, AttemptKey>> leases_;
  std::function<void()> on_first_listing_;
  std::function<bool(const News&)> unknown_job_handler_;
  Alarm lease_alarm_;

  std::vector<dispatch::Event> events_;
  std::vector<capture::Note> notes_;  // one an event, while it is recorded
  std::vector<dispatch::Action> actions_;
  std::priority_queue<Micros, std::vector<Micros>, std::greater<>> timers_;
  Micros last_turn_ = 0;
  std::optional<CaptureSettings> capture_settings_;
  std::unique_ptr<capture::Recorder> recorder_;
  Alarm turn_alarm_;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_ENGINE_NODE_H_
