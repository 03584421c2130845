#include "worker.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace review {
namespace {

std::string ValueOf(const Message& message, const std::string& name) {
  const auto found = message.headers.find(name);
  return found == message.headers.end() ? "" : found->second;
}

std::string PathOf(const Message& message) {
  const std::size_t begin = message.first_line.find(' ') + 1;
  return message.first_line.substr(begin, message.first_line.find(' ', begin) - begin);
}

}  // namespace

bool AnswerPlain(Worker* worker, int fd, const Message& request) {
  const std::string body = "run by " + worker->id();
  return SendAll(fd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + ValueOf(request, "x-attempt-id") +
                         "\r\nX-Seal: " + worker->Seal() +
                         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

Worker::Worker(Record* record, std::string id, std::string service, std::string ip, int port,
               std::string zone)
    : record_(record),
      id_(std::move(id)),
      service_(std::move(service)),
      ip_(std::move(ip)),
      zone_(std::move(zone)),
      port_(port),
      behaviour_(AnswerPlain) {}

Worker::~Worker() {
  StopBeats();
  stopping_ = true;
  if (acceptor_.joinable()) acceptor_.join();
  if (listener_ >= 0) close(listener_);
  for (const int fd : fillers_) close(fd);
  while (open_ > 0) SleepMs(5);
}

bool Worker::Serve() {
  listener_ = Listen(ip_, port_);
  if (listener_ < 0) return false;
  acceptor_ = std::thread([this] { Accept(); });
  return true;
}

void Worker::Accept() {
  while (!stopping_ && !dark_) {
    pollfd wait{listener_, POLLIN, 0};
    if (poll(&wait, 1, 50) != 1 || dark_) continue;
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    ++open_;
    std::thread([this, fd] {
      ServeConnection(fd);
      close(fd);
      --open_;
    }).detach();
  }
}

void Worker::ServeConnection(int fd) {
  std::string buffer;
  while (!stopping_) {
    if (dark_) {
      SleepMs(20);
      continue;
    }
    if (buffer.empty()) {
      const int read = ReadSome(fd, &buffer, 50);
      if (read == -2) continue;
      if (read <= 0) return;
    }
    Message request;
    const bool complete = ReadMessage(fd, &buffer, &request, 5000);
    if (dark_) continue;
    if (!complete) return;
    if (request.first_line.rfind("GET /health ", 0) == 0) {
      record_->Add("health asked at " + id_);
      if (!SendAll(fd, "HTTP/1.1 200 OK\r\nX-Worker-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n"))
        return;
      continue;
    }
    const std::string id = ValueOf(request, "x-attempt-id");
    const std::string wanted = ValueOf(request, "x-target-worker");
    if (id.empty() || (!wanted.empty() && wanted != id_)) {
      const std::string status = id.empty() ? "400 Bad Request" : "421 Misdirected Request";
      if (!SendAll(fd, "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id +
                           "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
        return;
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_.push_back({id_, id, PathOf(request), NowMs(), request});
    }
    record_->Add("run " + id + " at " + id_);
    if (!behaviour_(this, fd, request)) return;
  }
}

std::string Worker::NextBeat(const std::string& phase) {
  const std::string body = "{\"target\":\"" + service_ + "\",\"address\":\"" + ip_ + ":" +
                           std::to_string(port_) + "\",\"zone\":\"" + zone_ +
                           "\",\"version_no\":\"v1\",\"capacity\":16,\"phase\":\"" + phase +
                           "\",\"warmup_left_ms\":0,\"call_seq\":" + std::to_string(++seq_) + "}";
  return "POST /Workers.Heartbeat/" + id_ +
         " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool Worker::Beat(const std::string& control_ip, const std::string& phase) {
  const int fd = Connect(control_ip, kControlPort, 1000);
  std::string buffer;
  Message answer;
  const bool acknowledged = fd >= 0 && SendAll(fd, NextBeat(phase)) &&
                            ReadMessage(fd, &buffer, &answer, 1000) &&
                            answer.first_line.find(" 2") == 8;
  if (fd >= 0) close(fd);
  return acknowledged;
}

bool Worker::Depart(const std::string& control_ip) {
  return Call(control_ip, kControlPort, "POST", "/Workers.Departure/" + id_, {}, "", 1000).status ==
         200;
}

void Worker::StartBeats(std::vector<std::string> control_ips, int beat_ms) {
  beats_ = true;
  beater_ = std::thread([this, control_ips = std::move(control_ips), beat_ms] {
    for (std::size_t at = 0; beats_;) {
      if (!Beat(control_ips[at % control_ips.size()], "ready")) ++at;
      for (int waited = 0; waited < beat_ms && beats_; waited += 20) SleepMs(20);
    }
  });
}

void Worker::StopBeats() {
  beats_ = false;
  if (beater_.joinable()) beater_.join();
}

void Worker::GoDark() {
  dark_ = true;
  StopBeats();
  if (acceptor_.joinable()) acceptor_.join();
  // A listener whose queue is full answers no attempt to connect.
  listen(listener_, 0);
  for (int i = 0; i < 8; ++i) {
    const int fd = Connect(ip_, port_, 100);
    if (fd < 0) break;
    fillers_.push_back(fd);
  }
  record_->Add(id_ + " is dark" + (fillers_.size() < 8 ? "" : ", but takes connections"));
}

std::vector<Run> Worker::Runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

}  // namespace review
