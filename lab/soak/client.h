// A client: one connection to one edge node, kept open until the process behind it is gone, and
// requests drawn from a seed.
#ifndef PEARREACH_LAB_SOAK_CLIENT_H_
#define PEARREACH_LAB_SOAK_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "lab/soak/configuration_history.h"
#include "lab/soak/fleet.h"
#include "lab/soak/http_connection.h"
#include "lab/soak/request_log.h"

namespace pearreach::soak {

struct ClientOptions {
  std::string name;
  std::uint64_t seed = 0;
  const Member* node = nullptr;
  // Of this tenant, plain requests as fast as they are answered; empty: mixed.
  std::string only_key;
  std::optional<RequestKind> only_kind;  // with keys of all tenants; nothing: mixed
};

class Client {
 public:
  Client(const ClientOptions& options, const ConfigurationHistory* history, RequestLog* log);

  void Run(const std::atomic<bool>& stops);

 private:
  void SendOne();
  void SendBatchJob(const std::string& key);
  void ReadAndEndBatchJob(const std::string& id, const std::string& key);
  SentRequest Ask(HttpConnection* connection, const HttpRequest& request, SentRequest sent);
  std::string DrawKey();
  RequestKind DrawKind();
  int Draw(int low, int high);
  std::string NextId();

  const ClientOptions options_;
  const ConfigurationHistory* const history_;
  RequestLog* const log_;
  std::mt19937_64 random_;
  HttpConnection connection_;
  std::uint64_t sent_ = 0;
};

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_CLIENT_H_
