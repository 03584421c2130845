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
  kTaken,
  kTakenKnowsFences,
  kStarted,
  kProgress,
  kSaidEnd,     // the worker says that it is done or failed
  kNeverRan,    // proven
  kMayHaveRun,  // ended without a word
};
class Guard {
 public:
  using Go = std::function<void(std::uint64_t fence)>;  // 0: it must not go out
  virtual ~Guard() = default;
  virtual void BeforeSend(Ticket ticket, const std::string& worker, Go go) = 0;
  virtual void OnAttempt(Ticket ticket, const std::string& worker, AttemptState state) = 0;
};

// Sees what this node sees of the match workers: evidence for those who judge them together.
class Witness {
 public:
  virtual ~Witness() = default;
  struct Listed {
    int zone = 0, kind = 0;
    double weight = 1;
    std::int64_t started_ms = 0;
    bool in_service = false;
  };
  virtual void OnListed(const std::string& worker, const Listed& as) = 0;
  virtual void OnGone(const std::string& worker) = 0;
  virtual void OnSent(const std::string& worker) = 0;
  virtual void OnHeard(const std::string& worker) = 0;  // any word of an attempt there
  // `run`: from its start on; 0: not known.
  virtual void OnEnded(const std::string& worker, dispatch::Outcome outcome, int cls,
                       Micros run) = 0;
};

class Node : public Core {
 public:
  // An attempt of a job that another process of this node made.
  struct Adopted {
    std::string worker;
    Micros sent = 0;  // by Now(); may lie before this process began
    bool started = false;
    dispatch::AttemptAdopted::State was = dispatch::AttemptAdopted::State::kInFlight;
  };

  explicit Node(const Config& config);

  void Start();  // begins the watch of the worker list
  // Goes on with the list at another address; until it is in, the workers held stay.
  void MoveDiscovery(const std::string& address) { discovery_.MoveTo(address); }

  // Records the module's turns from now on; none: stops. `build` and `policy_hash` stand at the
  // head of each segment.
  void Capture(const std::optional<CaptureSettings>& settings, const std::string& build,
               std::uint64_t policy_hash);
  // What an earlier process of this node has learned: handed to the module with the first list, and
  // of each worker when the list names the process that it is about.
  void Recall(knowledge::Recall recall);
  // What this one has learned, for a later one.
  knowledge::Memory Learned() const;
  // A word for people that goes into the recording, if there is one.
  void Mark(const std::string& what);

  const dispatch::Site& site() const override { return site_; }
  bool ready() const override { return listed_; }
  std::size_t open_jobs() const override { return open_; }
  std::optional<Ticket> Submit(Job job, Client* client) override;
  void Abandon(Ticket ticket) override;
  void Tell(const News& news, Heard heard) override {
    TellNode(news);
    heard(true);
  }
  void TellNode(const News& news);
  // Bytes that another node said for this one's module.
  void OnPeerMessage(int from, std::string bytes) {
    Post(dispatch::PeerMessage{from, std::move(bytes)});
  }

  // ---- for state that the fleet shares
  // Asked of each new job of a client; durable jobs were admitted when they were taken on.
  void OnAdmit(std::function<Admission(int tenant, bool is_repeat)> ask) {
    admit_ = std::move(ask);
  }
  void Watch(Witness* witness) { witness_ = witness; }
  // What several nodes have seen of a worker; `judgement.at` is Unix time in microseconds.
  void OnJudgement(const std::string& worker, dispatch::HealthVerdict judgement);

  // A worker of a zone that the fleet has left takes nothing new: told to the module as draining,
  // like a banned one, until it is open again.
  void Shut(const std::string& worker, bool shut);

  // ---- for the keeper of durable jobs
  std::optional<Ticket> SubmitGuarded(Job job, Client* client, Guard* guard,
                                      const std::vector<Adopted>& attempts);
  bool IsOpen(const std::string& id) const { return by_id_.contains(id); }
  void OnFirstList(std::function<void()> tell) { first_list_ = std::move(tell); }
  // Asked about news of a job that is not open; true: it was of use.
  void OnOrphan(std::function<bool(const News&)> ask) { orphan_ = std::move(ask); }

  // Open jobs, workers, and limit and busy slots of each pool, as one event of the log.
  void LogFigures() const;

  // ---- bans by operators. A banned worker is told to the module as draining, whatever the list
  // says of it, until it is let back: the module decides as for any drain. False: no list has
  // named that id in this process, and nothing changes.
  bool Ban(const std::string& id);
  bool Unban(const std::string& id);
  // As another process of this node has them; ids that no list has named yet are kept for later.
  void SetBans(const std::set<std::string>& ids);
  const std::set<std::string>& bans() const { return banned_; }
  std::size_t hosts_listed() const { return hosts_.size(); }  // named and not gone
  std::size_t hosts_down() const;  // of those, banned or draining by the list

