// The platform's HTTP front: the listener, the clients' requests, /ready and the workers'
// call-backs at /_jobs/news, which come to the same address. It owns every accepted connection; it
// decides nothing about a job, must never leave a request that was read without one whole answer,
// and never ends a connection that still owes one.
#ifndef PEARREACH_SRC_NODE_HTTP_FRONTEND_FRONT_H_
#define PEARREACH_SRC_NODE_HTTP_FRONTEND_FRONT_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "common/event_loop/io.h"
#include "common/http/http.h"
#include "common/memory/memory_budget.h"
#include "node/engine/core.h"

namespace pearreach {

class Front : public Client, private memory::MemoryReclaimer {
 public:
  // `sockets`: the descriptors this process may hold, of which a share is the front's. `memory_mb`:
  // the machine's memory, likewise; 0: what the system has.
  Front(Core* core, int sockets, int memory_mb = 0);
  ~Front() override;

  std::string Open(const std::string& address);  // empty, or what is wrong
  // Goes on with another process's listener; accepts once told to.
  std::string Take(int descriptor);
  int descriptor() const { return listener_.descriptor(); }
  void Accept(bool accepts);
  // A client's connection that another process of this node had; it is this one's now.
  void Adopt(int descriptor);
  // From now on, each client's connection that is between two requests, with nothing read of the
  // next, goes to `pass`, and is closed here where it took it. Null: none goes.
  void HandOff(std::function<bool(int)> pass);
  bool serving() const { return accepts_ && !draining_; }  // takes new clients for itself
  int port() const { return listener_.port(); }
  // Goes on accepting for a moment, then closes connections between requests; calls `done` when
  // all that was taken is answered and written.
  void Drain(std::function<void()> done);
  void StopDraining();
  std::size_t connections() const { return connections_.size(); }
  // Jobs of this class that the front has refused itself, before the node had them.
  std::uint64_t shed(const std::string& cls) const {
    const auto it = shed_.find(cls);
    return it == shed_.end() ? 0 : it->second;
  }

  void OnAnswer(Ticket ticket, const Answer& answer) override;

 private:
  struct Connection {
    std::shared_ptr<Stream> stream;
    http::Parser parser{http::Parser::Kind::kRequest};
    memory::MemoryCharge charge;          // of what is read of a request
    memory::MemoryCharge request_charge;  // of the request that waits for its answer
    Micros progress_at = 0;               // when the last bytes came
    Ticket ticket = 0;                    // of the request that waits for its answer
    std::uint64_t promise = 0;            // of the store's or the node's word that it waits for
    bool keep_alive = true;               // after that answer
    bool is_worker = false;               // has brought news: not closed while draining
    bool over_budget = false;             // its first request is refused
    bool answered = false;                // has carried a request
    bool closing = false;                 // its last answer has been written
    bool long_close = false;              // and what it still sends may be long
    Micros quiet_since = 0;
    std::list<Connection*>::iterator quiet;  // in quiet_, if it has no ticket
  };

  std::size_t ReclaimableBytes() const override;
  void Reclaim(std::size_t bytes, const void* except) override;
  // What a partial request of this connection holds; 0 while it waits for an answer.
  static std::size_t PartialBytes(const Connection& c);
  void RefusePartial(Connection* c);
  // Charges the connection for what it holds, and refuses its partial request if that is too much.
  void AccountMemory(Connection* c);
  // False: there is no memory for the request, which is refused.
  bool Admit(Connection* c, const http::Message& message);
  void OnAccepted(std::shared_ptr<Stream> stream, bool answered = false);
  void OnData(Connection* c, std::string_view bytes);
  void Read(Connection* c);
  void Handle(Connection* c, http::Message message);
  void HandleNews(Connection* c, const http::Message& message);
  void HandleJob(Connection* c, http::Message message, const std::string& cls);
  // Makes the connection wait for a word that comes later; the number finds it again, or not.
  std::uint64_t Promise(Connection* c);
  Connection* Redeem(std::uint64_t promise);
  void HandleDurable(Connection* c, Job job, Micros wait, bool keep_alive);
  void AwaitEnd(std::uint64_t promise, const std::string& id, Micros wait, bool keep_alive);
  void HandleLook(Connection* c, const http::Message& message, const std::string& id);
  void Respond(Connection* c, int status, std::string_view body, bool keep_alive,
               const std::vector<http::Header>& headers = {});
  void Refuse(Connection* c, bool keep_alive, Micros retry_after);
  void MarkQuiet(Connection* c);
  void Destroy(Connection* c);
  bool EvictQuiet();
  Micros QuietLimit(const Connection& c, std::size_t open) const;  // of so many connections
  void SweepBy(Micros at);
  void Sweep();
  void DrainStep();
  bool EndsWithAnswer(const Connection& c) const;
  bool AwaitsPartialRequests();
  void PassIdle();

  Core* core_;
  std::size_t budget_;
  const std::shared_ptr<memory::MemoryBudget> memory_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::unordered_map<Ticket, Connection*> waiting_;
  std::unordered_map<std::uint64_t, Connection*> promised_;
  std::uint64_t last_promise_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::list<Connection*> quiet_;  // without an open request, the longest so first
  Listener listener_;
  Alarm sweep_, drain_;
  Connection* handling_ = nullptr;  // whose request is being taken
  bool draining_ = false, refusing_ = false, accepts_ = true;
  Micros next_sweep_ = 0;  // 0: none is set
  Micros drain_began_ = 0, refuse_at_ = 0, stop_by_ = 0;
  std::function<void()> drained_;
  std::function<bool(int)> pass_;
  std::unordered_map<std::string, std::uint64_t> shed_;  // by class, of those that are one
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_HTTP_FRONTEND_FRONT_H_
