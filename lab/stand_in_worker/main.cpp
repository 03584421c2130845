// A worker to try the serving tier with: answers requests, streams events, sends heartbeats.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glib-unix.h>

#include <csignal>
#include <string>
#include <vector>

#include "lab/stand_in_worker/life.h"
#include "lab/stand_in_worker/worker.h"
#include "tier/http_server/http_server.h"
#include "tier/logging/log.h"

ABSL_FLAG(std::string, worker_id, "", "Id of this incarnation");
ABSL_FLAG(std::string, address, "", "ip:port to listen on and to be called at");
ABSL_FLAG(std::vector<std::string>, control, {}, "Control addresses of the tier, by commas");
ABSL_FLAG(std::string, service, "demo", "Service of the configuration that it belongs to");
ABSL_FLAG(std::string, zone, "", "Its zone");
ABSL_FLAG(int, capacity, 4, "Requests at once");
ABSL_FLAG(int, beat_ms, 1000, "Between heartbeats");
ABSL_FLAG(int, drain_ms, 2000, "How long it serves on once it has said that it leaves");
ABSL_FLAG(std::string, record, "", "File that gets a line for each request that runs");
ABSL_FLAG(bool, streams_without_length, false,
          "Streams end with their connection, and are within an event at any time");
ABSL_FLAG(int, late_beat_ms, 0,
          "From its departure, sent at once on SIGTERM, to a late heartbeat; 0: none");
ABSL_FLAG(int, serve_on_ms, 8000, "After the late heartbeat");
ABSL_FLAG(std::string, departure_record, "", "File that gets the times of these two");

namespace {

using pearreach::kMs;
namespace logging = pearreach::logging;
namespace stand_in = pearreach::stand_in;

constexpr int kWrongUse = 2;

gboolean OnTerminate(gpointer life) {
  static_cast<stand_in::Life*>(life)->Stop();
  return G_SOURCE_CONTINUE;
}

stand_in::WorkerOptions ReadWorkerOptions() {
  stand_in::WorkerOptions options;
  options.worker_id = absl::GetFlag(FLAGS_worker_id);
  options.capacity = absl::GetFlag(FLAGS_capacity);
  options.record_path = absl::GetFlag(FLAGS_record);
  options.splits_events = absl::GetFlag(FLAGS_streams_without_length);
  return options;
}

stand_in::LifeOptions ReadLifeOptions() {
  stand_in::LifeOptions options;
  options.control = absl::GetFlag(FLAGS_control);
  options.service = absl::GetFlag(FLAGS_service);
  options.address = absl::GetFlag(FLAGS_address);
  options.zone = absl::GetFlag(FLAGS_zone);
  options.beat = absl::GetFlag(FLAGS_beat_ms) * kMs;
  options.drain = absl::GetFlag(FLAGS_drain_ms) * kMs;
  options.late_beat = absl::GetFlag(FLAGS_late_beat_ms) * kMs;
  options.serve_on = absl::GetFlag(FLAGS_serve_on_ms) * kMs;
  options.departure_path = absl::GetFlag(FLAGS_departure_record);
  return options;
}

int Run() {
  std::signal(SIGPIPE, SIG_IGN);
  logging::SetNode(absl::GetFlag(FLAGS_worker_id));
  GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
  pearreach::Timers timers;
  stand_in::Worker worker(&timers, ReadWorkerOptions());
  stand_in::Life life(&timers, &worker, ReadLifeOptions(), [loop] { g_main_loop_quit(loop); });
  pearreach::http_server::ServerOptions server_options;
  server_options.chunked_streams = !absl::GetFlag(FLAGS_streams_without_length);
  pearreach::http_server::HttpServer server(
      &timers, server_options,
      [&worker](std::shared_ptr<pearreach::http_server::Exchange> exchange) {
        worker.Handle(std::move(exchange));
      });
  const std::string wrong = server.Open(absl::GetFlag(FLAGS_address));
  if (!wrong.empty()) {
    logging::Error("main", "cannot listen", {logging::F("why", wrong)});
    return 1;
  }
  g_unix_signal_add(SIGTERM, OnTerminate, &life);
  g_unix_signal_add(SIGINT, OnTerminate, &life);
  life.Start();
  g_main_loop_run(loop);
  g_main_loop_unref(loop);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "stand-in-worker --worker_id ID --address IP:PORT --control IP:PORT[,...] [--service NAME]");
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  const bool whole = arguments.size() == 1 && !absl::GetFlag(FLAGS_worker_id).empty() &&
                     !absl::GetFlag(FLAGS_address).empty() && !absl::GetFlag(FLAGS_control).empty();
  if (!whole) {
    logging::Error("main", "--worker_id, --address and --control are needed", {});
    return kWrongUse;
  }
  return Run();
}
