#include "node/knowledge/file.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <sodium.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <utility>

#include "node/knowledge/knowledge.pb.h"

namespace pearreach::knowledge {
namespace {

constexpr std::string_view kMagic = "PRKNOW\r\n";
constexpr std::uint32_t kKeyed = 1;  // flag: the hash has a key
constexpr std::size_t kHashAt = 32, kHashSize = 32;
constexpr double kMaxFigure = 1e15;
constexpr std::int64_t kMaxTime = std::int64_t{1} << 60;
constexpr std::size_t kMinKey = crypto_generichash_KEYBYTES_MIN * 2;
static_assert(kMinKey == 32 && kHashAt + kHashSize == kHeader);

void PutNumber(std::uint64_t v, int bytes, std::string* to) {
  for (int i = 0; i < bytes; ++i) to->push_back(static_cast<char>(v >> (8 * i) & 0xff));
}
std::uint64_t GetNumber(std::string_view from, std::size_t at, int bytes) {
  std::uint64_t v = 0;
  for (int i = bytes - 1; i >= 0; --i)
    v = v << 8 | static_cast<unsigned char>(from[at + static_cast<std::size_t>(i)]);
  return v;
}

// Of the header before the hash and all that follows it.
std::string Hash(std::string_view head, std::string_view body, const Key& key) {
  crypto_generichash_state state;
  crypto_generichash_init(&state,
                          key ? reinterpret_cast<const unsigned char*>(key->data()) : nullptr,
                          key ? key->size() : 0, kHashSize);
  for (const std::string_view part : {head, body})
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                              part.size());
  std::string hash(kHashSize, '\0');
  crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(hash.data()), kHashSize);
  return hash;
}

// What the hash vouches for was once written by a node, but perhaps by one with a fault: each
// figure is held against what the module can bear.
struct Checks {
  bool good = true;
  double Figure(double v, double least, double most) {
    good = good && v >= least && v <= most;  // false for NaN, too
    return v;
  }
  std::int64_t Time(std::int64_t v) {
    good = good && v >= 0 && v <= kMaxTime;
    return v;
  }
};

bool FromWire(const wire::Memory& in, Memory* m) {
  Checks c;
  m->node = in.node();
  m->site = in.site();
  m->nodes = static_cast<int>(std::clamp<std::uint32_t>(in.nodes(), 1, 1'000'000));
  m->written = c.Time(in.written());
  for (const wire::Pool& p : in.pools()) {
    dispatch::PoolKnowledge k;
    k.limit = c.Figure(p.limit(), 0, 1e9);
    k.proven_limit = c.Figure(p.found(), 0, 1e9);
    k.slots_seen = c.Figure(p.slots_seen(), 1, 1e6);
    k.mean_running = c.Figure(p.ran(), 0, kMaxFigure);
    k.mean_work = c.Figure(p.worked(), 0, kMaxFigure);
    k.start_report_delay = c.Figure(p.tell(), 0, kMaxFigure);
    m->pools.push_back({p.kind(), k});
  }
  c.good = c.good && in.workers_size() <= static_cast<int>(kMaxWorkers);
  for (const wire::Worker& w : in.workers()) {
    if (!c.good) return false;
    dispatch::WorkerKnowledge k;
    k.slowness = c.Figure(w.slowness(), 0.01, 100);
    k.failures = c.Figure(w.failures(), 0, 1);
    k.silent = w.silent();
    k.died_at = c.Time(w.died_ago());
    c.good = c.good && w.cold_sends_size() <= static_cast<int>(kMaxColdSends);
    for (const wire::ColdSend& s : w.cold_sends())
      k.cold_sends.emplace_back(c.Time(s.ago()), c.Figure(s.work(), 0, kMaxFigure));
    m->workers.push_back({w.id(), w.started_ms(), std::move(k)});
  }
  for (const wire::Class& k : in.classes())
    m->classes.push_back({k.name(), {0, c.Figure(k.work(), 0, kMaxFigure)}});
  for (const wire::Tenant& t : in.tenants())
    m->tenants.push_back({t.name(), {0, c.Figure(t.left(), 0, kMaxFigure)}});
  return c.good;
}

