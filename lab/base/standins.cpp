#include "lab/base/standins.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace pearreach::lab {

bool RunUntil(const std::function<bool()>& done, Micros most) {
  const Micros end = Now() + most;
  Alarm wake([] {});
  wake.Set(end);
  while (!done() && Now() < end) g_main_context_iteration(nullptr, TRUE);
  return done();
}

std::string FreeAddress() {
  Listener listener([](std::shared_ptr<Stream>) {});
  if (!listener.Open("127.0.0.1:0").empty()) return "";
  return "127.0.0.1:" + std::to_string(listener.port());
}

// ---------------------------------------------------------------- servers

HttpServer::HttpServer(Handler handler, const std::string& address)
    : handler_(std::move(handler)), listener_([this](std::shared_ptr<Stream> stream) {
        Stream* key = stream.get();
        const auto parser = std::make_shared<http::Parser>(http::Parser::Kind::kRequest);
        streams_[key] = stream;
        stream->Listen({[] {},
                        [this, key, parser](std::string_view bytes) {
                          parser->Feed(bytes);
                          while (key->open() && parser->Next() == http::Parser::State::kMessage) {
                            const std::string answer = handler_(parser->Take(), streams_[key]);
                            if (!answer.empty() && key->open()) key->Write(answer);
                          }
                        },
                        [this, key] { streams_.erase(key); }});
      }) {
  if (const std::string wrong = listener_.Open(address); !wrong.empty())
    Log("standin_failed", {}, address + ": " + wrong);
}

std::string HttpServer::address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }

void HttpServer::CloseAll() {
  for (auto& [key, stream] : std::exchange(streams_, {})) stream->Close();
}

MatchWorker::MatchWorker(const MatchWorkerOptions& options, std::uint64_t seed)
    : options_(options),
      random_(seed),
      ended_([this] { Finish(); }),
      server_([this](const http::Message& m, const std::shared_ptr<Stream>&) { return Take(m); },
              options.listen) {}

void MatchWorker::AddNode(const std::string& name, const std::string& address) {
  nodes_[name] = std::make_unique<NewsAgent>(address);
}

std::string MatchWorker::Take(const http::Message& m) {
  const std::string* id = m.Find("X-Request-ID");
  if (m.method != "POST" || id == nullptr) return http::WriteResponse(202, {}, "", true);
  ++taken;
  // The path is /CLASS/NODE: a stand-in may serve several nodes.
  waiting_.push_back({*id, m.target.substr(m.target.rfind('/') + 1)});
  Begin();
  return http::WriteResponse(202, {}, "", true);
}

void MatchWorker::Begin() {
  while (static_cast<int>(running_.size()) < options_.slots && !waiting_.empty()) {
    Tell(waiting_.front(), "started", "");
    running_.push_back({Now() + options_.work, waiting_.front()});
    waiting_.pop_front();
  }
  if (!running_.empty()) ended_.Set(running_.front().first);
}

void MatchWorker::Finish() {
  for (; !running_.empty() && running_.front().first <= Now(); running_.pop_front()) {
    const bool fails = static_cast<double>(random_() >> 11) * 0x1p-53 < options_.fails;
    ++(fails ? failed : served);
    const std::string free = std::to_string(options_.slots - static_cast<int>(running_.size()) + 1);
    Tell(running_.front().second, fails ? "failed" : "done",
         (fails ? std::string() : R"(,"result":"matched")") + R"(,"load":{"x0":)" + free + "}");
  }
  Begin();
}

void MatchWorker::Tell(const Job& job, const std::string& state, const std::string& more) {
  const auto it = nodes_.size() == 1 ? nodes_.begin() : nodes_.find(job.node);
  if (it == nodes_.end()) return;
  it->second->Tell(job.id, R"({"id":")" + job.id + R"(","from":")" + options_.id +
                               R"(","state":")" + state + "\"" + more + "}");
}

StandInDiscovery::StandInDiscovery(const std::string& listen)
    : server_(
          [this](const http::Message& m, const std::shared_ptr<Stream>& stream) {
            if (m.target.find("timeout_ms=") == std::string::npos)
              return http::WriteResponse(200, {}, list_, true);
            watches_.push_back(stream);  // nothing ever changes: it is left open
            return std::string();
          },
          listen) {}

void StandInDiscovery::SetWorkers(const std::vector<const MatchWorker*>& workers) {
  std::vector<std::pair<std::string, std::string>> all;
  for (const MatchWorker* w : workers) all.push_back({w->options().id, w->address()});
  SetList(all, workers.empty() ? "" : workers.front()->options().kind);
}

void StandInDiscovery::SetList(const std::vector<std::pair<std::string, std::string>>& workers,
                               const std::string& kind) {
  list_ = R"({"version":1,"full":true,"servers":[)";
  for (const auto& [id, address] : workers)
    list_ += std::string(id == workers.front().first ? "" : ",") + R"({"id":")" + id +
             R"(","addr":")" + address + R"(","zone":"here","kind":")" + kind +
             R"(","cell":0,"state":"up","weight":1.0,"started_ms":0})";
  list_ += "]}";
}

// ---------------------------------------------------------------- clients

JobSource::JobSource(std::string node, std::string address, std::uint64_t seed)
    : node_(std::move(node)), address_(std::move(address)), next_id_(seed << 32) {}

