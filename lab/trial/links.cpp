#include "lab/trial/links.h"

#include <unistd.h>

#include <algorithm>
#include <stdexcept>

namespace pearreach::lab {
namespace {

constexpr int kWordsATurn = 64;

GSocket* BindUdp(const std::string& address) {
  GSocketAddress* at = ParseAddress(address);
  GSocket* socket =
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, nullptr);
  const bool bound =
      socket != nullptr && at != nullptr && g_socket_bind(socket, at, FALSE, nullptr);
  g_clear_object(&at);
  if (!bound) throw std::runtime_error(address + ": cannot be bound for words");
  g_socket_set_blocking(socket, FALSE);
  return socket;
}

int PortOf(GSocket* socket) {
  GSocketAddress* at = g_socket_get_local_address(socket, nullptr);
  const int port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(at));
  g_object_unref(at);
  return port;
}

}  // namespace

std::string HostOf(int node, bool relay) {
  return "127." + std::to_string(1 + getpid() % 250) + "." + std::to_string(node + 1) +
         (relay ? ".2" : ".1");
}

bool Touches(const Fault& f, int from, int to, int zones) {
  const std::string a = "n" + std::to_string(from), b = "n" + std::to_string(to);
  if (!Selects(f.from, a, zones) || !Selects(f.to, b, zones)) return false;
  const bool edge = (f.from[0] == 'z' && f.to == "*") || (f.to[0] == 'z' && f.from == "*");
  return !edge || from % zones != to % zones;
}

void WordFaults::End(const Fault& fault) {
  const auto it = std::find(active_.begin(), active_.end(), fault);
  if (it != active_.end()) active_.erase(it);
}

std::vector<WordFaults::Copy> WordFaults::Pass(int from, int to, std::string_view bytes) {
  std::vector<Copy> copies = {{0, std::string(bytes)}};
  for (const Fault& f : active_) {
    if (!Touches(f, from, to, zones_)) continue;
    const std::size_t n = copies.size();
    for (std::size_t i = 0; i < n; ++i) {
      const bool struck = chance_.Uniform() < f.share;
      const auto some = [&] {
        return static_cast<Micros>(chance_.Uniform() * static_cast<double>(f.late));
      };
      if (f.what == Fault::What::kLate && struck) copies[i].later += some();
      if (f.what == Fault::What::kDouble && struck)
        copies.push_back({copies[i].later + some(), copies[i].bytes});
      if (f.what == Fault::What::kLose && struck) copies[i].bytes.clear();
      if (f.what == Fault::What::kDamage && struck && !copies[i].bytes.empty())
        for (int k = 0; k < 3; ++k)
          copies[i].bytes[chance_.Below(copies[i].bytes.size())] ^=
              static_cast<char>(1 + chance_.Below(255));
    }
    std::erase_if(copies, [](const Copy& c) { return c.bytes.empty(); });
  }
  return copies;
}

// What `from` takes for the address of `to`, or of all.
class WordLinks::Port final : private Poller::Client {
 public:
  Port(WordLinks* links, int from, int to)
      : links_(links), from_(from), to_(to), socket_(BindUdp(HostOf(from, true) + ":0")) {
    Poller::Default().Set(g_socket_get_fd(socket_), EPOLLIN, this);
  }
  ~Port() {
    Poller::Default().Remove(g_socket_get_fd(socket_));
    g_socket_close(socket_, nullptr);
    g_object_unref(socket_);
  }
  std::string address() const {
    return HostOf(from_, true) + ":" + std::to_string(PortOf(socket_));
  }
  void Send(GSocketAddress* to, const std::string& bytes) {
    g_socket_send_to(socket_, to, bytes.data(), bytes.size(), nullptr, nullptr);
  }

 private:
  void OnReady(std::uint32_t) override {
    char bytes[2048];
    for (int i = 0; i < kWordsATurn; ++i) {
      GError* error = nullptr;
      const gssize n = g_socket_receive(socket_, bytes, sizeof bytes, nullptr, &error);
      const bool blocked = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
      g_clear_error(&error);
      if (blocked) return;
      if (n < 0) continue;
      const std::string_view word(bytes, static_cast<std::size_t>(n));
      if (to_ != from_) {
        links_->Take(from_, to_, word);
        continue;
      }
      for (int other = 0; other < links_->nodes_; ++other)
        if (other != from_) links_->Take(from_, other, word);
    }
  }

  WordLinks* links_;
  int from_, to_;
  GSocket* socket_;
};

WordLinks::WordLinks(int nodes, int zones, std::uint64_t seed)
    : nodes_(nodes), faults_(zones, SeedOf(seed, 31, 0)), later_([this] { Later(); }) {
  for (int n = 0; n < nodes; ++n) {
    const std::string ip = HostOf(n, false);
    GSocket* probe = BindUdp(ip + ":0");  // for a free port
    listen_.push_back(ip + ":" + std::to_string(PortOf(probe)));
    g_socket_close(probe, nullptr);
    g_object_unref(probe);
    listens_.push_back(ParseAddress(listen_.back()));
  }
  for (int from = 0; from < nodes; ++from)
    for (int to = 0; to < nodes; ++to) ports_.push_back(std::make_unique<Port>(this, from, to));
}

WordLinks::~WordLinks() {
  for (GSocketAddress*& at : listens_) g_clear_object(&at);
}

std::string WordLinks::peer(int node, int other) const {
  return node == other ? listen(node)
                       : ports_[static_cast<std::size_t>(node * nodes_ + other)]->address();
}

std::string WordLinks::all(int node) const {
  return ports_[static_cast<std::size_t>(node * nodes_ + node)]->address();
}

void WordLinks::Take(int from, int to, std::string_view bytes) {
  const auto copies = faults_.Pass(from, to, bytes);
  ++(copies.empty() ? lost : passed);
  for (const WordFaults::Copy& c : copies) {
    if (c.later == 0) {
      Deliver(from, to, c.bytes);
      continue;
    }
    coming_.insert({Now() + c.later, {from, to, c.bytes}});
    later_.Set(coming_.begin()->first);
  }
}

// It comes from the address that the receiver knows the sender by.
void WordLinks::Deliver(int from, int to, const std::string& bytes) {
  ports_[static_cast<std::size_t>(to * nodes_ + from)]->Send(listens_[static_cast<std::size_t>(to)],
                                                             bytes);
}

void WordLinks::Later() {
  for (; !coming_.empty() && coming_.begin()->first <= Now(); coming_.erase(coming_.begin())) {
    const Word& w = coming_.begin()->second;
    Deliver(w.from, w.to, w.bytes);
  }
  if (!coming_.empty()) later_.Set(coming_.begin()->first);
}

}  // namespace pearreach::lab
