// One run of a leased item: collects a worker's event stream and judges its end.
#ifndef PEARREACH_SRC_TIER_BATCH_ITEM_RUN_H_
#define PEARREACH_SRC_TIER_BATCH_ITEM_RUN_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "common/event_loop/io.h"
#include "tier/batch/event_text.h"
#include "tier/batch/messages.h"
#include "tier/proxy/request.h"

namespace pearreach::batch {

// Shared by the runner of requests and the ItemWorker that started the run; used on the event
// loop's thread only.
class ItemRun final : public proxy::RequestSink {
 public:
  using Ended = std::function<void(const proxy::RequestResult& result)>;

  // `ended` is called once, at the end of the run, unless Detach comes first.
  explicit ItemRun(Ended ended) : ended_(std::move(ended)) {}

  void OnHead(int status, const std::vector<http::Header>&) override { status_ = status; }
  void OnBody(std::string_view bytes) override {
    if (IsSuccess()) text_.Feed(bytes);
  }
  void OnEnd(const proxy::RequestResult& result) override;

  bool MaySend() const override { return Now() < send_until_; }
  // On the clock of Now(): from then on the item is not sent to a worker. A run that is at a worker
  // goes on.
  void AllowSendsUntil(Micros until) { send_until_ = until; }

  // From then on `ended` is not called.
  void Detach() { ended_ = nullptr; }
  // What the end of the run means for its item.
  RunOutcome Outcome(const proxy::RequestResult& result) const;
  // The data of all events; may be called once.
  std::string TakeText() { return text_.Take(); }

 private:
  bool IsSuccess() const { return status_ >= 200 && status_ < 300; }

  Ended ended_;     // null: detached, or it has been called
  int status_ = 0;  // HTTP; 0: no head has come
  Micros send_until_ = 0;
  EventText text_;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_ITEM_RUN_H_
