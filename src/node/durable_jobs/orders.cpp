#include "node/durable_jobs/orders.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace pearreach {
namespace {

namespace fs = std::filesystem;

std::string FolderOf(const std::string& store) { return store + ".orders"; }

// An id is 32 hex digits; anything else must not become a path.
bool IsId(const std::string& id) {
  return id.size() == 32 && id.find_first_not_of("0123456789abcdef") == std::string::npos;
}

}  // namespace

void WriteOrder(const std::string& store, const Order& order) {
  if (!IsId(order.id)) return;
  std::error_code error;
  fs::create_directories(FolderOf(store), error);
  const std::string path = FolderOf(store) + "/" + order.id;
  std::ofstream(path + ".new") << static_cast<int>(order.state) << '\n' << order.reason << '\n';
  fs::rename(path + ".new", path, error);
}

bool OrderWaits(const std::string& store, const std::string& id) {
  std::error_code error;
  return IsId(id) && fs::exists(FolderOf(store) + "/" + id, error);
}

std::vector<Order> TakeOrders(const std::string& store) {
  std::vector<Order> orders;
  std::error_code error;
  for (fs::directory_iterator it(FolderOf(store), error), end; !error && it != end;
       it.increment(error)) {
    const std::string id = it->path().filename().string();
    if (!IsId(id)) continue;
    std::ifstream in(it->path());
    int state = -1;
    std::string reason;
    in >> state;
    in.ignore();
    std::getline(in, reason);
    std::error_code gone;
    fs::remove(it->path(), gone);
    if (state >= static_cast<int>(job_state::State::kServed) &&
        state <= static_cast<int>(job_state::State::kFailed))
      orders.push_back({id, static_cast<job_state::State>(state), reason.substr(0, 500)});
  }
  return orders;
}

}  // namespace pearreach
