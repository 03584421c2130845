#include "tier/control/api_router.h"

#include <map>
#include <optional>
#include <utility>

#include "tier/control/api_responses.h"

namespace pearreach::control {
namespace {

constexpr std::string_view kCapture = "*";

// Takes the first segment off a path that begins with '/'.
std::string_view TakeSegment(std::string_view* path) {
  path->remove_prefix(1);
  const std::string_view segment = path->substr(0, path->find('/'));
  path->remove_prefix(segment.size());
  return segment;
}

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return -1;
}

std::optional<std::string> Decoded(std::string_view segment) {
  std::string text;
  text.reserve(segment.size());
  for (std::size_t i = 0; i < segment.size(); ++i) {
    if (segment[i] != '%') {
      text += segment[i];
      continue;
    }
    if (i + 2 >= segment.size()) return std::nullopt;
    const int high = HexValue(segment[i + 1]), low = HexValue(segment[i + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    text += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return text;
}

}  // namespace

// Tests one segment of the path; where the path ends here, the method.
struct ApiRouter::Node {
  std::map<std::string, std::unique_ptr<Node>, std::less<>> segments;
  std::unique_ptr<Node> capture;  // takes any last segment that is not empty
  std::map<std::string, CallHandler, std::less<>> methods;

  Node* Child(std::string_view segment) {
    std::unique_ptr<Node>& child = segment == kCapture ? capture : segments[std::string(segment)];
    if (child == nullptr) child = std::make_unique<Node>();
    return child.get();
  }

  // Null: no leaf takes this path. `argument` is set to what was captured.
  const Node* Find(std::string_view path, std::string_view* argument) const {
    if (path.empty()) return methods.empty() ? nullptr : this;
    const std::string_view segment = TakeSegment(&path);
    const auto found = segments.find(segment);
    if (found != segments.end()) {
      const Node* leaf = found->second->Find(path, argument);
      if (leaf != nullptr) return leaf;
    }
    if (capture == nullptr || segment.empty() || !path.empty()) return nullptr;
    *argument = segment;
    return capture.get();
  }

  std::string Allowed() const {
    std::string allowed;
    for (const auto& [method, handler] : methods) {
      if (!allowed.empty()) allowed += ", ";
      allowed += method;
    }
    return allowed;
  }
};

ApiRouter::ApiRouter() : root_(std::make_unique<Node>()) {}
ApiRouter::~ApiRouter() = default;

void ApiRouter::Add(std::string_view method, std::string_view pattern, CallHandler handler) {
  Node* node = root_.get();
  while (!pattern.empty()) node = node->Child(TakeSegment(&pattern));
  node->methods[std::string(method)] = std::move(handler);
}

void ApiRouter::Dispatch(std::shared_ptr<http_server::Exchange> exchange) const {
  const http::Message& request = exchange->request();
  const std::string_view path = PathOf(request.target);
  std::string_view captured;
  const Node* leaf = path.empty() || path.front() != '/' ? nullptr : root_->Find(path, &captured);
  if (leaf == nullptr) return RespondError(exchange.get(), 404, "no such call");
  const auto found = leaf->methods.find(request.method);
  if (found == leaf->methods.end()) {
    return RespondError(exchange.get(), 405, "no such method here", {{"Allow", leaf->Allowed()}});
  }
  const std::optional<std::string> argument = Decoded(captured);
  if (!argument.has_value()) {
    return RespondError(exchange.get(), 400, "the path's last part is not encoded properly");
  }
  found->second(std::move(exchange), *argument);
}

}  // namespace pearreach::control
