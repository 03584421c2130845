#include "common/event_loop/poller.h"

#include <glib-unix.h>

#include <array>
#include <cstddef>

namespace pearreach {
namespace {

constexpr int kAtOnce = 256;  // then the other sources get their turn

}  // namespace

Poller& Poller::Default() {
  static Poller* const poller = new Poller;  // never destroyed: streams may outlive statics
  return *poller;
}

Poller::Poller() : set_(epoll_create1(EPOLL_CLOEXEC)) {
  static GSourceFuncs funcs = {nullptr,
                               nullptr,
                               [](GSource*, GSourceFunc, gpointer self) -> gboolean {
                                 static_cast<Poller*>(self)->Dispatch();
                                 return G_SOURCE_CONTINUE;
                               },
                               nullptr,
                               nullptr,
                               nullptr};
  if (set_ < 0) g_error("no epoll set: %s", g_strerror(errno));
  GSource* source = g_source_new(&funcs, sizeof(GSource));
  g_source_set_callback(source, nullptr, this, nullptr);
  g_source_set_can_recurse(source, TRUE);  // a handler may run the loop
  g_source_add_unix_fd(source, set_, G_IO_IN);
  g_source_attach(source, nullptr);
  g_source_unref(source);
}

bool Poller::Set(int fd, std::uint32_t events, Client* client) {
  const auto at = static_cast<std::size_t>(fd);
  if (at >= slots_.size()) slots_.resize(2 * at + 64);
  Slot& slot = slots_[at];
  const bool fresh = slot.client == nullptr;
  if (!fresh && slot.events == events) return true;
  if (fresh) ++slot.generation;
  epoll_event event{};
  event.events = events;
  event.data.u64 = std::uint64_t{slot.generation} << 32 | at;
  if (epoll_ctl(set_, fresh ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &event) != 0) return false;
  slot.client = client;
  slot.events = events;
  return true;
}

void Poller::Remove(int fd) {
  // A connection may end before it was ever watched: one that was accepted only to be closed.
  if (static_cast<std::size_t>(fd) >= slots_.size()) return;
  Slot& slot = slots_[static_cast<std::size_t>(fd)];
  if (slot.client == nullptr) return;
  slot.client = nullptr;
  epoll_ctl(set_, EPOLL_CTL_DEL, fd, nullptr);
}

void Poller::Dispatch() {
  std::array<epoll_event, kAtOnce> ready;
  const int n = epoll_wait(set_, ready.data(), kAtOnce, 0);
  for (int i = 0; i < n; ++i) {
    const auto& event = ready[static_cast<std::size_t>(i)];
    const Slot& slot = slots_[event.data.u64 & 0xffffffffu];
    if (slot.client != nullptr && slot.generation == event.data.u64 >> 32)
      slot.client->OnReady(event.events);
  }
}

}  // namespace pearreach
