// This process's part in a hand-over, where the operator's file names a path; else it only opens
// the listener.
#ifndef PEARREACH_SRC_NODE_CLI_TAKEOVER_H_
#define PEARREACH_SRC_NODE_CLI_TAKEOVER_H_

#include <glib.h>

#include <optional>
#include <string>

#include "node/config/config.h"
#include "node/config/operator.h"
#include "node/engine/node.h"
#include "node/fleet/fleet.h"
#include "node/hot_restart/handover.h"
#include "node/http_frontend/front.h"

namespace pearreach::cli {

class Takeover {
 public:
  // All of them outlive it.
  Takeover(const OperatorSettings& settings, const Config& config, Node* node, Front* front,
           GMainLoop* loop);

  // Takes the listener over or opens it. Empty, or what is wrong.
  std::string Begin();
  const std::string& knowledge() const {
    return knowledge_;
  }  // of the process before; may be empty
  // This process is to end, whatever becomes of the next one.
  void End() { ending_ = true; }
  void SpeakFor(Fleet* fleet) { fleet_ = fleet; }
  // Whether no other process of this node is at work.
  bool alone() const { return alone_; }
  // Accepts once the node is ready, and offers the listener to the next process.
  void Serve();

 private:
  HandOver::Events Events();
  std::string Use(HandOver::Taken taken);
  void Look();
  void Leave();
  void Stay();

  const Config& config_;
  Node* node_;
  Front* front_;
  GMainLoop* loop_;
  Fleet* fleet_ = nullptr;
  Alarm ready_;
  std::optional<HandOver> over_;
  std::string knowledge_;
  bool taken_ = false, alone_ = true, forwarded_ = false, ending_ = false;
};

}  // namespace pearreach::cli

#endif  // PEARREACH_SRC_NODE_CLI_TAKEOVER_H_
