#include "node/peer_transport/gate.h"

namespace pearreach::peer_transport {

std::optional<Gate::Word> Gate::Admit(std::string_view bytes, int source, Dropped* why) {
  std::optional<Datagram> d = Read(bytes, why);
  if (!d) return std::nullopt;
  const auto drop = [&](Dropped reason) {
    *why = reason;
    return std::nullopt;
  };
  if (source < 0 || source != d->from || source == self_ ||
      static_cast<std::size_t>(source) >= peers_.size())
    return drop(Dropped::kSender);
  Peer& p = peers_[static_cast<std::size_t>(source)];
  if (d->process < p.process) return drop(Dropped::kReplaced);
  if (d->process > p.process) p = {d->process, 0, 0};
  // A window, as IPsec keeps one against replays: what is new is taken, once.
  if (d->number > p.highest) {
    const std::uint32_t by = d->number - p.highest;
    p.read = (by < 64 ? p.read << by : 0) | 1;
    p.highest = d->number;
    return Word{std::move(*d), false};
  }
  const std::uint32_t behind = p.highest - d->number;
  if (behind >= 64 || (p.read >> behind & 1) != 0) return drop(Dropped::kOld);
  p.read |= std::uint64_t{1} << behind;
  return Word{std::move(*d), true};
}

void Gate::Known(int node, std::uint64_t process) {
  Peer& p = peers_[static_cast<std::size_t>(node)];
  if (process > p.process) p = {process, 0, 0};
}

}  // namespace pearreach::peer_transport
