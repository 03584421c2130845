// Bytes as clients, workers, operators, other nodes and disks might have them, to each reader of
// the serving tier: nothing may end the process, and nothing may read differently when it is cut
// into pieces elsewhere. The first byte picks the reader.
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tier/batch/batch_job_json.h"
#include "tier/batch/batch_job_state.h"
#include "tier/batch/messages.h"
#include "tier/control/messages.h"
#include "tier/coordination/chain_messages.h"
#include "tier/coordination/membership.h"
#include "tier/proxy/event_splitter.h"
#include "tier/proxy/prompt_headers.h"
#include "tier/proxy/response_reader.h"
#include "tier/registry/worker_messages.h"
#include "tier/registry/worker_registry.h"
#include "tier/routing/route_table.h"
#include "tier/rpc/frame.h"
#include "tier/settings/node_settings.h"

namespace {

using namespace pearreach;

// What a reader of answers tells, as one text.
struct Collector : proxy::ResponseSink {
  std::string seen;
  bool OnResponseHead(proxy::ResponseHead head) override {
    seen += "head " + std::to_string(head.status) + "\n";
    return true;
  }
  bool OnResponseBody(std::string_view bytes) override {
    seen += bytes;
    return true;
  }
};

std::string ReadResponse(const std::vector<std::string_view>& pieces) {
  Collector collector;
  proxy::ResponseReader reader(&collector);
  reader.Start(false);
  for (std::string_view piece : pieces) {
    const auto status = reader.Feed(&piece);
    if (status == proxy::ResponseReader::Status::kBad) return "bad";
    if (status == proxy::ResponseReader::Status::kDone) return collector.seen + "done";
  }
  return collector.seen;
}

void Answer(std::string_view bytes) {
  const std::size_t middle = bytes.size() / 2;
  const std::string whole = ReadResponse({bytes});
  if (ReadResponse({bytes.substr(0, middle), bytes.substr(middle)}) != whole) std::abort();
}

// What a splitter tells of a stream: each event's id and bytes, then the bytes after the last
// event.
struct SplitStream {
  std::vector<std::pair<std::optional<std::uint64_t>, std::string>> events;
  std::string rest;
  bool inside_event = false;
  bool operator==(const SplitStream&) const = default;
};

// An event whose last byte so far is a CR is delivered at once, so the line feed of the same line
// end may come with the bytes that follow. It is counted to the line that it ends.
void MoveLineFeedsToTheirLines(SplitStream* stream) {
  for (std::size_t i = 0; i < stream->events.size(); ++i) {
    std::string& bytes = stream->events[i].second;
    std::string& next = i + 1 < stream->events.size() ? stream->events[i + 1].second : stream->rest;
    if (!bytes.ends_with('\r') || !next.starts_with('\n')) continue;
    bytes += '\n';
    next.erase(0, 1);
  }
}

SplitStream ReadEvents(const std::vector<std::string_view>& pieces) {
  proxy::EventSplitter splitter;
  SplitStream stream;
  proxy::StreamEvent event;
  for (const std::string_view piece : pieces) {
    splitter.Append(piece);
    while (splitter.Next(&event)) stream.events.emplace_back(event.id, event.bytes);
  }
  stream.rest = splitter.Rest();
  stream.inside_event = splitter.InsideEvent();
  MoveLineFeedsToTheirLines(&stream);
  return stream;
}

void Events(std::string_view bytes) {
  const SplitStream whole = ReadEvents({bytes});
  std::string passed;
  for (const auto& [id, event] : whole.events) passed += event;
  if (passed + whole.rest != bytes) std::abort();
  const std::size_t step = bytes.size() / 64 + 1;  // short streams are cut at each byte
  for (std::size_t cut = 0; cut < bytes.size(); cut += step)
    if (ReadEvents({bytes.substr(0, cut), bytes.substr(cut)}) != whole) std::abort();
}

void Frames(std::string_view bytes) {
  rpc::FrameReader reader;
  rpc::Frame frame;
  reader.Feed(bytes);
  while (reader.Next(&frame) == rpc::FrameReader::State::kFrame) {
    std::string again;
    rpc::AppendFrame(frame, &again);
    if (again.size() != rpc::kFrameHeaderBytes + frame.body.size()) std::abort();
  }
}

void Datagrams(std::string_view bytes) {
  coordination::MembershipOptions options;
  options.self.name = "self";
  options.self.address = "10.0.0.1:1";
  options.self.incarnation = 5;
  coordination::Membership membership(options, 1, 0);
  std::vector<coordination::Datagram> out;
  membership.Receive(1, "10.0.0.2", bytes, &out);
  membership.Tick(1'000'000, &out);
  const auto self = membership.members().find("self");
  if (self == membership.members().end()) std::abort();
  if (self->second.status != coordination::MemberStatus::kAlive) std::abort();
}

template <class Message>
void AsMessage(std::string_view bytes) {
  (void)codec::Decode<Message>(bytes);
}

using Reader = void (*)(std::string_view);
constexpr Reader kReaders[] = {
    Answer,
    Events,
    Frames,
    Datagrams,
    [](std::string_view bytes) { (void)coordination::chain::DecodeEnvelope(bytes); },
    [](std::string_view bytes) { (void)routing::RouteTable::Parse(std::string(bytes)); },
    [](std::string_view bytes) { (void)settings::ParseSettings(std::string(bytes)); },
    [](std::string_view bytes) { (void)batch::ParseItems(std::string(bytes)); },
    [](std::string_view bytes) { (void)batch::UnpackResult(bytes); },
    [](std::string_view bytes) { (void)registry::ParseHeartbeat("w", std::string(bytes), 0); },
    [](std::string_view bytes) {
      (void)proxy::TokenCount(bytes);
      (void)proxy::PrefixKey("m", bytes);
    },
    AsMessage<registry::WorkerUpdate>,
    AsMessage<registry::DisseminateRequest>,
    AsMessage<registry::DisseminateResponse>,
    AsMessage<registry::DigestResponse>,
    AsMessage<registry::RepairRequest>,
    AsMessage<registry::RepairResponse>,
    AsMessage<batch::PlacementTable>,
    AsMessage<batch::CreateBatchJob>,
    AsMessage<batch::PullItems>,
    AsMessage<batch::ItemResult>,
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  kReaders[data[0] % std::size(kReaders)](bytes);
  return 0;
}
