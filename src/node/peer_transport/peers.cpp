#include "node/peer_transport/peers.h"

#include <utility>

namespace pearreach::peer_transport {
namespace {

// Bounds the time per wakeup to about 0.1 ms, so that client connections are served as well.
constexpr int kMaxDatagramsPerWakeup = 32;

std::string ToString(GSocketAddress* address) {
  if (!G_IS_INET_SOCKET_ADDRESS(address)) return "";
  auto* inet = G_INET_SOCKET_ADDRESS(address);
  gchar* host = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
  std::string text = std::string(host) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
  g_free(host);
  return text;
}

}  // namespace

PeerTransport::PeerTransport(Options options, std::function<std::uint64_t()> process,
                             std::function<void(int)> on_replaced)
    : options_(std::move(options)),
      process_(std::move(process)),
      on_replaced_(std::move(on_replaced)),
      filter_(options_.self, static_cast<int>(options_.nodes.size())),
      budget_(options_.bytes_per_second, Now()) {
  for (std::size_t n = 0; n < options_.nodes.size(); ++n) {
    nodes_.push_back(ParseAddress(options_.nodes[n]));
    if (nodes_.back() != nullptr) node_by_address_[ToString(nodes_.back())] = static_cast<int>(n);
  }
  if (!options_.broadcast.empty()) broadcast_address_ = ParseAddress(options_.broadcast);
}

PeerTransport::~PeerTransport() {
  Close();
  for (GSocketAddress*& address : nodes_) g_clear_object(&address);
  g_clear_object(&broadcast_address_);
}

std::string PeerTransport::Open() {
  GError* error = nullptr;
  const auto fail = [&](std::string what) {
    if (error != nullptr) what = error->message;
    g_clear_error(&error);
    g_clear_object(&socket_);
    return what;
  };
  GSocketAddress* address = ParseAddress(options_.listen);
  if (address == nullptr) return fail("'" + options_.listen + "' is not an ip:port address");
  socket_ = g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_DATAGRAM,
                         G_SOCKET_PROTOCOL_UDP, &error);
  // Without address reuse: if two processes of this node run, only one of them can bind the
  // address.
  const bool bound = socket_ != nullptr && g_socket_bind(socket_, address, FALSE, &error);
  g_object_unref(address);
  if (!bound) return fail("cannot bind the address");
  g_socket_set_blocking(socket_, FALSE);
  last_sequence_ = 0;
  if (!Poller::Default().Set(g_socket_get_fd(socket_), EPOLLIN, this))
    return fail("cannot add the socket to the poller");
  return "";
}

void PeerTransport::Close() {
  if (socket_ == nullptr) return;
  Poller::Default().Remove(g_socket_get_fd(socket_));
  g_socket_close(socket_, nullptr);
  g_clear_object(&socket_);
}

int PeerTransport::port() const {
  if (socket_ == nullptr) return 0;
  GSocketAddress* address = g_socket_get_local_address(socket_, nullptr);
  const int port =
      address == nullptr ? 0 : g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
  g_clear_object(&address);
  return port;
}

void PeerTransport::OnReady(std::uint32_t) {
  char bytes[kMaxDatagramBytes + 1];  // one more byte, to detect datagrams that are too long
  for (int i = 0; i < kMaxDatagramsPerWakeup && socket_ != nullptr; ++i) {
    GSocketAddress* from = nullptr;
    GError* error = nullptr;
    const gssize n = g_socket_receive_from(socket_, &from, bytes, sizeof bytes, nullptr, &error);
    if (n < 0) {
      // ECONNREFUSED from a peer that does not listen is reported here, and is not an error of this
      // node.
      const bool blocked = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
      g_clear_error(&error);
      if (blocked) return;
      continue;
    }
    Read({bytes, static_cast<std::size_t>(n)}, from);
    g_clear_object(&from);
  }
}

void PeerTransport::Read(std::string_view bytes, GSocketAddress* from) {
  const auto it = node_by_address_.find(ToString(from));
  const int source = it == node_by_address_.end() ? -1 : it->second;
  DropReason reason{};
  const auto accepted = filter_.Admit(bytes, source, &reason);
  if (!accepted) {
    Count(NameOf(reason));
    if (reason == DropReason::kReplaced) on_replaced_(source);
    return;
  }
  Count("peer_words");
  for (const Section& s : accepted->datagram.sections) {
    const auto it = handlers_.find(static_cast<Topic>(s.topic));
    if (it == handlers_.end())
      Count("peer_sections_unknown");
    else
      it->second.receive(source, accepted->datagram.process, accepted->late, s.bytes);
  }
}

bool PeerTransport::SendTo(GSocketAddress* to, std::string_view bytes) {
  GError* error = nullptr;
  const bool sent = g_socket_send_to(socket_, to, bytes.data(), bytes.size(), nullptr, &error) >= 0;
  if (!sent) Count("peer_words_not_sent");
  g_clear_error(&error);
  return sent;
}

bool PeerTransport::Send(int to, Topic topic, std::string_view bytes) {
  if (socket_ == nullptr) return false;
  const bool to_all = to < 0;
  if (!to_all && (static_cast<std::size_t>(to) >= nodes_.size() ||
                  nodes_[static_cast<std::size_t>(to)] == nullptr || to == options_.self))
    return false;
  Writer writer(options_.self, process_(), last_sequence_ + 1);
  if (!writer.Add(topic, bytes)) {
    Count("peer_words_without_room");
    return false;
  }
  // Adds sections of other topics in order of priority, while there is room.
  std::vector<std::pair<int, Topic>> handlers;
  for (const auto& [other, handler] : handlers_)
    if (other != topic && handler.add) handlers.emplace_back(handler.priority, other);
  std::sort(handlers.begin(), handlers.end());
  for (const auto& [priority, other] : handlers) {
    bool truncated = false;
    const std::string section = handlers_[other].add(to, writer.room(), &truncated);
    if (!section.empty()) Must(writer.Add(other, section), "peer_section_too_long");
    if (truncated) Count("peer_words_without_room");
  }
  const std::string datagram = writer.Take();
  const std::size_t receivers = to_all ? nodes_.size() - 1 : 1;
  if (!budget_.Take(Now(), static_cast<double>(datagram.size() * receivers),
                    handlers_[topic].priority)) {
    Count("peer_words_over_budget");
    return false;
  }
  ++last_sequence_;
  Count("peer_words_sent", receivers);
  Count("peer_bytes_sent", datagram.size() * receivers);
  if (!to_all) return SendTo(nodes_[static_cast<std::size_t>(to)], datagram);
  if (broadcast_address_ != nullptr) return SendTo(broadcast_address_, datagram);
  bool sent = false;
  for (std::size_t n = 0; n < nodes_.size(); ++n)
    if (static_cast<int>(n) != options_.self && nodes_[n] != nullptr)
      sent = SendTo(nodes_[n], datagram) || sent;
  return sent;
}

}  // namespace pearreach::peer_transport
