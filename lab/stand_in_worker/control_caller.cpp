#include "lab/stand_in_worker/control_caller.h"

#include <rapidjson/document.h>

#include <utility>

namespace pearreach::stand_in {
namespace {

constexpr Micros kAnswerWait = kSecond;  // as workers wait for an acknowledgement
constexpr int kFirstGood = 200, kFirstNotGood = 300;

// The address for later heartbeats that an answer names; empty: none.
std::string BeatTargetIn(const std::string& body) {
  rapidjson::Document document;
  document.Parse(body.data(), body.size());
  if (document.HasParseError() || !document.IsObject()) return "";
  const auto found = document.FindMember("beat_target");
  if (found == document.MemberEnd() || !found->value.IsString()) return "";
  return found->value.GetString();
}

}  // namespace

ControlCaller::ControlCaller(Timers* timers, std::vector<std::string> addresses)
    : timers_(timers), addresses_(std::move(addresses)) {}

ControlCaller::~ControlCaller() {
  timers_->Cancel(&wait_);
  if (stream_ != nullptr) stream_->Close();
}

void ControlCaller::Post(const std::string& path, const std::string& body, Done done) {
  if (done_) End(false);
  done_ = std::move(done);
  const std::string address = Address();
  parser_ = std::make_unique<http::Parser>(http::Parser::Kind::kResponse);
  wait_ = timers_->After(kAnswerWait, [this] { End(false); });
  Stream::Handlers handlers;
  handlers.connected = [] {};
  handlers.data = [this](std::string_view bytes) { OnData(bytes); };
  handlers.closed = [this] { End(false); };
  stream_ = Stream::Connect(address, std::move(handlers));
  if (stream_ == nullptr) return;  // the wait ends the call
  stream_->Write(http::WriteRequest(
      "POST", path,
      {{"Host", address}, {"Content-Type", "application/json"}, {"Connection", "close"}}, body));
}

void ControlCaller::OnData(std::string_view bytes) {
  parser_->Feed(bytes);
  const http::Parser::State state = parser_->Next();
  if (state == http::Parser::State::kMore) return;
  if (state == http::Parser::State::kBad) return End(false);
  const http::Message answer = parser_->Take();
  const bool good = answer.status >= kFirstGood && answer.status < kFirstNotGood;
  if (const std::string target = BeatTargetIn(answer.body); good && !target.empty())
    named_ = target;
  End(good);
}

const std::string& ControlCaller::Address() const {
  return named_.empty() ? addresses_[next_ % addresses_.size()] : named_;
}

void ControlCaller::End(bool acknowledged) {
  timers_->Cancel(&wait_);
  if (std::shared_ptr<Stream> stream = std::exchange(stream_, nullptr)) stream->Close();
  if (!acknowledged && std::exchange(named_, "").empty()) ++next_;
  if (Done done = std::exchange(done_, nullptr)) done(acknowledged);
}

}  // namespace pearreach::stand_in
