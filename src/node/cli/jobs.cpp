// The sub-command jobs: looks at a store of durable jobs and settles doubts. It owns the words that
// it prints; it must never change a store that a node has open but by an order that the node
// carries out itself.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <filesystem>
#include <functional>
#include <iostream>

#include "dispatch/settings/settings_reader.h"
#include "node/cli/cli.h"
#include "node/durable_jobs/orders.h"
#include "node/job_state/ledger.h"
#include "node/job_store/store.h"

namespace pearreach::cli {
namespace {

using job_state::Job;
using Json = rapidjson::Writer<rapidjson::StringBuffer>;

void Put(Json& json, const char* key, const std::string& value) {
  json.Key(key);
  json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

std::string JsonOf(const Job& job, bool whole) {
  static constexpr const char* kRan[] = {"out", "never", "maybe", "said its end", "fenced off"};
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  Put(json, "id", job.id);
  Put(json, "request", job.request_id);
  Put(json, "state", job_state::kStateNames[static_cast<int>(job.state)]);
  Put(json, "class", job.cls);
  Put(json, "account", job.tenant);
  json.Key("created_s");
  json.Double(static_cast<double>(job.created) / 1e6);
  json.Key("due_s");
  json.Double(static_cast<double>(job.due) / 1e6);
  if (!job.reason.empty()) Put(json, "reason", job.reason);
  if (whole && job.state == job_state::State::kServed) Put(json, "result", job.result);
  json.Key("attempts");
  json.StartArray();
  for (const job_state::Attempt& a : job.attempts) {
    json.StartObject();
    Put(json, "worker", a.worker);
    Put(json, "ran", kRan[static_cast<int>(a.execution)]);
    json.Key("fence");
    json.Uint64(a.fence);
    json.Key("knows_fences");
    json.Bool(a.knows_fences);
    json.Key("sent_s");
    json.Double(static_cast<double>(a.sent) / 1e6);
    json.Key("lease_until_s");
    json.Double(static_cast<double>(a.lease_until) / 1e6);
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  return buffer.GetString();
}

// One line for a machine: the members that `put` writes.
void PrintJson(const std::function<void(Json&)>& put) {
  rapidjson::StringBuffer buffer;
  Json json(buffer);
  json.StartObject();
  put(json);
  json.EndObject();
  std::puts(buffer.GetString());
}

std::unique_ptr<job_store::Store> Open(const std::string& path) {
  if (!std::filesystem::exists(path))
    throw job_store::StoreError(path + ": there is no such store");
  return job_store::OpenSqlite({.path = path, .owner = "", .read_only = true, .fault = {}});
}

int List(const std::string& path, const std::string& state, bool as_json) {
  std::uint64_t shown = 0;
  Open(path)->Load([&](const Job& j) {
    const char* name = job_state::kStateNames[static_cast<int>(j.state)];
    if (!state.empty() && state != name) return;
    ++shown;
    if (as_json)
      std::puts(JsonOf(j, false).c_str());
    else
      std::printf("%s  %-9s  %-16s %-12s %zu attempts%s%s\n", j.id.c_str(), name, j.cls.c_str(),
                  j.tenant.c_str(), j.attempts.size(), j.reason.empty() ? "" : ": ",
                  j.reason.c_str());
  });
  if (!as_json) std::printf("%llu jobs\n", static_cast<unsigned long long>(shown));
  std::fflush(stdout);
  return kGood;
}

// By its public id, or by its request's.
std::optional<Job> FindJob(const std::string& path, const std::string& id) {
  const auto store = Open(path);
  for (const job_store::Question& question :
       {job_store::Question(job_store::ById{id}), job_store::Question(job_store::ByRequest{id})}) {
    job_store::Found found = store->AskNow(question);
    if (!found.error.empty()) throw job_store::StoreError(path + ": " + found.error);
    if (!found.jobs.empty()) return std::move(found.jobs.front());
  }
  return std::nullopt;
}

int Show(const std::string& path, const std::string& id) {
  if (const auto job = FindJob(path, id)) return std::puts(JsonOf(*job, true).c_str()), kGood;
  std::cerr << "pearreach: " << path << ": no job " << id << '\n';
  return kNo;
}

// Where no node has the store, here; else by an order, waited for.
int Resolve(const std::string& path, const std::string& id, const std::string& as,
            const std::string& reason, bool as_json) {
  job_state::State state{};
  if (as == "served")
    state = job_state::State::kServed;
  else if (as == "failed")
    state = job_state::State::kFailed;
  else if (as == "refused")
    state = job_state::State::kRefused;
  else
    throw dispatch::Malformed("--as wants served, failed or refused, not '" + as + "'");
  std::optional<Job> job = FindJob(path, id);
  if (!job || job->id != id || job->state != job_state::State::kInDoubt) {
    std::cerr << "pearreach: " << path << ": no job " << id << " in doubt\n";
    return kNo;
  }
  try {
    const auto store = job_store::OpenSqlite({.path = path, .owner = "person", .fault = {}});
    job->state = state;
    job->reason = reason;
    job->ended = static_cast<job_state::UnixMicros>(std::time(nullptr)) * 1'000'000;
    job_state::ScheduleAfterEnd(&*job, {}, job->ended, 0);
    store->Submit({{job_store::PutJob{*job}}, nullptr});
  } catch (const job_store::StoreError&) {  // a node has it
    WriteOrder(path, {id, state, reason});
    for (int i = 0; i < 100 && OrderWaits(path, id); ++i) usleep(100'000);
    if (OrderWaits(path, id)) {
      std::cerr << "pearreach: the order is written; the node has not carried it out yet\n";
      return kNo;
    }
  }
  for (int i = 0; i < 50; ++i, usleep(100'000))  // the node writes it after it has taken the order
    if (job = FindJob(path, id); job && job->state == state)
      return as_json ? std::puts(JsonOf(*job, true).c_str())
                     : std::printf("%s is %s now\n", id.c_str(), as.c_str()),
             kGood;
  std::cerr << "pearreach: " << id << " could not be settled: it is no longer in doubt\n";
  return kNo;
}

}  // namespace

int JobsTools(int argc, char** argv) {
  cxxopts::Options options(
      "pearreach jobs",
      "Durable jobs in a store, of a node that runs or one that does not:\n"
      "  list [--state S], show ID, export, resolve ID --as served|failed|refused,\n"
      "  verify, compact. Exit code 1: no such job, or the store is not sound.");
  options.add_options()("words", "", cxxopts::value<std::vector<std::string>>())(
      "store", "the store's file", cxxopts::value<std::string>(), "FILE")(
      "state", "only jobs in this state, e.g. 'in doubt'",
      cxxopts::value<std::string>()->default_value(""), "S")(
      "as", "resolve: what the job is taken for", cxxopts::value<std::string>()->default_value(""),
      "STATE")("reason", "resolve: for those who read it later",
               cxxopts::value<std::string>()->default_value("settled by a person"),
               "TEXT")("json", "print JSON: a job a line, or one object for verify and compact");
  options.parse_positional({"words"});
  options.positional_help("WHAT [ID]");
  bool done = false;
  const auto args = Parse(&options, argc, argv, &done);
  if (done) return kGood;
  const auto words = args.count("words") > 0 ? args["words"].as<std::vector<std::string>>()
                                             : std::vector<std::string>();
  const std::string what = words.empty() ? "" : words[0];
  const bool named = what == "show" || what == "resolve";
  if (what != "list" && what != "export" && what != "verify" && what != "compact" && !named)
    throw dispatch::Malformed("jobs wants list, show, export, resolve, verify or compact");
  if (words.size() != (named ? 2u : 1u))
    throw dispatch::Malformed(named ? "jobs " + what + " wants one ID" : "too many arguments");
  if (args.count("store") == 0) throw dispatch::Malformed("no --store FILE");
  const std::string path = args["store"].as<std::string>();
  const bool as_json = args.count("json") > 0;
  try {
    if (what == "list") return List(path, args["state"].as<std::string>(), as_json);
    if (what == "show") return Show(path, words[1]);
    if (what == "export") {
      Open(path)->Load([](const Job& j) { std::puts(JsonOf(j, true).c_str()); });
      return kGood;
    }
    if (what == "resolve")
      return Resolve(path, words[1], args["as"].as<std::string>(), args["reason"].as<std::string>(),
                     as_json);
    if (!std::filesystem::exists(path))
      throw job_store::StoreError(path + ": there is no such store");
    if (what == "verify") {
      const auto wrong = job_store::VerifySqlite(path);
      if (as_json)
        PrintJson([&](Json& json) {
          Put(json, "store", path);
          json.Key("sound");
          json.Bool(wrong.empty());
          json.Key("wrong");
          json.StartArray();
          for (const std::string& line : wrong) json.String(line.c_str());
          json.EndArray();
        });
      else
        for (const std::string& line : wrong) std::cout << path << ": " << line << '\n';
      if (wrong.empty() && !as_json) std::cout << path << ": sound\n";
      return wrong.empty() ? kGood : kNo;
    }
    const auto [before, after] = job_store::CompactSqlite(path);
    if (as_json)
      PrintJson([&, before = before, after = after](Json& json) {
        Put(json, "store", path);
        json.Key("bytes_before");
        json.Uint64(before);
        json.Key("bytes_after");
        json.Uint64(after);
      });
    else
      std::cout << path << ": " << before << " bytes, now " << after << '\n';
    return kGood;
  } catch (const job_store::StoreError& wrong) {
    std::cerr << "pearreach: " << wrong.what() << '\n';
    return kUsage;
  }
}

}  // namespace pearreach::cli
