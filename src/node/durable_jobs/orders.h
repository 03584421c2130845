// Orders of a person to a node that has a store open: a file each, in a folder beside the store. It
// owns their form; it must never apply one itself.
#ifndef PEARREACH_SRC_NODE_DURABLE_JOBS_ORDERS_H_
#define PEARREACH_SRC_NODE_DURABLE_JOBS_ORDERS_H_

#include <string>
#include <vector>

#include "node/job_state/job.h"

namespace pearreach {

struct Order {
  std::string id;
  job_state::State state = job_state::State::kFailed;
  std::string reason;
};

void WriteOrder(const std::string& store, const Order& order);  // written aside and renamed
bool OrderWaits(const std::string& store, const std::string& id);
// Takes all there are; what makes no sense is dropped.
std::vector<Order> TakeOrders(const std::string& store);

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_DURABLE_JOBS_ORDERS_H_
