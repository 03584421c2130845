// Calls of a worker to the tier's control addresses: one at a time, each on a connection of its
// own, to the address that the last answer named, or to the next of the list once one has failed.
#ifndef PEARREACH_LAB_STAND_IN_WORKER_CONTROL_CALLER_H_
#define PEARREACH_LAB_STAND_IN_WORKER_CONTROL_CALLER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/event_loop/io.h"
#include "common/event_loop/timers.h"
#include "common/http/http.h"

namespace pearreach::stand_in {

class ControlCaller {
 public:
  using Done = std::function<void(bool acknowledged)>;

  ControlCaller(Timers* timers, std::vector<std::string> addresses);
  ~ControlCaller();
  ControlCaller(const ControlCaller&) = delete;
  ControlCaller& operator=(const ControlCaller&) = delete;

  // Sends a POST and tells once, within a second, whether a 2xx came. A call that is still under
  // way counts as failed and ends.
  void Post(const std::string& path, const std::string& body, Done done);

 private:
  void OnData(std::string_view bytes);
  void End(bool acknowledged);
  const std::string& Address() const;

  Timers* const timers_;
  const std::vector<std::string> addresses_;
  std::size_t next_ = 0;
  std::string named_;  // by an answer, until a call to it fails; empty: none
  std::shared_ptr<Stream> stream_;
  std::unique_ptr<http::Parser> parser_;
  Timers::Id wait_ = 0;
  Done done_;
};

}  // namespace pearreach::stand_in

#endif  // PEARREACH_LAB_STAND_IN_WORKER_CONTROL_CALLER_H_
