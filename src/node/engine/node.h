// The node: it keeps the table of open jobs, feeds events to the Dispatcher and carries out the
// Dispatcher's actions as I/O. Each job gets exactly one answer, and each attempt's outcome is
// reported to the Dispatcher exactly once. All dispatch decisions are the Dispatcher's. The node
// knows no client protocol; frontends use it through core.h.
//
// Everything runs on the thread of the main loop.
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

enum class AttemptState {
  kAccepted,             // the worker has answered 202
  kAcceptedWithFencing,  // likewise, and it supports fencing tokens
  kStarted,
  kProgress,
  kReportedEnd,  // the worker has reported `done` or `failed`
  kNeverRan,     // the attempt provably never ran
  kMayHaveRun,   // ended without a report from the worker
};

// Makes the attempts of durable jobs durable: called before each attempt is sent and at each change
// of its state.
class AttemptGuard {
 public:
  // Sends the attempt with this fencing token; 0 drops the attempt.
  using Proceed = std::function<void(std::uint64_t fence)>;
  virtual ~AttemptGuard() = default;
  // Calls `proceed` once the intent to send is durable, or with 0 if it could not be stored.
  virtual void BeforeSend(Ticket ticket, const std::string& worker, Proceed proceed) = 0;
  virtual void OnAttempt(Ticket ticket, const std::string& worker, AttemptState state) = 0;
};

// Receives this node's observations of the match workers, as input to health verdicts that several
// nodes reach together.
class WorkerObserver {
 public:
  virtual ~WorkerObserver() = default;
  struct ListedWorker {
    int zone = 0, kind = 0;
    double weight = 1;
    std::int64_t started_ms = 0;
    bool in_service = false;
  };
  virtual void OnListed(const std::string& worker, const ListedWorker& entry) = 0;
  virtual void OnGone(const std::string& worker) = 0;
  virtual void OnSent(const std::string& worker) = 0;
  // The worker has accepted an attempt or reported its start or progress.
  virtual void OnAttemptUpdate(const std::string& worker) = 0;
  // `run` is the time since the attempt's start was reported; 0 if it was not.
  virtual void OnEnded(const std::string& worker, dispatch::Outcome outcome, int cls,
                       Micros run) = 0;
};

class Node : public Core {
 public:
  // An attempt that an earlier process of this node has made.
  struct AdoptedAttempt {
    std::string worker;
    Micros sent = 0;  // by Now(); may be before the start of this process
    bool started = false;
    dispatch::AttemptAdopted::State state = dispatch::AttemptAdopted::State::kInFlight;
  };

  explicit Node(const Config& config);

  // Starts watching the worker list.
  void Start();
  // Watches the worker list at another address. The present workers are kept until the first list
  // from there has arrived.
  void SetDiscoveryAddress(const std::string& address) { discovery_.MoveTo(address); }

  // Starts capturing the Dispatcher's events and actions, or stops if `settings` is empty. `build`
  // and `policy_hash` are written to the header of each segment. Unchanged settings have no effect.
  void SetCapture(const std::optional<CaptureSettings>& settings, const std::string& build,
                  std::uint64_t policy_hash);
  // Restores what an earlier process of this node has learned. The common part is passed to the
  // Dispatcher with the next list, and the knowledge of a worker once the list names the same
  // worker process.
  void RestoreKnowledge(knowledge::Recall recall);
  // Returns what this process has learned, for a later one.
  knowledge::Memory ExportKnowledge() const;
  // Adds a note for readers to the capture, if one is running.
  void AnnotateCapture(const std::string& note);

  const dispatch::Site& site() const override { return site_; }
  bool ready() const override { return listed_; }
  std::size_t open_jobs() const override { return open_jobs_; }
  std::optional<Ticket> Submit(Job job, Client* client) override;
  void Abandon(Ticket ticket) override;
  void HandleJobUpdate(const News& update, JobUpdateAck ack) override {
    ApplyJobUpdate(update);
    ack(true);
  }
  // As HandleJobUpdate, without an acknowledgement.
  void ApplyJobUpdate(const News& update);
  // Passes a message of another node's Dispatcher to this node's.
  void OnPeerMessage(int from, std::string bytes) {
    Post(dispatch::PeerMessage{from, std::move(bytes)});
  }

