// One attempt: a request sent to one worker, up to its outcome. Obtains a connection, writes the
// request, parses the response and matches it to the request by X-Attempt-Id. Retry decisions are
// made by the owner. Loop thread only.
#ifndef PEARREACH_SRC_TIER_PROXY_ATTEMPT_H_
#define PEARREACH_SRC_TIER_PROXY_ATTEMPT_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "common/event_loop/timers.h"
#include "tier/proxy/response_reader.h"
#include "tier/proxy/worker_connections.h"

namespace pearreach::proxy {

enum class AttemptEnd {
  kAnswered,      // a complete response that carries this request's attempt id
  kNoConnection,  // no connection was established or available; nothing was written
  kLost,          // connection lost or invalid response after bytes were written
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kLost;
  bool connections_used_up = false;  // kNoConnection: the connection limit is reached
  ResponseHead head;                 // kAnswered
  std::string body;  // kAnswered: the part of the body that was not forwarded while it arrived
  bool forwarded = false;  // the body was forwarded through OnStreamBytes
  // kAnswered: the body had no length and ended with the connection, so only its content can say
  // whether it is whole. The connections of a process that is killed end in order, too.
  bool ended_by_close = false;
};

// Owner of an attempt. It may cancel or destroy the attempt from inside any callback.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  // A text/event-stream with status 2xx and an X-Seal header begins.
  virtual void OnStreamHead(const ResponseHead& head) = 0;
  virtual void OnStreamBytes(std::string_view bytes) = 0;
  virtual void OnAttemptEnd(AttemptResult result) = 0;
};

struct AttemptRequest {
  std::string head;                         // complete head as sent to the worker
  std::shared_ptr<const std::string> body;  // sent after the head, in chunks; null: no body
  std::string attempt_id;                   // the X-Attempt-Id that the response must carry
  bool bodiless = false;                    // response has no body (method HEAD)
  bool streamed = false;                    // forward an event stream while it arrives
  // Otherwise a connection that was idle for long is avoided if another one is available.
  bool idempotent = false;
  std::size_t connection_limit = 1;
};

class Attempt : public std::enable_shared_from_this<Attempt>,
                private ConnectionUser,
                private ResponseSink {
 public:
  Attempt(Timers* timers, std::shared_ptr<WorkerConnections> connections, AttemptRequest request,
          AttemptListener* listener);
  ~Attempt() override;

  void Start();
  // Closes the connection to the worker at once; the listener is not called any more.
  void Cancel();
  // While paused, the response is not read, so that flow control stops the worker.
  void PauseReading();
  void ResumeReading();
  // Bytes of the request that are buffered and not yet accepted by the worker's socket.
  std::size_t unsent() const;
  // Whether any part of the request may have reached the worker.
  bool written() const { return written_; }
  // Whether any part of a response has arrived.
  bool response_begun() const { return response_begun_; }

 private:
  void OnConnected() override;
  void OnConnectionData(std::string_view bytes) override;
  void OnConnectionDrained() override;
  void OnConnectionClosed(bool orderly) override;
  bool OnResponseHead(ResponseHead head) override;
  bool OnResponseBody(std::string_view bytes) override;

  void Connect(Freshness freshness);
  void Send();
  bool SendBody();
  std::string_view NextChunk();
  bool IsCompletelySent() const;
  void FinishResponse(std::string_view rest);
  void Fail();
  void End(AttemptResult result);
  void DropConnection();

  Timers* timers_;
  std::shared_ptr<WorkerConnections> connections_;
  AttemptRequest request_;
  AttemptListener* listener_;  // null: the attempt has ended
  std::shared_ptr<WorkerConnection> connection_;
  ResponseReader reader_;
  Timers::Id connect_timer_ = 0;
  AttemptResult result_;
  bool written_ = false, response_begun_ = false;
  bool skipping_surplus_ = false;  // the response being read belongs to an earlier request
  int surplus_count_ = 0;
  std::size_t body_sent_ = 0;  // bytes of the body passed to the connection
};

}  // namespace pearreach::proxy

#endif  // PEARREACH_SRC_TIER_PROXY_ATTEMPT_H_
