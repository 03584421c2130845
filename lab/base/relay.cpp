#include "lab/base/relay.h"

#include <utility>

namespace pearreach::lab {

Relay::Relay(std::string target)
    : target_(std::move(target)),
      sweep_([this] { Sweep(); }),
      listener_([this](std::shared_ptr<Stream> stream) { Accept(std::move(stream)); }) {
  listener_.Open("127.0.0.1:0");
}

Relay::~Relay() { Cut(); }

std::string Relay::address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }

void Relay::Accept(std::shared_ptr<Stream> stream) {
  if (cut_) return stream->Close();
  Link* link = &links_.emplace_back();
  const auto end = [this, link] {
    link->over = true;
    sweep_.Set(Now());  // from the loop, when no handler of the streams is at work
  };
  link->near = std::move(stream);
  link->far = Stream::Connect(target_, {[] {},
                                        [this, link](std::string_view bytes) {
                                          link->to_near.append(bytes);
                                          if (!held_)
                                            link->near->Write(std::exchange(link->to_near, {}));
                                        },
                                        end});
  if (link->far == nullptr) return end();
  link->near->Listen({[] {},
                      [this, link](std::string_view bytes) {
                        link->to_far.append(bytes);
                        if (!held_) link->far->Write(std::exchange(link->to_far, {}));
                      },
                      end});
}

void Relay::Sweep() {
  for (auto it = links_.begin(); it != links_.end();) {
    if (!it->over || held_) {
      ++it;
      continue;
    }
    if (it->near != nullptr) it->near->Close();
    if (it->far != nullptr) it->far->Close();
    it = links_.erase(it);
  }
}

void Relay::Cut() {
  cut_ = true;
  for (Link& link : links_) link.over = true;
  held_ = false;
  Sweep();
}

void Relay::Mend() {
  cut_ = held_ = false;
  for (Link& link : links_) {
    if (!link.to_far.empty()) link.far->Write(std::exchange(link.to_far, {}));
    if (!link.to_near.empty()) link.near->Write(std::exchange(link.to_near, {}));
  }
  Sweep();
}

}  // namespace pearreach::lab
