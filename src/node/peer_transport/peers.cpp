#include "node/peer_transport/peers.h"

#include <utility>

namespace pearreach::peer_transport {
namespace {

// Read in one turn at most: about a tenth of a millisecond, then clients have theirs.
constexpr int kWordsATurn = 32;

std::string TextOf(GSocketAddress* address) {
  if (!G_IS_INET_SOCKET_ADDRESS(address)) return "";
  auto* inet = G_INET_SOCKET_ADDRESS(address);
  gchar* host = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
  std::string text = std::string(host) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
  g_free(host);
  return text;
}

}  // namespace

Peers::Peers(Options options, std::function<std::uint64_t()> process,
             std::function<void(int)> replaced)
    : options_(std::move(options)),
      process_(std::move(process)),
      replaced_(std::move(replaced)),
      gate_(options_.self, static_cast<int>(options_.nodes.size())),
      budget_(options_.bytes_per_second, Now()) {
  for (std::size_t n = 0; n < options_.nodes.size(); ++n) {
    nodes_.push_back(ParseAddress(options_.nodes[n]));
    if (nodes_.back() != nullptr) numbers_[TextOf(nodes_.back())] = static_cast<int>(n);
  }
  if (!options_.all.empty()) all_ = ParseAddress(options_.all);
}

Peers::~Peers() {
  Close();
  for (GSocketAddress*& address : nodes_) g_clear_object(&address);
  g_clear_object(&all_);
}

std::string Peers::Open() {
  GError* error = nullptr;
  const auto fail = [&](std::string what) {
    if (error != nullptr) what = error->message;
    g_clear_error(&error);
    g_clear_object(&socket_);
    return what;
  };
  GSocketAddress* at = ParseAddress(options_.listen);
  if (at == nullptr) return fail("'" + options_.listen + "' is no ip:port");
  socket_ = g_socket_new(g_socket_address_get_family(at), G_SOCKET_TYPE_DATAGRAM,
                         G_SOCKET_PROTOCOL_UDP, &error);
  // Not shared: of two processes with this address one speaks for the node, the other waits.
  const bool bound = socket_ != nullptr && g_socket_bind(socket_, at, FALSE, &error);
  g_object_unref(at);
  if (!bound) return fail("cannot be bound");
  g_socket_set_blocking(socket_, FALSE);
  number_ = 0;
  if (!Poller::Default().Set(g_socket_get_fd(socket_), EPOLLIN, this))
    return fail("cannot be polled");
  return "";
}

void Peers::Close() {
  if (socket_ == nullptr) return;
  Poller::Default().Remove(g_socket_get_fd(socket_));
  g_socket_close(socket_, nullptr);
  g_clear_object(&socket_);
}

int Peers::port() const {
  if (socket_ == nullptr) return 0;
  GSocketAddress* at = g_socket_get_local_address(socket_, nullptr);
  const int port = at == nullptr ? 0 : g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(at));
  g_clear_object(&at);
  return port;
}

void Peers::OnReady(std::uint32_t) {
  char bytes[kMaxBytes + 1];  // one more shows what is too long
  for (int i = 0; i < kWordsATurn && socket_ != nullptr; ++i) {
    GSocketAddress* from = nullptr;
    GError* error = nullptr;
    const gssize n = g_socket_receive_from(socket_, &from, bytes, sizeof bytes, nullptr, &error);
    if (n < 0) {
      // A node that does not listen answers with a refusal, which is told here: it is no fault.
      const bool blocked = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
      g_clear_error(&error);
      if (blocked) return;
      continue;
    }
    Read({bytes, static_cast<std::size_t>(n)}, from);
    g_clear_object(&from);
  }
}

void Peers::Read(std::string_view bytes, GSocketAddress* from) {
  const auto it = numbers_.find(TextOf(from));
  const int source = it == numbers_.end() ? -1 : it->second;
  Dropped why{};
  const auto word = gate_.Admit(bytes, source, &why);
  if (!word) {
    Count(NameOf(why));
    if (why == Dropped::kReplaced) replaced_(source);
    return;
  }
  Count("peer_words");
  for (const Section& s : word->datagram.sections) {
    const auto it = sources_.find(static_cast<Topic>(s.topic));
    if (it == sources_.end())
      Count("peer_sections_unknown");
    else
      it->second.hear(source, word->datagram.process, word->late, s.bytes);
  }
}

bool Peers::SendTo(GSocketAddress* to, std::string_view bytes) {
  GError* error = nullptr;
  const bool sent = g_socket_send_to(socket_, to, bytes.data(), bytes.size(), nullptr, &error) >= 0;
  if (!sent) Count("peer_words_not_sent");
  g_clear_error(&error);
  return sent;
}

bool Peers::Say(int to, Topic topic, std::string_view bytes) {
  if (socket_ == nullptr) return false;
  const bool all = to < 0;
  if (!all && (static_cast<std::size_t>(to) >= nodes_.size() ||
               nodes_[static_cast<std::size_t>(to)] == nullptr || to == options_.self))
    return false;
  Writer writer(options_.self, process_(), number_ + 1);
  if (!writer.Add(topic, bytes)) {
    Count("peer_words_without_room");
    return false;
  }
  // The others in their order of priority, as long as there is room.
  std::vector<std::pair<int, Topic>> order;
  for (const auto& [other, source] : sources_)
    if (other != topic && source.add) order.emplace_back(source.priority, other);
  std::sort(order.begin(), order.end());
  for (const auto& [priority, other] : order) {
    bool more = false;
    const std::string added = sources_[other].add(to, writer.room(), &more);
    if (!added.empty()) Must(writer.Add(other, added), "peer_section_too_long");
    if (more) Count("peer_words_without_room");
  }
  const std::string text = writer.Take();
  const std::size_t receivers = all ? nodes_.size() - 1 : 1;
  if (!budget_.Take(Now(), static_cast<double>(text.size() * receivers),
                    sources_[topic].priority)) {
    Count("peer_words_over_budget");
    return false;
  }
  ++number_;
  Count("peer_words_sent", receivers);
  Count("peer_bytes_sent", text.size() * receivers);
  if (!all) return SendTo(nodes_[static_cast<std::size_t>(to)], text);
  if (all_ != nullptr) return SendTo(all_, text);
  bool sent = false;
  for (std::size_t n = 0; n < nodes_.size(); ++n)
    if (static_cast<int>(n) != options_.self && nodes_[n] != nullptr)
      sent = SendTo(nodes_[n], text) || sent;
  return sent;
}

}  // namespace pearreach::peer_transport
