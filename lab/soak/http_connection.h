// A blocking HTTP/1.1 client on one connection that is kept open until its other end closes it.
#ifndef PEARREACH_LAB_SOAK_HTTP_CONNECTION_H_
#define PEARREACH_LAB_SOAK_HTTP_CONNECTION_H_

#include <string>
#include <utility>
#include <vector>

namespace pearreach::soak {

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct HttpAnswer {
  int status = 0;         // 0: no head of an answer came
  int error = 0;          // errno of the read that failed; 0: the other end closed
  bool complete = false;  // the body came as a whole
  bool timed_out = false;
  bool sent = false;  // the whole request has been handed to the connection
  std::string head, body;
};

// The bytes of the request, with a Content-Length.
std::string BytesOf(const HttpRequest& request);

class HttpConnection {
 public:
  HttpConnection(std::string ip, int port) : ip_(std::move(ip)), port_(port) {}
  ~HttpConnection() { Close(); }
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Connects if there is no connection; false: nobody listens.
  bool Connect();
  // Sends on the connection and waits for the whole answer, 10 s at most for each part of it.
  HttpAnswer Ask(const HttpRequest& request);
  // The two halves of Ask, for requests in pieces and several at once. The connection stays open
  // until an answer says that it ends.
  bool Send(const std::string& bytes);
  HttpAnswer ReadAnswer();
  void Close();
  bool open() const { return descriptor_ >= 0; }

 private:
  bool ReadMore(HttpAnswer* answer);
  bool ReadBody(HttpAnswer* answer);
  bool ReadChunks(HttpAnswer* answer);

  const std::string ip_;
  const int port_;
  int descriptor_ = -1;
  std::string buffer_;
};

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_HTTP_CONNECTION_H_
