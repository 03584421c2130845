#include "node/peer_transport/gate.h"

namespace pearreach::peer_transport {

std::optional<DatagramFilter::Accepted> DatagramFilter::Admit(std::string_view bytes, int source,
                                                              DropReason* drop_reason) {
  std::optional<Datagram> d = Read(bytes, drop_reason);
  if (!d) return std::nullopt;
  const auto drop = [&](DropReason reason) {
    *drop_reason = reason;
    return std::nullopt;
  };
  if (source < 0 || source != d->from || source == self_ ||
      static_cast<std::size_t>(source) >= peers_.size())
    return drop(DropReason::kUnknownSender);
  Peer& p = peers_[static_cast<std::size_t>(source)];
  if (d->process < p.process) return drop(DropReason::kReplaced);
  if (d->process > p.process) p = {d->process, 0, 0};
  // A sliding replay window of 64 sequence numbers, as in IPsec: each datagram is accepted once.
  if (d->sequence > p.highest) {
    const std::uint32_t advance = d->sequence - p.highest;
    p.received = (advance < 64 ? p.received << advance : 0) | 1;
    p.highest = d->sequence;
    return Accepted{std::move(*d), false};
  }
  const std::uint32_t behind = p.highest - d->sequence;
  if (behind >= 64 || (p.received >> behind & 1) != 0) return drop(DropReason::kStale);
  p.received |= std::uint64_t{1} << behind;
  return Accepted{std::move(*d), true};
}

void DatagramFilter::ObserveProcess(int node, std::uint64_t process) {
  Peer& p = peers_[static_cast<std::size_t>(node)];
  if (process > p.process) p = {process, 0, 0};
}

}  // namespace pearreach::peer_transport
