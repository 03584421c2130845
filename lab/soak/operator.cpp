#include "lab/soak/operator.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <iterator>
#include <thread>

#include "lab/soak/http_connection.h"

namespace pearreach::soak {
namespace {

constexpr int kTenants = 5;
constexpr int kLimitedTenant = 1;  // all others but the hot one have no limit
constexpr Microseconds kRetry = 300 * kMillisecond;
constexpr Microseconds kFirstWithin = 30 * kSecond, kLaterWithin = 20 * kSecond;
constexpr std::size_t kMostKeys = 4;

std::uint64_t VersionIn(const std::string& text) {
  constexpr char kMember[] = "\"version_no\":";
  const std::size_t at = text.find(kMember);
  if (at == std::string::npos) return 0;
  const std::size_t from = at + sizeof kMember - 1;
  std::uint64_t number = 0;
  const bool read = absl::SimpleAtoi(
      text.substr(from, text.find_first_not_of(" 0123456789", from) - from), &number);
  return read ? number : 0;
}

Configuration FirstConfiguration() {
  Configuration configuration;
  for (int index = 0; index < kTenants; ++index) {
    Tenant& tenant = configuration.tenants[fmt::format("tenant-{}", index)];
    tenant.keys = {fmt::format("key-{}-a", index), fmt::format("key-{}-b", index)};
    if (index == kLimitedTenant) tenant.rate_per_s = 20, tenant.burst_size = 10;
  }
  configuration.tenants[kHotTenant] = {{kHotKey}, 8, 6};
  configuration.tenants[kSteadyTenant] = {{kSteadyKey}, 8, 6};
  configuration.tenants[kKeptTenant] = {{kKeptKey}, 0, 0};
  return configuration;
}

}  // namespace

Operator::Operator(std::uint64_t seed, const Fleet* fleet, ConfigurationHistory* history,
                   RequestLog* log)
    : edges_(fleet->Of(Member::Kind::kEdge)), history_(history), log_(log), random_(seed) {}

bool Operator::PutFirst() {
  const Configuration first = FirstConfiguration();
  const std::size_t place = history_->Send(first, 1);
  const Microseconds until = Now() + kFirstWithin;
  while (Now() < until) {
    if (Post(DrawEdge(), first.Json(1), 0) == 200) {
      history_->Acknowledge(place);
      Adopt(first, 1);
      return true;
    }
    SleepFor(kRetry);
  }
  return false;
}

void Operator::Run(const std::atomic<bool>& stops) {
  while (!stops) {
    // A series of changes without a pause, or a pause.
    for (int left = Draw(1, 4); left > 0 && !stops; --left) ChangeOnce();
    SleepFor(Draw(200, 4000) * kMillisecond);
  }
}

void Operator::ChangeOnce() {
  const int drawn = Draw(0, 9);
  if (drawn == 0) return SendInvalid();
  if (drawn <= 2) return SendRivals();
  const Configuration wanted = DrawChange();
  const std::uint64_t number = number_ + static_cast<std::uint64_t>(Draw(1, 3));
  const Outcome outcome = Put(wanted, number_, number, DrawEdge(), Draw(0, 3) == 0);
  if (outcome == Outcome::kTaken) return Adopt(wanted, number);
  CatchUp();
}

void Operator::SendInvalid() {
  Configuration invalid = current_;
  invalid.tenants["tenant-0"].keys.insert(kHotKey);  // now of two tenants
  const std::uint64_t number = number_ + 1;
  const std::size_t place = history_->Send(invalid, number);
  const int status = Post(DrawEdge(), invalid.Json(number), number_);
  history_->Refuse(place);
  log_->Count(fmt::format("invalid change {}", status));
  if (status == 200) log_->Find("CONFIG", "a version in which two tenants share a key was taken");
}

void Operator::SendRivals() {
  log_->Count("two versions on one parent");
  const Configuration one = DrawChange(), other = DrawChange();
  const std::uint64_t parent = number_;
  const std::size_t first_edge = DrawEdge(), second_edge = DrawEdge();
  Outcome of_other = Outcome::kUnknown;
  std::thread rival(
      [&] { of_other = Put(other, parent, parent + 2, second_edge, /*repeat=*/false); });
  const Outcome of_one = Put(one, parent, parent + 1, first_edge, /*repeat=*/false);
  rival.join();
  if (of_one == Outcome::kTaken && of_other == Outcome::kTaken)
    log_->Find("CONFIG", fmt::format("two versions on parent {} were taken", parent));
  if (of_one == Outcome::kTaken) return Adopt(one, parent + 1);
  if (of_other == Outcome::kTaken) return Adopt(other, parent + 2);
  CatchUp();
}

Configuration Operator::DrawChange() {
  Configuration wanted = current_;
  const auto draw_tenant = [&] { return fmt::format("tenant-{}", Draw(0, kTenants - 1)); };
  Tenant& tenant = wanted.tenants[draw_tenant()];
  switch (Draw(0, 5)) {
    case 0:
    case 1:
      log_->Count("change: key added");
      tenant.keys.insert(NewKey());
      if (tenant.keys.size() > kMostKeys) tenant.keys.erase(tenant.keys.begin());
      break;
    case 2:
      log_->Count("change: key withdrawn");
      if (tenant.keys.size() > 1)
        tenant.keys.erase(
            std::next(tenant.keys.begin(), Draw(0, static_cast<int>(tenant.keys.size()) - 1)));
      else
        tenant.keys = {NewKey()};
      break;
    case 3: {
      log_->Count("change: key passed on");
      const std::string key = *tenant.keys.begin();
      tenant.keys.erase(key);
      if (tenant.keys.empty()) tenant.keys.insert(NewKey());
      wanted.tenants[draw_tenant()].keys.insert(key);
      break;
    }
    case 4:
      log_->Count("change: limit");
      wanted.tenants[kHotTenant].rate_per_s = Draw(4, 20);
      wanted.tenants[kHotTenant].burst_size = Draw(0, 20);
      break;
    default:
      log_->Count("change: route");
      wanted.has_extra_route = !wanted.has_extra_route;
  }
  return wanted;
}

Operator::Outcome Operator::Put(const Configuration& configuration, std::uint64_t parent,
                                std::uint64_t number, std::size_t edge, bool repeat) {
  const std::string text = configuration.Json(number);
  const std::size_t place = history_->Send(configuration, number);
  const Microseconds until = Now() + kLaterWithin;
  while (Now() < until) {
    const int status = Post(edge, text, parent);
    if (status == 200) {
      history_->Acknowledge(place);
      if (repeat) log_->Count("same version again"), Post((edge + 1) % edges_.size(), text, parent);
      return Outcome::kTaken;
    }
    if (status == 400 || status == 412) {
      history_->Refuse(place);
      return Outcome::kRefused;
    }
    edge = (edge + 1) % edges_.size();
    SleepFor(kRetry);
  }
  log_->Count("change of unknown outcome");
  return Outcome::kUnknown;
}

int Operator::Post(std::size_t edge, const std::string& text, std::uint64_t parent) {
  HttpConnection connection(edges_[edge]->ip(), kControlPort);
  HttpRequest request{"POST", "/Config.Replace", {}, text};
  request.headers = {{"X-Parent-Version", fmt::format("{}", parent)},
                     {"Content-Type", "application/json"}};
  const int status = connection.Ask(request).status;
  log_->Count(fmt::format("Config.Replace {}", status));
  return status;
}

bool Operator::Reads() {
  HttpConnection connection(edges_[DrawEdge()]->ip(), kControlPort);
  const HttpAnswer answer = connection.Ask({"GET", "/Config.Read", {}, ""});
  if (answer.status != 200) return false;
  number_ = VersionIn(answer.body);
  return true;
}

void Operator::Adopt(const Configuration& configuration, std::uint64_t number) {
  current_ = configuration;
  number_ = number;
}

void Operator::CatchUp() {
  const Microseconds until = Now() + kLaterWithin;
  while (Now() < until) {
    if (Reads()) {
      for (const Version& version : history_->All())
        if (!version.refused && version.number == number_) current_ = version.configuration;
      return;
    }
    SleepFor(kRetry);
  }
}

std::string Operator::NewKey() { return fmt::format("key-new-{}", ++keys_made_); }

std::size_t Operator::DrawEdge() {
  return static_cast<std::size_t>(Draw(0, static_cast<int>(edges_.size()) - 1));
}

int Operator::Draw(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random_);
}

}  // namespace pearreach::soak
