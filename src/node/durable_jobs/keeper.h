// The keeper of durable jobs: it stands between fronts and the node, passes ordinary jobs through,
// and holds durable ones in the store from their intake to their end. It owns the order of writing
// (a job is acknowledged only when it is durable, an attempt goes out only when its intent is, a
// worker's word is acknowledged only when what it says is) and, in memory, no more than the jobs
// that the module has or whose records are being written. It must never decide what the module or
// the ledger decides.
#ifndef PEARREACH_SRC_NODE_DURABLE_JOBS_KEEPER_H_
#define PEARREACH_SRC_NODE_DURABLE_JOBS_KEEPER_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "node/durable_jobs/callback.h"
#include "node/engine/core.h"
#include "node/engine/node.h"
#include "node/job_state/ledger.h"
#include "node/job_store/store.h"

namespace pearreach {

class Keeper : public Core, public Client, public AttemptGuard {
 public:
  // `store`: null keeps nothing; durable jobs are then refused. Jobs in the store are recovered
  // once the node has a list. `orders`: the store's path, beside which a person's orders lie;
  // empty: none are looked for.
  Keeper(Node* node, std::unique_ptr<job_store::Store> store, const job_state::Policy& policy,
         const std::string& orders = "", std::vector<std::string> callback_prefixes = {});
  ~Keeper() override;

  // ---- Core, for fronts
  const dispatch::Site& site() const override { return node_->site(); }
  bool ready() const override { return node_->ready(); }
  // Durable ones outlive the process: its end does not wait for them.
  std::size_t open_jobs() const override { return node_->open_jobs() - by_ticket_.size(); }
  std::optional<Ticket> Submit(Job job, Client* client) override;
  void Abandon(Ticket ticket) override { node_->Abandon(ticket); }
  void HandleJobUpdate(const News& news, JobUpdateAck heard) override;

  bool supports_durable_jobs() const override { return store_ != nullptr; }
  void SubmitDurable(Job job, DurableSubmitCallback taken) override;
  void QueryDurable(const std::string& id, Micros wait, JobViewCallback seen) override;
  void AnswerWaiters() override;
  void CancelDurable(const std::string& id, JobViewCallback seen) override;

  // ---- Client and Guard, for the node
  void OnAnswer(Ticket ticket, const Answer& answer) override;
  void BeforeSend(Ticket ticket, const std::string& worker, Proceed go) override;
  void OnAttempt(Ticket ticket, const std::string& worker, AttemptState state) override;

  // Figures for tests and the log.
  std::size_t records() const { return records_.size(); }  // in memory
  std::size_t waits() const { return waits_.size(); }
  const job_state::Pacer& pacer() const { return pacer_; }
  job_store::Figures figures() {
    return store_ == nullptr ? job_store::Figures() : store_->figures();
  }

 private:
  using Written = std::function<void(bool durable)>;
  struct Record {
    job_state::Job job;          // without its body once it has been handed over
    Ticket ticket = 0;           // in the node's hands; 0: not
    bool backlog = false;        // how it counts in the pacer, while it has a ticket
    std::size_t bytes = 0;       // likewise
    int writes = 0;              // submitted, and not told of yet
    bool unsaved = false;        // a write failed: the record is written whole in the next sweep
    std::vector<Written> heard;  // to be told once all of it is written
  };
  // A walk over the jobs of a state in the store, a page at a time, by their order of intake.
  struct Walk {
    job_state::State state;
    std::function<void(job_state::Job)> each;
    std::uint64_t after = 0;
    std::uint64_t again = 0;  // a job that this walk has passed and must see in the next; 0: none
    bool wanted = false, asking = false;
  };
  struct Wait {
    std::uint64_t seq = 0;
    std::string id;
    Micros until = 0;
    JobViewCallback seen;
  };

  void Recover();
  void Pump(Walk* walk);
  void PumpBoth();
  void Back(Record& record, job_state::Pacer::Result end);
  void ToBacklog(std::uint64_t seq);
  static void MeetAgain(Walk* walk, std::uint64_t seq);
  void MeetQueued(job_state::Job job);
  void MeetDoubt(job_state::Job job);
  void Judge(Record& record, bool fits);
  bool HandOver(Record& record, bool backlog, bool adopt);
  Record& Hold(job_state::Job job);
  void MaybeDrop(std::uint64_t seq);
  // Calls with the job's record, or null: it is not kept. The record is let go where nothing holds
  // it after the call.
  void Bring(job_store::Question question, std::function<void(Record*)> use);
  Record* ByRequest(const std::string& request_id);
  void Write(Record& record, std::vector<job_store::Change> changes, Written done);
  void SaveWhole(Record& record);
  void End(Record& record, job_state::State state, const std::string& reason, Written done);
  void Orphan(const News& news, JobUpdateAck heard);
  void AfterEnd(Record& record);
  void ForgetOld();
  void EndOverdue();
  void FillCallbacks();
  void CallBack();
  void PlanCall(const job_state::Job& job);
  void TellWaits(Record& record);
  void RunWaits();
  Record* Find(Ticket ticket);
  job_state::Attempt* OutAt(Record& record, const std::string& worker);
  const dispatch::ClassSettings* ClassOf(const job_state::Job& job) const;
  static JobView View(const job_state::Job& job);
  void Learn(const std::string& worker);
  void Sweep();

  Node* node_;
  std::unique_ptr<job_store::Store> store_;
  job_state::Policy policy_;
  job_state::Pacer pacer_;
  std::unordered_map<std::uint64_t, Record> records_;          // by seq
  std::unordered_map<std::string, std::uint64_t> by_request_;  // of records, not ended
  std::unordered_map<Ticket, std::uint64_t> by_ticket_;
  std::set<std::string> taking_;          // request ids whose intake is being written
  std::array<std::uint64_t, 3> found_{};  // open jobs at the start, by state
  Walk queued_, doubts_;
  int fencing_ = 0;  // doubts that are being given out again
  bool recovered_ = false, forgetting_ = false, ending_overdue_ = false;
  std::string orders_;
  std::vector<std::string> prefixes_;   // of URLs that may be called beside the loopback's
  std::set<std::string> knows_fences_;  // workers that have ever said so

  std::set<std::pair<Micros, std::uint64_t>> calls_due_;  // by Now(); no more than kMaxCalls
  std::set<std::uint64_t> calling_;
  bool more_calls_ = true, filling_calls_ = false;
  Callbacks callbacks_;
  Alarm call_alarm_;

  std::uint64_t last_wait_ = 0;
  std::map<std::uint64_t, Wait> waits_;
  std::multimap<std::uint64_t, std::uint64_t> waits_by_seq_;
  std::set<std::pair<Micros, std::uint64_t>> waits_due_;
  Alarm wait_alarm_;

  job_store::Figures counted_;  // in the counts of the process
  JobUpdateAck hearing_;        // of the word that is being told to the node
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Alarm sweep_;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_DURABLE_JOBS_KEEPER_H_
