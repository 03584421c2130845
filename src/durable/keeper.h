// The keeper of durable jobs: it stands between fronts and the node, passes ordinary jobs through,
// and holds durable ones in the store from their intake to their end. It owns their records in
// memory and the order of writing: a job is acknowledged only when it is durable, an attempt goes
// out only when its intent is, a worker's word is acknowledged only when what it says is. It must
// never decide what the module or the ledger decides.
#ifndef PEARREACH_SRC_DURABLE_KEEPER_H_
#define PEARREACH_SRC_DURABLE_KEEPER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "durable/callback.h"
#include "jobs/ledger.h"
#include "node/core.h"
#include "node/node.h"
#include "store/store.h"

namespace pearreach {

class Keeper : public Core, public Client, public Guard {
 public:
  // `store`: null keeps nothing; durable jobs are then refused. Jobs in the store are recovered
  // once the node has a list. `orders`: the store's path, beside which a person's orders lie;
  // empty: none are looked for.
  Keeper(Node* node, std::unique_ptr<store::Store> store, const jobs::Policy& policy,
         const std::string& orders = "", std::vector<std::string> callback_prefixes = {});
  ~Keeper() override;

  // ---- Core, for fronts
  const marlquay::Site& site() const override { return node_->site(); }
  bool ready() const override { return node_->ready(); }
  // Durable ones outlive the process: its end does not wait for them.
  std::size_t open_jobs() const override { return node_->open_jobs() - by_ticket_.size(); }
  std::optional<Ticket> Submit(Job job, Client* client) override;
  void Abandon(Ticket ticket) override { node_->Abandon(ticket); }
  void Tell(const News& news, Heard heard) override;

  bool keeps() const override { return store_ != nullptr; }
  void Take(Job job, Taken taken) override;
  std::optional<JobView> Look(const std::string& id) const override;
  std::optional<JobView> GiveUp(const std::string& id) override;

  // ---- Client and Guard, for the node
  void OnAnswer(Ticket ticket, const Answer& answer) override;
  void BeforeSend(Ticket ticket, const std::string& worker, Go go) override;
  void OnAttempt(Ticket ticket, const std::string& worker, AttemptState state) override;

  // Figures for tests and the log.
  std::size_t records() const { return jobs_.size(); }
  std::size_t waiting_to_recover() const { return to_recover_.size(); }
  store::Figures figures() { return store_ == nullptr ? store::Figures() : store_->figures(); }
  // A person's word on a job in doubt. False: it is not in doubt.
  bool Settle(const std::string& id, jobs::State state, const std::string& reason);

 private:
  struct Record {
    jobs::Job job;
    Ticket ticket = 0;          // in the node's hands; 0: not
    bool recovered = false;     // counts in the pacer
    bool durable = false;       // its intake has been synced
    std::vector<Taken> asking;  // until then
  };

  void Recover();
  void Pump();
  void HandOver(Record& record, bool adopt);
  void Fence(Record& record);
  void PlanCallback(const Record& record);
  void CallBack();
  void End(Record& record, jobs::State state, const std::string& reason,
           std::function<void(bool)> done);
  void Save(const Record& record, std::function<void(const std::string&)> done);
  void SaveAttempt(const Record& record, const jobs::Attempt& attempt,
                   std::function<void(const std::string&)> done);
  Record* Find(Ticket ticket);
  jobs::Attempt* OutAt(Record& record, const std::string& worker);
  const marlquay::ClassSettings* ClassOf(const jobs::Job& job) const;
  JobView View(const Record& record) const;
  void Sweep();
  static std::string NewId();

  Node* node_;
  std::unique_ptr<store::Store> store_;
  jobs::Policy policy_;
  jobs::Pacer pacer_;
  std::map<std::uint64_t, Record> jobs_;  // by seq
  std::unordered_map<std::string, std::uint64_t> by_id_, by_key_, by_request_;
  std::unordered_map<Ticket, std::uint64_t> by_ticket_;
  std::vector<std::uint64_t> to_recover_;                        // the last first
  std::deque<std::pair<jobs::UnixMicros, std::uint64_t>> ends_;  // by their time, roughly
  std::string orders_;
  bool recovering_ = false;
  std::vector<std::string> prefixes_;   // of URLs that may be called beside the loopback's
  std::set<std::uint64_t> doubts_;      // looked at again in each sweep
  std::set<std::string> knows_fences_;  // workers that have ever said so
  std::set<std::pair<Micros, std::uint64_t>> callbacks_due_;
  Callbacks callbacks_;
  Alarm callback_alarm_;
  std::function<void(bool)> hearing_;  // of the word that is being told to the node
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Alarm sweep_;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_DURABLE_KEEPER_H_
