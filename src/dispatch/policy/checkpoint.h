// Checkpoints: the complete state of a Dispatcher as bytes, including the state of its random
// number generator, so that a Dispatcher restored from them continues exactly as the original would
// have. This file owns the list of fields of every record in state.h, request_table.h and
// records.h. It makes no decision, and rejects any bytes that do not give a consistent state.
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
  // Must not run during a call of Handle. Integers are varints, floating-point numbers 8 bytes, and
  // lists are prefixed with their length. A request takes about 60 bytes, a worker about 100.
  static std::string Save(const Dispatcher& dispatcher);

  // Loads the state into a Dispatcher that was created with the same settings. Returns an empty
  // string, or a description of the error; `dispatcher` must not be used after an error.
  static std::string Load(std::string_view bytes, Dispatcher* dispatcher);

  // A hash of the names, fields and sizes of all records. Bytes that were saved with another layout
  // cannot be loaded.
  static std::uint64_t Layout();

  // Replaces the ids of all open requests and the identities of all workers. Both mappings must be
  // injective. Sets `keyed`, if not null, to true if an open request has a key.
  static void ReplaceIds(Dispatcher* dispatcher, const std::function<RequestId(RequestId)>& request,
                         const std::function<std::uint64_t(std::uint64_t)>& identity, bool* keyed);

 private:
  struct Fields;  // checkpoint.cpp
};

}  // namespace pearreach::dispatch

#endif  // PEARREACH_SRC_DISPATCH_POLICY_CHECKPOINT_H_
