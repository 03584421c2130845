#include "tier/coordination/membership_changes.h"

#include <utility>
#include <vector>

namespace pearreach::coordination {

void PendingChanges::Add(const std::string& name) {
  Place& place = places_[name];
  if (place.added != 0) order_.erase(place);
  place = {.sent = 0, .added = ++last_};
  order_.emplace(place, name);
}

void PendingChanges::Offer(int limit, const std::function<Fit(const std::string&)>& take) {
  std::vector<std::pair<Place, std::string>> again;
  while (!order_.empty()) {
    auto first = order_.begin();
    const Fit fit = take(first->second);
    if (fit == Fit::kTooLarge) break;
    Place place = first->first;
    ++place.sent;
    if (fit == Fit::kObsolete || place.sent >= limit) {
      places_.erase(first->second);
    } else {
      again.emplace_back(place, std::move(first->second));
    }
    order_.erase(first);
  }
  for (auto& [place, name] : again) {
    places_[name] = place;
    order_.emplace(place, std::move(name));
  }
}

}  // namespace pearreach::coordination
