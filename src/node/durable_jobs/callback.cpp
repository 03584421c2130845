#include "node/durable_jobs/callback.h"

#include <algorithm>
#include <utility>

namespace pearreach {
namespace {

constexpr Micros kPatience = 5 * kSecond;

}  // namespace

std::optional<CallbackUrl> ReadCallbackUrl(const std::string& url,
                                           const std::vector<std::string>& prefixes) {
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme) || url.size() > 1000) return std::nullopt;
  for (const char c : url)
    if (static_cast<unsigned char>(c) <= ' ' || c == 0x7f) return std::nullopt;
  const std::size_t slash = url.find('/', kScheme.size());
  CallbackUrl read;
  read.address = url.substr(kScheme.size(), slash - kScheme.size());
  read.path = slash == std::string::npos ? "/" : url.substr(slash);
  GSocketAddress* address = ParseAddress(read.address);  // numbers alone: nothing is looked up
  if (address == nullptr) return std::nullopt;
  GInetAddress* inet = g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address));
  const bool loopback = g_inet_address_get_is_loopback(inet);
  g_object_unref(address);
  if (loopback || std::any_of(prefixes.begin(), prefixes.end(),
                              [&](const std::string& p) { return url.starts_with(p); }))
    return read;
  return std::nullopt;
}

Callbacks::Callbacks() : sweep_([this] { Sweep(); }) {}

Callbacks::~Callbacks() {
  for (const auto& call : calls_)
    if (call->stream != nullptr) call->stream->Close();
}

void Callbacks::Post(const CallbackUrl& url, const std::string& body,
                     std::function<void(bool)> done) {
  Call* call = calls_.emplace_back(std::make_unique<Call>()).get();
  call->done = std::move(done);
  call->until = Now() + kPatience;
  call->stream = Stream::Connect(
      url.address, {[] {},
                    [this, call](std::string_view bytes) {
                      call->parser.Feed(bytes);
                      const auto state = call->parser.Next();
                      if (state == http::Parser::State::kMore) return;
                      const int status =
                          state == http::Parser::State::kMessage ? call->parser.Take().status : 0;
                      Settle(call, status >= 200 && status < 300);
                    },
                    [this, call] { Settle(call, false); }});
  if (call->stream == nullptr) return Settle(call, false);
  call->stream->Write(http::WriteRequest(
      "POST", url.path,
      {{"Host", url.address}, {"Content-Type", "application/json"}, {"Connection", "close"}},
      body));
  sweep_.Set(std::min(call->until, calls_.front()->until));
}

void Callbacks::Settle(Call* call, bool good) {
  if (std::exchange(call->over, true)) return;
  call->good = good;
  sweep_.Set(Now());  // told from the loop, when no handler of the stream is at work
}

void Callbacks::Sweep() {
  std::vector<std::pair<std::function<void(bool)>, bool>> told;
  for (auto it = calls_.begin(); it != calls_.end();) {
    Call& call = **it;
    if (!call.over && call.until > Now()) {
      ++it;
      continue;
    }
    if (call.stream != nullptr) call.stream->Close();
    told.emplace_back(std::move(call.done), call.over && call.good);
    it = calls_.erase(it);
  }
  if (!calls_.empty()) sweep_.Set(calls_.front()->until);
  for (const auto& [done, good] : told) done(good);
}

}  // namespace pearreach