  // The jobs of each class that were answered since the start, by kind of answer.
  struct Tally {
    std::uint64_t success = 0, busy = 0, failure = 0;
  };
  const std::vector<Tally>& tally() const { return tally_; }

  // Figures for tests and the log.
  std::size_t records() const { return records_.size(); }
  std::size_t links() const { return workers_.links(); }
  // Unix time on the module's clock, by the one offset: taken anew it would differ by a little each
  // time and make every list look like a restart. 0 stays 0: long ago.
  Micros ClockOf(std::int64_t unix_ms) const;
  // A list from another source than discovery, in its form.
  void OnListing(const Listing& list);

 private:
  struct Attempt {
    dispatch::WorkerId worker = 0;
    Micros sent = 0;
    bool out = true;     // its outcome has not been passed on
    bool taken = false;  // the worker has answered 202
    bool held = false;   // its intent is not durable yet: nothing of it has gone out
    Micros started = 0;  // the word of its start; 0: none
    Micros heard = 0;    // the last word of it, where it has a lease
  };
  struct Record {
    Guard* guard = nullptr;
    Job job;
    Client* client = nullptr;
    Micros due = 0;
    bool answered = false;
    std::vector<Attempt> attempts;
    int out = 0;
  };

  void Post(dispatch::Event event, capture::Note note = {});
  void Deny();
  void Turn();
  void ArmTurn();
  void Carry(const dispatch::Action& action);
  void LogDecision(const dispatch::LogLine& line);
  void Send(const dispatch::Send& action);
  void Cancel(const dispatch::Cancel& action);
  void Reply(Ticket ticket, Record& record, const Answer& answer);
  // Passes an attempt's outcome on, once.
  void End(AttemptKey key, dispatch::Outcome outcome, const dispatch::LoadReport& load);
  void Reject(AttemptKey key);
  void Launch(AttemptKey key);
  void Hear(Ticket ticket, Attempt& attempt, AttemptState state);
  void RunLeases();
  void HandRecall(const Listing& list);
  dispatch::WorkerId IdOf(const std::string& name);
  void RunDeadlines(Micros now);
  void Forget(Ticket ticket);
  void PostHealth(dispatch::WorkerId worker);  // as listed, or draining where not to be used
  bool Barred(const std::string& id) const { return banned_.contains(id) || shut_.contains(id); }
  const std::string& NameOf(dispatch::WorkerId worker) const { return names_.at(worker); }

  dispatch::Site site_;
  capture::Origin origin_;  // of what is recorded
  Micros clock_offset_;     // of Unix time before Now(), taken once
  Micros started_;          // the module's clock at its start
  dispatch::Dispatcher dispatcher_;
  Workers workers_;
  Discovery discovery_;
  std::optional<Listing> known_;
  bool listed_ = false;

  std::optional<knowledge::Recall> recall_;  // what of it has not been handed over
  Micros recall_until_ = 0;                  // a worker named later than this is known by itself

  std::unordered_map<dispatch::WorkerId, dispatch::WorkerEntry> hosts_;  // as the list says
  std::set<std::string> banned_, shut_;  // by operators; by zones that are left
  std::vector<Tally> tally_;

  std::unordered_map<std::string, dispatch::WorkerId> ids_;
  std::vector<std::int64_t> started_ms_;  // by id: of the process that the list names
  std::vector<std::string> names_;

  std::unordered_map<Ticket, Record> records_;
  std::unordered_map<std::string, Ticket> by_id_;
  Ticket last_ticket_ = 0;
  std::size_t open_ = 0;
  std::set<std::pair<Micros, Ticket>> deadlines_;

  std::function<Admission(int, bool)> admit_;
  Witness* witness_ = nullptr;
  std::vector<std::pair<Ticket, Micros>> denied_;  // to be refused in the next turn; come back in

  std::set<std::pair<Micros, AttemptKey>> leases_;
  std::function<void()> first_list_;
  std::function<bool(const News&)> orphan_;
  Alarm lease_alarm_;

  std::vector<dispatch::Event> events_;
  std::vector<capture::Note> notes_;  // one an event, while it is recorded
  std::vector<dispatch::Action> actions_;
  std::priority_queue<Micros, std::vector<Micros>, std::greater<>> timers_;
  Micros last_turn_ = 0;
  std::optional<CaptureSettings> recording_;
  std::unique_ptr<capture::Recorder> recorder_;
  Alarm turn_;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_ENGINE_NODE_H_
