// A trial's plan: how many processes, and which faults befall them and what lies between them, when
// and how long. Read from XML with a schema (lab/trial/trial.xsd, part of the program), written
// back as such, or drawn whole from a seed. It owns no process; the same words serve the trial of
// processes and the one in virtual time.
#ifndef PEARREACH_LAB_TRIAL_FAULT_H_
#define PEARREACH_LAB_TRIAL_FAULT_H_

#include <string>
#include <string_view>
#include <vector>

#include "pearreach/dispatcher.h"

namespace pearreach::lab {

using dispatch::Micros;

struct Fault {
  enum class What {
    kLose,     // words from -> to are lost, by share
    kLate,     // words come so much later, each by up to `late`: so also out of order
    kDouble,   // by share, words come twice, the second up to `late` later
    kDamage,   // by share, bytes of words are changed
    kCutTcp,   // connections of node `from` to worker or "discovery" `to` are reset, new ones ended
    kHoldTcp,  // nothing passes on them meanwhile
    kLateList,  // the agent of node `from` hears of changes only when this is over
    kStall,     // the process of node `from` is stopped (SIGSTOP)
    kKill,      // killed (SIGKILL); started again, knowing nothing, when this is over
    kRestart,   // ended with SIGTERM and started again when it has ended; `length` counts nothing
    kTwin,      // a second process of the same name, address and configuration is started meanwhile
    kReload,    // SIGHUP with a file that differs in what may differ
    kSilence,   // worker `from` says and hears nothing; back cold
    kDie,       // worker `from` dies; back cold
    kDrain,     // worker `from` drains meanwhile
    kFail,      // worker `from` fails a share of its jobs meanwhile
    kSlow,      // worker `from` takes five times as long meanwhile
    kLeaveZone,   // at node `from` an operator orders zone `to` to be left, and takes it back after
    kReturnZone,  // the same, that it is in use whatever is seen of it
    kPropose,     // at node `from` a version of the rules is proposed, and its end after
  };
  What what = What::kLose;
  Micros at = 0, length = 0;         // since the load began
  std::string from = "*", to = "*";  // n3, s-2, z1 (all of a zone), * (all), discovery
  double share = 1;
  Micros late = 0;
  bool operator==(const Fault&) const = default;
};
const char* NameOf(Fault::What what);
std::string Words(const Fault& fault);

struct TrialPlan {
  std::string name = "trial";
  int nodes = 9, zones = 3, workers = 12;
  Micros length = 20'000'000;  // of the load; faults end before
  double load = 0.3;           // of what the workers can do
  std::uint64_t seed = 1;
  Micros period = 200'000;  // of the membership's probes
  std::vector<Fault> faults;
};

// Throws dispatch::Malformed with "NAME:LINE: what".
TrialPlan ReadPlan(std::string_view xml, const std::string& name);
TrialPlan LoadPlanFile(const std::string& path);
std::string WritePlan(const TrialPlan& plan);

// Which faults may be drawn.
struct DrawOptions {
  int faults = 12;
  bool processes = true;  // stalls, kills, restarts, twins, reloads
  bool workers = true;    // workers, their links and lists
  bool zones = false;     // whole zones of workers, and operators' orders
  int proposals = 0;      // versions of the rules
};
// Fills in the faults, from the plan's seed: any overlap, all over by four fifths of its length.
void DrawFaults(const DrawOptions& options, TrialPlan* plan);

// Whether `party` is named by `selector`; zone of n3 in 3 zones: z0.
bool Selects(const std::string& selector, const std::string& party, int zones);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TRIAL_FAULT_H_
