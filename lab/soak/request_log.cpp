#include "lab/soak/request_log.h"

namespace pearreach::soak {
namespace {

constexpr int kOk = 200, kNoKey = 401, kOverLimit = 429, kUnavailable = 503;

bool PromisesNotRun(int status) {
  return status == kNoKey || status == kOverLimit || status == kUnavailable;
}

}  // namespace

void SentRequest::SetAnswer(const HttpAnswer& answer) {
  ended_at = Now();
  sent = sent && answer.sent;
  status = answer.status;
  error = answer.error;
  complete = answer.complete;
  timed_out = answer.timed_out;
  promises_not_run = PromisesNotRun(answer.status) && kind != RequestKind::kRead;
  ends_inside_event = kind == RequestKind::kStreamed && answer.status == kOk &&
                      !answer.body.empty() && !answer.body.ends_with("\n\n");
}

}  // namespace pearreach::soak
