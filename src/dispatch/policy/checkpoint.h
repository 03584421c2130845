// Checkpoints: the whole state of a Dispatcher as bytes, its random source included, so that one
// made from them goes on exactly as the first would have. It owns the list of fields of every
// record in state.h, request_table.h and records.h; it must never decide anything, and never hand
// out a Dispatcher whose state does not hold together, whatever the bytes were.
#ifndef PEARREACH_SRC_DISPATCH_POLICY_CHECKPOINT_H_
#define PEARREACH_SRC_DISPATCH_POLICY_CHECKPOINT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "pearreach/dispatcher.h"

namespace pearreach::dispatch {

class Checkpoint {
 public:
  // To be taken between two calls of Handle. Integers are varints, numbers 8 bytes, lists carry
  // their length; a request costs about 60 bytes, a worker about 100.
  static std::string Save(const Dispatcher& dispatcher);

  // Puts the state into a Dispatcher made with the same settings. Empty, or what is wrong with the
  // bytes; `dispatcher` is of no use then.
  static std::string Load(std::string_view bytes, Dispatcher* dispatcher);

  // A number for the records' names, fields and sizes: bytes of another layout are another state.
  static std::uint64_t Layout();

  // Gives every open request another id and every worker another identity; two must not become
  // one. `keyed`, if given, is set where a job with a key is open.
  static void Rename(Dispatcher* dispatcher, const std::function<RequestId(RequestId)>& request,
                     const std::function<std::uint64_t(std::uint64_t)>& identity, bool* keyed);

 private:
  struct Fields;  // checkpoint.cpp
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_CHECKPOINT_H_
