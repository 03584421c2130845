// Scripted peers of a node for tests over loopback sockets: workers, discovery and callers. They
// run on the main loop of the test.
#ifndef PEARREACH_TESTS_NODE_ENGINE_RIG_H_
#define PEARREACH_TESTS_NODE_ENGINE_RIG_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/event_loop/io.h"
#include "common/http/http.h"
#include "lab/base/standins.h"

namespace pearreach::rig {

using http::Message;
using Replies = std::function<std::string(const Message&)>;  // empty: no response

inline void RunUntil(const std::function<bool()>& done, Micros most = 20 * kSecond) {
  lab::RunUntil(done, most);
}
inline void RunFor(Micros time) {
  RunUntil([] { return false; }, time);
}

// A scripted worker or discovery, which records the requests that it receives.
class Server {
 public:
  explicit Server(Replies replies)
      : replies_(std::move(replies)),
        server_([this](const Message& m, const std::shared_ptr<Stream>& stream) {
          if (std::find(streams.begin(), streams.end(), stream) == streams.end())
            streams.push_back(stream);
          got.push_back(m);
          return replies_(got.back());
        }) {}
  std::string address() const { return server_.address(); }
  void CloseAll() { server_.CloseAll(); }
  std::vector<Message> got;
  std::vector<std::shared_ptr<Stream>> streams;  // those that have received a request

 private:
  Replies replies_;
  lab::HttpServer server_;
};

inline const std::string kAccepted = http::WriteResponse(202, {}, "", true);
inline std::string Accept(const Message&) { return kAccepted; }
inline std::string Silent(const Message&) { return ""; }

class Caller {
 public:
  explicit Caller(int port) {
    stream = Stream::Connect("127.0.0.1:" + std::to_string(port),
                             {[] {},
                              [this](std::string_view bytes) {
                                parser_.Feed(bytes);
                                while (parser_.Next() == http::Parser::State::kMessage)
                                  answers.push_back(parser_.Take());
                              },
                              [this] { closed = true; }});
  }
  ~Caller() { stream->Close(); }
  void SendJob(const std::string& id, const std::string& cls = "commit",
               const std::string& timeout = "5000m", std::string headers = "") {
    headers += "X-Request-ID: " + id + "\r\nX-Priority-Class: " + cls +
               "\r\nX-Timeout: " + timeout +
               "\r\nX-Attrs: slots=1\r\nContent-Length: 4\r\n\r\nbody";
    stream->Write("POST /" + cls + "/x?y=1 HTTP/1.1\r\nHost: a\r\n" + headers);
  }
  void SendUpdate(const std::string& id, const std::string& from, const std::string& state) {
    stream->Write(http::WriteRequest("POST", "/_jobs/news", {},
                                     R"({"id":")" + id + R"(","from":")" + from + R"(","state":")" +
                                         state + R"(","result":"r-)" + id + "\"}"));
  }
  // Waits for answer number `n` and returns its status; 0 if none came.
  int Status(std::size_t n = 0) {
    RunUntil([&] { return answers.size() > n || closed; });
    return answers.size() > n ? answers[n].status : 0;
  }
  std::shared_ptr<Stream> stream;
  std::vector<Message> answers;
  bool closed = false;

 private:
  http::Parser parser_{http::Parser::Kind::kResponse};
};

}  // namespace pearreach::rig

#endif  // PEARREACH_TESTS_NODE_ENGINE_RIG_H_
