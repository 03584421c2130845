// A toy to try a node with: one match worker and its discovery, both on the loopback interface. It
// takes every job, runs a few at a time for half a second each, and reports what became of them.
// It must never be taken for a load generator: it makes no requests but its call-backs.
#include "lab/base/standins.h"

int main(int argc, char** argv) {
  using namespace pearreach;
  SetLogName("toy");
  lab::MatchWorkerOptions options;
  options.id = "s-toy";
  options.work = 500 * kMs;
  options.kind = "toy";
  options.listen = "127.0.0.1:4000";
  lab::MatchWorker worker(options, 1);
  worker.AddNode("n0", argc > 1 ? argv[1] : "127.0.0.1:3000");
  lab::StandInDiscovery discovery("127.0.0.1:8500");
  discovery.SetWorkers({&worker});
  Log("listening", {}, "a worker at " + worker.address() + ", discovery at " + discovery.address());
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
}