std::string ToWire(const Memory& m) {
  wire::Memory out;
  out.set_node(m.node);
  out.set_site(m.site);
  out.set_nodes(static_cast<std::uint32_t>(m.nodes));
  out.set_written(m.written);
  for (const Memory::Pool& p : m.pools) {
    wire::Pool* to = out.add_pools();
    to->set_kind(p.kind);
    to->set_limit(p.what.limit);
    to->set_found(p.what.proven_limit);
    to->set_slots_seen(p.what.slots_seen);
    to->set_ran(p.what.mean_running);
    to->set_worked(p.what.mean_work);
    to->set_tell(p.what.start_report_delay);
  }
  for (std::size_t i = 0; i < std::min(m.workers.size(), kMaxWorkers); ++i) {
    const Memory::Worker& w = m.workers[i];
    wire::Worker* to = out.add_workers();
    to->set_id(w.id);
    to->set_started_ms(w.started_ms);
    to->set_slowness(w.what.slowness);
    to->set_failures(w.what.failures);
    to->set_silent(w.what.silent);
    to->set_died_ago(w.what.died_at);
    // Of more, the newest: the module's window holds them in their order.
    const std::size_t sends = w.what.cold_sends.size();
    for (std::size_t s = sends - std::min(sends, kMaxColdSends); s < sends; ++s) {
      wire::ColdSend* send = to->add_cold_sends();
      send->set_ago(w.what.cold_sends[s].first);
      send->set_work(w.what.cold_sends[s].second);
    }
  }
  for (const Memory::Class& c : m.classes) {
    wire::Class* to = out.add_classes();
    to->set_name(c.name);
    to->set_work(c.what.work);
  }
  for (const Memory::Tenant& t : m.tenants) {
    wire::Tenant* to = out.add_tenants();
    to->set_name(t.name);
    to->set_left(t.what.tokens);
  }
  // The same memory is the same bytes.
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    out.SerializeToCodedStream(&coded);
  }
  return bytes;
}

}  // namespace

Key ReadKeyFile(const std::string& path) {
  std::string bytes;
  if (SystemDisk().Read(path, 1 << 16, &bytes) != 0)
    throw dispatch::Malformed(path + ": " + std::strerror(errno));
  while (!bytes.empty() && (bytes.back() == '\n' || bytes.back() == '\r')) bytes.pop_back();
  if (bytes.size() < kMinKey)
    throw dispatch::Malformed(path + ": a key has " + std::to_string(kMinKey) + " bytes at least");
  bytes.resize(std::min<std::size_t>(bytes.size(), crypto_generichash_KEYBYTES_MAX));
  return bytes;
}

std::string Encode(const Memory& memory, std::uint64_t generation, const Key& key) {
  const std::string body = ToWire(memory);
  std::string bytes(kMagic);
  PutNumber(kFormat, 4, &bytes);
  PutNumber(key ? kKeyed : 0, 4, &bytes);
  PutNumber(generation, 8, &bytes);
  PutNumber(body.size(), 8, &bytes);
  bytes += Hash(bytes, body, key);
  return bytes + body;
}

