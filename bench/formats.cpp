// Weighs the serializations that a capture could use, on the same turns: bytes an event before and
// after compression, and nanoseconds to write and to read one. All write blocks of about 64 KiB.
#include <flatbuffers/flatbuffers.h>
#include <zstd.h>

#define MSGPACK_NO_BOOST
#include <chrono>
#include <cstdio>
#include <msgpack.hpp>

#include "capture_generated.h"
#include "lab/world/scenarios.h"
#include "node/capture/segment.h"

namespace {

using namespace pearreach;
using capture::Turn;
using dispatch::Micros;
using Clock = std::chrono::steady_clock;
constexpr std::size_t kBlock = 64 << 10;

// What the variants hold, flat.
struct Flat {
  std::uint8_t kind = 0;
  std::uint64_t request = 0;
  int attempt = 0;
  std::uint32_t worker = 0;
  int cls = 0, tenant = 0;
  Micros due_in = 0, latency = 0;
  double slots = 0, free_slots = -1, share = 0;
  std::uint8_t outcome = 0;
  bool settled = false;
};

Flat FlatOf(const dispatch::Event& event, Micros now) {
  Flat f;
  f.kind = static_cast<std::uint8_t>(event.index() + 1);
  std::visit(
      [&](const auto& e) {
        if constexpr (requires { e.request; }) f.request = e.request;
        if constexpr (requires { e.attempt; }) f.attempt = e.attempt;
        if constexpr (requires { e.worker; }) f.worker = e.worker;
        if constexpr (requires { e.due; }) {
          f.cls = e.cls;
          f.tenant = e.tenant;
          f.due_in = e.due - now;
          f.slots = e.slots;
        }
        if constexpr (requires { e.outcome; }) {
          f.outcome = static_cast<std::uint8_t>(e.outcome);
          f.latency = e.latency;
          f.settled = e.settled;
          f.free_slots = e.load.free_slots.value_or(-1);
        }
        if constexpr (requires { e.share_done; }) f.share = e.share_done;
      },
      event);
  return f;
}

struct Result {
  std::size_t raw = 0, stored = 0;
  double write_ns = 0, read_ns = 0;
  std::vector<std::string> blocks;
};

void Close(std::string block, Result* r) {
  r->raw += block.size();
  std::string packed(ZSTD_compressBound(block.size()), '\0');
  r->stored += ZSTD_compress(packed.data(), packed.size(), block.data(), block.size(), 1);
  r->blocks.push_back(std::move(block));
}

template <class Write>
void Time(double* ns, std::size_t events, const Write& write) {
  *ns = 1e18;
  for (int pass = 0; pass < 15; ++pass) {
    const auto begin = Clock::now();
    write();
    *ns = std::min(*ns, std::chrono::duration<double, std::nano>(Clock::now() - begin).count() /
                            static_cast<double>(events));
  }
}

Result Protobuf(const std::vector<Turn>& turns, std::size_t events) {
  Result r;
  std::vector<std::string> blocks;
  Time(&r.write_ns, events, [&] {
    blocks.clear();
    capture::TurnWriter writer;
    Micros before = 0;
    for (const Turn& t : turns) {
      writer.Add(before, t.now, t.events, t.notes, t.actions, t.workers, "", 0);
      before = t.now;
      if (writer.size() >= kBlock) blocks.push_back(writer.Take());
    }
    blocks.push_back(writer.Take());
  });
  for (const std::string& b : blocks) Close(b, &r);
  Time(&r.read_ns, events, [&] {
    Micros before = 0;
    std::size_t known = 0;
    for (const std::string& b : r.blocks) {
      std::vector<Turn> read;
      if (!capture::ReadTurns(b, &before, &known, &read).empty()) std::abort();
    }
  });
  return r;
}

Result MessagePack(const std::vector<Turn>& turns, std::size_t events) {
  Result r;
  std::vector<std::string> blocks;
  Time(&r.write_ns, events, [&] {
    blocks.clear();
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> pack(buffer);
    Micros before = 0;
    for (const Turn& t : turns) {
      pack.pack_array(3);
      pack.pack(t.now - before);
      before = t.now;
      pack.pack_array(static_cast<std::uint32_t>(t.events.size()));
      for (std::size_t i = 0; i < t.events.size(); ++i) {
        // By name, as only that can be extended freely; the names are one byte each.
        const Flat f = FlatOf(t.events[i], t.now);
        const std::string& id = t.notes[i].id;
        const bool arrived = f.kind == 2, ended = f.kind == 7;
        pack.pack_map(5u + (arrived ? 5u : 0u) + (ended ? 4u : 0u));
        pack.pack("k");
        pack.pack(f.kind);
        pack.pack("r");
        pack.pack(f.request);
        pack.pack("a");
        pack.pack(f.attempt);
        pack.pack("w");
        pack.pack(f.worker);
        pack.pack("g");
        pack.pack(t.now - t.notes[i].seen);
        if (arrived) {
          pack.pack("i");
          pack.pack(id);
          pack.pack("c");
          pack.pack(f.cls);
          pack.pack("t");
          pack.pack(f.tenant);
          pack.pack("d");
          pack.pack(f.due_in);
          pack.pack("s");
          pack.pack(f.slots);
        }
        if (ended) {
          pack.pack("o");
          pack.pack(f.outcome);
          pack.pack("l");
          pack.pack(f.latency);
          pack.pack("e");
          pack.pack(f.settled);
          pack.pack("f");
          pack.pack(f.free_slots);
        }
      }
      pack.pack_array(static_cast<std::uint32_t>(t.actions.size()));
      for (const auto& a : t.actions) {
        pack.pack_map(3);
        pack.pack("k");
        pack.pack(a.index());
        std::uint64_t request = 0;
        std::int64_t time = 0;
        if (const auto* send = std::get_if<dispatch::Send>(&a))
          request = send->request, time = send->worker;
        if (const auto* timer = std::get_if<dispatch::SetTimer>(&a)) time = timer->at - t.now;
        pack.pack("r");
        pack.pack(request);
        pack.pack("t");
        pack.pack(time);
      }
      if (buffer.size() >= kBlock) {
        blocks.emplace_back(buffer.data(), buffer.size());
        buffer.clear();
      }
    }
    blocks.emplace_back(buffer.data(), buffer.size());
  });
  for (const std::string& b : blocks) Close(b, &r);
  std::uint64_t sum = 0;
  Time(&r.read_ns, events, [&] {
    for (const std::string& b : r.blocks)
      for (std::size_t at = 0; at < b.size();) {
        const msgpack::object_handle turn = msgpack::unpack(b.data(), b.size(), at);
        for (const auto& e :
             turn->as<std::vector<msgpack::object>>().at(1).as<std::vector<msgpack::object>>())
          sum += e.via.map.size;
      }
  });
  return sum == 1 ? Result() : r;
}

Result FlatBuffers(const std::vector<Turn>& turns, std::size_t events) {
  namespace fbs = pearreach::bench::flat;
  Result r;
  std::vector<std::string> blocks;
  Time(&r.write_ns, events, [&] {
    blocks.clear();
    flatbuffers::FlatBufferBuilder builder(2 * kBlock);
    std::vector<flatbuffers::Offset<fbs::Turn>> all;
    const auto finish = [&] {
      builder.Finish(fbs::CreateBlock(builder, builder.CreateVector(all)));
      blocks.emplace_back(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                          builder.GetSize());
      builder.Clear();
      all.clear();
    };
    Micros before = 0;
    for (const Turn& t : turns) {
      std::vector<flatbuffers::Offset<fbs::Event>> es;
      for (std::size_t i = 0; i < t.events.size(); ++i) {
        const Flat f = FlatOf(t.events[i], t.now);
        const auto id = t.notes[i].id.empty() ? 0 : builder.CreateString(t.notes[i].id);
        es.push_back(fbs::CreateEvent(
            builder, f.kind, f.request, static_cast<std::int16_t>(f.attempt), f.worker,
            static_cast<std::uint32_t>(t.now - t.notes[i].seen), id,
            static_cast<std::int16_t>(f.cls), static_cast<std::int16_t>(f.tenant), f.due_in,
            f.slots, f.outcome, f.latency, f.settled, f.free_slots, f.share));
      }
      std::vector<flatbuffers::Offset<fbs::Action>> as;
      for (const auto& a : t.actions) {
        std::uint64_t request = 0;
        std::int64_t time = 0;
        if (const auto* send = std::get_if<dispatch::Send>(&a))
          request = send->request, time = send->worker;
        if (const auto* timer = std::get_if<dispatch::SetTimer>(&a)) time = timer->at - t.now;
        as.push_back(
            fbs::CreateAction(builder, static_cast<std::uint8_t>(a.index()), request, 0, 0, time));
      }
      const auto e = builder.CreateVector(es);
      const auto a = builder.CreateVector(as);
      all.push_back(fbs::CreateTurn(builder, t.now - before, e, a));
      before = t.now;
      if (builder.GetSize() >= kBlock) finish();
    }
    finish();
  });
  for (const std::string& b : blocks) Close(b, &r);
  std::uint64_t sum = 0;
  Time(&r.read_ns, events, [&] {
    for (const std::string& b : r.blocks) {
      flatbuffers::Verifier verify(reinterpret_cast<const std::uint8_t*>(b.data()), b.size(), 64,
                                   10'000'000);
      if (!fbs::VerifyBlockBuffer(verify)) std::abort();
      for (const auto* t : *fbs::GetBlock(b.data())->turns())
        for (const auto* e : *t->events()) sum += e->request() + e->kind();
    }
  });
  return sum == 1 ? Result() : r;
}

}  // namespace

