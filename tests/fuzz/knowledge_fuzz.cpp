// libFuzzer target for the reader of knowledge files: half of the inputs as they stand, the other
// half behind a header with a good hash. What is read goes through ageing into a module, which must
// bear it.
#include <sodium.h>

#include <cstdint>
#include <string>

#include "lab/world/world.h"
#include "node/knowledge/file.h"
#include "pearreach/dispatcher.h"

using namespace pearreach;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view input(reinterpret_cast<const char*>(data) + 1, size - 1);
  static const dispatch::Site site = dispatch::ReadSite(dispatch::Conf(lab::BaseSettings()));
  std::string file(input);
  if ((data[0] & 1) == 0) {  // the header of an empty memory, with this body's length and hash
    knowledge::Memory none;
    const std::string head = knowledge::Encode(none, 1, {}).substr(0, 24);
    file = head;
    for (int i = 0; i < 8; ++i) file += static_cast<char>(input.size() >> (8 * i) & 0xff);
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, 32);
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(file.data()), 32);
    crypto_generichash_update(&state, data + 1, size - 1);
    unsigned char hash[32];
    crypto_generichash_final(&state, hash, 32);
    file.append(reinterpret_cast<const char*>(hash), 32).append(input);
  }
  knowledge::Decoded d = knowledge::Decode(file, {});
  if (!d.memory) return 0;
  d.memory->site = knowledge::SiteMark(site);
  std::string why;
  const auto recall = knowledge::ForNode(*d.memory, site, d.memory->node,
                                         d.memory->written + data[0] * knowledge::kSecond, &why);
  if (!recall) return 0;
  dispatch::Dispatcher module(site.settings, 1, 0);
  dispatch::WorkerList list{dispatch::WorkerList::Form::kComplete, {}};
  dispatch::Knowledge told = recall->common;
  dispatch::WorkerId id = 0;
  for (const auto& [name, worker] : recall->workers) {
    dispatch::WorkerEntry e;
    e.worker = id;
    e.identity = id + 1;
    list.entries.push_back(e);
    told.workers.push_back(knowledge::ForModule(worker, id++, 1000));
    if (id >= 32) break;
  }
  std::vector<dispatch::Action> actions;
  dispatch::RequestArrived job;
  job.due = 5'000'000;
  module.Handle(1000, std::vector<dispatch::Event>{list, told, job}, &actions);
  module.Handle(200'000, {}, &actions);
  knowledge::Collect(module.Learned(200'000), 200'000, site, {}, {}, "n", 1);
  return 0;
}