Decoded Decode(std::string_view bytes, const Key& key) {
  Decoded d;
  const auto wrong = [&](const std::string& what) {
    d.wrong = what;
    return d;
  };
  if (bytes.size() < kHeader || bytes.substr(0, kMagic.size()) != kMagic)
    return wrong("it is no knowledge file");
  const std::uint64_t version = GetNumber(bytes, 8, 4);
  if (version > kFormat) {
    d.newer = true;
    return wrong("written in version " + std::to_string(version) + "; this build reads up to " +
                 std::to_string(kFormat));
  }
  if (version == 0) return wrong("it is of version 0, which is none");
  const std::uint64_t flags = GetNumber(bytes, 12, 4);
  if ((flags & ~std::uint64_t{kKeyed}) != 0) return wrong("it has flags that are none");
  if (key && (flags & kKeyed) == 0) return wrong("it is not signed, and a key is set");
  if (!key && (flags & kKeyed) != 0) return wrong("it is signed, and no key is set");
  d.generation = GetNumber(bytes, 16, 8);
  if (GetNumber(bytes, 24, 8) != bytes.size() - kHeader) return wrong("it is cut off");
  const std::string_view body = bytes.substr(kHeader);
  if (sodium_memcmp(Hash(bytes.substr(0, kHashAt), body, key).data(), bytes.data() + kHashAt,
                    kHashSize) != 0)
    return wrong(key ? "its hash is not of this key" : "its hash does not hold");
  wire::Memory in;
  Memory memory;
  if (!in.ParseFromArray(body.data(), static_cast<int>(body.size())) || !FromWire(in, &memory))
    return wrong("its figures make no sense");
  d.memory = std::move(memory);
  return d;
}

Folder::Folder(std::string path, std::string node, Key key, Disk* disk)
    : path_(std::move(path)), node_(std::move(node)), key_(std::move(key)), disk_(disk) {
  // The name goes into file names.
  for (char& c : node_)
    if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '_') c = '_';
}

// Two names in turn: a generation is never written over the one before it.
std::string Folder::PathOf(std::uint64_t generation) const {
  return path_ + "/" + node_ + (generation % 2 == 0 ? ".0" : ".1") + ".know";
}

std::vector<Folder::Found> Folder::Look() {
  std::vector<Found> found;
  last_ = 0;
  for (const std::uint64_t parity : {0, 1}) {
    const std::string path = PathOf(parity);
    std::string bytes;
    if (disk_->Read(path, kMaxBytes, &bytes) != 0) {
      if (errno != ENOENT) found.push_back({path, {{}, 0, std::strerror(errno), false}});
      continue;
    }
    found.push_back({path, Decode(bytes, key_)});
  }
  std::stable_sort(found.begin(), found.end(), [](const Found& a, const Found& b) {
    return std::pair(a.what.memory.has_value(), a.what.generation) >
           std::pair(b.what.memory.has_value(), b.what.generation);
  });
  if (!found.empty() && found.front().what.memory) last_ = found.front().what.generation;
  return found;
}

std::string Folder::Save(const Memory& memory) {
  if (!last_) Look();
  const std::uint64_t generation = *last_ + 1;
  const std::string bytes = Encode(memory, generation, key_);
  const std::string path = PathOf(generation), aside = path + ".new";
  const auto wrong = [&](const std::string& at) { return at + ": " + std::strerror(errno); };
  if (bytes.size() > kMaxBytes) return path + ": too much to keep";
  const int fd = disk_->Create(aside);
  if (fd < 0) return wrong(aside);
  for (std::size_t at = 0; at < bytes.size();) {
    const ssize_t n = disk_->Write(fd, bytes.data() + at, bytes.size() - at);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) {
      std::string line = wrong(aside);
      disk_->Close(fd);
      return line;
    }
    at += static_cast<std::size_t>(n);
  }
  // Its bytes are on the disk before its name is: after a power cut a name never leads to less.
  if (disk_->Sync(fd) != 0) {
    std::string line = wrong(aside);
    disk_->Close(fd);
    return line;
  }
  if (disk_->Close(fd) != 0) return wrong(aside);
  if (disk_->Rename(aside, path) != 0) return wrong(path);
  // From here on the other name is the one to be written next, whether or not the folder's sync
  // holds: the file under it is the older.
  last_ = generation;
  if (disk_->SyncFolder(path_) != 0) return wrong(path_);
  return "";
}

std::string Folder::Drop() {
  std::string line;
  for (const std::uint64_t parity : {0, 1})
    for (const std::string& path : {PathOf(parity), PathOf(parity) + ".new"})
      if (disk_->Remove(path) != 0 && errno != ENOENT) line = path + ": " + std::strerror(errno);
  last_.reset();
  return line;
}

}  // namespace pearreach::knowledge
