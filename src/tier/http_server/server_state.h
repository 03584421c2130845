// What a server and its connections share. Connections hold it on: an exchange may outlive its
// server.
#ifndef PEARREACH_SRC_TIER_HTTP_SERVER_SERVER_STATE_H_
#define PEARREACH_SRC_TIER_HTTP_SERVER_SERVER_STATE_H_

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

#include "common/event_loop/timers.h"
#include "common/memory/memory_budget.h"
#include "tier/http_server/http_server.h"
#include "tier/http_server/overload_log.h"

namespace pearreach::http_server {

class Connection;

struct ServerState {
  Timers* timers = nullptr;
  ServerOptions options;
  unsigned options_version = 0;  // counts the changes of `options`
  ExchangeHandler handler;
  bool draining = false;
  bool shutting_down = false;  // what is still read gets its last answer at once
  Micros linger = 0;           // of a drain: how long a connection waits for one more request
  std::size_t unanswered = 0;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections;
  std::list<Connection*> waiting;    // connections between requests, the longest idle first
  std::function<void()> on_removed;  // a connection has left `connections`
  std::shared_ptr<memory::MemoryBudget> memory;
  OverloadLog overload;
};

}  // namespace pearreach::http_server

#endif  // PEARREACH_SRC_TIER_HTTP_SERVER_SERVER_STATE_H_
