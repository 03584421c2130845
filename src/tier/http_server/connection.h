// One connection of a client: reads its requests one after the other, hands each out as an exchange
// and writes the answer before it looks at the next one.
#ifndef PEARREACH_SRC_TIER_HTTP_SERVER_CONNECTION_H_
#define PEARREACH_SRC_TIER_HTTP_SERVER_CONNECTION_H_

#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/io.h"
#include "common/event_loop/timers.h"
#include "common/http/http.h"
#include "common/memory/memory_budget.h"
#include "tier/http_server/answer_writer.h"
#include "tier/http_server/server_state.h"

namespace pearreach::http_server {

class ClientExchange;

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<ServerState> server, std::shared_ptr<Stream> stream);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Start();
  void OnDrain();   // the server drains from now on
  void Shutdown();  // HttpServer::Shutdown, for this connection
  // Whether a request has come, or has begun to, and its answer has not been sent whole.
  bool OwesAnswer() const;
  // Between requests for at least `idle`, and nothing has come: it may be closed to make room.
  bool IdleFor(Micros idle) const;
  void Drop();  // closes at once; an exchange under way hears of it
  // What ReclaimMemory would free, in bytes: parts of a request, or an answer that is not taken.
  std::size_t ReclaimableBytes() const;
  // How long the connection has stood still: no part of a request came, and none of an answer went.
  Micros StalledFor() const;
  // Frees ReclaimableBytes: refuses the request that has not come whole, with 503 as it has not
  // run, or closes the connection of an answer that is not taken.
  void ReclaimMemory();
  // Whether it may be closed to make room for another connection: a request that stands still for
  // `stalled` or longer, or a last answer that was sent `answered` ago. Closes it then.
  bool CloseIfStalled(Micros stalled, Micros answered);

  // For the exchange that was handed out.
  bool Awaits(const ClientExchange* exchange) const;
  void SendComplete(int status, const std::vector<http::Header>& headers, std::string_view body);
  void BeginChunks(int status, const std::vector<http::Header>& headers);
  void SendChunk(std::string_view piece);
  void EndChunks();
  void AbortAnswer(const ClientExchange* exchange);  // does nothing for one that is not awaited
  std::size_t unsent() const { return stream_->unsent() + head_.size(); }

 private:
  // Whether a client may take the connection's end for the answer's.
  bool MayEndWithConnection() const { return old_version_ || framing_ == Framing::kToClose; }
  enum class Phase {
    kWaiting,  // between requests
    kReading,  // a request has begun to come
    kBusy,     // a request is handed out and not yet answered whole
    kClosing,  // the last answer is on its way out
    kClosed,
  };

  // Reading.
  void OnData(std::string_view bytes);
  void Pump();
  void AwaitMore();
  bool BodyGoesOn();
  void HandOut();
  void RefuseMalformed();
  void RefusePartial();
  void RefuseForMemory();  // the request that was just read
  void AccountMemory();
  void OnDrained();
  void RenewParser();

  // Writing.
  bool Send(std::string_view bytes);  // false: the connection is broken
  bool SendHead();
  ConnectionNotice Notice() const;
  void AnswerDone();
  void RespondAndClose(int status);
  void EndExchange();  // with its last answer, as the server shuts down

  // Phases.
  void EnterWaiting(Micros limit);
  void EnterReading();
  void LeaveWaiting();
  void CloseGently();
  void Ended();  // the stream is closed: tells the exchange and leaves the server
  void Remove();
  void Defer(void (Connection::*step)());  // in a later turn of the loop
  void SetDeadline(Micros at);
  void OnTimer();
  void OnDeadline();
  bool ExtendWhileSending(Micros by);

  std::shared_ptr<ServerState> server_;
  std::shared_ptr<Stream> stream_;
  http::Parser parser_;
  unsigned options_version_;
  Phase phase_ = Phase::kWaiting;
  bool pumping_ = false;

  Micros last_data_ = 0;
  std::size_t request_bytes_ = 0;   // read of the request that is coming
  std::size_t progress_bytes_ = 0;  // of these, when the request last went on
  Micros progress_at_ = 0;          // when that was, or an answer last went on
  memory::MemoryCharge charge_;
  bool last_look_ = false;  // the deadline has passed; what had come by then counts

  ClientExchange* current_ = nullptr;                                 // handed out and awaited
  bool keep_alive_ = true, head_only_ = false, old_version_ = false;  // of its request
  Framing framing_ = Framing::kLength;
  std::string head_;  // of a stream, waits for its first chunk until the turn's end

  bool in_waiting_ = false;
  Micros waiting_since_ = 0;
  std::list<Connection*>::iterator waiting_at_;
  Timers::Id timer_ = 0, deferred_ = 0;
  Micros timer_at_ = 0;
  Micros deadline_ = 0;  // 0: none
  std::size_t unsent_before_ = 0;
  Micros closing_since_ = 0;
};

}  // namespace pearreach::http_server

#endif  // PEARREACH_SRC_TIER_HTTP_SERVER_CONNECTION_H_
