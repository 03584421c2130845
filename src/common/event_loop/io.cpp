#include "common/event_loop/io.h"

#include <gio/gunixfdmessage.h>
#include <gio/gunixsocketaddress.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include <algorithm>
#include <utility>

#include "common/memory/release.h"

namespace pearreach {
namespace {

constexpr int kBacklog = 4096;      // the system cuts it to what it allows
constexpr int kAcceptsAtOnce = 64;  // then the other sources get their turn
constexpr std::size_t kReadSize = 64 << 10;
constexpr std::size_t kKeptBuffer = 64 << 10;  // more is given back once it has gone out

bool IsBlocked(const GError* error) {
  return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) ||
         g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
}

}  // namespace

// ---------------------------------------------------------------- time

Alarm::Alarm(std::function<void()> ring) : ring_(std::move(ring)) {
  static GSourceFuncs funcs = {nullptr,
                               nullptr,
                               [](GSource* source, GSourceFunc, gpointer self) -> gboolean {
                                 g_source_set_ready_time(source, -1);
                                 static_cast<Alarm*>(self)->ring_();
                                 return G_SOURCE_CONTINUE;
                               },
                               nullptr,
                               nullptr,
                               nullptr};
  source_ = g_source_new(&funcs, sizeof(GSource));
  g_source_set_callback(source_, nullptr, this, nullptr);
  g_source_attach(source_, nullptr);
}

Alarm::~Alarm() {
  g_source_destroy(source_);
  g_source_unref(source_);
}

void Alarm::Set(Micros at) { g_source_set_ready_time(source_, std::max<Micros>(at, 0)); }
void Alarm::Clear() { g_source_set_ready_time(source_, -1); }

// ---------------------------------------------------------------- sockets

GSocketAddress* ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size()) return nullptr;
  const std::string port = text.substr(colon + 1);
  if (port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos ||
      std::stoi(port) > 65535)
    return nullptr;
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  return g_inet_socket_address_new_from_string(host.c_str(), static_cast<guint>(std::stoi(port)));
}

std::shared_ptr<Stream> Stream::Connect(const std::string& address, Handlers handlers) {
  GSocketAddress* to = ParseAddress(address);
  if (to == nullptr) return nullptr;
  GSocket* socket = g_socket_new(g_socket_address_get_family(to), G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, nullptr);
  if (socket == nullptr) {
    g_object_unref(to);
    return nullptr;
  }
  auto stream = Adopt(socket);
  stream->handlers_ = std::move(handlers);
  stream->connecting_ = true;
  GError* error = nullptr;
  const bool done = g_socket_connect(socket, to, nullptr, &error);
  g_object_unref(to);
  // A refusal known at once is told like any other: from the loop, by the socket's error.
  stream->refused_ = !done && !IsBlocked(error);
  g_clear_error(&error);
  stream->Want(false, true);
  return stream;
}

std::shared_ptr<Stream> Stream::Adopt(GSocket* socket) {
  std::shared_ptr<Stream> stream(new Stream);
  stream->socket_ = socket;
  g_socket_set_blocking(socket, FALSE);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  return stream;
}

Stream::~Stream() { Close(); }

void Stream::Listen(Handlers handlers) {
  handlers_ = std::move(handlers);
  Want(true, wants_out_);
}

void Stream::Want(bool in, bool out) {
  wants_in_ = in;
  wants_out_ = out;
  const int fd = g_socket_get_fd(socket_);
  const bool reads = in && !paused_;
  if (!Poller::Default().Set(fd, (reads ? EPOLLIN : 0u) | (out ? EPOLLOUT : 0u), this))
    CountFault("poll_failed", g_strerror(errno));
}

void Stream::OnReady(std::uint32_t events) {
  const auto self = shared_from_this();
  constexpr std::uint32_t kEnd = EPOLLERR | EPOLLHUP;
  if (wants_out_ && (events & (EPOLLOUT | kEnd)) != 0) OnWritable();
  if (socket_ != nullptr && wants_in_ && (events & (EPOLLIN | kEnd)) != 0) OnReadable();
}

void Stream::PauseReading() {
  if (std::exchange(paused_, true) || socket_ == nullptr) return;
  Want(wants_in_, wants_out_);
}

