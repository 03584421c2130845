#include "lab/base/agent.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace pearreach::lab {
namespace {

constexpr int kTries = 10;
constexpr Micros kPatience = 2 * kSecond, kAgain = 200 * kMs;

}  // namespace

NewsAgent::NewsAgent(std::string address, int connections)
    : address_(std::move(address)), tick_([this] { Tick(); }) {
  for (int i = 0; i < connections; ++i) links_.push_back(std::make_unique<Link>());
}

NewsAgent::~NewsAgent() { Drop(); }

void NewsAgent::Drop() {
  for (const auto& link : links_) {
    if (link->stream != nullptr) link->stream->Close();
    *link = Link();
  }
}

std::size_t NewsAgent::waiting() const {
  std::size_t n = 0;
  for (const auto& link : links_) n += link->calls.size();
  return n;
}

void NewsAgent::Tell(const std::string& job, std::string body) {
  Link* link = links_[std::hash<std::string>()(job) % links_.size()].get();
  link->calls.push_back({std::move(body), 0});
  Pump(link);
}

void NewsAgent::Pump(Link* link) {
  if (link->busy || link->calls.empty()) return;
  if (link->at > Now()) return tick_.Set(Now() + kAgain / 4);
  if (link->stream == nullptr || !link->stream->open()) {
    link->parser = http::Parser(http::Parser::Kind::kResponse);
    link->stream =
        Stream::Connect(address_, {[] {},
                                   [this, link](std::string_view bytes) {
                                     link->parser.Feed(bytes);
                                     if (link->parser.Next() != http::Parser::State::kMessage)
                                       return;
                                     const http::Message answer = link->parser.Take();
                                     if (!answer.keep_alive) link->stream->Close();
                                     Heard(link, answer.status == 200 || answer.status == 204);
                                   },
                                   [this, link] { Heard(link, false); }});
    if (link->stream == nullptr) return;
  }
  link->busy = true;
  link->at = Now() + kPatience;
  tick_.Set(Now() + kPatience / 4);
  link->stream->Write(
      http::WriteRequest("POST", "/_jobs/news", {{"Host", address_}}, link->calls.front().body));
}

void NewsAgent::Heard(Link* link, bool good) {
  if (!std::exchange(link->busy, false)) return;
  link->at = good ? 0 : Now() + kAgain;
  Call& call = link->calls.front();
  if (good || ++call.tries >= kTries) {
    ++(good ? told : given_up);
    link->calls.pop_front();
  }
  Pump(link);
}

void NewsAgent::Tick() {
  bool any = false;
  for (const auto& link : links_) {
    if (link->busy && link->at <= Now()) {
      link->stream->Close();
      Heard(link.get(), false);
    } else {
      Pump(link.get());
    }
    any = any || !link->calls.empty();
  }
  if (any) tick_.Set(Now() + kAgain / 4);
}

}  // namespace pearreach::lab
