// What clients sent and what came back, for the checks after the run; and counts of situations.
#ifndef PEARREACH_LAB_SOAK_REQUEST_LOG_H_
#define PEARREACH_LAB_SOAK_REQUEST_LOG_H_

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "lab/soak/clock.h"
#include "lab/soak/fleet.h"
#include "lab/soak/http_connection.h"

namespace pearreach::soak {

enum class RequestKind { kPlain, kEffectful, kStreamed, kExtra, kBatch, kRead, kControl };

// How a request stood to those before it on its connection, or how it came.
enum class RequestForm {
  kAlone,
  kAfterStream,  // on the connection of a stream that had ended just before
  kInPieces,     // with a pause in its body
  kPipelined,    // sent together with others
  kHeldRead,     // a read that is held until there is more
  kKeptControl,  // a call to the control address on a connection that is kept
};

struct SentRequest {
  std::string attempt_id, key;
  RequestKind kind = RequestKind::kPlain;
  RequestForm form = RequestForm::kAlone;
  const Member* node = nullptr;
  Microseconds sent_at = 0, ended_at = 0;  // `sent_at`: of its last byte
  Microseconds deadline = 0;               // from `sent_at` on; 0: none was named
  bool sent = true;                        // as a whole
  int status = 0;
  int error = 0;  // errno of the read that failed; 0: the other end closed
  bool complete = false, timed_out = false, promises_not_run = false;
  bool ends_inside_event = false;  // of a streamed answer
  std::vector<std::string> items;  // attempt ids of a batch job's items
  // When the end of the batch job was acknowledged; 0: it was not.
  Microseconds end_acknowledged_at = 0;

  // What came back, and that it came now.
  void SetAnswer(const HttpAnswer& answer);
};

// Thread-safe.
class RequestLog {
 public:
  void Add(SentRequest request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.push_back(std::move(request));
  }
  void Count(const std::string& situation) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_[situation];
  }
  void Find(const std::string& rule, const std::string& what) {
    const std::lock_guard<std::mutex> lock(mutex_);
    findings_.push_back(rule + ": " + what);
  }
  std::vector<SentRequest> requests() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
  }
  std::map<std::string, int> counts() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return counts_;
  }
  std::vector<std::string> findings() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return findings_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<SentRequest> requests_;
  std::map<std::string, int> counts_;
  std::vector<std::string> findings_;
};

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_REQUEST_LOG_H_