void JobSource::Send(const std::string& cls) {
  Link* link = nullptr;
  for (const auto& l : links_)
    if (!l->busy && l->stream != nullptr && l->stream->open()) {
      link = l.get();
      break;
    }
  if (link == nullptr) {
    link = links_.emplace_back(std::make_unique<Link>()).get();
    link->stream =
        Stream::Connect(address_, {[] {},
                                   [this, link](std::string_view bytes) {
                                     link->parser.Feed(bytes);
                                     while (link->parser.Next() == http::Parser::State::kMessage)
                                       Done(link, link->parser.Take());
                                   },
                                   [this, link] {
                                     if (!std::exchange(link->busy, false)) return;
                                     ++broken;
                                     --open_;
                                   }});
  }
  ++sent;
  if (link->stream == nullptr) {
    ++broken;
    return;
  }
  link->busy = true;
  link->sent = Now();
  ++open_;
  char id[24];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++next_id_));
  link->stream->Write(http::WriteRequest("POST", "/" + cls + "/" + node_,
                                         {{"Host", address_},
                                          {"X-Request-ID", id},
                                          {"X-Priority-Class", cls},
                                          {"X-Tenant-Id", "acme"},
                                          {"X-Timeout", "4000m"},
                                          {"X-Attrs", "slots=1"},
                                          {"Idempotency-Key", id}},
                                         "strings to match"));
}

void JobSource::Done(Link* link, const http::Message& answer) {
  if (!std::exchange(link->busy, false)) return;
  --open_;
  if (answer.status == 200) {
    ++served;
    latencies.push_back(Now() - link->sent);
  } else {
    ++(answer.status == 429 || answer.status == 503 ? refused : failed);
    example_refusal = std::to_string(answer.status) + " " + answer.body;
  }
  if (!answer.keep_alive) link->stream->Close();
}

// ---------------------------------------------------------------- the node

NodeProcess::NodeProcess(const std::string& program, const std::string& name,
                         const std::string& folder, const std::string& discovery,
                         const std::string& operator_file, const std::string& address)
    : NodeProcess(program, name, folder, discovery, operator_file,
                  address.empty() ? FreeAddress() : address, 0) {}

NodeProcess::NodeProcess(const std::string& program, const std::string& name,
                         const std::string& folder, const std::string& discovery,
                         const std::string& operator_file, const std::string& address, int)
    : Process(Words(program, name, folder, discovery, operator_file, address),
              folder + "/" + name + ".log"),
      address_(address) {}

NodeProcess::NodeProcess(const std::string& program, const std::string& name,
                         const std::string& folder, const Own& own,
                         const std::string& operator_file, const std::string& address)
    : Process(Written(program, name, folder, own.config, operator_file),
              folder + "/" + name + ".log"),
      address_(address) {}

std::vector<std::string> NodeProcess::Written(const std::string& program, const std::string& name,
                                              const std::string& folder, const std::string& config,
                                              const std::string& operator_file) {
  const std::string file = folder + "/" + name + ".json";
  std::ofstream(file) << config;
  std::vector<std::string> words = {program, "serve", "--config", file};
  if (!operator_file.empty()) words.insert(words.end(), {"--operator", operator_file});
  return words;
}

std::vector<std::string> NodeProcess::Words(const std::string& program, const std::string& name,
                                            const std::string& folder, const std::string& discovery,
                                            const std::string& operator_file,
                                            const std::string& address) {
  std::ostringstream config;
  config
      << R"({"name":")" << name << R"(","listen":")" << address << R"(","discovery":")" << discovery
      << R"(","seed":"8c1f30d27a5be964","limits":{"sockets":4096},"settings":{)"
      << R"("Balancers":1,"Ordinal":0,"Locality":"here","Zones":["here"],"Models":["standin"],)"
      << R"("RoundMs":2.0,"Accounts":[{"Name":"acme","Fraction":1.0,"QuotaRps":10000.0}],)"
      << R"("RequestClasses":[{"Name":"commit","Effect":"once","AimMs":300.0,"DeadlineMs":5000.0,)"
      << R"("Credit":10.0,"LateValue":0.3},{"Name":"sync","Effect":"by_key","KeyScope":"cell",)"
      << R"("WindowMs":7500.0,"AimMs":200.0,"DeadlineMs":5000.0,"Credit":30.0,"LateValue":0.3}],)"
      << R"("FamilyInfo":{"ClassKind":[-1,-1],"ClassStretch":[2.0,2.0],"TellsStart":true,)"
      << R"("ProgressMs":1000.0,"ReportX0":"free slots"},"Limits":{"Cancel":true,)"
      << R"("ConnIdleMs":60000.0,"ConnectTimeoutMs":200.0,"MaxRetryAfterMs":2000.0,)"
      << R"("MayDuplicate":true,"TryLimit":3},"Contract":{"ColdMs":8000.0,"ColdShare":0.32,)"
      << R"("FallMs":1000.0,"FallMultiple":2.5,"StopSendingWithinMs":1000.0}}})";
  return Written(program, name, folder, config.str(), operator_file);
}

bool NodeProcess::Ready(Micros most) {
  const Micros end = Now() + most;
  while (Now() < end) {
    bool ready = false, over = false;
    http::Parser parser(http::Parser::Kind::kResponse);
    const auto stream =
        Stream::Connect(address_, {[] {},
                                   [&](std::string_view bytes) {
                                     parser.Feed(bytes);
                                     if (parser.Next() != http::Parser::State::kMessage) return;
                                     ready = parser.Take().status == 200;
                                     over = true;
                                   },
                                   [&] { over = true; }});
    if (stream == nullptr) return false;
    stream->Write(http::WriteRequest("GET", "/ready", {{"Host", address_}}, ""));
    RunUntil([&] { return over; }, kSecond);
    stream->Close();
    if (ready) return true;
    RunUntil([] { return false; }, 20 * kMs);
  }
  return false;
}

}  // namespace pearreach::lab
