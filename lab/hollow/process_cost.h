// Processor time and memory of this process.
#ifndef PEARREACH_LAB_HOLLOW_PROCESS_COST_H_
#define PEARREACH_LAB_HOLLOW_PROCESS_COST_H_

#include <unistd.h>

#include <ctime>
#include <fstream>

namespace pearreach::lab::hollow {

class ProcessCost {
 public:
  ProcessCost() : began_(std::clock()), resident_kb_(Resident()) {}
  double ProcessorMs() const {  // since this was made
    return static_cast<double>(std::clock() - began_) * 1e3 / CLOCKS_PER_SEC;
  }
  double ResidentKb() const { return resident_kb_; }  // when this was made

 private:
  static double Resident() {
    std::ifstream file("/proc/self/statm");
    double size = 0, resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e3;
  }
  std::clock_t began_;
  double resident_kb_;
};

}  // namespace pearreach::lab::hollow

#endif  // PEARREACH_LAB_HOLLOW_PROCESS_COST_H_
