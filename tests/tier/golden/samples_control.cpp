// Messages between control nodes, and what nodes tell one another of workers.
#include "samples.h"
#include "tier/control/messages.h"
#include "tier/registry/worker_messages.h"

namespace pearreach::golden {
namespace {

using control::DiskUse;

control::WriteRequest SomeWrite() {
  const coordination::ChangeId change_id{31, 32, 33};
  return {{"config", 34, "new value", {"fence-key", 35}, change_id}, 36, 37};
}

registry::WorkerUpdate SomeUpdate() {
  using registry::WorkerPhase;
  registry::WorkerUpdate update;
  update.items = {
      {{"w1", "service", "10.0.0.1:80", "zone", 5, WorkerPhase::kDraining, 6, 7, "taker", 8, true},
       9,
       10,
       true},
      {{"w2", "other", "10.0.0.2:81", "far", 11, WorkerPhase::kGone, 12, 13, "node", 14, false},
       15,
       16,
       false}};
  return update;
}

}  // namespace

Samples ControlSamples() {
  using namespace control;
  const Revisions revisions{{"config", 5}, {"stores", 6}};
  const coordination::ChangeId change_id{7, 8, 9};
  return {
      Coded("control.poll_request", PollRequest{{3, 4}, revisions, false}),
      Coded("control.read_request", ReadRequest{revisions, 1500, change_id, true}),
      Coded("control.read_request.no_mark", ReadRequest{revisions, 1500, std::nullopt, true}),
      Coded("control.state_entry", StateEntry{"key", "value", 18}),
      Coded("control.state_update", StateUpdate{true,
                                                {10, 11},
                                                {{"config", "{}", 12}, {"stores", "s", 13}},
                                                coordination::ChangeHistoryStatus::kOther}),
      Coded("control.write_request", SomeWrite()),
      Coded("control.write_answer", WriteResponse{4, 14, "hint"}),
      // Of two flags side by side one is set at a time, so that they cannot change places.
      Coded("control.chain_envelope.sign",
            ChainEnvelope{"from", "bytes", true, false, "disk", DiskUse{15, 16, 17}}),
      Coded("control.chain_envelope.leaving",
            ChainEnvelope{"from", "bytes", false, true, "disk", DiskUse{15, 16, 17}}),
      Coded("control.sign_answer.leaving",
            HeartbeatResponse{
                "name", {"a", "b"}, true, 19, false, "disk", {20, 21, 22}, {23, 24, 25}}),
      Coded("control.sign_answer.agreeing",
            HeartbeatResponse{
                "name", {"a", "b"}, false, 19, true, "disk", {20, 21, 22}, {23, 24, 25}}),
  };
}

Samples RegistrySamples() {
  using namespace registry;
  RepairRequest repair;
  repair.shards = {{3, {{4, 5}, {6, 7}}}, {8, {{9, 10}}}};
  return {
      Coded("registry.worker_record", SomeUpdate().items[0].record),
      Coded("registry.worker_update", SomeUpdate()),
      Coded("registry.spread_request", DisseminateRequest{"first", "last", 250, true, "update"}),
      Coded("registry.spread_answer", DisseminateResponse{{11, 12}}),
      Coded("registry.digest_entry", DigestEntry{13, 14}),
      Coded("registry.digest_request", DigestRequest{15}),
      Coded("registry.digest_answer", DigestResponse{{16, 17}}),
      Coded("registry.repair_request", repair),
      Coded("registry.repair_answer", RepairResponse{SomeUpdate(), {18, 19}, true}),
  };
}

}  // namespace pearreach::golden