int main() {
  std::vector<Turn> turns;
  std::size_t events = 0;
  for (const auto& scenario : lab::Scenarios()) {
    const auto world = lab::Play(scenario);
    const Micros from = turns.empty() ? 0 : turns.back().now;
    for (Turn t : world->turns()) {
      const Micros shift = from;
      t.now += shift;
      for (auto& n : t.notes) n.seen += shift;
      t.workers.clear();
      events += t.events.size();
      turns.push_back(std::move(t));
    }
  }
  turns.front().workers = {"s-0", "s-1", "s-2", "s-3", "s-4", "s-5"};
  std::printf("%zu turns, %zu events with their decisions\n", turns.size(), events);
  std::printf("%-14s %10s %10s %12s %12s\n", "", "raw B/ev", "zstd B/ev", "write ns/ev",
              "read ns/ev");
  const auto row = [&](const char* name, const Result& r) {
    std::printf("%-14s %10.1f %10.1f %12.0f %12.0f\n", name,
                static_cast<double>(r.raw) / static_cast<double>(events),
                static_cast<double>(r.stored) / static_cast<double>(events), r.write_ns, r.read_ns);
  };
  row("Protobuf", Protobuf(turns, events));
  row("MessagePack", MessagePack(turns, events));
  row("FlatBuffers", FlatBuffers(turns, events));
}
