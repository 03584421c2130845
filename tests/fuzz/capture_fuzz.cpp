// libFuzzer target for the reader of captures. Half of the inputs are a file as it stands; the
// other half are put into blocks with good checksums, so that what lies behind these is reached
// too.
#include <cstdint>
#include <string>

#include "dispatch/policy/checkpoint.h"
#include "lab/world/world.h"
#include "node/capture/audit.h"
#include "node/capture/explain.h"
#include "node/capture/replay.h"

using namespace pearreach;

namespace {

std::string Wrap(std::string_view input) {
  capture::Origin origin;
  origin.settings = lab::BaseSettings();
  origin.workers = {"s-0", "s-1", "s-2", "s-3"};
  capture::BlockWriter blocks;
  std::string file = capture::BlockWriter::FileHeader();
  // The second byte cuts the input into a checkpoint, where there is one, and turns.
  const std::size_t at = std::min<std::size_t>(input.size(), input.empty() ? 0 : 1 + input[0] % 64);
  if (at > 1) {
    origin.layout = dispatch::Checkpoint::Layout();
    dispatch::Dispatcher fresh(origin.Site().settings, 1, 0);
    std::string state = dispatch::Checkpoint::Save(fresh);
    for (std::size_t i = 1; i + 1 < at; i += 2)  // a few bytes of a good one changed
      state[(static_cast<unsigned char>(input[i]) * 37u) % state.size()] = input[i + 1];
    blocks.Append(capture::BlockType::kHead, 0, capture::WriteOrigin(origin), &file);
    blocks.Append(capture::BlockType::kCheckpoint, 0, state, &file);
  } else {
    blocks.Append(capture::BlockType::kHead, 0, capture::WriteOrigin(origin), &file);
  }
  blocks.Append(capture::BlockType::kTurns, 0, input.substr(at), &file);
  return file;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  if (input.empty()) return 0;
  const std::string file =
      (input[0] & 1) != 0 ? std::string(input.substr(1)) : Wrap(input.substr(1));
  try {
    capture::Segment replayed(file, "fuzz"), audited(file, "fuzz"), told(file, "fuzz");
    capture::Replay(&replayed, {});
    capture::RunAudit(&audited);
    capture::Explain(&told, {"s-1", ""}, {}, [](const capture::Line&) {});
  } catch (const capture::Unreadable&) {
  }
  return 0;
}
