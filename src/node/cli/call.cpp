#include "node/cli/call.h"

#include <gio/gio.h>

#include <cstdlib>

#include "common/http/http.h"
#include "node/cli/cli.h"

namespace pearreach::cli {
namespace {

constexpr guint kPatience = 5;  // seconds for a call
constexpr std::size_t kMaxAnswer = 1 << 20;

}  // namespace

bool ReadDoorCall(cxxopts::Options* options, int argc, char** argv, DoorCall* call) {
  options->add_options()("words", "", cxxopts::value<std::vector<std::string>>())(
      "door", "the operators' door of a node, ip:port; $EDGE_OPERATOR if not given",
      cxxopts::value<std::string>()->default_value(""), "ADDRESS");
  options->parse_positional({"words"});
  bool done = false;
  call->args = Parse(options, argc, argv, &done);
  if (done) return false;
  if (call->args.count("words") > 0)
    call->words = call->args["words"].as<std::vector<std::string>>();
  call->door = call->args["door"].as<std::string>();
  if (const char* set = std::getenv("EDGE_OPERATOR"); call->door.empty() && set != nullptr)
    call->door = set;
  return true;
}

int CallDoor(const std::string& door, const std::string& method, const std::string& target,
             const std::string& said, std::string* body) {
  GError* error = nullptr;
  GSocketClient* client = g_socket_client_new();
  g_socket_client_set_timeout(client, kPatience);
  GSocketConnection* connection =
      g_socket_client_connect_to_host(client, door.c_str(), 0, nullptr, &error);
  int status = 0;
  const auto fail = [&] {
    *body = error == nullptr ? "no answer" : error->message;
    g_clear_error(&error);
  };
  if (connection == nullptr) {
    fail();
  } else {
    const std::string call = http::WriteRequest(method, target, {{"Host", "door"}}, said);
    GOutputStream* out = g_io_stream_get_output_stream(G_IO_STREAM(connection));
    GInputStream* in = g_io_stream_get_input_stream(G_IO_STREAM(connection));
    if (!g_output_stream_write_all(out, call.data(), call.size(), nullptr, nullptr, &error)) {
      fail();
    } else {
      http::Parser parser(http::Parser::Kind::kResponse, http::Limits{.body = kMaxAnswer});
      char bytes[4096];
      *body = "no answer";
      for (gssize n; (n = g_input_stream_read(in, bytes, sizeof bytes, nullptr, &error)) > 0;) {
        parser.Feed({bytes, static_cast<std::size_t>(n)});
        const http::Parser::State state = parser.Next();
        if (state == http::Parser::State::kMore) continue;
        if (state == http::Parser::State::kMessage) {
          const http::Message message = parser.Take();
          status = message.status;
          *body = message.body;
        }
        break;
      }
      if (error != nullptr) fail();
    }
    g_object_unref(connection);
  }
  g_object_unref(client);
  return status;
}

}  // namespace pearreach::cli