void Stream::ResumeReading() {
  if (!std::exchange(paused_, false) || socket_ == nullptr) return;
  Want(wants_in_, wants_out_);
}

void Stream::Close() {
  if (socket_ == nullptr) return;
  Poller::Default().Remove(g_socket_get_fd(socket_));
  g_socket_close(socket_, nullptr);
  g_clear_object(&socket_);
}

void Stream::ResetOnClose() {
  if (socket_ == nullptr) return;
  const linger at_once{1, 0};
  setsockopt(g_socket_get_fd(socket_), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void Stream::CloseAfterWrite() {
  if (socket_ == nullptr) return;
  closing_ = true;
  // Guards the answer: closing over bytes not read resets the connection, and a reset throws away
  // what the peer has not read yet. So only this side ends here, and the rest is read and dropped.
  if (unsent() == 0) g_socket_shutdown(socket_, FALSE, TRUE, nullptr);
}

// The connection has ended other than by Close.
void Stream::Break() {
  if (socket_ == nullptr) return;
  Close();
  const auto closed = handlers_.closed;  // it may replace the handlers, or drop the last reference
  if (closed) closed();
}

bool Stream::Quiet() const {
  return socket_ != nullptr && !connecting_ &&
         g_socket_condition_check(socket_,
                                  static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR)) == 0;
}

bool Stream::Write(std::string_view bytes) {
  if (socket_ == nullptr) return false;
  // A peer that never catches up must not keep all that it was ever sent.
  if (sent_ > kKeptBuffer && sent_ > out_.size() / 2) out_.erase(0, std::exchange(sent_, 0));
  out_.append(bytes);
  if (connecting_ || wants_out_) return true;
  if (Flush()) return true;
  Close();
  return false;
}

bool Stream::WriteWith(std::string_view bytes, int descriptor) {
  if (socket_ == nullptr || unsent() > 0) return false;
  GSocketControlMessage* with = g_unix_fd_message_new();
  GOutputVector part{bytes.data(), bytes.size()};
  const bool good = g_unix_fd_message_append_fd(G_UNIX_FD_MESSAGE(with), descriptor, nullptr) &&
                    g_socket_send_message(socket_, nullptr, &part, 1, &with, 1, 0, nullptr,
                                          nullptr) == static_cast<gssize>(bytes.size());
  g_object_unref(with);
  return good;
}

bool Stream::Flush() {
  while (unsent() > 0) {
    GError* error = nullptr;
    const gssize n = g_socket_send(socket_, out_.data() + sent_, unsent(), nullptr, &error);
    if (n >= 0) {
      sent_ += static_cast<std::size_t>(n);
      continue;
    }
    const bool blocked = IsBlocked(error);
    g_clear_error(&error);
    if (!blocked) return false;
    Want(wants_in_, true);
    return true;
  }
  out_.clear();
  if (out_.capacity() > kKeptBuffer) memory::Release(&out_);
  sent_ = 0;
  if (wants_out_) Want(wants_in_, false);
  return true;
}

void Stream::OnWritable() {
  if (std::exchange(connecting_, false)) {
    if (refused_ || !g_socket_check_connect_result(socket_, nullptr)) return Break();
    Want(true, false);
    const auto connected = handlers_.connected;
    if (connected) connected();
    // Guards what was written before the connection was up: nothing else would send it.
    if (socket_ != nullptr && !Flush()) Break();
    return;
  }
  if (!Flush()) return Break();
  if (closing_) return CloseAfterWrite();
  const auto drained = handlers_.drained;
  if (unsent() == 0 && drained) drained();
}

void Stream::OnReadable() {
  static char buffer[kReadSize];
  GError* error = nullptr;
  gssize n = 0;
  if (descriptors_) {
    GInputVector part{buffer, sizeof buffer};
    GSocketControlMessage** messages = nullptr;
    gint count = 0;
    n = g_socket_receive_message(socket_, nullptr, &part, 1, &messages, &count, nullptr, nullptr,
                                 &error);
    for (gint i = 0; i < count; ++i) {
      if (G_IS_UNIX_FD_MESSAGE(messages[i])) {
        gint taken = 0;
        gint* fds = g_unix_fd_message_steal_fds(G_UNIX_FD_MESSAGE(messages[i]), &taken);
        for (gint k = 0; k < taken; ++k) descriptors_(fds[k]);
        g_free(fds);
      }
      g_object_unref(messages[i]);
    }
    g_free(messages);
  } else {
    n = g_socket_receive(socket_, buffer, sizeof buffer, nullptr, &error);
  }
  const bool blocked = n < 0 && IsBlocked(error);
  g_clear_error(&error);
  if (blocked) return;
  ended_in_order_ = n == 0;
  if (n <= 0) return Break();
  if (closing_) return;  // nothing more is wanted of this peer
  const auto data = handlers_.data;
  if (data) data(std::string_view(buffer, static_cast<std::size_t>(n)));
}

Listener::Listener(std::function<void(std::shared_ptr<Stream>)> accepted)
    : accepted_(std::move(accepted)) {}

Listener::~Listener() {
  Pause();
  if (socket_ == nullptr) return;
  g_socket_close(socket_, nullptr);
  g_object_unref(socket_);
}

std::string Listener::Open(const std::string& address) {
  GSocketAddress* at = ParseAddress(address);
  if (at == nullptr) return "'" + address + "' is no address";
  return Bind(at, true);
}

std::string Listener::OpenPath(const std::string& path) {
  const mode_t before = umask(0177);
  std::string wrong = Bind(g_unix_socket_address_new(path.c_str()), false);
  umask(before);
  return wrong;
}

std::string Listener::Bind(GSocketAddress* at, bool reuse) {
  GError* error = nullptr;
  socket_ = g_socket_new(g_socket_address_get_family(at), G_SOCKET_TYPE_STREAM,
                         G_SOCKET_PROTOCOL_DEFAULT, &error);
  if (socket_ != nullptr) {
    g_socket_set_blocking(socket_, FALSE);
    g_socket_set_listen_backlog(socket_, kBacklog);
    // Before the connections are made, whose windows follow from it.
    if (receive_buffer_ > 0)
      g_socket_set_option(socket_, SOL_SOCKET, SO_RCVBUF, receive_buffer_, nullptr);
    if (g_socket_bind(socket_, at, reuse, &error)) g_socket_listen(socket_, &error);
  }
  g_object_unref(at);
  std::string wrong = error == nullptr ? "" : error->message;
  g_clear_error(&error);
  if (wrong.empty())
    Resume();
  else
    g_clear_object(&socket_);
  return wrong;
}

std::string Listener::Take(int descriptor) {
  GError* error = nullptr;
  socket_ = g_socket_new_from_fd(descriptor, &error);
  std::string wrong = error == nullptr ? "" : error->message;
  g_clear_error(&error);
  if (socket_ != nullptr) g_socket_set_blocking(socket_, FALSE);
  return wrong;
}

int Listener::descriptor() const { return g_socket_get_fd(socket_); }

int Listener::port() const {
  GSocketAddress* at = g_socket_get_local_address(socket_, nullptr);
  const int port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(at));
  g_object_unref(at);
  return port;
}

void Listener::Pause() {
  if (source_ == nullptr) return;
  g_source_destroy(source_);
  g_source_unref(source_);
  source_ = nullptr;
}

void Listener::Resume() {
  if (source_ != nullptr || socket_ == nullptr) return;
  source_ = g_socket_create_source(socket_, G_IO_IN, nullptr);
  g_source_set_callback(source_, G_SOURCE_FUNC(&Listener::OnReady), this, nullptr);
  g_source_attach(source_, nullptr);
}

gboolean Listener::OnReady(GSocket* socket, GIOCondition, gpointer self) {
  auto* listener = static_cast<Listener*>(self);
  for (int i = 0; i < kAcceptsAtOnce && listener->source_ != nullptr; ++i) {
    GError* error = nullptr;
    GSocket* accepted = g_socket_accept(socket, nullptr, &error);
    if (accepted == nullptr) {
      const bool failed = !IsBlocked(error);
      if (failed) CountFault("accept_failed", error->message);
      g_clear_error(&error);
      if (failed && listener->failed_) listener->failed_();
      break;
    }
    listener->accepted_(Stream::Adopt(accepted));
  }
  return G_SOURCE_CONTINUE;
}

}  // namespace pearreach
