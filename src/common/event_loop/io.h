// What the node uses of GLib: a TCP stream, a listener and an alarm on the default main loop. It
// owns descriptors and event sources; it must never block, never keep a descriptor past Close, and
// knows nothing of HTTP or of jobs.
#ifndef PEARREACH_SRC_COMMON_EVENT_LOOP_IO_H_
#define PEARREACH_SRC_COMMON_EVENT_LOOP_IO_H_

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "common/diagnostics/log.h"
#include "common/event_loop/poller.h"
#include "pearreach/dispatcher.h"

namespace pearreach {

using dispatch::Micros;

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;

// The module's clock: microseconds that never run backwards.
inline Micros Now() { return g_get_monotonic_time(); }

// ---------------------------------------------------------------- time

// Calls back once at a time of Now(), until set again.
class Alarm {
 public:
  explicit Alarm(std::function<void()> ring);
  ~Alarm();
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;

  void Set(Micros at);  // replaces the time set before
  void Clear();

 private:
  std::function<void()> ring_;
  GSource* source_;
};

// ---------------------------------------------------------------- sockets

GSocketAddress* ParseAddress(const std::string& text);  // "ip:port"; null: not one. Owned by caller

// One non-blocking connection. No handler is called after Close, nor from inside Write.
class Stream final : public std::enable_shared_from_this<Stream>, private Poller::Client {
 public:
  struct Handlers {
    std::function<void()> connected;
    std::function<void(std::string_view)> data;
    std::function<void()> closed;  // by the peer or a failure; the stream is closed already
    // All that a slow peer had left untaken of what was written has gone out.
    std::function<void()> drained = {};
  };

  // Null where no socket can be had or the address is not one.
  static std::shared_ptr<Stream> Connect(const std::string& address, Handlers handlers);
  static std::shared_ptr<Stream> Adopt(GSocket* socket);  // takes over the reference
  ~Stream();

  void Listen(Handlers handlers);  // for an adopted stream
  // From now on, descriptors that come with the data, over a socket in the file system, are the
  // handler's: each is told before the bytes that carry it.
  void TakeDescriptors(std::function<void(int)> taken) { descriptors_ = std::move(taken); }
  // False: the connection is broken and closed; `unsent` tells whether all had gone out.
  bool Write(std::string_view bytes);
  // Sends `bytes` with a descriptor, over a socket in the file system: at once and whole, or not at
  // all.
  bool WriteWith(std::string_view bytes, int descriptor);
  std::size_t unsent() const { return out_.size() - sent_; }
  // Between these nothing is read, so that the peer's writes are held up once the system's buffers
  // are full. A connection that has failed meanwhile is read to its end all the same.
  void PauseReading();
  void ResumeReading();
  bool open() const { return socket_ != nullptr; }
  int descriptor() const { return socket_ == nullptr ? -1 : g_socket_get_fd(socket_); }
  bool Quiet() const;  // open, and the peer has neither sent nor closed
  // The peer has ended its side in order; false where the connection was reset or has failed.
  bool ended_in_order() const { return ended_in_order_; }
  void Close();
  void ResetOnClose();  // the peer is to see no ordinary end
  // Sends what is left and ends this side; what still comes is dropped until the peer closes too,
  // which is told by `closed`. The owner bounds the wait.
  void CloseAfterWrite();

 private:
  Stream() = default;
  void Want(bool in, bool out);
  void OnReady(std::uint32_t events) override;
  bool Flush();
  void Break();
  void OnReadable();
  void OnWritable();

  GSocket* socket_ = nullptr;
  bool wants_in_ = false, wants_out_ = false, paused_ = false;
  Handlers handlers_;
  std::function<void(int)> descriptors_;
  std::string out_;
  std::size_t sent_ = 0;
  bool connecting_ = false, refused_ = false, closing_ = false, ended_in_order_ = false;
};

class Listener {
 public:
  // `accepted` is asked again and again while connections wait and it has not paused.
  explicit Listener(std::function<void(std::shared_ptr<Stream>)> accepted);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // For connections that are accepted once it is open, in bytes; 0: the system's.
  void SetReceiveBuffer(int bytes) { receive_buffer_ = bytes; }
  std::string Open(const std::string& address);  // empty, or what is wrong
  std::string OpenPath(
      const std::string& path);  // likewise, in the file system: for its owner alone
  // A listening descriptor that was handed over, paused; it is this one's from now on.
  std::string Take(int descriptor);
  // Told when no connection can be taken though one waits, as descriptors ran out; it may pause.
  void OnAcceptFailed(std::function<void()> failed) { failed_ = std::move(failed); }
  int descriptor() const;
  int port() const;
  void Pause();
  void Resume();

 private:
  static gboolean OnReady(GSocket*, GIOCondition, gpointer self);
  std::string Bind(GSocketAddress* at, bool reuse);

  std::function<void(std::shared_ptr<Stream>)> accepted_;
  std::function<void()> failed_;
  GSocket* socket_ = nullptr;
  GSource* source_ = nullptr;
  int receive_buffer_ = 0;
};

}  // namespace pearreach

#endif  // PEARREACH_SRC_COMMON_EVENT_LOOP_IO_H_