  // ---- State that the nodes of the fleet share
  // Sets the check that each new job of a client must pass. Durable jobs are exempt, as they have
  // been accepted already.
  void SetAdmissionCheck(std::function<Admission(int tenant, bool is_repeat)> check) {
    admission_check_ = std::move(check);
  }
  void SetWorkerObserver(WorkerObserver* observer) { observer_ = observer; }
  // Passes on a verdict that several nodes have reached; `verdict.observed_at` is Unix time in
  // microseconds.
  void OnJudgement(const std::string& worker, dispatch::HealthVerdict verdict);

  // Drains a worker because the fleet has left its zone, or ends that drain. The Dispatcher sees
  // the worker as draining, like a banned one.
  void SetZoneDrain(const std::string& worker, bool drained);

  // ---- Durable jobs
  // As Submit, for a job whose attempts go through `guard`. `attempts` are those that an earlier
  // process has made.
  std::optional<Ticket> SubmitGuarded(Job job, Client* client, AttemptGuard* guard,
                                      const std::vector<AdoptedAttempt>& attempts);
  bool IsOpen(const std::string& id) const { return tickets_by_job_id_.contains(id); }
  // Called once, after the first worker list.
  void SetFirstListingCallback(std::function<void()> callback) {
    on_first_listing_ = std::move(callback);
  }
  // Handles updates about jobs that are not open; returns false if it ignored the update.
  void SetUnknownJobHandler(std::function<bool(const News&)> handler) {
    unknown_job_handler_ = std::move(handler);
  }

  // Logs the number of open jobs and workers, and each pool's limit and busy slots, as one event.
  void LogStats() const;

  // ---- Bans by operators
  // The Dispatcher sees a banned worker as draining, whatever the list reports, until the ban ends.
  // Both return false and change nothing if no list in this process has named the id (an existing
  // ban can be ended all the same).
  bool Ban(const std::string& id);
  bool Unban(const std::string& id);
  // Replaces the bans by those of another process of this node. Ids that no list has named yet take
  // effect when one does.
  void SetBans(const std::set<std::string>& ids);
  const std::set<std::string>& bans() const { return banned_; }
  // Workers on the list that are not gone.
  std::size_t hosts_listed() const { return listed_workers_.size(); }
  // The listed workers that are banned or reported as draining.
  std::size_t hosts_down() const;

  // Jobs answered since the start, by kind of answer. The vector is indexed by class.
  struct AnswerCounts {
    std::uint64_t success = 0, busy = 0, failure = 0;
  };
  const std::vector<AnswerCounts>& answer_counts() const { return answer_counts_; }

  // Sizes, for tests and the log.
  std::size_t records() const { return records_.size(); }
  std::size_t worker_connections() const { return workers_.connections(); }
  // Converts Unix time in milliseconds to the clock of Now(). The offset is measured once: measured
  // again it would differ slightly, and every list would look like a restart of its workers. 0
  // (long ago) stays 0.
  Micros FromUnixMs(std::int64_t unix_ms) const;
  // Applies a worker list, from discovery or from another source.
  void OnListing(const Listing& list);

 private:
  struct Attempt {
    dispatch::WorkerId worker = 0;
    Micros sent_at = 0;
    bool in_flight = true;         // its outcome has not been reported to the Dispatcher
    bool accepted = false;         // the worker has answered 202
    bool awaiting_intent = false;  // not sent yet: the intent to send is not durable
    Micros started_at = 0;         // when the start was reported; 0: it was not
    Micros last_update = 0;        // for its lease, if it has one
  };
  struct Record {
    AttemptGuard* guard = nullptr;
    Job job;
    Client* client = nullptr;
    Micros deadline = 0;
    bool answered = false;
    std::vector<Attempt> attempts;
    int in_flight = 0;  // attempts
  };

  // Queues an event for the next turn.
  void Post(dispatch::Event event, capture::Note note = {});
  void RefuseOverLimit();
  void RunTurn();
  void ScheduleTurn();
  void Execute(const dispatch::Action& action);
  void LogDecision(const dispatch::LogLine& line);
  void SendAttempt(const dispatch::Send& action);
  void CancelAttempt(const dispatch::Cancel& action);
  void AnswerClient(Ticket ticket, Record& record, const Answer& answer);
  // Reports an attempt's outcome to the Dispatcher; further calls for it have no effect.
  void EndAttempt(AttemptKey key, dispatch::Outcome outcome, const dispatch::LoadReport& load);
  void RejectJob(AttemptKey key);
  void StartAttempt(AttemptKey key);
  void RecordAttemptUpdate(Ticket ticket, Attempt& attempt, AttemptState state);
  void ExpireLeases();
  void PostRestoredKnowledge(const Listing& list);
  dispatch::WorkerId WorkerIdOf(const std::string& name);
  void ExpireDeadlines(Micros now);
  // Drops a job's record once it is answered and none of its attempts is in flight.
  void MaybeRelease(Ticket ticket);
  // Posts a worker's health: as listed, or draining if it is banned or its zone is drained.
  void PostHealth(dispatch::WorkerId worker);
  bool IsDrained(const std::string& id) const {
    return banned_.contains(id) || zone_drained_.contains(id);
  }
  const std::string& WorkerName(dispatch::WorkerId worker) const {
    return worker_names_.at(worker);
  }

  dispatch::Site site_;
  capture::Origin origin_;  // header data of captures
  Micros clock_offset_;     // Unix time minus Now(), measured once
  Micros start_time_;       // by Now()
  dispatch::Dispatcher dispatcher_;
  Workers workers_;
  Discovery discovery_;
  std::optional<Listing> initial_listing_;
  bool listed_ = false;

  std::optional<knowledge::Recall> restored_knowledge_;  // the part not yet passed on
  Micros restore_until_ = 0;                             // restored knowledge is dropped after this

  std::unordered_map<dispatch::WorkerId, dispatch::WorkerEntry> listed_workers_;  // as listed
  std::set<std::string> banned_;                                                  // by operators
  std::set<std::string> zone_drained_;  // in zones that the fleet has left
  std::vector<AnswerCounts> answer_counts_;

  std::unordered_map<std::string, dispatch::WorkerId> worker_ids_;
  std::vector<std::int64_t> process_started_ms_;  // by worker id: start of the listed process
  std::vector<std::string> worker_names_;

  std::unordered_map<Ticket, Record> records_;
  std::unordered_map<std::string, Ticket> tickets_by_job_id_;
  Ticket last_ticket_ = 0;
  std::size_t open_jobs_ = 0;
  std::set<std::pair<Micros, Ticket>> deadlines_;

  std::function<Admission(int, bool)> admission_check_;
  WorkerObserver* observer_ = nullptr;
  // Jobs over a limit, refused in the next turn, and their retry-after times.
  std::vector<std::pair<Ticket, Micros>> over_limit_;

  std::set<std::pair<Micros, AttemptKey>> leases_;
  std::function<void()> on_first_listing_;
  std::function<bool(const News&)> unknown_job_handler_;
  Alarm lease_alarm_;

  std::vector<dispatch::Event> events_;
  std::vector<capture::Note> notes_;  // one for each event, while capturing
  std::vector<dispatch::Action> actions_;
  std::priority_queue<Micros, std::vector<Micros>, std::greater<>> timers_;
  Micros last_turn_ = 0;
  std::optional<CaptureSettings> capture_settings_;
  std::unique_ptr<capture::Recorder> recorder_;
  Alarm turn_alarm_;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_ENGINE_NODE_H_
